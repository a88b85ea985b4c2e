#include "wire/kv.h"

/*
 * Frees a store connection. Calls in progress end without done(), so the
 * owners of the calls must have finished before.
 */
void kv_free(struct kv *kv)
{
	if (kv)
		kv->ops->finish(kv);
}
