#ifndef CONTROL_RELAY_H
#define CONTROL_RELAY_H

#include "control/site.h"
#include "wire/exchange.h"
#include "wire/rpc.h"

/*
 * Calls to the store, which go through another entry host while the store
 * refuses this host or can't be reached from it. A call is relayed only once:
 * a host serves the calls of others over its direct route alone.
 */

#define RELAY_PEERS_MAX 64
#define PEER_ATTEMPTS_MAX 3 /* hosts that a call is relayed to in turn */

struct relay_peer {
	struct rpc_peer rpc;
	char host[NAME_MAX_BYTES]; /* "" for a seed */
	int distance; /* 0: same data centre, 1: same region, 2: elsewhere */
	int64_t excluded_until_us;
	bool removed; /* freed as soon as no call uses it */
	int calls; /* that use this peer now */
};

struct relay {
	struct exchange exchange;
	struct exchange *direct;
	const struct site *site;
	const char *probe; /* target of a cheap request to the store */
	struct rpc_server server;
	bool serving;
	GPtrArray *peers; /* struct relay_peer, nearest first */
	struct list_head calls; /* struct relay_call */
	bool direct_down;
	/* Of the direct route: */
	int failures; /* since the last success */
	int64_t last_answer_us; /* time of the last answer, 0: none */
	int64_t latency_us; /* moving average of the time to an answer */
	struct kn_timer probe_timer;
	struct exchange_call probe_call;
	bool probing;
	int64_t probed_us; /* when the last probe was sent */
	/*
	 * Another host leads with that fencing token: releases the work that
	 * this host still holds as a former leader. Returns since when this
	 * process extends no lease, or -1 if it still does, as it leads with a
	 * later token.
	 */
	int64_t (*release_work)(void *user, int64_t fence);
	void *user; /* for release_work */
	struct ctr relayed;
	struct ctr served;
	struct ctr direct_lost;
	struct ctr hedged;
};

/* Takes ownership of direct. */
struct relay *relay_new(struct kn *kn, const struct site *site,
			struct exchange *direct, const char *probe);
bool relay_listen(struct relay *relay, GError **err);

/* A request to a former leader to release its work. */
struct relay_release_request {
	struct relay *relay;
	struct rpc_peer peer;
	struct rpc_call call;
	bool open; /* peer is initialised */
	bool calling;
	int64_t fence;
	int64_t until_us; /* not repeated after that */
	struct kn_timer timer;
	/* released_us: since when the process extends no lease, at the latest,
	 * on this host's clock. */
	void (*done)(struct relay_release_request *req, int64_t released_us);
	void *user;
};

/*
 * Asks the process at an address to release the work that it holds, as this
 * host leads with that fencing token. Repeats the request until until_us.
 * done() is called once the process has confirmed, otherwise never. Cancels
 * an earlier request of the same struct.
 */
void relay_request_release(struct relay_release_request *req,
			   struct relay *relay, const struct set_addr *at,
			   int64_t fence, int64_t until_us,
			   void (*done)(struct relay_release_request *req,
					int64_t released_us),
			   void *user);
/* Does nothing if no request was started. */
void relay_cancel_release(struct relay_release_request *req);

/* Adds a host or updates its address; a seed has host "". */
void relay_add_peer(struct relay *relay, const char *host,
		    const struct set_addr *at, int distance);
void relay_remove_peer(struct relay *relay, const char *host);

#endif
