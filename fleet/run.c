#include "fleet/fleet_int.h"

#include "fleet/long_running.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"

bool task_restartable(const struct task *task)
{
	return task->phase == TASK_WAITING && !task->worker && !task->original;
}

void fleet_plan_run(struct fleet *fleet, struct task *task,
		    struct worker *worker, int64_t run)
{
	worker_assign(worker, task);
	task->phase = TASK_PLANNED;
	task->run = run;
	task->failed_last = false;
	task->unconfirmed = false;
	task->sent = false;
	task->life_ms = 0;
	task->uncertain_us = 0;
	task->start_pending = false;
	task->tries = 0;
	task->calling = false;
	task->stop_sent = false;
	task->retry_us = 0;
	task->answered_us = 0;
	task->missing = 0;
	task->started_us = 0;
	task->percent = 0;
	task->first_report_us = 0;
	task->speed_id = 0;
	task->progress_us = 0;
	task->pace_percent = 100;
	task->pace_pending = false;
	g_free(task->ticket);
	task->ticket = NULL;
	task->change = fleet_mark_changed(fleet, task->stage->job);
	fleet_note(fleet, "task.planned", task->stage->job, task,
		   task->original	   ? "the first run is slow" :
		   task->stage->spec->gang ? "the gang fits" :
					     "there is room");
}

void fleet_adopt_run(struct fleet *fleet, struct task *task,
		     struct worker *worker)
{
	worker_assign(worker, task);
	task->phase = TASK_STARTING;
	task->missing = 0;
	task->life_ms = 0;
	task->unconfirmed = true;
	task->sent = true;
	if (task->stage->spec->fills)
		task->pace_percent = TASK_PACE_UNKNOWN;
}

void fleet_run_started(struct fleet *fleet, struct task *task, int64_t now_us)
{
	struct job *job = task->stage->job;

	task->answered_us = now_us;
	task->missing = 0;
	task->sent = true;
	if (task->phase != TASK_STARTING)
		return;
	task->phase = TASK_RUNNING;
	task->started_us = now_us;
	task->progress_us = now_us;
	task->resumed = task_original(task)->checkpoint != NULL;
	if (task->worker)
		task->worker->fenced = true;
	if (job->phase != JOB_QUEUED)
		return;
	job->phase = JOB_RUNNING;
	job->started = true;
	fleet_note(fleet, "job.started", job, task, "first task started");
	fleet_mark_changed(fleet, job);
}

void fleet_break_gang(struct fleet *fleet, struct task *task, const char *why)
{
	struct stage *stage = task->stage;
	int i;

	if (!stage->spec->gang)
		return;
	for (i = 0; i < stage->spec->count; i++)
		if (&stage->tasks[i] != task)
			fleet_stop_one(fleet, &stage->tasks[i], why);
}

/*
 * Exchanges the runs of a task and its copy, with worker, phase and progress.
 * The counts of failures and stalls and the checkpoint belong to the task and
 * stay with it.
 */
static void swap_runs(struct task *task)
{
	struct task *copy = task->copy;
	struct worker *first = task->worker, *second = copy->worker;
	struct task run;

	if (first)
		worker_unassign(task);
	if (second)
		worker_unassign(copy);
	run = *copy;
	*copy = *task;
	*task = run;
	task->copy = copy;
	task->original = NULL;
	task->fails = copy->fails;
	task->stalls = copy->stalls;
	task->checkpoint = copy->checkpoint;
	copy->copy = NULL;
	copy->original = task;
	copy->fails = 0;
	copy->stalls = 0;
	copy->checkpoint = NULL;
	list_init(&task->on_worker);
	list_init(&copy->on_worker);
	if (second)
		worker_assign(second, task);
	if (first)
		worker_assign(first, copy);
}

void fleet_release(struct fleet *fleet, struct task *task)
{
	if (task->worker)
		worker_unassign(task);
	if (task->phase == TASK_DONE)
		return;
	task->phase = TASK_WAITING;
	g_free(task->ticket);
	task->ticket = NULL;
	fleet_mark_changed(fleet, task->stage->job);
	if (task_has_copy(task))
		swap_runs(task);
}

static void count_worker_failure(struct fleet *fleet, struct worker *worker,
				 const struct job *job, int64_t now_us)
{
	/* Repeated failures of one job say nothing about the worker. */
	if (worker->last_failed_job == job && worker->failure_streak > 0)
		return;
	worker->last_failed_job = job;
	if (++worker->failure_streak < FAILURES_BEFORE_BAN ||
	    worker->banned_until_us > now_us)
		return;
	worker->banned_until_us = now_us + worker->ban_us;
	worker->ban_us = MIN(worker->ban_us * 2, BAN_MAX_MS * 1000);
	worker->failure_streak =
		FAILURES_BEFORE_BAN - 1; /* one more failure bans again */
	worker->last_failed_job = NULL;
	fleet->banned++;
	fleet_note(fleet, "worker.banned", job, NULL, worker->reported.id);
}

static void task_done(struct fleet *fleet, struct task *task)
{
	if (task->phase == TASK_DONE)
		return;
	task->phase = TASK_DONE;
	task->stage->left--;
	g_free(task->checkpoint);
	task->checkpoint = NULL;
	fleet_mark_changed(fleet, task->stage->job);
}

/*
 * If all tasks of the stage are done, opens the steps that depend on it, and
 * ends the job after its last stage.
 */
static void stage_done(struct fleet *fleet, struct stage *stage, int64_t now_us,
		       int64_t wall_ms)
{
	struct job *job = stage->job;

	if (stage->left > 0 || stage->state == STAGE_DONE)
		return;
	stage->state = STAGE_DONE;
	job_unblock(job, stage->occurrence, now_us);
	if (!job_occurrence_done(job, stage->occurrence))
		return;
	job->over++;
	if (job->over == job->occurrences)
		fleet_end_job(fleet, job, JOB_DONE, wall_ms, "all tasks done");
}

static void run_done(struct fleet *fleet, struct task *task, int64_t now_us,
		     int64_t wall_ms)
{
	struct stage *stage = task->stage;
	int i;

	if (task->phase == TASK_RUNNING) {
		fleet_record_duration(fleet, task, now_us);
		speed_observe_end(fleet, task, now_us);
	}
	task_done(fleet, task);
	if (task_has_copy(task))
		fleet_stop_one(fleet, task->copy,
			       "the other run finished first");
	if (stage->spec->gang)
		for (i = 0; i < stage->spec->count; i++)
			task_done(fleet, &stage->tasks[i]);
	stage_done(fleet, stage, now_us, wall_ms);
}

/*
 * Counts a failed run. Returns the failures to compare with the allowed
 * attempts; a gang has one count, which rises once for each of its runs.
 */
static int count_failure(struct task *task)
{
	struct stage *stage = task->stage;

	task->failed_last = true;
	task->failed_at = task->worker;
	if (!stage->spec->gang)
		return ++task_original(task)->fails;
	if (stage->fail_run != task->run) {
		stage->fail_run = task->run;
		stage->fails++;
	}
	return stage->fails;
}

static void run_failed(struct fleet *fleet, struct task *task, int64_t now_us,
		       int64_t wall_ms)
{
	struct job *job = task->stage->job;
	int fails = count_failure(task);

	if (!long_running_failure_expected(task))
		count_worker_failure(fleet, task->worker, job, now_us);
	fleet_mark_changed(fleet, job);
	if (!task->stage->spec->long_running && fails >= job->attempts)
		fleet_end_job(fleet, job, JOB_FAILED, wall_ms,
			      "attempts used up");
}

void fleet_take_checkpoint(struct task *run, const char *checkpoint)
{
	struct task *task = task_original(run);
	struct stage *stage = task->stage;
	int i;

	if (!checkpoint || !*checkpoint || task->phase == TASK_DONE ||
	    !stage->spec->checkpoint ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
	if (!stage->spec->gang)
		return;
	/* All members of a gang resume from the same checkpoint. */
	for (i = 0; i < stage->spec->count; i++) {
		if (&stage->tasks[i] == task)
			continue;
		g_free(stage->tasks[i].checkpoint);
		stage->tasks[i].checkpoint = g_strdup(checkpoint);
	}
}

static const char *const end_names[RUN_END_COUNT] = {
	"done", "failed", "stopped", "lapsed", "broken", "alone", "otherwise"
};

void fleet_run_ended(struct fleet *fleet, struct task *task, enum run_end how,
		     int64_t now_us, int64_t wall_ms)
{
	struct worker *worker = task->worker;
	bool ended;

	fleet_note(fleet, "task.ended", task->stage->job, task, end_names[how]);
	/*
	 * The first of the two runs that is done counts. If it is the copy's,
	 * the task takes it over.
	 */
	if (how == RUN_DONE && task->original &&
	    task->original->phase != TASK_DONE) {
		task = task->original;
		swap_runs(task);
	}
	ended = task_original(task)->phase == TASK_DONE;
	switch (how) {
	case RUN_DONE:
		worker->failure_streak = 0;
		worker->ban_us = BAN_FIRST_MS * 1000;
		/* A long-running task is restarted however its run ended. */
		if (!ended && !task->stage->spec->long_running)
			run_done(fleet, task, now_us, wall_ms);
		break;
	case RUN_FAILED:
		if (!ended)
			run_failed(fleet, task, now_us, wall_ms);
		break;
	default:
		break;
	}
	fleet_release(fleet, task);
	if (task->phase != TASK_DONE)
		fleet_break_gang(fleet, task, end_names[how]);
}

/* Whether the task has a run of another number that may have begun. */
static bool has_other_run(const struct task *task, int64_t run)
{
	return task->worker && task->phase != TASK_PLANNED && task->run != run;
}

/* The task no longer needs its run, which is stopped at its worker. */
static void orphan_run(struct task *task)
{
	struct worker *worker = task->worker;
	struct room room = task_room(task);
	char name[160];

	task_name(task, name, sizeof(name));
	worker_unassign(task);
	orphan_add(worker, name, task->run, &room);
}

void fleet_late_done(struct fleet *fleet, struct task *task, int64_t run,
		     int64_t now_us, int64_t wall_ms)
{
	struct stage *stage = task->stage;
	int first = stage->spec->gang ? 0 : task->index;
	int last = stage->spec->gang ? stage->spec->count - 1 : task->index;
	int i;

	if (job_ended(stage->job) || task->phase == TASK_DONE ||
	    stage->spec->long_running || run > task->run)
		return;
	for (i = first; i <= last; i++)
		if (task_has_copy(&stage->tasks[i]) ||
		    (has_other_run(&stage->tasks[i], run) &&
		     (stage->spec->gang || task->missed_run != run)))
			return;
	if (has_other_run(task, run))
		orphan_run(task);
	fleet_note(fleet, "task.ended", stage->job, task, "done, late");
	for (i = first; i <= last; i++)
		if (stage->tasks[i].phase == TASK_PLANNED)
			fleet_stop_one(fleet, &stage->tasks[i],
				       "an earlier run was done");
	run_done(fleet, task, now_us, wall_ms);
}

void fleet_run_refused(struct fleet *fleet, struct task *task,
		       enum start_refusal why, int64_t now_us)
{
	static const char *const names[REFUSAL_COUNT] = {
		"newer fence", "old run",     "lease expired", "no resources",
		"no ticket",   "not healthy", "malformed"
	};

	fleet_note(fleet, "task.refused", task->stage->job, task, names[why]);
	if (why == REFUSED_UNHEALTHY)
		count_worker_failure(fleet, task->worker, task->stage->job,
				     now_us);
	fleet_release(fleet, task);
	fleet_break_gang(fleet, task, "a member's start was refused");
}

void fleet_stop(struct fleet *fleet, struct task *task, const char *why)
{
	fleet_stop_one(fleet, task, why);
	fleet_break_gang(fleet, task, why);
}

/* The first answer counts: a run can't begin after it, however often the stop is
 * repeated. */
void fleet_stop_answered(struct fleet *fleet, struct task *task, int64_t now_us)
{
	if (task->answered_us == 0)
		task->answered_us = now_us;
}
