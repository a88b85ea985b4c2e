#include <stdio.h>

#include "base/limits.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Orders to workers that take few connections. */

static struct rig rig;

#define JOB_A "00000000000000aa"

static void check_invariants(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
}

START_TEST(gang_starts_on_the_only_connection)
{
	struct site_worker *worker;
	int64_t begin_us;

	rig_start(&rig, 1, 1, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	worker->server.conns_max = 1;
	begin_us = kn_now_us();
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 8, "ms=60000 gang=8",
				    ",\"gang\":true"),
			 200);
	while (site_fleet_running(rig.fleet) < 8 &&
	       kn_now_us() - begin_us < 3 * USEC_PER_SEC)
		rig_run_ms(&rig, 20);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 8);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("connections");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, gang_starts_on_the_only_connection);
	return run_case("connections", tc);
}
