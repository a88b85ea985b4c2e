#ifndef FLEET_EVICT_H
#define FLEET_EVICT_H

#include "fleet/fleet.h"

/*
 * Moves work away from workers where it stands still, or that leave before
 * it can end. It answers workers that look healthy and do nothing, and
 * planned or sudden departures.
 */

/* Whether a run shows no progress for longer than is usual. */
bool evict_run_stalled(const struct fleet *fleet, const struct task *task,
		       int64_t now_us);
/* Whether a worker has such a run; it gets no new tasks then. */
bool evict_worker_suspect(const struct fleet *fleet,
			  const struct worker *worker, int64_t now_us);
/* Stops the runs that do better elsewhere. Returns how many. */
int evict_pass(struct fleet *fleet, int64_t now_us);
/*
 * Whether stopping a run leaves enough of its step at work: a step that
 * lasts says how many of its tasks may be away by the system's doing.
 */
bool evict_allowed(const struct task *task);

#endif
