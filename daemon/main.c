#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/kn.h"
#include "base/log.h"
#include "base/set.h"

struct options {
	const char *settings;
	const char *check;
};

const char *argp_program_version = "chivebankd 0.1";

static const char doc[] =
	"Entry host of chivebank: serves callers and operators, talks to its "
	"peers and schedules the jobs of its data centre.\v"
	"SIGTERM stops gracefully; a second SIGTERM stops at once.";

static const struct argp_option option_table[] = {
	{ "settings", 's', "FILE", 0, "Run with the settings in FILE", 0 },
	{ "check", 'c', "FILE", 0, "Check the settings in FILE and exit", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 's':
		options->settings = arg;
		return 0;
	case 'c':
		options->check = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->settings == !options->check)
			argp_error(state, "give one of --settings and --check");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { .options = option_table,
				  .parser = parse_option,
				  .doc = doc };

/* Returns false and prints the reason when the settings are not valid. */
static bool load(struct set *set, const char *path)
{
	GError *err = NULL;

	if (set_load(set, path, &err))
		return true;
	log_err("settings.invalid", "result=%d text=\"%s\"", err->code,
		err->message);
	g_error_free(err);
	return false;
}

int main(int argc, char **argv)
{
	static struct set set;
	struct options options = { 0 };

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	if (!load(&set, options.check ? options.check : options.settings))
		return EXIT_FAILURE;
	if (options.check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	return EXIT_FAILURE;
}
