#include <stdio.h>
#include <string.h>

#include "base/err.h"
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
static const char *pool; /* of the latest move */

static struct worker *find_worker(const char *id)
{
	return g_hash_table_lookup(fleet.workers_by_id, id);
}

/* As control/maintenance.c does it, with a store that answers at once. */
static struct loan *next_move_of_list(int64_t listed_us, int64_t now_us)
{
	struct loan *loan;

	fleet_uncordon_all(&fleet);
	loan = lending_next_move(&lending, &fleet, machines, listed_us, now_us,
				 &pool);
	if (!loan) {
		lending_stored(&lending, lending.change);
		loan = lending_next_move(&lending, &fleet, machines, listed_us,
					 now_us, &pool);
	}
	lending_cordon(&lending, &fleet, machines);
	return loan;
}

/* With a list that was requested just now. */
static struct loan *next_move(int64_t now_us)
{
	return next_move_of_list(now_us, now_us);
}

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
	add_waiting_tasks(8);
	ck_assert(!lending_needs_hosts(&lending, &fleet, NOW + SEC / 4));
	ck_assert(lending_needs_hosts(&lending, &fleet, NOW + SEC));
	ck_assert_ptr_nonnull(next_move(NOW + SEC));
	ck_assert_str_eq(pool, MAKE_POOL);
	/* The requested host has room for all 8 tasks. */
	ck_assert_ptr_null(next_move(NOW + SEC));
}
END_TEST

START_TEST(hosts_are_requested_for_each_shortage)
{
	struct loan *first, *second;

	add_waiting_tasks(30);
	first = next_move(NOW + SEC);
	second = next_move(NOW + SEC);
	ck_assert_str_eq(first->host, "m1");
	ck_assert_str_eq(second->host, "m2");
	/* No spare hosts are left; hosts of other pools are never taken. */
	ck_assert_ptr_null(next_move(NOW + SEC));
}
END_TEST

START_TEST(oversized_task_requests_no_host)
{
	struct job *job = make_job(&fleet, "huge", 1, 1, 1, 1000, NOW);

	job->spec.steps[0].need.mem_mb = 1 << 30;
	plan(NOW);
	ck_assert_ptr_null(next_move(NOW + SEC));
}
END_TEST

/*
 * Lends m1 for tasks that end at NOW + 2 s, and lets it be idle until its
 * return is ordered. Returns the time of that order.
 */
static int64_t order_return(struct loan **loan)
{
	int64_t now_us = NOW + 2 * SEC;

	add_waiting_tasks(4);
	*loan = next_move(NOW + SEC);
	lending_move_answered(*loan, CB_OK, NOW + SEC);
	add_lent_worker(1);
	plan(now_us);
	finish_job_tasks(&fleet, fleet_job(&fleet, "more"), now_us);
	while (!next_move(now_us))
		now_us += SEC;
	ck_assert_int_eq((*loan)->state, LOAN_RETURNING);
	ck_assert(find_worker("w1")->cordoned);
	return now_us;
}

/*
 * An order to return a host that got no answer and was not carried out: without
 * another one its worker would stay in the pool and get no tasks any more.
 */
START_TEST(return_without_answer_is_ordered_again)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);

	lending_move_answered(loan, CB_E_TIMEOUT, now_us + SEC);
	ck_assert_ptr_null(next_move(now_us + 4 * SEC));
	ck_assert(find_worker("w1")->cordoned);
	ck_assert_ptr_eq(next_move(now_us + 6 * SEC), loan);
	ck_assert_str_eq(pool, SPARE);
	ck_assert(find_worker("w1")->cordoned);
}
END_TEST

/* The same, while tasks wait for room: they get the host, and no other one. */
START_TEST(host_whose_return_was_lost_is_used)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan) + 6 * SEC;

	make_job(&fleet, "late", 1, 8, 1, 60000, now_us);
	plan(now_us);
	ck_assert_ptr_null(next_move(now_us + SEC));
	ck_assert(!find_worker("w1")->cordoned);
	plan(now_us + SEC);
	ck_assert_int_eq(find_worker("w1")->task_count, 8);
	ck_assert_ptr_null(next_move(now_us + 20 * SEC));
}
END_TEST

/* The list is older than the order: the host may have gone meanwhile. */
START_TEST(old_list_tells_nothing_of_an_order)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);

	ck_assert_ptr_null(next_move_of_list(now_us, now_us + 9 * SEC));
	ck_assert(find_worker("w1")->cordoned);
}
END_TEST

/* The worker of a host that is being returned starts again, as it may. */
START_TEST(next_life_gets_no_tasks_during_a_return)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);
	struct worker *before = find_worker("w1");

	fleet_worker_restarted(&fleet, before, before->reported.born_ms + 1, 0,
			       now_us);
	next_move(now_us);
	ck_assert_ptr_ne(find_worker("w1"), before);
	ck_assert(find_worker("w1")->cordoned);
}
END_TEST

/*
 * The first order to return the host got no answer, but was carried out, and
 * the second one is refused, as the host is on its way.
 */
START_TEST(returned_host_can_be_lent_again)
{
	struct machine *machine = g_ptr_array_index(machines, 1);
	struct loan *loan;
	int64_t now_us = order_return(&loan);

	lending_move_answered(loan, CB_E_TIMEOUT, now_us + SEC);
	ck_assert_ptr_eq(next_move(now_us + 6 * SEC), loan);
	lending_move_answered(loan, CB_E_CONFLICT, now_us + 6 * SEC);
	g_free(machine->pool);
	machine->pool = g_strdup(SPARE);
	g_clear_pointer(&machine->worker, g_free);
	now_us += 10 * SEC;
	make_job(&fleet, "late", 1, 8, 1, 60000, now_us);
	plan(now_us);
	loan = next_move(now_us + SEC);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(loan->host, "m1");
	ck_assert_str_eq(pool, MAKE_POOL);
}
END_TEST

/* A host arrives, and its worker never registers: others are lent beside it,
 * and it goes back. */
START_TEST(host_without_worker_is_no_room)
{
	struct machine *machine = g_ptr_array_index(machines, 1);
	struct loan *loan, *other;
	int64_t now_us = NOW + SEC;

	add_waiting_tasks(8);
	loan = next_move(now_us);
	lending_move_answered(loan, CB_OK, now_us);
	g_free(machine->pool);
	machine->pool = g_strdup(MAKE_POOL);
	machine->worker = g_strdup("w1");
	ck_assert_ptr_null(next_move(now_us + 2 * SEC));
	other = next_move(now_us + 6 * SEC);
	ck_assert_ptr_nonnull(other);
	ck_assert_str_eq(other->host, "m2");
	lending_move_answered(other, CB_OK, now_us + 6 * SEC);
	add_lent_worker(2);
	plan(now_us + 8 * SEC);
	ck_assert_int_eq(find_worker("w2")->task_count, 8);
	ck_assert_ptr_null(next_move(now_us + 9 * SEC));
	ck_assert_ptr_eq(next_move(now_us + 25 * SEC), loan);
	ck_assert_str_eq(pool, SPARE);
}
END_TEST

/* An operator moves a lent host to a third pool: it is lent no more. */
START_TEST(host_moved_by_others_is_left_there)
{
	struct machine *machine = g_ptr_array_index(machines, 1);
	struct loan *loan;
	int64_t now_us = order_return(&loan);

	g_free(machine->pool);
	machine->pool = g_strdup("third");
	ck_assert_ptr_null(next_move(now_us + 6 * SEC));
	ck_assert(list_empty(&lending.loans));
	ck_assert(!find_worker("w1")->cordoned);
}
END_TEST

/* A host is returned after it has been idle for long, with no tasks on it. */
START_TEST(idle_host_is_returned)
{
	struct worker *worker;
	struct loan *loan;
	struct job *job;
	int64_t now_us;

	add_waiting_tasks(4);
	loan = next_move(NOW + SEC);
	lending_move_answered(loan, CB_OK, NOW + SEC);
	add_lent_worker(1);
	plan(NOW + 2 * SEC);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w1");
	ck_assert_int_eq(worker->task_count, 4);
	job = fleet_job(&fleet, "more");
	for (now_us = NOW + 2 * SEC; now_us < NOW + 30 * SEC; now_us += SEC)
		ck_assert_ptr_null(next_move(now_us));
	finish_job_tasks(&fleet, job, now_us);
	ck_assert_ptr_null(next_move(now_us));
	now_us += 5 * SEC;
	ck_assert_ptr_null(next_move(now_us));
	now_us += 11 * SEC;
	ck_assert_ptr_eq(next_move(now_us), loan);
	ck_assert_str_eq(pool, SPARE);
	ck_assert(worker->cordoned);
	/* If the return is refused, the host stays in use. */
	lending_move_answered(loan, CB_E_CONFLICT, now_us);
	ck_assert_ptr_null(next_move(now_us));
	ck_assert(!worker->cordoned);
}
END_TEST

START_TEST(lost_move_is_requested_again)
{
	struct loan *loan;

	add_waiting_tasks(8);
	loan = next_move(NOW + SEC);
	lending_move_answered(loan, CB_E_TIMEOUT, NOW + SEC);
	/* The move was not carried out, so it is ordered again. */
	loan = next_move(NOW + 7 * SEC);
	ck_assert_ptr_nonnull(loan);
	ck_assert_int_eq(loan->state, LOAN_REQUESTED);
}
END_TEST

/* After a refusal another host is requested, and the same one much later. */
START_TEST(refused_host_is_retried_later)
{
	struct loan *loan;

	add_waiting_tasks(8);
	loan = next_move(NOW + SEC);
	lending_move_answered(loan, CB_E_CONFLICT, NOW + SEC);
	loan = next_move(NOW + SEC);
	ck_assert_str_eq(loan->host, "m2");
	lending_move_answered(loan, CB_E_CONFLICT, NOW + SEC);
	ck_assert_ptr_null(next_move(NOW + 2 * SEC));
	loan = next_move(NOW + 12 * SEC);
	ck_assert_str_eq(loan->host, "m1");
}
END_TEST

/* Guards against a host that no later leader returns: its leader failed between
 * the order and the record of the loan. */
START_TEST(host_is_ordered_once_its_loan_is_stored)
{
	struct loan *loan;
	uint64_t change;

	add_waiting_tasks(8);
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + SEC, NOW + SEC, &pool));
	ck_assert_int_eq(lending.count, 1);
	change = lending.change;
	lending_stored(&lending, change - 1);
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + 8 * SEC, NOW + 8 * SEC,
					     &pool));
	lending_stored(&lending, change);
	loan = lending_next_move(&lending, &fleet, machines, NOW + 8 * SEC,
				 NOW + 8 * SEC, &pool);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(pool, MAKE_POOL);
	ck_assert_uint_eq(lending.change, change);
}
END_TEST

/* The write took so long that the tasks have got room elsewhere. */
START_TEST(host_that_is_needed_no_more_is_not_ordered)
{
	add_waiting_tasks(8);
	ck_assert_ptr_null(lending_next_move(&lending, &fleet, machines,
					     NOW + SEC, NOW + SEC, &pool));
	make_worker(&fleet, "w9", "r", 8, NOW + SEC);
	plan(NOW + 2 * SEC);
	ck_assert_ptr_null(next_move(NOW + 2 * SEC));
	ck_assert_ptr_null(next_move(NOW + 3 * SEC));
	ck_assert(list_empty(&lending.loans));
}
END_TEST

/* Guards against a host that stays in the pool for good: the order to move it
 * there got no answer, had no effect in time, and was carried out after that. */
START_TEST(host_that_arrives_late_is_returned)
{
	struct machine *machine = g_ptr_array_index(machines, 1);
	struct loan *loan;
	int64_t now_us = NOW + SEC;

	add_waiting_tasks(8);
	loan = next_move(now_us);
	ck_assert_str_eq(loan->host, "m1");
	lending_move_answered(loan, CB_E_TIMEOUT, now_us + SEC);
	make_worker(&fleet, "w9", "r", 8, now_us);
	plan(now_us + 2 * SEC);
	ck_assert_ptr_null(next_move(now_us + 6 * SEC));
	ck_assert_int_eq(loan->state, LOAN_OVER);
	add_lent_worker(1);
	ck_assert_ptr_null(next_move(now_us + 10 * SEC));
	ck_assert_ptr_null(next_move(now_us + 24 * SEC));
	ck_assert_ptr_eq(next_move(now_us + 26 * SEC), loan);
	ck_assert_str_eq(pool, SPARE);
	lending_move_answered(loan, CB_OK, now_us + 26 * SEC);
	g_free(machine->pool);
	machine->pool = g_strdup(SPARE);
	ck_assert_ptr_null(next_move(now_us + 40 * SEC));
	ck_assert(list_empty(&lending.loans));
}
END_TEST

/* Guards against a host that is never lent again, and against a record that
 * stays for good: an earlier leader failed before it ordered the host, or its
 * order was not carried out. */
START_TEST(restored_loan_of_a_host_at_home_ends)
{
	int64_t settled_us = NOW + 3 * SEC;
	struct loan *loan;

	lending_restore(&lending, "m1", SPARE, MAKE_POOL, settled_us, NOW);
	ck_assert(lending_needs_hosts(&lending, &fleet, NOW));
	add_waiting_tasks(8);
	/* The order of the earlier leader may still be carried out. */
	ck_assert_ptr_null(next_move(NOW + 2 * SEC));
	loan = next_move(settled_us);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(loan->host, "m1");
	ck_assert_str_eq(pool, MAKE_POOL);
	/* It is refused, so that the host stays at home. */
	lending_move_answered(loan, CB_E_CONFLICT, settled_us);
	finish_job_tasks(&fleet, fleet_job(&fleet, "full"), settled_us);
	plan(settled_us);
	ck_assert_ptr_null(next_move(settled_us + 11 * SEC));
	ck_assert_int_eq(lending.count, 1);
	ck_assert_uint_eq(lending.change, 0);
	ck_assert_ptr_null(next_move(NOW + 31 * SEC));
	ck_assert(list_empty(&lending.loans));
	ck_assert_uint_eq(lending.change, 1);
}
END_TEST

/* The earlier leader's order was carried out, or it had used the host. */
START_TEST(restored_loan_of_a_host_in_the_pool_is_returned)
{
	struct loan *loan;

	lending_restore(&lending, "m1", SPARE, MAKE_POOL, NOW + 3 * SEC, NOW);
	/* One record names a host once; a second loan would never end. */
	lending_restore(&lending, "m1", SPARE, "third", NOW + 3 * SEC, NOW);
	ck_assert_int_eq(lending.count, 1);
	add_lent_worker(1);
	ck_assert_ptr_null(next_move(NOW + SEC));
	ck_assert_ptr_null(next_move(NOW + 15 * SEC));
	loan = next_move(NOW + 17 * SEC);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(loan->host, "m1");
	ck_assert_str_eq(pool, SPARE);
	ck_assert(find_worker("w1")->cordoned);
}
END_TEST

/* Guards against a job that keeps all others from the spare hosts: none of them
 * has room for its tasks, and it has waited longest. */
START_TEST(tasks_that_fit_no_spare_host_hold_no_others_up)
{
	struct loan *loan;
	struct job *job;

	job = make_job(&fleet, "huge", 1, 1, 1, 1000, NOW);
	job->spec.steps[0].need.mem_mb = 1 << 30;
	add_waiting_tasks(8);
	ck_assert(lending_needs_hosts(&lending, &fleet, NOW + SEC));
	loan = next_move(NOW + SEC);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(loan->host, "m1");
	ck_assert_ptr_null(next_move(NOW + SEC));
}
END_TEST

/* Guards against a host that stays lent for good: a job that can't run there
 * waits in its pool. */
START_TEST(lent_host_goes_home_beside_tasks_that_it_can_not_run)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);
	struct job *job;

	lending_move_answered(loan, CB_E_CONFLICT, now_us);
	job = make_job(&fleet, "huge", 1, 1, 1, 1000, now_us);
	job->spec.steps[0].need.mem_mb = 1 << 30;
	plan(now_us);
	ck_assert_ptr_null(next_move(now_us + 14 * SEC));
	ck_assert_ptr_eq(next_move(now_us + 16 * SEC), loan);
	ck_assert_str_eq(pool, SPARE);
}
END_TEST

/* Guards against hosts that are lent to tasks that may not run there. */
START_TEST(only_hosts_with_the_label_are_lent)
{
	struct machine *machine = g_ptr_array_index(machines, 2);
	struct loan *loan;
	struct job *job;

	make_job(&fleet, "full", 1, 8, 1, 60000, NOW);
	plan(NOW);
	job = make_job(&fleet, "big", 1, 30, 1, 60000, NOW);
	g_free(job->spec.steps[0].label);
	job->spec.steps[0].label = g_strdup("big");
	plan(NOW);
	ck_assert_ptr_null(next_move(NOW + SEC));
	machine->labels = g_strsplit("a,r,big", ",", -1);
	loan = next_move(NOW + 2 * SEC);
	ck_assert_ptr_nonnull(loan);
	ck_assert_str_eq(loan->host, "m2");
	ck_assert_ptr_null(next_move(NOW + 2 * SEC));
}
END_TEST

/* Guards against a host that stays lent for good as one list, of several pages,
 * misses it: its loan was forgotten. */
START_TEST(host_that_one_list_misses_stays_lent)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);
	struct machine *machine;

	lending_move_answered(loan, CB_E_CONFLICT, now_us);
	machine = g_ptr_array_steal_index(machines, 1);
	ck_assert_ptr_null(next_move(now_us + SEC));
	ck_assert_int_eq(lending.count, 1);
	g_ptr_array_insert(machines, 1, machine);
	ck_assert_ptr_null(next_move(now_us + 2 * SEC));
	ck_assert_ptr_eq(next_move(now_us + 18 * SEC), loan);
	ck_assert_str_eq(pool, SPARE);
}
END_TEST

/* The platform has removed the host. */
START_TEST(loan_of_a_removed_host_ends)
{
	struct loan *loan;
	int64_t now_us = order_return(&loan);

	lending_move_answered(loan, CB_OK, now_us);
	g_ptr_array_remove_index(machines, 1);
	ck_assert_ptr_null(next_move(now_us + SEC));
	ck_assert_int_eq(lending.count, 1);
	ck_assert_ptr_null(next_move(now_us + 32 * SEC));
	ck_assert_int_eq(lending.count, 0);
}
END_TEST

/* The worker of an evacuated host would get no tasks. */
START_TEST(host_in_an_evacuated_data_centre_is_not_lent)
{
	struct evacuation evacuation;
	struct loan *loan;
	int64_t now_us = NOW + SEC;

	evacuation_init(&evacuation);
	fleet.evacuation = &evacuation;
	((struct machine *)g_ptr_array_index(machines, 1))->dc = g_strdup("d2");
	add_waiting_tasks(30);
	evacuation_begin(&evacuation, "d2", NOW);
	loan = next_move(now_us);
	ck_assert_str_eq(loan->host, "m2");
	ck_assert_ptr_null(next_move(now_us));
	ck_assert(evacuation_end(&evacuation, "d2"));
	loan = next_move(now_us);
	ck_assert_str_eq(loan->host, "m1");
	/* A lent one goes back, although tasks wait for room. */
	add_lent_worker(1);
	evacuation_begin(&evacuation, "d1", NOW);
	ck_assert_ptr_null(next_move(now_us));
	now_us += 16 * SEC;
	ck_assert_ptr_eq(next_move(now_us), loan);
	ck_assert_str_eq(pool, SPARE);
	evacuation_finish(&evacuation);
	fleet.evacuation = NULL;
}
END_TEST

/* It arrives, but its worker is of no use to the tasks that wait. */
START_TEST(host_that_is_evacuated_on_its_way_is_replaced)
{
	struct evacuation evacuation;

	evacuation_init(&evacuation);
	fleet.evacuation = &evacuation;
	((struct machine *)g_ptr_array_index(machines, 1))->dc = g_strdup("d2");
	add_waiting_tasks(8);
	ck_assert_ptr_nonnull(next_move(NOW + SEC));
	evacuation_begin(&evacuation, "d2", NOW);
	ck_assert_str_eq(next_move(NOW + SEC)->host, "m2");
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
	tcase_add_test(tc, return_without_answer_is_ordered_again);
	tcase_add_test(tc, host_whose_return_was_lost_is_used);
	tcase_add_test(tc, old_list_tells_nothing_of_an_order);
	tcase_add_test(tc, next_life_gets_no_tasks_during_a_return);
	tcase_add_test(tc, returned_host_can_be_lent_again);
	tcase_add_test(tc, host_without_worker_is_no_room);
	tcase_add_test(tc, host_moved_by_others_is_left_there);
	tcase_add_test(tc, lost_move_is_requested_again);
	tcase_add_test(tc, refused_host_is_retried_later);
	tcase_add_test(tc, host_is_ordered_once_its_loan_is_stored);
	tcase_add_test(tc, host_that_is_needed_no_more_is_not_ordered);
	tcase_add_test(tc, host_that_arrives_late_is_returned);
	tcase_add_test(tc, restored_loan_of_a_host_at_home_ends);
	tcase_add_test(tc, restored_loan_of_a_host_in_the_pool_is_returned);
	tcase_add_test(tc, tasks_that_fit_no_spare_host_hold_no_others_up);
	tcase_add_test(tc, only_hosts_with_the_label_are_lent);
	tcase_add_test(tc,
		       lent_host_goes_home_beside_tasks_that_it_can_not_run);
	tcase_add_test(tc, host_that_one_list_misses_stays_lent);
	tcase_add_test(tc, loan_of_a_removed_host_ends);
	tcase_add_test(tc, host_in_an_evacuated_data_centre_is_not_lent);
	tcase_add_test(tc, host_that_is_evacuated_on_its_way_is_replaced);
	return run_case("lending", tc);
}
