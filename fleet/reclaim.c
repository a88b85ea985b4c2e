#include "fleet/reclaim.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/evacuation.h"
#include "fleet/evict.h"
#include "fleet/long_running.h"
#include "fleet/order.h"
#include "fleet/reclaim_option.h"

/*
 * What it costs that a job ends late, in multiples of its own work: a late
 * urgent job is of little use to its caller.
 */
#define LATE_COST_URGENT 4.0
#define LATE_COST_OTHER 0.25

static double lost_ms(const struct fleet *fleet, const struct task *task,
		      double ran_ms)
{
	return task->stage->spec->checkpoint ?
		       MIN(ran_ms, (double)fleet->bounds.restore_ms) :
		       ran_ms;
}

/*
 * The cost if the job meets its objective when the run goes on, and misses it
 * when the run is stopped now; 0 otherwise. All tasks of a gang share it.
 */
static double late_cost(const struct fleet *fleet, const struct task *task,
			double ran_ms, int64_t now_us)
{
	struct job *job = task->stage->job;
	double spare_ms = order_slack_ms(fleet, job, now_us) + ran_ms;
	double delay_ms =
		lost_ms(fleet, task, ran_ms) + (double)fleet->bounds.stop_ms;

	if (job->spec.times > 0 || task->stage->spec->long_running ||
	    spare_ms < 0 || spare_ms >= delay_ms)
		return 0;
	return job->work *
	       (job->priority == 0 ? LATE_COST_URGENT : LATE_COST_OTHER);
}

double reclaim_loss(const struct fleet *fleet, const struct task *task,
		    int64_t now_us)
{
	const struct room *need = &task->stage->spec->need;
	double cores = (double)need->cpu_milli / 1000.0 +
		       (double)(need->gpus * ROOM_GPU_CORES);
	double ran_ms = 0;

	if (task->phase == TASK_DONE || task->phase == TASK_STOPPING)
		return 0;
	if (task->started_us)
		ran_ms = (double)(now_us - task->started_us) / 1000.0;
	return cores * (lost_ms(fleet, task, ran_ms) +
			(double)fleet->bounds.stop_ms) +
	       late_cost(fleet, task, ran_ms, now_us) /
		       task->stage->spec->count;
}

bool reclaim_may_stop(const struct fleet *fleet, const struct task *task,
		      const struct stage *claimant, int64_t now_us)
{
	const struct job *job = task->stage->job;

	if (job == claimant->job || task->phase == TASK_DONE ||
	    task->phase == TASK_STOPPING || !evict_allowed(task))
		return false;
	if (long_running_overdue(claimant, now_us))
		return !task->stage->spec->long_running && !job->guaranteed;
	if (job->priority > claimant->job->priority)
		return true;
	/* Same priority: only runs of customers that exceed their guarantee. */
	return job->priority == 0 && !job->guaranteed &&
	       claimant->job->guaranteed;
}

/* The loss by which options are ordered. */
enum cost_mode {
	/* Cost of whole gangs; finds cheap choices if one worker is enough. */
	COST_WHOLE_GANG,
	/* Cost of the tasks on the worker; finds cheap choices of many. */
	COST_LOCAL_MEMBERS,
	COST_MODES
};

static double cost(const struct reclaim_option *option, enum cost_mode mode)
{
	return (mode == COST_WHOLE_GANG ? option->loss : option->local_loss) /
	       option->slots;
}

static void options_free(GArray *options)
{
	guint i;

	for (i = 0; options && i < options->len; i++)
		reclaim_option_finish(
			&g_array_index(options, struct reclaim_option, i));
	if (options)
		g_array_unref(options);
}

/* Options of all workers that can free at least one slot for the stage. */
static GArray *collect_options(struct placement *p, GPtrArray *workers,
			       const struct stage *stage, int want)
{
	GArray *options =
		g_array_new(FALSE, FALSE, sizeof(struct reclaim_option));
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct worker *worker = g_ptr_array_index(workers, i);
		struct reclaim_option option;

		if (!placement_eligible(worker, stage, p->now_us) ||
		    (worker->reserved_for && worker->reserved_for != stage &&
		     worker->busy_until_us == 0))
			continue;
		reclaim_option_init(&option, p, worker, stage, want);
		if (option.slots == 0)
			reclaim_option_finish(&option);
		else
			g_array_append_val(options, option);
	}
	return options;
}

/* Swaps the cheapest option at or after place into it, and returns it. */
static struct reclaim_option *swap_in_cheapest(GArray *options, guint place,
					       enum cost_mode mode)
{
	struct reclaim_option *first =
		&g_array_index(options, struct reclaim_option, place);
	guint i, best = place;
	struct reclaim_option moved;

	for (i = place + 1; i < options->len; i++)
		if (cost(&g_array_index(options, struct reclaim_option, i),
			 mode) <
		    cost(&g_array_index(options, struct reclaim_option, best),
			 mode))
			best = i;
	moved = *first;
	*first = g_array_index(options, struct reclaim_option, best);
	g_array_index(options, struct reclaim_option, best) = moved;
	return first;
}

/*
 * Recomputes the options of the other workers on which a gang that is to be
 * stopped runs: its room there costs nothing more.
 */
static void refresh_options(struct placement *p, GArray *options, guint from,
			    const struct stage *stage, int want,
			    const struct stage *stopped)
{
	guint i;

	for (i = from; i < options->len; i++) {
		struct reclaim_option *option =
			&g_array_index(options, struct reclaim_option, i);
		struct worker *worker = option->worker;

		if (worker_count(worker, stopped) == 0)
			continue;
		reclaim_option_finish(option);
		reclaim_option_init(option, p, worker, stage, want);
	}
}

/* Marks the gangs among the victims of an option as stopping everywhere. */
static void mark_gangs_stopping(struct placement *p, GArray *options,
				guint place, const struct stage *stage,
				int want, GPtrArray *stopped)
{
	GPtrArray *victims =
		g_array_index(options, struct reclaim_option, place).victims;
	guint v;

	for (v = 0; v < victims->len; v++) {
		struct task *task = g_ptr_array_index(victims, v);

		if (!task->stage->spec->gang)
			continue;
		task->stage->preempting = true;
		g_ptr_array_add(stopped, task->stage);
		refresh_options(p, options, place + 1, stage, want,
				task->stage);
	}
}

/*
 * Greedily chooses the cheapest options that together free want slots. Returns
 * NULL if all of them together free fewer.
 */
static GArray *choose_by_cost(struct placement *p, GPtrArray *workers,
			      const struct stage *stage, int want,
			      enum cost_mode mode, double *loss)
{
	GArray *options = collect_options(p, workers, stage, want);
	GPtrArray *stopped = g_ptr_array_new();
	guint i, kept = 0;

	*loss = 0;
	while (kept < options->len && want > 0) {
		struct reclaim_option *option =
			swap_in_cheapest(options, kept, mode);

		if (option->slots > want) {
			struct worker *worker = option->worker;

			reclaim_option_finish(option);
			reclaim_option_init(option, p, worker, stage, want);
		}
		*loss += option->loss;
		want -= option->slots;
		mark_gangs_stopping(p, options, kept++, stage, MAX(want, 1),
				    stopped);
	}
	for (i = 0; i < stopped->len; i++) {
		struct stage *gang = g_ptr_array_index(stopped, i);

		gang->preempting = false;
	}
	g_ptr_array_unref(stopped);
	for (i = kept; i < options->len; i++)
		reclaim_option_finish(
			&g_array_index(options, struct reclaim_option, i));
	g_array_set_size(options, kept);
	if (want <= 0)
		return options;
	options_free(options);
	return NULL;
}

/* The choice with the least loss among those of all cost modes. */
static GArray *choose_cheapest(struct placement *p, GPtrArray *workers,
			       const struct stage *stage, int want,
			       double *least)
{
	GArray *best = NULL;
	enum cost_mode mode;

	for (mode = 0; mode < COST_MODES; mode++) {
		double loss;
		GArray *options =
			choose_by_cost(p, workers, stage, want, mode, &loss);

		if (!options || (best && loss >= *least)) {
			options_free(options);
			continue;
		}
		options_free(best);
		best = options;
		*least = loss;
	}
	return best;
}

/*
 * For a gang that has to run in one rack, the cheapest choice within one rack
 * if there is any, else the cheapest in the whole pool.
 */
static GArray *choose_in_pool(struct placement *p, const struct stage *stage,
			      int want, double *least)
{
	struct pool_view *view = placement_workers_for(p, stage);
	GArray *best = NULL;
	double best_loss = 0, loss;
	guint i;

	if (!view)
		return NULL;
	for (i = 0; stage->spec->same_rack && i < view->racks->len; i++) {
		const struct rack_view *rack =
			g_ptr_array_index(view->racks, i);
		GArray *options =
			choose_cheapest(p, rack->workers, stage, want, &loss);

		if (!options)
			continue;
		if (best && loss >= best_loss) {
			options_free(options);
			continue;
		}
		if (best)
			options_free(best);
		best = options;
		best_loss = loss;
	}
	*least = best_loss;
	return best ? best :
		      choose_cheapest(p, view->workers, stage, want, least);
}

static int count_waiting(const struct stage *stage)
{
	int count = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++)
		count += task_restartable(&stage->tasks[i]);
	return count;
}

bool reclaim(struct placement *p, struct stage *stage, double max_loss)
{
	double loss = 0;
	GArray *options = choose_in_pool(p, stage, count_waiting(stage), &loss);
	char *why;
	guint i, v;

	if (!options)
		return false;
	if (loss > max_loss) {
		options_free(options);
		return false;
	}
	g_free(stage->reserved);
	stage->reserved = g_new0(struct worker *, options->len + 1);
	stage->reserved_us = p->now_us;
	why = g_strdup_printf("room for job %s", stage->job->id);
	for (i = 0; i < options->len; i++) {
		struct reclaim_option *option =
			&g_array_index(options, struct reclaim_option, i);

		stage->reserved[i] = option->worker;
		option->worker->reserved_for = stage;
		option->worker->busy_until_us = 0;
		for (v = 0; v < option->victims->len; v++) {
			struct task *task =
				g_ptr_array_index(option->victims, v);

			p->fleet->preempted += task->stage->spec->gang ?
						       task->stage->holding :
						       1;
			fleet_stop(p->fleet, task, why);
		}
	}
	g_free(why);
	options_free(options);
	return true;
}

/*
 * Whether the reservation counts on a worker that may be in an evacuated data
 * centre. Other workers have to be freed then, and the time for a reclaim does
 * not allow to wait until the reservation expires. The worker may be gone, so
 * that only its place in the view tells.
 */
static bool reservation_evacuated(const struct placement *p,
				  const struct pool_view *view,
				  const struct stage *stage)
{
	struct worker **at;

	if (!evacuation_in_force(p->fleet))
		return false;
	for (at = stage->reserved; *at; at++)
		if (!g_ptr_array_find(view->workers, *at, NULL))
			return true;
	return false;
}

void reclaim_renew_reservation(struct placement *p, struct stage *stage)
{
	struct pool_view *view = placement_workers_for(p, stage);
	struct worker **at;

	if (!stage->reserved)
		return;
	if (stage->left == 0 || job_ended(stage->job) || !view ||
	    count_waiting(stage) == 0 ||
	    reservation_evacuated(p, view, stage) ||
	    p->now_us - stage->reserved_us >
		    (p->fleet->bounds.stop_ms + RECLAIM_RESERVATION_SLACK_MS) *
			    1000) {
		g_free(stage->reserved);
		stage->reserved = NULL;
		return;
	}
	/* The view holds no workers that have left or become unusable. */
	for (at = stage->reserved; *at; at++)
		if (g_ptr_array_find(view->workers, *at, NULL)) {
			(*at)->reserved_for = stage;
			(*at)->busy_until_us = 0;
		}
}
