#ifndef POLICY_RQC_H
#define POLICY_RQC_H

#include "policy/rq.h"

/* Capacity and observed run times of a queue; used by rq.c. */

void rqc_learn(struct rq *rq, struct rq_item *item, int64_t run_us);
int rqc_long_limit(const struct rq *rq);
int rqc_hard_limit(const struct rq *rq);
void rqc_measure(struct rq *rq, int64_t now_us);

#endif
