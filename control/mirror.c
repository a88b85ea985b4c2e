#include "control/mirror.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* Backoff after failures: short at first, as most failures are the loss of a
 * single answer. */
#define RETRY_FIRST_MS 60
#define RETRY_MAX_MS 500
/* Delay of the read after a failed poll, so that repeated failures cost
 * little. */
#define REREAD_PAUSE_MS 30

static void read_all(struct mirror *mirror);
static void start_poll(struct mirror *mirror);

static void on_retry(struct kn_timer *timer)
{
	read_all(container_of(timer, struct mirror, timer));
}

static void on_failure(struct mirror *mirror, int result)
{
	int64_t pause_ms = RETRY_FIRST_MS << MIN(mirror->failures, 4);

	mirror->failures++;
	if (mirror->up && mirror->failures > 1) {
		mirror->up = false;
		log_warn("mirror.lost",
			 "prefix=%s revision=%" G_GINT64_FORMAT " result=%d",
			 mirror->prefix, mirror->revision, result);
		if (mirror->ops->lost)
			mirror->ops->lost(mirror);
	}
	kn_timer_set(mirror->kv->kn, &mirror->timer,
		     MIN(pause_ms, RETRY_MAX_MS) * USEC_PER_MSEC, on_retry);
}

static int64_t known_revision(const struct mirror *mirror, const char *key)
{
	const int64_t *known = g_hash_table_lookup(mirror->revisions, key);

	return known ? *known : 0;
}

static void apply(struct mirror *mirror, const struct kv_item *item)
{
	int64_t *revision;

	if (item->mod_revision <= known_revision(mirror, item->key))
		return;
	if (!item->value) {
		if (g_hash_table_remove(mirror->revisions, item->key))
			mirror->ops->removed(mirror, item->key);
		return;
	}
	revision = g_new(int64_t, 1);
	*revision = item->mod_revision;
	g_hash_table_insert(mirror->revisions, g_strdup(item->key), revision);
	mirror->ops->set(mirror, item);
}

/* Removes the keys of the copy that the range read did not return. */
static void remove_missing(struct mirror *mirror, const struct kv_call *call)
{
	GHashTable *read = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	size_t i;
	guint k;

	for (i = 0; i < call->count; i++)
		g_hash_table_add(read, call->items[i].key);
	g_hash_table_iter_init(&iter, mirror->revisions);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(read, key))
			g_ptr_array_add(gone, g_strdup(key));
	for (k = 0; k < gone->len; k++) {
		g_hash_table_remove(mirror->revisions,
				    g_ptr_array_index(gone, k));
		mirror->ops->removed(mirror, g_ptr_array_index(gone, k));
	}
	g_ptr_array_unref(gone);
	g_hash_table_unref(read);
}

static void on_range(struct kv_call *call)
{
	struct mirror *mirror = call->user;
	bool was_up = mirror->up;
	size_t i;

	mirror->calling = false;
	if (call->result != CB_OK) {
		on_failure(mirror, call->result);
		return;
	}
	/* Ignores an answer of a revision older than the copy. */
	if (call->revision < mirror->revision) {
		log_warn("mirror.behind",
			 "prefix=%s revision=%" G_GINT64_FORMAT
			 " known=%" G_GINT64_FORMAT,
			 mirror->prefix, call->revision, mirror->revision);
		on_failure(mirror, CB_E_STORE_BEHIND);
		return;
	}
	mirror->failures = 0;
	mirror->up = true;
	mirror->synced_us = kn_now_us();
	mirror->revision = call->revision;
	remove_missing(mirror, call);
	for (i = 0; i < call->count; i++)
		apply(mirror, &call->items[i]);
	if (!was_up)
		log_info("mirror.synced",
			 "prefix=%s revision=%" G_GINT64_FORMAT " keys=%zu",
			 mirror->prefix, mirror->revision, call->count);
	mirror->ops->synced(mirror);
	if (!mirror->calling && !kn_timer_pending(&mirror->timer))
		start_poll(mirror);
}

static void read_all(struct mirror *mirror)
{
	mirror->calling = true;
	memset(&mirror->call, 0, sizeof(mirror->call));
	mirror->call.done = on_range;
	mirror->call.user = mirror;
	mirror->kv->ops->range(mirror->kv, &mirror->call, mirror->prefix, true);
}

static void on_batch_delay(struct kn_timer *timer)
{
	start_poll(container_of(timer, struct mirror, timer));
}

static void on_poll(struct kv_call *call)
{
	struct mirror *mirror = call->user;
	size_t i;

	mirror->calling = false;
	if (call->result == CB_E_HISTORY_GONE) {
		read_all(mirror);
		return;
	}
	if (call->result != CB_OK) {
		/* Reads all keys soon, which also finds missed changes. */
		kn_timer_set(mirror->kv->kn, &mirror->timer,
			     REREAD_PAUSE_MS * USEC_PER_MSEC, on_retry);
		return;
	}
	mirror->failures = 0;
	mirror->synced_us = kn_now_us();
	for (i = 0; i < call->count; i++)
		apply(mirror, &call->items[i]);
	mirror->revision = MAX(mirror->revision, call->revision);
	/* A callback may have stopped the mirror. */
	if (!mirror->up || mirror->calling)
		return;
	if (call->count > 0 && mirror->batch_delay_ms > 0)
		kn_timer_set(mirror->kv->kn, &mirror->timer,
			     mirror->batch_delay_ms * USEC_PER_MSEC,
			     on_batch_delay);
	else
		start_poll(mirror);
}

static void start_poll(struct mirror *mirror)
{
	mirror->calling = true;
	memset(&mirror->call, 0, sizeof(mirror->call));
	mirror->call.done = on_poll;
	mirror->call.user = mirror;
	mirror->kv->ops->poll(mirror->kv, &mirror->call, mirror->prefix,
			      mirror->revision, mirror->wait_ms);
}

void mirror_init(struct mirror *mirror, struct kv *kv,
		 const struct mirror_ops *ops, const char *prefix,
		 int64_t wait_ms)
{
	memset(mirror, 0, sizeof(*mirror));
	mirror->ops = ops;
	mirror->kv = kv;
	mirror->prefix = g_strdup(prefix);
	mirror->wait_ms = wait_ms;
	mirror->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void mirror_start(struct mirror *mirror)
{
	if (!mirror->calling && !kn_timer_pending(&mirror->timer))
		read_all(mirror);
}

void mirror_reread(struct mirror *mirror)
{
	if (!mirror->calling && !kn_timer_pending(&mirror->timer))
		return;
	if (mirror->calling)
		mirror->kv->ops->cancel(mirror->kv, &mirror->call);
	kn_timer_cancel(&mirror->timer);
	read_all(mirror);
}

void mirror_stop(struct mirror *mirror)
{
	if (mirror->calling)
		mirror->kv->ops->cancel(mirror->kv, &mirror->call);
	mirror->calling = false;
	kn_timer_cancel(&mirror->timer);
	g_hash_table_remove_all(mirror->revisions);
	mirror->revision = 0;
	mirror->synced_us = 0;
	mirror->failures = 0;
	mirror->up = false;
}

void mirror_finish(struct mirror *mirror)
{
	mirror_stop(mirror);
	g_hash_table_unref(mirror->revisions);
	g_free(mirror->prefix);
}
