#ifndef STANDINS_FLEET_MAKE_H
#define STANDINS_FLEET_MAKE_H

#include "fleet/fleet.h"

/* Jobs and workers for tests of the decisions, without a network. */

#define MAKE_POOL "pool"

/* A fleet with the bounds of a small deployment and one customer. */
void make_fleet(struct fleet *fleet, struct config **config);
void free_fleet(struct fleet *fleet, struct config *config);
/* 128 cores, 256 GB; takes its first clock sample at now_us. */
struct worker *make_worker(struct fleet *fleet, const char *id,
			   const char *rack, int gpus, int64_t now_us);
/* One step; gpus of each task and 4 cores for each of them. */
struct job *make_job(struct fleet *fleet, const char *id, int priority,
		     int count, int gpus, int64_t est_ms, int64_t now_us);
/* Tasks that last, with a target of 100 ms; may_miss of them may be away. */
struct job *make_latency_job(struct fleet *fleet, int count, int may_miss,
			     int64_t now_us);
/* Opens what is due, plans it and starts what was planned; all are at work. */
void plan_and_start_all(struct fleet *fleet, int64_t now_us);
/* Starts all planned tasks as if their orders were accepted at once. */
int confirm_planned_runs(struct fleet *fleet, int64_t now_us);
/* The worker lists an end of the task's run. */
void report_run_end(struct fleet *fleet, struct task *task, enum run_end how,
		    int64_t now_us);
/* All running tasks of the job end as done. */
void finish_job_tasks(struct fleet *fleet, struct job *job, int64_t now_us);
/* All changes count as stored. */
void mark_changes_stored(struct fleet *fleet);
struct task *first_occurrence_task(struct job *job, int step, int index);

#endif
