#include <check.h>
#include <stdlib.h>

#include "base/err.h"
#include "wire/kv.h"
#include "tests/unit/run.h"

struct probe {
	struct kv_call call;
	int done;
	int64_t first_revision;
	char first_value[32];
};

struct watcher {
	struct kv_watch watch;
	int puts;
	int deletes;
	int ups;
};

static struct kn kn;
static struct kv *kv;
static struct kn_timer tick;

/* A round of the kernel waits for an event even after a timer has run. */
static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(&kn, timer, USEC_PER_MSEC, on_tick);
}

static void setup(void)
{
	ck_assert(kn_init(&kn, NULL));
	on_tick(&tick);
	kv = kv_mem_new(&kn);
}

static void teardown(void)
{
	kv_free(kv);
	kn_timer_cancel(&tick);
	kn_finish(&kn);
}

static void on_done(struct kv_call *call)
{
	struct probe *probe = container_of(call, struct probe, call);

	probe->done++;
	if (call->count > 0) {
		probe->first_revision = call->items[0].mod_revision;
		g_strlcpy(probe->first_value, call->items[0].value,
			  sizeof(probe->first_value));
	}
}

static void on_event(struct kv_watch *watch, const struct kv_item *item)
{
	struct watcher *w = container_of(watch, struct watcher, watch);

	if (item->value)
		w->puts++;
	else
		w->deletes++;
}

static void on_state(struct kv_watch *watch, bool up)
{
	container_of(watch, struct watcher, watch)->ups += up ? 1 : -1;
}

static void turn_until(const int *value, int wanted)
{
	int64_t end = kn_now_us() + 5 * USEC_PER_SEC;

	while (*value != wanted && kn_now_us() < end)
		kn_turn(&kn);
	ck_assert_int_eq(*value, wanted);
}

static void put(struct probe *p, const char *key, const char *value,
		int64_t expected, int64_t lease)
{
	struct kv_cmp cmp = { key, expected };
	struct kv_op op = { .kind = KV_PUT,
			    .key = key,
			    .value = value,
			    .len = strlen(value),
			    .lease = lease };
	struct kv_op get = { .kind = KV_RANGE, .key = key };

	memset(p, 0, sizeof(*p));
	p->call.done = on_done;
	kv->ops->txn(kv, &p->call, &cmp, 1, &op, 1, &get, 1);
	ck_assert_int_eq(p->done, 0);
	turn_until(&p->done, 1);
}

static void range(struct probe *p, const char *key, bool prefix)
{
	memset(p, 0, sizeof(*p));
	p->call.done = on_done;
	kv->ops->range(kv, &p->call, key, prefix);
	turn_until(&p->done, 1);
}

/*
 * Guards against a create that overwrites, and against done() that is called
 * from inside the call.
 */
START_TEST(transaction_compares_before_it_writes)
{
	struct probe p;

	put(&p, "/a/1", "one", 0, 0);
	ck_assert(p.call.succeeded);
	put(&p, "/a/1", "two", 0, 0);
	ck_assert(!p.call.succeeded);
	ck_assert_str_eq(p.first_value, "one");
	put(&p, "/a/1", "three", p.first_revision, 0);
	ck_assert(p.call.succeeded);
	put(&p, "/b", "other", 0, 0);
	range(&p, "/a/", true);
	ck_assert_uint_eq(p.call.count, 1);
	ck_assert_str_eq(p.first_value, "three");
	ck_assert_int_lt(p.first_revision, p.call.revision);
}
END_TEST

/* Guards against a key that outlives its lease, and a lapsed lease in use. */
START_TEST(lease_takes_its_keys_along)
{
	struct watcher w = { .watch = { .event = on_event,
					.state = on_state } };
	struct probe p = { .call.done = on_done };
	int64_t lease;

	g_strlcpy(w.watch.prefix, "/lead", sizeof(w.watch.prefix));
	kv->ops->grant(kv, &p.call, 1);
	turn_until(&p.done, 1);
	lease = p.call.lease;
	put(&p, "/lead", "me", 0, lease);
	kv->ops->watch(kv, &w.watch);
	turn_until(&w.ups, 1);
	ck_assert_int_eq(w.puts, 1);
	turn_until(&w.deletes, 1);
	memset(&p, 0, sizeof(p));
	p.call.done = on_done;
	kv->ops->keepalive(kv, &p.call, lease);
	turn_until(&p.done, 1);
	ck_assert_int_eq(p.call.ttl_s, 0);
	put(&p, "/lead", "me", 0, lease);
	ck_assert_int_eq(p.call.result, CB_E_STORE_DOWN);
	ck_assert(!p.call.succeeded);
	kv->ops->unwatch(kv, &w.watch);
}
END_TEST

/* Guards against events that reach a watch after it has ended. */
START_TEST(unwatch_drops_queued_events)
{
	struct watcher w = { .watch = { .event = on_event,
					.state = on_state } };
	struct probe p;

	g_strlcpy(w.watch.prefix, "/a", sizeof(w.watch.prefix));
	put(&p, "/a", "1", 0, 0);
	kv->ops->watch(kv, &w.watch);
	kv->ops->unwatch(kv, &w.watch);
	range(&p, "/a", false);
	ck_assert_int_eq(w.puts + w.ups, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, transaction_compares_before_it_writes);
	tcase_add_test(tc, lease_takes_its_keys_along);
	tcase_add_test(tc, unwatch_drops_queued_events);
	return run_case("kvmem", tc);
}
