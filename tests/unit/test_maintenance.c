#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "control/keys.h"
#include "control/maintenance.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/standins/kv_fake.h"
#include "tests/unit/run.h"

/* Orders for hosts, with a store and a service whose answers the test gives. */

#define SEC 1000000LL
#define FENCE 7
#define SPARE "off"

static struct kv_fake fake;
static struct fleet fleet;
static struct config *config;
static struct ledger ledger;
static struct maintenance maintenance;
static struct platform_adapter adapter;

static struct machine_call *list; /* that waits for its answer, or NULL */
static struct machine_call *move;
static char moved_host[32], moved_pool[32];
static int lists;

static void fake_list(struct machine_client *client, struct machine_call *call)
{
	list = call;
	lists++;
}

static void fake_move(struct machine_client *client, struct machine_call *call,
		      const char *host, const char *pool, int64_t fence)
{
	move = call;
	g_strlcpy(moved_host, host, sizeof(moved_host));
	g_strlcpy(moved_pool, pool, sizeof(moved_pool));
}

static void fake_cancel(struct machine_client *client,
			struct machine_call *call)
{
	if (list == call)
		list = NULL;
	if (move == call)
		move = NULL;
}

static void fake_finish(struct machine_client *client)
{
}

static const struct machine_client_ops client_ops = {
	.list = fake_list,
	.move = fake_move,
	.cancel = fake_cancel,
	.finish = fake_finish,
};

static struct machine_client client = { .ops = &client_ops };

static void on_stored(struct ledger *of)
{
}

static const struct ledger_ops ops = { .stored = on_stored };

static void set_up(void)
{
	list = NULL;
	move = NULL;
	lists = 0;
	kv_fake_init(&fake);
	adapter.kv = &fake.kv;
	make_fleet(&fleet, &config);
	g_ptr_array_add(config->spare_pools, g_strdup(SPARE));
	ledger_init(&ledger, &fake.kv, &ops);
	ledger_open(&ledger, &fleet, FENCE);
	maintenance_init(&maintenance, &adapter, &client, &ledger);
	maintenance_open(&maintenance, &fleet, FENCE, 0);
	kv_fake_answer_range(&fake, KEY_LOANS, NULL, 0, 0);
	make_worker(&fleet, "w0", "r", 8, kn_now_us());
}

static void tear_down(void)
{
	maintenance_finish(&maintenance);
	ledger_finish(&ledger);
	free_fleet(&fleet, config);
	kv_fake_finish(&fake);
}

/* Answers the request for the list: hosts w0 in the pool, and m1. */
static void answer_list(const char *pool_of_m1)
{
	struct machine_call *call = list;
	const char *const pools[] = { MAKE_POOL, pool_of_m1 };
	int i;

	ck_assert_ptr_nonnull(call);
	list = NULL;
	call->result = CB_OK;
	call->machines = g_ptr_array_new_with_free_func(machine_free);
	for (i = 0; i < 2; i++) {
		struct machine *machine = g_new0(struct machine, 1);

		machine->name = g_strdup_printf("m%d", i);
		machine->pool = g_strdup(pools[i]);
		machine->up = true;
		machine->room = (struct room){ 128000, 262144, 8 };
		g_ptr_array_add(call->machines, machine);
	}
	call->done(call);
}

/* One pass of the director, in which the store answers at once. */
static void pass(int64_t now_us)
{
	maintenance_run(&maintenance, true, now_us);
	ledger_flush(&ledger);
	while (fake.txn)
		kv_fake_answer_txn(&fake, true, 9, NULL, 0);
}

/* Fills the pool, and lets the tasks of a second job wait for room. */
static void add_waiting_tasks(const char *id, int64_t now_us)
{
	char other[32];

	snprintf(other, sizeof(other), "%s-more", id);
	make_job(&fleet, id, 1, 8, 1, 60000, now_us);
	make_job(&fleet, other, 1, 8, 1, 60000, now_us);
	fleet_open_due(&fleet, now_us, 0);
	plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
}

/* Guards against an order that waits for a pass after its loan is stored, and
 * against one that is sent before. */
START_TEST(host_is_ordered_in_the_pass_after_the_write)
{
	int64_t now_us = kn_now_us();

	add_waiting_tasks("full", now_us);
	now_us += SEC;
	pass(now_us);
	ck_assert_ptr_null(move);
	answer_list(SPARE);
	pass(now_us);
	ck_assert_ptr_null(move);
	pass(now_us);
	ck_assert_ptr_nonnull(move);
	ck_assert_str_eq(moved_host, "m1");
	ck_assert_str_eq(moved_pool, MAKE_POOL);
}
END_TEST

/*
 * Guards against a host that is taken to a pool where it does not belong: an
 * operator has given the spare host to the pool since the list was read for an
 * earlier shortage, and a loan would be returned.
 */
START_TEST(old_list_is_no_ground_for_a_loan)
{
	int64_t now_us = kn_now_us();

	add_waiting_tasks("full", now_us);
	pass(now_us + SEC);
	ck_assert_int_eq(lists, 1);
	/* The shortage is over before the answer comes. */
	finish_job_tasks(&fleet, fleet_job(&fleet, "full"), now_us + SEC);
	plan_pass(&fleet, now_us + SEC);
	confirm_planned_runs(&fleet, now_us + SEC);
	answer_list(SPARE);
	pass(now_us + 2 * SEC);
	ck_assert_ptr_null(move);
	now_us += 300 * SEC;
	make_job(&fleet, "late", 1, 8, 1, 60000, now_us);
	plan_pass(&fleet, now_us);
	fleet_open_due(&fleet, now_us, 0);
	plan_pass(&fleet, now_us);
	now_us += SEC;
	pass(now_us);
	pass(now_us);
	ck_assert_int_eq(lists, 2);
	ck_assert_ptr_null(move);
	ck_assert_int_eq(maintenance.lending.count, 0);
	answer_list(MAKE_POOL);
	pass(now_us);
	pass(now_us);
	ck_assert_ptr_null(move);
	ck_assert_int_eq(maintenance.lending.count, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("maintenance");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, host_is_ordered_in_the_pass_after_the_write);
	tcase_add_test(tc, old_list_is_no_ground_for_a_loan);
	return run_case("maintenance", tc);
}
