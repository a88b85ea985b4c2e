#include <check.h>
#include <stdlib.h>

#include "base/err.h"
#include "policy/admission.h"
#include "tests/unit/run.h"

#define MS USEC_PER_MSEC
#define ITEMS 12000

static struct admission adm;
static struct admission_item items[ITEMS];
static int refused[1000];
static int refused_count;

static void on_refuse(struct admission *queue, struct admission_item *item,
		      int code)
{
	refused[code]++;
	refused_count++;
}

static const struct admission_ops ops = { .refuse = on_refuse };

static void setup(void)
{
	admission_init(&adm, &ops, 0);
	adm.slots = 8;
}

static void put(int i, const char *customer, const char *service,
		int64_t deadline_us, int64_t now_us)
{
	struct admission_customer *c = admission_customer_find(&adm, customer);
	bool is_long = strcmp(service, "batch") == 0;

	ck_assert_int_eq(
		admission_enqueue(&adm, &items[i], c,
				  admission_service_get(
					  &adm, service,
					  is_long ? DOC_LONG : DOC_SHORT, 0),
				  false, deadline_us, now_us),
		CB_OK);
}

/* Guards against one customer that starves the others. */
START_TEST(slots_follow_weights)
{
	const char *names[] = { "a", "b", "c" };
	const int weights[] = { 6, 3, 1 };
	int got[3] = { 0 }, i, n;
	struct admission_item *item;

	for (i = 0; i < 3; i++)
		admission_customer_set(&adm, names[i], weights[i]);
	for (i = 0; i < 3000; i++)
		put(i, names[i % 3], "web", 60000 * MS, 0);
	for (n = 0; n < 1000; n++) {
		item = admission_dequeue(&adm, 1, 8, 0);
		ck_assert_ptr_nonnull(item);
		got[item->customer->name[0] - 'a']++;
		admission_done(&adm, item, false,
			       adm.classes[DOC_SHORT].mean_us);
	}
	ck_assert_int_ge(got[0], 590);
	ck_assert_int_ge(got[1], 290);
	ck_assert_int_ge(got[2], 95);
	/* The remaining items of c may use all slots. */
	admission_customer_remove(&adm, admission_customer_find(&adm, "a"));
	admission_customer_remove(&adm, admission_customer_find(&adm, "b"));
	ck_assert_int_eq(refused[CB_E_CUSTOMER_REMOVED],
			 2000 - got[0] - got[1]);
	while ((item = admission_dequeue(&adm, 1, 8, 0)))
		admission_done(&adm, item, false, 0);
	ck_assert_int_eq(adm.waiting, 0);
	ck_assert_ptr_null(admission_customer_find(&adm, "a"));
}
END_TEST

/*
 * Guards against a customer that accumulates credit while it is idle and
 * then takes more than its share in a burst.
 */
START_TEST(idle_time_earns_no_credit)
{
	struct admission_item *item;
	int i, early = 0;

	admission_customer_set(&adm, "a", 1);
	admission_customer_set(&adm, "b", 1);
	for (i = 0; i < 400; i++)
		put(i, "a", "web", 60000 * MS, 0);
	for (i = 0; i < 200; i++)
		admission_done(&adm, admission_dequeue(&adm, 1, 8, 0), false,
			       adm.classes[DOC_SHORT].mean_us);
	for (i = 400; i < 600; i++)
		put(i, "b", "web", 60000 * MS, 0);
	for (i = 0; i < 100; i++) {
		item = admission_dequeue(&adm, 1, 8, 0);
		early += item->customer->name[0] == 'b';
		admission_done(&adm, item, false,
			       adm.classes[DOC_SHORT].mean_us);
	}
	ck_assert_int_le(early, 55);
	ck_assert_int_ge(early, 45);
}
END_TEST

/* Guards against long work that occupies all slots while short work waits. */
START_TEST(short_class_keeps_reserved_slots)
{
	struct admission_item *item, *short_item;
	int running = 0, i;

	admission_customer_set(&adm, "a", 1);
	for (i = 0; i < 20; i++)
		put(i, "a", "batch", 60000 * MS, 0);
	while ((item = admission_dequeue(&adm, 8 - running, 8, 0)))
		running++;
	ck_assert_int_eq(running, 8 - admission_reserved_slots(&adm));
	ck_assert_int_lt(running, 8);
	put(20, "a", "web", 1000 * MS, 0);
	short_item = admission_dequeue(&adm, 8 - running, 8, 0);
	ck_assert_ptr_eq(short_item, &items[20]);
	/* After its limit it counts as long and frees a reserved slot. */
	admission_tick(&adm, QUEUE_SHORT_LIMIT_MS * MS + 1);
	ck_assert_int_eq(adm.classes[DOC_SHORT].running, 0);
	ck_assert_int_eq(adm.classes[DOC_LONG].running, running + 1);
	admission_done(&adm, short_item, true, 5000 * MS);
	ck_assert_int_eq(adm.classes[DOC_LONG].running, running);
}
END_TEST

/* Enqueues a request; a refusal is ignored. */
static void offer(int i, const char *customer, enum doc_class class_,
		  int64_t now_us)
{
	admission_enqueue(
		&adm, &items[i], admission_customer_find(&adm, customer),
		admission_service_get(
			&adm, class_ == DOC_LONG ? "batch" : "web", class_, 0),
		false, now_us + 60000 * MS, now_us);
}

/*
 * Guards against short work of one customer that starves the long work of
 * another, because its stragglers count as long and occupy the long slots,
 * and against the reverse. The second round has six times as much short
 * work, which raises the reserve.
 */
START_TEST(long_class_gets_its_share)
{
	struct admission_item *item, *running[8] = { 0 };
	int64_t now = 0, used[2] = { 0 };
	int i, n = 0, free_slots;

	admission_customer_set(&adm, "a", 1);
	admission_customer_set(&adm, "b", 1);
	/* Every short item exceeds its limit and runs as long as a long one. */
	for (; now < 20000 * MS; now += 10 * MS) {
		for (i = 0, free_slots = 0; i < 8; i++) {
			item = running[i];
			/* Different run times: slots don't end together. */
			if (item &&
			    now - item->started_us >= (150 + 15 * i) * MS) {
				used[item->customer->name[0] - 'a'] +=
					now - item->started_us;
				admission_done(&adm, item, false, now);
				running[i] = NULL;
			}
			free_slots += !running[i];
		}
		admission_tick(&adm, now);
		/* In the second round short demand raises the reserve. */
		for (i = 0; i < (_i ? 6 : 1); i++)
			offer(n++ % 4000, "a", DOC_SHORT, now);
		offer(4000 + n++ % 4000, "b", DOC_LONG, now);
		for (i = 0; i < 8; i++)
			if (!running[i] && (running[i] = admission_dequeue(
						    &adm, free_slots, 8, now)))
				free_slots--;
	}
	ck_assert_int_ge(used[1] * 100, (used[0] + used[1]) * 45);
	ck_assert_int_ge(used[0] * 100, (used[0] + used[1]) * 45);
}
END_TEST

/* Guards against a declared class that contradicts the observed runs. */
START_TEST(class_follows_observed_runs)
{
	struct admission_service *web;
	struct admission_item *item;
	int64_t now = 0;
	int i;

	admission_customer_set(&adm, "a", 1);
	web = admission_service_get(&adm, "web", DOC_SHORT, 10);
	for (i = 0; i < 200; i++) {
		put(0, "a", "web", now + 60000 * MS, now);
		item = admission_dequeue(&adm, 8, 8, now);
		/* One straggler in twenty must not change the class. */
		now += (i < 100 && i % 20 ? 5 : 500) * MS;
		admission_done(&adm, item, true, now);
		if (i < 100)
			ck_assert_int_eq(web->class_, DOC_SHORT);
	}
	ck_assert_int_eq(web->class_, DOC_LONG);
	for (i = 0; i < 100; i++) {
		put(0, "a", "web", now + 60000 * MS, now);
		item = admission_dequeue(&adm, 8, 8, now);
		now += 5 * MS;
		admission_done(&adm, item, true, now);
	}
	ck_assert_int_eq(web->class_, DOC_SHORT);
}
END_TEST

/*
 * Guards against queueing requests that can't be served: expired ones, ones
 * that would expire while waiting, and ones beyond REQ_WAITING_MAX.
 */
START_TEST(requests_that_would_expire_are_refused)
{
	struct admission_customer *a = admission_customer_set(&adm, "a", 1);
	struct admission_service *web =
		admission_service_get(&adm, "web", DOC_SHORT, 0);
	int i;

	for (i = 0; i < 1000; i++)
		put(i, "a", "web", 60000 * MS, 0);
	/* 1000 items of 10 ms on at most 8 slots take more than a second. */
	ck_assert_int_ge(admission_expected_wait(&adm, a, DOC_SHORT),
			 1000 * MS);
	ck_assert_int_eq(admission_enqueue(&adm, &items[1000], a, web, false,
					   1000 * MS, 0),
			 CB_E_DEADLINE);
	for (i = 1000; i < REQ_WAITING_MAX; i++)
		put(i, "a", "web", 60000 * MS, 0);
	ck_assert_int_eq(admission_enqueue(&adm, &items[i], a, web, false,
					   60000 * MS, 0),
			 CB_E_QUEUE_FULL);
	admission_tick(&adm, 60000 * MS);
	ck_assert_int_eq(refused[CB_E_DEADLINE], REQ_WAITING_MAX);
	ck_assert_int_eq(adm.waiting, 0);
}
END_TEST

/* Guards against a queue that stays long for as long as overload lasts. */
START_TEST(persistent_queue_is_shed)
{
	struct admission_item *item;
	int64_t now = 0, worst = 0, wait;
	int i = 0, code;

	admission_customer_set(&adm, "a", 1);
	/* One slot and items of 10 ms: the load is twice the capacity. */
	for (now = 0; now < 5000 * MS && i < ITEMS; now += 10 * MS) {
		for (code = 0; code < 2; code++, i++)
			if (admission_enqueue(
				    &adm, &items[i],
				    admission_customer_find(&adm, "a"),
				    admission_service_get(&adm, "web",
							  DOC_SHORT, 0),
				    false, now + 60000 * MS, now) != CB_OK)
				refused_count++;
		item = admission_dequeue(&adm, 1, 1, now);
		ck_assert_ptr_nonnull(item);
		wait = now - item->arrived_us;
		if (now > 1000 * MS && wait > worst)
			worst = wait;
		admission_done(&adm, item, true, now + 10 * MS);
	}
	ck_assert_int_le(worst, QUEUE_SHED_FACTOR * QUEUE_TARGET_SHORT_MS * MS);
	ck_assert_int_ge(refused_count, 450);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("queue");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, slots_follow_weights);
	tcase_add_test(tc, idle_time_earns_no_credit);
	tcase_add_test(tc, short_class_keeps_reserved_slots);
	tcase_add_loop_test(tc, long_class_gets_its_share, 0, 2);
	tcase_add_test(tc, class_follows_observed_runs);
	tcase_add_test(tc, requests_that_would_expire_are_refused);
	tcase_add_test(tc, persistent_queue_is_shed);
	return run_case("admission", tc);
}
