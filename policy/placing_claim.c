#include <limits.h>
#include <string.h>

#include <glib.h>

#include "policy/placing.h"

/* Lower is better; the first field that differs decides. */
struct claim_score {
	int breaks; /* larger whole cells that the choice would split */
	int64_t loss; /* cost of the evictions, see placing_loss() */
	int spare; /* accelerators left over */
};

static bool better(const struct claim_score *a, const struct claim_score *b)
{
	if (a->breaks != b->breaks)
		return a->breaks < b->breaks;
	if (a->loss != b->loss)
		return a->loss < b->loss;
	return a->spare < b->spare;
}

/*
 * Whether the claim may take the accelerators of the hold. A reclaim may take
 * those of borrowed stoppable gangs. Those of the owner's own gangs may be
 * taken when the request may evict the gang and its cell remains bound.
 */
static bool may_reclaim(const struct cell_hold *hold,
			const struct placing_request *req)
{
	if (hold->gang->kind == CELL_STOPPABLE)
		return req->reclaim;
	return hold->gang->kind == CELL_OWNED &&
	       (hold->cover == CELL_RACK || hold->cover == CELL_WORKER) &&
	       placing_may_evict(hold->gang, req);
}

/*
 * Returns how many accelerators of a worker its owner could claim, and in
 * *loss the cost of the evictions: 0 when need accelerators are free.
 */
static int claim_room(const struct guarantees *gs, int worker, int need,
		      const struct placing_request *req, int64_t *loss)
{
	const struct cell_worker *w = &gs->cell->workers[worker];
	const struct cell_hold *hold;
	int room = w->total;

	*loss = 0;
	if (!w->usable || placing_avoided(req, worker))
		return 0;
	list_for_each_entry(hold, &w->holds, node) {
		if (may_reclaim(hold, req))
			*loss += placing_loss(hold->gang, req->now_us);
		else
			room -= hold->count;
	}
	if (w->free >= need)
		*loss = 0;
	return room;
}

static bool in_gang(const struct cell_gang *gang, int worker)
{
	int i;

	for (i = 0; i < gang->hold_count; i++)
		if (gang->holds[i].worker == worker)
			return true;
	return false;
}

static bool rack_is_whole(const struct guarantees *gs, int rack)
{
	return gs->racks[rack].whole == gs->cell->rack_size;
}

/* Claims on one worker. */

/*
 * Sources of accelerators on one worker, in the order in which they are
 * tried: cells bound already, single units, a new worker cell, a new rack
 * cell.
 */
enum source { FROM_OWN, FROM_UNITS, FROM_WORKER, FROM_RACK, SOURCES };

struct choice {
	int worker;
	enum cell_unit cover;
	struct claim_score score;
};

static bool source_offers(const struct guarantees *gs, int customer, int worker,
			  enum source source, struct choice *c)
{
	int rack = gs->cell->workers[worker].rack;
	bool whole_worker =
		guarantees_claimable(gs, worker) == gs->cell->worker_size;

	switch (source) {
	case FROM_OWN:
		c->cover = gs->racks[rack].bound != GUARANTEES_UNBOUND ?
				   CELL_RACK :
				   CELL_WORKER;
		return guarantees_owner(gs, worker) == customer;
	case FROM_UNITS:
		c->cover = CELL_ACCELERATOR;
		c->score.breaks = whole_worker + rack_is_whole(gs, rack);
		return !guarantees_is_bound(gs, worker);
	case FROM_WORKER:
		c->cover = CELL_WORKER;
		c->score.breaks = rack_is_whole(gs, rack);
		return whole_worker;
	default:
		c->cover = CELL_RACK;
		return whole_worker && rack_is_whole(gs, rack);
	}
}

/* Chooses the best worker of the source with need accelerators. */
static bool choose_worker(const struct guarantees *gs,
			  const struct cell_gang *gang, int need,
			  enum source source, const struct placing_request *req,
			  struct choice *best)
{
	int i, room;

	best->worker = -1;
	best->score = (struct claim_score){ INT_MAX, INT64_MAX, INT_MAX };
	for (i = 0; i < gs->worker_count; i++) {
		struct choice c = { .worker = i };

		if (gs->cell->workers[i].total < need ||
		    !source_offers(gs, gang->customer, i, source, &c))
			continue;
		room = claim_room(gs, i, need, req, &c.score.loss);
		c.score.spare = room - need;
		if (room < need || in_gang(gang, i))
			continue;
		if (better(&c.score, &best->score))
			*best = c;
	}
	return best->worker >= 0;
}

static int units_available(const struct guarantees *gs, int customer,
			   enum source source, int need)
{
	switch (source) {
	case FROM_OWN:
		return 1;
	case FROM_UNITS:
		return guarantees_units_left(gs, customer, CELL_ACCELERATOR) >=
		       need;
	case FROM_WORKER:
		return guarantees_units_left(gs, customer, CELL_WORKER);
	default:
		return guarantees_units_left(gs, customer, CELL_RACK);
	}
}

/*
 * Tries the sources in turn. Accelerator units on one worker may use up a
 * whole worker that other guarantees need; guarantees_may_hold() then refuses
 * the placement and the next source is tried.
 */
static bool claim_part(struct guarantees *gs, struct cell_gang *gang, int need,
		       const struct placing_request *req)
{
	struct choice best;
	int source;

	for (source = 0; source < SOURCES; source++) {
		if (!units_available(gs, gang->customer, source, need))
			continue;
		if (!choose_worker(gs, gang, need, source, req, &best))
			continue;
		cell_gang_add(gang, best.worker, need, best.cover);
		if (guarantees_may_hold(gs, gang))
			return true;
		cell_gang_reset(gang);
	}
	return false;
}

/*
 * A guarantee in accelerator units does not include that they are on one
 * worker, so a gang that fits on none may be spread over several.
 */
static bool claim_spread(struct guarantees *gs, struct cell_gang *gang,
			 const struct placing_request *req)
{
	int need = gang->total, part;
	struct choice best;

	if (guarantees_units_left(gs, gang->customer, CELL_ACCELERATOR) < need)
		return false;
	while (need > 0) {
		for (part = MIN(need, gs->cell->worker_size); part > 0; part--)
			if (choose_worker(gs, gang, part, FROM_UNITS, req,
					  &best))
				break;
		if (!part)
			return false;
		cell_gang_add(gang, best.worker, part, CELL_ACCELERATOR);
		need -= part;
	}
	return true;
}

/* Claims on whole workers. */

/* Adds workers of a rack to the gang until *left accelerators are placed. */
static void take_rack(struct guarantees *gs, struct cell_gang *gang, int rack,
		      const struct placing_request *req, int *left)
{
	const struct cell_rack *r = &gs->cell->racks[rack];
	int size = gs->cell->worker_size, i;
	int64_t loss;

	for (i = 0; i<r->count && * left> 0; i++) {
		int n = MIN(size, *left), worker = r->workers[i];

		if (in_gang(gang, worker) ||
		    claim_room(gs, worker, n, req, &loss) < n)
			continue;
		cell_gang_add(gang, worker, n, CELL_RACK);
		*left -= n;
	}
}

/* Accelerators on the workers of a bound rack that its owner can have whole. */
static int rack_room(const struct guarantees *gs, int rack,
		     const struct placing_request *req)
{
	const struct cell_rack *r = &gs->cell->racks[rack];
	int room = 0, i;
	int64_t loss;

	for (i = 0; i < r->count; i++)
		if (claim_room(gs, r->workers[i], gs->cell->worker_size, req,
			       &loss) == gs->cell->worker_size)
			room += gs->cell->worker_size;
	return room;
}

/* Returns the cost of evicting all that a claim on the whole rack must. */
static int64_t rack_loss(const struct guarantees *gs, int rack,
			 const struct placing_request *req)
{
	const struct cell_rack *r = &gs->cell->racks[rack];
	int64_t total = 0, loss;
	int i;

	for (i = 0; i < r->count; i++) {
		claim_room(gs, r->workers[i], gs->cell->worker_size, req,
			   &loss);
		total += loss;
	}
	return total;
}

/*
 * Returns the whole unbound rack to bind next, or -1: the one nearest to
 * last, the rack bound before it, within the same row; among equals, the one
 * with the least lost work.
 */
static int choose_rack(const struct guarantees *gs,
		       const struct cell_gang *gang, const bool *used, int last,
		       const struct placing_request *req)
{
	int64_t best_loss = INT64_MAX, loss;
	int best = -1, best_far = INT_MAX, i, far;

	for (i = 0; i < gs->rack_count; i++) {
		if (used[i] || !rack_is_whole(gs, i))
			continue;
		far = 0;
		if (last >= 0)
			far = i / RACKS_PER_ROW == last / RACKS_PER_ROW ?
				      ABS(i - last) :
				      RACKS_PER_ROW + 1;
		if (far > best_far)
			continue;
		loss = rack_loss(gs, i, req);
		if (far < best_far || loss < best_loss) {
			best = i;
			best_far = far;
			best_loss = loss;
		}
	}
	return best;
}

/* Returns the owner's bound rack with the least sufficient room, or -1. */
static int fitting_rack(const struct guarantees *gs, int customer, int need,
			const struct placing_request *req)
{
	int best = -1, best_room = INT_MAX, i, room;

	for (i = 0; i < gs->rack_count; i++) {
		if (gs->racks[i].bound != customer)
			continue;
		room = rack_room(gs, i, req);
		if (room >= need && room < best_room) {
			best = i;
			best_room = room;
		}
	}
	return best;
}

/* State of a claim that takes cells one after the other. */
struct gather {
	bool *used; /* racks bound by this claim */
	int racks_left; /* units of the guarantee that are not in use */
	int workers_left;
	int last; /* rack bound last, or -1 */
	int left; /* accelerators still to place */
	const struct placing_request *req;
};

/* Binds one more rack cell. */
static bool gather_rack(struct guarantees *gs, struct cell_gang *gang,
			struct gather *g)
{
	int rack;

	if (g->racks_left <= 0)
		return false;
	rack = choose_rack(gs, gang, g->used, g->last, g->req);
	if (rack < 0)
		return false;
	g->used[rack] = true;
	g->racks_left--;
	g->last = rack;
	take_rack(gs, gang, rack, g->req, &g->left);
	return true;
}

/* Takes what is left in the racks that are bound to the owner already. */
static void gather_own(struct guarantees *gs, struct cell_gang *gang,
		       struct gather *g)
{
	int i;

	for (i = 0; i < gs->rack_count && g->left > 0; i++)
		if (gs->racks[i].bound == gang->customer)
			take_rack(gs, gang, i, g->req, &g->left);
}

/* Binds worker cells outside of the racks that this claim binds. */
static void gather_workers(struct guarantees *gs, struct cell_gang *gang,
			   struct gather *g)
{
	struct choice best;
	int i;

	while (g->left > 0 && g->workers_left > 0) {
		int n = MIN(g->left, gs->cell->worker_size);

		best.worker = -1;
		best.score = (struct claim_score){ INT_MAX, INT64_MAX, 0 };
		for (i = 0; i < gs->worker_count; i++) {
			struct choice c = { .worker = i };

			if (g->used[gs->cell->workers[i].rack] ||
			    !source_offers(gs, gang->customer, i, FROM_WORKER,
					   &c))
				continue;
			if (claim_room(gs, i, n, g->req, &c.score.loss) < n ||
			    in_gang(gang, i))
				continue;
			if (better(&c.score, &best.score))
				best = c;
		}
		if (best.worker < 0)
			return;
		cell_gang_add(gang, best.worker, n, CELL_WORKER);
		g->left -= n;
		g->workers_left--;
	}
}

/*
 * Places a gang of several workers: in one bound rack with room, else in one
 * new rack, else on any units that the customer has left, whole racks first.
 * A guarantee of several units does not include that they are adjacent.
 */
static bool claim_whole(struct guarantees *gs, struct cell_gang *gang,
			const struct placing_request *req)
{
	int rack_accelerators = gs->cell->worker_size * gs->cell->rack_size;
	struct gather g = { .left = gang->total, .req = req, .last = -1 };
	int rack = fitting_rack(gs, gang->customer, gang->total, req);

	if (rack >= 0) {
		take_rack(gs, gang, rack, req, &g.left);
		return g.left == 0;
	}
	g.used = g_new0(bool, gs->rack_count + 1);
	g.racks_left = guarantees_units_left(gs, gang->customer, CELL_RACK);
	g.workers_left = guarantees_units_left(gs, gang->customer, CELL_WORKER);
	while (g.left >= rack_accelerators && gather_rack(gs, gang, &g))
		;
	if (g.left > 0 && g.left <= rack_accelerators)
		gather_rack(gs, gang, &g);
	gather_own(gs, gang, &g);
	gather_workers(gs, gang, &g);
	while (g.left > 0 && gather_rack(gs, gang, &g))
		;
	g_free(g.used);
	return g.left == 0;
}

static bool claim(struct guarantees *gs, struct cell_gang *gang,
		  const struct placing_request *req)
{
	bool ok;

	cell_gang_reset(gang);
	gang->kind = CELL_OWNED;
	if (gang->total <= gs->cell->worker_size) {
		ok = claim_part(gs, gang, gang->total, req);
		if (!ok) {
			cell_gang_reset(gang);
			ok = claim_spread(gs, gang, req);
		}
	} else {
		ok = claim_whole(gs, gang, req);
	}
	if (ok && guarantees_may_hold(gs, gang))
		return true;
	cell_gang_reset(gang);
	return false;
}

/*
 * Avoids the workers where the job has failed, unless the guarantee can only
 * be met on them.
 */
bool placing_claim(struct guarantees *gs, struct cell_gang *gang,
		   const struct placing_request *req)
{
	struct placing_request any = *req;

	if (req->avoid_count > 0 && claim(gs, gang, req))
		return true;
	any.avoid_count = 0;
	return claim(gs, gang, &any);
}
