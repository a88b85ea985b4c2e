#ifndef POLICY_LD_H
#define POLICY_LD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"

/*
 * Leadership of one data centre, as one of its hosts sees it. All times are
 * monotonic microseconds of that host.
 */

enum ld_call_kind {
	LD_CALL_NONE,
	LD_CALL_READ, /* read the leader key and the epoch key */
	LD_CALL_GRANT, /* ask for a store lease */
	LD_CALL_TAKE, /* create the leader key and raise the epoch */
	LD_CALL_RENEW, /* keep the lease alive */
	LD_CALL_RELEASE /* revoke the lease, which deletes the leader key */
};

/* A store call to make now. At most one is in progress. */
struct ld_call {
	enum ld_call_kind kind;
	int64_t lease; /* take, renew, release */
	uint64_t attempt; /* take: part of the leader key's value */
	uint64_t epoch; /* take: the new epoch */
	int64_t epoch_mod; /* take: mod revision to compare, 0 for no key */
};

enum ld_outcome {
	LD_DONE,
	LD_NO_EFFECT, /* the store refused or was not reached */
	LD_UNKNOWN /* the answer was lost */
};

/* The store's answer to the call in progress. */
struct ld_reply {
	enum ld_outcome outcome;
	int64_t lease; /* grant */
	int64_t ttl_us; /* grant, renew; 0 when the lease has lapsed */
	bool succeeded; /* take: the compares held */
	/* read */
	bool held; /* the leader key exists */
	bool own; /* it names this host and incarnation */
	uint64_t attempt; /* of the holder, if it is this incarnation */
	uint64_t epoch; /* 0 when there is no epoch key */
	int64_t epoch_mod;
};

/* Another entry host of the data centre. */
struct ld_peer {
	int64_t promised_until_us; /* it does not act until then */
};

struct ld {
	size_t peer_count;
	struct ld_peer peers[PEERS_MAX];
	GRand *rand; /* of the caller */
	int64_t last_tick_us;
	int64_t not_before_us; /* earlier promises may be forgotten */
	/* Promise given. */
	int64_t given_until_us;
	size_t given_to;
	/* Leadership. */
	bool leading; /* holds an epoch that no other is known to have ended */
	bool revalidate; /* the store must confirm after a freeze */
	bool draining;
	uint64_t epoch; /* held or last held */
	uint64_t seen_epoch; /* highest known */
	int64_t lease;
	int64_t lease_until_us;
	/* Store call in progress, the one to make next, and when it is due. */
	struct ld_call call;
	enum ld_call_kind next;
	int64_t call_sent_us;
	int64_t next_call_us;
	unsigned int failures;
	/* Take-over attempt; its lease is 0 when none is open. */
	uint64_t attempts;
	int64_t take_lease;
	int64_t grant_sent_us;
	int64_t grant_ttl_us;
	uint64_t take_epoch;
	int64_t take_epoch_mod;
};

void ld_init(struct ld *ld, size_t peer_count, GRand *rand, int64_t now_us);
bool ld_tick(struct ld *ld, int64_t now_us);
bool ld_may_act(const struct ld *ld, int64_t now_us);
int64_t ld_valid_until(const struct ld *ld, int64_t now_us);
void ld_next(struct ld *ld, int64_t now_us, struct ld_call *call);
void ld_reply(struct ld *ld, int64_t now_us, const struct ld_reply *reply);
void ld_drain(struct ld *ld, int64_t now_us);
bool ld_drained(const struct ld *ld);
bool ld_asked(struct ld *ld, int64_t now_us, size_t from, uint64_t epoch,
	      int64_t term_us);
void ld_promised(struct ld *ld, int64_t now_us, size_t from, int64_t sent_us,
		 int64_t term_us);
void ld_saw_epoch(struct ld *ld, uint64_t epoch);

#endif
