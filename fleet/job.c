#include "fleet/job.h"

#include <stdio.h>
#include <string.h>

#include "fleet/advice.h"
#include "fleet/speed.h"

static const char *const phase_names[] = { "queued", "running", "done",
					   "failed", "cancelled" };

const char *job_phase_name(enum job_phase phase)
{
	return phase_names[phase];
}

int job_phase_parse(const char *name)
{
	int i;

	for (i = 0; i < (int)G_N_ELEMENTS(phase_names); i++)
		if (strcmp(phase_names[i], name) == 0)
			return i;
	return -1;
}

double step_work(const struct step_spec *step)
{
	return (double)step->count *
	       ((double)step->need.cpu_milli / 1000.0 +
		(double)(step->need.gpus * ROOM_GPU_CORES)) *
	       (double)step->est_ms;
}

struct job *job_new(const char *id, struct job_spec *spec)
{
	struct job *job = g_new0(struct job, 1);
	int i;

	list_init(&job->node);
	list_init(&job->dirty);
	job->id = g_strdup(id);
	job->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	job->occurrences = MAX(job->spec.times, 1);
	job->stages = g_ptr_array_new();
	for (i = 0; i < job->spec.nsteps; i++) {
		job->work += step_work(&job->spec.steps[i]);
		job->speculative |= job->spec.steps[i].speculative;
	}
	return job;
}

static void task_finish(struct task *task)
{
	g_free(task->checkpoint);
	g_free(task->ticket);
	if (task->copy)
		task_finish(task->copy);
	g_free(task->copy);
}

static void stage_free(struct stage *stage)
{
	int i;

	for (i = 0; i < stage->spec->count; i++)
		task_finish(&stage->tasks[i]);
	speed_stage_unref(stage->speed);
	advice_free(stage);
	g_free(stage->tasks);
	g_free(stage->reserved);
	g_free(stage);
}

/* No task may hold resources any more. */
void job_free(struct job *job)
{
	guint i;

	for (i = 0; i < job->stages->len; i++)
		stage_free(g_ptr_array_index(job->stages, i));
	g_ptr_array_unref(job->stages);
	job_spec_finish(&job->spec);
	list_del(&job->node);
	list_del(&job->dirty);
	g_free(job->id);
	g_free(job->queue);
	g_free(job->pool);
	g_free(job->customer);
	g_free(job->key_digest);
	g_free(job);
}

bool job_ended(const struct job *job)
{
	return job->phase == JOB_DONE || job->phase == JOB_FAILED ||
	       job->phase == JOB_CANCELLED;
}

/*
 * Returns the place of the first open occurrence that is not before this one. As
 * a rule the open ones follow each other without a gap.
 */
static guint find_place(const struct job *job, int64_t occurrence)
{
	guint nsteps = (guint)job->spec.nsteps;
	guint low = 0, high = job->stages->len / nsteps;
	const struct stage *stage;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		stage = g_ptr_array_index(job->stages, middle * nsteps);
		if (stage->occurrence < occurrence)
			low = middle + 1;
		else
			high = middle;
	}
	return low * nsteps;
}

struct stage *job_stage(const struct job *job, int64_t occurrence, int step)
{
	guint place = find_place(job, occurrence);
	struct stage *stage;

	if (place >= job->stages->len || step < 0 || step >= job->spec.nsteps)
		return NULL;
	stage = g_ptr_array_index(job->stages, place + (guint)step);
	return stage->occurrence == occurrence ? stage : NULL;
}

static void task_init(struct task *task, struct stage *stage, int index)
{
	task->stage = stage;
	task->index = index;
	task->pace_percent = 100;
	list_init(&task->on_worker);
}

static struct stage *stage_new(struct job *job, int64_t occurrence, int step)
{
	struct stage *stage = g_new0(struct stage, 1);
	int i;

	stage->job = job;
	stage->spec = &job->spec.steps[step];
	stage->occurrence = (int)occurrence;
	stage->step = step;
	stage->left = stage->spec->count;
	stage->tasks = g_new0(struct task, stage->spec->count);
	for (i = 0; i < stage->spec->count; i++)
		task_init(&stage->tasks[i], stage, i);
	return stage;
}

int64_t job_next_due_ms(const struct job *job)
{
	if (job->due >= job->occurrences)
		return INT64_MAX;
	if (job->spec.times == 0)
		return 0;
	return job->spec.first_ms + job->due * job->spec.interval_ms;
}

static bool occurrence_is_over(const struct job *job, int64_t occurrence)
{
	int step;

	for (step = 0; step < job->spec.nsteps; step++) {
		const struct stage *stage = job_stage(job, occurrence, step);

		if (stage && (stage->state != STAGE_DONE || stage->holding > 0))
			return false;
	}
	return true;
}

void job_close_occurrences(struct job *job)
{
	while (job->closed < job->due && occurrence_is_over(job, job->closed))
		job_free_occurrence(job, job->closed++);
}

bool job_may_open(const struct job *job)
{
	int64_t open = job->stages->len / (guint)job->spec.nsteps;

	return open == 0 ||
	       (open + 1) * job_spec_tasks(&job->spec) <= SPEC_JOB_TASKS_MAX;
}

bool job_reopen_occurrence(struct job *job, int64_t occurrence)
{
	guint place = find_place(job, occurrence);
	int step;

	if (occurrence < 0 || occurrence >= job->due)
		return false;
	if (job_stage(job, occurrence, 0))
		return true;
	for (step = 0; step < job->spec.nsteps; step++)
		g_ptr_array_insert(job->stages, (gint)place + step,
				   stage_new(job, occurrence, step));
	return true;
}

bool job_open_occurrence(struct job *job, int64_t now_us)
{
	if (job->due >= job->occurrences)
		return false;
	job->due++;
	job_reopen_occurrence(job, job->due - 1);
	job_unblock(job, job->due - 1, now_us);
	return true;
}

void job_unblock(struct job *job, int64_t occurrence, int64_t now_us)
{
	uint64_t done = 0;
	int step;

	for (step = 0; step < job->spec.nsteps; step++) {
		struct stage *stage = job_stage(job, occurrence, step);

		if (!stage)
			return;
		if (stage->state == STAGE_DONE)
			done |= 1ULL << step;
		if (stage->state != STAGE_BLOCKED ||
		    (stage->spec->after & ~done) != 0)
			continue;
		stage->state = STAGE_OPEN;
		stage->opened_us = now_us;
	}
}

bool job_occurrence_done(const struct job *job, int64_t occurrence)
{
	int step;

	for (step = 0; step < job->spec.nsteps; step++) {
		const struct stage *stage = job_stage(job, occurrence, step);

		if (!stage || stage->state != STAGE_DONE)
			return false;
	}
	return true;
}

void job_free_occurrence(struct job *job, int64_t occurrence)
{
	guint place = find_place(job, occurrence);
	int step;

	if (!job_stage(job, occurrence, 0))
		return;
	for (step = 0; step < job->spec.nsteps; step++)
		stage_free(g_ptr_array_index(job->stages, place + (guint)step));
	g_ptr_array_remove_range(job->stages, place, (guint)job->spec.nsteps);
}

void task_name(const struct task *task, char *out, size_t size)
{
	const struct stage *stage = task->stage;

	snprintf(out, size, "%s.%d.%d.%d", stage->job->id, stage->occurrence,
		 stage->step, task->index);
}

static bool number_parse(const char **at, int64_t *out)
{
	char *end;

	if (**at < '0' || **at > '9')
		return false;
	*out = g_ascii_strtoll(*at, &end, 10);
	*at = end;
	return true;
}

bool task_ref_parse(const char *name, struct task_ref *ref)
{
	size_t len = strcspn(name, ".");
	const char *at = name + len;
	int64_t step, index;

	if (len == 0 || len >= sizeof(ref->job))
		return false;
	memcpy(ref->job, name, len);
	ref->job[len] = '\0';
	if (*at++ != '.' || !number_parse(&at, &ref->occurrence) ||
	    *at++ != '.' || !number_parse(&at, &step) || *at++ != '.' ||
	    !number_parse(&at, &index) || *at != '\0')
		return false;
	if (step >= SPEC_STEPS_MAX || index >= SPEC_TASKS_MAX)
		return false;
	ref->step = (int)step;
	ref->index = (int)index;
	return true;
}

struct task *job_find_task(const struct job *job, const struct task_ref *ref)
{
	struct stage *stage = job_stage(job, ref->occurrence, ref->step);

	if (!stage || ref->index >= stage->spec->count)
		return NULL;
	return &stage->tasks[ref->index];
}

struct task *job_find_run(const struct job *job, const struct task_ref *ref,
			  int64_t run)
{
	struct task *task = job_find_task(job, ref);

	if (task && task->run != run)
		task = task->copy;
	return task && task->run == run ? task : NULL;
}

struct task *task_original(struct task *task)
{
	return task->original ? task->original : task;
}

bool task_has_copy(const struct task *task)
{
	return task->copy && task->copy->worker;
}

int64_t task_next_run(const struct task *task)
{
	return MAX(task->run, task->copy ? task->copy->run : 0) + 1;
}

struct task *task_add_copy(struct task *task)
{
	if (!task->copy) {
		task->copy = g_new0(struct task, 1);
		task_init(task->copy, task->stage, task->index);
		task->copy->original = task;
	}
	return task->copy;
}
