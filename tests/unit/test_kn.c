#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <uv.h>

#include "base/kn.h"
#include "base/limits.h"
#include "tests/standins/be_sock.h"
#include "tests/unit/run.h"
#include "wire/hs.h"

struct echo_task {
	struct kn_task task;
	int received[8];
	int count;
	bool forward;
};

struct echo_msg {
	struct kn_msg msg;
	int value;
};

static void echo_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct echo_task *echo = (struct echo_task *)task;
	struct echo_msg *m = (struct echo_msg *)msg;

	echo->received[echo->count++] = m->value;
	if (echo->forward)
		kn_send(kn_find(task->kn, "sink"), task, msg);
	else
		kn_msg_release(msg);
}

static const struct kn_task_ops echo_ops = { .receive = echo_receive };

static void free_msg(struct kn_msg *msg)
{
	free(msg);
}

static void send_value(struct kn_task *to, int value)
{
	struct echo_msg *m = calloc(1, sizeof(*m));

	m->msg.release = free_msg;
	m->value = value;
	kn_send(to, NULL, &m->msg);
}

/* Guards against messages that overtake each other or get lost on the way. */
START_TEST(messages_keep_order_through_services)
{
	struct echo_task first = { .forward = true }, sink = { 0 };
	struct kn kn;
	int i;

	ck_assert(kn_init(&kn, NULL));
	kn_add(&kn, &first.task, "first", &echo_ops);
	kn_add(&kn, &sink.task, "sink", &echo_ops);
	ck_assert(kn_start(&kn, NULL));
	for (i = 0; i < 5; i++)
		send_value(kn_find(&kn, "first"), i);
	kn_drain(&kn);
	kn_run(&kn);
	kn_turn(&kn);
	ck_assert_int_eq(sink.count, 5);
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(sink.received[i], i);
	ck_assert_ptr_null(kn_find(&kn, "absent"));
	kn_finish(&kn);
}
END_TEST

struct timer_state {
	struct kn_timer timer;
	struct kn *kn;
	int fired;
};

static void timer_fn(struct kn_timer *timer)
{
	struct timer_state *state =
		container_of(timer, struct timer_state, timer);

	state->fired++;
	if (state->fired < 3)
		kn_timer_set(state->kn, timer, 1000, timer_fn);
	else
		kn_stop(state->kn, 7);
}

/* Guards against a timer that can't be set again from its own function. */
START_TEST(timer_rearms_and_stops)
{
	struct timer_state state = { 0 }, cancelled = { 0 };
	struct kn kn;

	ck_assert(kn_init(&kn, NULL));
	state.kn = &kn;
	cancelled.kn = &kn;
	kn_timer_set(&kn, &state.timer, 0, timer_fn);
	kn_timer_set(&kn, &cancelled.timer, 500, timer_fn);
	ck_assert(kn_timer_pending(&cancelled.timer));
	kn_timer_cancel(&cancelled.timer);
	ck_assert_int_eq(kn_run(&kn), 7);
	ck_assert_int_eq(state.fired, 3);
	ck_assert_int_eq(cancelled.fired, 0);
	kn_finish(&kn);
}
END_TEST

static int checks;

static void send_each_round(uv_check_t *check)
{
	checks++;
	send_value(kn_find(check->data, "sink"), 1);
}

static void count_message(struct kn_task *task, struct kn_msg *msg)
{
	((struct echo_task *)task)->count++;
	kn_msg_release(msg);
}

static const struct kn_task_ops count_ops = { .receive = count_message };

/* The answer to the request that is read last is such a message. */
START_TEST(message_of_the_last_round_of_a_stop_is_delivered)
{
	struct echo_task sink = { 0 };
	uv_check_t check;
	struct kn kn;

	ck_assert(kn_init(&kn, NULL));
	kn_add(&kn, &sink.task, "sink", &count_ops);
	ck_assert(kn_start(&kn, NULL));
	uv_check_init(kn.loop, &check);
	check.data = &kn;
	uv_check_start(&check, send_each_round);
	kn_drain(&kn);
	kn_run(&kn);
	ck_assert_int_gt(checks, 0);
	ck_assert_int_eq(sink.count, checks);
	uv_close((uv_handle_t *)&check, NULL);
	kn_finish(&kn);
}
END_TEST

static void drain_never(struct kn_task *task)
{
}

static const struct kn_task_ops drain_never_ops = { .receive = echo_receive,
						    .drain = drain_never };

/* Above it the supervisor kills the process, and its answers with it. */
START_TEST(drain_ends_at_its_limit)
{
	int64_t begun_us = kn_now_us();
	struct echo_task stuck = { 0 };
	struct kn kn;

	ck_assert(kn_init(&kn, NULL));
	kn_add(&kn, &stuck.task, "stuck", &drain_never_ops);
	ck_assert(kn_start(&kn, NULL));
	kn_limit_drain(&kn, 100);
	kn_drain(&kn);
	ck_assert_int_eq(kn_run(&kn), 0);
	ck_assert_int_ge(kn_now_us() - begun_us, 100 * USEC_PER_MSEC);
	kn_finish(&kn);
}
END_TEST

static void stop_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
	kn_stop(task->kn, 9);
}

static const struct kn_task_ops stop_ops = { .receive = stop_receive };

static void send_fn(struct kn_timer *timer)
{
	struct timer_state *state =
		container_of(timer, struct timer_state, timer);

	send_value(kn_find(state->kn, "sink"), 1);
}

/*
 * Guards against a message from a timer that waits for the next socket
 * event: with no sockets the process would hang.
 */
/* Time by which each reading of the clock is later than it would be, in us. */
static int64_t clock_step_us;
static int64_t clock_ahead_us;

/* In place of the C library's: the host runs something else between readings. */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int result = (int)syscall(SYS_clock_gettime, clock, ts);

	clock_ahead_us += clock_step_us;
	ts->tv_nsec += clock_ahead_us * 1000;
	ts->tv_sec += ts->tv_nsec / 1000000000;
	ts->tv_nsec %= 1000000000;
	return result;
}

static void count_fired(struct kn_timer *timer)
{
	container_of(timer, struct timer_state, timer)->fired++;
}

/*
 * Guards against a timer that never fires because the time at which it is due
 * passes between two readings of the clock: the process then waits for its
 * sockets alone.
 */
START_TEST(timer_fires_after_a_delay_between_readings)
{
	struct timer_state timer = { 0 }, limit = { 0 };
	struct kn kn;
	int step_ms;

	ck_assert(kn_init(&kn, NULL));
	for (step_ms = 1; step_ms <= 5; step_ms++) {
		timer.fired = 0;
		kn_timer_set(&kn, &limit.timer, 2 * USEC_PER_SEC, count_fired);
		clock_step_us = step_ms * USEC_PER_MSEC;
		kn_timer_set(&kn, &timer.timer, (step_ms * 3 / 2) * 1000,
			     count_fired);
		clock_step_us = 0;
		while (timer.fired == 0 && limit.fired == 0)
			kn_turn(&kn);
		ck_assert_int_eq(limit.fired, 0);
		ck_assert_int_eq(timer.fired, 1);
	}
	kn_timer_cancel(&limit.timer);
	kn_finish(&kn);
}
END_TEST

static int requests;

static void count_request(struct hs_server *server, struct hs_request *req)
{
	requests++;
	hs_reply(req, 200, NULL, NULL, 0);
}

static void note_requests(struct kn_timer *timer)
{
	container_of(timer, struct timer_state, timer)->fired = 1 + requests;
}

START_TEST(timer_that_is_overdue_finds_the_sockets_read)
{
	static const struct hs_ops ops = { .request = count_request };
	static const char get[] = "GET / HTTP/1.1\r\n\r\n";
	struct timer_state state = { 0 };
	struct hs_server server;
	struct be_sock sock;
	struct kn kn;

	ck_assert(kn_init(&kn, NULL));
	ck_assert(hs_init(&server, &kn, &ops, "127.0.0.1", 0, NULL));
	kn_timer_set(&kn, &state.timer, 100 * USEC_PER_MSEC, note_requests);
	be_connect(&sock, server.port);
	ck_assert_int_gt(send(sock.fd, get, strlen(get), 0), 0);
	usleep(200 * USEC_PER_MSEC);
	while (state.fired == 0)
		kn_turn(&kn);
	ck_assert_int_eq(state.fired, 1 + 1);
	be_close(&sock);
	hs_finish(&server);
	kn_finish(&kn);
}
END_TEST

START_TEST(message_from_timer_is_delivered_at_once)
{
	struct timer_state state = { 0 };
	struct kn_task sink = { 0 };
	struct kn kn;

	ck_assert(kn_init(&kn, NULL));
	kn_add(&kn, &sink, "sink", &stop_ops);
	ck_assert(kn_start(&kn, NULL));
	state.kn = &kn;
	kn_timer_set(&kn, &state.timer, 1000, send_fn);
	ck_assert_int_eq(kn_run(&kn), 9);
	kn_finish(&kn);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("kernel");

	tcase_add_test(tc, messages_keep_order_through_services);
	tcase_add_test(tc, timer_rearms_and_stops);
	tcase_add_test(tc, timer_that_is_overdue_finds_the_sockets_read);
	tcase_add_test(tc, drain_ends_at_its_limit);
	tcase_add_test(tc, message_of_the_last_round_of_a_stop_is_delivered);
	tcase_add_test(tc, message_from_timer_is_delivered_at_once);
	tcase_add_test(tc, timer_fires_after_a_delay_between_readings);
	return run_case("kn", tc);
}
