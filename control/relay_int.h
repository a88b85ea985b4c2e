#ifndef CONTROL_RELAY_INT_H
#define CONTROL_RELAY_INT_H

#include "control/relay.h"

/*
 * Shared by relay.c (calls and their ways), relay_direct.c (the direct way),
 * relay_peers.c and relay_request_release.c (questions).
 */

/* What hosts say to each other; the first element of each request. */
enum relay_verb { RELAY_STORE_CALL, RELAY_RELEASE_WORK };

/*
 * On the direct way an answer that takes much longer than usual may be lost:
 * the request is sent again on another connection, and the first answer of any
 * counts.
 */
#define DIRECT_ATTEMPTS_MAX 3
/* Taken as usual at first: connections are opened, and all hosts start. */
#define INITIAL_LATENCY_MS 40

enum relay_route { ROUTE_DIRECT, ROUTE_PEER };

struct direct_attempt {
	struct relay_call *rcall;
	struct exchange_call call;
	bool busy;
	int64_t sent_us;
};

struct relay_call {
	struct list_head node;
	struct relay *relay;
	struct exchange_call *call; /* of the owner, or NULL */
	struct rpc_request *request; /* of another host, or NULL */
	/* The request. */
	char *method;
	char *target;
	void *body;
	size_t len;
	int64_t timeout_ms;
	int64_t expected_ms;
	bool repeatable;
	bool waits;
	/* Progress. */
	enum relay_route route;
	bool sent; /* some try may have been received */
	int status; /* of a refusal, 0: none */
	int repeats;
	struct relay_peer *tried[PEER_ATTEMPTS_MAX];
	int ntried;
	int64_t deadline_us;
	int64_t sent_us;
	struct direct_attempt direct[DIRECT_ATTEMPTS_MAX];
	int ndirect; /* tries since sent_us */
	struct kn_timer hedge_timer;
	struct rpc_call rpc;
	bool rpc_busy;
	struct relay_peer *peer;
	struct kn_timer timer;
};

/* Ends a call with an answer or a failure; body is borrowed. */
void relay_end_call(struct relay_call *rcall, int result, int status,
		    const void *body, size_t len);
/* After a try that failed: another way, or the same once more. */
void relay_next_route(struct relay_call *rcall);
/* The store did nothing, for want of room or of health. */
bool relay_is_refusal(int status);
void relay_try_direct(struct relay_call *rcall);
/* Drops the tries of a call on the direct way. */
void relay_stop_direct(struct relay_call *rcall);
void relay_stop_probe(struct relay *relay);
/* Freed when no call uses it any more. */
void relay_drop_peer(struct relay *relay, struct relay_peer *peer);

#endif
