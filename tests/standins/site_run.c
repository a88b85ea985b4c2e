#include "tests/standins/site_fleet_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_advice.h"
#include "tests/standins/site_reply.h"
#include "tests/standins/site_serving.h"

int64_t site_clock_ms(const struct site_worker *worker)
{
	return 1000 + worker->uptime_ms +
	       (kn_now_us() - worker->started_us) / USEC_PER_MSEC;
}

void site_run_free(struct site_run *run)
{
	list_del(&run->node);
	g_free(run->name);
	g_free(run->checkpoint);
	g_free(run);
}

void site_end_free(void *data)
{
	struct site_end *end = data;

	g_free(end->name);
	g_free(end->checkpoint);
	g_free(end);
}

void site_note_highest(struct site_worker *worker, const char *name,
		       int64_t run)
{
	int64_t *known = g_hash_table_lookup(worker->highest, name);

	if (!known) {
		known = g_new0(int64_t, 1);
		g_hash_table_insert(worker->highest, g_strdup(name), known);
	}
	*known = MAX(*known, run);
}

static void run_end(struct site_run *run, const char *how)
{
	struct site_worker *worker = run->worker;
	struct site_end *end = g_new0(struct site_end, 1);

	end->number = ++worker->next_end;
	end->name = g_strdup(run->name);
	end->run = run->run;
	end->how = how;
	end->checkpoint = g_strdup(run->checkpoint ? run->checkpoint : "");
	end->task = run->task;
	/* In all, a run is in no list for its gap at a time. */
	end->listed_us = MAX(run->listed_us, kn_now_us());
	if (run->listed_us <= kn_now_us())
		end->listed_us += run->gap_us;
	g_ptr_array_add(worker->ends, end);
	site_note_highest(worker, run->name, run->run);
	if (strcmp(how, "done") == 0) {
		run->task->done = true;
		run->task->noted = false;
		run->task->done_at = worker;
		run->task->done_born_ms = worker->born_ms;
		run->task->done_lapses = worker->lapses;
		worker->fleet->dones++;
	}
	if (strcmp(how, "failed") == 0)
		run->task->fails++;
	site_run_free(run);
}

/* Members of the same run of a gang, on all workers. */
static int members(struct site_fleet *fleet, const struct site_run *run,
		   GPtrArray *out)
{
	size_t len = (size_t)(strrchr(run->name, '.') - run->name) + 1;
	struct site_worker *worker;
	struct site_run *other;

	list_for_each_entry(worker, &fleet->workers, node)
		list_for_each_entry(other, &worker->runs, node)
			if (other->run == run->run &&
			    strncmp(other->name, run->name, len) == 0)
				g_ptr_array_add(out, other);
	return (int)out->len;
}

/* One member has ended; the others follow. */
void site_gang_stop(struct site_fleet *fleet, struct site_run *run,
		    const char *own, const char *others)
{
	GPtrArray *all = g_ptr_array_new();
	guint i;

	members(fleet, run, all);
	for (i = 0; i < all->len; i++) {
		struct site_run *other = g_ptr_array_index(all, i);

		run_end(other, other == run ? own : others);
	}
	g_ptr_array_unref(all);
}

void site_run_stop(struct site_run *run, const char *how)
{
	if (run->gang > 1)
		site_gang_stop(run->worker->fleet, run, how,
			       strcmp(how, "done") == 0 ? "done" : "broken");
	else
		run_end(run, how);
}

static bool gang_present(struct site_fleet *fleet, const struct site_run *run)
{
	GPtrArray *all = g_ptr_array_new();
	bool present = members(fleet, run, all) >= run->gang;

	g_ptr_array_unref(all);
	return present;
}

/* Returns false when the run has ended. */
static bool advance(struct site_run *run, int64_t passed_us)
{
	struct site_worker *worker = run->worker;
	struct site_fleet *fleet = worker->fleet;
	int64_t now_us = kn_now_us();

	if (run->stop_us && now_us >= run->stop_us) {
		site_run_stop(run, "stopped");
		return false;
	}
	if (!run->working && run->gang > 1 && !gang_present(fleet, run)) {
		if (now_us - run->present_us >
		    fleet->bounds.gang_ms * USEC_PER_MSEC) {
			site_run_stop(run, "alone");
			return false;
		}
		return true;
	}
	run->working = true;
	if (worker->fault == SITE_WORKER_STALLED)
		return true;
	run->worked_us += (int64_t)((double)passed_us * worker->pace *
				    run->percent_pace / 100.0);
	site_serving_check(run);
	if (run->lasting || run->worked_us < run->ms * USEC_PER_MSEC)
		return true;
	site_run_stop(run, run->fails ? "failed" : "done");
	return false;
}

/* Ends may take others of a gang along, so the list is walked anew. */
void site_runs_advance(struct site_worker *worker, int64_t passed_us)
{
	GPtrArray *names = g_ptr_array_new();
	struct site_run *run;
	size_t before = worker->ends->len;
	guint i;

	list_for_each_entry(run, &worker->runs, node)
		g_ptr_array_add(names, run);
	for (i = 0; i < names->len; i++) {
		bool alive = false;

		list_for_each_entry(run, &worker->runs, node)
			alive |= run == g_ptr_array_index(names, i);
		if (alive)
			advance(g_ptr_array_index(names, i), passed_us);
	}
	g_ptr_array_unref(names);
	if (worker->ends->len > before && site_ends_listed(worker) > 0)
		site_holds_answer(worker, true);
}

void site_runs_lapse(struct site_worker *worker)
{
	while (!list_empty(&worker->runs))
		site_run_stop(
			list_first_entry(&worker->runs, struct site_run, node),
			"lapsed");
}

void site_ends_void(struct site_worker *worker)
{
	guint i;

	for (i = 0; i < worker->ends->len; i++) {
		struct site_end *end = g_ptr_array_index(worker->ends, i);

		if (!end->is_void && strcmp(end->how, "failed") == 0)
			end->task->void_fails++;
		end->is_void = true;
	}
}
