#ifndef FLEET_PLACEMENT_H
#define FLEET_PLACEMENT_H

#include "fleet/fleet.h"

/*
 * Selection of workers for tasks. To limit fragmentation, small tasks go to
 * workers that are already in use, which leaves whole workers and racks free
 * for gangs (stages whose tasks all have to start together).
 */

/* The workers that accept new tasks, collected at the start of a pass. */
struct placement {
	struct fleet *fleet;
	int64_t now_us;
	GHashTable *pools; /* name -> struct pool_view */
	/* The same with those that are avoided; NULL until it is needed. */
	GHashTable *pools_avoided_too;
	bool avoided; /* there are such workers */
	/* Scores of the workers of a pool for the stage placed last. */
	const struct stage *scored; /* NULL: none */
	bool scored_reserved; /* the scores count reserved room as free */
	GArray *scores; /* double, in the order of pool_view.workers */
	guint taken; /* index of the worker chosen last */
};

/* The usable workers of one pool, as a flat list and grouped by rack. */
struct pool_view {
	GPtrArray *workers;
	GPtrArray *racks; /* struct rack_view */
	GHashTable *racks_by_name;
	GArray *full_for; /* struct full_for, private to placement.c */
	bool load_known; /* mostly_unused is set */
	bool mostly_unused; /* at most half of each resource is in use */
};

struct rack_view {
	const char *name; /* "" for workers without a rack */
	GPtrArray *workers;
};

void placement_init(struct placement *p, struct fleet *fleet, int64_t now_us);
void placement_finish(struct placement *p);
/*
 * Returns the workers of the stage's pool, NULL if there are none. Those that
 * are avoided, because they are banned or drain for upkeep, are among them only
 * if no other has the stage's label, or if the stage may wait no longer for the
 * others to have room.
 */
struct pool_view *placement_workers_for(struct placement *p,
					const struct stage *stage);

/*
 * Whether the worker may run tasks of the stage, by label and by permission
 * of the advice service. Free room is not considered.
 */
bool placement_eligible(const struct worker *worker, const struct stage *stage,
			int64_t now_us);
/* Number of tasks of the stage that fit into room, at most limit. */
int placement_slots(const struct room *room, const struct stage *stage,
		    int limit);
/* Number of further tasks of the stage that the worker can start now. */
int placement_free_slots(const struct worker *worker, const struct stage *stage,
			 int64_t now_us);

/* Returns a worker for one task, NULL if the task has to wait. */
struct worker *placement_choose_worker(struct placement *p,
				       const struct task *task,
				       double expected_ms);
/*
 * Returns a new array with one worker for each task of a gang, in the order of
 * the tasks, to be freed by the caller. NULL if the gang has to wait.
 */
struct worker **placement_choose_gang(struct placement *p,
				      const struct stage *stage,
				      double expected_ms);
/*
 * Reserves for a waiting gang, for the rest of the pass, the rack that is
 * expected to have room for it first, or the whole pool if the gang need not
 * or cannot run in one rack. Tasks that are expected to end before that time
 * may still start there.
 */
void placement_reserve(struct placement *p, struct stage *stage);

#endif
