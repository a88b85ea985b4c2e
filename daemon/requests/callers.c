#include "daemon/requests/callers.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/requests/req.h"
#include "daemon/svc.h"
#include "daemon/stop.h"
#include "wire/hs_stop.h"
#include "wire/stop_log.h"

/* Why a request, or its reply, did not reach its caller whole. */
enum cut_cause { CUT_BY_CALLER, CUT_BY_STOP, CUT_REPLY, CUT_CAUSES };

struct callers {
	struct kn_task task;
	const struct set *set;
	struct kn_task *requests;
	struct hs_server server;
	GHashTable *pending; /* id to struct hs_request, until the reply */
	uint64_t next_id;
	bool draining; /* /healthz returns 503; requests are still accepted */
	bool refusing; /* the drain delay is over: requests are rejected */
	struct kn_timer settle; /* the drain delay */
	struct hs_stop stop;
	struct stop_log log;
	bool finishing;
	struct ctr received;
	struct ctr malformed;
	struct ctr pending_now;
	struct ctr disconnected;
	struct ctr cuts[CUT_CAUSES];
};

static struct callers *server_to_callers(struct hs_server *server)
{
	return container_of(server, struct callers, server);
}

static void reject(struct callers *callers, struct hs_request *req, int code,
		   const char *detail)
{
	ctr_add(&callers->malformed, 1);
	hs_reply_error(req, code, detail, 0);
}

static void refuse_draining(struct callers *callers, struct hs_request *req)
{
	stop_log_answer(&callers->log, 503);
	hs_reply_error(req, CB_E_DRAINING, NULL, 1);
}

static void add_pending(struct callers *callers, struct hs_request *req,
			uint64_t id)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	req->user = key;
	g_hash_table_insert(callers->pending, key, req);
	ctr_gauge(&callers->pending_now, g_hash_table_size(callers->pending));
}

/* Removes and returns the pending request; NULL if the caller has left. */
static struct hs_request *take_pending(struct callers *callers, uint64_t id)
{
	struct hs_request *req = g_hash_table_lookup(callers->pending, &id);

	if (req)
		g_hash_table_remove(callers->pending, &id);
	ctr_gauge(&callers->pending_now, g_hash_table_size(callers->pending));
	return req;
}

/* Requests. */

/* Splits /r/<service>/<path>; /<path> is sent to the backend server. */
static bool parse_target(const char *target, struct req_call *call)
{
	const char *service = target + strlen("/r/");
	size_t len = strcspn(service, "/?");
	const char *rest = service + len;

	if (len == 0 || len >= NAME_MAX_BYTES)
		return false;
	memcpy(call->service, service, len);
	call->service[len] = '\0';
	call->target =
		*rest == '/' ? g_strdup(rest) : g_strconcat("/", rest, NULL);
	return true;
}

static bool is_known_method(const char *method)
{
	static const char *const known[] = { "GET",  "HEAD",  "PUT",
					     "POST", "PATCH", "DELETE" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(known); i++)
		if (strcmp(known[i], method) == 0)
			return true;
	return false;
}

static bool parse_deadline(const char *text, int64_t *ms)
{
	size_t len = strlen(text);

	if (len == 0 || len > 6 || strspn(text, "0123456789") != len)
		return false;
	*ms = (int64_t)g_ascii_strtoull(text, NULL, 10);
	return *ms >= 1 && *ms <= REQ_DEADLINE_MAX_MS;
}

/*
 * Reads the request headers of section 3 of docs/design.md. Returns an error
 * message, or NULL.
 */
static const char *parse_headers(const struct hs_request *req,
				 struct req_call *call)
{
	const char *customer = hs_header(req, "Chivebank-Customer");
	const char *class_ = hs_header(req, "Chivebank-Class");
	const char *deadline = hs_header(req, "Chivebank-Deadline-Ms");
	const char *key = hs_header(req, "Idempotency-Key");

	if (!customer || !*customer || strlen(customer) >= NAME_MAX_BYTES)
		return "Chivebank-Customer is required, at most 63 bytes";
	snprintf(call->customer, sizeof(call->customer), "%s", customer);
	if (class_ && strcmp(class_, "short") == 0)
		call->class_ = DOC_SHORT;
	else if (class_ && strcmp(class_, "long") == 0)
		call->class_ = DOC_LONG;
	else if (class_)
		return "Chivebank-Class must be short or long";
	if (deadline && !parse_deadline(deadline, &call->deadline_ms))
		return "Chivebank-Deadline-Ms must be 1 to 60000";
	call->key = g_strdup(key);
	return NULL;
}

/*
 * Copies the headers that are forwarded to the backend server: all except
 * Chivebank-* and hop-by-hop headers.
 */
static void copy_headers(const struct hs_request *req, struct req_call *call)
{
	const struct http_header *h;
	size_t i;

	for (i = 0; i < req->headers.count; i++) {
		h = &req->headers.items[i];
		if (strncasecmp(h->name, "chivebank-", 10) != 0 &&
		    !http_header_is_hop(h->name))
			http_headers_add(&call->headers, h->name, h->value);
	}
}

static void submit(struct callers *callers, struct hs_request *req)
{
	struct req_call *call = req_call_new();
	const char *wrong;

	ctr_add(&callers->received, 1);
	if (!is_known_method(req->method)) {
		reject(callers, req, CB_E_METHOD, NULL);
		goto drop;
	}
	if (!parse_target(req->target, call)) {
		reject(callers, req, CB_E_UNKNOWN_SERVICE, NULL);
		goto drop;
	}
	wrong = parse_headers(req, call);
	if (wrong) {
		reject(callers, req, CB_E_BAD_REQUEST, wrong);
		goto drop;
	}
	copy_headers(req, call);
	call->id = ++callers->next_id;
	call->method = g_strdup(req->method);
	/* The body changes owner, so that memory holds it only once. */
	call->body = req->body;
	call->body_len = req->body_len;
	req->body = NULL;
	req->body_len = 0;
	add_pending(callers, req, call->id);
	kn_send(callers->requests, &callers->task, &call->msg);
	return;
drop:
	req_call_free(call);
}

/* Tickets. */

static void release_tickets(struct kn_msg *msg)
{
	struct req_tickets *tickets = (struct req_tickets *)msg;

	g_ptr_array_free(tickets->tickets, TRUE);
	g_free(tickets);
}

static void request_tickets(struct callers *callers, struct hs_request *req)
{
	json_t *body = json_loadb(req->body ? (const char *)req->body : "",
				  req->body_len, 0, NULL);
	json_int_t count = json_integer_value(json_object_get(body, "count"));
	struct req_tickets *msg;

	json_decref(body);
	if (count < 1 || count > KEY_TICKETS_MAX) {
		reject(callers, req, CB_E_BAD_REQUEST,
		       "the body must be {count: n}, n from 1 to 1000");
		return;
	}
	msg = g_new0(struct req_tickets, 1);
	msg->msg.type = REQ_TICKETS;
	msg->msg.release = release_tickets;
	msg->id = ++callers->next_id;
	msg->count = (unsigned int)count;
	msg->tickets = g_ptr_array_new_with_free_func(g_free);
	add_pending(callers, req, msg->id);
	kn_send(callers->requests, &callers->task, &msg->msg);
}

static void reply_json(struct hs_request *req, int status, json_t *value)
{
	struct http_headers headers;
	char *text = json_dumps(value, JSON_COMPACT);

	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "application/json");
	hs_reply(req, status, &headers, text, strlen(text));
	http_headers_finish(&headers);
	free(text);
	json_decref(value);
}

static void reply_tickets(struct callers *callers,
			  const struct req_tickets *msg)
{
	struct hs_request *req = take_pending(callers, msg->id);
	json_t *list;
	guint i;

	if (!req)
		return;
	if (msg->tickets->len == 0) {
		refuse_draining(callers, req);
		return;
	}
	list = json_array();
	for (i = 0; i < msg->tickets->len; i++)
		json_array_append_new(
			list, json_string(g_ptr_array_index(msg->tickets, i)));
	reply_json(req, 200, json_pack("{s:o}", "tickets", list));
}

/* HTTP server. */

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct callers *callers = server_to_callers(server);
	size_t path = strcspn(req->target, "?");

	if (path == 8 && strncmp(req->target, "/healthz", path) == 0) {
		if (strcmp(req->method, "GET") != 0 &&
		    strcmp(req->method, "HEAD") != 0)
			reject(callers, req, CB_E_METHOD, NULL);
		else
			hs_reply(req, callers->draining ? 503 : 200, NULL,
				 callers->draining ? "draining\n" : "ok\n",
				 callers->draining ? 9 : 3);
	} else if (path == 11 && strncmp(req->target, "/v1/tickets", 11) == 0) {
		if (strcmp(req->method, "POST") != 0)
			reject(callers, req, CB_E_METHOD, NULL);
		else if (callers->refusing)
			refuse_draining(callers, req);
		else
			request_tickets(callers, req);
	} else if (strncmp(req->target, "/r/", 3) == 0) {
		if (callers->refusing)
			refuse_draining(callers, req);
		else
			submit(callers, req);
	} else {
		reject(callers, req, CB_E_UNKNOWN_PATH, NULL);
	}
}

static int64_t age_ms(const struct hs_request *req)
{
	return (kn_now_us() - req->received_us) / USEC_PER_MSEC;
}

static int64_t oldest_ms(const struct callers *callers)
{
	GHashTableIter iter;
	int64_t oldest = 0;
	gpointer req;

	g_hash_table_iter_init(&iter, callers->pending);
	while (g_hash_table_iter_next(&iter, NULL, &req))
		oldest = MAX(oldest, age_ms(req));
	return oldest;
}

/* Counts a request whose connection has ended, by the caller or by us. */
static void count_cut(struct callers *callers, const struct hs_request *req)
{
	ctr_add(&callers->cuts[callers->finishing ? CUT_BY_STOP :
						    CUT_BY_CALLER],
		1);
	if (!callers->finishing)
		return;
	callers->log.cut++;
	log_warn("request.cut",
		 "server=callers cause=stop method=%s target=%.64s"
		 " age_ms=%" G_GINT64_FORMAT,
		 req->method, req->target, age_ms(req));
}

static void on_reply_lost(struct hs_server *server, size_t unsent)
{
	struct callers *callers = server_to_callers(server);

	ctr_add(&callers->cuts[CUT_REPLY], 1);
	if (callers->finishing)
		callers->log.cut++;
	log_warn("request.reply_lost",
		 "server=callers stopping=%d unsent_bytes=%zu",
		 callers->log.begun_us != 0, unsent);
}

static void on_disconnect(struct hs_server *server, struct hs_request *req)
{
	struct callers *callers = server_to_callers(server);
	struct req_cancel *msg;
	uint64_t id;

	if (!req->user)
		return;
	id = *(const uint64_t *)req->user;
	req->user = NULL;
	take_pending(callers, id);
	ctr_add(&callers->disconnected, 1);
	count_cut(callers, req);
	msg = g_new0(struct req_cancel, 1);
	msg->msg.type = REQ_CANCEL;
	msg->msg.release = (void (*)(struct kn_msg *))g_free;
	msg->id = id;
	kn_send(callers->requests, &callers->task, &msg->msg);
}

/* Replies. */

/* Replies with the complete response of the backend server. */
static void reply_answer(struct hs_request *req, const struct req_call *call)
{
	const struct http_headers *from = &call->reply_headers;
	struct http_headers headers;
	size_t i;

	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Outcome", "answered");
	http_headers_add(&headers, "Chivebank-Result", "0");
	for (i = 0; i < from->count; i++)
		if (strncasecmp(from->items[i].name, "chivebank-", 10) != 0)
			http_headers_add(&headers, from->items[i].name,
					 from->items[i].value);
	hs_reply(req, call->status, &headers, call->reply, call->reply_len);
	http_headers_finish(&headers);
}

static void on_reply(struct callers *callers, const struct req_call *call)
{
	struct hs_request *req = take_pending(callers, call->id);

	/* The caller has disconnected. */
	if (!req)
		return;
	stop_log_answer(&callers->log, call->status);
	if (call->outcome == IDEM_ANSWERED)
		reply_answer(req, call);
	else
		hs_reply_error(req, call->result, NULL, call->retry_after_s);
}

static void receive(struct kn_task *task, struct kn_msg *msg)
{
	struct callers *callers = (struct callers *)task;

	if (msg->type == REQ_REPLY)
		on_reply(callers, (const struct req_call *)msg);
	else if (msg->type == REQ_TICKETS)
		reply_tickets(callers, (const struct req_tickets *)msg);
	kn_msg_release(msg);
}

/* Start and stop. */

static bool start(struct kn_task *task, GError **err)
{
	static const struct hs_ops ops = { .request = on_request,
					   .gone = on_disconnect,
					   .reply_lost = on_reply_lost };
	struct callers *callers = (struct callers *)task;
	size_t i;

	callers->requests = kn_find(task->kn, SVC_REQUESTS);
	if (!callers->requests) {
		g_set_error(err, CB_ERROR, CB_E_INTERNAL,
			    "service \"callers\" requires \"requests\"");
		return false;
	}
	if (!hs_init(&callers->server, task->kn, &ops,
		     callers->set->callers.addr, callers->set->callers.port,
		     err))
		return false;
	for (i = 0; i < callers->set->forward_header_count; i++)
		hs_keep_header(&callers->server,
			       callers->set->forward_headers[i]);
	log_info("callers.listening", "addr=%s port=%d",
		 callers->set->callers.addr, callers->server.port);
	return true;
}

static void refuse_new(struct kn_timer *timer)
{
	container_of(timer, struct callers, settle)->refusing = true;
}

/* The requests service has answered everything by now. */
static void on_expire(struct hs_stop *stop)
{
	container_of(stop, struct callers, stop)->refusing = true;
}

static void on_stop_ended(struct hs_stop *stop)
{
	kn_drained(&container_of(stop, struct callers, stop)->task);
}

static const struct hs_stop_ops stop_ops = {
	.expire = on_expire,
	.ended = on_stop_ended,
	.keeps_listening = true,
};

static void drain(struct kn_task *task)
{
	struct callers *callers = (struct callers *)task;
	const struct hs_stop_times times = stop_times(callers->set);

	callers->draining = true;
	ev_emit("callers.draining", "pending=%u delay_ms=%d",
		g_hash_table_size(callers->pending),
		callers->set->drain_delay_ms);
	stop_log_begin(&callers->log, &callers->server,
		       g_hash_table_size(callers->pending), oldest_ms(callers),
		       callers->set->grace_ms);
	kn_timer_set(task->kn, &callers->settle,
		     times.settle_ms * USEC_PER_MSEC, refuse_new);
	hs_stop_begin(&callers->stop, &callers->server, &stop_ops, &times);
}

static void finish_server(struct callers *callers)
{
	size_t calls = g_hash_table_size(callers->pending);
	size_t active = hs_active(&callers->server);
	size_t connections = callers->server.conn_count;
	int64_t oldest = oldest_ms(callers);

	callers->finishing = true;
	hs_finish(&callers->server);
	stop_log_end(&callers->log, calls, oldest, active, connections);
}

static void finish(struct kn_task *task)
{
	struct callers *callers = (struct callers *)task;
	size_t i;

	kn_timer_cancel(&callers->settle);
	hs_stop_finish(&callers->stop);
	finish_server(callers);
	g_hash_table_destroy(callers->pending);
	ctr_finish(&callers->received);
	ctr_finish(&callers->malformed);
	ctr_finish(&callers->pending_now);
	ctr_finish(&callers->disconnected);
	for (i = 0; i < CUT_CAUSES; i++)
		ctr_finish(&callers->cuts[i]);
	g_free(callers);
}

static const struct kn_task_ops callers_task_ops = {
	.start = start,
	.receive = receive,
	.drain = drain,
	.finish = finish,
};

struct kn_task *callers_new(struct kn *kn, const struct set *set)
{
	static const char *const causes[CUT_CAUSES] = {
		[CUT_BY_CALLER] = "cause=\"caller\"",
		[CUT_BY_STOP] = "cause=\"stop\"",
		[CUT_REPLY] = "cause=\"reply\"",
	};
	struct callers *callers = g_new0(struct callers, 1);
	size_t i;

	callers->set = set;
	callers->log.server = "callers";
	callers->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	kn_add(kn, &callers->task, SVC_CALLERS, &callers_task_ops);
	ctr_init(&callers->received, &kn->counters, CTR_COUNTER,
		 "chivebank_callers_requests_total", NULL,
		 "Requests received from callers.");
	ctr_init(&callers->malformed, &kn->counters, CTR_COUNTER,
		 "chivebank_callers_malformed_total", NULL,
		 "Requests refused for their form.");
	ctr_init(&callers->pending_now, &kn->counters, CTR_GAUGE,
		 "chivebank_callers_pending", NULL,
		 "Requests without an answer so far.");
	ctr_init(&callers->disconnected, &kn->counters, CTR_COUNTER,
		 "chivebank_callers_gone_total", NULL,
		 "Callers that closed before the answer.");
	for (i = 0; i < CUT_CAUSES; i++)
		ctr_init(&callers->cuts[i], &kn->counters, CTR_COUNTER,
			 "chivebank_callers_cut_total", causes[i],
			 "Requests that ended without a whole answer.");
	return &callers->task;
}

int callers_bound_port(const struct kn_task *task)
{
	return ((const struct callers *)task)->server.port;
}
