#include "policy/job_entry.h"

#include <string.h>

#include "base/err.h"

static const char *const state_names[JOB_ENTRY_STATE_COUNT] = {
	"submitted", "queued", "reserved", "running",	"checkpointing",
	"stopped",   "done",   "failed",   "cancelled",
};

#define BIT(state) (1u << (state))
#define FAILED_OR_CANCELLED (BIT(JOB_ENTRY_FAILED) | BIT(JOB_ENTRY_CANCELLED))

/* For each state, the set of states that may follow; empty for final ones. */
static const unsigned int next_states[JOB_ENTRY_STATE_COUNT] = {
	[JOB_ENTRY_SUBMITTED] = BIT(JOB_ENTRY_QUEUED) | FAILED_OR_CANCELLED,
	[JOB_ENTRY_QUEUED] = BIT(JOB_ENTRY_RESERVED) | FAILED_OR_CANCELLED,
	[JOB_ENTRY_RESERVED] = BIT(JOB_ENTRY_RUNNING) | BIT(JOB_ENTRY_QUEUED) |
			       FAILED_OR_CANCELLED,
	[JOB_ENTRY_RUNNING] = BIT(JOB_ENTRY_CHECKPOINTING) |
			      BIT(JOB_ENTRY_STOPPED) | BIT(JOB_ENTRY_DONE) |
			      FAILED_OR_CANCELLED,
	[JOB_ENTRY_CHECKPOINTING] = BIT(JOB_ENTRY_STOPPED) |
				    BIT(JOB_ENTRY_DONE) | FAILED_OR_CANCELLED,
	[JOB_ENTRY_STOPPED] = BIT(JOB_ENTRY_QUEUED) | FAILED_OR_CANCELLED,
};

void job_entry_init(struct job_entry *jb)
{
	memset(jb, 0, sizeof(*jb));
	jb->stoppable = true;
}

void job_entry_finish(struct job_entry *jb)
{
	json_decref(jb->task);
	job_entry_clear_allocations(jb);
	memset(jb, 0, sizeof(*jb));
}

const char *job_entry_state_name(enum job_entry_state state)
{
	return state_names[state];
}

/* Returns true if a job may go from one state directly to the other. */
bool job_entry_transition_allowed(enum job_entry_state from,
				  enum job_entry_state to)
{
	return (next_states[from] & BIT(to)) != 0;
}

/* Returns true for the state of a job that has ended. */
bool job_entry_is_final(enum job_entry_state state)
{
	return next_states[state] == 0;
}

/* Returns false and changes nothing when the transition is not allowed. */
bool job_entry_set_state(struct job_entry *jb, enum job_entry_state to,
			 const char *reason)
{
	if (!job_entry_transition_allowed(jb->state, to))
		return false;
	jb->state = to;
	g_strlcpy(jb->reason, reason ? reason : "", sizeof(jb->reason));
	return true;
}

/*
 * Derives the job's id from the customer and the caller's idempotency key, so
 * that a repeated submission gets the id of the first one. Returns false when
 * the key is missing, empty or too long.
 */
bool job_entry_make_id(char id[JOB_ENTRY_ID_BYTES], const char *customer,
		       const char *key)
{
	GChecksum *sum;

	if (!key || !*key || strlen(key) > KEY_MAX_BYTES)
		return false;
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(sum, (const guchar *)customer, strlen(customer) + 1);
	g_checksum_update(sum, (const guchar *)key, strlen(key));
	g_snprintf(id, JOB_ENTRY_ID_BYTES, "j%.24s",
		   g_checksum_get_string(sum));
	g_checksum_free(sum);
	return true;
}

void job_entry_clear_allocations(struct job_entry *jb)
{
	g_free(jb->allocations);
	jb->allocations = NULL;
	jb->allocation_count = 0;
}

void job_entry_add_allocation(struct job_entry *jb, const char *worker,
			      int count, int cover)
{
	struct job_entry_allocation *allocation;

	jb->allocations = g_renew(struct job_entry_allocation, jb->allocations,
				  jb->allocation_count + 1);
	allocation = &jb->allocations[jb->allocation_count++];
	g_strlcpy(allocation->worker, worker, sizeof(allocation->worker));
	allocation->count = count;
	allocation->cover = cover;
}

/* Submission. */

/* Sets the error "KEY must be ALLOWED" and returns false. */
static bool bad_value(GError **err, const char *key, const char *allowed)
{
	g_set_error(err, CB_ERROR, CB_E_BAD_JOB, "\"%s\" must be %s", key,
		    allowed);
	return false;
}

/*
 * The functions get_ read a field into *out or the job. Without the field they
 * leave it unchanged and return true, unless the field is required.
 */
static bool get_int(const json_t *json, const char *key, int64_t min,
		    int64_t max, int64_t *out, GError **err)
{
	const json_t *value = json_object_get(json, key);
	char allowed[64];

	if (!value)
		return true;
	g_snprintf(allowed, sizeof(allowed), "an integer from %lld to %lld",
		   (long long)min, (long long)max);
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return bad_value(err, key, allowed);
	*out = json_integer_value(value);
	return true;
}

static bool get_bool(const json_t *json, const char *key, bool *out,
		     GError **err)
{
	const json_t *value = json_object_get(json, key);

	if (!value)
		return true;
	if (!json_is_boolean(value))
		return bad_value(err, key, "true or false");
	*out = json_boolean_value(value);
	return true;
}

/* Reads a string of at most size - 1 bytes. */
static bool get_string(const json_t *json, const char *key, char *out,
		       size_t size, bool required, GError **err)
{
	const json_t *value = json_object_get(json, key);
	const char *text = json_string_value(value);

	if (!value && !required)
		return true;
	if (!text || strlen(text) >= size || (required && !*text))
		return bad_value(err, key, "a string of suitable length");
	g_strlcpy(out, text, size);
	return true;
}

static bool only_known_keys(const json_t *body, GError **err)
{
	static const char *const known[] = { "customer", "accelerators",
					     "urgent",	 "stoppable",
					     "grace_ms", "declared_s",
					     "task",	 NULL };
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)body, key, value)
		if (!g_strv_contains(known, key)) {
			g_set_error(err, CB_ERROR, CB_E_BAD_JOB,
				    "unknown key \"%s\"", key);
			return false;
		}
	return true;
}

static bool get_task(struct job_entry *jb, const json_t *body, GError **err)
{
	json_t *task = json_object_get(body, "task");

	if (!task)
		return true;
	if (!json_is_object(task) ||
	    json_dumpb(task, NULL, 0, JSON_COMPACT) > JOB_TASK_MAX_BYTES)
		return bad_value(err, "task", "an object of limited size");
	jb->task = json_deep_copy(task);
	return true;
}

/* The keys are sorted, so their order doesn't change the digest. */
static void make_digest(struct job_entry *jb, const json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	g_strlcpy(jb->digest, sum, sizeof(jb->digest));
	g_free(sum);
	free(text);
}

/*
 * Fills an initialized job from a caller's submission. Its digest shows
 * whether a later submission under the same key is a repetition of this one.
 */
bool job_entry_from_submission(struct job_entry *jb, const json_t *body,
			       const char *key, GError **err)
{
	int64_t accelerators = 0;

	if (!json_is_object(body))
		return bad_value(err, "body", "a JSON object");
	if (!only_known_keys(body, err) ||
	    !get_string(body, "customer", jb->customer, sizeof(jb->customer),
			true, err) ||
	    !get_int(body, "accelerators", 1, INT32_MAX, &accelerators, err) ||
	    !get_int(body, "grace_ms", 0, RECLAIM_GRACE_MS, &jb->grace_ms,
		     err) ||
	    !get_int(body, "declared_s", 0, INT32_MAX, &jb->declared_s, err) ||
	    !get_bool(body, "urgent", &jb->urgent, err) ||
	    !get_bool(body, "stoppable", &jb->stoppable, err) ||
	    !get_task(jb, body, err))
		return false;
	if (!accelerators)
		return bad_value(err, "accelerators", "given");
	jb->accelerators = accelerators;
	if (!job_entry_make_id(jb->id, jb->customer, key)) {
		g_set_error(err, CB_ERROR, CB_E_BAD_KEY,
			    "Idempotency-Key must have 1 to %d bytes",
			    KEY_MAX_BYTES);
		return false;
	}
	make_digest(jb, body);
	return true;
}

/* Stored record. */

json_t *job_entry_to_json(const struct job_entry *jb)
{
	json_t *allocations = json_array();
	json_t *json;
	int i;

	for (i = 0; i < jb->allocation_count; i++)
		json_array_append_new(allocations,
				      json_pack("[s,i,i]",
						jb->allocations[i].worker,
						jb->allocations[i].count,
						jb->allocations[i].cover));
	json = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:b,s:b,s:b,s:s,s:s,s:I,"
		"s:i,s:I,s:I,s:I,s:I,s:o}",
		"id", jb->id, "customer", jb->customer, "dc", jb->dc, "digest",
		jb->digest, "accelerators", jb->accelerators, "declared_s",
		(json_int_t)jb->declared_s, "grace_ms",
		(json_int_t)jb->grace_ms, "urgent", jb->urgent, "stoppable",
		jb->stoppable, "stop_on_removal", jb->stop_on_removal, "state",
		job_entry_state_name(jb->state), "reason", jb->reason, "epoch",
		(json_int_t)jb->epoch, "attempt", jb->attempt, "submitted_us",
		(json_int_t)jb->submitted_wall_us, "started_us",
		(json_int_t)jb->started_wall_us, "ended_us",
		(json_int_t)jb->ended_wall_us, "attained_us",
		(json_int_t)jb->attained_us, "workers", allocations);
	if (jb->task)
		json_object_set(json, "task", jb->task);
	return json;
}

static bool get_state(struct job_entry *jb, const json_t *json, GError **err)
{
	const char *name = json_string_value(json_object_get(json, "state"));
	int i;

	for (i = 0; i < JOB_ENTRY_STATE_COUNT; i++)
		if (g_strcmp0(name, state_names[i]) == 0) {
			jb->state = i;
			return true;
		}
	return bad_value(err, "state", "a state of a job");
}

static bool get_allocations(struct job_entry *jb, const json_t *json,
			    GError **err)
{
	const json_t *allocations = json_object_get(json, "workers");
	json_t *allocation;
	size_t i;

	json_array_foreach((json_t *)allocations, i, allocation) {
		const char *worker =
			json_string_value(json_array_get(allocation, 0));
		json_int_t n =
			json_integer_value(json_array_get(allocation, 1));
		json_int_t cover =
			json_integer_value(json_array_get(allocation, 2));

		if (!worker || strlen(worker) >= NAME_MAX_BYTES || n < 1 ||
		    n > WORKER_ACCELERATORS_MAX || cover < -1 || cover > 3)
			return bad_value(err, "workers",
					 "[name, count, cover] entries");
		job_entry_add_allocation(jb, worker, n, cover);
	}
	return true;
}

/* Reads a stored record into an initialized job. */
bool job_entry_from_json(struct job_entry *jb, const json_t *json, GError **err)
{
	int64_t n = 0, epoch = 0, attempt = 0;

	if (!json_is_object(json))
		return bad_value(err, "record", "a JSON object");
	if (!get_string(json, "id", jb->id, sizeof(jb->id), true, err) ||
	    !get_string(json, "customer", jb->customer, sizeof(jb->customer),
			true, err) ||
	    !get_string(json, "dc", jb->dc, sizeof(jb->dc), false, err) ||
	    !get_string(json, "digest", jb->digest, sizeof(jb->digest), false,
			err) ||
	    !get_string(json, "reason", jb->reason, sizeof(jb->reason), false,
			err) ||
	    !get_int(json, "accelerators", 1, INT32_MAX, &n, err) ||
	    !get_int(json, "grace_ms", 0, RECLAIM_GRACE_MS, &jb->grace_ms,
		     err) ||
	    !get_int(json, "declared_s", 0, INT32_MAX, &jb->declared_s, err) ||
	    !get_int(json, "epoch", 0, INT64_MAX, &epoch, err) ||
	    !get_int(json, "attempt", 0, INT32_MAX, &attempt, err) ||
	    !get_int(json, "submitted_us", 0, INT64_MAX, &jb->submitted_wall_us,
		     err) ||
	    !get_int(json, "started_us", 0, INT64_MAX, &jb->started_wall_us,
		     err) ||
	    !get_int(json, "ended_us", 0, INT64_MAX, &jb->ended_wall_us, err) ||
	    !get_int(json, "attained_us", 0, INT64_MAX, &jb->attained_us,
		     err) ||
	    !get_bool(json, "urgent", &jb->urgent, err) ||
	    !get_bool(json, "stoppable", &jb->stoppable, err) ||
	    !get_bool(json, "stop_on_removal", &jb->stop_on_removal, err) ||
	    !get_state(jb, json, err) || !get_allocations(jb, json, err) ||
	    !get_task(jb, json, err))
		return false;
	if (!n)
		return bad_value(err, "accelerators", "given");
	jb->accelerators = n;
	jb->epoch = epoch;
	jb->attempt = attempt;
	return true;
}
