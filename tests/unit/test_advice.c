#include <stdio.h>
#include <string.h>

#include "fleet/advice.h"
#include "fleet/evacuation.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Steps that may run only on workers that the advice service grants. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
	make_worker(&fleet, "w1", "r", 8, NOW);
	make_worker(&fleet, "w2", "r", 8, NOW);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

static struct job *advised_job(void)
{
	struct job *job = make_job(&fleet, "j", 1, 2, 1, 1000, NOW);

	job->advised = true;
	fleet_open_due(&fleet, NOW, 0);
	return job;
}

START_TEST(nothing_starts_without_a_ticket)
{
	GPtrArray *workers = g_ptr_array_new();
	struct job *job = advised_job();
	struct stage *stage;

	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	stage = advice_next_question(&fleet, NOW, workers);
	ck_assert_ptr_eq(stage, job_stage(job, 0, 0));
	ck_assert_uint_eq(workers->len, 2);
	advice_asked(stage, workers, NOW);
	advice_granted(stage, "w2", "ticket", NOW, 3000);
	advice_answered(stage, true);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 1), 2);
	ck_assert_str_eq(first_occurrence_task(job, 0, 0)->worker->reported.id,
			 "w2");
	ck_assert_str_eq(first_occurrence_task(job, 0, 0)->ticket, "ticket");
	g_ptr_array_unref(workers);
}
END_TEST

/* Each question has a price, and its answer would be of no use. */
START_TEST(nothing_is_asked_about_evacuated_workers)
{
	GPtrArray *workers = g_ptr_array_new();
	struct evacuation evacuation;

	evacuation_init(&evacuation);
	evacuation_begin(&evacuation, "d1", NOW);
	advised_job();
	fleet.evacuation = &evacuation;
	ck_assert_ptr_null(advice_next_question(&fleet, NOW, workers));
	evacuation_end(&evacuation, "d1");
	ck_assert_ptr_nonnull(advice_next_question(&fleet, NOW + SEC, workers));
	ck_assert_uint_eq(workers->len, 2);
	fleet.evacuation = NULL;
	evacuation_finish(&evacuation);
	g_ptr_array_unref(workers);
}
END_TEST

START_TEST(expired_tickets_are_requested_again)
{
	GPtrArray *workers = g_ptr_array_new();
	struct job *job = advised_job();
	struct stage *stage = job_stage(job, 0, 0);

	advice_asked(stage, workers, NOW);
	advice_granted(stage, "w2", "ticket", NOW, 3000);
	advice_answered(stage, true);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 3 * SEC), 0);
	ck_assert_ptr_eq(advice_next_question(&fleet, NOW + 3 * SEC, workers),
			 stage);
	g_ptr_array_unref(workers);
}
END_TEST

/* A ticket is valid for one incarnation of its worker only. */
START_TEST(ticket_of_earlier_incarnation_is_invalid)
{
	struct job *job = advised_job();
	struct stage *stage = job_stage(job, 0, 0);
	struct worker *worker = g_hash_table_lookup(fleet.workers_by_id, "w2");

	advice_granted(stage, "w2", "ticket", NOW, 9000);
	ck_assert_ptr_nonnull(advice_ticket(stage, worker, NOW));
	fleet_worker_restarted(&fleet, worker, 9999, 7000, NOW);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w2");
	ck_assert_ptr_null(advice_ticket(stage, worker, NOW));
}
END_TEST

/*
 * Sends a question, which must be about the given stage, and answers it:
 * worker id is granted, all others are denied. Returns whether id was asked
 * about.
 */
static bool ask(struct stage *stage, const char *id, int64_t now_us)
{
	GPtrArray *workers = g_ptr_array_new();
	bool found = false;
	guint i;

	ck_assert_ptr_eq(advice_next_question(&fleet, now_us, workers), stage);
	ck_assert_uint_le(workers->len, ADVICE_WORKERS_MAX);
	for (i = 0; i < workers->len; i++) {
		const struct worker *worker = g_ptr_array_index(workers, i);

		found |= strcmp(worker->reported.id, id) == 0;
	}
	advice_asked(stage, workers, now_us);
	if (found)
		advice_granted(stage, id, "ticket", now_us, 3000);
	advice_answered(stage, true);
	g_ptr_array_unref(workers);
	return found;
}

static void add_workers(int n)
{
	char id[24];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "more%d", i);
		make_worker(&fleet, id, "r", 8, NOW);
	}
}

/*
 * If only one worker of a large pool is permitted, repeated questions must
 * find it.
 */
START_TEST(only_allowed_worker_of_a_large_pool)
{
	struct stage *stage = job_stage(advised_job(), 0, 0);
	int64_t now_us = NOW;
	int questions = 0;
	bool found = false;

	add_workers(200);
	while (!found && questions < 10) {
		found = ask(stage, "more199", now_us);
		questions++;
		now_us += 100000;
	}
	ck_assert(found);
	ck_assert_int_eq(plan_pass(&fleet, now_us), 2);
}
END_TEST

/* Permissions of a step are final, so a denied worker is not asked again. */
START_TEST(denied_workers_are_not_asked_about_again)
{
	struct stage *stage = job_stage(advised_job(), 0, 0);
	GPtrArray *workers = g_ptr_array_new();
	struct worker *worker = g_hash_table_lookup(fleet.workers_by_id, "w1");

	ask(stage, "w2", NOW);
	/* The ticket for w2 has expired, w1 was denied. */
	ck_assert_ptr_eq(advice_next_question(&fleet, NOW + 4 * SEC, workers),
			 stage);
	ck_assert_uint_eq(workers->len, 1);
	ck_assert_ptr_ne(g_ptr_array_index(workers, 0), worker);
	/* A new incarnation may be a machine of another kind. */
	g_ptr_array_set_size(workers, 0);
	fleet_worker_restarted(&fleet, worker, 9999, 7000, NOW);
	advice_next_question(&fleet, NOW + 6 * SEC, workers);
	ck_assert_uint_eq(workers->len, 2);
	g_ptr_array_unref(workers);
}
END_TEST

/* Workers in an unanswered question do not count as denied. */
START_TEST(unanswered_question_is_repeated)
{
	struct stage *stage = job_stage(advised_job(), 0, 0);
	GPtrArray *workers = g_ptr_array_new();

	ck_assert_ptr_eq(advice_next_question(&fleet, NOW, workers), stage);
	advice_asked(stage, workers, NOW);
	advice_answered(stage, false);
	g_ptr_array_set_size(workers, 0);
	ck_assert_ptr_eq(advice_next_question(&fleet, NOW + 2 * SEC, workers),
			 stage);
	ck_assert_uint_eq(workers->len, 2);
	g_ptr_array_unref(workers);
}
END_TEST

/*
 * Many steps wait for a full pool. If their expired tickets were renewed while
 * no worker is free, these questions would delay the one for a new step.
 */
START_TEST(waiting_steps_do_not_delay_new_ones)
{
	GPtrArray *workers = g_ptr_array_new();
	struct stage *stage;
	struct job *job;
	char id[24];
	int i;

	make_job(&fleet, "full", 1, 16, 1, 60000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 16);
	for (i = 0; i < 30; i++) {
		snprintf(id, sizeof(id), "waits%d", i);
		job = make_job(&fleet, id, 1, 2, 1, 1000, NOW);
		job->advised = true;
		fleet_open_due(&fleet, NOW, 0);
		ask(job_stage(job, 0, 0), "w2", NOW);
	}
	ck_assert_ptr_null(
		advice_next_question(&fleet, NOW + 4 * SEC, workers));
	job = make_job(&fleet, "new", 1, 2, 1, 1000, NOW);
	job->advised = true;
	fleet_open_due(&fleet, NOW, 0);
	stage = advice_next_question(&fleet, NOW + 4 * SEC, workers);
	ck_assert_ptr_eq(stage, job_stage(job, 0, 0));
	g_ptr_array_unref(workers);
}
END_TEST

START_TEST(steps_without_advice_are_not_asked_about)
{
	GPtrArray *workers = g_ptr_array_new();

	make_job(&fleet, "j", 1, 2, 1, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_ptr_null(advice_next_question(&fleet, NOW, workers));
	ck_assert_int_eq(plan_pass(&fleet, NOW), 2);
	g_ptr_array_unref(workers);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("advice");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, nothing_starts_without_a_ticket);
	tcase_add_test(tc, nothing_is_asked_about_evacuated_workers);
	tcase_add_test(tc, expired_tickets_are_requested_again);
	tcase_add_test(tc, ticket_of_earlier_incarnation_is_invalid);
	tcase_add_test(tc, only_allowed_worker_of_a_large_pool);
	tcase_add_test(tc, denied_workers_are_not_asked_about_again);
	tcase_add_test(tc, unanswered_question_is_repeated);
	tcase_add_test(tc, waiting_steps_do_not_delay_new_ones);
	tcase_add_test(tc, steps_without_advice_are_not_asked_about);
	return run_case("advice", tc);
}
