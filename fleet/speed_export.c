#include "fleet/speed.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "fleet/speed_int.h"

/* A smaller difference, in logarithms, changes no placement. */
#define SPEED_EXPORT_ERROR_MIN 0.1
/* Bounds the record: 4,000 workers take less than 100 KB. */
#define SPEED_EXPORT_MAX 4000

static uint64_t digest(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

static bool is_exported(const struct worker *worker)
{
	return worker->listed &&
	       speed_certainty(worker) >= SPEED_KNOWN_CERTAINTY;
}

static bool has_moved(const struct worker *worker)
{
	const struct worker_speed *speed = &worker->speed;
	double error = MAX(1.0 / sqrt(speed->weight), SPEED_EXPORT_ERROR_MIN);

	return speed->stored_weight <= 0 ||
	       fabs(speed->log - speed->stored_log) > error;
}

bool speed_export_due(const struct fleet *fleet)
{
	const struct worker *worker;

	/* While workers are alike, nobody uses the estimates. */
	if (!fleet->speed.uneven && !fleet->speed.exported_uneven)
		return false;
	list_for_each_entry(worker, &fleet->workers, node)
		if (is_exported(worker) && has_moved(worker))
			return true;
	return fleet->speed.exported_uneven != fleet->speed.uneven;
}

GArray *speed_export(struct fleet *fleet)
{
	GArray *estimates =
		g_array_new(FALSE, FALSE, sizeof(struct speed_estimate));
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node) {
		struct speed_estimate estimate = {
			.born_ms = worker->reported.born_ms,
			.log = worker->speed.log,
			.weight = MIN(worker->speed.weight,
				      SPEED_PRIOR_WEIGHT_MAX),
		};

		if (!is_exported(worker) || estimates->len >= SPEED_EXPORT_MAX)
			continue;
		estimate.worker = digest(worker->reported.id);
		g_array_append_val(estimates, estimate);
		worker->speed.stored_log = worker->speed.log;
		worker->speed.stored_weight = worker->speed.weight;
	}
	fleet->speed.exported_uneven = fleet->speed.uneven;
	return estimates;
}

void speed_adopt(struct fleet *fleet, struct worker *worker)
{
	struct speed_model *model = &fleet->speed;
	struct worker_speed *speed = &worker->speed;
	const struct speed_estimate *estimate;
	uint64_t key;

	if (g_hash_table_size(model->estimates) == 0)
		return;
	key = digest(worker->reported.id);
	estimate = g_hash_table_lookup(model->estimates, &key);
	if (!estimate || estimate->born_ms != worker->reported.born_ms)
		return;
	if (speed->prior_weight <= 0) {
		speed->prior = estimate->log;
		speed->prior_weight =
			MIN(estimate->weight, SPEED_PRIOR_WEIGHT_MAX);
		speed->stored_log = estimate->log;
		speed->stored_weight = estimate->weight;
		speed_update_worker(worker);
		speed->relative = exp(speed->log);
		model->restored = true;
	}
	g_hash_table_remove(model->estimates, &key);
}

void speed_restore(struct fleet *fleet, const GArray *estimates, bool uneven)
{
	struct speed_model *model = &fleet->speed;
	struct worker *worker;
	guint i;

	model->uneven |= uneven;
	model->exported_uneven = uneven;
	for (i = 0; i < estimates->len; i++) {
		struct speed_estimate *estimate = g_memdup2(
			&g_array_index(estimates, struct speed_estimate, i),
			sizeof(*estimate));

		g_hash_table_replace(model->estimates, &estimate->worker,
				     estimate);
	}
	list_for_each_entry(worker, &fleet->workers, node)
		if (!worker->replaced)
			speed_adopt(fleet, worker);
}
