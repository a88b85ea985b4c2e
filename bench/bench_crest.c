#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/crest.h"

#define SEEDS 5
#define CREST_SECONDS 10
#define SLOT_SECOND ((double)CREST_SLOTS * USEC_PER_SEC)

static bool trace;

/*
 * A crest of twice the capacity for 10 s with 5 % stragglers: queue and
 * server choice as shipped, against a single first-come queue. Roda
 * Bersama judges by waiting time and service at the crest, Bennani by
 * completion time and service at the crest.
 * Arguments: number of seeds, first seed, anything to trace the shares.
 */

/*
 * Stragglers run for 2.5 s on average. With long work of 500 ms they ran
 * for 25 s, and the load had not reached the capacity when the crest ended.
 */
static const struct crest_mix mixes[] = {
	{ "short-heavy", 90, 5000, 50000, 1000000, 10000000 },
	{ "long-heavy", 60, 5000, 50000, 1000000, 10000000 },
};

struct figures {
	double wait_p50_ms; /* short work that was started */
	double wait_p99_ms;
	double told_p99_ms; /* until started or refused */
	double behind_ms; /* mean, short work */
	double in_time;
	double in_time_percent;
	double done_mean_ms; /* arrival to answer, answered in time */
	double done_p99_ms;
	double refused_percent;
	double short_percent; /* answered in time, of short work */
	double long_percent;
	double share[CREST_CUSTOMERS]; /* slot time at the crest over share */
};

static int cmp_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(GArray *values, double q)
{
	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(int64_t), cmp_i64);
	return (double)g_array_index(values, int64_t,
				     (guint)(q * (values->len - 1))) /
	       1000;
}

static double mean_ms(const GArray *values)
{
	double sum = 0;
	guint i;

	for (i = 0; i < values->len; i++)
		sum += (double)g_array_index(values, int64_t, i);
	return values->len ? sum / values->len / 1000 : 0;
}

static int64_t overlap(int64_t from, int64_t to, int64_t from2, int64_t to2)
{
	if (from < from2)
		from = from2;
	if (to > to2)
		to = to2;
	return to > from ? to - from : 0;
}

/* Adds a stretch of slot time to the seconds of the crest. */
static void spread(const struct crest_load *load, double *seconds, int64_t from,
		   int64_t to)
{
	int64_t at = load->crest_from_us;
	int s;

	for (s = 0; s < CREST_SECONDS; s++, at += USEC_PER_SEC)
		seconds[s] += (double)overlap(from, to, at, at + USEC_PER_SEC);
}

/*
 * What a customer is due in a second of the crest is its weight's part of
 * the slot time given in that second, or its demand when that is less: the
 * slot time it would take if each of its requests started at once. The
 * crest as a whole would not do, since in its first seconds slots are free
 * and customers with more demand rightly take them.
 */
static void measure_shares(const struct crest_load *load, struct figures *f)
{
	double got[CREST_CUSTOMERS][CREST_SECONDS] = { 0 };
	double asked[CREST_CUSTOMERS][CREST_SECONDS] = { 0 };
	double total, due, part, sum_due, sum_got;
	const struct crest_req *req;
	int64_t end_us;
	size_t i;
	int c, s, k;

	for (i = 0; i < load->n; i++) {
		req = &load->reqs[i];
		end_us = req->at_us + req->run_us;
		if (end_us > req->deadline_us)
			end_us = req->deadline_us;
		spread(load, asked[req->customer], req->at_us, end_us);
		if (req->fate == CREST_ENDED)
			spread(load, got[req->customer], req->start_us,
			       req->end_us);
	}
	for (c = 0; c < CREST_CUSTOMERS; c++) {
		sum_due = sum_got = 0;
		for (s = 0; s < CREST_SECONDS; s++) {
			for (k = 0, total = 0; k < CREST_CUSTOMERS; k++)
				total += got[k][s];
			part = total * crest_weights[c] / 100;
			due = asked[c][s] < part ? asked[c][s] : part;
			sum_due += due;
			sum_got += got[c][s];
			if (trace)
				printf("trace customer %d second %d got %.2f "
				       "asked %.2f share %.2f of the slots\n",
				       c, s, got[c][s] / SLOT_SECOND,
				       asked[c][s] / SLOT_SECOND,
				       part / SLOT_SECOND);
		}
		f->share[c] = sum_got / sum_due;
	}
}

static void measure(const struct crest_load *load, struct figures *f)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *told = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *done = g_array_new(FALSE, FALSE, sizeof(int64_t));
	double behind = 0, refused = 0, n[DOC_CLASSES] = { 0 };
	double good[DOC_CLASSES] = { 0 };
	const struct crest_req *req;
	int64_t value;
	size_t i;

	for (i = 0; i < load->n; i++) {
		req = &load->reqs[i];
		n[req->class_]++;
		refused += req->fate == CREST_REFUSED;
		if (req->class_ == DOC_SHORT) {
			value = req->fate == CREST_REFUSED ?
					req->end_us - req->at_us :
					req->start_us - req->at_us;
			g_array_append_val(told, value);
			if (req->fate == CREST_ENDED)
				g_array_append_val(waits, value);
			behind += req->behind_us;
		}
		if (req->fate != CREST_ENDED ||
		    req->start_us + req->run_us > req->deadline_us)
			continue;
		good[req->class_]++;
		value = req->end_us - req->at_us;
		g_array_append_val(done, value);
	}
	f->wait_p50_ms = quantile_ms(waits, 0.5);
	f->wait_p99_ms = quantile_ms(waits, 0.99);
	f->told_p99_ms = quantile_ms(told, 0.99);
	f->behind_ms = behind / n[DOC_SHORT] / 1000;
	f->in_time = good[DOC_SHORT] + good[DOC_LONG];
	f->in_time_percent = 100 * f->in_time / (double)load->n;
	f->short_percent = 100 * good[DOC_SHORT] / n[DOC_SHORT];
	f->long_percent = 100 * good[DOC_LONG] / n[DOC_LONG];
	f->refused_percent = 100 * refused / (double)load->n;
	f->done_mean_ms = mean_ms(done);
	f->done_p99_ms = quantile_ms(done, 0.99);
	measure_shares(load, f);
	g_array_free(waits, TRUE);
	g_array_free(told, TRUE);
	g_array_free(done, TRUE);
}

static void print_row(unsigned int seed, const char *run,
		      const struct figures *f)
{
	printf("%4u %-10s %8.1f %9.1f %9.1f %9.2f %7.1f %6.1f %6.1f %8.1f "
	       "%9.1f %10.1f  %.2f %.2f %.2f %.2f\n",
	       seed, run, f->wait_p50_ms, f->wait_p99_ms, f->told_p99_ms,
	       f->behind_ms, f->in_time_percent, f->short_percent,
	       f->long_percent, f->refused_percent, f->done_mean_ms,
	       f->done_p99_ms, f->share[0], f->share[1], f->share[2],
	       f->share[3]);
}

/* Worst of each ratio over the seeds. */
struct verdict {
	double wait; /* ours over baseline's */
	double in_time;
	double done; /* mean completion, ours over baseline's */
	double share;
};

static void judge(struct verdict *v, const struct figures *base,
		  const struct figures *ours)
{
	double wait = ours->wait_p99_ms / base->wait_p99_ms;
	double done = ours->done_mean_ms / base->done_mean_ms;
	int c;

	if (wait > v->wait)
		v->wait = wait;
	if (ours->in_time / base->in_time < v->in_time)
		v->in_time = ours->in_time / base->in_time;
	if (done > v->done)
		v->done = done;
	for (c = 0; c < CREST_CUSTOMERS; c++)
		if (ours->share[c] < v->share)
			v->share = ours->share[c];
}

static void print_verdict(const char *base, const struct verdict *v)
{
	printf("against %s, worst of the seeds:\n", base);
	printf("  Roda Bersama  p99 wait of short work %.4f (target 0.1) %s; "
	       "answered in time %.2f (target 1.5) %s\n",
	       v->wait, v->wait <= 0.1 ? "met" : "MISSED", v->in_time,
	       v->in_time >= 1.5 ? "met" : "MISSED");
	printf("  Bennani       mean completion %.2f (no target); answered in "
	       "time %.2f (target 1.5) %s\n",
	       v->done, v->in_time, v->in_time >= 1.5 ? "met" : "MISSED");
	printf("  least customer %.3f of its share (target 1) %s\n", v->share,
	       v->share >= 1 ? "met" : "MISSED");
}

static void run_mix(const struct crest_mix *mix, unsigned int first_seed,
		    unsigned int seeds)
{
	struct verdict plain = { 0, 1e9, 0, 1e9 }, drops = plain;
	struct figures fifo, dropping, ours;
	struct crest_load load;
	unsigned int seed;

	printf("\nmix %s: %d%% short of %lld ms, long of %lld ms\n", mix->name,
	       mix->short_percent, (long long)mix->short_us / 1000,
	       (long long)mix->long_us / 1000);
	printf("seed run        wait_p50  wait_p99  told_p99    behind in_time "
	       " short   long  refused done_mean   done_p99  share of 4\n");
	for (seed = first_seed; seed < first_seed + seeds; seed++) {
		crest_generate(&load, mix, seed);
		crest_run_fifo(&load, CREST_FIFO);
		measure(&load, &fifo);
		print_row(seed, "fifo", &fifo);
		crest_run_fifo(&load, CREST_FIFO_DROPS);
		measure(&load, &dropping);
		print_row(seed, "fifo-drops", &dropping);
		crest_run_policy(&load, seed);
		measure(&load, &ours);
		print_row(seed, "chivebank", &ours);
		judge(&plain, &fifo, &ours);
		judge(&drops, &dropping, &ours);
		crest_free(&load);
	}
	print_verdict("fifo", &plain);
	print_verdict("fifo-drops", &drops);
}

int main(int argc, char **argv)
{
	unsigned int seeds = argc > 1 ? (unsigned int)atoi(argv[1]) : SEEDS;
	unsigned int first = argc > 2 ? (unsigned int)atoi(argv[2]) : 1;
	size_t i;

	trace = argc > 3;
	printf("%d servers x %d slots, customers' weights 40 30 20 10, demand "
	       "45 35 12 8 %%, load 0.7, 2.0 for 10 s, 0.7; times in ms\n",
	       CREST_SERVERS, BACKEND_SLOTS);
	for (i = 0; i < G_N_ELEMENTS(mixes); i++)
		run_mix(&mixes[i], first, seeds);
	return 0;
}
