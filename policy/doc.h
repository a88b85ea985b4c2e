#ifndef POLICY_DOC_H
#define POLICY_DOC_H

#include <glib.h>
#include <jansson.h>

#include "policy/docview.h"

#define DOC_ADMIN "admin" /* team name of the administrator */
#define DOC_SHA256_BYTES 65 /* 64 hexadecimal digits and the final NUL */

/*
 * The document describes teams, customers, services and pools of workers, each
 * in a section of its own. Each change of a section makes a new revision of
 * the document.
 */

/* A section at one revision; immutable and shared between documents. */
struct doc_section {
	unsigned int refs;
	char name[DOC_SECTION_NAME_MAX_BYTES]; /* type/name */
	int64_t revision; /* of the document that last changed it */
	char team[NAME_MAX_BYTES]; /* the owner */
	char sha256[DOC_SHA256_BYTES]; /* of the serialized body */
	json_t *body; /* NULL until it has been read */
};

/* The document at one revision. */
struct doc {
	int64_t revision;
	char change[NAME_MAX_BYTES]; /* id of the change that made it */
	GTree *sections; /* name -> struct doc_section */
};

/* A request to write or delete one section. */
struct doc_change {
	const char *id; /* unique; identifies it in the history */
	const char *section;
	json_t *body; /* NULL deletes the section */
	int64_t base; /* expected revision of the section, 0 if it is new */
	const char *team; /* that requests the change */
	const char *owner; /* new owner, from the administrator only; or NULL */
};

/* doc.c: documents and their serialized form in the store */

struct doc *doc_new(void);
void doc_free(struct doc *doc);
void doc_insert(struct doc *doc, struct doc_section *section);
struct doc_section *doc_find(const struct doc *doc, const char *name);
bool doc_supersedes(const struct doc *next, const struct doc *current);
char *doc_body_text(const json_t *body);
char *doc_root_text(const struct doc *doc);
struct doc *doc_root_parse(const char *text, size_t len, GError **err);
void doc_share_bodies(struct doc *doc, const struct doc *from);
GPtrArray *doc_missing_bodies(const struct doc *doc);
bool doc_set_body(struct doc *doc, const char *name, const char *text,
		  size_t len, GError **err);
char *doc_section_key(const char *name, int64_t revision);
char *doc_history_key(int64_t revision);
json_t *doc_history_entry(const struct doc *before, const struct doc *after,
			  const struct doc_change *change, int64_t wall_us);

/* docedit.c: authorization and changes */

const char *doc_team_of_token(const struct doc *doc, const char *admin_sha256,
			      const char *token);
/* The result is never NULL and is to be freed with g_strfreev(). */
char **doc_team_prefixes(const struct doc *doc, const char *team);
struct doc *doc_apply(const struct doc *doc, const struct doc_change *change,
		      GError **err);

/* doccheck.c: checks of single sections */

bool doc_check_name(const char *name, GError **err);
bool doc_check_section(const char *name, const json_t *body, GError **err);

/* docconstraints.c: checks across sections */

bool doc_check_constraints(const struct doc *doc, GError **err);

/* docparse.c: the parsed view */

struct doc_view *doc_view_new(const struct doc *doc);

/* docdiff.c: differences between bodies */

json_t *doc_diff(const json_t *from, const json_t *to);

#endif
