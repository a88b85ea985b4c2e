#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/document/document_int.h"

/*
 * A change of one section. It is applied to the document that the store
 * holds; the new body, the history entry and the root are then written in one
 * transaction, conditional on the root being unmodified. A host runs its
 * changes one at a time, so that they do not conflict with each other.
 *
 * If the answer to the transaction is lost, it may have been applied or may
 * still be. The history entry at the change's revision decides: if it is of
 * this change, the change succeeded; if it is of another one, the transaction
 * can no longer be applied. While there is no entry, the same transaction is
 * sent again; its condition lets at most one of the copies be applied.
 */
struct change {
	struct list_head node;
	struct document *d;
	struct svc_api_call *api; /* NULL once answered by a stop */
	struct doc_change proposed;
	struct kv_call call;
	struct kn_timer timer;
	int64_t deadline_us;
	struct doc *current; /* as read from the store */
	int64_t current_mod;
	struct doc *next; /* as written by the last transaction */
	int64_t replaced_mod; /* mod revision of the root that next replaces */
	char *history; /* entry written with next */
	bool writing; /* a transaction was sent and not answered */
	bool outcome_unknown; /* a sent transaction may have been applied */
	unsigned int merges; /* times the root was modified concurrently */
	unsigned int failures;
};

static void start_first_change(struct document *d);

static void change_free(struct change *c)
{
	list_del(&c->node);
	kn_timer_cancel(&c->timer);
	doc_free(c->current);
	doc_free(c->next);
	free(c->history);
	g_free((char *)c->proposed.id);
	g_free((char *)c->proposed.section);
	g_free((char *)c->proposed.team);
	g_free((char *)c->proposed.owner);
	json_decref(c->proposed.body);
	g_free(c);
}

/* Frees a change whose call was answered and starts the next one. */
static void change_end(struct change *c)
{
	struct document *d = c->d;

	change_free(c);
	if (!list_empty(&d->changes))
		start_first_change(d);
	else if (d->task.kn->draining && !d->task.drained)
		kn_drained(&d->task);
}

static void answer_error(struct change *c, int code, const char *text)
{
	if (c->api)
		svc_api_fail(c->api, &c->d->task, code, "%s", text);
	c->api = NULL;
}

static void fail_change(struct change *c, int code, const char *text)
{
	answer_error(c, code, text);
	change_end(c);
}

/* The outcome of a change. */

/*
 * Answers that the change was written as the given revision. Takes ownership
 * of doc, which includes the change.
 */
static void complete_change(struct change *c, int64_t revision, struct doc *doc)
{
	struct document *d = c->d;

	ctr_add(&d->changes_done, 1);
	ev_emit("document.changed",
		"revision=%" PRId64 " section=%s team=%s change=%s "
		"in_force=%" PRId64,
		revision, c->proposed.section, c->proposed.team, c->proposed.id,
		doc->revision);
	if (c->api)
		svc_api_answer(c->api, &d->task, 200,
			       json_pack("{s:I,s:s,s:s,s:b}", "revision",
					 (json_int_t)revision, "section",
					 c->proposed.section, "change",
					 c->proposed.id, "deleted",
					 !c->proposed.body));
	document_install(d, doc, true);
	document_prune(d, revision);
	change_end(c);
}

static void read_root(struct change *c);

static void on_retry_due(struct kn_timer *timer)
{
	read_root(container_of(timer, struct change, timer));
}

static void answer_unknown(struct change *c)
{
	char *text = g_strdup_printf(
		"change \"%s\" of section \"%s\" may have been applied as "
		"revision %" PRId64
		"; check the history when the store answers again",
		c->proposed.id, c->proposed.section, c->next->revision);

	answer_error(c, CB_E_CHANGE_UNKNOWN, text);
	g_free(text);
}

/* Reads the root again after a delay; past the deadline, fails the call. */
static void retry_later(struct change *c)
{
	if (!c->api || kn_now_us() >= c->deadline_us) {
		answer_unknown(c);
		change_end(c);
		return;
	}
	kn_timer_set(c->d->task.kn, &c->timer,
		     document_backoff_us(c->d, c->failures++), on_retry_due);
}

/* Writing. */

static void on_written(struct kv_call *call)
{
	struct change *c = container_of(call, struct change, call);
	int64_t revision = c->next->revision;

	c->writing = false;
	if (call->result == CB_OK && call->succeeded) {
		complete_change(c, revision, g_steal_pointer(&c->next));
	} else if (call->result == CB_OK && c->outcome_unknown) {
		read_root(c);
	} else if (call->result == CB_OK) {
		if (++c->merges > DOC_RETRIES_MAX)
			fail_change(
				c, CB_E_CONFLICT,
				"too many concurrent changes of the document");
		else
			read_root(c);
	} else if (call->result == CB_E_TIMEOUT || c->outcome_unknown) {
		c->outcome_unknown = true;
		retry_later(c);
	} else {
		fail_change(c, CB_E_STORE_DOWN,
			    "the store did not accept the write; nothing was "
			    "changed");
	}
}

static struct kv_op put_op(const char *key, const char *text)
{
	return (struct kv_op){
		.kind = KV_PUT, .key = key, .value = text, .len = strlen(text)
	};
}

/*
 * Sends the transaction that writes c->next. It also deletes the body that is
 * replaced and its history entry if they are older than history_keep
 * revisions: pruning skipped them while the body was in force.
 */
static void write_next(struct change *c)
{
	struct kv_cmp cmp = { DOC_ROOT_KEY, c->replaced_mod };
	int64_t revision = c->next->revision;
	char *section_key = doc_section_key(c->proposed.section, revision);
	char *history_key = doc_history_key(revision);
	char *root = doc_root_text(c->next);
	int64_t old = c->proposed.base; /* section revision being replaced */
	char *old_section = doc_section_key(c->proposed.section, old);
	char *old_history = doc_history_key(old);
	char *body = NULL;
	struct kv_op ops[5];
	size_t n = 0;

	if (c->proposed.body) {
		body = doc_body_text(c->proposed.body);
		ops[n++] = put_op(section_key, body);
	}
	ops[n++] = put_op(history_key, c->history);
	ops[n++] = put_op(DOC_ROOT_KEY, root);
	if (old > 0 && old <= revision - c->d->history_keep) {
		ops[n++] =
			(struct kv_op){ .kind = KV_DELETE, .key = old_section };
		ops[n++] =
			(struct kv_op){ .kind = KV_DELETE, .key = old_history };
	}
	memset(&c->call, 0, sizeof(c->call));
	c->call.done = on_written;
	c->writing = true;
	c->d->kv->ops->txn(c->d->kv, &c->call, &cmp, 1, ops, n, NULL, 0);
	free(root);
	free(body);
	g_free(section_key);
	g_free(history_key);
	g_free(old_section);
	g_free(old_history);
}

/* Requests repeated by the caller. */

static bool same_body(const struct change *c, const struct doc_section *section)
{
	char *text, *sha256;
	bool same;

	if (!c->proposed.body)
		return false;
	text = doc_body_text(c->proposed.body);
	sha256 = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	same = strcmp(sha256, section->sha256) == 0;
	g_free(sha256);
	free(text);
	return same;
}

static char *history_change_id(const struct kv_call *call)
{
	json_t *entry;
	char *id;

	if (call->result != CB_OK || call->count == 0)
		return NULL;
	entry = json_loadb(call->items[0].value, call->items[0].len, 0, NULL);
	id = g_strdup(json_string_value(json_object_get(entry, "change")));
	json_decref(entry);
	return id;
}

static void read_history(struct change *c, int64_t revision,
			 void (*done)(struct kv_call *call))
{
	char *key = doc_history_key(revision);

	memset(&c->call, 0, sizeof(c->call));
	c->call.done = done;
	c->d->kv->ops->range(c->d->kv, &c->call, key, false);
	g_free(key);
}

static void on_conflicting_entry(struct kv_call *call)
{
	struct change *c = container_of(call, struct change, call);
	const struct doc_section *section =
		doc_find(c->current, c->proposed.section);
	char *id = history_change_id(call);
	int64_t revision = section->revision;

	if (g_strcmp0(id, c->proposed.id) != 0)
		fail_change(c, CB_E_CONFLICT,
			    "the section changed since it was read");
	else if (same_body(c, section))
		complete_change(c, revision, g_steal_pointer(&c->current));
	else
		fail_change(
			c, CB_E_KEY_REUSED,
			"Idempotency-Key was used for another change of the "
			"section");
	g_free(id);
}

/* Applying a change. */

/*
 * Applies the change to the document that was read and writes the result. If
 * it conflicts and the caller gave an Idempotency-Key, the conflicting change
 * may be an earlier attempt of the same request, which the history shows.
 */
static void apply(struct change *c)
{
	const struct doc_section *section;
	GError *err = NULL;
	json_t *entry;

	doc_free(c->next);
	c->next = doc_apply(c->current, &c->proposed, &err);
	if (!c->next) {
		section = doc_find(c->current, c->proposed.section);
		if (err->code == CB_E_CONFLICT && c->api && c->api->key &&
		    section)
			read_history(c, section->revision,
				     on_conflicting_entry);
		else
			fail_change(c, err->code, err->message);
		g_error_free(err);
		return;
	}
	c->replaced_mod = c->current_mod;
	entry = doc_history_entry(c->current, c->next, &c->proposed,
				  kn_wall_us());
	free(c->history);
	c->history = doc_body_text(entry);
	json_decref(entry);
	write_next(c);
}

/* Resolving the outcome after a lost answer. */

static void on_history(struct kv_call *call)
{
	struct change *c = container_of(call, struct change, call);
	char *id = history_change_id(call);

	if (!id) {
		retry_later(c);
	} else if (strcmp(id, c->proposed.id) == 0) {
		complete_change(c, c->next->revision,
				g_steal_pointer(&c->current));
	} else if (!c->api) {
		change_end(c);
	} else {
		c->outcome_unknown = false;
		apply(c);
	}
	g_free(id);
}

static void resolve_outcome(struct change *c)
{
	/* The root precedes the change, so there is no history entry yet. */
	if (c->current->revision < c->next->revision)
		write_next(c);
	else
		read_history(c, c->next->revision, on_history);
}

/* Reading the root. */

static void on_read(struct doc_fetch *fetch, int result)
{
	struct change *c = fetch->user;
	struct document *d = c->d;

	/* What a stop has answered is not written any more. */
	if (!c->api) {
		change_end(c);
		return;
	}
	if (result != CB_OK) {
		if (c->outcome_unknown)
			retry_later(c);
		else
			fail_change(c,
				    result == CB_E_CHECK_FAILED ?
					    result :
					    CB_E_STORE_DOWN,
				    "the document could not be read from "
				    "the store");
		return;
	}
	if (document_overtaken(fetch) && kn_now_us() < c->deadline_us) {
		read_root(c);
		return;
	}
	if (document_is_behind(d, fetch->doc)) {
		document_report_behind(d, fetch->doc);
		if (c->outcome_unknown)
			retry_later(c);
		else
			fail_change(c, CB_E_STORE_BEHIND,
				    "nothing was changed");
		return;
	}
	doc_free(c->current);
	c->current = g_steal_pointer(&fetch->doc);
	c->current_mod = fetch->mod_revision;
	if (c->outcome_unknown)
		resolve_outcome(c);
	else
		apply(c);
}

static void read_root(struct change *c)
{
	document_fetch(c->d, on_read, c);
}

/* Starting changes. */

static void start_first_change(struct document *d)
{
	struct change *c = list_first_entry(&d->changes, struct change, node);

	if (kn_now_us() < c->deadline_us)
		read_root(c);
	else
		fail_change(c, CB_E_STORE_DOWN,
			    "timed out waiting for earlier changes to finish");
}

/*
 * Returns the id of a change: the caller's Idempotency-Key, or without one
 * host, incarnation and a counter, which together are unique.
 */
static char *change_id(struct document *d, const struct svc_api_call *call)
{
	char *id;

	if (call->key)
		return g_strdup(call->key);
	id = g_strdup_printf("%.24s/%" PRIu64 "/%" PRIu64, d->set->host,
			     d->incarnation, ++d->next_change);
	return id;
}

void document_change(struct document *d, struct svc_api_call *call,
		     const struct doc_change *change)
{
	struct change *c;

	if (call->key && (!*call->key || strlen(call->key) >= NAME_MAX_BYTES)) {
		svc_api_fail(call, &d->task, CB_E_BAD_KEY,
			     "Idempotency-Key has %zu bytes; allowed: 1 to %d",
			     strlen(call->key), NAME_MAX_BYTES - 1);
		json_decref(change->body);
		return;
	}
	if (d->stopping) {
		svc_api_fail(call, &d->task, CB_E_DRAINING, "%s", d->set->host);
		json_decref(change->body);
		return;
	}
	c = g_new0(struct change, 1);
	c->d = d;
	c->api = call;
	c->proposed = *change;
	c->proposed.id = change_id(d, call);
	c->proposed.section = g_strdup(change->section);
	c->proposed.team = g_strdup(change->team);
	c->proposed.owner = g_strdup(change->owner);
	c->deadline_us = kn_now_us() + DOC_CHANGE_TIMEOUT_MS * USEC_PER_MSEC;
	list_add_tail(&c->node, &d->changes);
	if (list_first_entry(&d->changes, struct change, node) == c)
		start_first_change(d);
}

/*
 * The first change may be in the store already, or get there; it goes on
 * without a caller until the store has answered. The others have not begun.
 */
void document_changes_stop(struct document *d)
{
	struct change *c, *next;

	list_for_each_entry_safe(c, next, &d->changes, node) {
		if (c->writing || c->outcome_unknown) {
			log_warn("document.unfinished",
				 "section=%s change=%s revision=%" PRId64,
				 c->proposed.section, c->proposed.id,
				 c->next->revision);
			answer_unknown(c);
			continue;
		}
		answer_error(c, CB_E_DRAINING, "nothing was changed");
		if (c != list_first_entry(&d->changes, struct change, node))
			change_free(c);
	}
}

/* Frees the changes at exit without answering their calls. */
void document_changes_finish(struct document *d)
{
	struct change *c, *next;

	list_for_each_entry_safe(c, next, &d->changes, node) {
		if (c->api)
			kn_msg_release(&c->api->msg);
		change_free(c);
	}
}
