#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/experiment.h"

/*
 * Runs an experiment and writes its report, or draws reports over each other.
 * bench/experiment compares two versions of the decisions with it.
 */

#define REPORTS_MAX 4

struct options {
	const char *settings;
	const char *label;
	const char *out;
	const char *plot;
	int seeds;
	char *reports[REPORTS_MAX];
	size_t nreports;
};

static const struct argp_option option_table[] = {
	{ "settings", 's', "FILE", 0, "Load and deployment, JSON", 0 },
	{ "seeds", 'n', "N", 0, "Seeds 1 to N", 0 },
	{ "label", 'l', "TEXT", 0, "Name of this version", 0 },
	{ "out", 'o', "FILE", 0, "Report, JSON", 0 },
	{ "plot", 'p', "FILE", 0, "Draw the reports given as arguments, SVG",
	  0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 's':
		options->settings = arg;
		return 0;
	case 'n':
		options->seeds = MAX(atoi(arg), 1);
		return 0;
	case 'l':
		options->label = arg;
		return 0;
	case 'o':
		options->out = arg;
		return 0;
	case 'p':
		options->plot = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (options->nreports == REPORTS_MAX)
			argp_error(state, "at most %d reports", REPORTS_MAX);
		options->reports[options->nreports++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { .options = option_table,
				  .parser = parse_option,
				  .args_doc = "[REPORT...]" };

static int draw(const struct options *options)
{
	json_t *reports[REPORTS_MAX];
	json_error_t where;
	size_t i;

	for (i = 0; i < options->nreports; i++) {
		reports[i] = json_load_file(options->reports[i], 0, &where);
		if (!reports[i]) {
			fprintf(stderr, "%s:%d: %s\n", options->reports[i],
				where.line, where.text);
			return EXIT_FAILURE;
		}
		exp_report_print(reports[i], stdout);
	}
	if (options->nreports == 0 ||
	    !exp_report_plot(reports, options->nreports, options->plot)) {
		perror(options->plot);
		return EXIT_FAILURE;
	}
	for (i = 0; i < options->nreports; i++)
		json_decref(reports[i]);
	return EXIT_SUCCESS;
}

static int run(const struct options *options)
{
	json_t *report = exp_report_new(options->label);
	struct exp_settings settings;
	struct exp_result result;
	GError *err = NULL;
	int seed;

	if (!exp_settings_load(&settings, options->settings, &err)) {
		fprintf(stderr, "%s\n", err->message);
		g_error_free(err);
		json_decref(report);
		return EXIT_FAILURE;
	}
	for (seed = 1; seed <= options->seeds; seed++) {
		exp_run(&settings, (uint32_t)seed, &result);
		exp_report_add(report, &settings, &result);
		exp_result_finish(&result);
	}
	exp_report_print(report, stdout);
	if (options->out &&
	    json_dump_file(report, options->out, JSON_COMPACT) != 0) {
		perror(options->out);
		return EXIT_FAILURE;
	}
	json_decref(report);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct options options = { .settings = "bench/crest.json",
				   .label = "this version",
				   .seeds = 3 };

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	return options.plot ? draw(&options) : run(&options);
}
