#include "control/director_int.h"

#include <string.h>

#include "base/log.h"
#include "fleet/order.h"

static void observe_start(struct director *director, const struct job *job)
{
	int64_t ms = (kn_now_us() - job->arrived_us) / 1000;

	ctr_add(&director->jobs_started, 1);
	ctr_observe(&director->start_ms, (uint64_t)MAX(ms, 0));
}

static void observe_end(struct director *director, const struct job *job)
{
	int64_t ms = (kn_now_us() - job->arrived_us) / 1000;

	ctr_add(&director->jobs_ended, 1);
	if (job->phase == JOB_DONE)
		ctr_observe(&director->done_ms, (uint64_t)MAX(ms, 0));
}

static void log_task(const struct director *director, const char *event,
		     const struct task *task, const char *why)
{
	const struct worker *worker = task->worker;

	log_info(event,
		 "job=%s occurrence=%d step=%d index=%d run=%lld worker=%s "
		 "fence=%lld fails=%d percent=%d reason=\"%s\"",
		 task->stage->job->id, task->stage->occurrence,
		 task->stage->step, task->index, (long long)task->run,
		 worker ? worker->reported.id : "-",
		 (long long)director->leader.fence, task->fails, task->percent,
		 why);
}

static void log_job(const struct director *director, const char *event,
		    const struct job *job, const char *why)
{
	log_info(event,
		 "job=%s queue=%s customer=%s phase=%s age_ms=%lld "
		 "objective_ms=%.0f fence=%lld reason=\"%s\"",
		 job->id, job->queue, job->customer, job_phase_name(job->phase),
		 (long long)(kn_now_us() - job->arrived_us) / 1000,
		 order_objective_ms(&director->fleet, job),
		 (long long)director->leader.fence, why);
}

void director_log_submission(const struct job *job, const struct kv_item *item)
{
	const struct step_spec *first = &job->spec.steps[0];

	log_info("job.known",
		 "job=%s queue=%s customer=%s priority=%d steps=%d tasks=%d "
		 "cpu_milli=%lld gpus=%lld gang=%d same_rack=%d checkpoint=%d "
		 "lasts=%d chain_ms=%lld revision=%lld age_ms=%lld",
		 job->id, job->queue, job->customer, job->priority,
		 job->spec.nsteps, first->count,
		 (long long)first->need.cpu_milli, (long long)first->need.gpus,
		 first->gang, first->same_rack, first->checkpoint,
		 first->long_running, (long long)job_spec_chain_ms(&job->spec),
		 (long long)item->mod_revision,
		 (long long)(director_wall_ms() - job->accepted_ms));
}

static void on_note(void *user, const char *event, const struct job *job,
		    const struct task *task, const char *why)
{
	struct director *director = user;

	if (strcmp(event, "job.started") == 0)
		observe_start(director, job);
	else if (strcmp(event, "job.ended") == 0)
		observe_end(director, job);
	if (task)
		log_task(director, event, task, why);
	else
		log_job(director, event, job, why);
}

static void on_unreachable(void *user, const struct worker *worker,
			   int64_t now_us)
{
	const struct director *director = user;
	int64_t end_us = fleet_lease_end_us(&director->fleet, worker);

	log_warn(
		"worker.unreachable",
		"worker=%s silent=%d heard_ms=%lld tasks=%d lease_left_ms=%lld "
		"listed=%d refusals=%d",
		worker->reported.id, worker->unanswered_calls,
		worker->heard_us ?
			(long long)(now_us - worker->heard_us) / 1000 :
			-1LL,
		worker->task_count, (long long)MAX(0, end_us - now_us) / 1000,
		worker->listed, worker->refusals);
}

const struct fleet_ops director_fleet_ops = {
	.note = on_note,
	.lost = on_unreachable,
};
