#include "fleet/reclaim_option.h"

#include <string.h>

#include "fleet/reclaim.h"

/* A single run, or all tasks of one gang that run on the worker. */
struct victim {
	struct task *task;
	struct room frees;
	double loss; /* of all tasks of the gang, on any worker */
	double local_loss; /* of the tasks on this worker */
};

static bool already_stopping(const struct task *task)
{
	return task->phase == TASK_DONE || task->phase == TASK_STOPPING ||
	       task->stage->preempting;
}

static double total_loss(const struct placement *p, const struct task *task)
{
	const struct stage *stage = task->stage;
	double loss = 0;
	int i;

	if (!stage->spec->gang)
		return reclaim_loss(p->fleet, task, p->now_us);
	for (i = 0; i < stage->spec->count; i++)
		if (stage->tasks[i].worker)
			loss += reclaim_loss(p->fleet, &stage->tasks[i],
					     p->now_us);
	return loss;
}

static void add_victim(GArray *victims, const struct placement *p,
		       struct task *task)
{
	struct victim victim = { .task = task };
	struct room frees = task_room(task);
	double loss = reclaim_loss(p->fleet, task, p->now_us);
	guint i;

	for (i = 0; task->stage->spec->gang && i < victims->len; i++) {
		struct victim *known =
			&g_array_index(victims, struct victim, i);

		if (known->task->stage != task->stage)
			continue;
		room_add(&known->frees, &frees);
		known->local_loss += loss;
		return;
	}
	victim.frees = frees;
	victim.local_loss = loss;
	victim.loss = total_loss(p, task);
	g_array_append_val(victims, victim);
}

static int by_loss(const void *a, const void *b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	return left->loss < right->loss ? -1 : left->loss > right->loss;
}

/*
 * Drops from the first taken victims those whose room is not needed for the
 * slots of the option, the most expensive first, and adds the others to the
 * option.
 */
static void prune_victims(struct reclaim_option *option, GArray *victims,
			  guint taken, struct room *room,
			  const struct stage *stage)
{
	while (taken-- > 0) {
		const struct victim *victim =
			&g_array_index(victims, struct victim, taken);
		struct room less = *room;

		room_sub(&less, &victim->frees);
		if (placement_slots(&less, stage, option->slots) <
		    option->slots) {
			option->loss += victim->loss;
			option->local_loss += victim->local_loss;
			g_ptr_array_add(option->victims, victim->task);
			continue;
		}
		*room = less;
	}
}

void reclaim_option_init(struct reclaim_option *option, struct placement *p,
			 struct worker *worker, const struct stage *stage,
			 int want)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	struct room room = worker_free_room(worker);
	struct task *task;
	int limit = want;
	guint taken = 0;

	memset(option, 0, sizeof(*option));
	option->worker = worker;
	option->victims = g_ptr_array_new();
	list_for_each_entry(task, &worker->tasks, on_worker) {
		struct room frees = task_room(task);

		if (already_stopping(task))
			room_add(&room, &frees);
		else if (reclaim_may_stop(p->fleet, task, stage, p->now_us))
			add_victim(victims, p, task);
	}
	g_array_sort(victims, by_loss);
	if (stage->spec->max_per_worker > 0)
		limit = MIN(limit, stage->spec->max_per_worker -
					   worker_count(worker, stage));
	limit = MAX(limit, 0);
	option->slots = placement_slots(&room, stage, limit);
	while (taken < victims->len && option->slots < limit) {
		const struct victim *victim =
			&g_array_index(victims, struct victim, taken++);

		room_add(&room, &victim->frees);
		option->slots = placement_slots(&room, stage, limit);
	}
	prune_victims(option, victims, taken, &room, stage);
	g_array_unref(victims);
}

void reclaim_option_finish(struct reclaim_option *option)
{
	g_ptr_array_unref(option->victims);
}
