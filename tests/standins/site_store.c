#include "tests/standins/site_store_int.h"

#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_reply.h"

#define TICK_MS 5

/* Items. */

static void item_free(void *data)
{
	struct site_item *item = data;

	if (!item)
		return;
	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static struct site_item *item_copy(const struct site_item *item)
{
	struct site_item *copy = g_memdup2(item, sizeof(*item));

	copy->key = g_strdup(item->key);
	copy->value = g_memdup2(item->value, item->len);
	return copy;
}

static void event_free(void *data)
{
	struct site_event *event = data;

	g_free(event->key);
	item_free(event->item);
	g_free(event);
}

json_t *site_item_json(const struct site_item *item)
{
	char *value = g_base64_encode((guchar *)item->value, item->len);
	json_t *json = json_pack(
		"{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value", value,
		"rev", (json_int_t)item->revision, "created",
		(json_int_t)item->created, "lease", (json_int_t)item->lease);

	g_free(value);
	return json;
}

static void add_event(struct site_store *store, const char *key,
		      const struct site_item *item)
{
	struct site_event *event = g_new0(struct site_event, 1);

	event->key = g_strdup(key);
	event->revision = store->revision;
	event->item = item ? item_copy(item) : NULL;
	g_ptr_array_add(store->events, event);
	if (store->changed)
		store->changed(store->user, key, item ? item->value : NULL,
			       item ? item->len : 0);
}

static void translate(struct site_store *store, struct site_item *item)
{
	char *value =
		store->translate ?
			store->translate(store->user, item->key, item->value) :
			NULL;

	if (!value)
		return;
	g_free(item->value);
	item->value = value;
	item->len = strlen(value);
}

static void put(struct site_store *store, const char *key, const void *value,
		size_t len, int64_t lease)
{
	struct site_item *old = g_tree_lookup(store->items, key);
	struct site_item *item = g_new0(struct site_item, 1);

	item->key = g_strdup(key);
	item->value = g_malloc(len + 1);
	memcpy(item->value, value, len);
	item->value[len] = '\0';
	item->len = len;
	translate(store, item);
	item->revision = store->revision;
	item->created = old ? old->created : store->revision;
	item->lease = lease;
	g_tree_replace(store->items, item->key, item);
	add_event(store, key, item);
}

static void del(struct site_store *store, const char *key)
{
	char *copy = g_strdup(key);

	if (g_tree_remove(store->items, copy))
		add_event(store, copy, NULL);
	g_free(copy);
}

const struct site_item *site_store_get(struct site_store *store,
				       const char *key)
{
	return g_tree_lookup(store->items, key);
}

/* Transactions. */

static bool compare(struct site_store *store, const json_t *rows)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const struct site_item *item = site_store_get(
			store, json_string_value(json_object_get(row, "key")));
		int64_t rev = json_integer_value(json_object_get(row, "rev"));

		if ((item ? item->revision : 0) != rev)
			return false;
	}
	return true;
}

static json_t *compared_items(struct site_store *store, const json_t *rows)
{
	json_t *items = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const struct site_item *item = site_store_get(store, key);

		json_array_append_new(
			items,
			item ? site_item_json(item) :
			       json_pack("{s:s,s:i}", "key", key, "rev", 0));
	}
	return items;
}

static bool lease_alive(struct site_store *store, int64_t id)
{
	return id == 0 || g_hash_table_contains(store->leases, &id);
}

/* Returns the status; *body is the answer. */
int site_store_carry_out(struct site_store *store, const json_t *txn,
			 json_t **body)
{
	const json_t *expected = json_object_get(txn, "expected");
	json_t *row;
	size_t i;

	if (!compare(store, expected)) {
		*body = json_pack("{s:o}", "items",
				  compared_items(store, expected));
		return 412;
	}
	json_array_foreach(json_object_get(txn, "writes"), i, row) {
		if (!lease_alive(store, json_integer_value(json_object_get(
						row, "lease")))) {
			*body = json_object();
			return 404;
		}
	}
	store->revision++;
	json_array_foreach(json_object_get(txn, "writes"), i, row) {
		gsize len;
		guchar *value = g_base64_decode(
			json_string_value(json_object_get(row, "value")), &len);

		put(store, json_string_value(json_object_get(row, "key")),
		    value, len,
		    json_integer_value(json_object_get(row, "lease")));
		g_free(value);
	}
	json_array_foreach(json_object_get(txn, "remove"), i, row) {
		del(store, json_string_value(row));
	}
	*body = json_pack("{s:I}", "rev", (json_int_t)store->revision);
	return 200;
}

/* Leases. */

void site_lease_end(struct site_store *store, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *node;
	guint i;

	for (node = g_tree_node_first(store->items); node;
	     node = g_tree_node_next(node)) {
		const struct site_item *item = g_tree_node_value(node);

		if (item->lease == id)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	if (keys->len > 0)
		store->revision++;
	for (i = 0; i < keys->len; i++)
		del(store, g_ptr_array_index(keys, i));
	g_ptr_array_unref(keys);
	g_hash_table_remove(store->leases, &id);
	site_waits_wake(store);
}

/* Time. */

static void expire_leases(struct site_store *store)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct site_lease *lease = value;

		if (store->leases_pause)
			lease->ends_us += TICK_MS * USEC_PER_MSEC;
		if (lease->ends_us > kn_now_us())
			continue;
		site_lease_end(store, lease->id);
		g_hash_table_iter_init(&iter, store->leases);
	}
}

static void on_tick(struct kn_timer *timer)
{
	struct site_store *store =
		container_of(timer, struct site_store, timer);
	struct site_later *later, *next;

	list_for_each_entry_safe(later, next, &store->later, node)
		if (!later->never && later->at_us <= kn_now_us())
			site_later_run(later);
	expire_leases(store);
	site_waits_wake(store);
	kn_timer_set(store->task.kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

/* Life. */

static bool store_start(struct kn_task *task, GError **err)
{
	struct site_store *store = container_of(task, struct site_store, task);

	on_tick(&store->timer);
	return true;
}

static void store_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

static void store_finish(struct kn_task *task)
{
	struct site_store *store = container_of(task, struct site_store, task);
	struct site_later *later, *next;
	int i;

	kn_timer_cancel(&store->timer);
	for (i = 0; i < store->ndoors; i++)
		if (store->doors[i].open)
			hs_finish(&store->doors[i].server);
	list_for_each_entry_safe(later, next, &store->later, node)
		site_later_free(later);
	g_tree_unref(store->items);
	g_ptr_array_unref(store->events);
	g_hash_table_unref(store->leases);
	g_rand_free(store->rand);
	g_free(store);
}

static const struct kn_task_ops store_ops = {
	.start = store_start,
	.receive = store_receive,
	.finish = store_finish,
};

static gint by_key(gconstpointer a, gconstpointer b, gpointer user)
{
	return strcmp(a, b);
}

struct site_store *site_store_new(struct kn *kn, uint32_t seed)
{
	struct site_store *store = g_new0(struct site_store, 1);

	store->items = g_tree_new_full(by_key, NULL, NULL, item_free);
	store->events = g_ptr_array_new_with_free_func(event_free);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	store->rand = g_rand_new_with_seed(seed);
	list_init(&store->waiting);
	list_init(&store->later);
	kn_add(kn, &store->task, "site-store", &store_ops);
	return store;
}

int site_store_open(struct site_store *store, int port)
{
	struct site_door *door = &store->doors[store->ndoors];

	if (store->ndoors >= SITE_DOORS_MAX ||
	    !hs_init(&door->server, store->task.kn, &site_door_ops, "127.0.0.1",
		     port, NULL))
		return 0;
	door->store = store;
	door->open = true;
	store->ndoors++;
	return door->server.port;
}

void site_store_fault(struct site_store *store, int door, enum site_fault fault,
		      int percent, int delay_ms)
{
	int i;

	for (i = 0; i < store->ndoors; i++) {
		if (door >= 0 && i != door)
			continue;
		store->doors[i].fault = fault;
		store->doors[i].percent = percent;
		store->doors[i].delay_ms = delay_ms;
	}
}

void site_store_put_bytes(struct site_store *store, const char *key,
			  const void *value, size_t len)
{
	store->revision++;
	put(store, key, value, len, 0);
	site_waits_wake(store);
}

void site_store_put(struct site_store *store, const char *key,
		    const char *value)
{
	site_store_put_bytes(store, key, value, strlen(value));
}

void site_store_remove(struct site_store *store, const char *key)
{
	store->revision++;
	del(store, key);
	site_waits_wake(store);
}

void site_store_compact(struct site_store *store)
{
	struct site_wait *wait, *next;

	store->dropped = store->revision;
	g_ptr_array_set_size(store->events, 0);
	list_for_each_entry_safe(wait, next, &store->waiting, node) {
		struct hs_request *req = wait->req;

		site_wait_free(wait);
		site_door_answer(req, 410, json_object());
	}
}

void site_store_lapse(struct site_store *store, const char *key)
{
	const struct site_item *item = site_store_get(store, key);

	if (item && item->lease)
		site_lease_end(store, item->lease);
}

size_t site_store_count(struct site_store *store, const char *prefix)
{
	GTreeNode *node;
	size_t count = 0;

	for (node = g_tree_node_first(store->items); node;
	     node = g_tree_node_next(node))
		count += g_str_has_prefix(g_tree_node_key(node), prefix);
	return count;
}
