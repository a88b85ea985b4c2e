#include "fleet/plan.h"
#include "fleet/rescue.h"
#include "fleet/sharing.h"
#include "tests/standins/fleet_make.h"
#include "tests/unit/run.h"

/* Tasks that last, beside tasks that fill, and work that has to move. */

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
	make_fleet_end(&fleet, config);
}

static struct job *serving_job(int count, int may_miss)
{
	struct job *job = make_job(&fleet, "serve", 1, count, 1, 1000, NOW);

	job->spec.steps[0].long_running = true;
	job->spec.steps[0].target_ms = 100;
	job->spec.steps[0].may_miss = may_miss;
	return job;
}

static void start_all(void)
{
	struct worker *worker;
	struct task *task;

	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	make_started(&fleet, NOW);
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker)
			task->percent = 100;
}

START_TEST(filling_tasks_make_way_while_the_tail_is_over_its_target)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *serve = serving_job(1, 0);
	struct job *fill = make_job(&fleet, "fill", 2, 2, 1, 60000, NOW);
	int64_t now_us = NOW;
	int steps;

	fill->spec.steps[0].fills = true;
	start_all();
	ck_assert(sharing_mixed(worker));
	make_task(serve, 0, 0)->load = 150;
	for (steps = 0; steps < 8; steps++) {
		now_us += 300 * MSEC;
		sharing_pass(&fleet, now_us);
	}
	ck_assert_int_eq(sharing_pace(make_task(fill, 0, 0)), 0);
	ck_assert_int_eq(sharing_pace(make_task(serve, 0, 0)), 100);
	/* Not at once: it has to be well for a while. */
	make_task(serve, 0, 0)->load = 40;
	now_us += SEC;
	sharing_pass(&fleet, now_us);
	ck_assert_int_eq(sharing_pace(make_task(fill, 0, 0)), 0);
	for (steps = 0; steps < 80; steps++) {
		now_us += 300 * MSEC;
		sharing_pass(&fleet, now_us);
	}
	ck_assert_int_eq(sharing_pace(make_task(fill, 0, 0)), 100);
}
END_TEST

START_TEST(so_many_of_a_step_may_be_away)
{
	struct job *job;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = serving_job(4, 1);
	start_all();
	ck_assert(rescue_may_interrupt(make_task(job, 0, 0)));
	fleet_stop(&fleet, make_task(job, 0, 0), "test");
	ck_assert(!rescue_may_interrupt(make_task(job, 0, 1)));
}
END_TEST

START_TEST(task_that_stands_still_moves)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 2000, NOW);
	struct task *task;

	start_all();
	task = make_task(job, 0, 0);
	task->percent = 20;
	task->first_us = NOW;
	task->moved_us = NOW + SEC;
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 3 * SEC), 0);
	/* Silence of the worker is no sign of it. */
	worker->silent = 1;
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 9 * SEC), 0);
	worker->silent = 0;
	ck_assert(rescue_suspect(&fleet, worker, NOW + 9 * SEC));
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 9 * SEC), 1);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
}
END_TEST

START_TEST(much_work_is_not_given_up_for_a_stall)
{
	struct job *job;
	struct task *task;

	make_worker(&fleet, "w", "r", 8, NOW);
	job = make_job(&fleet, "j", 1, 1, 1, 20000, NOW);
	start_all();
	task = make_task(job, 0, 0);
	task->percent = 80;
	task->first_us = NOW;
	task->moved_us = NOW + SEC;
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 9 * SEC), 0);
	job->spec.steps[0].checkpoint = true;
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 9 * SEC), 1);
}
END_TEST

START_TEST(task_leaves_before_its_worker_does)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);
	struct job *longer = make_job(&fleet, "long", 1, 1, 1, 30000, NOW);
	struct job *shorter = make_job(&fleet, "short", 1, 1, 1, 1500, NOW);

	start_all();
	make_task(longer, 0, 0)->percent = 5;
	make_task(shorter, 0, 0)->percent = 5;
	worker->said.draining = true;
	worker->said.remaining_ms = 2500;
	worker->draining_us = NOW;
	ck_assert_int_eq(rescue_pass(&fleet, NOW + 100 * MSEC), 1);
	ck_assert_int_eq(make_task(longer, 0, 0)->phase, TASK_STOPPING);
	ck_assert_int_eq(make_task(shorter, 0, 0)->phase, TASK_RUNNING);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sharing");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(
		tc, filling_tasks_make_way_while_the_tail_is_over_its_target);
	tcase_add_test(tc, so_many_of_a_step_may_be_away);
	tcase_add_test(tc, task_that_stands_still_moves);
	tcase_add_test(tc, much_work_is_not_given_up_for_a_stall);
	tcase_add_test(tc, task_leaves_before_its_worker_does);
	return run_case("sharing", tc);
}
