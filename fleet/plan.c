#include "fleet/plan.h"

#include "fleet/advice.h"
#include "fleet/long_running.h"
#include "fleet/limits.h"
#include "fleet/order.h"
#include "fleet/placement.h"
#include "fleet/reclaim.h"
#include "fleet/speculate.h"

struct pass {
	struct placement place;
	struct fleet *fleet;
	int64_t now_us;
	int started;
	int reserved;
	bool starved; /* a task that is ready to run found no room */
};

/*
 * All tasks of a gang get the same run number, which is higher than any that
 * one of them had before.
 */
static int64_t next_gang_run(const struct stage *stage)
{
	int64_t run = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++)
		run = MAX(run, stage->tasks[i].run);
	return run + 1;
}

static bool gang_restartable(const struct stage *stage)
{
	int i;

	for (i = 0; i < stage->spec->count; i++)
		if (!task_restartable(&stage->tasks[i]))
			return false;
	return true;
}

static void plan_run(struct pass *pass, struct task *task,
		     struct worker *worker, int64_t run)
{
	fleet_plan_run(pass->fleet, task, worker, run);
	if (task->stage->job->advised)
		task->ticket = g_strdup(
			advice_ticket(task->stage, worker, pass->now_us));
}

static bool plan_gang(struct pass *pass, struct stage *stage)
{
	double expected_ms = fleet_expected_ms(pass->fleet, stage);
	struct worker **chosen;
	int64_t run;
	int i;

	if (!gang_restartable(stage))
		return true;
	chosen = placement_choose_gang(&pass->place, stage, expected_ms);
	if (!chosen)
		return false;
	run = next_gang_run(stage);
	speed_stage_restart(stage);
	for (i = 0; i < stage->spec->count; i++)
		plan_run(pass, &stage->tasks[i], chosen[i], run);
	pass->started += stage->spec->count;
	g_free(chosen);
	return true;
}

static bool plan_tasks(struct pass *pass, struct stage *stage)
{
	double expected_ms = fleet_expected_ms(pass->fleet, stage);
	int i;

	for (i = 0; i < stage->spec->count; i++) {
		struct task *task = &stage->tasks[i];
		struct worker *worker;

		if (!task_restartable(task))
			continue;
		worker = placement_choose_worker(&pass->place, task,
						 expected_ms);
		if (!worker)
			return false;
		plan_run(pass, task, worker, task_next_run(task));
		pass->started++;
	}
	return true;
}

/*
 * The most work, in core-milliseconds, that may be lost by stopping runs to
 * make room for the stage. There is no limit if the customer's guarantee
 * covers the job, or if a long-running task has been without room for too
 * long. An urgent job (priority 0) beyond the guarantee that can still meet
 * its objective may cost RECLAIM_LOSS_FACTOR times its own work. Other stages
 * stop nothing.
 */
static double max_reclaim_loss(const struct pass *pass,
			       const struct stage *stage)
{
	const struct job *job = stage->job;

	if (job->guaranteed || long_running_overdue(stage, pass->now_us))
		return G_MAXDOUBLE;
	if (job->priority == 0 &&
	    order_feasibility(pass->fleet, job, pass->now_us) ==
		    FEASIBLE_IN_TIME)
		return RECLAIM_LOSS_FACTOR * job->work;
	return 0;
}

/*
 * Handles a stage that found no room: stops runs of other jobs for it if that
 * is allowed, else reserves room if the stage is a gang.
 */
static void reclaim_or_reserve(struct pass *pass, struct stage *stage)
{
	double max_loss = max_reclaim_loss(pass, stage);

	if (stage->reserved)
		return;
	if (max_loss > 0 && reclaim(&pass->place, stage, max_loss))
		return;
	if (stage->spec->gang && pass->reserved < RESERVED_GANGS_MAX) {
		pass->reserved++;
		placement_reserve(&pass->place, stage);
	}
}

static void plan_job(struct pass *pass, struct job *job)
{
	guint i;

	for (i = 0; i < job->stages->len; i++) {
		struct stage *stage = g_ptr_array_index(job->stages, i);
		bool placed;

		if (stage->state != STAGE_OPEN || stage->left == 0 ||
		    pass->started >= PASS_STARTS_MAX)
			continue;
		placed = stage->spec->gang ? plan_gang(pass, stage) :
					     plan_tasks(pass, stage);
		if (placed) {
			stage->began_us = stage->began_us ? stage->began_us :
							    pass->now_us;
			stage->unplaced_since_us = 0;
			continue;
		}
		stage->unplaced_since_us = stage->unplaced_since_us ?
						   stage->unplaced_since_us :
						   pass->now_us;
		pass->starved = true;
		reclaim_or_reserve(pass, stage);
	}
}

static void renew_reservations(struct pass *pass, const GPtrArray *jobs)
{
	guint j;

	for (j = 0; j < jobs->len; j++) {
		struct job *job = g_ptr_array_index(jobs, j);
		guint i;

		for (i = 0; i < job->stages->len; i++)
			reclaim_renew_reservation(
				&pass->place,
				g_ptr_array_index(job->stages, i));
	}
}

/* Plans a speculative second run of a task on another worker. */
static void plan_copy(struct pass *pass, struct task *task)
{
	double expected_ms = fleet_expected_ms(pass->fleet, task->stage);
	struct task *copy = task_add_copy(task);
	struct worker *worker =
		placement_choose_worker(&pass->place, copy, expected_ms);

	if (!worker)
		return;
	plan_run(pass, copy, worker, task_next_run(task));
	pass->started++;
}

static void plan_job_copies(struct pass *pass, struct job *job)
{
	guint i;
	int t;

	for (i = 0; i < job->stages->len; i++) {
		struct stage *stage = g_ptr_array_index(job->stages, i);

		if (stage->state != STAGE_OPEN || !stage->spec->speculative)
			continue;
		for (t = 0; t < stage->spec->count; t++)
			if (speculate_wanted(pass->fleet, &stage->tasks[t],
					     pass->now_us))
				plan_copy(pass, &stage->tasks[t]);
	}
}

/* Copies use idle room only: none starts while another task waits for room. */
static void plan_copies(struct pass *pass)
{
	struct job *job;

	if (pass->starved)
		return;
	list_for_each_entry(job, &pass->fleet->jobs, node)
		if (job->speculative && !job_ended(job))
			plan_job_copies(pass, job);
}

static bool any_speculative(const struct fleet *fleet)
{
	const struct job *job;

	list_for_each_entry(job, &fleet->jobs, node)
		if (job->speculative && job->phase == JOB_RUNNING)
			return true;
	return false;
}

int plan_pass(struct fleet *fleet, int64_t now_us)
{
	struct pass pass = { .fleet = fleet, .now_us = now_us };
	GPtrArray *jobs = order_jobs(fleet, now_us);
	guint i;

	speed_fit(fleet, now_us);
	if (jobs->len > 0 || any_speculative(fleet)) {
		placement_init(&pass.place, fleet, now_us);
		renew_reservations(&pass, jobs);
		for (i = 0; i < jobs->len; i++)
			plan_job(&pass, g_ptr_array_index(jobs, i));
		plan_copies(&pass);
		placement_finish(&pass.place);
	}
	g_ptr_array_unref(jobs);
	return pass.started;
}
