#include <check.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "platform/callers.h"
#include "tests/standins/be_sock.h"
#include "tests/standins/ports.h"
#include "tests/unit/run.h"

/* Fixture: the callers' address, and a service that holds its calls. */

#define GRACE_MS 1200
#define GET "GET /jobs/00000000000000aa HTTP/1.1\r\nHost: x\r\n"
#define LONG_DEADLINE "Chivebank-Deadline-Ms: 30000\r\n\r\n"

static struct kn kn;
static struct site site;
static struct be_sock sock;
static struct caller_service service;
static GPtrArray *held; /* struct caller_call */
static int64_t drained_us;

static void answer(struct caller_call *call, int result)
{
	call->result = result;
	service.answer(call);
}

static void on_call(struct caller_service *s, struct caller_call *call)
{
	g_ptr_array_add(held, call);
}

static void on_disconnected(struct caller_service *s, struct caller_call *call)
{
	g_ptr_array_remove(held, call);
}

static void on_expire(struct caller_service *s)
{
	while (held->len > 0)
		answer(g_ptr_array_remove_index(held, 0), CB_E_DRAINING);
}

static const struct caller_service_ops service_ops = {
	.call = on_call,
	.disconnected = on_disconnected,
	.expire = on_expire,
};

static void setup(void)
{
	GError *err = NULL;

	held = g_ptr_array_new();
	service.ops = &service_ops;
	g_strlcpy(site.callers.addr, "127.0.0.1", sizeof(site.callers.addr));
	site.callers.port = ports_reserve();
	site.grace_ms = GRACE_MS;
	ck_assert(kn_init(&kn, &err));
	platform_callers_new(&kn, &site, &service);
	kn_handle_signals(&kn);
	ck_assert(kn_start(&kn, &err));
	be_connect(&sock, site.callers.port);
	ck_assert_int_ge(sock.fd, 0);
}

static void teardown(void)
{
	be_close(&sock);
	g_ptr_array_free(held, TRUE);
}

static void send_call(const char *text)
{
	be_puts(&kn, &sock, text);
	be_turn(&kn, 50);
}

static void begin_stop(void)
{
	kn_drain(&kn);
	drained_us = kn_now_us();
}

/* Runs the process to its end, as main() does. Returns how long it took. */
static int64_t run_to_end(void)
{
	kn_run(&kn);
	kn_finish(&kn);
	return (kn_now_us() - drained_us) / USEC_PER_MSEC;
}

/* Reads what the ended process has sent. */
static const char *received(struct be_sock *from)
{
	ssize_t n;

	while ((n = read(from->fd, from->in + from->len,
			 sizeof(from->in) - 1 - from->len)) > 0)
		from->len += (size_t)n;
	from->in[from->len] = '\0';
	return from->in;
}

START_TEST(repeated_stop_signals_cut_no_call)
{
	int i;

	send_call(GET LONG_DEADLINE);
	ck_assert_uint_eq(held->len, 1);
	for (i = 0; i < 3; i++) {
		ck_assert_int_eq(raise(SIGTERM), 0);
		be_turn(&kn, 50);
	}
	ck_assert(kn.draining);
	ck_assert(!kn.stopped);
	answer(g_ptr_array_remove_index(held, 0), CB_OK);
	ck_assert(be_wait_text(&kn, &sock, "HTTP/1.1 200 ", 500));
	be_close(&sock);
	run_to_end();
	ck_assert_int_eq(kn.exit_code, 0);
}
END_TEST

START_TEST(stop_answers_all_calls_before_the_grace_ends)
{
	send_call(GET LONG_DEADLINE);
	ck_assert_uint_eq(held->len, 1);
	begin_stop();
	ck_assert_int_lt(run_to_end(), GRACE_MS);
	ck_assert_ptr_nonnull(strstr(received(&sock), "HTTP/1.1 503 "));
	ck_assert_ptr_nonnull(strstr(sock.in, "Chivebank-Outcome: not-run"));
}
END_TEST

/* The rest of the request never comes. */
START_TEST(half_sent_request_does_not_hold_up_the_stop)
{
	send_call("POST /jobs/00000000000000aa HTTP/1.1\r\nHost: x\r\n"
		  "Content-Length: 100\r\n\r\nhalf");
	begin_stop();
	ck_assert_int_lt(run_to_end(), GRACE_MS);
	ck_assert_ptr_nonnull(strstr(received(&sock), "HTTP/1.1 503 "));
}
END_TEST

static struct be_sock again[4];
static int calls_again;

/* Closes the oldest of the connections and calls on another one. */
static void call_again(struct kn_timer *timer)
{
	struct be_sock *next = &again[calls_again++ % G_N_ELEMENTS(again)];

	be_close(next);
	be_connect(next, site.callers.port);
	ck_assert_int_ge(next->fd, 0);
	send(next->fd, GET LONG_DEADLINE, strlen(GET LONG_DEADLINE),
	     MSG_NOSIGNAL);
	kn_timer_set(&kn, timer, 2 * USEC_PER_MSEC, call_again);
}

START_TEST(callers_that_call_again_do_not_hold_up_the_stop)
{
	struct kn_timer timer = { 0 };
	int64_t took_ms;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(again); i++)
		be_connect(&again[i], site.callers.port);
	begin_stop();
	call_again(&timer);
	kn_run(&kn);
	took_ms = (kn_now_us() - drained_us) / USEC_PER_MSEC;
	kn_timer_cancel(&timer);
	run_to_end();
	/* Half of the time that is kept for sending is left. */
	ck_assert_int_lt(took_ms, GRACE_MS * 7 / 8);
	for (i = 0; i < G_N_ELEMENTS(again); i++)
		be_close(&again[i]);
}
END_TEST

/* The process gets no processor from before the request to after the time. */
START_TEST(requests_unread_at_the_end_of_a_stop_are_answered)
{
	struct be_sock late;

	begin_stop();
	be_turn(&kn, 50);
	ck_assert_int_gt(
		send(sock.fd, GET LONG_DEADLINE, strlen(GET LONG_DEADLINE), 0),
		0);
	be_connect(&late, site.callers.port); /* waits to be accepted */
	ck_assert_int_ge(late.fd, 0);
	ck_assert_int_gt(
		send(late.fd, GET LONG_DEADLINE, strlen(GET LONG_DEADLINE), 0),
		0);
	usleep((GRACE_MS + 100) * USEC_PER_MSEC);
	run_to_end();
	ck_assert_ptr_nonnull(strstr(received(&sock), "HTTP/1.1 503 "));
	ck_assert_ptr_nonnull(strstr(received(&late), "HTTP/1.1 503 "));
	be_close(&late);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("callers");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 40);
	tcase_add_test(tc, repeated_stop_signals_cut_no_call);
	tcase_add_test(tc, stop_answers_all_calls_before_the_grace_ends);
	tcase_add_test(tc, half_sent_request_does_not_hold_up_the_stop);
	tcase_add_test(tc, callers_that_call_again_do_not_hold_up_the_stop);
	tcase_add_test(tc, requests_unread_at_the_end_of_a_stop_are_answered);
	return run_case("callers", tc);
}
