#include <stdio.h>
#include <string.h>

#include "fleet/limits.h"
#include "fleet/order.h"
#include "fleet/placement.h"
#include "fleet/plan.h"
#include "fleet/reclaim.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Unit tests of job order, placement and preemption by planning passes. */

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

/* Adds racks racks of size workers with 8 accelerators each. */
static void make_racks(int racks, int size)
{
	char id[32], rack[32];
	int r, w;

	for (r = 0; r < racks; r++)
		for (w = 0; w < size; w++) {
			snprintf(id, sizeof(id), "w%d-%d", r, w);
			snprintf(rack, sizeof(rack), "r%d", r);
			make_worker(&fleet, id, rack, 8, NOW);
		}
}

static int plan(int64_t now_us)
{
	int planned;

	fleet_open_due(&fleet, now_us, 0);
	planned = plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
	return planned;
}

static struct job *make_gang(const char *id, int priority, int count, int gpus,
			     bool same_rack, int64_t est_ms)
{
	struct job *job =
		make_job(&fleet, id, priority, count, gpus, est_ms, NOW);

	job->spec.steps[0].gang = true;
	job->spec.steps[0].same_rack = same_rack;
	return job;
}

static int racks_used(struct job *job)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	int i, used;

	for (i = 0; i < job->spec.steps[0].count; i++)
		if (first_occurrence_task(job, 0, i)->worker)
			g_hash_table_add(racks,
					 first_occurrence_task(job, 0, i)
						 ->worker->reported.rack);
	used = (int)g_hash_table_size(racks);
	g_hash_table_unref(racks);
	return used;
}

START_TEST(urgent_work_comes_first)
{
	struct job *slow, *urgent;
	GPtrArray *jobs;

	slow = make_job(&fleet, "slow", 2, 1, 1, 1000, NOW);
	urgent = make_job(&fleet, "urgent", 0, 1, 1, 1000, NOW + SEC);
	fleet_open_due(&fleet, NOW, 0);
	jobs = order_jobs(&fleet, NOW + SEC);
	ck_assert_ptr_eq(g_ptr_array_index(jobs, 0), urgent);
	ck_assert_ptr_eq(g_ptr_array_index(jobs, 1), slow);
	g_ptr_array_unref(jobs);
}
END_TEST

/* A job that can no longer meet its objective comes after one that can. */
START_TEST(infeasible_job_is_ordered_last)
{
	struct job *hopeless, *fresh;
	GPtrArray *jobs;

	hopeless = make_job(&fleet, "hopeless", 1, 1, 1, 1000, NOW);
	fresh = make_job(&fleet, "fresh", 1, 1, 1, 1000, NOW + 30 * SEC);
	fleet_open_due(&fleet, NOW, 0);
	jobs = order_jobs(&fleet, NOW + 30 * SEC);
	ck_assert_int_eq(order_feasibility(&fleet, hopeless, NOW + 30 * SEC),
			 INFEASIBLE);
	ck_assert_ptr_eq(g_ptr_array_index(jobs, 0), fresh);
	g_ptr_array_unref(jobs);
}
END_TEST

START_TEST(same_rack_gang_is_placed_in_one_rack)
{
	struct job *job;

	make_racks(3, 4);
	make_job(&fleet, "small", 1, 1, 1, 9000, NOW);
	plan(NOW);
	job = make_gang("g", 1, 4, 8, true, 1000);
	ck_assert_int_eq(plan(NOW), 4);
	ck_assert_int_eq(racks_used(job), 1);
}
END_TEST

/* Small tasks fill workers in use; whole workers stay free for gangs. */
START_TEST(small_tasks_fill_used_workers)
{
	int used = 0;
	struct worker *worker;

	make_racks(2, 4);
	make_job(&fleet, "small", 1, 16, 1, 9000, NOW);
	ck_assert_int_eq(plan(NOW), 16);
	list_for_each_entry(worker, &fleet.workers, node)
		used += worker->task_count > 0;
	ck_assert_int_eq(used, 2);
}
END_TEST

START_TEST(gang_larger_than_a_rack_is_spread)
{
	struct job *job;

	make_racks(3, 2);
	job = make_gang("g", 1, 5, 8, true, 1000);
	ck_assert_int_eq(plan(NOW), 5);
	ck_assert_int_eq(racks_used(job), 3);
}
END_TEST

START_TEST(max_per_worker_is_respected)
{
	struct job *job;
	struct worker *worker;

	make_racks(1, 3);
	job = make_job(&fleet, "j", 1, 9, 1, 1000, NOW);
	job->spec.steps[0].max_per_worker = 2;
	ck_assert_int_eq(plan(NOW), 6);
	list_for_each_entry(worker, &fleet.workers, node)
		ck_assert_int_le(worker->task_count, 2);
}
END_TEST

START_TEST(room_is_never_exceeded)
{
	struct worker *worker;

	make_racks(2, 2);
	make_job(&fleet, "a", 1, 7, 3, 1000, NOW);
	make_gang("b", 1, 3, 4, false, 1000);
	make_job(&fleet, "c", 0, 40, 1, 1000, NOW);
	plan(NOW);
	list_for_each_entry(worker, &fleet.workers, node) {
		struct room room = worker_free_room(worker);

		ck_assert_int_ge(room.gpus, 0);
		ck_assert_int_ge(room.cpu_milli, 0);
	}
}
END_TEST

/*
 * Guards against small or short tasks that are kept out of a pool because a
 * larger one found no room in the same pass.
 */
START_TEST(small_task_starts_behind_a_large_one)
{
	make_racks(1, 2);
	make_job(&fleet, "half", 1, 2, 5, 60000, NOW);
	ck_assert_int_eq(plan(NOW), 2);
	make_job(&fleet, "large", 1, 1, 8, 1000, NOW);
	make_job(&fleet, "wide", 1, 1, 4, 1000, NOW);
	make_job(&fleet, "small", 1, 3, 2, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 2);
	ck_assert_int_eq(
		first_occurrence_task(fleet_job(&fleet, "small"), 0, 1)->phase,
		TASK_RUNNING);
}
END_TEST

/*
 * Guards against a job that is kept from the workers that were freed for it,
 * because a smaller job ahead of it found no room in the same pass.
 */
START_TEST(reserved_room_is_used_behind_a_smaller_job)
{
	struct job *urgent, *ahead;
	struct worker *worker;
	struct task *task, *next;

	make_racks(1, 2);
	make_job(&fleet, "batch", 2, 2, 8, 60000, NOW);
	plan(NOW);
	urgent = make_job(&fleet, "urgent", 0, 1, 8, 2000, NOW + SEC);
	ck_assert_int_eq(plan(NOW + SEC), 0);
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			if (task->phase == TASK_STOPPING)
				report_run_end(&fleet, task, RUN_STOPPED,
					       NOW + SEC);
	ahead = make_job(&fleet, "ahead", 0, 1, 4, 500, NOW + SEC);
	ahead->slo_ms = 0;
	plan(NOW + SEC + 50 * MSEC);
	ck_assert_int_eq(first_occurrence_task(urgent, 0, 0)->phase,
			 TASK_RUNNING);
}
END_TEST

START_TEST(task_waits_for_its_preferred_rack)
{
	struct job *job;

	make_racks(2, 1);
	make_job(&fleet, "full", 1, 8, 1, 9000, NOW);
	plan(NOW);
	job = make_job(&fleet, "near", 1, 1, 1, 4000, NOW);
	/* The task's data is in the rack that was filled above. */
	job->spec.steps[0].rack =
		g_strdup(first_occurrence_task(fleet_job(&fleet, "full"), 0, 0)
				 ->worker->reported.rack);
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 4 * SEC), 1);
}
END_TEST

/* Starts a long task that takes all accelerators of a worker in each rack. */
static void fill_a_worker_in_each_rack(int racks)
{
	char id[32], rack[32];
	struct job *job;
	int r;

	for (r = 0; r < racks; r++) {
		snprintf(id, sizeof(id), "long%d", r);
		snprintf(rack, sizeof(rack), "r%d", r);
		job = make_job(&fleet, id, 1, 1, 8, 60000, NOW);
		job->spec.steps[0].rack = g_strdup(rack);
	}
	ck_assert_int_eq(plan(NOW), racks);
}

/* The platform allows 3 s with nothing running while most room is free. */
START_TEST(same_rack_gang_starts_while_most_room_is_free)
{
	make_racks(3, 4);
	fill_a_worker_in_each_rack(3);
	make_gang("g", 1, 4, 8, true, 60000);
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 29 * SEC / 10), 4);
}
END_TEST

START_TEST(same_rack_gang_waits_while_room_is_short)
{
	make_racks(2, 4);
	fill_a_worker_in_each_rack(2);
	make_gang("g", 1, 4, 8, true, 60000);
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 29 * SEC / 10), 0);
}
END_TEST

START_TEST(task_leaves_its_rack_while_most_room_is_free)
{
	struct job *job;

	make_racks(3, 1);
	fill_a_worker_in_each_rack(1);
	job = make_job(&fleet, "near", 1, 1, 1, 60000, NOW);
	job->spec.steps[0].rack = g_strdup("r0");
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 29 * SEC / 10), 1);
}
END_TEST

START_TEST(reserved_room_is_used_while_most_room_is_free)
{
	make_racks(3, 4);
	fill_a_worker_in_each_rack(3);
	/* It needs more than the 9 free workers, and all 12 are reserved. */
	make_gang("wide", 1, 10, 8, false, 60000);
	make_job(&fleet, "long", 1, 1, 1, 600000, NOW + MSEC);
	ck_assert_int_eq(plan(NOW + MSEC), 0);
	ck_assert_int_eq(plan(NOW + 29 * SEC / 10), 1);
}
END_TEST

START_TEST(draining_and_unlisted_workers_get_no_tasks)
{
	struct worker *worker;

	make_racks(1, 2);
	worker = list_first_entry(&fleet.workers, struct worker, node);
	worker->reported.draining = true;
	fleet_unlist(&fleet, "w0-1", NOW);
	make_job(&fleet, "j", 1, 1, 1, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 0);
}
END_TEST

/*
 * Guards against starvation of a gang that needs a whole rack, while a stream
 * of small tasks would take every accelerator as soon as it becomes free.
 */
START_TEST(gang_does_not_starve_behind_small_tasks)
{
	struct job *gang, *small;
	int64_t now_us = NOW;
	char id[16];
	int i;

	make_racks(2, 2);
	for (i = 0; i < 4; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		make_job(&fleet, id, 1, 8, 1, 1000 + i * 300, now_us);
	}
	plan(now_us);
	gang = make_gang("gang", 1, 2, 8, true, 2000);
	for (i = 4; i < 40 && gang->phase == JOB_QUEUED; i++) {
		now_us += 300 * MSEC;
		snprintf(id, sizeof(id), "s%d", i - 4);
		small = fleet_job(&fleet, id);
		if (small)
			finish_job_tasks(&fleet, small, now_us);
		snprintf(id, sizeof(id), "s%d", i);
		small = make_job(&fleet, id, 1, 8, 1, 1000, now_us);
		small->arrived_us = now_us;
		plan(now_us);
	}
	ck_assert_int_eq(gang->phase, JOB_RUNNING);
	ck_assert_int_le(now_us - NOW, 6 * SEC);
}
END_TEST

/* Runs of lower priority are preempted for a job within the guarantee. */
START_TEST(guaranteed_job_reclaims_room)
{
	struct job *urgent;
	struct worker *worker;
	struct task *task, *next;
	int stopping = 0;

	make_racks(2, 2);
	make_job(&fleet, "batch", 2, 32, 1, 60000, NOW);
	plan(NOW);
	urgent = make_gang("urgent", 0, 2, 8, true, 1000);
	ck_assert_int_eq(plan(NOW + SEC), 0);
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker)
			stopping += task->phase == TASK_STOPPING;
	ck_assert_int_eq(stopping, 16);
	/* Freed room stays reserved for it and does not go to the batch. */
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			if (task->phase == TASK_STOPPING && --stopping >= 8)
				report_run_end(&fleet, task, RUN_STOPPED,
					       NOW + SEC + 1);
	ck_assert_int_eq(plan(NOW + SEC + 2), 0);
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			if (task->phase == TASK_STOPPING)
				report_run_end(&fleet, task, RUN_STOPPED,
					       NOW + SEC + 3);
	ck_assert_int_eq(plan(NOW + SEC + 4), 2);
	ck_assert_int_eq(racks_used(urgent), 1);
}
END_TEST

/*
 * In a full pool, an urgent job beyond the guarantee may preempt batch work
 * worth up to four times its own, but no more.
 */
START_TEST(no_costly_preemption_beyond_guarantee)
{
	struct job *urgent;

	make_racks(2, 2);
	make_job(&fleet, "batch", 2, 32, 1, 60000, NOW);
	plan(NOW);
	/* Needs 24 accelerators for 1 s; 16 are guaranteed. */
	urgent = make_job(&fleet, "urgent", 0, 3, 8, 1000, NOW + 4 * SEC);
	urgent->spec.steps[0].gang = true;
	ck_assert_int_eq(plan(NOW + 4 * SEC), 0);
	ck_assert_uint_eq(fleet.preempted, 0);
}
END_TEST

START_TEST(cheap_preemption_beyond_guarantee)
{
	struct job *urgent;

	make_racks(2, 2);
	make_job(&fleet, "batch", 2, 32, 1, 60000, NOW);
	plan(NOW);
	/* 3 s of the batch plus the time of the stop cost less than 4 x 1 s. */
	urgent = make_job(&fleet, "urgent", 0, 3, 8, 1000, NOW + 3 * SEC);
	urgent->spec.steps[0].gang = true;
	ck_assert_int_eq(plan(NOW + 3 * SEC), 0);
	ck_assert_uint_eq(fleet.preempted, 24);
}
END_TEST

/*
 * If reserved workers do not become free, other runs are preempted within the
 * time limit for reclaims. Here a reserved worker starts to drain.
 */
START_TEST(reclaim_is_retried_when_room_stays_taken)
{
	struct worker *worker;
	struct task *task, *next;

	make_racks(1, 2);
	make_job(&fleet, "batch", 2, 16, 1, 60000, NOW);
	plan(NOW);
	make_gang("urgent", 0, 1, 8, false, 1000);
	plan(NOW + 1);
	worker = job_stage(fleet_job(&fleet, "urgent"), 0, 0)->reserved[0];
	worker->reported.draining = true;
	plan(NOW + 950 * MSEC);
	list_for_each_entry(worker, &fleet.workers, node)
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			if (task->phase == TASK_STOPPING &&
			    !worker->reported.draining)
				report_run_end(&fleet, task, RUN_STOPPED,
					       NOW + 1300 * MSEC);
	ck_assert_int_eq(plan(NOW + 1400 * MSEC), 1);
}
END_TEST

/* Urgent work of a customer without guarantee preempts cheap runs. */
START_TEST(unguaranteed_customer_preempts_cheap_work)
{
	struct job *urgent;

	make_racks(1, 2);
	make_job(&fleet, "batch", 2, 16, 1, 60000, NOW);
	plan(NOW);
	urgent = make_gang("urgent", 0, 1, 8, false, 1000);
	g_free(urgent->customer);
	urgent->customer = g_strdup("two");
	plan(NOW + SEC);
	ck_assert_uint_eq(fleet.preempted, 8);
}
END_TEST

/*
 * A batch of broken jobs fails on every worker and gets all of them banned.
 * Other jobs must still run: bans of most workers are ignored.
 */
START_TEST(bans_of_most_workers_are_ignored)
{
	struct worker *worker;

	make_racks(1, 4);
	list_for_each_entry(worker, &fleet.workers, node)
		worker->banned_until_us = NOW + 9 * SEC;
	make_job(&fleet, "good", 1, 4, 1, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 4);
}
END_TEST

/* A worker that resets connections must not get task after task. */
START_TEST(unresponsive_worker_gets_no_tasks)
{
	struct worker *worker;

	make_racks(1, 2);
	worker = list_first_entry(&fleet.workers, struct worker, node);
	worker->unanswered_calls = 2;
	worker->unanswered_since_us = NOW - 100 * MSEC;
	make_job(&fleet, "j", 1, 12, 1, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 8);
	ck_assert_int_eq(worker->task_count, 0);
	worker->unanswered_calls = 1;
	ck_assert_int_eq(plan(NOW), 4);
}
END_TEST

/* Guards against work that waits for a lease right after a change of the leader:
 * it went to a worker that had ended and was still registered. */
START_TEST(workers_without_a_sign_of_life_are_chosen_last)
{
	struct worker *gone = make_worker(&fleet, "w0", "r", 8, NOW);
	struct worker *renewed = make_worker(&fleet, "w1", "r", 8, NOW);
	struct worker *heard = make_worker(&fleet, "w2", "r", 8, NOW);
	struct job *gang, *single, *last;

	renewed->renewed_us = NOW;
	heard->heard_us = NOW;
	gang = make_job(&fleet, "gang", 0, 2, 6, 1000, NOW);
	gang->spec.steps[0].gang = true;
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	ck_assert_ptr_ne(first_occurrence_task(gang, 0, 0)->worker, gone);
	ck_assert_ptr_ne(first_occurrence_task(gang, 0, 1)->worker, gone);
	single = make_job(&fleet, "single", 0, 1, 2, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	ck_assert_ptr_nonnull(first_occurrence_task(single, 0, 0)->worker);
	ck_assert_ptr_ne(first_occurrence_task(single, 0, 0)->worker, gone);
	last = make_job(&fleet, "last", 0, 1, 8, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	ck_assert_ptr_eq(first_occurrence_task(last, 0, 0)->worker, gone);
}
END_TEST

/* Guards against the same with a registration that a cut has held up: the worker
 * has ended meanwhile, and is registered for some more seconds. */
START_TEST(registered_worker_gets_tasks_once_it_has_answered)
{
	struct worker *worker = make_worker(&fleet, "w0", "r", 8, NOW);

	worker_registered(worker, NOW);
	make_job(&fleet, "j", 0, 2, 4, 1000, NOW);
	ck_assert_int_eq(plan(NOW + MSEC), 0);
	worker->heard_us = NOW + 2 * MSEC;
	ck_assert_int_eq(plan(NOW + 2 * MSEC), 2);
	/* It answers often while it has tasks. */
	worker_registered(worker, NOW + 1500 * MSEC);
	ck_assert(!worker_unverified(worker));
	worker_registered(worker, NOW + 5000 * MSEC);
	ck_assert(worker_unverified(worker));
}
END_TEST

START_TEST(single_banned_worker_gets_no_tasks)
{
	struct worker *worker;

	make_racks(1, 4);
	worker = list_first_entry(&fleet.workers, struct worker, node);
	worker->banned_until_us = NOW + 9 * SEC;
	make_job(&fleet, "good", 1, 30, 1, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 24);
	ck_assert_int_eq(worker->task_count, 0);
}
END_TEST

/* A failed task restarts on another worker if one has room. */
START_TEST(failed_task_restarts_on_another_worker)
{
	struct worker *first;
	struct job *job;

	make_racks(1, 2);
	make_job(&fleet, "used", 1, 1, 1, 60000, NOW);
	plan(NOW);
	job = make_job(&fleet, "j", 1, 1, 1, 1000, NOW);
	plan(NOW);
	first = first_occurrence_task(job, 0, 0)->worker;
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_FAILED,
		       NOW + SEC);
	ck_assert_int_eq(plan(NOW + SEC), 1);
	ck_assert_ptr_ne(first_occurrence_task(job, 0, 0)->worker, first);
}
END_TEST

/* The runs with the least loss are preempted, here the latest ones. */
START_TEST(runs_with_least_loss_are_preempted)
{
	struct job *old, *fresh;

	make_racks(1, 2);
	old = make_job(&fleet, "old", 2, 1, 8, 60000, NOW);
	plan(NOW);
	fresh = make_job(&fleet, "fresh", 2, 1, 8, 60000, NOW + 30 * SEC);
	plan(NOW + 30 * SEC);
	make_job(&fleet, "urgent", 0, 1, 8, 1000, NOW + 31 * SEC);
	plan(NOW + 31 * SEC);
	ck_assert_int_eq(first_occurrence_task(old, 0, 0)->phase, TASK_RUNNING);
	ck_assert_int_eq(first_occurrence_task(fresh, 0, 0)->phase,
			 TASK_STOPPING);
}
END_TEST

/* On the last chosen worker only as many runs stop as are still needed. */
START_TEST(only_needed_runs_are_preempted)
{
	struct job *urgent;

	make_racks(1, 2);
	make_job(&fleet, "batch", 2, 16, 1, 60000, NOW);
	plan(NOW);
	urgent = make_gang("urgent", 0, 3, 4, false, 1000);
	plan(NOW + SEC);
	ck_assert_uint_eq(fleet.preempted, 12);
	ck_assert_int_eq(urgent->phase, JOB_QUEUED);
}
END_TEST

/* A small run whose stop frees no slot is not stopped along with others. */
START_TEST(runs_that_free_no_slot_are_spared)
{
	struct job *large, *small;

	make_racks(1, 1);
	large = make_job(&fleet, "large", 2, 1, 7, 60000, NOW);
	plan(NOW);
	small = make_job(&fleet, "small", 2, 1, 1, 60000, NOW + 5 * SEC);
	plan(NOW + 5 * SEC);
	make_job(&fleet, "urgent", 0, 1, 7, 1000, NOW + 6 * SEC);
	plan(NOW + 6 * SEC);
	ck_assert_int_eq(first_occurrence_task(large, 0, 0)->phase,
			 TASK_STOPPING);
	ck_assert_int_eq(first_occurrence_task(small, 0, 0)->phase,
			 TASK_RUNNING);
}
END_TEST

/* A worker that cannot free any room is not reserved. */
START_TEST(only_workers_that_free_room_are_reserved)
{
	struct worker *worker;
	struct job *lasts;

	make_racks(1, 2);
	lasts = make_job(&fleet, "lasts", 1, 1, 8, 1000, NOW);
	lasts->spec.steps[0].long_running = true;
	plan(NOW);
	make_job(&fleet, "batch", 2, 1, 8, 60000, NOW);
	plan(NOW);
	make_job(&fleet, "urgent", 0, 1, 8, 1000, NOW);
	plan(NOW + SEC);
	ck_assert_uint_eq(fleet.preempted, 1);
	worker = first_occurrence_task(lasts, 0, 0)->worker;
	ck_assert_ptr_null(worker->reserved_for);
}
END_TEST

/* Best-effort tasks reserve no processor time, so stopping them frees none. */
START_TEST(best_effort_victims_free_no_cpu)
{
	struct job *plain, *fill, *urgent;

	make_racks(1, 1);
	plain = make_job(&fleet, "plain", 2, 1, 0, 60000, NOW);
	plain->spec.steps[0].need.cpu_milli = 100000;
	fill = make_job(&fleet, "fill", 2, 1, 0, 60000, NOW);
	fill->spec.steps[0].need.cpu_milli = 90000;
	fill->spec.steps[0].fills = true;
	plan(NOW);
	urgent = make_job(&fleet, "urgent", 0, 1, 0, 1000, NOW);
	urgent->spec.steps[0].need.cpu_milli = 60000;
	plan(NOW + SEC);
	ck_assert_int_eq(first_occurrence_task(plain, 0, 0)->phase,
			 TASK_STOPPING);
	ck_assert_int_eq(first_occurrence_task(fill, 0, 0)->phase,
			 TASK_RUNNING);
}
END_TEST

/*
 * For 10 s, three times more jobs of 1 s arrive than fit. Jobs that can still
 * meet their objective are served in order of arrival. Guards against serving
 * every job late.
 */
START_TEST(overload_serves_feasible_jobs_in_time)
{
	int64_t now_us;
	int served = 0, in_time = 0, made = 0;
	GPtrArray *jobs = g_ptr_array_new();
	char id[16];
	guint i;

	make_racks(1, 2);
	for (now_us = NOW; now_us <= NOW + 25 * SEC; now_us += 100 * MSEC) {
		for (i = 0; i < jobs->len; i++) {
			struct job *job = g_ptr_array_index(jobs, i);
			struct task *task = first_occurrence_task(job, 0, 0);

			if (task->phase != TASK_RUNNING ||
			    now_us - task->started_us < SEC)
				continue;
			finish_job_tasks(&fleet, job, now_us);
			served++;
			in_time += now_us - job->arrived_us <= 4 * SEC;
		}
		if (now_us < NOW + 10 * SEC) {
			snprintf(id, sizeof(id), "c%d", made++);
			/* 6 jobs arrive per second, 2 fit. */
			if (made % 5 < 3)
				g_ptr_array_add(jobs,
						make_job(&fleet, id, 1, 1, 8,
							 1000, now_us));
		}
		plan(now_us);
	}
	/* Two run at any time; the second job arrives 0.1 s after the first. */
	ck_assert_int_eq(served, 49);
	/* At best 28 jobs end within 4 s of their arrival; most have to. */
	ck_assert_int_ge(in_time, 20);
	g_ptr_array_unref(jobs);
}
END_TEST

/*
 * Guards against a job that stands still although the workers that it needs are
 * free: all of them, a small part of the pool, are banned.
 */
START_TEST(bans_of_all_workers_with_a_label_are_ignored)
{
	struct worker *labelled = make_worker(&fleet, "w0", "r1", 8, NOW);
	struct job *job = make_job(&fleet, "l", 1, 2, 1, 1000, NOW);
	struct job *other = make_job(&fleet, "o", 1, 2, 1, 1000, NOW);
	char id[16];
	int i;

	for (i = 1; i < 8; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		make_worker(&fleet, id, "r1", 8, NOW);
	}
	g_strfreev(labelled->reported.labels);
	labelled->reported.labels = g_strsplit("a,b", ",", -1);
	labelled->banned_until_us = NOW + 4 * SEC;
	job->spec.steps[0].label = g_strdup("b");
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 4);
	for (i = 0; i < 2; i++) {
		ck_assert_ptr_eq(first_occurrence_task(job, 0, i)->worker,
				 labelled);
		ck_assert_ptr_ne(first_occurrence_task(other, 0, i)->worker,
				 labelled);
	}
}
END_TEST

/* The same in a small pool of its own. */
START_TEST(bans_of_a_whole_pool_are_ignored)
{
	struct worker *worker = make_worker(&fleet, "w", "r", 8, NOW);

	make_racks(1, 4);
	g_free(worker->reported.pool);
	worker->reported.pool = g_strdup("small");
	worker->banned_until_us = NOW + 4 * SEC;
	g_free(make_job(&fleet, "j", 1, 1, 1, 1000, NOW)->pool);
	fleet_job(&fleet, "j")->pool = g_strdup("small");
	ck_assert_int_eq(plan(NOW), 1);
	ck_assert_int_eq(worker->task_count, 1);
}
END_TEST

#define BANNED 4

/*
 * Eight workers have a small task each, and four others are banned: room for
 * tasks of eight accelerators is only there.
 */
static void make_whole_room_banned(struct worker *banned[BANNED])
{
	char id[16];
	int i;

	for (i = 0; i < 8; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		make_worker(&fleet, id, "r", 8, NOW);
	}
	make_job(&fleet, "small", 1, 8, 1, 60000, NOW)
		->spec.steps[0]
		.max_per_worker = 1;
	ck_assert_int_eq(plan(NOW), 8);
	for (i = 0; i < BANNED; i++) {
		snprintf(id, sizeof(id), "b%d", i);
		banned[i] = make_worker(&fleet, id, "r", 8, NOW);
		banned[i]->banned_until_us = NOW + 16 * SEC;
	}
}

/*
 * Guards against a job that waits for the end of a ban while most of the room
 * is free, but only banned workers have it. The platform allows 3 s.
 */
START_TEST(bans_yield_where_a_job_would_be_lost)
{
	struct worker *banned[BANNED];
	struct job *job;

	make_whole_room_banned(banned);
	job = make_job(&fleet, "whole", 1, 2, 8, 1000, NOW);
	job->spec.steps[0].gang = _i == 1;
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 19 * SEC / 10), 0);
	ck_assert_int_ge(plan(NOW + 29 * SEC / 10), 1);
	ck_assert_int_gt(
		first_occurrence_task(job, 0, 0)->worker->banned_until_us, NOW);
}
END_TEST

/* A broken worker must not attract the work of a pool that is in use. */
START_TEST(bans_hold_while_most_room_is_in_use)
{
	struct worker *banned[BANNED];

	make_whole_room_banned(banned);
	make_job(&fleet, "more", 1, 8, 6, 60000, NOW);
	ck_assert_int_eq(plan(NOW), 8);
	make_job(&fleet, "whole", 1, 1, 8, 1000, NOW);
	ck_assert_int_eq(plan(NOW), 0);
	ck_assert_int_eq(plan(NOW + 4 * SEC), 0);
}
END_TEST

/* A broken worker must not use up the attempts of a job. */
START_TEST(bans_hold_where_a_run_of_the_job_has_failed)
{
	struct worker *banned[BANNED];
	struct task *task;
	struct job *job;

	make_whole_room_banned(banned);
	job = make_job(&fleet, "whole", 1, 1, 8, 1000, NOW);
	plan(NOW);
	ck_assert_int_eq(plan(NOW + 2 * SEC), 1);
	task = first_occurrence_task(job, 0, 0);
	report_run_end(&fleet, task, RUN_FAILED, NOW + 3 * SEC);
	ck_assert_int_eq(plan(NOW + 3 * SEC), 0);
	ck_assert_int_eq(plan(NOW + 6 * SEC), 0);
	ck_assert_int_eq(plan(NOW + 16 * SEC), 1);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("plan");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, urgent_work_comes_first);
	tcase_add_test(tc, infeasible_job_is_ordered_last);
	tcase_add_test(tc, same_rack_gang_is_placed_in_one_rack);
	tcase_add_test(tc, small_tasks_fill_used_workers);
	tcase_add_test(tc, gang_larger_than_a_rack_is_spread);
	tcase_add_test(tc, max_per_worker_is_respected);
	tcase_add_test(tc, room_is_never_exceeded);
	tcase_add_test(tc, small_task_starts_behind_a_large_one);
	tcase_add_test(tc, reserved_room_is_used_behind_a_smaller_job);
	tcase_add_test(tc, task_waits_for_its_preferred_rack);
	tcase_add_test(tc, same_rack_gang_starts_while_most_room_is_free);
	tcase_add_test(tc, same_rack_gang_waits_while_room_is_short);
	tcase_add_test(tc, task_leaves_its_rack_while_most_room_is_free);
	tcase_add_test(tc, reserved_room_is_used_while_most_room_is_free);
	tcase_add_test(tc, draining_and_unlisted_workers_get_no_tasks);
	tcase_add_test(tc, gang_does_not_starve_behind_small_tasks);
	tcase_add_test(tc, guaranteed_job_reclaims_room);
	tcase_add_test(tc, no_costly_preemption_beyond_guarantee);
	tcase_add_test(tc, cheap_preemption_beyond_guarantee);
	tcase_add_test(tc, bans_of_most_workers_are_ignored);
	tcase_add_test(tc, unresponsive_worker_gets_no_tasks);
	tcase_add_test(tc, workers_without_a_sign_of_life_are_chosen_last);
	tcase_add_test(tc, registered_worker_gets_tasks_once_it_has_answered);
	tcase_add_test(tc, single_banned_worker_gets_no_tasks);
	tcase_add_test(tc, failed_task_restarts_on_another_worker);
	tcase_add_test(tc, reclaim_is_retried_when_room_stays_taken);
	tcase_add_test(tc, unguaranteed_customer_preempts_cheap_work);
	tcase_add_test(tc, runs_with_least_loss_are_preempted);
	tcase_add_test(tc, only_needed_runs_are_preempted);
	tcase_add_test(tc, runs_that_free_no_slot_are_spared);
	tcase_add_test(tc, only_workers_that_free_room_are_reserved);
	tcase_add_test(tc, best_effort_victims_free_no_cpu);
	tcase_add_test(tc, overload_serves_feasible_jobs_in_time);
	tcase_add_test(tc, bans_of_all_workers_with_a_label_are_ignored);
	tcase_add_test(tc, bans_of_a_whole_pool_are_ignored);
	tcase_add_loop_test(tc, bans_yield_where_a_job_would_be_lost, 0, 2);
	tcase_add_test(tc, bans_hold_while_most_room_is_in_use);
	tcase_add_test(tc, bans_hold_where_a_run_of_the_job_has_failed);
	return run_case("plan", tc);
}
