#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/requests/req_int.h"

#define ANY_SERVICE "*"

/* Groups of servers. */

static struct req_group *find_group(struct req_task *r, const char *service)
{
	struct req_group *group;

	list_for_each_entry(group, &r->groups, node)
		if (strcmp(group->service, service) == 0)
			return group;
	return NULL;
}

static void on_refuse(struct admission *admission, struct admission_item *item,
		      int code)
{
	struct req *req = container_of(item, struct req, item);

	req_set_state(req, REQ_ST_NEW);
	req_answer_not_run(req, code);
}

static const struct admission_ops queue_ops = { .refuse = on_refuse };

static void sync_customers(struct req_task *r, struct req_group *group)
{
	struct admission_customer *customer, *tmp;
	size_t i;

	if (!r->view)
		return;
	for (i = 0; i < r->view->customer_count; i++)
		admission_customer_set(&group->admission,
				       r->view->customers[i].name,
				       r->view->customers[i].weight);
	list_for_each_entry_safe(customer, tmp, &group->admission.customers,
				 node)
		if (!customer->removed &&
		    !doc_view_customer(r->view, customer->name))
			admission_customer_remove(&group->admission, customer);
}

static struct req_group *new_group(struct req_task *r, const char *service)
{
	struct req_group *group = g_new0(struct req_group, 1);

	group->r = r;
	snprintf(group->service, sizeof(group->service), "%s", service);
	admission_init(&group->admission, &queue_ops, kn_now_us());
	group->servers = g_ptr_array_new();
	list_add_tail(&group->node, &r->groups);
	sync_customers(r, group);
	return group;
}

/*
 * Returns the group that serves a service: its own group if that has servers,
 * else the group of servers for any service.
 */
struct req_group *req_group_get(struct req_task *r, const char *service)
{
	struct req_group *group = find_group(r, service), *any;

	if (group && group->servers->len > 0)
		return group;
	any = find_group(r, ANY_SERVICE);
	if (any && any->servers->len > 0)
		return any;
	return group ? group : new_group(r, service);
}

/* True when a server of the group may get requests. */
bool req_group_has_usable_server(const struct req_group *group)
{
	const struct req_server *server;
	guint i;

	for (i = 0; i < group->servers->len; i++) {
		server = g_ptr_array_index(group->servers, i);
		if (membership_max_in_flight(&server->membership) > 0)
			return true;
	}
	return false;
}

/*
 * True when a server of the group can take the request. A server in probation
 * may fail while it runs a request, so it gets only idempotent ones. A retry
 * goes to another server than the one that failed the request.
 */
bool req_group_can_serve(const struct req_group *group, const struct req *req)
{
	const struct req_server *server;
	guint i;

	for (i = 0; i < group->servers->len; i++) {
		server = g_ptr_array_index(group->servers, i);
		if (membership_max_in_flight(&server->membership) <= 0 ||
		    (req->maybe_ran && server == req->server))
			continue;
		if (server->membership.state == MEMBERSHIP_LIVE ||
		    req->idempotent)
			return true;
	}
	return false;
}

/* Applies the customers of a new document to all queues. */
void req_apply_document(struct req_task *r, struct doc_view *view)
{
	struct req_group *group;

	if (r->view)
		doc_view_unref(r->view);
	r->view = doc_view_ref(view);
	list_for_each_entry(group, &r->groups, node)
		sync_customers(r, group);
}

/* Servers. */

static void log_server_state(const struct req_server *server, const char *cause)
{
	ev_emit("server.state",
		"server=%s:%d service=%s state=%s listed=%d cause=%s",
		server->membership.addr, server->membership.port,
		server->membership.service,
		membership_state_name(server->membership.state),
		server->membership.listed, cause);
}

static struct req_server *find_server(struct req_task *r, const char *service,
				      const char *addr, int port)
{
	struct membership_server *membership =
		membership_find(&r->membership, service, addr, port);

	return membership ?
		       container_of(membership, struct req_server, membership) :
		       NULL;
}

static void free_server(struct req_server *server)
{
	struct req_task *r = server->group->r;
	struct req *req;

	list_for_each_entry(req, &r->active, node)
		if (req->server == server)
			req->server = NULL;
	g_ptr_array_remove(server->group->servers, server);
	membership_remove(&server->membership);
	if (--server->endpoint->refs == 0) {
		r->back->ops->remove_server(r->back, server->membership.addr,
					    server->membership.port);
		slot_credits_server_finish(&server->endpoint->slots);
		g_free(server->endpoint);
	}
	g_free(server);
}

static struct req_endpoint *get_endpoint(struct req_task *r, const char *addr,
					 int port)
{
	struct req_endpoint *endpoint;
	struct slot_credits_server *slots;
	char name[SLOT_CREDITS_SERVER_BYTES];

	snprintf(name, sizeof(name), "%s:%d", addr, port);
	list_for_each_entry(slots, &r->slots.holder.servers, node) {
		if (strcmp(slots->name, name) != 0)
			continue;
		endpoint = container_of(slots, struct req_endpoint, slots);
		endpoint->refs++;
		return endpoint;
	}
	endpoint = g_new0(struct req_endpoint, 1);
	endpoint->refs = 1;
	slot_credits_server_init(&endpoint->slots, &r->slots.holder, name,
				 slots_floor(&r->slots, name));
	r->back->ops->add_server(r->back, addr, port,
				 slots_connections(&r->slots));
	return endpoint;
}

static struct req_server *add_server(struct req_task *r,
				     const struct req_member *member)
{
	struct req_server *server = g_new0(struct req_server, 1);

	server->group = find_group(r, member->service);
	if (!server->group)
		server->group = new_group(r, member->service);
	membership_add(&r->membership, &server->membership, member->service,
		       member->addr, member->port, member->configured);
	server->endpoint = get_endpoint(r, member->addr, member->port);
	g_ptr_array_add(server->group->servers, server);
	log_server_state(server, "added");
	return server;
}

static bool in_list(const struct req_members *list,
		    const struct membership_server *server)
{
	const struct req_member *member;
	guint i;

	for (i = 0; i < list->members->len; i++) {
		member = &g_array_index(list->members, struct req_member, i);
		if (member->port == server->port &&
		    strcmp(member->addr, server->addr) == 0 &&
		    strcmp(member->service, server->service) == 0)
			return true;
	}
	return false;
}

/*
 * Applies a complete list of servers. A server that is missing from it gets no
 * new requests; req_servers_tick() frees it once nothing runs on it.
 */
void req_servers_update(struct req_task *r, const struct req_members *list)
{
	int64_t now_us = kn_now_us();
	const struct req_member *member;
	struct req_server *server;
	struct membership_server *membership;
	guint i;

	for (i = 0; i < list->members->len; i++) {
		member = &g_array_index(list->members, struct req_member, i);
		server = find_server(r, member->service, member->addr,
				     member->port);
		if (!server)
			server = add_server(r, member);
		if (member->leaving)
			req_server_leaving(r, member->addr, member->port,
					   "listed-as-leaving", true);
		if (membership_update_listed(&server->membership, true,
					     member->leaving, now_us))
			log_server_state(server, "list");
	}
	list_for_each_entry(membership, &r->membership.servers, node)
		if (!in_list(list, membership) &&
		    membership_update_listed(membership, false, false, now_us))
			log_server_state(container_of(membership,
						      struct req_server,
						      membership),
					 "absent");
	req_ensure_tick(r);
}

static void notify_members(struct req_task *r, const char *addr, int port,
			   const char *reason)
{
	struct req_leaving *msg;

	if (!r->members)
		return;
	msg = g_new0(struct req_leaving, 1);
	msg->msg.type = REQ_LEAVING;
	msg->msg.release = (void (*)(struct kn_msg *))g_free;
	snprintf(msg->addr, sizeof(msg->addr), "%s", addr);
	snprintf(msg->reason, sizeof(msg->reason), "%s", reason);
	msg->port = port;
	kn_send(r->members, &r->task, &msg->msg);
}

/*
 * Handles a report that a server is leaving. notify: as far as this host knows,
 * no other host of the data centre has reported it yet, so the other hosts are
 * notified at once.
 */
void req_server_leaving(struct req_task *r, const char *addr, int port,
			const char *reason, bool notify)
{
	int64_t now_us = kn_now_us();
	struct membership_server *membership;
	bool changed = false;

	list_for_each_entry(membership, &r->membership.servers, node) {
		if (membership->port != port ||
		    strcmp(membership->addr, addr) != 0)
			continue;
		if (membership_mark_leaving(membership, now_us)) {
			changed = true;
			log_server_state(container_of(membership,
						      struct req_server,
						      membership),
					 reason);
		}
	}
	if (changed && notify)
		notify_members(r, addr, port, reason);
}

/*
 * Credits wanted at a server: its share of the running requests and one more,
 * or all its slots while requests are queued; less the floor, which needs no
 * credits, and at most the size of the pool.
 */
static int wanted_credits(struct req_task *r, const struct req_server *server)
{
	const struct admission *admission = &server->group->admission;
	int n = (int)server->group->servers->len;
	int want;

	if (membership_max_in_flight(&server->membership) <= 0)
		return 0;
	want = admission->classes[DOC_SHORT].running +
	       admission->classes[DOC_LONG].running;
	want = want > 0 ? (want + n - 1) / n + 1 : 0;
	if (admission->waiting > 0)
		want = BACKEND_SLOTS;
	want -= server->endpoint->slots.floor;
	if (want > slots_pool(&r->slots))
		want = slots_pool(&r->slots);
	return want > 0 ? want : 0;
}

/*
 * Ends the delays of ejected servers and sets the credits that are wanted. A
 * server missing from the list is kept for LEAVING_HOLD_MS, the time for which
 * a report that it is leaving holds, since the list may lag and name the server
 * again.
 */
void req_servers_tick(struct req_task *r, int64_t now_us)
{
	struct membership_server *membership, *tmp;
	struct req_server *server;
	struct slot_credits_server *slots;
	int want;

	list_for_each_entry(slots, &r->slots.holder.servers, node)
		slots->want = 0;
	list_for_each_entry_safe(membership, tmp, &r->membership.servers,
				 node) {
		server =
			container_of(membership, struct req_server, membership);
		if (membership_tick(membership, now_us))
			log_server_state(server, "delay-over");
		want = wanted_credits(r, server);
		if (want > server->endpoint->slots.want)
			server->endpoint->slots.want = want;
		if (membership->listed)
			server->unlisted_since_us = 0;
		else if (server->unlisted_since_us == 0)
			server->unlisted_since_us = now_us;
		else if (now_us - server->unlisted_since_us >=
				 LEAVING_HOLD_MS * USEC_PER_MSEC &&
			 server->routing.in_flight == 0)
			free_server(server);
	}
}

void req_servers_finish(struct req_task *r)
{
	struct req_group *group;

	while (!list_empty(&r->membership.servers))
		free_server(container_of(
			list_first_entry(&r->membership.servers,
					 struct membership_server, node),
			struct req_server, membership));
	while (!list_empty(&r->groups)) {
		group = list_first_entry(&r->groups, struct req_group, node);
		list_del(&group->node);
		admission_finish(&group->admission);
		g_ptr_array_free(group->servers, TRUE);
		g_free(group);
	}
}

/* Reports of the HTTP client on the state of servers. */

static struct req_task *signs_to_task(struct backend_observer *observer)
{
	return container_of(observer, struct req_task, observer);
}

static void on_leaving(struct backend_observer *observer, const char *addr,
		       int port)
{
	req_server_leaving(signs_to_task(observer), addr, port, "server-said",
			   true);
}

/*
 * Handles a report that a server refuses connections, so it is down or about to
 * stop. It is ejected: it gets no request until the ejection delay has passed,
 * and then only on a new connection. Unlike a report that it is leaving, this
 * does not hold for LEAVING_HOLD_MS, because a server that restarts refuses
 * connections too. notify: see req_server_leaving().
 */
void req_server_refused(struct req_task *r, const char *addr, int port,
			bool notify)
{
	unsigned int conns = slots_connections(&r->slots);
	struct membership_server *membership;
	bool changed = false;
	int i;

	list_for_each_entry(membership, &r->membership.servers, node) {
		if (membership->port != port ||
		    strcmp(membership->addr, addr) != 0)
			continue;
		for (i = 0; i < EJECT_FAILURES &&
			    membership->state != MEMBERSHIP_EJECTED;
		     i++)
			if (membership_failure(&r->membership, membership,
					       kn_now_us())) {
				changed = true;
				log_server_state(container_of(membership,
							      struct req_server,
							      membership),
						 REQ_REASON_REFUSED);
			}
	}
	if (!changed)
		return;
	/* A limit of 0 closes the idle connections. */
	r->back->ops->add_server(r->back, addr, port, 0);
	r->back->ops->add_server(r->back, addr, port, conns);
	if (notify)
		notify_members(r, addr, port, REQ_REASON_REFUSED);
}

static void on_refused(struct backend_observer *observer, const char *addr,
		       int port)
{
	req_server_refused(signs_to_task(observer), addr, port, true);
}

static void on_failed(struct backend_observer *observer, const char *addr,
		      int port, int result)
{
	struct req_task *r = signs_to_task(observer);
	struct membership_server *membership;

	list_for_each_entry(membership, &r->membership.servers, node)
		if (membership->port == port &&
		    strcmp(membership->addr, addr) == 0 &&
		    membership_failure(&r->membership, membership, kn_now_us()))
			log_server_state(container_of(membership,
						      struct req_server,
						      membership),
					 cb_result_name(result));
}

static void on_answered(struct backend_observer *observer, const char *addr,
			int port, int status, int64_t latency_us)
{
	struct req_task *r = signs_to_task(observer);
	struct membership_server *membership;

	list_for_each_entry(membership, &r->membership.servers, node)
		if (membership->port == port &&
		    strcmp(membership->addr, addr) == 0 &&
		    membership_success(&r->membership, membership, latency_us,
				       kn_now_us()))
			log_server_state(container_of(membership,
						      struct req_server,
						      membership),
					 membership->state == MEMBERSHIP_LIVE ?
						 "recovered" :
						 "slow");
}

void req_signs_init(struct req_task *r)
{
	r->observer.leaving = on_leaving;
	r->observer.refused = on_refused;
	r->observer.failed = on_failed;
	r->observer.answered = on_answered;
}

/* Administration API. */

/* Answers GET /v1/servers with the state of each server on this host. */
void req_servers_api(struct req_task *r, struct svc_api_call *call)
{
	json_t *servers = json_array();
	int64_t now_us = kn_now_us();
	struct membership_server *membership;

	list_for_each_entry(membership, &r->membership.servers, node) {
		struct req_server *server =
			container_of(membership, struct req_server, membership);

		json_array_append_new(
			servers,
			json_pack("{s:s,s:s,s:i,s:s,s:b,s:i,s:i,s:i,s:I}",
				  "service", membership->service, "addr",
				  membership->addr, "port", membership->port,
				  "state",
				  membership_state_name(membership->state),
				  "listed", membership->listed, "in_progress",
				  server->routing.in_flight, "floor",
				  server->endpoint->slots.floor, "credits",
				  slot_credits_held(&server->endpoint->slots,
						    now_us),
				  "latency_us",
				  (json_int_t)server->routing.latency_us));
	}
	svc_api_answer(call, &r->task, 200,
		       json_pack("{s:s,s:o}", "host", r->set->host, "servers",
				 servers));
}
