#ifndef CONTROL_DIRECTOR_INT_H
#define CONTROL_DIRECTOR_INT_H

#include "control/director.h"

/*
 * Shared by the files of the director: director.c (task), director_pass.c
 * (planning passes), director_watch.c (watches submissions and workers'
 * reports in the store), takeover.c (from an election to the first pass, and
 * the end of the leadership), director_log.c (log lines and metrics of
 * decisions).
 */

/*
 * A job's state as an earlier leader stored it, kept until the submissions
 * have been read.
 */
struct stored_state {
	char *id;
	char *data;
	size_t len;
	int64_t revision;
};

extern const struct fleet_ops director_fleet_ops;
extern const struct orders_ops director_orders_ops;
extern const struct ledger_ops director_ledger_ops;
extern const struct mirror_ops director_intake_ops;
extern const struct mirror_ops director_workers_ops;
extern const struct leader_ops director_leader_ops;

/* Unix time in milliseconds. */
int64_t director_wall_ms(void);
/* Gives the fleet the bounds of the settings. */
void director_apply_bounds(struct director *director);
/* Schedules a pass after at most delay_us. */
void director_schedule_pass(struct director *director, int64_t delay_us);
/*
 * Applies the stored states and starts the passes once workers, submissions
 * and states have been read. Without effect before and afterwards.
 */
void director_finish_takeover(struct director *director);
/* Stops leading, stops renewing leases, and frees the fleet. */
void director_stop(struct director *director);
/*
 * Another host leads with this fence and asks for the end of renewals. Returns
 * since when this process extends no lease, or -1 if it leads with a later
 * fence.
 */
int64_t director_on_release_request(void *user, int64_t fence);
void director_log_submission(const struct job *job, const struct kv_item *item);

#endif
