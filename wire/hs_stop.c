#include "wire/hs_stop.h"

#include "base/limits.h"

#define STOP_CHECK_MS 20
/* Parts of the grace period that are kept for sending the last replies, and for
 * the end of the process. */
#define SEND_PART 4
#define SEND_MAX_MS 1000
#define END_PART 16
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

static void check(struct kn_timer *timer)
{
	struct hs_stop *stop = container_of(timer, struct hs_stop, timer);
	struct hs_server *server = stop->server;
	int64_t passed_ms = (kn_now_us() - stop->begun_us) / USEC_PER_MSEC;
	bool idle = hs_active_of(server, stop->accepted) == 0;

	if (!stop->expired && (idle || passed_ms >= stop->times.answer_ms)) {
		stop->expired = true;
		stop->accepted = server->accepted;
		stop->ops->expire(stop);
		hs_refuse_unfinished(server);
	}
	if (idle || passed_ms >= stop->times.limit_ms)
		stop->ops->ended(stop);
	else
		kn_timer_set(server->kn, timer, STOP_CHECK_MS * USEC_PER_MSEC,
			     check);
}

void hs_stop_begin(struct hs_stop *stop, struct hs_server *server,
		   const struct hs_stop_ops *ops,
		   const struct hs_stop_times *times)
{
	stop->ops = ops;
	stop->server = server;
	stop->times = *times;
	stop->begun_us = kn_now_us();
	stop->expired = false;
	stop->accepted = UINT64_MAX;
	hs_drain(server);
	kn_timer_set(server->kn, &stop->timer, times->settle_ms * USEC_PER_MSEC,
		     check);
}

void hs_stop_finish(struct hs_stop *stop)
{
	kn_timer_cancel(&stop->timer);
}
