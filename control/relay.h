#ifndef CONTROL_RELAY_H
#define CONTROL_RELAY_H

#include "control/site.h"
#include "wire/exchange.h"
#include "wire/rpc.h"

/*
 * Way to the store that goes through another entry host while the store
 * turns this one away or can't be reached from here. A call is passed on
 * once only: a host serves others from its own way.
 */

#define RELAY_PEERS_MAX 64
#define PEER_ATTEMPTS_MAX 3 /* other hosts that a call is passed to */

struct relay_peer {
	struct rpc_peer rpc;
	char host[NAME_MAX_BYTES]; /* "" for a seed */
	int distance; /* 0: same data centre, 1: same region, 2: elsewhere */
	int64_t excluded_until_us;
	bool removed; /* to be freed when no call uses it */
	int calls;
};

struct relay {
	struct exchange exchange;
	struct exchange *direct;
	const struct site *site;
	const char *probe; /* target of a cheap request */
	struct rpc_server server;
	bool serving;
	GPtrArray *peers; /* struct relay_peer, nearest first */
	struct list_head calls; /* struct relay_call */
	bool direct_down;
	int failures; /* of the direct way since its last success */
	int64_t last_answer_us; /* last answer on the direct way */
	int64_t latency_us; /* moving average of the time to an answer there */
	struct kn_timer probe_timer;
	struct exchange_call probe_call;
	bool probing;
	/* Another host leads with that fence; stops what this one held. */
	void (*release_work)(void *user, int64_t fence);
	void *user; /* for release_work */
	struct ctr relayed;
	struct ctr served;
	struct ctr direct_lost;
	struct ctr hedged;
};

/* Takes direct over. */
struct relay *relay_new(struct kn *kn, const struct site *site,
			struct exchange *direct, const char *probe);
bool relay_listen(struct relay *relay, GError **err);
/*
 * Asks the process at an address to hold no work any more, as this host
 * leads with that fence. done(user) is called when it has answered, and not
 * if it does not. One question at a time.
 */
struct relay_release_request {
	struct relay *relay;
	struct rpc_peer peer;
	struct rpc_call call;
	bool open;
	bool calling;
	int64_t fence;
	int64_t until_us;
	struct kn_timer timer;
	void (*done)(void *user);
	void *user;
};

void relay_request_release(struct relay_release_request *question,
			   struct relay *relay, const struct set_addr *at,
			   int64_t fence, int64_t until_us,
			   void (*done)(void *user), void *user);
/* Harmless for a question that was not asked, or was answered. */
void relay_cancel_release(struct relay_release_request *req);
/* Adds or moves a host; a seed has host "". */
void relay_add_peer(struct relay *relay, const char *host,
		    const struct set_addr *at, int distance);
void relay_remove_peer(struct relay *relay, const char *host);

#endif
