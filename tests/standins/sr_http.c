#include "tests/standins/sr_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static struct list_head calls = { &calls, &calls };

int64_t sr_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void end(struct sr_call *call, const char *error)
{
	call->done = true;
	call->error = error;
	call->ended_ms = sr_now_ms();
	close(call->fd);
	call->fd = -1;
	list_del(&call->node);
}

/* Parsing. */

static void store_header(struct sr_call *call)
{
	char *name;

	if (call->field->len > 0) {
		name = g_ascii_strdown(call->field->str, -1);
		json_object_set_new(call->headers, name,
				    json_string(call->value->str));
		g_free(name);
	}
	g_string_truncate(call->field, 0);
	g_string_truncate(call->value, 0);
	call->in_value = false;
}

static int on_field(struct http_parser *parser, const char *at, size_t len)
{
	struct sr_call *call = parser->data;

	if (call->in_value)
		store_header(call);
	g_string_append_len(call->field, at, (gssize)len);
	return 0;
}

static int on_value(struct http_parser *parser, const char *at, size_t len)
{
	struct sr_call *call = parser->data;

	call->in_value = true;
	g_string_append_len(call->value, at, (gssize)len);
	return 0;
}

static int on_headers(struct http_parser *parser)
{
	struct sr_call *call = parser->data;

	store_header(call);
	call->status = (int)parser->status_code;
	return 0;
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	struct sr_call *call = parser->data;

	g_string_append_len(call->body, at, (gssize)len);
	return 0;
}

static int on_complete(struct http_parser *parser)
{
	struct sr_call *call = parser->data;

	call->done = true;
	return 0;
}

static const struct http_parser_settings settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Sockets. */

static void receive(struct sr_call *call)
{
	char buf[65536];
	ssize_t n = recv(call->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		end(call, "connection reset");
		return;
	}
	/* Zero bytes tell the parser that the connection has ended. */
	http_parser_execute(&call->parser, &settings, buf, (size_t)n);
	if (call->done)
		end(call, NULL);
	else if (call->parser.http_errno != HPE_OK)
		end(call, "malformed reply");
	else if (n == 0)
		end(call, "connection closed");
}

static void serve(struct sr_call *call, short revents)
{
	ssize_t n;

	if (call->out_sent < call->out->len && revents & POLLOUT) {
		n = send(call->fd, call->out->str + call->out_sent,
			 call->out->len - call->out_sent, MSG_NOSIGNAL);
		if (n > 0)
			call->out_sent += (size_t)n;
	}
	if (revents & (POLLIN | POLLHUP | POLLERR))
		receive(call);
}

void sr_http_step(int64_t wait_ms)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	int64_t now_ms = sr_now_ms();
	struct sr_call *call, *tmp;
	struct pollfd pfd;
	guint i = 0;

	list_for_each_entry(call, &calls, node) {
		pfd.fd = call->fd;
		pfd.events = POLLIN;
		if (call->out_sent < call->out->len)
			pfd.events |= POLLOUT;
		g_array_append_val(fds, pfd);
		wait_ms = MIN(wait_ms, MAX(call->deadline_ms - now_ms, 0));
	}
	poll((struct pollfd *)fds->data, fds->len, (int)MAX(wait_ms, 0));
	now_ms = sr_now_ms();
	list_for_each_entry_safe(call, tmp, &calls, node) {
		serve(call, g_array_index(fds, struct pollfd, i++).revents);
		if (!call->done && now_ms >= call->deadline_ms)
			end(call, "timeout");
	}
	g_array_unref(fds);
}

static void write_head(struct sr_call *call, const char *method,
		       const char *path, json_t *headers, size_t len)
{
	const char *name;
	json_t *value;

	g_string_printf(call->out,
			"%s %s HTTP/1.1\r\nHost: scenario\r\n"
			"Connection: close\r\n",
			method, path);
	json_object_foreach(headers, name, value) {
		g_string_append_printf(call->out, "%s: %s\r\n", name,
				       json_string_value(value));
	}
	if (len > 0 || strcmp(method, "GET") != 0)
		g_string_append_printf(call->out, "Content-Length: %zu\r\n",
				       len);
	g_string_append(call->out, "\r\n");
}

struct sr_call *sr_http_start(int port, const char *method, const char *path,
			      json_t *headers, const char *body, size_t len,
			      int64_t timeout_ms)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	struct sr_call *call = g_new0(struct sr_call, 1);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	call->out = g_string_new(NULL);
	call->field = g_string_new(NULL);
	call->value = g_string_new(NULL);
	call->body = g_string_new(NULL);
	call->headers = json_object();
	call->started_ms = sr_now_ms();
	call->deadline_ms = call->started_ms + timeout_ms;
	http_parser_init(&call->parser, HTTP_RESPONSE);
	call->parser.data = call;
	write_head(call, method, path, headers, len);
	g_string_append_len(call->out, body, (gssize)len);
	list_add_tail(&call->node, &calls);
	call->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(call->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS)
		end(call, "cannot connect");
	return call;
}

void sr_http_free(struct sr_call *call)
{
	if (!call->done)
		end(call, "cancelled");
	g_string_free(call->out, TRUE);
	g_string_free(call->field, TRUE);
	g_string_free(call->value, TRUE);
	g_string_free(call->body, TRUE);
	json_decref(call->headers);
	g_free(call);
}
