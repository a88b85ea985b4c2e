#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "cli/cli.h"

#define SECTIONS "/v1/document/sections/"

/* Document. */

/* Makes a call and prints the answer, as a table unless --json is given. */
static int show(struct cli *cli, struct cli_call *call,
		const struct cli_column *columns, const char *rows)
{
	int code = cli_call(cli, call);

	if (code == CB_OK && (cli->json || !columns))
		cli_print_json(cli, call->answer);
	else if (code == CB_OK)
		cli_print_table(cli, columns,
				json_object_get(call->answer, rows));
	cli_call_finish(call);
	return code;
}

int cli_document_get(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET",
				 .target = g_strdup("/v1/document") };
	static const struct cli_column columns[] = { { "SECTION", "" },
						     { "REVISION", "revision" },
						     { "TEAM", "team" },
						     { "BODY", "body" },
						     { 0 } };

	return show(cli, &call, columns, "sections");
}

/* Fails with the code of the first error, so that scripts can tell. */
int cli_document_check(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "POST",
				 .target = g_strdup("/v1/document/check") };
	json_t *sections, *error;
	int code, first = CB_OK;
	size_t i;

	sections = cli_read_json(cli, o->args[0], &code);
	if (sections)
		call.body = json_pack("{s:o}", "sections", sections);
	if (code == CB_OK)
		code = cli_call(cli, &call);
	if (code == CB_OK && cli->json)
		cli_print_json(cli, call.answer);
	json_array_foreach(json_object_get(call.answer, "errors"), i, error) {
		code = (int)json_integer_value(json_object_get(error, "code"));
		first = first ? first : code;
		cli_fail(cli, code, "%s",
			 json_string_value(json_object_get(error, "detail")));
	}
	if (first)
		code = first;
	else if (code == CB_OK && !cli->json)
		fprintf(cli->out, "ok\n");
	cli_call_finish(&call);
	return code;
}

int cli_document_history(struct cli *cli, struct cli_opts *o)
{
	GString *target = g_string_new("/v1/document/history?");
	struct cli_call call = { .method = "GET" };
	static const struct cli_column columns[] = {
		{ "REVISION", "revision" }, { "SECTION", "section" },
		{ "TEAM", "team" },	    { "OLD", "old_revision" },
		{ "NEW", "new_revision" },  { "CHANGE", "change" },
		{ "WALL-US", "wall_us" },   { 0 }
	};

	if (o->limit >= 0)
		g_string_append_printf(target, "limit=%" PRId64 "&", o->limit);
	if (o->before >= 0)
		g_string_append_printf(target, "before=%" PRId64, o->before);
	call.target = g_string_free(target, FALSE);
	return show(cli, &call, columns, "changes");
}

static void print_diff(struct cli *cli, json_t *sections)
{
	json_t *section, *change;
	const char *name;
	size_t i;

	json_object_foreach(sections, name, section) {
		fprintf(cli->out, "%s  revision %" PRId64 " -> %" PRId64 "\n",
			name,
			(int64_t)json_integer_value(
				json_object_get(section, "from_revision")),
			(int64_t)json_integer_value(
				json_object_get(section, "to_revision")));
		json_array_foreach(json_object_get(section, "changes"), i,
				   change) {
			char *text = json_dumps(change, JSON_COMPACT);

			fprintf(cli->out, "  %s\n", text);
			free(text);
		}
	}
}

int cli_document_diff(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET" };
	char *from = g_uri_escape_string(o->args[0], NULL, FALSE);
	char *to = o->nargs > 1 ? g_uri_escape_string(o->args[1], NULL, FALSE) :
				  NULL;
	int code;

	call.target = g_strconcat("/v1/document/diff?from=", from,
				  to ? "&to=" : "", to, NULL);
	g_free(from);
	g_free(to);
	code = cli_call(cli, &call);
	if (code == CB_OK && cli->json)
		cli_print_json(cli, call.answer);
	else if (code == CB_OK)
		print_diff(cli, json_object_get(call.answer, "sections"));
	cli_call_finish(&call);
	return code;
}

/* Changes. */

/* Makes a change and prints the new revision; ends the call. */
static int change(struct cli *cli, struct cli_call *call,
		  const struct cli_opts *o)
{
	char *key = o->key ? g_strdup(o->key) : g_uuid_string_random();
	int code;

	call->key = key;
	code = cli_call(cli, call);
	if (code == CB_OK && cli->json)
		cli_print_json(cli, call->answer);
	else if (code == CB_OK)
		fprintf(cli->out, "revision %" PRId64 "\n",
			(int64_t)json_integer_value(
				json_object_get(call->answer, "revision")));
	else if (code / 100 == 3 || code == CB_E_TIMEOUT ||
		 code == CB_E_CHANGE_UNKNOWN)
		fprintf(cli->err,
			"chivebank: repeat with --key %s to learn the "
			"outcome\n",
			key);
	cli_call_finish(call);
	g_free(key);
	return code;
}

static int need_base(struct cli *cli, const struct cli_opts *o)
{
	if (o->base >= 0)
		return CB_OK;
	return cli_fail(cli, CB_E_USAGE,
			"option --base is missing; allowed: the section's "
			"revision");
}

int cli_document_revert(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "POST",
				 .target = g_strdup("/v1/document/revert"),
				 .has_base = true,
				 .base = o->base };
	int code = need_base(cli, o);

	if (code == CB_OK) {
		call.body = json_pack(
			"{s:s,s:I}", "section", o->args[0], "revision",
			(json_int_t)g_ascii_strtoll(o->args[1], NULL, 10));
		return change(cli, &call, o);
	}
	cli_call_finish(&call);
	return code;
}

int cli_section_get(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET",
				 .target = cli_target(SECTIONS, o->args[0]) };

	return show(cli, &call, NULL, NULL);
}

static char *put_target(const char *section, const struct cli_opts *o)
{
	char *target = cli_target(SECTIONS, section), *with_team, *team;

	if (!o->team)
		return target;
	team = g_uri_escape_string(o->team, NULL, FALSE);
	with_team = g_strconcat(target, "?team=", team, NULL);
	g_free(target);
	g_free(team);
	return with_team;
}

int cli_section_put(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "PUT",
				 .target = put_target(o->args[0], o),
				 .has_base = true,
				 .base = MAX(o->base, 0) };
	int code;

	call.body = cli_read_json(cli, o->args[1], &code);
	if (code == CB_OK)
		return change(cli, &call, o);
	cli_call_finish(&call);
	return code;
}

int cli_section_delete(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "DELETE",
				 .target = cli_target(SECTIONS, o->args[0]),
				 .has_base = true,
				 .base = o->base };
	int code = need_base(cli, o);

	if (code == CB_OK)
		return change(cli, &call, o);
	cli_call_finish(&call);
	return code;
}

/* Customers. */

int cli_customer_list(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET",
				 .target = g_strdup("/v1/customers") };
	static const struct cli_column columns[] = {
		{ "CUSTOMER", "name" },
		{ "WEIGHT", "weight" },
		{ "QUOTA", "quota_accelerators" },
		{ "ON-REMOVAL", "on_removal" },
		{ "GUARANTEES", "guarantees" },
		{ 0 }
	};

	return show(cli, &call, columns, "customers");
}

/* Parses DC:UNIT:COUNT; the service checks names and units. */
static json_t *guarantee_json(const char *text)
{
	char **part = g_strsplit(text, ":", -1);
	json_t *out = NULL;

	if (g_strv_length(part) == 3)
		out = json_pack("{s:s,s:s,s:I}", "dc", part[0], "unit", part[1],
				"count",
				(json_int_t)g_ascii_strtoll(part[2], NULL, 10));
	g_strfreev(part);
	return out;
}

/* Puts what the options give into a customer's body. */
static int apply_options(struct cli *cli, const struct cli_opts *o,
			 json_t *body)
{
	json_t *list, *entry;
	int i;

	if (o->weight >= 0)
		json_object_set_new(body, "weight", json_integer(o->weight));
	if (o->quota >= 0)
		json_object_set_new(body, "quota_accelerators",
				    json_integer(o->quota));
	if (o->on_removal)
		json_object_set_new(body, "on_removal",
				    json_string(o->on_removal));
	if (o->no_guarantees)
		json_object_del(body, "guarantees");
	if (o->nguarantees == 0)
		return CB_OK;
	list = json_array();
	json_object_set_new(body, "guarantees", list);
	for (i = 0; i < o->nguarantees; i++) {
		entry = guarantee_json(o->guarantees[i]);
		if (!entry)
			return cli_fail(cli, CB_E_USAGE,
					"option --guarantee: value \"%s\" is "
					"not allowed; allowed: DC:UNIT:COUNT",
					o->guarantees[i]);
		json_array_append_new(list, entry);
	}
	return CB_OK;
}

/* Reads a customer's section: its revision and body. */
static int read_customer(struct cli *cli, const char *section, int64_t *base,
			 json_t **body)
{
	struct cli_call call = { .method = "GET",
				 .target = cli_target(SECTIONS, section) };
	int code = cli_call(cli, &call);

	*base = json_integer_value(json_object_get(call.answer, "revision"));
	*body = json_deep_copy(json_object_get(call.answer, "body"));
	cli_call_finish(&call);
	return code;
}

static int put_customer(struct cli *cli, struct cli_opts *o,
			const char *section, int64_t base, json_t *body)
{
	struct cli_call call = { .method = "PUT",
				 .target = put_target(section, o),
				 .body = body,
				 .has_base = true,
				 .base = base };
	int code = apply_options(cli, o, body);

	if (code == CB_OK)
		return change(cli, &call, o);
	cli_call_finish(&call);
	return code;
}

int cli_customer_create(struct cli *cli, struct cli_opts *o)
{
	char *section = g_strconcat("customer/", o->args[0], NULL);
	int code = put_customer(cli, o, section, 0,
				json_pack("{s:i}", "weight", 1));

	g_free(section);
	return code;
}

int cli_customer_set(struct cli *cli, struct cli_opts *o)
{
	char *section = g_strconcat("customer/", o->args[0], NULL);
	json_t *body;
	int64_t base;
	int code = read_customer(cli, section, &base, &body);

	if (code == CB_OK)
		code = put_customer(cli, o, section, base, body);
	else
		json_decref(body);
	g_free(section);
	return code;
}

int cli_customer_remove(struct cli *cli, struct cli_opts *o)
{
	char *section = g_strconcat("customer/", o->args[0], NULL);
	struct cli_call call = { .method = "DELETE", .has_base = true };
	json_t *body;
	int code = read_customer(cli, section, &call.base, &body);

	json_decref(body);
	call.target = cli_target(SECTIONS, section);
	g_free(section);
	if (code == CB_OK)
		return change(cli, &call, o);
	cli_call_finish(&call);
	return code;
}
