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
/* Whether a run may be stopped for the sake of a stage. */
bool reclaim_may_stop(const struct fleet *fleet, const struct task *task,
		      const struct stage *claimant, int64_t now_us);
/*
 * Stops runs until the stage has room, and reserves their workers for it.
 * Returns false when no choice of runs makes enough room, or when stopping
 * them would lose more than max_loss core-milliseconds.
 */
bool reclaim(struct placement *p, struct stage *stage, double max_loss);
/* Reserves again what earlier passes have emptied for stages. */
void reclaim_renew_reservation(struct placement *p, struct stage *stage);

/* Beyond the time of a stop: its order, its list and a loss. What is not
 * free by then is chosen anew, several times within the bound of a claim. */
#define RECLAIM_RESERVATION_SLACK_MS 500
/* Urgent work beyond the guarantee stops at most so many times the work that
 * it does itself: it is worth about that much more than batch work. */
#define RECLAIM_LOSS_FACTOR 4.0

#endif
