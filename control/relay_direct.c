#include "control/relay_int.h"

#include "base/err.h"
#include "base/log.h"

/* Consecutive failures after which the direct route counts as down. */
#define FAILURES_MAX 2
/* Interval of the probes that detect the return of the store; a probe costs a
 * tenth of a read. */
#define PROBE_INTERVAL_MS 250
#define PROBE_EXPECTED_MS 400
#define PROBE_PAUSE_MIN_MS 50 /* after a probe without answer */
#define HEDGE_MIN_MS 80 /* several round trips between regions */
#define HEDGE_MARGIN_MS 50
#define HEDGE_FACTOR 3 /* times the average latency */
#define LATENCY_WEIGHT 8 /* answers that the moving average covers */

static void on_probe(struct exchange_call *call);

static void send_probe(struct kn_timer *timer)
{
	struct relay *relay = container_of(timer, struct relay, probe_timer);
	struct exchange_request request = {
		.method = "GET",
		.target = relay->probe,
		.timeout_ms = PROBE_EXPECTED_MS,
	};

	relay->probing = true;
	relay->probed_us = kn_now_us();
	relay->probe_call.done = on_probe;
	relay->probe_call.user = relay;
	relay->direct->ops->start(relay->direct, &relay->probe_call, &request);
}

bool relay_is_refusal(int status)
{
	return status == 429 || status >= 500;
}

bool relay_nothing_done(int status)
{
	return status == 429 || status == 503;
}

static void on_probe(struct exchange_call *call)
{
	struct relay *relay = call->user;

	int64_t pause_us = relay->probed_us +
			   PROBE_INTERVAL_MS * USEC_PER_MSEC - kn_now_us();

	relay->probing = false;
	if (call->result != CB_OK || relay_is_refusal(call->status)) {
		kn_timer_set(relay->exchange.kn, &relay->probe_timer,
			     MAX(pause_us, PROBE_PAUSE_MIN_MS * USEC_PER_MSEC),
			     send_probe);
		return;
	}
	relay->direct_down = false;
	relay->failures = 0;
	relay->last_answer_us = kn_now_us();
	log_info("store.regained", "way=direct status=%d", call->status);
	relay_leave_peers(relay);
}

static void direct_lost(struct relay *relay, const char *why)
{
	if (relay->direct_down)
		return;
	relay->direct_down = true;
	ctr_add(&relay->direct_lost, 1);
	log_warn("store.lost",
		 "way=direct reason=\"%s\" failures=%d "
		 "heard_ms=%" G_GINT64_FORMAT,
		 why, relay->failures,
		 relay->last_answer_us ?
			 (kn_now_us() - relay->last_answer_us) / 1000 :
			 -1);
	relay->direct->ops->refresh(relay->direct);
	if (!relay->probing && !kn_timer_pending(&relay->probe_timer))
		kn_timer_set(relay->exchange.kn, &relay->probe_timer, 0,
			     send_probe);
}

static void note_failure(struct relay *relay, const char *why)
{
	if (++relay->failures >= FAILURES_MAX)
		direct_lost(relay, why);
}

/* Updates the moving average that the hedge delay depends on. */
static void update_latency(struct relay *relay, int64_t took_us)
{
	relay->latency_us += (took_us - relay->latency_us) / LATENCY_WEIGHT;
}

static int64_t hedge_delay_us(const struct relay *relay)
{
	return MAX(HEDGE_FACTOR * relay->latency_us +
			   HEDGE_MARGIN_MS * USEC_PER_MSEC,
		   HEDGE_MIN_MS * USEC_PER_MSEC);
}

static bool has_pending_attempt(const struct relay_call *rcall)
{
	int i;

	for (i = 0; i < rcall->ndirect; i++)
		if (rcall->direct[i].busy)
			return true;
	return false;
}

static void on_direct_reply(struct exchange_call *call)
{
	struct direct_attempt *attempt = call->user;
	struct relay_call *rcall = attempt->rcall;
	struct relay *relay = rcall->relay;

	attempt->busy = false;
	if (call->result == CB_OK && !relay_is_refusal(call->status)) {
		relay->failures = 0;
		relay->last_answer_us = kn_now_us();
		if (rcall->wait_ms == 0)
			update_latency(relay, relay->last_answer_us -
						      attempt->sent_us);
		relay_end_call(rcall, CB_OK, call->status, call->body,
			       call->body_len);
		return;
	}
	if (call->result == CB_OK) {
		rcall->status = call->status;
		rcall->sent |= !relay_nothing_done(call->status);
		note_failure(relay, "refused");
	} else {
		rcall->sent |= call->sent;
		note_failure(relay,
			     call->sent ? "connection lost" : "no connection");
	}
	if (!has_pending_attempt(rcall))
		relay_next_route(rcall);
}

/* No answer in the expected time: the answer is lost, or the route is down if
 * nothing at all was received since the call was sent. */
static void on_direct_timeout(struct kn_timer *timer)
{
	struct relay_call *rcall =
		container_of(timer, struct relay_call, timer);

	rcall->sent = true;
	if (rcall->relay->last_answer_us < rcall->sent_us)
		direct_lost(rcall->relay, "silent");
	else
		note_failure(rcall->relay, "answer lost");
	relay_next_route(rcall);
}

static void on_hedge(struct kn_timer *timer);

static void send_direct(struct relay_call *rcall)
{
	struct relay *relay = rcall->relay;
	struct direct_attempt *attempt = &rcall->direct[rcall->ndirect++];
	struct exchange_request request = {
		.method = rcall->method,
		.target = rcall->target,
		.body = rcall->body,
		.len = rcall->len,
		.timeout_ms = rcall->timeout_ms,
	};

	attempt->rcall = rcall;
	attempt->sent_us = kn_now_us();
	attempt->busy = true;
	attempt->call.done = on_direct_reply;
	attempt->call.user = attempt;
	relay->direct->ops->start(relay->direct, &attempt->call, &request);
	if (rcall->repeatable && rcall->ndirect < DIRECT_ATTEMPTS_MAX)
		kn_timer_set(relay->exchange.kn, &rcall->hedge_timer,
			     rcall->wait_ms * USEC_PER_MSEC +
				     hedge_delay_us(relay),
			     on_hedge);
}

static void on_hedge(struct kn_timer *timer)
{
	struct relay_call *rcall =
		container_of(timer, struct relay_call, hedge_timer);

	ctr_add(&rcall->relay->hedged, 1);
	send_direct(rcall);
}

void relay_try_direct(struct relay_call *rcall)
{
	rcall->route = ROUTE_DIRECT;
	rcall->ndirect = 0;
	rcall->sent_us = kn_now_us();
	send_direct(rcall);
	kn_timer_set(rcall->relay->exchange.kn, &rcall->timer,
		     rcall->expected_ms * USEC_PER_MSEC, on_direct_timeout);
}

void relay_stop_direct(struct relay_call *rcall)
{
	struct exchange *direct = rcall->relay->direct;
	int i;

	kn_timer_cancel(&rcall->hedge_timer);
	for (i = 0; i < rcall->ndirect; i++)
		if (rcall->direct[i].busy)
			direct->ops->cancel(direct, &rcall->direct[i].call);
	rcall->ndirect = 0;
}

void relay_stop_probe(struct relay *relay)
{
	if (relay->probing)
		relay->direct->ops->cancel(relay->direct, &relay->probe_call);
	kn_timer_cancel(&relay->probe_timer);
}
