#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/crest.h"
#include "policy/routing.h"

#define SEEDS 5
#define RUN_US (60 * USEC_PER_SEC)
#define MEAN_US 10000.0
#define SLOW_FACTOR 4
#define SLOW_PERCENT 20
#define SPELL_US (2 * USEC_PER_SEC)

/*
 * Compares the rules for the choice of a server: each server has spells of
 * 2 s on average in which it runs four times slower, a fifth of the time.
 * Run times grow by 5 % with each request in flight. Two gateways choose
 * independently, each by what it has seen itself.
 */

#define GATEWAYS 2

struct server {
	struct routing_server seen[GATEWAYS];
	int in_flight;
	bool slow;
	int64_t until_us;
};

struct request {
	int server;
	int gateway;
	int64_t at_us;
};

enum rule { SHIPPED, TWO_CHOICES, RANDOM, RULES };

static const char *const rule_names[] = { "shipped", "two choices", "random" };

static int64_t exponential(GRand *rand, double mean)
{
	return (int64_t)(-mean * log(1.0 - g_rand_double(rand))) + 1;
}

/* The less loaded of two random servers, by requests then by latency. */
static struct routing_server *two_choices(struct routing_server *const *usable,
					  size_t n, GRand *rand)
{
	struct routing_server *a = usable[g_rand_int_range(rand, 0, (gint32)n)];
	struct routing_server *b = usable[g_rand_int_range(rand, 0, (gint32)n)];

	if (a->in_flight != b->in_flight)
		return a->in_flight < b->in_flight ? a : b;
	return a->latency_us <= b->latency_us ? a : b;
}

static int choose(struct server *servers, enum rule rule, int gateway,
		  GRand *rand, int64_t now_us)
{
	struct routing_server *usable[CREST_SERVERS], *chosen;
	size_t n = 0;
	int i;

	for (i = 0; i < CREST_SERVERS; i++)
		if (servers[i].seen[gateway].in_flight <
		    BACKEND_SLOTS / GATEWAYS)
			usable[n++] = &servers[i].seen[gateway];
	if (n == 0)
		return -1;
	if (rule == RANDOM)
		chosen = usable[g_rand_int_range(rand, 0, (gint32)n)];
	else if (rule == TWO_CHOICES)
		chosen = two_choices(usable, n, rand);
	else
		chosen = routing_pick(usable, n, rand, now_us);
	for (i = 0; &servers[i].seen[gateway] != chosen; i++)
		;
	return i;
}

static double speed_factor(struct server *server, GRand *rand, int64_t now_us)
{
	while (now_us >= server->until_us) {
		server->slow = g_rand_int_range(rand, 0, 100) < SLOW_PERCENT;
		server->until_us += exponential(rand, SPELL_US);
	}
	return (server->slow ? SLOW_FACTOR : 1) *
	       (1 + 0.05 * server->in_flight);
}

static int cmp_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void run(enum rule rule, double load, guint32 seed)
{
	struct server servers[CREST_SERVERS];
	GRand *rand = g_rand_new_with_seed(seed);
	GArray *reqs = g_array_new(FALSE, FALSE, sizeof(struct request));
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	double gap_us = MEAN_US / (CREST_SLOTS * load), sum = 0;
	struct crest_event event;
	struct crest_heap ends;
	int64_t now, next = 0, took;
	struct request req;
	int refused = 0, offered = 0;

	memset(servers, 0, sizeof(servers));
	crest_heap_init(&ends);
	while (next < RUN_US) {
		if (crest_heap_peek(&ends, &event) && event.at_us <= next) {
			crest_heap_pop(&ends);
			req = g_array_index(reqs, struct request, event.req);
			took = event.at_us - req.at_us;
			servers[req.server].in_flight--;
			routing_end(&servers[req.server].seen[req.gateway],
				    took, event.at_us);
			g_array_append_val(times, took);
			sum += (double)took;
			continue;
		}
		now = next;
		next += exponential(rand, gap_us);
		offered++;
		req.gateway = g_rand_int_range(rand, 0, GATEWAYS);
		req.at_us = now;
		req.server = choose(servers, rule, req.gateway, rand, now);
		if (req.server < 0) {
			refused++;
			continue;
		}
		took = (int64_t)(exponential(rand, MEAN_US) *
				 speed_factor(&servers[req.server], rand, now));
		servers[req.server].in_flight++;
		routing_start(&servers[req.server].seen[req.gateway]);
		crest_heap_push(&ends, now + took, reqs->len);
		g_array_append_val(reqs, req);
	}
	qsort(times->data, times->len, sizeof(int64_t), cmp_i64);
	printf("%4.2f %4u  %-12s %8.2f %8.2f %8.2f %8.2f\n", load, seed,
	       rule_names[rule], sum / times->len / 1000,
	       g_array_index(times, int64_t, times->len / 2) / 1000.0,
	       g_array_index(times, int64_t, times->len * 99UL / 100) / 1000.0,
	       100.0 * refused / offered);
	crest_heap_finish(&ends);
	g_array_free(reqs, TRUE);
	g_array_free(times, TRUE);
	g_rand_free(rand);
}

int main(void)
{
	const double loads[] = { 0.3, 0.45, 0.6 };
	guint32 seed;
	size_t i;
	int rule;

	printf("load seed  rule          mean_ms   p50_ms   p99_ms  full_%%\n");
	for (i = 0; i < G_N_ELEMENTS(loads); i++)
		for (seed = 1; seed <= SEEDS; seed++)
			for (rule = 0; rule < RULES; rule++)
				run((enum rule)rule, loads[i], seed);
	return 0;
}
