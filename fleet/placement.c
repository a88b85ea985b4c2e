#include "fleet/placement_int.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/advice.h"
#include "fleet/limits.h"

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
 * A worker that may have ended is chosen only if no other one fits: a start
 * that gets no answer is over only with the lease, and a gang waits for it. All
 * workers renew their registrations within seconds.
 */
#define UNSEEN_PENALTY 10.0

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
	double unseen = worker_seen_alive(worker) ? 0 : UNSEEN_PENALTY;

	if (stage->spec->fills)
		return best_effort_score(worker) + unseen;
	return free_gpus * 4.0 + free_cpu + unseen;
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

/* Whether at most half of each resource was in use when first looked at. */
static bool mostly_unused(struct pool_view *view)
{
	const GPtrArray *workers = view->workers;
	struct room all = { 0 }, used = { 0 };
	guint i;

	if (view->load_known)
		return view->mostly_unused;
	for (i = 0; i < workers->len; i++) {
		const struct worker *worker = g_ptr_array_index(workers, i);

		room_add(&all, &worker->reported.room);
		room_add(&used, &worker->used);
	}
	view->load_known = true;
	view->mostly_unused = used.cpu_milli * 2 <= all.cpu_milli &&
			      used.mem_mb * 2 <= all.mem_mb &&
			      used.gpus * 2 <= all.gpus;
	return view->mostly_unused;
}

/* Whether twice the room is free that the next start of the stage needs. */
static bool has_room_twice(const struct placement *p, const GPtrArray *workers,
			   const struct stage *stage)
{
	int wanted = 2 * (stage->spec->gang ? stage->spec->count : 1);
	guint i;

	for (i = 0; i < workers->len && wanted > 0; i++) {
		const struct worker *worker = g_ptr_array_index(workers, i);
		struct room room = worker_free_room(worker);

		if (placement_eligible(worker, stage, p->now_us))
			wanted -= placement_slots(&room, stage, wanted);
	}
	return wanted <= 0;
}

/*
 * Whether the stage may wait no longer for the rack that suits it best, or for
 * room that is reserved. The platform counts a job as lost if it has nothing
 * running for 3 s although there is room for it twice over and less than half
 * of the room is in use.
 */
static bool wait_over(const struct placement *p, struct pool_view *view,
		      const struct stage *stage)
{
	return stage->unplaced_since_us != 0 &&
	       p->now_us - stage->unplaced_since_us >=
		       ROOM_WAIT_MAX_MS * 1000 &&
	       !fleet_job_holds_room(stage->job) && mostly_unused(view) &&
	       has_room_twice(p, view->workers, stage);
}

bool placement_wait_over(const struct placement *p, struct pool_view *view,
			 const struct stage *stage)
{
	return wait_over(p, view, stage);
}

/* Score of a worker that can take no task of the stage. */
#define NO_ROOM G_MAXDOUBLE

/* Score of a worker for any task of the stage, lower is better. */
static double stage_score(const struct placement *p,
			  const struct worker *worker,
			  const struct stage *stage, double expected_ms)
{
	const char *rack = stage->spec->rack;
	bool near = rack && g_strcmp0(worker->reported.rack, rack) == 0;

	if ((!p->scored_reserved &&
	     is_reserved(worker, stage, expected_ms, p->now_us)) ||
	    placement_free_slots(worker, stage, p->now_us) < 1)
		return NO_ROOM;
	return fit_score(worker, stage) +
	       (rack && !near ? OTHER_RACK_PENALTY : 0.0);
}

/*
 * The scores of all workers of the pool for a stage. They are kept for its next
 * task, as a task changes only the score of the worker that it goes to: wide
 * stages would otherwise look at each worker once for each task.
 */
static const double *stage_scores(struct placement *p, struct pool_view *view,
				  const struct stage *stage, double expected_ms)
{
	bool reserved_too = wait_over(p, view, stage);
	guint i;

	if (p->scored == stage && p->scored_reserved == reserved_too &&
	    p->scores->len == view->workers->len) {
		g_array_index(p->scores, double, p->taken) = stage_score(
			p, g_ptr_array_index(view->workers, p->taken), stage,
			expected_ms);
		return (const double *)(void *)p->scores->data;
	}
	p->scored = stage;
	p->scored_reserved = reserved_too;
	p->taken = 0;
	g_array_set_size(p->scores, view->workers->len);
	for (i = 0; i < view->workers->len; i++)
		g_array_index(p->scores, double, i) =
			stage_score(p, g_ptr_array_index(view->workers, i),
				    stage, expected_ms);
	return (const double *)(void *)p->scores->data;
}

static bool rack_is_usable(const struct placement *p,
			   const struct pool_view *view,
			   const struct stage *stage)
{
	const struct rack_view *rack =
		g_hash_table_lookup(view->racks_by_name, stage->spec->rack);
	guint i;

	for (i = 0; rack && i < rack->workers->len; i++)
		if (placement_eligible(g_ptr_array_index(rack->workers, i),
				       stage, p->now_us))
			return true;
	return false;
}

struct worker *placement_choose_worker(struct placement *p,
				       const struct task *task,
				       double expected_ms)
{
	const struct stage *stage = task->stage;
	struct pool_view *view = placement_workers_for(p, stage);
	struct worker *best = NULL;
	double best_score = NO_ROOM;
	const double *scores;
	guint i, place = 0;

	if (!view || (placement_pool_is_full(view, stage, expected_ms) &&
		      !wait_over(p, view, stage)))
		return NULL;
	scores = stage_scores(p, view, stage, expected_ms);
	for (i = 0; i < view->workers->len; i++) {
		struct worker *worker = g_ptr_array_index(view->workers, i);
		double score;

		if (scores[i] >= best_score)
			continue;
		/* A speculative copy must not run beside its original. */
		if (task->original && task->original->worker == worker)
			continue;
		score = scores[i] + failed_worker_penalty(task, worker);
		if (score >= best_score)
			continue;
		best = worker;
		best_score = score;
		place = i;
	}
	if (!best)
		placement_note_full(view, task, expected_ms);
	if (best && stage->spec->rack && best_score >= OTHER_RACK_PENALTY &&
	    p->now_us - stage->opened_us <
		    (int64_t)(expected_ms * 1000.0 * RACK_WAIT_SHARE) &&
	    rack_is_usable(p, view, stage) && !wait_over(p, view, stage))
		return NULL;
	p->taken = place;
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
				   double expected_ms, bool reserved_too)
{
	struct candidate *candidates =
		g_new0(struct candidate, workers->len + 1);
	struct worker **chosen = NULL;
	int ncandidates = 0, total = 0, taken = 0, i;
	guint w;

	for (w = 0; w < workers->len; w++) {
		struct worker *worker = g_ptr_array_index(workers, w);
		int slots;

		if (!reserved_too &&
		    is_reserved(worker, stage, expected_ms, p->now_us))
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
				      double expected_ms, bool reserved_too)
{
	struct worker **best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < view->racks->len; i++) {
		const struct rack_view *rack =
			g_ptr_array_index(view->racks, i);
		struct worker **chosen;
		double score;

		chosen = assign_gang(p, rack->workers, stage, expected_ms,
				     reserved_too);
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

struct worker **placement_choose_gang(struct placement *p,
				      const struct stage *stage,
				      double expected_ms)
{
	struct pool_view *view = placement_workers_for(p, stage);
	struct worker **chosen;
	bool over;

	if (!view)
		return NULL;
	over = wait_over(p, view, stage);
	if (!over && placement_pool_is_full(view, stage, expected_ms))
		return NULL;
	if (!stage->spec->same_rack && !stage->spec->rack)
		return assign_gang(p, view->workers, stage, expected_ms, over);
	chosen = assign_in_rack(p, view, stage, expected_ms, over);
	if (chosen)
		return chosen;
	if (!stage->spec->same_rack || over ||
	    !placement_fits_in_empty_rack(p, view, stage))
		return assign_gang(p, view->workers, stage, expected_ms, over);
	return NULL;
}
