#include <check.h>
#include <stdlib.h>

#include "policy/worker_health.h"
#include "tests/unit/run.h"

#define MIN_US (WORKER_PROBATION_MIN_MS * USEC_PER_MSEC)

/* Guards against workers quarantined because of jobs that fail everywhere. */
START_TEST(hopeless_job_does_not_quarantine_workers)
{
	struct worker_health_job bad[3] = { 0 };
	struct worker_health wh;
	int i, j;

	worker_health_init(&wh, 3);
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3 && !bad[i].hopeless; j++)
			ck_assert(!worker_health_failed(&wh, &bad[i], i + 1, j,
							0));
	for (i = 0; i < 3; i++) {
		ck_assert(bad[i].hopeless);
		ck_assert(worker_health_usable(&wh, i));
		ck_assert_int_eq(wh.workers[i].failed_job_count, 0);
	}
	worker_health_finish(&wh);
}
END_TEST

/*
 * Guards against a faulty worker whose failures end jobs, or that leaves
 * quarantine too early.
 */
START_TEST(bad_worker_is_quarantined_with_doubling_delay)
{
	struct worker_health_job jobs[8] = { 0 };
	int64_t now = 0;
	struct worker_health wh;
	int i;

	worker_health_init(&wh, 2);
	for (i = 0; i < 3; i++)
		worker_health_failed(&wh, &jobs[i], i + 1, 0, now);
	ck_assert(!worker_health_usable(&wh, 0));
	ck_assert(worker_health_usable(&wh, 1));
	for (i = 0; i < 3; i++)
		ck_assert(!jobs[i].hopeless);
	for (i = 0; i < 3; i++) {
		int64_t delay = MIN_US << i;

		ck_assert(!worker_health_tick(&wh, 0, now + delay - 1));
		now += delay;
		ck_assert(worker_health_tick(&wh, 0, now));
		ck_assert(worker_health_usable(&wh, 0));
		ck_assert(worker_health_trial_started(&wh, 9, 0));
		ck_assert(!worker_health_usable(&wh, 0));
		ck_assert(worker_health_failed(&wh, &jobs[4 + i], 9, 0, now));
	}
	now += MIN_US << 3;
	ck_assert(worker_health_tick(&wh, 0, now));
	worker_health_trial_started(&wh, 10, 0);
	ck_assert(worker_health_succeeded(&wh, 10, 0));
	ck_assert(worker_health_usable(&wh, 0));
	worker_health_finish(&wh);
}
END_TEST

/*
 * Guards against repeated failures of one job on the same worker that
 * quarantine the worker, or end the job before JOB_FAILURES_MAX.
 */
START_TEST(repeated_failure_of_one_job_proves_nothing)
{
	struct worker_health_job job = { 0 };
	struct worker_health wh;
	int i;

	worker_health_init(&wh, 1);
	for (i = 1; i < JOB_FAILURES_MAX; i++)
		worker_health_failed(&wh, &job, 1, 0, 0);
	ck_assert(!job.hopeless);
	ck_assert(worker_health_usable(&wh, 0));
	ck_assert(worker_health_avoid(&job, 0));
	/* The last of JOB_FAILURES_MAX failures ends the job. */
	worker_health_failed(&wh, &job, 1, 0, 0);
	ck_assert(job.hopeless);
	worker_health_finish(&wh);
}
END_TEST

/* Guards against a job ended because of failures on quarantined workers. */
START_TEST(failures_on_bad_workers_are_forgotten)
{
	struct worker_health_job good = { 0 }, other[2][2] = { 0 };
	struct worker_health wh;
	int i, j;

	worker_health_init(&wh, 20);
	for (i = 0; i < 2; i++) {
		worker_health_failed(&wh, &good, 1, i, 0);
		for (j = 0; j < 2; j++)
			worker_health_failed(&wh, &other[i][j], 10 + 2 * i + j,
					     i, 0);
		ck_assert(!worker_health_usable(&wh, i));
	}
	worker_health_failed(&wh, &good, 1, 2, 0);
	ck_assert(!good.hopeless);
	worker_health_failed(&wh, &good, 1, 3, 0);
	worker_health_failed(&wh, &good, 1, 4, 0);
	ck_assert(good.hopeless);
	worker_health_finish(&wh);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("worker_health");

	tcase_add_test(tc, hopeless_job_does_not_quarantine_workers);
	tcase_add_test(tc, bad_worker_is_quarantined_with_doubling_delay);
	tcase_add_test(tc, repeated_failure_of_one_job_proves_nothing);
	tcase_add_test(tc, failures_on_bad_workers_are_forgotten);
	return run_case("worker_health", tc);
}
