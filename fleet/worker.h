#ifndef FLEET_WORKER_H
#define FLEET_WORKER_H

#include "base/list.h"
#include "fleet/job.h"
#include "fleet/spec.h"

/* What a worker says of itself in the store. */
struct worker_report {
	char *id;
	int64_t born_ms; /* start of this life, Unix time */
	char *pool;
	char addr[48];
	int port;
	char *dc;
	char *kind; /* or NULL */
	char *rack; /* or NULL */
	char **labels; /* NULL-terminated, kind and rack included */
	struct room room; /* of the whole worker */
	bool draining;
	int64_t remaining_ms; /* while it drains: at least so long, 0: unknown */
	int64_t clock_ms; /* its own clock when it wrote the report */
};

void worker_report_finish(struct worker_report *report);

/* An end that the worker listed, until the store knows what it means. */
struct worker_end {
	int64_t number;
	uint64_t change;
};

/*
 * One life of a worker. All runs there share one lease, which ends at a time
 * of the worker's clock. Its clock may be slow by LEASE_DRIFT.
 */
struct worker {
	struct list_head node; /* in fleet.workers */
	struct worker_report said;
	struct room used;
	struct list_head tasks; /* that hold room here */
	int task_count;
	bool listed; /* its entry is in the store */
	bool replaced; /* a later life of it has been seen */
	int64_t unlisted_us;
	int64_t draining_us; /* when it was first seen draining, 0: it isn't */
	/* A sample of its clock. */
	int64_t clock_ms;
	int64_t clock_us; /* when the sample had arrived */
	int64_t lease_end_us; /* by then all that was ordered has lapsed */
	/* By then all that earlier leaders may have ordered has lapsed. */
	int64_t adopted_lease_end_us;
	/* Contact. */
	bool fenced; /* has answered a call of this leader */
	int64_t heard_us; /* latest answer, 0: none */
	int silent; /* calls without answer since then */
	int64_t silent_us; /* since when */
	bool lost; /* silent for longer than is tolerated */
	int refusals; /* connections refused in a row: nobody listens there */
	int64_t next_hold_us;
	bool holding; /* a hold call that waits is under way */
	bool poll_pending; /* another one that does not wait */
	int64_t hold_sent_us; /* the latest of them */
	int64_t acked; /* the highest end that the worker was told to forget */
	int64_t end_seen; /* highest number of an end that was processed */
	int64_t last_end_stored; /* the highest that the store knows the meaning of */
	GArray *ends; /* struct worker_end, by number */
	/* Trust. */
	int failure_streak; /* failures since the last success */
	int64_t banned_until_us;
	int64_t ban_us; /* length of the next ban */
	const struct job *last_failed_job; /* only compared */
	/* Pace of the tasks that fill, and since when it is that. */
	int fill_pace_percent;
	int64_t fill_pace_since_us;
	int64_t serving_ok_since_us; /* the serving tasks have been well since then */
	/* Is to be emptied for upkeep; gets no new tasks. */
	bool cordoned;
	/* Set during a planning pass. */
	struct stage *reserved_for;
	int64_t busy_until_us; /* estimate of when its room is free */
};

#define LEASE_DRIFT_PERCENT \
	2 /* clocks of workers, by the platform's contract */

struct worker *worker_new(void);
void worker_free(struct worker *worker);
struct room worker_free_room(const struct worker *worker);
bool worker_has_label(const struct worker *worker, const char *label);
/* What a task takes of its worker; tasks that fill take no processor time. */
struct room task_room(const struct task *task);
/* That room is taken or given back. */
void worker_assign(struct worker *worker, struct task *task);
void worker_unassign(struct task *task);
void worker_set_clock(struct worker *worker, int64_t clock_ms, int64_t now_us);
/*
 * The lease to state in an order that is sent now: hold_ms from now on the
 * worker's clock. Remembers when the lease will surely be over.
 */
int64_t worker_extend_lease(struct worker *worker, int64_t hold_ms,
			    int64_t now_us);
/* The latest lease that was stated, without extending it. */
bool worker_reachable(const struct worker *worker, int64_t now_us);
/* Tasks of a stage that hold room at the worker. */
int worker_count(const struct worker *worker, const struct stage *stage);

#endif
