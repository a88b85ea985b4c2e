#ifndef POLICY_WH_H
#define POLICY_WH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"

enum wh_state { WH_GOOD, WH_QUARANTINED, WH_TRIAL };

/* What is known of one worker. */
struct wh_worker {
	enum wh_state state;
	/* Jobs that failed here since the last success, by number. */
	uint64_t blame[WORKER_BAD_JOBS];
	int blame_count;
	int64_t until_us; /* end of the quarantine */
	int64_t delay_us; /* of the next one */
	uint64_t trial; /* job on probation, 0 for none */
};

/* What is known of one job. */
struct wh_job {
	int failed_on[JOB_HOPELESS_WORKERS];
	int failed_count;
	int failures;
	bool hopeless;
};

struct wh {
	struct wh_worker *workers;
	int worker_count;
	int quarantined;
	int trials; /* workers on probation */
};

void wh_init(struct wh *wh, int workers);
void wh_finish(struct wh *wh);
void wh_add_workers(struct wh *wh, int workers);
bool wh_failed(struct wh *wh, struct wh_job *job, uint64_t id, int worker,
	       int64_t now_us);
bool wh_succeeded(struct wh *wh, uint64_t id, int worker);
bool wh_tick(struct wh *wh, int worker, int64_t now_us);
bool wh_usable(const struct wh *wh, int worker);
bool wh_trial_started(struct wh *wh, uint64_t id, int worker);
bool wh_trial_ended(struct wh *wh, uint64_t id, int worker);
bool wh_avoid(const struct wh_job *job, int worker);

#endif
