#ifndef POLICY_RT_H
#define POLICY_RT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* What the choice knows of a server; embedded in the caller's record. */
struct rt_server {
	int in_flight;
	int64_t latency_us; /* moving average of run times, 0: no sample */
	int64_t sampled_us; /* when the last sample came */
};

struct rt_server *rt_pick(struct rt_server *const *usable, size_t n,
			  GRand *rand, int64_t now_us);
void rt_start(struct rt_server *server);
void rt_end(struct rt_server *server, int64_t run_us, int64_t now_us);

#endif
