#include "tests/standins/site_check.h"

#include <stdio.h>
#include <string.h>

#include "base/limits.h"

void site_violated(struct site_fleet *fleet, const char *rule, const char *task,
		   const char *detail)
{
	g_ptr_array_add(fleet->violations,
			g_strdup_printf("%s: %s: %s", rule, task, detail));
	fprintf(stderr, "VIOLATION %s: %s: %s\n", rule, task, detail);
}

const char *site_fleet_violation(const struct site_fleet *fleet)
{
	return fleet->violations->len > 0 ?
		       g_ptr_array_index(fleet->violations, 0) :
		       NULL;
}

int64_t site_payload_number(const char *payload, const char *name,
			    int64_t fallback)
{
	char **words = g_strsplit(payload, " ", -1);
	char *prefix = g_strconcat(name, "=", NULL);
	int64_t value = fallback;
	char **word;

	for (word = words; *word; word++)
		if (g_str_has_prefix(*word, prefix))
			value = g_ascii_strtoll(*word + strlen(prefix), NULL,
						10);
	g_strfreev(words);
	g_free(prefix);
	return value;
}

struct site_task *site_task_of(struct site_fleet *fleet, const char *name)
{
	struct site_task *task = g_hash_table_lookup(fleet->tasks, name);

	if (task)
		return task;
	task = g_new0(struct site_task, 1);
	task->name = g_strdup(name);
	g_hash_table_insert(fleet->tasks, task->name, task);
	return task;
}

/* ID, occurrence, step and index of a name; false if it is none. */
static bool name_parts(const char *name, char id[32], int *k, int *step,
		       int *index)
{
	return sscanf(name, "%31[^.].%d.%d.%d", id, k, step, index) == 4;
}

static void check_order(struct site_fleet *fleet, const char *name,
			const char *payload)
{
	int64_t before = site_payload_number(payload, "before", 0);
	char id[32], other[96];
	int k, step, index, i;

	if (!name_parts(name, id, &k, &step, &index) || step == 0)
		return;
	for (i = 0; i < before; i++) {
		snprintf(other, sizeof(other), "%s.%d.%d.%d", id, k, step - 1,
			 i);
		if (!site_task_of(fleet, other)->done)
			site_violated(fleet, "ORDER", name, other);
	}
}

/* Stand-ins have the true time of day. */
static void check_due(struct site_fleet *fleet, const char *name,
		      const char *payload)
{
	int64_t due_ms = site_payload_number(payload, "due", 0);
	char id[32];
	int k, step, index;

	if (due_ms == 0 || !name_parts(name, id, &k, &step, &index))
		return;
	due_ms += k * site_payload_number(payload, "every", 0);
	if (kn_wall_us() / USEC_PER_MSEC < due_ms - fleet->early_ms)
		site_violated(fleet, "ORDER", name, "before its time");
}

static void check_room(struct site_worker *worker, const struct site_run *run,
		       const char *payload)
{
	int64_t beyond = site_payload_number(payload, "beyond", 0);
	const struct site_run *other;
	int64_t gpus = 0, same = 0;
	size_t step_len = (size_t)(strrchr(run->name, '.') - run->name);

	list_for_each_entry(other, &worker->runs, node) {
		gpus += other->gpus;
		same += strncmp(other->name, run->name, step_len + 1) == 0;
	}
	if (gpus > worker->gpus)
		site_violated(worker->fleet, "LIMIT", run->name, worker->id);
	if (beyond > 0 && same > beyond)
		site_violated(worker->fleet, "ROUTE", run->name, "too many");
}

/* The worker's lease has not run out since the end. */
bool site_same_lease(const struct site_task *task)
{
	const struct site_worker *worker = task->done_at;

	return worker->born_ms == task->done_born_ms &&
	       worker->lapses == task->done_lapses && !worker->lapsed;
}

/*
 * An end that was never acknowledged is void once the lease of its worker has
 * lapsed, or its life is over: nobody can know of it.
 */
static bool end_stands(const struct site_task *task)
{
	const struct site_worker *worker = task->done_at;

	return task->noted || (worker->up && site_same_lease(task));
}

/* A copy may start so long after the acknowledgement of an end. */
#define COPY_LATE_MS 1000

static bool is_long_noted(const struct site_task *task)
{
	return task->noted &&
	       kn_now_us() - task->noted_us > COPY_LATE_MS * USEC_PER_MSEC;
}

static void check_evacuation(struct site_worker *worker,
			     const struct site_run *run)
{
	const struct site_fleet *fleet = worker->fleet;
	const int64_t *since =
		g_hash_table_lookup(fleet->evacuated, worker->dc);

	if (since && kn_now_us() - *since > fleet->evac_ms * USEC_PER_MSEC)
		site_violated(worker->fleet, "EVAC", run->name, worker->id);
}

void site_check_start(struct site_worker *worker, const struct site_run *run,
		      const char *payload)
{
	struct site_fleet *fleet = worker->fleet;
	const struct site_worker *other;
	const struct site_run *twin;
	char id[32];
	int64_t *since;
	bool copies = site_payload_number(payload, "copies", 0) > 0;
	int k, step, index;

	list_for_each_entry(other, &fleet->workers, node)
		list_for_each_entry(twin, &other->runs, node)
			if (!copies && twin != run &&
			    strcmp(twin->name, run->name) == 0)
				site_violated(fleet, "TWICE", run->name,
					      other->id);
	if (run->task->done && end_stands(run->task) &&
	    (!copies || is_long_noted(run->task)))
		site_violated(fleet, "TWICE", run->name, "after it was done");
	run->task->done = false;
	if (run->task->fails - run->task->void_fails >=
	    site_payload_number(payload, "attempts", 3))
		site_violated(fleet, "BUDGET", run->name, "attempts used up");
	check_order(fleet, run->name, payload);
	check_due(fleet, run->name, payload);
	check_room(worker, run, payload);
	check_evacuation(worker, run);
	if (!name_parts(run->name, id, &k, &step, &index))
		site_violated(fleet, "UNASKED", run->name, "malformed name");
	since = g_hash_table_lookup(fleet->cancelled, id);
	if (since && kn_now_us() - *since > fleet->cancel_ms * USEC_PER_MSEC)
		site_violated(fleet, "UNASKED", run->name,
			      "after its cancellation");
}
