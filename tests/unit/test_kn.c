#include <check.h>
#include <stdlib.h>

#include "base/kn.h"
#include "tests/unit/run.h"

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
	tcase_add_test(tc, message_from_timer_is_delivered_at_once);
	return run_case("kn", tc);
}
