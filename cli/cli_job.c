#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/kn.h"
#include "base/limits.h"
#include "cli/cli.h"

#define POLL_MS 500 /* between two looks at a job */

static const struct cli_column job_columns[] = {
	{ "JOB", "id" },	{ "CUSTOMER", "customer" },
	{ "STATE", "state" },	{ "ACCELERATORS", "accelerators" },
	{ "REASON", "reason" }, { 0 }
};

/* Prints the whole answer, or one array of it as a table. */
static int show(struct cli *cli, struct cli_call *call,
		const struct cli_column *columns, const char *rows)
{
	int code = cli_call(cli, call);
	json_t *table = json_object_get(call->answer, rows ? rows : "");

	if (code == CB_OK && columns && table && !cli->json)
		cli_print_table(cli, columns, table);
	else if (code == CB_OK)
		cli_print_json(cli, call->answer);
	cli_call_finish(call);
	return code;
}

static int get(struct cli *cli, const char *path,
	       const struct cli_column *columns, const char *rows)
{
	struct cli_call call = { .method = "GET", .target = g_strdup(path) };

	return show(cli, &call, columns, rows);
}

/* Jobs. */

int cli_job_submit(struct cli *cli, struct cli_opts *o)
{
	char *key = o->key ? g_strdup(o->key) : g_uuid_string_random();
	struct cli_call call = { .method = "POST",
				 .target = g_strdup("/v1/jobs"),
				 .key = key };
	int code;

	call.body = cli_read_json(cli, o->args[0], &code);
	if (code == CB_OK)
		code = show(cli, &call, NULL, NULL);
	else
		cli_call_finish(&call);
	if (code / 100 == 3 || code == CB_E_TIMEOUT ||
	    code == CB_E_CHANGE_UNKNOWN)
		fprintf(cli->err,
			"chivebank: repeat with --key %s; the job runs once\n",
			key);
	g_free(key);
	return code;
}

int cli_job_list(struct cli *cli, struct cli_opts *o)
{
	return get(cli, "/v1/jobs", job_columns, "jobs");
}

static int job_call(struct cli *cli, const char *method, const char *id)
{
	struct cli_call call = { .method = method,
				 .target = cli_target("/v1/jobs/", id) };

	return show(cli, &call, NULL, NULL);
}

int cli_job_show(struct cli *cli, struct cli_opts *o)
{
	return job_call(cli, "GET", o->args[0]);
}

int cli_job_cancel(struct cli *cli, struct cli_opts *o)
{
	return job_call(cli, "DELETE", o->args[0]);
}

static bool ended(const char *state)
{
	return strcmp(state, "done") == 0 || strcmp(state, "failed") == 0 ||
	       strcmp(state, "cancelled") == 0;
}

/* One look at a job. Sets *state, to be freed, unless the call fails. */
static int look(struct cli *cli, const char *id, char **state)
{
	struct cli_call call = { .method = "GET",
				 .target = cli_target("/v1/jobs/", id) };
	int code = cli_call(cli, &call);
	const char *text =
		json_string_value(json_object_get(call.answer, "state"));

	*state = g_strdup(text ? text : "unknown");
	if (code == CB_OK && ended(*state)) {
		if (cli->json)
			cli_print_json(cli, call.answer);
		else
			fprintf(cli->out, "%s\n", *state);
	}
	cli_call_finish(&call);
	return code;
}

/* Failures that a takeover or the restart of a host brings. */
static bool passing(int code)
{
	return code == CB_E_NO_LEADER || code == CB_E_DRAINING ||
	       code == CB_E_IO;
}

/*
 * Succeeds when the job is done; another end gives CB_E_JOB_ENDED. A takeover
 * does not end the wait unless no host answers for as long as one call may
 * take.
 */
int cli_job_wait(struct cli *cli, struct cli_opts *o)
{
	int64_t start = kn_now_us(), told = start, answered = start;
	char *state = NULL;
	int code;

	for (;;) {
		g_free(state);
		code = look(cli, o->args[0], &state);
		if (code == CB_OK)
			answered = kn_now_us();
		if (code == CB_OK ?
			    ended(state) :
			    !passing(code) ||
				    kn_now_us() - answered >=
					    cli->timeout_ms * USEC_PER_MSEC)
			break;
		if (o->wait_s >= 0 &&
		    kn_now_us() - start >= o->wait_s * USEC_PER_SEC) {
			code = cli_fail(cli, CB_E_TIMEOUT,
					"job \"%s\" is still %s", o->args[0],
					state);
			break;
		}
		if (kn_now_us() - told >= USEC_PER_SEC) {
			told = kn_now_us();
			fprintf(cli->err, "chivebank: job is %s, %d s\n", state,
				(int)((told - start) / USEC_PER_SEC));
		}
		g_usleep(POLL_MS * 1000);
	}
	if (code == CB_OK && strcmp(state, "done") != 0)
		code = CB_E_JOB_ENDED;
	g_free(state);
	return code;
}

/* The other lists. */

int cli_server_list(struct cli *cli, struct cli_opts *o)
{
	static const struct cli_column columns[] = {
		{ "SERVICE", "service" },
		{ "ADDR", "addr" },
		{ "PORT", "port" },
		{ "STATE", "state" },
		{ "LISTED", "listed" },
		{ "IN-PROGRESS", "in_progress" },
		{ "FLOOR", "floor" },
		{ "CREDITS", "credits" },
		{ "LATENCY-US", "latency_us" },
		{ 0 }
	};

	return get(cli, "/v1/servers", columns, "servers");
}

int cli_worker_list(struct cli *cli, struct cli_opts *o)
{
	static const struct cli_column columns[] = {
		{ "WORKER", "name" }, { "RACK", "rack" },
		{ "STATE", "state" }, { "ACCELERATORS", "accelerators" },
		{ "USED", "used" },   { 0 }
	};

	return get(cli, "/v1/workers", columns, "workers");
}

int cli_leaders(struct cli *cli, struct cli_opts *o)
{
	static const struct cli_column columns[] = { { "DC", "dc" },
						     { "LEADER", "leader" },
						     { "EPOCH", "epoch" },
						     { 0 } };

	return get(cli, "/v1/leaders", columns, "leaders");
}

/* Metrics are text; as JSON they become an object of numbers by name. */
int cli_counters(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET",
				 .target = g_strdup("/metrics") };
	int code = cli_call(cli, &call);
	char **lines, *space;
	json_t *out;
	size_t i;

	if (code == CB_OK && !cli->json)
		fputs(call.text, cli->out);
	if (code == CB_OK && cli->json) {
		out = json_object();
		lines = g_strsplit(call.text, "\n", -1);
		for (i = 0; lines[i]; i++) {
			space = strrchr(lines[i], ' ');
			if (lines[i][0] == '#' || !space)
				continue;
			*space = '\0';
			json_object_set_new(
				out, lines[i],
				json_real(g_ascii_strtod(space + 1, NULL)));
		}
		cli_print_json(cli, out);
		g_strfreev(lines);
		json_decref(out);
	}
	cli_call_finish(&call);
	return code;
}

int cli_events(struct cli *cli, struct cli_opts *o)
{
	static const struct cli_column columns[] = { { "SEQ", "seq" },
						     { "WALL-US", "wall_us" },
						     { "EVENT", "event" },
						     { "TEXT", "text" },
						     { 0 } };
	GString *path = g_string_new("/v1/events?");
	int code;

	if (o->after >= 0)
		g_string_append_printf(path, "after=%" PRId64 "&", o->after);
	if (o->limit >= 0)
		g_string_append_printf(path, "limit=%" PRId64, o->limit);
	code = get(cli, path->str, columns, "events");
	g_string_free(path, TRUE);
	return code;
}

int cli_ticket(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "POST",
				 .target = g_strdup("/v1/tickets"),
				 .body = json_pack("{s:I}", "count",
						   (json_int_t)o->count) };
	int code = cli_call(cli, &call);
	json_t *ticket;
	size_t i;

	if (code == CB_OK && cli->json)
		cli_print_json(cli, call.answer);
	else if (code == CB_OK)
		json_array_foreach(json_object_get(call.answer, "tickets"), i,
				   ticket) {
			fprintf(cli->out, "%s\n", json_string_value(ticket));
		}
	cli_call_finish(&call);
	return code;
}
