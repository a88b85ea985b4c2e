#ifndef POLICY_GG_H
#define POLICY_GG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"

enum gg_verb { GG_RESERVE, GG_COMMIT, GG_ABORT, GG_CHECKPOINT, GG_STOP };

/* In the order in which a member passes through them. */
enum gg_state {
	GG_UNKNOWN, /* no answer to reserve yet */
	GG_RESERVED,
	GG_BARRIER,
	GG_RUNNING,
	GG_SAVING,
	GG_STOPPED,
	GG_DONE,
	GG_FAILED,
};

enum gg_phase {
	GG_P_IDLE,
	GG_P_RESERVE,
	GG_P_COMMIT,
	GG_P_GO, /* all members are at the barrier or past it */
	GG_P_RUN,
	GG_P_SAVE,
	GG_P_STOP,
	GG_P_GONE,
};

enum gg_end { GG_END_STOPPED, GG_END_DONE, GG_END_FAILED };

/* The part of a gang on one worker, as far as its worker has told. */
struct gg_member {
	enum gg_state state;
	bool in_call;
	bool saved;
	bool reserved; /* the worker has confirmed that it knows the token */
	int64_t retry_us; /* when the next call may be sent */
	int64_t heard_us; /* it was alive then, or later */
	int64_t changed_us; /* of the last answer; older reports are stale */
	int64_t holds_until_us; /* without another call it holds nothing then */
};

struct gg;

/*
 * Asked of the owner. call() is answered by gg_answer() later, or never;
 * the others must not call back into the gang at once.
 */
struct gg_ops {
	void (*call)(struct gg *gg, int member, enum gg_verb verb);
	/* Sync with the member's worker soon. */
	void (*sync)(struct gg *gg, int member);
	void (*running)(struct gg *gg);
	/* Checkpoints of all members are complete, and they have stopped. */
	void (*saved)(struct gg *gg);
	/* No member holds anything any more. failed: a member or -1. */
	void (*gone)(struct gg *gg, enum gg_end end, int failed);
};

/* One attempt to run one gang. */
struct gg {
	const struct gg_ops *ops;
	struct gg_member *members;
	int count;
	enum gg_phase phase;
	int64_t deadline_us; /* of the phase, 0: none */
	int64_t go_until_us; /* no barrier lapses before */
	int failed; /* member whose task failed, or -1 */
	bool told_saved;
};

void gg_init(struct gg *gg, const struct gg_ops *ops);
void gg_finish(struct gg *gg);
void gg_start(struct gg *gg, int count, int64_t now_us);
void gg_adopt(struct gg *gg, const enum gg_state *states, int count, bool whole,
	      int64_t now_us);
void gg_checkpoint(struct gg *gg, int64_t now_us);
void gg_stop(struct gg *gg, int64_t now_us);
void gg_answer(struct gg *gg, int member, enum gg_verb verb, bool answered,
	       bool accepted, int64_t now_us);
void gg_report(struct gg *gg, int member, bool present, enum gg_state state,
	       bool saved, int64_t sent_us, int64_t now_us);
bool gg_renews(struct gg *gg, int member, int64_t now_us);
bool gg_goes(struct gg *gg, int member, int64_t now_us);
bool gg_busy(const struct gg *gg);
void gg_tick(struct gg *gg, int64_t now_us);

#endif
