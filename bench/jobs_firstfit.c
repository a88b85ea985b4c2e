#include <string.h>

#include "bench/jobs_run.h"

#define TRIES 10

/* A job under first-come first-fit: it runs to its end where it starts. */
struct ff_job {
	struct list_head node;
	struct cell_gang gang;
	const struct load_job *load;
	uint32_t run_no;
	int tries;
	int64_t first_start_us;
	int64_t start_us;
	bool queued;
	bool ended;
};

struct ff {
	struct cell cell;
	const struct load *load;
	struct run_queue queue;
	struct run_samples samples;
	struct run_result *result;
	struct list_head waiting;
	struct ff_job *jobs;
	int64_t now_us;
};

/* First fit, under the same topology rule. */

static bool fit_worker(struct ff *ff, struct cell_gang *gang)
{
	int i;

	for (i = 0; i < ff->cell.worker_count; i++)
		if (ff->cell.workers[i].free >= gang->total) {
			cell_gang_add(gang, i, gang->total, CELL_ACCELERATOR);
			return true;
		}
	return false;
}

/* The first racks from first to last with enough whole workers. */
static bool fit_racks(struct ff *ff, struct cell_gang *gang, int first,
		      int last)
{
	int left = gang->total, i, j;

	for (i = first; i <= last && i < ff->cell.rack_count; i++) {
		const struct cell_rack *rack = &ff->cell.racks[i];

		for (j = 0; j < rack->count && left > 0; j++) {
			int need = MIN(left, LOAD_WORKER_SIZE);

			if (ff->cell.workers[rack->workers[j]].free < need)
				continue;
			cell_gang_add(gang, rack->workers[j], need,
				      CELL_ACCELERATOR);
			left -= need;
		}
	}
	if (left == 0)
		return true;
	cell_gang_reset(gang);
	return false;
}

static bool fit(struct ff *ff, struct cell_gang *gang)
{
	int i, span = 1;

	cell_gang_reset(gang);
	if (gang->total <= LOAD_WORKER_SIZE)
		return fit_worker(ff, gang);
	if (gang->total > LOAD_WORKER_SIZE * WORKERS_PER_RACK)
		span = RACKS_PER_ROW;
	for (i = 0; i < ff->cell.rack_count; i += span)
		if (fit_racks(ff, gang, i, i + span - 1))
			return true;
	return false;
}

/* Events. */

static void leave(struct ff *ff, struct ff_job *job)
{
	if (job->gang.held)
		cell_release(&ff->cell, &job->gang);
	if (job->queued)
		list_del(&job->node);
	job->queued = false;
	job->run_no++;
}

static void enqueue(struct ff *ff, struct ff_job *job)
{
	list_add_tail(&job->node, &ff->waiting);
	job->queued = true;
}

static void ff_done(void *run, struct run_event *event)
{
	struct ff *ff = run;
	struct ff_job *job = &ff->jobs[event->index];
	int64_t to = MIN(ff->now_us, ff->load->end_us);

	if (job->run_no != event->run_no || job->ended)
		return;
	leave(ff, job);
	job->ended = true;
	if (to > job->start_us)
		ff->samples.useful_us +=
			(double)(to - job->start_us) * job->gang.total;
	ff->result->done_us[event->index] = ff->now_us;
	ff->result->start_us[event->index] = job->first_start_us;
}

static void ff_failed(void *run, struct run_event *event)
{
	struct ff *ff = run;
	struct ff_job *job = &ff->jobs[event->index];

	if (job->run_no != event->run_no || job->ended)
		return;
	leave(ff, job);
	if (++job->tries < TRIES) {
		enqueue(ff, job);
		return;
	}
	job->ended = true;
	if (job->load->hopeless)
		ff->result->hopeless_ended++;
	else
		ff->result->ended_early++;
}

static bool ff_will_fail(const struct ff *ff, const struct ff_job *job)
{
	int i;

	if (job->load->hopeless)
		return true;
	for (i = 0; i < job->gang.hold_count; i++)
		if (run_is_bad(ff->load, job->gang.holds[i].worker, ff->now_us))
			return true;
	return false;
}

static void ff_start(struct ff *ff, struct ff_job *job)
{
	bool fails;

	list_del(&job->node);
	job->queued = false;
	cell_hold(&ff->cell, &job->gang);
	job->start_us = ff->now_us;
	if (job->first_start_us == 0) {
		job->first_start_us = ff->now_us;
		if (job->load->urgent)
			ff->result->claim_worst_s = MAX(
				ff->result->claim_worst_s,
				(double)(ff->now_us - job->load->arrive_us) /
					USEC_PER_SEC);
	}
	fails = ff_will_fail(ff, job);
	run_queue_add(&ff->queue,
		      ff->now_us + (fails ? RUN_FAIL_US : job->load->work_us),
		      fails ? ff_failed : ff_done, job - ff->jobs, job->run_no);
}

static void ff_pass(struct ff *ff)
{
	struct ff_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &ff->waiting, node)
		if (fit(ff, &job->gang))
			ff_start(ff, job);
}

static void ff_arrive(void *run, struct run_event *event)
{
	struct ff *ff = run;

	enqueue(ff, &ff->jobs[event->index]);
}

static void ff_cancel(void *run, struct run_event *event)
{
	struct ff *ff = run;
	struct ff_job *job = &ff->jobs[event->index];

	if (job->ended)
		return;
	leave(ff, job);
	job->ended = true;
}

/* A dead worker ends its gangs after the lease; they start again. */
static void ff_fault(void *run, struct run_event *event)
{
	struct ff *ff = run;
	const struct load_fault *f = &ff->load->faults[event->index];
	int i, j;

	cell_set_usable(&ff->cell, f->worker, ff->now_us >= f->to_us);
	if (ff->now_us >= f->to_us)
		return;
	for (i = 0; i < ff->load->job_count; i++) {
		struct ff_job *job = &ff->jobs[i];

		for (j = 0; job->gang.held && j < job->gang.hold_count; j++)
			if (job->gang.holds[j].worker == f->worker) {
				leave(ff, job);
				enqueue(ff, job);
			}
	}
}

static void ff_sample(void *run, struct run_event *event)
{
	struct ff *ff = run;

	run_sample(&ff->samples, &ff->cell);
	if (ff->now_us < ff->load->end_us)
		run_queue_add(&ff->queue, ff->now_us + RUN_SAMPLE_US, ff_sample,
			      0, 0);
}

/* Run. */

static void ff_setup(struct ff *ff)
{
	const struct load *load = ff->load;
	int i;

	cell_init(&ff->cell, LOAD_WORKER_SIZE, WORKERS_PER_RACK);
	for (i = 0; i < LOAD_WORKERS; i++)
		cell_add_worker(&ff->cell, i / WORKERS_PER_RACK,
				LOAD_WORKER_SIZE);
	for (i = 0; i < load->job_count; i++) {
		const struct load_job *l = &load->jobs[i];

		ff->jobs[i].load = l;
		list_init(&ff->jobs[i].node);
		cell_gang_init(&ff->jobs[i].gang, l->customer, l->accelerators,
			       false);
		run_queue_add(&ff->queue, l->arrive_us, ff_arrive, i, 0);
		if (l->cancel_us)
			run_queue_add(&ff->queue, l->cancel_us, ff_cancel, i,
				      0);
	}
	for (i = 0; i < load->fault_count; i++) {
		if (!load->faults[i].dead)
			continue;
		run_queue_add(&ff->queue, load->faults[i].from_us, ff_fault, i,
			      0);
		run_queue_add(&ff->queue, load->faults[i].to_us, ff_fault, i,
			      0);
	}
	run_queue_add(&ff->queue, 0, ff_sample, 0, 0);
}

static void ff_turn(struct ff *ff, struct run_event *event)
{
	int64_t until = MIN(event->at_us, ff->load->end_us);
	int held = ff->cell.accelerators - ff->cell.free;

	if (until > ff->samples.last_us) {
		ff->samples.held_us +=
			(double)(until - ff->samples.last_us) * held;
		ff->samples.last_us = until;
	}
	ff->now_us = event->at_us;
	event->fn(ff, event);
	g_free(event);
	ff_pass(ff);
}

void run_first_fit(const struct load *load, uint32_t seed,
		   struct run_result *result)
{
	struct ff ff = { .load = load, .result = result };
	double capacity =
		(double)LOAD_WORKERS * LOAD_WORKER_SIZE * load->end_us;
	struct run_event *event;
	int i;

	ff.jobs = g_new0(struct ff_job, load->job_count);
	list_init(&ff.waiting);
	run_queue_init(&ff.queue);
	run_samples_init(&ff.samples);
	ff_setup(&ff);
	while ((event = run_queue_pop(&ff.queue)))
		ff_turn(&ff, event);
	result->gang_ratio = run_median(ff.samples.ratios);
	result->use = ff.samples.held_us / capacity;
	result->useful = ff.samples.useful_us / capacity;
	result->makespan_h = (double)ff.now_us / USEC_PER_SEC / 3600;
	for (i = 0; i < load->job_count; i++)
		cell_gang_reset(&ff.jobs[i].gang);
	run_queue_finish(&ff.queue);
	run_samples_finish(&ff.samples);
	cell_finish(&ff.cell);
	g_free(ff.jobs);
}
