#include "fleet/spec.h"

#include <string.h>

#include "base/err.h"

bool room_fits(const struct room *free_room, const struct room *need)
{
	return free_room->cpu_milli >= need->cpu_milli &&
	       free_room->mem_mb >= need->mem_mb &&
	       free_room->gpus >= need->gpus;
}

void room_add(struct room *room, const struct room *more)
{
	room->cpu_milli += more->cpu_milli;
	room->mem_mb += more->mem_mb;
	room->gpus += more->gpus;
}

void room_sub(struct room *room, const struct room *less)
{
	room->cpu_milli -= less->cpu_milli;
	room->mem_mb -= less->mem_mb;
	room->gpus -= less->gpus;
}

void job_spec_init(struct job_spec *spec, int nsteps)
{
	memset(spec, 0, sizeof(*spec));
	spec->nsteps = nsteps;
	spec->steps = g_new0(struct step_spec, nsteps);
}

void job_spec_finish(struct job_spec *spec)
{
	int i;

	for (i = 0; i < spec->nsteps; i++) {
		g_free(spec->steps[i].label);
		g_free(spec->steps[i].rack);
		g_free(spec->steps[i].image);
	}
	g_free(spec->steps);
	g_free(spec->payload);
	memset(spec, 0, sizeof(*spec));
}

static bool reject(GError **err, const char *text, int step)
{
	g_set_error(err, CB_ERROR, CB_E_BAD_JOB, "step %d: %s", step, text);
	return false;
}

static bool label_fits(const char *label)
{
	return !label || strlen(label) <= SPEC_LABEL_MAX_BYTES;
}

static bool amount_fits(int64_t amount)
{
	return amount >= 0 && amount <= SPEC_AMOUNT_MAX;
}

static bool span_fits(int64_t span_ms)
{
	return span_ms >= 0 && span_ms <= SPEC_SPAN_MAX_MS;
}

static bool step_check(const struct step_spec *step, int index, GError **err)
{
	if (step->count < 1 || step->count > SPEC_TASKS_MAX)
		return reject(err, "count is out of range", index);
	if (!amount_fits(step->need.cpu_milli) ||
	    !amount_fits(step->need.mem_mb) || !amount_fits(step->need.gpus))
		return reject(err, "a resource amount is out of range", index);
	if (!span_fits(step->est_ms) || !span_fits(step->target_ms))
		return reject(err, "est_ms or target_ms is out of range",
			      index);
	if (step->max_per_worker < 0 || step->may_miss < 0)
		return reject(err, "max_per_server or may_miss is negative",
			      index);
	if (index < SPEC_STEPS_MAX && step->after >> index)
		return reject(err, "depends on a step that is not earlier",
			      index);
	if (!label_fits(step->label) || !label_fits(step->rack) ||
	    !label_fits(step->image))
		return reject(err,
			      "required_label, affinity or image is too long",
			      index);
	return true;
}

bool job_spec_check(const struct job_spec *spec, GError **err)
{
	int i;

	if (spec->nsteps < 1 || spec->nsteps > SPEC_STEPS_MAX) {
		g_set_error(err, CB_ERROR, CB_E_BAD_JOB,
			    "%d steps given, must be 1 to %d", spec->nsteps,
			    SPEC_STEPS_MAX);
		return false;
	}
	if (!spec->payload || strlen(spec->payload) > SPEC_PAYLOAD_MAX_BYTES) {
		g_set_error(err, CB_ERROR, CB_E_BAD_JOB,
			    "the payload is missing or longer than %d bytes",
			    SPEC_PAYLOAD_MAX_BYTES);
		return false;
	}
	if (spec->times < 0 || spec->times > SPEC_TIMES_MAX ||
	    spec->first_ms < 0 || spec->interval_ms < 0 ||
	    spec->interval_ms > G_MAXINT64 / (2 * SPEC_TIMES_MAX) ||
	    spec->first_ms > G_MAXINT64 / 2) {
		g_set_error(err, CB_ERROR, CB_E_BAD_JOB,
			    "times, first_ms or interval_ms is out of range");
		return false;
	}
	for (i = 0; i < spec->nsteps; i++)
		if (!step_check(&spec->steps[i], i, err))
			return false;
	if (job_spec_tasks(spec) > SPEC_JOB_TASKS_MAX) {
		g_set_error(err, CB_ERROR, CB_E_BAD_JOB,
			    "%" G_GINT64_FORMAT
			    " tasks given, must be at most %d",
			    job_spec_tasks(spec), SPEC_JOB_TASKS_MAX);
		return false;
	}
	return true;
}

int64_t job_spec_tasks(const struct job_spec *spec)
{
	int64_t tasks = 0;
	int i;

	for (i = 0; i < spec->nsteps; i++)
		tasks += spec->steps[i].count;
	return tasks;
}

int64_t job_spec_chain_ms(const struct job_spec *spec)
{
	int64_t ends[SPEC_STEPS_MAX];
	int64_t longest = 0;
	int i, j;

	for (i = 0; i < spec->nsteps; i++) {
		int64_t begin = 0;

		for (j = 0; j < i; j++)
			if (spec->steps[i].after >> j & 1)
				begin = MAX(begin, ends[j]);
		ends[i] = begin + spec->steps[i].est_ms;
		longest = MAX(longest, ends[i]);
	}
	return longest;
}
