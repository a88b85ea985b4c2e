#include "wire/hs.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"
#include "wire/hs_conn.h"

/* Connections. */

static void sweep(struct kn_timer *timer);

static void sweep_at(struct hs_server *server, int64_t at_us, int64_t now_us)
{
	server->sweep_us = at_us;
	kn_timer_set(server->kn, &server->sweep, at_us - now_us, sweep);
}

/* Sets the time at which the sweep ends the connection's present state. */
void hs_conn_deadline(struct hs_conn *conn, int delay_ms)
{
	int64_t now_us = kn_now_us();

	conn->deadline_us = now_us + delay_ms * USEC_PER_MSEC;
	if (conn->deadline_us < conn->server->sweep_us)
		sweep_at(conn->server, conn->deadline_us, now_us);
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
	server->refused_count -= conn->refused;
	lws_set_opaque_user_data(conn->wsi, NULL);
	if (conn->req && conn->state == HS_BUSY && server->ops->gone)
		server->ops->gone(server, conn->req);
	if (conn->state == HS_WRITE && !conn->refused &&
	    server->ops->reply_lost)
		server->ops->reply_lost(server, conn->out_len - conn->out_off);
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

/* Takes over an accepted connection. */
struct hs_conn *hs_conn_new(struct hs_server *server, struct lws *wsi)
{
	struct hs_conn *conn = g_new0(struct hs_conn, 1);

	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	conn->server = server;
	conn->wsi = wsi;
	conn->hp = hp_new(&hs_parse_ops, true, conn);
	list_add_tail(&conn->node, &server->conns);
	server->conn_count++;
	hs_conn_deadline(conn, server->idle_timeout_ms);
	lws_set_opaque_user_data(wsi, conn);
	return conn;
}

/* Received bytes. */

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

/* Runs one event of a connection; returns -1 to have it closed. */
static int serve(struct hs_conn *conn, bool rx, const char *data, size_t len)
{
	conn->in_callback = true;
	if (rx)
		receive(conn, data, len);
	else
		resume(conn);
	conn->in_callback = false;
	if (!conn->dead)
		return 0;
	drop(conn);
	return -1;
}

/* The user data is the server on its listening socket, else a connection. */
static int hs_callback(struct lws *wsi, enum lws_callback_reasons reason,
		       void *user, void *in, size_t len)
{
	void *data = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
		if (!data)
			return -1;
		kn_note_arrival(wsi);
		hs_accept(data);
		return 0;
	case LWS_CALLBACK_RAW_RX:
		kn_note_arrival(wsi);
		return data ? serve(data, true, in, len) : -1;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return data ? serve(data, false, NULL, 0) : -1;
	case LWS_CALLBACK_RAW_CLOSE:
		if (data)
			drop(data);
		return 0;
	default:
		return 0;
	}
}

/* Timeouts. */

/* Whether the caller has sent, or closed, and that was not read yet. */
bool hs_conn_unread(const struct hs_conn *conn)
{
	struct pollfd fd = { .fd = lws_get_socket_fd(conn->wsi),
			     .events = POLLIN };

	return poll(&fd, 1, 0) > 0;
}

/* What was waited for may have arrived; the next sweep looks again. */
static void expire(struct hs_conn *conn)
{
	if ((conn->state == HS_IDLE || conn->state == HS_HEAD ||
	     conn->state == HS_BODY) &&
	    hs_conn_unread(conn))
		return;
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
 * One timer looks at all connections, at most once in sweep_ms unless a
 * shorter deadline is set: libwebsockets keeps its timers in a sorted list,
 * so a timer for each connection would cost a walk of that list for each
 * request. Without connections it doesn't run.
 */
static void sweep(struct kn_timer *timer)
{
	struct hs_server *server = container_of(timer, struct hs_server, sweep);
	int64_t now_us = kn_now_us(), next_us = INT64_MAX;
	struct hs_conn *conn, *tmp;

	server->sweep_us = INT64_MAX;
	list_for_each_entry_safe(conn, tmp, &server->conns, node)
		if (now_us >= conn->deadline_us)
			expire(conn);
	list_for_each_entry(conn, &server->conns, node)
		next_us = MIN(next_us, conn->deadline_us);
	next_us = MAX(next_us, now_us + server->sweep_ms * USEC_PER_MSEC);
	if (next_us < server->sweep_us)
		sweep_at(server, next_us, now_us);
}

/* Server. */

static const struct lws_protocols hs_protocols[] = {
	{ "hs", hs_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* All servers of a process share one vhost. */
static struct lws_vhost *server_vhost(struct kn *kn)
{
	struct lws_vhost *vhost = lws_get_vhost_by_name(kn->lws, "hs");
	struct lws_context_creation_info info;

	if (vhost)
		return vhost;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = "hs";
	info.protocols = hs_protocols;
	return lws_create_vhost(kn->lws, &info);
}

/*
 * Listens on a numeric address; port 0 takes a free port.
 *
 * The server uses raw sockets with http-parser and not the HTTP role of
 * libwebsockets 4.1.6. Sent raw bytes, that role took "Content-Length : 5"
 * and "Transfer-Encoding : chunked" for requests without a body and showed
 * neither header to its user, so the bytes behind could not be told from
 * the next request. It also never answered a Content-Length of -1, and each
 * byte of a slow body started its timeout again.
 */
bool hs_init(struct hs_server *server, struct kn *kn, const struct hs_ops *ops,
	     const char *addr, int port, GError **err)
{
	memset(server, 0, sizeof(*server));
	server->ops = ops;
	server->kn = kn;
	list_init(&server->conns);
	server->sweep_us = INT64_MAX;
	server->conns_max = HTTP_CONNS_MAX;
	server->body_max_bytes = HTTP_BODY_MAX_BYTES;
	server->bodies_max_bytes = HTTP_BODIES_MAX_BYTES;
	server->header_timeout_ms = HTTP_HEADER_TIMEOUT_MS;
	server->body_timeout_ms = HTTP_BODY_TIMEOUT_MS;
	server->idle_timeout_ms = HTTP_IDLE_TIMEOUT_MS;
	server->sweep_ms = HTTP_SWEEP_MS;
	server->keep = g_ptr_array_new_with_free_func(g_free);
	server->vhost = server_vhost(kn);
	server->listening = true;
	if (!hs_listen(server, addr, port, err)) {
		g_ptr_array_free(server->keep, TRUE);
		server->vhost = NULL;
		return false;
	}
	return true;
}

void hs_finish(struct hs_server *server)
{
	struct hs_conn *conn;

	if (!server->vhost)
		return;
	kn_timer_cancel(&server->sweep);
	if (server->listening)
		hs_unlisten(server);
	server->listening = false;
	while (!list_empty(&server->conns)) {
		conn = list_first_entry(&server->conns, struct hs_conn, node);
		conn->in_callback = false;
		hs_conn_close(conn);
	}
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

void hs_stop_listening(struct hs_server *server)
{
	uint64_t before;

	if (!server->listening)
		return;
	do {
		before = server->accepted;
		hs_accept(server);
	} while (server->accepted != before);
	hs_unlisten(server);
	server->listening = false;
}

void hs_refuse_unfinished(struct hs_server *server)
{
	struct hs_conn *conn, *tmp;

	list_for_each_entry_safe(conn, tmp, &server->conns, node)
		if (conn->state == HS_HEAD || conn->state == HS_BODY)
			hs_refuse(conn, CB_E_DRAINING);
}

size_t hs_active(const struct hs_server *server)
{
	const struct hs_conn *conn;
	size_t n = 0;

	list_for_each_entry(conn, &server->conns, node)
		if (conn->state != HS_IDLE)
			n++;
	return n;
}

/* Returns the first value of a request header, NULL when there is none. */
const char *hs_header(const struct hs_request *req, const char *name)
{
	return http_headers_get(&req->headers, name);
}
