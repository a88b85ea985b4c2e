#include "policy/guarantees.h"

#include <string.h>

#include <glib.h>

/* The cell may already have workers. Customers start without guarantees. */
void guarantees_init(struct guarantees *gs, struct cell *cell, int customers)
{
	memset(gs, 0, sizeof(*gs));
	gs->cell = cell;
	guarantees_add_customers(gs, customers);
	guarantees_workers_added(gs);
}

void guarantees_finish(struct guarantees *gs)
{
	g_free(gs->customers);
	g_free(gs->workers);
	g_free(gs->racks);
	memset(gs, 0, sizeof(*gs));
}

/* Grows the table to that many customers and relinks their lists of gangs. */
void guarantees_add_customers(struct guarantees *gs, int customers)
{
	struct guarantees_customer *table;
	int i;

	if (customers <= gs->customer_count)
		return;
	table = g_new0(struct guarantees_customer, customers);
	for (i = 0; i < customers; i++) {
		struct list_head *head = &table[i].owned;

		list_init(head);
		if (i >= gs->customer_count)
			continue;
		table[i] = gs->customers[i];
		list_init(head);
		if (!list_empty(&gs->customers[i].owned)) {
			list_add(head, &gs->customers[i].owned);
			list_del(&gs->customers[i].owned);
		}
	}
	g_free(gs->customers);
	gs->customers = table;
	gs->customer_count = customers;
}

/* Accelerators that claims can take. */

bool guarantees_is_bound(const struct guarantees *gs, int worker)
{
	return guarantees_owner(gs, worker) != GUARANTEES_UNBOUND;
}

/*
 * Returns the customer whose bound cell contains the worker, or
 * GUARANTEES_UNBOUND.
 */
int guarantees_owner(const struct guarantees *gs, int worker)
{
	int rack = gs->cell->workers[worker].rack;

	if (gs->racks[rack].bound != GUARANTEES_UNBOUND)
		return gs->racks[rack].bound;
	return gs->workers[worker].bound;
}

/* Returns how many accelerators of a worker a new cell could be bound to. */
int guarantees_claimable(const struct guarantees *gs, int worker)
{
	const struct cell_worker *w = &gs->cell->workers[worker];

	if (!w->usable || guarantees_is_bound(gs, worker))
		return 0;
	return w->total - gs->workers[worker].hard;
}

/*
 * Adds a worker to the counts of what claims can take (sign 1), or removes it
 * (sign -1). A rack counts when all of its workers are whole.
 */
static void count_worker(struct guarantees *gs, int worker, int sign)
{
	struct cell *cell = gs->cell;
	struct guarantees_rack *rack = &gs->racks[cell->workers[worker].rack];
	int open = guarantees_claimable(gs, worker);

	if (!cell->workers[worker].usable)
		rack->down += sign;
	gs->have[CELL_ACCELERATOR] += sign * open;
	if (!open || open != cell->worker_size)
		return;
	gs->have[CELL_WORKER] += sign;
	if (rack->whole == cell->rack_size)
		gs->have[CELL_RACK]--;
	rack->whole += sign;
	if (rack->whole == cell->rack_size)
		gs->have[CELL_RACK]++;
}

static void count_rack(struct guarantees *gs, int rack, int sign)
{
	const struct cell_rack *r = &gs->cell->racks[rack];
	int i;

	for (i = 0; i < r->count; i++)
		count_worker(gs, r->workers[i], sign);
}

static bool is_down(const struct guarantees *gs, int worker)
{
	return !gs->cell->workers[worker].usable;
}

/*
 * Adds a worker's contribution to broken_cells (sign 1) or removes it (-1). A
 * bound rack counts once; outside of one, a worker that is not usable counts
 * for its bound cell and for each accelerator unit in use on it.
 */
static void count_broken(struct guarantees *gs, int worker, int sign)
{
	int rack = gs->cell->workers[worker].rack;

	if (gs->racks[rack].bound != GUARANTEES_UNBOUND) {
		if (gs->racks[rack].down)
			gs->broken_cells += sign;
	} else if (is_down(gs, worker)) {
		gs->broken_cells +=
			sign *
			(gs->workers[worker].accelerators_used +
			 (gs->workers[worker].bound != GUARANTEES_UNBOUND));
	}
}

/* Adds the workers that the cell has gained since the last call. */
void guarantees_workers_added(struct guarantees *gs)
{
	int i;

	gs->workers = g_renew(struct guarantees_worker, gs->workers,
			      gs->cell->worker_count);
	gs->racks = g_renew(struct guarantees_rack, gs->racks,
			    gs->cell->rack_count);
	for (i = gs->rack_count; i < gs->cell->rack_count; i++)
		gs->racks[i] =
			(struct guarantees_rack){ .bound = GUARANTEES_UNBOUND };
	gs->rack_count = gs->cell->rack_count;
	for (i = gs->worker_count; i < gs->cell->worker_count; i++) {
		gs->workers[i] = (struct guarantees_worker){
			.bound = GUARANTEES_UNBOUND
		};
		gs->worker_count = i + 1;
		count_worker(gs, i, 1);
	}
}

/* Marks a worker as usable or not, here and in the cell. */
void guarantees_set_usable(struct guarantees *gs, int worker, bool usable)
{
	if (gs->cell->workers[worker].usable == usable)
		return;
	count_broken(gs, worker, -1);
	count_worker(gs, worker, -1);
	cell_set_usable(gs->cell, worker, usable);
	count_worker(gs, worker, 1);
	count_broken(gs, worker, 1);
}

/* Whether the guarantees can be satisfied. */

/*
 * Returns how many cells of the unit are lacking to claim all unused
 * guarantees at once; 0 when there are enough. This assumes that claims take
 * whole racks first, then whole workers from the rest, then single
 * accelerators. All racks, and all whole workers, are of the same size, so
 * no other order could satisfy more.
 */
int guarantees_missing(const struct guarantees *gs, enum cell_unit unit)
{
	int need = gs->need[CELL_RACK];

	if (unit <= CELL_WORKER)
		need = need * gs->cell->rack_size + gs->need[CELL_WORKER];
	if (unit <= CELL_ACCELERATOR)
		need = need * gs->cell->worker_size +
		       gs->need[CELL_ACCELERATOR];
	return MAX(0, need - gs->have[unit]);
}

/* Whether all guaranteed cells not in use could be claimed at once. */
bool guarantees_satisfiable(const struct guarantees *gs)
{
	return !guarantees_missing(gs, CELL_RACK) &&
	       !guarantees_missing(gs, CELL_WORKER) &&
	       !guarantees_missing(gs, CELL_ACCELERATOR);
}

/*
 * Whether a guarantee can't be met, be it for lack of cells or because a
 * worker of a cell in use is not usable.
 */
bool guarantees_broken(const struct guarantees *gs)
{
	return !guarantees_satisfiable(gs) || gs->broken_cells > 0;
}

/* Returns how many units of a customer's guarantee are not in use. */
int guarantees_units_left(const struct guarantees *gs, int customer,
			  enum cell_unit unit)
{
	const struct guarantees_customer *c = &gs->customers[customer];

	return MAX(0, c->guaranteed[unit] - c->used[unit]);
}

/* Returns how many accelerators of the guarantee no owned gang holds. */
int guarantees_accelerators_left(const struct guarantees *gs, int customer)
{
	const struct guarantees_customer *c = &gs->customers[customer];
	int n = c->guaranteed[CELL_RACK] * gs->cell->rack_size;

	n = (n + c->guaranteed[CELL_WORKER]) * gs->cell->worker_size;
	return n + c->guaranteed[CELL_ACCELERATOR] - c->held;
}

static void use_units(struct guarantees *gs, int customer, enum cell_unit unit,
		      int n)
{
	struct guarantees_customer *c = &gs->customers[customer];

	gs->need[unit] -= guarantees_units_left(gs, customer, unit);
	c->used[unit] += n;
	gs->need[unit] += guarantees_units_left(gs, customer, unit);
}

/* Holds of gangs. */

/* Adds n accelerators of a worker that claims can't take. */
static void add_hard(struct guarantees *gs, int worker, int n)
{
	count_worker(gs, worker, -1);
	gs->workers[worker].hard += n;
	count_worker(gs, worker, 1);
}

/*
 * Adds n to the accelerators that the owner uses in a worker cell. The first
 * one binds the cell, and the release of the last one unbinds it.
 */
static void use_worker(struct guarantees *gs, int customer, int worker, int n)
{
	struct guarantees_worker *w = &gs->workers[worker];
	bool bound;

	w->owner_used += n;
	bound = w->owner_used > 0;
	if (bound == (w->bound != GUARANTEES_UNBOUND))
		return;
	count_broken(gs, worker, -1);
	count_worker(gs, worker, -1);
	w->bound = bound ? customer : GUARANTEES_UNBOUND;
	count_worker(gs, worker, 1);
	count_broken(gs, worker, 1);
	use_units(gs, customer, CELL_WORKER, bound ? 1 : -1);
}

/* As use_worker(), for the cell of the worker's rack. */
static void use_rack(struct guarantees *gs, int customer, int worker, int n)
{
	int rack = gs->cell->workers[worker].rack;
	struct guarantees_rack *r = &gs->racks[rack];
	bool bound;

	r->owner_used += n;
	bound = r->owner_used > 0;
	if (bound == (r->bound != GUARANTEES_UNBOUND))
		return;
	count_broken(gs, worker, -1);
	count_rack(gs, rack, -1);
	r->bound = bound ? customer : GUARANTEES_UNBOUND;
	count_rack(gs, rack, 1);
	count_broken(gs, worker, 1);
	use_units(gs, customer, CELL_RACK, bound ? 1 : -1);
}

static void apply_hold(struct guarantees *gs, const struct cell_gang *gang,
		       const struct cell_hold *hold, int sign)
{
	int n = sign * hold->count;

	if (gang->kind == CELL_UNSTOPPABLE) {
		add_hard(gs, hold->worker, n);
	} else if (gang->kind == CELL_OWNED) {
		if (hold->cover != CELL_UNITS)
			gs->customers[gang->customer].held += n;
		if (hold->cover == CELL_UNITS) {
			add_hard(gs, hold->worker, n);
		} else if (hold->cover == CELL_RACK) {
			use_rack(gs, gang->customer, hold->worker, n);
		} else if (hold->cover == CELL_WORKER) {
			use_worker(gs, gang->customer, hold->worker, n);
		} else {
			add_hard(gs, hold->worker, n);
			count_broken(gs, hold->worker, -1);
			gs->workers[hold->worker].accelerators_used += n;
			count_broken(gs, hold->worker, 1);
			use_units(gs, gang->customer, CELL_ACCELERATOR, n);
		}
	}
}

static void apply(struct guarantees *gs, const struct cell_gang *gang, int sign)
{
	int i;

	for (i = 0; i < gang->hold_count; i++)
		apply_hold(gs, gang, &gang->holds[i], sign);
}

/*
 * Whether the placement of a gang leaves all guarantees satisfiable together
 * or, when a failure has made them unsatisfiable, adds no shortage of any
 * unit. This always holds for stoppable borrowed gangs. Unstoppable borrowed
 * gangs must not be placed in a bound cell.
 */
bool guarantees_may_hold(struct guarantees *gs, struct cell_gang *gang)
{
	int before[CELL_UNITS], unit, i;
	bool ok = true;

	if (gang->kind == CELL_STOPPABLE)
		return true;
	for (i = 0; i < gang->hold_count; i++)
		if (gang->kind == CELL_UNSTOPPABLE &&
		    guarantees_is_bound(gs, gang->holds[i].worker))
			return false;
	for (unit = 0; unit < CELL_UNITS; unit++)
		before[unit] = guarantees_missing(gs, unit);
	apply(gs, gang, 1);
	for (unit = 0; unit < CELL_UNITS; unit++)
		ok = ok && guarantees_missing(gs, unit) <= before[unit];
	apply(gs, gang, -1);
	return ok;
}

void guarantees_hold(struct guarantees *gs, struct cell_gang *gang)
{
	apply(gs, gang, 1);
	cell_hold(gs->cell, gang);
	if (gang->kind == CELL_OWNED)
		list_add_tail(&gang->owned,
			      &gs->customers[gang->customer].owned);
}

void guarantees_release(struct guarantees *gs, struct cell_gang *gang)
{
	if (!gang->held)
		return;
	apply(gs, gang, -1);
	cell_release(gs->cell, gang);
	list_del(&gang->owned);
}

/* Changes of guarantees. */

/*
 * Removes a hold from the guarantee that covers it. The gang remains owned
 * while another of its holds is covered: as a borrowed gang it could be
 * stopped, and its owner would lose a guaranteed cell.
 */
static void uncover(struct guarantees *gs, struct cell_gang *gang,
		    struct cell_hold *hold)
{
	int i;

	apply_hold(gs, gang, hold, -1);
	hold->cover = CELL_UNITS;
	apply_hold(gs, gang, hold, 1);
	for (i = 0; i < gang->hold_count; i++)
		if (gang->holds[i].cover != CELL_UNITS)
			return;
	apply(gs, gang, -1);
	gang->kind = gang->stoppable ? CELL_STOPPABLE : CELL_UNSTOPPABLE;
	apply(gs, gang, 1);
	list_del(&gang->owned);
}

static int hold_place(const struct guarantees *gs, const struct cell_hold *hold)
{
	if (hold->cover == CELL_RACK)
		return gs->cell->workers[hold->worker].rack;
	return hold->worker;
}

/* Uncovers the holds of a gang in one cell. Returns how many it had. */
static int uncover_place(struct guarantees *gs, struct cell_gang *gang,
			 enum cell_unit unit, int place)
{
	int i, found = 0;

	for (i = 0; i < gang->hold_count; i++) {
		struct cell_hold *hold = &gang->holds[i];

		if (hold->cover != unit || hold_place(gs, hold) != place)
			continue;
		uncover(gs, gang, hold);
		found++;
	}
	return found;
}

/*
 * Returns the rack or worker of the cell that the latest gang uses under the
 * unit, or -1.
 */
static int covered_place(const struct guarantees *gs,
			 const struct guarantees_customer *c,
			 enum cell_unit unit)
{
	const struct list_head *node;
	int i;

	for (node = c->owned.prev; node != &c->owned; node = node->prev) {
		const struct cell_gang *gang =
			list_entry(node, const struct cell_gang, owned);

		for (i = 0; i < gang->hold_count; i++)
			if (gang->holds[i].cover == unit)
				return hold_place(gs, &gang->holds[i]);
	}
	return -1;
}

/*
 * Ends the use of one cell of the unit under the customer's guarantee. Gangs
 * in it keep running on borrowed accelerators. Returns how many there are.
 */
static int drop_cell(struct guarantees *gs, struct guarantees_customer *c,
		     enum cell_unit unit)
{
	struct cell_gang *gang, *tmp;
	int place = covered_place(gs, c, unit), dropped = 0;

	list_for_each_entry_safe(gang, tmp, &c->owned, owned)
		dropped += uncover_place(gs, gang, unit, place) > 0;
	return dropped;
}

/*
 * Sets a customer's guarantee. Gangs in excess of a lowered guarantee keep
 * running on borrowed accelerators. Returns the number of gangs that are now
 * borrowed, entirely or in part.
 */
int guarantees_set(struct guarantees *gs, int customer,
		   const int units[CELL_UNITS])
{
	struct guarantees_customer *c = &gs->customers[customer];
	int unit, n, dropped = 0;

	for (unit = 0; unit < CELL_UNITS; unit++) {
		gs->need[unit] -= guarantees_units_left(gs, customer, unit);
		c->guaranteed[unit] = units[unit];
		gs->need[unit] += guarantees_units_left(gs, customer, unit);
	}
	for (unit = 0; unit < CELL_UNITS; unit++)
		while (c->used[unit] > c->guaranteed[unit]) {
			n = drop_cell(gs, c, unit);
			if (!n)
				break;
			dropped += n;
		}
	return dropped;
}
