#ifndef CONTROL_LEDGER_H
#define CONTROL_LEDGER_H

#include "fleet/fleet.h"
#include "wire/kv.h"

/*
 * Writes what the leader has decided and learned to the store, oldest change
 * first, and in several transactions at once while there is much to write or
 * the store is slow. Each transaction compares the leader's key, so that a
 * deposed leader writes nothing, and the revision of each record, so that one
 * that is carried out late overwrites nothing. A job is in one transaction at a
 * time, and its changes count as stored once all older ones are.
 */

struct ledger;

/* They keep up with a store that answers after a quarter of a second. */
#define LEDGER_BATCHES 4

/* One transaction, from its first try to its answer. */
struct ledger_batch {
	struct ledger *ledger;
	struct kv_call call;
	bool calling;
	int64_t started_us;
	GPtrArray *writing; /* struct job, borrowed */
	GArray *changes; /* uint64_t: last change of each in the call */
	size_t removing; /* how many of ledger.expired are in the call */
	bool waiting; /* the count record is in the call */
};

struct ledger_ops {
	/* More changes are in the store than before. */
	void (*stored)(struct ledger *ledger);
	/* Another leader has taken over. */
	void (*deposed)(struct ledger *ledger);
};

struct ledger {
	const struct ledger_ops *ops;
	struct kv *kv;
	struct fleet *fleet;
	int64_t leader_revision; /* of the leader's key */
	bool open;
	/* private */
	struct ledger_batch batches[LEDGER_BATCHES];
	int64_t failing_us; /* since when no try has succeeded, 0: all do */
	GPtrArray *expired; /* char *: ids whose records go */
	char *waiting; /* latest count record, to be written when it differs */
	size_t waiting_len;
	bool waiting_dirty;
	struct kn_timer timer;
	struct ctr writes;
	struct ctr retries;
	struct ctr latency; /* ms from the first try to the answer */
};

void ledger_init(struct ledger *ledger, struct kv *kv,
		 const struct ledger_ops *ops);
void ledger_finish(struct ledger *ledger);
void ledger_open(struct ledger *ledger, struct fleet *fleet,
		 int64_t leader_revision);
/* Stops writing; the jobs may be freed after that. */
void ledger_close(struct ledger *ledger);
/* Since when the oldest write has had no good answer, 0: none is open. */
int64_t ledger_since_us(const struct ledger *ledger);
/* Writes changes unless enough are being written. */
void ledger_flush(struct ledger *ledger);
/* Counts of waiting jobs; written with the next transaction. Copies. */
void ledger_set_waiting(struct ledger *ledger, const void *data, size_t len);
/* Removes the records of a job that has been forgotten. */
void ledger_expire(struct ledger *ledger, const char *id);

#endif
