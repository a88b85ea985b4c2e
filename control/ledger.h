#ifndef CONTROL_LEDGER_H
#define CONTROL_LEDGER_H

#include "fleet/fleet.h"
#include "wire/kv.h"

/*
 * Writes the leader's decisions and the state of jobs to the store, oldest
 * change first and one transaction at a time. Each transaction compares the
 * leader's key, so that a deposed leader writes nothing, and the revision of
 * each record, so that a transaction that is executed late overwrites nothing.
 */

struct ledger;

struct ledger_ops {
	/* A transaction has succeeded; more changes are stored than before. */
	void (*stored)(struct ledger *ledger);
	/* Another leader has taken over. */
	void (*deposed)(struct ledger *ledger);
};

/* A record beside those of the jobs, which is rewritten as a whole. */
struct ledger_record {
	const char *key;
	char *data;
	size_t len;
	bool dirty; /* the data is not in the store, and in no transaction */
	bool in_call;
	/* Revision of the stored record, 0: there is none, -1: not known. */
	int64_t revision;
};

struct ledger {
	const struct ledger_ops *ops;
	struct kv *kv;
	struct fleet *fleet;
	int64_t leader_revision; /* of the leader's key */
	bool open;
	/* private */
	struct kv_call call;
	bool call_pending;
	int64_t started_us; /* first attempt of the transaction, 0: none */
	GPtrArray *jobs_in_call; /* struct job, borrowed: jobs being written */
	GArray *changes_in_call; /* uint64_t: last change of each */
	GPtrArray *removals; /* struct removal: jobs whose records must go */
	size_t removals_in_call; /* number of them in the transaction */
	struct ledger_record counts; /* of waiting jobs */
	struct ledger_record speeds; /* of workers */
	struct ledger_record loans; /* of hosts */
	bool answered; /* the latest transaction was answered */
	struct kn_timer timer;
	struct ctr writes;
	struct ctr retries;
	struct ctr latency; /* ms from the first attempt to the answer */
};

void ledger_init(struct ledger *ledger, struct kv *kv,
		 const struct ledger_ops *ops);
void ledger_finish(struct ledger *ledger);
void ledger_open(struct ledger *ledger, struct fleet *fleet,
		 int64_t leader_revision);
/* Stops writing; afterwards the jobs may be freed. */
void ledger_close(struct ledger *ledger);
/* Starts a transaction if there are changes and none is pending. */
void ledger_flush(struct ledger *ledger);
/* Sets the counts of waiting jobs for the next transaction. Copies data. */
void ledger_set_queue_counts(struct ledger *ledger, const void *data,
			     size_t len);
/*
 * Sets the estimates of the workers' speeds. They go with a transaction that is
 * made for other records and has room for them, and cause none. Copies data.
 */
void ledger_set_speeds(struct ledger *ledger, const void *data, size_t len);
/* The stored speeds have been read, with this revision (0: there are none);
 * before that, none are written. */
void ledger_found_speeds(struct ledger *ledger, int64_t revision);
/* Sets the loans of hosts for the next transaction. Copies data. */
void ledger_set_loans(struct ledger *ledger, const void *data, size_t len);
/* As ledger_found_speeds(), before ledger_set_loans(). */
void ledger_found_loans(struct ledger *ledger, int64_t revision);
/* Whether the loans that were set last are in the store. */
bool ledger_loans_stored(const struct ledger *ledger);
/*
 * Removes the stored records of a job that the fleet no longer has, while its
 * submission and its state have these revisions (0: there is none).
 */
void ledger_remove_job(struct ledger *ledger, const char *id, int64_t spec_rev,
		       int64_t state_rev);
/* Whether nothing is being written and nothing is left to be written. */
bool ledger_idle(const struct ledger *ledger);

#endif
