#ifndef FLEET_THROTTLE_H
#define FLEET_THROTTLE_H

#include "fleet/fleet.h"

/*
 * Throttling of best-effort tasks (step option fills), which use the processor
 * time that serving tasks leave. They can slow down the serving tasks on their
 * worker: while one of these exceeds its latency target, the best-effort tasks
 * are slowed down, and sped up again after it has met the target for a while.
 */

/* Whether the worker has both serving and best-effort tasks. */
bool throttle_mixed_load(const struct worker *worker);
/* Updates worker.fill_pace_percent of all workers. Returns how many changed. */
int throttle_pass(struct fleet *fleet, int64_t now_us);
/* The speed that a running task should have now, in percent of its full one. */
int throttle_percent(const struct task *task);

#endif
