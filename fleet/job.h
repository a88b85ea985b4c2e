#ifndef FLEET_JOB_H
#define FLEET_JOB_H

#include "base/list.h"
#include "fleet/spec.h"

/*
 * The leader's state of jobs. A job has one stage for each step of each
 * occurrence that is due, and a stage has tasks. A task has at most one run at
 * a time. It holds resources of the run's worker until the run is known to
 * have ended. A speculative task may have a copy: a second, concurrent run of
 * the same task on another worker, with its own orders and resources.
 */

struct worker;
struct speed_stage;
struct stage;
struct job;

enum task_phase {
	TASK_WAITING, /* holds no resources */
	TASK_PLANNED, /* assigned to a worker, not yet written to the store */
	TASK_STARTING, /* start ordered, not confirmed by the worker */
	TASK_RUNNING,
	TASK_STOPPING, /* stop ordered, still holds resources */
	TASK_DONE, /* holds resources until its worker has reported the end */
};

struct task {
	struct stage *stage;
	int index;
	struct task *copy; /* NULL unless a second run was ever started */
	struct task *original; /* of a copy, or NULL */
	enum task_phase phase;
	int64_t run; /* number of the latest run, 0: none */
	int fails; /* failed runs */
	int stalls; /* runs stopped as they made no progress; not of a gang */
	bool failed_last; /* the latest run failed */
	char *checkpoint; /* the newest, or NULL */
	struct worker *worker; /* whose resources it holds, or NULL */
	struct list_head on_worker; /* in worker.tasks */
	uint64_t change; /* number of the change that assigned the worker */
	/* Orders. */
	bool unconfirmed; /* read from the store, or an order got no answer */
	bool start_pending; /* a start order has no result yet */
	bool sent; /* a start of the run may have reached its worker */
	int64_t missed_run; /* the latest that reports left out, 0: none */
	/* Start time of the incarnation that has listed the run, 0: none has. */
	int64_t life_ms;
	int tries; /* of the pending order */
	bool calling; /* an order is pending */
	bool stop_sent; /* the pending order is a stop */
	int64_t retry_us; /* no order is sent before that */
	int64_t uncertain_us; /* when the latest start had no answer, 0: never */
	int64_t answered_us; /* when the latest order was answered, 0: never */
	/* Reports in a row that leave the run out, and when the latest arrived. */
	int missing;
	int64_t missing_us;
	char *ticket; /* permission to start on the worker, or NULL */
	int pace_percent; /* ordered share of its speed, 100: full */
/* An earlier leader may have ordered any pace. */
#define TASK_PACE_UNKNOWN (-1)
	bool pace_pending; /* a pace order is pending */
	/* Progress, from the worker's hold reports. */
	int64_t started_us; /* when the start was confirmed */
	int percent;
	int64_t progress_us; /* when percent last changed */
	int first_percent; /* in the first report of the run */
	int64_t first_report_us;
	bool resumed; /* the run may have begun from a checkpoint */
	int64_t speed_id; /* of the run's sample, see fleet/speed.h; 0: none */
	int64_t load; /* approximate, over the last half second */
	const struct worker *failed_at; /* compared only, may dangle */
};

enum stage_state {
	STAGE_BLOCKED, /* some step that it depends on is not done */
	STAGE_OPEN,
	STAGE_DONE,
};

struct stage {
	struct job *job;
	const struct step_spec *spec;
	int occurrence;
	int step;
	enum stage_state state;
	int left; /* tasks that are not done */
	int holding; /* tasks that hold resources */
	int fails; /* failed runs of a gang */
	int stalls; /* runs of a gang stopped as they made no progress */
	int64_t fail_run; /* the latest run of the gang counted in fails */
	int64_t opened_us;
	int64_t began_us; /* when all its tasks were first placed, 0: not yet */
	/* Since when one of its tasks fits on no worker, 0: all are placed. */
	int64_t unplaced_since_us;
	/* Workers being freed for its gang; NULL-terminated, or NULL. */
	struct worker **reserved;
	int64_t reserved_us;
	/* Its gang is among the victims of the preemption being planned. */
	bool preempting;
	GHashTable *grants; /* of the advice service, see fleet/advice.h */
	/* Earliest time of the next advice question, 0: none was sent yet. */
	int64_t asked_us;
	struct speed_stage *speed; /* its effect on rates; NULL: no sample */
	struct task *tasks; /* spec->count of them */
};

enum job_phase { JOB_QUEUED, JOB_RUNNING, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

struct job {
	struct list_head node; /* in fleet.jobs */
	struct list_head dirty; /* in fleet.dirty */
	char *id;
	char *queue;
	char *pool;
	char *customer; /* empty for a queue that needs no key */
	/* See record.h; NULL for a job that was handed in without a key. */
	char *key_digest;
	int priority;
	int attempts;
	double stretch;
	int64_t slo_ms;
	int64_t accepted_ms; /* Unix time of the submission */
	int64_t arrived_us; /* the same on this host's monotonic clock */
	struct job_spec spec;
	enum job_phase phase;
	bool speculative; /* some of its tasks may have copies */
	bool advised; /* the advice service must permit each worker */
	bool cancelled;
	bool started; /* at least one task has started */
	int64_t ended_ms; /* Unix time, 0: not ended */
	/* This leader has found the end in the store, and when. */
	bool end_stored;
	int64_t end_stored_us;
	/*
	 * struct stage: of each occurrence that is open all steps, in order. It
	 * grows with these only, not with those that are over.
	 */
	GPtrArray *stages;
	int64_t occurrences; /* the total */
	int64_t due; /* occurrences that have become due */
	int64_t over; /* occurrences of which all tasks are done */
	int64_t closed; /* all occurrences before it are over and freed */
	uint64_t first_change; /* oldest change not in the store, 0: none */
	uint64_t last_change;
	bool writing; /* a write of its record is pending */
	int64_t spec_rev; /* revision of its stored submission */
	int64_t record_rev; /* revision of its stored record, 0: none */
	/* Whether its customer's guarantee covers it, as of the last pass. */
	bool guaranteed;
	double slack_ms; /* see order_slack_ms() */
	int64_t slack_at_us; /* when it was computed */
	/* Sort keys of the queue. */
	double rank;
	double work; /* declared core-milliseconds */
};

/* Moves the contents of spec into the job and clears spec. */
struct job *job_new(const char *id, struct job_spec *spec);
void job_free(struct job *job);
bool job_ended(const struct job *job);
/* Returns NULL when the occurrence is not open. */
struct stage *job_stage(const struct job *job, int64_t occurrence, int step);
/* Creates the stages of the next occurrence; false if there is none. */
bool job_open_occurrence(struct job *job, int64_t now_us);
/*
 * Creates the stages of an occurrence that has become due before, if they are
 * not there. Returns false if it has not.
 */
bool job_reopen_occurrence(struct job *job, int64_t occurrence);
/*
 * Frees the oldest occurrences that are over and hold no resources. What is
 * left is what the job's record contains.
 */
void job_close_occurrences(struct job *job);
/* Whether another occurrence may be open beside those that are. */
bool job_may_open(const struct job *job);
/* Unix time of the next occurrence, INT64_MAX if there is none. */
int64_t job_next_due_ms(const struct job *job);
/* Opens the blocked stages whose dependencies are done. */
void job_unblock(struct job *job, int64_t occurrence, int64_t now_us);
/* Whether the occurrence is open and all its tasks are done. */
bool job_occurrence_done(const struct job *job, int64_t occurrence);
/* Frees the stages of an occurrence of which all tasks are done, if open. */
void job_free_occurrence(struct job *job, int64_t occurrence);
/* Declared core-milliseconds; a GPU counts as ROOM_GPU_CORES cores. */
double step_work(const struct step_spec *step);

#define ROOM_GPU_CORES 8 /* the platform bills a GPU like so many cores */

const char *job_phase_name(enum job_phase phase);
/* Returns -1 for an unknown name. */
int job_phase_parse(const char *name);

/* Name of a task in orders and reports: ID.OCCURRENCE.STEP.INDEX. */
void task_name(const struct task *task, char *out, size_t size);
struct task_ref {
	char job[64];
	int64_t occurrence;
	int step;
	int index;
};
bool task_ref_parse(const char *name, struct task_ref *ref);
struct task *job_find_task(const struct job *job, const struct task_ref *ref);
/* Returns the task or its copy, whichever has that run number, or NULL. */
struct task *job_find_run(const struct job *job, const struct task_ref *ref,
			  int64_t run);
/* The original of a copy; any other task itself. */
struct task *task_original(struct task *task);
/* Whether the task has a copy that holds resources. */
bool task_has_copy(const struct task *task);
/* Higher than every run number that the task or its copy has had. */
int64_t task_next_run(const struct task *task);
/* Returns the copy of a task, creating it if there is none. */
struct task *task_add_copy(struct task *task);

#endif
