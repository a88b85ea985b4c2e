#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hs_conn.h"

/* Sending. */

/*
 * After the last reply the caller may still be sending. Closing with unread
 * bytes would reset the connection and could destroy the reply on its way,
 * so the rest is read and discarded within bounds.
 */
static void linger(struct hs_conn *conn)
{
	shutdown(lws_get_socket_fd(conn->wsi), SHUT_WR);
	conn->state = HS_LINGER;
	conn->discarded = 0;
	hs_conn_deadline(conn, HTTP_LINGER_MS);
}

static void reply_sent(struct hs_conn *conn)
{
	g_free(conn->out);
	conn->out = NULL;
	if (conn->close_after) {
		linger(conn);
		return;
	}
	conn->state = HS_IDLE;
	hs_conn_deadline(conn, conn->server->idle_timeout_ms);
	if (conn->pending && conn->pending->len > 0)
		lws_callback_on_writable(conn->wsi);
}

/* Sends what the kernel takes; the rest follows when it is writable. */
void hs_flush(struct hs_conn *conn)
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
			return;
		}
		if (n < 0) {
			hs_conn_close(conn);
			return;
		}
		conn->out_off += (size_t)n;
	}
	reply_sent(conn);
}

/* Composing. */

/* Returns the Date header line; it is composed once a second. */
static const char *date_line(void)
{
	static char line[48];
	static time_t composed;
	time_t now = time(NULL);
	struct tm tm;

	if (now != composed) {
		gmtime_r(&now, &tm);
		strftime(line, sizeof(line),
			 "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", &tm);
		composed = now;
	}
	return line;
}

static void print_length(GString *out, int status, bool head,
			 const struct http_headers *headers, size_t len)
{
	const char *value;

	if (status == 204 || status == 304 || status < 200)
		return;
	if (!head) {
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
		return;
	}
	/* A reply to HEAD states the length of the body that GET would get. */
	value = headers ? http_headers_get(headers, "content-length") : NULL;
	if (value && strspn(value, "0123456789") == strlen(value))
		g_string_append_printf(out, "Content-Length: %s\r\n", value);
	else if (len > 0)
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
}

/* Whether the caller has sent more than the request that is answered. */
static bool has_more(const struct hs_conn *conn)
{
	return conn->behind > 0 || (conn->pending && conn->pending->len > 0) ||
	       hs_conn_unread(conn);
}

static void send_reply(struct hs_conn *conn, int status,
		       const struct http_headers *headers, const void *body,
		       size_t len)
{
	bool head = conn->head;
	GString *out = g_string_sized_new(512 + len);

	if (conn->server->draining && !has_more(conn))
		conn->close_after = true;
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status,
			       hp_reason(status));
	g_string_append(out, date_line());
	http_headers_print(headers, out);
	print_length(out, status, head, headers, len);
	if (conn->close_after)
		g_string_append(out, "Connection: close\r\n");
	else if (conn->http10)
		g_string_append(out, "Connection: keep-alive\r\n");
	g_string_append_len(out, "\r\n", 2);
	if (!head && len > 0 && status != 204 && status != 304)
		g_string_append_len(out, body, (gssize)len);
	hs_request_free(conn);
	conn->state = HS_WRITE;
	hs_conn_deadline(conn, conn->server->body_timeout_ms);
	conn->out_len = out->len;
	conn->out_off = 0;
	conn->out = g_string_free(out, FALSE);
	hs_flush(conn);
}

void hs_reply(struct hs_request *req, int status,
	      const struct http_headers *headers, const void *body, size_t len)
{
	send_reply(req->conn, status, headers, body, len);
}

static GString *error_body(int code, const char *detail)
{
	GString *body = g_string_new(NULL);
	char *text = g_strdup(detail ? detail : cb_result_text(code));

	/* The texts are our own; what JSON would have to escape is replaced. */
	g_strcanon(text,
		   "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		   "0123456789 .,:;-_/'()=<>[]{}+*%&#@!?|~^$",
		   '?');
	g_string_printf(body,
			"{\"error\":{\"code\":%d,\"name\":\"%s\","
			"\"text\":\"%s\"}}\n",
			code, cb_result_name(code), text);
	g_free(text);
	return body;
}

static void send_error(struct hs_conn *conn, int code, const char *detail,
		       int retry_after_s)
{
	int status = cb_result_http(code);
	bool unknown = status == 502 || status == 504;
	GString *body = error_body(code, detail);
	struct http_headers headers;
	char number[16];

	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "application/json");
	g_snprintf(number, sizeof(number), "%d", code);
	http_headers_add(&headers, "Chivebank-Result", number);
	http_headers_add(&headers, "Chivebank-Outcome",
			 unknown ? "unknown" : "not-run");
	if (retry_after_s > 0) {
		g_snprintf(number, sizeof(number), "%d", retry_after_s);
		http_headers_add(&headers, "Retry-After", number);
	}
	send_reply(conn, status, &headers, body->str, body->len);
	http_headers_finish(&headers);
	g_string_free(body, TRUE);
}

void hs_reply_error(struct hs_request *req, int code, const char *detail,
		    int retry_after_s)
{
	send_error(req->conn, code, detail, retry_after_s);
}

/* Refuses a request that has not been handed to the owner, and closes. */
void hs_refuse(struct hs_conn *conn, int code)
{
	bool elsewhere = code == CB_E_OVERLOADED || code == CB_E_DRAINING;

	conn->close_after = true;
	send_error(conn, code, NULL, elsewhere ? 1 : 0);
}

/* Tells a caller beyond the connection limit, as far as one send allows. */
void hs_send_busy(int fd)
{
	GString *body = error_body(CB_E_OVERLOADED, NULL);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
			"HTTP/1.1 503 Service Unavailable\r\n"
			"Content-Type: application/json\r\n"
			"Chivebank-Result: %d\r\n"
			"Chivebank-Outcome: not-run\r\n"
			"Retry-After: 1\r\nConnection: close\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			CB_E_OVERLOADED, body->len, body->str);
	if (send(fd, out->str, out->len, MSG_NOSIGNAL) < 0)
		shutdown(fd, SHUT_RDWR);
	g_string_free(out, TRUE);
	g_string_free(body, TRUE);
}
