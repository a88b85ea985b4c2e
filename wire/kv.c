#include "wire/kv.h"

#include <string.h>

/*
 * Frees a store connection. Calls in progress end without done(), so the
 * owners of the calls must have finished before.
 */
void kv_free(struct kv *kv)
{
	if (kv)
		kv->ops->finish(kv);
}

/* Registers the counters of calls; kv->kn must be set. */
void kv_counters_init(struct kv *kv)
{
	static const char *const labels[KV_CALL_KINDS] = {
		[KV_CALL_RANGE] = "kind=\"range\"",
		[KV_CALL_TXN] = "kind=\"txn\"",
		[KV_CALL_LEASE] = "kind=\"lease\"",
		[KV_CALL_WATCH] = "kind=\"watch\"",
		[KV_CALL_HOSTS] = "kind=\"hosts\"",
	};
	int i;

	for (i = 0; i < KV_CALL_KINDS; i++)
		ctr_init(&kv->calls_by_kind[i], &kv->kn->counters, CTR_COUNTER,
			 "chivebank_store_calls_total", labels[i],
			 "Calls to the platform's store and host list");
}

void kv_counters_finish(struct kv *kv)
{
	int i;

	for (i = 0; i < KV_CALL_KINDS; i++)
		ctr_finish(&kv->calls_by_kind[i]);
}

void kv_count(struct kv *kv, enum kv_call_kind kind)
{
	kv->calls++;
	ctr_add(&kv->calls_by_kind[kind], 1);
}

const struct kv_item *kv_find(const struct kv_call *call, const char *key)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (strcmp(call->items[i].key, key) == 0)
			return &call->items[i];
	return NULL;
}
