#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "base/list.h"
#include "fleet/config.h"
#include "fleet/job.h"
#include "fleet/worker.h"

/*
 * All that the leader knows: jobs, workers, and what runs where. It does no
 * input or output and reads no clock; now_us is steady, wall_ms Unix time.
 */

/* How a run ended, as its worker lists it. */
enum run_end {
	RUN_DONE,
	RUN_FAILED, /* its own fault or the worker's */
	RUN_STOPPED, /* ordered */
	RUN_LAPSED, /* the lease ran out */
	RUN_BROKEN, /* another member of the gang ended */
	RUN_ALONE, /* other members of the gang did not come */
	RUN_END_COUNT
};

/* Why a worker refused a start. */
enum start_refusal {
	REFUSED_STALE_FENCE, /* it has heard of a later leader */
	REFUSED_STALE_RUN, /* a run that is not lower has ended there */
	REFUSED_LEASE_OVER, /* the lease was over when the order arrived */
	REFUSED_ROOM,
	REFUSED_TICKET,
	REFUSED_UNHEALTHY, /* it is not healthy */
	REFUSED_MALFORMED,
	REFUSAL_COUNT
};

/* A run that a worker lists. */
struct run_report {
	char *task;
	int64_t run;
	char *checkpoint; /* empty: none */
	int percent;
	int64_t load;
};

struct end_report {
	int64_t number;
	char *task;
	int64_t run;
	enum run_end how;
	char *checkpoint;
};

/* What a worker answers to a hold call. */
struct hold_report {
	struct run_report *running;
	size_t nrunning;
	struct end_report *ended;
	size_t nended;
};

/* Bounds of the platform's contract that the decisions follow. */
struct fleet_bounds {
	int64_t max_hold_ms;
	int64_t stop_ms;
	int64_t reclaim_ms;
	int64_t status_ms;
	int64_t save_ms;
	int64_t restore_ms;
};

/* What was learned of the tasks of a queue. */
struct queue_stats {
	char *name;
	double mean_ms; /* duration of a task, weighted towards recent ones */
	double samples;
};

struct fleet_ops {
	/* One line of the log about a job's decision. */
	void (*note)(void *user, const char *event, const struct job *job,
		     const struct task *task, const char *why);
	/* One line of the log: the worker is not reached any more. */
	void (*lost)(void *user, const struct worker *worker, int64_t now_us);
};

struct fleet {
	const struct fleet_ops *ops;
	void *user;
	struct fleet_bounds bounds;
	const struct config *config; /* borrowed */
	struct list_head jobs;
	GHashTable *jobs_by_id;
	struct list_head workers;
	GHashTable *workers_by_id; /* the current life of each */
	struct list_head dirty; /* jobs with changes that are not stored */
	GHashTable *stats; /* queue name -> struct queue_stats */
	uint64_t change; /* number of the latest change */
	/* For so long after its election the last leader may still hold work. */
	int64_t old_leader_hold_ms;
	/* Totals for metrics. */
	uint64_t preempted;
	uint64_t moved;
	uint64_t lapsed;
	uint64_t banned;
};

void fleet_init(struct fleet *fleet, const struct fleet_ops *ops, void *user);
void fleet_finish(struct fleet *fleet);
void fleet_set_config(struct fleet *fleet, const struct config *config);

/* Jobs. */

/* Takes the job over; it must not be known yet. */
void fleet_add_job(struct fleet *fleet, struct job *job);
struct job *fleet_job(const struct fleet *fleet, const char *id);
void fleet_cancel(struct fleet *fleet, struct job *job, int64_t wall_ms);
/* Opens the occurrences that are due. */
void fleet_open_due(struct fleet *fleet, int64_t now_us, int64_t wall_ms);
/* Forgets a job that holds no room. */
void fleet_remove_job(struct fleet *fleet, struct job *job);
/* A change that has to be stored. Returns its number. */
uint64_t fleet_mark_changed(struct fleet *fleet, struct job *job);
/* All changes up to the one returned are in the store. */
uint64_t fleet_stored_change(const struct fleet *fleet);
/* Jobs of a queue that wait for their first start. */
int64_t fleet_count_waiting(const struct fleet *fleet, const char *queue);
bool fleet_job_holds_room(const struct job *job);

/* Workers. */

/* Takes the contents of report over. Returns the worker's current life. */
struct worker *fleet_update_worker(struct fleet *fleet,
				   struct worker_report *report,
				   int64_t now_us);
/* An answer came from a later life that has no entry yet. */
void fleet_worker_restarted(struct fleet *fleet, struct worker *worker,
			    int64_t born_ms, int64_t now_us);
/* The worker's entry is gone from the store. */
void fleet_unlist(struct fleet *fleet, const char *id, int64_t now_us);
/* The life is over: nothing runs there any more. */
void fleet_worker_ended(struct fleet *fleet, struct worker *worker);
/* Lapsed leases, lives that are over, bans. Frees workers that are gone. */
void fleet_expire(struct fleet *fleet, int64_t now_us);

/* Runs. */

/* Chooses the worker and the number of the next run. */
void fleet_plan_run(struct fleet *fleet, struct task *task,
		    struct worker *worker, int64_t run);
/* The last leader has said that it holds nothing any more. */
void fleet_old_leader_stopped(struct fleet *fleet);
/*
 * The worker at which an earlier leader started a run, made up if it has no
 * entry. By its adopted_lease_end_us all that was ordered there before has lapsed.
 */
struct worker *fleet_adopt_worker(struct fleet *fleet, const char *id,
				  int64_t born_ms, int64_t now_us);
/* Adopts a run from the store whose state is unknown. */
void fleet_adopt_run(struct fleet *fleet, struct task *task,
		     struct worker *worker);
void fleet_run_started(struct fleet *fleet, struct task *task, int64_t now_us);
void fleet_run_refused(struct fleet *fleet, struct task *task,
		       enum start_refusal why, int64_t now_us);
/* Gives a run up; it is stopped, and the rest of its gang too. */
void fleet_stop(struct fleet *fleet, struct task *task, const char *why);
void fleet_stop_answered(struct fleet *fleet, struct task *task,
			 int64_t now_us);
/* sent_us: when the hold call was sent. */
void fleet_handle_hold(struct fleet *fleet, struct worker *worker,
		       const struct hold_report *report, int64_t sent_us,
		       int64_t now_us, int64_t wall_ms);
/* The highest end of which the store knows the meaning. */
int64_t fleet_ends_stored(struct fleet *fleet, struct worker *worker);
/* The most likely duration of a task of a stage. */
double fleet_expected_ms(const struct fleet *fleet, const struct stage *stage);
/* Whether the run has to be started again after it had ended. */
bool task_restartable(const struct task *task);

#endif
