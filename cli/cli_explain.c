#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "cli/cli.h"

/*
 * chivebank explain: the lines of all processes that tell what happened to
 * one job, in order of time, with what became of the workers that it met and
 * of the leader, the store and the configuration meanwhile.
 */

struct explain_line {
	char *time; /* first word: compares as text */
	char *text;
	bool own; /* names the job */
};

struct explain {
	const char *id;
	GArray *lines; /* struct explain_line */
	GHashTable *workers; /* ids that lines of the job name */
};

static void clear_line(void *data)
{
	struct explain_line *line = data;

	g_free(line->time);
	g_free(line->text);
}

/* A new string, NULL when the line has no such field. */
static char *field(const char *text, const char *name)
{
	char *key = g_strconcat(" ", name, "=", NULL);
	const char *at = strstr(text, key);
	char *value = NULL;

	if (at) {
		at += strlen(key);
		value = g_strndup(at, strcspn(at, " \n"));
	}
	g_free(key);
	return value;
}

static bool field_is(const char *text, const char *name, const char *wanted)
{
	char *value = field(text, name);
	bool is = g_strcmp0(value, wanted) == 0;

	g_free(value);
	return is;
}

/* Lines about the surroundings that decide of a job. */
static bool is_context(const char *text)
{
	static const char *const events[] = {
		" event=leader.",     " event=holding.",
		" event=store.lost",  " event=store.re",
		" event=mirror.",     " event=config.in_force",
		" event=evacuation.", " event=process.",
		" event=takeover.",   " event=log.left_out",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++)
		if (strstr(text, events[i]))
			return true;
	return false;
}

static void add_line(struct explain *explain, const char *text, bool own)
{
	struct explain_line line = {
		.time = g_strndup(text, strcspn(text, " ")),
		.text = g_strndup(text, strcspn(text, "\n")),
		.own = own,
	};
	char *worker = own ? field(text, "worker") : NULL;

	if (worker)
		g_hash_table_add(explain->workers, worker);
	g_array_append_val(explain->lines, line);
}

static void read_file(struct explain *explain, FILE *file)
{
	char text[4096];

	while (fgets(text, sizeof(text), file)) {
		bool own = field_is(text, "job", explain->id);

		if (own || is_context(text) ||
		    (strstr(text, " event=worker.") && !own))
			add_line(explain, text, own);
	}
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct explain_line *left = a;
	const struct explain_line *right = b;

	return strcmp(left->time, right->time);
}

/* What was lost shortly before decides of a request too. */
#define BEFORE_SEC 5

/* The time of a line, some seconds earlier; a new string. */
static char *earlier(const char *time)
{
	GDateTime *at = g_date_time_new_from_iso8601(time, NULL);
	GDateTime *before =
		at ? g_date_time_add_seconds(at, -BEFORE_SEC) : NULL;
	char *text = before ? g_date_time_format(before, "%Y-%m-%dT%H:%M:%S") :
			      g_strdup(time);

	if (before)
		g_date_time_unref(before);
	if (at)
		g_date_time_unref(at);
	return text;
}

/* Surroundings count from shortly before the job's first line to its last. */
static bool matters(const struct explain *explain,
		    const struct explain_line *line, const char *begin,
		    const char *last)
{
	char *worker;
	bool known;

	if (line->own)
		return true;
	if (strcmp(line->time, begin) < 0 || strcmp(line->time, last) > 0)
		return false;
	worker = field(line->text, "worker");
	known = !worker || g_hash_table_contains(explain->workers, worker);
	g_free(worker);
	return known;
}

static void print_line(struct cli *cli, const struct explain_line *line,
		       json_t *rows)
{
	const char *rest = strstr(line->text, "level=");

	if (!cli->json) {
		fprintf(cli->out, "%s %s\n", line->time,
			rest ? rest : line->text);
		return;
	}
	json_array_append_new(
		rows, json_pack("{s:s,s:b,s:s}", "time", line->time, "own",
				line->own, "line", rest ? rest : line->text));
}

static int print(struct cli *cli, struct explain *explain)
{
	const char *first = NULL, *last = NULL;
	json_t *rows = json_array();
	char *begin;
	guint i;

	g_array_sort(explain->lines, by_time);
	for (i = 0; i < explain->lines->len; i++) {
		const struct explain_line *line =
			&g_array_index(explain->lines, struct explain_line, i);

		if (!line->own)
			continue;
		first = first ? first : line->time;
		last = line->time;
	}
	begin = earlier(first ? first : "");
	for (i = 0; first && i < explain->lines->len; i++) {
		const struct explain_line *line =
			&g_array_index(explain->lines, struct explain_line, i);

		if (matters(explain, line, begin, last))
			print_line(cli, line, rows);
	}
	g_free(begin);
	if (cli->json)
		cli_print_json(cli, rows);
	json_decref(rows);
	return first ? CB_OK :
		       cli_fail(cli, CB_E_NO_JOB, "no line names the job %s",
				explain->id);
}

int cli_explain(struct cli *cli, struct cli_opts *o)
{
	struct explain explain = { .id = o->args[0] };
	int code = CB_OK;
	int i;

	explain.lines = g_array_new(FALSE, FALSE, sizeof(struct explain_line));
	g_array_set_clear_func(explain.lines, clear_line);
	explain.workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 1; code == CB_OK && i < o->nargs; i++) {
		FILE *file = fopen(o->args[i], "r");

		if (!file) {
			code = cli_fail(cli, CB_E_IO, "%s: %s", o->args[i],
					strerror(errno));
			break;
		}
		read_file(&explain, file);
		fclose(file);
	}
	if (code == CB_OK)
		code = print(cli, &explain);
	g_array_unref(explain.lines);
	g_hash_table_unref(explain.workers);
	return code;
}
