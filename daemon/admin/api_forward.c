#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/admin/api_int.h"

/*
 * A forwarded call is [id, method, target, body, token, If-Match, key], and its
 * reply is [id, status, body]. A body is JSON text, empty if there is none; an
 * absent header is nil.
 */

static void pack_text(msgpack_packer *pk, const char *text)
{
	size_t len;

	if (!text) {
		msgpack_pack_nil(pk);
		return;
	}
	len = strlen(text);
	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

static char *json_text(const json_t *value)
{
	return value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT) :
		       strdup("");
}

/* Copies a string element; NULL if it is absent or not a string. */
static char *get_text(const msgpack_object *array, uint32_t i)
{
	const msgpack_object *value;

	if (i >= array->via.array.size)
		return NULL;
	value = &array->via.array.ptr[i];
	if (value->type != MSGPACK_OBJECT_STR)
		return NULL;
	return g_strndup(value->via.str.ptr, value->via.str.size);
}

static bool get_number(const msgpack_object *array, uint32_t i, uint64_t *out)
{
	if (i >= array->via.array.size ||
	    array->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = array->via.array.ptr[i].via.u64;
	return true;
}

/* The forwarding host. */

/* The leader may have carried out the call without answering. */
static void on_timeout(struct kn_timer *timer)
{
	struct api_call *call = container_of(timer, struct api_call, timer);

	call->forward_id = 0;
	svc_api_fail(&call->call, &call->api->task, CB_E_TIMEOUT,
		     "the leading host \"%s\" did not answer; the call may "
		     "have taken effect",
		     call->forwarded_to);
}

static void send_forward(struct api_call *call)
{
	struct api *api = call->api;
	char *body = json_text(call->call.body);
	msgpack_sbuffer out;
	msgpack_packer pk;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 7);
	msgpack_pack_uint64(&pk, call->forward_id);
	pack_text(&pk, call->call.method);
	pack_text(&pk, call->target);
	pack_text(&pk, body);
	pack_text(&pk, call->call.token);
	pack_text(&pk, call->call.if_match);
	pack_text(&pk, call->call.key);
	pr_send(api->peers, call->forwarded_to, PR_API_FORWARD, &out);
	msgpack_sbuffer_destroy(&out);
	free(body);
}

/*
 * A peer's call is not forwarded again, so that two hosts that disagree on the
 * leader do not forward it in a loop.
 */
void api_forward(struct api_call *call)
{
	struct api *api = call->api;

	if (call->peer_host[0] || !api->peers || !api->leader[0] ||
	    !pr_connected(api->peers, api->leader)) {
		svc_api_fail(&call->call, &api->task, CB_E_NO_LEADER,
			     "no leading host of data centre \"%s\" can be "
			     "reached",
			     api->set->dc);
		return;
	}
	api_forward_to(call, api->leader);
}

void api_forward_to(struct api_call *call, const char *host)
{
	struct api *api = call->api;

	g_strlcpy(call->forwarded_to, host, sizeof(call->forwarded_to));
	call->forward_id = ++api->last_id;
	kn_timer_set(api->task.kn, &call->timer,
		     API_FORWARD_TIMEOUT_MS * USEC_PER_MSEC, on_timeout);
	send_forward(call);
}

static void on_reply(struct api *api, const msgpack_object *body)
{
	struct api_call *call, *next;
	uint64_t id, status;
	char *text;

	if (!get_number(body, 0, &id) || !get_number(body, 1, &status) ||
	    id == 0)
		return;
	list_for_each_entry_safe(call, next, &api->calls, node) {
		if (call->forward_id != id)
			continue;
		text = get_text(body, 2);
		call->forward_id = 0;
		call->call.status = (int)MIN(status, 599);
		call->call.answer =
			json_loads(text ? text : "", JSON_DECODE_ANY, NULL);
		g_free(text);
		api_send_answer(call);
		return;
	}
}

/* The leading host. */

static void on_forward(struct api *api, struct pr_in *in)
{
	const msgpack_object *body = &in->body.data;
	struct api_call *call;
	char *method, *target, *text;
	GError *err = NULL;
	uint64_t id;

	if (!get_number(body, 0, &id))
		return;
	call = api_call_new(api);
	g_strlcpy(call->peer_host, in->host, sizeof(call->peer_host));
	call->from_other_dc = strcmp(in->dc, api->set->dc) != 0;
	call->remote_id = id;
	method = get_text(body, 1);
	target = get_text(body, 2);
	text = get_text(body, 3);
	call->call.token = get_text(body, 4);
	call->call.if_match = get_text(body, 5);
	call->call.key = get_text(body, 6);
	if (!method || !target) {
		svc_api_fail(&call->call, &api->task, CB_E_PEER_PROTOCOL,
			     "method or target is missing");
	} else if (api_parse(call, method, target, text,
			     text ? strlen(text) : 0, &err)) {
		api_dispatch(call);
	} else {
		svc_api_fail(&call->call, &api->task, err->code, "%s",
			     err->message);
		g_error_free(err);
	}
	g_free(method);
	g_free(target);
	g_free(text);
}

/* Sends the answer to the peer that forwarded the call. */
void api_reply_to_peer(struct api_call *call)
{
	char *text = json_text(call->call.answer);
	msgpack_sbuffer out;
	msgpack_packer pk;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, call->remote_id);
	msgpack_pack_int(&pk, call->call.status);
	pack_text(&pk, text);
	pr_send(call->api->peers, call->peer_host, PR_API_FORWARD_REPLY, &out);
	msgpack_sbuffer_destroy(&out);
	free(text);
}

void api_on_peer_message(struct api *api, struct pr_in *in)
{
	if (in->body.data.type != MSGPACK_OBJECT_ARRAY)
		return;
	if (in->type == PR_API_FORWARD)
		on_forward(api, in);
	else if (in->type == PR_API_FORWARD_REPLY)
		on_reply(api, &in->body.data);
}
