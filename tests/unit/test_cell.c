#include <check.h>
#include <stdlib.h>

#include <glib.h>

#include "policy/cell.h"
#include "tests/unit/run.h"

#define GANG_COUNT 40

static int free_accelerators(const struct cell *cell, int i)
{
	const struct cell_worker *w = &cell->workers[i];

	return w->usable && w->total > w->held ? w->total - w->held : 0;
}

/* Compares the free counts with a recount over all workers. */
static void check_counts(const struct cell *cell)
{
	int by_free[WORKER_ACCELERATORS_MAX + 1] = { 0 };
	int free = 0, i, j;

	for (i = 0; i < cell->worker_count; i++) {
		by_free[free_accelerators(cell, i)]++;
		free += free_accelerators(cell, i);
	}
	ck_assert_int_eq(cell->free, free);
	for (i = 0; i <= WORKER_ACCELERATORS_MAX; i++)
		ck_assert_int_eq(cell->by_free[i], by_free[i]);
	for (i = 0; i < cell->rack_count; i++) {
		const struct cell_rack *rack = &cell->racks[i];
		int rack_free = 0, whole = 0;

		for (j = 0; j < rack->count; j++) {
			int f = free_accelerators(cell, rack->workers[j]);

			rack_free += f;
			whole += f == cell->worker_size;
		}
		ck_assert_int_eq(rack->free, rack_free);
		ck_assert_int_eq(rack->whole, whole);
	}
}

/*
 * The incremental free counts must match the holds after any sequence of
 * allocations, releases and changes of usability.
 */
START_TEST(free_counts_match_recount)
{
	struct cell_gang gangs[GANG_COUNT];
	GRand *rnd = g_rand_new_with_seed(7);
	struct cell cell;
	int i, step;

	cell_init(&cell, 8, WORKERS_PER_RACK);
	for (i = 0; i < 100; i++)
		ck_assert_int_eq(cell_add_worker(&cell, i / 8, i % 9 ? 8 : 4),
				 i);
	ck_assert_int_eq(cell_add_worker(&cell, 0, 8), -1);
	for (i = 0; i < GANG_COUNT; i++)
		cell_gang_init(&gangs[i], 0, 0, true);
	for (step = 0; step < 5000; step++) {
		struct cell_gang *g =
			&gangs[g_rand_int_range(rnd, 0, GANG_COUNT)];

		if (g->held) {
			cell_release(&cell, g);
			cell_gang_reset(g);
		} else {
			for (i = 0; i < 5; i++)
				cell_gang_add(
					g, g_rand_int_range(rnd, 0, 20) * 5 + i,
					g_rand_int_range(rnd, 1, 9),
					CELL_ACCELERATOR);
			cell_hold(&cell, g);
		}
		cell_set_usable(&cell, g_rand_int_range(rnd, 0, 100),
				g_rand_boolean(rnd));
		check_counts(&cell);
	}
	for (i = 0; i < GANG_COUNT; i++)
		cell_gang_reset(&gangs[i]);
	cell_finish(&cell);
	g_rand_free(rnd);
}
END_TEST

/* A gang must not span two rows, so racks of two rows must not be added up. */
START_TEST(largest_gang_is_within_one_row)
{
	struct cell_gang g;
	struct cell cell;
	int i;

	cell_init(&cell, 8, WORKERS_PER_RACK);
	for (i = 0; i < 50; i++)
		cell_add_worker(&cell, RACKS_PER_ROW - 2 + i / 8, 8);
	ck_assert_int_eq(cell_largest_gang(&cell), 34 * 8);
	cell_gang_init(&g, 0, 0, true);
	for (i = 0; i < 50; i++)
		cell_gang_add(&g, i, i ? 2 : 3, CELL_ACCELERATOR);
	cell_hold(&cell, &g);
	ck_assert_int_eq(cell_largest_gang(&cell), 6);
	cell_release(&cell, &g);
	cell_gang_reset(&g);
	cell_finish(&cell);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("cell");

	tcase_add_test(tc, free_counts_match_recount);
	tcase_add_test(tc, largest_gang_is_within_one_row);
	return run_case("cell", tc);
}
