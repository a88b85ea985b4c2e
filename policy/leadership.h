#ifndef POLICY_LEADERSHIP_H
#define POLICY_LEADERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"

/*
 * Leadership of one data centre, as one of its hosts sees it. All times are
 * monotonic microseconds of that host.
 */

enum leadership_call_kind {
	LEADERSHIP_CALL_NONE,
	LEADERSHIP_CALL_READ, /* read the leader key and the epoch key */
	LEADERSHIP_CALL_GRANT, /* ask for a store lease */
	LEADERSHIP_CALL_ACQUIRE, /* create the leader key and raise the epoch */
	LEADERSHIP_CALL_RENEW, /* keep the lease alive */
	LEADERSHIP_CALL_REVOKE /* revoke the lease, which deletes the leader key */
};

/* A store call to make now. At most one is in progress. */
struct leadership_call {
	enum leadership_call_kind kind;
	int64_t lease; /* take, renew, release */
	uint64_t attempt; /* take: part of the leader key's value */
	uint64_t epoch; /* take: the new epoch */
	int64_t epoch_mod; /* take: mod revision to compare, 0 for no key */
};

enum leadership_outcome {
	LEADERSHIP_OK,
	LEADERSHIP_NO_EFFECT, /* the store refused or was not reached */
	LEADERSHIP_UNKNOWN /* the answer was lost */
};

/* The store's answer to the call in progress. */
struct leadership_reply {
	enum leadership_outcome outcome;
	int64_t lease; /* grant */
	int64_t ttl_us; /* grant, renew; 0 when the lease has lapsed */
	bool succeeded; /* take: the compares held */
	/* read */
	bool key_exists; /* the leader key exists */
	bool key_is_own; /* it names this host and incarnation */
	uint64_t attempt; /* of the holder, if it is this incarnation */
	uint64_t epoch; /* 0 when there is no epoch key */
	int64_t epoch_mod;
};

/* Another entry host of the data centre. */
struct leadership_peer {
	int64_t promised_until_us; /* it does not act until then */
};

struct leadership {
	size_t peer_count;
	struct leadership_peer peers[PEERS_MAX];
	GRand *rand; /* of the caller */
	int64_t last_tick_us;
	int64_t act_not_before_us; /* earlier promises may be forgotten */
	/* Promise given. */
	int64_t promise_given_until_us;
	size_t promise_given_to;
	/* Leadership. */
	bool leading; /* holds an epoch that no other is known to have ended */
	bool revalidate; /* the store must confirm after a freeze */
	bool draining;
	uint64_t epoch; /* held or last held */
	uint64_t highest_epoch; /* highest known */
	int64_t lease;
	int64_t lease_until_us;
	/* Store call in progress, the one to make next, and when it is due. */
	struct leadership_call call;
	enum leadership_call_kind next;
	int64_t call_sent_us;
	int64_t next_call_us;
	unsigned int failures;
	/* Take-over attempt; its lease is 0 when none is open. */
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
