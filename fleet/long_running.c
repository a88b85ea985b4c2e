#include "fleet/long_running.h"

/*
 * The platform requires a task to run again within 9 s (6 s and 3 s more)
 * after its last run. This limit leaves time for a stop, a start and the loss
 * of one order.
 */
#define LONG_RUNNING_WAIT_MAX_MS 2000
/* By then runs that were stopped to make room have ended. */
#define LONG_RUNNING_AVOID_MAX_MS 3000
/* Time to become ready after the start; the platform allows 6 s for it. */
#define LONG_RUNNING_STARTUP_MS 6000
#define LONG_RUNNING_READY_PERCENT 100

bool long_running_job(const struct job *job)
{
	int i;

	for (i = 0; i < job->spec.nsteps; i++)
		if (job->spec.steps[i].long_running)
			return true;
	return false;
}

static bool has_waited(const struct stage *stage, int64_t ms, int64_t now_us)
{
	return stage->spec->long_running && stage->unplaced_since_us != 0 &&
	       now_us - stage->unplaced_since_us >= ms * 1000;
}

bool long_running_overdue(const struct stage *stage, int64_t now_us)
{
	return has_waited(stage, LONG_RUNNING_WAIT_MAX_MS, now_us);
}

bool long_running_takes_any(const struct stage *stage, int64_t now_us)
{
	return has_waited(stage, LONG_RUNNING_AVOID_MAX_MS, now_us);
}

bool long_running_stalled(const struct task *task, int64_t now_us)
{
	return task->stage->spec->long_running &&
	       task->percent < LONG_RUNNING_READY_PERCENT &&
	       now_us - task->progress_us > LONG_RUNNING_STARTUP_MS * 1000;
}

/* A long-running task that is ready may fail at any time by itself. */
bool long_running_failure_expected(const struct task *task)
{
	return task->stage->spec->long_running &&
	       task->percent >= LONG_RUNNING_READY_PERCENT;
}
