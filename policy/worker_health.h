#ifndef POLICY_WORKER_HEALTH_H
#define POLICY_WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"

enum worker_health_state {
	WORKER_HEALTH_GOOD,
	WORKER_HEALTH_QUARANTINED, /* takes no jobs */
	WORKER_HEALTH_PROBATION /* takes one job at a time */
};

/* State and recent failures of one worker. */
struct worker_health_worker {
	enum worker_health_state state;
	/* Numbers of the jobs that failed here since the last success. */
	uint64_t failed_jobs[WORKER_BAD_JOBS];
	int failed_job_count;
	int64_t until_us; /* end of the quarantine */
	int64_t delay_us; /* length of the next quarantine */
	uint64_t trial; /* job that it runs on probation, 0: none */
};

/* Failures of one job. */
struct worker_health_job {
	int failed_on[JOB_HOPELESS_WORKERS];
	int failed_count;
	int failures;
	bool hopeless; /* has failed too often, and is to be ended */
};

struct worker_health {
	struct worker_health_worker *workers;
	int worker_count;
	int quarantined; /* workers in quarantine */
	int on_probation; /* workers on probation */
};

void worker_health_init(struct worker_health *wh, int workers);
void worker_health_finish(struct worker_health *wh);
void worker_health_add_workers(struct worker_health *wh, int workers);
bool worker_health_failed(struct worker_health *wh,
			  struct worker_health_job *job, uint64_t id,
			  int worker, int64_t now_us);
bool worker_health_succeeded(struct worker_health *wh, uint64_t id, int worker);
bool worker_health_tick(struct worker_health *wh, int worker, int64_t now_us);
bool worker_health_usable(const struct worker_health *wh, int worker);
bool worker_health_trial_started(struct worker_health *wh, uint64_t id,
				 int worker);
bool worker_health_trial_ended(struct worker_health *wh, uint64_t id,
			       int worker);
bool worker_health_avoid(const struct worker_health_job *job, int worker);

#endif
