#include "policy/placing.h"

/* Eviction. */

static bool is_victim(const struct cell_gang *gang,
		      const struct cell_gang *arriving,
		      const struct placing_request *req)
{
	if (gang == arriving || gang->leaving)
		return false;
	if (arriving->kind == CELL_OWNED && gang->kind == CELL_STOPPABLE)
		return req->reclaim;
	return placing_may_evict(gang, req);
}

/*
 * Evicts gangs from one worker, those with the least loss first, until no
 * more accelerators are held than it has. Gangs already marked as leaving
 * count as gone. Returns the number of gangs evicted.
 */
static int worker_victims(struct guarantees *gs, const struct cell_gang *gang,
			  int worker, const struct placing_request *req,
			  void (*fn)(struct cell_gang *, void *), void *user)
{
	struct cell_worker *w = &gs->cell->workers[worker];
	int over = w->held - w->total, evicted = 0;
	struct cell_hold *hold, *best;

	list_for_each_entry(hold, &w->holds, node)
		if (hold->gang->leaving)
			over -= hold->count;
	while (over > 0) {
		best = NULL;
		list_for_each_entry(hold, &w->holds, node) {
			if (!is_victim(hold->gang, gang, req))
				continue;
			if (!best ||
			    placing_loss(hold->gang, req->now_us) <
				    placing_loss(best->gang, req->now_us))
				best = hold;
		}
		if (!best)
			break;
		over -= best->count;
		best->gang->leaving = true;
		fn(best->gang, user);
		evicted++;
	}
	return evicted;
}

int placing_evict(struct guarantees *gs, struct cell_gang *gang,
		  const struct placing_request *req,
		  void (*fn)(struct cell_gang *victim, void *user), void *user)
{
	int i, evicted = 0;

	for (i = 0; i < gang->hold_count; i++)
		evicted += worker_victims(gs, gang, gang->holds[i].worker, req,
					  fn, user);
	return evicted;
}

/* Reservation of racks. */

void placing_release_racks(struct guarantees *gs)
{
	int i;

	for (i = 0; i < gs->cell->rack_count; i++)
		gs->cell->racks[i].reserved = false;
}

/*
 * Reserves the racks that the gang would be placed in if all stoppable gangs
 * could be evicted. New unstoppable gangs are then kept out of these racks,
 * so that they become free in time.
 */
int placing_reserve_racks(struct guarantees *gs, int total, int64_t now_us)
{
	struct placing_request req = {
		.kind = CELL_UNSTOPPABLE,
		.evict_level = INT32_MIN,
		.saved_before_us = now_us,
		.now_us = now_us,
		.use_reserved = true,
	};
	struct cell_gang probe;
	int i, racks = 0;

	placing_release_racks(gs);
	cell_gang_init(&probe, 0, total, false);
	if (total <= gs->cell->worker_size ||
	    !placing_place_borrowed(gs, &probe, &req))
		return 0;
	for (i = 0; i < probe.hold_count; i++) {
		int rack = gs->cell->workers[probe.holds[i].worker].rack;

		racks += !gs->cell->racks[rack].reserved;
		gs->cell->racks[rack].reserved = true;
	}
	cell_gang_reset(&probe);
	return racks;
}

/* Moves that free a whole worker. */

/*
 * Returns the gang of a whole worker that holds nothing else, if the gang is
 * on no other worker and may be evicted; otherwise NULL.
 */
static struct cell_gang *sole_movable_gang(const struct guarantees *gs,
					   int worker,
					   const struct placing_request *req)
{
	const struct cell_worker *w = &gs->cell->workers[worker];
	struct cell_hold *hold;

	if (!w->usable || w->total != gs->cell->worker_size ||
	    w->holds.next == &w->holds || w->holds.next->next != &w->holds)
		return NULL;
	hold = list_first_entry(&w->holds, struct cell_hold, node);
	if (hold->gang->hold_count != 1 || !placing_may_evict(hold->gang, req))
		return NULL;
	return hold->gang;
}

/* Whether another, partly used worker has n accelerators free. */
static bool fits_on_partial_worker(const struct cell *cell, int worker, int n)
{
	int f, count = 0;

	for (f = n; f < cell->worker_size; f++)
		count += cell->by_free[f];
	if (cell->workers[worker].free >= n)
		count--;
	return count > 0;
}

struct cell_gang *placing_find_move(struct guarantees *gs,
				    const struct placing_request *req)
{
	struct cell_gang *best = NULL, *gang;
	int i;

	for (i = 0; i < gs->worker_count; i++) {
		gang = sole_movable_gang(gs, i, req);
		if (!gang || !fits_on_partial_worker(gs->cell, i, gang->total))
			continue;
		if (!best || placing_loss(gang, req->now_us) <
				     placing_loss(best, req->now_us))
			best = gang;
	}
	return best;
}
