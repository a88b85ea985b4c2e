#ifndef POLICY_ADMISSION_CAPACITY_H
#define POLICY_ADMISSION_CAPACITY_H

#include "policy/rq.h"

/* Capacity and observed run times of a queue; used by rq.c. */

void admission_capacity_learn(struct rq *rq, struct rq_item *item,
			      int64_t run_us);
int admission_capacity_long_limit(const struct rq *rq);
int admission_capacity_hard_limit(const struct rq *rq);
void admission_capacity_measure(struct rq *rq, int64_t now_us);

#endif
