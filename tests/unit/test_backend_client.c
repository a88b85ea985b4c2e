#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "daemon/requests/backend_client.h"
#include "tests/standins/be_server.h"
#include "tests/standins/be_sock.h"

/* Fixture: the client and a test server in the same process. */

#define CALLS 12

static struct kn kn;
static struct be_server be;
static struct backend_client *client;
static struct backend_call calls[CALLS];
static int ended, leaving, refused, failed, answered;
static int64_t last_latency_us;

static void on_leaving(struct backend_observer *s, const char *addr, int port)
{
	ck_assert_int_eq(port, be.options.port);
	leaving++;
}

static void on_refused(struct backend_observer *s, const char *addr, int port)
{
	refused++;
}

static void on_failed(struct backend_observer *s, const char *addr, int port,
		      int result)
{
	ck_assert_int_ne(result, CB_OK);
	failed++;
}

static void on_answered(struct backend_observer *s, const char *addr, int port,
			int status, int64_t latency_us)
{
	last_latency_us = latency_us;
	answered++;
}

static struct backend_observer observer = { .leaving = on_leaving,
					    .refused = on_refused,
					    .failed = on_failed,
					    .answered = on_answered };

static void on_done(struct backend_call *call)
{
	ended++;
}

static void setup(void)
{
	struct be_options options = { .addr = "127.0.0.1",
				      .control_port = -1,
				      .slots = 8,
				      .service_us = 20 * USEC_PER_MSEC,
				      .seed = 1 };

	ended = leaving = refused = failed = answered = 0;
	memset(calls, 0, sizeof(calls));
	ck_assert(kn_init(&kn, NULL));
	ck_assert(be_server_init(&be, &kn, &options, NULL));
	client = backend_http_new(&kn, &observer);
	client->ops->add_server(client, "127.0.0.1", be.options.port, 8);
}

static void teardown(void)
{
	int i;

	client->ops->finish(client);
	for (i = 0; i < CALLS; i++)
		backend_call_finish(&calls[i]);
	be_server_finish(&be);
	kn_finish(&kn);
}

static bool start_at(int i, int port, const char *method, int timeout_ms)
{
	char target[16];
	struct backend_request request = { .addr = "127.0.0.1",
					   .port = port,
					   .method = method,
					   .target = target,
					   .timeout_ms = timeout_ms };

	snprintf(target, sizeof(target), "/%d", i);
	return client->ops->start(client, &calls[i], &request, on_done);
}

static bool start(int i, const char *method, int timeout_ms)
{
	return start_at(i, be.options.port, method, timeout_ms);
}

static void wait_ended(int n, int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	while (ended < n && kn_now_us() < end_us)
		be_turn(&kn, 1);
	ck_assert_int_eq(ended, n);
}

/* Outcomes. */

struct expectation {
	enum be_mode mode;
	enum backend_outcome outcome;
	int result;
	int leaving, refused, failed, answered;
	bool executed; /* according to the server's log of requests */
};

static const struct expectation expectations[] = {
	{ BE_NORMAL, BACKEND_ANSWERED, CB_OK, 0, 0, 0, 1, true },
	{ BE_LATE, BACKEND_UNKNOWN, CB_E_UPSTREAM_TIMEOUT, 0, 0, 1, 0, true },
	{ BE_HANG, BACKEND_UNKNOWN, CB_E_UPSTREAM_TIMEOUT, 0, 0, 1, 0, true },
	{ BE_TRUNCATE, BACKEND_UNKNOWN, CB_E_UPSTREAM_TRUNCATED, 0, 0, 1, 0,
	  true },
	{ BE_CLOSE_AFTER, BACKEND_UNKNOWN, CB_E_UPSTREAM_LOST, 0, 0, 1, 0,
	  true },
	{ BE_CLOSE_BEFORE, BACKEND_UNKNOWN, CB_E_UPSTREAM_LOST, 0, 0, 1, 0,
	  false },
	{ BE_LEAVING, BACKEND_NOT_RUN, CB_E_NO_SERVER, 1, 0, 0, 0, false },
	{ BE_REFUSE, BACKEND_NOT_RUN, CB_E_NO_SERVER, 0, 1, 0, 0, false },
};

/*
 * Guards against reporting a request as not run although the server may have
 * executed it, and against passing on a partial response.
 */
START_TEST(outcome_matches_execution)
{
	const struct expectation *e = &expectations[_i];
	bool known_not_run;

	be_server_mode(&be, e->mode, 1000);
	be_turn(&kn, 20);
	ck_assert(start(0, "POST", 300));
	ck_assert_int_eq(ended, 0);
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].outcome, e->outcome);
	ck_assert_int_eq(calls[0].result, e->result);
	ck_assert_int_eq(leaving, e->leaving);
	ck_assert_int_eq(refused, e->refused);
	ck_assert_int_eq(failed, e->failed);
	ck_assert_int_eq(answered, e->answered);
	ck_assert_uint_eq(be.ledger.executed, e->executed);
	known_not_run = calls[0].outcome == BACKEND_NOT_RUN;
	ck_assert(!(known_not_run && e->executed));
	if (e->outcome == BACKEND_ANSWERED) {
		ck_assert_int_eq(calls[0].status, 200);
		ck_assert_int_eq(memcmp(calls[0].body, "POST /0 ", 8), 0);
		ck_assert_int_ge(last_latency_us, 20 * USEC_PER_MSEC);
	} else if (e->outcome == BACKEND_UNKNOWN) {
		ck_assert_ptr_null(calls[0].body);
		ck_assert_int_eq(calls[0].status, 0);
		ck_assert_uint_eq(client->ops->connections(client, "127.0.0.1",
							   be.options.port),
				  0);
	}
}
END_TEST

/* Servers and connections. */

/*
 * Guards against more requests or connections than the limit of a server, also
 * after the limit has been lowered while connections were open.
 */
START_TEST(connection_limit_is_enforced)
{
	int i;

	for (i = 0; i < 8; i++)
		ck_assert(start(i, "GET", 1000));
	ck_assert(!start(8, "GET", 1000));
	wait_ended(8, 1000);
	ck_assert_uint_eq(be.ledger.in_progress_max, 8);
	ck_assert_uint_eq(be.service.accepted, 8);
	client->ops->add_server(client, "127.0.0.1", be.options.port, 2);
	ck_assert_uint_eq(
		client->ops->connections(client, "127.0.0.1", be.options.port),
		2);
	ck_assert(start(8, "GET", 1000));
	ck_assert(start(9, "GET", 1000));
	ck_assert(!start(10, "GET", 1000));
	wait_ended(10, 1000);
	ck_assert_uint_eq(be.service.accepted, 8);
}
END_TEST

/*
 * Guards against a removal that ends the calls in progress, or that lets new
 * ones start before the server has been added again.
 */
START_TEST(removed_server_finishes_its_calls)
{
	ck_assert(start(0, "GET", 1000));
	client->ops->remove_server(client, "127.0.0.1", be.options.port);
	ck_assert(!start(1, "GET", 1000));
	wait_ended(1, 1000);
	ck_assert_int_eq(calls[0].outcome, BACKEND_ANSWERED);
	be_turn(&kn, 20);
	ck_assert_uint_eq(be.service.conn_count, 0);
	ck_assert(!start(1, "GET", 1000));
	client->ops->add_server(client, "127.0.0.1", be.options.port, 1);
	ck_assert(start(1, "GET", 1000));
	wait_ended(2, 1000);
}
END_TEST

/*
 * Guards against done() after cancel(), and against a late response that is
 * taken for that of another call.
 */
START_TEST(cancelled_call_has_no_callback)
{
	ck_assert(start(0, "GET", 1000));
	be_turn(&kn, 10);
	client->ops->cancel(client, &calls[0]);
	client->ops->cancel(client, &calls[0]);
	ck_assert(start(1, "GET", 1000));
	wait_ended(1, 1000);
	ck_assert_int_eq(memcmp(calls[1].body, "GET /1 ", 7), 0);
	be_turn(&kn, 50);
	ck_assert_int_eq(ended, 1);
	ck_assert_int_eq(answered, 1);
}
END_TEST

/* What was sent must not be called not run. */
START_TEST(cancel_returns_whether_a_byte_was_sent)
{
	int port, listener = be_listen(&port);
	struct be_sock fill;

	/* Its queue is full, so that the call is still connecting. */
	ck_assert_int_eq(listen(listener, 0), 0);
	be_connect(&fill, port);
	client->ops->add_server(client, "127.0.0.1", port, 1);
	ck_assert(start_at(0, port, "GET", 1000));
	be_turn(&kn, 50);
	ck_assert(!client->ops->cancel(client, &calls[0]));
	ck_assert(start(1, "GET", 1000));
	be_turn(&kn, 10);
	ck_assert(client->ops->cancel(client, &calls[1]));
	ck_assert(!client->ops->cancel(client, &calls[1]));
	be_close(&fill);
	close(listener);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("backend_client");
	TCase *tc = tcase_create("backend_client");
	SRunner *runner = srunner_create(suite);
	int failed_tests;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 20);
	tcase_add_loop_test(tc, outcome_matches_execution, 0,
			    (int)G_N_ELEMENTS(expectations));
	tcase_add_test(tc, connection_limit_is_enforced);
	tcase_add_test(tc, removed_server_finishes_its_calls);
	tcase_add_test(tc, cancelled_call_has_no_callback);
	tcase_add_test(tc, cancel_returns_whether_a_byte_was_sent);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed_tests = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed_tests ? EXIT_FAILURE : EXIT_SUCCESS;
}
