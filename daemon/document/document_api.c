#include <string.h>

#include "base/err.h"
#include "daemon/document/document_int.h"

#define SECTIONS_PATH "/v1/document/sections/"

/* Request arguments. */

static bool parse_int(const char *text, int64_t *out)
{
	char *end;

	*out = g_ascii_strtoll(text, &end, 10);
	return end > text && *end == '\0' && *out >= 0;
}

/*
 * Reads a query argument, an integer from 0; *out is missing if it is absent.
 * If it is malformed, fails the call and returns false.
 */
bool document_query_int(struct document *d, struct svc_api_call *call,
			const char *name, int64_t missing, int64_t *out)
{
	const char *text =
		json_string_value(json_object_get(call->query, name));

	*out = missing;
	if (!text || parse_int(text, out))
		return true;
	svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
		     "query argument \"%s\": value \"%s\" is not allowed; "
		     "allowed: an integer from 0",
		     name, text);
	return false;
}

/*
 * Reads the section revision that a change is based on from If-Match. It has
 * no default, so that a caller cannot overwrite a revision it has not read.
 * If it is missing or malformed, fails the call and returns false.
 */
static bool get_base(struct document *d, struct svc_api_call *call,
		     int64_t *base)
{
	char *text = g_strdup(call->if_match ? call->if_match : "");
	bool ok;

	g_strstrip(g_strdelimit(text, "\"", ' '));
	ok = parse_int(text, base);
	g_free(text);
	if (!ok)
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "header If-Match is missing or malformed; "
			     "allowed: the section's revision, 0 for a new "
			     "section");
	return ok;
}

/* Reading the document. */

/* Team sections hold token hashes, so only the administrator reads them. */
static bool is_body_hidden(const struct doc_section *section, bool admin)
{
	return !admin && g_str_has_prefix(section->name, "team/");
}

static json_t *section_json(const struct doc_section *section, bool admin)
{
	json_t *out = json_pack("{s:I,s:s,s:s}", "revision",
				(json_int_t)section->revision, "team",
				section->team, "sha256", section->sha256);

	if (!is_body_hidden(section, admin))
		json_object_set(out, "body", section->body);
	return out;
}

struct listing {
	json_t *sections;
	bool admin;
};

static gboolean list_section(void *key, void *value, void *data)
{
	struct listing *listing = data;

	json_object_set_new(listing->sections, key,
			    section_json(value, listing->admin));
	return FALSE;
}

static void get_document(struct document *d, struct svc_api_call *call,
			 bool admin)
{
	struct listing listing = { json_object(), admin };

	g_tree_foreach(d->doc->sections, list_section, &listing);
	svc_api_answer(call, &d->task, 200,
		       json_pack("{s:I,s:s,s:o}", "revision",
				 (json_int_t)d->doc->revision, "change",
				 d->doc->change, "sections", listing.sections));
}

static void get_section(struct document *d, struct svc_api_call *call,
			const char *name, bool admin)
{
	const struct doc_section *section = doc_find(d->doc, name);
	json_t *answer;

	if (!section) {
		svc_api_fail(call, &d->task, CB_E_NO_SECTION,
			     "section \"%s\" does not exist", name);
		return;
	}
	if (is_body_hidden(section, admin)) {
		svc_api_fail(call, &d->task, CB_E_FORBIDDEN,
			     "section \"%s\" can only be read by the "
			     "administrator",
			     name);
		return;
	}
	answer = section_json(section, admin);
	json_object_set_new(answer, "section", json_string(name));
	svc_api_answer(call, &d->task, 200, answer);
}

/* Checking changes without writing them. */

/*
 * Applies one change to a document. On success returns the changed document
 * and frees doc; on failure appends the error and returns doc.
 */
static struct doc *try_change(struct doc *doc, const char *name, json_t *body,
			      const char *team, json_t *errors)
{
	const struct doc_section *old = doc_find(doc, name);
	struct doc_change change = {
		.id = "check",
		.section = name,
		.body = json_is_null(body) ? NULL : body,
		.base = old ? old->revision : 0,
		.team = team,
	};
	GError *err = NULL;
	struct doc *next = doc_apply(doc, &change, &err);

	if (next) {
		doc_free(doc);
		return next;
	}
	json_array_append_new(errors, json_pack("{s:s,s:i,s:s,s:s}", "section",
						name, "code", err->code, "name",
						cb_result_name(err->code),
						"detail", err->message));
	g_error_free(err);
	return doc;
}

/*
 * Applies the changes of {"sections": {name: body or null}} in order to a
 * copy of the document and answers with the errors. Nothing is written.
 */
static void check_changes(struct document *d, struct svc_api_call *call,
			  const char *team)
{
	json_t *sections = json_object_get(call->body, "sections");
	json_t *body, *errors;
	const char *name;
	struct doc *doc;
	char *root;

	if (!json_is_object(sections) || json_object_size(call->body) != 1) {
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "the body must be {\"sections\": {name: body}}");
		return;
	}
	errors = json_array();
	root = doc_root_text(d->doc);
	doc = doc_root_parse(root, strlen(root), NULL);
	doc_share_bodies(doc, d->doc);
	json_object_foreach(sections, name, body) {
		doc = try_change(doc, name, body, team, errors);
	}
	free(root);
	doc_free(doc);
	svc_api_answer(call, &d->task, 200,
		       json_pack("{s:I,s:b,s:o}", "revision",
				 (json_int_t)d->doc->revision, "ok",
				 json_array_size(errors) == 0, "errors",
				 errors));
}

/* Writing sections. */

static void write_section(struct document *d, struct svc_api_call *call,
			  const char *name, const char *team, bool put)
{
	struct doc_change change = {
		.section = name,
		.team = team,
		.owner =
			json_string_value(json_object_get(call->query, "team")),
	};

	if (!get_base(d, call, &change.base))
		return;
	if (put && !call->body) {
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "the body of the section is missing");
		return;
	}
	if (change.owner && strlen(change.owner) >= NAME_MAX_BYTES) {
		svc_api_fail(call, &d->task, CB_E_BAD_REQUEST,
			     "query argument \"team\" is too long; allowed: "
			     "at most %d bytes",
			     NAME_MAX_BYTES - 1);
		return;
	}
	change.body = put ? json_incref(call->body) : NULL;
	document_change(d, call, &change);
}

static void revert(struct document *d, struct svc_api_call *call,
		   const char *team)
{
	int64_t base;

	if (get_base(d, call, &base))
		document_revert(d, call, team, base);
}

/* Request routing. */

static bool method_is(const struct svc_api_call *call, const char *method)
{
	return strcmp(call->method, method) == 0;
}

static void route_section(struct document *d, struct svc_api_call *call,
			  const char *team, bool admin)
{
	const char *name = call->path + strlen(SECTIONS_PATH);

	if (method_is(call, "GET"))
		get_section(d, call, name, admin);
	else if (method_is(call, "PUT") || method_is(call, "DELETE"))
		write_section(d, call, name, team, method_is(call, "PUT"));
	else
		svc_api_fail(call, &d->task, CB_E_METHOD,
			     "allowed: GET, PUT, DELETE");
}

static void route(struct document *d, struct svc_api_call *call,
		  const char *team)
{
	bool admin = strcmp(team, DOC_ADMIN) == 0;
	bool get = method_is(call, "GET"), post = method_is(call, "POST");

	if (g_str_has_prefix(call->path, SECTIONS_PATH))
		route_section(d, call, team, admin);
	else if (get && strcmp(call->path, "/v1/document") == 0)
		get_document(d, call, admin);
	else if (get && strcmp(call->path, "/v1/document/history") == 0)
		document_history(d, call);
	else if (get && strcmp(call->path, "/v1/document/diff") == 0)
		document_diff(d, call, admin);
	else if (post && strcmp(call->path, "/v1/document/check") == 0)
		check_changes(d, call, team);
	else if (post && strcmp(call->path, "/v1/document/revert") == 0)
		revert(d, call, team);
	else
		svc_api_fail(call, &d->task, CB_E_UNKNOWN_PATH, "%s %s",
			     call->method, call->path);
}

/* Authentication. */

/* Returns the team of the call's token, or fails the call, returning NULL. */
static const char *find_team(struct document *d, struct svc_api_call *call)
{
	const char *team = doc_team_of_token(d->doc, d->set->admin_token_sha256,
					     call->token);

	if (team)
		return team;
	if (call->token && !d->view)
		svc_api_fail(call, &d->task, CB_E_STORE_DOWN,
			     "no document is known yet");
	else
		svc_api_fail(call, &d->task, CB_E_UNAUTHORIZED,
			     "header Authorization: Bearer <token>");
	return NULL;
}

void document_api_auth(struct document *d, struct svc_api_call *call)
{
	const char *team = find_team(d, call);

	if (!team)
		return;
	call->team = g_strdup(team);
	call->allowed_prefixes = doc_team_prefixes(d->doc, team);
	call->msg.type = SVC_API_AUTHED;
	kn_send(call->msg.from, &d->task, &call->msg);
}

/* Answers an API call on the document; each needs a known token. */
void document_api_call(struct document *d, struct svc_api_call *call)
{
	const char *team = find_team(d, call);

	if (!team)
		return;
	if (!d->view) {
		svc_api_fail(call, &d->task, CB_E_STORE_DOWN,
			     "no document is known yet");
		return;
	}
	route(d, call, team);
}
