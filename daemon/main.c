#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/kn.h"
#include "base/log.h"
#include "base/set.h"
#include "daemon/api.h"
#include "daemon/document.h"
#include "daemon/front.h"
#include "daemon/lead.h"
#include "daemon/members.h"
#include "daemon/req.h"
#include "daemon/sched.h"
#include "daemon/store.h"
#include "wire/pr.h"

struct options {
	const char *settings;
	const char *check;
};

#define VERSION "0.1"

const char *argp_program_version = "chivebankd " VERSION;

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

/*
 * Adds all services. The order is that of starting; they finish in reverse,
 * so what others use comes first.
 */
static void add_services(struct kn *kn, const struct set *set)
{
	/* Grows from start to start, as peers and ticket owners require. */
	uint64_t incarnation = (uint64_t)kn_wall_us();
	struct kv *kv = store_new(kn, set);

	ev_init(incarnation);
	pr_new(kn, set, incarnation);
	lead_new(kn, set, kv, incarnation);
	document_new(kn, set, kv, incarnation);
	req_new(kn, set, kv, incarnation);
	members_new(kn, set, kv);
	sched_new(kn, set, kv, incarnation);
	front_new(kn, set);
	api_new(kn, set);
}

/* Runs until a signal has stopped the process. Returns the exit status. */
static int run(const struct set *set)
{
	GError *err = NULL;
	struct kn kn;
	int status;

	log_init(set->host, set->dc, set->log_level);
	if (!kn_init(&kn, &err)) {
		log_err("start.failed", "text=\"%s\"", err->message);
		g_error_free(err);
		return EXIT_FAILURE;
	}
	add_services(&kn, set);
	kn_handle_signals(&kn);
	if (kn_start(&kn, &err)) {
		ev_emit("process.started", "version=%s", VERSION);
		status = kn_run(&kn);
		ev_emit("process.stopped", "status=%d", status);
	} else {
		log_err("start.failed", "text=\"%s\"", err->message);
		g_error_free(err);
		status = EXIT_FAILURE;
	}
	kn_finish(&kn);
	return status;
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
	return run(&set);
}
