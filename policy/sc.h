#ifndef POLICY_SC_H
#define POLICY_SC_H

#include "policy/shares.h"
#include "policy/wh.h"

enum sc_state {
	SC_IDLE,
	SC_QUEUED,
	SC_WAITING, /* has a place, waits for the work that must leave it */
	SC_STARTING,
	SC_RUNNING,
	SC_LEAVING, /* checkpoint asked for */
	SC_STOPPING,
	SC_ENDED,
};

/* Kinds of places by size of the gang; see placing_place(). */
enum sc_size { SC_IN_WORKER, SC_IN_RACK, SC_IN_ROW, SC_SIZES };

/* Order of a customer's queues: attained service, then size. */
#define SC_QUEUES (SC_LEVELS * SC_SIZES)

enum sc_end { SC_END_DONE, SC_END_FAILED, SC_END_CANCELLED };

struct sc;

/* A job as the scheduler sees it; embedded in the owner's job. */
struct sc_job {
	struct list_head node; /* in a queue or in one of sc's lists */
	struct cell_gang gang;
	struct wh_job health;
	uint64_t id; /* not 0 */
	bool urgent;
	bool cancelled;
	bool can_save; /* supports checkpoints */
	bool displaced; /* asked to leave for other work */
	enum sc_state state;
	int64_t submitted_us;
	int64_t queued_us;
	int64_t started_us;
	int64_t deadline_us; /* leaving: end of the grace period */
	int64_t retry_us; /* after failures: not before */
	int64_t attained_us; /* accelerator-microseconds of earlier runs */
	const char *reason;
};

struct sc_customer {
	struct list_head urgent;
	struct list_head queues[SC_QUEUES];
	int weight;
	int quota; /* accelerators, 0 for none */
	int held; /* accelerators, also of arriving work */
	int queued; /* jobs */
	bool removed;
	/* Scratch of a pass. */
	struct list_head *queue;
	struct list_head *next;
	double use;
};

/*
 * What the scheduler asks its owner to do. The owner answers later, never
 * from within the call.
 */
struct sc_ops {
	/* Start the gang on job->gang.holds; sc_running() or sc_left(). */
	void (*start)(struct sc *sc, struct sc_job *job);
	/*
	 * Checkpoint before deadline_us; sc_saved() follows. Called again
	 * when the deadline has moved.
	 */
	void (*checkpoint)(struct sc *sc, struct sc_job *job);
	/* Stop at once; sc_left() follows. */
	void (*stop)(struct sc *sc, struct sc_job *job, const char *reason);
	void (*queued)(struct sc *sc, struct sc_job *job, const char *reason);
	void (*ended)(struct sc *sc, struct sc_job *job, enum sc_end end,
		      const char *reason);
	void (*broken)(struct sc *sc, bool broken);
};

struct sc {
	const struct sc_ops *ops;
	struct cell cell;
	struct shares gs;
	struct wh wh;
	bool *live; /* per worker */
	struct sc_customer *customers;
	int customer_count;
	bool *sheltered; /* customers below their share, per pass */
	struct list_head waiting;
	struct list_head running; /* also starting, leaving and stopping */
	struct list_head leaving;
	struct sc_job *head; /* for which racks are reserved */
	bool broken;
	/* Counts for metrics. */
	uint64_t passes;
	uint64_t displaced;
};

void sc_init(struct sc *sc, const struct sc_ops *ops, int worker_size,
	     int rack_size);
void sc_finish(struct sc *sc);
int sc_add_worker(struct sc *sc, int rack, int accelerators);
int sc_add_customer(struct sc *sc);
void sc_set_customer(struct sc *sc, int customer, int weight, int quota,
		     const int units[CELL_UNITS], int64_t now_us);
void sc_remove_customer(struct sc *sc, int customer, bool stop, int64_t now_us);
void sc_worker_live(struct sc *sc, int worker, bool live, int64_t now_us);

void sc_job_init(struct sc_job *job, uint64_t id, int customer,
		 int accelerators, bool stoppable, bool urgent, bool can_save);
void sc_job_finish(struct sc *sc, struct sc_job *job);
void sc_submit(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_cancel(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_adopt(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_running(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_saved(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_freed(struct sc *sc, struct sc_job *job);
void sc_left(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_done(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_failed(struct sc *sc, struct sc_job *job, int worker, int64_t now_us);
int64_t sc_attained(const struct sc_job *job, int64_t now_us);

/* One look at everything that may change now. */
void sc_pass(struct sc *sc, int64_t now_us);

/* Between sc.c and scpass.c. */
int sc_level(const struct sc_job *job, int64_t now_us);
enum sc_size sc_size(const struct sc *sc, int total);
void sc_displace(struct sc *sc, struct sc_job *job, int64_t grace_ms,
		 int64_t now_us);
void sc_take(struct sc *sc, struct sc_job *job, int64_t now_us);
void sc_ran_well(struct sc *sc, struct sc_job *job);

#endif
