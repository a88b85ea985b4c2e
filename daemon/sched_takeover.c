#include "daemon/sched_int.h"

#include <string.h>

#include "base/ev.h"

/* ---- takeover ---- */

static int worker_named(const struct sched *s, const char *name)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (strcmp(s->workers[i].at.name, name) == 0)
			return i;
	return -1;
}

/* Fills in the gang's holds from the record; false if a worker is unknown. */
static bool holds_from_record(struct sched *s, struct sched_job *j)
{
	struct cell_gang *gang = &j->job.gang;
	bool known = j->jb.place_count > 0;
	int i;

	gang->kind = gang->stoppable ? CELL_SOFT : CELL_HARD;
	for (i = 0; i < j->jb.place_count; i++) {
		const struct jb_place *place = &j->jb.places[i];
		int worker = worker_named(s, place->worker);

		if (worker < 0) {
			known = false;
			continue;
		}
		if (place->cover >= 0)
			gang->kind = CELL_OWNED;
		cell_gang_add(gang, worker, place->count, MAX(0, place->cover));
	}
	return known;
}

static bool all_present(struct sched *s, const struct sched_job *j)
{
	int i;

	for (i = 0; i < j->gg.count; i++) {
		char *key = g_strdup_printf("%d %s", j->gg.members[i].worker,
					    j->token);
		int state =
			GPOINTER_TO_INT(g_hash_table_lookup(s->reported, key));

		g_free(key);
		if (state != WK_BARRIER + 1 && state != WK_RUNNING + 1 &&
		    state != WK_DONE + 1)
			return false;
	}
	return true;
}

/* Adopts a gang of which all members are there; stops any other. */
static void take_over_job(struct sched *s, struct sched_job *j, int64_t now_us)
{
	bool known;

	if (j->jb.state == JB_QUEUED || j->jb.place_count == 0) {
		j->jb.state = JB_QUEUED;
		sc_submit(&s->sc, &j->job, now_us);
		return;
	}
	known = holds_from_record(s, j);
	sched_make_members(s, j, j->jb.epoch);
	gg_adopt(&j->gg, now_us);
	if (known && all_present(s, j)) {
		sc_adopt(&s->sc, &j->job, now_us);
		ev_emit("job.adopted", "job=%s attempt=%d", j->jb.id,
			j->jb.attempt);
		return;
	}
	cell_gang_reset(&j->job.gang);
	j->jb.state = JB_RUNNING;
	sched_note(s, j, JB_STOPPED, "member missing at takeover");
	sched_note(s, j, JB_QUEUED, "member missing at takeover");
	gg_stop(&j->gg, "member missing at takeover", now_us);
}

/* All workers have been asked: decides about every job of the records. */
void sched_take_over(struct sched *s)
{
	GList *jobs = g_hash_table_get_values(s->jobs), *at;
	int64_t now_us = kn_now_us();

	s->phase = PHASE_READY;
	for (at = jobs; at; at = at->next) {
		struct sched_job *j = at->data;

		if (!jb_ended(j->jb.state))
			take_over_job(s, j, now_us);
	}
	g_list_free(jobs);
	g_hash_table_remove_all(s->reported);
	ev_emit("scheduler.ready", "epoch=%" G_GUINT64_FORMAT " jobs=%u",
		s->epoch, g_hash_table_size(s->jobs));
}
