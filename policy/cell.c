#include "policy/cell.h"

#include <string.h>

#include <glib.h>

/*
 * A full-size worker has worker_size accelerators, and a full-size rack has
 * rack_size workers.
 */
void cell_init(struct cell *cell, int worker_size, int rack_size)
{
	memset(cell, 0, sizeof(*cell));
	cell->worker_size = worker_size;
	cell->rack_size = rack_size;
}

void cell_finish(struct cell *cell)
{
	g_free(cell->workers);
	g_free(cell->racks);
	memset(cell, 0, sizeof(*cell));
}

/*
 * Adds a worker's free accelerators to the counts of its rack and of the cell,
 * or subtracts them when sign is -1.
 */
static void add_free_counts(struct cell *cell, const struct cell_worker *w,
			    int sign)
{
	struct cell_rack *rack = &cell->racks[w->rack];

	cell->free += sign * w->free;
	cell->by_free[w->free] += sign;
	rack->free += sign * w->free;
	rack->by_free[w->free] += sign;
	if (w->free == cell->worker_size)
		rack->whole += sign;
}

/* Recomputes w->free and the counts that depend on it. */
static void update_free(struct cell *cell, struct cell_worker *w)
{
	int free = 0;

	if (w->usable && w->total > w->held)
		free = w->total - w->held;
	if (free == w->free)
		return;
	add_free_counts(cell, w, -1);
	w->free = free;
	add_free_counts(cell, w, 1);
}

static void grow_racks(struct cell *cell, int count)
{
	if (count > cell->rack_capacity) {
		cell->rack_capacity = MAX(count, cell->rack_capacity * 2);
		cell->racks = g_renew(struct cell_rack, cell->racks,
				      cell->rack_capacity);
	}
	memset(&cell->racks[cell->rack_count], 0,
	       sizeof(*cell->racks) * (count - cell->rack_count));
	cell->rack_count = count;
}

/*
 * The holds of a worker point to the list head inside the array, so each list
 * is relinked to the head in the new array.
 */
static void grow_workers(struct cell *cell)
{
	int capacity = cell->worker_capacity ? cell->worker_capacity * 2 : 64,
	    i;
	struct cell_worker *workers = g_new0(struct cell_worker, capacity);

	for (i = 0; i < cell->worker_count; i++) {
		struct list_head *old = &cell->workers[i].holds;

		workers[i] = cell->workers[i];
		list_init(&workers[i].holds);
		if (!list_empty(old)) {
			list_add(&workers[i].holds, old);
			list_del(old);
		}
	}
	g_free(cell->workers);
	cell->workers = workers;
	cell->worker_capacity = capacity;
}

/*
 * Adds a usable worker without holds and returns its index. Returns -1 when
 * the rack number or the number of accelerators is out of range, or when the
 * rack is full.
 */
int cell_add_worker(struct cell *cell, int rack, int accelerators)
{
	struct cell_worker *w;
	struct cell_rack *r;

	if (rack < 0 || rack >= RACKS_MAX || accelerators < 0 ||
	    accelerators > WORKER_ACCELERATORS_MAX)
		return -1;
	if (rack >= cell->rack_count)
		grow_racks(cell, rack + 1);
	r = &cell->racks[rack];
	if (r->count == WORKERS_PER_RACK)
		return -1;
	if (cell->worker_count == cell->worker_capacity)
		grow_workers(cell);
	w = &cell->workers[cell->worker_count];
	list_init(&w->holds);
	w->rack = rack;
	w->total = accelerators;
	w->free = accelerators;
	w->usable = true;
	w->held = 0;
	r->workers[r->count++] = cell->worker_count;
	cell->accelerators += accelerators;
	add_free_counts(cell, w, 1);
	return cell->worker_count++;
}

/*
 * An unusable worker has no free accelerators. Gangs that hold accelerators on
 * it keep them.
 */
void cell_set_usable(struct cell *cell, int worker, bool usable)
{
	struct cell_worker *w = &cell->workers[worker];

	if (w->usable == usable)
		return;
	w->usable = usable;
	cell->accelerators += usable ? w->total : -w->total;
	update_free(cell, w);
}

/*
 * Allocates the accelerators of the gang's placement. A worker may become
 * over-allocated: the gang must then wait until cell_can_start().
 */
void cell_hold(struct cell *cell, struct cell_gang *gang)
{
	int i;

	for (i = 0; i < gang->hold_count; i++) {
		struct cell_hold *hold = &gang->holds[i];
		struct cell_worker *w = &cell->workers[hold->worker];

		hold->gang = gang;
		list_add_tail(&hold->node, &w->holds);
		w->held += hold->count;
		update_free(cell, w);
	}
	gang->held = true;
}

/* Frees the gang's accelerators; its placement stays. */
void cell_release(struct cell *cell, struct cell_gang *gang)
{
	int i;

	for (i = 0; i < gang->hold_count; i++) {
		struct cell_hold *hold = &gang->holds[i];
		struct cell_worker *w = &cell->workers[hold->worker];

		list_del(&hold->node);
		w->held -= hold->count;
		update_free(cell, w);
	}
	gang->held = false;
}

/* Returns true if none of the gang's workers is over-allocated. */
bool cell_can_start(const struct cell *cell, const struct cell_gang *gang)
{
	int i;

	for (i = 0; i < gang->hold_count; i++) {
		const struct cell_worker *w =
			&cell->workers[gang->holds[i].worker];

		if (w->held > w->total)
			return false;
	}
	return true;
}

/*
 * Returns the largest number of free accelerators on one worker, among the
 * rack's workers that have fewer than worker_size free.
 */
static int largest_partial(const struct cell *cell,
			   const struct cell_rack *rack)
{
	int f;

	for (f = cell->worker_size - 1; f > 0; f--)
		if (rack->by_free[f])
			return f;
	return 0;
}

/*
 * Returns the size of the largest gang that could start now: on one worker,
 * within one rack, or within the racks of one row. All of the gang's workers
 * but one must have worker_size accelerators free.
 */
int cell_largest_gang(const struct cell *cell)
{
	int best = 0, row_whole = 0, row_part = 0, i, f, part, n;

	for (f = WORKER_ACCELERATORS_MAX; f > 0 && !best; f--)
		if (cell->by_free[f])
			best = f;
	for (i = 0; i < cell->rack_count; i++) {
		const struct cell_rack *rack = &cell->racks[i];

		if (i % RACKS_PER_ROW == 0)
			row_whole = row_part = 0;
		part = largest_partial(cell, rack);
		row_whole += rack->whole;
		row_part = MAX(row_part, part);
		n = rack->whole * cell->worker_size + part;
		best = MAX(best, n);
		n = row_whole * cell->worker_size + row_part;
		if (n > cell->worker_size * cell->rack_size)
			best = MAX(best, n);
	}
	return MIN(best, GANG_MAX_ACCELERATORS);
}

/* Gangs. */

void cell_gang_init(struct cell_gang *gang, int customer, int total,
		    bool stoppable)
{
	memset(gang, 0, sizeof(*gang));
	list_init(&gang->owned);
	gang->customer = customer;
	gang->total = total;
	gang->stoppable = stoppable;
}

/* Discards the placement of a gang that holds no accelerators. */
void cell_gang_reset(struct cell_gang *gang)
{
	g_free(gang->holds);
	gang->holds = NULL;
	gang->hold_count = 0;
	gang->leaving = false;
}

/*
 * Appends a hold to the placement of a gang that holds no accelerators yet.
 * The array's capacity is a power of two, and doubles when it is full.
 */
void cell_gang_add(struct cell_gang *gang, int worker, int count,
		   enum cell_unit cover)
{
	struct cell_hold *hold;

	if ((gang->hold_count & (gang->hold_count - 1)) == 0)
		gang->holds = g_renew(struct cell_hold, gang->holds,
				      MAX(1, gang->hold_count * 2));
	hold = &gang->holds[gang->hold_count++];
	list_init(&hold->node);
	hold->gang = gang;
	hold->worker = worker;
	hold->count = count;
	hold->cover = cover;
}
