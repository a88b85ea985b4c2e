#ifndef FLEET_RECLAIM_OPTION_H
#define FLEET_RECLAIM_OPTION_H

#include "fleet/placement.h"

/*
 * What one worker could free for a stage if runs there were stopped. In a full
 * pool of gangs the cost of workers is not independent: stopping a gang frees
 * room on several workers, and loses the work of all its tasks once.
 */

/* A worker and the runs to be stopped there to free slots for the stage. */
struct reclaim_option {
	struct worker *worker;
	int slots; /* tasks of the stage that would fit */
	/* Core-milliseconds; runs that are already stopping count as 0. */
	double loss;
	/* The same, but of a gang only the tasks that run on this worker. */
	double local_loss;
	GPtrArray *victims; /* struct task, one per gang */
};

/* Chooses the cheapest runs to stop, until up to want tasks would fit. */
void reclaim_option_init(struct reclaim_option *option, struct placement *p,
			 struct worker *worker, const struct stage *stage,
			 int want);
void reclaim_option_finish(struct reclaim_option *option);

#endif
