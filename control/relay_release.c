#include "control/relay_int.h"

#include <string.h>

#include "base/err.h"
#include "wire/fr.h"
#include "wire/mp.h"

/* Time-out of a request, and delay before it is repeated after an error: the
 * process may be restarting. */
#define RELEASE_TIMEOUT_MS 400
#define RELEASE_AGO_MAX_MS (1LL << 40) /* 34 years */

static void send_request(struct relay_release_request *req);

static void on_release_retry(struct kn_timer *timer)
{
	send_request(container_of(timer, struct relay_release_request, timer));
}

/* Milliseconds for which the process has extended no lease, -1: it may do so,
 * or has not said so. */
static int64_t read_answer(const struct rpc_call *call)
{
	msgpack_unpacked unpacked;
	struct mp_in in = { 0 };
	int64_t ago_ms;

	if (call->result != CB_OK)
		return -1;
	if (fr_unpack(&unpacked, call->data, call->len, NULL))
		mp_open(&in, &unpacked.data);
	ago_ms = mp_get_int(&in);
	if (!in.ok || ago_ms > RELEASE_AGO_MAX_MS)
		ago_ms = -1;
	msgpack_unpacked_destroy(&unpacked);
	return ago_ms;
}

static void on_answer(struct rpc_call *call)
{
	struct relay_release_request *req = call->user;
	int64_t ago_ms = read_answer(call);

	req->calling = false;
	if (ago_ms < 0) {
		kn_timer_set(req->relay->exchange.kn, &req->timer,
			     RELEASE_TIMEOUT_MS * USEC_PER_MSEC,
			     on_release_retry);
		return;
	}
	kn_timer_cancel(&req->timer);
	req->done(req, kn_now_us() - ago_ms * USEC_PER_MSEC);
}

static void send_request(struct relay_release_request *req)
{
	struct mp_out out;

	if (kn_now_us() > req->until_us)
		return;
	mp_begin(&out, 2);
	mp_uint(&out, RELAY_RELEASE_WORK);
	mp_int(&out, req->fence);
	req->call.user = req;
	req->calling = true;
	rpc_call_start(&req->call, &req->peer, out.buf.data, out.buf.size,
		       RELEASE_TIMEOUT_MS, on_answer);
	mp_end(&out);
}

void relay_request_release(struct relay_release_request *req,
			   struct relay *relay, const struct set_addr *at,
			   int64_t fence, int64_t until_us,
			   void (*done)(struct relay_release_request *req,
					int64_t released_us),
			   void *user)
{
	relay_cancel_release(req);
	memset(req, 0, sizeof(*req));
	req->relay = relay;
	req->fence = fence;
	req->until_us = until_us;
	req->done = done;
	req->user = user;
	req->open = true;
	rpc_peer_init(&req->peer, relay->exchange.kn, at->addr, at->port);
	send_request(req);
}

void relay_cancel_release(struct relay_release_request *req)
{
	if (!req->open)
		return;
	req->open = false;
	kn_timer_cancel(&req->timer);
	if (req->calling)
		rpc_call_cancel(&req->call);
	req->calling = false;
	rpc_peer_finish(&req->peer);
}
