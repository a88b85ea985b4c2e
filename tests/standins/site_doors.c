#include "tests/standins/site_store_int.h"

#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_reply.h"

#define PAGE_ITEMS 20 /* small, so that tests see pages */

/* Answers. */

static struct site_door *door_of(struct hs_request *req)
{
	return container_of(req->server, struct site_door, server);
}

void site_later_free(struct site_later *later)
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

void site_door_answer(struct hs_request *req, int status, json_t *body)
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
				site_item_json(event->item) :
				json_pack("{s:s,s:I,s:b}", "key", event->key,
					  "rev", (json_int_t)event->revision,
					  "deleted", 1));
	}
	return events;
}

void site_wait_free(struct site_wait *wait)
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

	site_wait_free(wait);
	site_door_answer(req, 200,
			 json_pack("{s:o,s:I}", "events", events,
				   "store_revision",
				   (json_int_t)store->revision));
}

void site_store_silence_polls(struct site_store *store)
{
	while (!list_empty(&store->waiting))
		site_wait_free(list_first_entry(&store->waiting,
						struct site_wait, node));
}

void site_waits_wake(struct site_store *store)
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
		site_door_answer(req, 410, json_object());
		return;
	}
	wait = g_new0(struct site_wait, 1);
	wait->req = req;
	wait->prefix = g_strdup(prefix);
	wait->after = after;
	wait->until_us = kn_now_us() + wait_ms * USEC_PER_MSEC;
	req->user = &wait->node;
	list_add_tail(&wait->node, &store->waiting);
	site_waits_wake(store);
}

/* Transactions. */

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
		site_door_answer(req, 400, json_object());
		return;
	}
	if (door->fault == SITE_LATE && strikes(store, door)) {
		struct site_later *later = add_later(store, NULL, SITE_LATE_MS);

		later->write = txn;
		never_answer(req);
		return;
	}
	status = site_store_carry_out(store, txn, &body);
	json_decref(txn);
	if (door->fault == SITE_LOST && strikes(store, door)) {
		json_decref(body);
		never_answer(req);
	} else if (door->fault == SITE_ERROR) {
		json_decref(body);
		site_door_answer(req, 500, json_object());
	} else {
		site_door_answer(req, status, body);
	}
	site_waits_wake(store);
}

/* Leases. */

static void on_grant(struct site_store *store, struct hs_request *req)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct site_lease *lease = g_new0(struct site_lease, 1);

	lease->id = ++store->next_lease;
	lease->ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	lease->ends_us = kn_now_us() + lease->ttl_ms * USEC_PER_MSEC;
	g_hash_table_insert(store->leases, &lease->id, lease);
	json_decref(body);
	site_door_answer(req, 200,
			 json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id,
				   "ttl_ms", (json_int_t)lease->ttl_ms));
}

static void on_keep(struct site_store *store, struct hs_request *req,
		    int64_t id)
{
	struct site_lease *lease = g_hash_table_lookup(store->leases, &id);

	if (!lease) {
		site_door_answer(req, 404, json_object());
		return;
	}
	lease->ends_us = kn_now_us() + lease->ttl_ms * USEC_PER_MSEC;
	site_door_answer(
		req, 200,
		json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms));
}

/* Reading. */

static void on_key(struct site_store *store, struct hs_request *req,
		   const char *key)
{
	const struct site_item *item = site_store_get(store, key);
	json_t *body = item ? site_item_json(item) : json_object();

	json_object_set_new(body, "store_revision",
			    json_integer(store->revision));
	site_door_answer(req, item ? 200 : 404, body);
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
		json_array_append_new(items, site_item_json(item));
	}
	site_door_answer(req, 200,
			 json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
				   more, "store_revision",
				   (json_int_t)store->revision));
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
		site_lease_end(store, last_number(target));
		site_door_answer(req, 200, json_object());
	} else if (g_str_has_prefix(target, "/kv-lease"))
		on_grant(store, req);
	else if (g_str_has_prefix(target, "/kv-keep/"))
		on_keep(store, req, last_number(target));
	else
		site_door_answer(req, 404, json_object());
	g_free(key);
	g_free(prefix);
	g_free(after);
}

static bool is_read(const struct hs_request *req)
{
	return g_str_has_prefix(req->target, "/kv-key") ||
	       g_str_has_prefix(req->target, "/kv-range") ||
	       g_str_has_prefix(req->target, "/kv-watch");
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
	case SITE_UNREAD:
		if (is_read(req))
			never_answer(req);
		else
			route(door->store, req);
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
			site_wait_free(wait);
	list_for_each_entry_safe(later, next_later, &door->store->later, node)
		if (later->req == req)
			site_later_free(later);
}

const struct hs_ops site_door_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* What is due later. */

void site_later_run(struct site_later *later)
{
	struct site_store *store = later->store;
	struct hs_request *req = later->req;
	json_t *body = NULL;

	if (later->write) {
		site_store_carry_out(store, later->write, &body);
		json_decref(body);
		site_waits_wake(store);
	}
	if (req) {
		body = json_incref(later->answer);
		later->req = NULL;
		site_reply(req, later->status, body);
	}
	site_later_free(later);
}
