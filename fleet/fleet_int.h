#ifndef FLEET_FLEET_INT_H
#define FLEET_FLEET_INT_H

#include "fleet/fleet.h"

/*
 * Internal interface of the files that implement the fleet: fleet.c (jobs),
 * run.c (a run from its planning to its end), hold_report.c (hold reports of
 * workers), incarnation.c (incarnations of workers), proof.c (runs that are
 * over without a reported end), durations.c (estimated durations).
 */

void fleet_note(struct fleet *fleet, const char *event, const struct job *job,
		const struct task *task, const char *why);
/* Stops one run, but not the other members of its gang. */
void fleet_stop_one(struct fleet *fleet, struct task *task, const char *why);
/* Sets the final phase of a job and stops its runs unless it is done. */
void fleet_end_job(struct fleet *fleet, struct job *job, enum job_phase phase,
		   int64_t wall_ms, const char *why);
/* Adds the duration of a finished run to the statistics of its queue. */
void fleet_record_duration(struct fleet *fleet, const struct task *task,
			   int64_t now_us);
/* Stops the other members of a task's gang; no-op unless it is in one. */
void fleet_break_gang(struct fleet *fleet, struct task *task, const char *why);
/*
 * Releases the resources of a run that has ended. Unless the task is done, it
 * waits for its next run, or continues with the run of its copy if that one
 * holds resources.
 */
void fleet_release(struct fleet *fleet, struct task *task);
/*
 * Why a run whose end was not reported is known to be over. Only these release
 * it: a missing answer, registration or listener may also mean a partition
 * behind which the run goes on.
 */
enum run_proof {
	PROOF_NOT_REPORTED, /* whole reports of its worker leave it out */
	PROOF_PROCESS_ENDED, /* its worker's process has been replaced */
	PROOF_NOT_SENT, /* there was no connection for its start */
	PROOF_LEASE_EXPIRED, /* since its latest possible extension */
	PROOF_COUNT
};
bool proof_lease_expired(const struct fleet *fleet, const struct worker *worker,
			 int64_t now_us);
/* Whether a report comes from another incarnation than the one that listed the
 * run. */
bool proof_process_replaced(const struct task *task,
			    const struct hold_report *report);
/*
 * Whether a run that a hold report names neither as running nor as ended is
 * over; sent_us is when the hold call was sent. Notes the first such report.
 */
bool proof_not_reported(struct fleet *fleet, struct task *task,
			const struct hold_report *report, int64_t sent_us,
			int64_t now_us);
/*
 * Releases a run that is over, logs the proof and stops the run's gang. report:
 * the one that leaves the run out, with the time when it was asked for, or NULL.
 */
void fleet_run_lost(struct fleet *fleet, struct task *task,
		    enum run_proof proof, const struct hold_report *report,
		    int64_t sent_us);
void fleet_worker_runs_lost(struct fleet *fleet, struct worker *worker,
			    enum run_proof proof);
/* Handles a reported end of the task's current run. */
void fleet_run_ended(struct fleet *fleet, struct task *task, enum run_end how,
		     int64_t now_us, int64_t wall_ms);
/*
 * Handles the reported end of a run that was done and has been released since.
 * Without effect if the task has a copy, or if a later run of its gang may have
 * begun. A later run of the task alone is stopped if reports had left the run
 * out. It goes on if the lease of the first one had expired: by the platform's
 * rules an end before that does not count when it is read after it.
 */
void fleet_late_done(struct fleet *fleet, struct task *task, int64_t run,
		     int64_t now_us, int64_t wall_ms);
/* run: the task or its copy, which share the checkpoint. */
void fleet_take_checkpoint(struct task *run, const char *checkpoint);

#endif
