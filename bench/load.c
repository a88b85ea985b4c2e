#include "bench/load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"

#define QUEUE_MAX 100000 /* arrivals that wait for a connection */

struct load_call {
	struct hc_call hc;
	struct load *load;
	int64_t due_us; /* open loop: arrival; closed loop: start */
	bool busy;
};

struct load {
	struct kn_task task;
	struct kn_msg again;
	struct kn kn;
	const struct load_options *options;
	struct load_result *result;
	struct hc_pool pool;
	struct load_call calls[LOAD_CONNS_MAX];
	unsigned int busy;
	char *body;
	GRand *rand;
	GQueue waiting; /* due times of arrivals, as pointers */
	int64_t begin_us; /* samples count from here */
	int64_t end_us;
	int64_t next_us; /* next arrival */
	bool measuring;
	double cpu_begin;
	int64_t *samples;
	size_t sample_count;
};

double load_cpu_seconds(int pid)
{
	unsigned long user = 0, sys = 0;
	char path[64], text[1024] = "";
	const char *at;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	file = fopen(path, "r");
	if (!file)
		return -1;
	if (!fgets(text, sizeof(text), file))
		text[0] = '\0';
	fclose(file);
	/* The name in parentheses may hold spaces. */
	at = strrchr(text, ')');
	if (!at ||
	    sscanf(at + 1,
		   " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		   &user, &sys) != 2)
		return -1;
	return (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
}

/* Calls. */

static void on_done(struct hc_call *hc);

static struct load_call *free_call(struct load *load)
{
	unsigned int i;

	for (i = 0; i < load->options->conns; i++)
		if (!load->calls[i].busy)
			return &load->calls[i];
	return NULL;
}

static bool start_call(struct load *load, int64_t due_us)
{
	const struct load_options *o = load->options;
	struct load_call *call = free_call(load);

	if (!call || !hc_call_start(&call->hc, &load->pool, o->method,
				    o->target, o->headers, load->body,
				    o->body_bytes, LOAD_TIMEOUT_MS, on_done))
		return false;
	call->load = load;
	call->due_us = due_us;
	call->busy = true;
	load->busy++;
	return true;
}

static void count(struct load *load, const struct load_call *call)
{
	const struct hc_call *hc = &call->hc;

	if (!load->measuring || hc->ended_us > load->end_us)
		return;
	if (hc->result != CB_OK) {
		load->result->failed++;
	} else if (hc->status >= 400) {
		load->result->refused++;
	} else {
		load->result->answered++;
		if (load->sample_count < LOAD_SAMPLES_MAX)
			load->samples[load->sample_count++] =
				hc->ended_us - call->due_us;
	}
}

static void start_waiting(struct load *load)
{
	int64_t due_us;

	while (!g_queue_is_empty(&load->waiting)) {
		due_us = (int64_t)(intptr_t)g_queue_peek_head(&load->waiting);
		if (!start_call(load, due_us))
			return;
		g_queue_pop_head(&load->waiting);
	}
}

static void on_done(struct hc_call *hc)
{
	struct load_call *call = container_of(hc, struct load_call, hc);
	struct load *load = call->load;
	int64_t now_us = hc->ended_us;

	count(load, call);
	hc_call_finish(hc);
	call->busy = false;
	load->busy--;
	if (now_us >= load->end_us)
		return;
	if (load->options->rate > 0)
		start_waiting(load);
	else
		start_call(load, now_us);
}

/* Loop. */

/* Arrivals follow a seeded Poisson process. */
static void arrive(struct load *load, int64_t now_us)
{
	double gap_us;

	while (load->next_us <= now_us && load->next_us < load->end_us) {
		if (g_queue_get_length(&load->waiting) < QUEUE_MAX)
			g_queue_push_tail(&load->waiting,
					  (gpointer)(intptr_t)load->next_us);
		gap_us = -log(1.0 - g_rand_double(load->rand)) * USEC_PER_SEC /
			 load->options->rate;
		load->next_us += (int64_t)gap_us + 1;
	}
	start_waiting(load);
}

static void begin_measuring(struct load *load)
{
	load->measuring = true;
	load->cpu_begin = load_cpu_seconds(load->options->pid);
}

/*
 * Runs once in each turn of the kernel. An open loop sends itself a message
 * each time and so never sleeps: the event loop waits in whole milliseconds,
 * which would show up in the latency of each arrival.
 */
static void load_turn(struct kn_task *task, struct kn_msg *msg)
{
	struct load *load = (struct load *)task;
	int64_t now_us = kn_now_us();

	if (!load->measuring && now_us >= load->begin_us)
		begin_measuring(load);
	if (load->options->rate <= 0 || now_us >= load->end_us)
		return;
	arrive(load, now_us);
	kn_send(task, NULL, msg);
}

static const struct kn_task_ops load_ops = { .receive = load_turn };

static void run_loop(struct load *load)
{
	unsigned int i;

	if (load->options->rate <= 0)
		for (i = 0; i < load->options->conns; i++)
			start_call(load, kn_now_us());
	while (kn_now_us() < load->end_us) {
		if (list_empty(&load->task.mailbox))
			kn_send(&load->task, NULL, &load->again);
		kn_turn(&load->kn);
	}
}

/* Results. */

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int64_t quantile(const struct load *load, double q)
{
	size_t i = (size_t)(q * (double)load->sample_count);

	if (load->sample_count == 0)
		return 0;
	return load->samples[MIN(i, load->sample_count - 1)];
}

static void summarize(struct load *load)
{
	struct load_result *result = load->result;
	double cpu = load_cpu_seconds(load->options->pid);

	result->seconds = load->options->seconds;
	result->cpu_seconds = cpu < 0 ? -1 : cpu - load->cpu_begin;
	qsort(load->samples, load->sample_count, sizeof(*load->samples),
	      compare);
	result->p50_us = quantile(load, 0.5);
	result->p99_us = quantile(load, 0.99);
	result->max_us = quantile(load, 1.0);
}

/*
 * Runs for LOAD_WARMUP_MS and then options->seconds, in a kernel of its own.
 * Latencies of an open loop count from the arrival, so time spent waiting
 * for a connection is included. Requests in progress at the end are dropped.
 */
bool load_run(const struct load_options *options, struct load_result *result,
	      GError **err)
{
	struct load *load = g_new0(struct load, 1);
	int64_t now_us = kn_now_us();

	memset(result, 0, sizeof(*result));
	load->options = options;
	load->result = result;
	if (options->conns > LOAD_CONNS_MAX ||
	    options->seconds > LOAD_SECONDS_MAX || !kn_init(&load->kn, err)) {
		g_free(load);
		return false;
	}
	load->samples = g_new(int64_t, LOAD_SAMPLES_MAX);
	load->body = g_malloc0(options->body_bytes + 1);
	load->rand = g_rand_new_with_seed(options->seed);
	g_queue_init(&load->waiting);
	load->begin_us = now_us + LOAD_WARMUP_MS * USEC_PER_MSEC;
	load->end_us = load->begin_us +
		       (int64_t)(options->seconds * (double)USEC_PER_SEC);
	load->next_us = now_us;
	kn_add(&load->kn, &load->task, "load", &load_ops);
	hc_pool_init(&load->pool, &load->kn, options->addr, options->port,
		     options->conns);
	run_loop(load);
	summarize(load);
	load->measuring = false;
	hc_pool_finish(&load->pool);
	kn_finish(&load->kn);
	g_queue_clear(&load->waiting);
	g_rand_free(load->rand);
	g_free(load->body);
	g_free(load->samples);
	g_free(load);
	return true;
}
