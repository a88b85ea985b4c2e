#include "daemon/requests/backend_client.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hc.h"

#define SERVER_NAME_MAX_BYTES (ADDR_MAX_BYTES + 8)

struct http_backend_client {
	struct backend_client base;
	GHashTable *servers; /* "addr port" to struct server */
	struct list_head calls;
};

struct server {
	char name[SERVER_NAME_MAX_BYTES];
	struct hc_pool pool;
	unsigned int calls;
	bool removed; /* freed once calls is 0 */
};

/* HTTP state of a call in progress; freed before the call's done(). */
struct http_call {
	struct list_head node;
	struct http_backend_client *client;
	struct server *server;
	struct backend_call *call;
	struct hc_call hc;
};

/* Servers. */

static void format_server_name(char *name, const char *addr, int port)
{
	snprintf(name, SERVER_NAME_MAX_BYTES, "%s %d", addr, port);
}

static struct server *find_server(struct backend_client *base, const char *addr,
				  int port)
{
	struct http_backend_client *client = (struct http_backend_client *)base;
	char name[SERVER_NAME_MAX_BYTES];

	format_server_name(name, addr, port);
	return g_hash_table_lookup(client->servers, name);
}

static void server_free(gpointer data)
{
	struct server *server = data;

	hc_pool_finish(&server->pool);
	g_free(server);
}

static void add_server(struct backend_client *base, const char *addr, int port,
		       unsigned int max_conns)
{
	struct http_backend_client *client = (struct http_backend_client *)base;
	struct server *server = find_server(base, addr, port);

	if (!server) {
		server = g_new0(struct server, 1);
		format_server_name(server->name, addr, port);
		hc_pool_init(&server->pool, base->kn, addr, port, max_conns);
		g_hash_table_insert(client->servers, server->name, server);
	}
	hc_pool_limit(&server->pool, max_conns);
	server->removed = false;
}

static void free_if_unused(struct http_backend_client *client,
			   struct server *server)
{
	if (server->removed && server->calls == 0)
		g_hash_table_remove(client->servers, server->name);
}

static void remove_server(struct backend_client *base, const char *addr,
			  int port)
{
	struct server *server = find_server(base, addr, port);

	if (!server)
		return;
	server->removed = true;
	free_if_unused((struct http_backend_client *)base, server);
}

static unsigned int connections(struct backend_client *base, const char *addr,
				int port)
{
	struct server *server = find_server(base, addr, port);

	return server ? server->pool.conns : 0;
}

/* Ending a call. */

static bool has_leaving_header(const struct hc_call *hc)
{
	const char *value = http_headers_get(&hc->headers, "Chivebank-Leaving");

	return hc->result == CB_OK && value && strcmp(value, "1") == 0;
}

/*
 * A server that answers 503 with Chivebank-Leaving guarantees that it has not
 * executed the request. Every other complete response is passed to the caller,
 * even if it has that header.
 */
static void set_outcome(struct backend_call *call, const struct hc_call *hc)
{
	call->result = hc->result;
	if (hc->result == CB_OK) {
		call->outcome = BACKEND_ANSWERED;
		if (hc->status == 503 && has_leaving_header(hc)) {
			call->outcome = BACKEND_NOT_RUN;
			call->result = CB_E_NO_SERVER;
		}
	} else if (!hc->sent) {
		call->outcome = BACKEND_NOT_RUN;
		call->result = CB_E_NO_SERVER;
	} else {
		call->outcome = BACKEND_UNKNOWN;
	}
}

static void notify_observer(struct http_backend_client *client,
			    const struct server *server,
			    const struct hc_call *hc, int64_t latency_us)
{
	struct backend_observer *observer = client->base.observer;
	const char *addr = server->pool.addr;
	int port = server->pool.port;

	if (!observer)
		return;
	if (has_leaving_header(hc) && observer->leaving)
		observer->leaving(observer, addr, port);
	if (hc->result == CB_OK) {
		if (observer->answered &&
		    !(has_leaving_header(hc) && hc->status == 503))
			observer->answered(observer, addr, port, hc->status,
					   latency_us);
	} else if (!hc->sent && hc->result == CB_E_UPSTREAM_LOST) {
		if (observer->refused)
			observer->refused(observer, addr, port);
	} else if (observer->failed) {
		observer->failed(observer, addr, port, hc->result);
	}
}

/* Calls. */

static void call_free(struct http_call *http)
{
	struct http_backend_client *client = http->client;
	struct server *server = http->server;

	list_del(&http->node);
	hc_call_finish(&http->hc);
	http->call->impl = NULL;
	g_free(http);
	server->calls--;
	free_if_unused(client, server);
}

static void on_done(struct hc_call *hc)
{
	struct http_call *http = container_of(hc, struct http_call, hc);
	struct backend_call *call = http->call;

	set_outcome(call, hc);
	call->latency_us = hc->ended_us - hc->started_us;
	/* A partial response is never passed on. */
	if (hc->result == CB_OK) {
		call->status = hc->status;
		call->headers = hc->headers;
		call->body = hc->body;
		call->body_len = hc->body_len;
		hc->body = NULL;
		/*
		 * call owns the headers from here on; hc keeps its copy of the
		 * pointers for notify_observer().
		 */
	}
	notify_observer(http->client, http->server, hc, call->latency_us);
	if (hc->result == CB_OK)
		http_headers_init(&hc->headers);
	call_free(http);
	call->done(call);
}

static bool start(struct backend_client *base, struct backend_call *call,
		  const struct backend_request *request,
		  void (*done)(struct backend_call *call))
{
	struct http_backend_client *client = (struct http_backend_client *)base;
	struct server *server = find_server(base, request->addr, request->port);
	struct http_call *http;

	if (!server || server->removed)
		return false;
	http = g_new0(struct http_call, 1);
	if (!hc_call_start(&http->hc, &server->pool, request->method,
			   request->target, request->headers, request->body,
			   request->len, request->timeout_ms, on_done)) {
		g_free(http);
		return false;
	}
	http->client = client;
	http->server = server;
	http->call = call;
	list_add_tail(&http->node, &client->calls);
	server->calls++;
	call->impl = http;
	call->done = done;
	call->outcome = BACKEND_UNKNOWN;
	call->result = CB_OK;
	call->status = 0;
	http_headers_init(&call->headers);
	call->body = NULL;
	call->body_len = 0;
	call->latency_us = 0;
	return true;
}

static bool cancel(struct backend_client *base, struct backend_call *call)
{
	struct http_call *http = call->impl;
	bool sent;

	if (!http)
		return false;
	sent = http->hc.sent;
	hc_call_cancel(&http->hc);
	call_free(http);
	return sent;
}

static void finish(struct backend_client *base)
{
	struct http_backend_client *client = (struct http_backend_client *)base;
	struct http_call *http;

	while (!list_empty(&client->calls)) {
		http = list_first_entry(&client->calls, struct http_call, node);
		cancel(base, http->call);
	}
	g_hash_table_destroy(client->servers);
	g_free(client);
}

static const struct backend_client_ops http_ops = {
	.add_server = add_server,
	.remove_server = remove_server,
	.start = start,
	.cancel = cancel,
	.connections = connections,
	.finish = finish,
};

struct backend_client *backend_http_new(struct kn *kn,
					struct backend_observer *observer)
{
	struct http_backend_client *client =
		g_new0(struct http_backend_client, 1);

	client->base.ops = &http_ops;
	client->base.kn = kn;
	client->base.observer = observer;
	client->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						server_free);
	list_init(&client->calls);
	return &client->base;
}

void backend_call_finish(struct backend_call *call)
{
	http_headers_finish(&call->headers);
	g_free(call->body);
	call->body = NULL;
	call->body_len = 0;
}
