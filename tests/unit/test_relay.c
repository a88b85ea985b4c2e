#include <check.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "control/relay.h"
#include "tests/standins/ports.h"
#include "tests/unit/run.h"

/* Calls to the store that one host passes on for another. */

/* A way to the store that refuses all calls, or takes them and is silent. */
struct way {
	struct exchange exchange;
	struct list_head calls;
	bool silent;
	int taken;
	struct kn_timer timer;
};

static struct kn kn;

static void on_refusal(struct kn_timer *timer)
{
	struct way *way = container_of(timer, struct way, timer);

	while (!list_empty(&way->calls)) {
		struct exchange_call *call = list_first_entry(
			&way->calls, struct exchange_call, node);

		list_del(&call->node);
		call->result = CB_E_UPSTREAM_LOST;
		call->sent = false;
		call->done(call);
	}
}

static void way_start(struct exchange *exchange, struct exchange_call *call,
		      const struct exchange_request *request)
{
	struct way *way = container_of(exchange, struct way, exchange);

	way->taken++;
	list_add_tail(&call->node, &way->calls);
	if (!way->silent && !kn_timer_pending(&way->timer))
		kn_timer_set(exchange->kn, &way->timer, 1000, on_refusal);
}

static void way_cancel(struct exchange *exchange, struct exchange_call *call)
{
	list_del(&call->node);
}

static void way_refresh(struct exchange *exchange)
{
}

static void way_finish(struct exchange *exchange)
{
	struct way *way = container_of(exchange, struct way, exchange);

	kn_timer_cancel(&way->timer);
	g_free(way);
}

static const struct exchange_ops way_ops = {
	.start = way_start,
	.cancel = way_cancel,
	.refresh = way_refresh,
	.finish = way_finish,
};

static struct way *way_new(bool silent)
{
	struct way *way = g_new0(struct way, 1);

	way->exchange.ops = &way_ops;
	way->exchange.kn = &kn;
	way->silent = silent;
	list_init(&way->calls);
	return way;
}

static void on_done(struct exchange_call *call)
{
	*(bool *)call->user = true;
}

static void on_wake(struct kn_timer *timer)
{
}

/* Runs until one of the conditions holds; taken NULL: none. */
static void run_until(int64_t until_us, const bool *done, const int *taken)
{
	struct kn_timer timer = { 0 };

	while (kn_now_us() < until_us && !*done && !(taken && *taken > 0)) {
		kn_timer_set(&kn, &timer, 5 * USEC_PER_MSEC, on_wake);
		kn_turn(&kn);
		kn_timer_cancel(&timer);
	}
}

/* The host that passed the call on to the store stops without an answer. */
START_TEST(stop_of_the_passing_host_ends_the_calls_of_others_at_once)
{
	const struct exchange_request request = { .method = "POST",
						  .target = "/kv-txn",
						  .body = "{}",
						  .len = 2,
						  .timeout_ms = 4000,
						  .expected_ms = 4000,
						  .repeatable = true };
	struct site here = { 0 }, there = { 0 };
	struct way *refusing, *silent;
	struct exchange_call call = { .done = on_done };
	struct relay *own, *other;
	GError *err = NULL;
	bool done = false;
	int64_t now_us;

	ck_assert(kn_init(&kn, &err));
	g_strlcpy(there.peers.addr, "127.0.0.1", sizeof(there.peers.addr));
	there.peers.port = ports_reserve();
	here.seeds[0] = there.peers;
	here.seed_count = 1;
	refusing = way_new(false);
	silent = way_new(true);
	own = relay_new(&kn, &here, &refusing->exchange, "/probe");
	other = relay_new(&kn, &there, &silent->exchange, "/probe");
	ck_assert(relay_listen(other, &err));
	call.user = &done;
	own->exchange.ops->start(&own->exchange, &call, &request);
	run_until(kn_now_us() + 2 * USEC_PER_SEC, &done, &silent->taken);
	ck_assert_int_gt(silent->taken, 0);
	ck_assert(!done);
	other->exchange.ops->finish(&other->exchange);
	now_us = kn_now_us();
	run_until(now_us + 2 * USEC_PER_SEC, &done, NULL);
	ck_assert(done);
	ck_assert_int_lt(kn_now_us() - now_us, 500 * USEC_PER_MSEC);
	/* The store may have carried it out: not "refused". */
	ck_assert_int_eq(call.result, CB_E_TIMEOUT);
	ck_assert(call.sent);
	own->exchange.ops->finish(&own->exchange);
	kn_finish(&kn);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("relay");

	tcase_add_test(
		tc, stop_of_the_passing_host_ends_the_calls_of_others_at_once);
	return run_case("relay", tc);
}
