#ifndef POLICY_LEADERSHIP_H
#define POLICY_LEADERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"

/*
 * Leader election in one data centre, as seen by one of its entry hosts. The
 * leader holds a key in the store that is bound to a lease. It may act while
 * its lease lasts, and without the lease, as in an outage of the store, while
 * all other entry hosts promise not to act. All times are microseconds of the
 * host's monotonic clock.
 */

enum leadership_call_kind {
	LEADERSHIP_CALL_NONE,
	LEADERSHIP_CALL_READ, /* read the leader key and the epoch key */
	LEADERSHIP_CALL_GRANT, /* ask for a store lease */
	LEADERSHIP_CALL_ACQUIRE, /* create the leader key, increase the epoch */
	LEADERSHIP_CALL_RENEW, /* keep the lease alive */
	LEADERSHIP_CALL_REVOKE /* revoke the lease and so delete the key */
};

/* A store call to be made now. At most one is in progress at any time. */
struct leadership_call {
	enum leadership_call_kind kind;
	int64_t lease; /* acquire, renew, revoke */
	uint64_t attempt; /* acquire: part of the leader key's value */
	uint64_t epoch; /* acquire: the new epoch */
	/* Acquire: mod revision that the epoch key must have, 0 for no key. */
	int64_t epoch_mod;
};

enum leadership_outcome {
	LEADERSHIP_OK,
	LEADERSHIP_NO_EFFECT, /* the store refused it or was not reached */
	LEADERSHIP_UNKNOWN /* no answer came; it may have taken effect */
};

/* The store's answer to the call in progress. */
struct leadership_reply {
	enum leadership_outcome outcome;
	int64_t lease; /* grant */
	int64_t ttl_us; /* grant, renew; 0 when the lease has expired */
	bool succeeded; /* acquire: the transaction's conditions were met */
	/* Read. */
	bool key_exists; /* the leader key */
	bool key_is_own; /* it names this host and incarnation */
	uint64_t attempt; /* that created it, if it is this incarnation's */
	uint64_t epoch; /* 0 when there is no epoch key */
	int64_t epoch_mod;
};

/* Another entry host of the data centre. */
struct leadership_peer {
	int64_t promised_until_us; /* it has promised not to act until then */
};

struct leadership {
	size_t peer_count;
	struct leadership_peer peers[PEERS_MAX];
	GRand *rand; /* owned by the caller */
	int64_t last_tick_us;
	/* Until then a promise from before a restart may be in force. */
	int64_t act_not_before_us;
	/* The last promise given. */
	int64_t promise_given_until_us;
	size_t promise_given_to;
	/* Leadership. */
	bool leading; /* has an epoch, and knows of no later leader */
	bool revalidate; /* was frozen; the store must confirm the lease */
	bool draining;
	uint64_t epoch; /* of this host's current or last leadership */
	uint64_t highest_epoch; /* that this host knows of */
	int64_t lease;
	int64_t lease_until_us;
	struct leadership_call call; /* in progress */
	enum leadership_call_kind next; /* call to make next, if determined */
	int64_t call_sent_us;
	int64_t next_call_us; /* earliest time of the next call */
	unsigned int failures; /* consecutive failed calls */
	/* Take-over attempt; its lease is 0 when none is in progress. */
	uint64_t attempts;
	int64_t takeover_lease;
	int64_t grant_sent_us;
	int64_t grant_ttl_us;
	uint64_t takeover_epoch;
	int64_t takeover_epoch_mod;
};

void leadership_init(struct leadership *ld, size_t peer_count, GRand *rand,
		     int64_t now_us);
bool leadership_tick(struct leadership *ld, int64_t now_us);
bool leadership_may_act(const struct leadership *ld, int64_t now_us);
int64_t leadership_valid_until(const struct leadership *ld, int64_t now_us);
void leadership_next_call(struct leadership *ld, int64_t now_us,
			  struct leadership_call *call);
void leadership_handle_reply(struct leadership *ld, int64_t now_us,
			     const struct leadership_reply *reply);
void leadership_drain(struct leadership *ld, int64_t now_us);
bool leadership_drained(const struct leadership *ld);
bool leadership_promise_requested(struct leadership *ld, int64_t now_us,
				  size_t from, uint64_t epoch, int64_t term_us);
void leadership_promise_received(struct leadership *ld, int64_t now_us,
				 size_t from, int64_t sent_us, int64_t term_us);
void leadership_observe_epoch(struct leadership *ld, uint64_t epoch);

#endif
