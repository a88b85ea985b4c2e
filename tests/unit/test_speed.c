#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fleet/speed.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Estimates of the workers' speeds, without a network. */

#define SEC 1000000LL
#define NOW (100 * SEC)
#define WORKERS 60
#define EST_MS 2000

static struct fleet fleet;
static struct config *config;
static struct worker *workers[WORKERS];
static double speeds[WORKERS]; /* the true ones */
static GRand *rng;
static int64_t now_us;
static int jobs;
/* Standard deviation of the work of a stage's tasks, logarithmic. */
static double noise;

static void add_queue(const char *name, double stretch)
{
	struct queue *queue = g_new0(struct queue, 1);

	queue->name = g_strdup(name);
	queue->stretch = stretch;
	g_ptr_array_add(config->queues, queue);
}

static void set_up(void)
{
	char id[16];
	int i;

	make_fleet(&fleet, &config);
	add_queue("q", 1.5);
	add_queue("loose", 3);
	now_us = NOW;
	jobs = 0;
	noise = 0.03;
	rng = g_rand_new_with_seed(1);
	for (i = 0; i < WORKERS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		workers[i] = make_worker(&fleet, id, "r", 8, NOW);
		speeds[i] = 1;
	}
}

static void tear_down(void)
{
	g_rand_free(rng);
	free_fleet(&fleet, config);
}

/* Every third worker takes 1 / 0.41 times as long as the others. */
static void slow_down_a_third(void)
{
	int i;

	for (i = 0; i < WORKERS; i += 3)
		speeds[i] = 0.41;
}

/* A job of one stage, whose tasks take work times the declared duration. */
static struct job *add_job(const char *queue, int count)
{
	struct job *job;
	char id[24];

	snprintf(id, sizeof(id), "job%d", ++jobs);
	job = make_job(&fleet, id, 1, count, 1, EST_MS, now_us);
	g_free(job->queue);
	job->queue = g_strdup(queue);
	fleet_open_due(&fleet, now_us, 0);
	return job;
}

static double gauss(void)
{
	double sum = 0;
	int i;

	for (i = 0; i < 12; i++)
		sum += g_rand_double(rng);
	return sum - 6;
}

/* Starts a run of the task that takes full_ms, and reports it at a percentage;
 * at 100 it ends. */
static void run_task(struct task *task, struct worker *worker, double full_ms,
		     int percent)
{
	int64_t began_us = now_us;
	int64_t then_us = began_us + (int64_t)(full_ms * percent * 10);

	fleet_plan_run(&fleet, task, worker, task->run + 1);
	task->phase = TASK_STARTING;
	fleet_run_started(&fleet, task, began_us);
	task->percent = percent;
	if (percent < 100)
		speed_observe(&fleet, task, then_us);
	else
		speed_observe_end(&fleet, task, then_us);
	worker_unassign(task);
	task->phase = TASK_WAITING;
}

static double task_ms(int worker, double work)
{
	return EST_MS * work * exp(noise * gauss()) / speeds[worker];
}

/*
 * A stage of a new job on each step-th worker from first on, one run each, half
 * a second after the one before.
 */
static void run_stage(const char *queue, int first, int step, int count,
		      double work, int percent)
{
	struct job *job = add_job(queue, count);
	int i;

	for (i = 0; i < count; i++) {
		int w = (first + i * step) % WORKERS;

		run_task(first_occurrence_task(job, 0, i), workers[w],
			 task_ms(w, work), percent);
	}
	fleet_remove_job(&fleet, job);
	now_us += SEC / 2;
	speed_fit(&fleet, now_us);
}

/*
 * Stages of 10 tasks, until each worker has had so many runs. Their work is off
 * the declared one by up to a factor of exp(wrong).
 */
static void run_rounds(int rounds, double wrong)
{
	static const int steps[] = { 1, 7, 11, 13 };
	int round, i;

	for (round = 0; round < rounds; round++)
		for (i = 0; i < WORKERS / 10; i++)
			run_stage("q", i * 10 * steps[round % 4],
				  steps[round % 4], 10,
				  exp(wrong * (g_rand_double(rng) * 2 - 1)),
				  100);
}

static void check_speed(int worker, double expected, double error)
{
	double found = speed_of(&fleet, workers[worker]);

	ck_assert_msg(found > expected / error && found < expected * error,
		      "worker %d: %.2f instead of %.2f (certainty %.2f)",
		      worker, found, expected,
		      speed_certainty(workers[worker]));
}

/* Compares all with the true ones, as far as the typical worker has speed 1. */
static void check_speeds(double error)
{
	int i;

	for (i = 0; i < WORKERS; i++)
		check_speed(i, speeds[i], error);
}

static void check_even(void)
{
	int i;

	ck_assert(!speed_uneven(&fleet));
	for (i = 0; i < WORKERS; i++)
		ck_assert_double_eq(speed_of(&fleet, workers[i]), 1);
}

/* Guards against placement by noise where all workers have one speed. */
START_TEST(even_workers_stay_even)
{
	int i;

	for (i = 0; i < 20; i++) {
		run_rounds(1, 0);
		check_even();
	}
	ck_assert_int_eq(fleet.speed.known, WORKERS);
	ck_assert_double_lt(fleet.speed.spread, 1.2);
}
END_TEST

/* Guards against noise and wrong declared durations taken for speeds. */
START_TEST(noise_and_wrong_times_stay_even)
{
	int i;

	noise = 0.2;
	for (i = 0; i < 20; i++) {
		run_rounds(1, log(4));
		check_even();
	}
	ck_assert_double_lt(fleet.speed.spread, 1.5);
}
END_TEST

/* Guards against a treatment of speeds that makes no difference to callers. */
START_TEST(similar_speeds_count_as_alike)
{
	static const double similar[] = { 0.8, 1.0, 1.25 };
	int i;

	for (i = 0; i < WORKERS; i++)
		speeds[i] = similar[i % 3];
	for (i = 0; i < 20; i++) {
		run_rounds(1, 0.5);
		check_even();
	}
	ck_assert_double_gt(fleet.speed.spread, 1.45);
}
END_TEST

/* The same with objectives that no difference of speeds is too small for. */
START_TEST(similar_speeds_are_alike_for_any_objective)
{
	static const double similar[] = { 0.8, 1.0, 1.25 };
	int i;

	add_queue("tight", 1);
	for (i = 0; i < WORKERS; i++)
		speeds[i] = similar[i % 3];
	run_rounds(16, 0.5);
	check_even();
}
END_TEST

START_TEST(three_speeds_are_found)
{
	static const double three[] = { 0.5, 1.0, 1.8 };
	int i;

	for (i = 0; i < WORKERS; i++)
		speeds[i] = three[i % 3];
	run_rounds(8, 0.5);
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.12);
}
END_TEST

/*
 * Guards against a day that is over before the slow workers are known: the
 * first progress reports of one run on each worker must do.
 */
START_TEST(slow_third_is_found_by_the_first_reports)
{
	int i;

	slow_down_a_third();
	for (i = 0; i < WORKERS / 5; i++)
		run_stage("q", i * 5, 1, 5, 1 + g_rand_double(rng), 20);
	ck_assert(speed_uneven(&fleet));
	for (i = 0; i < WORKERS; i++)
		ck_assert_msg(
			(speed_of(&fleet, workers[i]) < 0.7) == (speeds[i] < 1),
			"worker %d: %.2f", i, speed_of(&fleet, workers[i]));
	run_rounds(4, 0.5);
	check_speeds(1.2);
}
END_TEST

/* Guards against a stage of which the declared duration is off, taken for slow
 * workers. */
START_TEST(wrong_times_do_not_hide_a_slow_third)
{
	slow_down_a_third();
	noise = 0.1;
	run_rounds(8, log(4));
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.25);
}
END_TEST

/* Guards against long-tailed runs taken for slow workers. */
START_TEST(long_tailed_runs_are_no_slow_workers)
{
	struct job *job;
	int i, round;

	slow_down_a_third();
	for (round = 0; round < 60; round++) {
		job = add_job("q", 10);
		for (i = 0; i < 10; i++) {
			int w = (round * 17 + i * 7) % WORKERS;
			double tail = g_rand_double(rng) < 0.03 ? 7 : 1;

			run_task(first_occurrence_task(job, 0, i), workers[w],
				 task_ms(w, 1) * tail, 100);
		}
		fleet_remove_job(&fleet, job);
		now_us += SEC / 2;
		speed_fit(&fleet, now_us);
	}
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.35);
}
END_TEST

/* Runs tasks in stages with others until the worker has had so many runs. */
static void run_beside(int worker, int runs)
{
	int i;

	for (i = 0; i < runs; i++)
		run_stage("q", worker + i * 9, 1, 10, 1, 100);
	for (i = 0; i < runs; i++)
		run_stage("q", worker - 9 + WORKERS, 1, 10, 1, 100);
}

/*
 * Guards against work that is sent to a worker that has become slow, and
 * against a worker that stays avoided once it is well again.
 */
START_TEST(change_of_speed_is_found_within_a_few_runs)
{
	int i;

	slow_down_a_third();
	run_rounds(16, 0.5);
	check_speed(1, 1, 1.15);
	speeds[1] = 0.4;
	for (i = 0; i < 4; i++)
		run_stage("q", 1, 7, 10, 1, 100);
	check_speed(1, 0.4, 1.3);
	speeds[1] = 1;
	for (i = 0; i < 4; i++)
		run_stage("q", 1, 7, 10, 1, 100);
	check_speed(1, 1, 1.3);
}
END_TEST

/* Guards against an estimate that is kept for another machine. */
START_TEST(new_incarnation_is_less_certain_and_learns)
{
	struct worker *before = workers[3];
	double certainty;

	slow_down_a_third();
	run_rounds(8, 0.5);
	check_speed(3, 0.41, 1.2);
	certainty = speed_certainty(before);
	fleet_worker_restarted(&fleet, before, 2000, 0, now_us);
	workers[3] = g_hash_table_lookup(fleet.workers_by_id, "w3");
	ck_assert_ptr_ne(workers[3], before);
	check_speed(3, 0.41, 1.2);
	ck_assert_double_gt(speed_certainty(workers[3]), 0.3);
	ck_assert_double_lt(speed_certainty(workers[3]), 0.7);
	ck_assert_double_gt(certainty, 0.9);
	fleet_expire(&fleet, now_us);
	speeds[3] = 1;
	run_beside(3, 2);
	check_speed(3, 1, 1.3);
	ck_assert_double_gt(speed_certainty(workers[3]), 0.8);
}
END_TEST

/* Guards against a verdict on workers that ran nothing beside others. */
START_TEST(few_samples_claim_nothing)
{
	int i;

	ck_assert_double_eq(speed_certainty(workers[0]), 0);
	/* Each worker runs a job of one task, slow ones too. */
	slow_down_a_third();
	for (i = 0; i < WORKERS; i++)
		run_stage("q", i, 1, 1, 1, 100);
	ck_assert_int_eq(fleet.speed.known, 0);
	ck_assert_double_lt(speed_certainty(workers[0]), 0.7);
	check_even();
	/* A stage of two tells that one is slower, not which of them. */
	run_stage("q", 0, 1, 2, 1, 100);
	ck_assert_double_lt(speed_certainty(workers[0]), 0.8);
}
END_TEST

/*
 * Guards against estimates that fade once placement sends whole stages to slow
 * workers: nothing compares these with the others any more.
 */
START_TEST(separated_stages_keep_the_estimates)
{
	int i;

	slow_down_a_third();
	run_rounds(8, 0.5);
	ck_assert(speed_uneven(&fleet));
	for (i = 0; i < 600; i++) {
		run_stage("loose", i * 30, 3, 20, 1, 100);
		run_stage("q", 1 + i * 21, 3, 20, 1, 100);
		run_stage("q", 2 + i * 21, 3, 20, 1, 100);
	}
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.2);
}
END_TEST

/* Guards against a wrong level of workers that were compared with no others. */
START_TEST(separated_stages_at_first_are_mended_by_a_few_common_ones)
{
	int i;

	slow_down_a_third();
	for (i = 0; i < 8; i++) {
		run_stage("q", 0, 3, 20, 1, 100);
		run_stage("q", 1, 3, 20, 1, 100);
		run_stage("q", 2, 3, 20, 1, 100);
	}
	run_rounds(4, 0.5);
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.25);
}
END_TEST

/* Guards against slow workers that pass for typical, as the samples of those
 * that ran their stage at full speed have been dropped. */
START_TEST(stage_remembers_workers_whose_samples_are_gone)
{
	struct job *job = add_job("q", 10);
	int i;

	slow_down_a_third();
	for (i = 0; i < 10; i++)
		if (i % 3)
			run_task(first_occurrence_task(job, 0, i), workers[i],
				 task_ms(i, 2), 100);
	speed_fit(&fleet, now_us += SEC);
	for (i = 0; i < 40; i++)
		run_stage("q", 1 + i % 2, 3, 20, 1, 100);
	for (i = 0; i < 10; i += 3)
		run_task(first_occurrence_task(job, 0, i), workers[i],
			 task_ms(i, 2), 100);
	speed_fit(&fleet, now_us += SEC);
	/* A third of ten among sixty: speeds are not uneven. */
	for (i = 0; i < 10; i += 3)
		ck_assert_double_eq_tol(workers[i]->speed.relative, 0.41, 0.1);
}
END_TEST

/* Guards against a fit that needs many stages or jobs. */
START_TEST(one_stage_of_one_queue_is_enough)
{
	slow_down_a_third();
	run_stage("q", 0, 1, WORKERS, 2.5, 100);
	ck_assert_int_eq(fleet.speed.known, WORKERS);
	ck_assert(speed_uneven(&fleet));
	check_speeds(1.2);
}
END_TEST

/* Guards against noise between reports that changes the verdict each time. */
START_TEST(verdict_has_a_hysteresis)
{
	double limit = 0.9 * 1.5 * 0.9 * 1.5;
	int i;

	noise = 0.01;
	for (i = 0; i < WORKERS; i += 3)
		speeds[i] = 1 / (limit * 1.05);
	run_rounds(16, 0);
	ck_assert(speed_uneven(&fleet));
	for (i = 0; i < WORKERS; i += 3)
		speeds[i] = 1 / (limit * 0.95);
	run_rounds(16, 0);
	ck_assert(speed_uneven(&fleet));
	for (i = 0; i < WORKERS; i += 3)
		speeds[i] = 1 / (limit * 0.85);
	run_rounds(16, 0);
	check_even();
}
END_TEST

/* Guards against memory that grows with the jobs that were ever run. */
START_TEST(memory_is_bounded)
{
	const struct speed_stage *stage;
	int stages = 0, queues = 0, i;
	struct speed_queue *queue;
	char name[16];

	for (i = 0; i < 2000; i++) {
		snprintf(name, sizeof(name), "queue%d", i / 10);
		run_stage(name, i * 7, 1, 1, 1, 100);
	}
	for (i = 0; i < WORKERS; i++)
		ck_assert_int_eq(workers[i]->speed.samples->len, 16);
	list_for_each_entry(stage, &fleet.speed.stages, node)
		stages++;
	list_for_each_entry(queue, &fleet.speed.queues, node)
		queues++;
	ck_assert_int_le(stages, 16 * WORKERS);
	ck_assert_int_le(queues, 16 * WORKERS / 10 + 1);
	for (i = 0; i < WORKERS; i++)
		fleet_worker_ended(&fleet, workers[i]);
	fleet_expire(&fleet, now_us);
	ck_assert(list_empty(&fleet.speed.stages));
	ck_assert(list_empty(&fleet.speed.queues));
}
END_TEST

/*
 * Guards against passes that take all of a weak host: it has 0.09 of a core.
 * Without sanitizers the fit takes about 3 ms.
 */
START_TEST(fit_of_1100_workers_is_cheap)
{
	struct worker *many[1100];
	struct job *job;
	clock_t began;
	double ms;
	char id[16];
	int i, k;

	for (i = 0; i < 1100; i++) {
		snprintf(id, sizeof(id), "m%d", i);
		many[i] = make_worker(&fleet, id, "r", 8, NOW);
	}
	for (k = 0; k < 16 * 1100 / 40; k++) {
		job = add_job("q", 40);
		for (i = 0; i < 40; i++)
			run_task(first_occurrence_task(job, 0, i),
				 many[(k * 40 + i * 27) % 1100], EST_MS, 100);
		fleet_remove_job(&fleet, job);
	}
	speed_fit(&fleet, now_us += 2 * SEC);
	ck_assert_int_gt(fleet.speed.known, 1000);
	for (k = 0; k < 1100 / 40; k++) {
		job = add_job("q", 40);
		for (i = 0; i < 40; i++)
			run_task(first_occurrence_task(job, 0, i),
				 many[(k * 40 + i) % 1100], EST_MS, 100);
		fleet_remove_job(&fleet, job);
	}
	began = clock();
	speed_fit(&fleet, now_us += 2 * SEC);
	ms = (double)(clock() - began) * 1e3 / CLOCKS_PER_SEC;
	ck_assert_int_eq(fleet.speed.fitted_us, now_us);
	ck_assert_msg(ms < 40, "a fit took %.1f ms", ms);
	/* Nothing to do without new samples. */
	began = clock();
	for (i = 0; i < 1000; i++)
		speed_fit(&fleet, now_us += 2 * SEC);
	ms = (double)(clock() - began) * 1e3 / CLOCKS_PER_SEC;
	ck_assert_msg(ms < 10, "1000 fits without samples took %.1f ms", ms);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speed");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, even_workers_stay_even);
	tcase_add_test(tc, noise_and_wrong_times_stay_even);
	tcase_add_test(tc, similar_speeds_count_as_alike);
	tcase_add_test(tc, similar_speeds_are_alike_for_any_objective);
	tcase_add_test(tc, three_speeds_are_found);
	tcase_add_test(tc, slow_third_is_found_by_the_first_reports);
	tcase_add_test(tc, wrong_times_do_not_hide_a_slow_third);
	tcase_add_test(tc, long_tailed_runs_are_no_slow_workers);
	tcase_add_test(tc, change_of_speed_is_found_within_a_few_runs);
	tcase_add_test(tc, new_incarnation_is_less_certain_and_learns);
	tcase_add_test(tc, few_samples_claim_nothing);
	tcase_add_test(tc, separated_stages_keep_the_estimates);
	tcase_add_test(
		tc, separated_stages_at_first_are_mended_by_a_few_common_ones);
	tcase_add_test(tc, stage_remembers_workers_whose_samples_are_gone);
	tcase_add_test(tc, one_stage_of_one_queue_is_enough);
	tcase_add_test(tc, verdict_has_a_hysteresis);
	tcase_add_test(tc, memory_is_bounded);
	tcase_add_test(tc, fit_of_1100_workers_is_cheap);
	return run_case("speed", tc);
}
