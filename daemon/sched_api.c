#include "daemon/sched_int.h"

#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "policy/pl.h"

/* A submission on its way to the store. */
struct submission {
	struct kv_call call;
	struct sched *sched;
	struct svc_api_call *api;
	struct jb jb;
	char *key;
	char *text;
	uint64_t generation;
};

static void submission_free(struct submission *sub)
{
	jb_finish(&sub->jb);
	g_free(sub->key);
	free(sub->text);
	g_free(sub);
}

static void fail(struct submission *sub, int code, const char *text)
{
	svc_api_fail(sub->api, &sub->sched->task, code, "%s", text);
	submission_free(sub);
}

/* The record is in the store under this leader: the job enters the queue. */
static void enter_job(struct submission *sub, int64_t mod_revision)
{
	struct sched *s = sub->sched;
	struct sched_job *j = g_hash_table_lookup(s->jobs, sub->jb.id);

	if (!j) {
		j = sched_job_new(s, &sub->jb);
		memset(&sub->jb, 0, sizeof(sub->jb));
		j->mod_revision = mod_revision;
		ev_emit("job.state",
			"job=%s state=queued reason=\"submitted\" attempt=0",
			j->jb.id);
		sc_submit(&s->sc, &j->job, kn_now_us());
	}
	svc_api_answer(sub->api, &s->task, 201, jb_to_json(&j->jb));
	submission_free(sub);
}

/* Settles a submission whose outcome is not known by what the store holds. */
static void settled(struct kv_call *call)
{
	struct submission *sub = call->user;
	struct jb found;
	json_t *json;

	if (call->result != CB_OK) {
		fail(sub, CB_E_CHANGE_UNKNOWN,
		     "submit again with the same key to learn the outcome");
		return;
	}
	if (sub->generation != sub->sched->generation) {
		fail(sub, CB_E_NO_LEADER, "leadership changed");
		return;
	}
	if (call->count == 0) {
		fail(sub, CB_E_STORE_DOWN, "submission was not stored");
		return;
	}
	json = json_loads(call->items[0].value, 0, NULL);
	jb_init(&found);
	if (!jb_from_json(&found, json, NULL))
		fail(sub, CB_E_INTERNAL, "stored record is malformed");
	else if (strcmp(found.digest, sub->jb.digest) != 0)
		fail(sub, CB_E_KEY_REUSED, sub->jb.id);
	else
		enter_job(sub, call->items[0].mod_revision);
	json_decref(json);
	jb_finish(&found);
}

static void stored(struct kv_call *call)
{
	struct submission *sub = call->user;
	struct sched *s = sub->sched;

	if (call->result == CB_E_STORE_DOWN) {
		fail(sub, CB_E_STORE_DOWN, "nothing was submitted");
		return;
	}
	if (call->result == CB_OK && call->succeeded &&
	    sub->generation == s->generation) {
		enter_job(sub, call->revision);
		return;
	}
	memset(call, 0, sizeof(*call));
	call->user = sub;
	call->done = settled;
	s->kv->ops->range(s->kv, call, sub->key, false);
}

static void store_submission(struct sched *s, struct submission *sub)
{
	struct kv_cmp cmp = { .mod_revision = 0 };
	struct kv_op op = { .kind = KV_PUT };
	json_t *json;

	sub->jb.state = JB_QUEUED;
	g_strlcpy(sub->jb.dc, s->set->dc, sizeof(sub->jb.dc));
	sub->jb.epoch = s->epoch;
	sub->jb.submitted_wall_us = kn_wall_us();
	json = jb_to_json(&sub->jb);
	sub->text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	sub->key = g_strdup_printf("/chivebank/jobs/%s/%s", s->set->dc,
				   sub->jb.id);
	cmp.key = op.key = sub->key;
	op.value = sub->text;
	op.len = strlen(sub->text);
	sub->call.done = stored;
	sub->call.user = sub;
	ctr_add(&s->writes, 1);
	s->kv->ops->txn(s->kv, &sub->call, &cmp, 1, &op, 1, NULL, 0);
}

/* Checks what needs no store. Returns CB_OK or what is wrong. */
static int check(struct sched *s, const struct jb *jb)
{
	const struct doc_customer *c = doc_view_customer(s->view, jb->customer);

	if (!c)
		return CB_E_UNKNOWN_CUSTOMER;
	if (c->quota_accelerators && jb->accelerators > c->quota_accelerators)
		return CB_E_QUOTA;
	if (!pl_could_hold(&s->sc.cell, jb->accelerators))
		return CB_E_NEVER_FITS;
	return CB_OK;
}

static void submit(struct sched *s, struct svc_api_call *call)
{
	struct submission *sub = g_new0(struct submission, 1);
	struct sched_job *j;
	GError *err = NULL;
	int code;

	sub->sched = s;
	sub->api = call;
	sub->generation = s->generation;
	jb_init(&sub->jb);
	if (!jb_submission(&sub->jb, call->body, call->key, &err)) {
		fail(sub, err->code, err->message);
		g_error_free(err);
		return;
	}
	j = g_hash_table_lookup(s->jobs, sub->jb.id);
	if (j && strcmp(j->jb.digest, sub->jb.digest) != 0) {
		fail(sub, CB_E_KEY_REUSED, sub->jb.id);
	} else if (j) {
		svc_api_answer(call, &s->task, 200, jb_to_json(&j->jb));
		submission_free(sub);
	} else {
		code = check(s, &sub->jb);
		if (code == CB_E_NEVER_FITS)
			fail(sub, code,
			     sched_could_hold(s->view, sub->jb.accelerators) ?
				     "another data centre could hold it" :
				     "no data centre could hold it");
		else if (code != CB_OK)
			fail(sub, code, sub->jb.customer);
		else
			store_submission(s, sub);
	}
}

/* ---- other calls ---- */

static void list_jobs(struct sched *s, struct svc_api_call *call)
{
	json_t *jobs = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sched_job *j = value;

		json_array_append_new(jobs, jb_to_json(&j->jb));
	}
	svc_api_answer(call, &s->task, 200, json_pack("{s:o}", "jobs", jobs));
}

static void list_workers(struct sched *s, struct svc_api_call *call)
{
	static const char *const health[] = { "good", "quarantined",
					      "probation" };
	json_t *workers = json_array();
	int i;

	for (i = 0; i < s->worker_count; i++) {
		const struct sched_worker *w = &s->workers[i];

		json_array_append_new(
			workers, json_pack("{s:s,s:i,s:i,s:i,s:b,s:s}", "name",
					   w->at.name, "rack", w->at.rack,
					   "accelerators", w->at.accelerators,
					   "free", s->sc.cell.workers[i].free,
					   "live", s->sc.live[i], "health",
					   health[s->sc.wh.workers[i].state]));
	}
	svc_api_answer(call, &s->task, 200,
		       json_pack("{s:o}", "workers", workers));
}

static void one_job(struct sched *s, struct svc_api_call *call, const char *id)
{
	struct sched_job *j = g_hash_table_lookup(s->jobs, id);

	if (!j) {
		svc_api_fail(call, &s->task, CB_E_NO_JOB, "%s", id);
	} else if (strcmp(call->method, "GET") == 0) {
		svc_api_answer(call, &s->task, 200, jb_to_json(&j->jb));
	} else if (strcmp(call->method, "DELETE") != 0) {
		svc_api_fail(call, &s->task, CB_E_METHOD, "%s", call->method);
	} else if (jb_ended(j->jb.state)) {
		svc_api_fail(call, &s->task, CB_E_JOB_ENDED, "%s", id);
	} else {
		sc_cancel(&s->sc, &j->job, kn_now_us());
		svc_api_answer(call, &s->task, 202, jb_to_json(&j->jb));
	}
}

void sched_api(struct sched *s, struct svc_api_call *call)
{
	if (s->phase != PHASE_READY || !sched_may_send(s))
		svc_api_fail(call, &s->task, CB_E_NO_LEADER,
			     "this host does not schedule jobs now");
	else if (strcmp(call->path, "/v1/workers") == 0)
		list_workers(s, call);
	else if (g_str_has_prefix(call->path, "/v1/jobs/"))
		one_job(s, call, call->path + strlen("/v1/jobs/"));
	else if (strcmp(call->path, "/v1/jobs") != 0)
		svc_api_fail(call, &s->task, CB_E_UNKNOWN_PATH, "%s",
			     call->path);
	else if (strcmp(call->method, "POST") == 0)
		submit(s, call);
	else if (strcmp(call->method, "GET") == 0)
		list_jobs(s, call);
	else
		svc_api_fail(call, &s->task, CB_E_METHOD, "%s", call->method);
}
