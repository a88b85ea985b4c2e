#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/ev.h"
#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/ports.h"
#include "tests/standins/sr_proc.h"
#include "tests/standins/sr_relay.h"

#define STEP_MS 20
/* After the faults, for the longest chain of retries at workers of speed 1. */
#define SETTLE_SEC 60
#define STARVE_MAX 128
#define MSEC_PER_DAY (24 * 3600 * 1000LL)

/* Up times that hosts and workers show. */
static const int uptime_days[] = { 0, 25, 400 };

static const struct argp_option option_table[] = {
	{ "seed", 's', "N", 0, "Course of faults and load", 0 },
	{ "seconds", 't', "N", 0, "Length of the faults", 0 },
	{ "hosts", 'n', "N", 0, "Entry hosts", 0 },
	{ "workers", 'w', "N", 0, "Workers", 0 },
	{ "dcs", 'z', "N", 0, "Data centres of the hosts", 0 },
	{ "takeovers", 'k', NULL, 0, "Series of takeovers, large jobs", 0 },
	{ "lives", 'l', NULL, 0,
	  "Workers start again in place, short pauses, wrong entries", 0 },
	{ "stops", 'o', NULL, 0,
	  "Only planned stops of hosts, with callers of kept connections", 0 },
	{ "starve", 'x', "N", 0,
	  "Hosts share one core with so many busy processes", 0 },
	{ "evacuations", 'e', NULL, 0,
	  "Operators evacuate data centres of the workers", 0 },
	{ "spares", 'r', "N", 0,
	  "Workers on hosts that are lent under load; waves of upkeep", 0 },
	{ "gaps", 'g', "N", 0,
	  "Percent of runs that workers leave out of their lists for a time",
	  0 },
	{ "paces", 'p', "LIST", 0, "Speeds of the workers in turn, by commas",
	  0 },
	{ "binary", 'b', "FILE", 0, "chivebankd", 0 },
	{ "clock", 'c', "FILE", 0, "Library that shifts the time of day", 0 },
	{ "dir", 'd', "DIR", 0, "Settings and logs", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct soak_options *options = state->input;

	switch (key) {
	case 's':
		options->seed = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 't':
		options->seconds = atoi(arg);
		return 0;
	case 'n':
		options->hosts = CLAMP(atoi(arg), 1, SOAK_HOSTS_MAX);
		return 0;
	case 'w':
		options->workers = atoi(arg);
		return 0;
	case 'z':
		options->dcs = CLAMP(atoi(arg), 1, 9);
		return 0;
	case 'k':
		options->takeovers = true;
		return 0;
	case 'l':
		options->lives = true;
		return 0;
	case 'o':
		options->stops = true;
		return 0;
	case 'x':
		options->starve = CLAMP(atoi(arg), 0, STARVE_MAX);
		return 0;
	case 'e':
		options->evacuations = true;
		return 0;
	case 'r':
		options->spares = atoi(arg);
		return 0;
	case 'g':
		options->gap_percent = CLAMP(atoi(arg), 0, 100);
		return 0;
	case 'p':
		options->paces = arg;
		return 0;
	case 'b':
		options->binary = arg;
		return 0;
	case 'c':
		options->clock = arg;
		return 0;
	case 'd':
		options->dir = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { .options = option_table,
				  .parser = parse_option };

int soak_below(struct soak *soak, int n)
{
	return g_rand_int_range(soak->rand, 0, n);
}

bool soak_chance(struct soak *soak, int percent)
{
	return soak_below(soak, 100) < percent;
}

void soak_violated(struct soak *soak, const char *rule, const char *id,
		   const char *detail)
{
	g_ptr_array_add(soak->fleet->violations,
			g_strdup_printf("%s: %s: %s", rule, id, detail));
	printf("%9.3f VIOLATION %s: %s: %s\n", (double)kn_now_us() / 1e6, rule,
	       id, detail);
}

/* With gaps stops take as long as in the users' deployments. */
static int stop_ms(const struct soak *soak)
{
	return soak->options.gap_percent ? 400 : 100;
}

#define QUOTED(number) #number
#define TEXT(number) QUOTED(number)

/* The end of the bounds, and the data centres. */
static const char evacuation_settings[] =
	",\"evac_ms\":" TEXT(SOAK_EVAC_MS) "},\"zones\":{\"d1\":\"r1\","
					   "\"d2\":\"r1\",\"d3\":\"r1\"}";

/* The platform's service for the hosts of workers. */
static char *machines_settings(const struct soak *soak)
{
	if (!soak->machines)
		return g_strdup("");
	return g_strdup_printf(",\"cloud\":{\"addr\":\"127.0.0.1:%d\"}",
			       soak->machines->server.port);
}

void soak_host_settings(struct soak *soak, struct soak_host *host)
{
	GString *seeds = g_string_new(NULL);
	char *machines = machines_settings(soak);
	char *text, *path;
	int i;

	for (i = 0; i < soak->options.hosts && i < 3; i++)
		g_string_append_printf(
			seeds, "%s\"127.0.0.1:%d\"", i ? "," : "",
			sr_relay_port(soak->hosts[i].peers_relay));
	text = g_strdup_printf(
		"{\"node\":\"%s\",\"zone\":\"d%d\",\"region\":\"r1\","
		"\"listen\":{\"front\":\"127.0.0.1:%d\","
		"\"ctl\":\"127.0.0.1:%d\"},\"seeds\":[%s],"
		"\"limits\":{\"cpu_share\":1,\"cores\":1},"
		"\"platform\":{\"addr\":\"127.0.0.1:%d\"},"
		"\"bounds\":{\"max_hold_ms\":3000,\"stop_ms\":%d,"
		"\"gang_ms\":1000,\"config_ms\":%d,\"status_s\":%d,"
		"\"lease_ms\":500,\"grace_s\":%d%s%s}",
		host->name, 1 + (int)(host - soak->hosts) % soak->options.dcs,
		host->callers_port, host->peers_port, seeds->str,
		sr_relay_port(host->relay), stop_ms(soak), SOAK_CONFIG_MS,
		host->status_s, SOAK_GRACE_MS / 1000,
		soak->options.evacuations ? evacuation_settings : "}",
		machines);
	g_free(machines);
	path = g_strconcat(soak->options.dir, "/", host->name, ".json", NULL);
	g_strlcpy(host->settings, path, sizeof(host->settings));
	g_free(path);
	if (!g_file_set_contents(host->settings, text, -1, NULL))
		abort();
	g_free(text);
	g_string_free(seeds, TRUE);
}

static int64_t settle_ms(const struct soak *soak)
{
	const struct site_worker *worker;
	double slowest = 1;

	list_for_each_entry(worker, &soak->fleet->workers, node)
		slowest = MIN(slowest, worker->pace);
	return (int64_t)(SETTLE_SEC * 1000.0 / slowest) +
	       (soak->machines ? SOAK_HOME_MS : 0);
}

static void add_workers(struct soak *soak)
{
	const struct site_bounds bounds = {
		.max_hold_ms = 3000,
		.gang_ms = 1000,
		.stop_ms = stop_ms(soak),
		.beat_ms = 400,
		.late_ms = 1500,
		.gap_percent = soak->options.gap_percent,
	};
	char rack[32];
	int i;

	soak->fleet = site_fleet_new(&soak->kn, soak->store, &bounds,
				     soak->options.seed);
	/* A cancellation takes effect after a takeover at the latest. */
	soak->fleet->cancel_ms = SETTLE_SEC * 1000;
	soak->fleet->evac_ms = SOAK_EVAC_MS;
	soak->worker_relays = g_new0(int, soak->options.workers);
	soak->spare_relays = g_new0(int, soak->options.workers);
	soak->worker_heal_us = g_new0(int64_t, soak->options.workers);
	for (i = 0; i < soak->options.workers; i++) {
		struct site_worker *worker;

		snprintf(rack, sizeof(rack), "rack-%d", i / SOAK_RACK_WORKERS);
		worker = site_fleet_add(soak->fleet, rack, SOAK_WORKER_GPUS,
					ports_reserve());
		if (soak->options.evacuations)
			snprintf(worker->dc, sizeof(worker->dc), "d%d",
				 1 + i / SOAK_RACK_WORKERS %
						 SOAK_EVACUATED_DCS);
		worker->uptime_ms =
			uptime_days[(soak->options.seed + (uint32_t)i) %
				    G_N_ELEMENTS(uptime_days)] *
			MSEC_PER_DAY;
		soak->worker_relays[i] =
			sr_relay_new(ports_reserve(), worker->server.port);
		soak->spare_relays[i] =
			sr_relay_new(ports_reserve(), worker->server.port);
		sr_relay_set(soak->spare_relays[i], SR_REFUSED);
		worker->told_port = sr_relay_port(soak->worker_relays[i]);
	}
	if (!site_fleet_set_paces(soak->fleet, soak->options.paces)) {
		fprintf(stderr, "soak: --paces: %s\n", soak->options.paces);
		exit(EXIT_FAILURE);
	}
}

static void add_hosts(struct soak *soak)
{
	int i;

	for (i = 0; i < soak->options.hosts; i++) {
		struct soak_host *host = &soak->hosts[i];
		int port = site_store_open(soak->store, ports_reserve());
		char *path;

		host->door = soak->store->ndoors - 1;
		snprintf(host->name, sizeof(host->name), "host-%d", i);
		host->callers_port = ports_reserve();
		host->peers_port = ports_reserve();
		host->relay = sr_relay_new(ports_reserve(), port);
		host->peers_relay =
			sr_relay_new(ports_reserve(), host->peers_port);
		host->marks =
			g_array_new(FALSE, FALSE, sizeof(struct soak_mark));
		host->status_s = 600;
		host->uptime_days =
			uptime_days[(soak->options.seed + (uint32_t)i) %
				    G_N_ELEMENTS(uptime_days)];
		path = g_strconcat(soak->options.dir, "/", host->name, ".clock",
				   NULL);
		g_strlcpy(host->clock, path, sizeof(host->clock));
		g_free(path);
		if (!g_file_set_contents(host->clock, "0", -1, NULL))
			abort();
		hc_pool_init(&host->pool, &soak->kn, "127.0.0.1",
			     host->callers_port, 64);
		host->pool.connect_timeout_ms = 500;
	}
	for (i = 0; i < soak->options.hosts; i++) {
		soak_host_settings(soak, &soak->hosts[i]);
		if (!soak_host_start(soak, &soak->hosts[i]))
			abort();
	}
}

/* Hosts find each other by the ports of their relays. */
static char *translate(void *user, const char *key, const char *value)
{
	struct soak *soak = user;
	char **words, *text;
	int i, w;

	if (!g_str_has_prefix(key, "chivebank/hosts/") &&
	    !g_str_has_prefix(key, "chivebank/leader"))
		return NULL;
	words = g_strsplit(value, " ", -1);
	for (w = 0; words[w]; w++)
		for (i = 0; i < soak->options.hosts; i++) {
			const struct soak_host *host = &soak->hosts[i];

			if (atoi(words[w]) != host->peers_port)
				continue;
			g_free(words[w]);
			words[w] = g_strdup_printf(
				"%d", sr_relay_port(host->peers_relay));
			break;
		}
	text = g_strjoinv(" ", words);
	g_strfreev(words);
	return text;
}

static void put_config(struct soak *soak)
{
	soak->config_version = 1;
	site_store_put(
		soak->store, "op/config",
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
		"\"127.0.0.1\",\"prefix\":\"/jobs/\",\"slo_ms\":1000,"
		"\"prio\":1,\"svc\":\"pool\",\"attempts\":3,\"stretch\":1.5}],"
		"\"svcs\":[{\"name\":\"pool\"}," SOAK_SPARE_POOL
		"],\"limits\":{},\"tenants\":[{"
		"\"name\":\"one\",\"api_keys\":[\"" SOAK_KEY "\"]}]}");
}

static void on_wake(struct kn_timer *timer)
{
}

static void run_step(struct soak *soak)
{
	int64_t until_us = kn_now_us() + STEP_MS * USEC_PER_MSEC;
	struct kn_timer timer = { 0 };
	int i;

	/* The end of a grace is kept to the millisecond. */
	for (i = 0; i < soak->options.hosts; i++)
		if (soak->hosts[i].kill_us > kn_now_us())
			until_us = MIN(until_us, soak->hosts[i].kill_us);

	while (kn_now_us() < until_us) {
		kn_timer_set(&soak->kn, &timer, MAX(until_us - kn_now_us(), 0),
			     on_wake);
		kn_turn(&soak->kn);
		kn_timer_cancel(&timer);
	}
	soak_hosts_step(soak);
	soak_callers_step(soak);
	soak_jobs_step(soak);
}

static bool is_settled(struct soak *soak)
{
	return soak_jobs_settled(soak) &&
	       (!soak->machines || soak_machines_settled(soak));
}

static void run(struct soak *soak)
{
	int64_t end_us = kn_now_us() + soak->options.seconds * USEC_PER_SEC;

	soak->faults_end_us = end_us;
	if (soak->options.stops) {
		soak_stops_start(soak);
		soak_callers_start(soak);
	}
	while (kn_now_us() < end_us) {
		run_step(soak);
		soak_faults_step(soak);
		if (soak->options.evacuations)
			soak_evacuations_step(soak);
		if (soak->machines)
			soak_machines_step(soak);
	}
	soak_evacuations_end(soak);
	if (soak->machines)
		soak_machines_heal(soak);
	soak_faults_heal(soak);
	soak_callers_stop(soak);
	soak_stops_end(soak);
	soak_starve_end(soak);
	soak->healing = true;
	soak->healed_us = kn_now_us();
	end_us = kn_now_us() + settle_ms(soak) * USEC_PER_MSEC;
	while (kn_now_us() < end_us && !is_settled(soak)) {
		run_step(soak);
		soak_jobs_check_still(soak);
		if (soak->machines)
			soak_machines_settle_step(soak);
	}
	soak_jobs_check(soak);
	if (soak->machines)
		soak_machines_check(soak);
}

int main(int argc, char **argv)
{
	static struct soak soak = {
		.options = { .seed = 1,
			     .seconds = 20,
			     .hosts = 3,
			     .workers = 6,
			     .dcs = 1,
			     .paces = "1",
			     .binary = "build/chivebankd",
			     .clock = "build/soak-clock.so",
			     .dir = "build/soak" },
	};
	guint failed;
	int i;

	if (argp_parse(&argp, argc, argv, 0, NULL, &soak.options))
		return EXIT_FAILURE;
	setvbuf(stdout, NULL, _IOLBF, 0);
	soak.rand = g_rand_new_with_seed(soak.options.seed);
	list_init(&soak.jobs);
	if (!sr_proc_init(soak.options.dir) || !kn_init(&soak.kn, NULL))
		return EXIT_FAILURE;
	ev_init(soak.options.seed);
	sr_relay_start();
	soak.store = site_store_new(&soak.kn, soak.options.seed);
	soak.store->translate = translate;
	soak.store->user = &soak;
	add_workers(&soak);
	soak.wave_hosts = g_ptr_array_new();
	if (soak.options.spares > 0)
		soak_machines_start(&soak);
	put_config(&soak);
	if (!kn_start(&soak.kn, NULL))
		return EXIT_FAILURE;
	soak_starve_start(&soak);
	add_hosts(&soak);
	run(&soak);
	failed = soak.fleet->violations->len;
	printf("seed=%u accepted=%d rejected=%d unknown=%d faults=%d "
	       "evacuations=%d moves=%d waves=%d starts=%llu calls=%llu cut_lost=%d cut_in_slack=%d "
	       "cut_near_faults=%d cut_elsewhere=%d violations=%u\n",
	       soak.options.seed, soak.accepted, soak.rejected, soak.unknown,
	       soak.faults, soak.evacuations,
	       soak.machines ? soak.machines->moved : 0, soak.waves,
	       (unsigned long long)soak.fleet->starts,
	       (unsigned long long)soak.calls, soak.cut_lost, soak.cut_slack,
	       soak.cut_disrupted, soak.cut_unplanned, failed);
	sr_proc_kill_all();
	soak_jobs_finish(&soak);
	for (i = 0; i < soak.options.hosts; i++) {
		hc_pool_finish(&soak.hosts[i].pool);
		g_array_free(soak.hosts[i].marks, TRUE);
	}
	if (soak.machines)
		site_machines_free(soak.machines);
	g_ptr_array_unref(soak.wave_hosts);
	kn_finish(&soak.kn);
	sr_relay_stop();
	g_rand_free(soak.rand);
	g_free(soak.worker_relays);
	g_free(soak.spare_relays);
	g_free(soak.worker_heal_us);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
