#include <stdio.h>
#include <string.h>

#include "fleet/evict.h"
#include "fleet/long_running.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Tasks that run until their job is cancelled, without a network. */

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

static int plan(int64_t now_us)
{
	int planned;

	fleet_open_due(&fleet, now_us, 0);
	planned = plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
	return planned;
}

/* Marks progress of all runs, so that none is treated as hung. */
static void mark_progress(int64_t now_us)
{
	struct worker *worker;
	struct task *task;

	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker)
			task->progress_us = now_us;
}

static void end_stops(int64_t now_us)
{
	struct worker *worker;
	struct task *task, *next;

	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			if (task->phase == TASK_STOPPING)
				report_run_end(&fleet, task, RUN_STOPPED,
					       now_us);
}

START_TEST(task_is_restarted_after_any_end)
{
	static const enum run_end ends[] = { RUN_DONE, RUN_FAILED, RUN_STOPPED,
					     RUN_LAPSED };
	struct job *job;
	size_t i;

	make_worker(&fleet, "w1", "r", 8, NOW);
	make_worker(&fleet, "w2", "r", 8, NOW);
	job = make_latency_job(&fleet, 1, 0, NOW);
	plan(NOW);
	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		int64_t now_us = NOW + (int64_t)(i + 1) * 5 * SEC;

		first_occurrence_task(job, 0, 0)->percent = 100;
		report_run_end(&fleet, first_occurrence_task(job, 0, 0),
			       ends[i], now_us);
		ck_assert_int_eq(plan(now_us), 1);
		ck_assert_int_eq(job->phase, JOB_RUNNING);
	}
}
END_TEST

static void fail_two_jobs(struct worker *worker, int percent)
{
	struct job *jobs[2];
	int i;

	jobs[0] = make_job(&fleet, "a", 1, 1, 1, 1000, NOW);
	jobs[1] = make_job(&fleet, "b", 1, 1, 1, 1000, NOW);
	for (i = 0; i < 2; i++)
		jobs[i]->spec.steps[0].long_running = true;
	plan(NOW);
	for (i = 0; i < 2; i++) {
		struct task *task = first_occurrence_task(jobs[i], 0, 0);

		ck_assert_ptr_eq(task->worker, worker);
		task->percent = percent;
		report_run_end(&fleet, task, RUN_FAILED, NOW + SEC);
	}
}

/*
 * Tasks of several services may share a worker and fail now and then. Such
 * failures must not ban the worker.
 */
START_TEST(failures_when_ready_do_not_ban_the_worker)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);

	fail_two_jobs(worker, 100);
	ck_assert_int_eq(worker->banned_until_us, 0);
}
END_TEST

START_TEST(failures_during_startup_ban_the_worker)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);

	fail_two_jobs(worker, 30);
	ck_assert_int_gt(worker->banned_until_us, NOW);
}
END_TEST

/* The platform requires a long-running task to run again within this time. */
#define RESTART_MAX_MS 9000

/*
 * A serving task loses its worker while the pool is full of long tasks of the
 * same and higher priorities and more of them wait. The serving task must run
 * again within the platform's time limit.
 */
START_TEST(lost_task_restarts_in_a_full_pool)
{
	struct worker *lost;
	struct job *serve;
	int64_t now_us;
	char id[16];
	int i;

	for (i = 0; i < 3; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		make_worker(&fleet, id, "r", 8, NOW);
	}
	serve = make_latency_job(&fleet, 2, 1, NOW);
	serve->priority = 2;
	serve->spec.steps[0].max_per_worker = 1;
	plan(NOW);
	for (i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "b%d", i);
		make_job(&fleet, id, i % 2, 4, 1, 60000, NOW);
	}
	plan(NOW);
	lost = first_occurrence_task(serve, 0, 1)->worker;
	now_us = NOW + 60 * SEC;
	fleet_unlist(&fleet, lost->reported.id, now_us);
	fleet_worker_ended(&fleet, lost);
	ck_assert_ptr_null(first_occurrence_task(serve, 0, 1)->worker);
	for (i = 0; i * 100 < RESTART_MAX_MS; i++) {
		now_us += 100 * MSEC;
		mark_progress(now_us);
		plan(now_us);
		if (i % 5 == 4)
			end_stops(now_us);
	}
	ck_assert_int_eq(first_occurrence_task(serve, 0, 1)->phase,
			 TASK_RUNNING);
	/* Only one task was preempted, as many as needed. */
	ck_assert_uint_eq(fleet.preempted, 1);
}
END_TEST

/* Work within a customer's guaranteed resources is never preempted. */
START_TEST(guaranteed_work_is_not_preempted)
{
	struct job *serve;
	int64_t now_us;

	make_worker(&fleet, "w", "r", 8, NOW);
	make_job(&fleet, "sure", 0, 8, 1, 60000, NOW);
	plan(NOW);
	serve = make_latency_job(&fleet, 1, 0, NOW);
	for (now_us = NOW; now_us < NOW + 9 * SEC; now_us += 100 * MSEC)
		plan(now_us);
	ck_assert_uint_eq(fleet.preempted, 0);
	ck_assert_int_eq(first_occurrence_task(serve, 0, 0)->phase,
			 TASK_WAITING);
}
END_TEST

/* Two of three workers are full of work of its kind, the third one is banned. */
static struct job *make_only_room_banned(const char *id, struct worker **banned)
{
	struct job *full = make_job(&fleet, "full", 1, 2, 8, 1000, NOW);
	struct job *job;

	make_worker(&fleet, "w0", "r", 8, NOW);
	make_worker(&fleet, "w1", "r", 8, NOW);
	full->spec.steps[0].long_running = true;
	plan(NOW);
	*banned = make_worker(&fleet, "w2", "r", 8, NOW);
	(*banned)->banned_until_us = NOW + 16 * SEC;
	job = make_job(&fleet, id, 1, 1, 4, 1000, NOW);
	job->spec.steps[0].long_running = true;
	return job;
}

/*
 * Guards against a task that stands still for as long as a ban lasts, although
 * the banned worker is sound and idle.
 */
START_TEST(banned_worker_is_used_when_the_others_are_full)
{
	struct worker *banned;
	struct job *job = make_only_room_banned("serve", &banned);
	int64_t now_us;

	for (now_us = NOW; now_us < NOW + 5 * SEC; now_us += 100 * MSEC) {
		mark_progress(now_us);
		plan(now_us);
	}
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, banned);
}
END_TEST

/* Room that other work has to give up is preferred to a banned worker. */
START_TEST(banned_worker_is_used_after_room_was_reclaimed)
{
	struct worker *banned;
	struct job *serve;
	int64_t now_us;

	make_worker(&fleet, "w0", "r", 8, NOW);
	make_worker(&fleet, "w1", "r", 8, NOW);
	make_job(&fleet, "b", 1, 2, 8, 60000, NOW);
	plan(NOW);
	banned = make_worker(&fleet, "w2", "r", 8, NOW);
	banned->banned_until_us = NOW + 16 * SEC;
	serve = make_latency_job(&fleet, 1, 0, NOW);
	for (now_us = NOW; now_us < NOW + 5 * SEC; now_us += 100 * MSEC) {
		mark_progress(now_us);
		plan(now_us);
		if ((now_us - NOW) / (100 * MSEC) % 5 == 4)
			end_stops(now_us);
	}
	ck_assert_uint_eq(fleet.preempted, 1);
	ck_assert_ptr_nonnull(first_occurrence_task(serve, 0, 0)->worker);
	ck_assert_int_eq(banned->task_count, 0);
}
END_TEST

/* A worker may accept a task and never get it ready. */
START_TEST(task_that_does_not_become_ready_moves)
{
	struct job *job;
	struct task *task;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = make_latency_job(&fleet, 1, 0, NOW);
	plan(NOW);
	task = first_occurrence_task(job, 0, 0);
	task->first_report_us = NOW;
	task->percent = 40;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 5 * SEC), 0);
	ck_assert_int_eq(evict_pass(&fleet, NOW + 7 * SEC), 1);
}
END_TEST

START_TEST(ready_task_stays)
{
	struct job *job;
	struct task *task;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = make_latency_job(&fleet, 1, 1, NOW);
	plan(NOW);
	task = first_occurrence_task(job, 0, 0);
	task->first_report_us = NOW;
	task->percent = 100;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 60 * SEC), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("long_running");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, task_is_restarted_after_any_end);
	tcase_add_test(tc, failures_when_ready_do_not_ban_the_worker);
	tcase_add_test(tc, failures_during_startup_ban_the_worker);
	tcase_add_test(tc, lost_task_restarts_in_a_full_pool);
	tcase_add_test(tc, guaranteed_work_is_not_preempted);
	tcase_add_test(tc, banned_worker_is_used_when_the_others_are_full);
	tcase_add_test(tc, banned_worker_is_used_after_room_was_reclaimed);
	tcase_add_test(tc, task_that_does_not_become_ready_moves);
	tcase_add_test(tc, ready_task_stays);
	return run_case("long_running", tc);
}
