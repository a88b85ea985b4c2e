#include "control/ledger.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "fleet/limits.h"

/* Delay after a failure. The store gives no time for a retry. */
#define LEDGER_RETRY_MS 100
/* Job records of a write that has room for the speeds: of its 32 entries, two
 * are those of a record, and one is the leader's key. */
#define RECORDS_BESIDE_SPEEDS (RECORDS_PER_WRITE - 1)
/* A write has up to 32 entries: five a job, the leader's key, the counts. */
#define REMOVED_JOBS_PER_WRITE 5

/* The records of a job that the fleet no longer has. */
struct removal {
	char *spec_key;
	char *cancel_key;
	char *state_key;
	int64_t spec_rev; /* 0: there is none */
	int64_t state_rev;
};

static void removal_free(void *data)
{
	struct removal *removal = data;

	g_free(removal->spec_key);
	g_free(removal->cancel_key);
	g_free(removal->state_key);
	g_free(removal);
}

void ledger_init(struct ledger *ledger, struct kv *kv,
		 const struct ledger_ops *ops)
{
	memset(ledger, 0, sizeof(*ledger));
	ledger->ops = ops;
	ledger->kv = kv;
	ledger->jobs_in_call = g_ptr_array_new();
	ledger->changes_in_call = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ledger->removals = g_ptr_array_new_with_free_func(removal_free);
	ctr_init(&ledger->writes, &kv->kn->counters, CTR_COUNTER,
		 "chivebank_ledger_writes_total", NULL,
		 "Transactions of the leader that were carried out");
	ctr_init(&ledger->retries, &kv->kn->counters, CTR_COUNTER,
		 "chivebank_ledger_retries_total", NULL,
		 "Transactions of the leader that had to be repeated");
	ctr_init(&ledger->latency, &kv->kn->counters, CTR_HISTOGRAM,
		 "chivebank_ledger_write_ms", NULL,
		 "Time from the first try of a transaction to its answer");
}

void ledger_finish(struct ledger *ledger)
{
	ledger_close(ledger);
	g_ptr_array_unref(ledger->jobs_in_call);
	g_array_unref(ledger->changes_in_call);
	g_ptr_array_unref(ledger->removals);
	ctr_finish(&ledger->writes);
	ctr_finish(&ledger->retries);
	ctr_finish(&ledger->latency);
}

void ledger_open(struct ledger *ledger, struct fleet *fleet,
		 int64_t leader_revision)
{
	ledger->fleet = fleet;
	ledger->leader_revision = leader_revision;
	ledger->open = true;
	ledger->started_us = 0;
	ledger->counts.key = KEY_WAITING;
	ledger->counts.revision = -1;
	ledger->speeds.key = KEY_SPEEDS;
	ledger->speeds.revision = -1;
	ledger->loans.key = KEY_LOANS;
	ledger->loans.revision = -1;
}

static void record_clear(struct ledger_record *record)
{
	g_free(record->data);
	memset(record, 0, sizeof(*record));
}

static void record_set(struct ledger_record *record, const void *data,
		       size_t len)
{
	if (record->data && record->len == len &&
	    memcmp(record->data, data, len) == 0)
		return;
	g_free(record->data);
	record->data = g_memdup2(data, len);
	record->len = len;
	record->dirty = true;
}

/* The transaction was not carried out; the data goes into the next one. */
static void record_not_written(struct ledger_record *record)
{
	record->dirty |= record->in_call;
	record->in_call = false;
}

static void record_written(struct ledger_record *record, int64_t revision)
{
	if (record->in_call)
		record->revision = revision;
	record->in_call = false;
}

/* A comparison has failed: takes the revision from the answer. */
static void record_compared(struct ledger_record *record,
			    const struct kv_call *call)
{
	const struct kv_item *item = kv_find(call, record->key);

	if (record->in_call)
		record->revision = item ? item->mod_revision : 0;
}

void ledger_close(struct ledger *ledger)
{
	if (ledger->call_pending)
		ledger->kv->ops->cancel(ledger->kv, &ledger->call);
	kn_timer_cancel(&ledger->timer);
	ledger->call_pending = false;
	ledger->open = false;
	ledger->fleet = NULL;
	ledger->removals_in_call = 0;
	g_ptr_array_set_size(ledger->jobs_in_call, 0);
	g_array_set_size(ledger->changes_in_call, 0);
	g_ptr_array_set_size(ledger->removals, 0);
	record_clear(&ledger->counts);
	record_clear(&ledger->speeds);
	record_clear(&ledger->loans);
}

/* Answers. */

/* Marks the changes of the job up to written as stored. */
static void mark_job_stored(struct ledger *ledger, struct job *job,
			    uint64_t written, int64_t revision)
{
	job->writing = false;
	job->record_rev = revision;
	list_del(&job->dirty);
	if (job->last_change <= written) {
		job->first_change = 0;
		return;
	}
	/* It has changed meanwhile and is queued behind the other jobs. */
	job->first_change = written + 1;
	list_add_tail(&job->dirty, &ledger->fleet->dirty);
}

/* Orders jobs by their oldest change that is not stored. */
static gint by_change(gconstpointer a, gconstpointer b)
{
	const struct job *left = *(struct job *const *)a;
	const struct job *right = *(struct job *const *)b;

	return left->first_change < right->first_change ? -1 : 1;
}

static void sort_dirty(struct fleet *fleet)
{
	GPtrArray *jobs = g_ptr_array_new();
	guint i;

	while (!list_empty(&fleet->dirty)) {
		struct job *job =
			list_first_entry(&fleet->dirty, struct job, dirty);

		list_del(&job->dirty);
		g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, by_change);
	for (i = 0; i < jobs->len; i++) {
		struct job *job = g_ptr_array_index(jobs, i);

		list_add_tail(&job->dirty, &fleet->dirty);
	}
	g_ptr_array_unref(jobs);
}

static void clear_call(struct ledger *ledger)
{
	guint i;

	for (i = 0; i < ledger->jobs_in_call->len; i++) {
		struct job *job = g_ptr_array_index(ledger->jobs_in_call, i);

		job->writing = false;
	}
	g_ptr_array_set_size(ledger->jobs_in_call, 0);
	g_array_set_size(ledger->changes_in_call, 0);
	ledger->removals_in_call = 0;
	record_not_written(&ledger->counts);
	record_not_written(&ledger->speeds);
	record_not_written(&ledger->loans);
}

static void handle_written(struct ledger *ledger, int64_t revision)
{
	guint i;

	for (i = 0; i < ledger->jobs_in_call->len; i++)
		mark_job_stored(
			ledger, g_ptr_array_index(ledger->jobs_in_call, i),
			g_array_index(ledger->changes_in_call, uint64_t, i),
			revision);
	sort_dirty(ledger->fleet);
	if (ledger->removals_in_call > 0)
		g_ptr_array_remove_range(ledger->removals, 0,
					 (guint)ledger->removals_in_call);
	record_written(&ledger->counts, revision);
	record_written(&ledger->speeds, revision);
	record_written(&ledger->loans, revision);
	ctr_add(&ledger->writes, 1);
	ctr_observe(&ledger->latency,
		    (uint64_t)((kn_now_us() - ledger->started_us) / 1000));
	ledger->started_us = 0;
	clear_call(ledger);
	ledger->ops->stored(ledger);
}

static char *state_key(const struct job *job)
{
	return g_strconcat(KEY_STATE_PREFIX, job->id, NULL);
}

static bool has_revision(const struct kv_call *call, const char *key,
			 int64_t revision)
{
	const struct kv_item *item = kv_find(call, key);

	return (item ? item->mod_revision : 0) == revision;
}

/* Drops the removals of records that are gone or have been written since. */
static void drop_changed_removals(struct ledger *ledger,
				  const struct kv_call *call)
{
	guint i;

	for (i = (guint)ledger->removals_in_call; i-- > 0;) {
		const struct removal *removal =
			g_ptr_array_index(ledger->removals, i);

		if (has_revision(call, removal->spec_key, removal->spec_rev) &&
		    has_revision(call, removal->state_key, removal->state_rev))
			continue;
		log_info("ledger.not_removed", "key=%s revision=%lld",
			 removal->state_key, (long long)removal->state_rev);
		g_ptr_array_remove_index(ledger->removals, i);
	}
}

/*
 * Handles a failed comparison: either another host holds the leader's key, or
 * an earlier attempt at this transaction was executed after all. In the second
 * case, updates what is known of the records and counts and returns true.
 */
static bool still_leader(struct ledger *ledger, const struct kv_call *call)
{
	const struct kv_item *leader = kv_find(call, KEY_LEADER);
	guint i;

	if (!leader || leader->mod_revision != ledger->leader_revision)
		return false;
	record_compared(&ledger->counts, call);
	record_compared(&ledger->speeds, call);
	record_compared(&ledger->loans, call);
	for (i = 0; i < ledger->jobs_in_call->len; i++) {
		struct job *job = g_ptr_array_index(ledger->jobs_in_call, i);
		char *key = state_key(job);
		const struct kv_item *item = kv_find(call, key);

		job->record_rev = item ? item->mod_revision : 0;
		g_free(key);
	}
	drop_changed_removals(ledger, call);
	return true;
}

static void on_retry(struct kn_timer *timer)
{
	ledger_flush(container_of(timer, struct ledger, timer));
}

static void on_txn(struct kv_call *call)
{
	struct ledger *ledger = call->user;

	ledger->call_pending = false;
	if (call->result == CB_OK && call->succeeded) {
		handle_written(ledger, call->revision);
		/* The stored() callback may have closed the ledger. */
		if (ledger->open)
			ledger_flush(ledger);
		return;
	}
	ctr_add(&ledger->retries, 1);
	if (call->result == CB_OK && !still_leader(ledger, call)) {
		clear_call(ledger);
		log_warn("ledger.deposed", "fence=%" G_GINT64_FORMAT,
			 ledger->leader_revision);
		ledger->ops->deposed(ledger);
		return;
	}
	clear_call(ledger);
	kn_timer_set(ledger->kv->kn, &ledger->timer,
		     call->result == CB_OK ? 0 :
					     LEDGER_RETRY_MS * USEC_PER_MSEC,
		     on_retry);
}

/* Writing. */

struct batch {
	GArray *cmps; /* struct kv_cmp */
	GArray *ops; /* struct kv_op */
	GPtrArray *memory;
};

static void batch_compare(struct batch *batch, const char *key,
			  int64_t revision)
{
	struct kv_cmp cmp = { .key = key, .mod_revision = revision };

	g_array_append_val(batch->cmps, cmp);
}

/* Takes ownership of value. */
static void batch_put(struct batch *batch, const char *key, char *value,
		      size_t len)
{
	struct kv_op op = {
		.kind = KV_PUT, .key = key, .value = value, .len = len
	};

	g_ptr_array_add(batch->memory, value);
	g_array_append_val(batch->ops, op);
}

static void add_job(struct ledger *ledger, struct batch *batch, struct job *job)
{
	msgpack_sbuffer record;
	char *key = state_key(job);
	char *value;

	record_state_write(job, &record);
	value = g_memdup2(record.data, record.size);
	g_ptr_array_add(batch->memory, key);
	batch_compare(batch, key, job->record_rev);
	batch_put(batch, key, value, record.size);
	msgpack_sbuffer_destroy(&record);
	job->writing = true;
	g_ptr_array_add(ledger->jobs_in_call, job);
	g_array_append_val(ledger->changes_in_call, job->last_change);
}

static void batch_remove(struct batch *batch, const char *key)
{
	struct kv_op op = { .kind = KV_DELETE, .key = key };

	g_array_append_val(batch->ops, op);
}

/* The cancellation has no comparison: it belongs to the submission. */
static void add_removals(struct ledger *ledger, struct batch *batch)
{
	guint i;

	for (i = 0; i < ledger->removals->len && i < REMOVED_JOBS_PER_WRITE;
	     i++) {
		const struct removal *removal =
			g_ptr_array_index(ledger->removals, i);

		batch_compare(batch, removal->spec_key, removal->spec_rev);
		batch_compare(batch, removal->state_key, removal->state_rev);
		batch_remove(batch, removal->spec_key);
		batch_remove(batch, removal->cancel_key);
		batch_remove(batch, removal->state_key);
		ledger->removals_in_call++;
	}
}

static void add_record(struct ledger_record *record, struct batch *batch)
{
	batch_compare(batch, record->key, MAX(record->revision, 0));
	batch_put(batch, record->key, g_memdup2(record->data, record->len),
		  record->len);
	record->dirty = false;
	record->in_call = true;
}

static void fill_batch(struct ledger *ledger, struct batch *batch)
{
	struct job *job;
	guint records = 0;

	batch_compare(batch, KEY_LEADER, ledger->leader_revision);
	if (ledger->loans.dirty && ledger->loans.revision >= 0) {
		add_record(&ledger->loans, batch);
		records++;
	}
	list_for_each_entry(job, &ledger->fleet->dirty, dirty) {
		if (records >= RECORDS_PER_WRITE)
			break;
		add_job(ledger, batch, job);
		records++;
	}
	if (ledger->jobs_in_call->len == 0)
		add_removals(ledger, batch);
	/* While the revision is not known, the comparison may fail: no records
	 * wait for that. */
	if (ledger->counts.dirty &&
	    records < (ledger->counts.revision < 0 ? 1 : RECORDS_PER_WRITE))
		add_record(&ledger->counts, batch);
	if (ledger->speeds.dirty && ledger->speeds.revision >= 0 &&
	    records <= RECORDS_BESIDE_SPEEDS)
		add_record(&ledger->speeds, batch);
}

void ledger_flush(struct ledger *ledger)
{
	struct batch batch;

	if (!ledger->open || ledger->call_pending ||
	    kn_timer_pending(&ledger->timer) || ledger_idle(ledger))
		return;
	batch.cmps = g_array_new(FALSE, FALSE, sizeof(struct kv_cmp));
	batch.ops = g_array_new(FALSE, FALSE, sizeof(struct kv_op));
	batch.memory = g_ptr_array_new_with_free_func(g_free);
	fill_batch(ledger, &batch);
	if (ledger->started_us == 0)
		ledger->started_us = kn_now_us();
	memset(&ledger->call, 0, sizeof(ledger->call));
	ledger->call.done = on_txn;
	ledger->call.user = ledger;
	ledger->call_pending = true;
	ledger->kv->ops->txn(ledger->kv, &ledger->call,
			     (struct kv_cmp *)(void *)batch.cmps->data,
			     batch.cmps->len,
			     (struct kv_op *)(void *)batch.ops->data,
			     batch.ops->len, NULL, 0);
	g_array_unref(batch.cmps);
	g_array_unref(batch.ops);
	g_ptr_array_unref(batch.memory);
}

bool ledger_idle(const struct ledger *ledger)
{
	return !ledger->call_pending && list_empty(&ledger->fleet->dirty) &&
	       !ledger->counts.dirty && !ledger->loans.dirty &&
	       ledger->removals->len == 0;
}

void ledger_set_queue_counts(struct ledger *ledger, const void *data,
			     size_t len)
{
	record_set(&ledger->counts, data, len);
}

void ledger_set_speeds(struct ledger *ledger, const void *data, size_t len)
{
	record_set(&ledger->speeds, data, len);
}

void ledger_found_speeds(struct ledger *ledger, int64_t revision)
{
	if (ledger->speeds.revision < 0)
		ledger->speeds.revision = revision;
}

void ledger_set_loans(struct ledger *ledger, const void *data, size_t len)
{
	record_set(&ledger->loans, data, len);
}

void ledger_found_loans(struct ledger *ledger, int64_t revision)
{
	if (ledger->loans.revision < 0)
		ledger->loans.revision = revision;
}

bool ledger_loans_stored(const struct ledger *ledger)
{
	return !ledger->loans.dirty && !ledger->loans.in_call;
}

void ledger_remove_job(struct ledger *ledger, const char *id, int64_t spec_rev,
		       int64_t state_rev)
{
	struct removal *removal = g_new0(struct removal, 1);

	removal->spec_key =
		g_strconcat(KEY_INTAKE_PREFIX, id, KEY_SPEC_SUFFIX, NULL);
	removal->cancel_key =
		g_strconcat(KEY_INTAKE_PREFIX, id, KEY_CANCEL_SUFFIX, NULL);
	removal->state_key = g_strconcat(KEY_STATE_PREFIX, id, NULL);
	removal->spec_rev = spec_rev;
	removal->state_rev = state_rev;
	g_ptr_array_add(ledger->removals, removal);
}
