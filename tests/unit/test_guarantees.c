#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "policy/placing.h"
#include "tests/unit/run.h"

#define RACKS 3
#define RACK_SIZE 2
#define SIZE 2
#define WORKERS (RACKS * RACK_SIZE)
#define CUSTOMERS 3
#define GANGS 12

/* Exhaustive search, for comparison with the counts of struct guarantees. */

struct brute {
	int open[WORKERS]; /* accelerators that claims can take */
	int need[CELL_UNITS]; /* guaranteed units not in use */
};

static bool rack_open(const struct brute *b, int rack)
{
	int i;

	for (i = 0; i < RACK_SIZE; i++)
		if (b->open[rack * RACK_SIZE + i] != SIZE)
			return false;
	return true;
}

/* Whether some assignment of the needed units to cells exists. */
static bool assign(struct brute b)
{
	struct brute next;
	int i, j;

	if (b.need[CELL_RACK] > 0) {
		for (i = 0; i < RACKS; i++) {
			if (!rack_open(&b, i))
				continue;
			next = b;
			next.need[CELL_RACK]--;
			for (j = 0; j < RACK_SIZE; j++)
				next.open[i * RACK_SIZE + j] = 0;
			if (assign(next))
				return true;
		}
		return false;
	}
	if (b.need[CELL_WORKER] > 0) {
		for (i = 0; i < WORKERS; i++) {
			if (b.open[i] != SIZE)
				continue;
			next = b;
			next.need[CELL_WORKER]--;
			next.open[i] = 0;
			if (assign(next))
				return true;
		}
		return false;
	}
	for (i = 0; i < WORKERS; i++)
		b.need[CELL_ACCELERATOR] -= b.open[i];
	return b.need[CELL_ACCELERATOR] <= 0;
}

struct world {
	struct cell cell;
	struct guarantees gs;
	struct cell_gang gangs[GANGS];
	GRand *rnd;
	bool down[WORKERS];
};

/*
 * Determines what claims can take from the gangs alone, without the counts of
 * struct guarantees, and searches for an assignment.
 */
static bool brute_satisfiable(const struct world *w)
{
	int used[CUSTOMERS][CELL_UNITS] = { 0 }, i, j, u;
	bool bound[WORKERS] = { false };
	bool rack_seen[RACKS] = { false }, worker_seen[WORKERS] = { false };
	struct brute b = { 0 };

	for (i = 0; i < WORKERS; i++)
		b.open[i] = w->down[i] ? 0 : w->cell.workers[i].total;
	for (i = 0; i < GANGS; i++) {
		const struct cell_gang *g = &w->gangs[i];

		for (j = 0; g->held && j < g->hold_count; j++) {
			const struct cell_hold *h = &g->holds[j];
			int rack = h->worker / RACK_SIZE;

			if (g->kind == CELL_STOPPABLE)
				continue;
			if (g->kind == CELL_UNSTOPPABLE ||
			    h->cover == CELL_UNITS ||
			    h->cover == CELL_ACCELERATOR) {
				if (!w->down[h->worker])
					b.open[h->worker] -= h->count;
				if (g->kind == CELL_OWNED &&
				    h->cover == CELL_ACCELERATOR)
					used[g->customer][0] += h->count;
			} else if (h->cover == CELL_WORKER) {
				used[g->customer][1] += !worker_seen[h->worker];
				worker_seen[h->worker] = true;
				bound[h->worker] = true;
			} else {
				used[g->customer][2] += !rack_seen[rack];
				rack_seen[rack] = true;
				for (u = 0; u < RACK_SIZE; u++)
					bound[rack * RACK_SIZE + u] = true;
			}
		}
	}
	for (i = 0; i < WORKERS; i++)
		if (bound[i])
			b.open[i] = 0;
	for (i = 0; i < CUSTOMERS; i++)
		for (u = 0; u < CELL_UNITS; u++)
			b.need[u] += MAX(0, w->gs.customers[i].guaranteed[u] -
						    used[i][u]);
	return assign(b);
}

static void remove_victim(struct cell_gang *victim, void *user)
{
	guarantees_release(user, victim);
	cell_gang_reset(victim);
}

/*
 * Starts a gang under its customer's guarantee or on borrowed accelerators,
 * at random.
 */
static void start(struct world *w, struct cell_gang *g)
{
	int customer = g_rand_int_range(w->rnd, 0, CUSTOMERS);
	int total = g_rand_int_range(w->rnd, 1, 9), unit;
	bool satisfiable = guarantees_satisfiable(&w->gs);
	struct placing_request req = { .evict_level = PLACING_NO_EVICTION,
				       .reclaim = true };

	req.customer = customer;
	cell_gang_init(g, customer, total, g_rand_boolean(w->rnd));
	if (g_rand_boolean(w->rnd)) {
		/* A satisfiable guarantee must let each unit be claimed. */
		for (unit = 0; unit < CELL_UNITS; unit++) {
			static const int sizes[] = { 1, SIZE,
						     SIZE * RACK_SIZE };
			struct cell_gang probe;

			if (!satisfiable ||
			    !guarantees_units_left(&w->gs, customer, unit))
				continue;
			cell_gang_init(&probe, customer, sizes[unit], false);
			ck_assert(placing_claim(&w->gs, &probe, &req));
			cell_gang_reset(&probe);
		}
		if (placing_claim(&w->gs, g, &req)) {
			guarantees_hold(&w->gs, g);
			placing_evict(&w->gs, g, &req, remove_victim, &w->gs);
			ck_assert(cell_can_start(&w->cell, g));
		}
		return;
	}
	req.kind = g->stoppable ? CELL_STOPPABLE : CELL_UNSTOPPABLE;
	if (placing_place_borrowed(&w->gs, g, &req)) {
		guarantees_hold(&w->gs, g);
		ck_assert(cell_can_start(&w->cell, g));
	}
}

static void world_init(struct world *w, int seed)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->rnd = g_rand_new_with_seed(seed);
	cell_init(&w->cell, SIZE, RACK_SIZE);
	for (i = 0; i < WORKERS; i++)
		cell_add_worker(&w->cell, i / RACK_SIZE,
				seed % 3 == 0 && i == WORKERS - 1 ? 1 : SIZE);
	guarantees_init(&w->gs, &w->cell, CUSTOMERS);
	for (i = 0; i < GANGS; i++)
		cell_gang_init(&w->gangs[i], 0, 0, true);
}

static void world_finish(struct world *w)
{
	int i;

	for (i = 0; i < GANGS; i++) {
		guarantees_release(&w->gs, &w->gangs[i]);
		cell_gang_reset(&w->gangs[i]);
	}
	for (i = 0; i < CUSTOMERS; i++)
		for (int u = 0; u < CELL_UNITS; u++)
			ck_assert_int_eq(w->gs.customers[i].used[u], 0);
	guarantees_finish(&w->gs);
	cell_finish(&w->cell);
	g_rand_free(w->rnd);
}

static void change_guarantee(struct world *w)
{
	int units[CELL_UNITS] = { g_rand_int_range(w->rnd, 0, 3),
				  g_rand_int_range(w->rnd, 0, 2),
				  g_rand_int_range(w->rnd, 0, 2) };

	guarantees_set(&w->gs, g_rand_int_range(w->rnd, 0, CUSTOMERS), units);
}

/*
 * Makes one random change. Returns whether it may make the guarantees
 * unsatisfiable.
 */
static bool step(struct world *w)
{
	struct cell_gang *g = &w->gangs[g_rand_int_range(w->rnd, 0, GANGS)];
	int what = g_rand_int_range(w->rnd, 0, 20), i;

	if (what == 0) {
		change_guarantee(w);
		return true;
	}
	if (what == 1) {
		i = g_rand_int_range(w->rnd, 0, WORKERS);
		w->down[i] = !w->down[i];
		guarantees_set_usable(&w->gs, i, !w->down[i]);
		return true;
	}
	if (g->held) {
		guarantees_release(&w->gs, g);
		cell_gang_reset(g);
	} else {
		start(w, g);
	}
	return false;
}

/*
 * Guards against a result of guarantees_satisfiable() that differs from a
 * search over all assignments, and against placements after which the
 * guarantees are no longer satisfiable together (invariant I1).
 */
START_TEST(satisfiable_matches_brute_force)
{
	int seed, i, cases = 0, satisfiable = 0;

	for (seed = 1; seed <= 300; seed++) {
		struct world w;

		world_init(&w, seed);
		change_guarantee(&w);
		for (i = 0; i < 200; i++) {
			bool before = !guarantees_broken(&w.gs);
			bool may_break = step(&w);

			ck_assert_msg(guarantees_satisfiable(&w.gs) ==
					      brute_satisfiable(&w),
				      "seed %d step %d", seed, i);
			if (before && !may_break)
				ck_assert_msg(guarantees_satisfiable(&w.gs),
					      "seed %d step %d broken", seed,
					      i);
			cases++;
			satisfiable += guarantees_satisfiable(&w.gs);
		}
		world_finish(&w);
	}
	printf("guarantees: %d cases, %d satisfiable\n", cases, satisfiable);
	ck_assert_int_gt(satisfiable, cases / 10);
	ck_assert_int_lt(satisfiable, cases);
}
END_TEST

/* Guards against unstoppable gangs placed on guaranteed cells. */
START_TEST(unstoppable_work_is_never_lent_a_guaranteed_place)
{
	struct placing_request hard = { .kind = CELL_UNSTOPPABLE,
					.evict_level = PLACING_NO_EVICTION };
	struct placing_request soft = { .kind = CELL_STOPPABLE,
					.evict_level = PLACING_NO_EVICTION,
					.reclaim = true };
	int units[CELL_UNITS] = { 0, 0, RACKS };
	struct cell_gang a, b, c;
	struct world w;

	world_init(&w, 1);
	guarantees_set(&w.gs, 0, units);
	cell_gang_init(&a, 1, 1, false);
	ck_assert(!placing_place_borrowed(&w.gs, &a, &hard));
	cell_gang_init(&b, 1, WORKERS * SIZE, true);
	ck_assert(placing_place_borrowed(&w.gs, &b, &soft));
	guarantees_hold(&w.gs, &b);
	cell_gang_init(&c, 0, RACK_SIZE * SIZE, false);
	ck_assert(placing_claim(&w.gs, &c, &soft));
	guarantees_hold(&w.gs, &c);
	ck_assert(!cell_can_start(&w.cell, &c));
	ck_assert_int_eq(placing_evict(&w.gs, &c, &soft, remove_victim, &w.gs),
			 1);
	ck_assert(cell_can_start(&w.cell, &c));
	guarantees_release(&w.gs, &c);
	cell_gang_reset(&c);
	world_finish(&w);
}
END_TEST

/* Guards against a host failure in a bound cell that is not reported. */
START_TEST(host_failure_breaks_and_restores_the_guarantee)
{
	int units[CELL_UNITS] = { 0, 0, RACKS };
	struct placing_request soft = { .kind = CELL_STOPPABLE,
					.evict_level = PLACING_NO_EVICTION,
					.reclaim = true };
	struct cell_gang c;
	struct world w;

	world_init(&w, 1);
	guarantees_set(&w.gs, 0, units);
	ck_assert(!guarantees_broken(&w.gs));
	cell_gang_init(&c, 0, SIZE, false);
	ck_assert(placing_claim(&w.gs, &c, &soft));
	guarantees_hold(&w.gs, &c);
	guarantees_set_usable(&w.gs, c.holds[0].worker ^ 1, false);
	ck_assert(guarantees_broken(&w.gs));
	guarantees_set_usable(&w.gs, c.holds[0].worker ^ 1, true);
	ck_assert(!guarantees_broken(&w.gs));
	units[CELL_RACK] = 0;
	ck_assert_int_eq(guarantees_set(&w.gs, 0, units), 1);
	ck_assert_int_eq(c.kind, CELL_UNSTOPPABLE);
	guarantees_release(&w.gs, &c);
	cell_gang_reset(&c);
	world_finish(&w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("guarantees");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, satisfiable_matches_brute_force);
	tcase_add_test(tc, unstoppable_work_is_never_lent_a_guaranteed_place);
	tcase_add_test(tc, host_failure_breaks_and_restores_the_guarantee);
	return run_case("guarantees", tc);
}
