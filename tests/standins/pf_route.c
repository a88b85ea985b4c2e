#include "tests/standins/pf_conn.h"

#include <string.h>

/* The host list from a moment on. */
struct pf_hosts {
	int64_t since_us;
	json_t *body;
};

static void count(struct pf_server *server, const char *kind)
{
	json_int_t n = json_integer_value(json_object_get(server->calls, kind));

	json_object_set_new(server->calls, kind, json_integer(n + 1));
}

/* Store. */

static const struct {
	const char *path;
	const char *kind;
	bool writes;
	json_t *(*run)(struct pf_store *store, const json_t *req);
} store_calls[] = {
	{ "/v3/kv/range", "range", false, pf_store_range },
	{ "/v3/kv/put", "put", true, pf_store_put },
	{ "/v3/kv/txn", "txn", true, pf_store_txn },
	{ "/v3/lease/grant", "grant", true, pf_store_grant },
	{ "/v3/lease/keepalive", "keepalive", false, pf_store_keepalive },
	{ "/v3/lease/revoke", "revoke", true, pf_store_revoke },
};

static struct pf_answer start_watch(struct pf_conn *conn, const json_t *body)
{
	const json_t *req = pf_get(body, "create_request", "createRequest");
	struct pf_store *store = &conn->server->store;
	struct pf_answer answer = { 200, NULL, true };

	count(conn->server, "watch");
	conn->key = pf_bytes(req, "key", NULL, NULL);
	conn->end = pf_bytes(req, "range_end", "rangeEnd", NULL);
	conn->next_revision = pf_int(req, "start_revision", "startRevision");
	if (!conn->key)
		return (struct pf_answer){ 400, json_object(), false };
	if (conn->next_revision == 0)
		conn->next_revision = store->revision + 1;
	if (conn->next_revision <= store->compacted)
		answer.body = json_pack("{s:{s:o,s:b,s:o}}", "result", "header",
					pf_store_header(store), "canceled", 1,
					"compact_revision",
					pf_int_text(store->compacted + 1));
	else
		answer.body = json_pack("{s:{s:o,s:b}}", "result", "header",
					pf_store_header(store), "created", 1);
	return answer;
}

static struct pf_answer route_store(struct pf_conn *conn, const char *path,
				    const json_t *body)
{
	struct pf_server *server = conn->server;
	struct pf_answer answer = { 200, NULL, false };
	size_t i;

	if (strcmp(path, "/v3/watch") == 0)
		return start_watch(conn, body);
	for (i = 0; i < G_N_ELEMENTS(store_calls); i++) {
		if (strcmp(path, store_calls[i].path) != 0)
			continue;
		count(server, store_calls[i].kind);
		answer.body = store_calls[i].run(&server->store, body);
		if (!answer.body)
			answer =
				(struct pf_answer){ 400, json_object(), false };
		if (store_calls[i].writes && server->drop_answers > 0) {
			server->drop_answers--;
			json_decref(answer.body);
			answer = (struct pf_answer){ 0, NULL, false };
		}
		return answer;
	}
	return (struct pf_answer){ 404, json_object(), false };
}

/* Hosts, control, ledger. */

static json_t *listed_hosts(struct pf_server *server)
{
	int64_t limit = pf_now_us() - server->hosts_lag_us;
	struct pf_hosts *entry;
	GList *link;

	for (link = server->hosts.tail; link; link = link->prev) {
		entry = link->data;
		if (entry->since_us <= limit || !link->prev)
			return json_incref(entry->body);
	}
	return json_pack("{s:[]}", "hosts");
}

static void set_hosts(struct pf_server *server, const json_t *body)
{
	struct pf_hosts *entry = g_new0(struct pf_hosts, 1);

	entry->since_us = pf_now_us();
	entry->body = json_deep_copy(body);
	g_queue_push_tail(&server->hosts, entry);
}

void pf_route_finish(struct pf_server *server)
{
	struct pf_hosts *entry;

	while ((entry = g_queue_pop_head(&server->hosts))) {
		json_decref(entry->body);
		g_free(entry);
	}
}

void pf_control(struct pf_server *server, const json_t *body)
{
	const json_t *value;

	if ((value = json_object_get(body, "delay_ms")))
		server->delay_us = json_integer_value(value) * 1000;
	if ((value = json_object_get(body, "drop_answers")))
		server->drop_answers = (int)json_integer_value(value);
	if ((value = json_object_get(body, "old_root")))
		server->store.old_root = json_is_true(value);
	if ((value = json_object_get(body, "freeze_watches")))
		server->freeze_watches = json_is_true(value);
	if ((value = json_object_get(body, "hosts_lag_ms")))
		server->hosts_lag_us = json_integer_value(value) * 1000;
	if (json_object_get(body, "hosts"))
		set_hosts(server, body);
	if ((value = json_object_get(body, "down")))
		pf_set_down(server, json_is_true(value));
}

static json_t *ledger(struct pf_server *server)
{
	struct pf_conn *conn;
	int watches = 0;

	list_for_each_entry(conn, &server->conns, node)
		watches += conn->watching && !conn->dead;
	return json_pack("{s:O,s:O,s:i,s:I}", "calls", server->calls, "writes",
			 server->store.ledger, "open_watches", watches,
			 "revision", (json_int_t)server->store.revision);
}

struct pf_answer pf_route(struct pf_conn *conn, const char *method,
			  const char *path, const json_t *body)
{
	struct pf_server *server = conn->server;

	if (strcmp(path, "/control") == 0) {
		pf_control(server, body);
		return (struct pf_answer){ 200, json_object(), false };
	}
	if (strcmp(path, "/ledger") == 0)
		return (struct pf_answer){ 200, ledger(server), false };
	if (strcmp(path, "/v1/hosts") == 0) {
		if (strcmp(method, "PUT") == 0) {
			set_hosts(server, body);
			return (struct pf_answer){ 200, json_object(), false };
		}
		count(server, "hosts");
		if (server->down)
			return (struct pf_answer){ 0, NULL, false };
		return (struct pf_answer){ 200, listed_hosts(server), false };
	}
	return route_store(conn, path, body);
}
