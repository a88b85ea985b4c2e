#include "control/relay_int.h"

#include "base/err.h"
#include "base/log.h"

/* Failures in a row after which the direct way is not tried for a while. */
#define FAILURES_MAX 2
/* A store that is back is noticed within that, at a tenth of a read each. */
#define PROBE_MS 250
#define PROBE_EXPECTED_MS 400
#define HEDGE_MIN_MS 80 /* several round trips between regions */
#define HEDGE_MARGIN_MS 50
#define HEDGE_FACTOR 3 /* of the usual time */
#define LATENCY_WEIGHT 8 /* answers that the usual time follows */

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
	relay->probe_call.done = on_probe;
	relay->probe_call.user = relay;
	relay->direct->ops->start(relay->direct, &relay->probe_call, &request);
}

bool relay_is_refusal(int status)
{
	return status == 429 || status >= 500;
}

static void on_probe(struct exchange_call *call)
{
	struct relay *relay = call->user;

	relay->probing = false;
	if (call->result != CB_OK || relay_is_refusal(call->status)) {
		kn_timer_set(relay->exchange.kn, &relay->probe_timer,
			     PROBE_MS * USEC_PER_MSEC, send_probe);
		return;
	}
	relay->direct_down = false;
	relay->failures = 0;
	relay->heard_us = kn_now_us();
	log_info("store.regained", "way=direct status=%d", call->status);
}

static void direct_lost(struct relay *relay, const char *why)
{
	if (relay->direct_down)
		return;
	relay->direct_down = true;
	ctr_add(&relay->direct_lost, 1);
	log_warn(
		"store.lost",
		"way=direct reason=\"%s\" failures=%d heard_ms=%" G_GINT64_FORMAT,
		why, relay->failures,
		relay->heard_us ? (kn_now_us() - relay->heard_us) / 1000 : -1);
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

/* The usual time to an answer, which hedges follow. */
static void update_latency(struct relay *relay, int64_t took_us)
{
	relay->usual_us += (took_us - relay->usual_us) / LATENCY_WEIGHT;
}

static int64_t hedge_delay_us(const struct relay *relay)
{
	return MAX(HEDGE_FACTOR * relay->usual_us +
			   HEDGE_MARGIN_MS * USEC_PER_MSEC,
		   HEDGE_MIN_MS * USEC_PER_MSEC);
}

static bool has_pending_attempt(const struct relay_call *own)
{
	int i;

	for (i = 0; i < own->ndirect; i++)
		if (own->direct[i].busy)
			return true;
	return false;
}

static void on_direct_reply(struct exchange_call *call)
{
	struct direct_attempt *try = call->user;
	struct relay_call *own = try->own;
	struct relay *relay = own->relay;

	try->busy = false;
	if (call->result == CB_OK && !relay_is_refusal(call->status)) {
		relay->failures = 0;
		relay->heard_us = kn_now_us();
		if (!own->waits)
			update_latency(relay, relay->heard_us - try->sent_us);
		relay_end_call(own, CB_OK, call->status, call->body,
			       call->body_len);
		return;
	}
	if (call->result == CB_OK) {
		own->status = call->status;
		note_failure(relay, "refused");
	} else {
		own->sent |= call->sent;
		note_failure(relay,
			     call->sent ? "connection lost" : "no connection");
	}
	if (!has_pending_attempt(own))
		relay_next_route(own);
}

/* No answer in the usual time: it, or the whole way, is lost. */
static void on_direct_timeout(struct kn_timer *timer)
{
	struct relay_call *own = container_of(timer, struct relay_call, timer);

	own->sent = true;
	if (own->relay->heard_us < own->sent_us)
		direct_lost(own->relay, "silent");
	else
		note_failure(own->relay, "answer lost");
	relay_next_route(own);
}

static void on_hedge(struct kn_timer *timer);

static void send_direct(struct relay_call *own)
{
	struct relay *relay = own->relay;
	struct direct_attempt *try = &own->direct[own->ndirect++];
	struct exchange_request request = {
		.method = own->method,
		.target = own->target,
		.body = own->body,
		.len = own->len,
		.timeout_ms = own->timeout_ms,
	};

	try->own = own;
	try->sent_us = kn_now_us();
	try->busy = true;
	try->call.done = on_direct_reply;
	try->call.user = try;
	relay->direct->ops->start(relay->direct, &try->call, &request);
	if (own->repeatable && !own->waits &&
	    own->ndirect < DIRECT_ATTEMPTS_MAX)
		kn_timer_set(relay->exchange.kn, &own->hedge_timer,
			     hedge_delay_us(relay), on_hedge);
}

static void on_hedge(struct kn_timer *timer)
{
	struct relay_call *own =
		container_of(timer, struct relay_call, hedge_timer);

	ctr_add(&own->relay->hedged, 1);
	send_direct(own);
}

void relay_try_direct(struct relay_call *own)
{
	own->way = ROUTE_DIRECT;
	own->ndirect = 0;
	own->sent_us = kn_now_us();
	send_direct(own);
	kn_timer_set(own->relay->exchange.kn, &own->timer,
		     own->expected_ms * USEC_PER_MSEC, on_direct_timeout);
}

void relay_stop_direct(struct relay_call *own)
{
	struct exchange *direct = own->relay->direct;
	int i;

	kn_timer_cancel(&own->hedge_timer);
	for (i = 0; i < own->ndirect; i++)
		if (own->direct[i].busy)
			direct->ops->cancel(direct, &own->direct[i].call);
	own->ndirect = 0;
}

void relay_stop_probe(struct relay *relay)
{
	if (relay->probing)
		relay->direct->ops->cancel(relay->direct, &relay->probe_call);
	kn_timer_cancel(&relay->probe_timer);
}
