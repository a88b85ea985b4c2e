#include "daemon/sched_int.h"

#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"

static struct sched *of_sc(struct sc *sc)
{
	return container_of(sc, struct sched, sc);
}

/* A token is "e<epoch>.<job>.<attempt>". */
static void make_token(struct sched_job *j)
{
	g_snprintf(j->token, sizeof(j->token), "e%" G_GUINT64_FORMAT ".%s.%d",
		   j->gg.token.epoch, j->jb.id, j->jb.attempt);
}

/* Returns the job whose present attempt has the token, or NULL. */
struct sched_job *sched_find_token(struct sched *s, const char *token)
{
	const char *from = strchr(token, '.'), *to = strrchr(token, '.');
	char id[JB_ID_BYTES];
	struct sched_job *j;

	if (!from || to <= from || to - from > JB_ID_BYTES)
		return NULL;
	g_strlcpy(id, from + 1, to - from);
	j = g_hash_table_lookup(s->jobs, id);
	return j && strcmp(j->token, token) == 0 ? j : NULL;
}

int sched_member_on(const struct sched_job *j, int worker)
{
	int i;

	for (i = 0; i < j->gg.count; i++)
		if (j->gg.members[i].worker == worker)
			return i;
	return -1;
}

/* ---- calls ---- */

static void call_done(struct wk_call *call);

void sched_free_call(struct sched_call *gc)
{
	list_del(&gc->call.node);
	if (gc->forgotten)
		g_ptr_array_free(gc->forgotten, TRUE);
	g_free(gc);
}

/* Frees the calls that the edge dropped when it was finished. */
void sched_drop_calls(struct sched *s)
{
	while (!list_empty(&s->calls))
		sched_free_call(container_of(
			list_first_entry(&s->calls, struct wk_call, node),
			struct sched_call, call));
}

struct sched_call *sched_new_call(struct sched *s, int worker,
				  const char *token, enum wk_verb verb)
{
	struct sched_call *gc = g_new0(struct sched_call, 1);

	gc->sched = s;
	gc->generation = s->generation;
	gc->worker = worker;
	gc->verb = verb;
	gc->asked_us = kn_now_us();
	list_add_tail(&gc->call.node, &s->calls);
	g_strlcpy(gc->token, token, sizeof(gc->token));
	return gc;
}

struct wk_request sched_new_request(const struct sched *s,
				    const struct sched_call *gc)
{
	struct wk_request request = {
		.verb = gc->verb,
		.addr = s->workers[gc->worker].at.addr,
		.port = s->workers[gc->worker].at.port,
		.epoch = s->epoch,
		.timeout_ms = SCHED_CALL_MS,
		.token = gc->token,
	};

	return request;
}

void sched_send_verb(struct sched *s, struct sched_job *j, int worker,
		     const char *token, enum wk_verb verb, enum gg_op op)
{
	struct sched_call *gc;
	struct wk_request request;
	int member;

	if (!sched_may_send(s))
		return;
	gc = sched_new_call(s, worker, token, verb);
	gc->op = op;
	request = sched_new_request(s, gc);
	if (verb == WK_RESERVE) {
		member = sched_member_on(j, worker);
		request.job = j->jb.id;
		request.accelerators = j->job.gang.holds[member].count;
		request.term_ms = RESERVATION_TERM_MS;
	} else if (verb == WK_COMMIT) {
		request.term_ms = GG_LEASE_MS;
	} else if (verb == WK_CHECKPOINT) {
		request.grace_ms =
			MAX(0, j->job.deadline_us - kn_now_us()) / 1000;
	}
	s->edge->ops->start(s->edge, &gc->call, &request, call_done);
}

static void gang_send(struct gg *gg, int member, enum gg_op op)
{
	static const enum wk_verb verbs[GG_OPS] = { WK_RESERVE, WK_COMMIT,
						    WK_ABORT, WK_STOP };
	struct sched_job *j = container_of(gg, struct sched_job, gg);

	sched_send_verb(j->sched, j, gg->members[member].worker, j->token,
			verbs[op], op);
}

/* A worker that has seen a later leader: this one must not go on. */
bool sched_deposed(struct sched *s, const struct wk_call *call)
{
	if (call->epoch <= s->epoch)
		return false;
	log_warn("scheduler.deposed",
		 "epoch=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT,
		 s->epoch, call->epoch);
	s->valid_until_us = 0;
	return true;
}

/*
 * Stop is refused for a token that the worker doesn't know; abort then
 * leaves a mark against a reserve that arrives late. Abort is refused for a
 * task that runs; it is stopped then.
 */
static void other_way(struct sched *s, const struct sched_call *gc)
{
	if (gc->verb == WK_STOP)
		sched_send_verb(s, NULL, gc->worker, gc->token, WK_ABORT,
				gc->op);
	else if (gc->verb == WK_ABORT)
		sched_send_verb(s, NULL, gc->worker, gc->token, WK_STOP,
				gc->op);
}

static void call_done(struct wk_call *call)
{
	struct sched_call *gc = container_of(call, struct sched_call, call);
	struct sched *s = gc->sched;
	struct sched_job *j = NULL;
	bool ok = call->result == CB_OK;
	int member;

	if (gc->generation == s->generation && !sched_deposed(s, call)) {
		if (call->result == CB_E_CONFLICT &&
		    (gc->verb == WK_STOP || gc->verb == WK_ABORT))
			other_way(s, gc);
		else if (ok || call->result == CB_E_CONFLICT)
			j = sched_find_token(s, gc->token);
	}
	member = j ? sched_member_on(j, gc->worker) : -1;
	if (member >= 0 && gc->verb != WK_CHECKPOINT)
		gg_answer(&j->gg, member, gc->op, ok, kn_now_us());
	sched_free_call(gc);
}

/* ---- gangs ---- */

static void gang_running(struct gg *gg)
{
	struct sched_job *j = container_of(gg, struct sched_job, gg);
	struct sched *s = j->sched;
	int i;

	sc_running(&s->sc, &j->job, kn_now_us());
	jb_clear_places(&j->jb);
	for (i = 0; i < j->job.gang.hold_count; i++) {
		const struct cell_hold *h = &j->job.gang.holds[i];
		bool owned = j->job.gang.kind == CELL_OWNED;

		jb_add_place(&j->jb, s->workers[h->worker].at.name, h->count,
			     owned ? h->cover : -1);
	}
	sched_note(s, j, JB_RUNNING, "all members run");
	sched_write(j);
}

static void gang_gone(struct gg *gg)
{
	container_of(gg, struct sched_job, gg)->gone = true;
}

static const struct gg_ops gang_ops = { .send = gang_send,
					.running = gang_running,
					.gone = gang_gone };

void sched_make_members(struct sched *s, struct sched_job *j, uint64_t epoch)
{
	int i, n = j->job.gang.hold_count;

	g_free(j->gg.members);
	g_free(j->member_state);
	j->gg = (struct gg){ .ops = &gang_ops, .count = n };
	j->gg.token.epoch = epoch;
	j->gg.token.attempt = j->jb.attempt;
	j->gg.members = g_new0(struct gg_member, n);
	j->member_state = g_new0(uint8_t, n);
	for (i = 0; i < n; i++)
		j->gg.members[i].worker = j->job.gang.holds[i].worker;
	j->saved = j->failed = j->done = j->gone = false;
	make_token(j);
}

static void op_start(struct sc *sc, struct sc_job *job)
{
	struct sched *s = of_sc(sc);
	struct sched_job *j = sched_of_job(job);

	j->jb.attempt++;
	sched_make_members(s, j, s->epoch);
	sched_note(s, j, JB_RESERVED, "place found");
	ctr_add(&s->starts, 1);
	gg_start(&j->gg, kn_now_us());
}

static void op_checkpoint(struct sc *sc, struct sc_job *job)
{
	struct sched_job *j = sched_of_job(job);
	int i;

	sched_note(j->sched, j, JB_CHECKPOINTING, "displaced");
	ctr_add(&j->sched->displaced, 1);
	for (i = 0; i < j->gg.count; i++)
		sched_send_verb(j->sched, j, j->gg.members[i].worker, j->token,
				WK_CHECKPOINT, GG_STOP);
}

static void op_stop(struct sc *sc, struct sc_job *job, const char *reason)
{
	struct sched_job *j = sched_of_job(job);

	if (j->gg.state == GG_GONE || j->gg.state == GG_IDLE)
		j->gone = true;
	else
		gg_stop(&j->gg, reason, kn_now_us());
}

static void op_queued(struct sc *sc, struct sc_job *job, const char *reason)
{
	struct sched_job *j = sched_of_job(job);

	j->jb.attained_us = job->attained_us;
	if (j->jb.state == JB_RUNNING || j->jb.state == JB_CHECKPOINTING)
		sched_note(j->sched, j, JB_STOPPED, reason);
	sched_note(j->sched, j, JB_QUEUED, reason);
}

static void op_ended(struct sc *sc, struct sc_job *job, enum sc_end end,
		     const char *reason)
{
	static const enum jb_state states[] = { JB_DONE, JB_FAILED,
						JB_CANCELLED };
	struct sched_job *j = sched_of_job(job);

	j->jb.attained_us = job->attained_us;
	sched_note(j->sched, j, states[end], reason);
	sched_write(j);
}

static void op_broken(struct sc *sc, bool broken)
{
	ev_emit(broken ? "guarantee.broken" : "guarantee.restored",
		"racks_missing=%d workers_missing=%d accelerators_missing=%d "
		"cells_in_use=%d",
		gs_missing(&sc->gs, CELL_RACK),
		gs_missing(&sc->gs, CELL_WORKER),
		gs_missing(&sc->gs, CELL_ACCELERATOR), sc->gs.broken_cells);
}

const struct sc_ops sched_sc_ops = {
	.start = op_start,
	.checkpoint = op_checkpoint,
	.stop = op_stop,
	.queued = op_queued,
	.ended = op_ended,
	.broken = op_broken,
};

/* ---- tick ---- */

static bool all_members(const struct sched_job *j, enum wk_state state)
{
	int i;

	for (i = 0; i < j->gg.count; i++)
		if (j->member_state[i] != state + 1)
			return false;
	return j->gg.count > 0;
}

/* The gang runs nowhere: tells the scheduler why. */
static void finish_gang(struct sched *s, struct sched_job *j, int64_t now_us)
{
	j->gone = false;
	sched_forget(s, j);
	if (j->job.state == SC_IDLE)
		sc_submit(&s->sc, &j->job, now_us);
	else if (j->failed)
		sc_failed(&s->sc, &j->job, j->failed_on, now_us);
	else
		sc_left(&s->sc, &j->job, now_us);
}

/* The places are free when all members that can be reached are gone. */
static void free_places(struct sched *s, struct sched_job *j)
{
	int i;

	for (i = 0; i < j->gg.count; i++)
		if (!j->gg.members[i].gone &&
		    s->sc.live[j->gg.members[i].worker])
			return;
	sc_freed(&s->sc, &j->job);
}

static void want_sync(struct sched *s, const struct sched_job *j)
{
	int i;

	for (i = 0; i < j->gg.count; i++) {
		struct sched_worker *w = &s->workers[j->gg.members[i].worker];

		w->soon = true;
		if (j->gg.state == GG_GOING && w->synced_us < j->gg.since_us)
			w->synced_us = 0;
	}
}

static void tick_job(struct sched *s, struct sched_job *j, int64_t now_us)
{
	if (j->gg.state != GG_IDLE && j->gg.state != GG_GONE) {
		if (all_members(j, WK_DONE)) {
			j->gg.state = GG_GONE;
			sched_forget(s, j);
			sc_done(&s->sc, &j->job, now_us);
			return;
		}
		if (j->job.state == SC_LEAVING && all_members(j, WK_STOPPED))
			sc_saved(&s->sc, &j->job, now_us);
		gg_tick(&j->gg, now_us);
	}
	if (j->gg.state == GG_GOING || j->gg.state == GG_ADOPTING ||
	    j->job.state == SC_LEAVING)
		want_sync(s, j);
	if (j->gone)
		finish_gang(s, j, now_us);
	else if (j->job.state == SC_STOPPING && j->gg.state == GG_STOPPING)
		free_places(s, j);
	if (j->dirty && !j->writing)
		sched_write(j);
}

/* Moves all gangs on; jobs are collected first, since they may change. */
void sched_gang_tick(struct sched *s, int64_t now_us)
{
	GList *jobs = g_hash_table_get_values(s->jobs), *at;

	for (at = jobs; at; at = at->next) {
		struct sched_job *j = at->data;

		if (!jb_ended(j->jb.state) || j->dirty)
			tick_job(s, j, now_us);
	}
	g_list_free(jobs);
}
