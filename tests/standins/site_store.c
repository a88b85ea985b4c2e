#include "tests/standins/site_store.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/limits.h"
#include "tests/standins/site_reply.h"

#define TICK_MS 5
#define PAGE_ITEMS 20 /* small, so that tests see pages */

struct site_lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t ends_us;
};

/* A poll that waits for an event. */
struct site_wait {
	struct list_head node;
	struct hs_request *req;
	char *prefix;
	int64_t after;
	int64_t until_us;
};

/* An answer or a write that is due later, or never (answer NULL). */
struct site_later {
	struct list_head node;
	struct hs_request *req; /* NULL: only a write */
	struct site_store *store;
	int64_t at_us;
	int status;
	json_t *answer;
	json_t *write; /* body of a transaction to be carried out */
	bool never;
};

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

static json_t *item_json(const struct site_item *item)
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

/* Answers. */

static struct site_door *door_of(struct hs_request *req)
{
	return container_of(req->server, struct site_door, server);
}

static void later_free(struct site_later *later)
{
	list_del(&later->node);
	if (later->req)
		later->req->user = NULL;
	json_decref(later->answer);
	json_decref(later->write);
	g_free(later);
}

static struct site_later *add_later(struct site_store *store,
				    struct hs_request *req, int64_t delay_ms)
{
	struct site_later *later = g_new0(struct site_later, 1);

	later->store = store;
	later->req = req;
	later->at_us = kn_now_us() + delay_ms * USEC_PER_MSEC;
	if (req)
		req->user = &later->node;
	list_add_tail(&later->node, &store->later);
	return later;
}

static void answer(struct hs_request *req, int status, json_t *body)
{
	struct site_door *door = door_of(req);
	struct site_later *later;

	if (door->delay_ms == 0) {
		site_reply(req, status, body);
		return;
	}
	later = add_later(door->store, req, door->delay_ms);
	later->status = status;
	later->answer = body;
}

static void never_answer(struct hs_request *req)
{
	add_later(door_of(req)->store, req, 0)->never = true;
}

/* Polls. */

static bool has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Index of the first event after a revision; events are in that order. */
static guint first_after(const struct site_store *store, int64_t after)
{
	guint low = 0, high = store->events->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const struct site_event *event =
			g_ptr_array_index(store->events, middle);

		if (event->revision <= after)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static json_t *events_after(struct site_store *store, const char *prefix,
			    int64_t after)
{
	json_t *events = json_array();
	guint i;

	for (i = first_after(store, after); i < store->events->len; i++) {
		const struct site_event *event =
			g_ptr_array_index(store->events, i);

		if (!has_prefix(event->key, prefix))
			continue;
		json_array_append_new(
			events,
			event->item ?
				item_json(event->item) :
				json_pack("{s:s,s:I,s:b}", "key", event->key,
					  "rev", (json_int_t)event->revision,
					  "deleted", 1));
	}
	return events;
}

static void wait_free(struct site_wait *wait)
{
	list_del(&wait->node);
	wait->req->user = NULL;
	g_free(wait->prefix);
	g_free(wait);
}

static void answer_wait(struct site_store *store, struct site_wait *wait,
			json_t *events)
{
	struct hs_request *req = wait->req;

	wait_free(wait);
	answer(req, 200,
	       json_pack("{s:o,s:I}", "events", events, "store_revision",
			 (json_int_t)store->revision));
}

static void wake_waits(struct site_store *store)
{
	struct site_wait *wait, *next;

	list_for_each_entry_safe(wait, next, &store->waiting, node) {
		json_t *events = events_after(store, wait->prefix, wait->after);

		if (json_array_size(events) > 0 ||
		    wait->until_us <= kn_now_us())
			answer_wait(store, wait, events);
		else
			json_decref(events);
	}
}

static void on_poll(struct site_store *store, struct hs_request *req,
		    const char *prefix, int64_t after, int64_t wait_ms)
{
	struct site_wait *wait;

	if (after < store->dropped) {
		answer(req, 410, json_object());
		return;
	}
	wait = g_new0(struct site_wait, 1);
	wait->req = req;
	wait->prefix = g_strdup(prefix);
	wait->after = after;
	wait->until_us = kn_now_us() + wait_ms * USEC_PER_MSEC;
	req->user = &wait->node;
	list_add_tail(&wait->node, &store->waiting);
	wake_waits(store);
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
			item ? item_json(item) :
			       json_pack("{s:s,s:i}", "key", key, "rev", 0));
	}
	return items;
}

static bool lease_alive(struct site_store *store, int64_t id)
{
	return id == 0 || g_hash_table_contains(store->leases, &id);
}

/* Returns the status; *body is the answer. */
static int carry_out(struct site_store *store, const json_t *txn, json_t **body)
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

static bool strikes(struct site_store *store, const struct site_door *door)
{
	return g_rand_int_range(store->rand, 0, 100) < door->percent;
}

static void on_txn(struct site_store *store, struct hs_request *req)
{
	struct site_door *door = door_of(req);
	json_t *txn = json_loadb((char *)req->body, req->body_len, 0, NULL);
	json_t *body = NULL;
	int status;

	if (!txn) {
		answer(req, 400, json_object());
		return;
	}
	if (door->fault == SITE_LATE && strikes(store, door)) {
		struct site_later *later = add_later(store, NULL, SITE_LATE_MS);

		later->write = txn;
		never_answer(req);
		return;
	}
	status = carry_out(store, txn, &body);
	json_decref(txn);
	if (door->fault == SITE_LOST && strikes(store, door)) {
		json_decref(body);
		never_answer(req);
	} else {
		answer(req, status, body);
	}
	wake_waits(store);
}

/* Leases. */

static void end_lease(struct site_store *store, int64_t id)
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
	wake_waits(store);
}

static void on_grant(struct site_store *store, struct hs_request *req)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct site_lease *lease = g_new0(struct site_lease, 1);

	lease->id = ++store->next_lease;
	lease->ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	lease->ends_us = kn_now_us() + lease->ttl_ms * USEC_PER_MSEC;
	g_hash_table_insert(store->leases, &lease->id, lease);
	json_decref(body);
	answer(req, 200,
	       json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id, "ttl_ms",
			 (json_int_t)lease->ttl_ms));
}

static void on_keep(struct site_store *store, struct hs_request *req,
		    int64_t id)
{
	struct site_lease *lease = g_hash_table_lookup(store->leases, &id);

	if (!lease) {
		answer(req, 404, json_object());
		return;
	}
	lease->ends_us = kn_now_us() + lease->ttl_ms * USEC_PER_MSEC;
	answer(req, 200,
	       json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms));
}

/* Reading. */

static void on_key(struct site_store *store, struct hs_request *req,
		   const char *key)
{
	const struct site_item *item = site_store_get(store, key);
	json_t *body = item ? item_json(item) : json_object();

	json_object_set_new(body, "store_revision",
			    json_integer(store->revision));
	answer(req, item ? 200 : 404, body);
}

static void on_range(struct site_store *store, struct hs_request *req,
		     const char *prefix, const char *after)
{
	json_t *items = json_array();
	bool more = false;
	GTreeNode *node;

	for (node = g_tree_node_first(store->items); node;
	     node = g_tree_node_next(node)) {
		const struct site_item *item = g_tree_node_value(node);

		if (!has_prefix(item->key, prefix) ||
		    (after && strcmp(item->key, after) <= 0))
			continue;
		if (json_array_size(items) >= PAGE_ITEMS) {
			more = true;
			break;
		}
		json_array_append_new(items, item_json(item));
	}
	answer(req, 200,
	       json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
			 "store_revision", (json_int_t)store->revision));
}

/* Requests. */

/* A new string, NULL when the query has no such field. */
static char *query_field(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **fields = g_strsplit(query ? query + 1 : "", "&", -1);
	char *prefix = g_strconcat(name, "=", NULL);
	char *found = NULL;
	char **at;

	for (at = fields; *at && !found; at++)
		if (g_str_has_prefix(*at, prefix))
			found = g_uri_unescape_string(*at + strlen(prefix),
						      NULL);
	g_strfreev(fields);
	g_free(prefix);
	return found;
}

static int64_t query_int(const char *target, const char *name)
{
	char *text = query_field(target, name);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	g_free(text);
	return value;
}

static int64_t last_number(const char *target)
{
	return g_ascii_strtoll(strrchr(target, '/') + 1, NULL, 10);
}

static void route(struct site_store *store, struct hs_request *req)
{
	const char *target = req->target;
	char *key = query_field(target, "key");
	char *prefix = query_field(target, "prefix");
	char *after = query_field(target, "after");

	if (g_str_has_prefix(target, "/kv-txn"))
		on_txn(store, req);
	else if (g_str_has_prefix(target, "/kv-key"))
		on_key(store, req, key ? key : "");
	else if (g_str_has_prefix(target, "/kv-range"))
		on_range(store, req, prefix ? prefix : "", after);
	else if (g_str_has_prefix(target, "/kv-watch"))
		on_poll(store, req, prefix ? prefix : "",
			query_int(target, "after"),
			query_int(target, "wait_ms"));
	else if (g_str_has_prefix(target, "/kv-lease-end/")) {
		end_lease(store, last_number(target));
		answer(req, 200, json_object());
	} else if (g_str_has_prefix(target, "/kv-lease"))
		on_grant(store, req);
	else if (g_str_has_prefix(target, "/kv-keep/"))
		on_keep(store, req, last_number(target));
	else
		answer(req, 404, json_object());
	g_free(key);
	g_free(prefix);
	g_free(after);
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct site_door *door = container_of(server, struct site_door, server);

	door->calls++;
	req->user = NULL;
	switch (door->fault) {
	case SITE_SILENT:
		never_answer(req);
		break;
	case SITE_BUSY:
		site_reply(req, 503, json_object());
		break;
	case SITE_MANY:
		site_reply(req, 429, json_object());
		break;
	default:
		route(door->store, req);
		break;
	}
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct site_door *door = container_of(server, struct site_door, server);
	struct site_wait *wait, *next_wait;
	struct site_later *later, *next_later;

	list_for_each_entry_safe(wait, next_wait, &door->store->waiting, node)
		if (wait->req == req)
			wait_free(wait);
	list_for_each_entry_safe(later, next_later, &door->store->later, node)
		if (later->req == req)
			later_free(later);
}

static const struct hs_ops door_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* Time. */

static void run_later(struct site_later *later)
{
	struct site_store *store = later->store;
	struct hs_request *req = later->req;
	json_t *body = NULL;

	if (later->write) {
		carry_out(store, later->write, &body);
		json_decref(body);
		wake_waits(store);
	}
	if (req) {
		body = json_incref(later->answer);
		later->req = NULL;
		site_reply(req, later->status, body);
	}
	later_free(later);
}

static void expire_leases(struct site_store *store)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct site_lease *lease = value;

		if (lease->ends_us > kn_now_us())
			continue;
		end_lease(store, lease->id);
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
			run_later(later);
	expire_leases(store);
	wake_waits(store);
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
		later_free(later);
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
	    !hs_init(&door->server, store->task.kn, &door_ops, "127.0.0.1",
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

void site_store_put(struct site_store *store, const char *key,
		    const char *value)
{
	store->revision++;
	put(store, key, value, strlen(value), 0);
	wake_waits(store);
}

void site_store_remove(struct site_store *store, const char *key)
{
	store->revision++;
	del(store, key);
	wake_waits(store);
}

void site_store_compact(struct site_store *store)
{
	struct site_wait *wait, *next;

	store->dropped = store->revision;
	g_ptr_array_set_size(store->events, 0);
	list_for_each_entry_safe(wait, next, &store->waiting, node) {
		struct hs_request *req = wait->req;

		wait_free(wait);
		answer(req, 410, json_object());
	}
}

void site_store_lapse(struct site_store *store, const char *key)
{
	const struct site_item *item = site_store_get(store, key);

	if (item && item->lease)
		end_lease(store, item->lease);
}

size_t site_store_count(struct site_store *store, const char *prefix)
{
	GTreeNode *node;
	size_t count = 0;

	for (node = g_tree_node_first(store->items); node;
	     node = g_tree_node_next(node))
		count += has_prefix(g_tree_node_key(node), prefix);
	return count;
}
