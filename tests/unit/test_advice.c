#include <string.h>

#include "fleet/advice.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_make.h"
#include "tests/unit/run.h"

/* Steps that may run only where the advice service grants it. */

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
	make_fleet_end(&fleet, config);
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
	stage = advice_wanted(&fleet, NOW, workers);
	ck_assert_ptr_eq(stage, job_stage(job, 0, 0));
	ck_assert_uint_eq(workers->len, 2);
	advice_asked(stage, NOW);
	advice_granted(stage, "w2", "ticket", NOW, 3000);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 1), 2);
	ck_assert_str_eq(make_task(job, 0, 0)->worker->said.id, "w2");
	ck_assert_str_eq(make_task(job, 0, 0)->ticket, "ticket");
	g_ptr_array_unref(workers);
}
END_TEST

START_TEST(tickets_lapse_and_are_asked_for_again)
{
	GPtrArray *workers = g_ptr_array_new();
	struct job *job = advised_job();
	struct stage *stage = job_stage(job, 0, 0);

	advice_asked(stage, NOW);
	advice_granted(stage, "w2", "ticket", NOW, 3000);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 3 * SEC), 0);
	ck_assert_ptr_eq(advice_wanted(&fleet, NOW + 3 * SEC, workers), stage);
	g_ptr_array_unref(workers);
}
END_TEST

/* A ticket is for one life of its worker. */
START_TEST(ticket_of_an_earlier_life)
{
	struct job *job = advised_job();
	struct stage *stage = job_stage(job, 0, 0);
	struct worker *worker = g_hash_table_lookup(fleet.workers_by_id, "w2");

	advice_granted(stage, "w2", "ticket", NOW, 9000);
	ck_assert_ptr_nonnull(advice_ticket(stage, worker, NOW));
	fleet_later_life(&fleet, worker, 9999, NOW);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w2");
	ck_assert_ptr_null(advice_ticket(stage, worker, NOW));
}
END_TEST

START_TEST(steps_without_advice_are_not_asked_about)
{
	GPtrArray *workers = g_ptr_array_new();

	make_job(&fleet, "j", 1, 2, 1, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_ptr_null(advice_wanted(&fleet, NOW, workers));
	ck_assert_int_eq(plan_pass(&fleet, NOW), 2);
	g_ptr_array_unref(workers);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("advice");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, nothing_starts_without_a_ticket);
	tcase_add_test(tc, tickets_lapse_and_are_asked_for_again);
	tcase_add_test(tc, ticket_of_an_earlier_life);
	tcase_add_test(tc, steps_without_advice_are_not_asked_about);
	return run_case("advice", tc);
}
