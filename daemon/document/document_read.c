#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/document/document_int.h"

/* An API call that reads older revisions from the store. */
struct query {
	struct list_head node;
	struct document *d;
	struct svc_api_call *api;
	struct kv_call call;
	GPtrArray *keys; /* to read in the next transaction */
	/* Arguments and result of a diff. */
	int64_t from;
	int64_t to;
	bool admin;
	json_t *sections; /* name -> {"from_revision", "to_revision"} */
	/* Arguments of a revert. */
	char *section;
	char *team;
	int64_t base; /* section revision that is replaced */
};

static struct query *query_new(struct document *d, struct svc_api_call *api)
{
	struct query *q = g_new0(struct query, 1);

	q->d = d;
	q->api = api;
	q->keys = g_ptr_array_new_with_free_func(g_free);
	list_add_tail(&q->node, &d->queries);
	return q;
}

static void query_free(struct query *q)
{
	list_del(&q->node);
	g_ptr_array_free(q->keys, TRUE);
	json_decref(q->sections);
	g_free(q->section);
	g_free(q->team);
	g_free(q);
}

/* Reads all keys of the query, in order, in a single transaction. */
static void read_keys(struct query *q, void (*done)(struct kv_call *call))
{
	struct kv_op *ops = g_new0(struct kv_op, q->keys->len);
	struct kv *kv = q->d->kv;
	unsigned int i;

	for (i = 0; i < q->keys->len; i++) {
		ops[i].kind = KV_RANGE;
		ops[i].key = q->keys->pdata[i];
	}
	memset(&q->call, 0, sizeof(q->call));
	q->call.done = done;
	kv->ops->txn(kv, &q->call, NULL, 0, ops, q->keys->len, NULL, 0);
	g_free(ops);
}

/* If the read failed, fails the call, frees the query and returns true. */
static bool fail_if_unread(struct query *q)
{
	if (q->call.result == CB_OK)
		return false;
	svc_api_fail(q->api, &q->d->task, CB_E_STORE_DOWN,
		     "older revisions could not be read from the store");
	query_free(q);
	return true;
}

static json_t *item_json(const struct kv_item *item)
{
	return json_loadb(item->value, item->len, 0, NULL);
}

static void add_history_keys(struct query *q, int64_t first, int64_t last)
{
	int64_t revision;

	for (revision = last; revision >= first; revision--)
		g_ptr_array_add(q->keys, doc_history_key(revision));
}

/* History. */

static void on_history(struct kv_call *call)
{
	struct query *q = container_of(call, struct query, call);
	json_t *entries;
	size_t i;

	if (fail_if_unread(q))
		return;
	entries = json_array();
	for (i = 0; i < call->count; i++)
		json_array_append_new(entries, item_json(&call->items[i]));
	svc_api_answer(q->api, &q->d->task, 200,
		       json_pack("{s:o}", "changes", entries));
	query_free(q);
}

/*
 * Answers with history entries, newest first: at most "limit" of those before
 * revision "before".
 */
void document_history(struct document *d, struct svc_api_call *call)
{
	int64_t before, limit;
	struct query *q;

	if (!document_query_int(d, call, "before", d->doc->revision + 1,
				&before) ||
	    !document_query_int(d, call, "limit", DOC_HISTORY_MAX, &limit))
		return;
	before = MIN(before, d->doc->revision + 1);
	limit = MIN(limit, DOC_HISTORY_MAX);
	if (before <= 1 || limit == 0) {
		svc_api_answer(call, &d->task, 200,
			       json_pack("{s:[]}", "changes"));
		return;
	}
	q = query_new(d, call);
	add_history_keys(q, MAX(1, before - limit), before - 1);
	read_keys(q, on_history);
}

/* Difference. */

/*
 * Adds a history entry to the difference. The entries come newest first, so a
 * section's first one gives its "to_revision", its last "from_revision".
 */
static void add_to_diff(struct query *q, json_t *entry)
{
	const char *name = json_string_value(json_object_get(entry, "section"));
	json_t *section;

	if (!name || (!q->admin && g_str_has_prefix(name, "team/")))
		return;
	section = json_object_get(q->sections, name);
	if (!section) {
		section = json_object();
		json_object_set(section, "to_revision",
				json_object_get(entry, "new_revision"));
		json_object_set_new(q->sections, name, section);
	}
	json_object_set(section, "from_revision",
			json_object_get(entry, "old_revision"));
}

static int64_t revision_of(const json_t *section, const char *key)
{
	return json_integer_value(json_object_get(section, key));
}

/* Returns the bodies in an answer of the store as an object by store key. */
static json_t *index_bodies(const struct kv_call *call)
{
	json_t *bodies = json_object();
	size_t i;

	for (i = 0; i < call->count; i++)
		json_object_set_new(bodies, call->items[i].key,
				    item_json(&call->items[i]));
	return bodies;
}

static json_t *body_at(const json_t *bodies, const char *name, int64_t revision)
{
	char *key = doc_section_key(name, revision);
	json_t *body = json_object_get(bodies, key);

	g_free(key);
	return body;
}

static void on_diff_bodies(struct kv_call *call)
{
	struct query *q = container_of(call, struct query, call);
	json_t *bodies, *section, *from, *to;
	const char *name;

	if (fail_if_unread(q))
		return;
	bodies = index_bodies(call);
	json_object_foreach(q->sections, name, section) {
		from = body_at(bodies, name,
			       revision_of(section, "from_revision"));
		to = body_at(bodies, name, revision_of(section, "to_revision"));
		json_object_set_new(section, "changes", doc_diff(from, to));
	}
	json_decref(bodies);
	svc_api_answer(q->api, &q->d->task, 200,
		       json_pack("{s:I,s:I,s:O}", "from", (json_int_t)q->from,
				 "to", (json_int_t)q->to, "sections",
				 q->sections));
	query_free(q);
}

static void on_diff_history(struct kv_call *call)
{
	struct query *q = container_of(call, struct query, call);
	json_t *entry, *section;
	const char *name;
	size_t i;

	if (fail_if_unread(q))
		return;
	if (call->count < q->keys->len) {
		svc_api_fail(q->api, &q->d->task, CB_E_BAD_REQUEST,
			     "query argument \"from\": the history since "
			     "revision %" PRId64 " is incomplete; the last "
			     "%" PRId64 " revisions are kept",
			     q->from, q->d->history_keep);
		query_free(q);
		return;
	}
	for (i = 0; i < call->count; i++) {
		entry = item_json(&call->items[i]);
		add_to_diff(q, entry);
		json_decref(entry);
	}
	g_ptr_array_set_size(q->keys, 0);
	json_object_foreach(q->sections, name, section) {
		g_ptr_array_add(
			q->keys,
			doc_section_key(name,
					revision_of(section, "from_revision")));
		g_ptr_array_add(
			q->keys,
			doc_section_key(name,
					revision_of(section, "to_revision")));
	}
	read_keys(q, on_diff_bodies);
}

/*
 * Answers with the difference between two revisions. At most DOC_DIFF_MAX
 * changes are compared: with two bodies to read for each one, they fit into
 * the 128 operations that the store allows in a transaction.
 */
void document_diff(struct document *d, struct svc_api_call *call, bool admin)
{
	struct query *q;
	int64_t from, to;

	if (!document_query_int(d, call, "from", -1, &from) ||
	    !document_query_int(d, call, "to", d->doc->revision, &to))
		return;
	if (from < 0 || from > to || to > d->doc->revision ||
	    to - from > DOC_DIFF_MAX) {
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "query arguments \"from\" and \"to\": allowed: "
			     "0 <= from <= to <= %" PRId64
			     ", at most %d revisions apart",
			     d->doc->revision, DOC_DIFF_MAX);
		return;
	}
	q = query_new(d, call);
	q->from = from;
	q->to = to;
	q->admin = admin;
	q->sections = json_object();
	add_history_keys(q, from + 1, to);
	read_keys(q, on_diff_history);
}

/* Revert. */

static void on_old_body(struct kv_call *call)
{
	struct query *q = container_of(call, struct query, call);
	struct doc_change change = { .section = q->section,
				     .team = q->team,
				     .base = q->base };

	if (fail_if_unread(q))
		return;
	if (call->count > 0)
		change.body = item_json(&call->items[0]);
	if (change.body)
		document_change(q->d, q->api, &change);
	else
		svc_api_fail(q->api, &q->d->task, CB_E_NO_SECTION,
			     "section \"%s\" has no such revision", q->section);
	query_free(q);
}

/*
 * Writes the body that a section had at an older revision, both named in the
 * call's {"section", "revision"}, as a new revision.
 */
void document_revert(struct document *d, struct svc_api_call *call,
		     const char *team, int64_t base)
{
	const char *section;
	json_int_t revision;
	struct query *q;

	if (json_unpack(call->body, "{s:s,s:I!}", "section", &section,
			"revision", &revision) != 0 ||
	    !doc_check_name(section, NULL)) {
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "the body must be {\"section\": name, "
			     "\"revision\": number}");
		return;
	}
	q = query_new(d, call);
	q->section = g_strdup(section);
	q->team = g_strdup(team);
	q->base = base;
	g_ptr_array_add(q->keys, doc_section_key(section, revision));
	read_keys(q, on_old_body);
}

/* Frees the queries at exit without answering their calls. */
void document_queries_finish(struct document *d)
{
	struct query *q, *next;

	list_for_each_entry_safe(q, next, &d->queries, node) {
		kn_msg_release(&q->api->msg);
		query_free(q);
	}
}
