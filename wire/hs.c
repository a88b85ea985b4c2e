#include "wire/hs.h"

#include <string.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"
#include "wire/hs_conn.h"

/* ---- connections ---- */

/* Sets the time at which the sweep ends the connection's present state. */
void hs_conn_deadline(struct hs_conn *conn, int delay_ms)
{
	conn->deadline_us = kn_now_us() + delay_ms * USEC_PER_MSEC;
}

/*
 * Frees a connection. libwebsockets closes the socket in its next round;
 * the shutdown tells the caller at once.
 */
static void drop(struct hs_conn *conn)
{
	struct hs_server *server = conn->server;

	list_del(&conn->node);
	server->conn_count--;
	lws_set_opaque_user_data(conn->wsi, NULL);
	if (conn->req && conn->state == HS_BUSY && server->ops->gone)
		server->ops->gone(server, conn->req);
	hs_request_free(conn);
	if (conn->pending)
		g_byte_array_free(conn->pending, TRUE);
	hp_free(conn->hp);
	g_free(conn->out);
	g_free(conn);
}

/* Closes a connection now, or when the callback it is in returns. */
void hs_conn_close(struct hs_conn *conn)
{
	struct lws *wsi = conn->wsi;

	conn->dead = true;
	if (conn->in_callback)
		return;
	drop(conn);
	shutdown(lws_get_socket_fd(wsi), SHUT_RDWR);
	lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static int adopt(struct lws *wsi)
{
	struct hs_server *server = lws_get_vhost_user(lws_get_vhost(wsi));
	struct hs_conn *conn;

	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	server->accepted++;
	if (server->conn_count >= server->conns_max) {
		hs_send_busy(lws_get_socket_fd(wsi));
		return -1;
	}
	conn = g_new0(struct hs_conn, 1);
	conn->server = server;
	conn->wsi = wsi;
	conn->hp = hp_new(&hs_parse_ops, true, conn);
	list_add_tail(&conn->node, &server->conns);
	server->conn_count++;
	hs_conn_deadline(conn, server->idle_timeout_ms);
	lws_set_opaque_user_data(wsi, conn);
	return 0;
}

/* ---- received bytes ---- */

/*
 * Keeps bytes that arrive behind a request in progress, so that reading
 * goes on and the caller's leaving is noticed. Beyond the bound they are
 * dropped and the reply closes the connection, which tells the caller that
 * its later requests were not taken.
 */
static void keep_pending(struct hs_conn *conn, const char *data, size_t len)
{
	if (conn->close_after)
		return;
	if (!conn->pending)
		conn->pending = g_byte_array_new();
	if (conn->pending->len + len > HTTP_PIPELINE_MAX_BYTES) {
		g_byte_array_set_size(conn->pending, 0);
		conn->close_after = true;
		return;
	}
	g_byte_array_append(conn->pending, (const guint8 *)data, (guint)len);
}

static void receive(struct hs_conn *conn, const char *data, size_t len)
{
	if (conn->state == HS_LINGER) {
		conn->discarded += len;
		if (conn->discarded > HTTP_LINGER_MAX_BYTES)
			conn->dead = true;
		return;
	}
	if (conn->state == HS_BUSY || conn->state == HS_WRITE ||
	    (conn->pending && conn->pending->len > 0))
		keep_pending(conn, data, len);
	else
		hs_feed(conn, data, len);
}

static void resume(struct hs_conn *conn)
{
	GByteArray *pending = conn->pending;

	if (conn->state == HS_WRITE)
		hs_flush(conn);
	if (conn->dead || conn->state != HS_IDLE || !pending)
		return;
	conn->pending = NULL;
	hs_feed(conn, (const char *)pending->data, pending->len);
	g_byte_array_free(pending, TRUE);
}

static int hs_callback(struct lws *wsi, enum lws_callback_reasons reason,
		       void *user, void *in, size_t len)
{
	struct hs_conn *conn = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	switch (reason) {
	case LWS_CALLBACK_RAW_ADOPT:
		return adopt(wsi);
	case LWS_CALLBACK_RAW_RX:
	case LWS_CALLBACK_RAW_WRITEABLE:
		if (!conn)
			return -1;
		conn->in_callback = true;
		if (reason == LWS_CALLBACK_RAW_RX)
			receive(conn, in, len);
		else
			resume(conn);
		conn->in_callback = false;
		if (!conn->dead)
			return 0;
		drop(conn);
		return -1;
	case LWS_CALLBACK_RAW_CLOSE:
		if (conn)
			drop(conn);
		return 0;
	default:
		return 0;
	}
}

/* ---- timeouts ---- */

static void expire(struct hs_conn *conn)
{
	switch (conn->state) {
	case HS_HEAD:
	case HS_BODY:
		hs_refuse(conn, CB_E_SLOW_SENDER);
		break;
	case HS_IDLE:
	case HS_WRITE:
	case HS_LINGER:
		hs_conn_close(conn);
		break;
	case HS_BUSY:
		break; /* the owner bounds its own time */
	}
}

/*
 * One timer looks at all connections: libwebsockets keeps its timers in a
 * sorted list, so a timer for each connection would cost a walk of that
 * list for each request.
 */
static void sweep(struct kn_timer *timer)
{
	struct hs_server *server = container_of(timer, struct hs_server, sweep);
	struct hs_conn *conn, *tmp;
	int64_t now_us = kn_now_us();

	list_for_each_entry_safe(conn, tmp, &server->conns, node)
		if (now_us >= conn->deadline_us)
			expire(conn);
	kn_timer_set(server->kn, timer, HTTP_SWEEP_MS * USEC_PER_MSEC, sweep);
}

/* ---- server ---- */

static const struct lws_protocols hs_protocols[] = {
	{ "hs", hs_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

static struct lws_vhost *listen_vhost(struct hs_server *server,
				      const char *addr, int port)
{
	struct lws_context_creation_info info;

	memset(&info, 0, sizeof(info));
	info.port = port;
	info.iface = addr;
	info.vhost_name = "hs";
	info.protocols = hs_protocols;
	info.user = server;
	info.listen_accept_role = "raw-skt";
	info.listen_accept_protocol = "hs";
	info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
	if (!strchr(addr, ':'))
		info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
	info.ka_time = HTTP_KEEPALIVE_PROBE_SEC;
	info.ka_interval = HTTP_KEEPALIVE_PROBE_SEC;
	info.ka_probes = HTTP_KEEPALIVE_PROBES;
	return lws_create_vhost(server->kn->lws, &info);
}

/*
 * Listens on a numeric address; port 0 takes a free port. The server uses
 * the raw role with http-parser: see docs/design.md, section 2.3.
 */
bool hs_init(struct hs_server *server, struct kn *kn, const struct hs_ops *ops,
	     const char *addr, int port, GError **err)
{
	memset(server, 0, sizeof(*server));
	server->ops = ops;
	server->kn = kn;
	list_init(&server->conns);
	server->conns_max = HTTP_CONNS_MAX;
	server->body_max_bytes = HTTP_BODY_MAX_BYTES;
	server->bodies_max_bytes = HTTP_BODIES_MAX_BYTES;
	server->header_timeout_ms = HTTP_HEADER_TIMEOUT_MS;
	server->body_timeout_ms = HTTP_BODY_TIMEOUT_MS;
	server->idle_timeout_ms = HTTP_IDLE_TIMEOUT_MS;
	server->keep = g_ptr_array_new_with_free_func(g_free);
	server->vhost = listen_vhost(server, addr, port);
	if (!server->vhost) {
		g_ptr_array_free(server->keep, TRUE);
		server->keep = NULL;
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot listen on %s:%d", addr, port);
		return false;
	}
	server->port = lws_get_vhost_listen_port(server->vhost);
	sweep(&server->sweep);
	return true;
}

void hs_finish(struct hs_server *server)
{
	struct hs_conn *conn;

	if (!server->vhost)
		return;
	kn_timer_cancel(&server->sweep);
	while (!list_empty(&server->conns)) {
		conn = list_first_entry(&server->conns, struct hs_conn, node);
		conn->in_callback = false;
		hs_conn_close(conn);
	}
	lws_vhost_destroy(server->vhost);
	server->vhost = NULL;
	g_ptr_array_free(server->keep, TRUE);
	server->keep = NULL;
}

void hs_keep_header(struct hs_server *server, const char *name)
{
	g_ptr_array_add(server->keep, g_strdup(name));
}

void hs_drain(struct hs_server *server)
{
	server->draining = true;
}

/* Returns the first value of a request header, NULL when there is none. */
const char *hs_header(const struct hs_request *req, const char *name)
{
	return http_headers_get(&req->headers, name);
}
