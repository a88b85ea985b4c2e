#ifndef FLEET_LONG_RUNNING_H
#define FLEET_LONG_RUNNING_H

#include "fleet/fleet.h"

/*
 * Tasks that run until their job is cancelled. In a pool that is full of other
 * work, a task that has lost its worker must be running again within seconds,
 * regardless of its priority and of the queue.
 */

bool long_running_job(const struct job *job);
/* Whether a task of the stage has been without a worker for too long. */
bool long_running_overdue(const struct stage *stage, int64_t now_us);
/* Whether it may also go to workers that other work keeps away from. */
bool long_running_takes_any(const struct stage *stage, int64_t now_us);
/* Whether a started run has not become ready in time. */
bool long_running_stalled(const struct task *task, int64_t now_us);
/* Whether a failure of the run says nothing about the worker's health. */
bool long_running_failure_expected(const struct task *task);

#endif
