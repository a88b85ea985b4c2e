#include <stdio.h>
#include <string.h>

#include "control/keys.h"
#include "control/ledger.h"
#include "fleet/limits.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/standins/kv_fake.h"
#include "tests/unit/run.h"

/* The leader's transactions, with a store whose answers the test gives. */

#define NOW 100000000LL
#define FENCE 7

static struct kv_fake fake;
static struct fleet fleet;
static struct config *config;
static struct ledger ledger;
static int deposed;

static void on_stored(struct ledger *of)
{
}

static void on_deposed(struct ledger *of)
{
	deposed++;
}

static const struct ledger_ops ops = { .stored = on_stored,
				       .deposed = on_deposed };

static void set_up(void)
{
	deposed = 0;
	kv_fake_init(&fake);
	make_fleet(&fleet, &config);
	ledger_init(&ledger, &fake.kv, &ops);
	ledger_open(&ledger, &fleet, FENCE);
}

static void tear_down(void)
{
	ledger_finish(&ledger);
	free_fleet(&fleet, config);
	kv_fake_finish(&fake);
}

static void answer(bool succeeded, int64_t revision)
{
	kv_fake_answer_txn(&fake, succeeded, revision, NULL, 0);
}

static bool sent(const char *wanted)
{
	return strstr(fake.sent->str, wanted) != NULL;
}

static void set_counts(const char *text)
{
	ledger_set_queue_counts(&ledger, text, strlen(text));
}

static void set_speeds(const char *text)
{
	ledger_set_speeds(&ledger, text, strlen(text));
}

static void change_jobs(int count)
{
	char id[24];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "job%d", i);
		fleet_mark_changed(&fleet,
				   make_job(&fleet, id, 1, 1, 1, 1000, NOW));
	}
}

/* Guards against counts that stay wrong: they changed while earlier ones were
 * being written, and not again. */
START_TEST(counts_that_change_during_a_write_are_written_next)
{
	set_counts("one");
	ledger_flush(&ledger);
	ck_assert(sent(KEY_LEADER "=7 ") && sent(KEY_WAITING ":one "));
	set_counts("two");
	answer(true, 20);
	ck_assert_ptr_nonnull(fake.txn);
	ck_assert(sent(KEY_WAITING "=20 ") && sent(KEY_WAITING ":two "));
	answer(true, 21);
	ck_assert_ptr_null(fake.txn);
	ck_assert(ledger_idle(&ledger));
}
END_TEST

/* Guards against a store call for estimates that nobody needs yet, and against
 * a write over a record that was not read. */
START_TEST(speeds_go_with_other_records_once_they_were_read)
{
	set_speeds("fast");
	ledger_flush(&ledger);
	ck_assert_ptr_null(fake.txn);
	set_counts("one");
	ledger_flush(&ledger);
	ck_assert(!sent(KEY_SPEEDS));
	answer(true, 20);
	ledger_found_speeds(&ledger, 5);
	ck_assert_ptr_null(fake.txn);
	set_counts("two");
	ledger_flush(&ledger);
	ck_assert(sent(KEY_SPEEDS "=5 ") && sent(KEY_SPEEDS ":fast "));
	answer(true, 21);
	set_speeds("slow");
	set_counts("three");
	ledger_flush(&ledger);
	ck_assert(sent(KEY_SPEEDS "=21 ") && sent(KEY_SPEEDS ":slow "));
}
END_TEST

/* Guards against a load peak on which job records wait for estimates, and
 * against a transaction with more entries than the store takes. */
START_TEST(speeds_give_way_to_job_records)
{
	ledger_found_speeds(&ledger, 0);
	set_speeds("fast");
	set_counts("one");
	change_jobs(2 * RECORDS_PER_WRITE - 1);
	ledger_flush(&ledger);
	ck_assert(!sent(KEY_SPEEDS));
	ck_assert_int_le(fake.entries, 32);
	answer(true, 20);
	ck_assert(sent(KEY_SPEEDS ":fast "));
	ck_assert_int_le(fake.entries, 32);
}
END_TEST

/* Guards against estimates that are lost with a write, and against a write that
 * is carried out late, over a newer one: the revision differs by then. */
START_TEST(speeds_are_written_again_after_a_failure)
{
	struct kv_item items[] = {
		{ .key = KEY_LEADER, .mod_revision = FENCE },
		{ .key = KEY_SPEEDS, .mod_revision = 30 },
	};

	ledger_found_speeds(&ledger, 0);
	set_speeds("fast");
	set_counts("one");
	ledger_flush(&ledger);
	kv_fake_fail(&fake.txn);
	kv_fake_run_ms(&fake, 150);
	ck_assert(sent(KEY_SPEEDS "=0 ") && sent(KEY_SPEEDS ":fast "));
	/* The first attempt was carried out after all. */
	kv_fake_answer_txn(&fake, false, 31, items, 2);
	kv_fake_run_ms(&fake, 10);
	ck_assert(sent(KEY_SPEEDS "=30 ") && sent(KEY_SPEEDS ":fast "));
	answer(true, 32);
	ck_assert_int_eq(deposed, 0);
}
END_TEST

/* Guards against a deposed leader's estimates over those of the next one. */
START_TEST(speeds_of_a_deposed_leader_are_not_written)
{
	struct kv_item items[] = {
		{ .key = KEY_LEADER, .mod_revision = FENCE + 9 },
	};

	ledger_found_speeds(&ledger, 0);
	set_speeds("fast");
	set_counts("one");
	ledger_flush(&ledger);
	ck_assert(sent(KEY_LEADER "=7 ") && sent(KEY_SPEEDS ":fast "));
	kv_fake_answer_txn(&fake, false, 40, items, 1);
	ck_assert_int_eq(deposed, 1);
	kv_fake_run_ms(&fake, 150);
	ck_assert_ptr_null(fake.txn);
}
END_TEST

/* Guards against an order to a host whose loan no later leader would know, and
 * against a transaction with more entries than the store takes. */
START_TEST(loans_are_stored_before_anything_else_waits)
{
	struct kv_item items[] = {
		{ .key = KEY_LEADER, .mod_revision = FENCE },
		{ .key = KEY_LOANS, .mod_revision = 30 },
	};

	ledger_found_loans(&ledger, 6);
	ck_assert(ledger_loans_stored(&ledger));
	ledger_found_speeds(&ledger, 0);
	ledger_set_speeds(&ledger, "fast", 4);
	set_counts("one");
	change_jobs(2 * RECORDS_PER_WRITE);
	ledger_set_loans(&ledger, "m1", 2);
	ck_assert(!ledger_loans_stored(&ledger));
	ledger_flush(&ledger);
	ck_assert(sent(KEY_LEADER "=7 ") && sent(KEY_LOANS "=6 ") &&
		  sent(KEY_LOANS ":m1 "));
	ck_assert_int_le(fake.entries, 32);
	kv_fake_fail(&fake.txn);
	kv_fake_run_ms(&fake, 150);
	ck_assert(!ledger_loans_stored(&ledger));
	ck_assert(sent(KEY_LOANS "=6 ") && sent(KEY_LOANS ":m1 "));
	/* The first attempt was carried out after all. */
	kv_fake_answer_txn(&fake, false, 31, items, 2);
	kv_fake_run_ms(&fake, 10);
	ck_assert(!ledger_loans_stored(&ledger));
	ck_assert(sent(KEY_LOANS "=30 "));
	answer(true, 32);
	ck_assert(ledger_loans_stored(&ledger));
	ledger_set_loans(&ledger, "", 0);
	while (fake.txn)
		answer(true, 33);
	ck_assert(ledger_loans_stored(&ledger));
	ck_assert(ledger_idle(&ledger));
}
END_TEST

/* The removal of a job's records has the most entries of all. */
START_TEST(loans_fit_beside_removals)
{
	char id[24];
	int i;

	ledger_found_loans(&ledger, 0);
	ledger_found_speeds(&ledger, 0);
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "job%d", i);
		ledger_remove_job(&ledger, id, 1, 2);
	}
	ledger_set_speeds(&ledger, "fast", 4);
	set_counts("one");
	ledger_set_loans(&ledger, "m1", 2);
	ledger_flush(&ledger);
	ck_assert(sent(KEY_LOANS ":m1 "));
	ck_assert_int_le(fake.entries, 32);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ledger");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, counts_that_change_during_a_write_are_written_next);
	tcase_add_test(tc, speeds_go_with_other_records_once_they_were_read);
	tcase_add_test(tc, speeds_give_way_to_job_records);
	tcase_add_test(tc, speeds_are_written_again_after_a_failure);
	tcase_add_test(tc, speeds_of_a_deposed_leader_are_not_written);
	tcase_add_test(tc, loans_are_stored_before_anything_else_waits);
	tcase_add_test(tc, loans_fit_beside_removals);
	return run_case("ledger", tc);
}
