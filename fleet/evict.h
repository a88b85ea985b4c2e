#ifndef FLEET_EVICT_H
#define FLEET_EVICT_H

#include "fleet/fleet.h"

/*
 * Stops runs that would do better on another worker, so that they are planned
 * again: runs that make no progress, as on workers that look healthy but do no
 * work, and runs on draining workers that leave before the run can end.
 */

/* Whether a run has made no progress for longer than its stall timeout. */
bool evict_run_stalled(const struct fleet *fleet, const struct task *task,
		       int64_t now_us);
/* Whether the worker has a stalled run. It gets no new tasks then. */
bool evict_worker_suspect(const struct fleet *fleet,
			  const struct worker *worker, int64_t now_us);
/* Returns the number of evicted runs. */
int evict_pass(struct fleet *fleet, int64_t now_us);
/*
 * Whether the run may be interrupted. A long-running step limits by may_miss
 * how many of its tasks may be down through actions of the scheduler.
 */
bool evict_allowed(const struct task *task);
/* Whether the run may never be interrupted: its step may miss no task. */
bool evict_forbidden(const struct task *task);

#endif
