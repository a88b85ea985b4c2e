#ifndef TESTS_WM_RULES_H
#define TESTS_WM_RULES_H

#include "policy/gg.h"

#define WM_TASKS_MAX 2
#define WM_ENDED_MAX 4

/* One member of a gang on a worker. */
struct wm_task {
	struct gg_token token;
	int count; /* accelerators */
	enum gg_seen state; /* GG_ABSENT: the slot is free */
	int64_t until_us; /* end of reservation, barrier or lease */
};

/* The rules of a worker's agent, without input and output. */
struct wm_rules {
	int accelerators;
	uint64_t epoch; /* the newest seen */
	struct wm_task tasks[WM_TASKS_MAX];
	/* Tokens that ended here and must not start again. */
	struct gg_token ended[WM_ENDED_MAX];
	int ended_count;
};

enum wm_result { WM_OK, WM_STALE, WM_NO_ROOM, WM_UNKNOWN };

void wm_rules_init(struct wm_rules *rules, int accelerators);
bool wm_epoch(struct wm_rules *rules, uint64_t epoch);
struct wm_task *wm_find(struct wm_rules *rules, const struct gg_token *token);
enum wm_result wm_call(struct wm_rules *rules, enum gg_op op, uint64_t epoch,
		       const struct gg_token *token, int count, int64_t now_us);
/* One entry of a sync: passes the barrier, or renews the lease. */
void wm_sync(struct wm_rules *rules, const struct gg_token *token, bool go,
	     bool renew, int64_t now_us);
/* Ends what has run out of time; returns whether anything ended. */
bool wm_expire(struct wm_rules *rules, int64_t now_us);
void wm_end(struct wm_rules *rules, struct wm_task *task);

#endif
