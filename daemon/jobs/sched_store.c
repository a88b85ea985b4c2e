#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/jobs/sched_int.h"

/*
 * The records are read in this many range requests: the records of 14,000
 * jobs in a single reply exceed STORE_REPLY_MAX_BYTES.
 */
#define LOAD_PARTS 16

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

enum store_job { STORE_LOAD, STORE_WRITE, STORE_DELETE, STORE_SUBMIT };

/* A call in progress to the store about one record. */
struct record_call {
	struct list_head node; /* in store_calls, for a submission in submits */
	struct kv_call call;
	struct sched *s;
	uint64_t term; /* the value of sched.term when it was made */
	enum store_job kind;
	char id[JOB_ENTRY_ID_BYTES];
	char *key;
	char *text;
	/* Submissions, which are retried until their outcome is known. */
	struct sched_job *job;
	struct svc_api_call *api; /* NULL once answered */
	struct kn_timer timer;
	bool in_flight;
	bool record_may_exist; /* an earlier request had no definite answer */
	int64_t began_us;
	unsigned int failures;
};

static char *record_key(struct sched *s, const char *id)
{
	return g_strdup_printf("/chivebank/jobs/%s/%s", s->set->dc, id);
}

static struct record_call *call_new(struct sched *s, enum store_job kind,
				    const char *id)
{
	struct record_call *c = g_new0(struct record_call, 1);

	c->s = s;
	c->term = s->term;
	c->kind = kind;
	c->key = record_key(s, id);
	g_strlcpy(c->id, id, sizeof(c->id));
	list_add_tail(&c->node, &s->store_calls);
	return c;
}

static void call_free(struct record_call *c)
{
	list_del(&c->node);
	kn_timer_cancel(&c->timer);
	if (c->job)
		sched_job_free(c->job);
	g_free(c->key);
	free(c->text);
	g_free(c);
}

/* Returns the record as JSON; a job being cancelled is stored as cancelled. */
static char *record_text(const struct sched_job *job)
{
	json_t *json = job_entry_to_json(&job->entry);
	char *text;

	if (job->cancelled && !job_entry_is_final(job->entry.state)) {
		json_object_set_new(
			json, "state",
			json_string(job_entry_state_name(JOB_ENTRY_CANCELLED)));
		json_object_set_new(json, "ended_us",
				    json_integer(kn_wall_us()));
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/* Reading records. */

/*
 * Whether another host has taken over. Each new leader writes the epoch's
 * key, and a transaction succeeds only if that key is unchanged.
 */
static bool deposed(const struct sched *s, const struct kv_call *call)
{
	const struct kv_item *item = kv_find(call, s->epoch_key);

	return (item ? item->mod_revision : 0) != s->epoch_mod;
}

/* Returns false if the epoch in the store is not the epoch of this leader. */
static bool read_epoch(struct sched *s, const struct kv_call *call)
{
	const struct kv_item *item = kv_find(call, s->epoch_key);

	s->epoch_mod = item ? item->mod_revision : 0;
	return !item || g_ascii_strtoull(item->value, NULL, 10) == s->epoch;
}

static void add_record(struct sched *s, const struct kv_item *item)
{
	struct sched_job *job = sched_job_new(s);
	json_t *json = json_loadb(item->value, item->len, 0, NULL);
	GError *err = NULL;

	if (json && job_entry_from_json(&job->entry, json, &err)) {
		job->mod_revision = item->mod_revision;
		g_ptr_array_add(s->records, job);
	} else {
		log_err("job.bad_record", "key=%s reason=\"%s\"", item->key,
			err ? err->message : "not JSON");
		g_clear_error(&err);
		sched_job_free(job);
	}
	json_decref(json);
}

static void on_loaded(struct kv_call *call)
{
	struct record_call *c = container_of(call, struct record_call, call);
	struct sched *s = c->s;
	size_t i;

	if (c->term == s->term) {
		s->loading = false;
		if (call->result == CB_OK && s->load_part == LOAD_PARTS) {
			s->loaded = read_epoch(s, call);
			s->next_load_us =
				kn_now_us() + MS(STORE_BACKOFF_BASE_MS);
		} else if (call->result == CB_OK) {
			for (i = 0; i < call->count; i++)
				add_record(s, &call->items[i]);
			s->load_part++;
		} else {
			s->next_load_us =
				kn_now_us() +
				sched_backoff_us(s, s->load_failures++);
		}
		sched_wake(s);
	}
	call_free(c);
}

/*
 * Reads the next part of the data centre's records, and after the last part
 * the epoch's key. A part holds the ids with the same first digit: ids are
 * hexadecimal after their first letter, see job_entry_make_id().
 */
void sched_load(struct sched *s)
{
	char prefix[JOB_ENTRY_ID_BYTES];
	struct record_call *c;

	snprintf(prefix, sizeof(prefix), "j%x", s->load_part);
	c = call_new(s, STORE_LOAD, prefix);
	s->loading = true;
	c->call.done = on_loaded;
	if (s->load_part < LOAD_PARTS)
		s->kv->ops->range(s->kv, &c->call, c->key, true);
	else
		s->kv->ops->range(s->kv, &c->call, s->epoch_key, false);
}

/* Writing records. */

/* Queues the job's record to be written. */
void sched_write(struct sched_job *job)
{
	if (job->in_write)
		job->write_again = true;
	else if (list_empty(&job->write))
		list_add_tail(&job->write, &job->s->writes);
	sched_wake(job->s);
}

static void retry_write(struct sched_job *job)
{
	struct sched *s = job->s;

	job->write_again = false;
	list_del(&job->write);
	list_add(&job->write, &s->writes);
	s->next_write_us =
		kn_now_us() + sched_backoff_us(s, s->write_failures++);
}

/*
 * Handles a transaction whose compare failed. Either an earlier write took
 * effect although its answer was lost: the write is repeated with the new
 * revision. Or another host leads: the write is retried with backoff until
 * the leadership service reports the change.
 */
static void write_refused(struct record_call *c, struct sched_job *job)
{
	const struct kv_item *item = kv_find(&c->call, c->key);

	if (deposed(c->s, &c->call)) {
		retry_write(job);
		return;
	}
	job->mod_revision = item ? item->mod_revision : 0;
	sched_write(job);
}

static void on_written(struct kv_call *call)
{
	struct record_call *c = container_of(call, struct record_call, call);
	struct sched *s = c->s;
	struct sched_job *job;

	s->writing--;
	job = c->term == s->term ? g_hash_table_lookup(s->jobs, c->id) : NULL;
	if (job) {
		job->in_write = false;
		if (call->result != CB_OK) {
			retry_write(job);
		} else if (!call->succeeded) {
			write_refused(c, job);
		} else {
			s->write_failures = 0;
			ctr_add(&s->record_writes, 1);
			job->mod_revision = call->revision;
			if (job->write_again) {
				job->write_again = false;
				sched_write(job);
			}
		}
		sched_wake(s);
	}
	call_free(c);
}

static void start_write(struct sched_job *job)
{
	struct sched *s = job->s;
	struct record_call *c = call_new(s, STORE_WRITE, job->entry.id);
	struct kv_cmp cmps[] = { { c->key, job->mod_revision },
				 { s->epoch_key, s->epoch_mod } };
	struct kv_op put = { .kind = KV_PUT, .key = c->key };
	struct kv_op gets[] = { { .kind = KV_RANGE, .key = c->key },
				{ .kind = KV_RANGE, .key = s->epoch_key } };

	c->text = record_text(job);
	put.value = c->text;
	put.len = strlen(c->text);
	job->in_write = true;
	s->writing++;
	c->call.done = on_written;
	s->kv->ops->txn(s->kv, &c->call, cmps, 2, &put, 1, gets, 2);
}

/* Starts the writes that are due, one at a time after a failed write. */
void sched_store_tick(struct sched *s, int64_t now_us)
{
	struct sched_job *job;
	int room = s->write_failures ? 1 : SCHED_WRITES_MAX;

	if (s->phase == SCHED_READING && !s->loaded && !s->loading &&
	    now_us >= s->next_load_us)
		sched_load(s);
	while (!list_empty(&s->writes) && s->writing < room &&
	       now_us >= s->next_write_us) {
		job = list_first_entry(&s->writes, struct sched_job, write);
		list_del(&job->write);
		start_write(job);
	}
}

static void on_deleted(struct kv_call *call)
{
	call_free(container_of(call, struct record_call, call));
}

/*
 * Deletes a record, without a retry: if the store is down, the record stays
 * and the next leader deletes it.
 */
void sched_delete_record(struct sched *s, const char *id)
{
	struct record_call *c = call_new(s, STORE_DELETE, id);
	struct kv_op op = { .kind = KV_DELETE, .key = c->key };

	c->call.done = on_deleted;
	s->kv->ops->txn(s->kv, &c->call, NULL, 0, &op, 1, NULL, 0);
}

static size_t list_count(const struct list_head *list)
{
	const struct list_head *node;
	size_t n = 0;

	for (node = list->next; node != list; node = node->next)
		n++;
	return n;
}

size_t sched_store_pending(const struct sched *s)
{
	return list_count(&s->writes) + (size_t)s->writing +
	       list_count(&s->submits);
}

/* Submissions. */

static void try_submit(struct record_call *c);

static void on_submit_retry(struct kn_timer *timer)
{
	try_submit(container_of(timer, struct record_call, timer));
}

static void submit_failed(struct record_call *c, int code, const char *text)
{
	if (c->api)
		svc_api_fail(c->api, &c->s->task, code, "%s", text);
	c->api = NULL;
}

/*
 * Handles a request to the store that failed. It is retried if the record may
 * have been written. A client whose call has waited for SCHED_SETTLE_MS gets
 * a time-out error.
 */
static void retry_submit(struct record_call *c, int result)
{
	struct sched *s = c->s;

	if (result != CB_E_STORE_DOWN)
		c->record_may_exist = true;
	if (!c->record_may_exist) {
		submit_failed(c, CB_E_STORE_DOWN, "the job was not submitted");
		call_free(c);
		return;
	}
	if (kn_now_us() - c->began_us >= SCHED_SETTLE_MS * USEC_PER_MSEC)
		submit_failed(c, CB_E_TIMEOUT,
			      "the outcome is unknown; submit again with the "
			      "same key");
	kn_timer_set(s->task.kn, &c->timer, sched_backoff_us(s, c->failures++),
		     on_submit_retry);
}

/*
 * Finishes a submission whose record exists, created by this call or by an
 * earlier one for the same job.
 */
static void submit_done(struct record_call *c, bool created)
{
	struct sched *s = c->s;
	struct sched_job *job = g_hash_table_lookup(s->jobs, c->job->entry.id);

	if (!job) {
		int64_t now_us = kn_now_us();

		job = g_steal_pointer(&c->job);
		sched_job_register(job, now_us);
		if (job_entry_is_final(job->entry.state)) {
			job->policy.state = SCHEDULER_ENDED;
			sched_job_retain(job);
		} else {
			ev_emit("job.state",
				"job=%s from= to=submitted reason=\"%s\"",
				job->entry.id, job->entry.customer);
			scheduler_submit(&s->policy, &job->policy, now_us);
			sched_job_set_state(job, JOB_ENTRY_QUEUED, "submitted");
		}
		s->dirty = true;
		sched_wake(s);
	}
	if (c->api)
		svc_api_answer(c->api, &s->task, created ? 201 : 200,
			       job_entry_to_json(&job->entry));
	c->api = NULL;
	call_free(c);
}

/*
 * Handles a record that already has this id: the same submission, or another
 * one with the same idempotency key.
 */
static void submit_exists(struct record_call *c, const struct kv_item *item)
{
	json_t *json = json_loadb(item->value, item->len, 0, NULL);
	struct job_entry found;
	bool same;

	job_entry_init(&found);
	same = json && job_entry_from_json(&found, json, NULL) &&
	       strcmp(found.digest, c->job->entry.digest) == 0;
	json_decref(json);
	if (!same) {
		job_entry_finish(&found);
		submit_failed(c, CB_E_KEY_REUSED, "another job has this key");
		call_free(c);
		return;
	}
	job_entry_finish(&c->job->entry);
	c->job->entry = found;
	c->job->mod_revision = item->mod_revision;
	submit_done(c, c->record_may_exist);
}

static void on_submitted(struct kv_call *call)
{
	struct record_call *c = container_of(call, struct record_call, call);

	c->in_flight = false;
	if (c->term != c->s->term) {
		submit_failed(c, CB_E_NO_LEADER,
			      "leadership changed; submit again with the same "
			      "key");
		call_free(c);
	} else if (call->result != CB_OK) {
		retry_submit(c, call->result);
	} else if (call->succeeded) {
		ctr_add(&c->s->record_writes, 1);
		c->job->mod_revision = call->revision;
		submit_done(c, true);
	} else if (deposed(c->s, call)) {
		submit_failed(c, CB_E_NO_LEADER,
			      "another host leads; submit again with the same "
			      "key");
		call_free(c);
	} else if (kv_find(call, c->key)) {
		submit_exists(c, kv_find(call, c->key));
	} else {
		retry_submit(c, CB_E_TIMEOUT);
	}
}

static void try_submit(struct record_call *c)
{
	struct kv_cmp cmps[] = { { c->key, 0 },
				 { c->s->epoch_key, c->s->epoch_mod } };
	struct kv_op put = { .kind = KV_PUT,
			     .key = c->key,
			     .value = c->text,
			     .len = strlen(c->text) };
	struct kv_op gets[] = { { .kind = KV_RANGE, .key = c->key },
				{ .kind = KV_RANGE, .key = c->s->epoch_key } };

	if (c->term != c->s->term) {
		submit_failed(c, CB_E_NO_LEADER,
			      "leadership changed; submit again with the same "
			      "key");
		call_free(c);
		return;
	}
	c->in_flight = true;
	c->call.done = on_submitted;
	c->s->kv->ops->txn(c->s->kv, &c->call, cmps, 2, &put, 1, gets, 2);
}

/*
 * Writes the record of a new job. Takes ownership of job and call; call is
 * answered when the outcome of the write is known.
 */
void sched_submit(struct sched *s, struct sched_job *job,
		  struct svc_api_call *call)
{
	struct record_call *c = call_new(s, STORE_SUBMIT, job->entry.id);

	list_del(&c->node);
	list_add_tail(&c->node, &s->submits);
	c->job = job;
	c->api = call;
	c->text = record_text(job);
	c->began_us = kn_now_us();
	try_submit(c);
}

/*
 * Answers all submissions with an error because leadership has ended. Those
 * with a request in flight are freed when it completes.
 */
void sched_submits_fail(struct sched *s)
{
	struct record_call *c, *next;

	list_for_each_entry_safe(c, next, &s->submits, node) {
		submit_failed(c, CB_E_NO_LEADER,
			      "leadership changed; submit again with the same "
			      "key");
		if (!c->in_flight)
			call_free(c);
	}
}

void sched_store_finish(struct sched *s)
{
	struct record_call *c, *next;

	list_for_each_entry_safe(c, next, &s->submits, node) {
		if (c->api)
			kn_msg_release(&c->api->msg);
		call_free(c);
	}
	list_for_each_entry_safe(c, next, &s->store_calls, node)
		call_free(c);
}
