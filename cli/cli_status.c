#include <stdlib.h>

#include "base/err.h"
#include "cli/cli.h"

static void print_part(struct cli *cli, const char *name, json_t *part)
{
	const char *key;
	json_t *value;

	fprintf(cli->out, "%s:", name);
	json_object_foreach(part, key, value) {
		char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

		fprintf(cli->out, " %s=%s", key, text ? text : "-");
		free(text);
	}
	fputc('\n', cli->out);
}

/* Single values first, then one line a part, then the tables. */
void cli_print_status(struct cli *cli, json_t *status)
{
	static const struct cli_column columns[] = {
		{ "WORKER", "worker" },
		{ "DATA CENTRE", "data_centre" },
		{ "RACK", "rack" },
		{ "STATE", "state" },
		{ "TASKS", "tasks" },
		{ "FREE GPUS", "free_gpus" },
		{ "ANSWERED MS", "answered_ms" },
		{ "SPEED %", "speed_percent" },
		{ "CERTAIN %", "certainty_percent" },
		{ 0 }
	};
	static const struct cli_column evacuated[] = {
		{ "EVACUATED DATA CENTRE", "data_centre" },
		{ "SINCE MS", "since_ms" },
		{ "RUNS", "runs" },
		{ 0 }
	};
	json_t *workers = json_object_get(status, "workers");
	json_t *evacuations = json_object_get(status, "evacuations");
	json_t *values = json_object();
	const char *key;
	json_t *value;

	json_object_foreach(status, key, value) {
		if (!json_is_object(value) && !json_is_array(value))
			json_object_set(values, key, value);
	}
	print_part(cli, "host", values);
	json_object_foreach(status, key, value) {
		if (json_is_object(value))
			print_part(cli, key, value);
	}
	if (json_array_size(evacuations) > 0)
		cli_print_table(cli, evacuated, evacuations);
	if (workers)
		cli_print_table(cli, columns, workers);
	json_decref(values);
}

int cli_status(struct cli *cli, struct cli_opts *o)
{
	struct cli_call call = { .method = "GET" };
	int code;

	call.target = g_strdup("/status");
	code = cli_call(cli, &call);
	if (code == CB_OK && !json_is_object(call.answer))
		code = cli_fail(cli, CB_E_PEER_PROTOCOL,
				"the answer is no JSON object; --addr is the "
				"metrics address of a host on a platform");
	if (code == CB_OK && cli->json)
		cli_print_json(cli, call.answer);
	else if (code == CB_OK)
		cli_print_status(cli, call.answer);
	cli_call_finish(&call);
	return code;
}
