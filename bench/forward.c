#include "bench/forward.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hc.h"
#include "wire/hs.h"

struct forward {
	struct kn_task task;
	struct hs_server server;
	struct hc_pool pool;
	struct list_head waiting; /* hs_request.node */
	int port;
	const char *to_addr;
	int to_port;
	unsigned int conns;
};

struct hop {
	struct hc_call hc;
	struct forward *forward;
	struct hs_request *req; /* NULL when its caller has left */
};

static void start_waiting(struct forward *forward);

static void on_done(struct hc_call *hc)
{
	struct hop *hop = container_of(hc, struct hop, hc);
	struct forward *forward = hop->forward;

	if (hop->req && hc->result == CB_OK)
		hs_reply(hop->req, hc->status, &hc->headers, hc->body,
			 hc->body_len);
	else if (hop->req)
		hs_reply_error(hop->req, hc->result, NULL, 0);
	hc_call_finish(hc);
	g_free(hop);
	start_waiting(forward);
}

static void start_waiting(struct forward *forward)
{
	struct hs_request *req;
	struct hop *hop;

	while (!list_empty(&forward->waiting)) {
		req = list_first_entry(&forward->waiting, struct hs_request,
				       node);
		hop = g_new0(struct hop, 1);
		if (!hc_call_start(&hop->hc, &forward->pool, req->method,
				   req->target, &req->headers, req->body,
				   req->body_len, REQ_DEADLINE_DEFAULT_MS,
				   on_done)) {
			g_free(hop);
			return;
		}
		list_del(&req->node);
		hop->forward = forward;
		hop->req = req;
		req->user = hop;
	}
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct forward *forward = container_of(server, struct forward, server);

	list_add_tail(&req->node, &forward->waiting);
	start_waiting(forward);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct hop *hop = req->user;

	list_del(&req->node);
	if (hop)
		hop->req = NULL;
}

static const struct hs_ops server_ops = { .request = on_request,
					  .gone = on_gone };

static bool start(struct kn_task *task, GError **err)
{
	struct forward *forward = (struct forward *)task;

	if (!hs_init(&forward->server, task->kn, &server_ops, "127.0.0.1",
		     forward->port, err))
		return false;
	hc_pool_init(&forward->pool, task->kn, forward->to_addr,
		     forward->to_port, forward->conns);
	list_init(&forward->waiting);
	printf("trivial forwarder (not the gateway) port=%d pid=%d\n",
	       forward->server.port, (int)getpid());
	fflush(stdout);
	return true;
}

static void finish(struct kn_task *task)
{
	struct forward *forward = (struct forward *)task;

	hs_finish(&forward->server);
	hc_pool_finish(&forward->pool);
}

static const struct kn_task_ops ops = { .start = start, .finish = finish };

/* Runs until SIGTERM; returns the exit code. */
int forward_main(int port, const char *to_addr, int to_port, unsigned int conns,
		 GError **err)
{
	struct forward forward = { .port = port,
				   .to_addr = to_addr,
				   .to_port = to_port,
				   .conns = conns };
	struct kn kn;
	int code = 1;

	if (!kn_init(&kn, err))
		return 1;
	kn_handle_signals(&kn);
	kn_add(&kn, &forward.task, "forward", &ops);
	if (kn_start(&kn, err))
		code = kn_run(&kn);
	kn_finish(&kn);
	return code;
}
