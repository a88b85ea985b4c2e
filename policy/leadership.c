#include "policy/leadership.h"

#include <string.h>

/*
 * Two hosts never act as leader at the same time:
 *
 * - Lease: a host counts the lease from the time at which it sent the request
 *   for it, so the lease ends for the host before the store lets another host
 *   create the leader key.
 * - Promises: every other host of the data centre has promised not to act. The
 *   leader counts a promise from the time of its request, the other host from
 *   when it got the request, which is later. A host that has given a promise
 *   does not act until it ends, whatever the store says.
 * - A restarted host does not know what it has promised, so it does not act
 *   within one promise term of its start.
 */

#define MSEC(ms) ((ms)*USEC_PER_MSEC)

/* Initializes the state of a host that starts now and has peer_count peers. */
void leadership_init(struct leadership *ld, size_t peer_count, GRand *rand,
		     int64_t now_us)
{
	memset(ld, 0, sizeof(*ld));
	ld->peer_count = peer_count;
	ld->rand = rand;
	ld->last_tick_us = now_us;
	ld->next_call_us = now_us;
	ld->act_not_before_us = now_us;
	if (peer_count > 0)
		ld->act_not_before_us += MSEC(LEADER_PROMISE_MS);
}

/* Shortens a term, as clocks run at slightly different rates. */
static int64_t less_clock_margin(int64_t term_us)
{
	return term_us - term_us * LEADER_MARGIN_PERCENT / 100;
}

/* Acting. */

/*
 * Returns when the first of the peers' promises ends. Without peers this is
 * always in the future, except after a freeze, when the store must confirm the
 * leadership first.
 */
static int64_t peers_promised_until(const struct leadership *ld, int64_t now_us)
{
	int64_t until_us = now_us + MSEC(LEADER_PROMISE_MS);
	size_t i;

	if (ld->revalidate)
		return 0;
	for (i = 0; i < ld->peer_count; i++)
		until_us = MIN(until_us, ld->peers[i].promised_until_us);
	return until_us;
}

/*
 * Returns the time until which this host may act as leader, or 0 if it may not
 * act now.
 */
int64_t leadership_valid_until(const struct leadership *ld, int64_t now_us)
{
	int64_t until_us;

	if (!ld->leading || ld->draining ||
	    now_us < ld->promise_given_until_us ||
	    now_us < ld->act_not_before_us)
		return 0;
	until_us = MAX(ld->lease_until_us, peers_promised_until(ld, now_us));
	return until_us > now_us ? until_us : 0;
}

bool leadership_may_act(const struct leadership *ld, int64_t now_us)
{
	return leadership_valid_until(ld, now_us) > now_us;
}

/*
 * To be called every LEADER_TICK_MS and before each message is handled.
 * Returns true if the process was frozen, that is, has not called it for more
 * than LEADER_FREEZE_MS. The lease and the promises then don't count until
 * they are confirmed, since queued messages may be as old as the freeze.
 */
bool leadership_tick(struct leadership *ld, int64_t now_us)
{
	bool frozen = now_us - ld->last_tick_us > MSEC(LEADER_FREEZE_MS);
	size_t i;

	ld->last_tick_us = now_us;
	if (!frozen)
		return false;
	ld->lease_until_us = 0;
	ld->next_call_us = now_us;
	ld->revalidate = ld->peer_count == 0;
	for (i = 0; i < ld->peer_count; i++)
		ld->peers[i].promised_until_us = 0;
	return true;
}

/* Promises. */

static void lose_leadership(struct leadership *ld)
{
	ld->leading = false;
	ld->lease = 0;
	ld->lease_until_us = 0;
}

/* Takes note of an epoch; one above this host's ends its leadership. */
void leadership_observe_epoch(struct leadership *ld, uint64_t epoch)
{
	if (epoch <= ld->highest_epoch)
		return;
	ld->highest_epoch = epoch;
	if (epoch > ld->epoch)
		lose_leadership(ld);
}

/*
 * Handles the request of peer `from`, the leader of an epoch, for a promise of
 * term_us. A term of 0 says that the peer is no longer the leader and ends the
 * promise to it. Returns true if the promise is given. During a take-over none
 * is given, since the take-over may succeed.
 */
bool leadership_promise_requested(struct leadership *ld, int64_t now_us,
				  size_t from, uint64_t epoch, int64_t term_us)
{
	bool taking_over = ld->next != LEADERSHIP_CALL_NONE ||
			   ld->call.kind == LEADERSHIP_CALL_GRANT ||
			   ld->call.kind == LEADERSHIP_CALL_ACQUIRE;

	if (term_us == 0) {
		if (ld->promise_given_to == from)
			ld->promise_given_until_us =
				MIN(ld->promise_given_until_us, now_us);
		return false;
	}
	if (epoch < ld->highest_epoch || term_us < 0 ||
	    term_us > MSEC(LEADER_PROMISE_MS))
		return false;
	leadership_observe_epoch(ld, epoch);
	if (ld->leading || taking_over)
		return false;
	ld->promise_given_to = from;
	ld->promise_given_until_us =
		MAX(ld->promise_given_until_us, now_us + term_us);
	return true;
}

/* Peer `from` has given the promise that was requested at sent_us. */
void leadership_promise_received(struct leadership *ld, int64_t now_us,
				 size_t from, int64_t sent_us, int64_t term_us)
{
	struct leadership_peer *peer = &ld->peers[from];

	/* A request from before a freeze is too old to count. */
	if (sent_us > now_us || now_us - sent_us > MSEC(LEADER_FREEZE_MS) ||
	    term_us < 0 || term_us > MSEC(LEADER_PROMISE_MS))
		return;
	peer->promised_until_us = MAX(peer->promised_until_us,
				      sent_us + less_clock_margin(term_us));
}

/* Store calls. */

static bool may_take_over(const struct leadership *ld, int64_t now_us)
{
	return !ld->draining && now_us >= ld->promise_given_until_us &&
	       now_us >= ld->act_not_before_us;
}

/* Exponential backoff with full jitter. */
static void schedule_retry(struct leadership *ld, int64_t now_us)
{
	int64_t limit_ms = STORE_BACKOFF_BASE_MS;
	unsigned int i;

	for (i = 0; i < ld->failures && limit_ms < STORE_BACKOFF_CAP_MS; i++)
		limit_ms *= 2;
	limit_ms = MIN(limit_ms, STORE_BACKOFF_CAP_MS);
	ld->failures++;
	ld->next_call_us =
		now_us + g_rand_int_range(ld->rand, 0, (gint32)MSEC(limit_ms));
}

static int64_t lease_to_revoke(const struct leadership *ld)
{
	return ld->lease ? ld->lease : ld->takeover_lease;
}

static enum leadership_call_kind choose_call(const struct leadership *ld,
					     int64_t now_us)
{
	if (ld->draining)
		return lease_to_revoke(ld) ? LEADERSHIP_CALL_REVOKE :
					     LEADERSHIP_CALL_NONE;
	if (ld->next != LEADERSHIP_CALL_NONE)
		return ld->next;
	if (ld->leading && ld->lease)
		return LEADERSHIP_CALL_RENEW;
	return may_take_over(ld, now_us) ? LEADERSHIP_CALL_READ :
					   LEADERSHIP_CALL_NONE;
}

static void fill_acquire(struct leadership *ld)
{
	ld->call.lease = ld->takeover_lease;
	ld->call.attempt = ++ld->attempts;
	ld->call.epoch = ld->takeover_epoch;
	ld->call.epoch_mod = ld->takeover_epoch_mod;
}

/*
 * Fills in the store call to make now, LEADERSHIP_CALL_NONE for none. Each
 * call must be followed by leadership_handle_reply().
 */
void leadership_next_call(struct leadership *ld, int64_t now_us,
			  struct leadership_call *call)
{
	memset(call, 0, sizeof(*call));
	if (ld->call.kind != LEADERSHIP_CALL_NONE || now_us < ld->next_call_us)
		return;
	memset(&ld->call, 0, sizeof(ld->call));
	ld->call.kind = choose_call(ld, now_us);
	ld->next = LEADERSHIP_CALL_NONE;
	ld->call_sent_us = now_us;
	if (ld->call.kind == LEADERSHIP_CALL_ACQUIRE)
		fill_acquire(ld);
	else if (ld->call.kind == LEADERSHIP_CALL_RENEW)
		ld->call.lease = ld->lease;
	else if (ld->call.kind == LEADERSHIP_CALL_REVOKE)
		ld->call.lease = lease_to_revoke(ld);
	*call = ld->call;
}

/* The jitter prevents that all hosts find the key missing at the same time. */
static void schedule_poll(struct leadership *ld, int64_t now_us)
{
	int64_t half_us = MSEC(LEADER_POLL_MS) / 2;

	ld->next_call_us = now_us + half_us +
			   g_rand_int_range(ld->rand, 0, (gint32)half_us);
}

/* The lease was granted or renewed for ttl_us by a call sent at sent_us. */
static void extend_leadership(struct leadership *ld, int64_t sent_us,
			      int64_t ttl_us)
{
	ld->leading = true;
	ld->revalidate = false;
	ld->lease_until_us = sent_us + less_clock_margin(ttl_us);
	ld->next_call_us = sent_us + MSEC(LEADER_RENEW_MS);
}

/* The take-over has succeeded. A draining host only revokes the lease. */
static void gain_leadership(struct leadership *ld)
{
	ld->lease = ld->takeover_lease;
	ld->takeover_lease = 0;
	if (ld->draining)
		return;
	ld->epoch = ld->takeover_epoch;
	ld->highest_epoch = MAX(ld->highest_epoch, ld->epoch);
	extend_leadership(ld, ld->grant_sent_us, ld->grant_ttl_us);
}

/*
 * Returns true if the leader key was created by this host's last take-over
 * attempt, to which the answer was lost, and no higher epoch is known.
 */
static bool confirms_takeover(const struct leadership *ld,
			      const struct leadership_reply *reply)
{
	return ld->takeover_lease && reply->key_exists && reply->key_is_own &&
	       reply->attempt == ld->attempts &&
	       reply->epoch == ld->takeover_epoch &&
	       ld->highest_epoch <= ld->takeover_epoch;
}

static void after_read(struct leadership *ld, int64_t now_us,
		       const struct leadership_reply *reply)
{
	if (confirms_takeover(ld, reply)) {
		gain_leadership(ld);
		return;
	}
	leadership_observe_epoch(ld, reply->epoch);
	if (reply->key_exists && !reply->key_is_own)
		lose_leadership(ld);
	/* This host's key from an earlier attempt expires with its lease. */
	if (reply->key_exists || !may_take_over(ld, now_us)) {
		schedule_poll(ld, now_us);
		return;
	}
	ld->takeover_epoch = ld->highest_epoch + 1;
	ld->takeover_epoch_mod = reply->epoch_mod;
	ld->takeover_lease = 0;
	ld->next = LEADERSHIP_CALL_GRANT;
}

static void after_grant(struct leadership *ld, int64_t now_us,
			const struct leadership_reply *reply)
{
	if (!may_take_over(ld, now_us)) {
		schedule_poll(ld, now_us);
		return;
	}
	ld->takeover_lease = reply->lease;
	ld->grant_sent_us = ld->call_sent_us;
	ld->grant_ttl_us = reply->ttl_us;
	ld->next = LEADERSHIP_CALL_ACQUIRE;
}

static void after_acquire(struct leadership *ld, int64_t now_us,
			  const struct leadership_reply *reply)
{
	if (reply->succeeded && ld->highest_epoch < ld->takeover_epoch) {
		gain_leadership(ld);
		return;
	}
	if (!reply->succeeded)
		ld->takeover_lease = 0;
	schedule_poll(ld, now_us);
}

/*
 * An expired lease does not end the leadership: the promises may be sufficient
 * until this host or another creates the leader key.
 */
static void after_renew(struct leadership *ld, int64_t now_us,
			const struct leadership_reply *reply)
{
	if (!ld->leading)
		return;
	if (reply->ttl_us > 0) {
		extend_leadership(ld, ld->call_sent_us, reply->ttl_us);
		return;
	}
	ld->lease = 0;
	ld->lease_until_us = 0;
	ld->next_call_us = now_us;
}

/* The result is ignored: a lease that was not revoked expires by itself. */
static void after_revoke(struct leadership *ld)
{
	if (ld->lease)
		ld->lease = 0;
	else
		ld->takeover_lease = 0;
}

/*
 * Whether an acquire call without an answer has taken effect is found by the
 * next read, so the lease of the take-over is kept for it.
 */
static void after_failure(struct leadership *ld, int64_t now_us,
			  enum leadership_call_kind kind,
			  enum leadership_outcome outcome)
{
	if (kind == LEADERSHIP_CALL_ACQUIRE && outcome == LEADERSHIP_NO_EFFECT)
		ld->takeover_lease = 0;
	schedule_retry(ld, now_us);
}

/*
 * Handles the answer to the call that leadership_next_call() returned. The
 * next call may be due at once.
 */
void leadership_handle_reply(struct leadership *ld, int64_t now_us,
			     const struct leadership_reply *reply)
{
	enum leadership_call_kind kind = ld->call.kind;

	ld->call.kind = LEADERSHIP_CALL_NONE;
	if (kind == LEADERSHIP_CALL_REVOKE) {
		after_revoke(ld);
		return;
	}
	if (reply->outcome != LEADERSHIP_OK) {
		after_failure(ld, now_us, kind, reply->outcome);
		return;
	}
	ld->failures = 0;
	if (kind == LEADERSHIP_CALL_READ)
		after_read(ld, now_us, reply);
	else if (kind == LEADERSHIP_CALL_GRANT)
		after_grant(ld, now_us, reply);
	else if (kind == LEADERSHIP_CALL_ACQUIRE)
		after_acquire(ld, now_us, reply);
	else if (kind == LEADERSHIP_CALL_RENEW)
		after_renew(ld, now_us, reply);
}

/* Stops acting for good. The next call revokes the lease, if there is one. */
void leadership_drain(struct leadership *ld, int64_t now_us)
{
	ld->draining = true;
	ld->leading = false;
	ld->lease_until_us = 0;
	ld->next_call_us = now_us;
}

/* Returns true when the host is draining and no lease is left to revoke. */
bool leadership_drained(const struct leadership *ld)
{
	return ld->draining && !lease_to_revoke(ld) &&
	       ld->call.kind == LEADERSHIP_CALL_NONE;
}
