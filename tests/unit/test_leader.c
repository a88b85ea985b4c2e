#include <check.h>
#include <string.h>

#include "base/limits.h"
#include "control/keys.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Election of the leader at an entry host, with a simulated store. */

static struct rig rig;
static bool key_exists;

static void on_changed(void *user, const char *key, const char *value,
		       size_t len)
{
	if (strcmp(key, KEY_LEADER) == 0)
		key_exists = value != NULL;
}

static void wait_key(bool exists, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (key_exists != exists && kn_now_us() < until_us)
		rig_run_ms(&rig, 1);
	ck_assert_int_eq(key_exists, exists);
}

/* The host has not heard yet that the store created the key. */
START_TEST(stop_amid_an_election_leaves_no_leader_key)
{
	rig_start(&rig, 1, 1, 1);
	rig.store->changed = on_changed;
	site_store_fault(rig.store, -1, SITE_WELL, 0, 100);
	site_store_remove(rig.store, KEY_LEADER);
	key_exists = false;
	wait_key(true, 3000);
	kn_drain(&rig.kn);
	wait_key(false, 1000);
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("leader");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, stop_amid_an_election_leaves_no_leader_key);
	return run_case("leader", tc);
}
