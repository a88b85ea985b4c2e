#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "tests/standins/pf_server.h"
#include "wire/kv.h"
#include "tests/unit/run.h"

struct probe {
	struct kv_call call;
	int done;
	size_t items;
	char value[64];
	int64_t mod;
};

struct watcher {
	struct kv_watch watch;
	int events;
	int deletes;
	int ups;
	int downs;
	char last[64];
	bool end_at_event;
};

static struct kn kn;
static struct pf_thread platform;
static struct kv *kv;
static struct kn_timer tick;

/* A round of the kernel waits for an event even after a timer has run. */
static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(&kn, timer, USEC_PER_MSEC, on_tick);
}

static void setup(void)
{
	pf_thread_start(&platform);
	ck_assert(kn_init(&kn, NULL));
	kn_handle_signals(&kn);
	on_tick(&tick);
	kv = kv_etcd_new(&kn, "127.0.0.1", platform.server.kv_port, "127.0.0.1",
			 platform.server.control_port);
}

static void teardown(void)
{
	kv_free(kv);
	kn_timer_cancel(&tick);
	kn_finish(&kn);
	pf_thread_stop(&platform);
}

static void on_done(struct kv_call *call)
{
	struct probe *p = container_of(call, struct probe, call);

	p->done++;
	p->items = call->count;
	if (call->count > 0) {
		g_strlcpy(p->value, call->items[0].value, sizeof(p->value));
		p->mod = call->items[0].mod_revision;
	}
}

static void on_event(struct kv_watch *watch, const struct kv_item *item)
{
	struct watcher *w = container_of(watch, struct watcher, watch);

	w->events++;
	if (item->value)
		g_strlcpy(w->last, item->value, sizeof(w->last));
	else
		w->deletes++;
	if (w->end_at_event)
		kv->ops->unwatch(kv, watch);
}

static void on_state(struct kv_watch *watch, bool up)
{
	struct watcher *w = container_of(watch, struct watcher, watch);

	if (up)
		w->ups++;
	else
		w->downs++;
}

/* Runs until *value reaches wanted; returns the milliseconds it took. */
static int64_t turn_until(const int *value, int wanted, int64_t limit_ms)
{
	int64_t start = kn_now_us();

	while (*value < wanted &&
	       kn_now_us() - start < limit_ms * USEC_PER_MSEC)
		kn_turn(&kn);
	ck_assert_int_eq(*value, wanted);
	return (kn_now_us() - start) / USEC_PER_MSEC;
}

static void begin(struct probe *p)
{
	memset(p, 0, sizeof(*p));
	p->call.done = on_done;
}

static void end(struct probe *p)
{
	ck_assert_int_eq(p->done, 0);
	turn_until(&p->done, 1, 4000);
}

static void range(struct probe *p, const char *key, bool prefix)
{
	begin(p);
	kv->ops->range(kv, &p->call, key, prefix);
	end(p);
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

	begin(p);
	kv->ops->txn(kv, &p->call, &cmp, 1, &op, 1, &get, 1);
	end(p);
}

static void watch(struct watcher *w, const char *prefix)
{
	memset(w, 0, sizeof(*w));
	w->watch.event = on_event;
	w->watch.state = on_state;
	g_strlcpy(w->watch.prefix, prefix, sizeof(w->watch.prefix));
	kv->ops->watch(kv, &w->watch);
}

static uint64_t counted(enum kv_call_kind kind)
{
	return kv->calls_by_kind[kind].value;
}

/* Guards against calls that the counters miss or book as another kind. */
START_TEST(calls_are_counted_by_kind)
{
	struct watcher w = { .watch = { .event = on_event,
					.state = on_state } };
	struct probe p;
	uint64_t sum = 0;
	int i;

	put(&p, "/a", "one", 0, 0);
	range(&p, "/a", false);
	range(&p, "/a", false);
	begin(&p);
	kv->ops->grant(kv, &p.call, 5);
	end(&p);
	ck_assert_uint_eq(counted(KV_CALL_TXN), 1);
	ck_assert_uint_eq(counted(KV_CALL_RANGE), 2);
	ck_assert_uint_eq(counted(KV_CALL_LEASE), 1);
	ck_assert_uint_eq(counted(KV_CALL_WATCH), 0);
	g_strlcpy(w.watch.prefix, "/a", sizeof(w.watch.prefix));
	kv->ops->watch(kv, &w.watch);
	turn_until(&w.ups, 1, 5000);
	kv->ops->unwatch(kv, &w.watch);
	ck_assert_uint_eq(counted(KV_CALL_WATCH), 1);
	for (i = 0; i < KV_CALL_KINDS; i++)
		sum += counted(i);
	ck_assert_uint_eq(sum, kv->calls);
}
END_TEST

/* Guards against a client that speaks another dialect than the gateway. */
START_TEST(transactions_and_leases)
{
	struct probe p;
	struct kv_op del = { .kind = KV_DELETE, .key = "/a/", .prefix = true };
	int64_t lease;

	put(&p, "/a/1", "one", 0, 0);
	ck_assert(p.call.succeeded);
	put(&p, "/a/1", "two", 0, 0);
	ck_assert_int_eq(p.call.result, CB_OK);
	ck_assert(!p.call.succeeded);
	ck_assert_str_eq(p.value, "one");
	put(&p, "/a/1", "", p.mod, 0);
	ck_assert(p.call.succeeded);
	put(&p, "/b", "b", 0, 0);
	range(&p, "/a/", true);
	ck_assert_uint_eq(p.items, 1);
	ck_assert_str_eq(p.value, "");
	begin(&p);
	kv->ops->txn(kv, &p.call, NULL, 0, &del, 1, NULL, 0);
	end(&p);
	range(&p, "/a/1", false);
	ck_assert_uint_eq(p.items, 0);
	begin(&p);
	kv->ops->grant(kv, &p.call, 1);
	end(&p);
	lease = p.call.lease;
	put(&p, "/lead", "me", 0, lease);
	ck_assert(p.call.succeeded);
	begin(&p);
	kv->ops->keepalive(kv, &p.call, lease);
	end(&p);
	ck_assert_int_eq(p.call.ttl_s, 1);
	begin(&p);
	kv->ops->revoke(kv, &p.call, lease);
	end(&p);
	range(&p, "/lead", false);
	ck_assert_uint_eq(p.items, 0);
	put(&p, "/lead", "me", 0, lease);
	ck_assert_int_eq(p.call.result, CB_E_STORE_DOWN);
	begin(&p);
	kv->ops->keepalive(kv, &p.call, lease);
	end(&p);
	ck_assert_int_eq(p.call.ttl_s, 0);
}
END_TEST

struct hosts_probe {
	struct kv_hosts_call call;
	int done;
	int leaving;
};

static void on_hosts(struct kv_hosts_call *call)
{
	struct hosts_probe *p = container_of(call, struct hosts_probe, call);
	size_t i;

	p->done++;
	for (i = 0; i < call->count; i++)
		p->leaving += call->hosts[i].leaving;
}

static void get_hosts(struct hosts_probe *p)
{
	memset(p, 0, sizeof(*p));
	p->call.done = on_hosts;
	kv->ops->hosts(kv, &p->call);
	turn_until(&p->done, 1, 4000);
}

/* Guards against a list that fails being taken for an empty one. */
START_TEST(host_list_lags_and_fails)
{
	struct hosts_probe p;

	pf_thread_control(&platform,
			  "{\"hosts\": [{\"addr\": \"10.0.0.1\", \"port\": 80, "
			  "\"dc\": \"p\", \"service\": \"s\", \"state\": "
			  "\"live\"}]}");
	get_hosts(&p);
	ck_assert_uint_eq(p.call.count, 1);
	pf_thread_control(&platform,
			  "{\"hosts_lag_ms\": 300, \"hosts\": [{\"addr\": "
			  "\"10.0.0.1\", \"port\": 80, \"dc\": \"p\", "
			  "\"service\": \"s\", \"state\": \"leaving\"}]}");
	get_hosts(&p);
	ck_assert_int_eq(p.leaving, 0);
	g_usleep(300 * 1000);
	get_hosts(&p);
	ck_assert_int_eq(p.leaving, 1);
	pf_thread_control(&platform, "{\"down\": true}");
	get_hosts(&p);
	ck_assert_int_ne(p.call.result, CB_OK);
}
END_TEST

/* Guards against a write that took effect and is reported as not made. */
START_TEST(failures_tell_whether_a_write_may_have_happened)
{
	struct probe p;

	pf_thread_control(&platform, "{\"drop_answers\": 1}");
	put(&p, "/k", "lost answer", 0, 0);
	ck_assert_int_eq(p.call.result, CB_E_TIMEOUT);
	range(&p, "/k", false);
	ck_assert_str_eq(p.value, "lost answer");
	pf_thread_control(&platform, "{\"delay_ms\": 5000}");
	put(&p, "/slow", "x", 0, 0);
	ck_assert_int_eq(p.call.result, CB_E_TIMEOUT);
	pf_thread_control(&platform, "{\"delay_ms\": 0, \"down\": true}");
	put(&p, "/never", "x", 0, 0);
	ck_assert_int_eq(p.call.result, CB_E_STORE_DOWN);
	pf_thread_control(&platform, "{\"down\": false}");
	range(&p, "/never", false);
	ck_assert_int_eq(p.call.result, CB_OK);
	ck_assert_uint_eq(p.items, 0);
}
END_TEST

/* Guards against calls that are lost or refused when many run at once. */
START_TEST(calls_wait_for_a_free_connection)
{
	struct probe *probes = calloc(100, sizeof(*probes));
	int64_t calls = pf_thread_calls(&platform, "range");
	int i;

	for (i = 0; i < 100; i++) {
		begin(&probes[i]);
		kv->ops->range(kv, &probes[i].call, "/x", false);
	}
	for (i = 0; i < 100; i++) {
		turn_until(&probes[i].done, 1, 4000);
		ck_assert_int_eq(probes[i].call.result, CB_OK);
	}
	ck_assert_int_eq(pf_thread_calls(&platform, "range"), calls + 100);
	free(probes);
}
END_TEST

/* Guards against changes that are missed while the stream is broken. */
START_TEST(watch_comes_back_after_an_outage)
{
	struct watcher w;
	struct probe p;

	put(&p, "/w/1", "present", 0, 0);
	watch(&w, "/w/");
	turn_until(&w.ups, 1, 2000);
	ck_assert_str_eq(w.last, "present");
	put(&p, "/w/2", "live", 0, 0);
	put(&p, "/v", "other prefix", 0, 0);
	turn_until(&w.events, 2, 2000);
	ck_assert_str_eq(w.last, "live");
	pf_thread_control(&platform, "{\"down\": true}");
	turn_until(&w.downs, 1, 2000);
	pf_thread_control(&platform, "{\"down\": false}");
	put(&p, "/w/3", "missed", 0, 0);
	turn_until(&w.ups, 2, 7000);
	ck_assert_str_eq(w.last, "missed");
	ck_assert_int_eq(w.events, 3);
	kv->ops->unwatch(kv, &w.watch);
}
END_TEST

/*
 * Guards against a stream that is open and silent: a change must arrive
 * within the 3 s in which it must be in force.
 */
START_TEST(silent_stream_is_noticed)
{
	struct watcher w;
	struct probe p;
	int64_t start;

	watch(&w, "/w/");
	turn_until(&w.ups, 1, 2000);
	pf_thread_control(&platform, "{\"freeze_watches\": true}");
	start = kn_now_us();
	put(&p, "/w/1", "hidden", 0, 0);
	turn_until(&w.events, 1, 3000);
	ck_assert_int_lt(kn_now_us() - start, 3 * USEC_PER_SEC);
	ck_assert_int_eq(w.downs, 1);
	kv->ops->unwatch(kv, &w.watch);
}
END_TEST

/* Guards against use of a watch that its owner ended in a callback. */
START_TEST(watch_may_end_in_its_own_event)
{
	struct watcher w;
	struct probe p;

	watch(&w, "/w/");
	turn_until(&w.ups, 1, 2000);
	w.end_at_event = true;
	put(&p, "/w/1", "first", 0, 0);
	turn_until(&w.events, 1, 2000);
	put(&p, "/w/2", "second", 0, 0);
	range(&p, "/w/", true);
	ck_assert_int_eq(w.events, 1);
	ck_assert_int_eq(w.downs, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("gateway");

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, calls_are_counted_by_kind);
	tcase_add_test(tc, transactions_and_leases);
	tcase_add_test(tc, host_list_lags_and_fails);
	tcase_add_test(tc, failures_tell_whether_a_write_may_have_happened);
	tcase_add_test(tc, calls_wait_for_a_free_connection);
	tcase_add_test(tc, watch_comes_back_after_an_outage);
	tcase_add_test(tc, silent_stream_is_noticed);
	tcase_add_test(tc, watch_may_end_in_its_own_event);
	return run_case("kvetcd", tc);
}
