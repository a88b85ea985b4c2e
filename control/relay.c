#include "control/relay_int.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "wire/fr.h"
#include "wire/mp.h"

/* A host that failed to serve a call is not used for this time. */
#define PEER_EXCLUSION_MS 500
/* Added to the time-out of a call that is relayed: the other host applies the
 * same time-out, and the round trip to it comes on top. */
#define PEER_MARGIN_MS 150
/* Added to the expected time of a call; a host that can reach the store answers
 * within it, otherwise the next host is tried. */
#define PEER_EXPECTED_MS 600
#define REPEATS_MAX 2 /* on the direct route, after lost answers */

static void try_peer(struct relay_call *rcall);

/* End of a call. */

static void peer_release(struct relay_call *rcall)
{
	struct relay_peer *peer = rcall->peer;

	rcall->peer = NULL;
	if (!peer || --peer->calls > 0 || !peer->removed)
		return;
	rpc_peer_finish(&peer->rpc);
	g_free(peer);
}

static void cancel_attempts(struct relay_call *rcall)
{
	kn_timer_cancel(&rcall->timer);
	relay_stop_direct(rcall);
	if (rcall->rpc_busy)
		rpc_call_cancel(&rcall->rpc);
	rcall->rpc_busy = false;
	peer_release(rcall);
}

static void relay_call_free(struct relay_call *rcall)
{
	cancel_attempts(rcall);
	list_del(&rcall->node);
	g_free(rcall->method);
	g_free(rcall->target);
	g_free(rcall->body);
	g_free(rcall);
}

static void reply_to_peer(struct relay_call *rcall, int result, int status,
			  const void *body, size_t len)
{
	struct mp_out out;

	mp_begin(&out, 4);
	mp_int(&out, result);
	mp_uint(&out, rcall->sent);
	mp_int(&out, status);
	mp_bin(&out, body, len);
	rpc_reply(rcall->request, out.buf.data, out.buf.size);
	mp_end(&out);
}

void relay_end_call(struct relay_call *rcall, int result, int status,
		    const void *body, size_t len)
{
	struct exchange_call *call = rcall->call;

	if (rcall->request) {
		reply_to_peer(rcall, result, status, body, len);
		relay_call_free(rcall);
		return;
	}
	call->result = result;
	call->sent = rcall->sent;
	call->status = status;
	call->body = body;
	call->body_len = len;
	call->impl = NULL;
	list_del(&rcall->node);
	call->done(call);
	relay_call_free(rcall);
}

/*
 * Fails a call that has no route left. Returns a refusal by the store as such
 * unless the store may have received an earlier attempt.
 */
static void fail_call(struct relay_call *rcall)
{
	if (rcall->status != 0 && !rcall->sent)
		relay_end_call(rcall, CB_OK, rcall->status, NULL, 0);
	else
		relay_end_call(rcall,
			       rcall->sent ? CB_E_TIMEOUT : CB_E_STORE_DOWN, 0,
			       NULL, 0);
}

static bool time_is_left(const struct relay_call *rcall)
{
	return kn_now_us() < rcall->deadline_us;
}

void relay_next_route(struct relay_call *rcall)
{
	cancel_attempts(rcall);
	if (!time_is_left(rcall) || (rcall->sent && !rcall->repeatable)) {
		fail_call(rcall);
		return;
	}
	if (!rcall->relay->direct_down && rcall->status == 0 &&
	    rcall->route == ROUTE_DIRECT && rcall->repeats < REPEATS_MAX) {
		rcall->repeats++;
		relay_try_direct(rcall);
		return;
	}
	try_peer(rcall);
}

/* Route through another host. */

static bool was_tried(const struct relay_call *rcall,
		      const struct relay_peer *peer)
{
	int i;

	for (i = 0; i < rcall->ntried; i++)
		if (rcall->tried[i] == peer)
			return true;
	return false;
}

static struct relay_peer *pick_peer(const struct relay_call *rcall)
{
	const struct relay *relay = rcall->relay;
	int64_t now_us = kn_now_us();
	guint i;

	for (i = 0; i < relay->peers->len; i++) {
		struct relay_peer *peer = g_ptr_array_index(relay->peers, i);

		if (peer->excluded_until_us <= now_us &&
		    !was_tried(rcall, peer))
			return peer;
	}
	return NULL;
}

static void peer_failed(struct relay_call *rcall)
{
	if (rcall->peer)
		rcall->peer->excluded_until_us =
			kn_now_us() + PEER_EXCLUSION_MS * USEC_PER_MSEC;
	relay_next_route(rcall);
}

static void on_peer_reply(struct rpc_call *call)
{
	struct relay_call *rcall = call->user;
	struct mp_in in = { 0 };
	msgpack_unpacked unpacked;
	int64_t result, status;
	const void *body;
	bool sent;
	size_t len;

	rcall->rpc_busy = false;
	kn_timer_cancel(&rcall->timer);
	if (call->result != CB_OK) {
		rcall->sent |= call->sent;
		peer_failed(rcall);
		return;
	}
	if (fr_unpack(&unpacked, call->data, call->len, NULL))
		mp_open(&in, &unpacked.data);
	result = mp_get_int(&in);
	sent = mp_get_uint(&in);
	status = mp_get_int(&in);
	body = mp_get_bin(&in, &len);
	if (!in.ok) {
		log_warn("relay.malformed", "bytes=%zu result=%d", call->len,
			 CB_E_PEER_PROTOCOL);
		rcall->sent = true;
		peer_failed(rcall);
	} else if (result != CB_OK || relay_is_refusal((int)status)) {
		rcall->sent |= sent || (result == CB_OK &&
					!relay_nothing_done((int)status));
		rcall->status = result == CB_OK ? (int)status : rcall->status;
		peer_failed(rcall);
	} else {
		ctr_add(&rcall->relay->relayed, 1);
		relay_end_call(rcall, CB_OK, (int)status, body, len);
	}
	msgpack_unpacked_destroy(&unpacked);
}

static void on_peer_timeout(struct kn_timer *timer)
{
	struct relay_call *rcall =
		container_of(timer, struct relay_call, timer);

	rcall->sent = true;
	peer_failed(rcall);
}

static void try_peer(struct relay_call *rcall)
{
	struct relay *relay = rcall->relay;
	struct relay_peer *peer = rcall->request ? NULL : pick_peer(rcall);
	struct mp_out out;

	if (!peer || rcall->ntried >= PEER_ATTEMPTS_MAX) {
		fail_call(rcall);
		return;
	}
	rcall->route = ROUTE_PEER;
	rcall->tried[rcall->ntried++] = peer;
	rcall->peer = peer;
	peer->calls++;
	mp_begin(&out, 8);
	mp_uint(&out, RELAY_STORE_CALL);
	mp_str(&out, rcall->method);
	mp_str(&out, rcall->target);
	mp_bin(&out, rcall->body, rcall->len);
	mp_int(&out, rcall->timeout_ms);
	mp_int(&out, rcall->expected_ms);
	mp_uint(&out, rcall->repeatable);
	mp_int(&out, rcall->wait_ms);
	rcall->rpc.user = rcall;
	rcall->rpc_busy = true;
	rpc_call_start(&rcall->rpc, &peer->rpc, out.buf.data, out.buf.size,
		       rcall->timeout_ms + PEER_MARGIN_MS, on_peer_reply);
	kn_timer_set(relay->exchange.kn, &rcall->timer,
		     (rcall->expected_ms + PEER_EXPECTED_MS) * USEC_PER_MSEC,
		     on_peer_timeout);
	mp_end(&out);
}

/*
 * Once the direct route works again, the other host may still be without the
 * store, and a call would wait for it until its timeout.
 */
void relay_leave_peers(struct relay *relay)
{
	struct relay_call *rcall;

	list_for_each_entry(rcall, &relay->calls, node) {
		if (!rcall->rpc_busy || !rcall->repeatable)
			continue;
		rcall->sent = true;
		cancel_attempts(rcall);
		relay_try_direct(rcall);
	}
}

/* Calls of this host. */

static struct relay_call *
relay_call_new(struct relay *relay, const char *method, const char *target,
	       const void *body, size_t len, int64_t timeout_ms,
	       int64_t expected_ms, bool repeatable, int64_t wait_ms)
{
	struct relay_call *rcall = g_new0(struct relay_call, 1);

	rcall->relay = relay;
	rcall->method = g_strdup(method);
	rcall->target = g_strdup(target);
	rcall->body = body ? g_memdup2(body, len) : NULL;
	rcall->len = len;
	rcall->timeout_ms = timeout_ms;
	rcall->expected_ms = expected_ms;
	rcall->repeatable = repeatable;
	rcall->wait_ms = wait_ms;
	/* Time for an attempt that is lost and one that is answered. */
	rcall->deadline_us =
		kn_now_us() + (timeout_ms + expected_ms) * USEC_PER_MSEC;
	list_add_tail(&rcall->node, &relay->calls);
	return rcall;
}

/* Runs from a timer, as done() must not be called from within start(). */
static void on_deferred_start(struct kn_timer *timer)
{
	try_peer(container_of(timer, struct relay_call, timer));
}

static void relay_start(struct exchange *exchange, struct exchange_call *call,
			const struct exchange_request *request)
{
	struct relay *relay = container_of(exchange, struct relay, exchange);
	struct relay_call *rcall;

	rcall = relay_call_new(relay, request->method, request->target,
			       request->body, request->len, request->timeout_ms,
			       request->expected_ms, request->repeatable,
			       request->wait_ms);
	rcall->call = call;
	call->impl = rcall;
	if (relay->direct_down)
		kn_timer_set(exchange->kn, &rcall->timer, 0, on_deferred_start);
	else
		relay_try_direct(rcall);
}

static void relay_cancel(struct exchange *exchange, struct exchange_call *call)
{
	struct relay_call *rcall = call->impl;

	if (!rcall)
		return;
	call->impl = NULL;
	relay_call_free(rcall);
}

static void relay_refresh(struct exchange *exchange)
{
	struct relay *relay = container_of(exchange, struct relay, exchange);

	relay->direct->ops->refresh(relay->direct);
}

/* Calls of other hosts. */

static void on_store_call(struct relay *relay, struct rpc_request *request,
			  struct mp_in *in)
{
	char *method = mp_get_str(in);
	char *target = mp_get_str(in);
	int64_t timeout_ms, expected_ms, wait_ms;
	struct relay_call *rcall;
	const void *body;
	bool repeatable;
	size_t len;

	body = mp_get_bin(in, &len);
	timeout_ms = mp_get_int(in);
	expected_ms = mp_get_int(in);
	repeatable = mp_get_uint(in);
	wait_ms = mp_get_int(in);
	rcall = relay_call_new(relay, method ? method : "",
			       target ? target : "", len ? body : NULL, len,
			       CLAMP(timeout_ms, 1, 60000),
			       CLAMP(expected_ms, 1, 60000), repeatable,
			       CLAMP(wait_ms, 0, 60000));
	rcall->request = request;
	ctr_add(&relay->served, 1);
	if (!in->ok || !method || !target || relay->direct_down)
		fail_call(rcall);
	else
		relay_try_direct(rcall);
	g_free(method);
	g_free(target);
}

/* Answers with the time since which this process extends no lease, or with an
 * error if it still does. */
static void on_release_work(struct relay *relay, struct rpc_request *request,
			    int64_t fence)
{
	int64_t released_us = relay->release_work ?
				      relay->release_work(relay->user, fence) :
				      -1;
	struct mp_out out;

	if (released_us < 0) {
		rpc_reply(request, NULL, 0);
		return;
	}
	mp_begin(&out, 1);
	mp_int(&out, MAX(kn_now_us() - released_us, 0) / USEC_PER_MSEC);
	rpc_reply(request, out.buf.data, out.buf.size);
	mp_end(&out);
}

static void on_request(struct rpc_server *server, struct rpc_request *request)
{
	struct relay *relay = container_of(server, struct relay, server);
	msgpack_unpacked unpacked;
	struct mp_in in = { 0 };
	uint64_t verb;

	if (fr_unpack(&unpacked, request->data, request->len, NULL))
		mp_open(&in, &unpacked.data);
	verb = mp_get_uint(&in);
	if (in.ok && verb == RELAY_STORE_CALL) {
		on_store_call(relay, request, &in);
	} else if (in.ok && verb == RELAY_RELEASE_WORK) {
		on_release_work(relay, request, mp_get_int(&in));
	} else {
		log_warn("relay.malformed", "bytes=%zu result=%d", request->len,
			 CB_E_PEER_PROTOCOL);
		rpc_reply(request, "", 0);
	}
	msgpack_unpacked_destroy(&unpacked);
}

static const struct rpc_server_ops server_ops = { .request = on_request };

/* Life cycle. */

static void relay_finish(struct exchange *exchange)
{
	struct relay *relay = container_of(exchange, struct relay, exchange);
	struct relay_call *rcall, *next;

	list_for_each_entry_safe(rcall, next, &relay->calls, node) {
		if (rcall->request) {
			rpc_reply(rcall->request, NULL, 0);
			rcall->request = NULL;
		}
		relay_call_free(rcall);
	}
	relay_stop_probe(relay);
	if (relay->serving)
		rpc_server_finish(&relay->server);
	while (relay->peers->len > 0)
		relay_drop_peer(relay, g_ptr_array_index(relay->peers, 0));
	g_ptr_array_unref(relay->peers);
	relay->direct->ops->finish(relay->direct);
	ctr_finish(&relay->relayed);
	ctr_finish(&relay->served);
	ctr_finish(&relay->direct_lost);
	ctr_finish(&relay->hedged);
	g_free(relay);
}

static const struct exchange_ops relay_ops = {
	.start = relay_start,
	.cancel = relay_cancel,
	.refresh = relay_refresh,
	.finish = relay_finish,
};

struct relay *relay_new(struct kn *kn, const struct site *site,
			struct exchange *direct, const char *probe)
{
	struct relay *relay = g_new0(struct relay, 1);
	size_t i;

	relay->exchange.ops = &relay_ops;
	relay->exchange.kn = kn;
	relay->direct = direct;
	relay->site = site;
	relay->probe = probe;
	relay->latency_us = INITIAL_LATENCY_MS * USEC_PER_MSEC;
	relay->peers = g_ptr_array_new();
	list_init(&relay->calls);
	ctr_init(&relay->relayed, &kn->counters, CTR_COUNTER,
		 "chivebank_store_relayed_total", NULL,
		 "Calls to the store that went through another host");
	ctr_init(&relay->served, &kn->counters, CTR_COUNTER,
		 "chivebank_store_served_total", NULL,
		 "Calls to the store that were passed on for other hosts");
	ctr_init(&relay->direct_lost, &kn->counters, CTR_COUNTER,
		 "chivebank_store_lost_total", NULL,
		 "Times that the direct way to the store was lost");
	ctr_init(&relay->hedged, &kn->counters, CTR_COUNTER,
		 "chivebank_store_hedged_total", NULL,
		 "Calls to the store that were sent again before an answer");
	for (i = 0; i < site->seed_count; i++)
		relay_add_peer(relay, "", &site->seeds[i], 2);
	return relay;
}

bool relay_listen(struct relay *relay, GError **err)
{
	const struct set_addr *at = &relay->site->peers;

	if (at->port == 0)
		return true;
	relay->serving = rpc_server_init(&relay->server, relay->exchange.kn,
					 &server_ops, at->addr, at->port, err);
	return relay->serving;
}
