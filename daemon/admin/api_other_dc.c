#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "daemon/admin/api_int.h"
#include "policy/placing.h"

/* Element 3 of a heartbeat is the leader epoch of the sender. */
#define HEARTBEAT_EPOCH 3

void api_record_peer_epoch(struct api *api, struct pr_in *in)
{
	const msgpack_object *body = &in->body.data;
	const msgpack_object *epoch;
	size_t i;

	if (body->type != MSGPACK_OBJECT_ARRAY ||
	    body->via.array.size <= HEARTBEAT_EPOCH)
		return;
	epoch = &body->via.array.ptr[HEARTBEAT_EPOCH];
	if (epoch->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return;
	for (i = 0; i < api->set->peer_count; i++)
		if (strcmp(api->set->peers[i].host, in->host) == 0)
			api->peer_epochs[i] = epoch->via.u64;
}

static bool never_fits(const struct api_call *call)
{
	const json_t *error = json_object_get(call->call.answer, "error");

	return json_integer_value(json_object_get(error, "code")) ==
	       CB_E_NEVER_FITS;
}

/*
 * Whether the peer is in another data centre of this region, whose pool would
 * fit the job if it were empty.
 */
static bool other_dc_fits(const struct api *api, const struct set_peer *peer,
			  int accelerators)
{
	const struct doc_pool *pool;

	if (strcmp(peer->dc, api->set->dc) == 0 ||
	    strcmp(peer->region, api->set->region) != 0)
		return false;
	pool = doc_view_pool(api->view, peer->dc);
	return pool && placing_pool_fits_when_empty(pool, accelerators);
}

/*
 * If this data centre answered that a job never fits, but another one of the
 * region could run it, discards the answer and forwards the call to the leader
 * there. The call fails if no leader there is connected. Returns false if the
 * answer is to be sent. A submission is forwarded to another data centre only
 * once, so that two data centres with different document revisions do not
 * forward it back and forth.
 */
bool api_forward_to_other_dc(struct api_call *call)
{
	struct api *api = call->api;
	const char *dc = NULL;
	const char *leader = NULL;
	uint64_t epoch = 0;
	int accelerators;
	size_t i;

	if (call->from_other_dc || !api->view || !api->peers ||
	    !never_fits(call))
		return false;
	accelerators = (int)json_integer_value(
		json_object_get(call->call.body, "accelerators"));
	for (i = 0; i < api->set->peer_count; i++) {
		const struct set_peer *peer = &api->set->peers[i];

		/* Checking a pool is slow, so do it once per data centre. */
		if ((!dc || strcmp(dc, peer->dc) != 0) &&
		    (leader || !other_dc_fits(api, peer, accelerators)))
			continue;
		dc = peer->dc;
		if (api->peer_epochs[i] > epoch &&
		    pr_connected(api->peers, peer->host)) {
			epoch = api->peer_epochs[i];
			leader = peer->host;
		}
	}
	if (!dc)
		return false;
	json_decref(call->call.answer);
	call->call.answer = NULL;
	ev_emit("api.other_dc", "dc=%s leader=%s accelerators=%d", dc,
		leader ? leader : "", accelerators);
	if (leader)
		api_forward_to(call, leader);
	else
		svc_api_fail(&call->call, &api->task, CB_E_NO_LEADER,
			     "no leading host of data centre \"%s\", which "
			     "could hold the job, can be reached",
			     dc);
	return true;
}
