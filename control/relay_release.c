#include "control/relay_int.h"

#include <string.h>

#include "base/err.h"
#include "wire/mp.h"

/* Time-out of a request, and delay before it is repeated after an error: the
 * process may be restarting. */
#define RELEASE_TIMEOUT_MS 400

static void send_request(struct relay_release_request *req);

static void on_release_retry(struct kn_timer *timer)
{
	send_request(container_of(timer, struct relay_release_request, timer));
}

static void on_answer(struct rpc_call *call)
{
	struct relay_release_request *req = call->user;
	void (*done)(void *user) = req->done;
	void *user = req->user;

	req->calling = false;
	if (call->result != CB_OK) {
		kn_timer_set(req->relay->exchange.kn, &req->timer,
			     RELEASE_TIMEOUT_MS * USEC_PER_MSEC,
			     on_release_retry);
		return;
	}
	kn_timer_cancel(&req->timer);
	done(user);
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
			   void (*done)(void *user), void *user)
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
