#include <string.h>

#include "base/ev.h"
#include "daemon/jobs/sched_int.h"

struct sched_job *sched_job_new(struct sched *s)
{
	struct sched_job *job = g_new0(struct sched_job, 1);

	job->s = s;
	job_entry_init(&job->entry);
	list_init(&job->ticking);
	list_init(&job->write);
	list_init(&job->ended);
	list_init(&job->policy.node);
	sched_gang_init(job);
	return job;
}

/* The job must have been removed from the policy and the hash tables. */
void sched_job_free(struct sched_job *job)
{
	list_del(&job->ticking);
	list_del(&job->write);
	list_del(&job->ended);
	sched_gang_clear(job);
	gang_start_finish(&job->gang_start);
	job_entry_finish(&job->entry);
	g_free(job);
}

static void change_state(struct sched_job *job, enum job_entry_state to,
			 const char *reason)
{
	enum job_entry_state from = job->entry.state;

	if (from == to || !job_entry_set_state(&job->entry, to, reason))
		return;
	ev_emit("job.state", "job=%s from=%s to=%s reason=\"%s\"",
		job->entry.id, job_entry_state_name(from),
		job_entry_state_name(to), job->entry.reason);
}

/*
 * Changes the state. If that is not allowed directly, as for a running job
 * that is queued again, the job passes through JOB_ENTRY_STOPPED.
 */
void sched_job_set_state(struct sched_job *job, enum job_entry_state to,
			 const char *reason)
{
	if (!job_entry_transition_allowed(job->entry.state, to) &&
	    job_entry_transition_allowed(job->entry.state, JOB_ENTRY_STOPPED))
		change_state(job, JOB_ENTRY_STOPPED, reason);
	change_state(job, to, reason);
}

/*
 * Copies the customer's on_removal setting into the job's record. A scheduler
 * that starts after the customer's section was deleted has no other source
 * for it.
 */
void sched_job_update_removal(struct sched_job *job)
{
	const struct doc_customer *c =
		doc_view_customer(job->s->view, job->entry.customer);

	if (!c || job_entry_is_final(job->entry.state) ||
	    c->stop_on_removal == job->entry.stop_on_removal)
		return;
	job->entry.stop_on_removal = c->stop_on_removal;
	sched_write(job);
}

/* Adds a job to the job table and initializes it for the policy. */
void sched_job_register(struct sched_job *job, int64_t now_us)
{
	struct sched *s = job->s;
	int64_t waited_us = kn_wall_us() - job->entry.submitted_wall_us;

	scheduler_job_init(&job->policy, ++s->next_id,
			   sched_customer_index(s, job->entry.customer),
			   job->entry.accelerators, job->entry.stoppable,
			   job->entry.urgent, job->entry.grace_ms > 0);
	job->policy.attained_us = job->entry.attained_us;
	job->policy.submitted_us = now_us - MAX(0, waited_us);
	g_hash_table_insert(s->jobs, job->entry.id, job);
	sched_job_update_removal(job);
}

/* Ended jobs. */

/* Keeps an ended job for API queries until sched_expire_ended(). */
void sched_job_retain(struct sched_job *job)
{
	int64_t ago_us = kn_wall_us() - job->entry.ended_wall_us;

	job->ended_us = kn_now_us() - MAX(0, ago_us);
	list_add_tail(&job->ended, &job->s->ended);
	job->s->ended_count++;
}

/*
 * Deletes the oldest ended jobs, also from the store, when they are older
 * than JOB_KEEP_MS or there are more than JOBS_ENDED_MAX.
 */
void sched_expire_ended(struct sched *s, int64_t now_us)
{
	struct sched_job *job;

	while (!list_empty(&s->ended)) {
		job = list_first_entry(&s->ended, struct sched_job, ended);
		if (s->ended_count <= JOBS_ENDED_MAX &&
		    now_us - job->ended_us < JOB_KEEP_MS * USEC_PER_MSEC)
			return;
		if (job->in_write || !list_empty(&job->write))
			return;
		sched_delete_record(s, job->entry.id);
		g_hash_table_remove(s->jobs, job->entry.id);
		s->ended_count--;
		sched_job_free(job);
	}
}

/*
 * Cancels a job. The cancellation is written to the record before the job has
 * stopped, so that a new leader does not continue the job.
 */
void sched_job_cancel(struct sched_job *job, int64_t now_us)
{
	if (job->cancelled || job_entry_is_final(job->entry.state))
		return;
	job->cancelled = true;
	job->s->dirty = true;
	sched_write(job);
	scheduler_cancel(&job->s->policy, &job->policy, now_us);
}

/* Callbacks of the policy. */

static struct sched_job *job_of(struct scheduler_job *job)
{
	return container_of(job, struct sched_job, policy);
}

static struct sched *sched_of(struct scheduler *policy)
{
	return container_of(policy, struct sched, policy);
}

static void on_start(struct scheduler *policy, struct scheduler_job *job)
{
	sched_job_set_state(job_of(job), JOB_ENTRY_RESERVED, "placed");
	sched_gang_start(job_of(job));
}

static void on_checkpoint(struct scheduler *policy,
			  struct scheduler_job *scheduler_job)
{
	struct sched_job *job = job_of(scheduler_job);

	sched_job_set_state(job, JOB_ENTRY_CHECKPOINTING, "displaced");
	gang_start_checkpoint(&job->gang_start, kn_now_us());
	if (list_empty(&job->ticking))
		list_add_tail(&job->ticking, &job->s->ticking);
	sched_wake(job->s);
}

static void on_stop(struct scheduler *policy,
		    struct scheduler_job *scheduler_job, const char *reason)
{
	struct sched_job *job = job_of(scheduler_job);

	ev_emit("job.stop", "job=%s reason=\"%s\"", job->entry.id, reason);
	gang_start_stop(&job->gang_start, kn_now_us());
	if (list_empty(&job->ticking))
		list_add_tail(&job->ticking, &job->s->ticking);
	sched_wake(job->s);
}

static void on_queued(struct scheduler *policy, struct scheduler_job *job,
		      const char *reason)
{
	sched_job_set_state(job_of(job), JOB_ENTRY_QUEUED, reason);
}

static void on_ended(struct scheduler *policy,
		     struct scheduler_job *scheduler_job,
		     enum scheduler_end end, const char *reason)
{
	static const enum job_entry_state states[] = {
		[SCHEDULER_END_DONE] = JOB_ENTRY_DONE,
		[SCHEDULER_END_FAILED] = JOB_ENTRY_FAILED,
		[SCHEDULER_END_CANCELLED] = JOB_ENTRY_CANCELLED,
	};
	struct sched_job *job = job_of(scheduler_job);

	job->entry.attained_us = scheduler_job->attained_us;
	job->entry.ended_wall_us = kn_wall_us();
	if (end == SCHEDULER_END_DONE &&
	    job_entry_transition_allowed(job->entry.state, JOB_ENTRY_DONE))
		change_state(job, JOB_ENTRY_DONE, reason);
	else
		sched_job_set_state(job, states[end], reason);
	/* The record of a cancelled job already states its end. */
	if (!job->cancelled)
		sched_write(job);
	sched_job_retain(job);
	sched_of(policy)->dirty = true;
}

static void on_guarantee_broken(struct scheduler *policy, bool broken)
{
	if (!sched_of(policy)->closing)
		ev_emit("guarantee.broken", "dc=%s broken=%d",
			sched_of(policy)->set->dc, broken);
}

const struct scheduler_ops sched_policy_ops = {
	.start = on_start,
	.checkpoint = on_checkpoint,
	.stop = on_stop,
	.queued = on_queued,
	.ended = on_ended,
	.broken = on_guarantee_broken,
};
