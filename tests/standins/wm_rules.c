#include "tests/standins/wm_rules.h"

#include <string.h>

static bool same(const struct gg_token *a, const struct gg_token *b)
{
	return a->epoch == b->epoch && a->job == b->job &&
	       a->attempt == b->attempt;
}

void wm_rules_init(struct wm_rules *rules, int accelerators)
{
	memset(rules, 0, sizeof(*rules));
	rules->accelerators = accelerators;
}

/* Returns false for a leader older than the newest one seen. */
bool wm_epoch(struct wm_rules *rules, uint64_t epoch)
{
	if (epoch < rules->epoch)
		return false;
	rules->epoch = epoch;
	return true;
}

struct wm_task *wm_find(struct wm_rules *rules, const struct gg_token *token)
{
	int i;

	for (i = 0; i < WM_TASKS_MAX; i++)
		if (rules->tasks[i].state != GG_ABSENT &&
		    same(&rules->tasks[i].token, token))
			return &rules->tasks[i];
	return NULL;
}

static bool has_ended(const struct wm_rules *rules,
		      const struct gg_token *token)
{
	int i;

	for (i = 0; i < rules->ended_count; i++)
		if (same(&rules->ended[i], token))
			return true;
	return false;
}

static void note_ended(struct wm_rules *rules, const struct gg_token *token)
{
	if (has_ended(rules, token))
		return;
	if (rules->ended_count == WM_ENDED_MAX)
		memmove(rules->ended, rules->ended + 1,
			sizeof(rules->ended[0]) * --rules->ended_count);
	rules->ended[rules->ended_count++] = *token;
}

void wm_end(struct wm_rules *rules, struct wm_task *task)
{
	note_ended(rules, &task->token);
	memset(task, 0, sizeof(*task));
}

static enum wm_result reserve(struct wm_rules *rules,
			      const struct gg_token *token, int count,
			      int64_t now_us)
{
	struct wm_task *free = NULL;
	int used = 0, i;

	if (has_ended(rules, token))
		return WM_UNKNOWN;
	if (wm_find(rules, token))
		return WM_OK;
	for (i = 0; i < WM_TASKS_MAX; i++) {
		if (rules->tasks[i].state == GG_ABSENT)
			free = &rules->tasks[i];
		else
			used += rules->tasks[i].count;
	}
	if (!free || used + count > rules->accelerators)
		return WM_NO_ROOM;
	free->token = *token;
	free->count = count;
	free->state = GG_RESERVED;
	free->until_us = now_us + RESERVATION_TERM_MS * USEC_PER_MSEC;
	return WM_OK;
}

/* Applies a call; each may be repeated with the same result. */
enum wm_result wm_call(struct wm_rules *rules, enum gg_op op, uint64_t epoch,
		       const struct gg_token *token, int count, int64_t now_us)
{
	struct wm_task *task;

	if (!wm_epoch(rules, epoch))
		return WM_STALE;
	wm_expire(rules, now_us);
	task = wm_find(rules, token);
	switch (op) {
	case GG_RESERVE:
		return reserve(rules, token, count, now_us);
	case GG_COMMIT:
		if (!task)
			return WM_UNKNOWN;
		if (task->state == GG_RESERVED) {
			task->state = GG_BARRIER;
			task->until_us =
				now_us + BARRIER_TERM_MS * USEC_PER_MSEC;
		}
		return WM_OK;
	default:
		if (task)
			wm_end(rules, task);
		else
			note_ended(rules, token);
		return WM_OK;
	}
}

void wm_sync(struct wm_rules *rules, const struct gg_token *token, bool go,
	     bool renew, int64_t now_us)
{
	struct wm_task *task = wm_find(rules, token);

	if (!task)
		return;
	if (task->state == GG_BARRIER && go)
		task->state = GG_RUNNING;
	else if (task->state != GG_RUNNING || !renew)
		return;
	task->until_us = now_us + GG_LEASE_MS * USEC_PER_MSEC;
}

bool wm_expire(struct wm_rules *rules, int64_t now_us)
{
	bool any = false;
	int i;

	for (i = 0; i < WM_TASKS_MAX; i++) {
		struct wm_task *task = &rules->tasks[i];

		if (task->state == GG_ABSENT || now_us < task->until_us)
			continue;
		wm_end(rules, task);
		any = true;
	}
	return any;
}
