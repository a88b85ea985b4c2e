#ifndef FLEET_LIMITS_H
#define FLEET_LIMITS_H

/* Times and weights of the scheduler's decisions, with their units. */

/* Orders. */

/* A round trip between regions is 17 ms; more than that twice is a loss. */
#define ORDER_TIMEOUT_MS 350
/* Repeats of a start whose answer was lost; together they take less than the
 * members of a gang wait for each other. */
#define START_TRIES_MAX 5
/* A stop is repeated until it is answered or the worker's lease is over. */
#define STOP_RETRY_MS 400
/* A refusal for ill health says that nothing was done; it may be short. */
#define REFUSED_RETRY_MS 150
/* A hold call waits so long for an end; the lease must outlast two of them. */
#define HOLD_WAIT_MS 1500
#define HOLD_WAIT_MIXED_MS 300 /* where serving and filling tasks run */
#define HOLD_TIMEOUT_MS 700 /* beyond the wait */
#define HOLD_RETRY_MS 300 /* after a call without answer */
/* While ends wait for the store the worker would answer at once. */
#define HOLD_UNSTORED_RETRY_MS 400
/* Leases are not extended for a worker that was silent for longer, so that
 * they run out even if only the answers are lost. */
#define UNREACHABLE_AFTER_MS 1500
/* A worker with so many calls in a row without answer gets no new tasks: one
 * may be lost on its way, a second one says that it does not answer. */
#define SILENT_CALLS_MAX 2
/* After the computed end of a lease, for the resolution of the timers. */
#define LEASE_SLACK_MS 150
/* A draining worker whose entry is gone has left when nobody listens at its
 * address any more, asked so often. */
#define DEPARTED_REFUSALS 2
/* A worker without an entry in the store is not used; one of these beats. */
#define UNLISTED_GRACE_MS 2000

/* Orders of an earlier leader that were under way when it was replaced. */
#define ADOPT_SLACK_MS 500

/* Trust. */

/* Failures in a row of different jobs that make a worker suspect. */
#define FAILURES_BEFORE_BAN 2
/* With more of a pool banned than this share, the jobs are to blame. */
#define BANNED_SHARE_MAX 0.34
#define BAN_FIRST_MS 4000 /* bad spells last for some seconds */
#define BAN_MAX_MS 16000
/* A task whose percent stands still for so long is taken to hang: several
 * reports, and longer than a restart takes. */
#define STALL_MS 2600
#define STALL_FACTOR 4.0 /* and this many times the usual time per percent */
/* More work than that is not given up: a worker that hangs often goes on
 * after a few seconds. */
#define STALL_LOSS_MAX_MS 3000.0
/* From so many percent on, the pace of a run tells when it ends. */
#define PACE_MIN_PERCENT 10
/* Workers that leave usually stay a little longer than they say. */
#define DRAIN_GRACE_MS 1000
/* More work than that stays where it is, for the chance that it ends. */
#define DRAIN_LOSS_MAX_MS 4000.0

/* Queue. */

/* A task waits for the rack of its data for this share of its duration, as
 * elsewhere it takes several times as long. */
#define RACK_WAIT_SHARE 0.6
/* Gangs at the head of the queue that hold room free for themselves. */
#define RESERVED_GANGS_MAX 4
/* Late jobs earn less, up to so many objectives. */
#define LATE_FACTOR 3.0
/* A pass is made so long after an event, for several events at once. */
#define PASS_DELAY_MS 2
#define PASS_TICK_MS 100 /* without events: leases, retries, due times */
/* Tasks that one pass starts; bounds the pass and the write after it. */
#define PASS_STARTS_MAX 512

/* Records. */

/* Ended jobs stay readable for the platform's status time, and as long again
 * for requests that arrive late. */
#define RECORD_KEEP_FACTOR 2
#define RECORDS_PER_WRITE \
	14 /* 32 entries, two a record, and the leader's key */

#endif
