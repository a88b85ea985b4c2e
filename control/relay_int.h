#ifndef CONTROL_RELAY_INT_H
#define CONTROL_RELAY_INT_H

#include "control/relay.h"

/*
 * Shared by relay.c (calls and their routes), relay_direct.c (the direct
 * route to the store), relay_peers.c (the list of hosts) and relay_release.c
 * (requests to a former leader).
 */

/* Requests between hosts; the first element of each message. */
enum relay_verb { RELAY_STORE_CALL, RELAY_RELEASE_WORK };

/*
 * Attempts of a call on the direct route. An answer that takes much longer
 * than the average may be lost: a hedge, the same request on another
 * connection, is sent then, and the first answer is used.
 */
#define DIRECT_ATTEMPTS_MAX 3
/* Assumed latency before any answer; includes the time to open connections
 * while all hosts start. */
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
	int64_t wait_ms; /* so long the store may delay the answer */
	/* Progress. */
	enum relay_route route;
	bool sent; /* the store may have received an attempt */
	int status; /* HTTP status of the last refusal, 0: none */
	int repeats; /* on the direct route */
	struct relay_peer *tried[PEER_ATTEMPTS_MAX];
	int ntried;
	int64_t deadline_us;
	int64_t sent_us;
	struct direct_attempt direct[DIRECT_ATTEMPTS_MAX];
	int ndirect; /* attempts since sent_us */
	struct kn_timer hedge_timer;
	struct rpc_call rpc;
	bool rpc_busy;
	struct relay_peer *peer;
	struct kn_timer timer;
};

/* Ends a call with an answer or an error; body is borrowed. */
void relay_end_call(struct relay_call *rcall, int result, int status,
		    const void *body, size_t len);
/* After a failed attempt: repeats it or takes another route. */
void relay_next_route(struct relay_call *rcall);
/* Sends the calls that wait for other hosts on the direct route instead. */
void relay_leave_peers(struct relay *relay);
/* Whether a status means that the store is overloaded or failing, so that
 * another route is taken. */
bool relay_is_refusal(int status);
/* Whether it says that the request was not carried out. */
bool relay_nothing_done(int status);
void relay_try_direct(struct relay_call *rcall);
/* Cancels the attempts of a call on the direct route. */
void relay_stop_direct(struct relay_call *rcall);
void relay_stop_probe(struct relay *relay);
/* Removes a peer, which is freed as soon as no call uses it. */
void relay_drop_peer(struct relay *relay, struct relay_peer *peer);

#endif
