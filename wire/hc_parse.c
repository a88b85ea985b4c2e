#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hc_conn.h"

static enum hp_verdict refuse(struct hc_conn *conn, int code)
{
	conn->refuse = code;
	return HP_STOP;
}

static enum hp_verdict on_header(void *user, const char *name,
				 const char *value)
{
	struct hc_conn *conn = user;

	/* Trailers of a chunked reply are dropped. */
	if (conn->call->status == 0)
		http_headers_add(&conn->call->headers, name, value);
	return HP_GO;
}

/*
 * A reply without a length or chunks ends when the connection closes, which
 * a lost connection looks like too; it is never taken as whole.
 */
static enum hp_verdict on_head(void *user, const struct hp_head *head)
{
	struct hc_conn *conn = user;

	if (head->major != 1 || head->status < 100 || head->status == 101)
		return refuse(conn, CB_E_UPSTREAM_PROTOCOL);
	conn->call->status = head->status;
	if (conn->head || head->status / 100 == 1 || head->status == 204 ||
	    head->status == 304)
		return HP_NO_BODY;
	if (head->chunked)
		return HP_GO;
	if (head->has_encoding || !head->has_length)
		return refuse(conn, CB_E_UPSTREAM_TRUNCATED);
	if (head->length > conn->pool->body_max_bytes)
		return refuse(conn, CB_E_UPSTREAM_TOO_LARGE);
	conn->body_cap = head->length;
	if (conn->body_cap > 0)
		conn->call->body = g_malloc(conn->body_cap);
	return HP_GO;
}

static enum hp_verdict on_body(void *user, const void *data, size_t len)
{
	struct hc_conn *conn = user;
	struct hc_call *call = conn->call;
	size_t need = call->body_len + len;

	if (need > conn->pool->body_max_bytes)
		return refuse(conn, CB_E_UPSTREAM_TOO_LARGE);
	if (need > conn->body_cap) {
		conn->body_cap = MAX(need, conn->body_cap * 2);
		call->body = g_realloc(call->body, conn->body_cap);
	}
	memcpy(call->body + call->body_len, data, len);
	call->body_len = need;
	return HP_GO;
}

const struct hp_ops hc_parse_ops = {
	.header = on_header,
	.head = on_head,
	.body = on_body,
};

/* Prepares the connection for the reply to a new request. */
void hc_reply_begin(struct hc_conn *conn)
{
	hp_begin(conn->hp);
	conn->begun = false;
	conn->complete = false;
	conn->refuse = CB_OK;
	conn->body_cap = 0;
}

static int error_code(const struct hc_conn *conn, enum hp_state state)
{
	if (state == HP_STOPPED)
		return conn->refuse;
	if (state == HP_TOO_LARGE)
		return CB_E_UPSTREAM_TOO_LARGE;
	return CB_E_UPSTREAM_PROTOCOL;
}

/*
 * Parses received bytes. Returns CB_OK while the reply is well formed; then
 * conn->complete tells whether it is whole, and *used how many bytes belong
 * to it. Interim replies (1xx) are skipped.
 */
int hc_reply_feed(struct hc_conn *conn, const char *data, size_t len,
		  size_t *used)
{
	struct hc_call *call = conn->call;
	enum hp_state state;

	*used = 0;
	conn->begun = true;
	while (*used < len) {
		*used += hp_feed(conn->hp, data + *used, len - *used, &state);
		if (state == HP_MORE)
			return CB_OK;
		if (state != HP_COMPLETE)
			return error_code(conn, state);
		if (call->status / 100 != 1) {
			conn->complete = true;
			call->close = !hp_keep_alive(conn->hp);
			return CB_OK;
		}
		http_headers_finish(&call->headers);
		call->status = 0;
		hp_begin(conn->hp);
	}
	return CB_OK;
}
