#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/ev.h"
#include "daemon/jobs/sched_int.h"

/*
 * Restores the state when this host begins to lead. Whether all members of a
 * job run is decided from the tokens that the workers report, because the
 * job's record may be out of date.
 */

/* The reports of all workers about one attempt, that is, about one token. */
struct attempt {
	struct sched *s;
	char token[AGENT_TOKEN_BYTES];
	char job[NAME_MAX_BYTES];
	GArray *members; /* struct member */
};

struct member {
	int worker;
	int accelerators;
	enum gang_start_state state;
	int64_t ran_ms;
};

static void attempt_free(gpointer data)
{
	struct attempt *attempt = data;

	g_array_free(attempt->members, TRUE);
	g_free(attempt);
}

static void add_member(GHashTable *attempts, struct sched_worker *w,
		       const struct agent_task *task)
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
	struct attempt *attempt = g_hash_table_lookup(attempts, task->token);
	struct member member = { w->index, task->accelerators,
				 states[task->state], task->ran_ms };

	if (!attempt) {
		attempt = g_new0(struct attempt, 1);
		g_strlcpy(attempt->token, task->token, sizeof(attempt->token));
		g_strlcpy(attempt->job, task->job, sizeof(attempt->job));
		attempt->members =
			g_array_new(FALSE, TRUE, sizeof(struct member));
		g_hash_table_insert(attempts, attempt->token, attempt);
	}
	g_array_append_val(attempt->members, member);
}

static GHashTable *collect_attempts(struct sched *s)
{
	GHashTable *attempts = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, attempt_free);
	unsigned int i;
	size_t j;

	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];

		for (j = 0; j < w->task_count; j++)
			add_member(attempts, w, &w->tasks[j]);
	}
	return attempts;
}

static const struct member *member_at(const struct attempt *attempt,
				      unsigned int i)
{
	return &g_array_index(attempt->members, struct member, i);
}

static int total_accelerators(const struct attempt *attempt)
{
	unsigned int i;
	int n = 0;

	for (i = 0; i < attempt->members->len; i++)
		n += member_at(attempt, i)->accelerators;
	return n;
}

/* Whether some member may still run, or ran to its end. */
static bool has_unstopped_member(const struct attempt *attempt)
{
	unsigned int i;

	for (i = 0; i < attempt->members->len; i++)
		if (member_at(attempt, i)->state != GANG_START_STOPPED)
			return true;
	return false;
}

/* Returns the attempt number, the last part of a token. */
static uint64_t attempt_number(const char *token)
{
	const char *dot = strrchr(token, '.');

	return dot ? strtoull(dot + 1, NULL, 10) : 0;
}

static bool is_newer(const struct attempt *a, const struct attempt *b)
{
	uint64_t x = strtoull(a->token, NULL, 10);
	uint64_t y = strtoull(b->token, NULL, 10);

	return x != y ? x > y :
			attempt_number(a->token) > attempt_number(b->token);
}

/*
 * Returns the newest attempt of each job. Tasks of older attempts are stopped
 * at the next sync, like those of unknown jobs.
 */
static GHashTable *newest_by_job(GHashTable *attempts)
{
	GHashTable *by_job = g_hash_table_new(g_str_hash, g_str_equal);
	struct attempt *attempt, *other;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt = value;
		if (!has_unstopped_member(attempt))
			continue;
		other = g_hash_table_lookup(by_job, attempt->job);
		if (!other || is_newer(attempt, other))
			g_hash_table_replace(by_job, attempt->job, attempt);
	}
	return by_job;
}

/*
 * Adds a member for each worker that the record names and that has not
 * answered: the worker may still run its task, until the lease expires.
 */
static void add_unanswered(struct sched_job *job, struct attempt *attempt)
{
	unsigned int last;
	int i;

	for (i = 0; i < job->entry.allocation_count; i++) {
		const struct job_entry_allocation *place =
			&job->entry.allocations[i];
		struct sched_worker *w =
			sched_find_worker(job->s, place->worker);
		struct member member = { 0, place->count, GANG_START_BARRIER,
					 0 };

		if (!w || w->answered)
			continue;
		member.worker = w->index;
		last = attempt->members->len;
		if (last && member_at(attempt, last - 1)->worker == w->index)
			g_array_index(attempt->members, struct member, last - 1)
				.accelerators += place->count;
		else
			g_array_append_val(attempt->members, member);
	}
}

static void token_of(const struct job_entry *entry,
		     char token[AGENT_TOKEN_BYTES])
{
	snprintf(token, AGENT_TOKEN_BYTES, "%" PRIu64 ".%s.%d", entry->epoch,
		 entry->id, entry->attempt);
}

/*
 * Restores the holds of a complete gang from its record. Without this,
 * accelerators that a guarantee covers would count as borrowed and could be
 * reclaimed from their owner. Returns false if the record does not match the
 * attempt, because it is older.
 */
static bool restore_recorded_holds(struct sched_job *job,
				   const struct attempt *attempt)
{
	struct cell_gang *gang = &job->policy.gang;
	char token[AGENT_TOKEN_BYTES];
	struct sched_worker *w;
	int i, n = 0;

	token_of(&job->entry, token);
	for (i = 0; i < job->entry.allocation_count; i++) {
		if (!sched_find_worker(job->s,
				       job->entry.allocations[i].worker))
			return false;
		n += job->entry.allocations[i].count;
	}
	if (strcmp(token, attempt->token) != 0 || n != job->entry.accelerators)
		return false;
	for (i = 0; i < job->entry.allocation_count; i++) {
		const struct job_entry_allocation *place =
			&job->entry.allocations[i];
		bool owned = place->cover != JOB_ENTRY_BORROWED;

		w = sched_find_worker(job->s, place->worker);
		if (owned)
			gang->kind = CELL_OWNED;
		cell_gang_add(gang, w->index, place->count,
			      owned ? (enum cell_unit)place->cover :
				      CELL_UNITS);
	}
	return true;
}

/*
 * The state of a job whose attempt was adopted. A gang that has to be stopped,
 * because a member is missing or still waits at the barrier, has begun only if
 * its record says so of this attempt.
 */
static enum job_entry_state adopted_state(const struct sched_job *job)
{
	char recorded[AGENT_TOKEN_BYTES];

	if (job->gang_start.phase < GANG_START_PHASE_STOP)
		return JOB_ENTRY_RUNNING;
	token_of(&job->entry, recorded);
	if ((job->entry.state == JOB_ENTRY_RUNNING ||
	     job->entry.state == JOB_ENTRY_CHECKPOINTING) &&
	    strcmp(recorded, job->token) == 0)
		return job->entry.state;
	return JOB_ENTRY_RESERVED;
}

/* Takes over all members of an attempt, complete or not. */
static void adopt(struct sched_job *job, struct attempt *attempt,
		  int64_t now_us)
{
	struct sched *s = job->s;
	bool complete = total_accelerators(attempt) == job->entry.accelerators;
	bool recorded = complete && restore_recorded_holds(job, attempt);
	unsigned int n, i;
	enum gang_start_state *states;
	enum job_entry_state state;
	int64_t ran_ms = 0;

	if (!complete)
		add_unanswered(job, attempt);
	n = attempt->members->len;
	states = g_new(enum gang_start_state, n);
	job->workers = g_new(int, n);
	job->counts = g_new(int, n);
	for (i = 0; i < n; i++) {
		const struct member *member = member_at(attempt, i);

		states[i] = member->state;
		job->workers[i] = member->worker;
		job->counts[i] = member->accelerators;
		ran_ms = MAX(ran_ms, member->ran_ms);
		if (!recorded)
			cell_gang_add(&job->policy.gang, member->worker,
				      member->accelerators, CELL_UNITS);
	}
	g_strlcpy(job->token, attempt->token, sizeof(job->token));
	g_hash_table_insert(s->tokens, job->token, job);
	scheduler_adopt(&s->policy, &job->policy, now_us);
	job->policy.started_us = now_us - ran_ms * USEC_PER_MSEC;
	gang_start_adopt(&job->gang_start, states, (int)n, complete, now_us);
	list_add_tail(&job->ticking, &s->ticking);
	g_free(states);
	ev_emit("gang.adopted", "job=%s token=%s whole=%d phase=%d",
		job->entry.id, job->token, complete, job->gang_start.phase);
	state = adopted_state(job);
	if (job->entry.state != state) {
		job->entry.state = state;
		sched_write(job);
	}
}

/*
 * Whether the job runs according to its record, and a worker that the record
 * names has not answered. Asked only if no worker reports the job.
 */
static bool may_run_unreported(const struct sched_job *job)
{
	int i;

	if (job->entry.state != JOB_ENTRY_RUNNING)
		return false;
	for (i = 0; i < job->entry.allocation_count; i++) {
		struct sched_worker *w = sched_find_worker(
			job->s, job->entry.allocations[i].worker);

		if (w && !w->answered)
			return true;
	}
	return false;
}

static void queue_job(struct sched_job *job, int64_t now_us)
{
	int64_t since_us = job->policy.submitted_us;

	scheduler_submit(&job->s->policy, &job->policy, now_us);
	/* The waiting time under earlier leaders counts. */
	job->policy.submitted_us = since_us;
	job->policy.queued_us = since_us;
	sched_job_set_state(job, JOB_ENTRY_QUEUED, "submitted");
}

static void restore_job(struct sched_job *job, GHashTable *by_job,
			int64_t now_us)
{
	struct sched *s = job->s;
	struct attempt *attempt;

	if (job_entry_is_final(job->entry.state)) {
		g_hash_table_insert(s->jobs, job->entry.id, job);
		job->policy.state = SCHEDULER_ENDED;
		sched_job_retain(job);
		return;
	}
	sched_job_register(job, now_us);
	attempt = g_hash_table_lookup(by_job, job->entry.id);
	if (!attempt && may_run_unreported(job)) {
		struct attempt unseen = { .members = g_array_new(
						  FALSE, TRUE,
						  sizeof(struct member)) };

		token_of(&job->entry, unseen.token);
		adopt(job, &unseen, now_us);
		g_array_free(unseen.members, TRUE);
	} else if (attempt) {
		adopt(job, attempt, now_us);
	} else {
		queue_job(job, now_us);
	}
}

static int by_submission(gconstpointer a, gconstpointer b)
{
	const struct sched_job *x = *(struct sched_job *const *)a;
	const struct sched_job *y = *(struct sched_job *const *)b;

	if (x->entry.submitted_wall_us != y->entry.submitted_wall_us)
		return x->entry.submitted_wall_us < y->entry.submitted_wall_us ?
			       -1 :
			       1;
	return strcmp(x->entry.id, y->entry.id);
}

/*
 * Whether all records are read and all workers have answered. Workers are
 * waited for at most SCHED_RECOVER_MS.
 */
bool sched_takeover_ready(struct sched *s, int64_t now_us)
{
	unsigned int i;

	if (!s->loaded)
		return false;
	if (now_us - s->takeover_us >= SCHED_RECOVER_MS * USEC_PER_MSEC)
		return true;
	for (i = 0; i < s->workers->len; i++)
		if (!((struct sched_worker *)s->workers->pdata[i])->answered)
			return false;
	return true;
}

/*
 * Adopts jobs whose gangs run completely, stops incomplete gangs, and queues
 * the other jobs. Workers that have not answered do not count as live.
 */
void sched_take_over(struct sched *s, int64_t now_us)
{
	GHashTable *attempts = collect_attempts(s);
	GHashTable *by_job = newest_by_job(attempts);
	unsigned int i;

	s->phase = SCHED_ON;
	g_ptr_array_sort(s->records, by_submission);
	for (i = 0; i < s->records->len; i++)
		restore_job(s->records->pdata[i], by_job, now_us);
	g_ptr_array_set_size(s->records, 0);
	sched_apply_removals(s, now_us);
	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];

		if (!w->answered)
			scheduler_set_worker_live(&s->policy, w->index, false,
						  now_us);
		g_clear_pointer(&w->tasks, g_free);
		w->task_count = 0;
		w->next_sync_us = now_us;
	}
	g_hash_table_destroy(by_job);
	g_hash_table_destroy(attempts);
	s->dirty = true;
	ev_emit("scheduler.ready", "epoch=%" PRIu64 " jobs=%u workers=%u",
		s->epoch, g_hash_table_size(s->jobs), s->workers->len);
}
