#include "policy/doc.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define DOC_PREFIX "/chivebank/doc/"

/* Documents. */

static int compare_names(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

static void section_unref(void *data)
{
	struct doc_section *section = data;

	if (--section->refs > 0)
		return;
	json_decref(section->body);
	g_free(section);
}

/* Returns an empty document with revision 0. */
struct doc *doc_new(void)
{
	struct doc *doc = g_new0(struct doc, 1);

	doc->sections =
		g_tree_new_full(compare_names, NULL, NULL, section_unref);
	return doc;
}

/*
 * Adds a section, replacing one of the same name. Takes ownership of the
 * caller's reference.
 */
void doc_insert(struct doc *doc, struct doc_section *section)
{
	g_tree_replace(doc->sections, section->name, section);
}

/* Frees a document; accepts NULL. */
void doc_free(struct doc *doc)
{
	if (!doc)
		return;
	g_tree_destroy(doc->sections);
	g_free(doc);
}

/* Returns the section with that name, or NULL if there is none. */
struct doc_section *doc_find(const struct doc *doc, const char *name)
{
	return g_tree_lookup(doc->sections, name);
}

/* True if next may replace current: a host's revision must never decrease. */
bool doc_supersedes(const struct doc *next, const struct doc *current)
{
	return next->revision > current->revision;
}

/*
 * Returns the serialized form of a body, as it is stored and hashed, to be
 * freed with free(). Keys are sorted, so that equal bodies have equal texts.
 */
char *doc_body_text(const json_t *body)
{
	return json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
}

/*
 * The root: the revision, the id of the change that made it, and for each
 * section its revision, the store key of its body, its owner and its hash.
 */

static gboolean add_to_root(void *key, void *value, void *data)
{
	const struct doc_section *section = value;
	char *body_key = doc_section_key(section->name, section->revision);

	json_object_set_new(data, section->name,
			    json_pack("{s:I,s:s,s:s,s:s}", "revision",
				      (json_int_t)section->revision, "key",
				      body_key, "team", section->team, "sha256",
				      section->sha256));
	g_free(body_key);
	return FALSE;
}

/* Returns the root as JSON text, to be freed with free(). */
char *doc_root_text(const struct doc *doc)
{
	json_t *sections = json_object();
	json_t *root;
	char *text;

	g_tree_foreach(doc->sections, add_to_root, sections);
	root = json_pack("{s:I,s:s,s:o}", "revision", (json_int_t)doc->revision,
			 "change", doc->change, "sections", sections);
	text = doc_body_text(root);
	json_decref(root);
	return text;
}

static bool parse_root_section(struct doc *doc, const char *name, json_t *value)
{
	const char *team, *sha256;
	struct doc_section *section;
	json_int_t revision;

	if (!doc_check_name(name, NULL) ||
	    json_unpack(value, "{s:I,s:s,s:s}", "revision", &revision, "team",
			&team, "sha256", &sha256) != 0 ||
	    revision < 1 || revision > doc->revision ||
	    strlen(team) >= NAME_MAX_BYTES ||
	    strlen(sha256) != DOC_SHA256_BYTES - 1)
		return false;
	section = g_new0(struct doc_section, 1);
	section->refs = 1;
	section->revision = revision;
	strcpy(section->name, name);
	strcpy(section->team, team);
	strcpy(section->sha256, sha256);
	doc_insert(doc, section);
	return true;
}

/* Parses a root into a document without bodies. Returns NULL on failure. */
struct doc *doc_root_parse(const char *text, size_t len, GError **err)
{
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	struct doc *doc = doc_new();
	json_t *sections, *value;
	json_int_t revision;
	const char *change, *name;

	if (json_unpack(root, "{s:I,s:s,s:o}", "revision", &revision, "change",
			&change, "sections", &sections) != 0 ||
	    revision < 0 || strlen(change) >= NAME_MAX_BYTES)
		goto malformed;
	doc->revision = revision;
	strcpy(doc->change, change);
	json_object_foreach(sections, name, value) {
		if (!parse_root_section(doc, name, value))
			goto malformed;
	}
	json_decref(root);
	return doc;
malformed:
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "the root of the document is malformed");
	json_decref(root);
	doc_free(doc);
	return NULL;
}

/* Bodies. */

static gboolean share_body(void *key, void *value, void *data)
{
	const struct doc *from = data;
	struct doc_section *section = value, *old = doc_find(from, key);

	if (!section->body && old && old->body &&
	    old->revision == section->revision &&
	    strcmp(old->sha256, section->sha256) == 0)
		section->body = json_incref(old->body);
	return FALSE;
}

/* Shares the bodies of sections that are the same in another document. */
void doc_share_bodies(struct doc *doc, const struct doc *from)
{
	g_tree_foreach(doc->sections, share_body, (void *)from);
}

static gboolean collect_missing(void *key, void *value, void *data)
{
	const struct doc_section *section = value;

	if (!section->body)
		g_ptr_array_add(data, value);
	return FALSE;
}

/* Returns the sections without a body; the array is to be freed. */
GPtrArray *doc_missing_bodies(const struct doc *doc)
{
	GPtrArray *missing = g_ptr_array_new();

	g_tree_foreach(doc->sections, collect_missing, missing);
	return missing;
}

/*
 * Sets the body of a section. Fails if its text does not have the hash that
 * the root gives for it.
 */
bool doc_set_body(struct doc *doc, const char *name, const char *text,
		  size_t len, GError **err)
{
	struct doc_section *section = doc_find(doc, name);
	char *sha256 = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const unsigned char *)text, len);
	json_t *body = NULL;

	if (section && strcmp(sha256, section->sha256) == 0)
		body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	g_free(sha256);
	if (!body) {
		g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
			    "section \"%s\": the body does not match its "
			    "hash in the document's root",
			    name);
		return false;
	}
	json_decref(section->body);
	section->body = body;
	return true;
}

/* Store keys and history entries. */

/* Returns the key of a section's body at a revision; free with g_free(). */
char *doc_section_key(const char *name, int64_t revision)
{
	return g_strdup_printf(DOC_PREFIX "s/%s/%" G_GINT64_FORMAT, name,
			       revision);
}

/* Returns the key of a history entry; free with g_free(). */
char *doc_history_key(int64_t revision)
{
	return g_strdup_printf(DOC_PREFIX "h/%" G_GINT64_FORMAT, revision);
}

static int64_t section_revision(const struct doc *doc, const char *name)
{
	const struct doc_section *section = doc_find(doc, name);

	return section ? section->revision : 0;
}

/*
 * Returns the history entry of a change. A section revision of 0 in it means
 * that the section did not exist.
 */
json_t *doc_history_entry(const struct doc *before, const struct doc *after,
			  const struct doc_change *change, int64_t wall_us)
{
	return json_pack("{s:I,s:s,s:s,s:s,s:I,s:I,s:I}", "revision",
			 (json_int_t)after->revision, "change", change->id,
			 "team", change->team, "section", change->section,
			 "old_revision",
			 (json_int_t)section_revision(before, change->section),
			 "new_revision",
			 (json_int_t)section_revision(after, change->section),
			 "wall_us", (json_int_t)wall_us);
}
