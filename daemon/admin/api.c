#include "daemon/admin/api.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"
#include "daemon/admin/api_int.h"
#include "daemon/stop.h"

/* Path prefixes that other services answer; the first match is used. */
static const struct route {
	const char *prefix;
	const char *service;
	bool leader_only; /* only the leading host can answer */
	bool checks_token; /* the service looks up the token itself */
} routes[] = {
	{ "/v1/document", SVC_DOCUMENT, false, true },
	{ "/v1/jobs", SVC_SCHEDULER, true, false },
	{ "/v1/workers", SVC_SCHEDULER, true, false },
	{ "/v1/servers", SVC_MEMBERS, false, false },
	{ "/v1/leaders", SVC_LEAD, false, false },
};

/* Calls. */

static void release_call(struct kn_msg *msg)
{
	api_call_free(container_of(msg, struct api_call, call.msg));
}

/* Creates a call whose answer is sent back to the API task. */
struct api_call *api_call_new(struct api *api)
{
	struct api_call *call = g_new0(struct api_call, 1);

	call->api = api;
	call->call.msg.release = release_call;
	call->call.msg.from = &api->task;
	list_add_tail(&call->node, &api->calls);
	return call;
}

void api_call_free(struct api_call *call)
{
	list_del(&call->node);
	kn_timer_cancel(&call->timer);
	if (call->req)
		call->req->user = NULL;
	g_free(call->call.method);
	g_free(call->call.path);
	g_free(call->call.token);
	g_free(call->call.if_match);
	g_free(call->call.key);
	g_free(call->call.team);
	g_strfreev(call->call.allowed_prefixes);
	json_decref(call->call.query);
	json_decref(call->call.body);
	json_decref(call->call.answer);
	g_free(call->target);
	g_free(call);
}

static void reply(struct api_call *call)
{
	struct http_headers headers;
	char *text =
		json_dumps(call->call.answer, JSON_ENCODE_ANY | JSON_COMPACT);

	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "application/json");
	hs_reply(call->req, call->call.status, &headers, text ? text : "null",
		 text ? strlen(text) : 4);
	http_headers_finish(&headers);
	call->req = NULL;
	free(text);
}

/* Sends the answer to the operator or the peer and frees the call. */
void api_send_answer(struct api_call *call)
{
	stop_log_answer(&call->api->log, call->call.status);
	if (call->call.status >= 400)
		ctr_add(&call->api->errors, 1);
	if (call->peer_host[0])
		api_reply_to_peer(call);
	else if (call->req)
		reply(call);
	api_call_free(call);
}

/* Routing. */

static const struct route *find_route(const char *path)
{
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		len = strlen(routes[i].prefix);
		if (strncmp(path, routes[i].prefix, len) == 0 &&
		    (path[len] == '\0' || path[len] == '/'))
			return &routes[i];
	}
	return NULL;
}

static void send_to_service(struct api_call *call, const char *name, int type)
{
	struct kn_task *api = &call->api->task;
	struct kn_task *service = kn_find(api->kn, name);

	if (!service) {
		svc_api_fail(&call->call, api, CB_E_UNKNOWN_PATH,
			     "this process does not run the service \"%s\"",
			     name);
		return;
	}
	call->call.msg.type = type;
	kn_send(service, api, &call->call.msg);
}

static bool is_change(const struct api_call *call)
{
	return strcmp(call->call.method, "GET") != 0 &&
	       strcmp(call->call.method, "HEAD") != 0;
}

/*
 * Answers a parsed call, or passes it to the service that answers it. A change
 * is first authenticated by the document service, which knows the tokens. The
 * host that carries out the change requests this, so that it need not trust a
 * host that forwarded the call.
 */
void api_dispatch(struct api_call *call)
{
	struct api *api = call->api;
	const struct route *route = find_route(call->call.path);

	if (!route) {
		if (!api_answer_builtin(call))
			svc_api_fail(&call->call, &api->task, CB_E_UNKNOWN_PATH,
				     "%s", call->call.path);
		return;
	}
	if (api->refusing) {
		svc_api_fail(&call->call, &api->task, CB_E_DRAINING, "%s",
			     api->set->host);
		return;
	}
	if (route->leader_only && api->lead && !api->leading) {
		api_forward(call);
		return;
	}
	if (!route->checks_token && !call->call.team && is_change(call))
		send_to_service(call, SVC_DOCUMENT, SVC_API_AUTH);
	else
		send_to_service(call, route->service, SVC_API_CALL);
}

/* HTTP. */

static char *bearer_token(const struct hs_request *req)
{
	const char *value = hs_header(req, "Authorization");

	if (!value || g_ascii_strncasecmp(value, "Bearer ", 7) != 0)
		return NULL;
	return g_strstrip(g_strdup(value + 7));
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct api *api = container_of(server, struct api, server);
	struct api_call *call = api_call_new(api);
	GError *err = NULL;

	ctr_add(&api->requests, 1);
	call->req = req;
	req->user = call;
	call->call.token = bearer_token(req);
	call->call.if_match = g_strdup(hs_header(req, "If-Match"));
	call->call.key = g_strdup(hs_header(req, "Idempotency-Key"));
	if (api_parse(call, req->method, req->target, req->body, req->body_len,
		      &err)) {
		api_dispatch(call);
		return;
	}
	svc_api_fail(&call->call, &api->task, err->code, "%s", err->message);
	g_error_free(err);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct api *api = container_of(server, struct api, server);
	struct api_call *call = req->user;
	int64_t age_ms;

	if (!call)
		return;
	call->req = NULL;
	if (!api->finishing)
		return;
	api->log.cut++;
	age_ms = (kn_now_us() - req->received_us) / USEC_PER_MSEC;
	log_warn("request.cut",
		 "server=api cause=stop method=%s target=%.64s"
		 " age_ms=%" G_GINT64_FORMAT,
		 req->method, req->target, age_ms);
}

static const struct hs_ops server_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* Task. */

static void on_document(struct api *api, const struct svc_doc *changed)
{
	doc_view_unref(api->view);
	api->view = doc_view_ref(changed->view);
}

static void on_lead(struct api *api, const struct svc_lead *lead)
{
	g_strlcpy(api->leader, lead->leader, sizeof(api->leader));
	api->leading = lead->leading;
}

/* An answer of a service, or a call whose token it has looked up. */
static void on_returned(struct api_call *call)
{
	if (call->ended)
		api_call_free(call);
	else if (call->call.msg.type == SVC_API_AUTHED)
		api_dispatch(call);
	else if (!api_forward_to_other_dc(call))
		api_send_answer(call);
}

static void api_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct api *api = container_of(task, struct api, task);

	switch (msg->type) {
	case SVC_API_REPLY:
	case SVC_API_AUTHED:
		on_returned(container_of(msg, struct api_call, call.msg));
		return;
	case SVC_DOC_CHANGED:
		on_document(api, container_of(msg, struct svc_doc, msg));
		break;
	case SVC_LEAD_CHANGED:
		on_lead(api, container_of(msg, struct svc_lead, msg));
		break;
	case REQ_TICKETS:
		api_on_tickets(api, container_of(msg, struct req_tickets, msg));
		break;
	case PR_MSG_IN:
		if (container_of(msg, struct pr_in, msg)->type == PR_HEARTBEAT)
			api_record_peer_epoch(
				api, container_of(msg, struct pr_in, msg));
		else
			api_on_peer_message(
				api, container_of(msg, struct pr_in, msg));
		break;
	default:
		break;
	}
	kn_msg_release(msg);
}

static bool api_start(struct kn_task *task, GError **err)
{
	struct api *api = container_of(task, struct api, task);
	struct kn_task *document = kn_find(task->kn, SVC_DOCUMENT);

	api->peers = kn_find(task->kn, SVC_PEERS);
	api->lead = kn_find(task->kn, SVC_LEAD);
	if (document)
		svc_subscribe(document, task);
	if (api->lead)
		svc_subscribe(api->lead, task);
	if (api->peers) {
		pr_subscribe(api->peers, task, PR_HEARTBEAT);
		pr_subscribe(api->peers, task, PR_API_FORWARD);
		pr_subscribe(api->peers, task, PR_API_FORWARD_REPLY);
	}
	api->listening =
		hs_init(&api->server, task->kn, &server_ops,
			api->set->admin.addr, api->set->admin.port, err);
	if (!api->listening)
		return false;
	hs_keep_header(&api->server, "Authorization");
	hs_keep_header(&api->server, "If-Match");
	hs_keep_header(&api->server, "Idempotency-Key");
	return true;
}

/*
 * Answers a call that a service or another host still works on, by another
 * call that takes its place. A change may take effect yet.
 */
static void end_call(struct api_call *call)
{
	struct api *api = call->api;
	struct api_call *last;

	/* Those with a status, or for tickets, are answered in this round. */
	if (call->ended || call->call.status || call->ticket_id)
		return;
	last = api_call_new(api);
	last->req = call->req;
	if (last->req)
		last->req->user = last;
	call->req = NULL;
	memcpy(last->peer_host, call->peer_host, sizeof(last->peer_host));
	call->peer_host[0] = '\0';
	last->remote_id = call->remote_id;
	if (is_change(call))
		log_warn("api.unfinished", "method=%s path=%.64s to=%s",
			 call->call.method, call->call.path,
			 call->forwarded_to);
	svc_api_fail(&last->call, &api->task,
		     is_change(call) ? CB_E_CHANGE_UNKNOWN : CB_E_DRAINING,
		     "%s", api->set->host);
	call->ended = true;
	if (call->forward_id)
		api_call_free(call);
}

static void on_expire(struct hs_stop *stop)
{
	struct api *api = container_of(stop, struct api, stop);
	struct api_call *call, *next;

	api->refusing = true;
	list_for_each_entry_safe(call, next, &api->calls, node)
		end_call(call);
}

static size_t count_calls(const struct api *api)
{
	const struct api_call *call;
	size_t n = 0;

	list_for_each_entry(call, &api->calls, node)
		n += !call->ended;
	return n;
}

/* Calls of peers have no connection here. */
static bool is_busy(const struct hs_stop *stop)
{
	return count_calls(container_of(stop, struct api, stop)) > 0;
}

static void on_stop_ended(struct hs_stop *stop)
{
	kn_drained(&container_of(stop, struct api, stop)->task);
}

static const struct hs_stop_ops stop_ops = {
	.expire = on_expire,
	.busy = is_busy,
	.ended = on_stop_ended,
	.keeps_listening = true,
};

static int64_t oldest_ms(const struct api *api)
{
	int64_t now_us = kn_now_us(), oldest_us = 0;
	const struct api_call *call;

	list_for_each_entry(call, &api->calls, node)
		if (call->req)
			oldest_us =
				MAX(oldest_us, now_us - call->req->received_us);
	return oldest_us / USEC_PER_MSEC;
}

/* /healthz and /metrics are answered until the process ends. */
static void api_drain(struct kn_task *task)
{
	struct api *api = container_of(task, struct api, task);
	const struct hs_stop_times times = stop_times(api->set);

	stop_log_begin(&api->log, &api->server, count_calls(api),
		       oldest_ms(api), api->set->grace_ms);
	hs_stop_begin(&api->stop, &api->server, &stop_ops, &times);
}

static void finish_server(struct api *api)
{
	size_t calls = count_calls(api), connections = api->server.conn_count;
	size_t active = hs_active(&api->server);
	int64_t oldest = oldest_ms(api);

	api->finishing = true;
	hs_finish(&api->server);
	stop_log_end(&api->log, calls, oldest, active, connections);
}

static void api_finish(struct kn_task *task)
{
	struct api *api = container_of(task, struct api, task);
	struct api_call *call, *next;

	hs_stop_finish(&api->stop);
	if (api->listening)
		finish_server(api);
	list_for_each_entry_safe(call, next, &api->calls, node) {
		/* Calls held by a service are freed with its messages. */
		if (call->forward_id || call->ticket_id)
			api_call_free(call);
	}
	doc_view_unref(api->view);
	ctr_finish(&api->requests);
	ctr_finish(&api->errors);
	list_del(&api->calls);
	g_free(api);
}

static const struct kn_task_ops api_ops = {
	.start = api_start,
	.receive = api_receive,
	.drain = api_drain,
	.finish = api_finish,
};

struct kn_task *api_new(struct kn *kn, const struct set *set)
{
	struct api *api = g_new0(struct api, 1);

	api->set = set;
	api->log.server = "api";
	list_init(&api->calls);
	ctr_init(&api->requests, &kn->counters, CTR_COUNTER,
		 "chivebank_api_requests_total", NULL,
		 "Calls of the administration API");
	ctr_init(&api->errors, &kn->counters, CTR_COUNTER,
		 "chivebank_api_errors_total", NULL,
		 "Calls of the administration API that failed");
	kn_add(kn, &api->task, SVC_API, &api_ops);
	return &api->task;
}

int api_port(struct kn_task *api)
{
	return container_of(api, struct api, task)->server.port;
}
