#include <sched.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/sr_proc.h"

/*
 * Planned work only: graceful stops, in series and while a process starts, of
 * one host, several or all; SIGHUP around them, also with changed settings; and
 * changes of the configuration.
 */

#define SIGNALS_MAX 3
#define GAP_MIN_MS 50
#define GAP_MAX_MS 600
#define START_MAX_MS 400 /* after the start of a process, for a signal */
#define HUP_SPAN_MS 1500 /* around the first SIGTERM */
#define SLOW_MIN_MS 60
#define SLOW_MAX_MS 900
#define STORE_MAX_MS 4000
#define CORE_WATCH_MS 500

struct planned {
	int64_t at_us;
	struct soak_host *host;
	int proc;
	int number;
};

static GArray *plan; /* struct planned */
static int64_t known_start_us[SOAK_HOSTS_MAX];

static void plan_signal(struct soak_host *host, int number, int64_t at_us)
{
	const struct planned one = { .at_us = at_us,
				     .host = host,
				     .proc = host->proc,
				     .number = number };

	g_array_append_val(plan, one);
}

static int64_t any_us(struct soak *soak, int min_ms, int max_ms)
{
	return (min_ms + soak_below(soak, max_ms - min_ms)) * USEC_PER_MSEC;
}

/* One to three SIGTERM, often with some SIGHUP before, amid or after them. */
static void plan_stop(struct soak *soak, struct soak_host *host, int64_t at_us)
{
	int terms = 1 + soak_below(soak, SIGNALS_MAX);
	int hups = soak_below(soak, SIGNALS_MAX);

	while (hups-- > 0)
		plan_signal(host, SIGHUP,
			    at_us + any_us(soak, -HUP_SPAN_MS, HUP_SPAN_MS));
	while (terms-- > 0) {
		plan_signal(host, SIGTERM, at_us);
		at_us += any_us(soak, GAP_MIN_MS, GAP_MAX_MS);
	}
}

/* Before its handler is installed, a SIGHUP would end the process. */
static bool catches_hup(const struct soak_host *host)
{
	char *path = g_strdup_printf("/proc/%d/status",
				     (int)sr_proc_pid(host->proc));
	char *text = NULL, *mask;
	bool catches = false;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		mask = strstr(text, "SigCgt:");
		catches = mask && (g_ascii_strtoull(mask + strlen("SigCgt:\t"),
						    NULL, 16) &
				   (1u << (SIGHUP - 1)));
	}
	g_free(text);
	g_free(path);
	return catches;
}

static void deliver(struct soak *soak, const struct planned *one)
{
	struct soak_host *host = one->host;

	if (!soak_host_runs(host) || host->proc != one->proc)
		return;
	soak->faults++;
	if (one->number == SIGTERM) {
		if (host->term_us)
			soak_host_signal(soak, host, SIGTERM);
		else
			soak_host_stop(soak, host);
		return;
	}
	if (!catches_hup(host))
		return;
	if (soak_chance(soak, 50)) {
		host->status_s = 600 + soak_below(soak, 100);
		soak_host_settings(soak, host);
	}
	soak_host_signal(soak, host, SIGHUP);
}

static void deliver_due(struct soak *soak)
{
	guint i = 0;

	while (i < plan->len) {
		const struct planned one =
			g_array_index(plan, struct planned, i);

		if (one.at_us > kn_now_us()) {
			i++;
			continue;
		}
		g_array_remove_index(plan, i);
		deliver(soak, &one);
	}
}

/* Of the hosts that run: one, some, or all. */
static void stop_hosts(struct soak *soak)
{
	int percent = soak_chance(soak, 60) ? 0 :
		      soak_chance(soak, 70) ? 10 + soak_below(soak, 60) :
					      100;
	int one = soak_below(soak, soak->options.hosts);
	int i;

	for (i = 0; i < soak->options.hosts; i++) {
		struct soak_host *host = &soak->hosts[i];

		if ((i == one || soak_chance(soak, percent)) &&
		    soak_host_runs(host) && !host->term_us)
			plan_stop(soak, host,
				  kn_now_us() + any_us(soak, 0, HUP_SPAN_MS));
	}
}

static void stop_starting_hosts(struct soak *soak)
{
	int i;

	for (i = 0; i < soak->options.hosts; i++) {
		struct soak_host *host = &soak->hosts[i];

		if (known_start_us[i] == host->started_us)
			continue;
		known_start_us[i] = host->started_us;
		if (soak_chance(soak, 15))
			plan_stop(soak, host,
				  kn_now_us() + any_us(soak, 0, START_MAX_MS));
	}
}

/* By the seed: well, slow all the time, losing answers or slow in between. */
enum store_kind { STORE_WELL, STORE_FAR, STORE_LOSES, STORE_SLOW, STORE_KINDS };

static enum store_kind store_kind(const struct soak *soak)
{
	return (enum store_kind)(soak->options.seed % STORE_KINDS);
}

static void fault_store(struct soak *soak)
{
	bool slow = store_kind(soak) == STORE_SLOW;

	if (soak->store_heal_us || (!slow && store_kind(soak) != STORE_LOSES))
		return;
	soak->faults++;
	soak_say(slow ? "slow" : "lost", "store");
	soak->store_heal_us = kn_now_us() + any_us(soak, 0, STORE_MAX_MS);
	site_store_fault(
		soak->store, -1, slow ? SITE_WELL : SITE_LOST, 30,
		slow ? SLOW_MIN_MS +
				soak_below(soak, SLOW_MAX_MS - SLOW_MIN_MS) :
		       0);
}

/* A store that is far away is no fault: calls are judged as with a near one. */
void soak_stops_start(struct soak *soak)
{
	int delay_ms =
		SLOW_MIN_MS + soak_below(soak, SLOW_MAX_MS - SLOW_MIN_MS);

	plan = g_array_new(FALSE, FALSE, sizeof(struct planned));
	if (store_kind(soak) != STORE_FAR)
		return;
	printf("%9.3f store delay_ms=%d\n", (double)kn_now_us() / 1e6,
	       delay_ms);
	site_store_fault(soak->store, -1, SITE_WELL, 0, delay_ms);
}

/* Ends the delay too. */
void soak_stops_end(struct soak *soak)
{
	site_store_fault(soak->store, -1, SITE_WELL, 0, 0);
}

void soak_stops_step(struct soak *soak)
{
	stop_starting_hosts(soak);
	deliver_due(soak);
	if (soak_below(soak, 1000) < 12)
		stop_hosts(soak);
	if (soak_below(soak, 1000) < 8)
		soak_change_config(soak);
	if (soak_below(soak, 1000) < 4)
		fault_store(soak);
}

/* Too little processor for the hosts. */

static int host_core = -1;
static int busy_first = -1, busy_count;

static void bind_to_core(pid_t pid)
{
	cpu_set_t set;

	CPU_ZERO(&set);
	CPU_SET(host_core, &set);
	if (sched_setaffinity(pid, sizeof(set), &set) != 0)
		perror("sched_setaffinity");
}

void soak_starve_host(struct soak *soak, int proc)
{
	if (host_core >= 0)
		bind_to_core(sr_proc_pid(proc));
}

static long long idle_time(int core)
{
	char *text = NULL, *line;
	char name[16];
	long long idle = 0;

	snprintf(name, sizeof(name), "\ncpu%d ", core);
	if (!g_file_get_contents("/proc/stat", &text, NULL, NULL))
		return 0;
	line = strstr(text, name);
	if (line)
		sscanf(line + strlen(name), "%*s %*s %*s %lld", &idle);
	g_free(text);
	return idle;
}

/* The core that others use least, so that N says how little there is. */
static int find_core(const cpu_set_t *set)
{
	long long before[CPU_SETSIZE], idle, most = -1;
	int core, found = 0;

	for (core = 0; core < CPU_SETSIZE; core++)
		before[core] = CPU_ISSET(core, set) ? idle_time(core) : 0;
	g_usleep(CORE_WATCH_MS * USEC_PER_MSEC);
	for (core = 0; core < CPU_SETSIZE; core++) {
		if (!CPU_ISSET(core, set))
			continue;
		idle = idle_time(core) - before[core];
		if (idle > most)
			found = core;
		most = MAX(most, idle);
	}
	return found;
}

/* The harness stays on the other cores. */
void soak_starve_start(struct soak *soak)
{
	char *argv[] = { (char *)"/bin/sh", (char *)"-c",
			 (char *)"while :; do :; done", NULL };
	cpu_set_t set;

	if (soak->options.starve == 0 ||
	    sched_getaffinity(0, sizeof(set), &set) != 0 || CPU_COUNT(&set) < 2)
		return;
	host_core = find_core(&set);
	printf("%9.3f starve core=%d\n", (double)kn_now_us() / 1e6, host_core);
	CPU_CLR(host_core, &set);
	sched_setaffinity(0, sizeof(set), &set);
	while (busy_count < soak->options.starve) {
		int proc = sr_proc_spawn("busy", argv);

		if (proc < 0)
			break;
		if (busy_count++ == 0)
			busy_first = proc;
		bind_to_core(sr_proc_pid(proc));
	}
}

void soak_starve_end(struct soak *soak)
{
	while (busy_count > 0)
		sr_proc_signal(busy_first + --busy_count, SIGKILL);
}
