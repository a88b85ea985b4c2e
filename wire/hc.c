#include "wire/hc.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hc_conn.h"
#include "wire/sock.h"

/* Connections. */

/* Frees a connection. Its socket is closed by libwebsockets afterwards. */
static void forget(struct hc_conn *conn)
{
	list_del(&conn->node);
	conn->pool->conns--;
	if (conn->wsi)
		lws_set_opaque_user_data(conn->wsi, NULL);
	if (conn->call)
		conn->call->conn = NULL;
	hp_free(conn->hp);
	g_free(conn->out);
	g_free(conn);
}

/* Closes a connection from outside of its own callback. */
static void kill_conn(struct hc_conn *conn)
{
	struct lws *wsi = conn->wsi;

	forget(conn);
	if (!wsi)
		return;
	shutdown(lws_get_socket_fd(wsi), SHUT_RDWR);
	lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void end_call(struct hc_call *call, int result)
{
	call->result = result;
	call->ended_us = kn_now_us();
	call->conn = NULL;
	call->done(call);
}

/* Timer. */

static void pool_tick(struct kn_timer *timer);

/* One timer for each pool, set to the earliest deadline it has been told. */
static void arm(struct hc_pool *pool, int64_t at_us)
{
	int64_t now_us;

	if (kn_timer_pending(&pool->timer) && pool->timer_us <= at_us)
		return;
	now_us = kn_now_us();
	pool->timer_us = at_us;
	kn_timer_set(pool->kn, &pool->timer,
		     at_us > now_us ? at_us - now_us : 0, pool_tick);
}

static int64_t due_us(const struct hc_conn *conn)
{
	if (conn->call && !conn->connected)
		return MIN(conn->deadline_us, conn->connect_deadline_us);
	return conn->deadline_us;
}

/* Returns a connection whose time has come, NULL when there is none. */
static struct hc_conn *find_due(struct list_head *list, int64_t now_us,
				int64_t *next_us)
{
	struct hc_conn *conn;

	list_for_each_entry(conn, list, node) {
		if (due_us(conn) <= now_us)
			return conn;
		*next_us = MIN(*next_us, due_us(conn));
	}
	return NULL;
}

/*
 * Ends calls past their deadline and closes connections idle for too long.
 * done() may change or finish the pool, so one call is ended each time and
 * the timer takes care of the next.
 */
static void pool_tick(struct kn_timer *timer)
{
	struct hc_pool *pool = container_of(timer, struct hc_pool, timer);
	int64_t now_us = kn_now_us(), next_us = INT64_MAX;
	struct hc_conn *conn;
	struct hc_call *call;
	int result;

	while ((conn = find_due(&pool->idle, now_us, &next_us)))
		kill_conn(conn);
	conn = find_due(&pool->busy, now_us, &next_us);
	if (conn)
		next_us = now_us;
	if (next_us != INT64_MAX)
		arm(pool, next_us);
	if (!conn)
		return;
	call = conn->call;
	result = conn->wsi ? CB_E_UPSTREAM_TIMEOUT : CB_E_UPSTREAM_LOST;
	kill_conn(conn);
	end_call(call, result);
}

/* Sending. */

/*
 * Sends what the kernel takes. Returns false when the connection is broken.
 * call->sent is set by the first byte that the kernel has taken.
 */
static bool flush(struct hc_conn *conn)
{
	int fd = lws_get_socket_fd(conn->wsi);
	ssize_t n;

	while (conn->out_off < conn->out_len) {
		n = send(fd, conn->out + conn->out_off,
			 conn->out_len - conn->out_off, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			lws_callback_on_writable(conn->wsi);
			return true;
		}
		if (n < 0)
			return false;
		conn->call->sent = true;
		conn->out_off += (size_t)n;
	}
	if (conn->out)
		conn->call->sent_us = kn_now_us();
	g_free(conn->out);
	conn->out = NULL;
	return true;
}

/* The socket has become writable: connected, or room for more bytes. */
static bool on_writable(struct hc_conn *conn)
{
	socklen_t len = sizeof(int);
	int error = 0;

	/* A process that was paused reads its sockets before its timers, and
	 * one of those ends the call. */
	if (!conn->call || conn->deadline_us <= kn_now_us())
		return true;
	if (!conn->connected) {
		if (getsockopt(lws_get_socket_fd(conn->wsi), SOL_SOCKET,
			       SO_ERROR, &error, &len) < 0 ||
		    error != 0)
			return false;
		conn->connected = true;
	}
	return flush(conn);
}

/* Receiving. */

static void make_idle(struct hc_conn *conn)
{
	struct hc_pool *pool = conn->pool;

	conn->call = NULL;
	list_del(&conn->node);
	/* The most recently used one is taken first, so spare ones age out. */
	list_add(&conn->node, &pool->idle);
	conn->deadline_us = kn_now_us() + HTTP_CLIENT_IDLE_MS * USEC_PER_MSEC;
	arm(pool, conn->deadline_us);
}

/* Returns 0 to go on, -1 to close; the connection may be gone after it. */
static int on_rx(struct hc_conn *conn, const char *data, size_t len)
{
	struct hc_call *call = conn->call;
	size_t used;
	bool reusable;
	int result;

	if (!call || !call->sent) {
		/* Bytes that answer no request. */
		forget(conn);
		if (call)
			end_call(call, CB_E_UPSTREAM_PROTOCOL);
		return -1;
	}
	result = hc_reply_feed(conn, data, len, &used);
	if (result == CB_OK && !conn->complete)
		return 0;
	reusable = result == CB_OK && used == len && !call->close &&
		   !conn->out && conn->pool->conns <= conn->pool->max_conns;
	if (reusable)
		make_idle(conn);
	else
		forget(conn);
	end_call(call, result);
	return reusable ? 0 : -1;
}

static void on_close(struct hc_conn *conn)
{
	struct hc_call *call = conn->call;
	bool begun = conn->begun;

	forget(conn);
	if (call)
		end_call(call,
			 begun ? CB_E_UPSTREAM_TRUNCATED : CB_E_UPSTREAM_LOST);
}

static int hc_callback(struct lws *wsi, enum lws_callback_reasons reason,
		       void *user, void *in, size_t len)
{
	struct hc_conn *conn = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	switch (reason) {
	case LWS_CALLBACK_RAW_RX:
		kn_note_arrival(wsi);
		return conn ? on_rx(conn, in, len) : -1;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return conn && on_writable(conn) ? 0 : -1;
	case LWS_CALLBACK_RAW_CLOSE:
		if (conn)
			on_close(conn);
		return 0;
	default:
		return 0;
	}
}

/* Pool. */

static const struct lws_protocols hc_protocols[] = {
	{ "hc", hc_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* All pools of a process share one vhost. */
static struct lws_vhost *client_vhost(struct kn *kn)
{
	struct lws_vhost *vhost = lws_get_vhost_by_name(kn->lws, "hc");
	struct lws_context_creation_info info;

	if (vhost)
		return vhost;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = "hc";
	info.protocols = hc_protocols;
	return lws_create_vhost(kn->lws, &info);
}

void hc_pool_init(struct hc_pool *pool, struct kn *kn, const char *addr,
		  int port, unsigned int max_conns)
{
	memset(pool, 0, sizeof(*pool));
	pool->kn = kn;
	pool->vhost = client_vhost(kn);
	list_init(&pool->idle);
	list_init(&pool->busy);
	g_strlcpy(pool->addr, addr, sizeof(pool->addr));
	pool->port = port;
	pool->max_conns = max_conns;
	pool->body_max_bytes = HTTP_BODY_MAX_BYTES;
	pool->connect_timeout_ms = HTTP_CONNECT_TIMEOUT_MS;
}

void hc_pool_limit(struct hc_pool *pool, unsigned int max_conns)
{
	struct hc_conn *conn;

	pool->max_conns = max_conns;
	while (pool->conns > max_conns && !list_empty(&pool->idle)) {
		conn = list_entry(pool->idle.prev, struct hc_conn, node);
		kill_conn(conn);
	}
}

void hc_pool_finish(struct hc_pool *pool)
{
	struct hc_conn *conn;
	struct hc_call *call;

	pool->max_conns = 0; /* done() starts no new call */
	while (!list_empty(&pool->idle))
		kill_conn(list_first_entry(&pool->idle, struct hc_conn, node));
	while (!list_empty(&pool->busy)) {
		conn = list_first_entry(&pool->busy, struct hc_conn, node);
		call = conn->call;
		kill_conn(conn);
		end_call(call, CB_E_UPSTREAM_LOST);
	}
	kn_timer_cancel(&pool->timer);
}

/* Connecting. */

/*
 * The socket is made here and adopted by the event loop, which tells apart a
 * connection that was never made from one that was lost.
 */
static struct lws *connect_wsi(const struct hc_pool *pool)
{
	lws_sock_file_fd_type fd;

	if (!pool->vhost)
		return NULL;
	fd.sockfd = sock_connect(pool->addr, pool->port);
	if (fd.sockfd < 0)
		return NULL;
	return lws_adopt_descriptor_vhost(pool->vhost, LWS_ADOPT_SOCKET, fd,
					  "hc", NULL);
}

static struct hc_conn *conn_new(struct hc_pool *pool, int64_t now_us)
{
	struct hc_conn *conn = g_new0(struct hc_conn, 1);

	conn->pool = pool;
	list_add_tail(&conn->node, &pool->busy);
	pool->conns++;
	conn->hp = hp_new(&hc_parse_ops, false, conn);
	conn->connect_deadline_us =
		now_us + pool->connect_timeout_ms * USEC_PER_MSEC;
	conn->wsi = connect_wsi(pool);
	if (conn->wsi) {
		lws_set_timeout(conn->wsi, NO_PENDING_TIMEOUT, 0);
		lws_set_opaque_user_data(conn->wsi, conn);
		lws_callback_on_writable(conn->wsi);
	} else {
		/* Reported by the timer, as done() must not be called yet. */
		conn->connect_deadline_us = now_us;
	}
	return conn;
}

/* Calls. */

static GString *print_request(const struct hc_pool *pool, const char *method,
			      const char *target,
			      const struct http_headers *headers,
			      const void *body, size_t len)
{
	bool v6 = strchr(pool->addr, ':') != NULL;
	GString *out = g_string_sized_new(512 + len);

	g_string_printf(out, "%s %s HTTP/1.1\r\nHost: %s%s%s:%d\r\n", method,
			target, v6 ? "[" : "", pool->addr, v6 ? "]" : "",
			pool->port);
	http_headers_print(headers, out);
	if (len > 0 ||
	    (strcmp(method, "GET") != 0 && strcmp(method, "HEAD") != 0))
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
	g_string_append_len(out, "\r\n", 2);
	if (len > 0)
		g_string_append_len(out, body, (gssize)len);
	return out;
}

static void assign(struct hc_conn *conn, struct hc_call *call, GString *request,
		   bool head)
{
	conn->call = call;
	call->conn = conn;
	conn->head = head;
	hc_reply_begin(conn);
	conn->out_off = 0;
	conn->out_len = request->len;
	conn->out = g_string_free(request, FALSE);
	list_del(&conn->node);
	list_add_tail(&conn->node, &conn->pool->busy);
}

/*
 * Sends on the idle connection used last. One that is found broken before
 * it has taken a byte is closed, and a new connection is made instead.
 */
static struct hc_conn *send_on_idle(struct hc_pool *pool, struct hc_call *call,
				    GString *request, bool head)
{
	GString *copy;
	struct hc_conn *conn;

	while (!list_empty(&pool->idle)) {
		conn = list_first_entry(&pool->idle, struct hc_conn, node);
		copy = g_string_new_len(request->str, (gssize)request->len);
		assign(conn, call, copy, head);
		if (flush(conn) || call->sent)
			return conn;
		kill_conn(conn);
	}
	return NULL;
}

bool hc_call_start(struct hc_call *call, struct hc_pool *pool,
		   const char *method, const char *target,
		   const struct http_headers *headers, const void *body,
		   size_t len, int64_t timeout_ms,
		   void (*done)(struct hc_call *call))
{
	bool head = strcmp(method, "HEAD") == 0;
	int64_t now_us = kn_now_us();
	struct hc_conn *conn;
	GString *request;

	if (list_empty(&pool->idle) && pool->conns >= pool->max_conns)
		return false;
	memset(call, 0, sizeof(*call));
	list_init(&call->node);
	call->pool = pool;
	call->done = done;
	call->started_us = now_us;
	request = print_request(pool, method, target, headers, body, len);
	conn = send_on_idle(pool, call, request, head);
	call->reused = conn != NULL;
	if (conn) {
		g_string_free(request, TRUE);
	} else {
		conn = conn_new(pool, now_us);
		assign(conn, call, request, head);
	}
	conn->deadline_us = now_us + timeout_ms * USEC_PER_MSEC;
	arm(pool, due_us(conn));
	return true;
}

void hc_call_cancel(struct hc_call *call)
{
	struct hc_conn *conn = call->conn;

	if (conn)
		kill_conn(conn);
	hc_call_finish(call);
}

void hc_call_finish(struct hc_call *call)
{
	http_headers_finish(&call->headers);
	g_free(call->body);
	call->body = NULL;
	call->body_len = 0;
}
