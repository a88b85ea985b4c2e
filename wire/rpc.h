#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include "base/kn.h"
#include "base/limits.h"
#include "wire/fr.h"

/*
 * Calls between processes of the system: length-framed msgpack over TCP.
 * Arguments and result are opaque bytes here, packed by the callers.
 */

struct rpc_conn;

/* Server. */

struct rpc_server;

/* A call that has arrived; ends with rpc_reply(). */
struct rpc_request {
	struct list_head node; /* in the connection */
	struct rpc_conn *conn; /* NULL when the connection is gone */
	uint64_t id;
	const void *data; /* valid until request() returns */
	size_t len;
	void *user;
};

struct rpc_server_ops {
	/* rpc_reply() must follow once, now or later. */
	void (*request)(struct rpc_server *server, struct rpc_request *request);
};

struct rpc_server {
	const struct rpc_server_ops *ops;
	struct kn *kn;
	struct lws_vhost *vhost;
	struct lws *listen_wsi;
	int listen_fd;
	struct list_head conns;
};

bool rpc_server_init(struct rpc_server *server, struct kn *kn,
		     const struct rpc_server_ops *ops, const char *addr,
		     int port, GError **err);
void rpc_server_finish(struct rpc_server *server);
/* Sends the result and frees the request. */
void rpc_reply(struct rpc_request *request, const void *data, size_t len);

/* Client. */

/* One other process; connects on the first call. */
struct rpc_peer {
	struct kn *kn;
	char addr[ADDR_MAX_BYTES];
	int port;
	struct rpc_conn *conn;
	struct list_head calls;
	uint64_t next_id;
};

struct rpc_call {
	struct list_head node;
	struct rpc_peer *peer;
	void (*done)(struct rpc_call *call);
	void *user;
	uint64_t id;
	struct kn_timer timer;
	/* CB_OK, CB_E_PEER_LOST or CB_E_TIMEOUT; sent: it may have arrived. */
	int result;
	bool sent;
	const void *data; /* result, valid until done() returns */
	size_t len;
};

void rpc_peer_init(struct rpc_peer *peer, struct kn *kn, const char *addr,
		   int port);
/* Calls in progress end with CB_E_PEER_LOST. */
void rpc_peer_finish(struct rpc_peer *peer);
/* done() is called once, never from within. */
void rpc_call_start(struct rpc_call *call, struct rpc_peer *peer,
		    const void *data, size_t len, int64_t timeout_ms,
		    void (*done)(struct rpc_call *call));
/* done() is not called; the other process may carry the call out. */
void rpc_call_cancel(struct rpc_call *call);

#endif
