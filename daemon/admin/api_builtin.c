#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "daemon/admin/api_int.h"

/* Health and metrics. */

/* The platform's load balancer removes a host that answers 503. */
static void answer_health(struct api_call *call)
{
	struct api *api = call->api;

	if (api->task.kn->draining)
		svc_api_fail(&call->call, &api->task, CB_E_DRAINING,
			     "no new requests");
	else
		svc_api_answer(&call->call, &api->task, 200,
			       json_pack("{s:s}", "status", "ok"));
}

/* Metrics are plain text, so they bypass the JSON answer of the call. */
static void answer_metrics(struct api_call *call)
{
	struct http_headers headers;
	GString *text;

	if (!call->req) {
		svc_api_fail(&call->call, &call->api->task, CB_E_UNKNOWN_PATH,
			     "metrics are not forwarded");
		return;
	}
	text = g_string_new(NULL);
	ctr_print(&call->api->task.kn->counters, text);
	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "text/plain; version=0.0.4");
	hs_reply(call->req, 200, &headers, text->str, text->len);
	http_headers_finish(&headers);
	g_string_free(text, TRUE);
	call->req = NULL;
	api_call_free(call);
}

/* Events. */

static bool query_number(struct api_call *call, const char *name,
			 uint64_t default_value, uint64_t *out)
{
	const char *text =
		json_string_value(json_object_get(call->call.query, name));
	char *end;

	*out = default_value;
	if (!text)
		return true;
	*out = g_ascii_strtoull(text, &end, 10);
	if (end > text && *end == '\0' && *text != '-')
		return true;
	svc_api_fail(&call->call, &call->api->task, CB_E_BAD_REQUEST,
		     "query argument \"%s\": value \"%s\" is not allowed; "
		     "allowed: an integer from 0",
		     name, text);
	return false;
}

/* Lists the events after a sequence number, oldest first. */
static void answer_events(struct api_call *call)
{
	struct ev_entry *entries;
	uint64_t after, limit;
	json_t *list;
	size_t count, i;

	if (!query_number(call, "after", 0, &after) ||
	    !query_number(call, "limit", API_EVENTS_MAX, &limit))
		return;
	limit = MIN(limit, API_EVENTS_MAX);
	entries = g_new(struct ev_entry, limit);
	count = ev_copy(after, entries, limit);
	list = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:I,s:I,s:I,s:s,s:s}", "seq",
				  (json_int_t)entries[i].seq, "mono_us",
				  (json_int_t)entries[i].mono_us, "wall_us",
				  (json_int_t)entries[i].wall_us, "event",
				  entries[i].name, "text", entries[i].text));
	g_free(entries);
	svc_api_answer(&call->call, &call->api->task, 200,
		       json_pack("{s:s,s:o}", "host", call->api->set->host,
				 "events", list));
}

/* Customers. */

static json_t *customer_json(const struct doc_customer *customer)
{
	static const char *const units[] = { "accelerator", "worker", "rack" };
	json_t *guarantees = json_array();
	size_t i;

	for (i = 0; i < customer->guarantee_count; i++)
		json_array_append_new(
			guarantees,
			json_pack("{s:s,s:s,s:i}", "dc",
				  customer->guarantees[i].dc, "unit",
				  units[customer->guarantees[i].unit], "count",
				  customer->guarantees[i].count));
	return json_pack("{s:s,s:i,s:i,s:s,s:o}", "name", customer->name,
			 "weight", customer->weight, "quota_accelerators",
			 customer->quota_accelerators, "on_removal",
			 customer->stop_on_removal ? "stop" : "finish",
			 "guarantees", guarantees);
}

static void answer_customers(struct api_call *call)
{
	struct api *api = call->api;
	json_t *list;
	size_t i;

	if (!api->view) {
		svc_api_fail(&call->call, &api->task, CB_E_STORE_DOWN,
			     "no document is known yet");
		return;
	}
	list = json_array();
	for (i = 0; i < api->view->customer_count; i++)
		json_array_append_new(list,
				      customer_json(&api->view->customers[i]));
	svc_api_answer(&call->call, &api->task, 200,
		       json_pack("{s:I,s:o}", "revision",
				 (json_int_t)api->view->revision, "customers",
				 list));
}

/* Tickets. */

static void release_tickets(struct kn_msg *msg)
{
	struct req_tickets *tickets =
		container_of(msg, struct req_tickets, msg);

	g_ptr_array_free(tickets->tickets, TRUE);
	g_free(tickets);
}

static void answer_tickets(struct api_call *call)
{
	struct api *api = call->api;
	struct kn_task *requests = kn_find(api->task.kn, SVC_REQUESTS);
	const json_t *count = json_object_get(call->call.body, "count");
	struct req_tickets *msg;

	if (!requests || !json_is_integer(count) ||
	    json_integer_value(count) < 1 ||
	    json_integer_value(count) > KEY_TICKETS_MAX) {
		svc_api_fail(
			&call->call, &api->task, CB_E_BAD_REQUEST,
			"the body must be {\"count\": n}; allowed: 1 to %d",
			KEY_TICKETS_MAX);
		return;
	}
	msg = g_new0(struct req_tickets, 1);
	msg->msg.type = REQ_TICKETS;
	msg->msg.release = release_tickets;
	msg->id = call->ticket_id = ++api->last_id;
	msg->count = (unsigned int)json_integer_value(count);
	msg->tickets = g_ptr_array_new_with_free_func(g_free);
	kn_send(requests, &api->task, &msg->msg);
}

void api_on_tickets(struct api *api, const struct req_tickets *tickets)
{
	struct api_call *call;
	json_t *list;
	guint i;

	list_for_each_entry(call, &api->calls, node) {
		if (call->ticket_id != tickets->id)
			continue;
		call->ticket_id = 0;
		if (tickets->tickets->len == 0) {
			svc_api_fail(&call->call, &api->task, CB_E_DRAINING,
				     "no tickets are given out");
			return;
		}
		list = json_array();
		for (i = 0; i < tickets->tickets->len; i++)
			json_array_append_new(
				list, json_string(tickets->tickets->pdata[i]));
		svc_api_answer(&call->call, &api->task, 200,
			       json_pack("{s:o}", "tickets", list));
		return;
	}
}

/* Table of the paths served here. */

static const struct {
	const char *path;
	const char *method;
	void (*answer)(struct api_call *call);
} builtin_paths[] = {
	{ "/healthz", "GET", answer_health },
	{ "/metrics", "GET", answer_metrics },
	{ "/v1/events", "GET", answer_events },
	{ "/v1/customers", "GET", answer_customers },
	{ "/v1/tickets", "POST", answer_tickets },
};

bool api_answer_builtin(struct api_call *call)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(builtin_paths); i++) {
		if (strcmp(call->call.path, builtin_paths[i].path) != 0)
			continue;
		if (strcmp(call->call.method, builtin_paths[i].method) == 0)
			builtin_paths[i].answer(call);
		else
			svc_api_fail(&call->call, &call->api->task, CB_E_METHOD,
				     "allowed: %s", builtin_paths[i].method);
		return true;
	}
	return false;
}
