#include "fleet/fleet_int.h"

#include <string.h>

void fleet_note(struct fleet *fleet, const char *event, const struct job *job,
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
	speed_init(&fleet->speed);
	list_init(&fleet->jobs);
	list_init(&fleet->workers);
	list_init(&fleet->dirty);
	fleet->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->workers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->unservable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
	speed_finish(&fleet->speed);
	g_hash_table_unref(fleet->jobs_by_id);
	g_hash_table_unref(fleet->workers_by_id);
	g_hash_table_unref(fleet->unservable);
	g_hash_table_unref(fleet->stats);
}

/* Jobs of a removed queue keep its last settings. */
static void apply_queue(struct job *job, const struct config *config)
{
	const struct queue *queue = config_queue(config, job->queue);

	if (!queue)
		return;
	job->priority = queue->priority;
	job->attempts = queue->attempts;
	job->stretch = queue->stretch;
	job->slo_ms = queue->slo_ms;
	job->advised = queue->advised;
}

void fleet_set_config(struct fleet *fleet, const struct config *config)
{
	struct job *job;

	fleet->config = config;
	list_for_each_entry(job, &fleet->jobs, node)
		apply_queue(job, config);
}

/* Jobs. */

void fleet_add_job(struct fleet *fleet, struct job *job)
{
	/* The host that accepted the job may have an older configuration. */
	if (fleet->config)
		apply_queue(job, fleet->config);
	list_add_tail(&job->node, &fleet->jobs);
	g_hash_table_insert(fleet->jobs_by_id, job->id, job);
}

struct job *fleet_job(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->jobs_by_id, id);
}

void fleet_remove_job(struct fleet *fleet, struct job *job)
{
	g_hash_table_remove(fleet->jobs_by_id, job->id);
	job_free(job);
}

uint64_t fleet_mark_changed(struct fleet *fleet, struct job *job)
{
	job->last_change = ++fleet->change;
	if (job->first_change == 0) {
		job->first_change = job->last_change;
		list_add_tail(&job->dirty, &fleet->dirty);
	}
	return job->last_change;
}

uint64_t fleet_stored_change(const struct fleet *fleet)
{
	const struct job *job;

	if (list_empty(&fleet->dirty))
		return fleet->change;
	job = list_first_entry(&fleet->dirty, struct job, dirty);
	return job->first_change - 1;
}

int64_t fleet_count_waiting(const struct fleet *fleet, const char *queue)
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
	guint i;
	int t;

	for (i = 0; i < job->stages->len; i++) {
		struct stage *stage = g_ptr_array_index(job->stages, i);

		for (t = 0; t < stage->spec->count; t++) {
			fn(fleet, &stage->tasks[t], why);
			if (stage->tasks[t].copy)
				fn(fleet, stage->tasks[t].copy, why);
		}
	}
}

bool fleet_job_holds_room(const struct job *job)
{
	guint i;

	for (i = 0; i < job->stages->len; i++) {
		const struct stage *stage = g_ptr_array_index(job->stages, i);

		if (stage->holding > 0)
			return true;
	}
	return false;
}

/* Drops a run whose start was not ordered yet, so that it needs no stop. */
static void drop_plan(struct fleet *fleet, struct task *task)
{
	worker_unassign(task);
	task->phase = TASK_WAITING;
	fleet_mark_changed(fleet, task->stage->job);
}

void fleet_stop_one(struct fleet *fleet, struct task *task, const char *why)
{
	switch (task->phase) {
	case TASK_PLANNED:
		drop_plan(fleet, task);
		break;
	case TASK_STARTING:
	case TASK_RUNNING:
		fleet_note(fleet, "task.stop", task->stage->job, task, why);
		task->phase = TASK_STOPPING;
		task->answered_us = 0;
		task->missing = 0;
		task->stop_sent = false;
		task->retry_us = 0;
		break;
	default:
		break;
	}
}

void fleet_end_job(struct fleet *fleet, struct job *job, enum job_phase phase,
		   int64_t wall_ms, const char *why)
{
	if (job_ended(job))
		return;
	job->phase = phase;
	job->ended_ms = wall_ms;
	fleet_note(fleet, "job.ended", job, NULL, why);
	fleet_mark_changed(fleet, job);
	if (phase != JOB_DONE)
		each_task(fleet, job, fleet_stop_one, why);
}

void fleet_cancel(struct fleet *fleet, struct job *job, int64_t wall_ms)
{
	job->cancelled = true;
	fleet_end_job(fleet, job, JOB_CANCELLED, wall_ms, "cancelled");
}

void fleet_open_due(struct fleet *fleet, int64_t now_us, int64_t wall_ms)
{
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		if (job_ended(job))
			continue;
		job_close_occurrences(job);
		while (job_next_due_ms(job) <= wall_ms && job_may_open(job) &&
		       job_open_occurrence(job, now_us))
			;
	}
}
