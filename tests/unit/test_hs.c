#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "tests/standins/be_sock.h"
#include "wire/hs.h"
#include "tests/unit/run.h"

/* Fixture: a server that echoes, or holds its requests. */

static struct kn kn;
static struct hs_server server;
static struct be_sock sock;
static struct hs_request *held;
static bool hold;
static int requests, gones;
static size_t last_len;

static void echo(struct hs_request *req)
{
	char *text = g_strdup_printf("%s %s %zu", req->method, req->target,
				     req->body_len);

	hs_reply(req, 200, NULL, text, strlen(text));
	g_free(text);
}

static void on_request(struct hs_server *s, struct hs_request *req)
{
	requests++;
	last_len = req->body_len;
	if (hold)
		held = req;
	else
		echo(req);
}

static void on_gone(struct hs_server *s, struct hs_request *req)
{
	ck_assert_ptr_eq(req, held);
	held = NULL;
	gones++;
}

static const struct hs_ops ops = { .request = on_request, .gone = on_gone };

static void setup(void)
{
	GError *err = NULL;

	held = NULL;
	hold = false;
	requests = gones = 0;
	ck_assert(kn_init(&kn, &err));
	ck_assert(hs_init(&server, &kn, &ops, "127.0.0.1", 0, &err));
	/* The tests use short timeouts. */
	server.sweep_ms = 50;
	ck_assert_int_gt(server.port, 0);
	be_connect(&sock, server.port);
	ck_assert_int_ge(sock.fd, 0);
}

static void teardown(void)
{
	be_close(&sock);
	hs_finish(&server);
	kn_finish(&kn);
}

/* Framing. */

struct refusal {
	const char *bytes;
	int status;
	int result;
};

#define POST "POST /a HTTP/1.1\r\nHost: x\r\n"

static const struct refusal refusals[] = {
	/* A chunked body would be taken for the next request. */
	{ POST "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 501,
	  CB_E_TRANSFER_ENCODING },
	{ POST "Transfer-Encoding: gzip\r\n\r\n", 501, CB_E_TRANSFER_ENCODING },
	{ "GET /a HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", 501,
	  CB_E_TRANSFER_ENCODING },
	/* Two lengths: request smuggling. */
	{ POST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
	  400, CB_E_BAD_FRAMING },
	{ POST "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nhello",
	  400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400,
	  CB_E_BAD_FRAMING },
	{ POST "Content-Length: 5, 6\r\n\r\nhello!", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length : 5\r\n\r\nhello", 400, CB_E_BAD_REQUEST },
	{ POST "Transfer-Encoding : chunked\r\n\r\n", 400, CB_E_BAD_REQUEST },
	{ POST "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400,
	  CB_E_BAD_FRAMING },
	{ POST "Transfer-Encoding:\r\n\r\n", 501, CB_E_TRANSFER_ENCODING },
	/* Lengths that wrap around or are no numbers. */
	{ POST "Content-Length:\r\n\r\n", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: 5 5\r\n\r\n", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: -1\r\n\r\n", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: +5\r\n\r\nhello", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: 0x5\r\n\r\nhello", 400, CB_E_BAD_FRAMING },
	{ POST "Content-Length: 99999999999999999999\r\n\r\n", 400,
	  CB_E_BAD_FRAMING },
	{ POST "Content-Length: 18446744073709551615\r\n\r\n", 400,
	  CB_E_BAD_FRAMING },
	{ POST "Content-Length: 1048577\r\n\r\n", 413, CB_E_BODY_TOO_LARGE },
	{ POST "Content-Length: 9999999999\r\n\r\n", 413, CB_E_BODY_TOO_LARGE },
	/* The caller would wait for an interim reply that never comes. */
	{ POST "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", 417,
	  CB_E_EXPECT },
	{ "CONNECT a:1 HTTP/1.1\r\n\r\n", 400, CB_E_BAD_REQUEST },
	{ "GET http://a/ HTTP/1.1\r\n\r\n", 400, CB_E_BAD_REQUEST },
	{ "GET /a HTTP/2.0\r\n\r\n", 400, CB_E_BAD_REQUEST },
	{ "\x16\x03\x01\x02garbage\r\n\r\n", 400, CB_E_BAD_REQUEST },
	{ "GET /a HTTP/1.1\r\nA: b\x01\r\n\r\n", 400, CB_E_BAD_REQUEST },
};

/*
 * Guards against requests whose length can be read in two ways, which would
 * let one caller's bytes pass as another request, and against a refusal
 * that runs the request, stays silent or keeps the connection.
 */
START_TEST(refuses_malformed_framing)
{
	const struct refusal *r = &refusals[_i];
	char line[64];

	be_puts(&kn, &sock, r->bytes);
	ck_assert_msg(be_wait_closed(&kn, &sock, 3000), "open: %s", r->bytes);
	snprintf(line, sizeof(line), "HTTP/1.1 %d ", r->status);
	ck_assert_msg(strncmp(sock.in, line, strlen(line)) == 0, "%s%s",
		      r->bytes, sock.in);
	snprintf(line, sizeof(line), "Chivebank-Result: %d\r\n", r->result);
	ck_assert_msg(strstr(sock.in, line) != NULL, "%s", sock.in);
	ck_assert(strstr(sock.in, "Chivebank-Outcome: not-run\r\n"));
	ck_assert(strstr(sock.in, "Connection: close\r\n"));
	snprintf(line, sizeof(line), "{\"error\":{\"code\":%d,\"name\":\"%s\"",
		 r->result, cb_result_name(r->result));
	ck_assert(strstr(sock.in, line));
	ck_assert_int_eq(be_count(&sock, "HTTP/1.1 "), 1);
	ck_assert_int_eq(requests, 0);
}
END_TEST

/* Guards against a body reported complete twice, or before its last byte. */
START_TEST(body_in_pieces_completes_once)
{
	const char *bytes = POST "Content-Length: 10\r\n\r\n0123456789";
	size_t i;

	for (i = 0; i < strlen(bytes); i++) {
		ck_assert_int_eq(requests, 0);
		be_write(&kn, &sock, bytes + i, 1);
	}
	ck_assert(be_wait_text(&kn, &sock, "POST /a 10", 1000));
	be_turn(&kn, 20);
	ck_assert_int_eq(requests, 1);
	be_puts(&kn, &sock, "GET /b HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /b 0", 1000));
	ck_assert_int_eq(requests, 2);
}
END_TEST

/* Guards against bytes behind a body that are appended to it or dropped. */
START_TEST(leftover_bytes_are_the_next_request)
{
	be_puts(&kn, &sock,
		POST "Content-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\n\r\n"
		     "POST /c HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGARBAGE");
	ck_assert(be_wait_closed(&kn, &sock, 3000) || sock.len > 0);
	ck_assert(strstr(sock.in, "POST /a 5"));
	ck_assert(strstr(sock.in, "GET /b 0"));
	ck_assert(strstr(sock.in, "POST /c 2"));
	ck_assert_int_eq(be_count(&sock, "HTTP/1.1 200"), 3);
	ck_assert_int_eq(requests, 3);
}
END_TEST

/* Guards against pipelined requests that overtake or nest in one another. */
START_TEST(pipelined_requests_wait_their_turn)
{
	hold = true;
	be_puts(&kn, &sock, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	be_puts(&kn, &sock, "GET /3 HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	ck_assert_int_eq(requests, 1);
	echo(held);
	ck_assert_int_eq(requests, 1);
	be_turn(&kn, 20);
	ck_assert_int_eq(requests, 2);
	hold = false;
	echo(held);
	ck_assert(be_wait_text(&kn, &sock, "GET /3 0", 1000));
	ck_assert(strstr(sock.in, "GET /1") < strstr(sock.in, "GET /2"));
	ck_assert(strstr(sock.in, "GET /2") < strstr(sock.in, "GET /3"));
}
END_TEST

/* Guards against a caller that fills memory behind a request in progress. */
START_TEST(pipeline_beyond_bound_is_dropped)
{
	GString *many = g_string_new(NULL);

	hold = true;
	while (many->len < 4 * HTTP_PIPELINE_MAX_BYTES)
		g_string_append(many, "GET /x HTTP/1.1\r\n\r\n");
	be_write(&kn, &sock, many->str, many->len);
	be_turn(&kn, 20);
	ck_assert_int_eq(requests, 1);
	hold = false;
	echo(held);
	ck_assert(be_wait_closed(&kn, &sock, 3000));
	ck_assert_int_eq(be_count(&sock, "HTTP/1.1 200"), 1);
	ck_assert(strstr(sock.in, "Connection: close\r\n"));
	g_string_free(many, TRUE);
}
END_TEST

/* Bounds. */

/* Guards against headers and targets without a bound, sent in pieces. */
START_TEST(refuses_headers_over_the_limit)
{
	static const char *const starts[] = { "GET /a HTTP/1.1\r\nA: ", "GET /",
					      "GET /a HTTP/1.1\r\n" };
	const char *piece = _i == 2 ? "A: b\r\n" : "aaaaaaaaaaaaaaaaaaaaaaaa";
	size_t sent = 0;

	be_puts(&kn, &sock, starts[_i]);
	while (!sock.closed && sent < 2 * HTTP_HEADERS_MAX_BYTES) {
		be_puts(&kn, &sock, piece);
		sent += strlen(piece);
		if (strstr(sock.in, "\r\n\r\n"))
			break;
	}
	ck_assert_msg(strncmp(sock.in, "HTTP/1.1 431 ", 13) == 0, "%s",
		      sock.in);
	ck_assert_uint_le(sent, HTTP_HEADERS_MAX_BYTES + 32);
	ck_assert(be_wait_closed(&kn, &sock, 3000));
	ck_assert_int_eq(requests, 0);
}
END_TEST

/* Guards against a refusal that a caller still sending can't read. */
START_TEST(oversized_body_is_refused_while_it_is_sent)
{
	char *body = g_malloc0(HTTP_BODY_MAX_BYTES + 1);
	char *head = g_strdup_printf(POST "Content-Length: %d\r\n\r\n",
				     HTTP_BODY_MAX_BYTES + 1);

	be_puts(&kn, &sock, head);
	be_write(&kn, &sock, body, HTTP_BODY_MAX_BYTES + 1);
	ck_assert(be_wait_text(&kn, &sock, "HTTP/1.1 413 ", 1000));
	ck_assert_uint_eq(server.bodies_bytes, 0);
	g_free(body);
	g_free(head);
}
END_TEST

/* Guards against many callers whose bodies together exhaust the memory. */
START_TEST(bodies_share_one_budget)
{
	struct be_sock other;

	server.bodies_max_bytes = 100;
	be_puts(&kn, &sock, POST "Content-Length: 60\r\n\r\nstart");
	be_connect(&other, server.port);
	be_puts(&kn, &other, POST "Content-Length: 60\r\n\r\n");
	ck_assert(be_wait_text(&kn, &other, "HTTP/1.1 503 ", 1000));
	ck_assert(strstr(other.in, "Retry-After: 1\r\n"));
	be_close(&sock);
	be_close(&other);
	be_turn(&kn, 30);
	ck_assert_uint_eq(server.bodies_bytes, 0);
	be_connect(&other, server.port);
	be_puts(&kn, &other, POST "Content-Length: 3\r\n\r\nabc");
	ck_assert(be_wait_text(&kn, &other, "POST /a 3", 1000));
	be_close(&other);
}
END_TEST

/* Guards against connections without a bound. */
START_TEST(connections_are_bounded)
{
	struct be_sock other;

	server.conns_max = 1;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /a 0", 1000));
	be_connect(&other, server.port);
	ck_assert(be_wait_closed(&kn, &other, 1000));
	ck_assert_int_eq(strncmp(other.in, "HTTP/1.1 503 ", 13), 0);
	ck_assert(strstr(other.in, "Chivebank-Outcome: not-run\r\n"));
	be_close(&other);
	be_close(&sock);
	be_turn(&kn, 30);
	ck_assert_uint_eq(server.conn_count, 0);
	be_connect(&other, server.port);
	be_puts(&kn, &other, "GET /b HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &other, "GET /b 0", 1000));
	be_close(&other);
}
END_TEST

/* Sends all of a request; a reset on the way fails. */
static void send_whole(struct be_sock *to, size_t body_len)
{
	GString *text = g_string_new(NULL);
	size_t sent = 0;
	ssize_t n;

	g_string_printf(text, POST "Content-Length: %zu\r\n\r\n", body_len);
	g_string_set_size(text, text->len + body_len);
	while (sent < text->len) {
		n = send(to->fd, text->str + sent, text->len - sent,
			 MSG_NOSIGNAL);
		ck_assert_msg(n > 0 || errno == EAGAIN, "sent %zu of %zu: %s",
			      sent, text->len, strerror(errno));
		sent += n > 0 ? (size_t)n : 0;
		if (n < 0)
			be_turn(&kn, 1);
	}
	g_string_free(text, TRUE);
}

/* Reads until the server ends the connection, which must not be a reset. */
static void expect_busy(struct be_sock *from)
{
	int64_t end_us = kn_now_us() + USEC_PER_SEC;
	ssize_t n;

	for (;;) {
		n = read(from->fd, from->in + from->len,
			 sizeof(from->in) - 1 - from->len);
		if (n == 0)
			break;
		ck_assert_msg(n > 0 || errno == EAGAIN, "%s", strerror(errno));
		ck_assert_int_lt(kn_now_us(), end_us);
		from->len += n > 0 ? (size_t)n : 0;
		be_turn(&kn, 1);
	}
	ck_assert_int_eq(strncmp(from->in, "HTTP/1.1 503 ", 13), 0);
	ck_assert_ptr_nonnull(strstr(from->in, "Retry-After: 1\r\n"));
}

static const size_t body_lens[] = { 4, 900000 };

/* The request has been sent before the connection is accepted. */
START_TEST(caller_beyond_the_limit_is_answered_without_a_reset)
{
	struct be_sock other;

	server.conns_max = 1;
	be_turn(&kn, 10);
	be_connect(&other, server.port);
	send_whole(&other, body_lens[_i]);
	expect_busy(&other);
	be_close(&other);
	ck_assert_int_eq(requests, 0);
}
END_TEST

START_TEST(refused_callers_take_no_room_of_others)
{
	struct be_sock refused, other;

	server.conns_max = 1;
	be_turn(&kn, 10);
	be_connect(&refused, server.port);
	ck_assert(be_wait_text(&kn, &refused, "HTTP/1.1 503 ", 1000));
	be_close(&sock);
	be_turn(&kn, 20);
	be_connect(&other, server.port);
	be_puts(&kn, &other, "GET /b HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &other, "GET /b 0", 1000));
	be_close(&other);
	be_close(&refused);
}
END_TEST

/* The limit of those that are answered at leisure is reached too. */
START_TEST(callers_far_beyond_the_limit_are_answered_without_a_reset)
{
	struct be_sock *others = g_new0(struct be_sock, HTTP_REFUSED_MAX + 4);
	int i;

	server.conns_max = 1;
	be_turn(&kn, 10);
	for (i = 0; i < HTTP_REFUSED_MAX + 4; i++) {
		be_connect(&others[i], server.port);
		send_whole(&others[i], 4);
	}
	for (i = 0; i < HTTP_REFUSED_MAX + 4; i++)
		expect_busy(&others[i]);
	ck_assert_uint_le(server.conn_count, 1 + HTTP_REFUSED_MAX);
	for (i = 0; i < HTTP_REFUSED_MAX + 4; i++)
		be_close(&others[i]);
	g_free(others);
}
END_TEST

START_TEST(caller_without_a_descriptor_is_answered_without_a_reset)
{
	struct rlimit limit, saved;
	struct be_sock other;

	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &saved), 0);
	be_turn(&kn, 10);
	be_connect(&other, server.port);
	send_whole(&other, 4);
	limit = saved;
	limit.rlim_cur = (rlim_t)dup(0);
	close((int)limit.rlim_cur);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	expect_busy(&other);
	setrlimit(RLIMIT_NOFILE, &saved);
	be_close(&other);
}
END_TEST

/*
 * Guards against a loop that spins on a full descriptor table: the queue of
 * connections must be emptied and the callers told.
 */
START_TEST(connections_without_descriptors_are_refused)
{
	struct rlimit limit, saved;
	struct be_sock more[3];
	int i;

	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &saved), 0);
	be_turn(&kn, 10);
	for (i = 0; i < 3; i++)
		be_connect(&more[i], server.port);
	limit = saved;
	limit.rlim_cur = (rlim_t)dup(0);
	close((int)limit.rlim_cur);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	for (i = 0; i < 3; i++) {
		ck_assert(be_wait_closed(&kn, &more[i], 1000));
		ck_assert_int_eq(strncmp(more[i].in, "HTTP/1.1 503 ", 13), 0);
		be_close(&more[i]);
	}
	setrlimit(RLIMIT_NOFILE, &saved);
	be_turn(&kn, 10);
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /a 0", 1000));
}
END_TEST

/* Guards against a finished server that goes on accepting. */
START_TEST(finished_server_refuses_connections)
{
	struct be_sock other;
	int port = server.port;

	hold = true;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_finish(&server);
	ck_assert_int_eq(gones, 1);
	be_connect(&other, port);
	ck_assert_int_lt(other.fd, 0);
	be_turn(&kn, 20);
	ck_assert(be_wait_closed(&kn, &sock, 1000));
	ck_assert(hs_init(&server, &kn, &ops, "127.0.0.1", port, NULL));
	ck_assert_int_eq(server.port, port);
}
END_TEST

/* Time. */

/* Guards against senders that keep a connection by sending slowly. */
START_TEST(slow_senders_are_refused)
{
	static const char *const starts[] = { "GET /a HTTP/1.1\r\nA:", POST
					      "Content-Length: 100\r\n\r\n" };
	int i;

	server.header_timeout_ms = 300;
	server.body_timeout_ms = 300;
	be_puts(&kn, &sock, starts[_i]);
	for (i = 0; i < 20 && sock.len == 0; i++) {
		be_puts(&kn, &sock, "b");
		be_turn(&kn, 50);
	}
	ck_assert_int_lt(i, 15);
	ck_assert_int_eq(strncmp(sock.in, "HTTP/1.1 408 ", 13), 0);
	ck_assert(be_wait_closed(&kn, &sock, 3000));
	ck_assert_int_eq(requests, 0);
}
END_TEST

/* Guards against idle connections that are kept for ever. */
START_TEST(idle_connections_are_closed)
{
	struct be_sock other;

	server.idle_timeout_ms = 200;
	be_connect(&other, server.port);
	be_puts(&kn, &other, "GET /a HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &other, "GET /a 0", 1000));
	ck_assert(be_wait_closed(&kn, &other, 1000));
	ck_assert_int_eq(be_count(&other, "HTTP/1.1"), 1);
	be_close(&other);
}
END_TEST

/* The process gets no processor from before the request to after the time-out. */
START_TEST(request_that_waits_for_the_process_is_not_timed_out)
{
	static const char *const parts[] = {
		"GET /a HTTP/1.1\r\n\r\n",
		POST "Content-Length: 2\r\n\r\na|b",
		"GET /a HTTP/1.1\r\nA: b|\r\n\r\n",
	};
	char **part = g_strsplit(parts[_i], "|", 2);

	server.idle_timeout_ms = 100;
	server.header_timeout_ms = 100;
	server.body_timeout_ms = 100;
	be_puts(&kn, &sock, "GET /0 HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /0 0", 1000));
	if (part[1])
		be_puts(&kn, &sock, part[0]);
	be_turn(&kn, 20);
	ck_assert_int_gt(send(sock.fd, part[1] ? part[1] : part[0],
			      strlen(part[1] ? part[1] : part[0]), 0),
			 0);
	usleep(300 * USEC_PER_MSEC);
	ck_assert(be_wait_text(&kn, &sock, " /a ", 1000));
	ck_assert_int_eq(requests, 2);
	g_strfreev(part);
}
END_TEST

/* The idle time may end in the same round in which the request is read. */
START_TEST(request_at_the_end_of_the_idle_time_is_answered)
{
	server.idle_timeout_ms = 100;
	be_puts(&kn, &sock, "GET /0 HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /0 0", 1000));
	ck_assert_int_gt(send(sock.fd, "GET /a HTTP/1.1\r\n\r\n", 19, 0), 0);
	usleep((unsigned int)((80 + 10 * _i) * USEC_PER_MSEC));
	ck_assert(be_wait_text(&kn, &sock, "GET /a 0", 1000));
}
END_TEST

/* Guards against a caller that doesn't read and so holds its reply. */
START_TEST(unread_reply_is_given_up)
{
	size_t len = 16 * 1024 * 1024;
	char *body = g_malloc0(len);

	server.body_timeout_ms = 300;
	hold = true;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_reply(held, 200, NULL, body, len);
	g_free(body);
	ck_assert_uint_eq(server.conn_count, 1);
	be_turn(&kn, 600);
	ck_assert_uint_eq(server.conn_count, 0);
	ck_assert_int_eq(gones, 0);
}
END_TEST

/* Callers that leave. */

/* Guards against replies to callers that have closed or half-closed. */
START_TEST(gone_is_reported_once)
{
	hold = true;
	be_puts(&kn, &sock, POST "Content-Length: 2\r\n\r\nab");
	be_turn(&kn, 20);
	ck_assert_int_eq(requests, 1);
	if (_i == 0)
		be_close(&sock);
	else
		shutdown(sock.fd, SHUT_WR);
	be_turn(&kn, 50);
	ck_assert_int_eq(gones, 1);
	ck_assert_uint_eq(server.conn_count, 0);
	ck_assert_uint_eq(server.bodies_bytes, 0);
}
END_TEST

/* Guards against an unfinished request that is run when its caller leaves. */
START_TEST(unfinished_request_is_dropped)
{
	be_puts(&kn, &sock, POST "Content-Length: 5\r\n\r\nhell");
	be_close(&sock);
	be_turn(&kn, 50);
	ck_assert_int_eq(requests + gones, 0);
	ck_assert_uint_eq(server.conn_count, 0);
}
END_TEST

/* Replies. */

/* Guards against a large reply that loses bytes, or is cut off by a stop. */
START_TEST(large_reply_is_whole)
{
	size_t len = 8 * 1024 * 1024, got = 0, i;
	char *body = g_malloc(len);

	for (i = 0; i < len; i++)
		body[i] = (char)('a' + i % 23);
	hold = true;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_reply(held, 200, NULL, body, len);
	ck_assert_uint_eq(hs_active(&server), 1);
	ck_assert(be_wait_text(&kn, &sock, "\r\n\r\n", 1000));
	ck_assert(strstr(sock.in, "Content-Length: 8388608\r\n"));
	i = (size_t)(strstr(sock.in, "\r\n\r\n") + 4 - sock.in);
	while (got < len && !sock.closed) {
		ck_assert_uint_le(got + sock.len - i, len);
		ck_assert_int_eq(memcmp(sock.in + i, body + got, sock.len - i),
				 0);
		got += sock.len - i;
		sock.len = i = 0;
		be_wait_text(&kn, &sock, "never", 2);
	}
	ck_assert_uint_eq(got, len);
	ck_assert_uint_eq(hs_active(&server), 0);
	g_free(body);
}
END_TEST

/* Guards against replies whose headers forge others or miss their length. */
START_TEST(reply_headers_are_clean)
{
	struct http_headers headers;

	http_headers_init(&headers);
	http_headers_add(&headers, "X-Good", "1");
	http_headers_add(&headers, "X-Bad", "1\r\nX-Forged: 2");
	http_headers_add(&headers, "Transfer-Encoding", "chunked");
	http_headers_add(&headers, "Content-Length", "77");
	hold = true;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_reply(held, 200, &headers, "body", 4);
	ck_assert(be_wait_text(&kn, &sock, "\r\n\r\nbody", 1000));
	ck_assert(strstr(sock.in, "X-Good: 1\r\n"));
	ck_assert_ptr_null(strstr(sock.in, "Forged"));
	ck_assert_ptr_null(strstr(sock.in, "Transfer-Encoding"));
	ck_assert_int_eq(be_count(&sock, "Content-Length:"), 1);
	be_puts(&kn, &sock, "HEAD /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	sock.len = 0;
	hs_reply(held, 200, &headers, NULL, 0);
	ck_assert(be_wait_text(&kn, &sock, "Content-Length: 77\r\n", 1000));
	http_headers_finish(&headers);
}
END_TEST

/* Guards against a kept connection after close, HTTP/1.0 or a drain. */
START_TEST(close_and_drain_end_the_connection)
{
	static const char *const last[] = {
		"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
		"GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n"
	};

	be_puts(&kn, &sock, "GET /0 HTTP/1.1\r\n\r\n");
	ck_assert(be_wait_text(&kn, &sock, "GET /0 0", 1000));
	ck_assert_ptr_null(strstr(sock.in, "Connection: close"));
	if (_i == 2)
		hs_drain(&server);
	be_puts(&kn, &sock, last[_i]);
	ck_assert(be_wait_closed(&kn, &sock, 1000));
	ck_assert(strstr(sock.in, "GET /a 0"));
	ck_assert(strstr(sock.in, "Connection: close\r\n"));
}
END_TEST

START_TEST(drain_answers_a_request_that_was_not_read_yet)
{
	hold = true;
	be_puts(&kn, &sock, "GET /0 HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_drain(&server);
	ck_assert_int_gt(send(sock.fd, "GET /1 HTTP/1.1\r\n\r\n", 19, 0), 0);
	hold = false;
	echo(held);
	ck_assert(be_wait_closed(&kn, &sock, 1000));
	ck_assert(strstr(sock.in, "GET /0 0"));
	ck_assert(strstr(sock.in, "GET /1 0"));
}
END_TEST

/* Some callers end a body with an empty line. */
START_TEST(empty_line_behind_a_request_holds_up_no_drain)
{
	static const char *const pieces[] = { "ab\r\n", "ab" };

	hs_drain(&server);
	be_puts(&kn, &sock, POST "Content-Length: 2\r\n\r\n");
	be_puts(&kn, &sock, pieces[_i]);
	if (_i == 1)
		be_puts(&kn, &sock, "\r\n");
	be_turn(&kn, 20);
	ck_assert_uint_eq(hs_active(&server), 1); /* lingers */
	ck_assert(strstr(sock.in, "Connection: close\r\n"));
}
END_TEST

START_TEST(drain_answers_the_requests_that_were_read_together)
{
	hold = _i == 1;
	hs_drain(&server);
	be_puts(&kn, &sock, "GET /0 HTTP/1.1\r\n\r\nGET /1 HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	if (hold) {
		hold = false;
		echo(held);
	}
	ck_assert(be_wait_closed(&kn, &sock, 1000));
	ck_assert(strstr(sock.in, "GET /0 0"));
	ck_assert(strstr(sock.in, "GET /1 0"));
	ck_assert_int_eq(be_count(&sock, "Connection: close\r\n"), 1);
}
END_TEST

/* Guards against headers that vanish, or that every caller can pile up. */
START_TEST(keeps_listed_headers_only)
{
	hold = true;
	hs_keep_header(&server, "X-Mine");
	be_puts(&kn, &sock,
		"GET /a HTTP/1.1\r\nAccept:\r\nIDEMPOTENCY-KEY: k 1\r\nx-mine: 2\r\n"
		"X-Other: 3\r\nChivebank-Customer:c\r\n\r\n");
	be_turn(&kn, 20);
	ck_assert_str_eq(hs_header(held, "Idempotency-Key"), "k 1");
	ck_assert_str_eq(hs_header(held, "Accept"), "");
	ck_assert_str_eq(hs_header(held, "X-Mine"), "2");
	ck_assert_str_eq(hs_header(held, "chivebank-customer"), "c");
	ck_assert_ptr_null(hs_header(held, "X-Other"));
	hs_reply_error(held, CB_E_UPSTREAM_LOST, NULL, 0);
	ck_assert(be_wait_text(&kn, &sock, "HTTP/1.1 502 ", 1000));
	ck_assert(strstr(sock.in, "Chivebank-Outcome: unknown\r\n"));
}
END_TEST

/* A refusal that is said not to have run may be repeated elsewhere. */
START_TEST(outcome_of_a_time_out_is_unknown)
{
	static const int codes[] = { CB_E_TIMEOUT, CB_E_PEER_PROTOCOL,
				     CB_E_CHANGE_UNKNOWN, CB_E_UPSTREAM_LOST };

	hold = true;
	be_puts(&kn, &sock, "GET /a HTTP/1.1\r\n\r\n");
	be_turn(&kn, 20);
	hs_reply_error(held, codes[_i], NULL, 0);
	ck_assert(be_wait_text(&kn, &sock, "Chivebank-Outcome: unknown\r\n",
			       1000));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("server");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 20);
	tcase_add_loop_test(tc, refuses_malformed_framing, 0,
			    (int)G_N_ELEMENTS(refusals));
	tcase_add_test(tc, body_in_pieces_completes_once);
	tcase_add_test(tc, leftover_bytes_are_the_next_request);
	tcase_add_test(tc, pipelined_requests_wait_their_turn);
	tcase_add_test(tc, pipeline_beyond_bound_is_dropped);
	tcase_add_loop_test(tc, refuses_headers_over_the_limit, 0, 3);
	tcase_add_test(tc, oversized_body_is_refused_while_it_is_sent);
	tcase_add_test(tc, bodies_share_one_budget);
	tcase_add_test(tc, connections_are_bounded);
	tcase_add_loop_test(tc,
			    caller_beyond_the_limit_is_answered_without_a_reset,
			    0, G_N_ELEMENTS(body_lens));
	tcase_add_test(tc, refused_callers_take_no_room_of_others);
	tcase_add_test(
		tc, callers_far_beyond_the_limit_are_answered_without_a_reset);
	tcase_add_test(tc,
		       caller_without_a_descriptor_is_answered_without_a_reset);
	tcase_add_test(tc, connections_without_descriptors_are_refused);
	tcase_add_test(tc, finished_server_refuses_connections);
	tcase_add_loop_test(tc, slow_senders_are_refused, 0, 2);
	tcase_add_test(tc, idle_connections_are_closed);
	tcase_add_loop_test(
		tc, request_that_waits_for_the_process_is_not_timed_out, 0, 3);
	tcase_add_loop_test(tc, request_at_the_end_of_the_idle_time_is_answered,
			    0, 8);
	tcase_add_test(tc, unread_reply_is_given_up);
	tcase_add_loop_test(tc, gone_is_reported_once, 0, 2);
	tcase_add_test(tc, unfinished_request_is_dropped);
	tcase_add_test(tc, large_reply_is_whole);
	tcase_add_test(tc, reply_headers_are_clean);
	tcase_add_loop_test(tc, close_and_drain_end_the_connection, 0, 3);
	tcase_add_loop_test(
		tc, drain_answers_the_requests_that_were_read_together, 0, 2);
	tcase_add_test(tc, drain_answers_a_request_that_was_not_read_yet);
	tcase_add_loop_test(tc, empty_line_behind_a_request_holds_up_no_drain,
			    0, 2);
	tcase_add_test(tc, keeps_listed_headers_only);
	tcase_add_loop_test(tc, outcome_of_a_time_out_is_unknown, 0, 4);
	return run_case("hs", tc);
}
