#include "tests/standins/pf_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MAX 512

/* Sockets. */

static int listen_at(int *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)*port) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 128) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0) {
		close(fd);
		return -1;
	}
	*port = ntohs(addr.sin_port);
	return fd;
}

bool pf_init(struct pf_server *server, int kv_port, int control_port)
{
	memset(server, 0, sizeof(*server));
	pf_store_init(&server->store);
	list_init(&server->conns);
	g_queue_init(&server->hosts);
	server->calls = json_object();
	server->kv_port = kv_port;
	server->control_port = control_port;
	server->kv_fd = listen_at(&server->kv_port);
	server->control_fd = listen_at(&server->control_port);
	return server->kv_fd >= 0 && server->control_fd >= 0;
}

static void conn_free(struct pf_conn *conn)
{
	list_del(&conn->node);
	close(conn->fd);
	g_string_free(conn->url, TRUE);
	g_string_free(conn->body, TRUE);
	g_string_free(conn->out, TRUE);
	g_free(conn->key);
	g_free(conn->end);
	g_free(conn);
}

void pf_finish(struct pf_server *server)
{
	struct pf_conn *conn, *next;

	list_for_each_entry_safe(conn, next, &server->conns, node)
		conn_free(conn);
	if (server->kv_fd >= 0)
		close(server->kv_fd);
	if (server->control_fd >= 0)
		close(server->control_fd);
	pf_route_finish(server);
	pf_store_finish(&server->store);
	json_decref(server->calls);
}

/* Closes a connection at the end of the step, without sending the rest. */
static void drop(struct pf_conn *conn)
{
	g_string_truncate(conn->out, 0);
	conn->dead = true;
}

/* While down, the store's port refuses and its connections are closed. */
void pf_set_down(struct pf_server *server, bool down)
{
	struct pf_conn *conn;

	if (server->down == down)
		return;
	server->down = down;
	if (!down) {
		server->kv_fd = listen_at(&server->kv_port);
		return;
	}
	close(server->kv_fd);
	server->kv_fd = -1;
	list_for_each_entry(conn, &server->conns, node) {
		if (!conn->control)
			drop(conn);
	}
}

/* Requests. */

static int on_url(struct http_parser *parser, const char *at, size_t len)
{
	g_string_append_len(((struct pf_conn *)parser->data)->url, at,
			    (gssize)len);
	return 0;
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	g_string_append_len(((struct pf_conn *)parser->data)->body, at,
			    (gssize)len);
	return 0;
}

static int on_complete(struct http_parser *parser)
{
	struct pf_conn *conn = parser->data;

	conn->complete = true;
	conn->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings settings = {
	.on_url = on_url,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void append_chunk(struct pf_conn *conn, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	g_string_append_printf(conn->out, "%zx\r\n%s\n\r\n", strlen(text) + 1,
			       text);
	free(text);
	json_decref(body);
}

static void append_reply(struct pf_conn *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	g_string_append_printf(conn->out,
			       "HTTP/1.1 %d X\r\nContent-Type: "
			       "application/json\r\nContent-Length: %zu\r\n"
			       "Connection: %s\r\n\r\n%s",
			       status, strlen(text),
			       conn->keep_alive ? "keep-alive" : "close", text);
	free(text);
	json_decref(body);
}

static void handle(struct pf_conn *conn)
{
	json_t *body = json_loadb(conn->body->str, conn->body->len, 0, NULL);
	struct pf_answer answer =
		pf_route(conn, http_method_str(conn->parser.method),
			 conn->url->str, body);

	json_decref(body);
	conn->complete = false;
	g_string_truncate(conn->url, 0);
	g_string_truncate(conn->body, 0);
	if (answer.status == 0) {
		conn->dead = true;
		return;
	}
	if (!conn->control)
		conn->send_at_us = pf_now_us() + conn->server->delay_us;
	if (answer.watch) {
		g_string_append(conn->out,
				"HTTP/1.1 200 OK\r\nContent-Type: "
				"application/json\r\nTransfer-Encoding: "
				"chunked\r\n\r\n");
		append_chunk(conn, answer.body);
		conn->watching = true;
		return;
	}
	append_reply(conn, answer.status, answer.body);
	conn->dead = conn->dead || !conn->keep_alive;
}

static void receive(struct pf_conn *conn)
{
	char buf[65536];
	ssize_t n = recv(conn->fd, buf, sizeof(buf), 0);
	size_t done = 0;

	if (n <= 0) {
		if (n == 0 || (errno != EAGAIN && errno != EINTR))
			drop(conn);
		return;
	}
	while (done < (size_t)n && !conn->dead) {
		done += http_parser_execute(&conn->parser, &settings,
					    buf + done, (size_t)n - done);
		if (conn->complete) {
			http_parser_pause(&conn->parser, 0);
			handle(conn);
		} else if (conn->parser.http_errno) {
			conn->dead = true;
		}
	}
}

static void accept_conn(struct pf_server *server, int listen_fd)
{
	int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pf_conn *conn;

	if (fd < 0)
		return;
	conn = g_new0(struct pf_conn, 1);
	conn->server = server;
	conn->control = listen_fd == server->control_fd;
	conn->fd = fd;
	conn->url = g_string_new(NULL);
	conn->body = g_string_new(NULL);
	conn->out = g_string_new(NULL);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	list_add_tail(&conn->node, &server->conns);
}

/* Serving. */

static void feed_watch(struct pf_conn *conn)
{
	struct pf_store *store = &conn->server->store;
	json_t *events;

	if (conn->server->freeze_watches || !conn->watching ||
	    conn->next_revision > store->revision)
		return;
	events = pf_store_events(store, conn->key, conn->end,
				 conn->next_revision);
	conn->next_revision = store->revision + 1;
	if (events)
		append_chunk(conn, json_pack("{s:{s:o,s:o}}", "result",
					     "header", pf_store_header(store),
					     "events", events));
}

static void flush(struct pf_conn *conn)
{
	ssize_t n;

	if (conn->out->len > 0 && pf_now_us() >= conn->send_at_us) {
		n = send(conn->fd, conn->out->str, conn->out->len,
			 MSG_NOSIGNAL);
		if (n > 0)
			g_string_erase(conn->out, 0, n);
		else if (errno != EAGAIN)
			drop(conn);
	}
	if (conn->dead && conn->out->len == 0)
		conn_free(conn);
}

static int64_t wait_ms(struct pf_server *server, int timeout_ms)
{
	int64_t now = pf_now_us(), wait = timeout_ms;
	struct pf_conn *conn;

	list_for_each_entry(conn, &server->conns, node)
		if (conn->out->len > 0 || conn->dead)
			wait = MIN(wait,
				   MAX(0, conn->send_at_us - now) / 1000 + 1);
	return wait;
}

void pf_step(struct pf_server *server, int timeout_ms)
{
	struct pollfd fds[POLL_MAX];
	struct pf_conn *conn, *next;
	nfds_t n = 2, i = 2;

	fds[0] = (struct pollfd){ server->kv_fd, POLLIN, 0 };
	fds[1] = (struct pollfd){ server->control_fd, POLLIN, 0 };
	list_for_each_entry(conn, &server->conns, node)
		if (n < POLL_MAX)
			fds[n++] = (struct pollfd){ conn->fd, POLLIN, 0 };
	poll(fds, n, (int)wait_ms(server, timeout_ms));
	list_for_each_entry(conn, &server->conns, node) {
		if (i < n && fds[i++].revents && !conn->dead)
			receive(conn);
	}
	pf_store_expire(&server->store, pf_now_us());
	list_for_each_entry_safe(conn, next, &server->conns, node) {
		feed_watch(conn);
		flush(conn);
	}
	if (fds[0].revents & POLLIN && server->kv_fd == fds[0].fd)
		accept_conn(server, server->kv_fd);
	if (fds[1].revents & POLLIN)
		accept_conn(server, server->control_fd);
}
