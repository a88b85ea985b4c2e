#include <stdio.h>
#include <string.h>

#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Hosts of a spare pool that are lent when the leader changes, in a whole
 * deployment with simulated store, workers and hosts. */

#define SPARE_HOSTS 2
#define LONG_JOB "00000000000000aa"
#define WIDE_JOB "00000000000000bb"
#define LATE_JOB "00000000000000cc"
/* Idle time after which a lent host goes back, LEND_IDLE_RETURN_MS, and the
 * time for the election, the lists and the orders. */
#define HOME_LIMIT_MS (15000 + 10000)

static struct rig rig;

static void set_up(void)
{
	struct site_worker *worker;
	int count = 0;

	rig_start(&rig, 2, 1 + SPARE_HOSTS, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (count++ >= 1)
			site_machines_spare(rig.machines, worker);
	/* The reports of the workers that are off expire. */
	rig_run_ms(&rig, 1500);
}

static void tear_down(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
	rig_stop(&rig);
}

static int hosts_away(void)
{
	int away = -1; /* one belongs to the pool */
	guint i;

	for (i = 0; i < rig.machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(rig.machines->machines, i);

		away += !machine->spare;
	}
	return away;
}

static bool wait_away(int wanted, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (hosts_away() != wanted && kn_now_us() < until_us)
		rig_run_ms(&rig, 20);
	return hosts_away() == wanted;
}

/* Fills the pool for the rest of the test, and lends all spare hosts. */
static void lend_all(void)
{
	ck_assert_int_eq(rig_submit(&rig, 0, LONG_JOB, 8, "ms=90000", NULL),
			 200);
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(
		rig_submit(&rig, 0, WIDE_JOB, 8 * SPARE_HOSTS, "ms=500", NULL),
		200);
	ck_assert(rig_wait(&rig, 0, WIDE_JOB, "done", 10000));
	ck_assert_int_eq(hosts_away(), SPARE_HOSTS);
}

static void change_leader(void)
{
	site_store_lapse(rig.store, "chivebank/leader");
	rig_run_ms(&rig, 100);
	ck_assert(rig_wait_leader(&rig, 5000));
}

/* Guards against hosts that stay lent for good: only the leader that had lent
 * them knew where they belong. */
START_TEST(lent_hosts_go_home_after_a_change_of_leader)
{
	lend_all();
	change_leader();
	ck_assert(wait_away(0, HOME_LIMIT_MS));
}
END_TEST

/* Guards against the same after a second change, and against hosts that can't
 * be lent again. */
START_TEST(hosts_are_lent_again_after_changes_of_leader)
{
	lend_all();
	change_leader();
	rig_run_ms(&rig, 1000);
	change_leader();
	ck_assert(wait_away(0, HOME_LIMIT_MS));
	ck_assert_int_eq(rig_submit(&rig, 0, LATE_JOB, 8, "ms=300", NULL), 200);
	ck_assert(rig_wait(&rig, 0, LATE_JOB, "done", 10000));
	ck_assert_int_eq(hosts_away(), 1);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lending_takeover");

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, lent_hosts_go_home_after_a_change_of_leader);
	tcase_add_test(tc, hosts_are_lent_again_after_changes_of_leader);
	return run_case("lending_takeover", tc);
}
