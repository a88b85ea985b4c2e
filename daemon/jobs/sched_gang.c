#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "daemon/jobs/sched_int.h"

/* A call in progress to a worker about one token. */
struct token_call {
	struct list_head node;
	struct agent_call call;
	struct sched *s;
	struct sched_worker *worker;
	struct sched_job *job; /* NULL for an orphaned token */
	char token[AGENT_TOKEN_BYTES];
	int member;
	enum gang_start_verb verb;
};

static const enum agent_verb wire_verbs[] = {
	[GANG_START_RESERVE] = AGENT_RESERVE,
	[GANG_START_COMMIT] = AGENT_COMMIT,
	[GANG_START_ABORT] = AGENT_ABORT,
	[GANG_START_STOP] = AGENT_STOP,
	[GANG_START_CHECKPOINT] = AGENT_CHECKPOINT,
};

static struct sched_worker *worker_at(struct sched *s, int index)
{
	return s->workers->pdata[index];
}

/* Calls to workers. */

static void forget_orphan(struct sched_worker *w, const char *token)
{
	unsigned int i;

	for (i = 0; i < w->orphans->len; i++)
		if (strcmp(w->orphans->pdata[i], token) == 0)
			g_ptr_array_remove_index_fast(w->orphans, i--);
}

/*
 * A worker that has seen a newer epoch refuses the call because another host
 * leads now. The gang is then treated as if there was no answer.
 */
static void on_call(struct agent_call *call)
{
	struct token_call *c = container_of(call, struct token_call, call);
	struct sched *s = c->s;
	bool old = call->epoch > s->epoch;
	bool answered = !old && (call->result == CB_OK ||
				 call->result == CB_E_CONFLICT);
	struct sched_job *job = c->job;

	list_del(&c->node);
	if (old)
		ev_emit("scheduler.fenced",
			"worker=%s epoch=%" PRIu64 " newer=%" PRIu64,
			c->worker->config.name, s->epoch, call->epoch);
	if (job && strcmp(job->token, c->token) == 0)
		gang_start_answer(&job->gang_start, c->member, c->verb,
				  answered, call->result == CB_OK, kn_now_us());
	else if (!job)
		forget_orphan(c->worker, c->token);
	if (!old && !answered)
		sched_call_unanswered(c->worker, kn_now_us());
	sched_wake(s);
	g_free(c);
}

static int64_t term_ms(enum gang_start_verb verb)
{
	if (verb == GANG_START_RESERVE)
		return RESERVATION_TERM_MS;
	return verb == GANG_START_COMMIT ? GANG_LEASE_MS : 0;
}

/* Returns the time until the policy's deadline for the job, at least 1 ms. */
static int64_t grace_ms(const struct sched_job *job)
{
	int64_t left_us = job ? job->policy.deadline_us - kn_now_us() : 0;

	return MAX(1, left_us / USEC_PER_MSEC);
}

static void start_call(struct token_call *c)
{
	struct sched *s = c->s;
	struct sched_job *job = c->job;
	struct agent_request request = {
		.verb = wire_verbs[c->verb],
		.addr = c->worker->config.addr,
		.port = c->worker->config.port,
		.epoch = s->epoch,
		.timeout_ms = GANG_CALL_MS,
		.token = c->token,
		.job = job ? job->entry.id : "",
		.accelerators = job ? job->counts[c->member] : 0,
		.task = job ? job->entry.task : NULL,
		.term_ms = term_ms(c->verb),
		.grace_ms = grace_ms(job),
	};

	list_add_tail(&c->node, &s->agent_calls);
	s->client->ops->start(s->client, &c->call, &request, on_call);
}

/* Stops a task that a worker reports and that belongs to no known job. */
void sched_stop_orphan(struct sched_worker *w, const char *token, bool ran)
{
	struct token_call *c;
	unsigned int i;

	for (i = 0; i < w->orphans->len; i++)
		if (strcmp(w->orphans->pdata[i], token) == 0)
			return;
	if (!sched_may_act(w->s))
		return;
	g_ptr_array_add(w->orphans, g_strdup(token));
	ev_emit("gang.stray", "worker=%s token=%s", w->config.name, token);
	c = g_new0(struct token_call, 1);
	c->s = w->s;
	c->worker = w;
	c->verb = ran ? GANG_START_STOP : GANG_START_ABORT;
	g_strlcpy(c->token, token, sizeof(c->token));
	start_call(c);
}

/* Cancels all calls; the workers may still carry them out. */
void sched_calls_cancel(struct sched *s)
{
	struct token_call *c, *next;

	list_for_each_entry_safe(c, next, &s->agent_calls, node) {
		list_del(&c->node);
		s->client->ops->cancel(s->client, &c->call);
		g_free(c);
	}
}

/* Callbacks of struct gang_start. */

static void gang_call(struct gang_start *gang_start, int member,
		      enum gang_start_verb verb)
{
	struct sched_job *job =
		container_of(gang_start, struct sched_job, gang_start);
	struct sched *s = job->s;
	struct token_call *c;

	if (!sched_may_act(s)) {
		gang_start->members[member].call_pending = false;
		return;
	}
	c = g_new0(struct token_call, 1);
	c->s = s;
	c->job = job;
	c->worker = worker_at(s, job->workers[member]);
	c->member = member;
	c->verb = verb;
	g_strlcpy(c->token, job->token, sizeof(c->token));
	start_call(c);
}

static void gang_sync(struct gang_start *gang_start, int member)
{
	struct sched_job *job =
		container_of(gang_start, struct sched_job, gang_start);

	sched_sync_soon(worker_at(job->s, job->workers[member]));
}

static void gang_running(struct gang_start *gang_start)
{
	struct sched_job *job =
		container_of(gang_start, struct sched_job, gang_start);

	ctr_add(&job->s->starts, 1);
	job->entry.started_wall_us = kn_wall_us();
	sched_job_set_state(job, JOB_ENTRY_RUNNING, "all members run");
	sched_write(job);
	scheduler_running(&job->s->policy, &job->policy, kn_now_us());
}

static void gang_saved(struct gang_start *gang_start)
{
	struct sched_job *job =
		container_of(gang_start, struct sched_job, gang_start);

	scheduler_checkpoint_saved(&job->s->policy, &job->policy, kn_now_us());
}

static void gang_gone(struct gang_start *gang_start, enum gang_start_end end,
		      int failed)
{
	struct sched_job *job =
		container_of(gang_start, struct sched_job, gang_start);
	struct sched *s = job->s;
	int64_t now_us = kn_now_us();
	int worker = failed >= 0 ? job->workers[failed] : -1;

	list_del(&job->ticking);
	sched_gang_clear(job);
	s->dirty = true;
	if (end == GANG_START_END_DONE)
		scheduler_done(&s->policy, &job->policy, now_us);
	else if (end == GANG_START_END_FAILED)
		scheduler_failed(&s->policy, &job->policy, worker, now_us);
	else
		scheduler_gang_stopped(&s->policy, &job->policy, now_us);
	job->entry.attained_us = job->policy.attained_us;
}

static const struct gang_start_ops gang_ops = {
	.call = gang_call,
	.sync = gang_sync,
	.running = gang_running,
	.saved = gang_saved,
	.gone = gang_gone,
};

/* Members of a gang and their workers. */

void sched_gang_init(struct sched_job *job)
{
	gang_start_init(&job->gang_start, &gang_ops);
}

/* Ends an attempt; later answers and reports about its token are ignored. */
void sched_gang_clear(struct sched_job *job)
{
	if (job->token[0])
		g_hash_table_remove(job->s->tokens, job->token);
	job->token[0] = '\0';
	g_clear_pointer(&job->workers, g_free);
	g_clear_pointer(&job->counts, g_free);
}

/* Returns the index of the gang's member on a worker, or -1. */
int sched_gang_member(const struct sched_job *job, int worker)
{
	int i;

	for (i = 0; job->workers && i < job->gang_start.count; i++)
		if (job->workers[i] == worker)
			return i;
	return -1;
}

/*
 * Creates one member for each worker on which the gang has holds, and returns
 * the number of members. A worker has more than one hold if a guarantee
 * covers only a part of the accelerators.
 */
static int fill_members(struct sched_job *job)
{
	const struct cell_gang *gang = &job->policy.gang;
	int i, j, n = 0;

	job->workers = g_new0(int, gang->hold_count + 1);
	job->counts = g_new0(int, gang->hold_count + 1);
	for (i = 0; i < gang->hold_count; i++) {
		for (j = 0; j < n; j++)
			if (job->workers[j] == gang->holds[i].worker)
				break;
		if (j == n)
			job->workers[n++] = gang->holds[i].worker;
		job->counts[j] += gang->holds[i].count;
	}
	job_entry_clear_allocations(&job->entry);
	for (i = 0; i < gang->hold_count; i++)
		job_entry_add_allocation(
			&job->entry,
			worker_at(job->s, gang->holds[i].worker)->config.name,
			gang->holds[i].count,
			gang->kind == CELL_OWNED ? gang->holds[i].cover :
						   JOB_ENTRY_BORROWED);
	return n;
}

/* Starts an attempt on the workers on which the policy placed the job. */
void sched_gang_start(struct sched_job *job)
{
	struct sched *s = job->s;
	int n = fill_members(job);

	job->entry.epoch = s->epoch;
	job->entry.attempt = MAX(job->entry.attempt, s->attempt_base) + 1;
	snprintf(job->token, sizeof(job->token), "%" PRIu64 ".%s.%d", s->epoch,
		 job->entry.id, job->entry.attempt);
	g_hash_table_insert(s->tokens, job->token, job);
	list_add_tail(&job->ticking, &s->ticking);
	gang_start_start(&job->gang_start, n, kn_now_us());
	sched_wake(s);
}

void sched_gang_tick(struct sched *s, int64_t now_us)
{
	struct sched_job *job, *next;

	list_for_each_entry_safe(job, next, &s->ticking, ticking) {
		gang_start_tick(&job->gang_start, now_us);
		if (!gang_start_needs_tick(&job->gang_start))
			list_del(&job->ticking);
	}
}
