#include "policy/gang_start.h"

#include <string.h>

#include <glib.h>

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

/*
 * Gang start: a two-phase commit over the workers, followed by a barrier.
 * All members reserve; then all commit and wait at the barrier; then syncs
 * release them from it. No member runs before the last commit is answered,
 * so an attempt that fails earlier leaves no task running. Leases are
 * renewed only while every member is known to run or to be done. A member
 * whose lease is not renewed ends when the lease expires.
 */

void gang_start_init(struct gang_start *gg, const struct gang_start_ops *ops)
{
	memset(gg, 0, sizeof(*gg));
	gg->ops = ops;
	gg->failed = -1;
}

void gang_start_finish(struct gang_start *gg)
{
	g_free(gg->members);
	gg->members = NULL;
	gg->count = 0;
	gg->phase = GANG_START_PHASE_IDLE;
}

static bool ended(const struct gang_start_member *m)
{
	return m->state >= GANG_START_STOPPED;
}

/* Whether every member is in the state or in a later one. */
static bool all_reached(const struct gang_start *gg,
			enum gang_start_state state)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (gg->members[i].state < state)
			return false;
	return true;
}

static bool all_are(const struct gang_start *gg, enum gang_start_state state)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (gg->members[i].state != state)
			return false;
	return true;
}

static bool any_is(const struct gang_start *gg, enum gang_start_state state)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (gg->members[i].state == state)
			return true;
	return false;
}

/* Calls to workers. */

/*
 * Assumes that the term begins at the latest time at which the call can
 * arrive, GANG_CALL_MS from now.
 */
static void extend_hold(struct gang_start_member *m, int64_t term_ms,
			int64_t now_us)
{
	m->may_hold_until_us =
		MAX(m->may_hold_until_us, now_us + MS(GANG_CALL_MS + term_ms));
}

static void send_call(struct gang_start *gg, int i, enum gang_start_verb verb,
		      int64_t now_us)
{
	struct gang_start_member *m = &gg->members[i];

	if (m->call_pending || now_us < m->retry_us)
		return;
	m->call_pending = true;
	m->retry_us = now_us + MS(GANG_RETRY_MS);
	if (verb == GANG_START_RESERVE)
		extend_hold(m, RESERVATION_TERM_MS, now_us);
	else if (verb == GANG_START_COMMIT)
		extend_hold(m, BARRIER_TERM_MS, now_us);
	gg->ops->call(gg, i, verb);
}

/*
 * A worker that has not confirmed the token is sent an abort, which also
 * makes it refuse a reserve that arrives later.
 */
static enum gang_start_verb stop_verb(const struct gang_start_member *m)
{
	return m->reserved ? GANG_START_STOP : GANG_START_ABORT;
}

/* Sends each member the call or the sync that the phase requires of it. */
static void send_calls(struct gang_start *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++) {
		struct gang_start_member *m = &gg->members[i];

		if (ended(m))
			continue;
		if (gg->phase == GANG_START_PHASE_RESERVE &&
		    m->state == GANG_START_UNKNOWN)
			send_call(gg, i, GANG_START_RESERVE, now_us);
		else if (gg->phase == GANG_START_PHASE_COMMIT &&
			 m->state == GANG_START_RESERVED)
			send_call(gg, i, GANG_START_COMMIT, now_us);
		else if (gg->phase == GANG_START_PHASE_CHECKPOINT &&
			 m->state == GANG_START_RUNNING)
			send_call(gg, i, GANG_START_CHECKPOINT, now_us);
		else if (gg->phase == GANG_START_PHASE_STOP)
			send_call(gg, i, stop_verb(m), now_us);
		if ((gg->phase == GANG_START_PHASE_RELEASE &&
		     m->state == GANG_START_BARRIER) ||
		    (gg->phase == GANG_START_PHASE_CHECKPOINT &&
		     m->state == GANG_START_CHECKPOINTING))
			gg->ops->sync(gg, i);
	}
}

/* Transitions between phases. */

static void enter_phase(struct gang_start *gg, enum gang_start_phase phase,
			int64_t limit_ms, int64_t now_us)
{
	int i;

	gg->phase = phase;
	gg->deadline_us = limit_ms ? now_us + MS(limit_ms) : 0;
	for (i = 0; i < gg->count; i++)
		gg->members[i].retry_us = 0;
}

/* Only for a gang whose members have all ended. */
static enum gang_start_end end_reason(const struct gang_start *gg)
{
	if (gg->failed >= 0)
		return GANG_START_END_FAILED;
	return all_are(gg, GANG_START_DONE) ? GANG_START_END_DONE :
					      GANG_START_END_STOPPED;
}

static void enter_stop(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase < GANG_START_PHASE_STOP)
		enter_phase(gg, GANG_START_PHASE_STOP, 0, now_us);
}

/*
 * Notifies the owner once the checkpoint of the gang is complete: every
 * member has ended, and each has saved its checkpoint or was done.
 */
static void report_checkpoint(struct gang_start *gg, int64_t now_us)
{
	int i;

	if (gg->phase != GANG_START_PHASE_CHECKPOINT ||
	    gg->checkpoint_reported || !all_reached(gg, GANG_START_STOPPED))
		return;
	for (i = 0; i < gg->count; i++)
		if (!gg->members[i].saved &&
		    gg->members[i].state != GANG_START_DONE)
			return;
	gg->checkpoint_reported = true;
	gg->ops->saved(gg);
	enter_stop(gg, now_us);
}

/*
 * Whether a member failed or stopped without a checkpoint, which makes the
 * checkpoints of the other members useless.
 */
static bool checkpoint_failed(const struct gang_start *gg)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (gg->members[i].state == GANG_START_FAILED ||
		    (gg->members[i].state == GANG_START_STOPPED &&
		     !gg->members[i].saved))
			return true;
	return false;
}

/* Enters the phase that the states of the members call for. */
static void advance(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase < GANG_START_PHASE_STOP &&
	    gg->phase != GANG_START_PHASE_CHECKPOINT &&
	    (any_is(gg, GANG_START_STOPPED) || any_is(gg, GANG_START_FAILED)))
		enter_stop(gg, now_us);
	if (gg->phase == GANG_START_PHASE_CHECKPOINT && checkpoint_failed(gg))
		enter_stop(gg, now_us);
	if (gg->phase == GANG_START_PHASE_RESERVE &&
	    all_reached(gg, GANG_START_RESERVED)) {
		enter_phase(gg, GANG_START_PHASE_COMMIT, GANG_PHASE_MS, now_us);
		gg->release_until_us = now_us + MS(BARRIER_TERM_MS);
	}
	if (gg->phase == GANG_START_PHASE_COMMIT &&
	    all_reached(gg, GANG_START_BARRIER))
		enter_phase(gg, GANG_START_PHASE_RELEASE, BARRIER_TERM_MS,
			    now_us);
	if (gg->phase == GANG_START_PHASE_RELEASE &&
	    all_reached(gg, GANG_START_RUNNING)) {
		enter_phase(gg, GANG_START_PHASE_RUN, 0, now_us);
		gg->ops->running(gg);
	}
	if (gg->phase == GANG_START_PHASE_RUN && all_are(gg, GANG_START_DONE))
		enter_stop(gg, now_us);
	send_calls(gg, now_us);
}

/* Treats members whose terms and leases have expired as stopped. */
static void expire_silent(struct gang_start *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (!ended(&gg->members[i]) &&
		    now_us >= gg->members[i].may_hold_until_us)
			gg->members[i].state = GANG_START_STOPPED;
}

/*
 * Repeats unanswered calls, stops the gang when a phase exceeds its time
 * limit, and notifies the owner of the end. The owner calls it at short
 * intervals while gang_start_needs_tick() returns true.
 */
void gang_start_tick(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase == GANG_START_PHASE_IDLE ||
	    gg->phase == GANG_START_PHASE_ENDED)
		return;
	if (gg->deadline_us && now_us >= gg->deadline_us)
		enter_stop(gg, now_us);
	if (gg->phase == GANG_START_PHASE_STOP)
		expire_silent(gg, now_us);
	advance(gg, now_us);
	report_checkpoint(gg, now_us);
	if (gg->phase == GANG_START_PHASE_STOP &&
	    all_reached(gg, GANG_START_STOPPED)) {
		gg->phase = GANG_START_PHASE_ENDED;
		gg->ops->gone(gg, end_reason(gg), gg->failed);
	}
}

/* A gang whose members all run needs no ticks. */
bool gang_start_needs_tick(const struct gang_start *gg)
{
	return gg->phase != GANG_START_PHASE_IDLE &&
	       gg->phase != GANG_START_PHASE_ENDED &&
	       gg->phase != GANG_START_PHASE_RUN;
}

/* Requests of the owner. */

void gang_start_start(struct gang_start *gg, int count, int64_t now_us)
{
	gg->members = g_renew(struct gang_start_member, gg->members, count);
	memset(gg->members, 0, sizeof(*gg->members) * count);
	gg->count = count;
	gg->failed = -1;
	gg->checkpoint_reported = false;
	enter_phase(gg, GANG_START_PHASE_RESERVE, GANG_PHASE_MS, now_us);
	send_calls(gg, now_us);
}

/*
 * Takes over an attempt of an earlier leader, in the states that the workers
 * report. complete: the reports include every member of the gang. A complete
 * gang whose members all run, save a checkpoint or are done goes on; any
 * other gang is stopped on all workers.
 */
void gang_start_adopt(struct gang_start *gg,
		      const enum gang_start_state *states, int count,
		      bool complete, int64_t now_us)
{
	int i;

	gg->members = g_renew(struct gang_start_member, gg->members, count);
	memset(gg->members, 0, sizeof(*gg->members) * count);
	gg->count = count;
	gg->failed = -1;
	gg->checkpoint_reported = false;
	for (i = 0; i < count; i++) {
		struct gang_start_member *m = &gg->members[i];

		m->state = states[i];
		m->reserved = true;
		m->changed_us = now_us;
		m->last_alive_us = now_us;
		extend_hold(m, TASK_LEASE_MS, now_us);
		if (states[i] == GANG_START_FAILED && gg->failed < 0)
			gg->failed = i;
	}
	enter_phase(gg, GANG_START_PHASE_RUN, 0, now_us);
	if (!complete || !all_reached(gg, GANG_START_RUNNING) ||
	    any_is(gg, GANG_START_STOPPED))
		enter_stop(gg, now_us);
	else if (any_is(gg, GANG_START_CHECKPOINTING))
		enter_phase(gg, GANG_START_PHASE_CHECKPOINT, TASK_LEASE_MS,
			    now_us);
	/* The end of a gang is only reported by gang_start_tick(). */
}

/*
 * Checkpoints and stops every member. Leases are no longer renewed. Results
 * in gang_start_ops.saved() if all checkpoints succeed, then in gone().
 */
void gang_start_checkpoint(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase != GANG_START_PHASE_RUN)
		return;
	enter_phase(gg, GANG_START_PHASE_CHECKPOINT, 0, now_us);
	send_calls(gg, now_us);
}

/* Stops every member, in any phase. */
void gang_start_stop(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase == GANG_START_PHASE_IDLE ||
	    gg->phase >= GANG_START_PHASE_STOP)
		return;
	enter_stop(gg, now_us);
	send_calls(gg, now_us);
}

/* Answers and reports of workers. */

/* Moves a member to a later state. Earlier states are stale and ignored. */
static void set_state(struct gang_start *gg, int i, enum gang_start_state state,
		      int64_t now_us)
{
	struct gang_start_member *m = &gg->members[i];

	if (state <= m->state || ended(m))
		return;
	m->state = state;
	m->reserved = true;
	m->changed_us = now_us;
	if (state == GANG_START_FAILED && gg->failed < 0)
		gg->failed = i;
}

/*
 * Handles the answer to a call, or its timeout (answered is false). A worker
 * refuses a call (accepted is false) when it does not hold the token or has
 * no room for it. A refusal because of an outdated epoch is not such a
 * refusal: the owner must not pass it on.
 */
void gang_start_answer(struct gang_start *gg, int member,
		       enum gang_start_verb verb, bool answered, bool accepted,
		       int64_t now_us)
{
	struct gang_start_member *m;

	if (gg->phase == GANG_START_PHASE_IDLE ||
	    gg->phase == GANG_START_PHASE_ENDED || member >= gg->count)
		return;
	m = &gg->members[member];
	m->call_pending = false;
	if (!answered)
		return; /* the next tick repeats the call */
	if (verb == GANG_START_CHECKPOINT && !accepted) {
		/*
		 * The member has ended, or the worker has lost it; the next
		 * report shows which.
		 */
		gg->ops->sync(gg, member);
		return;
	}
	m->retry_us = 0;
	if (verb == GANG_START_STOP || verb == GANG_START_ABORT)
		set_state(gg, member, GANG_START_STOPPED, now_us);
	else if (!accepted)
		set_state(gg, member, GANG_START_STOPPED, now_us);
	else if (verb == GANG_START_RESERVE)
		set_state(gg, member, GANG_START_RESERVED, now_us);
	else if (verb == GANG_START_COMMIT)
		set_state(gg, member, GANG_START_BARRIER, now_us);
	else if (verb == GANG_START_CHECKPOINT)
		set_state(gg, member, GANG_START_CHECKPOINTING, now_us);
	advance(gg, now_us);
}

/*
 * Handles what a worker's report, requested at sent_us, says of a member. A
 * worker that no longer holds a token that it had confirmed has restarted
 * and lost the member.
 */
void gang_start_report(struct gang_start *gg, int member, bool present,
		       enum gang_start_state state, bool saved, int64_t sent_us,
		       int64_t now_us)
{
	struct gang_start_member *m;

	if (gg->phase == GANG_START_PHASE_IDLE ||
	    gg->phase == GANG_START_PHASE_ENDED || member >= gg->count)
		return;
	m = &gg->members[member];
	if (present) {
		m->last_alive_us = MAX(m->last_alive_us, sent_us);
		m->saved |= saved;
		set_state(gg, member, state, now_us);
	} else if (m->reserved && sent_us >= m->changed_us) {
		set_state(gg, member, GANG_START_STOPPED, now_us);
	}
	advance(gg, now_us);
}

/*
 * Whether a sync sent now may renew the member's lease; if so, notes how long
 * the member may then hold its accelerators. No lease is renewed when a
 * running member has not been reported for GANG_FRESH_MS, since it may have
 * died: the gang must end within TASK_LEASE_MS of the death of a member, even
 * if this leader fails too.
 */
bool gang_start_may_renew(struct gang_start *gg, int member, int64_t now_us)
{
	struct gang_start_member *m = &gg->members[member];
	int i;

	if (gg->phase != GANG_START_PHASE_RUN || m->state != GANG_START_RUNNING)
		return false;
	for (i = 0; i < gg->count; i++)
		if (gg->members[i].state == GANG_START_RUNNING &&
		    now_us - gg->members[i].last_alive_us > MS(GANG_FRESH_MS))
			return false;
	extend_hold(m, GANG_LEASE_MS, now_us);
	return true;
}

/*
 * Whether a sync sent now may release the member from the barrier; if so,
 * notes how long it may then hold its accelerators. No member is released
 * once the barrier terms of others may have expired.
 */
bool gang_start_may_pass(struct gang_start *gg, int member, int64_t now_us)
{
	struct gang_start_member *m = &gg->members[member];

	if (gg->phase != GANG_START_PHASE_RELEASE ||
	    m->state != GANG_START_BARRIER || now_us >= gg->release_until_us)
		return false;
	extend_hold(m, GANG_LEASE_MS, now_us);
	return true;
}
