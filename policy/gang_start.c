#include "policy/gang_start.h"

#include <string.h>

#include <glib.h>

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

/*
 * A gang starts in three steps: all members reserve, all commit and wait at
 * a barrier, all are told to go by sync. Before the last commit is answered
 * no member can run, so an attempt that fails there leaves nothing behind. A
 * lease is renewed only while all members are known to run or are done;
 * without that, a member ends by itself at the end of its lease.
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

/* Whether every member has come as far as the state, or has ended. */
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

/* Calls. */

/* The term counts from the last moment at which the call may arrive. */
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
 * A worker that has not confirmed the token gets an abort, which also holds
 * against a reserve that arrives later.
 */
static enum gang_start_verb stop_verb(const struct gang_start_member *m)
{
	return m->reserved ? GANG_START_STOP : GANG_START_ABORT;
}

/* Sends what the phase still needs of each member. */
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

/* Phases. */

static void enter_phase(struct gang_start *gg, enum gang_start_phase phase,
			int64_t limit_ms, int64_t now_us)
{
	int i;

	gg->phase = phase;
	gg->deadline_us = limit_ms ? now_us + MS(limit_ms) : 0;
	for (i = 0; i < gg->count; i++)
		gg->members[i].retry_us = 0;
}

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

/* A checkpoint of a gang is complete when it is so for every member. */
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

/* Whether a member ended in a way that makes the other checkpoints useless. */
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

/* Goes on to the next phase when the members allow or demand it. */
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

static void expire_silent(struct gang_start *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (!ended(&gg->members[i]) &&
		    now_us >= gg->members[i].may_hold_until_us)
			gg->members[i].state = GANG_START_STOPPED;
}

/*
 * Retries calls, ends phases that take too long, and reports the end. To be
 * called often while gang_start_needs_tick().
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

/* Whether it needs ticks; a gang that runs needs none. */
bool gang_start_needs_tick(const struct gang_start *gg)
{
	return gg->phase != GANG_START_PHASE_IDLE &&
	       gg->phase != GANG_START_PHASE_ENDED &&
	       gg->phase != GANG_START_PHASE_RUN;
}

/* What the owner asks. */

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
 * Takes over an attempt of an earlier leader in the states that the workers
 * report. complete tells that these members are all there are; a gang that is
 * complete and of which all members run, save or are done goes on, and any other
 * is stopped everywhere.
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
	/* The owner hears of ends from a tick, never from within. */
}

/* Leases are not renewed any more; gang_start_ops.saved() or gone() follows. */
void gang_start_checkpoint(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase != GANG_START_PHASE_RUN)
		return;
	enter_phase(gg, GANG_START_PHASE_CHECKPOINT, 0, now_us);
	send_calls(gg, now_us);
}

/* Stops every member, at whatever point the gang is. */
void gang_start_stop(struct gang_start *gg, int64_t now_us)
{
	if (gg->phase == GANG_START_PHASE_IDLE ||
	    gg->phase >= GANG_START_PHASE_STOP)
		return;
	enter_stop(gg, now_us);
	send_calls(gg, now_us);
}

/* What the workers answer. */

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
 * The answer to a call, or that none came. accepted: the worker carried it
 * out; otherwise it refused, which says that it doesn't hold the token, or
 * has no room for it. The owner doesn't pass on refusals of an old epoch.
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
		return; /* the next tick repeats it */
	if (verb == GANG_START_CHECKPOINT && !accepted) {
		/* It has ended, or was forgotten: the report tells which. */
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
 * The member's part of a worker's report. A worker that doesn't know a token
 * it has confirmed before has restarted, and lost the member.
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
 * Whether a sync sent now renews the member's lease. Not when another member
 * may have died a while ago, because the gang must end within TASK_LEASE_MS
 * of that, even when this leader dies too.
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
 * Whether a sync sent now lets the member pass the barrier. Not when other
 * members' barriers may have lapsed.
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
