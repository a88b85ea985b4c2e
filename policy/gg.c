#include "policy/gg.h"

#include <glib.h>

#define RETRY_US (GG_RETRY_MS * USEC_PER_MSEC)
#define LEASE_US ((GG_LEASE_MS + GG_CALL_MS) * USEC_PER_MSEC)
#define BARRIER_US (BARRIER_TERM_MS * USEC_PER_MSEC)

static void enter(struct gg *gg, enum gg_state state, int64_t now_us)
{
	int i;

	gg->state = state;
	gg->since_us = now_us;
	for (i = 0; i < gg->count; i++)
		gg->members[i].answered = false;
}

static enum gg_op op_of(enum gg_state state)
{
	switch (state) {
	case GG_RESERVING:
		return GG_RESERVE;
	case GG_COMMITTING:
		return GG_COMMIT;
	case GG_ABORTING:
		return GG_ABORT;
	default:
		return GG_STOP;
	}
}

static void send(struct gg *gg, int member, int64_t now_us)
{
	struct gg_member *m = &gg->members[member];

	m->sent_us = now_us;
	if (gg->state == GG_COMMITTING)
		m->renewed_us = now_us;
	gg->ops->send(gg, member, op_of(gg->state));
}

static void send_all(struct gg *gg, int64_t now_us)
{
	enum gg_state state = gg->state;
	int i;

	for (i = 0; i < gg->count && gg->state == state; i++)
		if (!gg->members[i].gone)
			send(gg, i, now_us);
}

/* Reserves on every worker; nothing runs before all have answered. */
void gg_start(struct gg *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		gg->members[i] =
			(struct gg_member){ .worker = gg->members[i].worker };
	gg->failed_member = -1;
	gg->reason = NULL;
	enter(gg, GG_RESERVING, now_us);
	send_all(gg, now_us);
}

/*
 * Takes over a gang that an earlier leader started. It goes on if every
 * worker reports its member; with one missing it is stopped everywhere.
 */
void gg_adopt(struct gg *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		gg->members[i] = (struct gg_member){
			.worker = gg->members[i].worker,
			.renewed_us = now_us,
		};
	gg->failed_member = -1;
	gg->reason = NULL;
	enter(gg, GG_ADOPTING, now_us);
}

static void check_gone(struct gg *gg)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (!gg->members[i].gone)
			return;
	gg->state = GG_GONE;
	gg->ops->gone(gg);
}

static bool ending(const struct gg *gg)
{
	return gg->state == GG_ABORTING || gg->state == GG_STOPPING ||
	       gg->state == GG_GONE || gg->state == GG_IDLE;
}

static void end(struct gg *gg, enum gg_state state, const char *reason,
		int64_t now_us)
{
	if (ending(gg))
		return;
	gg->reason = reason;
	enter(gg, state, now_us);
	send_all(gg, now_us);
}

/* Stops the gang on every worker, in whatever state it is. */
void gg_stop(struct gg *gg, const char *reason, int64_t now_us)
{
	end(gg, gg->state == GG_RESERVING ? GG_ABORTING : GG_STOPPING, reason,
	    now_us);
}

static bool all_answered(const struct gg *gg)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (!gg->members[i].answered)
			return false;
	return true;
}

static void fail_member(struct gg *gg, int member, const char *reason,
			int64_t now_us)
{
	if (ending(gg))
		return;
	gg->failed_member = member;
	gg_stop(gg, reason, now_us);
}

/*
 * Takes a worker's answer. Answers to calls of an earlier state and repeated
 * answers change nothing.
 */
void gg_answer(struct gg *gg, int member, enum gg_op op, bool ok,
	       int64_t now_us)
{
	struct gg_member *m = &gg->members[member];

	if (gg->state == GG_GONE || gg->state == GG_IDLE ||
	    op != op_of(gg->state) || m->answered || m->gone)
		return;
	if (op == GG_ABORT || op == GG_STOP) {
		if (!ok || !ending(gg))
			return;
		m->gone = true;
		check_gone(gg);
		return;
	}
	if (!ok) {
		fail_member(gg, member, "worker refused", now_us);
		return;
	}
	m->answered = true;
	if (!all_answered(gg))
		return;
	enter(gg, gg->state == GG_RESERVING ? GG_COMMITTING : GG_GOING, now_us);
	if (gg->state == GG_COMMITTING)
		send_all(gg, now_us);
}

/* Whether a sync says go to the gang's members now. */
bool gg_go(const struct gg *gg)
{
	return gg->state == GG_GOING || gg->state == GG_RUNS;
}

/*
 * Whether a sync renews the leases: only while all members are known to run,
 * so that a member that is left alone ends within TASK_LEASE_MS even when
 * every later call to its worker is lost.
 */
bool gg_renews(const struct gg *gg, int64_t now_us)
{
	int i;

	if (gg->state != GG_RUNS)
		return false;
	for (i = 0; i < gg->count; i++)
		if (now_us - gg->members[i].confirmed_us >
		    GG_CONFIRM_MS * USEC_PER_MSEC)
			return false;
	return true;
}

/* A sync that may start or renew a lease is sent to the member's worker. */
void gg_synced(struct gg *gg, int member, int64_t now_us)
{
	if (gg_go(gg))
		gg->members[member].renewed_us = now_us;
}

static void check_running(struct gg *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (gg->members[i].seen != GG_RUNNING)
			return;
	enter(gg, GG_RUNS, now_us);
	gg->ops->running(gg);
}

/* All members were reported: running, or at the barrier and ready to go. */
static void finish_adoption(struct gg *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++)
		if (!gg->members[i].reported)
			return;
	enter(gg, GG_GOING, now_us);
	check_running(gg, now_us);
}

/*
 * Takes what a worker reported in a sync that was sent at asked_us. A report
 * from before the present state says nothing about a member's absence.
 */
void gg_report(struct gg *gg, int member, enum gg_seen seen, int64_t asked_us,
	       int64_t now_us)
{
	struct gg_member *m = &gg->members[member];

	if (gg->state == GG_GONE || gg->state == GG_IDLE)
		return;
	m->seen = seen;
	if (seen == GG_RUNNING)
		m->confirmed_us = MAX(m->confirmed_us, asked_us);
	switch (gg->state) {
	case GG_ADOPTING:
		m->reported = true;
		if (seen != GG_RUNNING && seen != GG_BARRIER)
			fail_member(gg, member, "member missing", now_us);
		else
			finish_adoption(gg, now_us);
		break;
	case GG_GOING:
	case GG_RUNS:
		if (seen == GG_ABSENT && asked_us >= gg->since_us)
			fail_member(gg, member, "member lost", now_us);
		else if (gg->state == GG_GOING)
			check_running(gg, now_us);
		break;
	default:
		break;
	}
}

/* The worker was declared dead. */
void gg_lost(struct gg *gg, int member, int64_t now_us)
{
	fail_member(gg, member, "worker lost", now_us);
}

/*
 * After the lease that may have been renewed last, and the barrier that may
 * have been entered just before, a worker runs nothing of this gang.
 */
static bool lapsed(const struct gg *gg, const struct gg_member *m,
		   int64_t now_us)
{
	int64_t from_us = MAX(m->renewed_us, gg->since_us);

	return now_us - from_us > LEASE_US + BARRIER_US;
}

static void tick_ending(struct gg *gg, int64_t now_us)
{
	int i;

	for (i = 0; i < gg->count; i++) {
		struct gg_member *m = &gg->members[i];

		if (m->gone)
			continue;
		if (lapsed(gg, m, now_us))
			m->gone = true;
		else if (now_us - m->sent_us >= RETRY_US)
			send(gg, i, now_us);
	}
	check_gone(gg);
}

static void tick_starting(struct gg *gg, int64_t now_us)
{
	int i;

	/* Members at the barrier abort soon, so a late gang is given up. */
	if (now_us - gg->since_us >= GG_PHASE_MS * USEC_PER_MSEC) {
		for (i = 0; i < gg->count - 1 && gg->members[i].answered; i++)
			;
		fail_member(gg, i, "worker silent", now_us);
		return;
	}
	for (i = 0; i < gg->count; i++)
		if (!gg->members[i].answered &&
		    now_us - gg->members[i].sent_us >= RETRY_US)
			send(gg, i, now_us);
}

/* Repeats calls that were not answered and ends phases that took too long. */
void gg_tick(struct gg *gg, int64_t now_us)
{
	switch (gg->state) {
	case GG_RESERVING:
	case GG_COMMITTING:
		tick_starting(gg, now_us);
		break;
	case GG_GOING:
		if (now_us - gg->since_us > BARRIER_US + GG_PHASE_MS * 1000)
			gg_stop(gg, "members did not go", now_us);
		break;
	case GG_ADOPTING:
		if (now_us - gg->since_us > BARRIER_US + GG_PHASE_MS * 1000)
			gg_stop(gg, "member not reported", now_us);
		break;
	case GG_ABORTING:
	case GG_STOPPING:
		tick_ending(gg, now_us);
		break;
	default:
		break;
	}
}
