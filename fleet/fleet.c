#include "fleet/fleet.h"

#include <string.h>

#include "fleet/limits.h"

static void note(struct fleet *fleet, const char *event, const struct job *job,
		 const struct task *task, const char *why)
{
	if (fleet->ops)
		fleet->ops->note(fleet->user, event, job, task, why);
}

static void stats_free(struct queue_stats *stats)
{
	g_free(stats->name);
	g_free(stats);
}

void fleet_init(struct fleet *fleet, const struct fleet_ops *ops, void *user)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->ops = ops;
	fleet->user = user;
	list_init(&fleet->jobs);
	list_init(&fleet->workers);
	list_init(&fleet->dirty);
	fleet->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->workers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->stats = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     (GDestroyNotify)stats_free);
}

void fleet_finish(struct fleet *fleet)
{
	struct worker *worker, *next_worker;
	struct job *job, *next_job;

	list_for_each_entry_safe(job, next_job, &fleet->jobs, node)
		job_free(job);
	list_for_each_entry_safe(worker, next_worker, &fleet->workers, node)
		worker_free(worker);
	g_hash_table_unref(fleet->jobs_by_id);
	g_hash_table_unref(fleet->workers_by_id);
	g_hash_table_unref(fleet->stats);
}

void fleet_set_config(struct fleet *fleet, const struct config *config)
{
	struct job *job;

	fleet->config = config;
	list_for_each_entry(job, &fleet->jobs, node) {
		const struct queue *queue = config_queue(config, job->queue);

		/* A queue that is gone: its jobs end under the last rules. */
		if (!queue)
			continue;
		job->priority = queue->priority;
		job->attempts = queue->attempts;
		job->stretch = queue->stretch;
		job->slo_ms = queue->slo_ms;
		job->advised = queue->advised;
	}
}

/* ---- jobs ---- */

void fleet_add_job(struct fleet *fleet, struct job *job)
{
	const struct queue *queue =
		fleet->config ? config_queue(fleet->config, job->queue) : NULL;

	job->advised = queue && queue->advised;
	list_add_tail(&job->node, &fleet->jobs);
	g_hash_table_insert(fleet->jobs_by_id, job->id, job);
}

struct job *fleet_job(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->jobs_by_id, id);
}

void fleet_drop_job(struct fleet *fleet, struct job *job)
{
	g_hash_table_remove(fleet->jobs_by_id, job->id);
	job_free(job);
}

uint64_t fleet_touch(struct fleet *fleet, struct job *job)
{
	job->last_change = ++fleet->change;
	if (job->first_change == 0) {
		job->first_change = job->last_change;
		list_add_tail(&job->dirty, &fleet->dirty);
	}
	return job->last_change;
}

uint64_t fleet_stored(const struct fleet *fleet)
{
	const struct job *job;

	if (list_empty(&fleet->dirty))
		return fleet->change;
	job = list_first_entry(&fleet->dirty, struct job, dirty);
	return job->first_change - 1;
}

int64_t fleet_waiting(const struct fleet *fleet, const char *queue)
{
	const struct job *job;
	int64_t count = 0;

	list_for_each_entry(job, &fleet->jobs, node)
		count += !job->started && !job_ended(job) &&
			 strcmp(job->queue, queue) == 0;
	return count;
}

typedef void (*task_fn)(struct fleet *fleet, struct task *task,
			const char *why);

static void each_task(struct fleet *fleet, struct job *job, task_fn fn,
		      const char *why)
{
	int64_t i;
	int t;

	for (i = 0; i < job->due * job->spec.nsteps; i++) {
		struct stage *stage = job->stages[i];

		for (t = 0; stage && t < stage->spec->count; t++)
			fn(fleet, &stage->tasks[t], why);
	}
}

bool fleet_job_holds(const struct job *job)
{
	int64_t i;

	for (i = 0; i < job->due * job->spec.nsteps; i++)
		if (job->stages[i] && job->stages[i]->holding > 0)
			return true;
	return false;
}

/* A run whose order was never sent needs no stop. */
static void drop_plan(struct fleet *fleet, struct task *task)
{
	worker_give(task);
	task->phase = TASK_WAITING;
	fleet_touch(fleet, task->stage->job);
}

static void stop_one(struct fleet *fleet, struct task *task, const char *why)
{
	switch (task->phase) {
	case TASK_PLANNED:
		drop_plan(fleet, task);
		break;
	case TASK_STARTING:
	case TASK_RUNNING:
		note(fleet, "task.stop", task->stage->job, task, why);
		task->phase = TASK_STOPPING;
		task->settled_us = 0;
		task->stop_sent = false;
		task->retry_us = 0;
		break;
	default:
		break;
	}
}

static void end_job(struct fleet *fleet, struct job *job, enum job_phase phase,
		    int64_t wall_ms, const char *why)
{
	if (job_ended(job))
		return;
	job->phase = phase;
	job->ended_ms = wall_ms;
	note(fleet, "job.ended", job, NULL, why);
	fleet_touch(fleet, job);
	if (phase != JOB_DONE)
		each_task(fleet, job, stop_one, why);
}

void fleet_cancel(struct fleet *fleet, struct job *job, int64_t wall_ms)
{
	job->cancelled = true;
	end_job(fleet, job, JOB_CANCELLED, wall_ms, "cancelled");
}

void fleet_open_due(struct fleet *fleet, int64_t now_us, int64_t wall_ms)
{
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node)
		while (!job_ended(job) && job_next_due_ms(job) <= wall_ms &&
		       job_open_next(job, now_us))
			;
}

/* ---- learning ---- */

/* Samples after which the mean of a queue weighs as much as a declaration. */
#define STATS_TRUST 4.0
#define STATS_MEMORY 40.0 /* samples that the mean remembers */

static struct queue_stats *queue_stats(struct fleet *fleet, const char *name)
{
	struct queue_stats *stats = g_hash_table_lookup(fleet->stats, name);

	if (stats)
		return stats;
	stats = g_new0(struct queue_stats, 1);
	stats->name = g_strdup(name);
	g_hash_table_insert(fleet->stats, stats->name, stats);
	return stats;
}

static void learn(struct fleet *fleet, const struct task *task, int64_t now_us)
{
	struct queue_stats *stats = queue_stats(fleet, task->stage->job->queue);
	double ms = (double)(now_us - task->started_us) / 1000.0;

	if (task->started_us == 0 || task->uncertain)
		return;
	stats->samples = MIN(stats->samples + 1, STATS_MEMORY);
	stats->mean_ms += (ms - stats->mean_ms) / stats->samples;
}

double fleet_expected_ms(const struct fleet *fleet, const struct stage *stage)
{
	const struct queue_stats *stats =
		g_hash_table_lookup(fleet->stats, stage->job->queue);
	double declared = (double)MAX(stage->spec->est_ms, 1);
	double trust;

	if (!stats)
		return declared;
	trust = stats->samples / (stats->samples + STATS_TRUST);
	return declared * (1.0 - trust / 2) + stats->mean_ms * trust / 2;
}

/* ---- runs ---- */

bool task_restartable(const struct task *task)
{
	return task->phase == TASK_WAITING && !task->worker;
}

void fleet_plan_run(struct fleet *fleet, struct task *task,
		    struct worker *worker, int64_t run)
{
	worker_take(worker, task);
	task->phase = TASK_PLANNED;
	task->run = run;
	task->failed_last = false;
	task->uncertain = false;
	task->tries = 0;
	task->calling = false;
	task->stop_sent = false;
	task->retry_us = 0;
	task->settled_us = 0;
	task->started_us = 0;
	task->percent = 0;
	task->first_us = 0;
	task->moved_us = 0;
	task->paced = 100;
	task->pacing = false;
	g_free(task->ticket);
	task->ticket = NULL;
	task->change = fleet_touch(fleet, task->stage->job);
	note(fleet, "task.planned", task->stage->job, task,
	     task->stage->spec->gang ? "the gang fits" : "there is room");
}

void fleet_adopt_run(struct fleet *fleet, struct task *task,
		     struct worker *worker)
{
	worker_take(worker, task);
	task->phase = TASK_STARTING;
	task->uncertain = true;
}

void fleet_started(struct fleet *fleet, struct task *task, int64_t now_us)
{
	struct job *job = task->stage->job;

	task->settled_us = now_us;
	if (task->phase != TASK_STARTING)
		return;
	task->phase = TASK_RUNNING;
	task->started_us = now_us;
	task->moved_us = now_us;
	if (task->worker)
		task->worker->fenced = true;
	if (job->phase != JOB_QUEUED)
		return;
	job->phase = JOB_RUNNING;
	job->started = true;
	note(fleet, "job.started", job, task, "first task started");
	fleet_touch(fleet, job);
}

/* Stops the other members of a gang that cannot go on. */
static void break_gang(struct fleet *fleet, struct task *task, const char *why)
{
	struct stage *stage = task->stage;
	int i;

	if (!stage->spec->gang)
		return;
	for (i = 0; i < stage->spec->count; i++)
		if (&stage->tasks[i] != task)
			stop_one(fleet, &stage->tasks[i], why);
}

/* The run is over and its room free; the task waits again unless done. */
static void release(struct fleet *fleet, struct task *task)
{
	if (task->worker)
		worker_give(task);
	if (task->phase == TASK_DONE)
		return;
	task->phase = TASK_WAITING;
	g_free(task->ticket);
	task->ticket = NULL;
	fleet_touch(fleet, task->stage->job);
}

static void strike(struct fleet *fleet, struct worker *worker,
		   const struct job *job, int64_t now_us)
{
	/* A job that fails everywhere must not taint its workers. */
	if (worker->strike_job == job && worker->strikes > 0)
		return;
	worker->strike_job = job;
	if (++worker->strikes < STRIKES_MAX || worker->banned_until_us > now_us)
		return;
	worker->banned_until_us = now_us + worker->ban_us;
	worker->ban_us = MIN(worker->ban_us * 2, BAN_MAX_MS * 1000);
	worker->strikes = STRIKES_MAX - 1; /* one more failure bans again */
	worker->strike_job = NULL;
	fleet->banned++;
	note(fleet, "worker.banned", job, NULL, worker->said.id);
}

static void task_done(struct fleet *fleet, struct task *task)
{
	if (task->phase == TASK_DONE)
		return;
	task->phase = TASK_DONE;
	task->stage->left--;
	g_free(task->checkpoint);
	task->checkpoint = NULL;
	fleet_touch(fleet, task->stage->job);
}

/* All tasks of the stage are done: later steps open, or the job ends. */
static void stage_done(struct fleet *fleet, struct stage *stage, int64_t now_us,
		       int64_t wall_ms)
{
	struct job *job = stage->job;
	int step;

	if (stage->left > 0 || stage->state == STAGE_DONE)
		return;
	stage->state = STAGE_DONE;
	job_unblock(job, stage->occurrence, now_us);
	for (step = 0; step < job->spec.nsteps; step++) {
		struct stage *other = job_stage(job, stage->occurrence, step);

		if (!other || other->state != STAGE_DONE)
			return;
	}
	job->over++;
	if (job->over == job->occurrences)
		end_job(fleet, job, JOB_DONE, wall_ms, "all tasks done");
}

static void run_done(struct fleet *fleet, struct task *task, int64_t now_us,
		     int64_t wall_ms)
{
	struct stage *stage = task->stage;
	int i;

	if (task->phase == TASK_RUNNING)
		learn(fleet, task, now_us);
	task_done(fleet, task);
	if (stage->spec->gang)
		for (i = 0; i < stage->spec->count; i++)
			task_done(fleet, &stage->tasks[i]);
	stage_done(fleet, stage, now_us, wall_ms);
}

/* Returns the failures that count against the attempts of the task. */
static int count_failure(struct task *task)
{
	struct stage *stage = task->stage;

	task->failed_last = true;
	task->failed_at = task->worker;
	if (!stage->spec->gang)
		return ++task->fails;
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

	strike(fleet, task->worker, job, now_us);
	fleet_touch(fleet, job);
	if (!task->stage->spec->long_running && fails >= job->attempts)
		end_job(fleet, job, JOB_FAILED, wall_ms, "attempts used up");
}

static void take_checkpoint(struct task *task, const char *checkpoint)
{
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
	/* All members resume from one value. */
	for (i = 0; i < stage->spec->count; i++) {
		if (&stage->tasks[i] == task)
			continue;
		g_free(stage->tasks[i].checkpoint);
		stage->tasks[i].checkpoint = g_strdup(checkpoint);
	}
}

static const char *const end_names[RUN_ENDS] = { "done",   "failed", "stopped",
						 "lapsed", "broken", "alone" };

/* The current run of a task has ended at its worker. */
static void run_ended(struct fleet *fleet, struct task *task, enum run_end how,
		      int64_t now_us, int64_t wall_ms)
{
	struct worker *worker = task->worker;

	note(fleet, "task.ended", task->stage->job, task, end_names[how]);
	switch (how) {
	case RUN_DONE:
		worker->strikes = 0;
		worker->ban_us = BAN_FIRST_MS * 1000;
		if (task->phase != TASK_DONE)
			run_done(fleet, task, now_us, wall_ms);
		break;
	case RUN_FAILED:
		if (task->phase != TASK_DONE)
			run_failed(fleet, task, now_us, wall_ms);
		break;
	default:
		break;
	}
	release(fleet, task);
	if (task->phase != TASK_DONE)
		break_gang(fleet, task, end_names[how]);
}

void fleet_refused(struct fleet *fleet, struct task *task,
		   enum start_refusal why, int64_t now_us, int64_t wall_ms)
{
	static const char *const names[REFUSALS] = {
		"newer fence", "old run",  "lease was over", "no room",
		"no ticket",   "not well", "malformed"
	};

	note(fleet, "task.refused", task->stage->job, task, names[why]);
	if (why == REFUSED_ILL)
		strike(fleet, task->worker, task->stage->job, now_us);
	release(fleet, task);
	break_gang(fleet, task, "a member was refused");
}

void fleet_stop(struct fleet *fleet, struct task *task, const char *why)
{
	stop_one(fleet, task, why);
	break_gang(fleet, task, why);
}

void fleet_stop_answered(struct fleet *fleet, struct task *task, int64_t now_us)
{
	task->settled_us = now_us;
}

struct worker *fleet_adopt_worker(struct fleet *fleet, const char *id,
				  int64_t born_ms, int64_t now_us)
{
	struct worker *worker = g_hash_table_lookup(fleet->workers_by_id, id);
	int64_t hold_us =
		(fleet->bounds.max_hold_ms + fleet->held_on_ms) * 1000;

	if (!worker) {
		/* It may live without an entry; its leases decide. */
		worker = worker_new();
		worker->said.id = g_strdup(id);
		worker->said.pool = g_strdup("");
		worker->said.born_ms = born_ms;
		worker->unlisted_us = now_us;
		worker->silent = 1;
		list_add_tail(&worker->node, &fleet->workers);
		g_hash_table_insert(fleet->workers_by_id, worker->said.id,
				    worker);
	}
	worker->adopted_end_us =
		MAX(worker->adopted_end_us,
		    now_us + hold_us * 100 / (100 - LEASE_DRIFT_PERCENT) +
			    ADOPT_SLACK_MS * 1000);
	return worker;
}

void fleet_last_leader_gone(struct fleet *fleet)
{
	int64_t less_us =
		fleet->held_on_ms * 1000 * 100 / (100 - LEASE_DRIFT_PERCENT);
	struct worker *worker;

	fleet->held_on_ms = 0;
	list_for_each_entry(worker, &fleet->workers, node)
		worker->adopted_end_us =
			MAX(worker->adopted_end_us - less_us, 0);
}

/* ---- what workers list ---- */

static struct task *find_task(const struct fleet *fleet, const char *name)
{
	struct task_ref ref;
	struct job *job;

	if (!task_ref_parse(name, &ref))
		return NULL;
	job = fleet_job(fleet, ref.job);
	return job ? job_task(job, &ref) : NULL;
}

static void note_end(struct fleet *fleet, struct worker *worker, int64_t number)
{
	struct worker_end end = { .number = number, .change = fleet->change };

	worker->end_seen = number;
	g_array_append_val(worker->ends, end);
}

static void handle_ends(struct fleet *fleet, struct worker *worker,
			const struct hold_report *report, int64_t now_us,
			int64_t wall_ms)
{
	size_t i;

	for (i = 0; i < report->nended; i++) {
		const struct end_report *end = &report->ended[i];
		struct task *task;

		if (end->number <= worker->end_seen)
			continue;
		task = find_task(fleet, end->task);
		if (task && task->worker == worker && task->run == end->run) {
			take_checkpoint(task, end->checkpoint);
			run_ended(fleet, task, end->how, now_us, wall_ms);
		}
		note_end(fleet, worker, end->number);
	}
}

static void update_run(struct fleet *fleet, struct task *task,
		       const struct run_report *run, int64_t now_us)
{
	if (task->phase == TASK_STARTING)
		fleet_started(fleet, task, now_us);
	take_checkpoint(task, run->checkpoint);
	task->load = run->load;
	if (task->first_us == 0) {
		task->first_us = now_us;
		task->first_percent = run->percent;
	}
	if (run->percent != task->percent) {
		task->percent = run->percent;
		task->moved_us = now_us;
	}
}

/*
 * A run that the worker lists neither as running nor as ended is over, if
 * the call was sent after the latest order for it was answered, or if it was
 * adopted: orders of earlier leaders are refused by the fence of this call.
 */
static bool run_is_gone(const struct task *task, int64_t sent_us)
{
	if (task->phase == TASK_PLANNED || task->calling)
		return false;
	if (task->phase == TASK_STARTING && task->uncertain && task->tries == 0)
		return true;
	if (task->phase == TASK_DONE && task->settled_us == 0)
		return true;
	return task->settled_us != 0 && task->settled_us < sent_us;
}

struct run_key {
	const char *task;
	int64_t run;
};

void fleet_held(struct fleet *fleet, struct worker *worker,
		const struct hold_report *report, int64_t sent_us,
		int64_t now_us, int64_t wall_ms)
{
	GHashTable *listed = g_hash_table_new(g_direct_hash, g_direct_equal);
	struct task *task, *next;
	size_t i;

	worker->fenced = true;
	handle_ends(fleet, worker, report, now_us, wall_ms);
	for (i = 0; i < report->nrunning; i++) {
		const struct run_report *run = &report->running[i];

		task = find_task(fleet, run->task);
		if (!task || task->worker != worker || task->run != run->run)
			continue;
		g_hash_table_add(listed, task);
		update_run(fleet, task, run, now_us);
	}
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker) {
		if (g_hash_table_contains(listed, task) ||
		    !run_is_gone(task, sent_us))
			continue;
		note(fleet, "task.gone", task->stage->job, task,
		     "not listed by its worker");
		release(fleet, task);
		if (task->phase != TASK_DONE)
			break_gang(fleet, task, "a member is gone");
		/* The list may have changed under a gang. */
		next = list_first_entry(&worker->tasks, struct task, on_worker);
	}
	g_hash_table_unref(listed);
}

int64_t fleet_ends_noted(struct fleet *fleet, struct worker *worker)
{
	uint64_t stored = fleet_stored(fleet);
	guint known = 0;

	while (known < worker->ends->len) {
		const struct worker_end *end =
			&g_array_index(worker->ends, struct worker_end, known);

		if (end->change > stored)
			break;
		worker->end_noted = end->number;
		known++;
	}
	if (known > 0)
		g_array_remove_range(worker->ends, 0, known);
	return worker->end_noted;
}

/* ---- workers ---- */

static void release_all(struct fleet *fleet, struct worker *worker,
			const char *why)
{
	while (!list_empty(&worker->tasks)) {
		struct task *task = list_first_entry(&worker->tasks,
						     struct task, on_worker);

		note(fleet, "task.lost", task->stage->job, task, why);
		release(fleet, task);
		if (task->phase != TASK_DONE)
			break_gang(fleet, task, why);
	}
}

void fleet_life_over(struct fleet *fleet, struct worker *worker, int64_t now_us,
		     int64_t wall_ms)
{
	release_all(fleet, worker, "its worker's life is over");
	worker->replaced = true;
	worker->listed = false;
}

/*
 * A later life of a worker knows nothing of what ran before. Its tasks move
 * over all the same: an order may have reached the later life under the same
 * name, so only a list of that life tells that a run is over.
 */
static struct worker *new_life(struct fleet *fleet, struct worker *old,
			       int64_t now_us)
{
	struct worker *worker = worker_new();

	list_add_tail(&worker->node, &fleet->workers);
	if (!old)
		return worker;
	worker->lease_end_us = old->lease_end_us;
	worker->adopted_end_us = old->adopted_end_us;
	worker->next_hold_us = 0;
	old->replaced = true;
	old->listed = false;
	while (!list_empty(&old->tasks)) {
		struct task *task =
			list_first_entry(&old->tasks, struct task, on_worker);

		note(fleet, "task.moved_life", task->stage->job, task,
		     "its worker started again");
		worker_give(task);
		worker_take(worker, task);
		task->settled_us = now_us;
		fleet_touch(fleet, task->stage->job);
	}
	return worker;
}

void fleet_later_life(struct fleet *fleet, struct worker *worker,
		      int64_t born_ms, int64_t now_us)
{
	struct worker *later = new_life(fleet, worker, now_us);

	/* All that is said of the machine stays true but for its start. */
	later->said = worker->said;
	memset(&worker->said, 0, sizeof(worker->said));
	worker->said.id = g_strdup(later->said.id);
	worker->said.born_ms = later->said.born_ms;
	later->said.born_ms = born_ms;
	later->listed = true;
	g_hash_table_remove(fleet->workers_by_id, later->said.id);
	g_hash_table_insert(fleet->workers_by_id, later->said.id, later);
}

struct worker *fleet_report(struct fleet *fleet, struct worker_report *report,
			    int64_t now_us)
{
	struct worker *worker =
		g_hash_table_lookup(fleet->workers_by_id, report->id);

	if (worker && report->born_ms < worker->said.born_ms) {
		worker_report_finish(report);
		return worker;
	}
	if (!worker || report->born_ms != worker->said.born_ms)
		worker = new_life(fleet, worker, now_us);
	if (report->draining && worker->draining_us == 0)
		worker->draining_us = now_us;
	if (worker->heard_us == 0)
		worker_clock(worker, report->clock_ms, now_us);
	g_hash_table_remove(fleet->workers_by_id, report->id);
	worker_report_finish(&worker->said);
	worker->said = *report;
	memset(report, 0, sizeof(*report));
	worker->listed = true;
	worker->replaced = false;
	g_hash_table_insert(fleet->workers_by_id, worker->said.id, worker);
	return worker;
}

void fleet_unlist(struct fleet *fleet, const char *id, int64_t now_us)
{
	struct worker *worker = g_hash_table_lookup(fleet->workers_by_id, id);

	if (!worker || !worker->listed)
		return;
	worker->listed = false;
	worker->unlisted_us = now_us;
}

static void forget_worker(struct fleet *fleet, struct worker *worker)
{
	if (g_hash_table_lookup(fleet->workers_by_id, worker->said.id) ==
	    worker)
		g_hash_table_remove(fleet->workers_by_id, worker->said.id);
	worker_free(worker);
}

void fleet_sweep(struct fleet *fleet, int64_t now_us, int64_t wall_ms)
{
	struct worker *worker, *next;

	list_for_each_entry_safe(worker, next, &fleet->workers, node) {
		int64_t end_us =
			MAX(worker->lease_end_us, worker->adopted_end_us);

		if (worker->task_count > 0 && end_us > 0 &&
		    now_us > end_us + LEASE_SLACK_MS * 1000 &&
		    !worker_reachable(worker, now_us)) {
			fleet->lapsed++;
			release_all(fleet, worker, "lease is over");
		}
		if (worker->task_count > 0 && !worker->listed &&
		    worker->said.draining && worker->refusals >= LEFT_REFUSALS)
			release_all(fleet, worker, "its worker has left");
		if (worker->task_count == 0 && !worker->listed &&
		    (worker->replaced ||
		     now_us - worker->unlisted_us > UNLISTED_GRACE_MS * 1000))
			forget_worker(fleet, worker);
	}
}
