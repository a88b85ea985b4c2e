#ifndef FLEET_RECLAIM_H
#define FLEET_RECLAIM_H

#include "fleet/placement.h"

/*
 * Selection of runs to preempt for a stage that finds no room, above all for
 * jobs that their customer's guarantee covers while others occupy the pool
 * beyond theirs. The runs whose stop costs least are chosen: the work that is
 * lost, and the jobs that miss their objective through it.
 */

/*
 * What it costs to stop the run now, in core-milliseconds: the work that is
 * lost, and the run's share of the cost of a job that ends late through it.
 */
double reclaim_loss(const struct fleet *fleet, const struct task *task,
		    int64_t now_us);
/* Whether a run may be stopped to make room for the claimant. */
bool reclaim_may_stop(const struct fleet *fleet, const struct task *task,
		      const struct stage *claimant, int64_t now_us);
/*
 * Stops enough runs to make room for the stage, and reserves their workers for
 * it. Returns false, without stopping any, if no choice of runs frees enough
 * room, or if it would lose more than max_loss core-milliseconds.
 */
bool reclaim(struct placement *p, struct stage *stage, double max_loss);
/*
 * Renews in this pass the reservation that reclaim() made for the stage in an
 * earlier one, and drops it if it has expired or is no longer needed.
 */
void reclaim_renew_reservation(struct placement *p, struct stage *stage);

/* How long a reservation is kept beyond the time that a stop may take. It
 * covers the stop order, the report of the end and one lost message. If the
 * room is not free by then, other runs are chosen; this happens several times
 * within the platform's time limit for reclaims. */
#define RECLAIM_RESERVATION_SLACK_MS 500
/* An urgent job beyond the guarantee may cause a loss of at most this many
 * times its own work: it is worth about that much more than batch work. */
#define RECLAIM_LOSS_FACTOR 4.0

#endif
