#ifndef POLICY_GUARANTEES_H
#define POLICY_GUARANTEES_H

#include "policy/cell.h"

#define GUARANTEES_UNBOUND (-1)

/* The guarantee of a customer and how many of its units are in use. */
struct guarantees_customer {
	struct list_head owned; /* struct cell_gang, latest last */
	int guaranteed[CELL_UNITS];
	int used[CELL_UNITS];
	int held; /* accelerators that its gangs hold under the guarantee */
};

struct guarantees_worker {
	int16_t bound; /* owner of the worker cell, or GUARANTEES_UNBOUND */
	uint8_t hard; /* accelerators in use that claims can't take */
	uint8_t owner_used; /* accelerators in use in the bound worker cell */
	uint8_t accelerators_used; /* under guarantees of single accelerators */
};

struct guarantees_rack {
	int16_t bound; /* owner of the rack cell, or GUARANTEES_UNBOUND */
	uint16_t owner_used; /* accelerators in use in the bound rack cell */
	uint16_t whole; /* workers that a claim can take as a whole */
	uint8_t down; /* workers that are not usable */
};

/*
 * The guarantees of the customers of one data centre, and the cells that can
 * satisfy them. A guaranteed cell is bound to a rack or worker while its owner
 * uses any part of it. All counts are updated incrementally, so that
 * guarantees_satisfiable() only has to compare them.
 */
struct guarantees {
	struct cell *cell;
	struct guarantees_customer *customers;
	int customer_count;
	struct guarantees_worker *workers;
	struct guarantees_rack *racks;
	int worker_count;
	int rack_count;
	int need[CELL_UNITS]; /* guaranteed units not in use */
	int have[CELL_UNITS]; /* cells that claims can take */
	int broken_cells; /* bound cells with a worker that is not usable */
};

void guarantees_init(struct guarantees *gs, struct cell *cell, int customers);
void guarantees_finish(struct guarantees *gs);
void guarantees_add_customers(struct guarantees *gs, int customers);
void guarantees_workers_added(struct guarantees *gs);
void guarantees_set_usable(struct guarantees *gs, int worker, bool usable);
int guarantees_set(struct guarantees *gs, int customer,
		   const int units[CELL_UNITS]);
bool guarantees_satisfiable(const struct guarantees *gs);
bool guarantees_broken(const struct guarantees *gs);
int guarantees_missing(const struct guarantees *gs, enum cell_unit unit);
bool guarantees_may_hold(struct guarantees *gs, struct cell_gang *gang);
void guarantees_hold(struct guarantees *gs, struct cell_gang *gang);
void guarantees_release(struct guarantees *gs, struct cell_gang *gang);
bool guarantees_is_bound(const struct guarantees *gs, int worker);
int guarantees_owner(const struct guarantees *gs, int worker);
int guarantees_claimable(const struct guarantees *gs, int worker);
int guarantees_accelerators_left(const struct guarantees *gs, int customer);
int guarantees_units_left(const struct guarantees *gs, int customer,
			  enum cell_unit unit);

#endif
