#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "base/list.h"
#include "fleet/config.h"
#include "fleet/job.h"
#include "fleet/speed.h"
#include "fleet/worker.h"

/*
 * The leader's state: jobs, workers and the assignment of tasks to workers. It
 * does no I/O and reads no clock: callers pass now_us, a monotonic time, and
 * wall_ms, a Unix time.
 */

/* How a run ended, as its worker reports it. */
enum run_end {
	RUN_DONE,
	RUN_FAILED, /* through a fault of the task or of the worker */
	RUN_STOPPED, /* on order */
	RUN_LAPSED, /* the lease expired */
	RUN_BROKEN, /* another member of the gang ended */
	RUN_ALONE, /* other members of the gang did not start in time */
	RUN_OTHERWISE, /* in a way that this program does not know */
	RUN_END_COUNT
};

/* Why a worker refused a start. */
enum start_refusal {
	REFUSED_STALE_FENCE, /* it knows the fence token of a later leader */
	REFUSED_STALE_RUN, /* the same or a later run has ended there */
	REFUSED_LEASE_OVER, /* the lease had expired when the order arrived */
	REFUSED_ROOM,
	REFUSED_TICKET,
	REFUSED_UNHEALTHY, /* its health check failed */
	REFUSED_MALFORMED,
	REFUSAL_COUNT
};

/* A running task in a worker's hold report. */
struct run_report {
	char *task;
	int64_t run;
	char *checkpoint; /* empty: none */
	int percent;
	int64_t load;
};

/* An end of a run in a worker's hold report. */
struct end_report {
	int64_t number;
	char *task;
	int64_t run;
	enum run_end how;
	char *checkpoint;
};

/* The answer to a hold call: what runs on the worker, and the oldest ends that
 * were not acknowledged. */
struct hold_report {
	struct run_report *running;
	size_t nrunning;
	struct end_report *ended;
	size_t nended;
	/* More ends may follow: the worker lists a limited number at a time. */
	bool truncated;
	int64_t born_ms; /* incarnation that reports, 0: not known */
};

/* Time limits of the platform's contract that scheduling must keep. */
struct fleet_bounds {
	int64_t max_hold_ms;
	int64_t stop_ms;
	int64_t reclaim_ms;
	int64_t status_ms;
	int64_t save_ms;
	int64_t restore_ms;
	/* From an operator's request to evacuate a data centre on, after which
	 * no run may begin there; 0: data centres are not evacuated. */
	int64_t evac_ms;
};

/* Measured durations of the tasks of a queue. */
struct queue_stats {
	char *name;
	double mean_ms; /* of a task; recent ones weigh more */
	double samples;
};

/* What shows that a run whose end was not reported is over. */
struct run_release {
	const char *proof;
	const struct hold_report *report; /* that leaves it out, or NULL */
	int64_t report_sent_us; /* when the report was asked for */
};

struct fleet_ops {
	/* Logs a scheduling event of a job. */
	void (*note)(void *user, const char *event, const struct job *job,
		     const struct task *task, const char *why);
	/* Logs the release of a run, which still has its worker. */
	void (*released)(void *user, const struct task *task,
			 const struct run_release *release);
	/*
	 * Logs that a worker lists a run that no task holds. task: the one of
	 * that name, or NULL.
	 */
	void (*unheld)(void *user, const struct worker *worker,
		       const struct run_report *run, const struct task *task);
	/*
	 * Logs that the remaining workers, with gpus accelerators, can't hold a
	 * customer's guarantee, or can again.
	 */
	void (*guarantee)(void *user, const char *customer, int64_t guaranteed,
			  int64_t gpus, bool servable);
	/* Logs that a worker has become unreachable. */
	void (*lost)(void *user, const struct worker *worker, int64_t now_us);
	/*
	 * Logs a run whose time tells nothing of its worker's speed. Optional.
	 * left_out: such runs of the worker since the latest line.
	 */
	void (*odd_run)(void *user, const struct task *task, int64_t ms,
			const char *why, int left_out);
	/*
	 * Logs that a worker's class of speed has changed, or, with worker
	 * NULL, whether speeds are uneven. Optional.
	 */
	void (*speed_changed)(void *user, const struct worker *worker);
};

struct evacuation;

struct fleet {
	const struct fleet_ops *ops;
	void *user;
	struct fleet_bounds bounds;
	const struct config *config; /* borrowed */
	/* See fleet/evacuation.h; borrowed, NULL: there are no evacuations. */
	const struct evacuation *evacuation;
	GHashTable *unservable; /* names of customers, see there */
	struct list_head jobs;
	GHashTable *jobs_by_id;
	struct list_head workers;
	GHashTable *workers_by_id; /* the current incarnation of each */
	struct list_head dirty; /* jobs with changes not in the store yet */
	struct speed_model speed;
	GHashTable *stats; /* queue name -> struct queue_stats */
	uint64_t change; /* number of the latest change */
	/* Until when an earlier leader may have extended leases. */
	int64_t extended_until_us;
	/* Counters for metrics. */
	uint64_t preempted;
	uint64_t moved;
	uint64_t lapsed;
	uint64_t banned;
	uint64_t unheld;
};

void fleet_init(struct fleet *fleet, const struct fleet_ops *ops, void *user);
void fleet_finish(struct fleet *fleet);
void fleet_set_config(struct fleet *fleet, const struct config *config);

/* Jobs. */

/* Takes ownership of a job, whose id must be new. */
void fleet_add_job(struct fleet *fleet, struct job *job);
struct job *fleet_job(const struct fleet *fleet, const char *id);
void fleet_cancel(struct fleet *fleet, struct job *job, int64_t wall_ms);
/*
 * Creates the stages of the occurrences that are due, of each job as many as
 * its record has room for, and frees those that are over.
 */
void fleet_open_due(struct fleet *fleet, int64_t now_us, int64_t wall_ms);
/* Frees a job that holds no resources. */
void fleet_remove_job(struct fleet *fleet, struct job *job);
/* Marks the job's record as to be stored; returns the number of the change. */
uint64_t fleet_mark_changed(struct fleet *fleet, struct job *job);
/* Returns the number up to which all changes are in the store. */
uint64_t fleet_stored_change(const struct fleet *fleet);
/* Counts the jobs of a queue of which no task has started yet. */
int64_t fleet_count_waiting(const struct fleet *fleet, const char *queue);
bool fleet_job_holds_room(const struct job *job);

/* Workers. */

/*
 * Moves the contents of report into the worker and clears report. Returns the
 * worker's current incarnation.
 */
struct worker *fleet_update_worker(struct fleet *fleet,
				   struct worker_report *report,
				   int64_t now_us);
/*
 * A later incarnation, not registered yet, has answered a call, at the time
 * clock_ms of its own clock.
 */
void fleet_worker_restarted(struct fleet *fleet, struct worker *worker,
			    int64_t born_ms, int64_t clock_ms, int64_t now_us);
/* The worker's registration has disappeared from the store. */
void fleet_unlist(struct fleet *fleet, const char *id, int64_t now_us);
/* Clears the cordons of all workers, before they are derived anew. */
void fleet_uncordon_all(struct fleet *fleet);
/* The incarnation has ended, and so have all its runs. */
void fleet_worker_ended(struct fleet *fleet, struct worker *worker);
/*
 * Reports workers that became unreachable, releases the tasks of those whose
 * lease has expired or that have left, and frees those that are gone.
 */
void fleet_expire(struct fleet *fleet, int64_t now_us);

/* Runs. */

/* Assigns the task to a worker for the run with the given number. */
void fleet_plan_run(struct fleet *fleet, struct task *task,
		    struct worker *worker, int64_t run);
/* No earlier leader has extended a lease after stopped_us. */
void fleet_earlier_leaders_stopped(struct fleet *fleet, int64_t stopped_us);
/* When the worker's lease has expired, whichever leader extended it last. */
int64_t fleet_lease_end_us(const struct fleet *fleet,
			   const struct worker *worker);
/*
 * Returns the worker on which an earlier leader started a run. It is created
 * if it is not registered.
 */
struct worker *fleet_adopt_worker(struct fleet *fleet, const char *id,
				  int64_t born_ms, int64_t now_us);
/* Adopts a run read from the store; whether it still runs is unknown. */
void fleet_adopt_run(struct fleet *fleet, struct task *task,
		     struct worker *worker);
void fleet_run_started(struct fleet *fleet, struct task *task, int64_t now_us);
void fleet_run_refused(struct fleet *fleet, struct task *task,
		       enum start_refusal why, int64_t now_us);
/* Stops a run, and the other members if it is one of a gang. */
void fleet_stop(struct fleet *fleet, struct task *task, const char *why);
void fleet_stop_answered(struct fleet *fleet, struct task *task,
			 int64_t now_us);
/*
 * Releases the run if no start of it has been sent, which shows that it is not
 * there. Returns whether it did; the gang is then stopped.
 */
bool fleet_release_unsent(struct fleet *fleet, struct task *task);
/* Applies the answer to a hold call that was sent at sent_us. */
void fleet_handle_hold(struct fleet *fleet, struct worker *worker,
		       const struct hold_report *report, int64_t sent_us,
		       int64_t now_us, int64_t wall_ms);
/*
 * When a run that a report has left out is to be asked for again; only a report
 * that is asked for from then on counts as another one.
 */
int64_t fleet_missing_again_us(const struct fleet *fleet,
			       const struct task *task);
/* Returns the highest end number of which the effect is in the store. */
int64_t fleet_ends_stored(struct fleet *fleet, struct worker *worker);
/*
 * Returns the highest end number that a hold call may acknowledge now, 0 for
 * none: only ends of the life that has reported them.
 */
int64_t fleet_ends_acknowledged(struct fleet *fleet, struct worker *worker);
/*
 * Whether the ends that are stored can't be acknowledged yet, and a report that
 * is asked for now may change that.
 */
bool fleet_life_needs_report(struct fleet *fleet, struct worker *worker);
/* Estimated duration of a task: declared value and measured mean combined. */
double fleet_expected_ms(const struct fleet *fleet, const struct stage *stage);
/* Whether the task waits for a run: it is no copy and holds no resources. */
bool task_restartable(const struct task *task);

#endif
