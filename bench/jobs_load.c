#include "bench/jobs_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"

#define CREST_PERCENT 80
#define MINUTE_US (60 * USEC_PER_SEC)

const int load_weights[LOAD_CUSTOMERS] = { 5, 3, 1, 1 };

/* Accelerators, workers, racks: 248 of 400 accelerators are guaranteed. */
const int load_guarantees[LOAD_CUSTOMERS][3] = {
	{ 0, 0, 2 },
	{ 0, 4, 1 },
	{ 0, 2, 0 },
	{ 8, 0, 0 },
};

/* What one user's jobs look like; shares in percent. */
struct profile {
	int size_percent[6]; /* of the sizes below */
	double median_min;
	double sigma; /* of the log-normal run time */
	int burst_jobs;
};

static const int sizes[6] = { 1, 2, 4, 8, 32, 128 };

static const struct profile profiles[LOAD_USERS] = {
	[LOAD_RODA_BERSAMA] = { { 30, 20, 20, 20, 8, 2 }, 6, 1.2, 120 },
	[LOAD_BENNANI] = { { 15, 15, 20, 25, 18, 7 }, 20, 1.2, 40 },
};

static double normal(GRand *rnd)
{
	double u = 1.0 - g_rand_double(rnd), v = g_rand_double(rnd);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

static int pick_size(GRand *rnd, const struct profile *profile)
{
	int at = g_rand_int_range(rnd, 0, 100), i;

	for (i = 0; i < 5 && at >= profile->size_percent[i]; i++)
		at -= profile->size_percent[i];
	/* A third asks for odd sizes. */
	if (sizes[i] > 2 && g_rand_int_range(rnd, 0, 3) == 0)
		return sizes[i] - g_rand_int_range(rnd, 1, sizes[i] / 2);
	return sizes[i];
}

/* Minutes; 5 % of the jobs run many times longer than the others. */
static double pick_minutes(GRand *rnd, const struct profile *profile)
{
	double m = profile->median_min * exp(profile->sigma * normal(rnd));

	if (g_rand_int_range(rnd, 0, 20) == 0)
		m *= 10;
	return CLAMP(m, 0.2, 240.0);
}

static void make_job(struct load_job *job, GRand *rnd,
		     const struct profile *profile, int64_t at_us)
{
	static const int customers[10] = { 0, 0, 0, 0, 0, 1, 1, 1, 2, 3 };

	memset(job, 0, sizeof(*job));
	job->arrive_us = at_us;
	job->customer = customers[g_rand_int_range(rnd, 0, 10)];
	job->accelerators = pick_size(rnd, profile);
	job->work_us = pick_minutes(rnd, profile) * MINUTE_US;
	job->stoppable = g_rand_int_range(rnd, 0, 100) < 85;
	job->save_us = g_rand_int_range(rnd, 200, 7000) * USEC_PER_MSEC;
	job->hopeless = g_rand_int_range(rnd, 0, 100) < 2;
}

static void add(GArray *jobs, const struct load_job *job)
{
	g_array_append_val(jobs, *job);
}

/* Work offered, in accelerator-microseconds. */
static double work_of(const struct load_job *job)
{
	return (double)job->accelerators * job->work_us;
}

/* Three crests of an hour each bring most of the work. */
static int64_t pick_time(GRand *rnd, int64_t end_us)
{
	int crest = g_rand_int_range(rnd, 0, 3);

	if (g_rand_int_range(rnd, 0, 100) >= CREST_PERCENT)
		return g_rand_double(rnd) * end_us;
	return (crest + g_rand_double(rnd) * 3 / LOAD_HOURS) * end_us / 3;
}

static void make_background(GArray *jobs, GRand *rnd,
			    const struct profile *profile, double offered,
			    int64_t end_us)
{
	double capacity = (double)LOAD_WORKERS * LOAD_WORKER_SIZE * end_us;
	double sum = 0;
	struct load_job job;
	int64_t at;
	int i;

	while (sum < capacity * offered) {
		at = pick_time(rnd, end_us);
		if (g_rand_int_range(rnd, 0, profile->burst_jobs) != 0) {
			make_job(&job, rnd, profile, at);
			add(jobs, &job);
			sum += work_of(&job);
			continue;
		}
		/* A burst within two minutes. */
		for (i = 0; i < profile->burst_jobs / 2; i++) {
			make_job(&job, rnd, profile, at);
			job.arrive_us += g_rand_double(rnd) * 2 * MINUTE_US;
			add(jobs, &job);
			sum += work_of(&job);
		}
	}
}

/* Half of what one customer submitted in the last half hour is cancelled. */
static void make_waves(GArray *jobs, GRand *rnd, int64_t end_us)
{
	int wave;
	guint i;

	for (wave = 0; wave < 4; wave++) {
		int64_t at = g_rand_double(rnd) * end_us;
		int customer = g_rand_int_range(rnd, 0, LOAD_CUSTOMERS);

		for (i = 0; i < jobs->len; i++) {
			struct load_job *job =
				&g_array_index(jobs, struct load_job, i);

			if (job->customer == customer && job->arrive_us < at &&
			    job->arrive_us > at - 30 * MINUTE_US &&
			    g_rand_boolean(rnd) && !job->cancel_us)
				job->cancel_us = at;
		}
	}
}

/* Urgent work of the two large customers, within their guarantees. */
static void make_claims(GArray *jobs, GRand *rnd, const struct profile *profile,
			int64_t end_us)
{
	struct load_job job;
	int i;

	for (i = 0; i < 40; i++) {
		make_job(&job, rnd, profile, g_rand_double(rnd) * end_us);
		job.customer = g_rand_int_range(rnd, 0, 2);
		job.accelerators = g_rand_boolean(rnd) ? 64 : 32;
		job.work_us = g_rand_int_range(rnd, 2, 15) * MINUTE_US;
		job.urgent = true;
		job.hopeless = false;
		add(jobs, &job);
	}
}

static void make_faults(struct load *load, GRand *rnd)
{
	int i;

	load->fault_count = 10;
	load->faults = g_new0(struct load_fault, load->fault_count);
	for (i = 0; i < load->fault_count; i++) {
		struct load_fault *f = &load->faults[i];

		f->from_us = g_rand_double(rnd) * load->end_us;
		f->dead = i % 2;
		f->to_us = f->from_us + (f->dead ? 10 : 90) * MINUTE_US;
		f->worker = i * 5 + g_rand_int_range(rnd, 0, 5);
	}
}

static int by_arrival(const void *a, const void *b)
{
	const struct load_job *x = a, *y = b;

	return x->arrive_us < y->arrive_us ? -1 : x->arrive_us > y->arrive_us;
}

void load_make(struct load *load, enum load_user user, double offered,
	       uint32_t seed)
{
	GRand *rnd = g_rand_new_with_seed(seed * 2 + user);
	GArray *jobs = g_array_new(FALSE, FALSE, sizeof(struct load_job));

	memset(load, 0, sizeof(*load));
	load->end_us = LOAD_HOURS * 60 * MINUTE_US;
	make_background(jobs, rnd, &profiles[user], offered, load->end_us);
	make_waves(jobs, rnd, load->end_us);
	make_claims(jobs, rnd, &profiles[user], load->end_us);
	make_faults(load, rnd);
	load->job_count = jobs->len;
	load->jobs = (struct load_job *)g_array_free(jobs, FALSE);
	qsort(load->jobs, load->job_count, sizeof(load->jobs[0]), by_arrival);
	g_rand_free(rnd);
}

void load_finish(struct load *load)
{
	g_free(load->jobs);
	g_free(load->faults);
}
