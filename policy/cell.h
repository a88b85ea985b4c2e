#ifndef POLICY_CELL_H
#define POLICY_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

/* How a gang holds its accelerators. */
enum cell_kind {
	CELL_STOPPABLE, /* borrowed, may be stopped for a claim */
	CELL_UNSTOPPABLE, /* borrowed, runs to its end */
	CELL_OWNED, /* covered by the customer's guarantee */
};

/* The unit of a guarantee that covers a hold of an owned gang. */
enum cell_unit { CELL_ACCELERATOR, CELL_WORKER, CELL_RACK, CELL_UNITS };

struct cell_gang;

/* Accelerators of one worker that a gang holds. */
struct cell_hold {
	struct list_head node; /* in the worker */
	struct cell_gang *gang;
	int worker;
	uint8_t count;
	uint8_t cover; /* enum cell_unit; CELL_UNITS: not covered */
};

/* The accelerators that one job holds together. */
struct cell_gang {
	struct list_head owned; /* owned gangs of the customer */
	struct cell_hold *holds;
	int hold_count;
	int total; /* accelerators */
	int customer;
	enum cell_kind kind;
	int level; /* of attained service; higher yields first */
	bool stoppable;
	bool leaving; /* already asked to stop */
	bool held;
	int64_t saved_us; /* start, or last checkpoint */
	void *user; /* the job */
};

struct cell_worker {
	struct list_head holds;
	int rack;
	uint8_t total;
	uint8_t free; /* 0 when not usable */
	bool usable;
	/* Exceeds total while a claim waits for the work it displaces. */
	uint16_t held;
};

struct cell_rack {
	int workers[WORKERS_PER_RACK];
	uint8_t count;
	uint8_t by_free[WORKER_ACCELERATORS_MAX + 1]; /* workers */
	uint16_t free; /* accelerators */
	uint16_t whole; /* workers with all accelerators free */
	bool reserved; /* for the large job at the head of the queue */
};

/* All accelerators of a data centre. Racks are indexed by their number. */
struct cell {
	struct cell_worker *workers;
	int worker_count;
	int worker_capacity;
	struct cell_rack *racks;
	int rack_count;
	int rack_capacity;
	int worker_size; /* accelerators of a whole worker */
	int rack_size; /* workers of a whole rack */
	int accelerators; /* usable */
	int free; /* accelerators */
	int by_free[WORKER_ACCELERATORS_MAX + 1]; /* workers */
};

void cell_init(struct cell *cell, int worker_size, int rack_size);
void cell_finish(struct cell *cell);
int cell_add_worker(struct cell *cell, int rack, int accelerators);
void cell_set_usable(struct cell *cell, int worker, bool usable);
void cell_hold(struct cell *cell, struct cell_gang *gang);
void cell_release(struct cell *cell, struct cell_gang *gang);
bool cell_can_start(const struct cell *cell, const struct cell_gang *gang);
int cell_largest_gang(const struct cell *cell);

void cell_gang_init(struct cell_gang *gang, int customer, int total,
		    bool stoppable);
void cell_gang_reset(struct cell_gang *gang);
void cell_gang_add(struct cell_gang *gang, int worker, int count,
		   enum cell_unit cover);

#endif
