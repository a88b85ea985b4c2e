#ifndef POLICY_GG_H
#define POLICY_GG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"

/* Fencing token: which leader's which try of which job. */
struct gg_token {
	uint64_t epoch;
	uint64_t job;
	uint32_t attempt;
};

/* Calls to a worker that concern one member of a gang. */
enum gg_op { GG_RESERVE, GG_COMMIT, GG_ABORT, GG_STOP, GG_OPS };

/* What a worker says of a member. */
enum gg_seen { GG_ABSENT, GG_RESERVED, GG_BARRIER, GG_RUNNING };

enum gg_state {
	GG_IDLE,
	GG_RESERVING,
	GG_COMMITTING,
	GG_GOING, /* all have committed: told to go, waits to see them run */
	GG_RUNS,
	GG_ADOPTING, /* after a takeover: waits for all reports */
	GG_ABORTING,
	GG_STOPPING,
	GG_GONE,
};

struct gg_member {
	int worker;
	enum gg_seen seen;
	bool answered; /* the call of the present state */
	bool reported; /* adopting */
	bool gone; /* known to run nothing of this gang, nor ever again */
	int64_t sent_us;
	int64_t renewed_us; /* last call that may have renewed a lease */
	int64_t confirmed_us; /* when it was asked that it runs, or 0 */
};

struct gg;

struct gg_ops {
	void (*send)(struct gg *gg, int member, enum gg_op op);
	void (*running)(struct gg *gg);
	/* All members are gone, for the reason given in gg->reason. */
	void (*gone)(struct gg *gg);
};

/* One try to run a gang, as its leader sees it. */
struct gg {
	const struct gg_ops *ops;
	struct gg_token token;
	struct gg_member *members; /* the owner's memory */
	int count;
	enum gg_state state;
	int64_t since_us;
	const char *reason;
	int failed_member; /* that refused or was lost, or -1 */
};

void gg_start(struct gg *gg, int64_t now_us);
void gg_adopt(struct gg *gg, int64_t now_us);
void gg_answer(struct gg *gg, int member, enum gg_op op, bool ok,
	       int64_t now_us);
void gg_report(struct gg *gg, int member, enum gg_seen seen, int64_t asked_us,
	       int64_t now_us);
bool gg_go(const struct gg *gg);
bool gg_renews(const struct gg *gg, int64_t now_us);
void gg_synced(struct gg *gg, int member, int64_t now_us);
void gg_stop(struct gg *gg, const char *reason, int64_t now_us);
void gg_lost(struct gg *gg, int member, int64_t now_us);
void gg_tick(struct gg *gg, int64_t now_us);

#endif
