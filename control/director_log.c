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

/* Milliseconds since a time, -1 if there was none. */
static long long age_ms(int64_t us, int64_t now_us)
{
	return us ? (long long)(now_us - us) / 1000 : -1LL;
}

/* One line tells the proof and all that it rests on. */
static void on_released(void *user, const struct task *task,
			const struct run_release *release)
{
	const struct director *director = user;
	const struct hold_report *report = release->report;
	const struct worker *worker = task->worker;
	int64_t now_us = kn_now_us();
	int64_t end_us = fleet_lease_end_us(&director->fleet, worker);

	log_info("task.released",
		 "job=%s occurrence=%d step=%d index=%d run=%lld worker=%s "
		 "fence=%lld proof=\"%s\" phase=%d unconfirmed=%d tries=%d "
		 "answered_ms=%lld asked_ms=%lld running=%zd ended=%zd "
		 "truncated=%d born_ms=%lld report_born_ms=%lld heard_ms=%lld "
		 "silent=%d adopted=%d lease_over_ms=%lld",
		 task->stage->job->id, task->stage->occurrence,
		 task->stage->step, task->index, (long long)task->run,
		 worker->reported.id, (long long)director->leader.fence,
		 release->proof, task->phase, task->unconfirmed, task->tries,
		 age_ms(task->answered_us, now_us),
		 age_ms(release->report_sent_us, now_us),
		 report ? (ssize_t)report->nrunning : -1,
		 report ? (ssize_t)report->nended : -1,
		 report && report->truncated,
		 (long long)worker->reported.born_ms,
		 report ? (long long)report->born_ms : -1LL,
		 age_ms(worker->heard_us, now_us), worker->unanswered_calls,
		 worker->adopted, age_ms(end_us, now_us));
}

static void on_unheld(void *user, const struct worker *worker,
		      const struct run_report *run, const struct task *task)
{
	const struct director *director = user;

	log_warn("task.unheld",
		 "task=%s run=%lld worker=%s fence=%lld percent=%d "
		 "held_run=%lld held_by=%s phase=%d",
		 run->task, (long long)run->run, worker->reported.id,
		 (long long)director->leader.fence, run->percent,
		 task ? (long long)task->run : -1LL,
		 task && task->worker ? task->worker->reported.id : "-",
		 task ? (int)task->phase : -1);
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
		age_ms(worker->heard_us, now_us), worker->task_count,
		(long long)MAX(0, end_us - now_us) / 1000, worker->listed,
		worker->refusals);
}

static void on_guarantee(void *user, const char *customer, int64_t guaranteed,
			 int64_t gpus, bool servable)
{
	const struct director *director = user;

	log_warn(servable ? "guarantee.servable" : "guarantee.unservable",
		 "customer=%s guaranteed=%lld gpus=%lld fence=%lld", customer,
		 (long long)guaranteed, (long long)gpus,
		 (long long)director->leader.fence);
}

static void on_odd_run(void *user, const struct task *task, int64_t ms,
		       const char *why, int left_out)
{
	const struct director *director = user;

	log_warn("speed.odd_run",
		 "job=%s step=%d index=%d run=%lld worker=%s fence=%lld "
		 "took_ms=%lld est_ms=%lld reason=\"%s\" left_out=%d",
		 task->stage->job->id, task->stage->step, task->index,
		 (long long)task->run, task->worker->reported.id,
		 (long long)director->leader.fence, (long long)ms,
		 (long long)task->stage->spec->est_ms, why, left_out);
}

static void on_speed_changed(void *user, const struct worker *worker)
{
	const struct director *director = user;
	const struct speed_model *model = &director->fleet.speed;

	log_info("speed.changed",
		 "worker=%s class=%s speed_percent=%.0f certainty_percent=%.0f "
		 "uneven=%d spread_percent=%.0f known=%d fence=%lld",
		 worker ? worker->reported.id : "-",
		 worker ? speed_class_name(worker->speed.class) : "-",
		 worker ? worker->speed.relative * 100.0 : 100.0,
		 worker ? speed_certainty(worker) * 100.0 : 0.0, model->uneven,
		 model->spread * 100.0, model->known,
		 (long long)director->leader.fence);
}

const struct fleet_ops director_fleet_ops = {
	.note = on_note,
	.released = on_released,
	.unheld = on_unheld,
	.guarantee = on_guarantee,
	.lost = on_unreachable,
	.odd_run = on_odd_run,
	.speed_changed = on_speed_changed,
};
