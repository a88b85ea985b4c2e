#include "fleet/evict.h"
#include "fleet/plan.h"
#include "fleet/throttle.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Unit tests of throttling of best-effort tasks and of evictions. */

#define MSEC 1000LL
#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

START_TEST(best_effort_tasks_are_throttled_above_target)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *serve = make_latency_job(&fleet, 1, 0, NOW);
	struct job *fill = make_job(&fleet, "fill", 2, 2, 1, 60000, NOW);
	int64_t now_us = NOW;
	int steps;

	fill->spec.steps[0].fills = true;
	plan_and_start_all(&fleet, NOW);
	ck_assert(throttle_mixed_load(worker));
	first_occurrence_task(serve, 0, 0)->load = 150;
	for (steps = 0; steps < 8; steps++) {
		now_us += 300 * MSEC;
		throttle_pass(&fleet, now_us);
	}
	ck_assert_int_eq(throttle_percent(first_occurrence_task(fill, 0, 0)),
			 0);
	ck_assert_int_eq(throttle_percent(first_occurrence_task(serve, 0, 0)),
			 100);
	/* Raised only after the target has been met for a while. */
	first_occurrence_task(serve, 0, 0)->load = 40;
	now_us += SEC;
	throttle_pass(&fleet, now_us);
	ck_assert_int_eq(throttle_percent(first_occurrence_task(fill, 0, 0)),
			 0);
	for (steps = 0; steps < 80; steps++) {
		now_us += 300 * MSEC;
		throttle_pass(&fleet, now_us);
	}
	ck_assert_int_eq(throttle_percent(first_occurrence_task(fill, 0, 0)),
			 100);
}
END_TEST

static struct job *make_best_effort_job(const char *id, int count)
{
	struct job *job = make_job(&fleet, id, 1, count, 1, 1500, NOW);

	job->spec.steps[0].fills = true;
	return job;
}

/* A throttled task must not be taken for a stalled one. */
START_TEST(throttled_task_is_not_stalled)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *job = make_best_effort_job("fill", 1);
	struct task *task;

	plan_and_start_all(&fleet, NOW);
	task = first_occurrence_task(job, 0, 0);
	task->percent = 50;
	task->first_report_us = NOW;
	task->progress_us = NOW + SEC;
	worker->fill_pace_percent = 0;
	worker->fill_pace_since_us = NOW + SEC;
	task->pace_percent = 0;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 60 * SEC), 0);
	/* At 20 percent of its speed it may still be making progress. */
	worker->fill_pace_percent = 20;
	worker->fill_pace_since_us = NOW + 60 * SEC;
	task->pace_percent = 20;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 70 * SEC), 0);
	/* Even at a fifth of its speed it would have made progress by now. */
	ck_assert_int_eq(evict_pass(&fleet, NOW + 80 * SEC), 1);
}
END_TEST

/* The duration of a throttled run must not enter the queue's statistics. */
START_TEST(throttled_run_is_no_duration_sample)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *job = make_best_effort_job("fill", 1);
	double expected_ms;

	plan_and_start_all(&fleet, NOW);
	expected_ms = fleet_expected_ms(&fleet, job_stage(job, 0, 0));
	worker->fill_pace_since_us = NOW + SEC;
	finish_job_tasks(&fleet, job, NOW + 30 * SEC);
	job = make_best_effort_job("other", 1);
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_double_eq(fleet_expected_ms(&fleet, job_stage(job, 0, 0)),
			    expected_ms);
}
END_TEST

/* The previous leader may have throttled a run that is adopted. */
START_TEST(throttle_of_an_adopted_run_is_unknown)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *fill = make_best_effort_job("fill", 1);
	struct job *plain = make_job(&fleet, "j", 1, 1, 1, 1500, NOW);

	fleet_open_due(&fleet, NOW, 0);
	first_occurrence_task(fill, 0, 0)->run = 1;
	first_occurrence_task(plain, 0, 0)->run = 1;
	fleet_adopt_run(&fleet, first_occurrence_task(fill, 0, 0), worker);
	fleet_adopt_run(&fleet, first_occurrence_task(plain, 0, 0), worker);
	ck_assert_int_ne(first_occurrence_task(fill, 0, 0)->pace_percent,
			 throttle_percent(first_occurrence_task(fill, 0, 0)));
	ck_assert_int_eq(first_occurrence_task(plain, 0, 0)->pace_percent,
			 throttle_percent(first_occurrence_task(plain, 0, 0)));
}
END_TEST

/*
 * More best-effort tasks than serving ones. They are spread over the workers,
 * since each slows down the serving task and the others on its worker.
 */
START_TEST(best_effort_tasks_are_spread)
{
	struct worker *worker;
	struct job *job;

	make_worker(&fleet, "w1", "r", 8, NOW);
	make_worker(&fleet, "w2", "r", 8, NOW);
	make_worker(&fleet, "w3", "r", 8, NOW);
	job = make_latency_job(&fleet, 2, 1, NOW);
	job->spec.steps[0].max_per_worker = 1;
	plan_and_start_all(&fleet, NOW);
	make_best_effort_job("fill", 6);
	plan_and_start_all(&fleet, NOW);
	list_for_each_entry(worker, &fleet.workers, node) {
		const struct task *task;
		int fills = 0;

		list_for_each_entry(task, &worker->tasks, on_worker)
			fills += task->stage->spec->fills;
		ck_assert_int_eq(fills, 2);
	}
}
END_TEST

START_TEST(may_miss_limits_evictions)
{
	struct job *job;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = make_latency_job(&fleet, 4, 1, NOW);
	plan_and_start_all(&fleet, NOW);
	ck_assert(evict_allowed(first_occurrence_task(job, 0, 0)));
	fleet_stop(&fleet, first_occurrence_task(job, 0, 0), "test");
	ck_assert(!evict_allowed(first_occurrence_task(job, 0, 1)));
}
END_TEST

START_TEST(stalled_task_is_evicted)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 2000, NOW);
	struct task *task;

	plan_and_start_all(&fleet, NOW);
	task = first_occurrence_task(job, 0, 0);
	task->percent = 20;
	task->first_report_us = NOW;
	task->progress_us = NOW + SEC;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 3 * SEC), 0);
	/* A worker that does not answer is no evidence of a stall. */
	worker->unanswered_calls = 1;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 9 * SEC), 0);
	worker->unanswered_calls = 0;
	ck_assert(evict_worker_suspect(&fleet, worker, NOW + 9 * SEC));
	ck_assert_int_eq(evict_pass(&fleet, NOW + 9 * SEC), 1);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
}
END_TEST

START_TEST(stalled_run_with_much_progress_is_kept)
{
	struct job *job;
	struct task *task;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = make_job(&fleet, "j", 1, 1, 1, 20000, NOW);
	plan_and_start_all(&fleet, NOW);
	task = first_occurrence_task(job, 0, 0);
	task->percent = 80;
	task->first_report_us = NOW;
	task->progress_us = NOW + SEC;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 9 * SEC), 0);
	job->spec.steps[0].checkpoint = true;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 9 * SEC), 1);
}
END_TEST

START_TEST(task_is_evicted_before_its_worker_leaves)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *longer = make_job(&fleet, "long", 1, 1, 1, 30000, NOW);
	struct job *shorter = make_job(&fleet, "short", 1, 1, 1, 1500, NOW);

	plan_and_start_all(&fleet, NOW);
	first_occurrence_task(longer, 0, 0)->percent = 5;
	first_occurrence_task(shorter, 0, 0)->percent = 5;
	worker->reported.draining = true;
	worker->reported.remaining_ms = 2500;
	worker->draining_us = NOW;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 100 * MSEC), 1);
	ck_assert_int_eq(first_occurrence_task(longer, 0, 0)->phase,
			 TASK_STOPPING);
	ck_assert_int_eq(first_occurrence_task(shorter, 0, 0)->phase,
			 TASK_RUNNING);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("throttle");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, best_effort_tasks_are_throttled_above_target);
	tcase_add_test(tc, throttled_task_is_not_stalled);
	tcase_add_test(tc, throttled_run_is_no_duration_sample);
	tcase_add_test(tc, throttle_of_an_adopted_run_is_unknown);
	tcase_add_test(tc, best_effort_tasks_are_spread);
	tcase_add_test(tc, may_miss_limits_evictions);
	tcase_add_test(tc, stalled_task_is_evicted);
	tcase_add_test(tc, stalled_run_with_much_progress_is_kept);
	tcase_add_test(tc, task_is_evicted_before_its_worker_leaves);
	return run_case("throttle", tc);
}
