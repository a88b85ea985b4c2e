#include "fleet/advice.h"

#include <string.h>

#include "fleet/evacuation.h"
#include "fleet/placement.h"

/* Minimum time between two questions about a step, so that the answer to the
 * first is used before the second is sent. */
#define ADVICE_INTERVAL_MS 50
/* Time until the next try if there was no worker to ask about (later there may
 * be new workers or free ones), or if no answer came. */
#define ADVICE_RETRY_MS 500

enum grant_state {
	GRANT_ASKED, /* the question is pending */
	GRANT_GIVEN,
	GRANT_DENIED,
};

/*
 * Whether a step may run on one incarnation of a worker. The service's answer
 * is final.
 */
struct grant {
	enum grant_state state;
	char *ticket; /* NULL unless given */
	/* Incarnation of the worker, 0: set when the grant is first used. */
	int64_t born_ms;
	int64_t until_us; /* expiry of the ticket, less the margin */
};

static void grant_free(void *data)
{
	struct grant *grant = data;

	g_free(grant->ticket);
	g_free(grant);
}

/* Returns the grant for the worker's current incarnation, or NULL. */
static struct grant *find_grant(const struct stage *stage,
				const struct worker *worker)
{
	struct grant *grant = stage->grants ?
				      g_hash_table_lookup(stage->grants,
							  worker->reported.id) :
				      NULL;

	if (!grant)
		return NULL;
	if (grant->born_ms == 0)
		grant->born_ms = worker->reported.born_ms;
	return grant->born_ms == worker->reported.born_ms ? grant : NULL;
}

/* Returns the grant for a worker, creating it if there is none. */
static struct grant *get_grant(struct stage *stage, const char *worker)
{
	struct grant *grant;

	if (!stage->grants)
		stage->grants = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, grant_free);
	grant = g_hash_table_lookup(stage->grants, worker);
	if (!grant) {
		grant = g_new0(struct grant, 1);
		g_hash_table_insert(stage->grants, g_strdup(worker), grant);
	}
	return grant;
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

enum interest {
	INTEREST_NONE,
	INTEREST_LATER, /* resources not free now */
	INTEREST_NOW,
};

/*
 * Whether to ask about a worker. An expired ticket is renewed only if the
 * worker has free resources, or for a job of the highest priority, for which
 * other tasks may be preempted.
 */
static enum interest worker_interest(const struct fleet *fleet,
				     const struct stage *stage,
				     const struct worker *worker,
				     int64_t now_us)
{
	const struct grant *grant = find_grant(stage, worker);
	struct room room = worker_free_room(worker);

	if (!worker->listed || worker->replaced || worker->reported.draining ||
	    evacuation_of_worker(fleet, worker) ||
	    strcmp(worker->reported.pool, stage->job->pool) != 0 ||
	    (stage->spec->label &&
	     !worker_has_label(worker, stage->spec->label)) ||
	    !room_fits(&worker->reported.room, &stage->spec->need))
		return INTEREST_NONE;
	if (grant && (grant->state != GRANT_GIVEN || grant->until_us >= now_us))
		return INTEREST_NONE;
	if (placement_slots(&room, stage, 1) > 0)
		return INTEREST_NOW;
	return !grant || stage->job->priority == 0 ? INTEREST_LATER :
						     INTEREST_NONE;
}

static void add_workers(struct fleet *fleet, const struct stage *stage,
			enum interest wanted, int64_t now_us,
			GPtrArray *workers)
{
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node) {
		if (workers->len >= ADVICE_WORKERS_MAX)
			return;
		if (worker_interest(fleet, stage, worker, now_us) == wanted)
			g_ptr_array_add(workers, worker);
	}
}

/*
 * Returns the stage whose next question is due first, or NULL; jobs of higher
 * priority go first among equals.
 */
static struct stage *next_stage(struct fleet *fleet, int64_t now_us)
{
	struct stage *best = NULL;
	struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		guint i;

		if (job_ended(job) || !job->advised)
			continue;
		for (i = 0; i < job->stages->len; i++) {
			struct stage *stage = g_ptr_array_index(job->stages, i);

			if (!needs_advice(stage) || stage->asked_us > now_us)
				continue;
			if (!best || stage->asked_us < best->asked_us ||
			    (stage->asked_us == best->asked_us &&
			     job->priority < best->job->priority))
				best = stage;
		}
	}
	return best;
}

struct stage *advice_next_question(struct fleet *fleet, int64_t now_us,
				   GPtrArray *workers)
{
	struct stage *stage;

	while ((stage = next_stage(fleet, now_us))) {
		add_workers(fleet, stage, INTEREST_NOW, now_us, workers);
		add_workers(fleet, stage, INTEREST_LATER, now_us, workers);
		if (workers->len > 0)
			return stage;
		stage->asked_us = now_us + ADVICE_RETRY_MS * 1000;
	}
	return NULL;
}

void advice_asked(struct stage *stage, const GPtrArray *workers, int64_t now_us)
{
	guint i;

	stage->asked_us = now_us + ADVICE_INTERVAL_MS * 1000;
	for (i = 0; i < workers->len; i++) {
		const struct worker *worker = g_ptr_array_index(workers, i);
		struct grant *grant = get_grant(stage, worker->reported.id);

		grant->state = GRANT_ASKED;
		grant->born_ms = worker->reported.born_ms;
	}
}

void advice_granted(struct stage *stage, const char *worker, const char *ticket,
		    int64_t sent_us, int64_t valid_ms)
{
	struct grant *grant = get_grant(stage, worker);

	g_free(grant->ticket);
	grant->state = GRANT_GIVEN;
	grant->ticket = g_strdup(ticket);
	grant->until_us = sent_us + (valid_ms - ADVICE_TICKET_MARGIN_MS) * 1000;
}

void advice_answered(struct stage *stage, bool known)
{
	GHashTableIter iter;
	gpointer value;

	if (!known)
		stage->asked_us += ADVICE_RETRY_MS * 1000;
	if (!stage->grants)
		return;
	g_hash_table_iter_init(&iter, stage->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct grant *grant = value;

		if (grant->state != GRANT_ASKED)
			continue;
		if (known)
			grant->state = GRANT_DENIED;
		else
			g_hash_table_iter_remove(&iter);
	}
}

const char *advice_ticket(const struct stage *stage,
			  const struct worker *worker, int64_t now_us)
{
	const struct grant *grant = find_grant(stage, worker);

	if (!grant || grant->state != GRANT_GIVEN || grant->until_us < now_us)
		return NULL;
	return grant->ticket;
}

void advice_free(struct stage *stage)
{
	if (stage->grants)
		g_hash_table_unref(stage->grants);
	stage->grants = NULL;
}
