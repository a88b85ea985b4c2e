#include "daemon/sched_int.h"

#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "policy/pl.h"

/* ---- records ---- */

static void read_back(struct sched_job *j);

/* A leader that was succeeded must not write over its successor's record. */
static void read_done(struct kv_call *call)
{
	struct sched_job *j = call->user;

	j->writing = false;
	if (j->orphan) {
		sched_job_free(j);
		return;
	}
	if (call->result != CB_OK) {
		j->dirty = true;
		return;
	}
	if (call->count > 0) {
		json_t *json = json_loads(call->items[0].value, 0, NULL);
		uint64_t epoch = (uint64_t)json_integer_value(
			json_object_get(json, "epoch"));

		json_decref(json);
		if (epoch > j->sched->epoch)
			return;
		j->mod_revision = call->items[0].mod_revision;
	} else {
		j->mod_revision = 0;
	}
	j->dirty = true;
}

static void read_back(struct sched_job *j)
{
	j->write.done = read_done;
	j->writing = true;
	j->sched->kv->ops->range(j->sched->kv, &j->write, j->key, false);
}

static void write_done(struct kv_call *call)
{
	struct sched_job *j = call->user;

	j->writing = false;
	free(j->write_text);
	j->write_text = NULL;
	if (j->orphan)
		sched_job_free(j);
	else if (call->result == CB_OK && call->succeeded)
		j->mod_revision = call->revision;
	else if (call->result == CB_E_STORE_DOWN)
		j->dirty = true;
	else
		read_back(j);
}

/*
 * Writes the record, or notes that it must be written when the write in
 * progress is done or the store is back. The compare with the last revision
 * keeps an earlier leader from undoing a later one's write.
 */
void sched_write(struct sched_job *j)
{
	struct kv_cmp cmp = { .key = j->key, .mod_revision = j->mod_revision };
	struct kv_op op = { .kind = KV_PUT, .key = j->key };
	json_t *json;

	if (j->writing || !sched_may_send(j->sched)) {
		j->dirty = true;
		return;
	}
	j->dirty = false;
	j->writing = true;
	json = jb_to_json(&j->jb);
	j->write_text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	op.value = j->write_text;
	op.len = strlen(j->write_text);
	memset(&j->write, 0, sizeof(j->write));
	j->write.done = write_done;
	j->write.user = j;
	ctr_add(&j->sched->writes, 1);
	j->sched->kv->ops->txn(j->sched->kv, &j->write, &cmp, 1, &op, 1, NULL,
			       0);
}

/* ---- jobs ---- */

/* Takes over the contents of jb and enters the job under its id. */
struct sched_job *sched_job_new(struct sched *s, struct jb *jb)
{
	struct sched_job *j = g_new0(struct sched_job, 1);

	j->sched = s;
	j->jb = *jb;
	j->gg.state = GG_IDLE;
	j->write.user = j;
	j->key = g_strdup_printf("/chivebank/jobs/%s/%s", s->set->dc, jb->id);
	sc_job_init(&j->job, ++s->next_id, sched_customer(s, jb->customer),
		    jb->accelerators, jb->stoppable, jb->urgent, jb->stoppable);
	j->job.attained_us = jb->attained_us;
	g_hash_table_insert(s->jobs, j->jb.id, j);
	return j;
}

/* A job with a write in progress is freed when that is done. */
void sched_job_free(gpointer job)
{
	struct sched_job *j = job;

	cell_gang_reset(&j->job.gang);
	g_free(j->gg.members);
	g_free(j->member_state);
	j->gg.members = NULL;
	j->member_state = NULL;
	j->gg.state = GG_IDLE;
	j->orphan = true;
	if (j->writing)
		return;
	g_free(j->key);
	jb_finish(&j->jb);
	g_free(j);
}

/* Returns the customer's index; one that the document lacks has no share. */
int sched_customer(struct sched *s, const char *name)
{
	int i = GPOINTER_TO_INT(g_hash_table_lookup(s->customers, name));

	if (i == 0) {
		i = sc_add_customer(&s->sc) + 1;
		g_hash_table_insert(s->customers, g_strdup(name),
				    GINT_TO_POINTER(i));
	}
	return i - 1;
}

/* Whether the empty workers of any data centre could hold the gang. */
bool sched_could_hold(const struct doc_view *view, int accelerators)
{
	bool could = false;
	size_t i, k;

	for (i = 0; i < view->pool_count && !could; i++) {
		const struct doc_pool *pool = &view->pools[i];
		struct cell cell;
		int size = 1;

		for (k = 0; k < pool->worker_count; k++)
			size = MAX(size, pool->workers[k].accelerators);
		cell_init(&cell, size, WORKERS_PER_RACK);
		for (k = 0; k < pool->worker_count; k++)
			cell_add_worker(&cell, pool->workers[k].rack,
					pool->workers[k].accelerators);
		could = pl_could_hold(&cell, accelerators);
		cell_finish(&cell);
	}
	return could;
}

/* Changes the public state of a job: one event with its reason. */
void sched_note(struct sched *s, struct sched_job *j, enum jb_state to,
		const char *reason)
{
	if (j->jb.state == to || !jb_change(&j->jb, to, reason))
		return;
	j->jb.epoch = s->epoch;
	if (to == JB_RUNNING)
		j->jb.started_wall_us = kn_wall_us();
	if (jb_ended(to))
		j->jb.ended_wall_us = kn_wall_us();
	ev_emit("job.state", "job=%s state=%s reason=\"%s\" attempt=%d",
		j->jb.id, jb_state_name(to), j->jb.reason, j->jb.attempt);
}
