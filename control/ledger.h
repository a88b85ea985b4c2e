#ifndef CONTROL_LEDGER_H
#define CONTROL_LEDGER_H

#include "fleet/fleet.h"
#include "wire/kv.h"

/*
 * Writes what the leader has decided and learned to the store, oldest change
 * first and one transaction at a time. Each transaction compares the
 * leader's key, so that a deposed leader writes nothing, and the revision of
 * each record, so that one that is carried out late overwrites nothing.
 */

struct ledger;

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
	struct kv_call call;
	bool calling;
	int64_t started_us;
	GPtrArray *jobs_in_call; /* struct job, borrowed */
	GArray *changes_in_call; /* uint64_t: last change of each in the call */
	GPtrArray *removed_jobs; /* char *: ids whose records go */
	size_t removals_in_call; /* how many of them are in the call */
	char *counts; /* latest count record, to be written when it differs */
	size_t counts_len;
	bool counts_dirty;
	bool counts_in_call;
	bool answered; /* the latest transaction was answered */
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
/* Writes changes if none are being written. */
void ledger_flush(struct ledger *ledger);
/* Counts of waiting jobs; written with the next transaction. Copies. */
void ledger_set_queue_counts(struct ledger *ledger, const void *data,
			     size_t len);
/* Removes the records of a job that has been forgotten. */
void ledger_remove_job(struct ledger *ledger, const char *id);
bool ledger_idle(const struct ledger *ledger);

#endif
