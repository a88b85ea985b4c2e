#include "fleet/throttle.h"

/*
 * Time between two reductions. A change takes effect after 100 ms, and the
 * tail latency arrives with the next report of the worker.
 */
#define THROTTLE_STEP_MS 500
/* The target has to be met for so long before the speed is raised. */
#define THROTTLE_RAISE_AFTER_MS 3000
#define THROTTLE_RAISE_PERCENT 20
/* The speed is raised only at a tail latency below this share of the target. */
#define THROTTLE_RAISE_BELOW 0.7

static bool is_serving(const struct task *task)
{
	return task->stage->spec->target_ms > 0 &&
	       task->stage->spec->long_running;
}

static bool is_best_effort(const struct task *task)
{
	return task->stage->spec->fills;
}

bool throttle_mixed_load(const struct worker *worker)
{
	const struct task *task;
	bool serving = false, best_effort = false;

	list_for_each_entry(task, &worker->tasks, on_worker) {
		serving |= is_serving(task);
		best_effort |= is_best_effort(task);
	}
	return serving && best_effort;
}

int throttle_percent(const struct task *task)
{
	return is_best_effort(task) ? task->worker->fill_pace_percent : 100;
}

/* Highest ratio of tail latency to target among the running serving tasks. */
static double worst_latency_ratio(const struct worker *worker)
{
	const struct task *task;
	double worst = 0;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (is_serving(task) && task->phase == TASK_RUNNING)
			worst = MAX(
				worst,
				(double)task->load /
					(double)task->stage->spec->target_ms);
	return worst;
}

static int next_fill_percent(struct worker *worker, double latency_ratio,
			     int64_t now_us)
{
	int percent = worker->fill_pace_percent;

	if (latency_ratio > 1.0) {
		worker->serving_ok_since_us = now_us;
		if (now_us - worker->fill_pace_since_us <
		    THROTTLE_STEP_MS * 1000)
			return percent;
		return percent > 25 ? percent / 2 : 0;
	}
	if (latency_ratio > THROTTLE_RAISE_BELOW)
		worker->serving_ok_since_us = now_us;
	if (percent == 100 ||
	    now_us - worker->serving_ok_since_us <
		    THROTTLE_RAISE_AFTER_MS * 1000 ||
	    now_us - worker->fill_pace_since_us <
		    THROTTLE_RAISE_AFTER_MS * 1000)
		return percent;
	return MIN(percent + THROTTLE_RAISE_PERCENT, 100);
}

int throttle_pass(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;
	int changed = 0;

	list_for_each_entry(worker, &fleet->workers, node) {
		int percent = 100;

		if (throttle_mixed_load(worker))
			percent = next_fill_percent(
				worker, worst_latency_ratio(worker), now_us);
		if (percent == worker->fill_pace_percent)
			continue;
		worker->fill_pace_percent = percent;
		worker->fill_pace_since_us = now_us;
		changed++;
	}
	return changed;
}
