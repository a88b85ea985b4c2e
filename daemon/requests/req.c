#include "daemon/requests/req.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/requests/req_int.h"
#include "daemon/stop.h"

/* Metrics. */

struct counter {
	size_t offset;
	enum ctr_kind kind;
	const char *name;
	const char *labels;
	const char *help;
};

#define COUNTER(field, kind, name, labels, help)                               \
	{                                                                      \
		offsetof(struct req_counters, field), kind, name, labels, help \
	}

static const struct counter counters[] = {
	COUNTER(waiting, CTR_GAUGE, "chivebank_requests_waiting", NULL,
		"Requests in the queue."),
	COUNTER(running, CTR_GAUGE, "chivebank_requests_in_progress", NULL,
		"Requests at backend servers."),
	COUNTER(slots, CTR_GAUGE, "chivebank_slots_held", NULL,
		"Slots that this host may use, floors and credits."),
	COUNTER(answered, CTR_COUNTER, "chivebank_requests_total",
		"outcome=\"answered\"", "Requests by outcome."),
	COUNTER(not_run, CTR_COUNTER, "chivebank_requests_total",
		"outcome=\"not-run\"", "Requests by outcome."),
	COUNTER(unknown, CTR_COUNTER, "chivebank_requests_total",
		"outcome=\"unknown\"", "Requests by outcome."),
	COUNTER(retries, CTR_COUNTER, "chivebank_retries_total", NULL,
		"Attempts after the first."),
	COUNTER(retries_denied, CTR_COUNTER, "chivebank_retries_denied_total",
		NULL, "Retries that the budget did not allow."),
	COUNTER(forwarded, CTR_COUNTER, "chivebank_forwards_total", NULL,
		"Requests sent to a peer."),
	COUNTER(replayed, CTR_COUNTER, "chivebank_replays_total", NULL,
		"Answers given once more for the same key."),
	COUNTER(claims, CTR_COUNTER, "chivebank_claims_total", NULL,
		"Keys to be claimed in the store."),
	COUNTER(claim_batches, CTR_COUNTER, "chivebank_claim_batches_total",
		NULL, "Claim transactions sent to the store."),
	COUNTER(keys, CTR_GAUGE, "chivebank_keys_finished", NULL,
		"Finished keys in memory."),
	COUNTER(evicted, CTR_GAUGE, "chivebank_keys_evicted", NULL,
		"Finished keys forgotten for lack of memory."),
	COUNTER(region_bytes, CTR_COUNTER, "chivebank_region_forward_bytes",
		NULL, "Bytes of requests sent to other regions."),
	COUNTER(wait_short_us, CTR_HISTOGRAM, "chivebank_wait_us",
		"class=\"short\"", "Wait in the queue."),
	COUNTER(wait_long_us, CTR_HISTOGRAM, "chivebank_wait_us",
		"class=\"long\"", "Wait in the queue."),
};

static struct ctr *counter_at(struct req_task *r, size_t i)
{
	return (struct ctr *)(void *)((char *)&r->ctrs + counters[i].offset);
}

struct result_counter {
	struct ctr ctr;
	char labels[64];
};

static void result_counter_free(gpointer data)
{
	struct result_counter *counter = data;

	ctr_finish(&counter->ctr);
	g_free(counter);
}

void req_counters_init(struct req_task *r)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counters); i++)
		ctr_init(counter_at(r, i), &r->task.kn->counters,
			 counters[i].kind, counters[i].name, counters[i].labels,
			 counters[i].help);
	r->ctrs.by_result =
		g_hash_table_new_full(NULL, NULL, NULL, result_counter_free);
}

void req_counters_finish(struct req_task *r)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counters); i++)
		ctr_finish(counter_at(r, i));
	g_hash_table_destroy(r->ctrs.by_result);
}

/* Counts a request that got no answer of a server, by its result code. */
void req_count_unanswered(struct req_task *r, int result)
{
	gpointer key = GINT_TO_POINTER(result);
	struct result_counter *counter =
		g_hash_table_lookup(r->ctrs.by_result, key);

	if (!counter) {
		counter = g_new0(struct result_counter, 1);
		snprintf(counter->labels, sizeof(counter->labels),
			 "result=\"%s\"", cb_result_name(result));
		ctr_init(&counter->ctr, &r->task.kn->counters, CTR_COUNTER,
			 "chivebank_requests_without_answer_total",
			 counter->labels, "Refused or unknown, by result.");
		g_hash_table_insert(r->ctrs.by_result, key, counter);
	}
	ctr_add(&counter->ctr, 1);
}

static void update_gauges(struct req_task *r)
{
	const struct slot_credits_server *slots;
	const struct req_group *group;
	uint64_t held = 0, waiting = 0, running = 0;
	int64_t now_us = kn_now_us();

	list_for_each_entry(group, &r->groups, node)
		waiting += (uint64_t)group->admission.waiting;
	list_for_each_entry(slots, &r->slots.holder.servers, node) {
		running += (uint64_t)slots->running;
		held += (uint64_t)(slots->floor +
				   slot_credits_held(slots, now_us));
	}
	ctr_gauge(&r->ctrs.waiting, waiting);
	ctr_gauge(&r->ctrs.running, running);
	ctr_gauge(&r->ctrs.slots, held);
	ctr_gauge(&r->ctrs.keys, r->keys.finished_count);
	ctr_gauge(&r->ctrs.evicted, r->keys.evicted);
}

/* Timers. */

static void on_tick(struct kn_timer *timer);

/*
 * Sets the tick timer. The short interval that claims need is used only while
 * claims are queued, because each round of the event loop polls every
 * connection.
 */
static void set_tick_timer(struct req_task *r)
{
	r->tick_for_claims = r->keys.claim_count > 0;
	kn_timer_set(r->task.kn, &r->tick_timer,
		     (r->tick_for_claims ? KEY_BATCH_DELAY_MS : REQ_TICK_MS) *
			     USEC_PER_MSEC,
		     on_tick);
}

static void on_tick(struct kn_timer *timer)
{
	struct req_task *r = container_of(timer, struct req_task, tick_timer);
	const struct req_group *group;
	int64_t now_us = kn_now_us();
	bool queued = false;

	req_expire(r, now_us);
	req_servers_tick(r, now_us);
	list_for_each_entry(group, &r->groups, node)
		queued = queued || group->admission.waiting > 0;
	slots_report_if_due(&r->slots, queued, now_us);
	if (r->kv && !r->stopping)
		req_claims_tick(r, now_us);
	req_dispatch(r);
	if (r->req_count > 0 || r->keys.claim_count > 0)
		set_tick_timer(r);
}

/*
 * Starts the tick timer if it is not running, and shortens its interval if
 * claims are queued.
 */
void req_ensure_tick(struct req_task *r)
{
	if (!kn_timer_pending(&r->tick_timer) ||
	    (r->keys.claim_count > 0 && !r->tick_for_claims))
		set_tick_timer(r);
}

/* Periodic maintenance, which also runs while there are no requests. */
static void on_maintenance(struct kn_timer *timer)
{
	struct req_task *r =
		container_of(timer, struct req_task, maintenance_timer);
	int64_t now_us = kn_now_us();

	req_servers_tick(r, now_us);
	slots_report_if_due(&r->slots, false, now_us);
	idem_expire(&r->keys, now_us);
	update_gauges(r);
	kn_timer_set(r->task.kn, &r->maintenance_timer,
		     REQ_IDLE_TICK_MS * USEC_PER_MSEC, on_maintenance);
}

/* Messages from other tasks and from peers. */

static void submit(struct req_task *r, struct req_call *call)
{
	struct req *req = g_new0(struct req, 1);

	req->call = call;
	req->local_id = call->id;
	g_hash_table_insert(r->local, &req->local_id, req);
	req_submit(r, req);
}

static void on_peer_up(struct req_task *r, const struct pr_status *status)
{
	struct req_peer *peer = g_new0(struct req_peer, 1);

	memcpy(peer->host, status->host, sizeof(peer->host));
	memcpy(peer->dc, status->dc, sizeof(peer->dc));
	peer->incarnation = status->incarnation;
	peer->draining = status->draining;
	g_hash_table_replace(r->peer_table, peer->host, peer);
}

static void on_peer_down(struct req_task *r, const struct pr_status *status)
{
	g_hash_table_remove(r->peer_table, status->host);
	req_forward_lost(r, status->host);
}

static void on_peer_message(struct req_task *r, const struct pr_in *in)
{
	switch (in->type) {
	case PR_FORWARD:
		req_forward_in(r, in);
		break;
	case PR_FORWARD_REPLY:
		req_forward_reply_in(r, in);
		break;
	case PR_FORWARD_CANCEL:
		req_forward_cancel_in(r, in);
		break;
	case PR_SLOT_REPORT:
		slots_handle_report(&r->slots, in);
		break;
	case PR_SLOT_GRANT:
		if (slots_handle_grant(&r->slots, in))
			req_dispatch(r);
		break;
	case PR_KEY_ADOPT:
		req_keys_adopt(r, in);
		break;
	}
}

static void on_peer_report(struct req_task *r, const struct req_leaving *report)
{
	if (strcmp(report->reason, REQ_REASON_REFUSED) == 0)
		req_server_refused(r, report->addr, report->port, false);
	else
		req_server_leaving(r, report->addr, report->port, "peer",
				   false);
}

static void receive(struct kn_task *task, struct kn_msg *msg)
{
	struct req_task *r = (struct req_task *)task;

	switch (msg->type) {
	case REQ_SUBMIT:
		submit(r, (struct req_call *)msg);
		return;
	case REQ_TICKETS:
		req_tickets(r, (struct req_tickets *)msg);
		return;
	case SVC_API_CALL:
		req_servers_api(r, (struct svc_api_call *)msg);
		return;
	case REQ_CANCEL:
		req_cancel(r, NULL, ((struct req_cancel *)msg)->id);
		break;
	case REQ_MEMBERS:
		req_servers_update(r, (struct req_members *)msg);
		break;
	case REQ_LEAVING:
		on_peer_report(r, (struct req_leaving *)msg);
		break;
	case SVC_SUBSCRIBE:
		r->members = msg->from;
		break;
	case SVC_DOC_CHANGED:
		req_apply_document(r, ((struct svc_doc *)msg)->view);
		break;
	case SVC_LEAD_CHANGED:
		slots_set_leadership(&r->slots, (struct svc_lead *)msg);
		break;
	case PR_MSG_UP:
		on_peer_up(r, (struct pr_status *)msg);
		break;
	case PR_MSG_DOWN:
		on_peer_down(r, (struct pr_status *)msg);
		break;
	case PR_MSG_IN:
		on_peer_message(r, (struct pr_in *)msg);
		break;
	}
	kn_msg_release(msg);
}

/* Start and shutdown. */

static bool start(struct kn_task *task, GError **err)
{
	static const int types[] = { 0,
				     PR_FORWARD,
				     PR_FORWARD_REPLY,
				     PR_FORWARD_CANCEL,
				     PR_SLOT_REPORT,
				     PR_SLOT_GRANT,
				     PR_KEY_ADOPT };
	struct req_task *r = (struct req_task *)task;
	struct kn_task *service;
	size_t i;

	r->peers = kn_find(task->kn, SVC_PEERS);
	if (r->set->peer_listen.port == 0 && r->set->peer_count == 0)
		r->peers = NULL;
	slots_init(&r->slots, r->set, r->peers, r->incarnation);
	for (i = 0; r->peers && i < G_N_ELEMENTS(types); i++)
		pr_subscribe(r->peers, task, types[i]);
	if ((service = kn_find(task->kn, SVC_LEAD)))
		svc_subscribe(service, task);
	if ((service = kn_find(task->kn, SVC_DOCUMENT)))
		svc_subscribe(service, task);
	on_maintenance(&r->maintenance_timer);
	return true;
}

/* Completes a drain once no request and no claim is in progress. */
void req_check_drained(struct req_task *r)
{
	if (!r->refusing || r->task.drained || r->req_count > 0)
		return;
	if (!list_empty(&r->batches) && !r->stopping)
		return;
	if (!r->handed_over) {
		r->handed_over = true;
		req_keys_hand_over(r);
	}
	kn_drained(&r->task);
}

static void on_drain_delay(struct kn_timer *timer)
{
	struct req_task *r = container_of(timer, struct req_task, drain_timer);

	r->refusing = true;
	ev_emit("requests.refusing", "in_progress=%zu", r->req_count);
	req_check_drained(r);
}

/* Also for the requests of peers, which the callers' server doesn't know. */
static void on_stop(struct kn_timer *timer)
{
	struct req_task *r = container_of(timer, struct req_task, stop_timer);

	r->refusing = true;
	r->stopping = true;
	req_end_all(r);
	req_check_drained(r);
}

/*
 * Refuses new requests only after drain_delay_ms, so that the load balancer has
 * time to notice that this host is draining.
 */
static void drain(struct kn_task *task)
{
	struct req_task *r = (struct req_task *)task;

	kn_timer_set(task->kn, &r->drain_timer,
		     stop_times(r->set).settle_ms * USEC_PER_MSEC,
		     on_drain_delay);
	kn_timer_set(task->kn, &r->stop_timer, stop_services_us(r->set),
		     on_stop);
}

static void finish(struct kn_task *task)
{
	struct req_task *r = (struct req_task *)task;
	struct req *req;

	kn_timer_cancel(&r->tick_timer);
	kn_timer_cancel(&r->maintenance_timer);
	kn_timer_cancel(&r->drain_timer);
	kn_timer_cancel(&r->stop_timer);
	r->refusing = false;
	while (!list_empty(&r->suspended))
		req_free(list_first_entry(&r->suspended, struct req, node));
	while (!list_empty(&r->active)) {
		req = list_first_entry(&r->active, struct req, node);
		if (req->state == REQ_ST_QUEUED)
			admission_cancel(&req->group->admission, &req->item);
		else if (req->state == REQ_ST_RUNNING)
			admission_done(&req->group->admission, &req->item,
				       false, kn_now_us());
		if (req->state == REQ_ST_RUNNING)
			r->back->ops->cancel(r->back, &req->back);
		req_free(req);
	}
	req_claims_finish(r);
	req_servers_finish(r);
	r->back->ops->finish(r->back);
	slots_finish(&r->slots);
	idem_finish(&r->keys);
	g_hash_table_destroy(r->peer_table);
	g_hash_table_destroy(r->local);
	req_counters_finish(r);
	if (r->view)
		doc_view_unref(r->view);
	g_rand_free(r->rand);
	g_free(r);
}

static const struct kn_task_ops req_ops = {
	.start = start,
	.receive = receive,
	.drain = drain,
	.finish = finish,
};

struct kn_task *req_new(struct kn *kn, const struct set *set, struct kv *kv,
			uint64_t incarnation)
{
	struct req_task *r = g_new0(struct req_task, 1);

	r->set = set;
	r->kv = kv;
	r->incarnation = incarnation;
	list_init(&r->groups);
	list_init(&r->active);
	list_init(&r->suspended);
	list_init(&r->batches);
	membership_init(&r->membership);
	retry_budget_init(&r->retry_budget, kn_now_us());
	idem_init(&r->keys, set->host, incarnation);
	req_signs_init(r);
	r->back = backend_http_new(kn, &r->observer);
	r->rand = set->seed ? g_rand_new_with_seed((guint32)set->seed) :
			      g_rand_new();
	r->peer_table =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	r->local = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->region_refilled_us = kn_now_us();
	kn_add(kn, &r->task, SVC_REQUESTS, &req_ops);
	req_counters_init(r);
	return &r->task;
}
