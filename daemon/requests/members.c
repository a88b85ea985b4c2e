#include "daemon/requests/members.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "wire/mp.h"
#include "daemon/requests/req.h"
#include "daemon/svc.h"
#include "wire/pr.h"

struct members {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	struct kn_task *peers, *requests; /* peers may be NULL */
	GArray *platform_servers; /* of struct req_member */
	bool has_leadership; /* else this host polls without being the leader */
	bool leading;
	int64_t valid_until_us;
	struct kn_timer poll;
	struct kv_hosts_call call;
	bool polling;
	unsigned int failures;
	int64_t last_sent_us;
	GRand *rand; /* for the jitter of the backoff */
	struct ctr polls, poll_failures;
};

static bool may_poll(const struct members *m)
{
	return m->kv && (!m->has_leadership ||
			 (m->leading && kn_now_us() < m->valid_until_us));
}

/* The list of backend servers. */

static void release_members(struct kn_msg *msg)
{
	struct req_members *members = (struct req_members *)msg;

	g_array_free(members->members, TRUE);
	g_free(members);
}

/* Sends the servers of the settings and the platform to "requests". */
static void publish(struct members *m)
{
	struct req_members *msg = g_new0(struct req_members, 1);
	struct req_member member;
	size_t i;

	msg->msg.type = REQ_MEMBERS;
	msg->msg.release = release_members;
	msg->members = g_array_new(FALSE, TRUE, sizeof(struct req_member));
	for (i = 0; i < m->set->backend_count; i++) {
		const struct set_backend *backend = &m->set->backends[i];

		memset(&member, 0, sizeof(member));
		memcpy(member.service, backend->service, NAME_MAX_BYTES);
		memcpy(member.addr, backend->at.addr, ADDR_MAX_BYTES);
		member.port = backend->at.port;
		member.configured = true;
		g_array_append_val(msg->members, member);
	}
	if (m->platform_servers->len > 0)
		g_array_append_vals(msg->members, m->platform_servers->data,
				    m->platform_servers->len);
	kn_send(m->requests, &m->task, &msg->msg);
}

/* Sends the platform's list to host, or to the data centre if host is NULL. */
static void send_list(struct members *m, const char *host)
{
	const struct req_member *member;
	struct mp_out out;
	guint i;

	if (!m->peers)
		return;
	mp_begin(&out, 1);
	mp_array(&out, m->platform_servers->len * 4UL);
	for (i = 0; i < m->platform_servers->len; i++) {
		member = &g_array_index(m->platform_servers, struct req_member,
					i);
		mp_str(&out, member->service);
		mp_str(&out, member->addr);
		mp_int(&out, member->port);
		mp_int(&out, member->leaving);
	}
	if (host)
		pr_send(m->peers, host, PR_MEMBERS, &out.buf);
	else
		pr_send_dc(m->peers, m->set->dc, PR_MEMBERS, &out.buf);
	mp_end(&out);
}

static bool lists_equal(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	       (a->len == 0 || memcmp(a->data, b->data,
				      a->len * sizeof(struct req_member)) == 0);
}

/* Takes ownership of list. Returns false if it equals the current one. */
static bool replace_list(struct members *m, GArray *list)
{
	if (lists_equal(m->platform_servers, list)) {
		g_array_free(list, TRUE);
		return false;
	}
	ev_emit("members.changed", "servers=%u before=%u", list->len,
		m->platform_servers->len);
	g_array_free(m->platform_servers, TRUE);
	m->platform_servers = list;
	publish(m);
	return true;
}

/* Polling. */

static void poll_now(struct kn_timer *timer);

static void poll_later(struct members *m)
{
	int64_t delay_ms = MEMBERS_POLL_MS;

	if (m->failures > 0) {
		delay_ms = STORE_BACKOFF_BASE_MS
			   << (m->failures < 6 ? m->failures : 6);
		if (delay_ms > STORE_BACKOFF_CAP_MS)
			delay_ms = STORE_BACKOFF_CAP_MS;
		delay_ms = g_rand_int_range(m->rand, 0, (gint32)delay_ms) + 1;
	}
	kn_timer_set(m->task.kn, &m->poll, delay_ms * USEC_PER_MSEC, poll_now);
}

/*
 * If the response has no server of this data centre although some were known,
 * the old list is kept: a list service that has just started is empty, too.
 */
static void on_poll_done(struct kv_hosts_call *call)
{
	struct members *m = container_of(call, struct members, call);
	struct req_member member;
	GArray *list;
	size_t i;

	m->polling = false;
	if (call->result != CB_OK) {
		if (m->failures++ == 0)
			log_warn("members.unavailable", "result=%s",
				 cb_result_name(call->result));
		ctr_add(&m->poll_failures, 1);
		poll_later(m);
		return;
	}
	m->failures = 0;
	list = g_array_new(FALSE, TRUE, sizeof(struct req_member));
	for (i = 0; i < call->count; i++) {
		const struct kv_host *host = &call->hosts[i];

		if (strcmp(host->dc, m->set->dc) != 0)
			continue;
		memset(&member, 0, sizeof(member));
		snprintf(member.service, sizeof(member.service), "%s",
			 host->service[0] ? host->service : "*");
		snprintf(member.addr, sizeof(member.addr), "%s", host->addr);
		member.port = host->port;
		member.leaving = host->leaving;
		g_array_append_val(list, member);
	}
	if (list->len == 0 && m->platform_servers->len > 0) {
		log_warn("members.empty", "known=%u", m->platform_servers->len);
		g_array_free(list, TRUE);
	} else if (replace_list(m, list) ||
		   kn_now_us() - m->last_sent_us >=
			   MEMBERS_SHARE_MS * USEC_PER_MSEC) {
		m->last_sent_us = kn_now_us();
		send_list(m, NULL);
	}
	poll_later(m);
}

static void poll_now(struct kn_timer *timer)
{
	struct members *m = container_of(timer, struct members, poll);

	if (!may_poll(m) || m->polling)
		return;
	m->polling = true;
	m->call.done = on_poll_done;
	ctr_add(&m->polls, 1);
	m->kv->ops->hosts(m->kv, &m->call);
}

/* Messages from peers and other services. */

static void handle_members(struct members *m, const struct pr_in *msg)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct req_member));
	struct req_member member;
	struct mp_in in, items;

	mp_open(&in, &msg->body.data);
	mp_get_array(&in, &items);
	while (items.ok && items.left > 0) {
		memset(&member, 0, sizeof(member));
		mp_get_text(&items, member.service, sizeof(member.service));
		mp_get_text(&items, member.addr, sizeof(member.addr));
		member.port = (int)mp_get_int(&items);
		member.leaving = mp_get_int(&items) != 0;
		g_array_append_val(list, member);
	}
	if (!in.ok || !items.ok) {
		log_warn("members.malformed", "peer=%s", msg->host);
		g_array_free(list, TRUE);
	} else if (may_poll(m) || strcmp(msg->dc, m->set->dc) != 0) {
		g_array_free(list, TRUE);
	} else {
		replace_list(m, list);
	}
}

/* Forwards a report of this host to the other hosts of its data centre. */
static void forward_leaving(struct members *m,
			    const struct req_leaving *leaving)
{
	struct mp_out out;

	if (!m->peers)
		return;
	mp_begin(&out, 3);
	mp_str(&out, leaving->addr);
	mp_int(&out, leaving->port);
	mp_str(&out, leaving->reason);
	pr_send_dc(m->peers, m->set->dc, PR_LEAVING, &out.buf);
	mp_end(&out);
}

static void handle_leaving(struct members *m, const struct pr_in *msg)
{
	struct req_leaving *leaving = g_new0(struct req_leaving, 1);
	struct mp_in in;

	leaving->msg.type = REQ_LEAVING;
	leaving->msg.release = (void (*)(struct kn_msg *))g_free;
	mp_open(&in, &msg->body.data);
	mp_get_text(&in, leaving->addr, sizeof(leaving->addr));
	leaving->port = (int)mp_get_int(&in);
	mp_get_text(&in, leaving->reason, sizeof(leaving->reason));
	if (!in.ok || strcmp(msg->dc, m->set->dc) != 0) {
		g_free(leaving);
		return;
	}
	kn_send(m->requests, &m->task, &leaving->msg);
}

static void on_lead_changed(struct members *m, const struct svc_lead *lead)
{
	m->leading = lead->leading;
	m->valid_until_us = lead->valid_until_us;
	if (may_poll(m) && !m->polling && !kn_timer_pending(&m->poll))
		poll_now(&m->poll);
}

static void handle_peer_up(struct members *m, const struct pr_status *status)
{
	if (may_poll(m) && strcmp(status->dc, m->set->dc) == 0)
		send_list(m, status->host);
}

static void receive(struct kn_task *task, struct kn_msg *msg)
{
	struct members *m = (struct members *)task;

	switch (msg->type) {
	case SVC_API_CALL:
		/* "requests" has the data and replies to the API itself. */
		kn_send(m->requests, msg->from, msg);
		return;
	case SVC_LEAD_CHANGED:
		on_lead_changed(m, (struct svc_lead *)msg);
		break;
	case REQ_LEAVING:
		forward_leaving(m, (struct req_leaving *)msg);
		break;
	case PR_MSG_UP:
		handle_peer_up(m, (struct pr_status *)msg);
		break;
	case PR_MSG_IN:
		if (((struct pr_in *)msg)->type == PR_MEMBERS)
			handle_members(m, (struct pr_in *)msg);
		else if (((struct pr_in *)msg)->type == PR_LEAVING)
			handle_leaving(m, (struct pr_in *)msg);
		break;
	}
	kn_msg_release(msg);
}

/* Start and stop. */

static bool start(struct kn_task *task, GError **err)
{
	struct members *m = (struct members *)task;
	struct kn_task *lead = kn_find(task->kn, SVC_LEAD);

	m->requests = kn_find(task->kn, SVC_REQUESTS);
	if (!m->requests) {
		g_set_error(err, CB_ERROR, CB_E_INTERNAL,
			    "service \"members\" requires \"requests\"");
		return false;
	}
	m->peers = kn_find(task->kn, SVC_PEERS);
	if (m->peers) {
		pr_subscribe(m->peers, task, 0);
		pr_subscribe(m->peers, task, PR_MEMBERS);
		pr_subscribe(m->peers, task, PR_LEAVING);
	}
	svc_subscribe(m->requests, task);
	m->has_leadership = lead != NULL;
	if (lead)
		svc_subscribe(lead, task);
	publish(m);
	if (m->set->host_list.port == 0)
		m->kv = NULL;
	poll_now(&m->poll);
	return true;
}

static void finish(struct kn_task *task)
{
	struct members *m = (struct members *)task;

	kn_timer_cancel(&m->poll);
	g_array_free(m->platform_servers, TRUE);
	g_rand_free(m->rand);
	ctr_finish(&m->polls);
	ctr_finish(&m->poll_failures);
	g_free(m);
}

static const struct kn_task_ops members_ops = {
	.start = start,
	.receive = receive,
	.finish = finish,
};

struct kn_task *members_new(struct kn *kn, const struct set *set, struct kv *kv)
{
	struct members *m = g_new0(struct members, 1);

	m->set = set;
	m->kv = kv;
	m->platform_servers =
		g_array_new(FALSE, TRUE, sizeof(struct req_member));
	m->rand = g_rand_new();
	kn_add(kn, &m->task, SVC_MEMBERS, &members_ops);
	ctr_init(&m->polls, &kn->counters, CTR_COUNTER,
		 "chivebank_members_polls_total", NULL,
		 "Reads of the platform's host list.");
	ctr_init(&m->poll_failures, &kn->counters, CTR_COUNTER,
		 "chivebank_members_poll_failures_total", NULL,
		 "Reads of the host list that failed.");
	return &m->task;
}
