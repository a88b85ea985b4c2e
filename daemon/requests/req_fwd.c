#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "wire/mp.h"
#include "daemon/requests/req_int.h"

/* Byte budget for other regions. */

/*
 * Takes the bytes of a request out of the budget when the host is in another
 * region. The budget is refilled at region_bytes_per_sec and holds at most one
 * second's worth. Returns false when it does not suffice.
 */
static bool take_region_budget(struct req_task *r, const char *host,
			       size_t bytes)
{
	const char *region = set_peer_region(r->set, host);
	int64_t rate = r->set->region_bytes_per_sec, now_us = kn_now_us();

	if (!region || strcmp(region, r->set->region) == 0)
		return true;
	if (rate > 0) {
		int64_t passed = now_us - r->region_refilled_us;

		if (passed > USEC_PER_SEC)
			passed = USEC_PER_SEC;
		r->region_budget += rate * passed / USEC_PER_SEC;
		if (r->region_budget > rate)
			r->region_budget = rate;
		r->region_refilled_us = now_us;
		if (r->region_budget < (int64_t)bytes)
			return false;
		r->region_budget -= (int64_t)bytes;
	}
	ctr_add(&r->ctrs.region_bytes, bytes);
	return true;
}

/* Forwarding to peers. */

static void pack_forward(struct mp_out *out, const struct req *req)
{
	const struct req_call *call = req->call;

	mp_begin(out, 10);
	mp_uint(out, req->forward_id);
	mp_str(out, call->service);
	mp_str(out, call->method);
	mp_str(out, call->target);
	mp_headers(out, &call->headers);
	mp_bin(out, call->body, call->body_len);
	mp_int(out, (req->deadline_us - kn_now_us()) / USEC_PER_MSEC);
	mp_str(out, call->key);
	mp_str(out, call->customer);
	mp_int(out, call->class_);
}

/* Forwards a request to a peer; false when the peer is not connected. */
bool req_forward(struct req *req, const char *host)
{
	struct req_task *r = req->r;
	struct mp_out out;

	if (!r->peers || !pr_connected(r->peers, host))
		return false;
	req->forward_id = ++r->next_forward;
	snprintf(req->to_host, sizeof(req->to_host), "%s", host);
	req_set_state(req, REQ_ST_FORWARDED);
	pack_forward(&out, req);
	pr_send(r->peers, host, PR_FORWARD, &out.buf);
	mp_end(&out);
	ctr_add(&r->ctrs.forwarded, 1);
	req_ensure_tick(r);
	return true;
}

/* Notifies the peer that the answer is no longer needed. */
void req_forward_cancel(struct req *req)
{
	struct mp_out out;

	mp_begin(&out, 1);
	mp_uint(&out, req->forward_id);
	pr_send(req->r->peers, req->to_host, PR_FORWARD_CANCEL, &out.buf);
	mp_end(&out);
}

/*
 * Forwards a request to the host that owns its key. The request never runs on
 * this host: an earlier attempt may have run at the owner, even when the owner
 * cannot be reached now.
 */
void req_forward_owner(struct req *req, const struct idem_owner *owner)
{
	struct req_task *r = req->r;
	const char *adopter = idem_adopter(&r->keys, owner), *host;
	const struct req_peer *peer;

	host = adopter ? adopter : owner->host;
	if (strcmp(host, r->set->host) == 0 || req->from_host[0] != '\0') {
		req_answer_unknown(req, CB_E_OWNER_GONE);
		return;
	}
	peer = g_hash_table_lookup(r->peer_table, host);
	if (peer && !adopter && peer->incarnation != owner->incarnation) {
		req_answer_unknown(req, CB_E_OWNER_GONE);
		return;
	}
	if (!peer || !take_region_budget(r, host, req->call->body_len + 512) ||
	    !req_forward(req, host))
		req_answer_unknown(req, CB_E_OWNER_UNREACHABLE);
}

/*
 * Picks a connected peer in another data centre, in this host's region if
 * possible; NULL when there is none.
 */
static const struct req_peer *pick_other_dc_peer(struct req_task *r)
{
	const struct req_peer *peer, *best = NULL;
	bool same_region, best_same_region = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->peer_table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const char *region;

		peer = value;
		if (strcmp(peer->dc, r->set->dc) == 0 || peer->draining ||
		    !r->peers || !pr_connected(r->peers, peer->host))
			continue;
		region = set_peer_region(r->set, peer->host);
		same_region = region && strcmp(region, r->set->region) == 0;
		if (!best || (same_region && !best_same_region) ||
		    (same_region == best_same_region &&
		     g_rand_boolean(r->rand))) {
			best = peer;
			best_same_region = same_region;
		}
	}
	return best;
}

/*
 * True when a request can be forwarded to another data centre. A request that a
 * peer forwarded to this host is not forwarded again.
 */
static bool may_forward_to_other_dc(const struct req *req)
{
	return req->from_host[0] == '\0' && pick_other_dc_peer(req->r);
}

/*
 * Forwards a request to another data centre because this one has no server for
 * it. The claim of a keyed request stays with this host; the peer gets the
 * request without its key. Returns false when no other data centre is
 * reachable, and true when the request was forwarded or refused.
 */
static bool forward_to_other_dc(struct req *req)
{
	struct req_task *r = req->r;
	const struct req_peer *peer = pick_other_dc_peer(r);
	char *key = req->call->key;
	bool sent;

	if (!peer)
		return false;
	if (!take_region_budget(r, peer->host, req->call->body_len + 512)) {
		req_answer_not_run(req, CB_E_REGION_BUDGET);
		return true;
	}
	req->call->key = NULL;
	sent = req_forward(req, peer->host);
	req->call->key = key;
	return sent;
}

/* Forwarding of queued requests. */

/*
 * True when no server here can take the request and another data centre can be
 * reached.
 */
bool req_must_forward(const struct req *req)
{
	return !req_group_can_serve(req->group, req) &&
	       may_forward_to_other_dc(req);
}

void req_dequeue(struct req *req)
{
	admission_cancel(&req->group->admission, &req->item);
	req_set_state(req, REQ_ST_NEW);
}

void req_forward_or_refuse(struct req *req)
{
	if (!forward_to_other_dc(req))
		req_answer_not_run(req, CB_E_NO_SERVER);
}

static bool has_live_server(const struct req_group *group)
{
	const struct req_server *server;
	guint i;

	for (i = 0; i < group->servers->len; i++) {
		server = g_ptr_array_index(group->servers, i);
		if (server->membership.state == MEMBERSHIP_LIVE &&
		    membership_max_in_flight(&server->membership) > 0)
			return true;
	}
	return false;
}

/*
 * Forwards the queued requests of a group to another data centre when the group
 * has no live server and none in probation can take them. They are moved to a
 * separate list first, because ending a request may enqueue others.
 */
void req_forward_queued(struct req_group *group)
{
	struct req *req, *tmp;
	struct list_head out;

	if (has_live_server(group))
		return;
	list_init(&out);
	list_for_each_entry_safe(req, tmp, &group->r->active, node) {
		if (req->state != REQ_ST_QUEUED || req->group != group ||
		    !req_must_forward(req))
			continue;
		req_dequeue(req);
		list_del(&req->node);
		list_add_tail(&req->node, &out);
	}
	while (!list_empty(&out))
		req_forward_or_refuse(list_first_entry(&out, struct req, node));
}

/* Requests from peers. */

/* Runs a request that a peer forwarded. It is not forwarded again. */
void req_forward_in(struct req_task *r, const struct pr_in *msg)
{
	struct req *req = g_new0(struct req, 1);
	struct req_call *call = req_call_new();
	struct mp_in in;
	const void *body;
	int64_t class_;

	req->call = call;
	mp_open(&in, &msg->body.data);
	req->from_id = mp_get_uint(&in);
	snprintf(req->from_host, sizeof(req->from_host), "%s", msg->host);
	mp_get_text(&in, call->service, sizeof(call->service));
	call->method = mp_get_str(&in);
	call->target = mp_get_str(&in);
	mp_get_headers(&in, &call->headers);
	body = mp_get_bin(&in, &call->body_len);
	call->deadline_ms = mp_get_int(&in);
	call->key = mp_get_str(&in);
	mp_get_text(&in, call->customer, sizeof(call->customer));
	class_ = mp_get_int(&in);
	if (!in.ok || !call->method || !call->target ||
	    !http_target_ok(call->target) || !http_name_ok(call->method) ||
	    class_ < -1 || class_ >= DOC_CLASSES) {
		log_warn("forward.malformed", "peer=%s", msg->host);
		call->body_len = 0;
		req_call_free(call);
		g_free(req);
		return;
	}
	call->class_ = (int)class_;
	if (call->body_len > 0)
		call->body = g_memdup2(body, call->body_len);
	if (call->deadline_ms < 1)
		call->deadline_ms = 1;
	req_submit(r, req);
}

/* Sends the answer to the peer that forwarded the request. */
void req_forward_reply_out(struct req *req)
{
	const struct req_call *call = req->call;
	struct req_task *r = req->r;
	struct mp_out out;

	mp_begin(&out, 7);
	mp_uint(&out, req->from_id);
	mp_int(&out, call->outcome);
	mp_int(&out, call->status);
	mp_int(&out, call->result);
	mp_headers(&out, &call->reply_headers);
	mp_bin(&out, call->reply, call->reply_len);
	mp_int(&out, call->retry_after_s);
	pr_send(r->peers, req->from_host, PR_FORWARD_REPLY, &out.buf);
	mp_end(&out);
}

/* Answers from peers. */

static struct req *find_forward(struct req_task *r, const char *host,
				uint64_t id)
{
	struct req *req;

	list_for_each_entry(req, &r->suspended, node)
		if (req->state == REQ_ST_FORWARDED && req->forward_id == id &&
		    strcmp(req->to_host, host) == 0)
			return req;
	return NULL;
}

/* Handles a peer's answer; it is dropped if the request has ended. */
void req_forward_reply_in(struct req_task *r, const struct pr_in *msg)
{
	struct req_call *call;
	struct req *req;
	struct mp_in in;
	const void *body;
	int64_t outcome;
	size_t len;

	mp_open(&in, &msg->body.data);
	req = find_forward(r, msg->host, mp_get_uint(&in));
	if (!req)
		return;
	call = req->call;
	outcome = mp_get_int(&in);
	call->status = (int)mp_get_int(&in);
	call->result = (int)mp_get_int(&in);
	mp_get_headers(&in, &call->reply_headers);
	body = mp_get_bin(&in, &len);
	call->retry_after_s = (int)mp_get_int(&in);
	req_set_state(req, REQ_ST_NEW);
	if (!in.ok || outcome < IDEM_ANSWERED || outcome > IDEM_UNKNOWN) {
		http_headers_finish(&call->reply_headers);
		http_headers_init(&call->reply_headers);
		req_answer_unknown(req, CB_E_PEER_LOST);
		return;
	}
	/* The peer did not run it, but an earlier attempt here may have. */
	if (outcome == IDEM_NOT_RUN && req->maybe_ran) {
		http_headers_finish(&call->reply_headers);
		http_headers_init(&call->reply_headers);
		call->retry_after_s = 0;
		req_answer_unknown(req, req->maybe_result);
		return;
	}
	call->outcome = (enum idem_outcome)outcome;
	if (len > 0)
		call->reply = g_memdup2(body, len);
	call->reply_len = len;
	req_answer(req);
}

void req_forward_cancel_in(struct req_task *r, const struct pr_in *msg)
{
	struct mp_in in;
	uint64_t id;

	mp_open(&in, &msg->body.data);
	id = mp_get_uint(&in);
	if (in.ok)
		req_cancel(r, msg->host, id);
}

/*
 * Ends the requests that were forwarded to a peer whose link was lost. They may
 * have run, so their outcome is unknown.
 */
void req_forward_lost(struct req_task *r, const char *host)
{
	struct req *req, *tmp;

	list_for_each_entry_safe(req, tmp, &r->suspended, node) {
		if (req->state != REQ_ST_FORWARDED ||
		    strcmp(req->to_host, host) != 0)
			continue;
		req_set_state(req, REQ_ST_NEW);
		req_answer_unknown(req, CB_E_PEER_LOST);
		/* Answering may have ended other requests of the list. */
		tmp = list_first_entry(&r->suspended, struct req, node);
	}
}
