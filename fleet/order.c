#include "fleet/order.h"

#include <string.h>

#include "fleet/long_running.h"
#include "fleet/limits.h"

/* Length of the critical path of the unfinished stages. */
double order_remaining_ms(const struct fleet *fleet, const struct job *job)
{
	double ends[SPEC_STEPS_MAX];
	double longest = 0;
	int64_t occurrence = MAX(job->due, 1) - 1;
	int i, j;

	for (i = 0; i < job->spec.nsteps; i++) {
		const struct stage *stage = job_stage(job, occurrence, i);
		double begin = 0;

		for (j = 0; j < i; j++)
			if (job->spec.steps[i].after >> j & 1)
				begin = MAX(begin, ends[j]);
		ends[i] = begin;
		if (stage && stage->state != STAGE_DONE)
			ends[i] += fleet_expected_ms(fleet, stage);
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

double order_objective_ms(const struct fleet *fleet, const struct job *job)
{
	return job->stretch * (double)job_spec_chain_ms(&job->spec) +
	       (double)job->slo_ms;
}

double order_slack_ms(const struct fleet *fleet, struct job *job,
		      int64_t now_us)
{
	if (job->slack_at_us != now_us) {
		job->slack_at_us = now_us;
		job->slack_ms = order_objective_ms(fleet, job) -
				order_remaining_ms(fleet, job) -
				(double)(now_us - job->arrived_us) / 1000.0;
	}
	return job->slack_ms;
}

enum order_feasibility order_feasibility(const struct fleet *fleet,
					 const struct job *job, int64_t now_us)
{
	double waited_ms = (double)(now_us - job->arrived_us) / 1000.0;
	double done_ms = waited_ms + order_remaining_ms(fleet, job);
	double objective_ms = order_objective_ms(fleet, job);

	/*
	 * The objective of a job with due times counts from each due time, and
	 * a long-running job has none.
	 */
	if (job->spec.times > 0 || long_running_job(job))
		return FEASIBLE_IN_TIME;
	if (done_ms <= objective_ms)
		return FEASIBLE_IN_TIME;
	return done_ms <= LATE_FACTOR * objective_ms ? FEASIBLE_LATE :
						       INFEASIBLE;
}

static bool has_restartable_task(const struct job *job)
{
	guint i;
	int t;

	if (job_ended(job))
		return false;
	for (i = 0; i < job->stages->len; i++) {
		const struct stage *stage = g_ptr_array_index(job->stages, i);

		if (stage->state != STAGE_OPEN)
			continue;
		for (t = 0; t < stage->spec->count; t++)
			if (task_restartable(&stage->tasks[t]))
				return true;
	}
	return false;
}

/*
 * Sort key of a job, lower is earlier. Long-running jobs that were started
 * before and lost their room come first. The others are sorted by priority,
 * then by feasibility, then by the time at which the objective is missed.
 */
static double rank(const struct fleet *fleet, const struct job *job,
		   int64_t now_us)
{
	double feasibility = (double)order_feasibility(fleet, job, now_us);
	double deadline_s = (double)job->arrived_us / 1e6 +
			    order_objective_ms(fleet, job) / 1000.0;

	if (long_running_job(job) && job->started)
		return (double)job->arrived_us / 1e6 - 1e9;
	return (double)job->priority * 1e9 + feasibility * 1e8 + deadline_s;
}

static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct job *left = *(struct job *const *)a;
	const struct job *right = *(struct job *const *)b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return strcmp(left->id, right->id);
}

GPtrArray *order_jobs(struct fleet *fleet, int64_t now_us)
{
	GPtrArray *jobs = g_ptr_array_new();
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		if (!has_restartable_task(job))
			continue;
		job->rank = rank(fleet, job, now_us);
		g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, by_rank);
	return jobs;
}

/* The accelerators of the largest step of a job. */
static int64_t job_peak_gpus(const struct job *job)
{
	int64_t peak = 0;
	int i;

	for (i = 0; i < job->spec.nsteps; i++)
		peak = MAX(peak, job->spec.steps[i].count *
					 job->spec.steps[i].need.gpus);
	return peak;
}

/* Accelerators that the customer's unfinished urgent jobs need together. */
static int64_t *urgent_gpus(GHashTable *by_customer, const char *customer)
{
	int64_t *gpus = g_hash_table_lookup(by_customer, customer);

	if (!gpus) {
		gpus = g_new0(int64_t, 1);
		g_hash_table_insert(by_customer, (char *)customer, gpus);
	}
	return gpus;
}

void order_mark_guaranteed(struct fleet *fleet)
{
	GHashTable *by_customer =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const struct customer *customer;
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		job->guaranteed = false;
		if (job->priority == 0 && !job_ended(job))
			*urgent_gpus(by_customer, job->customer) +=
				job_peak_gpus(job);
	}
	list_for_each_entry(job, &fleet->jobs, node) {
		if (job->priority != 0 || job_ended(job) || !fleet->config)
			continue;
		customer = config_customer(fleet->config, job->customer);
		job->guaranteed = customer && customer->guaranteed_gpus > 0 &&
				  *urgent_gpus(by_customer, job->customer) <=
					  customer->guaranteed_gpus;
	}
	g_hash_table_unref(by_customer);
}
