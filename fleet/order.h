#ifndef FLEET_ORDER_H
#define FLEET_ORDER_H

#include "fleet/fleet.h"

/*
 * Order of the queue: which job is looked at first when room is free. It
 * answers overload in which not all jobs can meet their objective: jobs that
 * still can go first, then those that can be late, and the rest last.
 */

/* Whether a job can still meet its objective if it starts now. */
enum order_feasibility { FEASIBLE_IN_TIME, FEASIBLE_LATE, INFEASIBLE };

/* Expected duration of what is left of a job's current occurrence. */
double order_remaining_ms(const struct fleet *fleet, const struct job *job);
/* Time from acceptance within which a job earns its full worth. */
double order_objective_ms(const struct fleet *fleet, const struct job *job);
enum order_feasibility order_feasibility(const struct fleet *fleet,
					 const struct job *job, int64_t now_us);
/* All jobs that want room, in order. The array is borrowed pointers. */
GPtrArray *order_jobs(struct fleet *fleet, int64_t now_us);
/*
 * Whether the customer's guarantee covers a job: it has priority 0, and all
 * such jobs of the customer together need no more than is guaranteed.
 */
bool order_within_guarantee(const struct fleet *fleet, const struct job *job);

#endif
