#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/requests/req_int.h"

/* Answers to callers and peers. */

static void free_call_msg(struct kn_msg *msg)
{
	req_call_free((struct req_call *)msg);
}

struct req_call *req_call_new(void)
{
	struct req_call *call = g_new0(struct req_call, 1);

	call->msg.type = REQ_SUBMIT;
	call->msg.release = free_call_msg;
	call->class_ = -1;
	http_headers_init(&call->headers);
	http_headers_init(&call->reply_headers);
	return call;
}

void req_call_free(struct req_call *call)
{
	g_free(call->method);
	g_free(call->target);
	g_free(call->key);
	g_free(call->body);
	g_free(call->reply);
	http_headers_finish(&call->headers);
	http_headers_finish(&call->reply_headers);
	g_free(call);
}

void req_free(struct req *req)
{
	struct req_task *r = req->r;

	list_del(&req->node);
	list_del(&req->waiter.node);
	r->req_count--;
	if (req->local_id != 0)
		g_hash_table_remove(r->local, &req->local_id);
	if (req->call)
		req_call_free(req->call);
	g_free(req);
	req_check_drained(r);
}

static void count_outcome(struct req_task *r, const struct req_call *call)
{
	if (call->outcome == IDEM_ANSWERED)
		ctr_add(&r->ctrs.answered, 1);
	else if (call->outcome == IDEM_UNKNOWN)
		ctr_add(&r->ctrs.unknown, 1);
	else
		ctr_add(&r->ctrs.not_run, 1);
	if (call->outcome != IDEM_ANSWERED)
		req_count_unanswered(r, call->result);
}

void req_answer(struct req *req)
{
	struct req_task *r = req->r;
	struct req_call *call;

	count_outcome(r, req->call);
	/* Requests that wait for the same key are answered first. */
	if (req->entry)
		req_key_end(req);
	if (req->from_host[0] != '\0') {
		req_forward_reply_out(req);
	} else if (req->call->msg.from) {
		call = req->call;
		req->call = NULL;
		call->msg.type = REQ_REPLY;
		kn_send(call->msg.from, &r->task, &call->msg);
	}
	req_free(req);
}

static int retry_after(int result)
{
	switch (result) {
	case CB_E_OVERLOADED:
	case CB_E_DEADLINE:
	case CB_E_NO_SERVER:
	case CB_E_DRAINING:
	case CB_E_QUEUE_FULL:
	case CB_E_REGION_BUDGET:
		return 1;
	case CB_E_STORE_DOWN:
		return 5;
	}
	return 0;
}

/*
 * Answers that a request was not run, or, when an earlier attempt may have run,
 * that its outcome is unknown.
 */
void req_answer_not_run(struct req *req, int result)
{
	if (req->maybe_ran) {
		req_answer_unknown(req, req->maybe_result);
		return;
	}
	/* Result codes 3xx are for unknown outcomes only. */
	if (result / 100 == 3)
		result = CB_E_NO_SERVER;
	req->call->outcome = IDEM_NOT_RUN;
	req->call->result = result;
	req->call->status = cb_result_http(result);
	req->call->retry_after_s = retry_after(result);
	req_answer(req);
}

void req_answer_unknown(struct req *req, int result)
{
	if (result / 100 != 3)
		result = CB_E_UPSTREAM_LOST;
	req->call->outcome = IDEM_UNKNOWN;
	req->call->result = result;
	req->call->status = cb_result_http(result);
	req_answer(req);
}

/* Submission and queue. */

static bool is_idempotent(const char *method)
{
	return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

/*
 * Sets the state of a request and moves it to the list for that state. The list
 * suspended holds the requests that are not in a queue or at a server, so that
 * req_expire() checks the deadlines of only these.
 */
void req_set_state(struct req *req, enum req_state state)
{
	bool suspended = state == REQ_ST_CLAIMING || state == REQ_ST_WAITING ||
			 state == REQ_ST_FORWARDED;

	req->state = state;
	list_del(&req->node);
	list_add_tail(&req->node,
		      suspended ? &req->r->suspended : &req->r->active);
}

/*
 * Checks a new request against the document, sets its deadline, and queues it
 * or, if it has a key, checks the key first.
 */
void req_submit(struct req_task *r, struct req *req)
{
	const struct doc_service *service;
	struct req_call *call = req->call;
	int64_t ms = call->deadline_ms;

	req->r = r;
	list_init(&req->waiter.node);
	list_add_tail(&req->node, &r->active);
	r->req_count++;
	req->idempotent = is_idempotent(call->method);
	req->deadline_us = kn_now_us();
	if (r->refusing) {
		req_answer_not_run(req, CB_E_DRAINING);
		return;
	}
	if (!r->view || !doc_view_customer(r->view, call->customer)) {
		req_answer_not_run(req, r->view ? CB_E_UNKNOWN_CUSTOMER :
						  CB_E_STORE_DOWN);
		return;
	}
	service = doc_view_service(r->view, call->service);
	if (!service) {
		req_answer_not_run(req, CB_E_UNKNOWN_SERVICE);
		return;
	}
	if (ms <= 0)
		ms = service->deadline_ms;
	if (ms <= 0)
		ms = REQ_DEADLINE_DEFAULT_MS;
	if (ms > REQ_DEADLINE_MAX_MS)
		ms = REQ_DEADLINE_MAX_MS;
	req->deadline_us += ms * USEC_PER_MSEC;
	retry_budget_request(&r->retry_budget, kn_now_us());
	if (call->key)
		req_key_begin(req);
	else
		req_enqueue(req);
}

static int total_waiting(const struct req_task *r)
{
	const struct req_group *group;
	int n = 0;

	list_for_each_entry(group, &r->groups, node)
		n += group->admission.waiting;
	return n;
}

/*
 * Queues a request, forwards it when only another data centre can run it, or
 * refuses it.
 */
void req_enqueue(struct req *req)
{
	struct req_task *r = req->r;
	struct req_call *call = req->call;
	const struct doc_service *service;
	struct admission_customer *customer;
	int result;

	req->group = req_group_get(r, call->service);
	if (req_must_forward(req)) {
		req_forward_or_refuse(req);
		return;
	}
	if (!req_group_has_usable_server(req->group)) {
		req_answer_not_run(req, CB_E_NO_SERVER);
		return;
	}
	/* The document may have changed while the key was being claimed. */
	service = doc_view_service(r->view, call->service);
	customer =
		admission_customer_find(&req->group->admission, call->customer);
	if (!customer || customer->removed || !service) {
		req_answer_not_run(req, service ? CB_E_CUSTOMER_REMOVED :
						  CB_E_UNKNOWN_SERVICE);
		return;
	}
	if (total_waiting(r) >= REQ_WAITING_MAX) {
		req_answer_not_run(req, CB_E_QUEUE_FULL);
		return;
	}
	result = admission_enqueue(
		&req->group->admission, &req->item, customer,
		admission_service_get(&req->group->admission, call->service,
				      service->class_, service->short_limit_ms),
		call->class_ == DOC_LONG, req->deadline_us, kn_now_us());
	if (result != CB_OK) {
		req_answer_not_run(req, result);
		return;
	}
	req_set_state(req, REQ_ST_QUEUED);
	req_ensure_tick(r);
	req_dispatch(r);
}

/* Attempts at backend servers. */

static void on_done(struct backend_call *back);

/* Starts an attempt at a server; false when nothing was sent. */
static bool start_attempt(struct req *req, struct req_server *server,
			  int64_t now_us)
{
	const struct req_call *call = req->call;
	struct backend_request request = {
		.addr = server->membership.addr,
		.port = server->membership.port,
		.method = call->method,
		.target = call->target,
		.headers = &call->headers,
		.body = call->body,
		.len = call->body_len,
		.timeout_ms = (req->deadline_us - now_us) / USEC_PER_MSEC + 1,
	};

	req->server = server;
	req->attempts++;
	if (!req->r->back->ops->start(req->r->back, &req->back, &request,
				      on_done))
		return false;
	req_set_state(req, REQ_ST_RUNNING);
	slot_credits_start(&server->endpoint->slots);
	routing_start(&server->routing);
	return true;
}

/* Number of requests that this host may start at a server now. */
static int free_slots(const struct req_server *server, int64_t now_us)
{
	int slots = slot_credits_available(&server->endpoint->slots, now_us);
	int allowed = membership_max_in_flight(&server->membership) -
		      server->routing.in_flight;

	return slots < allowed ? slots : allowed;
}

/* The servers of a group with free slots, and the slots of the group. */
struct capacity {
	struct routing_server **usable;
	size_t n;
	int free;
	int slots;
};

static void find_capacity(const struct req_group *group, struct capacity *c,
			  int64_t now_us)
{
	struct req_server *server;
	int n;
	guint i;

	c->n = 0;
	c->free = 0;
	c->slots = 0;
	for (i = 0; i < group->servers->len; i++) {
		server = g_ptr_array_index(group->servers, i);
		if (membership_max_in_flight(&server->membership) <= 0)
			continue;
		c->slots += server->routing.in_flight;
		n = free_slots(server, now_us);
		if (n <= 0)
			continue;
		c->free += n;
		c->slots += n;
		c->usable[c->n++] = &server->routing;
	}
}

/* Picks a server, if possible not the one of the last attempt, which failed. */
static struct req_server *choose_server(struct req *req, struct capacity *c,
					int64_t now_us)
{
	struct routing_server *chosen;
	size_t i;

	for (i = 0; req->server && c->n > 1 && i < c->n; i++)
		if (c->usable[i] == &req->server->routing) {
			c->usable[i] = c->usable[--c->n];
			break;
		}
	chosen = routing_pick(c->usable, c->n, req->r->rand, now_us);
	return container_of(chosen, struct req_server, routing);
}

/*
 * Handles a failed attempt: the request goes back to its queue when it may be
 * retried, else it ends. sent: the server may have received it.
 */
static void retry_or_end(struct req *req, bool sent, int result)
{
	struct req_task *r = req->r;
	int64_t now_us = kn_now_us();
	bool may_retry = (!sent || req->idempotent) &&
			 now_us < req->deadline_us &&
			 req->attempts < REQ_ATTEMPTS_MAX;

	if (sent) {
		req->maybe_ran = true;
		req->maybe_result = result;
	}
	if (may_retry && retry_budget_retry(&r->retry_budget, now_us)) {
		ctr_add(&r->ctrs.retries, 1);
		req_set_state(req, REQ_ST_QUEUED);
		admission_requeue(&req->group->admission, &req->item);
		if (req_must_forward(req)) {
			req_dequeue(req);
			req_forward_or_refuse(req);
		}
		return;
	}
	if (may_retry)
		ctr_add(&r->ctrs.retries_denied, 1);
	admission_done(&req->group->admission, &req->item, false, now_us);
	req_set_state(req, REQ_ST_NEW);
	req_answer_not_run(req, result);
}

static void take_answer(struct req *req)
{
	struct req_call *call = req->call;
	struct backend_call *back = &req->back;

	call->outcome = IDEM_ANSWERED;
	call->result = CB_OK;
	call->status = back->status;
	http_headers_finish(&call->reply_headers);
	call->reply_headers = back->headers;
	http_headers_init(&back->headers);
	call->reply = back->body;
	call->reply_len = back->body_len;
	back->body = NULL;
}

static void on_done(struct backend_call *back)
{
	struct req *req = container_of(back, struct req, back);
	struct req_task *r = req->r;
	struct req_server *server = req->server;
	enum backend_outcome outcome = back->outcome;
	int result = back->result;

	slot_credits_end(&server->endpoint->slots);
	routing_end(&server->routing,
		    outcome == BACKEND_ANSWERED ? back->latency_us : 0,
		    kn_now_us());
	if (outcome == BACKEND_ANSWERED) {
		take_answer(req);
		backend_call_finish(back);
		admission_done(&req->group->admission, &req->item, true,
			       kn_now_us());
		req_set_state(req, REQ_ST_NEW);
		req_answer(req);
	} else {
		backend_call_finish(back);
		retry_or_end(req, outcome == BACKEND_UNKNOWN, result);
	}
	req_dispatch(r);
}

static void dispatch_group(struct req_group *group, struct capacity *c)
{
	int64_t now_us = kn_now_us();
	struct admission_item *item;
	struct req *req;

	while (group->admission.waiting > 0) {
		req_forward_queued(group);
		find_capacity(group, c, now_us);
		item = admission_dequeue(&group->admission, c->free, c->slots,
					 now_us);
		if (!item)
			return;
		req = container_of(item, struct req, item);
		ctr_observe(item->class_ == DOC_SHORT ?
				    &group->r->ctrs.wait_short_us :
				    &group->r->ctrs.wait_long_us,
			    (uint64_t)(now_us - item->arrived_us));
		if (!start_attempt(req, choose_server(req, c, now_us), now_us))
			retry_or_end(req, false, CB_E_NO_SERVER);
	}
}

/* Starts the queued requests for which servers have free slots. */
void req_dispatch(struct req_task *r)
{
	struct req_group *group;
	struct capacity c;
	size_t servers = 0;

	list_for_each_entry(group, &r->groups, node)
		if (group->servers->len > servers)
			servers = group->servers->len;
	if (servers == 0)
		return;
	c.usable = g_new(struct routing_server *, servers);
	list_for_each_entry(group, &r->groups, node)
		dispatch_group(group, &c);
	g_free(c.usable);
}

/* Deadlines and cancellation. */

/*
 * Ends requests whose deadline has passed. A forwarded request gets
 * FORWARD_GRACE_MS more for the answer of the peer to arrive.
 */
void req_expire(struct req_task *r, int64_t now_us)
{
	struct req_group *group;
	struct req *req, *tmp;

	list_for_each_entry(group, &r->groups, node)
		admission_tick(&group->admission, now_us);
	list_for_each_entry_safe(req, tmp, &r->suspended, node) {
		if (now_us < req->deadline_us)
			continue;
		if (req->state == REQ_ST_CLAIMING) {
			req_answer_not_run(req, CB_E_DEADLINE);
		} else if (req->state == REQ_ST_WAITING) {
			req_answer_unknown(req, CB_E_UPSTREAM_TIMEOUT);
		} else if (now_us >= req->deadline_us +
					     FORWARD_GRACE_MS * USEC_PER_MSEC) {
			req_forward_cancel(req);
			req_answer_unknown(req, CB_E_OWNER_UNREACHABLE);
		} else {
			continue;
		}
		/* Answering may have ended other requests of the list. */
		tmp = list_first_entry(&r->suspended, struct req, node);
	}
}

/*
 * Ends an attempt as its deadline would: the outcome is unknown if a byte may
 * have arrived at the server.
 */
static void end_attempt(struct req *req)
{
	struct req_server *server = req->server;
	struct req_task *r = req->r;
	int64_t now_us = kn_now_us();

	if (r->back->ops->cancel(r->back, &req->back)) {
		req->maybe_ran = true;
		req->maybe_result = CB_E_UPSTREAM_TIMEOUT;
	}
	backend_call_finish(&req->back);
	slot_credits_end(&server->endpoint->slots);
	routing_end(&server->routing, 0, now_us);
	admission_done(&req->group->admission, &req->item, false, now_us);
	req_set_state(req, REQ_ST_NEW);
}

/* The caller learns only that the request may have run. */
static void log_unknown(const struct req *req, int result)
{
	int64_t left_ms = (req->deadline_us - kn_now_us()) / USEC_PER_MSEC;

	log_warn("request.unfinished",
		 "service=%s method=%s target=%.64s result=%d"
		 " left_ms=%" G_GINT64_FORMAT,
		 req->call->service, req->call->method, req->call->target,
		 result, left_ms);
}

/* Answers all requests, as the process is about to end. */
void req_end_all(struct req_task *r)
{
	struct req *req;

	while (!list_empty(&r->active)) {
		req = list_first_entry(&r->active, struct req, node);
		if (req->state == REQ_ST_QUEUED)
			req_dequeue(req);
		else if (req->state == REQ_ST_RUNNING)
			end_attempt(req);
		if (req->maybe_ran)
			log_unknown(req, req->maybe_result);
		req_answer_not_run(req, CB_E_DRAINING);
	}
	while (!list_empty(&r->suspended)) {
		req = list_first_entry(&r->suspended, struct req, node);
		if (req->state == REQ_ST_CLAIMING) {
			req_answer_not_run(req, CB_E_DRAINING);
		} else if (req->state == REQ_ST_WAITING) {
			log_unknown(req, CB_E_UPSTREAM_TIMEOUT);
			req_answer_unknown(req, CB_E_UPSTREAM_TIMEOUT);
		} else {
			req_forward_cancel(req);
			log_unknown(req, CB_E_OWNER_UNREACHABLE);
			req_answer_unknown(req, CB_E_OWNER_UNREACHABLE);
		}
	}
}

static struct req *find_from_peer(struct list_head *list, const char *host,
				  uint64_t id)
{
	struct req *req;

	list_for_each_entry(req, list, node)
		if (req->from_id == id && strcmp(req->from_host, host) == 0)
			return req;
	return NULL;
}

/*
 * Cancels a request whose caller, or the peer host if not NULL, no longer waits
 * for the answer. A queued request is removed from its queue. A request at a
 * server goes on: the server would run it to the end anyway, and the slot stays
 * in use until then.
 */
void req_cancel(struct req_task *r, const char *host, uint64_t id)
{
	struct req *req;

	if (!host)
		req = g_hash_table_lookup(r->local, &id);
	else if (!(req = find_from_peer(&r->active, host, id)))
		req = find_from_peer(&r->suspended, host, id);
	if (!req)
		return;
	if (!host)
		req->call->msg.from = NULL;
	if (req->state == REQ_ST_QUEUED) {
		admission_cancel(&req->group->admission, &req->item);
		req_set_state(req, REQ_ST_NEW);
		req_answer_not_run(req, CB_E_DEADLINE);
	} else if (!host && req->state == REQ_ST_FORWARDED) {
		req_forward_cancel(req);
	}
}
