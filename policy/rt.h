#ifndef POLICY_RT_H
#define POLICY_RT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum rt_rule { RT_TWO_CHOICES, RT_HOT_COLD };

/* What the choice knows of a server; embedded in the caller's record. */
struct rt_server {
	int in_flight;
	int64_t latency_us; /* moving average of run times, 0: no sample */
};

/*
 * Chooses among the n servers that have a free slot; NULL when n is 0.
 * Ties are broken at random so that equal hosts do not march in step.
 */
struct rt_server *rt_pick(enum rt_rule rule, struct rt_server *const *usable,
			  size_t n, GRand *rand);
void rt_start(struct rt_server *server);
void rt_end(struct rt_server *server, int64_t run_us);

#endif
