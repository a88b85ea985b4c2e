#include "daemon/sched_int.h"

#include <string.h>

#include "base/err.h"

/* ---- sync ---- */

/* Ended tasks are reported until the worker is told to forget them. */
void sched_forget(struct sched *s, const struct sched_job *j)
{
	int i;

	for (i = 0; i < j->gg.count; i++)
		g_ptr_array_add(s->workers[j->gg.members[i].worker].forget,
				g_strdup(j->token));
}

static void note_state(struct sched_job *j, int member,
		       const struct wk_task *task, int64_t asked_us)
{
	enum gg_seen seen = GG_ABSENT;
	int64_t now_us = kn_now_us();

	j->member_state[member] = task->state + 1;
	if (task->state == WK_STOPPED && task->checkpointed)
		return; /* the others may still write */
	if (task->state == WK_FAILED && !j->failed) {
		j->failed = true;
		j->failed_on = j->gg.members[member].worker;
		gg_stop(&j->gg, "task failed", now_us);
		return;
	}
	if (task->state == WK_RESERVED)
		seen = GG_RESERVED;
	else if (task->state == WK_BARRIER)
		seen = GG_BARRIER;
	else if (task->state != WK_STOPPED && task->state != WK_FAILED)
		seen = GG_RUNNING;
	gg_report(&j->gg, member, seen, asked_us, now_us);
}

/* A task of no present gang is stopped, or forgotten when it has ended. */
static void orphan(struct sched *s, int worker, const struct wk_task *task)
{
	if (task->state >= WK_STOPPED)
		g_ptr_array_add(s->workers[worker].forget,
				g_strdup(task->token));
	else
		sched_send_verb(s, NULL, worker, task->token, WK_STOP, GG_STOP);
}

static bool reported(const struct wk_call *call, const char *token)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (strcmp(call->tasks[i].token, token) == 0)
			return true;
	return false;
}

/* Members that should be there but are not in the report. */
static void note_absent(struct sched *s, int worker, const struct wk_call *call,
			int64_t asked_us)
{
	struct cell_hold *hold;

	list_for_each_entry(hold, &s->sc.cell.workers[worker].holds, node) {
		struct sched_job *j = sched_of_job(hold->gang->user);
		int member = sched_member_on(j, worker);

		if (member >= 0 && !reported(call, j->token))
			gg_report(&j->gg, member, GG_ABSENT, asked_us,
				  kn_now_us());
	}
}

static void take_report(struct sched *s, int worker, struct wk_call *call,
			int64_t asked_us)
{
	size_t i;

	for (i = 0; i < call->count; i++) {
		const struct wk_task *task = &call->tasks[i];
		struct sched_job *j;
		int member;

		if (s->phase != PHASE_READY) {
			g_hash_table_insert(
				s->reported,
				g_strdup_printf("%d %s", worker, task->token),
				GINT_TO_POINTER(task->state + 1));
			continue;
		}
		j = sched_find_token(s, task->token);
		member = j ? sched_member_on(j, worker) : -1;
		if (member >= 0 && j->gg.state != GG_GONE)
			note_state(j, member, task, asked_us);
		else
			orphan(s, worker, task);
	}
	if (s->phase == PHASE_READY)
		note_absent(s, worker, call, asked_us);
}

static void sync_done(struct wk_call *call)
{
	struct sched_call *gc = container_of(call, struct sched_call, call);
	struct sched *s = gc->sched;
	struct sched_worker *w;

	if (gc->generation != s->generation)
		goto out;
	w = &s->workers[gc->worker];
	w->syncing = false;
	w->asked = true;
	if (sched_deposed(s, call))
		goto out;
	if (call->result != CB_OK) {
		w->failed_syncs++;
		if (w->failed_syncs >= SCHED_DEAD_SYNCS)
			sc_worker_live(&s->sc, gc->worker, false, kn_now_us());
		goto out;
	}
	w->failed_syncs = 0;
	take_report(s, gc->worker, call, gc->asked_us);
	sc_worker_live(&s->sc, gc->worker, true, kn_now_us());
out:
	sched_free_call(gc);
}

/* Sends one sync: renewals and goes of all gangs with a part there. */
void sched_sync(struct sched *s, int worker)
{
	struct sched_worker *w = &s->workers[worker];
	GPtrArray *renew = g_ptr_array_new(), *go = g_ptr_array_new();
	struct sched_call *gc = sched_new_call(s, worker, "", WK_SYNC);
	struct wk_request request = sched_new_request(s, gc);
	struct cell_hold *hold;

	list_for_each_entry(hold, &s->sc.cell.workers[worker].holds, node) {
		struct sched_job *j = sched_of_job(hold->gang->user);
		int member = sched_member_on(j, worker);

		if (member < 0 || !gg_go(&j->gg))
			continue;
		gg_synced(&j->gg, member, gc->asked_us);
		if (j->gg.state == GG_GOING)
			g_ptr_array_add(go, j->token);
		if (gg_renews(&j->gg, gc->asked_us))
			g_ptr_array_add(renew, j->token);
	}
	gc->forgotten = w->forget;
	w->forget = g_ptr_array_new_with_free_func(g_free);
	request.renew = (const char *const *)renew->pdata;
	request.renew_count = renew->len;
	request.go = (const char *const *)go->pdata;
	request.go_count = go->len;
	request.forget = (const char *const *)gc->forgotten->pdata;
	request.forget_count = gc->forgotten->len;
	request.term_ms = GG_LEASE_MS;
	w->syncing = true;
	w->soon = false;
	w->synced_us = gc->asked_us;
	s->edge->ops->start(s->edge, &gc->call, &request, sync_done);
	g_ptr_array_free(renew, TRUE);
	g_ptr_array_free(go, TRUE);
}
