#include <math.h>
#include <stdio.h>
#include <string.h>

#include "control/keys.h"
#include "control/speeds.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/standins/kv_fake.h"
#include "tests/unit/run.h"

/* Estimates of speed in the store, from one leader to the next. */

#define SEC 1000000LL
#define NOW (100 * SEC)
#define WORKERS 30

static struct kv_fake fake;
static struct fleet fleet, next;
static struct config *config, *next_config;
static struct ledger ledger;
static struct speeds speeds;
static const struct ledger_ops ops;

static void add_queue(struct config *to)
{
	struct queue *queue = g_new0(struct queue, 1);

	queue->name = g_strdup("q");
	queue->stretch = 1.5;
	g_ptr_array_add(to->queues, queue);
}

static struct worker *add_worker(struct fleet *to, int i)
{
	char id[16];

	snprintf(id, sizeof(id), "w%d", i);
	return make_worker(to, id, "r", 8, NOW);
}

static struct worker *find(const struct fleet *in, int i)
{
	char id[16];

	snprintf(id, sizeof(id), "w%d", i);
	return g_hash_table_lookup(in->workers_by_id, id);
}

static void learn(struct worker *worker, double relative)
{
	worker->speed.log = worker->speed.prior = log(relative);
	worker->speed.weight = worker->speed.prior_weight = 40;
	fleet.speed.restored = true;
}

/* A leader that knows that every third worker is slow, and the next one. */
static void set_up(void)
{
	int i;

	kv_fake_init(&fake);
	make_fleet(&fleet, &config);
	make_fleet(&next, &next_config);
	add_queue(config);
	add_queue(next_config);
	for (i = 0; i < WORKERS; i++)
		learn(add_worker(&fleet, i), i % 3 ? 1 : 0.41);
	speed_fit(&fleet, NOW);
	ck_assert(speed_uneven(&fleet));
	ledger_init(&ledger, &fake.kv, &ops);
	ledger_open(&ledger, &next, 7);
	speeds_init(&speeds, &fake.kv, &ledger);
}

static void tear_down(void)
{
	speeds_finish(&speeds);
	ledger_finish(&ledger);
	free_fleet(&fleet, config);
	free_fleet(&next, next_config);
	kv_fake_finish(&fake);
}

static msgpack_sbuffer write_record(void)
{
	GArray *estimates = speed_export(&fleet);
	msgpack_sbuffer record;

	speeds_record_write(estimates, speed_uneven(&fleet), &record);
	g_array_unref(estimates);
	return record;
}

/* The next leader reads the record of the first. */
static void hand_over(void)
{
	msgpack_sbuffer record = write_record();

	speeds_open(&speeds, &next);
	kv_fake_answer_range(&fake, KEY_SPEEDS, record.data, record.size, 5);
	msgpack_sbuffer_destroy(&record);
}

static void check_same(void)
{
	int i;

	speed_fit(&next, NOW);
	ck_assert(speed_uneven(&next));
	for (i = 0; i < WORKERS; i++) {
		ck_assert_double_eq_tol(speed_of(&next, find(&next, i)),
					speed_of(&fleet, find(&fleet, i)),
					0.01);
		ck_assert_double_gt(speed_certainty(find(&next, i)), 0.8);
		ck_assert_int_eq(find(&next, i)->speed.class,
				 find(&fleet, i)->speed.class);
	}
}

/* Guards against a takeover after which placement has to learn all anew. */
START_TEST(next_leader_has_the_estimates)
{
	int i;

	for (i = 0; i < WORKERS; i++)
		add_worker(&next, i);
	hand_over();
	check_same();
	/* They are as the record has them, so none is made. */
	ck_assert(!speed_export_due(&next));
}
END_TEST

/* Guards against estimates that are lost because they were read first. */
START_TEST(workers_that_register_later_get_their_estimates)
{
	int i;

	hand_over();
	ck_assert(speed_uneven(&next));
	for (i = 0; i < WORKERS; i++) {
		add_worker(&next, i);
		/* Too few are known for a verdict; the earlier one holds. */
		speed_fit(&next, NOW + i);
		ck_assert(speed_uneven(&next));
	}
	check_same();
	ck_assert_uint_eq(g_hash_table_size(next.speed.estimates), 0);
}
END_TEST

/* Guards against an estimate of another incarnation, or of a worker whose id
 * another one has. */
START_TEST(estimates_of_another_start_time_are_ignored)
{
	struct worker *worker;

	find(&fleet, 0)->reported.born_ms = 999;
	hand_over();
	worker = add_worker(&next, 0);
	ck_assert_double_eq(speed_certainty(worker), 0);
	worker = add_worker(&next, 3);
	ck_assert_double_gt(speed_certainty(worker), 0.8);
}
END_TEST

/* Guards against an old estimate over what this leader has learned. */
START_TEST(record_that_is_read_late_replaces_nothing)
{
	struct worker *worker = add_worker(&next, 0);

	worker->speed.prior = 0.1;
	worker->speed.prior_weight = 20;
	hand_over();
	ck_assert_double_eq(worker->speed.prior, 0.1);
}
END_TEST

/* Guards against a crash, or wild speeds, by what the store holds. */
START_TEST(malformed_records_are_ignored)
{
	msgpack_sbuffer record = write_record();
	struct speed_estimate wild = { 1, 1000, 9, 20 };
	GArray *estimates =
		g_array_new(FALSE, FALSE, sizeof(struct speed_estimate));
	bool uneven;
	GArray *read;
	size_t i;

	for (i = 0; i < record.size; i++)
		ck_assert_ptr_null(speeds_record_read(record.data, i, &uneven));
	for (i = 0; i < record.size; i++) {
		record.data[i] ^= 0xff;
		read = speeds_record_read(record.data, record.size, &uneven);
		if (read)
			g_array_unref(read);
		record.data[i] ^= 0xff;
	}
	msgpack_sbuffer_destroy(&record);
	g_array_append_val(estimates, wild);
	speeds_record_write(estimates, true, &record);
	ck_assert_ptr_null(
		speeds_record_read(record.data, record.size, &uneven));
	msgpack_sbuffer_destroy(&record);
	g_array_unref(estimates);
	speeds_open(&speeds, &next);
	kv_fake_answer_range(&fake, KEY_SPEEDS, "garbage", 7, 5);
	ck_assert(!speed_uneven(&next));
	ck_assert_int_eq(ledger.speeds.revision, 5);
}
END_TEST

/* Guards against a first leader that waits for a record. */
START_TEST(missing_record_is_none)
{
	speeds_open(&speeds, &next);
	kv_fake_answer_range(&fake, KEY_SPEEDS, NULL, 0, 0);
	ck_assert_ptr_null(fake.range);
	ck_assert_int_eq(ledger.speeds.revision, 0);
}
END_TEST

/* Guards against a write over a record that the store did not give. */
START_TEST(read_is_repeated_until_the_store_answers)
{
	msgpack_sbuffer record = write_record();
	int i;

	for (i = 0; i < WORKERS; i++)
		add_worker(&next, i);
	speeds_open(&speeds, &next);
	kv_fake_fail(&fake.range);
	ck_assert_int_eq(ledger.speeds.revision, -1);
	kv_fake_run_ms(&fake, 250);
	ck_assert_ptr_nonnull(fake.range);
	kv_fake_answer_range(&fake, KEY_SPEEDS, record.data, record.size, 5);
	msgpack_sbuffer_destroy(&record);
	check_same();
	/* And no longer than this host leads. */
	speeds_close(&speeds);
	speeds_open(&speeds, &next);
	kv_fake_fail(&fake.range);
	speeds_close(&speeds);
	kv_fake_run_ms(&fake, 250);
	ck_assert_ptr_null(fake.range);
}
END_TEST

static bool makes_record(int64_t now_us)
{
	ledger.speeds.dirty = false;
	speeds_run(&speeds, now_us);
	return ledger.speeds.dirty;
}

/* Guards against records that are written for nothing, and against one that
 * comes too late for a leader of a few seconds. */
START_TEST(record_is_made_after_a_change_and_each_2_s)
{
	speeds_open(&speeds, &fleet);
	kv_fake_answer_range(&fake, KEY_SPEEDS, NULL, 0, 0);
	ck_assert(makes_record(NOW));
	learn(find(&fleet, 1), 0.41);
	speed_fit(&fleet, NOW);
	ck_assert(!makes_record(NOW + SEC));
	ck_assert(makes_record(NOW + 2 * SEC));
	learn(find(&fleet, 2), 1.05);
	speed_fit(&fleet, NOW);
	ck_assert(!makes_record(NOW + 5 * SEC));
	learn(find(&fleet, 2), 0.41);
	speed_fit(&fleet, NOW);
	ck_assert(makes_record(NOW + 5 * SEC + SEC / 5));
}
END_TEST

/* Guards against a record that the store refuses: it takes 1 MB, and each write
 * of it goes over the link of a small host. */
/*
 * Guards against a record that deployments of like workers would pay for without
 * any use. A verdict that has changed is recorded once.
 */
START_TEST(no_record_is_made_while_workers_are_alike)
{
	ck_assert(speed_export_due(&fleet));
	fleet.speed.uneven = false;
	ck_assert(!speed_export_due(&fleet));
	fleet.speed.uneven = true;
	g_array_unref(speed_export(&fleet));
	fleet.speed.uneven = false;
	ck_assert(speed_export_due(&fleet));
	g_array_unref(speed_export(&fleet));
	ck_assert(!speed_export_due(&fleet));
}
END_TEST

START_TEST(record_of_1100_workers_is_small)
{
	msgpack_sbuffer record;
	int i;

	for (i = WORKERS; i < 1100; i++) {
		add_worker(&fleet, i)->reported.born_ms = 1800000000000 + i;
		learn(find(&fleet, i), i % 3 ? 1 : 0.41);
	}
	speed_fit(&fleet, NOW);
	record = write_record();
	ck_assert_uint_gt(record.size, 1100 * 10);
	ck_assert_uint_lt(record.size, 32 * 1024);
	msgpack_sbuffer_destroy(&record);
	for (i = 1100; i < 6000; i++)
		learn(add_worker(&fleet, i), 1);
	speed_fit(&fleet, NOW);
	record = write_record();
	ck_assert_uint_lt(record.size, 128 * 1024);
	msgpack_sbuffer_destroy(&record);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speeds");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, next_leader_has_the_estimates);
	tcase_add_test(tc, workers_that_register_later_get_their_estimates);
	tcase_add_test(tc, estimates_of_another_start_time_are_ignored);
	tcase_add_test(tc, record_that_is_read_late_replaces_nothing);
	tcase_add_test(tc, malformed_records_are_ignored);
	tcase_add_test(tc, missing_record_is_none);
	tcase_add_test(tc, read_is_repeated_until_the_store_answers);
	tcase_add_test(tc, record_is_made_after_a_change_and_each_2_s);
	tcase_add_test(tc, no_record_is_made_while_workers_are_alike);
	tcase_add_test(tc, record_of_1100_workers_is_small);
	return run_case("speeds", tc);
}
