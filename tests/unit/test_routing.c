#include <check.h>
#include <stdlib.h>

#include "base/limits.h"
#include "policy/routing.h"
#include "tests/unit/run.h"

#define SERVERS 50

static int count_slow_picks(int64_t now_us)
{
	struct routing_server servers[SERVERS] = { 0 };
	struct routing_server *usable[SERVERS];
	GRand *rand = g_rand_new_with_seed(7);
	struct routing_server *chosen;
	int i, slow = 0;

	for (i = 0; i < SERVERS; i++) {
		usable[i] = &servers[i];
		servers[i].latency_us = i < 10 ? 500000 : 10000;
		/* Requests accumulate at slow servers. */
		servers[i].in_flight = i < 10 ? 3 : i % 3;
	}
	for (i = 0; i < 10000; i++) {
		chosen = routing_pick(usable, SERVERS, rand, now_us);
		ck_assert_ptr_nonnull(chosen);
		slow += chosen - servers < 10;
	}
	g_rand_free(rand);
	return slow;
}

/* Guards against sending new work to servers that are known to be slow. */
START_TEST(slow_servers_are_avoided)
{
	/* A uniform choice would give them 2000 of 10000. */
	ck_assert_int_le(count_slow_picks(0), 500);
}
END_TEST

/* Guards against never using a server again after it was slow once. */
START_TEST(old_latency_is_forgotten)
{
	struct routing_server two[2] = { { 0, 500000, 0 }, { 0, 10000, 0 } };
	struct routing_server *usable[] = { &two[0], &two[1] };
	GRand *rand = g_rand_new_with_seed(7);

	ck_assert_ptr_eq(routing_pick(usable, 2, rand, 0), &two[1]);
	two[1].sampled_us = 10 * ROUTE_AGE_MS * USEC_PER_MSEC;
	ck_assert_ptr_eq(routing_pick(usable, 2, rand, two[1].sampled_us),
			 &two[0]);
	g_rand_free(rand);
}
END_TEST

/* Guards against a crash or a wrong count with 0 or 1 servers or samples. */
START_TEST(few_servers_and_samples)
{
	struct routing_server one = { 0 }, *usable = &one;
	GRand *rand = g_rand_new_with_seed(7);

	ck_assert_ptr_null(routing_pick(&usable, 0, rand, 0));
	ck_assert_ptr_eq(routing_pick(&usable, 1, rand, 0), &one);
	routing_start(&one);
	routing_end(&one, 0, 5);
	ck_assert_int_eq(one.latency_us, 0);
	routing_start(&one);
	routing_end(&one, 1000, 5);
	ck_assert_int_eq(one.latency_us, 1000);
	ck_assert_int_eq(one.in_flight, 0);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("server selection");

	tcase_add_test(tc, slow_servers_are_avoided);
	tcase_add_test(tc, old_latency_is_forgotten);
	tcase_add_test(tc, few_servers_and_samples);
	return run_case("routing", tc);
}
