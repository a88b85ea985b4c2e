#include <string.h>

#include "base/err.h"
#include "daemon/jobs/sched_int.h"
#include "policy/placing.h"

#define JOBS "/v1/jobs"
#define WORKERS "/v1/workers"

/* Submission. */

static bool refuse(GError **err, int code, const char *text)
{
	g_set_error(err, CB_ERROR, code, "%s", text);
	return false;
}

/*
 * Returns whether the call's team may change the customer's section. If not,
 * the call is answered with an error.
 */
static bool allowed(struct sched *s, struct svc_api_call *call,
		    const char *customer)
{
	char *section = g_strconcat("customer/", customer, NULL);
	bool ok = svc_api_may_change(call, section);

	if (!ok)
		svc_api_fail(call, &s->task, CB_E_FORBIDDEN,
			     "the token's team has no prefix of \"%s\" under "
			     "\"may\"",
			     section);
	g_free(section);
	return ok;
}

/* Whether the job could run if the pool were empty and no quota in use. */
static bool may_run(struct sched *s, const struct job_entry *entry,
		    GError **err)
{
	const struct doc_customer *c =
		doc_view_customer(s->view, entry->customer);

	if (!c)
		return refuse(err, CB_E_UNKNOWN_CUSTOMER, entry->customer);
	if (c->quota_accelerators &&
	    entry->accelerators > c->quota_accelerators)
		return refuse(err, CB_E_QUOTA,
			      "the job alone exceeds the customer's quota");
	if (entry->accelerators > GANG_MAX_ACCELERATORS ||
	    !placing_fits_when_empty(&s->policy.cell, entry->accelerators))
		return refuse(err, CB_E_NEVER_FITS,
			      "the pool of this data centre can't hold it");
	return true;
}

static void answer_known(struct sched *s, struct svc_api_call *call,
			 const struct sched_job *known,
			 const struct job_entry *entry)
{
	if (strcmp(known->entry.digest, entry->digest) == 0)
		svc_api_answer(call, &s->task, 200,
			       job_entry_to_json(&known->entry));
	else
		svc_api_fail(call, &s->task, CB_E_KEY_REUSED,
			     "job \"%s\" was submitted with this key",
			     entry->id);
}

static void submit(struct sched *s, struct svc_api_call *call)
{
	struct sched_job *job = sched_job_new(s);
	struct sched_job *known;
	GError *err = NULL;

	if (!job_entry_from_submission(&job->entry, call->body, call->key,
				       &err))
		goto out;
	if (!allowed(s, call, job->entry.customer)) {
		sched_job_free(job);
		return;
	}
	known = g_hash_table_lookup(s->jobs, job->entry.id);
	if (known) {
		answer_known(s, call, known, &job->entry);
		sched_job_free(job);
		return;
	}
	if (!may_run(s, &job->entry, &err))
		goto out;
	g_strlcpy(job->entry.dc, s->set->dc, sizeof(job->entry.dc));
	job->entry.stop_on_removal =
		doc_view_customer(s->view, job->entry.customer)
			->stop_on_removal;
	job->entry.submitted_wall_us = kn_wall_us();
	sched_submit(s, job, call);
	return;
out:
	svc_api_fail(call, &s->task, err->code, "%s", err->message);
	g_error_free(err);
	sched_job_free(job);
}

/* Jobs. */

static const char *query(const struct svc_api_call *call, const char *name)
{
	return json_string_value(json_object_get(call->query, name));
}

static bool matches(const struct sched_job *job, const char *customer,
		    const char *state)
{
	return (!customer || strcmp(customer, job->entry.customer) == 0) &&
	       (!state ||
		strcmp(state, job_entry_state_name(job->entry.state)) == 0);
}

static int by_submission(const void *a, const void *b)
{
	const struct job_entry *x = &(*(struct sched_job *const *)a)->entry;
	const struct job_entry *y = &(*(struct sched_job *const *)b)->entry;

	if (x->submitted_wall_us != y->submitted_wall_us)
		return x->submitted_wall_us < y->submitted_wall_us ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* Returns a job as JSON without its task, which can be large. */
static json_t *summary(const struct sched_job *job)
{
	json_t *json = job_entry_to_json(&job->entry);

	json_object_del(json, "task");
	return json;
}

/*
 * Lists jobs in the order of submission. The list is cut off after
 * JOBS_LIST_MAX jobs; "count" is the number of all matching jobs.
 */
static void list_jobs(struct sched *s, struct svc_api_call *call)
{
	GPtrArray *found = g_ptr_array_new();
	json_t *jobs = json_array();
	GHashTableIter iter;
	gpointer value;
	unsigned int i;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (matches(value, query(call, "customer"),
			    query(call, "state")))
			g_ptr_array_add(found, value);
	g_ptr_array_sort(found, by_submission);
	for (i = 0; i < found->len && i < JOBS_LIST_MAX; i++)
		json_array_append_new(jobs, summary(found->pdata[i]));
	svc_api_answer(
		call, &s->task, 200,
		json_pack("{so si}", "jobs", jobs, "count", (int)found->len));
	g_ptr_array_unref(found);
}

/* Cancels all jobs of the customer that the query names. */
static void cancel_all(struct sched *s, struct svc_api_call *call)
{
	const char *customer = query(call, "customer");
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	if (!customer) {
		svc_api_fail(call, &s->task, CB_E_BAD_REQUEST,
			     "the query must name a customer");
		return;
	}
	if (!allowed(s, call, customer))
		return;
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sched_job *job = value;

		if (!matches(job, customer, NULL) ||
		    job_entry_is_final(job->entry.state) || job->cancelled)
			continue;
		sched_job_cancel(job, kn_now_us());
		n++;
	}
	svc_api_answer(call, &s->task, 202, json_pack("{si}", "cancelled", n));
}

static void cancel(struct sched *s, struct svc_api_call *call,
		   struct sched_job *job)
{
	if (!allowed(s, call, job->entry.customer))
		return;
	if (job->entry.state == JOB_ENTRY_DONE ||
	    job->entry.state == JOB_ENTRY_FAILED) {
		svc_api_fail(call, &s->task, CB_E_JOB_ENDED, "job \"%s\" is %s",
			     job->entry.id,
			     job_entry_state_name(job->entry.state));
		return;
	}
	sched_job_cancel(job, kn_now_us());
	svc_api_answer(call, &s->task, 202, job_entry_to_json(&job->entry));
}

static void job_call(struct sched *s, struct svc_api_call *call, const char *id)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, id);

	if (!job)
		svc_api_fail(call, &s->task, CB_E_NO_JOB, "%s", id);
	else if (strcmp(call->method, "GET") == 0)
		svc_api_answer(call, &s->task, 200,
			       job_entry_to_json(&job->entry));
	else if (strcmp(call->method, "DELETE") == 0)
		cancel(s, call, job);
	else
		svc_api_fail(call, &s->task, CB_E_METHOD, "%s", call->method);
}

/* Workers. */

static const char *worker_state(const struct sched *s,
				const struct sched_worker *w)
{
	if (!w->in_pool)
		return "removed";
	if (!s->policy.live[w->index])
		return "lost";
	switch (s->policy.wh.workers[w->index].state) {
	case WORKER_HEALTH_QUARANTINED:
		return "quarantined";
	case WORKER_HEALTH_PROBATION:
		return "probation";
	default:
		return "live";
	}
}

static void list_workers(struct sched *s, struct svc_api_call *call)
{
	json_t *workers = json_array();
	unsigned int i;

	for (i = 0; i < s->workers->len; i++) {
		const struct sched_worker *w = s->workers->pdata[i];

		json_array_append_new(
			workers,
			json_pack("{ss ss si si si sb}", "name", w->config.name,
				  "state", worker_state(s, w), "rack",
				  w->config.rack, "accelerators",
				  w->config.accelerators, "used",
				  s->policy.cell.workers[w->index].held,
				  "quarantined",
				  s->policy.wh.workers[w->index].state ==
					  WORKER_HEALTH_QUARANTINED));
	}
	svc_api_answer(call, &s->task, 200,
		       json_pack("{so}", "workers", workers));
}

/* Routing. */

static void jobs_call(struct sched *s, struct svc_api_call *call)
{
	if (strcmp(call->method, "POST") == 0)
		submit(s, call);
	else if (strcmp(call->method, "GET") == 0)
		list_jobs(s, call);
	else if (strcmp(call->method, "DELETE") == 0)
		cancel_all(s, call);
	else
		svc_api_fail(call, &s->task, CB_E_METHOD, "%s", call->method);
}

/*
 * The API service forwards calls to the leading host. A call that reaches a
 * host that does not lead has already been forwarded, or leadership has just
 * changed; it fails and is not forwarded again.
 */
void sched_api_call(struct sched *s, struct svc_api_call *call)
{
	if (s->drain_us)
		svc_api_fail(call, &s->task, CB_E_DRAINING, "%s", s->set->host);
	else if (s->phase != SCHED_ON || !sched_may_act(s))
		svc_api_fail(call, &s->task, CB_E_NO_LEADER,
			     "host \"%s\" does not lead data centre \"%s\", "
			     "or is taking over",
			     s->set->host, s->set->dc);
	else if (strcmp(call->path, JOBS) == 0)
		jobs_call(s, call);
	else if (strncmp(call->path, JOBS "/", strlen(JOBS "/")) == 0)
		job_call(s, call, call->path + strlen(JOBS "/"));
	else if (strcmp(call->path, WORKERS) == 0 &&
		 strcmp(call->method, "GET") == 0)
		list_workers(s, call);
	else
		svc_api_fail(call, &s->task, CB_E_UNKNOWN_PATH, "%s",
			     call->path);
}
