#include "daemon/leadership/lead.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/stop.h"
#include "daemon/svc.h"
#include "policy/leadership.h"
#include "wire/pr.h"

#define KEY_BYTES 256

/* The leader of a data centre according to its hosts' heartbeats. */
struct known_leader {
	char dc[NAME_MAX_BYTES];
	char host[NAME_MAX_BYTES];
	uint64_t epoch;
};

struct lead {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	struct kn_task *peers;
	uint64_t incarnation;
	GRand *rand;
	struct leadership ld;
	/* The other hosts of this data centre; same indices as in ld. */
	const char *peer_hosts[PEERS_MAX];
	size_t peer_host_count;
	GArray *known_leaders; /* struct known_leader, this data centre first */
	GPtrArray *subscribers;
	struct kn_timer tick;
	int64_t next_request_us;
	int64_t drain_deadline_us;
	bool draining;
	char leader_key[KEY_BYTES];
	char epoch_key[KEY_BYTES];
	char value[KEY_BYTES];
	char epoch_text[24];
	struct kv_call call;
	enum leadership_call_kind call_kind; /* of the store call in progress */
	struct svc_lead published; /* state that subscribers were last sent */
	struct ctr acting;
	struct ctr changes;
};

static struct lead *to_lead(struct kn_task *task)
{
	return (struct lead *)task;
}

/* Subscribers. */

static void free_msg(struct kn_msg *msg)
{
	g_free(container_of(msg, struct svc_lead, msg));
}

static void send_to(struct lead *lead, struct kn_task *to)
{
	struct svc_lead *out = g_new0(struct svc_lead, 1);

	*out = lead->published;
	out->msg.type = SVC_LEAD_CHANGED;
	out->msg.release = free_msg;
	kn_send(to, &lead->task, &out->msg);
}

static struct known_leader *find_or_add_known(struct lead *lead, const char *dc)
{
	struct known_leader *known, fresh = { 0 };
	guint i;

	for (i = 0; i < lead->known_leaders->len; i++) {
		known = &g_array_index(lead->known_leaders, struct known_leader,
				       i);
		if (strcmp(known->dc, dc) == 0)
			return known;
	}
	g_strlcpy(fresh.dc, dc, sizeof(fresh.dc));
	g_array_append_val(lead->known_leaders, fresh);
	return &g_array_index(lead->known_leaders, struct known_leader, i);
}

/* Fills out with the state to publish to subscribers. */
static void current_state(struct lead *lead, int64_t now_us,
			  struct svc_lead *out)
{
	struct known_leader *known = find_or_add_known(lead, lead->set->dc);

	memset(out, 0, sizeof(*out));
	out->valid_until_us = leadership_valid_until(&lead->ld, now_us);
	out->leading = out->valid_until_us != 0;
	if (out->leading) {
		known->epoch = lead->ld.epoch;
		g_strlcpy(known->host, lead->set->host, sizeof(known->host));
	} else if (strcmp(known->host, lead->set->host) == 0) {
		known->host[0] = '\0';
	}
	out->epoch = known->epoch;
	g_strlcpy(out->leader, known->host, sizeof(out->leader));
}

static void emit_change(struct lead *lead)
{
	bool leading = lead->published.leading;

	ev_emit(leading ? "leader.gained" : "leader.lost", "epoch=%" PRIu64,
		lead->ld.epoch);
	ctr_add(&lead->changes, 1);
	ctr_gauge(&lead->acting, leading);
	pr_set_epoch(lead->peers, leading ? lead->ld.epoch : 0);
}

/* Sends subscribers the state if it has changed since the last time. */
static void publish(struct lead *lead, int64_t now_us)
{
	const struct svc_lead *published = &lead->published;
	struct svc_lead now;
	bool gained_or_lost;
	guint i;

	current_state(lead, now_us, &now);
	gained_or_lost = now.leading != published->leading ||
			 (now.leading && now.epoch != published->epoch);
	if (!gained_or_lost && now.epoch == published->epoch &&
	    now.valid_until_us == published->valid_until_us &&
	    strcmp(now.leader, published->leader) == 0)
		return;
	lead->published = now;
	if (gained_or_lost)
		emit_change(lead);
	for (i = 0; i < lead->subscribers->len; i++)
		send_to(lead, lead->subscribers->pdata[i]);
}

/* Records a host's claim to lead with an epoch; 0: it does not lead. */
static void record_leader(struct lead *lead, const char *dc, const char *host,
			  uint64_t epoch)
{
	struct known_leader *known = find_or_add_known(lead, dc);

	if (epoch && epoch >= known->epoch) {
		g_strlcpy(known->host, host, sizeof(known->host));
		known->epoch = epoch;
	} else if (!epoch && strcmp(known->host, host) == 0) {
		known->host[0] = '\0';
	}
}

/* Peers. */

static int peer_index(const struct lead *lead, const char *host)
{
	size_t i;

	for (i = 0; i < lead->peer_host_count; i++)
		if (strcmp(lead->peer_hosts[i], host) == 0)
			return (int)i;
	return -1;
}

/* Body of PR_PROMISE_ASK and PR_PROMISE: [epoch, term_ms, request sent_us]. */
static void pack_promise(msgpack_sbuffer *out, uint64_t epoch, int64_t term_ms,
			 int64_t sent_us)
{
	msgpack_packer pk;

	msgpack_sbuffer_init(out);
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, epoch);
	msgpack_pack_int64(&pk, term_ms);
	msgpack_pack_int64(&pk, sent_us);
}

static bool unpack_uints(const msgpack_object *body, uint64_t *out, uint32_t n)
{
	uint32_t i;

	if (body->type != MSGPACK_OBJECT_ARRAY || body->via.array.size < n)
		return false;
	for (i = 0; i < n; i++) {
		const msgpack_object *f = &body->via.array.ptr[i];

		if (f->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    f->via.u64 > INT64_MAX)
			return false;
		out[i] = f->via.u64;
	}
	return true;
}

/* A term of 0 releases the promises: this host no longer leads. */
static void request_promises(struct lead *lead, int64_t now_us, int64_t term_ms)
{
	msgpack_sbuffer body;

	lead->next_request_us = now_us + LEADER_ASK_MS * USEC_PER_MSEC;
	pack_promise(&body, lead->ld.epoch, term_ms, now_us);
	pr_send_dc(lead->peers, lead->set->dc, PR_PROMISE_ASK, &body);
	msgpack_sbuffer_destroy(&body);
}

static void answer_promise_request(struct lead *lead, int64_t now_us,
				   const struct pr_in *in, int from,
				   const uint64_t f[3])
{
	msgpack_sbuffer body;

	if (f[1] > LEADER_PROMISE_MS)
		return;
	if (!leadership_promise_requested(&lead->ld, now_us, (size_t)from, f[0],
					  (int64_t)f[1] * USEC_PER_MSEC))
		return;
	pack_promise(&body, f[0], (int64_t)f[1], (int64_t)f[2]);
	pr_send(lead->peers, in->host, PR_PROMISE, &body);
	msgpack_sbuffer_destroy(&body);
}

static void handle_peer_message(struct lead *lead, int64_t now_us,
				const struct pr_in *in)
{
	int from = peer_index(lead, in->host);
	uint64_t f[4];

	if (!unpack_uints(&in->body.data, f, in->type == PR_HEARTBEAT ? 4 : 3))
		return;
	if (in->type == PR_HEARTBEAT) {
		record_leader(lead, in->dc, in->host, f[3]);
		if (from >= 0)
			leadership_observe_epoch(&lead->ld, f[3]);
		return;
	}
	if (from >= 0 && in->type == PR_PROMISE_ASK)
		answer_promise_request(lead, now_us, in, from, f);
	else if (from >= 0 && in->type == PR_PROMISE &&
		 f[1] <= LEADER_PROMISE_MS)
		leadership_promise_received(&lead->ld, now_us, (size_t)from,
					    (int64_t)f[2],
					    (int64_t)f[1] * USEC_PER_MSEC);
}

/* Calls to the store. */

static void run_due_actions(struct lead *lead);

/* Parses the leader key's value, HOST/INCARNATION/ATTEMPT. */
static void read_holder(struct lead *lead, const struct kv_item *item,
			struct leadership_reply *reply)
{
	char **part = g_strsplit(item->value, "/", 3);

	reply->key_exists = true;
	if (g_strv_length(part) == 3) {
		reply->key_is_own = strcmp(part[0], lead->set->host) == 0 &&
				    g_ascii_strtoull(part[1], NULL, 10) ==
					    lead->incarnation;
		reply->attempt = g_ascii_strtoull(part[2], NULL, 10);
	}
	g_strfreev(part);
}

static void fill_read(struct lead *lead, struct leadership_reply *reply)
{
	const struct kv_item *item;

	item = kv_find(&lead->call, lead->epoch_key);
	if (item && item->value) {
		reply->epoch = g_ascii_strtoull(item->value, NULL, 10);
		reply->epoch_mod = item->mod_revision;
	}
	item = kv_find(&lead->call, lead->leader_key);
	if (item && item->value)
		read_holder(lead, item, reply);
}

static void call_done(struct kv_call *call)
{
	struct lead *lead = call->user;
	struct leadership_reply reply = { .lease = call->lease,
					  .ttl_us = call->ttl_s * USEC_PER_SEC,
					  .succeeded = call->succeeded };
	int64_t now_us = kn_now_us();

	if (call->result == CB_E_TIMEOUT)
		reply.outcome = LEADERSHIP_UNKNOWN;
	else if (call->result != CB_OK)
		reply.outcome = LEADERSHIP_NO_EFFECT;
	else if (lead->call_kind == LEADERSHIP_CALL_READ)
		fill_read(lead, &reply);
	if (call->result != CB_OK)
		log_info("leader.store", "call=%d result=%s", lead->call_kind,
			 cb_result_name(call->result));
	lead->call_kind = LEADERSHIP_CALL_NONE;
	leadership_tick(&lead->ld, now_us);
	leadership_handle_reply(&lead->ld, now_us, &reply);
	run_due_actions(lead);
}

static void start_read(struct lead *lead)
{
	const struct kv_op ops[] = {
		{ .kind = KV_RANGE, .key = lead->leader_key },
		{ .kind = KV_RANGE, .key = lead->epoch_key },
	};

	lead->kv->ops->txn(lead->kv, &lead->call, NULL, 0, ops, 2, NULL, 0);
}

static void start_takeover(struct lead *lead,
			   const struct leadership_call *call)
{
	const struct kv_cmp cmps[] = {
		{ .key = lead->leader_key },
		{ .key = lead->epoch_key, .mod_revision = call->epoch_mod },
	};
	struct kv_op ops[] = {
		{ .kind = KV_PUT,
		  .key = lead->leader_key,
		  .value = lead->value,
		  .lease = call->lease },
		{ .kind = KV_PUT,
		  .key = lead->epoch_key,
		  .value = lead->epoch_text },
	};

	snprintf(lead->value, sizeof(lead->value), "%s/%" PRIu64 "/%" PRIu64,
		 lead->set->host, lead->incarnation, call->attempt);
	snprintf(lead->epoch_text, sizeof(lead->epoch_text), "%" PRIu64,
		 call->epoch);
	ops[0].len = strlen(lead->value);
	ops[1].len = strlen(lead->epoch_text);
	lead->kv->ops->txn(lead->kv, &lead->call, cmps, 2, ops, 2, NULL, 0);
}

static void start_call(struct lead *lead, const struct leadership_call *call)
{
	struct kv *kv = lead->kv;

	memset(&lead->call, 0, sizeof(lead->call));
	lead->call.done = call_done;
	lead->call.user = lead;
	lead->call_kind = call->kind;
	switch (call->kind) {
	case LEADERSHIP_CALL_READ:
		start_read(lead);
		break;
	case LEADERSHIP_CALL_GRANT:
		kv->ops->grant(kv, &lead->call, LEADER_LEASE_MS / 1000);
		break;
	case LEADERSHIP_CALL_ACQUIRE:
		start_takeover(lead, call);
		break;
	case LEADERSHIP_CALL_RENEW:
		kv->ops->keepalive(kv, &lead->call, call->lease);
		break;
	case LEADERSHIP_CALL_REVOKE:
		kv->ops->revoke(kv, &lead->call, call->lease);
		break;
	case LEADERSHIP_CALL_NONE:
		break;
	}
}

/* Actions that are due. */

static void check_drained(struct lead *lead, int64_t now_us)
{
	if (!lead->draining || lead->task.drained)
		return;
	if (!leadership_drained(&lead->ld)) {
		if (now_us < lead->drain_deadline_us)
			return;
		log_warn("leader.not_released", "epoch=%" PRIu64,
			 lead->ld.epoch);
	}
	kn_drained(&lead->task);
}

/*
 * Starts the store call that is due, publishes a changed state and requests
 * promises.
 */
static void run_due_actions(struct lead *lead)
{
	int64_t now_us = kn_now_us();
	bool was_leading = lead->published.leading;
	struct leadership_call call;

	leadership_next_call(&lead->ld, now_us, &call);
	if (call.kind != LEADERSHIP_CALL_NONE)
		start_call(lead, &call);
	publish(lead, now_us);
	if (lead->ld.leading && (now_us >= lead->next_request_us ||
				 lead->published.leading != was_leading))
		request_promises(lead, now_us, LEADER_PROMISE_MS);
	check_drained(lead, now_us);
}

static void check_freeze(struct lead *lead)
{
	if (leadership_tick(&lead->ld, kn_now_us()))
		ev_emit("leader.frozen", "epoch=%" PRIu64, lead->ld.epoch);
}

static void tick(struct kn_timer *timer)
{
	struct lead *lead = container_of(timer, struct lead, tick);

	kn_timer_set(lead->task.kn, timer, LEADER_TICK_MS * USEC_PER_MSEC,
		     tick);
	check_freeze(lead);
	run_due_actions(lead);
}

/* Operator API. */

static json_t *leader_json(const struct known_leader *known)
{
	json_t *host = *known->host ? json_string(known->host) : json_null();

	return json_pack("{s:s,s:o,s:I}", "dc", known->dc, "leader", host,
			 "epoch", (json_int_t)known->epoch);
}

static void handle_api_call(struct lead *lead, struct svc_api_call *call)
{
	struct known_leader *known;
	json_t *list;
	guint i;

	if (strcmp(call->path, "/v1/leaders") != 0) {
		svc_api_fail(call, &lead->task, CB_E_UNKNOWN_PATH, "%s",
			     call->path);
		return;
	}
	if (strcmp(call->method, "GET") != 0) {
		svc_api_fail(call, &lead->task, CB_E_METHOD,
			     "only GET is supported");
		return;
	}
	list = json_array();
	for (i = 0; i < lead->known_leaders->len; i++) {
		known = &g_array_index(lead->known_leaders, struct known_leader,
				       i);
		json_array_append_new(list, leader_json(known));
	}
	svc_api_answer(call, &lead->task, 200,
		       json_pack("{s:o}", "leaders", list));
}

/* Task. */

static void lead_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct lead *lead = to_lead(task);

	check_freeze(lead);
	switch (msg->type) {
	case SVC_SUBSCRIBE:
		g_ptr_array_add(lead->subscribers, msg->from);
		send_to(lead, msg->from);
		break;
	case SVC_API_CALL:
		handle_api_call(lead, (struct svc_api_call *)msg);
		return;
	case PR_MSG_UP:
		lead->next_request_us = 0;
		break;
	case PR_MSG_DOWN:
		record_leader(lead, ((struct pr_status *)msg)->dc,
			      ((struct pr_status *)msg)->host, 0);
		break;
	case PR_MSG_IN:
		handle_peer_message(lead, kn_now_us(), (struct pr_in *)msg);
		break;
	}
	kn_msg_release(msg);
	run_due_actions(lead);
}

static bool lead_start(struct kn_task *task, GError **err)
{
	struct lead *lead = to_lead(task);

	lead->peers = kn_find(task->kn, SVC_PEERS);
	pr_subscribe(lead->peers, task, 0);
	pr_subscribe(lead->peers, task, PR_HEARTBEAT);
	pr_subscribe(lead->peers, task, PR_PROMISE_ASK);
	pr_subscribe(lead->peers, task, PR_PROMISE);
	leadership_init(&lead->ld, lead->peer_host_count, lead->rand,
			kn_now_us());
	kn_timer_set(task->kn, &lead->tick, 0, tick);
	return true;
}

/*
 * Releases the promises and revokes the lease, so that another host can take
 * over without waiting for them to expire.
 */
static void lead_drain(struct kn_task *task)
{
	struct lead *lead = to_lead(task);
	int64_t now_us = kn_now_us();
	bool was_leading = lead->ld.leading;

	lead->draining = true;
	lead->drain_deadline_us = now_us + MIN(LEADER_DRAIN_MS * USEC_PER_MSEC,
					       stop_services_us(lead->set));
	leadership_drain(&lead->ld, now_us);
	if (was_leading)
		request_promises(lead, now_us, 0);
	run_due_actions(lead);
}

static void lead_finish(struct kn_task *task)
{
	struct lead *lead = to_lead(task);

	kn_timer_cancel(&lead->tick);
	ctr_finish(&lead->acting);
	ctr_finish(&lead->changes);
	g_ptr_array_unref(lead->subscribers);
	g_array_unref(lead->known_leaders);
	g_rand_free(lead->rand);
	g_free(lead);
}

static const struct kn_task_ops lead_ops = {
	.start = lead_start,
	.receive = lead_receive,
	.drain = lead_drain,
	.finish = lead_finish,
};

/*
 * Creates the leadership service and adds it to the kernel. A store call may be
 * in progress when the service finishes, so kv must be freed before the event
 * loop can complete that call.
 */
struct kn_task *lead_new(struct kn *kn, const struct set *set, struct kv *kv,
			 uint64_t incarnation)
{
	struct lead *lead = g_new0(struct lead, 1);
	size_t i;

	lead->set = set;
	lead->kv = kv;
	lead->incarnation = incarnation;
	lead->rand = set->seed ? g_rand_new_with_seed((guint32)set->seed ^
						      g_str_hash(set->host)) :
				 g_rand_new();
	lead->known_leaders =
		g_array_new(FALSE, FALSE, sizeof(struct known_leader));
	lead->subscribers = g_ptr_array_new();
	for (i = 0; i < set->peer_count; i++)
		if (strcmp(set->peers[i].dc, set->dc) == 0)
			lead->peer_hosts[lead->peer_host_count++] =
				set->peers[i].host;
	snprintf(lead->leader_key, sizeof(lead->leader_key),
		 "/chivebank/dc/%s/leader", set->dc);
	snprintf(lead->epoch_key, sizeof(lead->epoch_key),
		 "/chivebank/dc/%s/epoch", set->dc);
	find_or_add_known(lead, set->dc);
	kn_add(kn, &lead->task, SVC_LEAD, &lead_ops);
	ctr_init(&lead->acting, &kn->counters, CTR_GAUGE,
		 "chivebank_leader_acting", NULL,
		 "1 while this host leads its data centre");
	ctr_init(&lead->changes, &kn->counters, CTR_COUNTER,
		 "chivebank_leader_changes_total", NULL,
		 "Times this host began or ended to lead");
	return &lead->task;
}
