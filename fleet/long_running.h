#ifndef FLEET_LONG_RUNNING_H
#define FLEET_LONG_RUNNING_H

#include "fleet/fleet.h"

/*
 * Tasks that run until their job is cancelled. It answers a pool that is full
 * of other work: a task that lost its worker is at work again within seconds,
 * whatever its priority and whatever else waits.
 */

bool long_running_job(const struct job *job);
/* Whether a task of the stage has been without room for too long. */
bool long_running_overdue(const struct stage *stage, int64_t now_us);
/* Whether a run that was confirmed does not come to work. */
bool long_running_stalled(const struct task *task, int64_t now_us);
/* Whether the failure of a run tells nothing of its worker. */
bool long_running_failure_expected(const struct task *task);

#endif
