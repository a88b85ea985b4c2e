#ifndef STANDINS_FLEET_FIXTURE_H
#define STANDINS_FLEET_FIXTURE_H

#include "fleet/fleet.h"

/* Fixture of jobs and workers for unit tests of the scheduler's decisions. */

#define MAKE_POOL "pool"

/*
 * Initialises a fleet with the bounds of a small deployment and two customers:
 * "one" with 16 guaranteed accelerators and "two" with none.
 */
void make_fleet(struct fleet *fleet, struct config **config);
void free_fleet(struct fleet *fleet, struct config *config);
/* Adds a worker with 128 cores and 256 GB, first clock sample at now_us. */
struct worker *make_worker(struct fleet *fleet, const char *id,
			   const char *rack, int gpus, int64_t now_us);
/* Adds a job of one step. Each task needs gpus, and 4 cores per accelerator. */
struct job *make_job(struct fleet *fleet, const char *id, int priority,
		     int count, int gpus, int64_t est_ms, int64_t now_us);
/* Adds a long-running job with a latency target of 100 ms. */
struct job *make_latency_job(struct fleet *fleet, int count, int may_miss,
			     int64_t now_us);
/* Opens due stages, starts their tasks and sets them to 100 percent. */
void plan_and_start_all(struct fleet *fleet, int64_t now_us);
/* Starts all planned tasks, as if workers had confirmed their orders. */
int confirm_planned_runs(struct fleet *fleet, int64_t now_us);
/* Lets the worker report the end of the task's run. */
void report_run_end(struct fleet *fleet, struct task *task, enum run_end how,
		    int64_t now_us);
/* Lets all running tasks of the job end successfully. */
void finish_job_tasks(struct fleet *fleet, struct job *job, int64_t now_us);
/* Marks all changes of jobs as written to the store. */
void mark_changes_stored(struct fleet *fleet);
struct task *first_occurrence_task(struct job *job, int step, int index);

#endif
