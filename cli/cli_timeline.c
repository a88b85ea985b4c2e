#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/err.h"
#include "base/limits.h"
#include "cli/cli.h"
#include "cli/timeline.h"

static void print_event(struct cli *cli, const struct tl *tl,
			const struct tl_event *event)
{
	const struct tl_process *process = &g_array_index(
		tl->processes, struct tl_process, event->process);
	time_t seconds = event->time_us / USEC_PER_SEC;
	char stamp[32];
	struct tm tm;

	gmtime_r(&seconds, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(cli->out,
		"%s.%06" PRId64 "Z host=%s inc=%" PRIu64 " seq=%" PRIu64
		" event=%s%s%s\n",
		stamp, (int64_t)(event->time_us % USEC_PER_SEC), process->host,
		process->incarnation, event->seq, event->name,
		*event->text ? " " : "", event->text);
}

static void print_event_json(struct cli *cli, const struct tl *tl,
			     const struct tl_event *event)
{
	const struct tl_process *process = &g_array_index(
		tl->processes, struct tl_process, event->process);
	json_t *value = json_pack(
		"{s:I,s:s,s:I,s:I,s:s,s:s}", "time_us",
		(json_int_t)event->time_us, "host", process->host, "inc",
		(json_int_t)process->incarnation, "seq", (json_int_t)event->seq,
		"event", event->name, "text", event->text);
	char *text = json_dumps(value, JSON_COMPACT);

	fprintf(cli->out, "%s\n", text ? text : "null");
	free(text);
	json_decref(value);
}

/* Says how far each clock was corrected; the order is no better than that. */
static void print_clocks(struct cli *cli, const struct tl *tl)
{
	const struct tl_host *host;
	unsigned int i;

	for (i = 0; i < tl->hosts->len; i++) {
		host = &g_array_index(tl->hosts, struct tl_host, i);
		if (host->known)
			fprintf(cli->err,
				"chivebank: clock of %s: %+" PRId64
				" us, error at most %" PRId64 " us\n",
				host->name, host->offset_us, host->error_us);
		else
			fprintf(cli->err,
				"chivebank: clock of %s: not corrected, no "
				"peer.clock event leads to it\n",
				host->name);
	}
}

static int read_files(struct cli *cli, struct cli_opts *o, struct tl *tl)
{
	FILE *file;
	int i;

	for (i = 0; i < o->nargs; i++) {
		file = fopen(o->args[i], "r");
		if (!file)
			return cli_fail(cli, CB_E_IO, "%s: %s", o->args[i],
					strerror(errno));
		tl_read(tl, file);
		fclose(file);
	}
	return CB_OK;
}

int cli_timeline(struct cli *cli, struct cli_opts *o)
{
	const struct tl_event *event;
	unsigned int i;
	struct tl tl;
	int code;

	tl_init(&tl);
	code = read_files(cli, o, &tl);
	if (code == CB_OK) {
		tl_merge(&tl);
		print_clocks(cli, &tl);
	}
	for (i = 0; code == CB_OK && i < tl.events->len; i++) {
		event = &g_array_index(tl.events, struct tl_event, i);
		if (cli->json)
			print_event_json(cli, &tl, event);
		else
			print_event(cli, &tl, event);
	}
	tl_finish(&tl);
	return code;
}
