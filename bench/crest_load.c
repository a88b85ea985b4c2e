#include "bench/crest.h"

#include <math.h>

#define BEFORE_US (10 * USEC_PER_SEC)
#define CREST_US (10 * USEC_PER_SEC)
#define AFTER_US (15 * USEC_PER_SEC)
#define BASE_LOAD 0.7
#define CREST_LOAD 2.0
#define STRAGGLER_PERCENT 5
#define STRAGGLER_FACTOR 50

const int crest_weights[CREST_CUSTOMERS] = { 40, 30, 20, 10 };
const int crest_demand[CREST_CUSTOMERS] = { 45, 35, 12, 8 };

static int64_t exponential(GRand *rand, double mean)
{
	return (int64_t)(-mean * log(1.0 - g_rand_double(rand))) + 1;
}

static int pick_customer(GRand *rand)
{
	int at = g_rand_int_range(rand, 0, 100), i;

	for (i = 0; i < CREST_CUSTOMERS - 1 && at >= crest_demand[i]; i++)
		at -= crest_demand[i];
	return i;
}

/*
 * Draws Poisson arrivals of exponential run times. The capacity counts
 * stragglers, which are five in a hundred and run fifty times longer.
 */
void crest_generate(struct crest_load *load, const struct crest_mix *mix,
		    guint32 seed)
{
	GArray *reqs = g_array_new(FALSE, TRUE, sizeof(struct crest_req));
	GRand *rand = g_rand_new_with_seed(seed);
	double mean, rate;
	struct crest_req req;
	int64_t now = 0;

	mean = (mix->short_us * mix->short_percent +
		mix->long_us * (100 - mix->short_percent)) /
	       100.0;
	mean *= 1 + STRAGGLER_PERCENT * (STRAGGLER_FACTOR - 1) / 100.0;
	load->crest_from_us = BEFORE_US;
	load->crest_to_us = BEFORE_US + CREST_US;
	load->end_us = load->crest_to_us + AFTER_US;
	for (;;) {
		rate = CREST_SLOTS / mean;
		rate *= now >= load->crest_from_us && now < load->crest_to_us ?
				CREST_LOAD :
				BASE_LOAD;
		now += exponential(rand, 1 / rate);
		if (now >= load->end_us)
			break;
		memset(&req, 0, sizeof(req));
		req.at_us = now;
		req.customer = pick_customer(rand);
		req.class_ =
			g_rand_int_range(rand, 0, 100) < mix->short_percent ?
				DOC_SHORT :
				DOC_LONG;
		req.run_us = exponential(rand, req.class_ == DOC_SHORT ?
						       mix->short_us :
						       mix->long_us);
		req.straggler =
			g_rand_int_range(rand, 0, 100) < STRAGGLER_PERCENT;
		if (req.straggler)
			req.run_us *= STRAGGLER_FACTOR;
		req.deadline_us = now + (req.class_ == DOC_SHORT ?
						 mix->short_deadline_us :
						 mix->long_deadline_us);
		g_array_append_val(reqs, req);
	}
	load->n = reqs->len;
	load->reqs = (struct crest_req *)g_array_free(reqs, FALSE);
	g_rand_free(rand);
}

void crest_free(struct crest_load *load)
{
	g_free(load->reqs);
}

/* Event queue. */

void crest_heap_init(struct crest_heap *heap)
{
	heap->events = g_array_new(FALSE, FALSE, sizeof(struct crest_event));
}

void crest_heap_finish(struct crest_heap *heap)
{
	g_array_free(heap->events, TRUE);
}

static struct crest_event *at(const struct crest_heap *heap, size_t i)
{
	return &g_array_index(heap->events, struct crest_event, i);
}

static void swap(struct crest_heap *heap, size_t i, size_t k)
{
	struct crest_event tmp = *at(heap, i);

	*at(heap, i) = *at(heap, k);
	*at(heap, k) = tmp;
}

void crest_heap_push(struct crest_heap *heap, int64_t at_us, size_t req)
{
	struct crest_event event = { at_us, req };
	size_t i = heap->events->len;

	g_array_append_val(heap->events, event);
	while (i > 0 && at(heap, i)->at_us < at(heap, (i - 1) / 2)->at_us) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

bool crest_heap_peek(const struct crest_heap *heap, struct crest_event *event)
{
	if (heap->events->len == 0)
		return false;
	*event = *at(heap, 0);
	return true;
}

void crest_heap_pop(struct crest_heap *heap)
{
	size_t n = heap->events->len - 1, i = 0, k;

	*at(heap, 0) = *at(heap, n);
	g_array_set_size(heap->events, (guint)n);
	for (;;) {
		k = 2 * i + 1;
		if (k >= n)
			return;
		if (k + 1 < n && at(heap, k + 1)->at_us < at(heap, k)->at_us)
			k++;
		if (at(heap, i)->at_us <= at(heap, k)->at_us)
			return;
		swap(heap, i, k);
		i = k;
	}
}
