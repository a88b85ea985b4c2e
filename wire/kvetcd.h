#ifndef WIRE_KVETCD_H
#define WIRE_KVETCD_H

#include <jansson.h>

#include "wire/hc.h"
#include "wire/hp.h"
#include "wire/kv.h"

/* Private to the client of the etcd v3 JSON gateway. */

struct etcd {
	struct kv kv;
	struct hc_pool pool;
	struct hc_pool hosts_pool;
	struct list_head waiting; /* requests without a connection yet */
	struct list_head active;
	struct list_head watches; /* struct etcd_watch */
	struct list_head streams; /* struct etcd_stream */
	GRand *rand; /* jitter only */
	char addr[ADDR_MAX_BYTES];
	int port;
};

/* One HTTP request to the store or to the host list. */
struct etcd_req {
	struct list_head node;
	struct etcd *etcd;
	struct hc_pool *pool;
	struct hc_call hc;
	struct kn_timer timer;
	int64_t deadline_us;
	bool retried;
	const char *method;
	const char *path;
	char *body;
	/* reply is NULL unless result is CB_OK. Never called from start. */
	void (*done)(struct etcd_req *req, int result, const json_t *reply);
	void *user;
};

struct etcd_req *etcd_req_start(struct etcd *etcd, struct hc_pool *pool,
				const char *method, const char *path,
				json_t *body,
				void (*done)(struct etcd_req *req, int result,
					     const json_t *reply),
				void *user);
void etcd_req_cancel(struct etcd_req *req);
void etcd_count(struct etcd *etcd, const char *path);

/* Kvetcd_json.c. */

json_t *etcd_range_json(const char *key, bool prefix);
json_t *etcd_txn_json(const struct kv_cmp *cmps, size_t ncmps,
		      const struct kv_op *then_ops, size_t nthen,
		      const struct kv_op *else_ops, size_t nelse);
json_t *etcd_int_json(int64_t value);
json_t *etcd_get(const json_t *object, const char *snake, const char *camel);
int64_t etcd_int(const json_t *value);
int64_t etcd_revision(const json_t *reply);
bool etcd_item(const json_t *kv, struct kv_item *item);
void etcd_item_finish(struct kv_item *item);
void etcd_items(const json_t *kvs, GArray *items);
void etcd_txn_items(const json_t *reply, GArray *items);
void etcd_items_free(GArray *items);

/* Kvetcd_watch.c. */

void etcd_watch(struct kv *kv, struct kv_watch *watch);
void etcd_unwatch(struct kv *kv, struct kv_watch *watch);
void etcd_watches_finish(struct etcd *etcd);

/* Kvetcd_stream.c. */

/* A streamed reply: JSON values, one a line. */
struct etcd_stream {
	struct list_head node;
	struct etcd *etcd;
	struct lws *wsi;
	struct hp *parser;
	GString *request; /* what has not been sent */
	GString *line;
	void (*value)(void *user, const json_t *value);
	void (*lost)(void *user); /* the last call */
	void *user; /* NULL: closed by the owner */
	struct kn_timer timer;
	bool opening; /* inside the connect call */
	bool failed; /* without a connection */
};

struct etcd_stream *
etcd_stream_open(struct etcd *etcd, const char *path, json_t *body,
		 void (*value)(void *user, const json_t *value),
		 void (*lost)(void *user), void *user);
void etcd_stream_close(struct etcd_stream *stream);
void etcd_streams_finish(struct etcd *etcd);

#endif
