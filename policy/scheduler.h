#ifndef POLICY_SCHEDULER_H
#define POLICY_SCHEDULER_H

#include "policy/guarantees.h"
#include "policy/worker_health.h"

enum scheduler_state {
	SCHEDULER_IDLE, /* not submitted yet */
	SCHEDULER_QUEUED,
	SCHEDULER_PLACED, /* waits until its victims have been stopped */
	SCHEDULER_STARTING,
	SCHEDULER_RUNNING,
	SCHEDULER_CHECKPOINTING, /* displaced; saves a last checkpoint */
	SCHEDULER_STOPPING,
	SCHEDULER_ENDED,
};

/*
 * Size classes of gangs, by the part of the topology that they may span; see
 * placing_place_borrowed().
 */
enum scheduler_size_class {
	SCHEDULER_IN_WORKER,
	SCHEDULER_IN_RACK,
	SCHEDULER_IN_ROW,
	SCHEDULER_SIZE_CLASSES
};

/* A customer's queues are in order of attained service, then size class. */
#define SCHEDULER_QUEUE_COUNT (SCHEDULER_LEVELS * SCHEDULER_SIZE_CLASSES)

enum scheduler_end {
	SCHEDULER_END_DONE,
	SCHEDULER_END_FAILED,
	SCHEDULER_END_CANCELLED
};

struct scheduler;

/* The scheduler's state of a job, embedded in the owner's job. */
struct scheduler_job {
	struct list_head node; /* in a queue or a list of struct scheduler */
	struct cell_gang gang;
	struct worker_health_job health;
	uint64_t id; /* not 0 */
	bool urgent;
	bool cancelled;
	bool can_checkpoint;
	bool displaced; /* has been asked to give way to other jobs */
	enum scheduler_state state;
	int64_t submitted_us;
	int64_t queued_us;
	int64_t started_us;
	int64_t deadline_us; /* checkpointing: end of the grace period */
	int64_t retry_us; /* after failures: earliest time of the next start */
	int64_t attained_us; /* accelerator-microseconds of earlier runs */
	const char *reason; /* for the next ops->queued() */
};

struct scheduler_customer {
	struct list_head urgent; /* queue of the urgent jobs */
	struct list_head queues[SCHEDULER_QUEUE_COUNT];
	int weight; /* of its fair share */
	int quota; /* accelerators, 0 for none */
	int held; /* accelerators, including those of jobs not started yet */
	int queued; /* jobs */
	bool removed;
	/* Used within a pass only. */
	struct list_head *queue; /* that its next job is in, NULL at the end */
	struct list_head *next; /* node of that job */
	double usage; /* over fair share; the lowest is served next */
};

/*
 * Requests and reports of the scheduler to its owner. The owner must answer a
 * request later, not from within the call.
 */
struct scheduler_ops {
	/*
	 * Start the gang on job->gang.holds. To be answered by
	 * scheduler_running() or scheduler_gang_stopped().
	 */
	void (*start)(struct scheduler *sc, struct scheduler_job *job);
	/*
	 * Save a checkpoint before deadline_us. To be answered by
	 * scheduler_checkpoint_saved(). Called again when the deadline has
	 * become earlier.
	 */
	void (*checkpoint)(struct scheduler *sc, struct scheduler_job *job);
	/* Stop at once. To be answered by scheduler_gang_stopped(). */
	void (*stop)(struct scheduler *sc, struct scheduler_job *job,
		     const char *reason);
	/* The job is in its queue again after a run or a failed start. */
	void (*queued)(struct scheduler *sc, struct scheduler_job *job,
		       const char *reason);
	void (*ended)(struct scheduler *sc, struct scheduler_job *job,
		      enum scheduler_end end, const char *reason);
	/* The result of guarantees_broken() has changed. */
	void (*broken)(struct scheduler *sc, bool broken);
};

struct scheduler {
	const struct scheduler_ops *ops;
	struct cell cell;
	struct guarantees gs;
	struct worker_health wh;
	bool *live; /* of each worker */
	struct scheduler_customer *customers;
	int customer_count;
	/* For each customer: whether it is at most at its fair share now. */
	bool *protected_customers;
	struct list_head placed;
	struct list_head running; /* including starting and stopping jobs */
	struct list_head checkpointing;
	struct scheduler_job *reserved_for; /* that racks are reserved for */
	bool broken; /* last value passed to ops->broken */
	/* Statistics. */
	uint64_t passes;
	uint64_t displaced; /* jobs */
};

void scheduler_init(struct scheduler *sc, const struct scheduler_ops *ops,
		    int worker_size, int rack_size);
void scheduler_finish(struct scheduler *sc);
int scheduler_add_worker(struct scheduler *sc, int rack, int accelerators);
int scheduler_add_customer(struct scheduler *sc);
void scheduler_set_customer(struct scheduler *sc, int customer, int weight,
			    int quota, const int units[CELL_UNITS],
			    int64_t now_us);
void scheduler_remove_customer(struct scheduler *sc, int customer, bool stop,
			       int64_t now_us);
void scheduler_set_worker_live(struct scheduler *sc, int worker, bool live,
			       int64_t now_us);

void scheduler_job_init(struct scheduler_job *job, uint64_t id, int customer,
			int accelerators, bool stoppable, bool urgent,
			bool can_checkpoint);
void scheduler_job_finish(struct scheduler *sc, struct scheduler_job *job);
void scheduler_submit(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us);
void scheduler_cancel(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us);
void scheduler_adopt(struct scheduler *sc, struct scheduler_job *job,
		     int64_t now_us);
void scheduler_running(struct scheduler *sc, struct scheduler_job *job,
		       int64_t now_us);
void scheduler_checkpoint_saved(struct scheduler *sc, struct scheduler_job *job,
				int64_t now_us);
void scheduler_accelerators_freed(struct scheduler *sc,
				  struct scheduler_job *job);
void scheduler_gang_stopped(struct scheduler *sc, struct scheduler_job *job,
			    int64_t now_us);
void scheduler_done(struct scheduler *sc, struct scheduler_job *job,
		    int64_t now_us);
void scheduler_failed(struct scheduler *sc, struct scheduler_job *job,
		      int worker, int64_t now_us);
int64_t scheduler_attained(const struct scheduler_job *job, int64_t now_us);

/*
 * Runs one scheduling pass: starts the jobs that fit now, and displaces others
 * where the rules allow it.
 */
void scheduler_pass(struct scheduler *sc, int64_t now_us);

/* For scheduler.c and scheduler_pass.c only. */
int scheduler_level(const struct scheduler_job *job, int64_t now_us);
enum scheduler_size_class scheduler_size_class(const struct scheduler *sc,
					       int total);
void scheduler_displace(struct scheduler *sc, struct scheduler_job *job,
			int64_t grace_ms, int64_t now_us);
void scheduler_assign(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us);
void scheduler_record_success(struct scheduler *sc, struct scheduler_job *job);

#endif
