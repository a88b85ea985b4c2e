#ifndef FLEET_RECLAIM_H
#define FLEET_RECLAIM_H

#include "fleet/placement.h"

/*
 * Choice of running work that has to make room for a job that its customer's
 * guarantee covers. It answers a pool that is full of borrowed accelerators:
 * what loses the least work is stopped.
 */

/* Core-milliseconds that are lost when a run is stopped now. */
double reclaim_loss(const struct fleet *fleet, const struct task *task,
		    int64_t now_us);
/* Whether a run may be stopped for the sake of a job. */
bool reclaim_may_stop(const struct fleet *fleet, const struct task *task,
		      const struct job *claimant);
/*
 * Stops runs until the stage has room, and reserves their workers for it.
 * Returns false when no choice of runs makes enough room.
 */
bool reclaim(struct placement *p, struct stage *stage);
/* Reserves again what earlier passes have emptied for stages. */
void reclaim_keep(struct placement *p, struct stage *stage);

#define RECLAIM_KEEP_MS 3000 /* a reservation that was not used lapses */

#endif
