#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "tests/standins/be_sock.h"
#include "wire/hc.h"
#include "wire/hs.h"
#include "tests/unit/run.h"

/* Fixture: a pool against a raw listener, and against hs. */

#define CALLS 8

static struct kn kn;
static struct hc_pool pool;
static struct hc_call calls[CALLS];
static struct be_sock peer;
static struct hs_server server;
static int listener;
static int ended;
static bool hold;
static struct hs_request *held[CALLS];
static int held_count;

static void on_done(struct hc_call *call)
{
	ended++;
}

static void on_request(struct hs_server *s, struct hs_request *req)
{
	if (hold)
		held[held_count++] = req;
	else
		hs_reply(req, 200, NULL, req->target, strlen(req->target));
}

static const struct hs_ops ops = { .request = on_request };

static void setup(void)
{
	int port = 0;

	ended = held_count = 0;
	hold = false;
	ck_assert(kn_init(&kn, NULL));
	listener = be_listen(&port);
	ck_assert_int_ge(listener, 0);
	hc_pool_init(&pool, &kn, "127.0.0.1", port, 4);
	peer.fd = -1;
	ck_assert(hs_init(&server, &kn, &ops, "127.0.0.1", 0, NULL));
}

static void teardown(void)
{
	int i;

	hc_pool_finish(&pool);
	for (i = 0; i < CALLS; i++)
		hc_call_finish(&calls[i]);
	be_close(&peer);
	close(listener);
	hs_finish(&server);
	kn_finish(&kn);
}

static bool start(int i, const char *method, const char *target, int timeout_ms)
{
	return hc_call_start(&calls[i], &pool, method, target, NULL, NULL, 0,
			     timeout_ms, on_done);
}

static void wait_ended(int n, int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	while (ended < n && kn_now_us() < end_us)
		be_turn(&kn, 1);
	ck_assert_int_eq(ended, n);
}

static void use_server(void)
{
	int unused = pool.port;

	ck_assert_int_ne(unused, server.port);
	pool.port = server.port;
}

static void expect_body(int i, const char *text)
{
	ck_assert_int_eq(calls[i].result, CB_OK);
	ck_assert_uint_eq(calls[i].body_len, strlen(text));
	if (calls[i].body_len > 0)
		ck_assert_int_eq(memcmp(calls[i].body, text, strlen(text)), 0);
}

/* Replies. */

struct reply {
	const char *method;
	const char *bytes;
	bool close; /* the server closes after the bytes */
	int result;
	const char *body;
	bool reusable;
};

#define OK "HTTP/1.1 200 OK\r\n"
#define LOST CB_E_UPSTREAM_LOST
#define TRUNC CB_E_UPSTREAM_TRUNCATED
#define PROTO CB_E_UPSTREAM_PROTOCOL

static const struct reply replies[] = {
	{ "GET", OK "Content-Length: 5\r\n\r\nhello", false, CB_OK, "hello",
	  true },
	{ "GET", OK "Content-Length: 0\r\n\r\n", false, CB_OK, "", true },
	{ "GET",
	  OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n"
	     "0\r\nX-Trailer: 1\r\n\r\n",
	  false, CB_OK, "hello", true },
	{ "HEAD", OK "Content-Length: 5\r\n\r\n", false, CB_OK, "", true },
	{ "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, CB_OK, "", true },
	{ "GET", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", false, CB_OK,
	  "", true },
	{ "GET",
	  "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nab",
	  false, CB_OK, "ab", true },
	/* Whole, but the connection must not be used again. */
	{ "GET", OK "Content-Length: 2\r\nConnection: close\r\n\r\nab", false,
	  CB_OK, "ab", false },
	{ "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", false, CB_OK,
	  "ab", false },
	{ "GET", OK "Content-Length: 2\r\n\r\nabEXTRA", false, CB_OK, "ab",
	  false },
	{ "GET", OK "Content-Length: 0\r\n\r\n" OK "Content-Length: 0\r\n\r\n",
	  false, CB_OK, "", false },
	/* Cut off at each stage. */
	{ "GET", "", true, LOST, NULL, false },
	{ "GET", "HTTP/1.1 20", true, TRUNC, NULL, false },
	{ "GET", OK "Content-Length: 5\r\n\r\nhell", true, TRUNC, NULL, false },
	{ "GET", OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true,
	  TRUNC, NULL, false },
	{ "GET", OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
	  true, TRUNC, NULL, false },
	{ "GET", OK "\r\nhello", true, TRUNC, NULL, false },
	{ "GET", OK "Transfer-Encoding: gzip\r\n\r\nhello", true, TRUNC, NULL,
	  false },
	{ "GET", "HTTP/1.1 100 Continue\r\n\r\n", true, TRUNC, NULL, false },
	/* Malformed or too large. */
	{ "GET", "nonsense\r\n\r\n", false, PROTO, NULL, false },
	{ "GET", OK "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
	  false, PROTO, NULL, false },
	{ "GET", OK "Content-Length: -5\r\n\r\nhello", false, PROTO, NULL,
	  false },
	{ "GET", OK "Content-Length : 5\r\n\r\nhello", false, PROTO, NULL,
	  false },
	{ "GET", "HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n",
	  false, PROTO, NULL, false },
	{ "GET", OK "Content-Length: 1048577\r\n\r\n", false,
	  CB_E_UPSTREAM_TOO_LARGE, NULL, false },
	{ "GET",
	  OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	     "FFFFFFF\r\nx",
	  true, TRUNC, NULL, false },
};

/*
 * Guards against a part of a reply passed as the whole, a reply passed
 * after its length was ambiguous, and reuse of a connection in doubt.
 */
START_TEST(reply_is_whole_or_an_error)
{
	const struct reply *r = &replies[_i];
	size_t i;

	ck_assert(start(0, r->method, "/a?b=c", 2000));
	ck_assert(!calls[0].sent);
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	ck_assert(be_wait_text(&kn, &peer, "\r\n\r\n", 1000));
	ck_assert(calls[0].sent);
	ck_assert(strstr(peer.in, " /a?b=c HTTP/1.1\r\nHost: 127.0.0.1:"));
	/* Half of them byte by byte, so that no boundary is special. */
	if (_i % 2)
		for (i = 0; i < strlen(r->bytes); i++)
			be_write(&kn, &peer, r->bytes + i, 1);
	else
		be_puts(&kn, &peer, r->bytes);
	if (r->close)
		be_close(&peer);
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].result, r->result);
	ck_assert(calls[0].sent);
	if (r->result == CB_OK)
		expect_body(0, r->body);
	be_turn(&kn, 10);
	if (r->reusable) {
		ck_assert(!list_empty(&pool.idle));
	} else {
		ck_assert_uint_eq(pool.conns, 0);
		ck_assert(r->close || be_wait_closed(&kn, &peer, 1000));
	}
}
END_TEST

/* Guards against a chunked reply that grows without a bound. */
START_TEST(chunked_reply_is_bounded)
{
	static const char chunk[] = "8\r\n12345678\r\n";

	pool.body_max_bytes = 100;
	ck_assert(start(0, "GET", "/", 2000));
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	be_puts(&kn, &peer, OK "Transfer-Encoding: chunked\r\n\r\n");
	while (ended == 0 && !peer.closed)
		be_puts(&kn, &peer, chunk);
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_TOO_LARGE);
	ck_assert_uint_le(calls[0].body_len, 100);
}
END_TEST

/* Connections. */

/* Guards against a new connection for each request. */
START_TEST(connections_are_reused)
{
	char target[32];
	int i;

	use_server();
	for (i = 0; i < 50; i++) {
		snprintf(target, sizeof(target), "/%d", i);
		ck_assert(start(i % CALLS, "POST", target, 2000));
		wait_ended(i + 1, 1000);
		expect_body(i % CALLS, target);
		hc_call_finish(&calls[i % CALLS]);
	}
	ck_assert_uint_eq(server.accepted, 1);
}
END_TEST

/* Guards against more connections than allowed, and against mixed replies. */
START_TEST(connections_are_bounded)
{
	char target[32];
	int i;

	use_server();
	hold = true;
	for (i = 0; i < 4; i++) {
		snprintf(target, sizeof(target), "/%d", i);
		ck_assert(start(i, "GET", target, 2000));
	}
	ck_assert(!start(4, "GET", "/4", 2000));
	be_turn(&kn, 50);
	ck_assert_int_eq(held_count, 4);
	ck_assert_uint_eq(server.accepted, 4);
	for (i = 3; i >= 0; i--)
		hs_reply(held[i], 200, NULL, held[i]->target,
			 strlen(held[i]->target));
	wait_ended(4, 1000);
	for (i = 0; i < 4; i++) {
		snprintf(target, sizeof(target), "/%d", i);
		expect_body(i, target);
	}
	hold = false;
	ck_assert(start(4, "GET", "/4", 2000));
	wait_ended(5, 1000);
	ck_assert_uint_eq(server.accepted, 4);
}
END_TEST

static void restart(struct hc_call *call)
{
	ended++;
	hc_call_finish(call);
	if (ended < 20)
		ck_assert(hc_call_start(call, call->pool, "GET", "/", NULL,
					NULL, 0, 1000, restart));
}

/* Guards against a pool that can't be used from within done(). */
START_TEST(next_call_starts_within_done)
{
	use_server();
	ck_assert(hc_call_start(&calls[0], &pool, "GET", "/", NULL, NULL, 0,
				1000, restart));
	wait_ended(20, 2000);
	ck_assert_uint_eq(server.accepted, 1);
}
END_TEST

/* Guards against use of an idle connection that the server has closed. */
START_TEST(closed_idle_connection_is_not_used)
{
	use_server();
	server.idle_timeout_ms = 100;
	server.sweep_ms = 50;
	ck_assert(start(0, "GET", "/0", 1000));
	wait_ended(1, 1000);
	be_turn(&kn, 400);
	ck_assert_uint_eq(pool.conns, 0);
	ck_assert(start(1, "GET", "/1", 1000));
	wait_ended(2, 1000);
	expect_body(1, "/1");
	ck_assert_uint_eq(server.accepted, 2);
}
END_TEST

/*
 * Guards against a loss on a connection that went stale unnoticed: the
 * request may have reached the server, so it must be reported as sent.
 */
START_TEST(stale_connection_is_reported_as_sent)
{
	ck_assert(start(0, "GET", "/", 1000));
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	ck_assert(be_wait_text(&kn, &peer, "\r\n\r\n", 1000));
	be_puts(&kn, &peer, OK "Content-Length: 0\r\n\r\n");
	wait_ended(1, 1000);
	be_close(&peer);
	/* The loop has not run since, so the pool can't know. */
	ck_assert(start(1, "POST", "/", 1000));
	wait_ended(2, 1000);
	ck_assert_int_eq(calls[1].result, CB_E_UPSTREAM_LOST);
	ck_assert(calls[1].sent);
}
END_TEST

/* Failures. */

/* Guards against a refused connection that looks as if it had been used. */
START_TEST(refused_connection_was_not_sent)
{
	close(listener);
	ck_assert(start(0, "POST", "/", 1000));
	ck_assert_int_eq(ended, 0);
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_LOST);
	ck_assert(!calls[0].sent);
	ck_assert_uint_eq(pool.conns, 0);
	listener = be_listen(&pool.port);
}
END_TEST

/* Guards against a connection attempt that lasts as long as the call may. */
START_TEST(connecting_has_its_own_timeout)
{
	struct be_sock fill[4];
	int i, full, port;

	/* A full accept queue leaves further connections unanswered. */
	full = be_listen(&port);
	ck_assert_int_eq(listen(full, 0), 0);
	pool.port = port;
	pool.connect_timeout_ms = 200;
	be_connect(&fill[0], port);
	for (i = 0; i < 3; i++)
		ck_assert(start(i, "POST", "/", 5000));
	wait_ended(3, 1500);
	for (i = 0; i < 3; i++) {
		ck_assert_int_eq(calls[i].result, CB_E_UPSTREAM_TIMEOUT);
		ck_assert(!calls[i].sent);
	}
	be_close(&fill[0]);
	close(full);
}
END_TEST

/* Guards against a late reply delivered to a later request. */
/* Guards against orders that a process which was paused sends too late. */
START_TEST(nothing_is_sent_after_the_timeout)
{
	use_server();
	hold = true;
	ck_assert(start(0, "GET", "/", 20));
	usleep(60 * USEC_PER_MSEC);
	wait_ended(1, 500);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_TIMEOUT);
	ck_assert(!calls[0].sent);
	be_turn(&kn, 50);
	ck_assert_int_eq(held_count, 0);
}
END_TEST

START_TEST(late_reply_is_dropped)
{
	struct be_sock second;

	ck_assert(start(0, "GET", "/0", 100));
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	ck_assert(be_wait_text(&kn, &peer, "\r\n\r\n", 1000));
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_TIMEOUT);
	ck_assert(calls[0].sent);
	ck_assert(start(1, "GET", "/1", 1000));
	be_puts(&kn, &peer, OK "Content-Length: 4\r\n\r\nlate");
	ck_assert(be_accept(&kn, listener, &second, 1000));
	ck_assert(be_wait_text(&kn, &second, "\r\n\r\n", 1000));
	be_puts(&kn, &second, OK "Content-Length: 2\r\n\r\n/1");
	wait_ended(2, 1000);
	expect_body(1, "/1");
	ck_assert(be_wait_closed(&kn, &peer, 1000));
	be_close(&second);
}
END_TEST

/* Guards against done() after cancel, and reuse of its connection. */
START_TEST(cancel_closes_the_connection)
{
	ck_assert(start(0, "GET", "/0", 1000));
	if (_i == 1) {
		ck_assert(be_accept(&kn, listener, &peer, 1000));
		ck_assert(be_wait_text(&kn, &peer, "\r\n\r\n", 1000));
		be_puts(&kn, &peer, OK "Content-Length: 4\r\n\r\nha");
		be_turn(&kn, 10);
	}
	hc_call_cancel(&calls[0]);
	ck_assert_uint_eq(pool.conns, 0);
	be_turn(&kn, 50);
	ck_assert_int_eq(ended, 0);
	if (_i == 0)
		ck_assert(be_accept(&kn, listener, &peer, 1000));
	ck_assert(be_wait_closed(&kn, &peer, 1000));
}
END_TEST

/* Reads what has arrived, up to the end of the connection or for wait_ms. */
static size_t read_rest(int fd, int wait_ms, bool *reset)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;
	static char in[65536];
	size_t got = 0;
	ssize_t n = 1;

	while (n != 0 && kn_now_us() < end_us) {
		be_turn(&kn, 1);
		n = recv(fd, in, sizeof(in), MSG_DONTWAIT);
		if (n > 0)
			got += (size_t)n;
		else if (n < 0 && errno != EAGAIN)
			break;
	}
	*reset = n < 0 && errno == ECONNRESET;
	return got;
}

/*
 * Guards against a request that is given up, or whose sender ends, and is
 * carried out late: the kernel would go on sending what it has taken. The full
 * buffer of a receiver that does not read stands for a cut of the network.
 */
START_TEST(given_up_request_does_not_arrive)
{
	size_t len = 256 * 1024;
	char *body = g_malloc0(len);
	int small = 4096;
	bool reset;

	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	ck_assert(hc_call_start(&calls[0], &pool, "POST", "/", NULL, body, len,
				200, on_done));
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	if (_i == 0)
		wait_ended(1, 1000);
	else if (_i == 1)
		hc_call_cancel(&calls[0]);
	else
		hc_pool_finish(&pool);
	be_turn(&kn, 20);
	ck_assert_uint_lt(read_rest(peer.fd, 1000, &reset), len / 2);
	ck_assert(reset);
	g_free(body);
}
END_TEST

static void on_slow_request(struct hs_server *s, struct hs_request *req)
{
	g_usleep(200 * USEC_PER_MSEC);
	hs_reply(req, 200, NULL, "/", 1);
}

/*
 * Guards against a request that leaves after its time, when this process was
 * paused: sockets are served before timers.
 */
START_TEST(nothing_is_sent_after_the_deadline)
{
	static const struct hs_ops slow = { .request = on_slow_request };
	struct hc_pool other;
	bool reset;

	server.ops = &slow;
	hc_pool_init(&other, &kn, "127.0.0.1", server.port, 1);
	/* The pause begins while the connection is ready to be written to. */
	ck_assert(hc_call_start(&calls[1], &other, "GET", "/", NULL, NULL, 0,
				1000, on_done));
	wait_ended(1, 1000);
	ck_assert(hc_call_start(&calls[2], &other, "GET", "/", NULL, NULL, 0,
				1000, on_done));
	ck_assert(start(0, "POST", "/late", 100));
	ck_assert(be_accept(&kn, listener, &peer, 1000));
	wait_ended(3, 1000);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_TIMEOUT);
	ck_assert(!calls[0].sent);
	ck_assert_uint_eq(read_rest(peer.fd, 200, &reset), 0);
	hc_pool_finish(&other);
}
END_TEST

/* Guards against calls that never end when their pool is finished. */
START_TEST(finish_ends_calls)
{
	ck_assert(start(0, "GET", "/0", 1000));
	ck_assert(start(1, "GET", "/1", 1000));
	be_turn(&kn, 20);
	hc_pool_finish(&pool);
	ck_assert_int_eq(ended, 2);
	ck_assert_int_eq(calls[0].result, CB_E_UPSTREAM_LOST);
	ck_assert(!start(2, "GET", "/", 1000));
}
END_TEST

/* Guards against a large request that the kernel takes in parts. */
START_TEST(large_request_is_whole)
{
	size_t len = 1024 * 1024, i;
	char *body = g_malloc(len);
	struct http_headers headers;

	memset(body, 'x', len);
	use_server();
	hold = true;
	http_headers_init(&headers);
	http_headers_add(&headers, "Idempotency-Key", "k");
	http_headers_add(&headers, "Content-Length", "3");
	http_headers_add(&headers, "Accept", "a\r\nX: y");
	ck_assert(hc_call_start(&calls[0], &pool, "PUT", "/", &headers, body,
				len, 2000, on_done));
	for (i = 0; i < 200 && held_count == 0; i++)
		be_turn(&kn, 5);
	ck_assert_int_eq(held_count, 1);
	ck_assert_uint_eq(held[0]->body_len, len);
	ck_assert_int_eq(memcmp(held[0]->body, body, len), 0);
	ck_assert_str_eq(hs_header(held[0], "Idempotency-Key"), "k");
	ck_assert_ptr_null(hs_header(held[0], "Accept"));
	hs_reply(held[0], 200, NULL, "/", 1);
	wait_ended(1, 1000);
	expect_body(0, "/");
	http_headers_finish(&headers);
	g_free(body);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("client");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 20);
	tcase_add_loop_test(tc, reply_is_whole_or_an_error, 0,
			    (int)G_N_ELEMENTS(replies));
	tcase_add_test(tc, chunked_reply_is_bounded);
	tcase_add_test(tc, connections_are_reused);
	tcase_add_test(tc, connections_are_bounded);
	tcase_add_test(tc, next_call_starts_within_done);
	tcase_add_test(tc, closed_idle_connection_is_not_used);
	tcase_add_test(tc, stale_connection_is_reported_as_sent);
	tcase_add_test(tc, refused_connection_was_not_sent);
	tcase_add_test(tc, connecting_has_its_own_timeout);
	tcase_add_test(tc, nothing_is_sent_after_the_timeout);
	tcase_add_test(tc, late_reply_is_dropped);
	tcase_add_loop_test(tc, cancel_closes_the_connection, 0, 2);
	tcase_add_loop_test(tc, given_up_request_does_not_arrive, 0, 3);
	tcase_add_test(tc, nothing_is_sent_after_the_deadline);
	tcase_add_test(tc, finish_ends_calls);
	tcase_add_test(tc, large_request_is_whole);
	return run_case("hc", tc);
}
