#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/document/document_int.h"

/*
 * Exchange of documents between hosts. The body of a push is a MessagePack
 * array: [revision, root JSON, [[section, body text]...]]. A document whose
 * bodies exceed DOC_PUSH_BYTES is split into several pushes with the same
 * root. The body of a pull is [revision that the sender has].
 */

static void pack_text(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

/* Pushing. */

struct push {
	struct document *d;
	const char *host; /* NULL: all hosts of the data centre */
	int64_t since; /* sections of later revisions are sent */
	char *root;
	msgpack_sbuffer sections; /* not sent yet */
	uint32_t count; /* number of sections not sent yet */
	bool sent; /* at least one part was sent */
};

static void send_part(struct push *push)
{
	struct document *d = push->d;
	msgpack_sbuffer body;
	msgpack_packer pk;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&pk, &body, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int64(&pk, d->doc->revision);
	pack_text(&pk, push->root);
	msgpack_pack_array(&pk, push->count);
	msgpack_sbuffer_write(&body, push->sections.data, push->sections.size);
	if (push->host)
		pr_send(d->peers, push->host, PR_DOC_PUSH, &body);
	else
		pr_send_dc(d->peers, d->set->dc, PR_DOC_PUSH, &body);
	msgpack_sbuffer_destroy(&body);
	msgpack_sbuffer_clear(&push->sections);
	push->count = 0;
	push->sent = true;
}

static gboolean add_section(void *key, void *value, void *data)
{
	const struct doc_section *section = value;
	struct push *push = data;
	msgpack_packer pk;
	char *text;

	if (section->revision <= push->since)
		return FALSE;
	text = doc_body_text(section->body);
	if (push->count > 0 &&
	    push->sections.size + strlen(text) > DOC_PUSH_BYTES)
		send_part(push);
	msgpack_packer_init(&pk, &push->sections, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	pack_text(&pk, section->name);
	pack_text(&pk, text);
	push->count++;
	free(text);
	return FALSE;
}

/*
 * Sends the root of the document in force, and the bodies of the sections
 * that changed after revision since, to one host, or to all hosts of the data
 * centre if host is NULL.
 */
void document_push(struct document *d, const char *host, int64_t since)
{
	struct push push = { .d = d, .host = host, .since = since };

	msgpack_sbuffer_init(&push.sections);
	push.root = doc_root_text(d->doc);
	g_tree_foreach(d->doc->sections, add_section, &push);
	if (push.count > 0 || !push.sent)
		send_part(&push);
	free(push.root);
	msgpack_sbuffer_destroy(&push.sections);
}

/* Pulling. */

/*
 * Requests a revision from a host. It is not requested again within
 * DOC_PULL_TIMEOUT_MS, since several peers announce it at the same time.
 */
void document_pull(struct document *d, const char *host, int64_t revision)
{
	int64_t now = kn_now_us();
	msgpack_sbuffer body;
	msgpack_packer pk;

	if (revision <= d->requested_revision &&
	    now - d->requested_us < DOC_PULL_TIMEOUT_MS * USEC_PER_MSEC)
		return;
	d->requested_revision = revision;
	d->requested_us = now;
	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&pk, &body, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 1);
	msgpack_pack_int64(&pk, d->doc->revision);
	pr_send(d->peers, host, PR_DOC_PULL, &body);
	msgpack_sbuffer_destroy(&body);
}

/* Receiving. */

static const msgpack_object *field(const msgpack_object *array, uint32_t i,
				   msgpack_object_type type)
{
	if (array->type != MSGPACK_OBJECT_ARRAY || i >= array->via.array.size ||
	    array->via.array.ptr[i].type != type)
		return NULL;
	return &array->via.array.ptr[i];
}

static bool get_revision(const msgpack_object *body, uint32_t i, int64_t *out)
{
	const msgpack_object *value =
		field(body, i, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!value || value->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)value->via.u64;
	return true;
}

static bool set_bodies(struct document *d, const msgpack_object *sections)
{
	const msgpack_object *entry, *name, *text;
	char name_text[DOC_SECTION_NAME_MAX_BYTES];
	uint32_t i;

	for (i = 0; i < sections->via.array.size; i++) {
		entry = &sections->via.array.ptr[i];
		name = field(entry, 0, MSGPACK_OBJECT_STR);
		text = field(entry, 1, MSGPACK_OBJECT_STR);
		if (!name || !text || name->via.str.size >= sizeof(name_text))
			return false;
		memcpy(name_text, name->via.str.ptr, name->via.str.size);
		name_text[name->via.str.size] = '\0';
		if (doc_find(d->incoming, name_text) &&
		    !doc_set_body(d->incoming, name_text, text->via.str.ptr,
				  text->via.str.size, NULL))
			return false;
	}
	return true;
}

/*
 * Merges a push into the incoming document, unless it is outdated. Returns
 * false if it is malformed.
 */
static bool merge_push(struct document *d, const msgpack_object *body)
{
	const msgpack_object *root = field(body, 1, MSGPACK_OBJECT_STR);
	const msgpack_object *sections = field(body, 2, MSGPACK_OBJECT_ARRAY);
	int64_t revision;
	struct doc *doc;

	if (!root || !sections || !get_revision(body, 0, &revision))
		return false;
	if (d->view && revision <= d->doc->revision)
		return true;
	doc = doc_root_parse(root->via.str.ptr, root->via.str.size, NULL);
	if (!doc || doc->revision != revision) {
		doc_free(doc);
		return false;
	}
	if (d->incoming && d->incoming->revision >= revision) {
		doc_free(doc);
		if (d->incoming->revision > revision)
			return true;
	} else {
		doc_free(d->incoming);
		d->incoming = doc;
		doc_share_bodies(doc, d->doc);
	}
	return set_bodies(d, sections);
}

static void on_push(struct document *d, struct pr_in *in)
{
	GPtrArray *missing;

	if (!merge_push(d, &in->body.data)) {
		log_warn("document.bad_push", "peer=%s", in->host);
		g_clear_pointer(&d->incoming, doc_free);
		return;
	}
	if (!d->incoming)
		return;
	missing = doc_missing_bodies(d->incoming);
	if (missing->len == 0)
		document_install(d, g_steal_pointer(&d->incoming), false);
	else
		document_pull(d, in->host, d->incoming->revision);
	g_ptr_array_free(missing, TRUE);
}

/* Handles a push, a pull or the revision in a heartbeat from a peer. */
void document_peer_message(struct document *d, struct pr_in *in)
{
	int64_t revision;

	if (in->type == PR_DOC_PUSH) {
		on_push(d, in);
	} else if (in->type == PR_DOC_PULL) {
		if (d->view && get_revision(&in->body.data, 0, &revision) &&
		    revision < d->doc->revision)
			document_push(d, in->host, revision);
	} else if (in->type == PR_HEARTBEAT) {
		if (get_revision(&in->body.data, 2, &revision) &&
		    revision > d->doc->revision)
			document_pull(d, in->host, revision);
	}
}
