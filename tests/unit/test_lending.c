#include <stdio.h>
#include <string.h>

#include "fleet/evacuation.h"
#include "fleet/lending.h"
#include "fleet/plan.h"
#include "fleet/upkeep.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Unit tests of lending hosts of spare pools. */

#define SEC 1000000LL
#define NOW (100 * SEC)
#define SPARE "off"

static struct fleet fleet;
static struct config *config;
static struct lending lending;
static GPtrArray *machines;

static struct machine *add_machine(const char *name, const char *pool)
{
	struct machine *machine = g_new0(struct machine, 1);

	machine->name = g_strdup(name);
	machine->pool = g_strdup(pool);
	machine->up = true;
	machine->room = (struct room){ 128000, 262144, 8 };
	g_ptr_array_add(machines, machine);
	return machine;
}

static void set_up(void)
{
	make_fleet(&fleet, &config);
	g_ptr_array_add(config->spare_pools, g_strdup(SPARE));
	lending_init(&lending);
	machines = g_ptr_array_new_with_free_func(machine_free);
	make_worker(&fleet, "w0", "r", 8, NOW);
	add_machine("m0", MAKE_POOL);
	add_machine("m1", SPARE);
	add_machine("m2", SPARE);
}

static void tear_down(void)
{
	lending_finish(&lending);
	g_ptr_array_unref(machines);
	free_fleet(&fleet, config);
}

static void plan(int64_t now_us)
{
	fleet_open_due(&fleet, now_us, 0);
	plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
}

/* Fills the pool; count further tasks wait for room from NOW on. */
static void add_waiting_tasks(int count)
{
	make_job(&fleet, "full", 1, 8, 1, 60000, NOW);
	plan(NOW);
	make_job(&fleet, "more", 1, count, 1, 60000, NOW);
	plan(NOW);
}

/* The host has moved to the pool and its worker has registered. */
static void add_lent_worker(int index)
{
	struct machine *machine = g_ptr_array_index(machines, index);
	char id[16];

	snprintf(id, sizeof(id), "w%d", index);
	g_free(machine->pool);
	machine->pool = g_strdup(MAKE_POOL);
	machine->worker = g_strdup(id);
	make_worker(&fleet, id, "r", 8, NOW);
}

START_TEST(no_host_beyond_need_is_requested)
{
	const char *pool;

	add_waiting_tasks(8);
	ck_assert(!lending_needs_hosts(&lending, &fleet, NOW + SEC / 4));
	ck_assert(lending_needs_hosts(&lending, &fleet, NOW + SEC));
	ck_assert_ptr_nonnull(lending_next_move(&lending, &fleet, machines,
						NOW + SEC, &pool));
	ck_assert_str_eq(pool, MAKE_POOL);
	/* The requested host has room for all 8 tasks. */
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + SEC, &pool));
}
END_TEST

START_TEST(hosts_are_requested_for_each_shortage)
{
	const char *pool;
	struct loan *first, *second;

	add_waiting_tasks(30);
	first = lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	second =
		lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	ck_assert_str_eq(first->host, "m1");
	ck_assert_str_eq(second->host, "m2");
	/* No spare hosts are left; hosts of other pools are never taken. */
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + SEC, &pool));
}
END_TEST

START_TEST(oversized_task_requests_no_host)
{
	struct job *job = make_job(&fleet, "huge", 1, 1, 1, 1000, NOW);
	const char *pool;

	job->spec.steps[0].need.mem_mb = 1 << 30;
	plan(NOW);
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + SEC, &pool));
}
END_TEST

/* A host is returned after it has been idle for long, with no tasks on it. */
START_TEST(idle_host_is_returned)
{
	struct worker *worker;
	const char *pool;
	struct loan *loan;
	struct job *job;
	int64_t now_us;

	add_waiting_tasks(4);
	loan = lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	lending_move_answered(loan, false, NOW + SEC);
	add_lent_worker(1);
	plan(NOW + 2 * SEC);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w1");
	ck_assert_int_eq(worker->task_count, 4);
	job = fleet_job(&fleet, "more");
	for (now_us = NOW + 2 * SEC; now_us < NOW + 30 * SEC; now_us += SEC)
		ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
						     now_us, &pool));
	finish_job_tasks(&fleet, job, now_us);
	ck_assert_ptr_null(
		lending_next_move(&lending, &fleet, machines, now_us, &pool));
	now_us += 5 * SEC;
	ck_assert_ptr_null(
		lending_next_move(&lending, &fleet, machines, now_us, &pool));
	now_us += 11 * SEC;
	ck_assert_ptr_eq(
		lending_next_move(&lending, &fleet, machines, now_us, &pool),
		loan);
	ck_assert_str_eq(pool, SPARE);
	ck_assert(worker->cordoned);
	/* If the return is refused, the host stays in use. */
	lending_move_answered(loan, true, now_us);
	ck_assert_ptr_null(
		lending_next_move(&lending, &fleet, machines, now_us, &pool));
	ck_assert(!worker->cordoned);
}
END_TEST

START_TEST(lost_move_is_requested_again)
{
	const char *pool;
	struct loan *loan;

	add_waiting_tasks(8);
	loan = lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	lending_move_answered(loan, false, NOW + SEC);
	/* The move was not carried out, so it is ordered again. */
	loan = lending_next_move(&lending, &fleet, machines, NOW + 7 * SEC,
				 &pool);
	ck_assert_ptr_nonnull(loan);
	ck_assert_int_eq(loan->state, LOAN_REQUESTED);
}
END_TEST

/* After a refusal another host is requested, and the same one much later. */
START_TEST(refused_host_is_retried_later)
{
	const char *pool;
	struct loan *loan;

	add_waiting_tasks(8);
	loan = lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	lending_move_answered(loan, true, NOW + SEC);
	loan = lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool);
	ck_assert_str_eq(loan->host, "m2");
	lending_move_answered(loan, true, NOW + SEC);
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + 2 * SEC, &pool));
	loan = lending_next_move(&lending, &fleet, machines, NOW + 12 * SEC,
				 &pool);
	ck_assert_str_eq(loan->host, "m1");
}
END_TEST

/* The worker of an evacuated host would get no tasks. */
START_TEST(host_in_an_evacuated_data_centre_is_not_lent)
{
	struct evacuation evacuation;
	const char *pool;
	struct loan *loan;
	int64_t now_us = NOW + SEC;

	evacuation_init(&evacuation);
	fleet.evacuation = &evacuation;
	((struct machine *)g_ptr_array_index(machines, 1))->dc = g_strdup("d2");
	add_waiting_tasks(30);
	evacuation_begin(&evacuation, "d2", NOW);
	loan = lending_next_move(&lending, &fleet, machines, now_us, &pool);
	ck_assert_str_eq(loan->host, "m2");
	ck_assert_ptr_null(
		lending_next_move(&lending, &fleet, machines, now_us, &pool));
	ck_assert(evacuation_end(&evacuation, "d2"));
	loan = lending_next_move(&lending, &fleet, machines, now_us, &pool);
	ck_assert_str_eq(loan->host, "m1");
	/* A lent one goes back, although tasks wait for room. */
	add_lent_worker(1);
	evacuation_begin(&evacuation, "d1", NOW);
	ck_assert_ptr_null(
		lending_next_move(&lending, &fleet, machines, now_us, &pool));
	now_us += 16 * SEC;
	ck_assert_ptr_eq(
		lending_next_move(&lending, &fleet, machines, now_us, &pool),
		loan);
	ck_assert_str_eq(pool, SPARE);
	evacuation_finish(&evacuation);
	fleet.evacuation = NULL;
}
END_TEST

/* It arrives, but its worker is of no use to the tasks that wait. */
START_TEST(host_that_is_evacuated_on_its_way_is_replaced)
{
	struct evacuation evacuation;
	const char *pool;

	evacuation_init(&evacuation);
	fleet.evacuation = &evacuation;
	((struct machine *)g_ptr_array_index(machines, 1))->dc = g_strdup("d2");
	add_waiting_tasks(8);
	ck_assert_ptr_nonnull(lending_next_move(&lending, &fleet, machines,
						NOW + SEC, &pool));
	evacuation_begin(&evacuation, "d2", NOW);
	ck_assert_str_eq(
		lending_next_move(&lending, &fleet, machines, NOW + SEC, &pool)
			->host,
		"m2");
	evacuation_finish(&evacuation);
	fleet.evacuation = NULL;
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lending");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, no_host_beyond_need_is_requested);
	tcase_add_test(tc, hosts_are_requested_for_each_shortage);
	tcase_add_test(tc, oversized_task_requests_no_host);
	tcase_add_test(tc, idle_host_is_returned);
	tcase_add_test(tc, lost_move_is_requested_again);
	tcase_add_test(tc, refused_host_is_retried_later);
	tcase_add_test(tc, host_in_an_evacuated_data_centre_is_not_lent);
	tcase_add_test(tc, host_that_is_evacuated_on_its_way_is_replaced);
	return run_case("lending", tc);
}
