#include <stdio.h>

#include "base/limits.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Workers that start again in place before their entries are written anew, or
 * whose entries outlive them. */

static struct rig rig;

#define JOB_LONG "00000000000000aa"
#define JOB_FIRST "00000000000000ab"
#define JOB_SHORT "00000000000000ac"
#define DOWN_STEP_MS 50
#define DOWN_STEPS 8

/*
 * Guards against a task that runs twice: a hold call acknowledged the ends of
 * the former life of a worker to the next one, which dropped an end of its own
 * that nobody had read. The time that the worker is down decides which order
 * reaches the next life first.
 */
START_TEST(end_of_the_next_life_is_read)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 1, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_LONG, 1, "ms=2000", NULL),
			 200);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_FIRST, 4, "ms=100", NULL),
			 200);
	ck_assert(rig_wait(&rig, 0, JOB_FIRST, "done", 3000));
	rig_run_ms(&rig, 300);
	worker->unlisted = true;
	site_worker_halt(worker);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_SHORT, 1, "ms=20", NULL), 200);
	rig_run_ms(&rig, (int64_t)_i * DOWN_STEP_MS);
	site_worker_restart(worker);
	rig_run_ms(&rig, 2500);
	worker->unlisted = false;
	ck_assert(rig_wait(&rig, 0, JOB_SHORT, "done", 6000));
	ck_assert(rig_wait(&rig, 0, JOB_LONG, "done", 8000));
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
	rig_stop(&rig);
}
END_TEST

/* Guards against work that waits for a lease, as it went to a worker that had
 * ended before its registration arrived. */
START_TEST(registration_of_an_ended_worker_gets_no_tasks)
{
	struct site_worker *ended;

	rig_start(&rig, 1, 1, 1);
	ended = site_fleet_add(rig.fleet, "rack-9", 8, 0);
	ended->fault = SITE_WORKER_SILENT;
	rig_run_ms(&rig, 400);
	/* More than the other worker has room for at once. */
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_SHORT, 9, "ms=200", NULL),
			 200);
	/* The lease of a start without an answer takes max_hold_ms, 2,500. */
	ck_assert(rig_wait(&rig, 0, JOB_SHORT, "done", 2000));
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lives");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, registration_of_an_ended_worker_gets_no_tasks);
	tcase_add_loop_test(tc, end_of_the_next_life_is_read, 0, DOWN_STEPS);
	return run_case("lives", tc);
}
