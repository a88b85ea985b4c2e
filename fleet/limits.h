#ifndef FLEET_LIMITS_H
#define FLEET_LIMITS_H

/* Timeouts, limits and weights of the scheduler. */

/* Orders. */

/* A round trip between regions takes 17 ms; an answer that takes more than
 * twice as long is most likely lost. */
#define ORDER_TIMEOUT_MS 350
/* Attempts of a start order whose answer is lost. Together they take less time
 * than the members of a gang wait for each other. */
#define START_TRIES_MAX 5
/* A stop is repeated until it is answered or the worker's lease expires. */
#define STOP_RETRY_MS 400
/* After a refusal by an unhealthy worker: nothing was started there, so that
 * the order may be repeated soon. */
#define REFUSED_RETRY_MS 150
/* How long a worker delays the answer to a hold call while no run ends. The
 * lease must outlast two such calls. */
#define HOLD_WAIT_MS 1500
/* On workers with both serving and best-effort tasks. */
#define HOLD_WAIT_MIXED_MS 300
/* On workers that take no new connection, so that orders wait for the hold. */
#define HOLD_WAIT_ONE_BY_ONE_MS 300
#define HOLD_TIMEOUT_MS 700 /* on top of the wait */
#define HOLD_RETRY_MS 300 /* after a call without answer */
/* Interval of hold calls while a reported end is not stored yet. Without it
 * each call would be answered at once, as the end is not acknowledged. */
#define HOLD_UNSTORED_RETRY_MS 400
/* How long orders go one by one to a worker that took no new connection. */
#define ONE_BY_ONE_MS 4000
/* A worker is unreachable once its calls have gone unanswered for so long. Its
 * lease is no longer extended, so that it expires even if the calls arrive and
 * only the answers are lost. */
#define UNREACHABLE_AFTER_MS 1500
/* A worker that left so many calls in a row unanswered gets no new tasks. A
 * single one may be lost in the network. */
#define UNANSWERED_CALLS_MAX 2
/* A worker that answered so recently needs no proof that it is there. Workers
 * with tasks answer a hold call within this time. */
#define CONTACT_MAX_MS 3000
/* A run that a report leaves out is over if a report that was asked for so long
 * after the longest stop leaves it out too. */
#define MISSING_SLACK_MS 100
/* Added to the computed end of a lease for the timer resolution. */
#define LEASE_SLACK_MS 150
/* A sample of a worker's clock that is older is replaced by the clock of its
 * next registration; the end of a lease is then known to 2 % of this time. */
#define CLOCK_SAMPLE_MAX_MS 30000
/* A worker that is no longer registered gets no tasks, and is dropped after
 * this time, which is one heartbeat of the workers. */
#define UNLISTED_GRACE_MS 2000

/* Added to adopted leases for orders of the earlier leader that were still in
 * transit when it was replaced. */
#define ADOPT_SLACK_MS 500

/* Health of workers. */

/* Failures in a row, of different jobs, after which a worker is banned. */
#define FAILURES_BEFORE_BAN 2
/* If more than this share of a pool is banned, the bans are ignored: the cause
 * is then in the jobs. */
#define BANNED_SHARE_MAX 0.34
#define BAN_FIRST_MS 4000 /* faults of workers last for some seconds */
#define BAN_MAX_MS 16000
/* A task without progress for so long is treated as hung. This covers several
 * reports and is longer than a restart takes. */
#define STALL_MS 2600
#define STALL_FACTOR 4.0 /* at least so many times the usual time per percent */
#define STALL_DOUBLINGS_MAX 5 /* of this time, one for each stalled run */
/* A hung task that would lose more work is not moved, because a worker that
 * hangs often continues after a few seconds. */
#define STALL_LOSS_MAX_MS 3000.0
/* Progress from which the end of a run can be extrapolated. */
#define PACE_MIN_PERCENT 10
/* Draining workers usually stay a little longer than they announce. */
#define DRAIN_GRACE_MS 1000
/* A task that would lose more work stays on a draining worker, since it may
 * still finish there. */
#define DRAIN_LOSS_MAX_MS 4000.0

/* Queue. */

/* How long a task waits for a worker in the rack of its data, as a share of
 * its duration. In another rack it takes several times as long. */
#define RACK_WAIT_SHARE 0.6
/* A job with nothing running waits no longer than this for a rack, or for room
 * that is reserved, while most of the room is free. */
#define ROOM_WAIT_MAX_MS 2000
/* Gangs at the head of the queue for which workers are reserved. */
#define RESERVED_GANGS_MAX 4
/* A late job earns less, and nothing beyond so many times its objective. */
#define LATE_FACTOR 3.0
/* Delay of a planning pass after an event, to handle several in one pass. */
#define PASS_DELAY_MS 2
#define PASS_TICK_MS 100 /* without events: leases, retries, due times */
/* Tasks that one pass may start; bounds the pass and the write after it. */
#define PASS_STARTS_MAX 512

/* Records. */

/* Records of ended jobs are kept for this many times the platform's status
 * time: once as the platform asks, and once more for late requests. */
#define RECORD_KEEP_FACTOR 2
#define RECORDS_PER_WRITE \
	14 /* a write has up to 32 entries: two a record and the leader's key */

#endif
