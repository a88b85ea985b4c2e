#include "policy/rt.h"

#include "base/limits.h"

/* Estimated time until one more request would be done. */
static int64_t load_of(const struct rt_server *server)
{
	int64_t latency = server->latency_us > 0 ? server->latency_us : 1;

	return (server->in_flight + 1) * latency;
}

static struct rt_server *two_choices(struct rt_server *const *usable, size_t n,
				     GRand *rand)
{
	struct rt_server *a, *b;
	gint32 i, j;

	i = g_rand_int_range(rand, 0, (gint32)n);
	if (n == 1)
		return usable[i];
	j = g_rand_int_range(rand, 0, (gint32)n - 1);
	if (j >= i)
		j++;
	a = usable[i];
	b = usable[j];
	if (a->in_flight != b->in_flight)
		return a->in_flight < b->in_flight ? a : b;
	return load_of(a) <= load_of(b) ? a : b;
}

static int cmp_int(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

/*
 * Prequal's rule on a sample of servers: those whose requests in flight
 * are above the sample's quantile are hot; the cold server with the lowest
 * latency is taken, and only when all are hot the one with the fewest
 * requests in flight.
 */
static struct rt_server *hot_cold(struct rt_server *const *usable, size_t n,
				  GRand *rand)
{
	struct rt_server *sample[ROUTE_SAMPLE], *best = NULL;
	int flights[ROUTE_SAMPLE] = { 0 };
	int limit;
	size_t k, m = n < ROUTE_SAMPLE ? n : ROUTE_SAMPLE;
	gint32 at = g_rand_int_range(rand, 0, (gint32)n);

	for (k = 0; k < m; k++) {
		if (m < n)
			at = g_rand_int_range(rand, 0, (gint32)n);
		else
			at = (gint32)((at + 1) % (gint32)n);
		sample[k] = usable[at];
		flights[k] = sample[k]->in_flight;
	}
	qsort(flights, m, sizeof(flights[0]), cmp_int);
	limit = flights[(m - 1) * ROUTE_HOT_PERCENT / 100];
	for (k = 0; k < m; k++)
		if (sample[k]->in_flight <= limit &&
		    (!best || sample[k]->latency_us < best->latency_us))
			best = sample[k];
	return best;
}

struct rt_server *rt_pick(enum rt_rule rule, struct rt_server *const *usable,
			  size_t n, GRand *rand)
{
	if (n == 0)
		return NULL;
	if (rule == RT_HOT_COLD)
		return hot_cold(usable, n, rand);
	return two_choices(usable, n, rand);
}

/* Counts a request that was sent to the server. */
void rt_start(struct rt_server *server)
{
	server->in_flight++;
}

/*
 * Counts the end of a request. run_us is its run time; 0 for one that says
 * nothing about the server's speed (refused at once, given up).
 */
void rt_end(struct rt_server *server, int64_t run_us)
{
	server->in_flight--;
	if (run_us <= 0)
		return;
	if (server->latency_us == 0)
		server->latency_us = run_us;
	else
		server->latency_us += (run_us - server->latency_us) / 8;
}
