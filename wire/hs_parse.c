#include <string.h>
#include <strings.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hs_conn.h"

/* Requests. */

/* Frees the connection's request and gives its bytes back to the budget. */
void hs_request_free(struct hs_conn *conn)
{
	struct hs_request *req = conn->req;

	conn->server->bodies_bytes -= conn->body_declared;
	conn->body_declared = 0;
	conn->req = NULL;
	if (!req)
		return;
	http_headers_finish(&req->headers);
	g_free(req->method);
	g_free(req->target);
	g_free(req->body);
	g_free(req);
}

static void request_begin(struct hs_conn *conn)
{
	hp_begin(conn->hp);
	conn->refuse = CB_OK;
	conn->head = false;
	conn->http10 = false;
	conn->expect = false;
	conn->req = g_new0(struct hs_request, 1);
	conn->req->server = conn->server;
	conn->req->conn = conn;
	list_init(&conn->req->node);
	conn->state = HS_HEAD;
	hs_conn_deadline(conn, conn->server->header_timeout_ms);
}

/* Parser callbacks. */

/*
 * Headers outside this list and hs_keep_header() are dropped, so a waiting
 * request holds little memory whatever its caller sends.
 */
static bool kept(const struct hs_server *server, const char *name)
{
	static const char *const usual[] = {
		"content-type",
		"accept",
		"authorization",
		"user-agent",
		"if-match",
		"idempotency-key",
		"retry-after",
		"x-request-id",
		"chivebank-customer",
		"chivebank-class",
		"chivebank-deadline-ms",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(usual); i++)
		if (strcasecmp(usual[i], name) == 0)
			return true;
	for (i = 0; i < server->keep->len; i++)
		if (strcasecmp(g_ptr_array_index(server->keep, i), name) == 0)
			return true;
	return false;
}

static enum hp_verdict refuse(struct hs_conn *conn, int code)
{
	conn->refuse = code;
	return HP_STOP;
}

static enum hp_verdict on_header(void *user, const char *name,
				 const char *value)
{
	struct hs_conn *conn = user;

	if (strcasecmp(name, "expect") == 0)
		conn->expect = true;
	if (kept(conn->server, name))
		http_headers_add(&conn->req->headers, name, value);
	return HP_GO;
}

/* Reserves memory for the body before any byte of it is stored. */
static enum hp_verdict body_begin(struct hs_conn *conn, uint64_t length)
{
	struct hs_server *server = conn->server;

	if (length > server->body_max_bytes)
		return refuse(conn, CB_E_BODY_TOO_LARGE);
	if (server->bodies_bytes + length > server->bodies_max_bytes)
		return refuse(conn, CB_E_OVERLOADED);
	conn->body_declared = length;
	server->bodies_bytes += length;
	conn->req->body = g_malloc(length);
	conn->state = HS_BODY;
	hs_conn_deadline(conn, server->body_timeout_ms);
	return HP_GO;
}

/*
 * Checks the framing. The parser itself refuses several Content-Length
 * headers, one together with Transfer-Encoding, and malformed lengths.
 */
static enum hp_verdict on_head(void *user, const struct hp_head *head)
{
	struct hs_conn *conn = user;

	if (head->major != 1)
		return refuse(conn, CB_E_BAD_REQUEST);
	if (head->has_encoding)
		return refuse(conn, CB_E_TRANSFER_ENCODING);
	if (strcmp(head->method, "CONNECT") == 0)
		return refuse(conn, CB_E_METHOD);
	if (conn->expect)
		return refuse(conn, CB_E_EXPECT);
	conn->head = strcmp(head->method, "HEAD") == 0;
	conn->http10 = head->minor == 0;
	conn->req->method = g_strdup(head->method);
	conn->req->target = g_strdup(head->target);
	if (head->has_length && head->length > 0)
		return body_begin(conn, head->length);
	return HP_GO;
}

static enum hp_verdict on_body(void *user, const void *data, size_t len)
{
	struct hs_conn *conn = user;

	if (conn->req->body_len + len > conn->body_declared)
		return refuse(conn, CB_E_BAD_FRAMING);
	memcpy(conn->req->body + conn->req->body_len, data, len);
	conn->req->body_len += len;
	return HP_GO;
}

const struct hp_ops hs_parse_ops = {
	.header = on_header,
	.head = on_head,
	.body = on_body,
};

/* Input. */

static int error_code(const struct hs_conn *conn, enum hp_state state)
{
	switch (state) {
	case HP_STOPPED:
		return conn->refuse;
	case HP_BAD_FRAMING:
		return CB_E_BAD_FRAMING;
	case HP_BAD_ENCODING:
		return CB_E_TRANSFER_ENCODING;
	case HP_TOO_LARGE:
		return CB_E_HEADERS_TOO_LARGE;
	default:
		return CB_E_BAD_REQUEST;
	}
}

/* Empty lines before a request are no part of it. */
static size_t empty_lines(const char *data, size_t len)
{
	size_t n = 0;

	while (n < len && (data[n] == '\r' || data[n] == '\n'))
		n++;
	return n;
}

/* Parses at most one request; returns the number of bytes used. */
static size_t feed_one(struct hs_conn *conn, const char *data, size_t len)
{
	enum hp_state state;
	size_t used;

	if (conn->state == HS_IDLE) {
		used = empty_lines(data, len);
		if (used > 0)
			return used;
		request_begin(conn);
	}
	used = hp_feed(conn->hp, data, len, &state);
	if (state == HP_MORE)
		return len;
	if (state != HP_COMPLETE) {
		hs_refuse(conn, error_code(conn, state));
		return len;
	}
	if (!hp_keep_alive(conn->hp))
		conn->close_after = true;
	conn->state = HS_BUSY;
	conn->deadline_us = INT64_MAX;
	used += empty_lines(data + used, len - used);
	conn->behind = len - used;
	conn->req->received_us = kn_now_us();
	conn->server->ops->request(conn->server, conn->req);
	conn->behind = 0;
	return used;
}

/*
 * Takes received bytes. Whole requests go to the owner one at a time; bytes
 * behind a request that the owner has not answered yet are kept.
 */
void hs_feed(struct hs_conn *conn, const char *data, size_t len)
{
	size_t used;

	while (len > 0 && !conn->dead && conn->state != HS_LINGER) {
		if (conn->state == HS_BUSY || conn->state == HS_WRITE)
			break;
		used = feed_one(conn, data, len);
		data += used;
		len -= used;
	}
	if (len == 0 || conn->dead || conn->close_after)
		return;
	if (!conn->pending)
		conn->pending = g_byte_array_new();
	g_byte_array_append(conn->pending, (const guint8 *)data, (guint)len);
}
