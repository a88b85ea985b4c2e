#include "base/ctr.h"

#include <inttypes.h>
#include <string.h>

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

/* Prepares an empty set of metrics. */
void ctr_set_init(struct ctr_set *set)
{
	list_init(&set->all);
}

/* Registers a metric with the set; the strings must outlive it. */
void ctr_init(struct ctr *ctr, struct ctr_set *set, enum ctr_kind kind,
	      const char *name, const char *labels, const char *help)
{
	memset(ctr, 0, sizeof(*ctr));
	ctr->kind = kind;
	ctr->name = name;
	ctr->labels = labels;
	ctr->help = help;
	list_add_tail(&ctr->node, &set->all);
}

/* Takes a metric out of its set. */
void ctr_finish(struct ctr *ctr)
{
	list_del(&ctr->node);
}

/* Adds n to a counter. */
void ctr_add(struct ctr *ctr, uint64_t n)
{
	ctr->value += n;
}

/* Sets a gauge. */
void ctr_gauge(struct ctr *ctr, uint64_t value)
{
	ctr->value = value;
}

/* Bucket i holds samples in [2^(i-1), 2^i), bucket 0 holds zero. */
static int bucket_of(uint64_t sample)
{
	int i = 0;

	while (sample > 0 && i < CTR_BUCKETS - 1) {
		sample >>= 1;
		i++;
	}
	return i;
}

/* Adds one sample to a histogram. */
void ctr_observe(struct ctr *ctr, uint64_t sample)
{
	ctr->value++;
	ctr->sum += sample;
	ctr->buckets[bucket_of(sample)]++;
}

/* Returns an upper bound of the q quantile, exact to a factor of two. */
uint64_t ctr_quantile(const struct ctr *ctr, double q)
{
	uint64_t want = (uint64_t)(q * (double)ctr->value);
	uint64_t seen = 0;
	int i;

	for (i = 0; i < CTR_BUCKETS; i++) {
		seen += ctr->buckets[i];
		if (seen > want)
			return i ? (UINT64_C(1) << i) - 1 : 0;
	}
	return 0;
}

static void print_histogram(const struct ctr *ctr, GString *out)
{
	const char *labels = ctr->labels ? ctr->labels : "";
	const char *comma = ctr->labels ? "," : "";
	uint64_t seen = 0;
	int i;

	for (i = 0; i < CTR_BUCKETS; i++) {
		seen += ctr->buckets[i];
		if (ctr->buckets[i] == 0)
			continue;
		g_string_append_printf(
			out, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n",
			ctr->name, labels, comma, (UINT64_C(1) << i) - 1, seen);
	}
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			       ctr->name, labels, comma, ctr->value);
	g_string_append_printf(out, "%s_sum{%s} %" PRIu64 "\n", ctr->name,
			       labels, ctr->sum);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", ctr->name,
			       labels, ctr->value);
}

/* Appends all metrics in the Prometheus text format. */
void ctr_print(const struct ctr_set *set, GString *out)
{
	const char *previous = "";
	const struct ctr *ctr;

	list_for_each_entry(ctr, &set->all, node) {
		if (strcmp(previous, ctr->name) != 0)
			g_string_append_printf(
				out, "# HELP %s %s\n# TYPE %s %s\n", ctr->name,
				ctr->help, ctr->name, kind_names[ctr->kind]);
		previous = ctr->name;
		if (ctr->kind == CTR_HISTOGRAM)
			print_histogram(ctr, out);
		else if (ctr->labels)
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
					       ctr->name, ctr->labels,
					       ctr->value);
		else
			g_string_append_printf(out, "%s %" PRIu64 "\n",
					       ctr->name, ctr->value);
	}
}
