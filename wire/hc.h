#ifndef WIRE_HC_H
#define WIRE_HC_H

#include "base/kn.h"
#include "base/limits.h"
#include "wire/http.h"

struct hc_call;

/*
 * Keep-alive connections to one server; one request at a time on each. A request
 * that is given up does not arrive later: what the server has not received by
 * then is dropped and its connection is reset, also when this process ends.
 * Nothing is sent after the time of a call is over.
 */
struct hc_pool {
	struct kn *kn;
	struct lws_vhost *vhost;
	struct list_head idle;
	struct list_head busy;
	char addr[ADDR_MAX_BYTES];
	int port;
	unsigned int max_conns;
	unsigned int conns; /* open or opening */
	/* Set from base/limits.h by hc_pool_init(); the owner may change them. */
	size_t body_max_bytes;
	int connect_timeout_ms;
	/* Bytes without an acknowledgement end a connection, 0: never. */
	int ack_timeout_ms;
	/* private to hc */
	struct kn_timer timer;
	int64_t timer_us;
};

/* One request and its reply, in the caller's memory until done() returns. */
struct hc_call {
	struct list_head node;
	struct hc_pool *pool;
	void (*done)(struct hc_call *call);
	void *user;
	void *conn; /* private to hc */
	/* Reply. result is CB_OK only when the whole reply has arrived. */
	int result;
	bool sent; /* a byte of the request may have reached the server */
	bool close; /* the server said Connection: close */
	bool reused; /* sent on a connection that had served another request */
	int status;
	struct http_headers headers;
	unsigned char *body;
	size_t body_len;
	int64_t started_us;
	int64_t sent_us; /* when the kernel took its last byte, 0: not yet */
	int64_t ended_us;
};

/* addr is a numeric IPv4 or IPv6 address. */
void hc_pool_init(struct hc_pool *pool, struct kn *kn, const char *addr,
		  int port, unsigned int max_conns);
/* Changes max_conns; connections above it close when they are idle. */
void hc_pool_limit(struct hc_pool *pool, unsigned int max_conns);
/* Closes all connections; calls in progress end with CB_E_UPSTREAM_LOST. */
void hc_pool_finish(struct hc_pool *pool);
/*
 * Starts a request on an idle connection, else on a new one. Returns false
 * and sends nothing when max_conns are busy. done() is never called from
 * within this function. timeout_ms covers connecting and the whole reply.
 * A stale keep-alive connection that closes before any byte of the reply is
 * reported like any other loss: sent is true. A connection that could not
 * be made is reported with sent false: CB_E_UPSTREAM_LOST when refused,
 * CB_E_UPSTREAM_TIMEOUT when there was no answer.
 */
bool hc_call_start(struct hc_call *call, struct hc_pool *pool,
		   const char *method, const char *target,
		   const struct http_headers *headers, const void *body,
		   size_t len, int64_t timeout_ms,
		   void (*done)(struct hc_call *call));
/* Closes the connection of a call in progress; done() is not called. */
void hc_call_cancel(struct hc_call *call);
/* Frees the reply of an ended call. */
void hc_call_finish(struct hc_call *call);

#endif
