#include <stdio.h>
#include <stdlib.h>

#include "base/limits.h"
#include "bench/jobs_run.h"

/*
 * Compares the scheduler's decision code with first-come first-fit on the
 * same loads, for each user and seed. Arguments: number of seeds, default 5;
 * offered work over capacity, default 1.5.
 */

static const char *const users[LOAD_USERS] = {
	"Roda Bersama (waiting time first)",
	"Bennani (completion time first)",
};

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

static void print_row(int seed, const char *name, const struct run_result *r)
{
	printf("%4d %-10s %8.0f %8.0f %8.0f %7.2f %6.1f %6.1f %6d %7.2f %6d %5d %5d "
	       "%6d %6.1f\n",
	       seed, name, r->run_s, r->wait_s, r->completion_s, r->gang_ratio,
	       100 * r->use, 100 * r->useful, r->claims, r->claim_worst_s,
	       r->done, r->hopeless_ended, r->ended_early, r->displaced,
	       r->makespan_h);
}

struct totals {
	double wait, completion, bound, gang, use, useful, claim;
	int claims;
	int missed; /* seeds on which a target was missed */
};

static void add(struct totals *t, const struct run_result *a,
		const struct run_result *b)
{
	bool ok = ratio(a->completion_s, b->completion_s) <= 0.7 &&
		  ratio(a->gang_ratio, b->gang_ratio) >= 1.5 &&
		  a->claim_worst_s * 1000 <= RECLAIM_BOUND_MS &&
		  a->use >= b->use;

	t->wait += ratio(a->wait_s, b->wait_s);
	t->completion += ratio(a->completion_s, b->completion_s);
	t->bound += ratio(b->run_s, b->completion_s);
	t->gang += ratio(a->gang_ratio, b->gang_ratio);
	t->use += a->use - b->use;
	t->useful += a->useful - b->useful;
	t->claim = MAX(t->claim, a->claim_worst_s);
	t->claims += a->claims;
	t->missed += !ok;
}

static void bench_user(enum load_user user, double offered, int seeds)
{
	struct totals t = { 0 };
	int seed;

	printf("\n%s\n", users[user]);
	printf("seed scheduler     run_s   wait_s   done_s    gang   use%% useful claims "
	       "worst_s   done nevr early  displ  hours\n");
	for (seed = 1; seed <= seeds; seed++) {
		struct run_result ours, base;
		struct load load;

		load_make(&load, user, offered, seed);
		run_result_init(&ours, &load);
		run_result_init(&base, &load);
		run_chivebank(&load, seed, &ours);
		run_first_fit(&load, seed, &base);
		run_compare(&load, &ours, &base);
		print_row(seed, "chivebank", &ours);
		print_row(seed, "first-fit", &base);
		add(&t, &ours, &base);
		run_result_finish(&ours);
		run_result_finish(&base);
		load_finish(&load);
	}
	printf("mean over %d seeds, chivebank to first-fit: wait %.2fx, "
	       "completion %.2fx (target <= 0.70, run time alone %.2fx), gang %.2fx (target >= 1.50)"
	       "\nuse %+.1f points (target >= 0), useful %+.1f points, "
	       "worst claim %.2f s of %d (target <= %.1f), "
	       "seeds with a missed target: %d\n",
	       seeds, t.wait / seeds, t.completion / seeds, t.bound / seeds,
	       t.gang / seeds, 100 * t.use / seeds, 100 * t.useful / seeds,
	       t.claim, t.claims, RECLAIM_BOUND_MS / 1000.0, t.missed);
}

int main(int argc, char **argv)
{
	int seeds = argc > 1 ? atoi(argv[1]) : 5, user;
	double offered = argc > 2 ? atof(argv[2]) : 1.5;

	printf("%d workers x %d accelerators, %d customers, %d h\n",
	       LOAD_WORKERS, LOAD_WORKER_SIZE, LOAD_CUSTOMERS, LOAD_HOURS);
	for (user = 0; user < LOAD_USERS; user++)
		bench_user(user, offered, MAX(1, seeds));
	return 0;
}
