#ifndef FLEET_ORDER_H
#define FLEET_ORDER_H

#include "fleet/fleet.h"

/*
 * Order in which queued jobs are considered for free room. Under overload not
 * all jobs can meet their objective: within a priority, jobs that still can
 * come first, then those that can end late but still earn a part of their
 * worth, and then the rest.
 */

/* Whether a job can still meet its objective if it starts now. */
enum order_feasibility { FEASIBLE_IN_TIME, FEASIBLE_LATE, INFEASIBLE };

/* Expected remaining duration of the latest occurrence that is due. */
double order_remaining_ms(const struct fleet *fleet, const struct job *job);
/* Time after its acceptance within which a job earns its full worth. */
double order_objective_ms(const struct fleet *fleet, const struct job *job);
/*
 * Time by which a job would end before its objective if its unfinished stages
 * started now; negative: after it. Kept in the job for the rest of a pass.
 */
double order_slack_ms(const struct fleet *fleet, struct job *job,
		      int64_t now_us);
enum order_feasibility order_feasibility(const struct fleet *fleet,
					 const struct job *job, int64_t now_us);
/* All jobs with tasks to start, in order. The array does not own the jobs. */
GPtrArray *order_jobs(struct fleet *fleet, int64_t now_us);
/*
 * Sets job.guaranteed of all jobs. The customer's guarantee covers a job if the
 * job has priority 0, and all unfinished jobs of priority 0 of the customer
 * together need no more accelerators than are guaranteed.
 */
void order_mark_guaranteed(struct fleet *fleet);

#endif
