#include "tests/standins/pf_store.h"

#include <stdlib.h>
#include <string.h>

struct pf_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us;
};

/* Keys. */

static void kv_free(void *data)
{
	struct pf_kv *kv = data;

	if (!kv)
		return;
	kv_free(kv->previous);
	g_free(kv->key);
	if (kv->value)
		g_bytes_unref(kv->value);
	g_free(kv);
}

static struct pf_kv *kv_copy(const struct pf_kv *kv)
{
	struct pf_kv *copy = g_memdup2(kv, sizeof(*kv));

	copy->key = g_strdup(kv->key);
	copy->value = kv->value ? g_bytes_ref(kv->value) : NULL;
	copy->previous = NULL;
	return copy;
}

static int compare_keys(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

void pf_store_init(struct pf_store *store)
{
	memset(store, 0, sizeof(*store));
	store->keys = g_tree_new_full(compare_keys, NULL, NULL, kv_free);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	g_queue_init(&store->events);
	store->revision = 1;
	store->next_lease = 7000;
	store->ledger = json_array();
}

void pf_store_finish(struct pf_store *store)
{
	g_queue_clear_full(&store->events, kv_free);
	g_tree_destroy(store->keys);
	g_hash_table_destroy(store->leases);
	json_decref(store->ledger);
}

json_t *pf_store_header(const struct pf_store *store)
{
	return json_pack("{s:s,s:s,s:o,s:s}", "cluster_id", "1", "member_id",
			 "1", "revision", pf_int_text(store->revision),
			 "raft_term", "1");
}

static json_t *kv_json(const struct pf_kv *kv)
{
	char *key = g_base64_encode((unsigned char *)kv->key, strlen(kv->key));
	json_t *out = json_pack("{s:s,s:o}", "key", key, "mod_revision",
				pf_int_text(kv->mod_revision));
	char *value;
	gsize len;

	g_free(key);
	if (!kv->value)
		return out;
	value = (char *)g_bytes_get_data(kv->value, &len);
	value = g_base64_encode((unsigned char *)value, len);
	json_object_set_new(out, "value", json_string(value));
	json_object_set_new(out, "create_revision",
			    pf_int_text(kv->create_revision));
	json_object_set_new(out, "version", pf_int_text(kv->version));
	if (kv->lease)
		json_object_set_new(out, "lease", pf_int_text(kv->lease));
	g_free(value);
	return out;
}

static void record(struct pf_store *store, const struct pf_kv *kv)
{
	struct pf_kv *old;

	g_queue_push_tail(&store->events, kv_copy(kv));
	if (g_queue_get_length(&store->events) > PF_EVENTS_KEPT) {
		old = g_queue_pop_head(&store->events);
		store->compacted = old->mod_revision;
		kv_free(old);
	}
	json_array_append_new(
		store->ledger,
		json_pack("{s:s,s:I,s:b,s:I}", "key", kv->key, "revision",
			  (json_int_t)kv->mod_revision, "deleted", !kv->value,
			  "mono_us", (json_int_t)pf_now_us()));
}

static void put(struct pf_store *store, const char *key, const char *value,
		size_t len, int64_t lease)
{
	struct pf_kv *old = g_tree_lookup(store->keys, key);
	struct pf_kv *kv = g_new0(struct pf_kv, 1);

	kv->key = g_strdup(key);
	kv->value = g_bytes_new(value, len);
	kv->mod_revision = store->revision;
	kv->create_revision = old ? old->create_revision : store->revision;
	kv->version = old ? old->version + 1 : 1;
	kv->lease = lease;
	kv->previous = old ? kv_copy(old) : NULL;
	record(store, kv);
	g_tree_replace(store->keys, kv->key, kv);
}

static void delete (struct pf_store *store, const char *key)
{
	struct pf_kv gone = { .key = g_strdup(key),
			      .mod_revision = store->revision };

	record(store, &gone);
	g_tree_remove(store->keys, gone.key);
	g_free(gone.key);
}

static GPtrArray *match(struct pf_store *store, const char *key,
			const char *end)
{
	GTreeNode *node = g_tree_lower_bound(store->keys, key);
	GPtrArray *found = g_ptr_array_new();
	struct pf_kv *kv;

	for (; node; node = g_tree_node_next(node)) {
		kv = g_tree_node_value(node);
		if (end ? strcmp(kv->key, end) >= 0 : strcmp(kv->key, key) != 0)
			break;
		g_ptr_array_add(found, kv);
	}
	return found;
}

/* Range, put, delete. */

static const struct pf_kv *shown(struct pf_store *store, struct pf_kv *kv)
{
	if (store->old_root && kv->previous &&
	    g_str_has_suffix(kv->key, "/doc/root"))
		return kv->previous;
	return kv;
}

json_t *pf_store_range(struct pf_store *store, const json_t *req)
{
	char *key = pf_bytes(req, "key", NULL, NULL);
	char *end = pf_bytes(req, "range_end", "rangeEnd", NULL);
	int64_t min = pf_int(req, "min_mod_revision", "minModRevision");
	json_t *kvs = json_array();
	const struct pf_kv *kv;
	GPtrArray *found;
	unsigned int i;

	if (!key) {
		json_decref(kvs);
		g_free(end);
		return NULL;
	}
	found = match(store, key, end);
	for (i = 0; i < found->len; i++) {
		kv = shown(store, found->pdata[i]);
		if (kv->mod_revision >= min)
			json_array_append_new(kvs, kv_json(kv));
	}
	g_ptr_array_free(found, TRUE);
	g_free(key);
	g_free(end);
	return json_pack("{s:o,s:o,s:o}", "header", pf_store_header(store),
			 "kvs", kvs, "count",
			 pf_int_text((int64_t)json_array_size(kvs)));
}

static bool lease_known(struct pf_store *store, const json_t *req)
{
	int64_t lease = pf_int(req, "lease", NULL);

	return lease == 0 || g_hash_table_contains(store->leases, &lease);
}

static void apply_put(struct pf_store *store, const json_t *req)
{
	char *key, *value;
	size_t len = 0;

	key = pf_bytes(req, "key", NULL, NULL);
	value = pf_bytes(req, "value", NULL, &len);
	if (key)
		put(store, key, value, len, pf_int(req, "lease", NULL));
	g_free(key);
	g_free(value);
}

json_t *pf_store_put(struct pf_store *store, const json_t *req)
{
	if (!pf_get(req, "key", NULL) || !lease_known(store, req))
		return NULL;
	store->revision++;
	apply_put(store, req);
	return json_pack("{s:o}", "header", pf_store_header(store));
}

static GPtrArray *match_request(struct pf_store *store, const json_t *req)
{
	char *key = pf_bytes(req, "key", NULL, NULL);
	char *end = pf_bytes(req, "range_end", "rangeEnd", NULL);
	GPtrArray *found = match(store, key ? key : "", end);

	g_free(key);
	g_free(end);
	return found;
}

static void apply_delete(struct pf_store *store, const json_t *req)
{
	GPtrArray *found = match_request(store, req);
	unsigned int i;

	for (i = 0; i < found->len; i++)
		delete (store, ((struct pf_kv *)found->pdata[i])->key);
	g_ptr_array_free(found, TRUE);
}

/* Transactions. */

static int64_t compared_value(const json_t *cmp, const struct pf_kv *kv,
			      int64_t *wanted)
{
	const char *target = json_string_value(json_object_get(cmp, "target"));

	if (g_strcmp0(target, "MOD") == 0) {
		*wanted = pf_int(cmp, "mod_revision", "modRevision");
		return kv ? kv->mod_revision : 0;
	}
	if (g_strcmp0(target, "CREATE") == 0) {
		*wanted = pf_int(cmp, "create_revision", "createRevision");
		return kv ? kv->create_revision : 0;
	}
	*wanted = pf_int(cmp, "version", NULL);
	return kv ? kv->version : 0;
}

static bool compare_holds(struct pf_store *store, const json_t *cmp)
{
	const char *result = json_string_value(json_object_get(cmp, "result"));
	char *key = pf_bytes(cmp, "key", NULL, NULL);
	int64_t wanted, value;

	if (!key)
		return false;
	value = compared_value(cmp, g_tree_lookup(store->keys, key), &wanted);
	g_free(key);
	if (g_strcmp0(result, "GREATER") == 0)
		return value > wanted;
	if (g_strcmp0(result, "LESS") == 0)
		return value < wanted;
	if (g_strcmp0(result, "NOT_EQUAL") == 0)
		return value != wanted;
	return value == wanted;
}

static bool will_write(struct pf_store *store, const json_t *op)
{
	const json_t *del =
		pf_get(op, "request_delete_range", "requestDeleteRange");
	GPtrArray *found;
	bool any;

	if (pf_get(op, "request_put", "requestPut"))
		return true;
	if (!del)
		return false;
	found = match_request(store, del);
	any = found->len > 0;
	g_ptr_array_free(found, TRUE);
	return any;
}

static json_t *apply_op(struct pf_store *store, const json_t *op)
{
	const json_t *req = pf_get(op, "request_put", "requestPut");

	if (req) {
		apply_put(store, req);
		return json_pack("{s:{s:o}}", "response_put", "header",
				 pf_store_header(store));
	}
	req = pf_get(op, "request_delete_range", "requestDeleteRange");
	if (req) {
		apply_delete(store, req);
		return json_pack("{s:{s:o}}", "response_delete_range", "header",
				 pf_store_header(store));
	}
	req = pf_get(op, "request_range", "requestRange");
	return json_pack("{s:o}", "response_range", pf_store_range(store, req));
}

/* Refused as a whole (NULL) when a put names an unknown lease. */
json_t *pf_store_txn(struct pf_store *store, const json_t *req)
{
	bool held = true, writes = false;
	json_t *ops, *item, *responses;
	size_t i;

	json_array_foreach(json_object_get(req, "compare"), i, item) {
		held = held && compare_holds(store, item);
	}
	ops = json_object_get(req, held ? "success" : "failure");
	json_array_foreach(ops, i, item) {
		if (!lease_known(store,
				 pf_get(item, "request_put", "requestPut")))
			return NULL;
		writes = writes || will_write(store, item);
	}
	if (writes)
		store->revision++;
	responses = json_array();
	json_array_foreach(ops, i, item) {
		json_array_append_new(responses, apply_op(store, item));
	}
	return json_pack("{s:o,s:b,s:o}", "header", pf_store_header(store),
			 "succeeded", held, "responses", responses);
}

/* Leases. */

json_t *pf_store_grant(struct pf_store *store, const json_t *req)
{
	struct pf_lease *lease = g_new0(struct pf_lease, 1);

	lease->id = ++store->next_lease;
	lease->ttl_s = MAX(pf_int(req, "TTL", NULL), 1);
	lease->expires_us = pf_now_us() + lease->ttl_s * 1000000;
	g_hash_table_insert(store->leases, &lease->id, lease);
	return json_pack("{s:o,s:o,s:o}", "header", pf_store_header(store),
			 "ID", pf_int_text(lease->id), "TTL",
			 pf_int_text(lease->ttl_s));
}

json_t *pf_store_keepalive(struct pf_store *store, const json_t *req)
{
	int64_t id = pf_int(req, "ID", NULL);
	struct pf_lease *lease = g_hash_table_lookup(store->leases, &id);
	json_t *result =
		json_pack("{s:o,s:o}", "header", pf_store_header(store), "ID",
			  pf_int_text(id));

	if (lease) {
		lease->expires_us = pf_now_us() + lease->ttl_s * 1000000;
		json_object_set_new(result, "TTL", pf_int_text(lease->ttl_s));
	}
	return json_pack("{s:o}", "result", result);
}

static gboolean collect_leased(void *key, void *value, void *data)
{
	struct pf_kv *kv = value;
	void **args = data;

	if (kv->lease == *(int64_t *)args[0])
		g_ptr_array_add(args[1], key);
	return FALSE;
}

static void drop_lease(struct pf_store *store, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new();
	void *args[2] = { &id, keys };
	unsigned int i;

	g_tree_foreach(store->keys, collect_leased, args);
	if (keys->len > 0)
		store->revision++;
	for (i = 0; i < keys->len; i++)
		delete (store, keys->pdata[i]);
	g_ptr_array_free(keys, TRUE);
}

json_t *pf_store_revoke(struct pf_store *store, const json_t *req)
{
	int64_t id = pf_int(req, "ID", NULL);

	if (g_hash_table_remove(store->leases, &id))
		drop_lease(store, id);
	return json_pack("{s:o}", "header", pf_store_header(store));
}

void pf_store_expire(struct pf_store *store, int64_t now_us)
{
	struct pf_lease *lease;
	GHashTableIter iter;
	int64_t id;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&lease)) {
		if (lease->expires_us > now_us)
			continue;
		id = lease->id;
		g_hash_table_iter_remove(&iter);
		drop_lease(store, id);
	}
}

/* Watches. */

json_t *pf_store_events(struct pf_store *store, const char *key,
			const char *end, int64_t from_revision)
{
	json_t *events = NULL, *event;
	const struct pf_kv *kv;
	GList *link;

	for (link = store->events.tail; link; link = link->prev) {
		kv = link->data;
		if (kv->mod_revision < from_revision)
			break;
		if (strcmp(kv->key, key) < 0 ||
		    (end ? strcmp(kv->key, end) >= 0 :
			   strcmp(kv->key, key) != 0))
			continue;
		event = json_pack("{s:o}", "kv", kv_json(kv));
		if (!kv->value)
			json_object_set_new(event, "type",
					    json_string("DELETE"));
		if (!events)
			events = json_array();
		json_array_insert_new(events, 0, event);
	}
	return events;
}
