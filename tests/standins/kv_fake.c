#include "tests/standins/kv_fake.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

static void fake_txn(struct kv *kv, struct kv_call *call,
		     const struct kv_cmp *cmps, size_t ncmps,
		     const struct kv_op *ops, size_t nops,
		     const struct kv_op *others, size_t nothers)
{
	struct kv_fake *fake = container_of(kv, struct kv_fake, kv);
	size_t i;

	fake->txn = call;
	fake->entries = (int)(ncmps + nops);
	g_string_truncate(fake->sent, 0);
	for (i = 0; i < ncmps; i++)
		g_string_append_printf(fake->sent, "%s=%lld ", cmps[i].key,
				       (long long)cmps[i].mod_revision);
	for (i = 0; i < nops; i++)
		g_string_append_printf(fake->sent, "%s:%.*s ", ops[i].key,
				       (int)ops[i].len,
				       (const char *)ops[i].value);
}

static void fake_range(struct kv *kv, struct kv_call *call, const char *key,
		       bool prefix)
{
	container_of(kv, struct kv_fake, kv)->range = call;
}

static void fake_cancel(struct kv *kv, struct kv_call *call)
{
	struct kv_fake *fake = container_of(kv, struct kv_fake, kv);

	if (fake->txn == call)
		fake->txn = NULL;
	if (fake->range == call)
		fake->range = NULL;
}

static const struct kv_ops fake_ops = {
	.txn = fake_txn,
	.range = fake_range,
	.cancel = fake_cancel,
};

/* A round of the kernel waits for an event even after a timer has run. */
static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(timer->kn, timer, USEC_PER_MSEC, on_tick);
}

void kv_fake_init(struct kv_fake *fake)
{
	memset(fake, 0, sizeof(*fake));
	if (!kn_init(&fake->kn, NULL))
		abort();
	kn_timer_set(&fake->kn, &fake->tick, USEC_PER_MSEC, on_tick);
	fake->kv.ops = &fake_ops;
	fake->kv.kn = &fake->kn;
	fake->sent = g_string_new("");
}

void kv_fake_finish(struct kv_fake *fake)
{
	g_string_free(fake->sent, TRUE);
	kn_timer_cancel(&fake->tick);
	kn_finish(&fake->kn);
}

void kv_fake_run_ms(struct kv_fake *fake, int64_t ms)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us)
		kn_turn(&fake->kn);
}

/* Takes the call out, so that its handler can make the next one. */
static struct kv_call *take(struct kv_call **pending)
{
	struct kv_call *call = *pending;

	if (!call)
		abort();
	*pending = NULL;
	return call;
}

void kv_fake_answer_txn(struct kv_fake *fake, bool succeeded, int64_t revision,
			struct kv_item *items, size_t count)
{
	struct kv_call *call = take(&fake->txn);

	call->result = CB_OK;
	call->succeeded = succeeded;
	call->revision = revision;
	call->items = items;
	call->count = count;
	call->done(call);
}

void kv_fake_answer_range(struct kv_fake *fake, const char *key,
			  const void *value, size_t len, int64_t revision)
{
	struct kv_call *call = take(&fake->range);
	struct kv_item item = { .key = (char *)key,
				.value = (char *)value,
				.len = len,
				.mod_revision = revision };

	call->result = CB_OK;
	call->items = &item;
	call->count = value ? 1 : 0;
	call->done(call);
}

void kv_fake_fail(struct kv_call **pending)
{
	struct kv_call *call = take(pending);

	call->result = CB_E_STORE_DOWN;
	call->done(call);
}
