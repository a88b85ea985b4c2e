#include "wire/kvetcd.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* Requests. */

static void req_free(struct etcd_req *req)
{
	list_del(&req->node);
	kn_timer_cancel(&req->timer);
	free(req->body);
	g_free(req);
}

static void start_waiting(struct etcd *etcd);

/* Ends a request: the reply goes to its owner, a connection to the next. */
static void req_end(struct etcd_req *req, int result, const json_t *reply)
{
	struct etcd *etcd = req->etcd;

	list_del(&req->node);
	req->done(req, result, reply);
	req_free(req);
	start_waiting(etcd);
}

/*
 * Result of a finished exchange. A request of which no byte was sent, and
 * one that the gateway refused as invalid (4xx, such as a put under a lapsed
 * lease), had no effect; after any other failure the effect is unknown.
 */
static int exchange_result(const struct etcd_req *req, json_t **reply)
{
	const struct hc_call *hc = &req->hc;

	if (hc->result != CB_OK)
		return hc->sent ? CB_E_TIMEOUT : CB_E_STORE_DOWN;
	if (hc->status == 200) {
		*reply = json_loadb((const char *)hc->body, hc->body_len, 0,
				    NULL);
		if (*reply)
			return CB_OK;
	}
	log_warn("store.refused", "path=%s status=%d bytes=%zu", req->path,
		 hc->status, hc->body_len);
	return hc->status >= 400 && hc->status < 500 ? CB_E_STORE_DOWN :
						       CB_E_TIMEOUT;
}

/* No connection became free in time: nothing was sent. */
static void on_deadline(struct kn_timer *timer)
{
	req_end(container_of(timer, struct etcd_req, timer), CB_E_STORE_DOWN,
		NULL);
}

/* Counts a call by its path; writes are transactions. */
void etcd_count(struct etcd *etcd, const char *path)
{
	enum kv_call_kind kind = KV_CALL_HOSTS;

	if (strcmp(path, "/v3/kv/range") == 0)
		kind = KV_CALL_RANGE;
	else if (g_str_has_prefix(path, "/v3/kv/"))
		kind = KV_CALL_TXN;
	else if (g_str_has_prefix(path, "/v3/lease/"))
		kind = KV_CALL_LEASE;
	else if (strcmp(path, "/v3/watch") == 0)
		kind = KV_CALL_WATCH;
	kv_count(&etcd->kv, kind);
}

/*
 * A read that was lost on a connection which the store had just closed is
 * sent once more; it has no effect that could happen twice.
 */
static bool retry_read(struct etcd_req *req)
{
	struct etcd *etcd = req->etcd;

	if (req->retried || req->hc.result != CB_E_UPSTREAM_LOST ||
	    strcmp(req->path, "/v3/kv/range") != 0)
		return false;
	req->retried = true;
	hc_call_finish(&req->hc);
	list_del(&req->node);
	list_add_tail(&req->node, &etcd->waiting);
	etcd_count(etcd, req->path);
	kn_timer_set(etcd->kv.kn, &req->timer, req->deadline_us - kn_now_us(),
		     on_deadline);
	start_waiting(etcd);
	return true;
}

static void on_exchange(struct hc_call *hc)
{
	struct etcd_req *req = container_of(hc, struct etcd_req, hc);
	json_t *reply = NULL;
	int result;

	if (retry_read(req))
		return;
	result = exchange_result(req, &reply);
	hc_call_finish(hc);
	req_end(req, result, reply);
	json_decref(reply);
}
static bool req_send(struct etcd_req *req)
{
	struct http_headers headers;
	int64_t left_ms = (req->deadline_us - kn_now_us()) / USEC_PER_MSEC;
	bool started;

	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "application/json");
	started = hc_call_start(&req->hc, req->pool, req->method, req->path,
				&headers, req->body,
				req->body ? strlen(req->body) : 0,
				MAX(left_ms, 1), on_exchange);
	http_headers_finish(&headers);
	if (!started)
		return false;
	kn_timer_cancel(&req->timer);
	list_del(&req->node);
	list_add_tail(&req->node, &req->etcd->active);
	return true;
}

static void start_waiting(struct etcd *etcd)
{
	struct etcd_req *req, *next;

	list_for_each_entry_safe(req, next, &etcd->waiting, node)
		req_send(req);
}

/*
 * Starts a request, or queues it while all connections are busy; it ends
 * within STORE_TIMEOUT_MS. Takes over the reference to body, which may be
 * NULL.
 */
struct etcd_req *etcd_req_start(struct etcd *etcd, struct hc_pool *pool,
				const char *method, const char *path,
				json_t *body,
				void (*done)(struct etcd_req *req, int result,
					     const json_t *reply),
				void *user)
{
	struct etcd_req *req = g_new0(struct etcd_req, 1);

	req->etcd = etcd;
	req->pool = pool;
	req->method = method;
	req->path = path;
	req->body = body ? json_dumps(body, JSON_COMPACT) : NULL;
	req->done = done;
	req->user = user;
	req->deadline_us = kn_now_us() + STORE_TIMEOUT_MS * USEC_PER_MSEC;
	json_decref(body);
	list_add_tail(&req->node, &etcd->waiting);
	etcd_count(etcd, req->path);
	kn_timer_set(etcd->kv.kn, &req->timer, STORE_TIMEOUT_MS * USEC_PER_MSEC,
		     on_deadline);
	req_send(req);
	return req;
}

/* Gives a request up; done is not called. */
void etcd_req_cancel(struct etcd_req *req)
{
	struct etcd *etcd = req->etcd;

	if (!kn_timer_pending(&req->timer))
		hc_call_cancel(&req->hc);
	req_free(req);
	start_waiting(etcd);
}

/* Calls. */

static void on_call(struct etcd_req *req, int result, const json_t *reply)
{
	struct kv_call *call = req->user;
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
	const json_t *lease = json_object_get(reply, "result");

	if (!lease)
		lease = reply;
	etcd_items(json_object_get(reply, "kvs"), items);
	etcd_txn_items(reply, items);
	call->result = result;
	/* A plain range always succeeds; a failed compare may be left out. */
	call->succeeded = result == CB_OK &&
			  (strcmp(req->path, "/v3/kv/txn") != 0 ||
			   json_is_true(json_object_get(reply, "succeeded")));
	call->revision = etcd_revision(lease);
	call->lease = etcd_int(json_object_get(lease, "ID"));
	call->ttl_s = etcd_int(json_object_get(lease, "TTL"));
	call->items = (struct kv_item *)(void *)items->data;
	call->count = items->len;
	call->done(call);
	etcd_items_free(items);
}

static void start_call(struct kv *kv, struct kv_call *call, const char *path,
		       json_t *body)
{
	struct etcd *etcd = (struct etcd *)kv;

	etcd_req_start(etcd, &etcd->pool, "POST", path, body, on_call, call);
}

static void etcd_txn(struct kv *kv, struct kv_call *call,
		     const struct kv_cmp *cmps, size_t ncmps,
		     const struct kv_op *then_ops, size_t nthen,
		     const struct kv_op *else_ops, size_t nelse)
{
	start_call(
		kv, call, "/v3/kv/txn",
		etcd_txn_json(cmps, ncmps, then_ops, nthen, else_ops, nelse));
}

static void etcd_range(struct kv *kv, struct kv_call *call, const char *key,
		       bool prefix)
{
	start_call(kv, call, "/v3/kv/range", etcd_range_json(key, prefix));
}

static void etcd_grant(struct kv *kv, struct kv_call *call, int64_t ttl_s)
{
	start_call(kv, call, "/v3/lease/grant",
		   json_pack("{s:o}", "TTL", etcd_int_json(ttl_s)));
}

static void etcd_keepalive(struct kv *kv, struct kv_call *call, int64_t lease)
{
	start_call(kv, call, "/v3/lease/keepalive",
		   json_pack("{s:o}", "ID", etcd_int_json(lease)));
}

static void etcd_revoke(struct kv *kv, struct kv_call *call, int64_t lease)
{
	start_call(kv, call, "/v3/lease/revoke",
		   json_pack("{s:o}", "ID", etcd_int_json(lease)));
}

/* Host list. */

static bool parse_host(const json_t *entry, struct kv_host *host)
{
	const char *addr, *dc, *service, *state;

	memset(host, 0, sizeof(*host));
	if (json_unpack((json_t *)entry, "{s:s,s:i,s:s,s:s,s:s}", "addr", &addr,
			"port", &host->port, "dc", &dc, "service", &service,
			"state", &state) != 0)
		return false;
	g_strlcpy(host->addr, addr, sizeof(host->addr));
	g_strlcpy(host->dc, dc, sizeof(host->dc));
	g_strlcpy(host->service, service, sizeof(host->service));
	host->leaving = strcmp(state, "leaving") == 0;
	return true;
}

static void on_hosts(struct etcd_req *req, int result, const json_t *reply)
{
	struct kv_hosts_call *call = req->user;
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct kv_host));
	struct kv_host host;
	json_t *entry;
	size_t i;

	json_array_foreach(json_object_get(reply, "hosts"), i, entry) {
		if (parse_host(entry, &host))
			g_array_append_val(hosts, host);
	}
	call->result = result;
	call->hosts = (struct kv_host *)(void *)hosts->data;
	call->count = hosts->len;
	call->done(call);
	g_array_free(hosts, TRUE);
}

/* Without a host list the request ends at its deadline, unsent. */
static void etcd_hosts(struct kv *kv, struct kv_hosts_call *call)
{
	struct etcd *etcd = (struct etcd *)kv;

	etcd_req_start(etcd, &etcd->hosts_pool, "GET", "/v1/hosts", NULL,
		       on_hosts, call);
}

/* Connection. */

static void etcd_finish(struct kv *kv)
{
	struct etcd *etcd = (struct etcd *)kv;
	struct etcd_req *req, *next;

	etcd_watches_finish(etcd);
	list_for_each_entry_safe(req, next, &etcd->waiting, node)
		req_free(req);
	list_for_each_entry_safe(req, next, &etcd->active, node) {
		hc_call_cancel(&req->hc);
		req_free(req);
	}
	etcd_streams_finish(etcd);
	hc_pool_finish(&etcd->pool);
	hc_pool_finish(&etcd->hosts_pool);
	g_rand_free(etcd->rand);
	kv_counters_finish(kv);
	g_free(etcd);
}

static const struct kv_ops etcd_ops = {
	.txn = etcd_txn,
	.range = etcd_range,
	.grant = etcd_grant,
	.keepalive = etcd_keepalive,
	.revoke = etcd_revoke,
	.watch = etcd_watch,
	.unwatch = etcd_unwatch,
	.hosts = etcd_hosts,
	.finish = etcd_finish,
};

/* Connects on the first call; the addresses are IP addresses in text. */
struct kv *kv_etcd_new(struct kn *kn, const char *addr, int port,
		       const char *hosts_addr, int hosts_port)
{
	struct etcd *etcd = g_new0(struct etcd, 1);

	etcd->kv.ops = &etcd_ops;
	etcd->kv.kn = kn;
	kv_counters_init(&etcd->kv);
	list_init(&etcd->waiting);
	list_init(&etcd->active);
	list_init(&etcd->watches);
	list_init(&etcd->streams);
	g_strlcpy(etcd->addr, addr, sizeof(etcd->addr));
	etcd->port = port;
	etcd->rand = g_rand_new();
	hc_pool_init(&etcd->pool, kn, addr, port, STORE_CONNECTIONS);
	etcd->pool.body_max_bytes = STORE_REPLY_MAX_BYTES;
	/* A list that doesn't exist gets no connections. */
	hc_pool_init(&etcd->hosts_pool, kn, hosts_port ? hosts_addr : addr,
		     hosts_port, hosts_port ? 1 : 0);
	return &etcd->kv;
}
