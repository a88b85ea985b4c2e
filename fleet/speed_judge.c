#include "fleet/speed.h"

#include <math.h>

#include "fleet/speed_int.h"

/* Known workers from which on there is a typical speed, and a spread. */
#define SPEED_KNOWN_MIN 8
#define SPEED_LOW_SHARE 0.15
#define SPEED_HIGH_SHARE 0.85
/*
 * The typical speed is the median. It stays where it is if it would move by
 * more than SPEED_TYPICAL_STEP (logarithmic), from one group of workers to
 * another, and still lies between these shares: the groups are about as large.
 */
#define SPEED_TYPICAL_STEP 0.2
#define SPEED_TYPICAL_LOW 0.4
#define SPEED_TYPICAL_HIGH 0.6
/*
 * A run on a worker that is slower than typical by less than the tightest
 * stretch is in time; a tenth is left for waiting. The typical worker lies
 * between the slow and the fast ones, hence the square of it for their ratio.
 */
#define SPEED_MARGIN 0.9
/* The least spread that counts, whatever the objectives are: speeds of 0.8 and
 * 1.25 are alike. */
#define SPEED_SPREAD_MIN 1.7
/* A verdict that holds goes on holding down to this share of its limit. */
#define SPEED_HYSTERESIS 0.9

static int by_value(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double tightest_stretch(const struct config *config)
{
	double lowest = 0;
	guint i;

	for (i = 0; config && i < config->queues->len; i++) {
		const struct queue *queue =
			g_ptr_array_index(config->queues, i);

		if (queue->stretch > 0 &&
		    (lowest == 0 || queue->stretch < lowest))
			lowest = queue->stretch;
	}
	return lowest;
}

/* The spread from which on speeds are uneven; G_MAXDOUBLE: never. */
static double uneven_spread(const struct fleet *fleet)
{
	double stretch = SPEED_MARGIN * tightest_stretch(fleet->config);

	if (stretch <= 0)
		return G_MAXDOUBLE;
	return MAX(stretch * stretch, SPEED_SPREAD_MIN);
}

static double quantile(const GArray *sorted, double share)
{
	return g_array_index(sorted, double, (guint)(sorted->len * share));
}

static bool is_known(const struct worker *worker)
{
	return speed_certainty(worker) >= SPEED_KNOWN_CERTAINTY;
}

static GArray *known_speeds(const struct fleet *fleet)
{
	GArray *known = g_array_new(FALSE, FALSE, sizeof(double));
	const struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node)
		if (worker->listed && is_known(worker))
			g_array_append_val(known, worker->speed.log);
	g_array_sort(known, by_value);
	return known;
}

/* Returns by how much the typical speed has moved. */
static double typical_step(const GArray *known)
{
	double median = quantile(known, 0.5);

	if (fabs(median) > SPEED_TYPICAL_STEP &&
	    quantile(known, SPEED_TYPICAL_LOW) <= 0 &&
	    quantile(known, SPEED_TYPICAL_HIGH) >= 0)
		return 0;
	return median;
}

/*
 * Makes the typical speed the zero of the scale. Effects of workers and stages
 * move in opposite directions, so that no expectation changes, and workers of
 * which nothing is known count as typical.
 */
static void shift(struct fleet *fleet, double by)
{
	struct speed_stage *stage;
	struct speed_queue *queue;
	struct worker *worker;
	guint i;

	list_for_each_entry(worker, &fleet->workers, node) {
		if (worker->speed.prior_weight > 0)
			worker->speed.prior -= by;
		for (i = 0; i < speed_sample_count(worker); i++) {
			struct speed_sample *sample =
				speed_sample_at(worker, i);

			sample->to_worker.sum -= by * sample->to_worker.weight;
			sample->to_stage.sum += by * sample->to_stage.weight;
		}
		speed_update_worker(worker);
	}
	list_for_each_entry(stage, &fleet->speed.stages, node) {
		stage->mean.sum += by * stage->mean.weight;
		stage->past.sum += by * stage->past.weight;
	}
	list_for_each_entry(queue, &fleet->speed.queues, node)
		queue->effect += by;
}

static void note_change(struct fleet *fleet, const struct worker *worker)
{
	if (fleet->ops && fleet->ops->speed_changed)
		fleet->ops->speed_changed(fleet->user, worker);
}

static void judge_spread(struct fleet *fleet)
{
	struct speed_model *model = &fleet->speed;
	double limit = uneven_spread(fleet);
	bool before = model->uneven;

	if (before)
		limit *= SPEED_HYSTERESIS;
	model->uneven = model->spread >= limit;
	if (model->uneven != before)
		note_change(fleet, NULL);
}

static enum speed_class class_of(const struct worker *worker, double limit)
{
	enum speed_class now = worker->speed.class;
	double relative = worker->speed.relative;

	if (relative * limit * (now == SPEED_SLOW ? SPEED_HYSTERESIS : 1) <= 1)
		return SPEED_SLOW;
	if (relative >= limit * (now == SPEED_FAST ? SPEED_HYSTERESIS : 1))
		return SPEED_FAST;
	return SPEED_TYPICAL;
}

/* What was taken over from an earlier leader is not logged again. */
static void judge_worker(struct fleet *fleet, struct worker *worker,
			 double limit)
{
	enum speed_class before = worker->speed.class;

	if (!is_known(worker))
		return;
	worker->speed.class = class_of(worker, limit);
	if (worker->speed.class != before && speed_sample_count(worker) > 0)
		note_change(fleet, worker);
}

void speed_judge(struct fleet *fleet)
{
	struct speed_model *model = &fleet->speed;
	GArray *known = known_speeds(fleet);
	double limit = sqrt(uneven_spread(fleet));
	bool enough = known->len >= SPEED_KNOWN_MIN;
	struct worker *worker;

	model->known = (int)known->len;
	if (enough) {
		model->spread = exp(quantile(known, SPEED_HIGH_SHARE) -
				    quantile(known, SPEED_LOW_SHARE));
		shift(fleet, typical_step(known));
		judge_spread(fleet);
	}
	g_array_unref(known);
	list_for_each_entry(worker, &fleet->workers, node) {
		worker->speed.relative = exp(worker->speed.log);
		if (enough)
			judge_worker(fleet, worker, limit);
	}
}

const char *speed_class_name(enum speed_class speed_class)
{
	static const char *const names[] = { "typical", "slow", "fast" };

	return names[speed_class];
}
