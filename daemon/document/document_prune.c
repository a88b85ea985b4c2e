#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/document/document_int.h"

/*
 * Deletes history entries and bodies older than history_keep revisions from
 * the store, in batches of DOC_PRUNE_BATCH revisions, so that pruning adds
 * two store calls to one change in 32. A body that is still in force is kept
 * along with its entry; the change that replaces it deletes both. A batch
 * that fails is not retried, and its revisions stay in the store.
 */
struct doc_prune {
	struct list_head node;
	struct document *d;
	struct kv_call call;
	int64_t first; /* first revision of the batch */
};

static void prune_free(struct doc_prune *prune)
{
	list_del(&prune->node);
	g_free(prune);
}

static void add_delete(GArray *ops, char *key)
{
	struct kv_op op = { .kind = KV_DELETE, .key = key };

	g_array_append_val(ops, op);
}

static void run_txn(struct doc_prune *prune, GArray *ops,
		    void (*done)(struct kv_call *call))
{
	struct kv *kv = prune->d->kv;
	unsigned int i;

	memset(&prune->call, 0, sizeof(prune->call));
	prune->call.done = done;
	kv->ops->txn(kv, &prune->call, NULL, 0,
		     (struct kv_op *)(void *)ops->data, ops->len, NULL, 0);
	for (i = 0; i < ops->len; i++)
		g_free((char *)g_array_index(ops, struct kv_op, i).key);
	g_array_free(ops, TRUE);
}

static void on_deleted(struct kv_call *call)
{
	struct doc_prune *prune = container_of(call, struct doc_prune, call);

	if (call->result != CB_OK)
		log_warn("document.not_pruned", "first=%lld result=%d",
			 (long long)prune->first, call->result);
	prune_free(prune);
}

/* Adds the deletions for a history entry, unless its body is in force. */
static void add_deletions(struct document *d, GArray *ops,
			  const struct kv_item *item)
{
	json_t *entry = json_loadb(item->value, item->len, 0, NULL);
	const struct doc_section *section;
	json_int_t revision, written;
	const char *name;

	if (json_unpack(entry, "{s:I,s:s,s:I}", "revision", &revision,
			"section", &name, "new_revision", &written) == 0) {
		section = doc_find(d->doc, name);
		if (!section || section->revision != written) {
			add_delete(ops, doc_history_key(revision));
			add_delete(ops, doc_section_key(name, revision));
		}
	}
	json_decref(entry);
}

static void on_entries(struct kv_call *call)
{
	struct doc_prune *prune = container_of(call, struct doc_prune, call);
	GArray *ops = g_array_new(FALSE, TRUE, sizeof(struct kv_op));
	size_t i;

	for (i = 0; call->result == CB_OK && i < call->count; i++)
		add_deletions(prune->d, ops, &call->items[i]);
	if (ops->len > 0) {
		run_txn(prune, ops, on_deleted);
		return;
	}
	g_array_free(ops, TRUE);
	prune_free(prune);
}

void document_prune(struct document *d, int64_t revision)
{
	int64_t last = revision - d->history_keep, i;
	struct doc_prune *prune;
	GArray *ops;

	if (last < DOC_PRUNE_BATCH || revision % DOC_PRUNE_BATCH != 0)
		return;
	prune = g_new0(struct doc_prune, 1);
	prune->d = d;
	prune->first = last - DOC_PRUNE_BATCH + 1;
	list_add_tail(&prune->node, &d->prunes);
	ops = g_array_new(FALSE, TRUE, sizeof(struct kv_op));
	for (i = prune->first; i <= last; i++) {
		struct kv_op op = { .kind = KV_RANGE,
				    .key = doc_history_key(i) };

		g_array_append_val(ops, op);
	}
	run_txn(prune, ops, on_entries);
}

/* Frees the prunes in progress at exit. */
void document_prunes_finish(struct document *d)
{
	struct doc_prune *prune, *next;

	list_for_each_entry_safe(prune, next, &d->prunes, node)
		prune_free(prune);
}
