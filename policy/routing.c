#include "policy/routing.h"

#include <stdlib.h>

#include "base/limits.h"

static int cmp_int(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

/*
 * Returns the latency, halved for each ROUTE_AGE_MS without a sample, so
 * that a server that was slow once is tried again.
 */
static int64_t decayed_latency(const struct routing_server *server,
			       int64_t now_us)
{
	int64_t periods =
		(now_us - server->sampled_us) / (ROUTE_AGE_MS * USEC_PER_MSEC);

	return periods < 40 ? server->latency_us >> periods : 0;
}

/*
 * Picks one of the n servers that have a free slot; NULL when n is 0.
 * Applies the hot-cold rule of Prequal (NSDI 2024) to a random sample:
 * servers with more requests in flight than the sample's quantile
 * ROUTE_HOT_PERCENT are hot; of the others, the one with the lowest latency
 * is picked.
 */
struct routing_server *routing_pick(struct routing_server *const *usable,
				    size_t n, GRand *rand, int64_t now_us)
{
	struct routing_server *sample[ROUTE_SAMPLE], *best = NULL;
	int in_flight[ROUTE_SAMPLE] = { 0 };
	int limit;
	size_t k, m = n < ROUTE_SAMPLE ? n : ROUTE_SAMPLE;
	gint32 at;

	if (n == 0)
		return NULL;
	at = g_rand_int_range(rand, 0, (gint32)n);
	for (k = 0; k < m; k++) {
		if (m < n)
			at = g_rand_int_range(rand, 0, (gint32)n);
		else
			at = (gint32)((at + 1) % (gint32)n);
		sample[k] = usable[at];
		in_flight[k] = sample[k]->in_flight;
	}
	qsort(in_flight, m, sizeof(in_flight[0]), cmp_int);
	limit = in_flight[(m - 1) * ROUTE_HOT_PERCENT / 100];
	for (k = 0; k < m; k++)
		if (sample[k]->in_flight <= limit &&
		    (!best || decayed_latency(sample[k], now_us) <
				      decayed_latency(best, now_us)))
			best = sample[k];
	return best;
}

/* Records a request that was sent to the server. */
void routing_start(struct routing_server *server)
{
	server->in_flight++;
}

/*
 * Records the end of a request. run_us is its run time, or 0 when it is no
 * measure of the server's latency (refused at once, or canceled).
 */
void routing_end(struct routing_server *server, int64_t run_us, int64_t now_us)
{
	server->in_flight--;
	if (run_us <= 0)
		return;
	if (server->latency_us == 0)
		server->latency_us = run_us;
	else
		server->latency_us += (run_us - server->latency_us) / 8;
	server->sampled_us = now_us;
}
