#include "policy/placing.h"

#include <limits.h>
#include <string.h>

#include <glib.h>

/*
 * Expected cost of evicting the gang, in accelerator-microseconds: in any
 * case the time of the checkpoint and of the restart elsewhere, and, if that
 * checkpoint fails, the work done since the last one.
 */
int64_t placing_loss(const struct cell_gang *gang, int64_t now_us)
{
	int64_t since_us = MAX(0, now_us - gang->saved_us);

	return gang->total * (PLACING_MOVE_COST_MS * USEC_PER_MSEC +
			      since_us / PLACING_SAVES_PER_FAILURE);
}

/* Whether the request may evict the gang. */
bool placing_may_evict(const struct cell_gang *gang,
		       const struct placing_request *req)
{
	if (gang->leaving || gang->level <= req->evict_level ||
	    gang->saved_us > req->saved_before_us ||
	    (req->max_victim_size && gang->total > req->max_victim_size))
		return false;
	if (gang->customer == req->customer)
		return gang->stoppable && gang->kind != CELL_UNSTOPPABLE;
	return gang->kind == CELL_STOPPABLE &&
	       (!req->protected_customers ||
		!req->protected_customers[gang->customer]);
}

/* Whether the job has failed on the worker and should not be placed there. */
bool placing_avoided(const struct placing_request *req, int worker)
{
	int i;

	for (i = 0; i < req->avoid_count; i++)
		if (req->avoid[i] == worker)
			return true;
	return false;
}

/*
 * Returns how many accelerators of a worker the request may take, free or by
 * eviction, and in *loss the cost of evicting the gangs on it.
 */
static int worker_room(const struct guarantees *gs, int worker,
		       const struct placing_request *req, int64_t *loss)
{
	const struct cell_worker *w = &gs->cell->workers[worker];
	const struct cell_hold *hold;
	int room = w->free;

	*loss = 0;
	if (!w->usable || placing_avoided(req, worker))
		return 0;
	if (req->kind == CELL_UNSTOPPABLE) {
		if (guarantees_is_bound(gs, worker))
			return 0;
		if (gs->cell->racks[w->rack].reserved && !req->use_reserved)
			return 0;
	}
	if (req->evict_level == PLACING_NO_EVICTION || w->held > w->total)
		return room;
	list_for_each_entry(hold, &w->holds, node)
		if (hold->gang->kind == CELL_STOPPABLE &&
		    placing_may_evict(hold->gang, req)) {
			room += hold->count;
			*loss += placing_loss(hold->gang, req->now_us);
		}
	return room;
}

/* Placement on a part of one worker. */

struct best_worker {
	int worker;
	int64_t score;
};

/*
 * Updates *best if the worker scores lower. The score orders by: least lost
 * work; for unstoppable work, a rack that claims cannot take as a whole; the
 * smallest sufficient room; for unstoppable work, a worker that already runs
 * some. Whole cells thus remain available to claims.
 */
static void score_worker(const struct guarantees *gs, int worker, int need,
			 const struct placing_request *req,
			 struct best_worker *best)
{
	int64_t loss, score;
	int room = worker_room(gs, worker, req, &loss);
	int rack = gs->cell->workers[worker].rack;

	if (room < need)
		return;
	score = loss * 1024 + (room - need) * 4;
	if (req->kind == CELL_UNSTOPPABLE) {
		score += gs->workers[worker].hard ? 0 : 2;
		score += gs->racks[rack].whole == gs->cell->rack_size ? 512 : 0;
	}
	score += gs->cell->racks[rack].reserved;
	if (score >= best->score)
		return;
	best->score = score;
	best->worker = worker;
}

/*
 * Smallest number of free accelerators, at least need, that a worker of the
 * rack has; INT_MAX if none has as many.
 */
static int rack_fit(const struct cell_rack *rack, int need)
{
	int f;

	for (f = need; f <= WORKER_ACCELERATORS_MAX; f++)
		if (rack->by_free[f])
			return f;
	return INT_MAX;
}

static int best_worker(struct guarantees *gs, int need,
		       const struct placing_request *req)
{
	const struct cell *cell = gs->cell;
	struct best_worker best = { .worker = -1, .score = INT64_MAX };
	bool free_only = req->evict_level == PLACING_NO_EVICTION;
	int i, j, fit;

	for (i = 0; i < cell->rack_count; i++) {
		const struct cell_rack *rack = &cell->racks[i];

		if (free_only) {
			fit = rack_fit(rack, need);
			if (fit == INT_MAX || (fit - need) * 4 >= best.score)
				continue;
		}
		for (j = 0; j < rack->count; j++)
			score_worker(gs, rack->workers[j], need, req, &best);
	}
	return best.worker;
}

/* Placement on whole workers of one or more racks. */

/*
 * Returns how many whole workers of a rack the request may take, and in
 * *loss the cost of evicting the gangs on them. *part is the most
 * accelerators available on any of the other workers.
 */
static int rack_whole(const struct guarantees *gs, int rack,
		      const struct placing_request *req, int64_t *loss,
		      int *part)
{
	const struct cell *cell = gs->cell;
	const struct cell_rack *r = &cell->racks[rack];
	int whole = 0, i;

	*loss = 0;
	*part = 0;
	if (req->evict_level == PLACING_NO_EVICTION && !r->free)
		return 0;
	for (i = 0; i < r->count; i++) {
		int64_t lost;
		int room = worker_room(gs, r->workers[i], req, &lost);

		if (room == cell->worker_size) {
			whole++;
			*loss += lost;
		} else {
			*part = MAX(*part, room);
		}
	}
	return whole;
}

struct pick {
	int worker;
	int64_t loss;
};

static int by_loss(const void *a, const void *b)
{
	const struct pick *x = a, *y = b;

	if (x->loss != y->loss)
		return x->loss < y->loss ? -1 : 1;
	return x->worker - y->worker;
}

/* Takes up to *left whole workers of a rack, the least loss first. */
static void take_whole_workers(struct guarantees *gs, struct cell_gang *gang,
			       int rack, const struct placing_request *req,
			       int *left)
{
	const struct cell_rack *r = &gs->cell->racks[rack];
	struct pick picks[WORKERS_PER_RACK] = { 0 };
	int count = 0, i;

	for (i = 0; i < r->count; i++) {
		struct pick *p = &picks[count];

		p->worker = r->workers[i];
		if (worker_room(gs, p->worker, req, &p->loss) ==
		    gs->cell->worker_size)
			count++;
	}
	qsort(picks, count, sizeof(picks[0]), by_loss);
	for (i = 0; i<count && * left> 0; i++, --*left)
		cell_gang_add(gang, picks[i].worker, gs->cell->worker_size,
			      CELL_ACCELERATOR);
}

static bool in_gang(const struct cell_gang *gang, int worker)
{
	int i;

	for (i = 0; i < gang->hold_count; i++)
		if (gang->holds[i].worker == worker)
			return true;
	return false;
}

/*
 * Places the part accelerators that remain beyond the whole workers on the
 * best-scoring other worker of the racks first to last.
 */
static bool place_remainder(struct guarantees *gs, struct cell_gang *gang,
			    int first, int last, int part,
			    const struct placing_request *req)
{
	struct best_worker best = { .worker = -1, .score = INT64_MAX };
	int i, j;

	if (!part)
		return true;
	for (i = first; i <= last; i++) {
		const struct cell_rack *r = &gs->cell->racks[i];

		for (j = 0; j < r->count; j++)
			if (!in_gang(gang, r->workers[j]))
				score_worker(gs, r->workers[j], part, req,
					     &best);
	}
	if (best.worker < 0)
		return false;
	cell_gang_add(gang, best.worker, part, CELL_ACCELERATOR);
	return true;
}

static bool fits(int whole, int other, int full, int part)
{
	return whole > full || (whole == full && other >= part);
}

/*
 * Places the gang in the rack with the least loss and, among equals, the
 * fewest whole workers to spare.
 */
static bool place_in_rack(struct guarantees *gs, struct cell_gang *gang,
			  int full, int part, const struct placing_request *req)
{
	int64_t best_score = INT64_MAX, loss, score;
	int best = -1, i, whole, other, left = full;

	for (i = 0; i < gs->cell->rack_count; i++) {
		if (gs->cell->racks[i].count < full)
			continue;
		whole = rack_whole(gs, i, req, &loss, &other);
		if (!fits(whole, other, full, part))
			continue;
		score = loss * 256 + (whole - full) * 2 +
			gs->cell->racks[i].reserved;
		if (score < best_score) {
			best_score = score;
			best = i;
		}
	}
	if (best < 0)
		return false;
	take_whole_workers(gs, gang, best, req, &left);
	return place_remainder(gs, gang, best, best, part, req);
}

/* What each rack of a row offers, for the choice of adjacent racks. */
struct row {
	int first;
	int count;
	int whole[RACKS_PER_ROW];
	int other[RACKS_PER_ROW];
	int64_t loss[RACKS_PER_ROW];
};

static void read_row(const struct guarantees *gs, struct row *row, int first,
		     const struct placing_request *req)
{
	int i;

	row->first = first;
	row->count = MIN(RACKS_PER_ROW, gs->cell->rack_count - first);
	for (i = 0; i < row->count; i++)
		row->whole[i] = rack_whole(gs, first + i, req, &row->loss[i],
					   &row->other[i]);
}

struct window {
	int first;
	int last;
	int64_t score;
};

/*
 * Finds the run of adjacent racks that holds the gang with the least loss;
 * among equals, the shortest run, then the fewest whole workers to spare.
 * Of each start, only the shortest sufficient run is considered, so there
 * are at most RACKS_PER_ROW runs for each row.
 */
static void best_window(const struct row *row, int full, int part,
			struct window *best)
{
	int a, b;

	for (a = 0; a < row->count; a++) {
		int whole = 0, other = 0;
		int64_t loss = 0, score;

		for (b = a; b < row->count; b++) {
			whole += row->whole[b];
			other = MAX(other, row->other[b]);
			loss += row->loss[b];
			if (!fits(whole, other, full, part))
				continue;
			score = loss * 4096 + (b - a) * 128 + (whole - full);
			if (score < best->score) {
				best->score = score;
				best->first = row->first + a;
				best->last = row->first + b;
			}
			break;
		}
	}
}

static bool place_in_row(struct guarantees *gs, struct cell_gang *gang,
			 int full, int part, const struct placing_request *req)
{
	struct window best = { .score = INT64_MAX };
	int first, i, left = full;
	struct row row;

	for (first = 0; first < gs->cell->rack_count; first += RACKS_PER_ROW) {
		read_row(gs, &row, first, req);
		best_window(&row, full, part, &best);
	}
	if (best.score == INT64_MAX)
		return false;
	for (i = best.first; i <= best.last && left > 0; i++)
		take_whole_workers(gs, gang, i, req, &left);
	return place_remainder(gs, gang, best.first, best.last, part, req);
}

bool placing_place_borrowed(struct guarantees *gs, struct cell_gang *gang,
			    const struct placing_request *req)
{
	int size = gs->cell->worker_size;
	int full = gang->total / size, part = gang->total % size, worker;
	bool ok;

	cell_gang_reset(gang);
	gang->kind = req->kind;
	if (gang->total <= size) {
		worker = best_worker(gs, gang->total, req);
		ok = worker >= 0;
		if (ok)
			cell_gang_add(gang, worker, gang->total,
				      CELL_ACCELERATOR);
	} else if (gang->total <= size * gs->cell->rack_size) {
		ok = place_in_rack(gs, gang, full, part, req);
	} else {
		ok = place_in_row(gs, gang, full, part, req);
	}
	if (ok && guarantees_may_hold(gs, gang))
		return true;
	cell_gang_reset(gang);
	return false;
}

/* Counts every worker as empty and usable. */
bool placing_fits_when_empty(const struct cell *cell, int total)
{
	int size = cell->worker_size, full = total / size;
	int part = total % size, row_whole = 0, row_other = 0, i, j;

	if (total > GANG_MAX_ACCELERATORS)
		return false;
	for (i = 0; i < cell->rack_count; i++) {
		const struct cell_rack *rack = &cell->racks[i];
		int whole = 0, other = 0;

		for (j = 0; j < rack->count; j++) {
			int n = cell->workers[rack->workers[j]].total;

			if (n >= size)
				whole++;
			else
				other = MAX(other, n);
		}
		if (i % RACKS_PER_ROW == 0)
			row_whole = row_other = 0;
		row_whole += whole;
		row_other = MAX(row_other, other);
		if (fits(whole, other, full, part))
			return true;
		if (total > size * cell->rack_size &&
		    fits(row_whole, row_other, full, part))
			return true;
	}
	return false;
}

/* Returns the size of a whole worker: that of the largest in the pool. */
int placing_worker_size(const struct doc_pool *pool)
{
	int size = 1;
	size_t i;

	for (i = 0; pool && i < pool->worker_count; i++)
		if (pool->workers[i].accelerators <= WORKER_ACCELERATORS_MAX)
			size = MAX(size, pool->workers[i].accelerators);
	return size;
}

/* As placing_fits_when_empty(), for a pool of the document. */
bool placing_pool_fits_when_empty(const struct doc_pool *pool, int total)
{
	struct cell cell;
	bool fits;
	size_t i;

	cell_init(&cell, placing_worker_size(pool), WORKERS_PER_RACK);
	for (i = 0; i < pool->worker_count; i++)
		cell_add_worker(&cell, pool->workers[i].rack,
				pool->workers[i].accelerators);
	fits = placing_fits_when_empty(&cell, total);
	cell_finish(&cell);
	return fits;
}
