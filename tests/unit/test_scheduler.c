#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "policy/scheduler.h"

#define WORKERS 50
#define SEC USEC_PER_SEC

/* Counts the scheduler's calls for a job. */
struct test_job {
	struct scheduler_job job;
	int started;
	int checkpoints;
	int stops;
	int queued;
	int ended;
	enum scheduler_end end;
};

static struct scheduler sc;

static struct test_job *test_job_of(struct scheduler_job *job)
{
	return container_of(job, struct test_job, job);
}

static void op_start(struct scheduler *s, struct scheduler_job *job)
{
	test_job_of(job)->started++;
}

static void op_checkpoint(struct scheduler *s, struct scheduler_job *job)
{
	test_job_of(job)->checkpoints++;
}

static void op_stop(struct scheduler *s, struct scheduler_job *job,
		    const char *reason)
{
	test_job_of(job)->stops++;
}

static void op_queued(struct scheduler *s, struct scheduler_job *job,
		      const char *reason)
{
	test_job_of(job)->queued++;
}

static void op_ended(struct scheduler *s, struct scheduler_job *job,
		     enum scheduler_end end, const char *reason)
{
	test_job_of(job)->ended++;
	test_job_of(job)->end = end;
}

static void op_broken(struct scheduler *s, bool broken)
{
}

static const struct scheduler_ops ops = {
	.start = op_start,
	.checkpoint = op_checkpoint,
	.stop = op_stop,
	.queued = op_queued,
	.ended = op_ended,
	.broken = op_broken,
};

/* Customer 0 is guaranteed a rack, customer 1 nothing. */
static void setup(void)
{
	int units[CELL_UNITS] = { 0, 0, 1 }, none[CELL_UNITS] = { 0 }, i;

	scheduler_init(&sc, &ops, 8, WORKERS_PER_RACK);
	for (i = 0; i < WORKERS; i++)
		scheduler_add_worker(&sc, i / WORKERS_PER_RACK, 8);
	scheduler_add_customer(&sc);
	scheduler_add_customer(&sc);
	scheduler_set_customer(&sc, 0, 1, 0, units, 0);
	scheduler_set_customer(&sc, 1, 1, 0, none, 0);
}

static void teardown(void)
{
	scheduler_finish(&sc);
}

static void submit(struct test_job *j, uint64_t id, int customer, int n,
		   bool stoppable, bool urgent, int64_t now_us)
{
	*j = (struct test_job){ 0 };
	scheduler_job_init(&j->job, id, customer, n, stoppable, urgent, true);
	scheduler_submit(&sc, &j->job, now_us);
}

static struct test_job *submit_and_start(int customer, int count, int n,
					 bool stoppable)
{
	struct test_job *jobs = g_new0(struct test_job, count);
	int i;

	for (i = 0; i < count; i++)
		submit(&jobs[i], 1000 + i, customer, n, stoppable, false, 0);
	scheduler_pass(&sc, 0);
	for (i = 0; i < count; i++)
		if (jobs[i].started)
			scheduler_running(&sc, &jobs[i].job, 1);
	return jobs;
}

static void finish_jobs(struct test_job *jobs, int count)
{
	int i;

	for (i = 0; i < count; i++)
		scheduler_job_finish(&sc, &jobs[i].job);
}

static int count_started(const struct test_job *jobs, int count)
{
	int i, n = 0;

	for (i = 0; i < count; i++)
		n += jobs[i].started > 0;
	return n;
}

/*
 * When no displaced job saves its checkpoint, the grace period, the stop and
 * the start must together take at most RECLAIM_BOUND_MS (invariant I1).
 */
START_TEST(claim_is_met_without_checkpoints)
{
	struct test_job *jobs = submit_and_start(1, WORKERS, 8, true), claim;
	int64_t at_us = 100 * SEC, now_us;
	int i;

	ck_assert_int_eq(count_started(jobs, WORKERS), WORKERS);
	submit(&claim, 1, 0, 64, false, true, at_us);
	for (now_us = at_us; !claim.started; now_us += SEC / 10) {
		ck_assert_int_le(now_us - at_us,
				 RECLAIM_BOUND_MS * USEC_PER_MSEC);
		scheduler_pass(&sc, now_us);
		/* A stop is confirmed after one second. */
		for (i = 0; i < WORKERS; i++)
			if (jobs[i].stops == 1 &&
			    now_us >= jobs[i].job.deadline_us + SEC) {
				jobs[i].stops = 2;
				scheduler_gang_stopped(&sc, &jobs[i].job,
						       now_us);
			}
	}
	for (i = 0; i < WORKERS; i++)
		ck_assert_int_eq(jobs[i].queued, jobs[i].checkpoints);
	ck_assert_int_eq(sc.displaced, 8);
	ck_assert_int_eq(claim.job.gang.kind, CELL_OWNED);
	finish_jobs(jobs, WORKERS);
	finish_jobs(&claim, 1);
	g_free(jobs);
}
END_TEST

/* Unstoppable jobs must not borrow accelerators that a guarantee needs. */
START_TEST(unstoppable_jobs_leave_guarantee_free)
{
	struct test_job *jobs = submit_and_start(1, WORKERS, 8, false), claim;

	ck_assert_int_eq(count_started(jobs, WORKERS), WORKERS - 8);
	submit(&claim, 1, 0, 64, false, true, SEC);
	scheduler_pass(&sc, SEC);
	ck_assert_int_eq(claim.started, 1);
	ck_assert_int_eq(sc.displaced, 0);
	finish_jobs(jobs, WORKERS);
	finish_jobs(&claim, 1);
	g_free(jobs);
}
END_TEST

/* Many cancellations at once must not delay the start of an urgent job. */
START_TEST(mass_cancellation_does_not_delay_claim)
{
	const int count = 10000;
	struct test_job *jobs = submit_and_start(1, count, 8, true), claim;
	struct timespec a, b;
	int i, ended = 0;
	double ms;

	clock_gettime(CLOCK_MONOTONIC, &a);
	for (i = 0; i < count; i++)
		scheduler_cancel(&sc, &jobs[i].job, SEC);
	submit(&claim, 1, 0, 64, false, true, SEC);
	scheduler_pass(&sc, SEC);
	clock_gettime(CLOCK_MONOTONIC, &b);
	ms = (b.tv_sec - a.tv_sec) * 1e3 + (b.tv_nsec - a.tv_nsec) / 1e6;
	printf("scheduler: %d cancellations and a pass took %.1f ms\n", count,
	       ms);
	ck_assert(ms < RECLAIM_BOUND_MS / 10);
	for (i = 0; i < count; i++)
		ended += jobs[i].ended;
	ck_assert_int_eq(ended, count - WORKERS);
	for (i = 0; i < count; i++)
		if (jobs[i].stops)
			scheduler_gang_stopped(&sc, &jobs[i].job, SEC + 1);
	scheduler_pass(&sc, SEC + 2);
	ck_assert_int_eq(claim.started, 1);
	for (i = 0; i < count; i++)
		ck_assert_int_eq(jobs[i].end, SCHEDULER_END_CANCELLED);
	finish_jobs(jobs, count);
	finish_jobs(&claim, 1);
	g_free(jobs);
}
END_TEST

/* A customer must not exceed its quota, or its fair share under contention. */
START_TEST(quota_and_fair_share)
{
	struct test_job *a = g_new0(struct test_job, 200);
	struct test_job *b = g_new0(struct test_job, 200);
	int none[CELL_UNITS] = { 0 }, i;

	scheduler_set_customer(&sc, 0, 3, 0, none, 0);
	for (i = 0; i < 200; i++) {
		submit(&a[i], 1 + i, 0, 8, true, false, 0);
		submit(&b[i], 500 + i, 1, 8, true, false, 0);
	}
	scheduler_pass(&sc, 1);
	ck_assert_int_ge(count_started(a, 200), WORKERS * 3 / 4 - 1);
	ck_assert_int_le(count_started(a, 200), WORKERS * 3 / 4 + 1);
	finish_jobs(a, 200);
	finish_jobs(b, 200);
	scheduler_set_customer(&sc, 1, 1, 20, none, 0);
	for (i = 0; i < 10; i++)
		submit(&b[i], 500 + i, 1, 8, true, false, 2);
	scheduler_pass(&sc, 3);
	ck_assert_int_eq(count_started(b, 10), 2);
	finish_jobs(b, 10);
	g_free(a);
	g_free(b);
}
END_TEST

/* A large job must start in spite of a steady supply of small ones. */
START_TEST(large_job_does_not_starve)
{
	struct test_job *small = g_new0(struct test_job, 4000), big;
	int64_t now_us = 0;
	int next = 0, first = 0, i;

	submit(&big, 9999, 1, 256, false, false, 0);
	/* Each second 8 unstoppable jobs arrive, which run for 30 s each. */
	for (now_us = SEC; now_us < 3600 * SEC && !big.started; now_us += SEC) {
		for (i = 0; i < 8 && next < 4000; i++, next++)
			submit(&small[next], 10000 + next, 0, 8, false, false,
			       now_us);
		if (now_us == SEC)
			scheduler_cancel(&sc, &small[0].job, now_us);
		for (i = first; i < next; i++) {
			if (small[i].started == 1 && !small[i].ended &&
			    small[i].job.state == SCHEDULER_STARTING)
				scheduler_running(&sc, &small[i].job, now_us);
			if (small[i].job.state == SCHEDULER_RUNNING &&
			    now_us - small[i].job.started_us >= 30 * SEC)
				scheduler_done(&sc, &small[i].job, now_us);
		}
		scheduler_pass(&sc, now_us);
	}
	ck_assert_int_eq(big.started, 1);
	finish_jobs(small, next);
	finish_jobs(&big, 1);
	g_free(small);
}
END_TEST

/*
 * Reports may arrive late. One that is 10 s old must not change a job that has
 * changed its state since.
 */
START_TEST(late_reports_are_ignored)
{
	struct test_job j;
	int64_t attained;

	submit(&j, 1, 1, 8, true, false, 0);
	scheduler_pass(&sc, 0);
	scheduler_running(&sc, &j.job, SEC);
	scheduler_cancel(&sc, &j.job, 11 * SEC);
	ck_assert_int_eq(j.stops, 1);
	scheduler_running(&sc, &j.job, 12 * SEC);
	scheduler_checkpoint_saved(&sc, &j.job, 12 * SEC);
	ck_assert_int_eq(j.job.state, SCHEDULER_STOPPING);
	scheduler_gang_stopped(&sc, &j.job, 13 * SEC);
	attained = j.job.attained_us;
	ck_assert_int_eq(attained, 8 * 12 * SEC);
	scheduler_gang_stopped(&sc, &j.job, 23 * SEC);
	scheduler_done(&sc, &j.job, 23 * SEC);
	scheduler_failed(&sc, &j.job, 0, 23 * SEC);
	scheduler_cancel(&sc, &j.job, 23 * SEC);
	ck_assert_int_eq(j.ended, 1);
	ck_assert_int_eq(j.job.attained_us, attained);
	ck_assert_int_eq(sc.cell.free, WORKERS * 8);
	ck_assert_int_eq(sc.customers[1].held, 0);
}
END_TEST

/* After a takeover by another leader an unstoppable job stays so. */
START_TEST(adopted_unstoppable_job_is_not_displaced)
{
	struct test_job unstoppable = { 0 };

	scheduler_job_init(&unstoppable.job, 2, 1, 8, false, false, true);
	cell_gang_add(&unstoppable.job.gang, 0, 8, CELL_UNITS);
	scheduler_adopt(&sc, &unstoppable.job, SEC);
	ck_assert_int_eq(unstoppable.job.gang.kind, CELL_UNSTOPPABLE);
	ck_assert_int_eq(unstoppable.job.state, SCHEDULER_RUNNING);
	finish_jobs(&unstoppable, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sc");
	TCase *tc = tcase_create("scheduler");
	SRunner *runner = srunner_create(suite);
	int failed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, claim_is_met_without_checkpoints);
	tcase_add_test(tc, unstoppable_jobs_leave_guarantee_free);
	tcase_add_test(tc, mass_cancellation_does_not_delay_claim);
	tcase_add_test(tc, quota_and_fair_share);
	tcase_add_test(tc, large_job_does_not_starve);
	tcase_add_test(tc, adopted_unstoppable_job_is_not_displaced);
	tcase_add_test(tc, late_reports_are_ignored);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
