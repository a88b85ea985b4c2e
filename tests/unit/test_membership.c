#include <check.h>
#include <stdlib.h>

#include "policy/membership.h"
#include "tests/unit/run.h"

#define SEC USEC_PER_SEC

static struct membership membership;
static struct membership_server servers[10];

static void setup(void)
{
	int i;

	membership_init(&membership);
	for (i = 0; i < 10; i++)
		membership_add(&membership, &servers[i], "web", "10.0.0.1",
			       8000 + i, false);
}

static void record_failures(struct membership_server *server, int n,
			    int64_t now_us)
{
	while (n-- > 0)
		membership_failure(&membership, server, now_us);
}

/*
 * Guards against new requests to a server that announced that it is
 * leaving while the lagging list still has it as live.
 */
START_TEST(lagging_list_does_not_undo_leaving)
{
	ck_assert(membership_mark_leaving(&servers[0], 0));
	ck_assert_int_eq(membership_max_in_flight(&servers[0]), 0);
	ck_assert(!membership_update_listed(&servers[0], true, false, 5 * SEC));
	ck_assert_int_eq(membership_max_in_flight(&servers[0]), 0);
	ck_assert(!membership_mark_leaving(&servers[0], 6 * SEC));
	membership_success(&membership, &servers[0], 1000, 7 * SEC);
	ck_assert_int_eq(membership_max_in_flight(&servers[0]), 0);
	ck_assert(membership_update_listed(&servers[0], true, false, 61 * SEC));
	ck_assert_int_eq(membership_max_in_flight(&servers[0]), 1);
}
END_TEST

/* Guards against requests to a server that is not in the list. */
START_TEST(absent_server_is_not_used)
{
	ck_assert(membership_update_listed(&servers[1], false, false, SEC));
	ck_assert_int_eq(membership_max_in_flight(&servers[1]), 0);
	ck_assert(membership_update_listed(&servers[1], true, false, 2 * SEC));
	ck_assert_int_eq(membership_max_in_flight(&servers[1]), BACKEND_SLOTS);
	ck_assert_ptr_eq(membership_find(&membership, "web", "10.0.0.1", 8001),
			 &servers[1]);
	ck_assert_ptr_null(
		membership_find(&membership, "other", "10.0.0.1", 8001));
}
END_TEST

/*
 * Guards against requests to a failed server, and against sending it its
 * full load at once when it returns.
 */
START_TEST(ejected_server_returns_slowly)
{
	struct membership_server *s = &servers[2];
	int64_t first = EJECT_BASE_MS * USEC_PER_MSEC;
	int i, sent;

	record_failures(s, EJECT_FAILURES - 1, 0);
	membership_success(&membership, s, 1000, 0);
	record_failures(s, EJECT_FAILURES - 1, 0);
	ck_assert_int_eq(membership_max_in_flight(s), BACKEND_SLOTS);
	record_failures(s, 1, 0);
	ck_assert_int_eq(membership_max_in_flight(s), 0);
	ck_assert(!membership_tick(s, first - 1));
	ck_assert(membership_tick(s, first));
	ck_assert_int_eq(membership_max_in_flight(s), 1);
	/* A failure during probation doubles the delay. */
	ck_assert(membership_failure(&membership, s, first));
	ck_assert(!membership_tick(s, 2 * first));
	ck_assert(membership_tick(s, 3 * first));
	for (sent = 1; sent < BACKEND_SLOTS; sent *= 2) {
		ck_assert_int_eq(membership_max_in_flight(s), sent);
		for (i = 0; i < sent; i++)
			membership_success(&membership, s, 1000, 4 * SEC);
	}
	ck_assert_int_eq(s->state, MEMBERSHIP_LIVE);
}
END_TEST

/* Guards against ejecting most servers for their latency. */
START_TEST(ejection_limit_stops_latency_ejection)
{
	int i, k, out = 0;

	for (k = 0; k < EJECT_SAMPLES; k++)
		for (i = 0; i < 10; i++)
			membership_success(&membership, &servers[i], 1000, SEC);
	/* One slow server is ejected for its latency. */
	for (k = 0; k < 200 && servers[0].state == MEMBERSHIP_LIVE; k++)
		membership_success(&membership, &servers[0], 100000, SEC);
	ck_assert_int_eq(servers[0].state, MEMBERSHIP_EJECTED);
	ck_assert(servers[0].ejected_slow);
	for (i = 1; i < 5; i++)
		record_failures(&servers[i], EJECT_FAILURES, SEC);
	/*
	 * With half of the servers ejected, a slow one stays, while a
	 * failing one is still ejected.
	 */
	for (k = 0; k < 200; k++)
		membership_success(&membership, &servers[5], 100000, SEC);
	ck_assert_int_eq(servers[5].state, MEMBERSHIP_LIVE);
	record_failures(&servers[6], EJECT_FAILURES, SEC);
	for (i = 0; i < 10; i++)
		out += membership_max_in_flight(&servers[i]) == 0;
	ck_assert_int_eq(out, 6);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("membership");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, lagging_list_does_not_undo_leaving);
	tcase_add_test(tc, absent_server_is_not_used);
	tcase_add_test(tc, ejected_server_returns_slowly);
	tcase_add_test(tc, ejection_limit_stops_latency_ejection);
	return run_case("membership", tc);
}
