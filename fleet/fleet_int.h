#ifndef FLEET_FLEET_INT_H
#define FLEET_FLEET_INT_H

#include "fleet/fleet.h"

/*
 * Shared by the files that keep the fleet: fleet.c (jobs), run.c (a run from
 * its plan to its end), listing.c (what workers list), life.c (lives of
 * workers), learn.c (durations).
 */

void fleet_note(struct fleet *fleet, const char *event, const struct job *job,
		const struct task *task, const char *why);
/* Stops one run, and nothing else of its gang. */
void fleet_stop_one(struct fleet *fleet, struct task *task, const char *why);
void fleet_end_job(struct fleet *fleet, struct job *job, enum job_phase phase,
		   int64_t wall_ms, const char *why);
void fleet_record_duration(struct fleet *fleet, const struct task *task,
			   int64_t now_us);
/* Stops the other members of a gang that cannot go on. */
void fleet_break_gang(struct fleet *fleet, struct task *task, const char *why);
/*
 * The run is over and its room free; the task waits again unless done or its
 * copy goes on.
 */
void fleet_release(struct fleet *fleet, struct task *task);
/* The current run of a task has ended at its worker. */
void fleet_run_ended(struct fleet *fleet, struct task *task, enum run_end how,
		     int64_t now_us, int64_t wall_ms);
/* run: the task or its copy; the checkpoint serves both. */
void fleet_take_checkpoint(struct task *run, const char *checkpoint);

#endif
