#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/kn.h"
#include "base/log.h"
#include "base/set.h"
#include "daemon/admin/api.h"
#include "daemon/document/document.h"
#include "daemon/requests/callers.h"
#include "daemon/leadership/lead.h"
#include "daemon/requests/members.h"
#include "daemon/requests/req.h"
#include "daemon/jobs/sched.h"
#include "daemon/stop.h"
#include "daemon/store.h"
#include "platform/host.h"
#include "platform/settings.h"
#include "wire/pr.h"

struct options {
	const char *settings;
	const char *check;
	bool platform;
};

#define VERSION "0.1"

const char *argp_program_version = "chivebankd " VERSION;

static const char doc[] =
	"Entry host of chivebank: serves callers and operators, communicates "
	"with its peers and schedules the jobs of its data centre.\v"
	"SIGTERM stops the process gracefully; further ones change nothing. "
	"With --platform the settings are read in the platform's "
	"format; " PLATFORM_SETTINGS_VARIABLE " holds the path of the file.";

static const struct argp_option option_table[] = {
	{ "settings", 's', "FILE", 0, "Run with the settings in FILE", 0 },
	{ "check", 'c', "FILE", 0, "Check the settings in FILE and exit", 0 },
	{ "platform", 'p', 0, 0, "Run with the platform's settings file", 0 },
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
	case 'p':
		options->platform = true;
		return 0;
	case ARGP_KEY_END:
		if (!!options->settings + !!options->check +
			    options->platform !=
		    1)
			argp_error(state, "exactly one of --settings, --check "
					  "and --platform is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { .options = option_table,
				  .parser = parse_option,
				  .doc = doc };

/* Returns false and logs the reason if the settings are not valid. */
static bool load_settings(struct set *set, const char *path)
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
 * Adds all services. They start in this order and finish in reverse, so a
 * service comes before those that use it.
 */
static void add_services(struct kn *kn, const struct set *set)
{
	/* Greater after every restart; peers and ticket owners rely on it. */
	uint64_t incarnation = (uint64_t)kn_wall_us();
	struct kv *kv = store_new(kn, set);

	ev_init(incarnation);
	pr_new(kn, set, incarnation);
	lead_new(kn, set, kv, incarnation);
	document_new(kn, set, kv, incarnation);
	req_new(kn, set, kv, incarnation);
	members_new(kn, set, kv);
	sched_new(kn, set, kv, incarnation);
	callers_new(kn, set);
	api_new(kn, set);
}

/* Runs until a signal stops the process. Returns the exit status. */
static int run(struct kn *kn)
{
	GError *err = NULL;
	int status;

	kn_handle_signals(kn);
	if (kn_start(kn, &err)) {
		ev_emit("process.started", "version=%s", VERSION);
		status = kn_run(kn);
		ev_emit("process.stopped", "status=%d", status);
	} else {
		log_err("start.failed", "text=\"%s\"", err->message);
		g_error_free(err);
		status = EXIT_FAILURE;
	}
	kn_finish(kn);
	log_flush();
	return status;
}

static bool init_kernel(struct kn *kn)
{
	GError *err = NULL;

	if (kn_init(kn, &err))
		return true;
	log_err("start.failed", "text=\"%s\"", err->message);
	g_error_free(err);
	return false;
}

static int run_standalone(const struct set *set)
{
	struct kn kn;

	log_init(set->host, set->dc, set->log_level);
	if (!init_kernel(&kn))
		return EXIT_FAILURE;
	add_services(&kn, set);
	kn_limit_drain(&kn, stop_times(set).limit_ms);
	return run(&kn);
}

static int run_on_platform(void)
{
	const char *path = g_getenv(PLATFORM_SETTINGS_VARIABLE);
	static struct site site;
	GError *err = NULL;
	struct kn kn;

	if (!path) {
		log_err("settings.invalid", "result=%d text=\"%s is not set\"",
			CB_E_SETTINGS, PLATFORM_SETTINGS_VARIABLE);
		return EXIT_FAILURE;
	}
	if (!platform_settings_load(&site, path, &err)) {
		log_err("settings.invalid", "result=%d text=\"%s\"", err->code,
			err->message);
		g_error_free(err);
		return EXIT_FAILURE;
	}
	log_init(site.host, site.dc, LOG_INFO_LEVEL);
	log_collect(STDOUT_FILENO);
	if (!init_kernel(&kn))
		return EXIT_FAILURE;
	ev_init((uint64_t)kn_wall_us());
	platform_host_add(&kn, &site, path, (uint64_t)kn_wall_us());
	return run(&kn);
}

int main(int argc, char **argv)
{
	static struct set set;
	struct options options = { 0 };

	/* Ignored until the kernel handles it: a reload may come early. */
	signal(SIGHUP, SIG_IGN);
	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	if (options.platform)
		return run_on_platform();
	if (!load_settings(&set,
			   options.check ? options.check : options.settings))
		return EXIT_FAILURE;
	if (options.check) {
		puts("settings are valid");
		return EXIT_SUCCESS;
	}
	return run_standalone(&set);
}
