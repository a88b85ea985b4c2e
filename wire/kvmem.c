#include "wire/kvmem.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* Keys. */

static void key_free(void *data)
{
	struct mem_key *key = data;

	g_free(key->key);
	g_free(key->value);
	g_free(key);
}

static int compare_keys(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

static void put_key(struct mem *mem, const struct kv_op *op)
{
	struct mem_key *key = g_new0(struct mem_key, 1);

	key->key = g_strdup(op->key);
	key->value = g_malloc(op->len + 1);
	if (op->len > 0)
		memcpy(key->value, op->value, op->len);
	key->value[op->len] = '\0';
	key->len = op->len;
	key->mod_revision = mem->revision;
	key->lease = op->lease;
	kvmem_notify(mem, key);
	g_tree_replace(mem->keys, key->key, key);
}

static void delete_key(struct mem *mem, const char *name)
{
	struct mem_key gone = { .key = g_strdup(name),
				.mod_revision = mem->revision };

	kvmem_notify(mem, &gone);
	g_tree_remove(mem->keys, gone.key);
	g_free(gone.key);
}

/* Returns the keys that an operation names, in order. */
static GPtrArray *match_keys(struct mem *mem, const struct kv_op *op)
{
	GTreeNode *node = g_tree_lower_bound(mem->keys, op->key);
	GPtrArray *found = g_ptr_array_new();
	struct mem_key *key;

	for (; node; node = g_tree_node_next(node)) {
		key = g_tree_node_value(node);
		if (op->prefix ? !g_str_has_prefix(key->key, op->key) :
				 strcmp(key->key, op->key) != 0)
			break;
		g_ptr_array_add(found, key);
	}
	return found;
}

static void delete_keys(struct mem *mem, const struct kv_op *op)
{
	GPtrArray *found = match_keys(mem, op);
	unsigned int i;

	for (i = 0; i < found->len; i++)
		delete_key(mem, ((struct mem_key *)found->pdata[i])->key);
	g_ptr_array_free(found, TRUE);
}

static void range_keys(struct mem *mem, const struct kv_op *op, GArray *items)
{
	GPtrArray *found = match_keys(mem, op);
	unsigned int i;

	for (i = 0; i < found->len; i++) {
		struct kv_item item = { 0 };

		kvmem_copy_item(&item, found->pdata[i]);
		g_array_append_val(items, item);
	}
	g_ptr_array_free(found, TRUE);
}

/* Leases. */

static struct mem_lease *find_lease(struct mem *mem, int64_t id)
{
	struct mem_lease *lease;

	list_for_each_entry(lease, &mem->leases, node)
		if (lease->id == id)
			return lease;
	return NULL;
}

static gboolean collect_leased(void *name, void *value, void *data)
{
	struct mem_key *key = value;
	GPtrArray *keys = ((void **)data)[0];

	if (key->lease == *(int64_t *)((void **)data)[1])
		g_ptr_array_add(keys, key);
	return FALSE;
}

/* Ends a lease and deletes its keys under one new revision. */
static void drop_lease(struct mem *mem, struct mem_lease *lease)
{
	GPtrArray *keys = g_ptr_array_new();
	void *data[2] = { keys, &lease->id };
	unsigned int i;

	g_tree_foreach(mem->keys, collect_leased, data);
	if (keys->len > 0)
		mem->revision++;
	for (i = 0; i < keys->len; i++)
		delete_key(mem, ((struct mem_key *)keys->pdata[i])->key);
	g_ptr_array_free(keys, TRUE);
	list_del(&lease->node);
	g_free(lease);
}

/* Drops the leases whose time is over and waits for the next one. */
static void expire_leases(struct kn_timer *timer)
{
	struct mem *mem = container_of(timer, struct mem, lease_timer);
	int64_t now = kn_now_us(), next = INT64_MAX;
	struct mem_lease *lease, *tmp;

	list_for_each_entry_safe(lease, tmp, &mem->leases, node) {
		if (lease->expires_us <= now)
			drop_lease(mem, lease);
		else if (lease->expires_us < next)
			next = lease->expires_us;
	}
	if (next != INT64_MAX)
		kn_timer_set(mem->kv.kn, timer, next - now, expire_leases);
}

/* Operations. */

static bool compare_holds(struct mem *mem, const struct kv_cmp *cmp)
{
	const struct mem_key *key = g_tree_lookup(mem->keys, cmp->key);

	return (key ? key->mod_revision : 0) == cmp->mod_revision;
}

/* False when a put names a lease that has lapsed. */
static bool leases_exist(struct mem *mem, const struct kv_op *ops, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (ops[i].kind == KV_PUT && ops[i].lease != 0 &&
		    !find_lease(mem, ops[i].lease))
			return false;
	return true;
}

static bool writes(struct mem *mem, const struct kv_op *op)
{
	GPtrArray *found;
	bool any;

	if (op->kind != KV_DELETE)
		return op->kind == KV_PUT;
	found = match_keys(mem, op);
	any = found->len > 0;
	g_ptr_array_free(found, TRUE);
	return any;
}

/* Applies operations in order under one new revision if any of them writes. */
static void apply(struct mem *mem, const struct kv_op *ops, size_t n,
		  GArray *items)
{
	bool write = false;
	size_t i;

	for (i = 0; i < n && !write; i++)
		write = writes(mem, &ops[i]);
	if (write)
		mem->revision++;
	for (i = 0; i < n; i++) {
		if (ops[i].kind == KV_PUT)
			put_key(mem, &ops[i]);
		else if (ops[i].kind == KV_DELETE)
			delete_keys(mem, &ops[i]);
		else
			range_keys(mem, &ops[i], items);
	}
}

/* Takes over items. */
static void queue_result(struct mem *mem, struct kv_call *call,
			 enum kv_call_kind kind, bool valid, bool held,
			 GArray *items)
{
	struct delivery *d = kvmem_queue_call(mem, call, kind);

	d->result = valid ? CB_OK : CB_E_STORE_DOWN;
	d->succeeded = valid && held;
	d->count = items->len;
	d->items = (struct kv_item *)(void *)g_array_free(items, FALSE);
}

/*
 * Runs a transaction at once; only its result is delivered later. A put with
 * a lapsed lease refuses the whole transaction with CB_E_STORE_DOWN.
 */
static void mem_txn(struct kv *kv, struct kv_call *call,
		    const struct kv_cmp *cmps, size_t ncmps,
		    const struct kv_op *then_ops, size_t nthen,
		    const struct kv_op *else_ops, size_t nelse)
{
	struct mem *mem = (struct mem *)kv;
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
	bool held = true, valid;
	size_t i;

	expire_leases(&mem->lease_timer);
	for (i = 0; i < ncmps && held; i++)
		held = compare_holds(mem, &cmps[i]);
	valid = held ? leases_exist(mem, then_ops, nthen) :
		       leases_exist(mem, else_ops, nelse);
	if (valid && held)
		apply(mem, then_ops, nthen, items);
	else if (valid)
		apply(mem, else_ops, nelse, items);
	queue_result(mem, call, KV_CALL_TXN, valid, held, items);
}

static void mem_range(struct kv *kv, struct kv_call *call, const char *key,
		      bool prefix)
{
	struct kv_op op = { .kind = KV_RANGE, .key = key, .prefix = prefix };
	struct mem *mem = (struct mem *)kv;
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));

	expire_leases(&mem->lease_timer);
	apply(mem, &op, 1, items);
	queue_result(mem, call, KV_CALL_RANGE, true, true, items);
}

static void mem_grant(struct kv *kv, struct kv_call *call, int64_t ttl_s)
{
	struct mem *mem = (struct mem *)kv;
	struct mem_lease *lease = g_new0(struct mem_lease, 1);
	struct delivery *d;

	lease->id = ++mem->next_lease;
	lease->ttl_s = ttl_s;
	lease->expires_us = kn_now_us() + ttl_s * USEC_PER_SEC;
	list_add_tail(&lease->node, &mem->leases);
	expire_leases(&mem->lease_timer);
	d = kvmem_queue_call(mem, call, KV_CALL_LEASE);
	d->lease = mem->next_lease;
	d->ttl_s = ttl_s;
}

static void mem_keepalive(struct kv *kv, struct kv_call *call, int64_t id)
{
	struct mem *mem = (struct mem *)kv;
	struct mem_lease *lease;
	struct delivery *d;

	expire_leases(&mem->lease_timer);
	lease = find_lease(mem, id);
	if (lease)
		lease->expires_us = kn_now_us() + lease->ttl_s * USEC_PER_SEC;
	d = kvmem_queue_call(mem, call, KV_CALL_LEASE);
	d->lease = id;
	d->ttl_s = lease ? lease->ttl_s : 0;
}

static void mem_revoke(struct kv *kv, struct kv_call *call, int64_t id)
{
	struct mem *mem = (struct mem *)kv;
	struct mem_lease *lease = find_lease(mem, id);

	if (lease)
		drop_lease(mem, lease);
	kvmem_queue_call(mem, call, KV_CALL_LEASE);
}

/* Reports the present keys as events, and then that the watch is up. */
static void mem_watch(struct kv *kv, struct kv_watch *watch)
{
	struct mem *mem = (struct mem *)kv;
	struct kv_op all = { .key = watch->prefix, .prefix = true };
	struct watch_ref *ref = g_new0(struct watch_ref, 1);
	GPtrArray *found = match_keys(mem, &all);
	unsigned int i;

	ref->watch = watch;
	list_add_tail(&ref->node, &mem->watches);
	for (i = 0; i < found->len; i++)
		kvmem_queue_event(mem, watch, found->pdata[i]);
	g_ptr_array_free(found, TRUE);
	kvmem_queue(mem, DELIVER_STATE)->watch = watch;
	kv_count(kv, KV_CALL_WATCH);
}

static void mem_unwatch(struct kv *kv, struct kv_watch *watch)
{
	struct mem *mem = (struct mem *)kv;
	struct watch_ref *ref, *next_ref;

	list_for_each_entry_safe(ref, next_ref, &mem->watches, node) {
		if (ref->watch != watch)
			continue;
		list_del(&ref->node);
		g_free(ref);
	}
	kvmem_drop_watch(mem, watch);
}

/* There is no platform and so no list; an empty one would mean no servers. */
static void mem_hosts(struct kv *kv, struct kv_hosts_call *call)
{
	kvmem_queue((struct mem *)kv, DELIVER_HOSTS)->hosts = call;
	kv_count(kv, KV_CALL_HOSTS);
}

static void mem_finish(struct kv *kv)
{
	struct mem *mem = (struct mem *)kv;
	struct mem_lease *lease, *next_lease;
	struct watch_ref *ref, *next_ref;

	kn_timer_cancel(&mem->lease_timer);
	kvmem_queue_finish(mem);
	list_for_each_entry_safe(ref, next_ref, &mem->watches, node)
		g_free(ref);
	list_for_each_entry_safe(lease, next_lease, &mem->leases, node)
		g_free(lease);
	g_tree_destroy(mem->keys);
	kv_counters_finish(kv);
	g_free(mem);
}

static const struct kv_ops mem_ops = {
	.txn = mem_txn,
	.range = mem_range,
	.grant = mem_grant,
	.keepalive = mem_keepalive,
	.revoke = mem_revoke,
	.watch = mem_watch,
	.unwatch = mem_unwatch,
	.hosts = mem_hosts,
	.finish = mem_finish,
};

/*
 * Creates an empty store that lives as long as the process. It has no host
 * list.
 */
struct kv *kv_mem_new(struct kn *kn)
{
	struct mem *mem = g_new0(struct mem, 1);

	mem->kv.ops = &mem_ops;
	mem->kv.kn = kn;
	kv_counters_init(&mem->kv);
	mem->keys = g_tree_new_full(compare_keys, NULL, NULL, key_free);
	list_init(&mem->leases);
	list_init(&mem->watches);
	list_init(&mem->deliveries);
	return &mem->kv;
}
