#include <check.h>
#include <stdlib.h>

#include <glib.h>

#include "policy/placing.h"
#include "tests/unit/run.h"

#define WORKERS 160

static struct cell cell;
static struct guarantees gs;
static struct placing_request req;

static void setup(void)
{
	int i;

	cell_init(&cell, 8, WORKERS_PER_RACK);
	for (i = 0; i < WORKERS; i++)
		cell_add_worker(&cell, i / 8, 8);
	guarantees_init(&gs, &cell, 2);
	req = (struct placing_request){ .kind = CELL_STOPPABLE,
					.evict_level = PLACING_NO_EVICTION,
					.saved_before_us = 100,
					.now_us = 100 };
}

static void teardown(void)
{
	guarantees_finish(&gs);
	cell_finish(&cell);
}

static bool place(struct cell_gang *g, int total)
{
	cell_gang_init(g, 0, total, true);
	if (!placing_place_borrowed(&gs, g, &req))
		return false;
	guarantees_hold(&gs, g);
	return true;
}

static void release(struct cell_gang *g)
{
	guarantees_release(&gs, g);
	cell_gang_reset(g);
}

/*
 * Guards against small gangs placed on free workers or in unused racks while
 * a partly used worker or rack has room.
 */
START_TEST(small_gangs_fill_the_fullest_worker)
{
	struct cell_gang a, b, c;

	ck_assert(place(&a, 5) && place(&b, 2) && place(&c, 3));
	ck_assert_int_eq(b.holds[0].worker, a.holds[0].worker);
	ck_assert_int_ne(c.holds[0].worker, a.holds[0].worker);
	ck_assert_int_eq(cell.workers[c.holds[0].worker].rack,
			 cell.workers[a.holds[0].worker].rack);
	release(&a);
	release(&b);
	release(&c);
}
END_TEST

/* Guards against a gang spread over more racks or rows than it needs. */
START_TEST(large_gangs_take_neighbours_in_one_row)
{
	struct cell_gang one, part, big;
	int i, first = RACKS_MAX, last = -1, total = 0;

	ck_assert(place(&one, 1));
	ck_assert(place(&part, 60));
	ck_assert_int_eq(part.hold_count, 8);
	for (i = 0; i < part.hold_count; i++)
		ck_assert_int_eq(cell.workers[part.holds[i].worker].rack,
				 cell.workers[part.holds[0].worker].rack);
	ck_assert(place(&big, 512));
	for (i = 0; i < big.hold_count; i++) {
		int rack = cell.workers[big.holds[i].worker].rack;

		first = MIN(first, rack);
		last = MAX(last, rack);
		total += big.holds[i].count;
	}
	ck_assert_int_eq(total, 512);
	ck_assert_int_eq(last - first, 7);
	ck_assert_int_eq(first / RACKS_PER_ROW, last / RACKS_PER_ROW);
	ck_assert(placing_fits_when_empty(&cell, 512));
	ck_assert(!placing_fits_when_empty(&cell, 513));
	release(&one);
	release(&part);
	release(&big);
}
END_TEST

static void count_victim(struct cell_gang *victim, void *user)
{
	*(int *)user += victim->total;
}

/*
 * Guards against evictions that lose more work than necessary, or of gangs
 * whose level is not above that of the request.
 */
START_TEST(victims_are_those_that_lose_least)
{
	struct cell_gang *gangs = g_new0(struct cell_gang, WORKERS), late;
	int i, evicted = 0;

	for (i = 0; i < WORKERS; i++) {
		ck_assert(place(&gangs[i], 8));
		gangs[i].level = 1;
		gangs[i].saved_us = i == 77 ? 90 : 10;
	}
	ck_assert(!place(&late, 8));
	req.evict_level = 1;
	ck_assert(!place(&late, 8));
	req.evict_level = 0;
	ck_assert(place(&late, 8));
	ck_assert(!cell_can_start(&cell, &late));
	ck_assert_int_eq(
		placing_evict(&gs, &late, &req, count_victim, &evicted), 1);
	ck_assert_int_eq(evicted, 8);
	ck_assert(gangs[77].leaving);
	release(&gangs[77]);
	ck_assert(cell_can_start(&cell, &late));
	for (i = 0; i < WORKERS; i++)
		release(&gangs[i]);
	release(&late);
	g_free(gangs);
}
END_TEST

/* Guards against unstoppable gangs placed in reserved racks. */
START_TEST(reservation_keeps_unstoppable_work_out)
{
	struct cell_gang soft, hard;

	ck_assert_int_eq(placing_reserve_racks(&gs, 512, 100), 8);
	req.kind = CELL_UNSTOPPABLE;
	ck_assert(place(&hard, 1));
	ck_assert(
		!cell.racks[cell.workers[hard.holds[0].worker].rack].reserved);
	release(&hard);
	placing_reserve_racks(&gs, 512, 100);
	req.kind = CELL_STOPPABLE;
	ck_assert(place(&soft, 8));
	release(&soft);
	placing_release_racks(&gs);
}
END_TEST

/*
 * Guards against moves that leave no whole worker free, and of gangs that may
 * not be evicted.
 */
START_TEST(move_frees_a_whole_worker)
{
	struct cell_gang a, b, c;

	ck_assert(place(&a, 5) && place(&b, 5));
	a.level = b.level = 1;
	req.evict_level = 0;
	/* 5 accelerators do not fit beside 5 on a worker of 8. */
	ck_assert_ptr_null(placing_find_move(&gs, &req));
	req.evict_level = PLACING_NO_EVICTION;
	ck_assert(place(&c, 4));
	release(&b);
	/* 4 is alone on its worker and does not fit beside 5 either. */
	c.level = 1;
	req.evict_level = 0;
	ck_assert_ptr_null(placing_find_move(&gs, &req));
	req.evict_level = PLACING_NO_EVICTION;
	release(&c);
	ck_assert(place(&b, 4));
	ck_assert(place(&c, 3));
	ck_assert_int_eq(c.holds[0].worker, a.holds[0].worker);
	release(&a);
	c.level = b.level = 1;
	b.saved_us = 3550 * USEC_PER_SEC;
	req.now_us = 3600 * USEC_PER_SEC;
	req.saved_before_us = req.now_us;
	req.evict_level = 0;
	/* Each is alone on its worker; b, saved later, loses less work. */
	ck_assert_ptr_eq(placing_find_move(&gs, &req), &b);
	req.saved_before_us = -1;
	ck_assert_ptr_null(placing_find_move(&gs, &req));
	release(&b);
	release(&c);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("placing");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, small_gangs_fill_the_fullest_worker);
	tcase_add_test(tc, large_gangs_take_neighbours_in_one_row);
	tcase_add_test(tc, victims_are_those_that_lose_least);
	tcase_add_test(tc, reservation_keeps_unstoppable_work_out);
	tcase_add_test(tc, move_frees_a_whole_worker);
	return run_case("placing", tc);
}
