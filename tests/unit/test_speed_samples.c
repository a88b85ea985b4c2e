#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fleet/speed.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Which runs count as observations of their worker's speed. */

#define SEC 1000000LL
#define NOW (1000000 * SEC)
#define WORKERS 4
#define DAY_MS 86400000LL

static struct fleet fleet;
static struct config *config;
static struct worker *workers[WORKERS];
static struct job *job;
static struct step_spec *spec;
static int64_t now_us;

/* What was logged of odd runs. */
static char odd_why[64];
static int odd_lines, odd_left_out;

static void note(void *user, const char *event, const struct job *noted,
		 const struct task *task, const char *why)
{
}

static void odd_run(void *user, const struct task *task, int64_t ms,
		    const char *why, int left_out)
{
	g_strlcpy(odd_why, why, sizeof(odd_why));
	odd_left_out = left_out;
	odd_lines++;
}

static const struct fleet_ops ops = { .note = note, .odd_run = odd_run };

/* A job of one task on each worker, declared to take 2 s. */
static void set_up(void)
{
	char id[16];
	int i;

	make_fleet(&fleet, &config);
	fleet.ops = &ops;
	now_us = NOW;
	odd_lines = 0;
	for (i = 0; i < WORKERS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		workers[i] = make_worker(&fleet, id, "r", 8, NOW);
	}
	job = make_job(&fleet, "job", 1, WORKERS, 1, 2000, NOW);
	spec = &job->spec.steps[0];
	fleet_open_due(&fleet, NOW, 0);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

/* Starts a run of the task on the worker of the same index. */
static struct task *start_task_at(int index, int64_t then_us)
{
	struct task *task = first_occurrence_task(job, 0, index);

	fleet_plan_run(&fleet, task, workers[index], task->run + 1);
	task->phase = TASK_STARTING;
	fleet_run_started(&fleet, task, then_us);
	return task;
}

static struct task *start_task(int index)
{
	return start_task_at(index, now_us - SEC / 2);
}

static void report(struct task *task, int percent)
{
	struct hold_report hold = { .nrunning = 1 };
	struct run_report run = { .run = task->run, .percent = percent };
	char name[160];

	task_name(task, name, sizeof(name));
	run.task = name;
	hold.running = &run;
	fleet_handle_hold(&fleet, task->worker, &hold, now_us, now_us, 0);
}

static void end(struct task *task, enum run_end how)
{
	report_run_end(&fleet, task, how, now_us);
}

static guint samples(int worker)
{
	const GArray *all = workers[worker]->speed.samples;

	return all ? all->len : 0;
}

/* The worker has one sample, at a rate of 1: as declared. */
static void check_as_declared(int worker)
{
	ck_assert_int_eq(samples(worker), 1);
	ck_assert_double_eq_tol(g_array_index(workers[worker]->speed.samples,
					      struct speed_sample, 0)
					.log_rate,
				0, 1e-6);
}

/* Guards against several samples of a run that count as several runs. */
START_TEST(run_has_one_sample)
{
	struct task *task = start_task(0);

	report(task, 5);
	ck_assert_int_eq(samples(0), 0);
	report(task, 10);
	now_us += SEC / 2;
	report(task, 50);
	check_as_declared(0);
	now_us += SEC;
	end(task, RUN_DONE);
	check_as_declared(0);
}
END_TEST

/* Ends the task's run, whose start was so long ago. */
static void end_after(int index, int64_t ms)
{
	struct task *task = start_task_at(index, now_us - ms * 1000);

	end(task, RUN_DONE);
	task->phase = TASK_WAITING;
	task->stage->left = WORKERS;
}

/* Guards against estimates from times that can't be, and a log full of them. */
START_TEST(odd_times_are_left_out_and_logged_once)
{
	int i;

	end_after(0, -500);
	ck_assert_str_eq(odd_why, "ended before its start");
	end_after(1, 0);
	ck_assert_str_eq(odd_why, "took no time");
	end_after(2, 3 * DAY_MS);
	ck_assert_str_eq(odd_why, "took more than a day");
	spec->est_ms = 0;
	end_after(3, 1000);
	ck_assert_str_eq(odd_why, "no declared duration");
	for (i = 0; i < 1000; i++)
		end_after(3, 1000);
	ck_assert_int_eq(odd_lines, 4);
	now_us += 10 * SEC;
	end_after(3, 1000);
	ck_assert_int_eq(odd_lines, 5);
	ck_assert_int_eq(odd_left_out, 1000);
	for (i = 0; i < WORKERS; i++)
		ck_assert_int_eq(samples(i), 0);
}
END_TEST

/* Guards against rates of runs that did not begin at 0 percent. */
START_TEST(run_of_a_checkpoint_counts_from_its_first_report)
{
	struct task *task = first_occurrence_task(job, 0, 0);

	spec->checkpoint = true;
	task->checkpoint = g_strdup("saved");
	start_task(0);
	report(task, 50);
	ck_assert_int_eq(samples(0), 0);
	now_us += SEC / 2;
	report(task, 75);
	check_as_declared(0);
	end(task, RUN_DONE);
	check_as_declared(0);
}
END_TEST

/* Guards against the time that an earlier leader's run took before it was
 * known here. */
START_TEST(adopted_run_counts_from_its_first_report)
{
	struct task *task = first_occurrence_task(job, 0, 0);

	task->run = 1;
	fleet_adopt_run(&fleet, task, workers[0]);
	report(task, 50);
	ck_assert_int_eq(samples(0), 0);
	now_us += SEC / 2;
	report(task, 75);
	end(task, RUN_DONE);
	check_as_declared(0);
}
END_TEST

/* Guards against a partition taken for a slow worker. */
START_TEST(run_of_an_unreachable_worker_is_left_out)
{
	struct task *task = start_task(0);

	workers[0]->unanswered_us = workers[0]->unreachable_us = now_us;
	now_us += SEC;
	report(task, 20);
	end(task, RUN_DONE);
	ck_assert_int_eq(samples(0), 0);
	/* After one unanswered call, only an end may be old. */
	task = start_task(1);
	workers[1]->unanswered_us = now_us;
	report(task, 25);
	now_us += SEC;
	end(task, RUN_DONE);
	check_as_declared(1);
}
END_TEST

/* Guards against rates of tasks that no worker runs at its speed. */
START_TEST(incomparable_tasks_are_left_out)
{
	spec->fills = true;
	report(start_task(0), 30);
	spec->fills = false;
	spec->long_running = true;
	report(start_task(1), 30);
	spec->long_running = false;
	spec->rack = g_strdup("elsewhere");
	report(start_task(2), 30);
	ck_assert_int_eq(samples(0) + samples(1) + samples(2), 0);
	g_free(spec->rack);
	spec->rack = g_strdup("r");
	report(start_task(3), 30);
	ck_assert_int_eq(samples(3), 1);
}
END_TEST

/* Guards against the time of a run that did not do the whole work. */
START_TEST(failed_and_stopped_runs_leave_their_progress_only)
{
	struct task *task;

	end(start_task(0), RUN_FAILED);
	ck_assert_int_eq(samples(0), 0);
	task = start_task(1);
	report(task, 25);
	fleet_stop(&fleet, task, "test");
	now_us += SEC;
	report(task, 30);
	end(task, RUN_STOPPED);
	check_as_declared(1);
}
END_TEST

/* Guards against a task whose two runs are taken for one. */
START_TEST(copy_is_a_run_of_its_own)
{
	struct task *task = start_task(0), *copy;

	copy = task_add_copy(task);
	fleet_plan_run(&fleet, copy, workers[1], 2);
	copy->phase = TASK_STARTING;
	fleet_run_started(&fleet, copy, now_us);
	report(task, 25);
	now_us += 2 * SEC;
	end(copy, RUN_DONE);
	ck_assert_int_eq(task->phase, TASK_DONE);
	check_as_declared(0);
	check_as_declared(1);
}
END_TEST

/* Guards against all members of a gang taken for as slow as the slowest, and
 * against a rerun in other racks compared with the run before. */
START_TEST(gang_counts_by_progress_and_anew_after_a_rerun)
{
	struct stage *stage = job_stage(job, 0, 0);
	const struct speed_stage *before;
	struct task *task = start_task(1);

	spec->gang = true;
	report(task, 25);
	before = stage->speed;
	speed_stage_restart(stage);
	/* The sample refers to the effect of the first run, which is left. */
	speed_fit(&fleet, now_us);
	report(start_task(2), 25);
	ck_assert_ptr_ne(stage->speed, before);
	check_as_declared(1);
	end(start_task(0), RUN_DONE);
	ck_assert_int_eq(samples(0), 0);
}
END_TEST

/* Guards against a report that is read after a later one. */
START_TEST(progress_that_goes_back_is_left_out)
{
	struct task *task = start_task(0);

	report(task, 25);
	now_us += SEC / 2;
	report(task, 20);
	check_as_declared(0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speed_samples");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, run_has_one_sample);
	tcase_add_test(tc, odd_times_are_left_out_and_logged_once);
	tcase_add_test(tc, run_of_a_checkpoint_counts_from_its_first_report);
	tcase_add_test(tc, adopted_run_counts_from_its_first_report);
	tcase_add_test(tc, run_of_an_unreachable_worker_is_left_out);
	tcase_add_test(tc, incomparable_tasks_are_left_out);
	tcase_add_test(tc, failed_and_stopped_runs_leave_their_progress_only);
	tcase_add_test(tc, copy_is_a_run_of_its_own);
	tcase_add_test(tc, gang_counts_by_progress_and_anew_after_a_rerun);
	tcase_add_test(tc, progress_that_goes_back_is_left_out);
	return run_case("speed_samples", tc);
}
