#ifndef FLEET_PLACEMENT_H
#define FLEET_PLACEMENT_H

#include "fleet/fleet.h"

/*
 * Choice of workers. It answers fragmentation: small tasks fill workers that
 * are already in use, so that whole workers and racks stay free for gangs.
 */

/* The workers that take new tasks, as they are at the start of a pass. */
struct placement {
	struct fleet *fleet;
	int64_t now_us;
	GHashTable *pools; /* name -> struct pool_view */
};

/* The usable workers of one pool, together and by rack. */
struct pool_view {
	GPtrArray *workers;
	GPtrArray *racks; /* struct rack_view */
};

struct rack_view {
	const char *name; /* "" for workers without a rack */
	GPtrArray *workers;
};

void placement_init(struct placement *p, struct fleet *fleet, int64_t now_us);
void placement_finish(struct placement *p);
struct pool_view *placement_pool(struct placement *p, const char *pool);

/* A worker that may run tasks of the stage at all, room aside. */
bool placement_eligible(const struct worker *worker, const struct stage *stage,
			int64_t now_us);
/* Tasks of the stage that fit into room, at most limit. */
int placement_slots(const struct room *room, const struct stage *stage,
		    int limit);
/* How many more tasks of the stage the worker takes now. */
int placement_free_slots(const struct worker *worker, const struct stage *stage,
			 int64_t now_us);

/* A worker for one task, NULL when it has to wait. */
struct worker *placement_choose_worker(struct placement *p,
				       const struct task *task,
				       double expected_ms);
/*
 * Workers for all tasks of a gang, one for each task in order, in a new
 * array; NULL when it has to wait.
 */
struct worker **placement_choose_gang(struct placement *p,
				      const struct stage *stage,
				      double expected_ms);
/*
 * Reserves the rack that will have room for a waiting gang first, for the
 * rest of the pass. Tasks that end before that may still run there.
 */
void placement_reserve(struct placement *p, struct stage *stage);

#endif
