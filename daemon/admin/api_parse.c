#include <string.h>

#include "base/err.h"
#include "daemon/admin/api_int.h"

static bool bad_request(GError **err, const char *text)
{
	g_set_error_literal(err, CB_ERROR, CB_E_BAD_REQUEST, text);
	return false;
}

/* Decodes %XX; NULL if malformed, not UTF-8, or with an encoded zero byte. */
static char *percent_decode(const char *text, size_t len)
{
	char *raw = g_uri_unescape_segment(text, text + len, NULL);

	if (raw && g_utf8_validate(raw, -1, NULL))
		return raw;
	g_free(raw);
	return NULL;
}

static bool parse_pair(json_t *query, const char *pair)
{
	const char *equals = strchr(pair, '=');
	size_t len = equals ? (size_t)(equals - pair) : strlen(pair);
	char *name = percent_decode(pair, len);
	char *value = equals ? percent_decode(equals + 1, strlen(equals + 1)) :
			       g_strdup("");
	bool ok = name && value && *name && !json_object_get(query, name);

	if (ok)
		json_object_set_new(query, name, json_string(value));
	g_free(name);
	g_free(value);
	return ok;
}

static bool parse_query(json_t *query, const char *text)
{
	char **pairs = g_strsplit(text, "&", -1);
	bool ok = true;
	size_t i;

	for (i = 0; pairs[i] && ok; i++)
		ok = *pairs[i] == '\0' || parse_pair(query, pairs[i]);
	g_strfreev(pairs);
	return ok;
}

static bool parse_body(struct api_call *call, const void *body, size_t len,
		       GError **err)
{
	json_error_t error;

	if (len == 0)
		return true;
	call->call.body = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
	if (call->call.body)
		return true;
	g_set_error(err, CB_ERROR, CB_E_BAD_REQUEST,
		    "the body is not a JSON object or array: line %d, column "
		    "%d: %s",
		    error.line, error.column, error.text);
	return false;
}

bool api_parse(struct api_call *call, const char *method, const char *target,
	       const void *body, size_t len, GError **err)
{
	const char *mark = strchr(target, '?');

	call->target = g_strdup(target);
	call->call.method = g_strdup(method);
	call->call.query = json_object();
	call->call.path = percent_decode(
		target, mark ? (size_t)(mark - target) : strlen(target));
	if (!call->call.path)
		return bad_request(err,
				   "the path is not percent-encoded UTF-8");
	if (mark && !parse_query(call->call.query, mark + 1))
		return bad_request(err, "the query is malformed, or names an "
					"argument twice");
	return parse_body(call, body, len, err);
}
