#ifndef POLICY_CELL_H
#define POLICY_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

/* Whether a gang's accelerators are guaranteed or borrowed. */
enum cell_kind {
	CELL_STOPPABLE, /* borrowed; a claim may stop the gang */
	CELL_UNSTOPPABLE, /* borrowed until the gang ends */
	CELL_OWNED, /* part of the customer's guarantee */
};

/* Units of a guarantee; an owned gang's hold is covered by one of them. */
enum cell_unit { CELL_ACCELERATOR, CELL_WORKER, CELL_RACK, CELL_UNITS };

struct cell_gang;

/* The accelerators that a gang holds on one worker. */
struct cell_hold {
	struct list_head node; /* in the worker's list */
	struct cell_gang *gang;
	int worker;
	uint8_t count;
	uint8_t cover; /* enum cell_unit; CELL_UNITS: not covered */
};

/* The accelerators of one job, which are held and released together. */
struct cell_gang {
	struct list_head owned; /* in the list of the customer's owned gangs */
	struct cell_hold *holds;
	int hold_count;
	int total; /* accelerators */
	int customer;
	enum cell_kind kind;
	int level; /* of attained service; higher levels are evicted first */
	bool stoppable;
	bool leaving; /* has been asked to stop */
	bool held; /* the holds are linked into their workers */
	int64_t saved_us; /* time of the last checkpoint, or of the start */
	void *user; /* the scheduler's job */
};

struct cell_worker {
	struct list_head holds;
	int rack;
	uint8_t total;
	uint8_t free; /* 0 when not usable */
	bool usable;
	/* Exceeds total while a claim waits for the gangs it displaces. */
	uint16_t held;
};

struct cell_rack {
	int workers[WORKERS_PER_RACK];
	uint8_t count;
	/* Number of workers, by their number of free accelerators. */
	uint8_t by_free[WORKER_ACCELERATORS_MAX + 1];
	uint16_t free; /* accelerators */
	uint16_t whole; /* workers with all accelerators free */
	bool reserved; /* for a large queued job */
};

/*
 * The accelerators of a data centre and the gangs that hold them. Racks are
 * indexed by their number.
 */
struct cell {
	struct cell_worker *workers;
	int worker_count;
	int worker_capacity;
	struct cell_rack *racks;
	int rack_count;
	int rack_capacity;
	int worker_size; /* accelerators of a full-size worker */
	int rack_size; /* workers of a full-size rack */
	int accelerators; /* on usable workers */
	int free; /* accelerators */
	/* Number of workers, by their number of free accelerators. */
	int by_free[WORKER_ACCELERATORS_MAX + 1];
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
