#include <check.h>
#include <stdlib.h>

#include "policy/rt.h"

#define SERVERS 50

static int share_of_slow(enum rt_rule rule)
{
	struct rt_server servers[SERVERS] = { 0 };
	struct rt_server *usable[SERVERS];
	GRand *rand = g_rand_new_with_seed(7);
	struct rt_server *chosen;
	int i, slow = 0;

	for (i = 0; i < SERVERS; i++) {
		usable[i] = &servers[i];
		servers[i].latency_us = i < 10 ? 500000 : 10000;
		/* Slow servers gather requests in flight. */
		servers[i].in_flight = i < 10 ? 3 : i % 3;
	}
	for (i = 0; i < 10000; i++) {
		chosen = rt_pick(rule, usable, SERVERS, rand);
		ck_assert_ptr_nonnull(chosen);
		slow += chosen - servers < 10;
	}
	g_rand_free(rand);
	return slow;
}

/* Guards against sending new work to servers that are known to be slow. */
START_TEST(slow_servers_are_avoided)
{
	/* An even choice would give them 2000. */
	ck_assert_int_le(share_of_slow(RT_TWO_CHOICES), 500);
	ck_assert_int_le(share_of_slow(RT_HOT_COLD), 500);
}
END_TEST

/* Guards against a crash or a wrong count at the edges. */
START_TEST(few_servers_and_samples)
{
	struct rt_server one = { 0 }, *usable = &one;
	GRand *rand = g_rand_new_with_seed(7);

	ck_assert_ptr_null(rt_pick(RT_TWO_CHOICES, &usable, 0, rand));
	ck_assert_ptr_eq(rt_pick(RT_TWO_CHOICES, &usable, 1, rand), &one);
	ck_assert_ptr_eq(rt_pick(RT_HOT_COLD, &usable, 1, rand), &one);
	rt_start(&one);
	rt_end(&one, 0);
	ck_assert_int_eq(one.latency_us, 0);
	rt_start(&one);
	rt_end(&one, 1000);
	ck_assert_int_eq(one.latency_us, 1000);
	ck_assert_int_eq(one.in_flight, 0);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rt");
	TCase *tc = tcase_create("choice");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tc, slow_servers_are_avoided);
	tcase_add_test(tc, few_servers_and_samples);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
