#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "tests/standins/be_sock.h"
#include "tests/standins/ports.h"
#include "tests/unit/run.h"
#include "wire/rpc.h"
#include "wire/sock.h"

/* Calls between processes. */

static struct kn kn;
static struct rpc_server server;
static struct rpc_peer peer;
static int port;
static struct rpc_request *held;
static int requests;

static void on_request(struct rpc_server *from, struct rpc_request *request)
{
	char reply[64];

	requests++;
	if (request->len == 4 && memcmp(request->data, "hold", 4) == 0) {
		held = request;
		return;
	}
	memset(reply, 0, sizeof(reply));
	memcpy(reply, "re:", 3);
	memcpy(reply + 3, request->data, MIN(request->len, 60));
	rpc_reply(request, reply, 3 + MIN(request->len, 60));
}

static const struct rpc_server_ops server_ops = { .request = on_request };

static void set_up(void)
{
	port = ports_reserve();
	ck_assert(kn_init(&kn, NULL));
	ck_assert(rpc_server_init(&server, &kn, &server_ops, "127.0.0.1", port,
				  NULL));
	rpc_peer_init(&peer, &kn, "127.0.0.1", port);
}

static void tear_down(void)
{
	rpc_peer_finish(&peer);
	rpc_server_finish(&server);
	kn_finish(&kn);
}

struct outcome {
	struct rpc_call call;
	int done;
	char text[64];
};

static void on_done(struct rpc_call *call)
{
	struct outcome *outcome = container_of(call, struct outcome, call);

	outcome->done++;
	if (call->result == CB_OK)
		memcpy(outcome->text, call->data, MIN(call->len, 63));
}

static void wait_for(struct outcome *outcome)
{
	int i;

	for (i = 0; i < 200 && !outcome->done; i++)
		be_turn(&kn, 10);
}

START_TEST(calls_share_a_connection)
{
	struct outcome outcomes[3] = { 0 };
	int i;

	rpc_call_start(&outcomes[0].call, &peer, "hold", 4, 1000, on_done);
	rpc_call_start(&outcomes[1].call, &peer, "a", 1, 1000, on_done);
	rpc_call_start(&outcomes[2].call, &peer, "", 0, 1000, on_done);
	wait_for(&outcomes[1]);
	wait_for(&outcomes[2]);
	ck_assert_str_eq(outcomes[1].text, "re:a");
	ck_assert_str_eq(outcomes[2].text, "re:");
	ck_assert_int_eq(outcomes[0].done, 0);
	rpc_reply(held, "late", 4);
	wait_for(&outcomes[0]);
	ck_assert_str_eq(outcomes[0].text, "late");
	for (i = 0; i < 3; i++)
		ck_assert_int_eq(outcomes[i].done, 1);
}
END_TEST

START_TEST(no_answer_in_time)
{
	struct outcome outcome = { 0 };

	rpc_call_start(&outcome.call, &peer, "hold", 4, 100, on_done);
	wait_for(&outcome);
	ck_assert_int_eq(outcome.call.result, CB_E_TIMEOUT);
	ck_assert(outcome.call.sent);
	/* The connection is not used again; its answer goes to nobody. */
	be_turn(&kn, 50);
	rpc_reply(held, "late", 4);
	memset(&outcome, 0, sizeof(outcome));
	rpc_call_start(&outcome.call, &peer, "b", 1, 1000, on_done);
	wait_for(&outcome);
	ck_assert_str_eq(outcome.text, "re:b");
}
END_TEST

START_TEST(connection_refused)
{
	struct outcome outcome = { 0 };
	struct rpc_peer other;

	rpc_server_finish(&server);
	be_turn(&kn, 50);
	rpc_peer_init(&other, &kn, "127.0.0.1", port);
	rpc_call_start(&outcome.call, &other, "a", 1, 500, on_done);
	wait_for(&outcome);
	ck_assert_int_ne(outcome.call.result, CB_OK);
	rpc_peer_finish(&other);
	ck_assert(rpc_server_init(&server, &kn, &server_ops, "127.0.0.1", port,
				  NULL));
}
END_TEST

/*
 * Guards against two processes of one host that extend leases at a time: a host
 * leads only while it listens, so the later process has to wait.
 */
START_TEST(port_belongs_to_one_server)
{
	struct rpc_server second;
	GError *err = NULL;

	ck_assert(!rpc_server_init(&second, &kn, &server_ops, "127.0.0.1", port,
				   &err));
	ck_assert_ptr_nonnull(strstr(err->message, "cannot listen on"));
	g_error_free(err);
}
END_TEST

START_TEST(malformed_frames_close_the_connection)
{
	static const char *const frames[] = {
		"\xff\xff\xff\xff", /* too long */
		"\x00\x00\x00\x02\x91\x40", /* an array without id */
		"\x00\x00\x00\x03\xc1\xc1\xc1",
	};
	static const size_t lens[] = { 4, 6, 7 };
	struct be_sock sock;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(frames); i++) {
		be_connect(&sock, port);
		be_write(&kn, &sock, frames[i], lens[i]);
		ck_assert_msg(be_wait_closed(&kn, &sock, 1000), "frame %zu", i);
		be_close(&sock);
	}
	ck_assert_int_eq(requests, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rpc");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, calls_share_a_connection);
	tcase_add_test(tc, no_answer_in_time);
	tcase_add_test(tc, connection_refused);
	tcase_add_test(tc, port_belongs_to_one_server);
	tcase_add_test(tc, malformed_frames_close_the_connection);
	return run_case("rpc", tc);
}
