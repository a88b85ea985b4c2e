#include "fleet/advice.h"

#include <string.h>

/* Steps that got no room are asked about again, in case of new workers. */
#define ADVICE_REPEAT_MS 1000

struct grant {
	char *ticket;
	int64_t born_ms; /* life of the worker, 0: as it was granted */
	int64_t until_us;
};

static void grant_free(void *data)
{
	struct grant *grant = data;

	g_free(grant->ticket);
	g_free(grant);
}

static bool needs_advice(const struct stage *stage)
{
	int i;

	if (!stage->job->advised || stage->state != STAGE_OPEN)
		return false;
	for (i = 0; i < stage->spec->count; i++)
		if (task_restartable(&stage->tasks[i]))
			return true;
	return false;
}

static void collect(struct fleet *fleet, const struct stage *stage,
		    int64_t now_us, GPtrArray *workers)
{
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node) {
		if (workers->len >= ADVICE_WORKERS_MAX)
			return;
		if (!worker->listed || worker->replaced ||
		    worker->said.draining ||
		    strcmp(worker->said.pool, stage->job->pool) != 0 ||
		    (stage->spec->label &&
		     !worker_has_label(worker, stage->spec->label)) ||
		    !room_fits(&worker->said.room, &stage->spec->need) ||
		    advice_ticket(stage, worker, now_us))
			continue;
		g_ptr_array_add(workers, worker);
	}
}

struct stage *advice_wanted(struct fleet *fleet, int64_t now_us,
			    GPtrArray *workers)
{
	struct stage *best = NULL;
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		int64_t i;

		if (job_ended(job) || !job->advised)
			continue;
		for (i = 0; i < job->due * job->spec.nsteps; i++) {
			struct stage *stage = job->stages[i];

			if (!stage || !needs_advice(stage) ||
			    (stage->asked_us &&
			     now_us - stage->asked_us <
				     ADVICE_REPEAT_MS * 1000))
				continue;
			if (!best || stage->asked_us < best->asked_us ||
			    (stage->asked_us == best->asked_us &&
			     job->priority < best->job->priority))
				best = stage;
		}
	}
	if (best)
		collect(fleet, best, now_us, workers);
	if (best && workers->len == 0) {
		best->asked_us = now_us;
		return NULL;
	}
	return best;
}

void advice_asked(struct stage *stage, int64_t now_us)
{
	stage->asked_us = now_us;
}

void advice_granted(struct stage *stage, const char *worker, const char *ticket,
		    int64_t sent_us, int64_t valid_ms)
{
	struct grant *grant = g_new0(struct grant, 1);

	if (!stage->grants)
		stage->grants = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, grant_free);
	grant->ticket = g_strdup(ticket);
	grant->until_us = sent_us + (valid_ms - ADVICE_SPARE_MS) * 1000;
	g_hash_table_insert(stage->grants, g_strdup(worker), grant);
}

const char *advice_ticket(const struct stage *stage,
			  const struct worker *worker, int64_t now_us)
{
	struct grant *grant =
		stage->grants ?
			g_hash_table_lookup(stage->grants, worker->said.id) :
			NULL;

	if (!grant || grant->until_us < now_us)
		return NULL;
	if (grant->born_ms == 0)
		grant->born_ms = worker->said.born_ms;
	return grant->born_ms == worker->said.born_ms ? grant->ticket : NULL;
}

void advice_finish(struct stage *stage)
{
	if (stage->grants)
		g_hash_table_unref(stage->grants);
	stage->grants = NULL;
}
