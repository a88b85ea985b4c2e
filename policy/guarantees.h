#ifndef POLICY_GUARANTEES_H
#define POLICY_GUARANTEES_H

#include "policy/cell.h"

#define SHARES_NONE (-1)

/* The guarantee of a customer and how many of its units are in use. */
struct shares_customer {
	struct list_head owned; /* struct cell_gang, latest last */
	int guaranteed[CELL_UNITS];
	int used[CELL_UNITS];
	int held; /* accelerators that its gangs hold under the guarantee */
};

struct shares_worker {
	int16_t bound; /* customer that owns the worker cell, or SHARES_NONE */
	uint8_t hard; /* accelerators in use that claims can't take */
	uint8_t owner_used; /* accelerators in use in the bound worker cell */
	uint8_t accelerators_used; /* under guarantees of single accelerators */
};

struct shares_rack {
	int16_t bound; /* customer that owns the rack cell, or SHARES_NONE */
	uint16_t owner_used; /* accelerators in use in the bound rack cell */
	uint16_t whole; /* workers that a claim can take as a whole */
	uint8_t down; /* workers that are not usable */
};

/*
 * The guarantees of the customers of one data centre, and the cells that can
 * satisfy them. A guaranteed cell is bound to a rack or worker while its owner
 * uses any part of it. All counts are updated incrementally, so that
 * shares_satisfiable() only has to compare them.
 */
struct shares {
	struct cell *cell;
	struct shares_customer *customers;
	int customer_count;
	struct shares_worker *workers;
	struct shares_rack *racks;
	int worker_count;
	int rack_count;
	int need[CELL_UNITS]; /* guaranteed units not in use */
	int have[CELL_UNITS]; /* cells that claims can take */
	int broken_cells; /* bound cells with a worker that is not usable */
};

void shares_init(struct shares *gs, struct cell *cell, int customers);
void shares_finish(struct shares *gs);
void shares_add_customers(struct shares *gs, int customers);
void shares_workers_added(struct shares *gs);
void shares_set_usable(struct shares *gs, int worker, bool usable);
int shares_set_guarantee(struct shares *gs, int customer,
			 const int units[CELL_UNITS]);
bool shares_satisfiable(const struct shares *gs);
bool shares_broken(const struct shares *gs);
int shares_missing(const struct shares *gs, enum cell_unit unit);
bool shares_may_hold(struct shares *gs, struct cell_gang *gang);
void shares_hold(struct shares *gs, struct cell_gang *gang);
void shares_release(struct shares *gs, struct cell_gang *gang);
bool shares_is_bound(const struct shares *gs, int worker);
int shares_owner(const struct shares *gs, int worker);
int shares_claimable(const struct shares *gs, int worker);
int shares_accelerators_left(const struct shares *gs, int customer);
int shares_left(const struct shares *gs, int customer, enum cell_unit unit);

#endif
