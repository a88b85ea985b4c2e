#ifndef POLICY_GS_H
#define POLICY_GS_H

#include "policy/cell.h"

#define GS_NONE (-1)

/* What a customer is guaranteed and how much of it is in use, in units. */
struct gs_customer {
	struct list_head owned; /* struct cell_gang */
	int guaranteed[CELL_UNITS];
	int used[CELL_UNITS];
	int held; /* accelerators under the guarantee */
};

struct gs_worker {
	int16_t bound; /* customer that owns the worker cell, or GS_NONE */
	uint8_t hard; /* accelerators that a claim can't have */
	uint8_t owner_used;
	uint8_t unit_used; /* under guarantees of single accelerators */
};

struct gs_rack {
	int16_t bound; /* customer that owns the rack cell, or GS_NONE */
	uint16_t owner_used;
	uint16_t whole; /* workers that a claim can have as a whole */
	uint8_t down; /* workers that are not usable */
};

/*
 * The guarantees of one data centre over its cells. A guaranteed cell is
 * bound to a place while its owner uses a part of it. All counts are kept
 * incrementally; gs_proved() compares them.
 */
struct gs {
	struct cell *cell;
	struct gs_customer *customers;
	int customer_count;
	struct gs_worker *workers;
	struct gs_rack *racks;
	int worker_count;
	int rack_count;
	int need[CELL_UNITS]; /* guaranteed units not in use */
	int have[CELL_UNITS]; /* cells that claims can have */
	int broken_cells; /* bound cells with a worker that is not usable */
};

void gs_init(struct gs *gs, struct cell *cell, int customers);
void gs_finish(struct gs *gs);
void gs_add_customers(struct gs *gs, int customers);
void gs_workers_added(struct gs *gs);
void gs_set_usable(struct gs *gs, int worker, bool usable);
int gs_set_guarantee(struct gs *gs, int customer, const int units[CELL_UNITS]);
bool gs_proved(const struct gs *gs);
bool gs_broken(const struct gs *gs);
int gs_missing(const struct gs *gs, enum cell_unit unit);
bool gs_may_hold(struct gs *gs, struct cell_gang *gang);
void gs_hold(struct gs *gs, struct cell_gang *gang);
void gs_release(struct gs *gs, struct cell_gang *gang);
bool gs_is_bound(const struct gs *gs, int worker);
int gs_owner(const struct gs *gs, int worker);
int gs_open(const struct gs *gs, int worker);
int gs_accelerators_left(const struct gs *gs, int customer);
int gs_left(const struct gs *gs, int customer, enum cell_unit unit);

#endif
