#include "fleet/fleet_int.h"

#include "fleet/orphan.h"

/* Returns the job that a task name refers to, or NULL. */
static struct job *find_job(const struct fleet *fleet, const char *name,
			    struct task_ref *ref)
{
	return task_ref_parse(name, ref) ? fleet_job(fleet, ref->job) : NULL;
}

/* Returns the task or copy whose run is assigned to the worker, or NULL. */
static struct task *find_run(const struct fleet *fleet,
			     const struct worker *worker, const char *name,
			     int64_t run)
{
	struct task_ref ref;
	struct job *job = find_job(fleet, name, &ref);
	struct task *task = job ? job_find_run(job, &ref, run) : NULL;

	return task && task->worker == worker ? task : NULL;
}

static void record_end(struct fleet *fleet, struct worker *worker,
		       int64_t number)
{
	struct worker_end end = { .number = number, .change = fleet->change };

	worker->end_seen = number;
	g_array_append_val(worker->ends, end);
}

/* An end of a run that is not assigned to the worker any more. */
static void handle_late_end(struct fleet *fleet, const struct end_report *end,
			    int64_t now_us, int64_t wall_ms)
{
	struct task_ref ref;
	struct job *job = find_job(fleet, end->task, &ref);
	struct task *task = job ? job_find_task(job, &ref) : NULL;

	if (task && end->how == RUN_DONE)
		fleet_late_done(fleet, task, end->run, now_us, wall_ms);
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
		task = find_run(fleet, worker, end->task, end->run);
		if (task) {
			fleet_take_checkpoint(task, end->checkpoint);
			fleet_run_ended(fleet, task, end->how, now_us, wall_ms);
		} else {
			handle_late_end(fleet, end, now_us, wall_ms);
		}
		record_end(fleet, worker, end->number);
		worker->end_read_us = now_us;
	}
}

/*
 * Whether the released run can go on as the task's: nothing of the task has
 * been started since.
 */
static bool can_resume(const struct task *task, int64_t run)
{
	if (job_ended(task->stage->job) || task->stage->spec->gang ||
	    task->stage->spec->speculative || task->copy)
		return false;
	return (task->phase == TASK_WAITING && !task->worker &&
		task->run == run) ||
	       (task->phase == TASK_PLANNED && task->run == run + 1);
}

static void resume(struct fleet *fleet, struct worker *worker,
		   struct task *task, int64_t run, int64_t now_us)
{
	if (task->phase == TASK_PLANNED)
		fleet_stop_one(fleet, task, "an earlier run goes on");
	task->run = run;
	task->calling = false;
	task->start_pending = false;
	fleet_adopt_run(fleet, task, worker);
	fleet_run_started(fleet, task, now_us);
	fleet_mark_changed(fleet, task->stage->job);
}

/*
 * A run that its worker lists and that no task holds was released too early, so
 * that another one may be at work beside it. It is taken back while no other
 * has been started, and stopped otherwise.
 */
static struct task *handle_unheld(struct fleet *fleet, struct worker *worker,
				  const struct run_report *run, int64_t sent_us,
				  int64_t now_us)
{
	struct room none = { 0 }, room;
	struct task_ref ref;
	struct job *job = find_job(fleet, run->task, &ref);
	struct task *task = job ? job_find_task(job, &ref) : NULL;

	/* Its end may have been read from a report that overtook this one. */
	if (sent_us <= worker->end_read_us ||
	    orphan_find(worker, run->task, run->run))
		return NULL;
	fleet->unheld++;
	if (fleet->ops && fleet->ops->unheld)
		fleet->ops->unheld(fleet->user, worker, run, task);
	if (task && can_resume(task, run->run)) {
		resume(fleet, worker, task, run->run, now_us);
		return task;
	}
	/* An earlier leader may have extended the lease that it runs on. */
	worker->adopted = true;
	room = task ? task_room(task) : none;
	orphan_add(worker, run->task, run->run, &room);
	return NULL;
}

static void update_run(struct fleet *fleet, struct task *task,
		       const struct hold_report *report,
		       const struct run_report *run, int64_t now_us)
{
	if (task->phase == TASK_STARTING)
		fleet_run_started(fleet, task, now_us);
	task->missing = 0;
	task->life_ms = report->born_ms;
	fleet_take_checkpoint(task, run->checkpoint);
	task->load = run->load;
	if (task->first_report_us == 0) {
		task->first_report_us = now_us;
		task->first_percent = run->percent;
	}
	if (run->percent != task->percent) {
		bool ahead = run->percent > task->percent;

		task->percent = run->percent;
		task->progress_us = now_us;
		/* A report may arrive after a later one. */
		if (ahead)
			speed_observe(fleet, task, now_us);
	}
}

void fleet_handle_hold(struct fleet *fleet, struct worker *worker,
		       const struct hold_report *report, int64_t sent_us,
		       int64_t now_us, int64_t wall_ms)
{
	GHashTable *listed = g_hash_table_new(g_direct_hash, g_direct_equal);
	struct task *task, *next;
	size_t i;

	worker->fenced = true;
	if (report->born_ms == 0 || report->born_ms == worker->reported.born_ms)
		worker->confirmed_us = MAX(worker->confirmed_us, sent_us);
	handle_ends(fleet, worker, report, now_us, wall_ms);
	orphans_update(fleet, worker, report, sent_us);
	for (i = 0; i < report->nrunning; i++) {
		const struct run_report *run = &report->running[i];

		task = find_run(fleet, worker, run->task, run->run);
		if (!task)
			task = handle_unheld(fleet, worker, run, sent_us,
					     now_us);
		if (!task)
			continue;
		g_hash_table_add(listed, task);
		update_run(fleet, task, report, run, now_us);
	}
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker) {
		enum run_proof proof = PROOF_PROCESS_ENDED;

		if (g_hash_table_contains(listed, task))
			continue;
		if (!proof_process_replaced(task, report)) {
			proof = PROOF_NOT_REPORTED;
			if (!proof_not_reported(fleet, task, report, sent_us,
						now_us))
				continue;
		}
		fleet_run_lost(fleet, task, proof, report, sent_us);
		/* Stopping the gang may have changed the list: start over. */
		next = list_first_entry(&worker->tasks, struct task, on_worker);
	}
	g_hash_table_unref(listed);
}

int64_t fleet_ends_stored(struct fleet *fleet, struct worker *worker)
{
	uint64_t stored = fleet_stored_change(fleet);
	guint known = 0;

	while (known < worker->ends->len) {
		const struct worker_end *end =
			&g_array_index(worker->ends, struct worker_end, known);

		if (end->change > stored)
			break;
		worker->last_end_stored = end->number;
		known++;
	}
	if (known > 0)
		g_array_remove_range(worker->ends, 0, known);
	return worker->last_end_stored;
}

/*
 * Whether a later life of the worker, which nothing has been heard of, may have
 * the run. It is known to be at this life if that has listed it, or has answered
 * a hold call that was sent after the start was answered. Starts of earlier
 * leaders are refused by then.
 */
static bool may_be_at_next_life(const struct worker *worker,
				const struct task *task)
{
	if (task->start_pending)
		return true;
	if (!task->sent || (task->unconfirmed && task->tries == 0) ||
	    (task->first_report_us != 0 &&
	     task->life_ms == worker->reported.born_ms))
		return false;
	return task->answered_us == 0 ||
	       task->answered_us >= worker->confirmed_us;
}

/*
 * The numbers of ends begin anew with each life of a worker, and a call names
 * only the worker. A later life that took an acknowledgement for its own ends
 * would drop them unread. It has ends only of runs that may be there.
 */
int64_t fleet_ends_acknowledged(struct fleet *fleet, struct worker *worker)
{
	const struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (may_be_at_next_life(worker, task))
			return 0;
	return fleet_ends_stored(fleet, worker);
}

bool fleet_life_needs_report(struct fleet *fleet, struct worker *worker)
{
	const struct task *task;
	bool needs = false;

	if (worker->acked >= worker->end_seen ||
	    fleet_ends_stored(fleet, worker) < worker->end_seen)
		return false;
	list_for_each_entry(task, &worker->tasks, on_worker) {
		if (!may_be_at_next_life(worker, task))
			continue;
		if (task->start_pending || task->answered_us == 0)
			return false;
		needs = true;
	}
	return needs;
}
