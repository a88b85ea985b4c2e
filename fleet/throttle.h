#ifndef FLEET_THROTTLE_H
#define FLEET_THROTTLE_H

#include "fleet/fleet.h"

/*
 * Pace of tasks that fill what serving tasks leave. It answers interference:
 * while a serving task on a worker is over its latency target, the filling
 * tasks beside it work less; when it has been well for a while, more again.
 */

/* Whether tasks of both sorts run at the worker. */
bool throttle_mixed_load(const struct worker *worker);
/* Sets worker.fill_pace_percent of all workers. Returns how many changed. */
int throttle_pass(struct fleet *fleet, int64_t now_us);
/* The pace that a running task should have now, in percent. */
int throttle_percent(const struct task *task);

#endif
