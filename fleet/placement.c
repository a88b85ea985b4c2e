#include "fleet/placement.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/advice.h"
#include "fleet/evict.h"
#include "fleet/limits.h"

/* Lists of usable workers by pool and rack. */

static void rack_free(struct rack_view *rack)
{
	g_ptr_array_unref(rack->workers);
	g_free(rack);
}

static void pool_view_free(struct pool_view *view)
{
	g_ptr_array_unref(view->workers);
	g_ptr_array_unref(view->racks);
	g_free(view);
}

static struct pool_view *get_pool_view(struct placement *p, const char *pool)
{
	struct pool_view *view = g_hash_table_lookup(p->pools, pool);

	if (view)
		return view;
	view = g_new0(struct pool_view, 1);
	view->workers = g_ptr_array_new();
	view->racks = g_ptr_array_new_with_free_func((GDestroyNotify)rack_free);
	g_hash_table_insert(p->pools, g_strdup(pool), view);
	return view;
}

static struct rack_view *get_rack_view(struct pool_view *view, const char *name)
{
	struct rack_view *rack;
	guint i;

	for (i = 0; i < view->racks->len; i++) {
		rack = g_ptr_array_index(view->racks, i);
		if (strcmp(rack->name, name) == 0)
			return rack;
	}
	rack = g_new0(struct rack_view, 1);
	rack->name = name;
	rack->workers = g_ptr_array_new();
	g_ptr_array_add(view->racks, rack);
	return rack;
}

static bool is_usable(const struct worker *worker, int64_t now_us)
{
	return worker->listed && !worker->replaced &&
	       !worker->reported.draining && !worker->cordoned &&
	       worker->unanswered_calls < UNANSWERED_CALLS_MAX &&
	       worker_reachable(worker, now_us);
}

/*
 * Whether more workers are banned than BANNED_SHARE_MAX. The failures are then
 * put down to the jobs rather than to the workers, and bans are ignored.
 */
static bool ignore_bans(const struct fleet *fleet, int64_t now_us)
{
	const struct worker *worker;
	int all = 0, banned = 0;

	list_for_each_entry(worker, &fleet->workers, node) {
		if (!is_usable(worker, now_us))
			continue;
		all++;
		banned += worker->banned_until_us > now_us;
	}
	return banned > all * BANNED_SHARE_MAX;
}

void placement_init(struct placement *p, struct fleet *fleet, int64_t now_us)
{
	bool any = ignore_bans(fleet, now_us);
	struct worker *worker;

	p->fleet = fleet;
	p->now_us = now_us;
	p->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)pool_view_free);
	list_for_each_entry(worker, &fleet->workers, node) {
		struct pool_view *view;
		const char *rack = worker->reported.rack;

		worker->reserved_for = NULL;
		worker->busy_until_us = 0;
		if (!is_usable(worker, now_us) ||
		    (!any && worker->banned_until_us > now_us) ||
		    evict_worker_suspect(fleet, worker, now_us))
			continue;
		view = get_pool_view(p, worker->reported.pool);
		g_ptr_array_add(view->workers, worker);
		g_ptr_array_add(get_rack_view(view, rack ? rack : "")->workers,
				worker);
	}
}

void placement_finish(struct placement *p)
{
	g_hash_table_unref(p->pools);
}

struct pool_view *placement_pool(struct placement *p, const char *pool)
{
	return g_hash_table_lookup(p->pools, pool);
}

/* Eligibility and free slots. */

bool placement_eligible(const struct worker *worker, const struct stage *stage,
			int64_t now_us)
{
	const char *label = stage->spec->label;

	if (stage->job->advised && !advice_ticket(stage, worker, now_us))
		return false;
	return !label || worker_has_label(worker, label);
}

static int cap_slots(int slots, int64_t room, int64_t need)
{
	if (need <= 0)
		return slots;
	if (room < need)
		return 0;
	return (int)MIN((int64_t)slots, room / need);
}

int placement_slots(const struct room *room, const struct stage *stage,
		    int limit)
{
	const struct room *need = &stage->spec->need;
	int slots = limit;

	if (!stage->spec->fills)
		slots = cap_slots(slots, room->cpu_milli, need->cpu_milli);
	slots = cap_slots(slots, room->mem_mb, need->mem_mb);
	return cap_slots(slots, room->gpus, need->gpus);
}

int placement_free_slots(const struct worker *worker, const struct stage *stage,
			 int64_t now_us)
{
	struct room room = worker_free_room(worker);
	int limit = stage->spec->count;

	if (!placement_eligible(worker, stage, now_us))
		return 0;
	if (stage->spec->max_per_worker > 0)
		limit = MIN(limit, stage->spec->max_per_worker -
					   worker_count(worker, stage));
	if (limit <= 0)
		return 0;
	return placement_slots(&room, stage, limit);
}

/*
 * Whether the worker is reserved for another stage at the time at which a task
 * of this stage would end. Tasks that end earlier may use the room.
 */
static bool is_reserved(const struct worker *worker, const struct stage *stage,
			double expected_ms, int64_t now_us)
{
	if (!worker->reserved_for || worker->reserved_for == stage)
		return false;
	return worker->busy_until_us == 0 ||
	       now_us + (int64_t)(expected_ms * 1000.0) > worker->busy_until_us;
}

/* Placement of single tasks. */

/*
 * Score of a worker for a best-effort task, lower is better. Such tasks share
 * the processor time that the others leave, so they go to workers with few
 * best-effort tasks and little reserved processor time.
 */
static double best_effort_score(const struct worker *worker)
{
	const struct room *all = &worker->reported.room;
	const struct task *task;
	double fills = 0;

	list_for_each_entry(task, &worker->tasks, on_worker)
		fills += task->stage->spec->fills;
	return fills +
	       (double)worker->used.cpu_milli / (double)MAX(all->cpu_milli, 1);
}

/*
 * Score of a worker for a task, lower is better: the fullest worker that fits.
 * Free accelerators weigh four times as much as free processor time.
 */
static double fit_score(const struct worker *worker, const struct stage *stage)
{
	struct room room = worker_free_room(worker);
	const struct room *all = &worker->reported.room;
	double free_gpus = all->gpus > 0 ? (double)room.gpus / all->gpus : 0;
	double free_cpu = all->cpu_milli > 0 ?
				  (double)room.cpu_milli / all->cpu_milli :
				  0;

	if (stage->spec->fills)
		return best_effort_score(worker);
	return free_gpus * 4.0 + free_cpu;
}

/* The worker of a failed run is chosen again only if no other worker fits. */
#define FAILED_WORKER_PENALTY 50.0
/* Another rack than that of the data is chosen only if nothing fits there. */
#define OTHER_RACK_PENALTY 100.0

static double failed_worker_penalty(const struct task *task,
				    const struct worker *worker)
{
	return task->failed_last && task->failed_at == worker ?
		       FAILED_WORKER_PENALTY :
		       0.0;
}

struct worker *placement_choose_worker(struct placement *p,
				       const struct task *task,
				       double expected_ms)
{
	const struct stage *stage = task->stage;
	struct pool_view *view = placement_pool(p, stage->job->pool);
	const char *rack = stage->spec->rack;
	bool prefer_rack = rack && p->now_us - stage->opened_us <
					   (int64_t)(expected_ms * 1000.0 *
						     RACK_WAIT_SHARE);
	struct worker *best = NULL;
	double best_score = 0;
	bool rack_exists = false;
	guint i;

	for (i = 0; view && i < view->workers->len; i++) {
		struct worker *worker = g_ptr_array_index(view->workers, i);
		bool near = rack && g_strcmp0(worker->reported.rack, rack) == 0;
		double score;

		/* A speculative copy must not run beside its original. */
		if (task->original && task->original->worker == worker)
			continue;
		rack_exists |=
			near && placement_eligible(worker, stage, p->now_us);
		if (is_reserved(worker, stage, expected_ms, p->now_us) ||
		    placement_free_slots(worker, stage, p->now_us) < 1)
			continue;
		score = fit_score(worker, stage) +
			failed_worker_penalty(task, worker) +
			(rack && !near ? OTHER_RACK_PENALTY : 0.0);
		if (best && score >= best_score)
			continue;
		best = worker;
		best_score = score;
	}
	if (best && prefer_rack && rack_exists &&
	    best_score >= OTHER_RACK_PENALTY)
		return NULL;
	return best;
}

/* Placement of gangs. */

struct candidate {
	struct worker *worker;
	int slots;
	double score;
};

static int by_score(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->score != right->score)
		return left->score < right->score ? -1 : 1;
	return strcmp(left->worker->reported.id, right->worker->reported.id);
}

static double gang_failed_worker_penalty(const struct stage *stage,
					 const struct worker *worker)
{
	double score = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++)
		score = MAX(score,
			    failed_worker_penalty(&stage->tasks[i], worker));
	return score;
}

/* Assigns the best workers to all tasks; NULL if there are too few slots. */
static struct worker **assign_gang(struct placement *p, GPtrArray *workers,
				   const struct stage *stage,
				   double expected_ms)
{
	struct candidate *candidates =
		g_new0(struct candidate, workers->len + 1);
	struct worker **chosen = NULL;
	int ncandidates = 0, total = 0, taken = 0, i;
	guint w;

	for (w = 0; w < workers->len; w++) {
		struct worker *worker = g_ptr_array_index(workers, w);
		int slots;

		if (is_reserved(worker, stage, expected_ms, p->now_us))
			continue;
		slots = placement_free_slots(worker, stage, p->now_us);
		if (slots < 1)
			continue;
		candidates[ncandidates].worker = worker;
		candidates[ncandidates].slots = slots;
		candidates[ncandidates++].score =
			fit_score(worker, stage) +
			gang_failed_worker_penalty(stage, worker);
		total += slots;
	}
	if (total >= stage->spec->count) {
		qsort(candidates, ncandidates, sizeof(*candidates), by_score);
		chosen = g_new0(struct worker *, stage->spec->count + 1);
		for (i = 0; i < ncandidates; i++)
			while (candidates[i].slots-- > 0 &&
			       taken < stage->spec->count)
				chosen[taken++] = candidates[i].worker;
	}
	g_free(candidates);
	return chosen;
}

/* Number of free accelerators in a rack; the fewer, the tighter the fit. */
static int64_t rack_free_gpus(const struct rack_view *rack)
{
	int64_t gpus = 0;
	guint i;

	for (i = 0; i < rack->workers->len; i++) {
		struct room room =
			worker_free_room(g_ptr_array_index(rack->workers, i));

		gpus += room.gpus;
	}
	return gpus;
}

static struct worker **assign_in_rack(struct placement *p,
				      struct pool_view *view,
				      const struct stage *stage,
				      double expected_ms)
{
	struct worker **best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < view->racks->len; i++) {
		const struct rack_view *rack =
			g_ptr_array_index(view->racks, i);
		struct worker **chosen;
		double score;

		chosen = assign_gang(p, rack->workers, stage, expected_ms);
		if (!chosen)
			continue;
		score = (double)rack_free_gpus(rack);
		if (stage->spec->rack &&
		    strcmp(rack->name, stage->spec->rack) != 0)
			score += 1e6;
		if (best && score >= best_score) {
			g_free(chosen);
			continue;
		}
		g_free(best);
		best = chosen;
		best_score = score;
	}
	return best;
}

/* Whether the gang would fit into one of the racks if it were empty. */
static bool fits_in_empty_rack(const struct placement *p,
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
			int limit = stage->spec->max_per_worker > 0 ?
					    stage->spec->max_per_worker :
					    stage->spec->count;

			if (placement_eligible(worker, stage, p->now_us))
				slots += placement_slots(&worker->reported.room,
							 stage, limit);
		}
		if (slots >= stage->spec->count)
			return true;
	}
	return false;
}

struct worker **placement_choose_gang(struct placement *p,
				      const struct stage *stage,
				      double expected_ms)
{
	struct pool_view *view = placement_pool(p, stage->job->pool);
	struct worker **chosen;

	if (!view)
		return NULL;
	if (!stage->spec->same_rack && !stage->spec->rack)
		return assign_gang(p, view->workers, stage, expected_ms);
	chosen = assign_in_rack(p, view, stage, expected_ms);
	if (chosen)
		return chosen;
	if (!stage->spec->same_rack || !fits_in_empty_rack(p, view, stage))
		return assign_gang(p, view->workers, stage, expected_ms);
	return NULL;
}

/* Reservations. */

struct run_end_time {
	int64_t at_us;
	struct task *task;
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
	const struct fleet *fleet = p->fleet;
	int64_t now_us = p->now_us;
	GArray *end_times =
		g_array_new(FALSE, FALSE, sizeof(struct run_end_time));
	struct room *rooms = g_new0(struct room, workers->len + 1);
	int64_t at_us = INT64_MAX;
	guint w, e = 0;

	for (w = 0; w < workers->len; w++) {
		struct worker *worker = g_ptr_array_index(workers, w);
		struct task *task;

		rooms[w] = worker_free_room(worker);
		list_for_each_entry(task, &worker->tasks, on_worker) {
			struct run_end_time end_time = {
				expected_end_us(fleet, task, now_us), task
			};

			g_array_append_val(end_times, end_time);
		}
	}
	g_array_sort(end_times, by_time);
	for (;;) {
		const struct run_end_time *end_time;
		struct room frees;
		int slots = 0;

		for (w = 0; w < workers->len; w++) {
			struct worker *worker = g_ptr_array_index(workers, w);
			int limit = stage->spec->max_per_worker > 0 ?
					    stage->spec->max_per_worker :
					    stage->spec->count;

			if (placement_eligible(worker, stage, p->now_us))
				slots += placement_slots(&rooms[w], stage,
							 limit);
		}
		if (slots >= stage->spec->count) {
			at_us = e == 0 ? now_us :
					 g_array_index(end_times,
						       struct run_end_time,
						       e - 1)
						 .at_us;
			break;
		}
		if (e >= end_times->len)
			break;
		end_time = &g_array_index(end_times, struct run_end_time, e++);
		frees = task_room(end_time->task);
		for (w = 0; w < workers->len; w++)
			if (g_ptr_array_index(workers, w) ==
			    end_time->task->worker)
				room_add(&rooms[w], &frees);
	}
	g_free(rooms);
	g_array_unref(end_times);
	return at_us;
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
	struct pool_view *view = placement_pool(p, stage->job->pool);
	GPtrArray *best = NULL;
	int64_t best_us = INT64_MAX;
	guint i;

	if (!view)
		return;
	if (!stage->spec->same_rack || !fits_in_empty_rack(p, view, stage)) {
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
