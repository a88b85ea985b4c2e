#ifndef FLEET_RECLAIM_OPTION_H
#define FLEET_RECLAIM_OPTION_H

#include "fleet/placement.h"

/*
 * What single workers can give a stage if runs there are stopped. It answers
 * gangs in a full pool: to stop one frees room at several workers, and loses
 * the work of all of its members once.
 */

/* One worker, and what has to stop there to make room for some tasks. */
struct reclaim_option {
	struct worker *worker;
	int slots;
	/* Core-milliseconds; what has to stop anyway loses nothing. */
	double loss;
	/* The same, but with the part of each gang that runs here only. */
	double local_loss;
	GPtrArray *victims; /* struct task, one of each gang */
};

void reclaim_option_init(struct reclaim_option *option, struct placement *p,
			 struct worker *worker, const struct stage *stage,
			 int want);
void reclaim_option_finish(struct reclaim_option *option);

#endif
