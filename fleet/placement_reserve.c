#include "fleet/placement_int.h"

#include <stdlib.h>

/* Tasks of the stage that fit into room on the worker, however many wait. */
static int slots_in(const struct placement *p, const struct worker *worker,
		    const struct room *room, const struct stage *stage)
{
	int limit = stage->spec->max_per_worker > 0 ?
			    stage->spec->max_per_worker :
			    stage->spec->count;

	return placement_eligible(worker, stage, p->now_us) ?
		       placement_slots(room, stage, limit) :
		       0;
}

/* Whether the gang would fit into one of the racks if it were empty. */
bool placement_fits_in_empty_rack(const struct placement *p,
				  const struct pool_view *view,
				  const struct stage *stage)
{
	guint i, w;

	for (i = 0; i < view->racks->len; i++) {
		const struct rack_view *rack =
			g_ptr_array_index(view->racks, i);
		int slots = 0;

		for (w = 0; w < rack->workers->len; w++) {
			const struct worker *worker =
				g_ptr_array_index(rack->workers, w);

			slots += slots_in(p, worker, &worker->reported.room,
					  stage);
		}
		if (slots >= stage->spec->count)
			return true;
	}
	return false;
}

struct run_end_time {
	int64_t at_us;
	struct task *task;
	guint place; /* of its worker, in the array looked at */
};

static int by_time(const void *a, const void *b)
{
	const struct run_end_time *left = a;
	const struct run_end_time *right = b;

	return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

/*
 * Estimated end of a run: extrapolated from its progress once it has gained 10
 * percent since its first report, else from the usual duration of such tasks.
 */
static int64_t expected_end_us(const struct fleet *fleet,
			       const struct task *task, int64_t now_us)
{
	double usual_us = fleet_expected_ms(fleet, task->stage) * 1000.0;
	int64_t began = task->started_us ? task->started_us : now_us;
	int64_t gained = task->percent - task->first_percent;

	if (task->phase == TASK_STOPPING || task->phase == TASK_DONE)
		return now_us + fleet->bounds.stop_ms * 1000;
	if (gained >= 10 && task->progress_us > task->first_report_us)
		usual_us = (double)(task->progress_us - began) * 100.0 /
			   MAX(task->percent, 1);
	return MAX(began + (int64_t)usual_us, now_us + 100000);
}

/*
 * Estimated time at which the workers have room for all tasks of a gang,
 * provided that nothing else starts there. INT64_MAX if the gang does not fit
 * even after all current runs have ended.
 */
static int64_t earliest_fit_us(const struct placement *p, GPtrArray *workers,
			       const struct stage *stage)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct run_end_time));
	struct room *rooms = g_new0(struct room, workers->len + 1);
	int64_t at_us = p->now_us;
	int slots = 0;
	guint w, e;

	for (w = 0; w < workers->len; w++) {
		struct worker *worker = g_ptr_array_index(workers, w);
		struct task *task;

		rooms[w] = worker_free_room(worker);
		slots += slots_in(p, worker, &rooms[w], stage);
		list_for_each_entry(task, &worker->tasks, on_worker) {
			struct run_end_time end = {
				expected_end_us(p->fleet, task, p->now_us),
				task, w
			};

			g_array_append_val(ends, end);
		}
	}
	if (slots < stage->spec->count)
		g_array_sort(ends, by_time);
	for (e = 0; e < ends->len && slots < stage->spec->count; e++) {
		const struct run_end_time *end =
			&g_array_index(ends, struct run_end_time, e);
		struct worker *worker = end->task->worker;
		struct room frees = task_room(end->task);

		slots -= slots_in(p, worker, &rooms[end->place], stage);
		room_add(&rooms[end->place], &frees);
		slots += slots_in(p, worker, &rooms[end->place], stage);
		at_us = end->at_us;
	}
	g_free(rooms);
	g_array_unref(ends);
	return slots >= stage->spec->count ? at_us : INT64_MAX;
}

static void reserve_workers(const struct placement *p, GPtrArray *workers,
			    struct stage *stage, int64_t at_us)
{
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct worker *worker = g_ptr_array_index(workers, i);

		if (worker->reserved_for ||
		    !placement_eligible(worker, stage, p->now_us))
			continue;
		worker->reserved_for = stage;
		worker->busy_until_us = at_us;
	}
}

void placement_reserve(struct placement *p, struct stage *stage)
{
	struct pool_view *view = placement_workers_for(p, stage);
	GPtrArray *best = NULL;
	int64_t best_us = INT64_MAX;
	guint i;

	if (!view)
		return;
	if (!stage->spec->same_rack ||
	    !placement_fits_in_empty_rack(p, view, stage)) {
		best = view->workers;
		best_us = earliest_fit_us(p, best, stage);
	}
	for (i = 0; best != view->workers && i < view->racks->len; i++) {
		struct rack_view *rack = g_ptr_array_index(view->racks, i);
		struct worker *first = g_ptr_array_index(rack->workers, 0);
		int64_t at_us;

		if (first->reserved_for)
			continue;
		at_us = earliest_fit_us(p, rack->workers, stage);
		if (at_us >= best_us)
			continue;
		best = rack->workers;
		best_us = at_us;
	}
	if (best && best_us != INT64_MAX)
		reserve_workers(p, best, stage, best_us);
}
