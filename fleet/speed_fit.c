#include "fleet/speed.h"

#include <math.h>

#include "fleet/speed_int.h"

/*
 * Interval of the fits for each SPEED_FIT_WORKERS workers or part of them.
 * Workers report at least every 1.5 s. A fit of so many takes about 1 ms if all
 * of them have new samples, which is 0.3 % of a core, or 3 % of the weakest
 * hosts' share.
 */
#define SPEED_FIT_INTERVAL_MS 400
#define SPEED_FIT_WORKERS 400
/* Each begins where the one before ended, so a few are enough. */
#define SPEED_SWEEPS 3
/* Age at which a sample has lost half of its weight, and the share that it
 * keeps: 16 old samples weigh as much as 4 new ones. */
#define SPEED_HALF_LIFE_MS 10000.0
#define SPEED_OLD_SHARE 0.25
/* Standard deviation of the effects of a queue's stages: declared durations are
 * off by that much at random. */
#define SPEED_STAGE_SD 0.4
#define SPEED_STAGE_WEIGHT (1.0 / (SPEED_STAGE_SD * SPEED_STAGE_SD))
/* Number of stages with effect 0 that a queue begins with. */
#define SPEED_QUEUE_PRIOR 0.5
/*
 * The runs that show that a worker has changed: as many in a row deviate in the
 * same direction. A single one may be a long-tailed run.
 */
#define SPEED_CHANGE_RUNS 3
struct fit {
	struct fleet *fleet;
	GPtrArray *workers; /* with new samples */
	int64_t now_us;
};

static struct speed_mean less(const struct speed_mean *from,
			      const struct speed_mean *part)
{
	struct speed_mean left = { from->weight - part->weight,
				   from->sum - part->sum };

	return left;
}

static double value(const struct speed_mean *mean)
{
	return mean->weight > 0 ? mean->sum / mean->weight : 0;
}

static double variance(const struct speed_mean *mean)
{
	return mean->weight > 0 ? 1.0 / mean->weight : 0;
}

/* What is known of the worker without the pair's runs. */
static struct speed_mean worker_without(const struct worker *worker,
					const struct speed_sample *first)
{
	struct speed_mean all = { worker->speed.weight,
				  worker->speed.weight * worker->speed.log };

	return less(&all, &first->to_worker);
}

static struct speed_mean stage_without(const struct speed_sample *first)
{
	return less(&first->stage->mean, &first->to_stage);
}

/* Sums what the worker's samples and its prior tell of it. */
void speed_update_worker(struct worker *worker)
{
	struct worker_speed *speed = &worker->speed;
	double weight = MAX(speed->prior_weight, SPEED_WORKER_WEIGHT);
	double sum = weight * speed->prior;
	guint i;

	for (i = 0; i < speed_sample_count(worker); i++) {
		weight += speed_sample_at(worker, i)->to_worker.weight;
		sum += speed_sample_at(worker, i)->to_worker.sum;
	}
	speed->weight = weight;
	speed->log = sum / weight;
}

/* Returns the index of the worker's first sample of the same stage. */
static guint find_first(const struct worker *worker, guint i)
{
	const struct speed_stage *stage = speed_sample_at(worker, i)->stage;
	guint first = 0;

	while (speed_sample_at(worker, first)->stage != stage)
		first++;
	return first;
}

static void prepare_samples(const struct worker *worker, int64_t now_us)
{
	guint i;

	for (i = 0; i < speed_sample_count(worker); i++) {
		struct speed_sample *sample = speed_sample_at(worker, i);
		double age_ms = (double)(now_us - sample->at_us) / 1000.0;

		sample->first = find_first(worker, i);
		sample->aged = sample->weight *
			       MAX(exp2(-MAX(age_ms, 0) / SPEED_HALF_LIFE_MS),
				   SPEED_OLD_SHARE);
	}
}

/*
 * Weight of a sample after its deviation from what is expected without the runs
 * of its stage on the worker. A run that takes 7 times as long counts little;
 * how little depends on how well the worker and the stage are known.
 */
static double robust_weight(const struct worker *worker,
			    const struct speed_sample *sample,
			    const struct speed_sample *first)
{
	struct speed_mean stage, rest;
	double deviation, limit;

	if (sample->stage->mean.weight <= 0)
		return sample->aged;
	stage = stage_without(first);
	rest = worker_without(worker, first);
	deviation = fabs(sample->log_rate - value(&rest) - value(&stage));
	if (deviation <= SPEED_OUTLIER)
		return sample->aged;
	limit = SPEED_OUTLIER + sqrt(variance(&rest) + variance(&stage)) / 2;
	return sample->aged * MIN(limit / deviation, 1);
}

/* Weighs the worker's samples, and sums them up by stage. */
static void weigh_samples(const struct worker *worker)
{
	guint i;

	for (i = 0; i < speed_sample_count(worker); i++) {
		struct speed_sample *sample = speed_sample_at(worker, i);
		struct speed_sample *first =
			speed_sample_at(worker, sample->first);

		if (first == sample)
			first->all = first->old;
		sample->used = robust_weight(worker, sample, first);
		first->all.weight += sample->used;
		first->all.sum += sample->used * sample->log_rate;
	}
}

/*
 * What the runs of a stage on a worker tell the one of the two about itself,
 * given what is known of the other without them: the sum of both is observed.
 */
static struct speed_mean tell(const struct speed_mean *runs,
			      const struct speed_mean *other)
{
	struct speed_mean told;

	told.weight = 1.0 / (variance(runs) + variance(other));
	told.sum = told.weight * (value(runs) - value(other));
	return told;
}

static void add(struct speed_mean *to, const struct speed_mean *part)
{
	to->weight += part->weight;
	to->sum += part->sum;
}

static void tell_stages(const struct worker *worker)
{
	guint i;

	weigh_samples(worker);
	for (i = 0; i < speed_sample_count(worker); i++) {
		struct speed_sample *sample = speed_sample_at(worker, i);
		struct speed_mean rest;

		if (sample->first != i)
			continue;
		rest = worker_without(worker, sample);
		sample->to_stage = tell(&sample->all, &rest);
	}
}

static void fit_stages(struct fit *fit)
{
	struct speed_stage *stage;
	struct worker *worker;
	guint i;

	list_for_each_entry(stage, &fit->fleet->speed.stages, node) {
		stage->next.weight = SPEED_STAGE_WEIGHT + stage->past.weight;
		stage->next.sum = SPEED_STAGE_WEIGHT * stage->queue->effect +
				  stage->past.sum;
	}
	for (i = 0; i < fit->workers->len; i++)
		tell_stages(g_ptr_array_index(fit->workers, i));
	list_for_each_entry(worker, &fit->fleet->workers, node)
		for (i = 0; i < speed_sample_count(worker); i++)
			add(&speed_sample_at(worker, i)->stage->next,
			    &speed_sample_at(worker, i)->to_stage);
	list_for_each_entry(stage, &fit->fleet->speed.stages, node)
		stage->mean = stage->next;
}

static void fit_worker(struct worker *worker)
{
	guint i;

	for (i = 0; i < speed_sample_count(worker); i++) {
		struct speed_sample *sample = speed_sample_at(worker, i);
		struct speed_mean rest;

		if (sample->first != i)
			continue;
		rest = stage_without(sample);
		sample->to_worker = tell(&sample->all, &rest);
	}
	speed_update_worker(worker);
}

static void fit_workers(struct fit *fit)
{
	guint i;

	for (i = 0; i < fit->workers->len; i++)
		fit_worker(g_ptr_array_index(fit->workers, i));
}

static void fit_queues(struct speed_model *model)
{
	struct speed_queue *queue;
	struct speed_stage *stage;

	list_for_each_entry(queue, &model->queues, node) {
		queue->sum = 0;
		queue->count = SPEED_QUEUE_PRIOR;
	}
	list_for_each_entry(stage, &model->stages, node) {
		stage->queue->sum += value(&stage->mean);
		stage->queue->count += 1;
	}
	list_for_each_entry(queue, &model->queues, node)
		queue->effect = queue->sum / queue->count;
}

/* Whether the latest runs all deviate from the estimate in one direction. */
static bool has_changed(const struct worker *worker)
{
	guint count = speed_sample_count(worker);
	int slower = 0, faster = 0;
	guint i;

	if (count <= SPEED_CHANGE_RUNS)
		return false;
	for (i = count - SPEED_CHANGE_RUNS; i < count; i++) {
		const struct speed_sample *sample = speed_sample_at(worker, i);
		double deviation = sample->log_rate -
				   value(&sample->stage->mean) -
				   worker->speed.log;

		slower += deviation < -SPEED_OUTLIER;
		faster += deviation > SPEED_OUTLIER;
	}
	return slower == SPEED_CHANGE_RUNS || faster == SPEED_CHANGE_RUNS;
}

/* The speed of a worker that has changed is that of its latest runs. */
static void forget_changed(struct fit *fit)
{
	guint i;

	for (i = 0; i < fit->workers->len; i++) {
		struct worker *worker = g_ptr_array_index(fit->workers, i);

		if (!has_changed(worker))
			continue;
		speed_forget(worker, SPEED_CHANGE_RUNS);
		prepare_samples(worker, fit->now_us);
		worker->speed.prior = 0;
		worker->speed.prior_weight = 0;
		speed_update_worker(worker);
	}
}

static void begin_fit(struct fit *fit, struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;

	fit->fleet = fleet;
	fit->now_us = now_us;
	fit->workers = g_ptr_array_new();
	list_for_each_entry(worker, &fleet->workers, node) {
		if (!worker->speed.changed)
			continue;
		worker->speed.changed = false;
		prepare_samples(worker, now_us);
		speed_update_worker(worker);
		g_ptr_array_add(fit->workers, worker);
	}
}

static int64_t fit_interval_us(const struct fleet *fleet)
{
	guint workers = g_hash_table_size(fleet->workers_by_id);

	return (1 + workers / SPEED_FIT_WORKERS) * SPEED_FIT_INTERVAL_MS *
	       1000LL;
}

static void fit_all(struct fleet *fleet, int64_t now_us)
{
	struct fit fit;
	int i;

	begin_fit(&fit, fleet, now_us);
	for (i = 0; i < SPEED_SWEEPS; i++) {
		if (i == SPEED_SWEEPS - 1)
			forget_changed(&fit);
		fit_stages(&fit);
		fit_workers(&fit);
		fit_queues(&fleet->speed);
	}
	g_ptr_array_unref(fit.workers);
}

void speed_fit(struct fleet *fleet, int64_t now_us)
{
	struct speed_model *model = &fleet->speed;
	bool fits = model->changed &&
		    now_us - model->fitted_us >= fit_interval_us(fleet);

	if (fits) {
		model->fitted_us = now_us;
		model->changed = false;
		fit_all(fleet, now_us);
	}
	if (fits || model->restored) {
		model->restored = false;
		speed_judge(fleet);
	}
}
