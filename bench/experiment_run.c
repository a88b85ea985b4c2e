#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/limits.h"
#include "bench/experiment.h"
#include "fleet/evict.h"
#include "fleet/plan.h"

#define TICK_MS 20
/* Between an order and the first work. */
#define START_MS 15
#define STOP_MS 200
#define CROSS_RACK_FACTOR 3.0
/* A worker that leaves says so before, and is gone by then. */
#define NOTICE_MS 3000
#define FAULT_MS 6000
#define POOL "pool"
#define CUSTOMER "one"

/* A run as its worker sees it. */
struct run {
	double need_ms; /* of work */
	double done_ms;
	int64_t begin_us;
	int64_t stop_us; /* 0: no stop was seen */
	double cores;
	bool seen; /* in this tick */
};

/* A worker's course of faults, drawn in advance. */
struct host {
	char id[16];
	int64_t slow_us;
	int64_t failing_us;
	int64_t leaves_us; /* 0: it stays */
	int64_t end_number;
};

struct emulator {
	const struct exp_settings *settings;
	struct exp_result *result;
	struct fleet fleet;
	struct config *config;
	GRand *load; /* jobs; apart from decisions, so that they are alike */
	GHashTable *runs; /* name and number -> struct run */
	GHashTable *work; /* name of a task -> double *: its work */
	struct host *hosts;
	GPtrArray *jobs; /* struct job, in order of arrival */
	GArray *kinds; /* int, of each */
	GArray *ended_us; /* int64_t, of each, 0: not yet */
	GArray *started_us;
	uint32_t seed;
	int made;
	int64_t now_us;
};

static double exponential(GRand *rand, double mean)
{
	return -mean * log(1.0 - g_rand_double(rand));
}

static double cores_of(const struct room *need)
{
	return (double)need->cpu_milli / 1000.0 +
	       (double)(need->gpus * ROOM_GPU_CORES);
}

/* Set-up. */

static void add_worker(struct emulator *emu, int index)
{
	const struct exp_settings *settings = emu->settings;
	struct host *host = &emu->hosts[index];
	struct worker_report report = {
		.born_ms = 1,
		.pool = g_strdup(POOL),
		.port = 1,
		.dc = g_strdup("d1"),
		.rack = g_strdup_printf("r%d", index / settings->rack),
		.labels = g_strsplit("a", ",", -1),
		.room = settings->room,
	};

	snprintf(host->id, sizeof(host->id), "w%d", index);
	report.id = g_strdup(host->id);
	fleet_update_worker(&emu->fleet, &report, emu->now_us);
}

static int64_t fault_at(struct emulator *emu, double share)
{
	int64_t at_us = (int64_t)(g_rand_double(emu->load) *
				  emu->settings->seconds * 0.7 * 1e6);

	return g_rand_double(emu->load) < share ? emu->now_us + at_us + 1 : 0;
}

static void set_up(struct emulator *emu)
{
	const struct exp_settings *settings = emu->settings;
	struct customer *customer = g_new0(struct customer, 1);
	int i;

	emu->now_us = 100 * USEC_PER_SEC;
	fleet_init(&emu->fleet, NULL, NULL);
	emu->fleet.bounds = (struct fleet_bounds){ .max_hold_ms = 6000,
						   .stop_ms = STOP_MS,
						   .reclaim_ms = 2900,
						   .status_ms = 120000,
						   .save_ms = 2000,
						   .restore_ms = 600 };
	emu->config = config_new();
	customer->name = g_strdup(CUSTOMER);
	customer->guaranteed_gpus = settings->guaranteed;
	g_ptr_array_add(emu->config->customers, customer);
	fleet_set_config(&emu->fleet, emu->config);
	emu->hosts = g_new0(struct host, settings->workers);
	for (i = 0; i < settings->workers; i++) {
		add_worker(emu, i);
		emu->hosts[i].slow_us = fault_at(emu, settings->slow);
		emu->hosts[i].failing_us = fault_at(emu, settings->failing);
		emu->hosts[i].leaves_us = fault_at(emu, settings->leaving);
	}
}

/* Load. */

static void add_job(struct emulator *emu, int kind_index)
{
	const struct exp_kind *kind = &emu->settings->kinds[kind_index];
	double off = (g_rand_double(emu->load) * 2 - 1) * kind->declared_off;
	double tasks = 1 + exponential(emu->load, kind->tasks - 1);
	int64_t none = 0;
	struct job_spec spec;
	struct job *job;
	char id[24];

	job_spec_init(&spec, 1);
	spec.payload = g_strdup("");
	spec.steps[0].count = (int)CLAMP(tasks, 1, kind->most_tasks);
	spec.steps[0].need = kind->need;
	spec.steps[0].est_ms = (int64_t)(kind->work_ms * (1 + off));
	spec.steps[0].gang = kind->gang;
	spec.steps[0].same_rack =
		g_rand_double(emu->load) < kind->same_rack && kind->gang;
	spec.steps[0].checkpoint = kind->checkpoint;
	spec.steps[0].speculative = kind->speculative && !kind->gang;
	snprintf(id, sizeof(id), "%016x", emu->made++);
	job = job_new(id, &spec);
	job->queue = g_strdup(kind->name);
	job->pool = g_strdup(POOL);
	job->customer = g_strdup(CUSTOMER);
	job->priority = kind->priority;
	job->attempts = 4;
	job->stretch = kind->stretch;
	job->slo_ms = kind->slo_ms;
	job->arrived_us = emu->now_us;
	fleet_add_job(&emu->fleet, job);
	g_ptr_array_add(emu->jobs, job);
	g_array_append_val(emu->kinds, kind_index);
	g_array_append_val(emu->ended_us, none);
	g_array_append_val(emu->started_us, none);
}

static void arrive(struct emulator *emu, double second)
{
	const struct exp_settings *settings = emu->settings;
	double third = settings->seconds / 3.0;
	double factor =
		second > third && second < 2 * third ? settings->crest : 1;
	int k;

	for (k = 0; k < settings->nkinds; k++)
		if (g_rand_double(emu->load) <
		    settings->kinds[k].per_s * factor * TICK_MS / 1000.0)
			add_job(emu, k);
}

/* Runs. */

/* The work of a task is its own, whatever runs it; a gang has one. */
static double work_of(struct emulator *emu, const struct task *task)
{
	const struct task *owner =
		task->stage->spec->gang ? &task->stage->tasks[0] : task;
	const struct exp_kind *kind = NULL;
	char name[96];
	double *known;
	GRand *rand;
	int k;

	task_name(owner, name, sizeof(name));
	known = g_hash_table_lookup(emu->work, name);
	if (known)
		return *known;
	for (k = 0; k < emu->settings->nkinds; k++)
		if (strcmp(emu->settings->kinds[k].name,
			   task->stage->job->queue) == 0)
			kind = &emu->settings->kinds[k];
	rand = g_rand_new_with_seed(emu->seed ^ g_str_hash(name));
	known = g_new(double, 1);
	*known = kind->work_ms *
		 (1 + (g_rand_double(rand) * 2 - 1) * kind->spread);
	if (g_rand_double(rand) < kind->tail)
		*known *= kind->tail_x;
	g_rand_free(rand);
	g_hash_table_insert(emu->work, g_strdup(name), known);
	return *known;
}

static bool crosses_racks(const struct stage *stage)
{
	const char *rack = NULL;
	int i;

	if (!stage->spec->same_rack)
		return false;
	for (i = 0; i < stage->spec->count; i++) {
		const struct worker *worker = stage->tasks[i].worker;

		if (worker && rack && strcmp(rack, worker->reported.rack) != 0)
			return true;
		rack = worker ? worker->reported.rack : rack;
	}
	return false;
}

static double task_pace(const struct emulator *emu, const struct host *host,
			const struct task *task)
{
	double speed = 1;

	if (host->slow_us && emu->now_us > host->slow_us &&
	    emu->now_us < host->slow_us + FAULT_MS * 1000)
		speed /= emu->settings->slow_x;
	if (crosses_racks(task->stage))
		speed /= CROSS_RACK_FACTOR;
	return speed;
}

static struct run *run_of(struct emulator *emu, struct task *task,
			  const char *name)
{
	char key[128];
	struct run *run;

	snprintf(key, sizeof(key), "%s/%lld", name, (long long)task->run);
	run = g_hash_table_lookup(emu->runs, key);
	if (run)
		return run;
	run = g_new0(struct run, 1);
	run->need_ms = work_of(emu, task);
	run->begin_us = emu->now_us + START_MS * 1000;
	run->cores = cores_of(&task->stage->spec->need);
	/* A checkpoint is told as the share of the work that it saves. */
	if (task_original(task)->checkpoint)
		run->done_ms =
			run->need_ms *
			g_ascii_strtod(task_original(task)->checkpoint, NULL);
	g_hash_table_insert(emu->runs, g_strdup(key), run);
	return run;
}

/* Lists what a worker has to tell; the names live until the tick is over. */
struct listing {
	GArray *running; /* struct run_report */
	GArray *ended; /* struct end_report */
	GPtrArray *texts;
};

static char *keep(struct listing *listing, char *text)
{
	g_ptr_array_add(listing->texts, text);
	return text;
}

static void list_end(struct emulator *emu, struct listing *listing,
		     struct host *host, struct task *task, char *name,
		     const struct run *run, enum run_end how)
{
	double done_s = run->done_ms / 1000.0 * run->cores;
	bool saved = task->stage->spec->checkpoint && how == RUN_STOPPED;
	struct end_report end = {
		.number = ++host->end_number,
		.task = name,
		.run = task->run,
		.how = how,
		.checkpoint = keep(
			listing,
			saved ? g_strdup_printf("%.4f",
						run->done_ms / run->need_ms) :
				g_strdup("")),
	};

	if (how == RUN_DONE)
		emu->result->work += done_s;
	else if (!saved)
		emu->result->waste += done_s;
	g_array_append_val(listing->ended, end);
}

static void list_run(struct emulator *emu, struct listing *listing,
		     struct host *host, struct task *task)
{
	bool failing = host->failing_us && emu->now_us > host->failing_us &&
		       emu->now_us < host->failing_us + FAULT_MS * 1000;
	struct run_report report = { .run = task->run };
	char text[96];
	struct run *run;

	task_name(task, text, sizeof(text));
	report.task = keep(listing, g_strdup(text));
	run = run_of(emu, task, text);
	if (emu->now_us > run->begin_us)
		run->done_ms += TICK_MS * task_pace(emu, host, task);
	if (task->phase == TASK_STOPPING && run->stop_us == 0)
		run->stop_us = emu->now_us + STOP_MS * 1000;
	if (run->stop_us && emu->now_us >= run->stop_us) {
		list_end(emu, listing, host, task, report.task, run,
			 RUN_STOPPED);
		return;
	}
	if (task->phase == TASK_DONE || run->done_ms >= run->need_ms) {
		list_end(emu, listing, host, task, report.task, run,
			 failing ? RUN_FAILED : RUN_DONE);
		return;
	}
	report.percent = (int)(run->done_ms * 100 / run->need_ms);
	report.checkpoint = (char *)"";
	g_array_append_val(listing->running, report);
}

static void serve(struct emulator *emu, struct worker *worker,
		  struct host *host)
{
	struct listing listing = {
		.running = g_array_new(FALSE, FALSE, sizeof(struct run_report)),
		.ended = g_array_new(FALSE, FALSE, sizeof(struct end_report)),
		.texts = g_ptr_array_new_with_free_func(g_free),
	};
	struct hold_report report;
	struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (task->phase != TASK_PLANNED)
			list_run(emu, &listing, host, task);
	report = (struct hold_report){
		.running = (struct run_report *)(void *)listing.running->data,
		.nrunning = listing.running->len,
		.ended = (struct end_report *)(void *)listing.ended->data,
		.nended = listing.ended->len,
	};
	worker->heard_us = emu->now_us;
	fleet_handle_hold(&emu->fleet, worker, &report, emu->now_us,
			  emu->now_us, emu->now_us / 1000);
	g_array_unref(listing.running);
	g_array_unref(listing.ended);
	g_ptr_array_unref(listing.texts);
}

/* Everything that was changed counts as stored, so that starts go out. */
static void start_planned(struct emulator *emu)
{
	struct worker *worker;
	struct task *task;

	while (!list_empty(&emu->fleet.dirty)) {
		struct job *job =
			list_first_entry(&emu->fleet.dirty, struct job, dirty);

		list_del(&job->dirty);
		job->first_change = 0;
	}
	list_for_each_entry(worker, &emu->fleet.workers, node)
		list_for_each_entry(task, &worker->tasks, on_worker) {
			if (task->phase != TASK_PLANNED)
				continue;
			task->phase = TASK_STARTING;
			fleet_run_started(&emu->fleet, task, emu->now_us);
		}
}

/* Leaving. */

static void lose(struct emulator *emu, struct worker *worker)
{
	struct task *task;
	char text[96];

	list_for_each_entry(task, &worker->tasks, on_worker) {
		struct run *run;

		task_name(task, text, sizeof(text));
		run = run_of(emu, task, text);
		emu->result->waste += run->done_ms / 1000.0 * run->cores;
	}
	fleet_unlist(&emu->fleet, worker->reported.id, emu->now_us);
	fleet_worker_ended(&emu->fleet, worker);
}

static void step_host(struct emulator *emu, struct host *host)
{
	struct worker *worker =
		g_hash_table_lookup(emu->fleet.workers_by_id, host->id);

	if (!worker || !worker->listed)
		return;
	if (host->leaves_us && emu->now_us >= host->leaves_us &&
	    !worker->reported.draining) {
		worker->reported.draining = true;
		worker->reported.remaining_ms = NOTICE_MS;
		worker->draining_us = emu->now_us;
	}
	if (worker->reported.draining &&
	    emu->now_us >= host->leaves_us + NOTICE_MS * 1000)
		lose(emu, worker);
	else
		serve(emu, worker, host);
}

/* Results. */

static void note_jobs(struct emulator *emu)
{
	guint i;

	for (i = 0; i < emu->jobs->len; i++) {
		const struct job *job = g_ptr_array_index(emu->jobs, i);
		int64_t *ended = &g_array_index(emu->ended_us, int64_t, i);
		int64_t *started = &g_array_index(emu->started_us, int64_t, i);

		if (*started == 0 && job->started)
			*started = emu->now_us;
		if (*ended == 0 && job->phase == JOB_DONE)
			*ended = emu->now_us;
	}
}

static void sample(struct emulator *emu)
{
	int racks = (emu->settings->workers + emu->settings->rack - 1) /
		    emu->settings->rack;
	int64_t *free_gpus = g_new0(int64_t, racks);
	int64_t all = 0, unused = 0, best = 0;
	const struct worker *worker;
	double use, whole;
	int r;

	list_for_each_entry(worker, &emu->fleet.workers, node) {
		struct room room = worker_free_room(worker);

		if (!worker->listed)
			continue;
		r = atoi(worker->reported.rack + 1);
		all += worker->reported.room.gpus;
		unused += room.gpus;
		free_gpus[r] += room.gpus;
		best = MAX(best, free_gpus[r]);
	}
	use = all ? 1.0 - (double)unused / (double)all : 0;
	whole = unused ? (double)best / (double)unused : 1;
	g_array_append_val(emu->result->use, use);
	g_array_append_val(emu->result->whole, whole);
	g_free(free_gpus);
}

static void collect(struct emulator *emu)
{
	guint i;

	for (i = 0; i < emu->jobs->len; i++) {
		const struct job *job = g_ptr_array_index(emu->jobs, i);
		int kind = g_array_index(emu->kinds, int, i);
		int64_t ended = g_array_index(emu->ended_us, int64_t, i);
		int64_t started = g_array_index(emu->started_us, int64_t, i);
		const struct exp_kind *k = &emu->settings->kinds[kind];
		struct exp_job entry = {
			.kind = kind,
			.objective_ms =
				k->stretch * k->work_ms + (double)k->slo_ms,
			.start_ms = -1,
			.done_ms = -1,
		};

		if (started)
			entry.start_ms =
				(double)(started - job->arrived_us) / 1000.0;
		if (ended)
			entry.done_ms =
				(double)(ended - job->arrived_us) / 1000.0;
		g_array_append_val(emu->result->jobs, entry);
	}
}

static void tick(struct emulator *emu, double second, bool loaded)
{
	clock_t before = clock();
	int i;

	if (loaded)
		arrive(emu, second);
	for (i = 0; i < emu->settings->workers; i++)
		step_host(emu, &emu->hosts[i]);
	before = clock();
	fleet_open_due(&emu->fleet, emu->now_us, emu->now_us / 1000);
	fleet_expire(&emu->fleet, emu->now_us);
	evict_pass(&emu->fleet, emu->now_us);
	plan_pass(&emu->fleet, emu->now_us);
	emu->result->run_s += (double)(clock() - before) / CLOCKS_PER_SEC;
	start_planned(emu);
	note_jobs(emu);
}

/* After the load ends, what waits may still be done for half as long. */
void exp_run(const struct exp_settings *settings, uint32_t seed,
	     struct exp_result *result)
{
	struct emulator emu = { .settings = settings,
				.result = result,
				.seed = seed };
	int64_t ticks = (int64_t)settings->seconds * 1000 / TICK_MS;
	int64_t t;

	memset(result, 0, sizeof(*result));
	result->jobs = g_array_new(FALSE, FALSE, sizeof(struct exp_job));
	result->use = g_array_new(FALSE, FALSE, sizeof(double));
	result->whole = g_array_new(FALSE, FALSE, sizeof(double));
	emu.load = g_rand_new_with_seed(seed);
	emu.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	emu.work =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	emu.jobs = g_ptr_array_new();
	emu.kinds = g_array_new(FALSE, FALSE, sizeof(int));
	emu.ended_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	emu.started_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	set_up(&emu);
	for (t = 0; t < ticks * 3 / 2; t++) {
		tick(&emu, (double)t * TICK_MS / 1000.0, t < ticks);
		if (t % (1000 / TICK_MS) == 0)
			sample(&emu);
		emu.now_us += TICK_MS * 1000;
	}
	collect(&emu);
	fleet_finish(&emu.fleet);
	config_free(emu.config);
	g_ptr_array_unref(emu.jobs);
	g_array_unref(emu.kinds);
	g_array_unref(emu.ended_us);
	g_array_unref(emu.started_us);
	g_hash_table_unref(emu.runs);
	g_hash_table_unref(emu.work);
	g_rand_free(emu.load);
	g_free(emu.hosts);
}

void exp_result_finish(struct exp_result *result)
{
	g_array_unref(result->jobs);
	g_array_unref(result->use);
	g_array_unref(result->whole);
}
