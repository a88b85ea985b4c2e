#ifndef FLEET_PLACEMENT_INT_H
#define FLEET_PLACEMENT_INT_H

#include "fleet/placement.h"

/*
 * Shared by placement_view.c (the workers of each pool), placement.c (the
 * choice for tasks and gangs) and placement_reserve.c (reservations).
 */

/*
 * Whether a task that needs no more than those of the stage, for no longer, has
 * found no room in this pass. Never so for a stage with workers reserved.
 */
bool placement_pool_is_full(const struct pool_view *view,
			    const struct stage *stage, double expected_ms);
/* Notes that no worker of the pool has room for the task. */
void placement_note_full(struct pool_view *view, const struct task *task,
			 double expected_ms);
/*
 * Whether the platform would soon count the stage's job as lost: it has nothing
 * running although most of the room of these workers is free.
 */
bool placement_wait_over(const struct placement *p, struct pool_view *view,
			 const struct stage *stage);
/* Whether the gang would fit into one of the racks if it were empty. */
bool placement_fits_in_empty_rack(const struct placement *p,
				  const struct pool_view *view,
				  const struct stage *stage);

#endif
