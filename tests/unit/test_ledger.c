#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "control/keys.h"
#include "control/ledger.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* The leader's transactions, with a store whose answers the test gives. */

#define NOW 100000000LL
#define FENCE 7

static struct kn kn;
static struct kn_timer tick;
static struct fleet fleet;
static struct config *config;
static struct ledger ledger;

/* The transaction that waits for its answer. */
static struct kv_call *pending;
static GString *sent; /* "KEY=REVISION" of comparisons, "KEY:VALUE" of writes */
static int entries;

static void fake_txn(struct kv *kv, struct kv_call *call,
		     const struct kv_cmp *cmps, size_t ncmps,
		     const struct kv_op *ops, size_t nops,
		     const struct kv_op *others, size_t nothers)
{
	size_t i;

	ck_assert_ptr_null(pending);
	pending = call;
	entries = (int)(ncmps + nops);
	g_string_truncate(sent, 0);
	for (i = 0; i < ncmps; i++)
		g_string_append_printf(sent, "%s=%d ", cmps[i].key,
				       (int)cmps[i].mod_revision);
	for (i = 0; i < nops; i++)
		g_string_append_printf(sent, "%s:%.*s ", ops[i].key,
				       (int)ops[i].len,
				       (const char *)ops[i].value);
}

static void fake_cancel(struct kv *kv, struct kv_call *call)
{
	pending = NULL;
}

static const struct kv_ops fake_ops = {
	.txn = fake_txn,
	.cancel = fake_cancel,
};

static struct kv fake = { .ops = &fake_ops, .kn = &kn };

static void on_stored(struct ledger *of)
{
}

static const struct ledger_ops ops = { .stored = on_stored,
				       .deposed = on_stored };

static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(&kn, timer, USEC_PER_MSEC, on_tick);
}

static void set_up(void)
{
	ck_assert(kn_init(&kn, NULL));
	on_tick(&tick);
	sent = g_string_new("");
	pending = NULL;
	make_fleet(&fleet, &config);
	ledger_init(&ledger, &fake, &ops);
	ledger_open(&ledger, &fleet, FENCE);
}

static void tear_down(void)
{
	ledger_finish(&ledger);
	free_fleet(&fleet, config);
	g_string_free(sent, TRUE);
	kn_timer_cancel(&tick);
	kn_finish(&kn);
}

static void answer(bool succeeded, int64_t revision)
{
	struct kv_call *call = pending;

	ck_assert_ptr_nonnull(call);
	pending = NULL;
	call->result = CB_OK;
	call->succeeded = succeeded;
	call->revision = revision;
	call->done(call);
}

static void ck_sent(const char *wanted)
{
	ck_assert_msg(strstr(sent->str, wanted), "no \"%s\" in: %s", wanted,
		      sent->str);
}

static void set_counts(const char *text)
{
	ledger_set_queue_counts(&ledger, text, strlen(text));
}

/* Guards against counts that stay wrong: they changed while earlier ones were
 * being written, and not again. */
START_TEST(counts_that_change_during_a_write_are_written_next)
{
	set_counts("one");
	ledger_flush(&ledger);
	ck_sent(KEY_LEADER "=7 ");
	ck_sent(KEY_WAITING ":one ");
	set_counts("two");
	answer(true, 20);
	ck_assert_ptr_nonnull(pending);
	ck_sent(KEY_WAITING "=20 ");
	ck_sent(KEY_WAITING ":two ");
	answer(true, 21);
	ck_assert_ptr_null(pending);
	ck_assert(ledger_idle(&ledger));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ledger");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, counts_that_change_during_a_write_are_written_next);
	return run_case("ledger", tc);
}
