#include "wire/exchange.h"

#include <string.h>

#include "base/err.h"
#include "wire/hc.h"

struct direct {
	struct exchange exchange;
	struct hc_pool pool;
	struct list_head calls; /* struct direct_call */
};

struct direct_call {
	struct list_head node;
	struct exchange_call *call;
	struct hc_call hc;
	struct kn_timer timer; /* for a call that found no connection */
};

static void call_free(struct direct_call *own)
{
	list_del(&own->node);
	kn_timer_cancel(&own->timer);
	g_free(own);
}

static void on_reply(struct hc_call *hc)
{
	struct direct_call *own = container_of(hc, struct direct_call, hc);
	struct exchange_call *call = own->call;

	call->result = hc->result;
	call->sent = hc->sent;
	call->status = hc->status;
	call->body = hc->body;
	call->body_len = hc->body_len;
	call->impl = NULL;
	list_del(&own->node);
	call->done(call);
	hc_call_finish(hc);
	g_free(own);
}

static void on_busy(struct kn_timer *timer)
{
	struct direct_call *own =
		container_of(timer, struct direct_call, timer);
	struct exchange_call *call = own->call;

	call->result = CB_E_OVERLOADED;
	call->sent = false;
	call->impl = NULL;
	call_free(own);
	call->done(call);
}

static void direct_start(struct exchange *exchange, struct exchange_call *call,
			 const struct exchange_request *request)
{
	struct direct *direct = container_of(exchange, struct direct, exchange);
	struct direct_call *own = g_new0(struct direct_call, 1);
	struct http_headers headers;
	size_t i;

	own->call = call;
	call->impl = own;
	call->status = 0;
	call->body = NULL;
	call->body_len = 0;
	list_add_tail(&own->node, &direct->calls);
	http_headers_init(&headers);
	for (i = 0; request->headers && i < request->headers->count; i++)
		http_headers_add(&headers, request->headers->items[i].name,
				 request->headers->items[i].value);
	if (request->body)
		http_headers_add(&headers, "Content-Type", "application/json");
	if (!hc_call_start(&own->hc, &direct->pool, request->method,
			   request->target, &headers, request->body,
			   request->len, request->timeout_ms, on_reply))
		kn_timer_set(exchange->kn, &own->timer, 0, on_busy);
	http_headers_finish(&headers);
}

static void direct_cancel(struct exchange *exchange, struct exchange_call *call)
{
	struct direct_call *own = call->impl;

	if (!own)
		return;
	call->impl = NULL;
	if (!kn_timer_pending(&own->timer))
		hc_call_cancel(&own->hc);
	call_free(own);
}

static void direct_refresh(struct exchange *exchange)
{
	struct direct *direct = container_of(exchange, struct direct, exchange);
	unsigned int max_conns = direct->pool.max_conns;

	hc_pool_limit(&direct->pool, 0);
	hc_pool_limit(&direct->pool, max_conns);
}

static void direct_finish(struct exchange *exchange)
{
	struct direct *direct = container_of(exchange, struct direct, exchange);
	struct direct_call *own, *next;

	list_for_each_entry_safe(own, next, &direct->calls, node)
		direct_cancel(exchange, own->call);
	hc_pool_finish(&direct->pool);
	g_free(direct);
}

static const struct exchange_ops direct_ops = {
	.start = direct_start,
	.cancel = direct_cancel,
	.refresh = direct_refresh,
	.finish = direct_finish,
};

struct exchange *exchange_direct_new(struct kn *kn, const char *addr, int port,
				     unsigned int max_conns)
{
	struct direct *direct = g_new0(struct direct, 1);

	direct->exchange.ops = &direct_ops;
	direct->exchange.kn = kn;
	list_init(&direct->calls);
	hc_pool_init(&direct->pool, kn, addr, port, max_conns);
	direct->pool.connect_timeout_ms = EXCHANGE_CONNECT_TIMEOUT_MS;
	direct->pool.ack_timeout_ms = EXCHANGE_ACK_TIMEOUT_MS;
	direct->pool.body_max_bytes = STORE_REPLY_MAX_BYTES;
	return &direct->exchange;
}
