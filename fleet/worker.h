#ifndef FLEET_WORKER_H
#define FLEET_WORKER_H

#include "base/list.h"
#include "fleet/job.h"
#include "fleet/spec.h"

/* A worker's registration in the store, as the worker wrote it. */
struct worker_report {
	char *id;
	int64_t born_ms; /* start of this incarnation, Unix time */
	char *pool;
	char addr[48];
	int port;
	char *dc;
	char *kind; /* or NULL */
	char *rack; /* or NULL */
	char **labels; /* NULL-terminated, kind and rack included */
	struct room room; /* total resources of the worker */
	bool draining;
	int64_t remaining_ms; /* lower bound while draining, 0: unknown */
	int64_t clock_ms; /* the worker's clock when it wrote this */
};

void worker_report_finish(struct worker_report *report);

/* A reported end of a run whose effect is not in the store yet. */
struct worker_end {
	int64_t number;
	uint64_t change; /* once this change is stored, so is the effect */
};

/* What an upkeep that is ahead of the worker's host means for new tasks. */
enum worker_upkeep {
	WORKER_STAYS,
	WORKER_DRAINS, /* gets tasks only if no other worker has room */
	WORKER_CLOSED, /* gets no tasks */
};

enum speed_class { SPEED_TYPICAL, SPEED_SLOW, SPEED_FAST };

/* How fast a worker runs tasks, see fleet/speed.h. */
struct worker_speed {
	enum speed_class class; /* typical as well while it is not known */
	double relative; /* to the typical worker, 0: no estimate */
	double log; /* logarithm of it */
	double weight; /* inverse variance of log, 0: no estimate */
	/* What earlier incarnations, leaders and samples tell. */
	double prior;
	double prior_weight; /* 0: nothing */
	int64_t prior_us; /* when it was updated */
	GArray *samples; /* struct speed_sample, oldest first, or NULL */
	bool changed; /* it has new samples since the last fit */
	/* As the leader's record has it; weight 0: it has not. */
	double stored_log;
	double stored_weight;
	int64_t odd_us; /* latest log line of an odd run, 0: none */
	int odd_left_out; /* odd runs since then */
};

/*
 * One incarnation of a worker: from a start of the process to its end. All its
 * runs share one lease, whose end is a time of the worker's own clock. That
 * clock may be slow by LEASE_DRIFT_PERCENT.
 */
struct worker {
	struct list_head node; /* in fleet.workers */
	struct worker_report reported; /* its latest registration */
	struct room used; /* resources held by tasks */
	struct list_head tasks; /* that hold resources of the worker */
	int task_count;
	struct list_head orphans; /* runs that no task holds, fleet/orphan.h */
	/* When the latest end of a run was read; earlier reports are outdated. */
	int64_t end_read_us;
	bool listed; /* it is registered in the store */
	bool replaced; /* a later incarnation has been seen */
	int64_t unlisted_us; /* when its registration disappeared */
	/* When its remaining_ms was first seen, 0: it has not been draining. */
	int64_t draining_us;
	/* The latest sample of the worker's clock. */
	int64_t clock_ms;
	int64_t clock_us; /* when the sample arrived */
	/* All orders of this leader have expired by then. */
	int64_t lease_end_us;
	bool adopted; /* earlier leaders may have extended its lease */
	/* Contact. */
	bool fenced; /* it knows this leader's fence token */
	int64_t heard_us; /* latest answer, 0: none */
	/* When it renewed its registration under this leader, 0: not yet. One
	 * that was only found there may be of a worker that has ended. */
	int64_t renewed_us;
	/*
	 * When it registered while this leader had no contact with it, 0: it has
	 * not. It gets no tasks before it answers: a registration that a cut has
	 * held up arrives when the cut is over, also of a worker that has ended.
	 */
	int64_t registered_us;
	/* Where it answered last, empty: nowhere yet. */
	char heard_addr[48];
	int heard_port;
	int unanswered_calls; /* since the latest answer */
	int64_t unanswered_since_us; /* time of the first of these calls */
	bool unreachable; /* unanswered for UNREACHABLE_AFTER_MS; logged */
	/* When a call last went unanswered, and when it last became
	 * unreachable; 0: never. */
	int64_t unanswered_us;
	int64_t unreachable_us;
	int refusals; /* connections refused in a row */
	int calls; /* orders sent that have no answer yet */
	/* Until then orders go out one by one, as it takes no new connection. */
	int64_t one_by_one_until_us;
	int64_t next_hold_us;
	bool holding; /* a hold call that waits for an end is pending */
	bool poll_pending; /* a hold call that does not wait is pending */
	int64_t hold_sent_us; /* when the latest hold call was sent */
	/* When the latest hold call that this life has answered was sent. */
	int64_t confirmed_us;
	/* Highest end number of which the acknowledgement was answered. */
	int64_t acked;
	int64_t end_seen; /* highest end number processed */
	int64_t last_end_stored; /* highest end number whose effect is stored */
	GArray *ends; /* struct worker_end, by number */
	struct worker_speed speed;
	/* Health. */
	int failure_streak; /* failures since the last success */
	int64_t banned_until_us;
	int64_t ban_us; /* length of the next ban */
	const struct job *last_failed_job; /* compared only, may dangle */
	/* Pace of best-effort tasks, and since when it is in effect. */
	int fill_pace_percent;
	int64_t fill_pace_since_us;
	/* Since when serving tasks are well within their latency targets. */
	int64_t serving_ok_since_us;
	/*
	 * Its lent host is being returned: it gets no new tasks. Derived anew
	 * in each pass, so that it ends with its cause.
	 */
	bool cordoned;
	enum worker_upkeep upkeep; /* set by fleet/upkeep.c */
	/* Set during a planning pass. */
	struct stage *reserved_for;
	int64_t busy_until_us; /* estimated time at which its room is free */
};

#define LEASE_DRIFT_PERCENT \
	2 /* worst drift of a worker's clock by the platform's contract */

struct worker *worker_new(void);
void worker_free(struct worker *worker);
struct room worker_free_room(const struct worker *worker);
bool worker_has_label(const struct worker *worker, const char *label);
/* Resources that a task holds, for best-effort tasks no processor time. */
struct room task_room(const struct task *task);
/* Assigns a task to a worker; its resources are held until it is removed. */
void worker_assign(struct worker *worker, struct task *task);
void worker_unassign(struct task *task);
/* Stores a sample of the worker's clock that arrived at now_us. */
void worker_set_clock(struct worker *worker, int64_t clock_ms, int64_t now_us);
/*
 * Whether the clock of a registration tells more than the latest sample,
 * although the registration is older than its arrival: workers without tasks
 * are not called, and the doubt about their clocks grows by the drift.
 */
bool worker_needs_clock(const struct worker *worker, int64_t now_us);
/*
 * Extends the lease to hold_ms from now and returns its end on the worker's
 * clock, to be sent with an order. Updates lease_end_us, the time by which the
 * lease has expired even if the worker's clock is slow.
 */
int64_t worker_extend_lease(struct worker *worker, int64_t hold_ms,
			    int64_t now_us);
/* False once calls have had no answer for UNREACHABLE_AFTER_MS. */
bool worker_reachable(const struct worker *worker, int64_t now_us);
/* Whether this leader has had a sign of life of the worker. */
bool worker_seen_alive(const struct worker *worker);
/* Whether it has to answer before it gets tasks. */
bool worker_unverified(const struct worker *worker);
/* Its registration has appeared, and is not known to be recent. */
void worker_registered(struct worker *worker, int64_t now_us);
/* Counts the tasks of a stage that hold resources of the worker. */
int worker_count(const struct worker *worker, const struct stage *stage);

#endif
