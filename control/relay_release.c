#include "control/relay_int.h"

#include <string.h>

#include "base/err.h"
#include "wire/mp.h"

/* A question without answer is asked again; the process may be restarting. */
#define RELEASE_TIMEOUT_MS 400

static void ask(struct relay_release_request *question);

static void on_release_retry(struct kn_timer *timer)
{
	ask(container_of(timer, struct relay_release_request, timer));
}

static void on_answer(struct rpc_call *call)
{
	struct relay_release_request *question = call->user;
	void (*done)(void *user) = question->done;
	void *user = question->user;

	question->asking = false;
	if (call->result != CB_OK) {
		kn_timer_set(question->relay->exchange.kn, &question->timer,
			     RELEASE_TIMEOUT_MS * USEC_PER_MSEC,
			     on_release_retry);
		return;
	}
	kn_timer_cancel(&question->timer);
	done(user);
}

static void ask(struct relay_release_request *question)
{
	struct mp_out out;

	if (kn_now_us() > question->until_us)
		return;
	mp_begin(&out, 2);
	mp_uint(&out, RELAY_RELEASE_WORK);
	mp_int(&out, question->fence);
	question->call.user = question;
	question->asking = true;
	rpc_call_start(&question->call, &question->peer, out.buf.data,
		       out.buf.size, RELEASE_TIMEOUT_MS, on_answer);
	mp_end(&out);
}

void relay_request_release(struct relay_release_request *question,
			   struct relay *relay, const struct set_addr *at,
			   int64_t fence, int64_t until_us,
			   void (*done)(void *user), void *user)
{
	relay_cancel_release(question);
	memset(question, 0, sizeof(*question));
	question->relay = relay;
	question->fence = fence;
	question->until_us = until_us;
	question->done = done;
	question->user = user;
	question->open = true;
	rpc_peer_init(&question->peer, relay->exchange.kn, at->addr, at->port);
	ask(question);
}

void relay_cancel_release(struct relay_release_request *question)
{
	if (!question->open)
		return;
	question->open = false;
	kn_timer_cancel(&question->timer);
	if (question->asking)
		rpc_call_cancel(&question->call);
	question->asking = false;
	rpc_peer_finish(&question->peer);
}
