#include "fleet/evict.h"

#include "fleet/long_running.h"
#include "fleet/limits.h"
#include "fleet/throttle.h"

bool evict_allowed(const struct task *task)
{
	const struct stage *stage = task->stage;
	int missing = 0;
	int i;

	if (!stage->spec->long_running)
		return true;
	for (i = 0; i < stage->spec->count; i++) {
		const struct task *other = &stage->tasks[i];

		missing += other != task && (other->phase != TASK_RUNNING ||
					     other->percent < 100);
	}
	return missing < stage->spec->may_miss;
}

bool evict_forbidden(const struct task *task)
{
	const struct step_spec *spec = task->stage->spec;

	return spec->long_running && spec->may_miss == 0;
}

/* Counter of the stalled runs of a task, or of its gang. */
static int *stall_count(const struct task *task)
{
	return task->stage->spec->gang ?
		       &task->stage->stalls :
		       &task_original((struct task *)task)->stalls;
}

/*
 * Time without progress after which a run counts as stalled. It is longer for
 * throttled tasks; INT64_MAX if the task is throttled to 0 percent. It doubles
 * with each stalled run, as the task may be slower than it was declared.
 */
static int64_t stall_timeout_us(const struct fleet *fleet,
				const struct task *task)
{
	double percent_us =
		fleet_expected_ms(fleet, task->stage) * 1000.0 / 100.0;
	double usual_us = MAX(STALL_MS * 1000.0, STALL_FACTOR * percent_us);
	int pace = throttle_percent(task);

	usual_us *= 1 << MIN(*stall_count(task), STALL_DOUBLINGS_MAX);
	if (task->pace_percent != TASK_PACE_UNKNOWN)
		pace = MIN(pace, task->pace_percent);
	return pace > 0 ? (int64_t)(usual_us * 100.0 / pace) : INT64_MAX;
}

/*
 * Start of the period without progress. For a best-effort task it starts anew
 * whenever its throttle changes.
 */
static int64_t stalled_since_us(const struct task *task)
{
	return task->stage->spec->fills ?
		       MAX(task->progress_us,
			   task->worker->fill_pace_since_us) :
		       task->progress_us;
}

bool evict_run_stalled(const struct fleet *fleet, const struct task *task,
		       int64_t now_us)
{
	if (task->phase != TASK_RUNNING || task->first_report_us == 0 ||
	    task->percent >= 100)
		return false;
	/* Without reports nothing is known: the worker may be unreachable. */
	if (!task->worker || task->worker->unanswered_calls > 0)
		return false;
	if (task->stage->spec->long_running)
		return long_running_stalled(task, now_us);
	return now_us - stalled_since_us(task) > stall_timeout_us(fleet, task);
}

bool evict_worker_suspect(const struct fleet *fleet,
			  const struct worker *worker, int64_t now_us)
{
	const struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (evict_run_stalled(fleet, task, now_us))
			return true;
	return false;
}

/*
 * Estimated time lost by a stop: all progress, or with checkpoints at most the
 * time to save and restore one.
 */
static double lost_ms(const struct fleet *fleet, const struct task *task)
{
	double done_ms = fleet_expected_ms(fleet, task->stage) *
			 (double)task->percent / 100.0;

	if (!task->stage->spec->checkpoint)
		return done_ms;
	return MIN(done_ms,
		   (double)(fleet->bounds.save_ms + fleet->bounds.restore_ms));
}

/* Time until the run ends on its worker, extrapolated from its progress. */
static double remaining_ms(const struct fleet *fleet, const struct task *task,
			   int64_t now_us)
{
	double ran_ms = (double)(now_us - task->started_us) / 1000.0;
	double expected_ms = fleet_expected_ms(fleet, task->stage);

	if (task->percent >= PACE_MIN_PERCENT)
		expected_ms = ran_ms * 100.0 / task->percent;
	return MAX(expected_ms - ran_ms, 0.0);
}

/* Whether the run would still be running when its draining worker leaves. */
static bool outlives_worker(const struct fleet *fleet, const struct task *task,
			    int64_t now_us)
{
	const struct worker *worker = task->worker;
	int64_t passed_ms;

	if (!worker->reported.draining || worker->draining_us == 0 ||
	    worker->reported.remaining_ms == 0 || task->phase != TASK_RUNNING)
		return false;
	if (task->stage->spec->long_running)
		return true;
	passed_ms = (now_us - worker->draining_us) / 1000;
	return remaining_ms(fleet, task, now_us) >
	       (double)(worker->reported.remaining_ms - passed_ms +
			DRAIN_GRACE_MS);
}

static const char *evict_reason(const struct fleet *fleet,
				const struct task *task, int64_t now_us)
{
	if (evict_run_stalled(fleet, task, now_us) &&
	    lost_ms(fleet, task) <= STALL_LOSS_MAX_MS)
		return "no progress within the stall timeout";
	if (outlives_worker(fleet, task, now_us) &&
	    (lost_ms(fleet, task) <= DRAIN_LOSS_MAX_MS ||
	     task->stage->spec->long_running))
		return "worker leaves before the run can end";
	return NULL;
}

int evict_pass(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;
	int evicted = 0;

	list_for_each_entry(worker, &fleet->workers, node) {
		struct task *task, *next;

		list_for_each_entry_safe(task, next, &worker->tasks,
					 on_worker) {
			const char *why = evict_reason(fleet, task, now_us);

			/* A task that never got ready may be stopped anyway. */
			if (!why || (!evict_allowed(task) &&
				     !long_running_stalled(task, now_us)))
				continue;
			evicted++;
			fleet->moved++;
			if (evict_run_stalled(fleet, task, now_us))
				++*stall_count(task);
			fleet_stop(fleet, task, why);
			/* Other tasks of its gang may be gone: scan again. */
			next = list_first_entry(&worker->tasks, struct task,
						on_worker);
		}
	}
	return evicted;
}
