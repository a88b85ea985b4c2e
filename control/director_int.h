#ifndef CONTROL_DIRECTOR_INT_H
#define CONTROL_DIRECTOR_INT_H

#include "control/director.h"

/*
 * Shared by the files of the director: director.c (task), director_pass.c
 * (planning passes), director_watch.c (submissions and workers as the store
 * tells them), takeover.c (from an election to the first pass, and back),
 * director_log.c (lines and counters of decisions).
 */

/* A state that an earlier leader stored, until the submissions are read. */
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
/* Makes a pass after so long, or earlier. */
void director_schedule_pass(struct director *director, int64_t delay_us);
/* Begins with passes once all has been read. */
void director_finish_takeover(struct director *director);
/* Stops leading and holding, and forgets the fleet. */
void director_stop(struct director *director);
void director_on_stand_down(void *user, int64_t fence);
void director_log_submission(const struct job *job, const struct kv_item *item);

#endif
