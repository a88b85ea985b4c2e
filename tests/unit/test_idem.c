#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "policy/idem.h"
#include "tests/unit/run.h"

#define SEC USEC_PER_SEC

static struct idem idem;
static struct idem_entry *entry;
static struct idem_owner owner;
static struct idem_digest digest;
static int result;

static void setup(void)
{
	idem_init(&idem, "pg1.entry-1", 0x1234);
	digest = idem_digest("POST", "/pay", "x", 1);
}

static void teardown(void)
{
	idem_finish(&idem);
}

static enum idem_decision begin(const char *key, int64_t now_us)
{
	return idem_begin(&idem, key, &digest, now_us, &entry, &owner, &result);
}

/*
 * Guards against running the request of a ticket twice and against not
 * replaying its answer.
 */
START_TEST(ticket_runs_once)
{
	char ticket[IDEM_KEY_BYTES];
	struct idem_waiter waiter;

	ck_assert(idem_ticket_issue(&idem, ticket, sizeof(ticket), 0));
	ck_assert_int_eq(begin(ticket, 1), IDEM_RUN);
	ck_assert_int_eq(begin(ticket, 2), IDEM_WAIT);
	idem_add_waiter(entry, &waiter);
	ck_assert(!list_empty(&entry->waiters));
	idem_remove_waiter(&waiter);
	/* The request was not sent, so the ticket is fresh again. */
	idem_end(&idem, entry, IDEM_NOT_RUN, CB_E_OVERLOADED, 503, NULL, 0, 3);
	ck_assert_int_eq(begin(ticket, 4), IDEM_RUN);
	idem_end(&idem, entry, IDEM_ANSWERED, CB_OK, 200, "done", 4, 5);
	ck_assert_int_eq(begin(ticket, 6), IDEM_REPLAY);
	ck_assert_int_eq(entry->answer.len, 4);
	ck_assert_int_eq(memcmp(entry->answer.blob, "done", 4), 0);
	digest = idem_digest("POST", "/pay", "y", 1);
	ck_assert_int_eq(begin(ticket, 7), IDEM_REFUSE);
	ck_assert_int_eq(result, CB_E_KEY_REUSED);
	/* After its entry and chunk expired, it must not be fresh again. */
	idem_expire(&idem, KEY_KEEP_SEC * SEC + 10);
	ck_assert_int_eq(begin(ticket, KEY_KEEP_SEC * SEC + 11),
			 IDEM_UNAVAILABLE);
}
END_TEST

/* Guards against taking a corrupted ticket for a valid one. */
START_TEST(damaged_ticket_is_refused)
{
	char ticket[IDEM_KEY_BYTES], bad[IDEM_KEY_BYTES];
	uint64_t seq;
	size_t i;

	ck_assert(idem_ticket_issue(&idem, ticket, sizeof(ticket), 0));
	ck_assert(idem_ticket_parse(ticket, &owner, &seq));
	ck_assert_str_eq(owner.host, "pg1.entry-1");
	ck_assert_uint_eq(owner.incarnation, 0x1234);
	ck_assert_uint_eq(seq, 1);
	for (i = 3; i < strlen(ticket); i++) {
		strcpy(bad, ticket);
		bad[i] = bad[i] == '7' ? '8' : '7';
		ck_assert_int_eq(begin(bad, 0), IDEM_REFUSE);
		strcpy(bad, ticket);
		bad[i] = '\0';
		ck_assert_int_eq(begin(bad, 0), IDEM_REFUSE);
	}
	ck_assert_int_eq(begin("t1.", 0), IDEM_REFUSE);
	ck_assert_int_eq(begin("", 0), IDEM_REFUSE);
	memset(bad, 'a', sizeof(bad));
	bad[sizeof(bad) - 1] = '\0';
	ck_assert_int_eq(begin(bad, 0), IDEM_CLAIM);
}
END_TEST

/*
 * Guards against running a ticket of another incarnation, which may have
 * run it already.
 */
START_TEST(foreign_tickets_never_run_here)
{
	char ticket[IDEM_KEY_BYTES];
	struct idem_answer answer = { .outcome = IDEM_ANSWERED, .status = 201 };
	struct idem other;

	idem_init(&other, "pg1.entry-1", 0x1233);
	ck_assert(idem_ticket_issue(&other, ticket, sizeof(ticket), 0));
	ck_assert_int_eq(begin(ticket, 0), IDEM_UNAVAILABLE);
	ck_assert_int_eq(result, CB_E_OWNER_GONE);
	/* A peer has adopted its finished keys. */
	ck_assert(idem_ticket_parse(ticket, &owner, &(uint64_t){ 0 }));
	idem_set_adopter(&idem, &owner, "pg1.entry-2");
	ck_assert_int_eq(begin(ticket, 0), IDEM_FORWARD);
	ck_assert_str_eq(idem_adopter(&idem, &owner), "pg1.entry-2");
	/* This host has adopted the key: it replays the answer. */
	answer.blob = "kept";
	answer.len = 4;
	ck_assert(idem_adopt(&idem, ticket, &digest, &answer, 0));
	ck_assert_int_eq(begin(ticket, 1), IDEM_REPLAY);
	ck_assert_int_eq(entry->answer.status, 201);
	idem_finish(&other);
	idem_init(&other, "pg1.entry-3", 0x1234);
	ck_assert(idem_ticket_issue(&other, ticket, sizeof(ticket), 0));
	ck_assert_int_eq(begin(ticket, 0), IDEM_FORWARD);
	idem_finish(&other);
}
END_TEST

/*
 * Guards against running a request twice or never when the reply of the
 * store to a claim is lost.
 */
START_TEST(claims_are_resolved_by_number)
{
	struct idem_entry *batch[KEY_BATCH_MAX];
	char value[IDEM_CLAIM_BYTES];

	ck_assert_int_eq(begin("k/a/1", 0), IDEM_CLAIM);
	ck_assert_int_eq(begin("k/a/1", 0), IDEM_WAIT);
	ck_assert(!idem_claims_due(&idem, KEY_BATCH_DELAY_MS * 1000 - 1));
	ck_assert(idem_claims_due(&idem, KEY_BATCH_DELAY_MS * 1000));
	ck_assert_uint_eq(idem_claims_take(&idem, batch, KEY_BATCH_MAX), 1);
	/* The store has no claim. */
	ck_assert_int_eq(
		idem_claim_resolve(&idem, batch[0], NULL, &owner, &result),
		IDEM_CLAIM);
	idem_claim_queue(&idem, batch[0], 5);
	ck_assert_uint_eq(idem_claims_take(&idem, batch, KEY_BATCH_MAX), 1);
	idem_claim_value(&idem, batch[0], value);
	ck_assert_str_eq(value, "pg1.entry-1/1234/1");
	ck_assert_int_eq(
		idem_claim_resolve(&idem, batch[0], value, &owner, &result),
		IDEM_RUN);
	/* It was not run, so its owner may run it without a new claim. */
	idem_end(&idem, batch[0], IDEM_NOT_RUN, CB_E_NO_SERVER, 503, NULL, 0,
		 6);
	ck_assert_int_eq(begin("k/a/1", 7), IDEM_RUN);
	idem_end(&idem, entry, IDEM_UNKNOWN, CB_E_UPSTREAM_LOST, 502, NULL, 0,
		 8);
	ck_assert_int_eq(begin("k/a/1", 9), IDEM_UNAVAILABLE);
	ck_assert_int_eq(result, CB_E_UPSTREAM_LOST);
	/*
	 * Claims of another host, of an earlier incarnation of this host, and
	 * of an evicted attempt of this incarnation.
	 */
	ck_assert_int_eq(begin("k/a/2", 0), IDEM_CLAIM);
	ck_assert_int_eq(idem_claim_resolve(&idem, entry, "pg1.entry-2/9/1",
					    &owner, &result),
			 IDEM_FORWARD);
	ck_assert_str_eq(owner.host, "pg1.entry-2");
	ck_assert_uint_eq(owner.incarnation, 9);
	ck_assert_int_eq(idem_claim_resolve(&idem, entry, "pg1.entry-1/1000/2",
					    &owner, &result),
			 IDEM_UNAVAILABLE);
	ck_assert_int_eq(idem_claim_resolve(&idem, entry, "pg1.entry-1/1234/1",
					    &owner, &result),
			 IDEM_UNAVAILABLE);
	ck_assert_int_eq(result, CB_E_ANSWER_FORGOTTEN);
	idem_remove(&idem, entry);
	ck_assert_uint_eq(idem_claims_take(&idem, batch, KEY_BATCH_MAX), 0);
	ck_assert_uint_eq(idem.claim_count, 0);
}
END_TEST

/* Guards against running on a claim that the store may have deleted. */
START_TEST(old_claims_are_not_run)
{
	int64_t keep = KEY_KEEP_SEC * SEC;

	ck_assert_int_eq(begin("k/a/1", 0), IDEM_CLAIM);
	ck_assert_uint_eq(idem_claims_take(&idem, &entry, 1), 1);
	ck_assert_int_eq(idem_claim_resolve(&idem, entry, "pg1.entry-1/1234/1",
					    &owner, &result),
			 IDEM_RUN);
	idem_end(&idem, entry, IDEM_NOT_RUN, CB_E_OVERLOADED, 503, NULL, 0, 1);
	/* A later attempt renews the age of the entry, but not of the claim. */
	ck_assert_int_eq(begin("k/a/1", keep - 1), IDEM_RUN);
	idem_end(&idem, entry, IDEM_NOT_RUN, CB_E_OVERLOADED, 503, NULL, 0,
		 keep - 1);
	ck_assert_int_eq(begin("k/a/1", keep), IDEM_CLAIM);
}
END_TEST

/* Guards against unbounded memory for finished answers. */
START_TEST(finished_answers_are_bounded)
{
	char ticket[IDEM_KEY_BYTES], first[IDEM_KEY_BYTES];
	char *blob = calloc(1, 64 * 1024);
	int i;

	ck_assert(idem_ticket_issue(&idem, first, sizeof(first), 0));
	ck_assert_int_eq(begin(first, 0), IDEM_RUN);
	idem_end(&idem, entry, IDEM_ANSWERED, CB_OK, 200, blob, 64 * 1024, 0);
	for (i = 0; i < KEY_ENTRIES_MAX + 10000; i++) {
		ck_assert(idem_ticket_issue(&idem, ticket, sizeof(ticket), i));
		ck_assert_int_eq(begin(ticket, i), IDEM_RUN);
		idem_end(&idem, entry, IDEM_ANSWERED, CB_OK, 200, blob,
			 i < 1000 ? 64 * 1024 : 16, i);
		ck_assert_uint_le(idem.blob_bytes, KEY_BYTES_MAX);
	}
	ck_assert_uint_le(idem.finished_count, KEY_ENTRIES_MAX);
	ck_assert_int_eq(begin(first, i), IDEM_UNAVAILABLE);
	ck_assert_int_eq(result, CB_E_ANSWER_FORGOTTEN);
	ck_assert_int_eq(begin(ticket, i), IDEM_REPLAY);
	free(blob);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("idempotency keys");

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, ticket_runs_once);
	tcase_add_test(tc, damaged_ticket_is_refused);
	tcase_add_test(tc, foreign_tickets_never_run_here);
	tcase_add_test(tc, claims_are_resolved_by_number);
	tcase_add_test(tc, old_claims_are_not_run);
	tcase_add_test(tc, finished_answers_are_bounded);
	return run_case("idem", tc);
}
