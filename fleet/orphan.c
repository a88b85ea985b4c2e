#include "fleet/orphan.h"

#include <string.h>

struct orphan *orphan_find(const struct worker *worker, const char *task,
			   int64_t run)
{
	struct orphan *orphan;

	list_for_each_entry(orphan, &worker->orphans, node)
		if (orphan->run == run && strcmp(orphan->task, task) == 0)
			return orphan;
	return NULL;
}

void orphan_add(struct worker *worker, const char *task, int64_t run,
		const struct room *room)
{
	struct orphan *orphan;

	if (orphan_find(worker, task, run))
		return;
	orphan = g_new0(struct orphan, 1);
	orphan->worker = worker;
	orphan->task = g_strdup(task);
	orphan->run = run;
	orphan->room = *room;
	room_add(&worker->used, room);
	list_add_tail(&orphan->node, &worker->orphans);
}

void orphan_free(struct orphan *orphan)
{
	room_sub(&orphan->worker->used, &orphan->room);
	list_del(&orphan->node);
	g_free(orphan->task);
	g_free(orphan);
}

static bool is_running(const struct hold_report *report,
		       const struct orphan *orphan)
{
	size_t i;

	for (i = 0; i < report->nrunning; i++)
		if (report->running[i].run == orphan->run &&
		    strcmp(report->running[i].task, orphan->task) == 0)
			return true;
	return false;
}

static bool has_ended(const struct hold_report *report,
		      const struct orphan *orphan)
{
	size_t i;

	for (i = 0; i < report->nended; i++)
		if (report->ended[i].run == orphan->run &&
		    strcmp(report->ended[i].task, orphan->task) == 0)
			return true;
	return false;
}

/*
 * A stop that was answered has taken effect after stop_ms, and no start of the
 * run is accepted after it.
 */
static bool is_stopped(const struct fleet *fleet, const struct orphan *orphan,
		       int64_t sent_us)
{
	return orphan->answered_us != 0 &&
	       sent_us > orphan->answered_us + fleet->bounds.stop_ms * 1000;
}

void orphans_update(const struct fleet *fleet, struct worker *worker,
		    const struct hold_report *report, int64_t sent_us)
{
	struct orphan *orphan, *next;

	list_for_each_entry_safe(orphan, next, &worker->orphans, node)
		if (has_ended(report, orphan) ||
		    (!report->truncated && !is_running(report, orphan) &&
		     is_stopped(fleet, orphan, sent_us)))
			orphan_free(orphan);
}

void orphans_free(struct worker *worker)
{
	struct orphan *orphan, *next;

	list_for_each_entry_safe(orphan, next, &worker->orphans, node)
		orphan_free(orphan);
}
