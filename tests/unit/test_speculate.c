#include <stdio.h>
#include <string.h>

#include "fleet/plan.h"
#include "fleet/speculate.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Speculative execution: copies of slow tasks, without a network. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
	make_worker(&fleet, "w1", "r", 8, NOW);
	make_worker(&fleet, "w2", "r", 8, NOW);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

static int plan(int64_t now_us)
{
	int planned;

	fleet_open_due(&fleet, now_us, 0);
	planned = plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
	return planned;
}

/* A task with a declared duration of 2 s that is at 4 percent after 2 s. */
static struct task *make_slow(void)
{
	struct job *job = make_job(&fleet, "slow", 1, 1, 1, 2000, NOW);
	struct task *task;

	job->spec.steps[0].speculative = true;
	job->speculative = true;
	plan(NOW);
	task = first_occurrence_task(job, 0, 0);
	task->first_report_us = NOW;
	task->percent = 4;
	task->progress_us = NOW + 2 * SEC;
	return task;
}

START_TEST(slow_run_gets_a_copy_elsewhere)
{
	struct task *task = make_slow();

	ck_assert_int_eq(plan(NOW + SEC / 2), 0);
	ck_assert_int_eq(plan(NOW + 2 * SEC), 1);
	ck_assert(task_has_copy(task));
	ck_assert_ptr_ne(task->copy->worker, task->worker);
	ck_assert_int_eq(task->run, 1);
	ck_assert_int_eq(task->copy->run, 2);
	/* There is at most one copy. */
	ck_assert_int_eq(plan(NOW + 3 * SEC), 0);
}
END_TEST

START_TEST(run_at_usual_pace_gets_no_copy)
{
	struct task *task = make_slow();

	task->percent = 60;
	ck_assert_int_eq(plan(NOW + 2 * SEC), 0);
}
END_TEST

START_TEST(ineligible_tasks_get_no_copy)
{
	struct task *task = make_slow();

	task->stage->job->spec.steps[0].speculative = false;
	ck_assert_int_eq(plan(NOW + 2 * SEC), 0);
	task->stage->job->spec.steps[0].speculative = true;
	task->stage->job->spec.steps[0].gang = true;
	ck_assert_int_eq(plan(NOW + 2 * SEC), 0);
}
END_TEST

/*
 * If more work waits than fits, free resources must go to waiting tasks and
 * not to copies.
 */
START_TEST(waiting_work_precedes_copies)
{
	make_slow();
	make_job(&fleet, "more", 2, 40, 1, 1000, NOW);
	ck_assert_int_eq(plan(NOW + 2 * SEC), 15);
}
END_TEST

START_TEST(copy_that_is_done_first_counts)
{
	struct task *task = make_slow();
	struct job *job = task->stage->job;
	struct worker *slow = task->worker;

	plan(NOW + 2 * SEC);
	report_run_end(&fleet, task->copy, RUN_DONE, NOW + 4 * SEC);
	ck_assert_int_eq(job->phase, JOB_DONE);
	ck_assert_int_eq(task->phase, TASK_DONE);
	ck_assert_ptr_null(task->worker);
	/* The slow run holds its resources until its end is reported. */
	ck_assert_int_eq(task->copy->phase, TASK_STOPPING);
	ck_assert_ptr_eq(task->copy->worker, slow);
	ck_assert_int_eq(task->copy->run, 1);
	report_run_end(&fleet, task->copy, RUN_STOPPED, NOW + 5 * SEC);
	ck_assert_int_eq(slow->task_count, 0);
	ck_assert(!fleet_job_holds_room(job));
	ck_assert_int_eq(job->phase, JOB_DONE);
}
END_TEST

/*
 * Guards against a run that is released as not sent although it was: the task
 * has exchanged its run with that of its copy.
 */
START_TEST(exchanged_runs_keep_what_was_sent)
{
	struct task *task = make_slow();

	plan(NOW + 2 * SEC);
	task->copy->sent = false;
	task->copy->start_pending = false;
	report_run_end(&fleet, task, RUN_LAPSED, NOW + 3 * SEC);
	/* The task goes on with the run of its copy, which was not sent. */
	ck_assert_int_eq(task->run, 2);
	ck_assert(fleet_release_unsent(&fleet, task));
	ck_assert_ptr_null(task->worker);
}
END_TEST

START_TEST(copy_stops_when_the_first_run_is_done)
{
	struct task *task = make_slow();

	plan(NOW + 2 * SEC);
	report_run_end(&fleet, task, RUN_DONE, NOW + 4 * SEC);
	ck_assert_int_eq(task->stage->job->phase, JOB_DONE);
	ck_assert_int_eq(task->copy->phase, TASK_STOPPING);
	/* The copy finished as well before the stop order reached it. */
	report_run_end(&fleet, task->copy, RUN_DONE, NOW + 4 * SEC + 1);
	ck_assert_int_eq(task->stage->left, 0);
	ck_assert(!fleet_job_holds_room(task->stage->job));
}
END_TEST

START_TEST(copy_survives_loss_of_the_first_worker)
{
	struct task *task = make_slow();
	struct worker *other;

	plan(NOW + 2 * SEC);
	other = task->copy->worker;
	fleet_worker_ended(&fleet, task->worker);
	ck_assert_ptr_eq(task->worker, other);
	ck_assert_int_eq(task->run, 2);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	ck_assert(!task_has_copy(task));
	ck_assert_int_eq(plan(NOW + 3 * SEC), 0);
	report_run_end(&fleet, task, RUN_DONE, NOW + 5 * SEC);
	ck_assert_int_eq(task->stage->job->phase, JOB_DONE);
}
END_TEST

START_TEST(run_numbers_are_shared_by_both)
{
	struct task *task = make_slow();

	plan(NOW + 2 * SEC);
	report_run_end(&fleet, task->copy, RUN_LAPSED, NOW + 3 * SEC);
	report_run_end(&fleet, task, RUN_LAPSED, NOW + 3 * SEC);
	ck_assert_int_eq(plan(NOW + 3 * SEC), 1);
	ck_assert_int_eq(task->run, 3);
}
END_TEST

START_TEST(failures_of_both_count)
{
	struct task *task = make_slow();

	task->stage->job->attempts = 2;
	plan(NOW + 2 * SEC);
	report_run_end(&fleet, task->copy, RUN_FAILED, NOW + 3 * SEC);
	ck_assert_int_eq(task->fails, 1);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	report_run_end(&fleet, task, RUN_FAILED, NOW + 3 * SEC);
	ck_assert_int_eq(task->stage->job->phase, JOB_FAILED);
}
END_TEST

START_TEST(cancellation_stops_both)
{
	struct task *task = make_slow();

	plan(NOW + 2 * SEC);
	fleet_cancel(&fleet, task->stage->job, 1);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
	ck_assert_int_eq(task->copy->phase, TASK_STOPPING);
	report_run_end(&fleet, task, RUN_STOPPED, NOW + 3 * SEC);
	ck_assert(fleet_job_holds_room(task->stage->job));
	report_run_end(&fleet, task, RUN_STOPPED, NOW + 3 * SEC);
	ck_assert(!fleet_job_holds_room(task->stage->job));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speculate");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, slow_run_gets_a_copy_elsewhere);
	tcase_add_test(tc, run_at_usual_pace_gets_no_copy);
	tcase_add_test(tc, ineligible_tasks_get_no_copy);
	tcase_add_test(tc, waiting_work_precedes_copies);
	tcase_add_test(tc, copy_that_is_done_first_counts);
	tcase_add_test(tc, exchanged_runs_keep_what_was_sent);
	tcase_add_test(tc, copy_stops_when_the_first_run_is_done);
	tcase_add_test(tc, copy_survives_loss_of_the_first_worker);
	tcase_add_test(tc, run_numbers_are_shared_by_both);
	tcase_add_test(tc, failures_of_both_count);
	tcase_add_test(tc, cancellation_stops_both);
	return run_case("speculate", tc);
}
