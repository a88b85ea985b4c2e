#ifndef POLICY_ROUTING_H
#define POLICY_ROUTING_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Load and latency of a server; embedded in a struct of the caller. */
struct routing_server {
	int in_flight;
	int64_t latency_us; /* moving average of run times, 0: no sample */
	int64_t sampled_us; /* time of the last sample */
};

struct routing_server *routing_pick(struct routing_server *const *usable,
				    size_t n, GRand *rand, int64_t now_us);
void routing_start(struct routing_server *server);
void routing_end(struct routing_server *server, int64_t run_us, int64_t now_us);

#endif
