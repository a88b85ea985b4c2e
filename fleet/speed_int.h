#ifndef FLEET_SPEED_INT_H
#define FLEET_SPEED_INT_H

#include "fleet/fleet_int.h"

/* Shared by speed.c and speed_fit.c. */

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
/* Deviation from which on a sample has less weight: a third off. */
#define SPEED_OUTLIER 0.4

/* Moves what the oldest samples but count tell into the worker's prior. */
void speed_merge(struct worker *worker, guint count, int64_t now_us);
/* Drops the oldest samples but count, and what they told. */
void speed_forget(struct worker *worker, guint count);

#endif
