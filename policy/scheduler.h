#ifndef POLICY_SCHEDULER_H
#define POLICY_SCHEDULER_H

#include "policy/guarantees.h"
#include "policy/worker_health.h"

enum scheduler_state {
	SCHEDULER_IDLE,
	SCHEDULER_QUEUED,
	SCHEDULER_PLACED, /* has a place, waits for the work that must leave it */
	SCHEDULER_STARTING,
	SCHEDULER_RUNNING,
	SCHEDULER_CHECKPOINTING, /* checkpoint asked for */
	SCHEDULER_STOPPING,
	SCHEDULER_ENDED,
};

/* Kinds of places by size of the gang; see placing_place_borrowed(). */
enum scheduler_size_class {
	SCHEDULER_IN_WORKER,
	SCHEDULER_IN_RACK,
	SCHEDULER_IN_ROW,
	SCHEDULER_SIZE_CLASSES
};

/* Order of a customer's queues: attained service, then size. */
#define SCHEDULER_QUEUE_COUNT (SCHEDULER_LEVELS * SCHEDULER_SIZE_CLASSES)

enum scheduler_end {
	SCHEDULER_END_DONE,
	SCHEDULER_END_FAILED,
	SCHEDULER_END_CANCELLED
};

struct scheduler;

/* A job as the scheduler sees it; embedded in the owner's job. */
struct scheduler_job {
	struct list_head node; /* in a queue or in one of sc's lists */
	struct cell_gang gang;
	struct worker_health_job health;
	uint64_t id; /* not 0 */
	bool urgent;
	bool cancelled;
	bool can_checkpoint; /* supports checkpoints */
	bool displaced; /* asked to leave for other work */
	enum scheduler_state state;
	int64_t submitted_us;
	int64_t queued_us;
	int64_t started_us;
	int64_t deadline_us; /* leaving: end of the grace period */
	int64_t retry_us; /* after failures: not before */
	int64_t attained_us; /* accelerator-microseconds of earlier runs */
	const char *reason;
};

struct scheduler_customer {
	struct list_head urgent;
	struct list_head queues[SCHEDULER_QUEUE_COUNT];
	int weight;
	int quota; /* accelerators, 0 for none */
	int held; /* accelerators, also of arriving work */
	int queued; /* jobs */
	bool removed;
	/* Scratch of a pass. */
	struct list_head *queue;
	struct list_head *next;
	double usage;
};

/*
 * What the scheduler asks its owner to do. The owner answers later, never
 * from within the call.
 */
struct scheduler_ops {
	/* Start the gang on job->gang.holds; scheduler_running() or scheduler_gang_stopped(). */
	void (*start)(struct scheduler *sc, struct scheduler_job *job);
	/*
	 * Checkpoint before deadline_us; scheduler_checkpoint_saved() follows. Called again
	 * when the deadline has moved.
	 */
	void (*checkpoint)(struct scheduler *sc, struct scheduler_job *job);
	/* Stop at once; scheduler_gang_stopped() follows. */
	void (*stop)(struct scheduler *sc, struct scheduler_job *job,
		     const char *reason);
	void (*queued)(struct scheduler *sc, struct scheduler_job *job,
		       const char *reason);
	void (*ended)(struct scheduler *sc, struct scheduler_job *job,
		      enum scheduler_end end, const char *reason);
	void (*broken)(struct scheduler *sc, bool broken);
};

struct scheduler {
	const struct scheduler_ops *ops;
	struct cell cell;
	struct guarantees gs;
	struct worker_health wh;
	bool *live; /* per worker */
	struct scheduler_customer *customers;
	int customer_count;
	bool *protected_customers; /* customers below their share, per pass */
	struct list_head placed;
	struct list_head running; /* also starting, leaving and stopping */
	struct list_head checkpointing;
	struct scheduler_job *reserved_for; /* for which racks are reserved */
	bool broken;
	/* Counts for metrics. */
	uint64_t passes;
	uint64_t displaced;
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

/* One look at everything that may change now. */
void scheduler_pass(struct scheduler *sc, int64_t now_us);

/* Between scheduler.c and scheduler_pass.c. */
int scheduler_level(const struct scheduler_job *job, int64_t now_us);
enum scheduler_size_class scheduler_size_class(const struct scheduler *sc,
					       int total);
void scheduler_displace(struct scheduler *sc, struct scheduler_job *job,
			int64_t grace_ms, int64_t now_us);
void scheduler_assign(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us);
void scheduler_record_success(struct scheduler *sc, struct scheduler_job *job);

#endif
