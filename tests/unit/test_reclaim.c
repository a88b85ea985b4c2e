#include <stdio.h>

#include "fleet/plan.h"
#include "fleet/reclaim.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Unit tests of the choice of runs to preempt. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

static void make_workers(int count)
{
	char id[16];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		make_worker(&fleet, id, "r", 8, NOW);
	}
}

/* Makes a job whose tasks have all been running since since_us. */
static struct job *start_running_job(const char *id, int count, int gpus,
				     bool gang, int64_t since_us)
{
	struct job *job = make_job(&fleet, id, 2, count, gpus, 60000, since_us);

	job->spec.steps[0].gang = gang;
	fleet_open_due(&fleet, since_us, 0);
	ck_assert_int_eq(plan_pass(&fleet, since_us), count);
	confirm_planned_runs(&fleet, since_us);
	return job;
}

static void plan_urgent_job(int count, int64_t now_us)
{
	struct job *urgent =
		make_job(&fleet, "urgent", 0, count, 8, 1000, now_us);

	urgent->spec.steps[0].gang = count > 1;
	fleet_open_due(&fleet, now_us, 0);
	ck_assert_int_eq(plan_pass(&fleet, now_us), 0);
}

static enum task_phase phase(struct job *job)
{
	return first_occurrence_task(job, 0, 0)->phase;
}

START_TEST(cheaper_jobs_are_preempted_before_a_gang)
{
	struct job *gang, *first, *second;

	make_workers(4);
	gang = start_running_job("gang", 2, 8, true, NOW);
	first = start_running_job("first", 1, 8, false, NOW + 2 * SEC);
	second = start_running_job("second", 1, 8, false, NOW + 2 * SEC);
	/* The gang loses 2 x 8 s of work, the other two 6 s each. */
	plan_urgent_job(2, NOW + 8 * SEC);
	ck_assert_int_eq(phase(first), TASK_STOPPING);
	ck_assert_int_eq(phase(second), TASK_STOPPING);
	ck_assert_int_eq(phase(gang), TASK_RUNNING);
}
END_TEST

/*
 * In a full pool, stopping a gang that runs on several workers loses less than
 * stopping single jobs, although each of these is cheaper than the gang.
 */
START_TEST(gang_loss_counts_once_for_all_workers)
{
	struct job *gang, *first, *second;

	make_workers(4);
	first = start_running_job("first", 1, 8, false, NOW);
	second = start_running_job("second", 1, 8, false, NOW);
	gang = start_running_job("gang", 2, 8, true, NOW + SEC);
	/* The gang loses 2 x 7 s of work, the others 2 x 8 s. */
	plan_urgent_job(2, NOW + 8 * SEC);
	ck_assert_int_eq(phase(gang), TASK_STOPPING);
	ck_assert_int_eq(phase(first), TASK_RUNNING);
	ck_assert_int_eq(phase(second), TASK_RUNNING);
	ck_assert_uint_eq(fleet.preempted, 2);
}
END_TEST

/* To free one worker, a whole gang costs more than one job that ran longer. */
START_TEST(single_job_is_preempted_for_one_worker)
{
	struct job *gang, *first;

	make_workers(3);
	first = start_running_job("first", 1, 8, false, NOW);
	gang = start_running_job("gang", 2, 8, true, NOW + SEC);
	plan_urgent_job(1, NOW + 8 * SEC);
	ck_assert_int_eq(phase(first), TASK_STOPPING);
	ck_assert_int_eq(phase(gang), TASK_RUNNING);
}
END_TEST

/* The loss of a gang counts once if all its tasks run on one worker. */
START_TEST(gang_loss_counts_once_at_one_worker)
{
	struct job *gang, *other;

	make_workers(2);
	other = start_running_job("other", 1, 8, false, NOW);
	gang = start_running_job("gang", 4, 2, true, NOW + SEC);
	plan_urgent_job(1, NOW + 8 * SEC);
	ck_assert_int_eq(phase(gang), TASK_STOPPING);
	ck_assert_int_eq(phase(other), TASK_RUNNING);
}
END_TEST

/*
 * Makes an urgent job of 4 s, of a customer without a guarantee, that came in
 * at arrived_us and has been running since NOW + 5 s.
 */
static struct job *start_running_quote(int64_t arrived_us)
{
	struct job *job = make_job(&fleet, "quote", 0, 1, 8, 4000, arrived_us);

	g_free(job->customer);
	job->customer = g_strdup("two");
	job->stretch = 1.5;
	job->slo_ms = 300;
	fleet_open_due(&fleet, NOW + 5 * SEC, 0);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 5 * SEC), 1);
	confirm_planned_runs(&fleet, NOW + 5 * SEC);
	return job;
}

/*
 * Guards against urgent jobs that end late because another customer's
 * guarantee takes their room, when work that can wait would do: the urgent one
 * has just begun, so that the work lost with it is less.
 */
START_TEST(urgent_job_in_time_is_preempted_last)
{
	struct job *batch, *quote;

	make_workers(2);
	batch = start_running_job("batch", 1, 8, false, NOW);
	quote = start_running_quote(NOW + 5 * SEC);
	plan_urgent_job(1, NOW + 8 * SEC);
	ck_assert_int_eq(phase(batch), TASK_STOPPING);
	ck_assert_int_eq(phase(quote), TASK_RUNNING);
}
END_TEST

/* A job that is late in any case is stopped for the work lost alone. */
START_TEST(late_urgent_job_is_preempted_by_its_loss)
{
	struct job *batch, *quote;

	make_workers(2);
	batch = start_running_job("batch", 1, 8, false, NOW);
	quote = start_running_quote(NOW - 6 * SEC);
	plan_urgent_job(1, NOW + 8 * SEC);
	ck_assert_int_eq(phase(batch), TASK_RUNNING);
	ck_assert_int_eq(phase(quote), TASK_STOPPING);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reclaim");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, cheaper_jobs_are_preempted_before_a_gang);
	tcase_add_test(tc, gang_loss_counts_once_for_all_workers);
	tcase_add_test(tc, single_job_is_preempted_for_one_worker);
	tcase_add_test(tc, gang_loss_counts_once_at_one_worker);
	tcase_add_test(tc, urgent_job_in_time_is_preempted_last);
	tcase_add_test(tc, late_urgent_job_is_preempted_by_its_loss);
	return run_case("reclaim", tc);
}
