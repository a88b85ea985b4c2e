#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "bench/jobs_run.h"
#include "policy/placing.h"
#include "policy/scheduler.h"

/*
 * Cost of placement and of a scheduling pass at growing sizes, up to and
 * beyond the size in two years. Each column has a growth exponent: log of
 * the ratio of costs over log of the ratio of sizes; 1 is linear.
 */

#define CUSTOMERS 250
#define PLACEMENTS 2000

struct point {
	int workers;
	int jobs;
	double place_p99_us;
	double pass_full_ms;
	double pass_start_ms;
};

static double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec + t.tv_nsec / 1e9;
}

static void op_job(struct scheduler *sc, struct scheduler_job *job)
{
}

static void op_stop(struct scheduler *sc, struct scheduler_job *job,
		    const char *reason)
{
}

static void op_ended(struct scheduler *sc, struct scheduler_job *job,
		     enum scheduler_end end, const char *reason)
{
}

static void op_broken(struct scheduler *sc, bool broken)
{
}

static const struct scheduler_ops ops = {
	.start = op_job,
	.checkpoint = op_job,
	.stop = op_stop,
	.queued = op_stop,
	.ended = op_ended,
	.broken = op_broken,
};

static void make(struct scheduler *sc, int workers)
{
	static const int none[CELL_UNITS];
	int units[CELL_UNITS] = { 0, 1, 0 }, i;

	scheduler_init(sc, &ops, 8, WORKERS_PER_RACK);
	for (i = 0; i < workers; i++)
		scheduler_add_worker(sc, i / WORKERS_PER_RACK, 8);
	for (i = 0; i < CUSTOMERS; i++) {
		scheduler_add_customer(sc);
		scheduler_set_customer(sc, i, 1 + i % 10, 0,
				       workers > 2 * CUSTOMERS ? units : none,
				       0);
	}
}

/* Fills a share of the workers with small gangs, then places large ones. */
static double place_p99_us(int workers, GRand *rnd)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	struct cell_gang *small = g_new0(struct cell_gang, workers);
	struct placing_request ask = { .kind = CELL_STOPPABLE,
				       .evict_level = PLACING_NO_EVICTION };
	struct cell_gang big;
	struct scheduler sc;
	double p99, t;
	int i;

	make(&sc, workers);
	for (i = 0; i < workers; i++) {
		cell_gang_init(&small[i], 0, 4, true);
		cell_gang_add(&small[i], i, 4, CELL_ACCELERATOR);
		if (g_rand_int_range(rnd, 0, 100) < 40)
			guarantees_hold(&sc.gs, &small[i]);
	}
	for (i = 0; i < PLACEMENTS; i++) {
		int j = g_rand_int_range(rnd, 0, workers);

		cell_gang_init(&big, 1, GANG_MAX_ACCELERATORS, true);
		ask.evict_level = i % 2 ? PLACING_NO_EVICTION : -1;
		t = now_s();
		if (placing_place_borrowed(&sc.gs, &big, &ask)) {
			guarantees_hold(&sc.gs, &big);
			t = (now_s() - t) * 1e6;
			guarantees_release(&sc.gs, &big);
		} else {
			t = (now_s() - t) * 1e6;
		}
		cell_gang_reset(&big);
		g_array_append_val(times, t);
		if (small[j].held) {
			guarantees_release(&sc.gs, &small[j]);
		} else {
			small[j].kind = CELL_STOPPABLE;
			guarantees_hold(&sc.gs, &small[j]);
		}
	}
	run_median(times); /* sorts */
	p99 = g_array_index(times, double, times->len * 99 / 100);
	for (i = 0; i < workers; i++) {
		guarantees_release(&sc.gs, &small[i]);
		cell_gang_reset(&small[i]);
	}
	scheduler_finish(&sc);
	g_array_free(times, TRUE);
	g_free(small);
	return p99;
}

/* Worst of the passes over a queue of that many jobs, in ms. */
static double pass_ms(int workers, int jobs, bool full, GRand *rnd)
{
	static const int sizes[] = { 1, 1, 2, 4, 8, 16, 64, 512 };
	struct scheduler_job *table = g_new0(struct scheduler_job, jobs);
	double worst = 0, t;
	struct scheduler sc;
	int i;

	make(&sc, workers);
	for (i = 0; i < jobs; i++) {
		scheduler_job_init(
			&table[i], i + 1, g_rand_int_range(rnd, 0, CUSTOMERS),
			sizes[g_rand_int_range(rnd, 0, 8)],
			g_rand_int_range(rnd, 0, 100) < 85, false, true);
		scheduler_submit(&sc, &table[i], i);
	}
	/* The first passes fill the workers, the later ones find no place. */
	for (i = 0; i < 200; i++) {
		t = now_s();
		scheduler_pass(&sc, USEC_PER_SEC * (1 + i));
		t = (now_s() - t) * 1e3;
		if ((i >= 120) == full)
			worst = MAX(worst, t);
	}
	for (i = 0; i < jobs; i++)
		scheduler_job_finish(&sc, &table[i]);
	scheduler_finish(&sc);
	g_free(table);
	return worst;
}

static void print_slope(const char *name, double x, double y, double size)
{
	printf("%-28s %.2f\n", name, log(y / x) / log(size));
}

int main(void)
{
	static const int sizes[] = { 500, 1000, 2000, 4000, 8000, 14000 };
	struct point points[G_N_ELEMENTS(sizes)];
	GRand *rnd = g_rand_new_with_seed(1);
	struct point *a = &points[1], *b;
	size_t i;

	printf("workers     jobs  place512_p99_us  pass_start_ms  "
	       "pass_full_ms\n");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct point *p = &points[i];

		p->workers = p->jobs = sizes[i];
		p->place_p99_us = place_p99_us(p->workers, rnd);
		p->pass_start_ms = pass_ms(p->workers, p->jobs, false, rnd);
		p->pass_full_ms = pass_ms(p->workers, p->jobs, true, rnd);
		printf("%7d %8d %16.1f %14.2f %13.2f\n", p->workers, p->jobs,
		       p->place_p99_us, p->pass_start_ms, p->pass_full_ms);
	}
	b = &points[G_N_ELEMENTS(sizes) - 1];
	printf("growth exponent from %d to %d workers and jobs "
	       "(n log n: %.2f)\n",
	       a->workers, b->workers,
	       1 + log(log(b->workers) / log(a->workers)) /
			       log((double)b->workers / a->workers));
	print_slope("placement", a->place_p99_us, b->place_p99_us,
		    (double)b->workers / a->workers);
	print_slope("pass that starts jobs", a->pass_start_ms, b->pass_start_ms,
		    (double)b->workers / a->workers);
	print_slope("pass that finds no place", a->pass_full_ms,
		    b->pass_full_ms, (double)b->workers / a->workers);
	printf("bytes: worker %zu, rack %zu, job %zu, hold (task) %zu\n",
	       sizeof(struct cell_worker) + sizeof(struct guarantees_worker) +
		       sizeof(struct worker_health_worker) + sizeof(bool),
	       sizeof(struct cell_rack) + sizeof(struct guarantees_rack),
	       sizeof(struct scheduler_job), sizeof(struct cell_hold));
	printf("targets: placement p99 <= 2000 us, pass over 14000 jobs "
	       "<= 100 ms\n");
	g_rand_free(rnd);
	return 0;
}
