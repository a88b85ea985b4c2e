#include "fleet/fleet_int.h"

#include <string.h>

#include "fleet/limits.h"
#include "fleet/orphan.h"

void fleet_worker_ended(struct fleet *fleet, struct worker *worker)
{
	fleet_worker_runs_lost(fleet, worker, PROOF_PROCESS_ENDED);
	worker->replaced = true;
	worker->listed = false;
}

/* Whether the run was read from the store and no order has been sent for it. */
static bool is_adopted(const struct task *task)
{
	return task->unconfirmed && task->tries == 0;
}

/*
 * A start without an answer may be carried out late, by the new incarnation, to
 * which the run is unknown. After a stop that incarnation refuses the start.
 * Starts of earlier leaders are refused because of the fence token.
 */
static void end_earlier_life(struct fleet *fleet, struct task *task,
			     int64_t now_us)
{
	task->missing = 0;
	if (task->phase == TASK_PLANNED)
		return;
	if (is_adopted(task)) {
		task->answered_us = now_us;
		return;
	}
	if (!task->unconfirmed && !task->start_pending)
		return;
	task->unconfirmed = true;
	fleet_stop_one(fleet, task,
		       "its worker restarted and a start has no answer");
	task->answered_us = 0;
	task->stop_sent = false;
	task->retry_us = 0;
}

/*
 * A new incarnation of a worker has none of the earlier runs. The tasks are
 * moved to it nevertheless, and released once it has reported: its answer shows
 * that the earlier incarnation has ended.
 */
static struct worker *new_incarnation(struct fleet *fleet, struct worker *old,
				      int64_t now_us)
{
	struct worker *worker = worker_new();

	list_add_tail(&worker->node, &fleet->workers);
	if (!old)
		return worker;
	speed_inherit(worker, old);
	worker->lease_end_us = old->lease_end_us;
	worker->adopted = old->adopted;
	worker->next_hold_us = 0;
	old->replaced = true;
	old->listed = false;
	while (!list_empty(&old->tasks)) {
		struct task *task =
			list_first_entry(&old->tasks, struct task, on_worker);

		fleet_note(fleet, "task.moved_life", task->stage->job, task,
			   "its worker restarted");
		worker_unassign(task);
		worker_assign(worker, task);
		end_earlier_life(fleet, task, now_us);
		fleet_mark_changed(fleet, task->stage->job);
	}
	return worker;
}

void fleet_worker_restarted(struct fleet *fleet, struct worker *worker,
			    int64_t born_ms, int64_t clock_ms, int64_t now_us)
{
	struct worker *later = new_incarnation(fleet, worker, now_us);

	worker_set_clock(later, clock_ms, now_us);
	/* The registration still holds, except for the start time. */
	later->reported = worker->reported;
	memset(&worker->reported, 0, sizeof(worker->reported));
	worker->reported.id = g_strdup(later->reported.id);
	worker->reported.born_ms = later->reported.born_ms;
	later->reported.born_ms = born_ms;
	later->listed = true;
	g_hash_table_remove(fleet->workers_by_id, later->reported.id);
	g_hash_table_insert(fleet->workers_by_id, later->reported.id, later);
}

/*
 * A lower start time is that of an earlier incarnation, unless the known one
 * leaves calls unanswered: the worker's time of day may have been set back
 * before it started again.
 */
static bool is_outdated(const struct worker *worker,
			const struct worker_report *report)
{
	return report->born_ms < worker->reported.born_ms &&
	       worker->unanswered_calls == 0;
}

struct worker *fleet_update_worker(struct fleet *fleet,
				   struct worker_report *report, int64_t now_us)
{
	struct worker *worker =
		g_hash_table_lookup(fleet->workers_by_id, report->id);

	if (worker && is_outdated(worker, report)) {
		worker_report_finish(report);
		return worker;
	}
	if (!worker || report->born_ms != worker->reported.born_ms)
		worker = new_incarnation(fleet, worker, now_us);
	if (report->draining &&
	    (worker->draining_us == 0 || !worker->reported.draining ||
	     report->remaining_ms != worker->reported.remaining_ms))
		worker->draining_us = now_us;
	if (worker_needs_clock(worker, now_us))
		worker_set_clock(worker, report->clock_ms, now_us);
	g_hash_table_remove(fleet->workers_by_id, report->id);
	worker_report_finish(&worker->reported);
	worker->reported = *report;
	memset(report, 0, sizeof(*report));
	worker->listed = true;
	worker->replaced = false;
	g_hash_table_insert(fleet->workers_by_id, worker->reported.id, worker);
	speed_adopt(fleet, worker);
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

void fleet_uncordon_all(struct fleet *fleet)
{
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node)
		worker->cordoned = false;
}

static void remove_worker(struct fleet *fleet, struct worker *worker)
{
	if (g_hash_table_lookup(fleet->workers_by_id, worker->reported.id) ==
	    worker)
		g_hash_table_remove(fleet->workers_by_id, worker->reported.id);
	worker_free(worker);
}

/* Reports once that a worker has become unreachable. */
static void report_unreachable(struct fleet *fleet, struct worker *worker,
			       int64_t now_us)
{
	if (worker->unreachable || worker_reachable(worker, now_us))
		return;
	worker->unreachable = true;
	worker->unreachable_us = now_us;
	if (fleet->ops)
		fleet->ops->lost(fleet->user, worker, now_us);
}

void fleet_expire(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker, *next;

	list_for_each_entry_safe(worker, next, &fleet->workers, node) {
		report_unreachable(fleet, worker, now_us);
		if (worker->task_count > 0 &&
		    proof_lease_expired(fleet, worker, now_us)) {
			fleet->lapsed++;
			fleet_worker_runs_lost(fleet, worker,
					       PROOF_LEASE_EXPIRED);
		}
		if (!list_empty(&worker->orphans) &&
		    proof_lease_expired(fleet, worker, now_us))
			orphans_free(worker);
		if (worker->task_count == 0 && !worker->listed &&
		    (worker->replaced ||
		     (list_empty(&worker->orphans) &&
		      now_us - worker->unlisted_us > UNLISTED_GRACE_MS * 1000)))
			remove_worker(fleet, worker);
	}
}

/* Takeover. */

struct worker *fleet_adopt_worker(struct fleet *fleet, const char *id,
				  int64_t born_ms, int64_t now_us)
{
	struct worker *worker = g_hash_table_lookup(fleet->workers_by_id, id);

	if (!worker) {
		/*
		 * The worker may be running without a registration, so its
		 * runs count until their leases have expired.
		 */
		worker = worker_new();
		worker->reported.id = g_strdup(id);
		worker->reported.pool = g_strdup("");
		worker->reported.born_ms = born_ms;
		worker->unlisted_us = now_us;
		worker->unanswered_calls = 1;
		list_add_tail(&worker->node, &fleet->workers);
		g_hash_table_insert(fleet->workers_by_id, worker->reported.id,
				    worker);
		speed_adopt(fleet, worker);
	}
	worker->adopted = true;
	return worker;
}

void fleet_earlier_leaders_stopped(struct fleet *fleet, int64_t stopped_us)
{
	fleet->extended_until_us = MIN(fleet->extended_until_us, stopped_us);
}

int64_t fleet_lease_end_us(const struct fleet *fleet,
			   const struct worker *worker)
{
	int64_t hold_us = fleet->bounds.max_hold_ms * 1000 * 100 /
			  (100 - LEASE_DRIFT_PERCENT);

	if (!worker->adopted)
		return worker->lease_end_us;
	return MAX(worker->lease_end_us,
		   fleet->extended_until_us + hold_us + ADOPT_SLACK_MS * 1000);
}
