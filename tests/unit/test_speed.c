#include <math.h>
#include <stdio.h>
#include <string.h>

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
	check_speeds(1.15);
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
	return run_case("speed", tc);
}
