#ifndef POLICY_GANG_START_H
#define POLICY_GANG_START_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"

enum gang_start_verb {
	GANG_START_RESERVE,
	GANG_START_COMMIT,
	GANG_START_ABORT,
	GANG_START_CHECKPOINT,
	GANG_START_STOP
};

/*
 * States of a member, in the order in which they are reached: code compares
 * them with < and >=. From GANG_START_STOPPED on, the member holds nothing.
 */
enum gang_start_state {
	GANG_START_UNKNOWN, /* reserve not yet answered */
	GANG_START_RESERVED,
	GANG_START_BARRIER,
	GANG_START_RUNNING,
	GANG_START_CHECKPOINTING,
	GANG_START_STOPPED,
	GANG_START_DONE,
	GANG_START_FAILED,
};

enum gang_start_phase {
	GANG_START_PHASE_IDLE,
	GANG_START_PHASE_RESERVE,
	GANG_START_PHASE_COMMIT,
	/* All members are at the barrier or past it, and may leave it. */
	GANG_START_PHASE_RELEASE,
	GANG_START_PHASE_RUN,
	GANG_START_PHASE_CHECKPOINT,
	GANG_START_PHASE_STOP,
	GANG_START_PHASE_ENDED,
};

enum gang_start_end {
	GANG_START_END_STOPPED,
	GANG_START_END_DONE,
	GANG_START_END_FAILED
};

/* One member of a gang, in the state that its worker last reported. */
struct gang_start_member {
	enum gang_start_state state;
	bool call_pending;
	bool saved; /* its checkpoint is complete */
	bool reserved; /* the worker has confirmed the token */
	int64_t retry_us; /* earliest time of the next call */
	int64_t last_alive_us; /* send time of the latest sync it answered */
	int64_t changed_us; /* last change of state; older reports are stale */
	int64_t may_hold_until_us; /* all terms and leases have expired then */
};

struct gang_start;

/*
 * Callbacks to the owner, which answers each call() with gang_start_answer():
 * later, or never. The other callbacks must not call gang_start functions.
 */
struct gang_start_ops {
	void (*call)(struct gang_start *gg, int member,
		     enum gang_start_verb verb);
	/* Requests an early sync with the member's worker. */
	void (*sync)(struct gang_start *gg, int member);
	void (*running)(struct gang_start *gg);
	/* All members have stopped, with complete checkpoints. */
	void (*saved)(struct gang_start *gg);
	/* No member holds accelerators any more. failed: a member or -1. */
	void (*gone)(struct gang_start *gg, enum gang_start_end end,
		     int failed);
};

/* One attempt to run one gang. */
struct gang_start {
	const struct gang_start_ops *ops;
	struct gang_start_member *members;
	int count;
	enum gang_start_phase phase;
	int64_t deadline_us; /* of the phase, 0: none */
	int64_t release_until_us; /* no barrier term expires before */
	int failed; /* member whose task failed, or -1 */
	bool checkpoint_reported;
};

void gang_start_init(struct gang_start *gg, const struct gang_start_ops *ops);
void gang_start_finish(struct gang_start *gg);
void gang_start_start(struct gang_start *gg, int count, int64_t now_us);
void gang_start_adopt(struct gang_start *gg,
		      const enum gang_start_state *states, int count,
		      bool complete, int64_t now_us);
void gang_start_checkpoint(struct gang_start *gg, int64_t now_us);
void gang_start_stop(struct gang_start *gg, int64_t now_us);
void gang_start_answer(struct gang_start *gg, int member,
		       enum gang_start_verb verb, bool answered, bool accepted,
		       int64_t now_us);
void gang_start_report(struct gang_start *gg, int member, bool present,
		       enum gang_start_state state, bool saved, int64_t sent_us,
		       int64_t now_us);
bool gang_start_may_renew(struct gang_start *gg, int member, int64_t now_us);
bool gang_start_may_pass(struct gang_start *gg, int member, int64_t now_us);
bool gang_start_needs_tick(const struct gang_start *gg);
void gang_start_tick(struct gang_start *gg, int64_t now_us);

#endif
