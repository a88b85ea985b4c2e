#include "fleet/speed.h"

#include <math.h>
#include <string.h>

#include "fleet/speed_int.h"

/* Standard deviation of the rates of equal tasks on equal workers. */
#define SPEED_RUN_SD 0.15
/* Of a percentage that a worker reports: they are whole numbers, and two of
 * them are compared. */
#define SPEED_PERCENT_SD 0.7
/* Progress, in percent, from which on a run shows its rate to about 0.2. */
#define SPEED_PERCENT_MIN 6
/* Runs that took longer are not credible. */
#define SPEED_RUN_MAX_MS 86400000.0
/* Interval of the log lines of a worker's odd runs. */
#define SPEED_ODD_INTERVAL_MS 10000
/* An estimate that was taken over is trusted to a certainty of 0.6. */
#define SPEED_INHERITED_WEIGHT (1.5 * SPEED_WORKER_WEIGHT)
/* Age at which a prior has lost half of its weight. */
#define SPEED_PRIOR_HALF_LIFE_MS 60000.0

void speed_init(struct speed_model *model)
{
	memset(model, 0, sizeof(*model));
	list_init(&model->stages);
	list_init(&model->queues);
	model->estimates = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
}

void speed_finish(struct speed_model *model)
{
	g_hash_table_unref(model->estimates);
}

static void queue_unref(struct speed_queue *queue)
{
	if (--queue->stages > 0)
		return;
	list_del(&queue->node);
	g_free(queue->name);
	g_free(queue);
}

void speed_stage_unref(struct speed_stage *stage)
{
	if (!stage || --stage->refs > 0)
		return;
	list_del(&stage->node);
	queue_unref(stage->queue);
	g_free(stage);
}

void speed_stage_restart(struct stage *stage)
{
	speed_stage_unref(stage->speed);
	stage->speed = NULL;
}

void speed_forget(struct worker *worker, guint count)
{
	GArray *samples = worker->speed.samples;
	guint drop = samples && samples->len > count ? samples->len - count : 0;
	guint i;

	for (i = 0; i < drop; i++)
		speed_stage_unref(speed_sample_at(worker, i)->stage);
	if (drop > 0)
		g_array_remove_range(samples, 0, drop);
}

void speed_worker_finish(struct worker *worker)
{
	if (!worker->speed.samples)
		return;
	speed_forget(worker, 0);
	g_array_unref(worker->speed.samples);
	worker->speed.samples = NULL;
}

/* The prior loses weight with age, but its mean stays. */
static void age_prior(struct worker_speed *speed, int64_t now_us)
{
	double age_ms = (double)(now_us - speed->prior_us) / 1000.0;
	double left = exp2(-MAX(age_ms, 0) / SPEED_PRIOR_HALF_LIFE_MS);

	speed->prior_weight =
		MAX(speed->prior_weight * left, SPEED_WORKER_WEIGHT);
	speed->prior_us = now_us;
}

/* Adds a mean to another one, whose weight stays within a limit. */
static void add_limited(struct speed_mean *to, const struct speed_mean *part,
			double limit)
{
	double weight = to->weight + part->weight;
	double scale = weight > limit ? limit / weight : 1;

	to->weight = weight * scale;
	to->sum = (to->sum + part->sum) * scale;
}

/* Returns the next sample of the same stage, or NULL. */
static struct speed_sample *next_of_stage(const struct worker *worker, guint i)
{
	const struct speed_stage *stage = speed_sample_at(worker, i)->stage;

	while (++i < worker->speed.samples->len)
		if (speed_sample_at(worker, i)->stage == stage)
			return speed_sample_at(worker, i);
	return NULL;
}

/* Adds what the runs of a stage told the worker to the worker's prior. */
static void merge_prior(struct worker_speed *speed,
			const struct speed_mean *told)
{
	struct speed_mean prior = { speed->prior_weight,
				    speed->prior_weight * speed->prior };

	add_limited(&prior, told, SPEED_PRIOR_WEIGHT_MAX);
	speed->prior_weight = prior.weight;
	speed->prior = prior.sum / prior.weight;
}

/*
 * Drops the worker's first sample. What it tells goes to the next one of its
 * stage, and with the last one to the worker and to the stage.
 */
static void merge_first(struct worker *worker)
{
	struct speed_sample *first = speed_sample_at(worker, 0);
	struct speed_sample *next = next_of_stage(worker, 0);
	struct speed_mean run = { first->used, first->used * first->log_rate };

	if (next) {
		next->old = first->old;
		add_limited(&next->old, &run, SPEED_PRIOR_WEIGHT_MAX);
		next->to_stage = first->to_stage;
		next->to_worker = first->to_worker;
	} else {
		merge_prior(&worker->speed, &first->to_worker);
		add_limited(&first->stage->past, &first->to_stage, G_MAXDOUBLE);
	}
	speed_forget(worker, worker->speed.samples->len - 1);
}

void speed_inherit(struct worker *worker, const struct worker *old)
{
	struct worker_speed *speed = &worker->speed;

	speed->prior = old->speed.log;
	speed->prior_weight = CLAMP(old->speed.weight, SPEED_WORKER_WEIGHT,
				    SPEED_INHERITED_WEIGHT);
	speed->prior_us = old->speed.prior_us;
	speed_update_worker(worker);
	speed->relative = old->speed.relative;
	speed->class = old->speed.class;
}

static struct speed_queue *get_queue(struct speed_model *model,
				     const char *name)
{
	struct speed_queue *queue;

	list_for_each_entry(queue, &model->queues, node)
		if (strcmp(queue->name, name) == 0)
			return queue;
	queue = g_new0(struct speed_queue, 1);
	queue->name = g_strdup(name);
	list_add_tail(&queue->node, &model->queues);
	return queue;
}

static struct speed_stage *get_stage(struct speed_model *model,
				     struct stage *stage)
{
	struct speed_stage *effect = stage->speed;

	if (effect)
		return effect;
	effect = g_new0(struct speed_stage, 1);
	effect->queue = get_queue(model, stage->job->queue);
	effect->queue->stages++;
	effect->refs = 1;
	list_add_tail(&effect->node, &model->stages);
	stage->speed = effect;
	return effect;
}

static struct speed_sample *find_sample(const struct worker *worker, int64_t id)
{
	guint i;

	for (i = 0; worker->speed.samples && i < worker->speed.samples->len;
	     i++)
		if (speed_sample_at(worker, i)->id == id)
			return speed_sample_at(worker, i);
	return NULL;
}

static struct speed_sample *add_sample(struct fleet *fleet, struct task *task,
				       int64_t now_us)
{
	struct worker_speed *speed = &task->worker->speed;
	struct speed_sample fresh = { 0 };

	if (!speed->samples)
		speed->samples =
			g_array_new(FALSE, FALSE, sizeof(struct speed_sample));
	if (speed->samples->len >= SPEED_SAMPLES_MAX) {
		age_prior(speed, now_us);
		merge_first(task->worker);
	}
	fresh.id = task->speed_id;
	fresh.stage = get_stage(&fleet->speed, task->stage);
	fresh.stage->refs++;
	g_array_append_val(speed->samples, fresh);
	return speed_sample_at(task->worker, speed->samples->len - 1);
}

static void take_sample(struct fleet *fleet, struct task *task, double share,
			double ms, int64_t now_us)
{
	double percent = share * 100.0;
	double variance =
		SPEED_RUN_SD * SPEED_RUN_SD +
		SPEED_PERCENT_SD * SPEED_PERCENT_SD / (percent * percent);
	struct speed_sample *sample;

	if (task->speed_id == 0) {
		task->speed_id = ++fleet->speed.next_id;
		sample = add_sample(fleet, task, now_us);
	} else {
		sample = find_sample(task->worker, task->speed_id);
	}
	/* It was dropped: later runs tell more. */
	if (!sample)
		return;
	sample->log_rate = log(share / ms * (double)task->stage->spec->est_ms);
	sample->weight = 1.0 / variance;
	sample->at_us = now_us;
	task->worker->speed.changed = true;
	fleet->speed.changed = true;
}

/* Logs a run that is left out, and how many of this worker were not logged. */
static void note_odd(struct fleet *fleet, const struct task *task, double ms,
		     const char *why, int64_t now_us)
{
	struct worker_speed *speed = &task->worker->speed;

	if (speed->odd_us != 0 &&
	    now_us - speed->odd_us < SPEED_ODD_INTERVAL_MS * 1000) {
		speed->odd_left_out++;
		return;
	}
	speed->odd_us = now_us;
	if (fleet->ops && fleet->ops->odd_run)
		fleet->ops->odd_run(fleet->user, task, (int64_t)ms, why,
				    speed->odd_left_out);
	speed->odd_left_out = 0;
}

/* Best-effort tasks are paced, and long-running ones have no progress. In
 * another rack than that of its data a task is slower on any worker. */
static bool is_comparable(const struct task *task)
{
	const struct step_spec *spec = task->stage->spec;

	return task->worker && !spec->long_running && !spec->fills &&
	       (!spec->rack ||
		g_strcmp0(task->worker->reported.rack, spec->rack) == 0);
}

static bool is_credible(struct fleet *fleet, const struct task *task, double ms,
			int64_t now_us)
{
	const char *why = NULL;

	if (task->stage->spec->est_ms <= 0)
		why = "no declared duration";
	else if (ms < 0)
		why = "ended before its start";
	else if (ms < 1)
		why = "took no time";
	else if (ms > SPEED_RUN_MAX_MS)
		why = "took more than a day";
	if (why)
		note_odd(fleet, task, ms, why, now_us);
	return !why;
}

/* Whether the time of the run's start is known, and it began at 0 percent. */
static bool is_whole(const struct task *task)
{
	return !task->unconfirmed && !task->resumed;
}

void speed_observe(struct fleet *fleet, struct task *task, int64_t now_us)
{
	bool whole = is_whole(task);
	int from = whole ? 0 : task->first_percent;
	int64_t from_us = whole ? task->started_us : task->first_report_us;
	double ms = (double)(now_us - from_us) / 1000.0;

	if (task->phase != TASK_RUNNING || !is_comparable(task) ||
	    task->percent >= 100 || task->percent - from < SPEED_PERCENT_MIN ||
	    task->worker->unreachable_us >= from_us ||
	    !is_credible(fleet, task, ms, now_us))
		return;
	take_sample(fleet, task, (task->percent - from) / 100.0, ms, now_us);
}

/* The end of a gang is that of its slowest member, and an end that was reported
 * after an unanswered call may be old. */
void speed_observe_end(struct fleet *fleet, struct task *task, int64_t now_us)
{
	double ms = (double)(now_us - task->started_us) / 1000.0;

	if (!is_comparable(task) || task->stage->spec->gang ||
	    !is_whole(task) ||
	    task->worker->unanswered_us >= task->started_us ||
	    !is_credible(fleet, task, ms, now_us))
		return;
	take_sample(fleet, task, 1.0, ms, now_us);
}

bool speed_uneven(const struct fleet *fleet)
{
	return fleet->speed.uneven;
}

double speed_of(const struct fleet *fleet, const struct worker *worker)
{
	return fleet->speed.uneven && worker->speed.relative > 0 ?
		       worker->speed.relative :
		       1.0;
}

double speed_certainty(const struct worker *worker)
{
	return worker->speed.weight > SPEED_WORKER_WEIGHT ?
		       1.0 - SPEED_WORKER_WEIGHT / worker->speed.weight :
		       0.0;
}
