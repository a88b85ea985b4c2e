#include <string.h>

#include "bench/jobs_run.h"
#include "policy/placing.h"
#include "policy/scheduler.h"

/* A job under the real decision code. */
struct sim_job {
	struct scheduler_job job;
	const struct load_job *load;
	uint32_t run_no; /* changes with each start and end */
	uint32_t saving_no; /* run whose checkpoint is under way */
	int64_t left_us; /* run time still to do, as last saved */
	int64_t work_from_us; /* start of useful work, 0 when not running */
	int64_t first_start_us;
	int64_t claim_us; /* a claim that could be met since then, or 0 */
	bool restart;
	bool ended;
};

struct sim {
	struct scheduler sc;
	const struct load *load;
	struct run_queue queue;
	struct run_samples samples;
	struct run_result *result;
	struct sim_job *jobs;
	GRand *rnd;
	int64_t now_us;
	bool pass_due;
};

static struct sim *sim_of(struct scheduler *sc)
{
	return (struct sim *)sc;
}

static int64_t between_ms(struct sim *sim, int from, int to)
{
	return g_rand_int_range(sim->rnd, from, to) * USEC_PER_MSEC;
}

static int index_of(const struct sim *sim, const struct sim_job *job)
{
	return job - sim->jobs;
}

static void later(struct sim *sim, int64_t delay_us,
		  void (*fn)(void *, struct run_event *), struct sim_job *job)
{
	run_queue_add(&sim->queue, sim->now_us + delay_us, fn,
		      index_of(sim, job), job->run_no);
}

/* Returns the job of an event unless the job has moved on since. */
static struct sim_job *current(struct sim *sim, const struct run_event *event)
{
	struct sim_job *job = &sim->jobs[event->index];

	if (job->ended || job->run_no != event->run_no)
		return NULL;
	sim->pass_due = true;
	return job;
}

static void count_useful(struct sim *sim, const struct sim_job *job, int64_t us)
{
	int64_t from = job->work_from_us;
	int64_t to = MIN(from + us, sim->load->end_us);

	if (to > from)
		sim->samples.useful_us +=
			(double)(to - from) * job->load->accelerators;
}

/* Behaviour of tasks. */

static void task_done(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = current(sim, event);

	if (!job)
		return;
	count_useful(sim, job, job->left_us);
	scheduler_done(&sim->sc, &job->job, sim->now_us);
}

static void task_failed(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = current(sim, event);
	const struct cell_gang *gang;
	int worker, i;

	if (!job)
		return;
	gang = &job->job.gang;
	worker = gang->holds[0].worker;
	for (i = 0; i < gang->hold_count && !job->load->hopeless; i++)
		if (run_is_bad(sim->load, gang->holds[i].worker, sim->now_us))
			worker = gang->holds[i].worker;
	job->run_no++;
	job->work_from_us = 0;
	scheduler_failed(&sim->sc, &job->job, worker, sim->now_us);
}

static bool will_fail(const struct sim *sim, const struct sim_job *job)
{
	const struct cell_gang *gang = &job->job.gang;
	int i;

	if (job->load->hopeless)
		return true;
	for (i = 0; i < gang->hold_count; i++)
		if (run_is_bad(sim->load, gang->holds[i].worker, sim->now_us))
			return true;
	return false;
}

static void task_runs(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = current(sim, event);
	int64_t delay = 0;

	if (!job)
		return;
	scheduler_running(&sim->sc, &job->job, sim->now_us);
	if (job->first_start_us == 0) {
		job->first_start_us = sim->now_us;
		if (job->claim_us > 0)
			sim->result->claim_worst_s =
				MAX(sim->result->claim_worst_s,
				    (double)(sim->now_us - job->claim_us) /
					    USEC_PER_SEC);
	}
	if (job->job.state != SCHEDULER_RUNNING)
		return;
	if (will_fail(sim, job)) {
		later(sim, RUN_FAIL_US, task_failed, job);
		return;
	}
	if (job->restart)
		delay = RUN_RESTART_US;
	job->work_from_us = sim->now_us + delay;
	later(sim, delay + job->left_us, task_done, job);
}

static void task_left(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = current(sim, event);

	if (!job)
		return;
	job->run_no++;
	job->restart = true;
	scheduler_gang_stopped(&sim->sc, &job->job, sim->now_us);
}

static void task_freed(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = current(sim, event);

	if (job)
		scheduler_accelerators_freed(&sim->sc, &job->job);
}

static void task_saved(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = &sim->jobs[event->index];
	int64_t done;

	if (job->ended || job->run_no != event->run_no ||
	    job->job.state != SCHEDULER_CHECKPOINTING)
		return;
	done = sim->now_us - job->work_from_us;
	if (job->work_from_us > 0 && done > 0) {
		done = MIN(done, job->left_us);
		count_useful(sim, job, done);
		job->left_us -= done;
	}
	scheduler_checkpoint_saved(&sim->sc, &job->job, sim->now_us);
}

/* What the scheduler asks for. */

static void op_start(struct scheduler *sc, struct scheduler_job *scheduler_job)
{
	struct sim *sim = sim_of(sc);
	struct sim_job *job = container_of(scheduler_job, struct sim_job, job);

	job->run_no++;
	job->work_from_us = 0;
	later(sim, between_ms(sim, 100, 500), task_runs, job);
}

static void grace_over(void *run, struct run_event *event)
{
	current(run, event);
}

static void op_checkpoint(struct scheduler *sc,
			  struct scheduler_job *scheduler_job)
{
	struct sim *sim = sim_of(sc);
	struct sim_job *job = container_of(scheduler_job, struct sim_job, job);

	if (job->saving_no != job->run_no)
		later(sim, job->load->save_us, task_saved, job);
	job->saving_no = job->run_no;
	later(sim, scheduler_job->deadline_us - sim->now_us, grace_over, job);
}

static void op_stop(struct scheduler *sc, struct scheduler_job *scheduler_job,
		    const char *reason)
{
	struct sim *sim = sim_of(sc);
	struct sim_job *job = container_of(scheduler_job, struct sim_job, job);
	bool lost = strcmp(reason, "worker lost") == 0;

	job->run_no++;
	if (lost)
		later(sim, between_ms(sim, 100, 500), task_freed, job);
	later(sim, lost ? RUN_LEASE_US : between_ms(sim, 100, 500), task_left,
	      job);
}

static void op_queued(struct scheduler *sc, struct scheduler_job *scheduler_job,
		      const char *reason)
{
	sim_of(sc)->pass_due = true;
}

static void op_ended(struct scheduler *sc, struct scheduler_job *scheduler_job,
		     enum scheduler_end end, const char *reason)
{
	struct sim *sim = sim_of(sc);
	struct sim_job *job = container_of(scheduler_job, struct sim_job, job);
	struct run_result *r = sim->result;

	job->ended = true;
	if (end == SCHEDULER_END_FAILED && job->load->hopeless)
		r->hopeless_ended++;
	else if (end == SCHEDULER_END_FAILED)
		r->ended_early++;
	if (end != SCHEDULER_END_DONE)
		return;
	r->done_us[index_of(sim, job)] = sim->now_us;
	r->start_us[index_of(sim, job)] = job->first_start_us;
}

static void op_broken(struct scheduler *sc, bool broken)
{
}

static const struct scheduler_ops ops = {
	.start = op_start,
	.checkpoint = op_checkpoint,
	.stop = op_stop,
	.queued = op_queued,
	.ended = op_ended,
	.broken = op_broken,
};

/* Outside events. */

/*
 * A claim counts when the guarantee can take it at its arrival, which other
 * urgent work of the customer that already waits may prevent.
 */
static void note_claim(struct sim *sim, struct sim_job *job)
{
	struct placing_request ask = { .evict_level = -1,
				       .saved_before_us = sim->now_us,
				       .now_us = sim->now_us,
				       .reclaim = true,
				       .customer = job->load->customer };
	struct cell_gang *gang = &job->job.gang;

	if (!job->load->urgent ||
	    !list_empty(&sim->sc.customers[gang->customer].urgent) ||
	    !placing_claim(&sim->sc.gs, gang, &ask))
		return;
	cell_gang_reset(gang);
	job->claim_us = sim->now_us;
	sim->result->claims++;
}

static void arrive(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = &sim->jobs[event->index];

	note_claim(sim, job);
	scheduler_submit(&sim->sc, &job->job, sim->now_us);
	sim->pass_due = true;
}

static void cancel(void *run, struct run_event *event)
{
	struct sim *sim = run;
	struct sim_job *job = &sim->jobs[event->index];

	if (job->ended)
		return;
	scheduler_cancel(&sim->sc, &job->job, sim->now_us);
	sim->pass_due = true;
}

static void fault(void *run, struct run_event *event)
{
	struct sim *sim = run;
	const struct load_fault *f = &sim->load->faults[event->index];

	scheduler_set_worker_live(&sim->sc, f->worker, sim->now_us >= f->to_us,
				  sim->now_us);
	sim->pass_due = true;
}

static void sample(void *run, struct run_event *event)
{
	struct sim *sim = run;

	run_sample(&sim->samples, &sim->sc.cell);
	sim->pass_due = true; /* ageing and quarantines */
	if (sim->now_us < sim->load->end_us)
		run_queue_add(&sim->queue, sim->now_us + RUN_SAMPLE_US, sample,
			      0, 0);
}

static void count_held(struct sim *sim, int64_t to_us)
{
	const struct cell *cell = &sim->sc.cell;
	int64_t until = MIN(to_us, sim->load->end_us);
	int held = cell->accelerators - cell->free;

	if (until > sim->samples.last_us) {
		sim->samples.held_us +=
			(double)(until - sim->samples.last_us) * held;
		sim->samples.last_us = until;
	}
}

/* Run. */

static void setup(struct sim *sim, const struct load *load)
{
	int i;

	scheduler_init(&sim->sc, &ops, LOAD_WORKER_SIZE, WORKERS_PER_RACK);
	for (i = 0; i < LOAD_WORKERS; i++)
		scheduler_add_worker(&sim->sc, i / WORKERS_PER_RACK,
				     LOAD_WORKER_SIZE);
	for (i = 0; i < LOAD_CUSTOMERS; i++) {
		scheduler_add_customer(&sim->sc);
		scheduler_set_customer(&sim->sc, i, load_weights[i], 0,
				       load_guarantees[i], 0);
	}
	for (i = 0; i < load->job_count; i++) {
		const struct load_job *l = &load->jobs[i];
		struct sim_job *job = &sim->jobs[i];

		job->load = l;
		job->left_us = l->work_us;
		scheduler_job_init(&job->job, i + 1, l->customer,
				   l->accelerators, l->stoppable, l->urgent,
				   true);
		run_queue_add(&sim->queue, l->arrive_us, arrive, i, 0);
		if (l->cancel_us)
			run_queue_add(&sim->queue, l->cancel_us, cancel, i, 0);
	}
	for (i = 0; i < load->fault_count; i++) {
		if (!load->faults[i].dead)
			continue;
		run_queue_add(&sim->queue, load->faults[i].from_us, fault, i,
			      0);
		run_queue_add(&sim->queue, load->faults[i].to_us, fault, i, 0);
	}
	run_queue_add(&sim->queue, 0, sample, 0, 0);
}

static bool all_ended(const struct sim *sim)
{
	int i;

	for (i = 0; i < sim->load->job_count; i++)
		if (!sim->jobs[i].ended)
			return false;
	return true;
}

static void turn(struct sim *sim)
{
	struct run_event *event = run_queue_pop(&sim->queue);

	/* Quarantines and waiting jobs need a pass without other events. */
	if (!event) {
		sim->now_us += RUN_SAMPLE_US;
		scheduler_pass(&sim->sc, sim->now_us);
		return;
	}
	count_held(sim, event->at_us);
	sim->now_us = event->at_us;
	event->fn(sim, event);
	g_free(event);
	if (sim->pass_due) {
		sim->pass_due = false;
		scheduler_pass(&sim->sc, sim->now_us);
	}
}

static void finish(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->load->job_count; i++)
		scheduler_job_finish(&sim->sc, &sim->jobs[i].job);
	scheduler_finish(&sim->sc);
	run_queue_finish(&sim->queue);
	run_samples_finish(&sim->samples);
	g_rand_free(sim->rnd);
	g_free(sim->jobs);
}

void run_chivebank(const struct load *load, uint32_t seed,
		   struct run_result *result)
{
	struct sim sim = { .load = load, .result = result };
	double capacity =
		(double)LOAD_WORKERS * LOAD_WORKER_SIZE * load->end_us;
	int64_t limit_us = 20 * load->end_us;

	sim.rnd = g_rand_new_with_seed(seed);
	sim.jobs = g_new0(struct sim_job, load->job_count);
	run_queue_init(&sim.queue);
	run_samples_init(&sim.samples);
	setup(&sim, load);
	while (sim.now_us < limit_us &&
	       (sim.queue.heap->len > 0 || !all_ended(&sim)))
		turn(&sim);
	result->gang_ratio = run_median(sim.samples.ratios);
	result->use = sim.samples.held_us / capacity;
	result->useful = sim.samples.useful_us / capacity;
	result->displaced = sim.sc.displaced;
	result->makespan_h = (double)sim.now_us / USEC_PER_SEC / 3600;
	finish(&sim);
}
