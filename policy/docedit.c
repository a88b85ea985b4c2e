#include "policy/doc.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define TEAM_PREFIX "team/"

/* Authorization. */

/* Compares in constant time, so that timing reveals nothing on the hashes. */
static bool hashes_equal_constant_time(const char *a, const char *b)
{
	unsigned char differs = 0;
	size_t i;

	for (i = 0; i < DOC_SHA256_BYTES - 1; i++)
		differs |= (unsigned char)(a[i] ^ b[i]);
	return differs == 0;
}

struct token_search {
	const char *sha256;
	const char *team;
};

/* Never stops early, so that timing does not reveal which team matched. */
static gboolean match_team(void *key, void *value, void *data)
{
	const struct doc_section *section = value;
	struct token_search *search = data;
	const char *hash;

	if (!g_str_has_prefix(section->name, TEAM_PREFIX))
		return FALSE;
	hash = json_string_value(
		json_object_get(section->body, "token_sha256"));
	if (hash && strlen(hash) == DOC_SHA256_BYTES - 1 &&
	    hashes_equal_constant_time(hash, search->sha256))
		search->team = section->name + strlen(TEAM_PREFIX);
	return FALSE;
}

/*
 * Returns the name of the team with a bearer token, DOC_ADMIN for the
 * administrator's token, or NULL for an unknown one. The name is valid as long
 * as doc.
 */
const char *doc_team_of_token(const struct doc *doc, const char *admin_sha256,
			      const char *token)
{
	struct token_search search = { 0 };
	char *sha256;

	if (!token || !*token)
		return NULL;
	sha256 = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	search.sha256 = sha256;
	g_tree_foreach(doc->sections, match_team, &search);
	if (strlen(admin_sha256) == DOC_SHA256_BYTES - 1 &&
	    hashes_equal_constant_time(admin_sha256, sha256))
		search.team = DOC_ADMIN;
	g_free(sha256);
	return search.team;
}

/*
 * Returns the name prefixes of the sections that a team may write, which are
 * listed under "may" in its section. The administrator has the empty prefix,
 * an unknown team has none.
 */
char **doc_team_prefixes(const struct doc *doc, const char *team)
{
	char *name = g_strconcat(TEAM_PREFIX, team, NULL);
	const struct doc_section *own = doc_find(doc, name);
	GPtrArray *prefixes = g_ptr_array_new();
	json_t *prefix;
	size_t i;

	g_free(name);
	if (strcmp(team, DOC_ADMIN) == 0)
		g_ptr_array_add(prefixes, g_strdup(""));
	json_array_foreach(json_object_get(own ? own->body : NULL, "may"), i,
			   prefix) {
		if (json_is_string(prefix))
			g_ptr_array_add(prefixes,
					g_strdup(json_string_value(prefix)));
	}
	g_ptr_array_add(prefixes, NULL);
	return (char **)g_ptr_array_free(prefixes, FALSE);
}

static bool team_may_write(const struct doc *doc, const char *team,
			   const char *section)
{
	char **prefixes = doc_team_prefixes(doc, team);
	bool may = false;
	size_t i;

	for (i = 0; prefixes[i]; i++)
		may |= g_str_has_prefix(section, prefixes[i]);
	g_strfreev(prefixes);
	return may && !g_str_has_prefix(section, TEAM_PREFIX);
}

static bool check_authorization(const struct doc *doc,
				const struct doc_change *change, GError **err)
{
	const struct doc_section *section = doc_find(doc, change->section);

	if (strcmp(change->team, DOC_ADMIN) == 0)
		return true;
	if (change->owner) {
		g_set_error(err, CB_ERROR, CB_E_FORBIDDEN,
			    "section \"%s\": only the administrator may set "
			    "the owner",
			    change->section);
		return false;
	}
	if (!team_may_write(doc, change->team, change->section)) {
		g_set_error(err, CB_ERROR, CB_E_FORBIDDEN,
			    "section \"%s\": not among the prefixes that "
			    "\"team/%s\" allows under \"may\"",
			    change->section, change->team);
		return false;
	}
	if (section && strcmp(section->team, change->team) != 0) {
		g_set_error(err, CB_ERROR, CB_E_FORBIDDEN,
			    "section \"%s\" belongs to team \"%s\", not \"%s\"",
			    change->section, section->team, change->team);
		return false;
	}
	return true;
}

/* Changes. */

/*
 * Checks that the section still has the revision that the change is based on.
 * Changes of other sections meanwhile are no conflict.
 */
static bool check_base(const struct doc *doc, const struct doc_change *change,
		       GError **err)
{
	const struct doc_section *section = doc_find(doc, change->section);
	int64_t revision = section ? section->revision : 0;

	if (revision == 0 && !change->body) {
		g_set_error(err, CB_ERROR, CB_E_NO_SECTION,
			    "section \"%s\" does not exist", change->section);
		return false;
	}
	if (revision == change->base)
		return true;
	g_set_error(err, CB_ERROR, CB_E_CONFLICT,
		    "section \"%s\" is at revision %" G_GINT64_FORMAT
		    ", and the change is based on revision %" G_GINT64_FORMAT,
		    change->section, revision, change->base);
	return false;
}

static gboolean copy_section(void *key, void *value, void *data)
{
	struct doc_section *section = value;

	section->refs++;
	doc_insert(data, section);
	return FALSE;
}

static void put_section(struct doc *next, const struct doc *doc,
			const struct doc_change *change)
{
	const struct doc_section *old = doc_find(doc, change->section);
	struct doc_section *section = g_new0(struct doc_section, 1);
	const char *owner = change->owner;
	char *text = doc_body_text(change->body), *sha256;

	if (!owner)
		owner = old ? old->team : change->team;
	sha256 = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	section->refs = 1;
	section->revision = next->revision;
	section->body = json_deep_copy(change->body);
	g_strlcpy(section->name, change->section, sizeof(section->name));
	g_strlcpy(section->team, owner, sizeof(section->team));
	g_strlcpy(section->sha256, sha256, sizeof(section->sha256));
	doc_insert(next, section);
	g_free(sha256);
	free(text);
}

/* The root is one value in the store, which limits the number of sections. */
static bool check_root_size(const struct doc *doc,
			    const struct doc_change *change, GError **err)
{
	char *root = doc_root_text(doc);
	size_t len = strlen(root);

	free(root);
	if (len <= STORE_VALUE_MAX_BYTES)
		return true;
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "section \"%s\": with it the root of %d sections has "
		    "%zu bytes; allowed: at most %d",
		    change->section, g_tree_nnodes(doc->sections), len,
		    STORE_VALUE_MAX_BYTES);
	return false;
}

/*
 * Applies a change to a document with all bodies present. Returns the next
 * revision of the document, which shares the other sections, or NULL with one
 * of CB_E_FORBIDDEN, CB_E_CONFLICT, CB_E_NO_SECTION and CB_E_CHECK_FAILED.
 * Concurrent changes of different sections are merged by applying the later
 * one again to the new document.
 */
struct doc *doc_apply(const struct doc *doc, const struct doc_change *change,
		      GError **err)
{
	struct doc *next;

	if (!doc_check_name(change->section, err) ||
	    !check_authorization(doc, change, err) ||
	    !check_base(doc, change, err))
		return NULL;
	if (change->body &&
	    !doc_check_section(change->section, change->body, err))
		return NULL;
	next = doc_new();
	g_tree_foreach(doc->sections, copy_section, next);
	next->revision = doc->revision + 1;
	g_strlcpy(next->change, change->id, sizeof(next->change));
	if (change->body)
		put_section(next, doc, change);
	else
		g_tree_remove(next->sections, change->section);
	if (check_root_size(next, change, err) &&
	    doc_check_constraints(next, err))
		return next;
	doc_free(next);
	return NULL;
}
