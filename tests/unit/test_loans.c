#include <stdio.h>
#include <string.h>

#include "control/keys.h"
#include "control/loans.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/standins/kv_fake.h"
#include "tests/unit/run.h"

/* Loans of hosts in the store, from one leader to the next. */

#define NOW 100000000LL
#define SETTLED (NOW + 3000000LL)

static struct kv_fake fake;
static struct fleet fleet;
static struct config *config;
static struct ledger ledger;
static struct lending lending;
static struct loans loans;

static void on_stored(struct ledger *of)
{
}

static const struct ledger_ops ops = { .stored = on_stored };

static void set_up(void)
{
	kv_fake_init(&fake);
	make_fleet(&fleet, &config);
	lending_init(&lending);
	ledger_init(&ledger, &fake.kv, &ops);
	ledger_open(&ledger, &fleet, 7);
	loans_init(&loans, &fake.kv, &ledger, &lending);
	loans_open(&loans, SETTLED);
}

static void tear_down(void)
{
	loans_finish(&loans);
	ledger_finish(&ledger);
	lending_finish(&lending);
	free_fleet(&fleet, config);
	kv_fake_finish(&fake);
}

static void write_two(msgpack_sbuffer *record)
{
	struct lending before;

	lending_init(&before);
	lending_restore(&before, "m1", "off", "pool", 0, 0);
	lending_restore(&before, "m2", "off", "other", 0, 0);
	loans_record_write(&before, record);
	lending_finish(&before);
}

START_TEST(record_is_read_as_written)
{
	const struct loan *loan;
	msgpack_sbuffer record;

	write_two(&record);
	ck_assert(loans_record_read(&lending, record.data, record.size, SETTLED,
				    NOW));
	ck_assert_int_eq(lending.count, 2);
	ck_assert_uint_eq(lending.change, 0);
	loan = list_entry(lending.loans.prev, struct loan, node);
	ck_assert_str_eq(loan->host, "m2");
	ck_assert_str_eq(loan->home, "off");
	ck_assert_str_eq(loan->pool, "other");
	ck_assert(loan->recorded);
	ck_assert_int_eq(loan->settled_us, SETTLED);
	msgpack_sbuffer_destroy(&record);
}
END_TEST

/* Guards against loans that are restored in part, and reads past the record. */
START_TEST(malformed_record_restores_nothing)
{
	msgpack_sbuffer record;
	size_t len;
	char *at;

	write_two(&record);
	for (len = 0; len < record.size; len++)
		ck_assert(!loans_record_read(&lending, record.data, len,
					     SETTLED, NOW));
	/* The host of the second loan is a number. */
	at = memmem(record.data, record.size, "m2", 2);
	ck_assert_ptr_nonnull(at);
	at[-1] = (char)0xcd;
	ck_assert(!loans_record_read(&lending, record.data, record.size,
				     SETTLED, NOW));
	ck_assert(list_empty(&lending.loans));
	msgpack_sbuffer_destroy(&record);
}
END_TEST

/* Guards against a leader that writes its loans over those that it has not
 * read: the store did not answer the first read. */
START_TEST(nothing_is_written_before_the_record_is_read)
{
	msgpack_sbuffer record;

	write_two(&record);
	kv_fake_fail(&fake.range);
	ck_assert(!loans.read);
	loans_write(&loans);
	ledger_flush(&ledger);
	ck_assert_ptr_null(fake.txn);
	kv_fake_run_ms(&fake, 300);
	ck_assert_ptr_nonnull(fake.range);
	kv_fake_answer_range(&fake, KEY_LOANS, record.data, record.size, 9);
	ck_assert(loans.read);
	ck_assert_int_eq(lending.count, 2);
	loans_write(&loans);
	ledger_flush(&ledger);
	ck_assert_ptr_null(fake.txn);
	/* A change of the loans is written over the record that was read. */
	lending.change++;
	loans_write(&loans);
	ledger_set_queue_counts(&ledger, "one", 3);
	ledger_flush(&ledger);
	ck_assert_ptr_nonnull(strstr(fake.sent->str, KEY_LOANS "=9 "));
	msgpack_sbuffer_destroy(&record);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("loans");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, record_is_read_as_written);
	tcase_add_test(tc, malformed_record_restores_nothing);
	tcase_add_test(tc, nothing_is_written_before_the_record_is_read);
	return run_case("loans", tc);
}
