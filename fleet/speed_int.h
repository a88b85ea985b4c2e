#ifndef FLEET_SPEED_INT_H
#define FLEET_SPEED_INT_H

#include "fleet/fleet_int.h"

/*
 * Shared by speed.c (observations), speed_fit.c (effects), speed_judge.c (what
 * the effects mean for placement) and speed_export.c (estimates that outlive
 * the leader).
 */

/*
 * Runs whose samples are kept of each worker: two rounds of a worker with 8
 * accelerators. They bound the memory and the time of a fit.
 */
#define SPEED_SAMPLES_MAX 16
/*
 * Standard deviation of the workers' speeds before anything is known, on the
 * logarithmic scale: speeds from 0.6 to 1.65 are nothing unusual.
 */
#define SPEED_WORKER_SD 0.5
#define SPEED_WORKER_WEIGHT (1.0 / (SPEED_WORKER_SD * SPEED_WORKER_SD))
/*
 * Bound of the weight of a prior, about that of one run. Runs whose samples were
 * dropped keep the level of workers that run no stage together with others,
 * and have no part in it once a worker has changed.
 */
#define SPEED_PRIOR_WEIGHT_MAX 40.0
/* Certainty from which on a worker's speed is known. */
#define SPEED_KNOWN_CERTAINTY 0.7
/* Deviation from which on a sample has less weight: a third off. */
#define SPEED_OUTLIER 0.4

static inline guint speed_sample_count(const struct worker *worker)
{
	return worker->speed.samples ? worker->speed.samples->len : 0;
}

static inline struct speed_sample *speed_sample_at(const struct worker *worker,
						   guint i)
{
	return &g_array_index(worker->speed.samples, struct speed_sample, i);
}

/* Sums what the worker's samples and its prior tell of it. */
void speed_update_worker(struct worker *worker);
/* Finds the typical speed, the workers' classes, and whether speeds are uneven. */
void speed_judge(struct fleet *fleet);
/* Drops the oldest samples but count, and what they told. */
void speed_forget(struct worker *worker, guint count);

#endif
