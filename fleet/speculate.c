#include "fleet/speculate.h"

/* The progress of a run is judged after this share of the usual duration. */
#define SPECULATE_AFTER 0.5
/* Minimum remaining time of the run, in usual durations. A copy takes one. */
#define SPECULATE_GAIN 2.0

static bool can_be_copied(const struct task *task)
{
	const struct step_spec *spec = task->stage->spec;

	return spec->speculative && !spec->gang && !spec->long_running &&
	       !spec->fills && !task->original &&
	       (!task->copy || task->copy->run == 0);
}

/*
 * Extrapolates the progress since the first report. A run that resumed from a
 * checkpoint does not start at 0 percent.
 */
static double left_ms(const struct task *task, int64_t now_us)
{
	double gained = MAX(task->percent - task->first_percent, 1);
	double took_ms = (double)(now_us - task->first_report_us) / 1000.0;

	return took_ms / gained * (100.0 - task->percent);
}

bool speculate_wanted(const struct fleet *fleet, const struct task *task,
		      int64_t now_us)
{
	double usual_ms;

	if (!can_be_copied(task) || task->phase != TASK_RUNNING ||
	    task->first_report_us == 0 || task->unconfirmed)
		return false;
	usual_ms = fleet_expected_ms(fleet, task->stage);
	if ((double)(now_us - task->first_report_us) <
	    usual_ms * 1000.0 * SPECULATE_AFTER)
		return false;
	return left_ms(task, now_us) > usual_ms * SPECULATE_GAIN;
}
