#include "fleet/worker.h"

#include <string.h>

#include "fleet/limits.h"
#include "fleet/orphan.h"
#include "fleet/speed.h"

void worker_report_finish(struct worker_report *report)
{
	g_free(report->id);
	g_free(report->pool);
	g_free(report->dc);
	g_free(report->kind);
	g_free(report->rack);
	g_strfreev(report->labels);
	memset(report, 0, sizeof(*report));
}

struct worker *worker_new(void)
{
	struct worker *worker = g_new0(struct worker, 1);

	list_init(&worker->node);
	list_init(&worker->tasks);
	list_init(&worker->orphans);
	worker->ends = g_array_new(FALSE, FALSE, sizeof(struct worker_end));
	worker->ban_us = BAN_FIRST_MS * 1000;
	worker->fill_pace_percent = 100;
	return worker;
}

void worker_free(struct worker *worker)
{
	list_del(&worker->node);
	speed_worker_finish(worker);
	orphans_free(worker);
	worker_report_finish(&worker->reported);
	g_array_unref(worker->ends);
	g_free(worker);
}

struct room worker_free_room(const struct worker *worker)
{
	struct room room = worker->reported.room;

	room_sub(&room, &worker->used);
	return room;
}

bool worker_has_label(const struct worker *worker, const char *label)
{
	return worker->reported.labels &&
	       g_strv_contains((const char *const *)worker->reported.labels,
			       label);
}

struct room task_room(const struct task *task)
{
	struct room room = task->stage->spec->need;

	if (task->stage->spec->fills)
		room.cpu_milli = 0;
	return room;
}

void worker_assign(struct worker *worker, struct task *task)
{
	struct room room = task_room(task);

	task->worker = worker;
	task->stage->holding++;
	room_add(&worker->used, &room);
	list_add_tail(&task->on_worker, &worker->tasks);
	worker->task_count++;
}

void worker_unassign(struct task *task)
{
	struct room room = task_room(task);

	room_sub(&task->worker->used, &room);
	list_del(&task->on_worker);
	task->worker->task_count--;
	task->stage->holding--;
	task->worker = NULL;
}

void worker_set_clock(struct worker *worker, int64_t clock_ms, int64_t now_us)
{
	worker->clock_ms = clock_ms;
	worker->clock_us = now_us;
}

bool worker_needs_clock(const struct worker *worker, int64_t now_us)
{
	return worker->heard_us == 0 || worker->clock_us == 0 ||
	       now_us - worker->clock_us > CLOCK_SAMPLE_MAX_MS * 1000;
}

int64_t worker_extend_lease(struct worker *worker, int64_t hold_ms,
			    int64_t now_us)
{
	int64_t elapsed_ms = (now_us - worker->clock_us) / 1000;
	int64_t ahead_ms = elapsed_ms + hold_ms;
	int64_t end_us = worker->clock_us +
			 ahead_ms * 1000 * 100 / (100 - LEASE_DRIFT_PERCENT);

	worker->lease_end_us = MAX(worker->lease_end_us, end_us);
	return worker->clock_ms + ahead_ms;
}

bool worker_reachable(const struct worker *worker, int64_t now_us)
{
	return worker->unanswered_calls == 0 ||
	       now_us - worker->unanswered_since_us <
		       UNREACHABLE_AFTER_MS * 1000;
}

bool worker_seen_alive(const struct worker *worker)
{
	return worker->heard_us != 0 || worker->renewed_us != 0;
}

bool worker_unverified(const struct worker *worker)
{
	return worker->heard_us < worker->registered_us;
}

void worker_registered(struct worker *worker, int64_t now_us)
{
	if (worker->heard_us == 0 ||
	    now_us - worker->heard_us > CONTACT_MAX_MS * 1000)
		worker->registered_us = now_us;
}

int worker_count(const struct worker *worker, const struct stage *stage)
{
	const struct task *task;
	int count = 0;

	list_for_each_entry(task, &worker->tasks, on_worker)
		count += task->stage == stage;
	return count;
}
