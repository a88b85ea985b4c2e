#include "fleet/reclaim.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/lasting.h"
#include "fleet/order.h"
#include "fleet/rescue.h"

double reclaim_loss(const struct fleet *fleet, const struct task *task,
		    int64_t now_us)
{
	const struct room *need = &task->stage->spec->need;
	double cores = (double)need->cpu_milli / 1000.0 +
		       (double)(need->gpus * ROOM_GPU_CORES);
	double ran_ms = 0;

	if (task->phase == TASK_DONE || task->phase == TASK_STOPPING)
		return 0;
	if (task->started_us)
		ran_ms = (double)(now_us - task->started_us) / 1000.0;
	if (task->stage->spec->checkpoint)
		ran_ms = MIN(ran_ms, (double)fleet->bounds.restore_ms);
	return cores * (ran_ms + (double)fleet->bounds.stop_ms);
}

static double loss_of_all(const struct fleet *fleet, const struct task *task,
			  int64_t now_us)
{
	const struct stage *stage = task->stage;
	double loss = 0;
	int i;

	if (!stage->spec->gang)
		return reclaim_loss(fleet, task, now_us);
	for (i = 0; i < stage->spec->count; i++)
		if (stage->tasks[i].worker)
			loss += reclaim_loss(fleet, &stage->tasks[i], now_us);
	return loss;
}

bool reclaim_may_stop(const struct fleet *fleet, const struct task *task,
		      const struct stage *claimant, int64_t now_us)
{
	const struct job *job = task->stage->job;

	if (job == claimant->job || task->phase == TASK_DONE ||
	    task->phase == TASK_STOPPING || !rescue_may_interrupt(task))
		return false;
	if (lasting_overdue(claimant, now_us))
		return !task->stage->spec->long_running &&
		       !order_guaranteed(fleet, job);
	if (job->priority > claimant->job->priority)
		return true;
	/* Of the same priority: what its customer has beyond the guarantee. */
	return job->priority == 0 && !order_guaranteed(fleet, job) &&
	       order_guaranteed(fleet, claimant->job);
}

struct victim {
	struct task *task;
	double loss;
};

static int by_loss(const void *a, const void *b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	return left->loss < right->loss ? -1 : left->loss > right->loss;
}

/* One worker, and what has to stop there to make room for some tasks. */
struct offer {
	struct worker *worker;
	int slots;
	double loss;
	GPtrArray *victims; /* struct task */
};

static bool ends_anyway(const struct task *task)
{
	return task->phase == TASK_DONE || task->phase == TASK_STOPPING;
}

/* Runs that make no room for a further task go on, the dearest first. */
static void spare_victims(const struct placement *p, struct room *room,
			  const struct stage *stage, struct offer *offer)
{
	guint i = offer->victims->len;

	while (i-- > 0) {
		struct task *task = g_ptr_array_index(offer->victims, i);
		struct room frees = task_room(task);
		struct room less = *room;

		room_sub(&less, &frees);
		if (placement_slots(&less, stage, offer->slots) < offer->slots)
			continue;
		*room = less;
		offer->loss -= loss_of_all(p->fleet, task, p->now_us);
		g_ptr_array_remove_index(offer->victims, i);
	}
}

/*
 * Makes room at one worker for up to want tasks, the cheapest runs first,
 * as long as the price of a slot does not rise above the best so far.
 */
static void make_offer(struct placement *p, struct worker *worker,
		       const struct stage *stage, int want, struct offer *offer)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	struct room room = worker_free_room(worker);
	struct task *task;
	int limit = want;
	guint i;

	memset(offer, 0, sizeof(*offer));
	offer->worker = worker;
	offer->victims = g_ptr_array_new();
	list_for_each_entry(task, &worker->tasks, on_worker) {
		struct victim victim = { task, 0 };
		struct room frees = task_room(task);

		if (ends_anyway(task)) {
			room_add(&room, &frees);
			continue;
		}
		if (!reclaim_may_stop(p->fleet, task, stage, p->now_us))
			continue;
		victim.loss = loss_of_all(p->fleet, task, p->now_us);
		g_array_append_val(victims, victim);
	}
	g_array_sort(victims, by_loss);
	if (stage->spec->max_per_worker > 0)
		limit = MIN(limit, stage->spec->max_per_worker -
					   worker_count(worker, stage));
	limit = MAX(limit, 0);
	offer->slots = placement_slots(&room, stage, limit);
	for (i = 0; i < victims->len && offer->slots < limit; i++) {
		const struct victim *victim =
			&g_array_index(victims, struct victim, i);
		struct room frees = task_room(victim->task);

		room_add(&room, &frees);
		g_ptr_array_add(offer->victims, victim->task);
		offer->loss += victim->loss;
		offer->slots = placement_slots(&room, stage, limit);
	}
	spare_victims(p, &room, stage, offer);
	g_array_unref(victims);
}

static void remake_offer(struct placement *p, const struct stage *stage,
			 int want, struct offer *offer)
{
	g_ptr_array_unref(offer->victims);
	make_offer(p, offer->worker, stage, want, offer);
}

static int by_price(const void *a, const void *b)
{
	const struct offer *left = a;
	const struct offer *right = b;
	double left_price = left->loss / left->slots;
	double right_price = right->loss / right->slots;

	return left_price < right_price ? -1 : left_price > right_price;
}

static void offers_free(GArray *offers)
{
	guint i;

	for (i = 0; i < offers->len; i++)
		g_ptr_array_unref(
			g_array_index(offers, struct offer, i).victims);
	g_array_unref(offers);
}

/*
 * The cheapest workers that together have room for the stage; the rest is
 * removed. Returns NULL when there are not enough.
 */
static GArray *choose(struct placement *p, GPtrArray *workers,
		      const struct stage *stage, int want, double *loss)
{
	GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct offer));
	int slots = 0;
	guint i, kept = 0;

	*loss = 0;
	for (i = 0; i < workers->len; i++) {
		struct worker *worker = g_ptr_array_index(workers, i);
		struct offer offer;

		if (!placement_suits(worker, stage, p->now_us) ||
		    (worker->reserved_for && worker->reserved_for != stage &&
		     worker->busy_until_us == 0))
			continue;
		make_offer(p, worker, stage, want, &offer);
		if (offer.slots == 0) {
			g_ptr_array_unref(offer.victims);
			continue;
		}
		g_array_append_val(offers, offer);
	}
	g_array_sort(offers, by_price);
	for (kept = 0; kept < offers->len && slots < want; kept++) {
		struct offer *offer =
			&g_array_index(offers, struct offer, kept);

		if (offer->slots > want - slots)
			remake_offer(p, stage, want - slots, offer);
		slots += offer->slots;
		*loss += offer->loss;
	}
	if (slots < want) {
		offers_free(offers);
		return NULL;
	}
	while (offers->len > kept) {
		g_ptr_array_unref(
			g_array_index(offers, struct offer, offers->len - 1)
				.victims);
		g_array_set_size(offers, offers->len - 1);
	}
	return offers;
}

/* Within one rack if the gang fits in one, else anywhere in the pool. */
static GArray *choose_best(struct placement *p, const struct stage *stage,
			   int want, double *least)
{
	struct pool_view *view = placement_pool(p, stage->job->pool);
	GArray *best = NULL;
	double best_loss = 0, loss;
	guint i;

	if (!view)
		return NULL;
	for (i = 0; stage->spec->same_rack && i < view->racks->len; i++) {
		const struct rack_view *rack =
			g_ptr_array_index(view->racks, i);
		GArray *offers = choose(p, rack->workers, stage, want, &loss);

		if (!offers)
			continue;
		if (best && loss >= best_loss) {
			offers_free(offers);
			continue;
		}
		if (best)
			offers_free(best);
		best = offers;
		best_loss = loss;
	}
	*least = best_loss;
	return best ? best : choose(p, view->workers, stage, want, least);
}

static int tasks_waiting(const struct stage *stage)
{
	int count = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++)
		count += task_restartable(&stage->tasks[i]);
	return count;
}

bool reclaim(struct placement *p, struct stage *stage, double max_loss)
{
	double loss = 0;
	GArray *offers = choose_best(p, stage, tasks_waiting(stage), &loss);
	char *why;
	guint i, v;

	if (!offers)
		return false;
	if (loss > max_loss) {
		offers_free(offers);
		return false;
	}
	g_free(stage->reserved);
	stage->reserved = g_new0(struct worker *, offers->len + 1);
	stage->reserved_us = p->now_us;
	why = g_strdup_printf("room for job %s", stage->job->id);
	for (i = 0; i < offers->len; i++) {
		struct offer *offer = &g_array_index(offers, struct offer, i);

		stage->reserved[i] = offer->worker;
		offer->worker->reserved_for = stage;
		offer->worker->busy_until_us = 0;
		for (v = 0; v < offer->victims->len; v++) {
			struct task *task =
				g_ptr_array_index(offer->victims, v);

			p->fleet->preempted++;
			fleet_stop(p->fleet, task, why);
		}
	}
	g_free(why);
	offers_free(offers);
	return true;
}

void reclaim_keep(struct placement *p, struct stage *stage)
{
	struct pool_view *view = placement_pool(p, stage->job->pool);
	struct worker **at;

	if (!stage->reserved)
		return;
	if (stage->left == 0 || job_ended(stage->job) || !view ||
	    tasks_waiting(stage) == 0 ||
	    p->now_us - stage->reserved_us >
		    (p->fleet->bounds.stop_ms + RECLAIM_KEEP_MS) * 1000) {
		g_free(stage->reserved);
		stage->reserved = NULL;
		return;
	}
	/* Workers that are gone are not in the view any more. */
	for (at = stage->reserved; *at; at++)
		if (g_ptr_array_find(view->workers, *at, NULL)) {
			(*at)->reserved_for = stage;
			(*at)->busy_until_us = 0;
		}
}
