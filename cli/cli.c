#include "cli/cli.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"

enum {
	OPT_ADDR = 'a',
	OPT_TOKEN = 't',
	OPT_JSON = 'j',
	OPT_TIMEOUT = 0x100,
	OPT_BASE,
	OPT_TEAM,
	OPT_KEY,
	OPT_LIMIT,
	OPT_BEFORE,
	OPT_AFTER,
	OPT_COUNT,
	OPT_WEIGHT,
	OPT_QUOTA,
	OPT_ON_REMOVAL,
	OPT_GUARANTEE,
	OPT_NO_GUARANTEES,
	OPT_WAIT,
};

/* Options. */

static const struct argp_option common_options[] = {
	{ "addr", OPT_ADDR, "HOST:PORT[,...]", 0,
	  "Addresses of the administration API, tried in turn "
	  "(CHIVEBANK_ADDR, default " CLI_ADDR_DEFAULT ")",
	  -2 },
	{ "token", OPT_TOKEN, "TOKEN", 0, "Bearer token (CHIVEBANK_TOKEN)",
	  -2 },
	{ "json", OPT_JSON, NULL, 0, "Print the answer as JSON", -2 },
	{ "timeout", OPT_TIMEOUT, "SECONDS", 0, "Limit of one call (30)", -2 },
	{ 0 },
};

#define OPTION(name, key, arg, doc)       \
	{                                 \
		name, key, arg, 0, doc, 0 \
	}
#define END_OF_OPTIONS \
	{              \
		0      \
	}

static const struct argp_option no_options[] = { END_OF_OPTIONS };
static const struct argp_option base_options[] = {
	OPTION("base", OPT_BASE, "REVISION",
	       "Revision of the section that the change is based on"),
	OPTION("key", OPT_KEY, "KEY",
	       "Idempotency key; a repeated call is carried out once"),
	END_OF_OPTIONS
};
static const struct argp_option put_options[] = {
	OPTION("base", OPT_BASE, "REVISION",
	       "Revision of the section that the change is based on; without "
	       "it the section must be new"),
	OPTION("team", OPT_TEAM, "TEAM", "New owner (administrator only)"),
	OPTION("key", OPT_KEY, "KEY",
	       "Idempotency key; a repeated call is carried out once"),
	END_OF_OPTIONS
};
static const struct argp_option history_options[] = {
	OPTION("limit", OPT_LIMIT, "N", "At most N entries"),
	OPTION("before", OPT_BEFORE, "REVISION", "Only older entries"),
	END_OF_OPTIONS
};
static const struct argp_option customer_options[] = {
	OPTION("weight", OPT_WEIGHT, "N", "Share, 1 to 1000"),
	OPTION("guarantee", OPT_GUARANTEE, "DC:UNIT:COUNT",
	       "Guaranteed accelerators, workers or racks; may be repeated, "
	       "and replaces all guarantees"),
	OPTION("no-guarantees", OPT_NO_GUARANTEES, NULL,
	       "Remove all guarantees"),
	OPTION("quota", OPT_QUOTA, "N", "Most accelerators, 0 for no quota"),
	OPTION("on-removal", OPT_ON_REMOVAL, "finish|stop",
	       "What becomes of running work when the customer is removed"),
	OPTION("team", OPT_TEAM, "TEAM", "Owner (administrator only)"),
	END_OF_OPTIONS
};
static const struct argp_option submit_options[] = {
	OPTION("key", OPT_KEY, "KEY",
	       "Idempotency key; a repeated call is carried out once"),
	END_OF_OPTIONS
};
static const struct argp_option wait_options[] = {
	OPTION("wait", OPT_WAIT, "SECONDS", "Give up after so long"),
	END_OF_OPTIONS
};
static const struct argp_option events_options[] = {
	OPTION("after", OPT_AFTER, "SEQ", "Only events after this number"),
	OPTION("limit", OPT_LIMIT, "N", "At most N events"), END_OF_OPTIONS
};
static const struct argp_option ticket_options[] = {
	OPTION("count", OPT_COUNT, "N", "Number of tickets (1)"), END_OF_OPTIONS
};

/* Commands. */

static const struct command {
	const char *name;
	const char *args_doc;
	const char *doc;
	const struct argp_option *options;
	int min_args;
	int max_args;
	int (*run)(struct cli *cli, struct cli_opts *o);
} commands[] = {
	{ "document get", "", "Print the document in force", no_options, 0, 0,
	  cli_document_get },
	{ "document check", "FILE",
	  "Check changes without making them; FILE holds {section: body}, "
	  "null to delete",
	  no_options, 1, 1, cli_document_check },
	{ "document history", "", "List changes, newest first", history_options,
	  0, 0, cli_document_history },
	{ "document diff", "FROM [TO]",
	  "Show what changed between two revisions", no_options, 1, 2,
	  cli_document_diff },
	{ "document revert", "SECTION REVISION",
	  "Write an older body of a section as a new revision", base_options, 2,
	  2, cli_document_revert },
	{ "section get", "SECTION", "Print a section", no_options, 1, 1,
	  cli_section_get },
	{ "section put", "SECTION FILE", "Write a section", put_options, 2, 2,
	  cli_section_put },
	{ "section delete", "SECTION", "Delete a section", base_options, 1, 1,
	  cli_section_delete },
	{ "customer list", "", "List customers", no_options, 0, 0,
	  cli_customer_list },
	{ "customer create", "NAME", "Create a customer", customer_options, 1,
	  1, cli_customer_create },
	{ "customer set", "NAME", "Change what is given of a customer",
	  customer_options, 1, 1, cli_customer_set },
	{ "customer remove", "NAME", "Remove a customer", no_options, 1, 1,
	  cli_customer_remove },
	{ "job submit", "FILE", "Submit a job", submit_options, 1, 1,
	  cli_job_submit },
	{ "job list", "", "List jobs", no_options, 0, 0, cli_job_list },
	{ "job show", "ID", "Print a job", no_options, 1, 1, cli_job_show },
	{ "job cancel", "ID", "Cancel a job", no_options, 1, 1,
	  cli_job_cancel },
	{ "job wait", "ID", "Wait until a job has ended", wait_options, 1, 1,
	  cli_job_wait },
	{ "server list", "", "List backend servers", no_options, 0, 0,
	  cli_server_list },
	{ "worker list", "", "List workers", no_options, 0, 0,
	  cli_worker_list },
	{ "leaders", "", "Print who leads", no_options, 0, 0, cli_leaders },
	{ "status", "",
	  "Print what a host on a platform knows; --addr is its metrics address",
	  no_options, 0, 0, cli_status },
	{ "counters", "", "Print the metrics of a host", no_options, 0, 0,
	  cli_counters },
	{ "events", "", "Print the latest events of a host", events_options, 0,
	  0, cli_events },
	{ "ticket", "", "Get tickets for requests that must run at most once",
	  ticket_options, 0, 0, cli_ticket },
	{ "timeline", "FILE...",
	  "Merge the event lines of several log files into one time line, "
	  "with the clocks of the hosts corrected by their peer.clock events",
	  no_options, 1, CLI_ARGS_MAX, cli_timeline },
	{ "explain", "ID FILE...",
	  "Print what several log files tell of one job, in order of time",
	  no_options, 2, CLI_ARGS_MAX, cli_explain },
};

/* Parsing. */

struct parse {
	struct cli *cli;
	struct cli_opts *opts;
	const struct command *command;
	int first; /* index of the command word */
};

static int64_t number(struct argp_state *state, const char *name,
		      const char *text)
{
	char *end;
	int64_t value = g_ascii_strtoll(text, &end, 10);

	if (end == text || *end || value < 0)
		argp_error(state,
			   "option --%s: value \"%s\" is not allowed; "
			   "allowed: an integer from 0",
			   name, text);
	return value;
}

static error_t parse_common(int key, char *arg, struct argp_state *state)
{
	struct cli *cli = ((struct parse *)state->input)->cli;

	if (key == OPT_ADDR)
		cli->addrs = arg;
	else if (key == OPT_TOKEN)
		cli->token = arg;
	else if (key == OPT_JSON)
		cli->json = true;
	else if (key == OPT_TIMEOUT)
		cli->timeout_ms = 1000 * number(state, "timeout", arg);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static bool parse_number(struct cli_opts *o, int key, char *arg,
			 struct argp_state *state)
{
	if (key == OPT_BASE)
		o->base = number(state, "base", arg);
	else if (key == OPT_LIMIT)
		o->limit = number(state, "limit", arg);
	else if (key == OPT_BEFORE)
		o->before = number(state, "before", arg);
	else if (key == OPT_AFTER)
		o->after = number(state, "after", arg);
	else if (key == OPT_COUNT)
		o->count = number(state, "count", arg);
	else if (key == OPT_WEIGHT)
		o->weight = number(state, "weight", arg);
	else if (key == OPT_QUOTA)
		o->quota = number(state, "quota", arg);
	else if (key == OPT_WAIT)
		o->wait_s = number(state, "wait", arg);
	else
		return false;
	return true;
}

static void add_guarantee(struct cli_opts *o, char *arg,
			  struct argp_state *state)
{
	if (o->nguarantees == CLI_GUARANTEES_MAX)
		argp_error(state, "option --guarantee: at most %d",
			   CLI_GUARANTEES_MAX);
	else
		o->guarantees[o->nguarantees++] = arg;
}

static void add_arg(struct parse *parse, char *arg, struct argp_state *state)
{
	if (parse->opts->nargs >= parse->command->max_args)
		argp_error(state, "too many arguments: \"%s\"", arg);
	else
		parse->opts->args[parse->opts->nargs++] = arg;
}

static error_t parse_command(int key, char *arg, struct argp_state *state)
{
	struct parse *parse = state->input;
	struct cli_opts *o = parse->opts;

	if (parse_number(o, key, arg, state))
		return 0;
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = parse;
		return 0;
	case OPT_TEAM:
		o->team = arg;
		return 0;
	case OPT_KEY:
		o->key = arg;
		return 0;
	case OPT_ON_REMOVAL:
		o->on_removal = arg;
		return 0;
	case OPT_GUARANTEE:
		add_guarantee(o, arg, state);
		return 0;
	case OPT_NO_GUARANTEES:
		o->no_guarantees = true;
		return 0;
	case ARGP_KEY_ARG:
		add_arg(parse, arg, state);
		return 0;
	case ARGP_KEY_END:
		if (o->nargs < parse->command->min_args)
			argp_error(state, "missing argument: %s",
				   parse->command->args_doc);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* The first word that is no option ends the common options. */
static error_t parse_main(int key, char *arg, struct argp_state *state)
{
	struct parse *parse = state->input;

	if (key == ARGP_KEY_INIT) {
		state->child_inputs[0] = parse;
		return 0;
	}
	if (key != ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	parse->first = state->next - 1;
	state->next = state->argc;
	return 0;
}

static const struct argp common_argp = { .options = common_options,
					 .parser = parse_common };
static const struct argp_child children[] = {
	{ &common_argp, 0, "Common options:", -1 },
	{ 0 },
};

static char *main_doc(void)
{
	GString *doc = g_string_new("Operate chivebank.\vCommands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(doc, "  %s %s\n", commands[i].name,
				       commands[i].args_doc);
	g_string_append(doc, "\nSee chivebank COMMAND --help. The exit status "
			     "is 0 on success, else 1 plus the hundreds of "
			     "the result code.");
	return g_string_free(doc, FALSE);
}

/* Finds the command whose one or two words begin at argv[0]. */
static const struct command *find_command(int argc, char **argv, int *words)
{
	char **name;
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		name = g_strsplit(commands[i].name, " ", -1);
		n = (int)g_strv_length(name);
		*words = n;
		if (n <= argc && strcmp(argv[0], name[0]) == 0 &&
		    (n == 1 || strcmp(argv[1], name[1]) == 0)) {
			g_strfreev(name);
			return &commands[i];
		}
		g_strfreev(name);
	}
	return NULL;
}

/* Groups. */

/* Whether a command consists of the group's word and another one. */
static bool in_group(const struct command *command, const char *group,
		     size_t len)
{
	return strncmp(command->name, group, len) == 0 &&
	       command->name[len] == ' ';
}

static bool is_group(const char *word)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (in_group(&commands[i], word, strlen(word)))
			return true;
	return false;
}

static void print_group(FILE *to, const char *group)
{
	size_t i;

	fprintf(to, "Usage: chivebank %s COMMAND ...\n\n", group);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (in_group(&commands[i], group, strlen(group)))
			fprintf(to, "  %s %s\n      %s\n", commands[i].name,
				commands[i].args_doc, commands[i].doc);
	fprintf(to, "\nSee chivebank COMMAND --help.\n");
}

/* Edit distance between a word and the first len bytes of another. */
static size_t distance(const char *a, const char *b, size_t len)
{
	size_t *row = g_new(size_t, len + 1);
	size_t i, j, diagonal, above, result;

	for (j = 0; j <= len; j++)
		row[j] = j;
	for (i = 1; a[i - 1]; i++) {
		diagonal = row[0];
		row[0] = i;
		for (j = 1; j <= len; j++) {
			above = row[j];
			row[j] = MIN(MIN(above, row[j - 1]) + 1,
				     diagonal + (a[i - 1] != b[j - 1]));
			diagonal = above;
		}
	}
	result = row[len];
	g_free(row);
	return result;
}

/* The first word of the command that is nearest to a word; to be freed. */
static char *nearest_word(const char *word)
{
	size_t i, len, d, best = SIZE_MAX;
	char *found = NULL;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		len = strcspn(commands[i].name, " ");
		d = distance(word, commands[i].name, len);
		if (d >= best)
			continue;
		best = d;
		g_free(found);
		found = g_strndup(commands[i].name, len);
	}
	return found;
}

/*
 * Handles words that name no command: prints the commands of a group, or
 * names the nearest word. Returns a result code.
 */
static int run_group(struct cli *cli, int argc, char **argv)
{
	char *near;

	if (argc == 0)
		return cli_fail(cli, CB_E_USAGE,
				"no command given; see chivebank --help");
	if (is_group(argv[0])) {
		if (argc > 1 && (strcmp(argv[1], "--help") == 0 ||
				 strcmp(argv[1], "-?") == 0)) {
			print_group(cli->out, argv[0]);
			return CB_OK;
		}
		print_group(cli->err, argv[0]);
		if (argc > 1)
			cli_fail(cli, CB_E_USAGE, "no such command: %s %s",
				 argv[0], argv[1]);
		return CB_E_USAGE;
	}
	near = nearest_word(argv[0]);
	cli_fail(cli, CB_E_USAGE,
		 "no such command: %s; the nearest is \"%s\", see chivebank "
		 "%s --help",
		 argv[0], near, near);
	g_free(near);
	return CB_E_USAGE;
}

/* Running. */

static int run_command(struct parse *parse, int argc, char **argv)
{
	struct argp argp = { .options = parse->command->options,
			     .parser = parse_command,
			     .args_doc = parse->command->args_doc,
			     .doc = parse->command->doc,
			     .children = children };
	char *name = g_strconcat("chivebank ", parse->command->name, NULL);
	int code = CB_E_USAGE;

	argv[0] = name;
	if (argp_parse(&argp, argc, argv, 0, NULL, parse) == 0)
		code = parse->command->run(parse->cli, parse->opts);
	g_free(name);
	return code;
}

static void init_opts(struct cli_opts *o)
{
	memset(o, 0, sizeof(*o));
	o->base = -1;
	o->limit = -1;
	o->before = -1;
	o->after = -1;
	o->count = 1;
	o->weight = -1;
	o->quota = -1;
	o->wait_s = -1;
}

/* Runs one command line and returns the exit status. */
int cli_main(int argc, char **argv, FILE *out, FILE *err)
{
	struct cli cli = { .out = out,
			   .err = err,
			   .addrs = g_getenv("CHIVEBANK_ADDR"),
			   .token = g_getenv("CHIVEBANK_TOKEN"),
			   .timeout_ms = CLI_TIMEOUT_DEFAULT_MS };
	struct cli_opts opts;
	struct parse parse = { &cli, &opts, NULL, 0 };
	char *doc = main_doc();
	struct argp argp = { .parser = parse_main,
			     .args_doc = "COMMAND ...",
			     .doc = doc,
			     .children = children };
	int code = CB_E_USAGE, words = 0;

	log_init("-", "-", LOG_ERR_LEVEL);
	argp_err_exit_status = cb_result_exit(CB_E_USAGE);
	init_opts(&opts);
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &parse) == 0 &&
	    parse.first > 0)
		parse.command = find_command(argc - parse.first,
					     argv + parse.first, &words);
	if (!cli.addrs || !*cli.addrs)
		cli.addrs = CLI_ADDR_DEFAULT;
	if (parse.command)
		code = run_command(&parse, argc - parse.first - words + 1,
				   argv + parse.first + words - 1);
	else
		code = run_group(&cli, parse.first ? argc - parse.first : 0,
				 argv + parse.first);
	g_free(doc);
	return cb_result_exit(code);
}
