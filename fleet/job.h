#ifndef FLEET_JOB_H
#define FLEET_JOB_H

#include "base/list.h"
#include "fleet/spec.h"

/*
 * Jobs as the leader keeps them. A job has stages, one for each step of each
 * occurrence that is due; a stage has tasks. A task has at most one run at a
 * time, and holds room at the run's worker until that run is known to be over.
 * A speculative task may have a copy beside it: a second run of the same task
 * at another worker, with orders and room of its own.
 */

struct worker;
struct stage;
struct job;

enum task_phase {
	TASK_WAITING, /* holds no room */
	TASK_PLANNED, /* a worker is chosen, not yet in the store */
	TASK_STARTING, /* ordered, not confirmed by the worker */
	TASK_RUNNING,
	TASK_STOPPING, /* ordered to stop, still holds room */
	TASK_DONE, /* holds room until its worker has listed the end */
};

struct task {
	struct stage *stage;
	int index;
	struct task *copy; /* its second run, NULL: there was none */
	struct task *original; /* of a copy, or NULL */
	enum task_phase phase;
	int64_t run; /* number of the latest start, 0: none */
	int fails; /* runs that ended as failed */
	bool failed_last; /* the latest run failed */
	char *checkpoint; /* the newest, or NULL */
	struct worker *worker; /* where it holds room, or NULL */
	struct list_head on_worker; /* in worker.tasks */
	uint64_t change; /* the change that chose the worker */
	/* Orders. */
	bool unconfirmed; /* adopted from the store, or an order without answer */
	int tries; /* of the order under way */
	bool calling; /* an order is under way */
	bool stop_sent; /* the order under way is a stop */
	int64_t retry_us; /* no order before that */
	int64_t answered_us; /* when the latest order was answered, 0: never */
	char *ticket; /* permission to start at the worker, or NULL */
	int pace_percent; /* percent of its speed that was ordered, 100: full */
#define TASK_PACE_UNKNOWN (-1) /* an earlier leader may have ordered it */
	bool pace_pending; /* such an order is under way */
	/* Progress, from the worker's lists. */
	int64_t started_us; /* when the run was confirmed */
	int percent;
	int64_t progress_us; /* when percent changed last */
	int first_percent; /* at the first report of the run */
	int64_t first_report_us;
	int64_t load; /* rough figure of the last half second */
	const struct worker *failed_at; /* only compared, never followed */
};

enum stage_state {
	STAGE_BLOCKED, /* waits for earlier steps */
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
	int holding; /* tasks that hold room */
	int fails; /* failed runs of a gang */
	int64_t fail_run; /* the last run of the gang that was counted */
	int64_t opened_us;
	int64_t began_us; /* first order of all its tasks, 0: not yet */
	int64_t unplaced_since_us; /* since when one of them finds no room, 0: none */
	/* Room that is being emptied for it; NULL-terminated, or NULL. */
	struct worker **reserved;
	int64_t reserved_us;
	bool preempting; /* its gang is to stop for the claim being chosen */
	GHashTable *grants; /* of the advice service, see fleet/advice.h */
	int64_t asked_us; /* it may be asked again, 0: it was not asked yet */
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
	int priority;
	int attempts;
	double stretch;
	int64_t slo_ms;
	int64_t accepted_ms; /* Unix time of the submission */
	int64_t arrived_us; /* the same on the steady clock of this host */
	struct job_spec spec;
	enum job_phase phase;
	bool speculative; /* some of its tasks may have copies */
	bool advised; /* its queue needs permission for each worker */
	bool cancelled;
	bool started; /* a task has started at some time */
	int64_t ended_ms; /* Unix time, 0: not ended */
	/* Stages of occurrence k are at k * nsteps; NULL: not due or over. */
	struct stage **stages;
	int64_t occurrences; /* how many fit in stages */
	int64_t due; /* occurrences that have become due */
	int64_t over; /* occurrences of which all tasks are done */
	uint64_t first_change; /* oldest change that is not in the store */
	uint64_t last_change;
	bool writing;
	int64_t record_rev; /* of its record in the store, 0: none */
	/* For the order of the queue. */
	double rank;
	double work; /* declared core-milliseconds */
};

struct job *job_new(const char *id, struct job_spec *spec);
void job_free(struct job *job);
bool job_ended(const struct job *job);
/* The stage of a step, NULL when its occurrence is not due or is over. */
struct stage *job_stage(const struct job *job, int64_t occurrence, int step);
/* Makes the stages of the next occurrence; false when there are no more. */
bool job_open_occurrence(struct job *job, int64_t now_us);
/* Unix time of the next occurrence, INT64_MAX when there are no more. */
int64_t job_next_due_ms(const struct job *job);
/* Opens the stages whose earlier steps are done. */
void job_unblock(struct job *job, int64_t occurrence, int64_t now_us);
/* Frees the stages of an occurrence of which all tasks are done. */
void job_free_occurrence(struct job *job, int64_t occurrence);
/* Core-milliseconds; an accelerator counts as ROOM_GPU_CORES cores. */
double step_work(const struct step_spec *step);

#define ROOM_GPU_CORES 8 /* what the platform bills for an accelerator */

const char *job_phase_name(enum job_phase phase);
/* Returns -1 for an unknown name. */
int job_phase_parse(const char *name);

/* Name of a task towards workers: ID.OCCURRENCE.STEP.INDEX. */
void task_name(const struct task *task, char *out, size_t size);
struct task_ref {
	char job[64];
	int64_t occurrence;
	int step;
	int index;
};
bool task_ref_parse(const char *name, struct task_ref *ref);
struct task *job_find_task(const struct job *job, const struct task_ref *ref);
/* The task or its copy, whichever has that run; NULL for neither. */
struct task *job_find_run(const struct job *job, const struct task_ref *ref,
			  int64_t run);
/* The task that a run belongs to: itself but for copies. */
struct task *task_original(struct task *task);
/* Whether the copy of a task holds room. */
bool task_has_copy(const struct task *task);
/* Above all numbers of runs that the task and its copy ever had. */
int64_t task_next_run(const struct task *task);
/* The copy of a task, made when there is none. */
struct task *task_add_copy(struct task *task);

#endif
