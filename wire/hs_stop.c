#include "wire/hs_stop.h"

#include "base/limits.h"

#define STOP_CHECK_MS 20
/* For the requests of callers that connected before the server stopped to
 * listen: several round trips between regions. */
#define STOP_QUIET_MS 100
/* Parts of the grace period that are kept for sending the last replies, and for
 * the end of the process. */
#define SEND_PART 4
#define SEND_MAX_MS 1000
#define END_PART 8
#define END_MAX_MS 250

struct hs_stop_times hs_stop_times(int64_t settle_ms, int64_t grace_ms)
{
	int64_t send_ms = MIN(grace_ms / SEND_PART, SEND_MAX_MS);
	int64_t end_ms = MIN(grace_ms / END_PART, END_MAX_MS);
	struct hs_stop_times times = {
		.answer_ms = grace_ms - send_ms,
		.limit_ms = grace_ms - end_ms,
	};

	times.settle_ms = MIN(settle_ms, times.answer_ms);
	return times;
}

static bool is_idle(const struct hs_stop *stop)
{
	return hs_active(stop->server) == 0 &&
	       !(stop->ops->busy && stop->ops->busy(stop));
}

static bool has_passed(const struct hs_stop *stop, int64_t ms)
{
	return kn_now_us() >= stop->begun_us + ms * USEC_PER_MSEC;
}

/* Nothing is begun any more. */
static void expire(struct hs_stop *stop)
{
	stop->expired = true;
	stop->expired_us = kn_now_us();
	if (!stop->ops->keeps_listening)
		hs_stop_listening(stop->server);
	stop->ops->expire(stop);
	hs_refuse_unfinished(stop->server);
}

static bool is_quiet(const struct hs_stop *stop)
{
	return kn_now_us() - stop->expired_us >= STOP_QUIET_MS * USEC_PER_MSEC;
}

static void check(struct kn_timer *timer)
{
	struct hs_stop *stop = container_of(timer, struct hs_stop, timer);
	bool idle = is_idle(stop);

	if (!stop->expired && (idle || has_passed(stop, stop->times.answer_ms)))
		expire(stop);
	if ((idle && is_quiet(stop)) || has_passed(stop, stop->times.limit_ms))
		stop->ops->ended(stop);
	else
		kn_timer_set(stop->server->kn, timer,
			     STOP_CHECK_MS * USEC_PER_MSEC, check);
}

/* The balancer notices the stop from now on; the grace counts from its signal. */
static int64_t settle_us(const struct hs_stop *stop)
{
	int64_t answer_us =
		stop->begun_us + stop->times.answer_ms * USEC_PER_MSEC;

	return MIN(stop->times.settle_ms * USEC_PER_MSEC,
		   MAX(answer_us - kn_now_us(), 0));
}

void hs_stop_begin(struct hs_stop *stop, struct hs_server *server,
		   const struct hs_stop_ops *ops,
		   const struct hs_stop_times *times)
{
	stop->ops = ops;
	stop->server = server;
	stop->times = *times;
	stop->begun_us =
		server->kn->drain_us ? server->kn->drain_us : kn_now_us();
	stop->expired = false;
	hs_drain(server);
	kn_timer_set(server->kn, &stop->timer, settle_us(stop), check);
}

void hs_stop_finish(struct hs_stop *stop)
{
	kn_timer_cancel(&stop->timer);
}
