#ifndef POLICY_ROUTING_H
#define POLICY_ROUTING_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* What the choice knows of a server; embedded in the caller's record. */
struct routing_server {
	int in_flight;
	int64_t latency_us; /* moving average of run times, 0: no sample */
	int64_t sampled_us; /* when the last sample came */
};

struct routing_server *routing_pick(struct routing_server *const *usable,
				    size_t n, GRand *rand, int64_t now_us);
void routing_start(struct routing_server *server);
void routing_end(struct routing_server *server, int64_t run_us, int64_t now_us);

#endif
