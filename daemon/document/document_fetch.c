#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "daemon/document/document_int.h"

static void fetch_free(struct doc_fetch *fetch)
{
	list_del(&fetch->node);
	doc_free(fetch->doc);
	if (fetch->missing)
		g_ptr_array_free(fetch->missing, TRUE);
	g_free(fetch);
}

static void fetch_end(struct doc_fetch *fetch, int result)
{
	fetch->done(fetch, result);
	fetch_free(fetch);
}

static void fail(struct doc_fetch *fetch, GError *err)
{
	log_err("document.unreadable", "reason=\"%s\"", err->message);
	g_error_free(err);
	fetch_end(fetch, CB_E_CHECK_FAILED);
}

static void read_bodies(struct doc_fetch *fetch);

static void on_bodies(struct kv_call *call)
{
	struct doc_fetch *fetch = container_of(call, struct doc_fetch, call);
	const struct doc_section *section;
	GError *err = NULL;
	unsigned int i;

	if (call->result != CB_OK) {
		fetch_end(fetch, call->result);
		return;
	}
	/* An absent body has no item, so there may be fewer than requested. */
	for (i = 0; i < fetch->batch && i < call->count; i++) {
		section = fetch->missing->pdata[fetch->next + i];
		if (!doc_set_body(fetch->doc, section->name,
				  call->items[i].value, call->items[i].len,
				  &err)) {
			fail(fetch, err);
			return;
		}
	}
	if (call->count < fetch->batch) {
		g_set_error(&err, CB_ERROR, CB_E_CHECK_FAILED,
			    "the body of a section is missing in the store");
		fail(fetch, err);
		return;
	}
	fetch->next += fetch->batch;
	read_bodies(fetch);
}

/* Reads the next batch of missing bodies; ends the fetch after the last. */
static void read_bodies(struct doc_fetch *fetch)
{
	struct kv *kv = fetch->d->kv;
	struct kv_op ops[DOC_READ_BATCH] = { 0 };
	char *keys[DOC_READ_BATCH];
	const struct doc_section *section;
	unsigned int i, left = fetch->missing->len - fetch->next;

	if (left == 0) {
		fetch_end(fetch, CB_OK);
		return;
	}
	fetch->batch = MIN(left, DOC_READ_BATCH);
	for (i = 0; i < fetch->batch; i++) {
		section = fetch->missing->pdata[fetch->next + i];
		keys[i] = doc_section_key(section->name, section->revision);
		ops[i].kind = KV_RANGE;
		ops[i].key = keys[i];
	}
	memset(&fetch->call, 0, sizeof(fetch->call));
	fetch->call.done = on_bodies;
	kv->ops->txn(kv, &fetch->call, NULL, 0, ops, fetch->batch, NULL, 0);
	for (i = 0; i < fetch->batch; i++)
		g_free(keys[i]);
}

static void on_root(struct kv_call *call)
{
	struct doc_fetch *fetch = container_of(call, struct doc_fetch, call);
	GError *err = NULL;

	if (call->result != CB_OK) {
		fetch_end(fetch, call->result);
		return;
	}
	if (call->count == 0) {
		fetch->doc = doc_new();
	} else {
		fetch->mod_revision = call->items[0].mod_revision;
		fetch->doc = doc_root_parse(call->items[0].value,
					    call->items[0].len, &err);
	}
	if (!fetch->doc) {
		fail(fetch, err);
		return;
	}
	doc_share_bodies(fetch->doc, fetch->d->doc);
	fetch->missing = doc_missing_bodies(fetch->doc);
	read_bodies(fetch);
}

/*
 * Reads the whole document from the store. Bodies of sections that have not
 * changed are shared with the document in force instead of read. done() may
 * take ownership of fetch->doc by clearing it; the fetch is freed when done()
 * returns.
 */
struct doc_fetch *
document_fetch(struct document *d,
	       void (*done)(struct doc_fetch *fetch, int result), void *user)
{
	struct doc_fetch *fetch = g_new0(struct doc_fetch, 1);

	fetch->d = d;
	fetch->in_force = d->doc->revision;
	fetch->done = done;
	fetch->user = user;
	fetch->call.done = on_root;
	list_add_tail(&fetch->node, &d->fetches);
	d->kv->ops->range(d->kv, &fetch->call, DOC_ROOT_KEY, false);
	return fetch;
}

/*
 * True if a peer's push has put a later revision in force than the one read,
 * which was not behind when the read was sent. The store is not at fault.
 */
bool document_overtaken(const struct doc_fetch *fetch)
{
	return fetch->doc->revision >= fetch->in_force &&
	       fetch->doc->revision < fetch->d->doc->revision;
}

/* Frees the fetches at exit; the store client no longer calls back. */
void document_fetches_finish(struct document *d)
{
	struct doc_fetch *fetch, *next;

	list_for_each_entry_safe(fetch, next, &d->fetches, node)
		fetch_free(fetch);
}
