#include "tests/standins/fleet_fixture.h"

#include "fleet/plan.h"

#include <stdio.h>
#include <string.h>

static void add_customer(struct config *config, const char *name, int64_t gpus)
{
	struct customer *customer = g_new0(struct customer, 1);

	customer->name = g_strdup(name);
	customer->guaranteed_gpus = gpus;
	g_ptr_array_add(config->customers, customer);
}

void make_fleet(struct fleet *fleet, struct config **config)
{
	static const struct fleet_bounds bounds = {
		.max_hold_ms = 6000,
		.stop_ms = 400,
		.reclaim_ms = 2900,
		.status_ms = 120000,
		.save_ms = 2000,
		.restore_ms = 600,
	};

	fleet_init(fleet, NULL, NULL);
	fleet->bounds = bounds;
	*config = config_new();
	(*config)->version = 1;
	add_customer(*config, "one", 16);
	add_customer(*config, "two", 0);
	fleet_set_config(fleet, *config);
}

void free_fleet(struct fleet *fleet, struct config *config)
{
	fleet_finish(fleet);
	config_free(config);
}

struct worker *make_worker(struct fleet *fleet, const char *id,
			   const char *rack, int gpus, int64_t now_us)
{
	struct worker_report report = {
		.id = g_strdup(id),
		.born_ms = 1000,
		.pool = g_strdup(MAKE_POOL),
		.port = 1,
		.dc = g_strdup("d1"),
		.rack = g_strdup(rack),
		.labels = g_strsplit("a", ",", -1),
		.room = { 128000, 262144, gpus },
		.clock_ms = 5000,
	};

	return fleet_update_worker(fleet, &report, now_us);
}

struct job *make_job(struct fleet *fleet, const char *id, int priority,
		     int count, int gpus, int64_t est_ms, int64_t now_us)
{
	struct job_spec spec;
	struct job *job;

	job_spec_init(&spec, 1);
	spec.payload = g_strdup("payload");
	spec.steps[0].count = count;
	spec.steps[0].need = (struct room){ gpus * 4000, 1000, gpus };
	spec.steps[0].est_ms = est_ms;
	job = job_new(id, &spec);
	job->queue = g_strdup("q");
	job->pool = g_strdup(MAKE_POOL);
	job->customer = g_strdup("one");
	job->priority = priority;
	job->attempts = 3;
	job->stretch = 3;
	job->slo_ms = 1000;
	job->arrived_us = now_us;
	fleet_add_job(fleet, job);
	return job;
}

void mark_changes_stored(struct fleet *fleet)
{
	while (!list_empty(&fleet->dirty)) {
		struct job *job =
			list_first_entry(&fleet->dirty, struct job, dirty);

		list_del(&job->dirty);
		job->first_change = 0;
	}
}

struct job *make_latency_job(struct fleet *fleet, int count, int may_miss,
			     int64_t now_us)
{
	struct job *job = make_job(fleet, "serve", 1, count, 1, 1000, now_us);

	job->spec.steps[0].long_running = true;
	job->spec.steps[0].target_ms = 100;
	job->spec.steps[0].may_miss = may_miss;
	return job;
}

void plan_and_start_all(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;
	struct task *task;

	fleet_open_due(fleet, now_us, 0);
	plan_pass(fleet, now_us);
	confirm_planned_runs(fleet, now_us);
	list_for_each_entry(worker, &fleet->workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker)
			task->percent = 100;
}

int confirm_planned_runs(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;
	struct task *task;
	int started = 0;

	mark_changes_stored(fleet);
	list_for_each_entry(worker, &fleet->workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker) {
			if (task->phase != TASK_PLANNED)
				continue;
			task->phase = TASK_STARTING;
			fleet_run_started(fleet, task, now_us);
			started++;
		}
	return started;
}

void report_run_end(struct fleet *fleet, struct task *task, enum run_end how,
		    int64_t now_us)
{
	struct worker *worker = task->worker;
	struct hold_report report = { 0 };
	struct run_report *running =
		g_new0(struct run_report, worker->task_count + 1);
	char(*names)[160] = g_malloc0((gsize)(worker->task_count + 2) * 160);
	struct end_report end = { .number = worker->end_seen + 1,
				  .run = task->run,
				  .how = how };
	struct task *other;

	list_for_each_entry(other, &worker->tasks, on_worker) {
		struct run_report *run = &running[report.nrunning];

		if (other == task)
			continue;
		run->task = names[report.nrunning++];
		task_name(other, run->task, sizeof(names[0]));
		run->run = other->run;
	}
	end.task = names[worker->task_count + 1];
	task_name(task, end.task, sizeof(names[0]));
	report.running = running;
	report.ended = &end;
	report.nended = 1;
	fleet_handle_hold(fleet, worker, &report, now_us, now_us,
			  now_us / 1000);
	g_free(running);
	g_free(names);
}

struct task *first_occurrence_task(struct job *job, int step, int index)
{
	return &job_stage(job, 0, step)->tasks[index];
}

void finish_job_tasks(struct fleet *fleet, struct job *job, int64_t now_us)
{
	int i;

	for (i = 0; i < job->spec.steps[0].count; i++) {
		struct task *task = first_occurrence_task(job, 0, i);

		if (task->worker && task->phase != TASK_DONE)
			report_run_end(fleet, task, RUN_DONE, now_us);
		/* Other tasks of a gang are done now but still hold room. */
		if (task->worker && task->phase == TASK_DONE)
			report_run_end(fleet, task, RUN_DONE, now_us);
	}
}
