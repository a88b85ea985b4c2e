#include "control/ledger.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "fleet/limits.h"

/* After a failure; the store names no time itself. */
#define LEDGER_RETRY_MS 100
/* Another transaction goes out beside those under way when it is full, or when
 * these take longer than a store of another region usually does. */
#define LEDGER_SLOW_MS 60
/* Keys of three records a removed job, within the limit of a transaction. */
#define EXPIRED_PER_WRITE 8

void ledger_init(struct ledger *ledger, struct kv *kv,
		 const struct ledger_ops *ops)
{
	int i;

	memset(ledger, 0, sizeof(*ledger));
	ledger->ops = ops;
	ledger->kv = kv;
	for (i = 0; i < LEDGER_BATCHES; i++) {
		struct ledger_batch *batch = &ledger->batches[i];

		batch->ledger = ledger;
		batch->writing = g_ptr_array_new();
		batch->changes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	}
	ledger->expired = g_ptr_array_new_with_free_func(g_free);
	ctr_init(&ledger->writes, &kv->kn->counters, CTR_COUNTER,
		 "chivebank_ledger_writes_total", NULL,
		 "Transactions of the leader that were carried out");
	ctr_init(&ledger->retries, &kv->kn->counters, CTR_COUNTER,
		 "chivebank_ledger_retries_total", NULL,
		 "Transactions of the leader that had to be repeated");
	ctr_init(&ledger->latency, &kv->kn->counters, CTR_HISTOGRAM,
		 "chivebank_ledger_write_ms", NULL,
		 "Time from the sending of a transaction to its answer");
}

void ledger_finish(struct ledger *ledger)
{
	int i;

	ledger_close(ledger);
	for (i = 0; i < LEDGER_BATCHES; i++) {
		g_ptr_array_unref(ledger->batches[i].writing);
		g_array_unref(ledger->batches[i].changes);
	}
	g_ptr_array_unref(ledger->expired);
	ctr_finish(&ledger->writes);
	ctr_finish(&ledger->retries);
	ctr_finish(&ledger->latency);
}

static void clear_batch(struct ledger_batch *batch)
{
	guint i;

	for (i = 0; i < batch->writing->len; i++) {
		struct job *job = g_ptr_array_index(batch->writing, i);

		job->writing = false;
	}
	g_ptr_array_set_size(batch->writing, 0);
	g_array_set_size(batch->changes, 0);
	batch->removing = 0;
	batch->waiting = false;
}

void ledger_open(struct ledger *ledger, struct fleet *fleet,
		 int64_t leader_revision)
{
	ledger->fleet = fleet;
	ledger->leader_revision = leader_revision;
	ledger->open = true;
	ledger->failing_us = 0;
}

void ledger_close(struct ledger *ledger)
{
	int i;

	for (i = 0; i < LEDGER_BATCHES; i++) {
		struct ledger_batch *batch = &ledger->batches[i];

		if (batch->calling)
			ledger->kv->ops->cancel(ledger->kv, &batch->call);
		batch->calling = false;
		clear_batch(batch);
	}
	kn_timer_cancel(&ledger->timer);
	ledger->open = false;
	ledger->fleet = NULL;
	g_ptr_array_set_size(ledger->expired, 0);
	g_free(ledger->waiting);
	ledger->waiting = NULL;
	ledger->waiting_len = 0;
	ledger->waiting_dirty = false;
}

/* Answers. */

/* The job's changes up to the written one are stored. */
static void settle_job(struct ledger *ledger, struct job *job, uint64_t written,
		       int64_t revision)
{
	job->writing = false;
	job->record_rev = revision;
	list_del(&job->dirty);
	if (job->last_change <= written) {
		job->first_change = 0;
		return;
	}
	/* It changed meanwhile; its turn is behind the others. */
	job->first_change = written + 1;
	list_add_tail(&job->dirty, &ledger->fleet->dirty);
}

/* Jobs that changed meanwhile go where their oldest change belongs. */
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

static void written(struct ledger_batch *batch, int64_t revision)
{
	struct ledger *ledger = batch->ledger;
	guint i;

	for (i = 0; i < batch->writing->len; i++)
		settle_job(ledger, g_ptr_array_index(batch->writing, i),
			   g_array_index(batch->changes, uint64_t, i),
			   revision);
	sort_dirty(ledger->fleet);
	if (batch->removing > 0)
		g_ptr_array_remove_range(ledger->expired, 0,
					 (guint)batch->removing);
	if (batch->waiting)
		ledger->waiting_dirty = false;
	ctr_add(&ledger->writes, 1);
	ctr_observe(&ledger->latency,
		    (uint64_t)((kn_now_us() - batch->started_us) / 1000));
	ledger->failing_us = 0;
	clear_batch(batch);
	ledger->ops->stored(ledger);
}

static char *state_key(const struct job *job)
{
	return g_strconcat(KEY_STATE_PREFIX, job->id, NULL);
}

/*
 * A compare failed: the leader's key is another's, or an earlier try of this
 * transaction was carried out after all. Takes the records' revisions over.
 */
static bool still_leader(const struct ledger_batch *batch)
{
	const struct kv_item *leader = kv_find(&batch->call, KEY_LEADER);
	guint i;

	if (!leader || leader->mod_revision != batch->ledger->leader_revision)
		return false;
	for (i = 0; i < batch->writing->len; i++) {
		struct job *job = g_ptr_array_index(batch->writing, i);
		char *key = state_key(job);
		const struct kv_item *item = kv_find(&batch->call, key);

		job->record_rev = item ? item->mod_revision : 0;
		g_free(key);
	}
	return true;
}

static void on_retry(struct kn_timer *timer)
{
	ledger_flush(container_of(timer, struct ledger, timer));
}

static void on_txn(struct kv_call *call)
{
	struct ledger_batch *batch = call->user;
	struct ledger *ledger = batch->ledger;

	batch->calling = false;
	if (call->result == CB_OK && call->succeeded) {
		written(batch, call->revision);
		/* stored() may have closed the ledger. */
		if (ledger->open)
			ledger_flush(ledger);
		return;
	}
	ctr_add(&ledger->retries, 1);
	if (call->result == CB_OK && !still_leader(batch)) {
		clear_batch(batch);
		log_warn("ledger.deposed", "fence=%" G_GINT64_FORMAT,
			 ledger->leader_revision);
		ledger->ops->deposed(ledger);
		return;
	}
	if (ledger->failing_us == 0)
		ledger->failing_us = batch->started_us;
	clear_batch(batch);
	kn_timer_set(ledger->kv->kn, &ledger->timer,
		     call->result == CB_OK ? 0 :
					     LEDGER_RETRY_MS * USEC_PER_MSEC,
		     on_retry);
}

/* Writing. */

/* What one transaction consists of, while it is put together. */
struct parts {
	GArray *cmps; /* struct kv_cmp */
	GArray *ops; /* struct kv_op */
	GPtrArray *memory;
};

static void add_compare(struct parts *parts, const char *key, int64_t revision)
{
	struct kv_cmp cmp = { .key = key, .mod_revision = revision };

	g_array_append_val(parts->cmps, cmp);
}

/* Takes value over. */
static void add_put(struct parts *parts, const char *key, char *value,
		    size_t len)
{
	struct kv_op op = {
		.kind = KV_PUT, .key = key, .value = value, .len = len
	};

	g_ptr_array_add(parts->memory, value);
	g_array_append_val(parts->ops, op);
}

static void add_job(struct ledger_batch *batch, struct parts *parts,
		    struct job *job)
{
	msgpack_sbuffer record;
	char *key = state_key(job);
	char *value;

	record_state_write(job, &record);
	value = g_memdup2(record.data, record.size);
	g_ptr_array_add(parts->memory, key);
	add_compare(parts, key, job->record_rev);
	add_put(parts, key, value, record.size);
	msgpack_sbuffer_destroy(&record);
	job->writing = true;
	g_ptr_array_add(batch->writing, job);
	g_array_append_val(batch->changes, job->last_change);
}

/* Takes key over. */
static void add_remove(struct parts *parts, char *key)
{
	struct kv_op op = { .kind = KV_DELETE, .key = key };

	g_ptr_array_add(parts->memory, key);
	g_array_append_val(parts->ops, op);
}

static void add_removals(struct ledger_batch *batch, struct parts *parts)
{
	const GPtrArray *expired = batch->ledger->expired;
	guint i;

	for (i = 0; i < expired->len && i < EXPIRED_PER_WRITE; i++) {
		const char *id = g_ptr_array_index(expired, i);

		add_remove(parts, g_strconcat(KEY_INTAKE_PREFIX, id,
					      KEY_SPEC_SUFFIX, NULL));
		add_remove(parts, g_strconcat(KEY_INTAKE_PREFIX, id,
					      KEY_CANCEL_SUFFIX, NULL));
		add_remove(parts, g_strconcat(KEY_STATE_PREFIX, id, NULL));
		batch->removing++;
	}
}

/* The first batch also takes what does not belong to a job under way. */
static void fill(struct ledger_batch *batch, struct parts *parts, bool first)
{
	struct ledger *ledger = batch->ledger;
	struct job *job;

	add_compare(parts, KEY_LEADER, ledger->leader_revision);
	list_for_each_entry(job, &ledger->fleet->dirty, dirty) {
		if (batch->writing->len >= RECORDS_PER_WRITE)
			break;
		if (!job->writing)
			add_job(batch, parts, job);
	}
	if (!first)
		return;
	if (batch->writing->len == 0)
		add_removals(batch, parts);
	batch->waiting = ledger->waiting_dirty &&
			 batch->writing->len < RECORDS_PER_WRITE;
	if (batch->waiting)
		add_put(parts, KEY_WAITING,
			g_memdup2(ledger->waiting, ledger->waiting_len),
			ledger->waiting_len);
}

static void send_batch(struct ledger_batch *batch, bool first)
{
	struct kv *kv = batch->ledger->kv;
	struct parts parts = {
		.cmps = g_array_new(FALSE, FALSE, sizeof(struct kv_cmp)),
		.ops = g_array_new(FALSE, FALSE, sizeof(struct kv_op)),
		.memory = g_ptr_array_new_with_free_func(g_free),
	};

	fill(batch, &parts, first);
	batch->started_us = kn_now_us();
	memset(&batch->call, 0, sizeof(batch->call));
	batch->call.done = on_txn;
	batch->call.user = batch;
	batch->calling = true;
	kv->ops->txn(kv, &batch->call,
		     (struct kv_cmp *)(void *)parts.cmps->data, parts.cmps->len,
		     (struct kv_op *)(void *)parts.ops->data, parts.ops->len,
		     NULL, 0);
	g_array_unref(parts.cmps);
	g_array_unref(parts.ops);
	g_ptr_array_unref(parts.memory);
}

/* Changed jobs that are in no transaction, at most as many as fit into one. */
static int unwritten(const struct ledger *ledger)
{
	const struct job *job;
	int count = 0;

	list_for_each_entry(job, &ledger->fleet->dirty, dirty) {
		count += !job->writing;
		if (count == RECORDS_PER_WRITE)
			break;
	}
	return count;
}

/* Whether a transaction goes out now, beside those under way. */
static bool wants_batch(const struct ledger *ledger, int calling,
			int64_t latest_us)
{
	int jobs = unwritten(ledger);

	if (calling == 0)
		return jobs > 0 || ledger->waiting_dirty ||
		       ledger->expired->len > 0;
	return jobs == RECORDS_PER_WRITE ||
	       (jobs > 0 &&
		kn_now_us() - latest_us > LEDGER_SLOW_MS * USEC_PER_MSEC);
}

void ledger_flush(struct ledger *ledger)
{
	for (;;) {
		struct ledger_batch *idle = NULL;
		int64_t latest_us = 0;
		int calling = 0;
		int i;

		if (!ledger->open || kn_timer_pending(&ledger->timer))
			return;
		for (i = 0; i < LEDGER_BATCHES; i++) {
			struct ledger_batch *batch = &ledger->batches[i];

			if (!batch->calling) {
				idle = batch;
				continue;
			}
			calling++;
			latest_us = MAX(latest_us, batch->started_us);
		}
		if (!idle || !wants_batch(ledger, calling, latest_us))
			return;
		send_batch(idle, calling == 0);
	}
}

int64_t ledger_since_us(const struct ledger *ledger)
{
	int64_t since_us = ledger->failing_us;
	int i;

	for (i = 0; i < LEDGER_BATCHES; i++) {
		const struct ledger_batch *batch = &ledger->batches[i];

		if (batch->calling &&
		    (since_us == 0 || batch->started_us < since_us))
			since_us = batch->started_us;
	}
	return since_us;
}

void ledger_set_waiting(struct ledger *ledger, const void *data, size_t len)
{
	if (ledger->waiting && ledger->waiting_len == len &&
	    memcmp(ledger->waiting, data, len) == 0)
		return;
	g_free(ledger->waiting);
	ledger->waiting = g_memdup2(data, len);
	ledger->waiting_len = len;
	ledger->waiting_dirty = true;
}

void ledger_expire(struct ledger *ledger, const char *id)
{
	g_ptr_array_add(ledger->expired, g_strdup(id));
}
