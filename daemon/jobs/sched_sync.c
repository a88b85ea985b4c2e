#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/jobs/sched_int.h"
#include "policy/placing.h"

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

/* The document. */

struct sched_worker *sched_find_worker(struct sched *s, const char *name)
{
	unsigned int i = s->workers->len;

	/* The last one wins: earlier ones of that name have left the pool. */
	while (i-- > 0) {
		struct sched_worker *w = s->workers->pdata[i];

		if (strcmp(w->config.name, name) == 0)
			return w;
	}
	return NULL;
}

static void add_worker(struct sched *s, const struct doc_worker *config)
{
	int index = scheduler_add_worker(&s->policy, config->rack,
					 config->accelerators);
	struct sched_worker *w;

	if (index < 0) {
		log_warn("worker.unusable", "worker=%s rack=%d accelerators=%d",
			 config->name, config->rack, config->accelerators);
		return;
	}
	w = g_new0(struct sched_worker, 1);
	w->s = s;
	w->config = *config;
	w->index = index;
	w->in_pool = true;
	w->last_report_us = kn_now_us();
	w->forget = g_ptr_array_new_with_free_func(g_free);
	w->forgetting = g_ptr_array_new_with_free_func(g_free);
	w->orphans = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(s->workers, w);
	/* A new worker becomes live with its first answer. */
	if (s->phase == SCHED_ON)
		scheduler_set_worker_live(&s->policy, index, false,
					  kn_now_us());
}

static void leave_pool(struct sched_worker *w)
{
	w->in_pool = false;
	scheduler_set_worker_live(&w->s->policy, w->index, false, kn_now_us());
}

static int by_name(const void *name, const void *worker)
{
	return strcmp(name, ((const struct doc_worker *)worker)->name);
}

static const struct doc_worker *pool_worker(const struct doc_pool *pool,
					    const char *name)
{
	return pool ? bsearch(name, pool->workers, pool->worker_count,
			      sizeof(*pool->workers), by_name) :
		      NULL;
}

/* A worker whose size or rack changed is treated as a different worker. */
static bool same_place(const struct sched_worker *w,
		       const struct doc_worker *config)
{
	return config && config->rack == w->config.rack &&
	       config->accelerators == w->config.accelerators;
}

static void apply_pool(struct sched *s)
{
	const struct doc_pool *pool = doc_view_pool(s->view, s->set->dc);
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;
	size_t j;

	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];
		const struct doc_worker *config =
			pool_worker(pool, w->config.name);

		if (!w->in_pool)
			continue;
		if (same_place(w, config)) {
			w->config = *config;
			g_hash_table_add(known, w->config.name);
		} else {
			leave_pool(w);
		}
	}
	for (j = 0; pool && j < pool->worker_count; j++)
		if (!g_hash_table_contains(known, pool->workers[j].name))
			add_worker(s, &pool->workers[j]);
	g_hash_table_destroy(known);
}

/* Returns the index of a customer, which is added if it is unknown. */
int sched_customer_index(struct sched *s, const char *name)
{
	unsigned int i;

	for (i = 0; i < s->customers->len; i++)
		if (strcmp(s->customers->pdata[i], name) == 0)
			return (int)i;
	g_ptr_array_add(s->customers, g_strdup(name));
	return scheduler_add_customer(&s->policy);
}

static void apply_customer(struct sched *s, const struct doc_customer *c,
			   int64_t now_us)
{
	int units[CELL_UNITS] = { 0 };
	size_t i;

	for (i = 0; i < c->guarantee_count; i++)
		if (strcmp(c->guarantees[i].dc, s->set->dc) == 0)
			units[c->guarantees[i].unit] += c->guarantees[i].count;
	scheduler_set_customer(&s->policy, sched_customer_index(s, c->name),
			       c->weight, c->quota_accelerators, units, now_us);
}

static bool stops_on_removal(const struct doc_view *old, const char *name)
{
	const struct doc_customer *c =
		old ? doc_view_customer(old, name) : NULL;

	return c && c->stop_on_removal;
}

static void apply_customers(struct sched *s, const struct doc_view *old)
{
	int64_t now_us = kn_now_us();
	unsigned int i;
	size_t j;

	for (j = 0; j < s->view->customer_count; j++)
		apply_customer(s, &s->view->customers[j], now_us);
	for (i = 0; i < s->customers->len; i++) {
		const char *name = s->customers->pdata[i];

		if (!doc_view_customer(s->view, name))
			scheduler_remove_customer(&s->policy, (int)i,
						  stops_on_removal(old, name),
						  now_us);
	}
}

/*
 * Updates the jobs' copies of on_removal. All jobs are scanned, but only if
 * the setting of some customer has changed.
 */
static void apply_removal_rules(struct sched *s, const struct doc_view *old)
{
	GHashTableIter iter;
	bool changed = false;
	gpointer job;
	size_t i;

	for (i = 0; i < s->view->customer_count && !changed; i++)
		changed = s->view->customers[i].stop_on_removal !=
			  stops_on_removal(old, s->view->customers[i].name);
	if (!changed)
		return;
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &job))
		sched_job_update_removal(job);
}

/*
 * Cancels jobs of removed customers that the previous leader did not get to
 * cancel: all waiting jobs, and running jobs whose record has
 * stop_on_removal.
 */
void sched_apply_removals(struct sched *s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sched_job *job = value;

		if (job->entry.stop_on_removal &&
		    !job_entry_is_final(job->entry.state) &&
		    !doc_view_customer(s->view, job->entry.customer))
			sched_job_cancel(job, now_us);
	}
	apply_customers(s, NULL);
}

/* Creates the policy for the current document. */
void sched_build_policy(struct sched *s)
{
	scheduler_init(&s->policy, &sched_policy_ops,
		       placing_worker_size(doc_view_pool(s->view, s->set->dc)),
		       WORKERS_PER_RACK);
	s->have_policy = true;
	apply_customers(s, NULL);
	apply_pool(s);
}

/*
 * Whether the size of a whole worker in the pool differs from the size that
 * the policy was created with. A cell cannot change its worker size, so the
 * policy must be created again.
 */
bool sched_worker_size_changed(const struct sched *s)
{
	const struct doc_pool *pool = doc_view_pool(s->view, s->set->dc);

	return pool && pool->worker_count > 0 &&
	       placing_worker_size(pool) != s->policy.cell.worker_size;
}

/* Applies s->view, which has replaced old. Drops the reference to old. */
void sched_apply_view(struct sched *s, struct doc_view *old)
{
	apply_pool(s);
	apply_customers(s, old);
	apply_removal_rules(s, old);
	doc_view_unref(old);
	s->dirty = true;
}

/* Syncs. */

static int64_t jitter_us(struct sched *s)
{
	int64_t period_us = MS(WORKER_SYNC_MS);
	int64_t span_us = period_us * SCHED_JITTER_PERCENT / 100;

	return period_us - (int64_t)(g_rand_double(s->rand) * (double)span_us);
}

void sched_sync_soon(struct sched_worker *w)
{
	w->next_sync_us =
		MIN(w->next_sync_us, w->sync_sent_us + MS(GANG_SYNC_MS));
	sched_wake(w->s);
}

static void report_member(struct sched_worker *w, struct sched_job *job,
			  const struct agent_task *task, int64_t now_us)
{
	static const enum gang_start_state states[AGENT_STATES] = {
		[AGENT_RESERVED] = GANG_START_RESERVED,
		[AGENT_BARRIER] = GANG_START_BARRIER,
		[AGENT_RUNNING] = GANG_START_RUNNING,
		[AGENT_CHECKPOINTING] = GANG_START_CHECKPOINTING,
		[AGENT_STOPPED] = GANG_START_STOPPED,
		[AGENT_DONE] = GANG_START_DONE,
		[AGENT_FAILED] = GANG_START_FAILED,
	};
	int member = sched_gang_member(job, w->index);

	if (member < 0)
		return;
	gang_start_report(&job->gang_start, member, task != NULL,
			  task ? states[task->state] : GANG_START_UNKNOWN,
			  task && task->checkpointed, w->sync_sent_us, now_us);
	if (list_empty(&job->ticking))
		list_add_tail(&job->ticking, &w->s->ticking);
}

/*
 * Whether a job has ended and its record is still to be written. Until then
 * the workers must keep reporting the ended task, because a new leader learns
 * of the end only from them and would otherwise run the job again.
 */
static bool end_unwritten(struct sched *s, const char *id)
{
	const struct sched_job *job = g_hash_table_lookup(s->jobs, id);

	return job && job_entry_is_final(job->entry.state) &&
	       (job->in_write || !list_empty(&job->write));
}

static void report_task(struct sched_worker *w, const struct agent_task *task,
			int64_t now_us)
{
	struct sched_job *job = g_hash_table_lookup(w->s->tokens, task->token);

	if (job && sched_gang_member(job, w->index) >= 0)
		report_member(w, job, task, now_us);
	else if (task->state >= AGENT_STOPPED &&
		 !end_unwritten(w->s, task->job))
		g_ptr_array_add(w->forget, g_strdup(task->token));
	else if (task->state < AGENT_STOPPED)
		sched_stop_orphan(w, task->token, task->state >= AGENT_RUNNING);
}

static bool reported(const struct agent_call *call, const char *token)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (strcmp(call->tasks[i].token, token) == 0)
			return true;
	return false;
}

/* Tells each gang with a hold here that the report lacks its token. */
static void report_absent(struct sched_worker *w, int64_t now_us)
{
	struct list_head *holds = &w->s->policy.cell.workers[w->index].holds;
	struct cell_hold *hold;

	list_for_each_entry(hold, holds, node) {
		struct scheduler_job *scheduler_job = hold->gang->user;
		struct sched_job *job =
			container_of(scheduler_job, struct sched_job, policy);

		if (job->token[0] && !reported(&w->call, job->token))
			report_member(w, job, NULL, now_us);
	}
}

static void on_report(struct sched_worker *w, int64_t now_us)
{
	size_t i;

	g_ptr_array_set_size(w->forgetting, 0);
	w->last_report_us = now_us;
	w->answered = true;
	if (w->s->phase == SCHED_READING) {
		g_free(w->tasks);
		w->tasks = g_memdup2(w->call.tasks,
				     w->call.count * sizeof(*w->tasks));
		w->task_count = w->call.count;
		return;
	}
	if (w->in_pool && !w->s->policy.live[w->index]) {
		ev_emit("worker.live", "worker=%s", w->config.name);
		scheduler_set_worker_live(&w->s->policy, w->index, true,
					  now_us);
		w->s->dirty = true;
	}
	for (i = 0; i < w->call.count; i++)
		report_task(w, &w->call.tasks[i], now_us);
	report_absent(w, now_us);
}

static void mark_lost(struct sched_worker *w, int64_t now_us)
{
	if (!w->s->policy.live[w->index])
		return;
	ev_emit("worker.lost", "worker=%s", w->config.name);
	scheduler_set_worker_live(&w->s->policy, w->index, false, now_us);
	w->s->dirty = true;
}

/*
 * Whether a claim waits for this worker: it holds a job that is displaced, or
 * an urgent job that is starting.
 */
static bool claim_waits(const struct sched_worker *w)
{
	struct list_head *holds = &w->s->policy.cell.workers[w->index].holds;
	struct cell_hold *hold;

	list_for_each_entry(hold, holds, node) {
		struct scheduler_job *scheduler_job = hold->gang->user;
		struct sched_job *job =
			container_of(scheduler_job, struct sched_job, policy);

		if (scheduler_job->displaced ||
		    (job->entry.urgent &&
		     scheduler_job->state == SCHEDULER_STARTING))
			return true;
	}
	return false;
}

/*
 * Handles a call that was not answered. A worker that a claim waits for is
 * marked lost after GANG_CLAIM_LOST_MS of failed calls, much earlier than by
 * check_silence(), so that the claim can move to other workers in time.
 */
void sched_call_unanswered(struct sched_worker *w, int64_t now_us)
{
	if (w->s->phase != SCHED_ON || !w->s->policy.live[w->index] ||
	    !claim_waits(w))
		return;
	if (!w->failing_since_us || w->last_report_us > w->failing_since_us)
		w->failing_since_us = now_us;
	else if (now_us - w->failing_since_us >= MS(GANG_CLAIM_LOST_MS))
		mark_lost(w, now_us);
	sched_sync_soon(w);
}

static void on_sync(struct agent_call *call)
{
	struct sched_worker *w = container_of(call, struct sched_worker, call);
	int64_t now_us = kn_now_us();
	unsigned int i;

	w->in_sync = false;
	if (call->epoch > w->s->epoch)
		ev_emit("scheduler.fenced",
			"worker=%s epoch=%" PRIu64 " newer=%" PRIu64,
			w->config.name, w->s->epoch, call->epoch);
	else if (call->result == CB_OK)
		on_report(w, now_us);
	if (call->result != CB_OK) {
		for (i = 0; i < w->forgetting->len; i++)
			g_ptr_array_add(w->forget,
					g_strdup(w->forgetting->pdata[i]));
		/*
		 * Retries after a fifth of the period: the answer may have
		 * been lost although the worker is alive.
		 */
		w->next_sync_us =
			MIN(w->next_sync_us, now_us + MS(WORKER_SYNC_MS) / 5);
		if (call->epoch <= w->s->epoch)
			sched_call_unanswered(w, now_us);
	}
}

static void add_token(GPtrArray *list, struct sched_job *job)
{
	g_ptr_array_add(list, job->token);
}

/* Collects the tokens to renew and those that may pass the barrier. */
static void collect_tokens(struct sched_worker *w, GPtrArray *renew,
			   GPtrArray *go, int64_t now_us)
{
	struct list_head *holds = &w->s->policy.cell.workers[w->index].holds;
	struct cell_hold *hold;

	list_for_each_entry(hold, holds, node) {
		struct scheduler_job *scheduler_job = hold->gang->user;
		struct sched_job *job =
			container_of(scheduler_job, struct sched_job, policy);
		int member = sched_gang_member(job, w->index);

		if (member < 0)
			continue;
		if (gang_start_may_renew(&job->gang_start, member, now_us))
			add_token(renew, job);
		if (gang_start_may_pass(&job->gang_start, member, now_us))
			add_token(go, job);
	}
}

static void start_sync(struct sched_worker *w, int64_t now_us)
{
	struct sched *s = w->s;
	GPtrArray *renew = g_ptr_array_new();
	GPtrArray *go = g_ptr_array_new();
	GPtrArray *swap = w->forget;
	struct agent_request request = {
		.verb = AGENT_SYNC,
		.addr = w->config.addr,
		.port = w->config.port,
		.epoch = s->epoch,
		.timeout_ms = GANG_CALL_MS,
		.term_ms = GANG_LEASE_MS,
	};

	g_ptr_array_set_size(w->forgetting, 0);
	w->forget = w->forgetting;
	w->forgetting = swap;
	if (s->phase == SCHED_ON)
		collect_tokens(w, renew, go, now_us);
	request.renew = (const char *const *)renew->pdata;
	request.renew_count = renew->len;
	request.go = (const char *const *)go->pdata;
	request.go_count = go->len;
	request.forget = (const char *const *)w->forgetting->pdata;
	request.forget_count = w->forgetting->len;
	w->in_sync = true;
	w->sync_sent_us = now_us;
	w->next_sync_us = now_us + jitter_us(s);
	ctr_add(&s->syncs, 1);
	s->client->ops->start(s->client, &w->call, &request, on_sync);
	g_ptr_array_free(renew, TRUE);
	g_ptr_array_free(go, TRUE);
}

static void check_silence(struct sched_worker *w, int64_t now_us)
{
	if (now_us - w->last_report_us > 2 * MS(WORKER_SYNC_MS))
		mark_lost(w, now_us);
}

/*
 * Workers that have left the pool are synced while jobs have holds on them,
 * so that their tasks are stopped.
 */
static bool needs_sync(const struct sched_worker *w)
{
	return w->in_pool ||
	       !list_empty(&w->s->policy.cell.workers[w->index].holds);
}

/* Must only be called while sched_may_act(). */
void sched_sync_tick(struct sched *s, int64_t now_us)
{
	unsigned int i;

	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];

		if (s->phase == SCHED_ON)
			check_silence(w, now_us);
		if (!w->in_sync && now_us >= w->next_sync_us && needs_sync(w))
			start_sync(w, now_us);
	}
}

/* Cancels all syncs and frees the workers. */
void sched_workers_free(struct sched *s)
{
	unsigned int i;

	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];

		if (w->in_sync)
			s->client->ops->cancel(s->client, &w->call);
		g_ptr_array_free(w->forget, TRUE);
		g_ptr_array_free(w->forgetting, TRUE);
		g_ptr_array_free(w->orphans, TRUE);
		g_free(w->tasks);
		g_free(w);
	}
	g_ptr_array_set_size(s->workers, 0);
}
