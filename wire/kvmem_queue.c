#include "wire/kvmem.h"

#include <string.h>

#include "base/err.h"

static void free_items(struct kv_item *items, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		g_free(items[i].key);
		g_free(items[i].value);
	}
	g_free(items);
}

static void delivery_free(struct delivery *d)
{
	g_free(d->item.key);
	g_free(d->item.value);
	free_items(d->items, d->count);
	g_free(d);
}

static void deliver_call(struct delivery *d)
{
	struct kv_call *call = d->call;

	call->result = d->result;
	call->succeeded = d->succeeded;
	call->revision = d->revision;
	call->lease = d->lease;
	call->ttl_s = d->ttl_s;
	call->items = d->items;
	call->count = d->count;
	call->done(call);
}

static void deliver_hosts(struct delivery *d)
{
	d->hosts->result = CB_E_STORE_DOWN;
	d->hosts->hosts = NULL;
	d->hosts->count = 0;
	d->hosts->done(d->hosts);
}

/*
 * Delivers what was queued before this round. A delivery may queue more or
 * remove queued events of its watch, so entries are taken one at a time up
 * to a marker.
 */
static void deliver(struct kn_timer *timer)
{
	struct mem *mem = container_of(timer, struct mem, deliver_timer);
	struct delivery marker = { 0 };
	struct delivery *d;

	list_add_tail(&marker.node, &mem->deliveries);
	while (mem->deliveries.next != &marker.node) {
		d = list_first_entry(&mem->deliveries, struct delivery, node);
		list_del(&d->node);
		if (d->kind == DELIVER_CALL)
			deliver_call(d);
		else if (d->kind == DELIVER_EVENT)
			d->watch->event(d->watch, &d->item);
		else if (d->kind == DELIVER_STATE)
			d->watch->state(d->watch, true);
		else
			deliver_hosts(d);
		delivery_free(d);
	}
	list_del(&marker.node);
	if (!list_empty(&mem->deliveries))
		kn_timer_set(mem->kv.kn, &mem->deliver_timer, 0, deliver);
}

struct delivery *kvmem_queue(struct mem *mem, enum delivery_kind kind)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->kind = kind;
	d->result = CB_OK;
	d->revision = mem->revision;
	list_add_tail(&d->node, &mem->deliveries);
	if (!kn_timer_pending(&mem->deliver_timer))
		kn_timer_set(mem->kv.kn, &mem->deliver_timer, 0, deliver);
	return d;
}

struct delivery *kvmem_queue_call(struct mem *mem, struct kv_call *call,
				  enum kv_call_kind kind)
{
	struct delivery *d = kvmem_queue(mem, DELIVER_CALL);

	d->call = call;
	kv_count(&mem->kv, kind);
	return d;
}

void kvmem_copy_item(struct kv_item *item, const struct mem_key *key)
{
	item->key = g_strdup(key->key);
	item->len = key->len;
	item->mod_revision = key->mod_revision;
	item->lease = key->lease;
	if (!key->value)
		return;
	item->value = g_malloc(key->len + 1);
	memcpy(item->value, key->value, key->len + 1);
}

void kvmem_queue_event(struct mem *mem, struct kv_watch *watch,
		       const struct mem_key *key)
{
	struct delivery *d = kvmem_queue(mem, DELIVER_EVENT);

	d->watch = watch;
	kvmem_copy_item(&d->item, key);
}

void kvmem_notify(struct mem *mem, const struct mem_key *key)
{
	struct watch_ref *ref;

	list_for_each_entry(ref, &mem->watches, node)
		if (g_str_has_prefix(key->key, ref->watch->prefix))
			kvmem_queue_event(mem, ref->watch, key);
}

/* A watch that has ended gets none of the events that are queued for it. */
void kvmem_drop_watch(struct mem *mem, struct kv_watch *watch)
{
	struct delivery *d, *next;

	list_for_each_entry_safe(d, next, &mem->deliveries, node) {
		if (d->watch != watch)
			continue;
		list_del(&d->node);
		delivery_free(d);
	}
}

void kvmem_queue_finish(struct mem *mem)
{
	struct delivery *d, *next;

	kn_timer_cancel(&mem->deliver_timer);
	list_for_each_entry_safe(d, next, &mem->deliveries, node)
		delivery_free(d);
}
