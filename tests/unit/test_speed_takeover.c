#include <math.h>
#include <stdio.h>
#include <string.h>

#include "control/director.h"
#include "control/keys.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Estimates of speed of a whole deployment, with simulated store and workers
 * of which every third is slow, across changes of the leader. */

#define WORKERS 12

static struct rig rig;
static int jobs;

static void set_up(void)
{
	rig_start(&rig, 2, WORKERS, 1);
	ck_assert(site_fleet_set_paces(rig.fleet, "0.41,1,1"));
}

static void tear_down(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
	rig_stop(&rig);
}

/* The scheduler of the host that leads. */
static struct director *leading(void)
{
	int leader = rig_leader(&rig), i = 0;
	struct kn_task *task;

	list_for_each_entry(task, &rig.kn.tasks, node) {
		if (strcmp(task->name, "director") != 0)
			continue;
		if (i++ == leader)
			return container_of(task, struct director, task);
	}
	return NULL;
}

static void submit(int count)
{
	char id[24];

	snprintf(id, sizeof(id), "%016x", 0x100 + jobs++);
	ck_assert_int_eq(rig_submit(&rig, 0, id, count, "ms=400", NULL), 200);
}

/* Hands jobs in until the leader knows all speeds. */
static void learn(void)
{
	int i;

	for (i = 0; i < 40 && (leading()->fleet.speed.known < WORKERS ||
			       !speed_uneven(&leading()->fleet));
	     i++) {
		submit(WORKERS * 4);
		rig_run_ms(&rig, 300);
	}
	ck_assert_int_eq(leading()->fleet.speed.known, WORKERS);
	ck_assert(speed_uneven(&leading()->fleet));
}

/* Estimates are stored at most each 2 s, with other writes. */
static void store(void)
{
	int i;

	for (i = 0; i < 12; i++) {
		submit(1);
		rig_run_ms(&rig, 250);
	}
}

/* Compares the leader's estimates with the true speeds. */
static void check_speeds(double error)
{
	const struct fleet *fleet = &leading()->fleet;
	struct site_worker *worker;

	ck_assert(speed_uneven(fleet));
	list_for_each_entry(worker, &rig.fleet->workers, node) {
		double found = speed_of(
			fleet,
			g_hash_table_lookup(fleet->workers_by_id, worker->id));

		ck_assert_msg(fabs(log(found / worker->pace)) < log(error),
			      "%s: %.2f instead of %.2f", worker->id, found,
			      worker->pace);
	}
}

static void change_leader(void)
{
	int64_t fence = leading()->leader.fence;
	int i;

	site_store_lapse(rig.store, KEY_LEADER);
	for (i = 0; i < 200; i++) {
		struct director *director = leading();

		rig_run_ms(&rig, 20);
		if (director && director->leader.fence > fence &&
		    director->ready)
			return;
	}
	ck_abort_msg("no leader is ready after 4 s");
}

/* Guards against a leader that places as if all workers were alike, until it
 * has seen runs on all of them. */
START_TEST(next_leader_knows_the_speeds)
{
	learn();
	store();
	ck_assert_ptr_nonnull(site_store_get(rig.store, KEY_SPEEDS));
	check_speeds(1.4);
	change_leader();
	rig_run_ms(&rig, 100);
	check_speeds(1.4);
	change_leader();
	rig_run_ms(&rig, 100);
	check_speeds(1.4);
}
END_TEST

/* Guards against a takeover that fails, or a record that is never replaced,
 * because of what another program left there. */
START_TEST(malformed_record_is_replaced)
{
	site_store_put(rig.store, KEY_SPEEDS, "garbage");
	change_leader();
	learn();
	store();
	ck_assert_str_ne(site_store_get(rig.store, KEY_SPEEDS)->value,
			 "garbage");
	change_leader();
	rig_run_ms(&rig, 100);
	check_speeds(1.4);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speed_takeover");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, next_leader_knows_the_speeds);
	tcase_add_test(tc, malformed_record_is_replaced);
	return run_case("speed_takeover", tc);
}
