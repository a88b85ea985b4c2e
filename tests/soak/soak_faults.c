#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/sr_proc.h"
#include "tests/standins/sr_relay.h"

#define RESTART_MS 600
/* Interval at which the platform tries to start the next process of a host. */
#define SUCCESSOR_MS 100
/* Faults last from well below to well above the leases. */
#define FAULT_MIN_MS 300
#define FAULT_MAX_MS 6000
#define ODD_ENTRIES_PER_1000 10 /* steps of the clock */

static int64_t fault_end_us(struct soak *soak)
{
	return kn_now_us() +
	       (FAULT_MIN_MS + soak_below(soak, FAULT_MAX_MS - FAULT_MIN_MS)) *
		       USEC_PER_MSEC;
}

void soak_say(const char *what, const char *where)
{
	printf("%9.3f fault=%s at=%s\n", (double)kn_now_us() / 1e6, what,
	       where);
}

/* Hosts. */

void soak_host_mark(struct soak_host *host, const char *what)
{
	const struct soak_mark mark = { .at_us = kn_now_us(), .what = what };

	g_array_append_val(host->marks, mark);
}

void soak_host_signal(struct soak *soak, struct soak_host *host, int number)
{
	const char *what = number == SIGTERM ? "term" : "hup";

	soak_say(what, host->name);
	soak_host_mark(host, what);
	sr_proc_signal(host->proc, number);
}

static int spawn(struct soak *soak, struct soak_host *host, const char *name)
{
	char variable[300], clock[300], uptime[40], preload[300];
	char *argv[] = { (char *)"/usr/bin/env",
			 variable,
			 clock,
			 uptime,
			 preload,
			 (char *)soak->options.binary,
			 (char *)"--platform",
			 NULL };
	int proc;

	snprintf(uptime, sizeof(uptime), "SOAK_UPTIME_DAYS=%d",
		 host->uptime_days);
	snprintf(clock, sizeof(clock), "SOAK_CLOCK=%s", host->clock);
	snprintf(preload, sizeof(preload), "LD_PRELOAD=%s",
		 soak->options.clock);
	snprintf(variable, sizeof(variable), "CHIVEBANK_CONFIG=%s",
		 host->settings);
	proc = sr_proc_spawn(name, argv);
	if (proc >= 0)
		soak_starve_host(soak, proc);
	soak_host_mark(host, "start");
	return proc;
}

bool soak_host_start(struct soak *soak, struct soak_host *host)
{
	host->proc = spawn(soak, host, host->name);
	host->successor = -1;
	host->started_us = kn_now_us();
	host->start_us = 0;
	host->kill_us = 0;
	host->term_us = 0;
	host->frozen = false;
	return host->proc >= 0;
}

bool soak_host_runs(const struct soak_host *host)
{
	return host->proc >= 0 && host->start_us == 0;
}

/* It can't listen, and ends, as long as the process before it listens. */
static void step_successor(struct soak *soak, struct soak_host *host)
{
	char name[32];
	int code;

	if (host->successor >= 0 && sr_proc_ended(host->successor, &code))
		host->successor = -1;
	if (host->successor >= 0 || kn_now_us() < host->successor_us)
		return;
	snprintf(name, sizeof(name), "%s-next", host->name);
	host->successor = spawn(soak, host, name);
	host->successor_us = kn_now_us() + SUCCESSOR_MS * USEC_PER_MSEC;
}

/* The process before has ended, and the last one that was started may have met
 * it. */
static void end_overlap(struct soak_host *host)
{
	int code;

	if (host->successor < 0 || sr_proc_ended(host->successor, &code) ||
	    kn_now_us() < host->successor_us)
		return;
	host->proc = host->successor;
	host->successor = -1;
	host->overlaps = false;
	host->kill_us = 0;
	host->term_us = 0;
	host->frozen = false;
	host->started_us = kn_now_us();
	host->overlap_end_us = kn_now_us();
}

/* It may have tried to listen just before the process before it ended. */
static bool may_have_met_it(const struct soak_host *host)
{
	return host->overlap_end_us && kn_now_us() - host->overlap_end_us <
					       5 * SUCCESSOR_MS * USEC_PER_MSEC;
}

/* No stop lasts until the end of its grace; one of a host that was frozen when
 * the signal came, or later, may. */
static void end_grace(struct soak *soak, struct soak_host *host)
{
	bool runs = sr_proc_signal(host->proc, SIGKILL);

	if (!runs || !host->term_us)
		return;
	soak_host_mark(host, "killed");
	if (!host->frozen && host->thawed_us < host->term_us)
		soak_violated(soak, "GRACE", host->name,
			      "a stop lasted until the end of its grace");
	host->term_us = 0;
}

void soak_hosts_step(struct soak *soak)
{
	int i, code;

	for (i = 0; i < soak->options.hosts; i++) {
		struct soak_host *host = &soak->hosts[i];

		if (host->kill_us && kn_now_us() >= host->kill_us)
			end_grace(soak, host);
		if (host->overlaps) {
			step_successor(soak, host);
			if (sr_proc_ended(host->proc, &code))
				end_overlap(host);
			continue;
		}
		if (soak_host_runs(host) && sr_proc_ended(host->proc, &code)) {
			if (!host->kill_us && !may_have_met_it(host))
				soak_violated(soak, "EXIT", host->name,
					      "a process ended by itself");
			soak_host_mark(host, "ended");
			host->start_us =
				kn_now_us() + RESTART_MS * USEC_PER_MSEC / 2;
		}
		/* A process that was killed is away until it starts again. */
		if (host->start_us && host->disrupted_us > host->started_us)
			host->disrupted_us = kn_now_us();
		if (host->start_us && kn_now_us() > host->start_us)
			soak_host_start(soak, host);
	}
}

void soak_host_kill(struct soak *soak, struct soak_host *host)
{
	soak_say("kill", host->name);
	sr_proc_signal(host->proc, SIGKILL);
	soak_host_mark(host, "kill");
	host->kill_us = kn_now_us();
	host->term_us = 0;
	host->disrupted_us = kn_now_us();
}

void soak_host_stop(struct soak *soak, struct soak_host *host)
{
	soak_host_signal(soak, host, SIGTERM);
	host->term_us = kn_now_us();
	host->kill_us = host->term_us + SOAK_GRACE_MS * USEC_PER_MSEC;
}

void soak_host_replace(struct soak *soak, struct soak_host *host)
{
	soak_host_stop(soak, host);
	host->overlaps = true;
	host->successor_us = kn_now_us();
}

void soak_host_freeze(struct soak *soak, struct soak_host *host)
{
	soak_say("freeze", host->name);
	sr_proc_signal(host->proc, SIGSTOP);
	soak_host_mark(host, "freeze");
	host->frozen = true;
	host->thaw_us = fault_end_us(soak);
}

static void thaw_host(struct soak *soak, struct soak_host *host)
{
	if (!host->frozen)
		return;
	soak_say("thaw", host->name);
	sr_proc_signal(host->proc, SIGCONT);
	host->frozen = false;
	host->thawed_us = kn_now_us();
}

static void fault_host(struct soak *soak)
{
	struct soak_host *host =
		&soak->hosts[soak_below(soak, soak->options.hosts)];
	const struct site_item *item =
		site_store_get(soak->store, "chivebank/leader");
	int i;

	/* Often the leader. */
	if (item && soak_chance(soak, 50))
		for (i = 0; i < soak->options.hosts; i++)
			if (atoi(item->value + strlen("host-")) == i)
				host = &soak->hosts[i];
	if (!soak_host_runs(host) || host->kill_us)
		return;
	switch (soak_below(soak, 6)) {
	case 0:
	case 1:
		soak_host_kill(soak, host);
		break;
	case 2:
		soak_host_stop(soak, host);
		break;
	case 3:
	case 4:
		soak_host_freeze(soak, host);
		break;
	default:
		/* Before its first instruction no process can handle it. */
		if (kn_now_us() - host->started_us < 300 * USEC_PER_MSEC)
			break;
		soak_host_signal(soak, host, SIGHUP);
		break;
	}
}

/* The store. */

static void fault_way(struct soak *soak)
{
	static const enum sr_relay_state states[] = { SR_CUT, SR_REFUSED,
						      SR_ONE_WAY, SR_SLOW,
						      SR_OPEN };
	static const char *const names[] = { "cut", "refuse", "one_way", "slow",
					     "open" };
	bool all = soak_chance(soak, 20);
	int n = soak_below(soak, 5);
	int one = soak_below(soak, soak->options.hosts);
	int i;

	soak_say(names[n], all ? "way of all" : soak->hosts[one].name);
	for (i = 0; i < soak->options.hosts; i++) {
		if (!all && i != one)
			continue;
		sr_relay_set(soak->hosts[i].relay, states[n]);
		soak->hosts[i].way_heal_us = fault_end_us(soak);
	}
	if (soak_chance(soak, 30))
		sr_relay_silence(soak->hosts[one].relay);
}

/* The way of all other hosts to one, or to all of them. */
static void fault_peers(struct soak *soak)
{
	static const enum sr_relay_state states[] = { SR_CUT, SR_REFUSED,
						      SR_ONE_WAY, SR_SLOW };
	static const char *const names[] = { "cut", "refuse", "one_way",
					     "slow" };
	bool all = soak_chance(soak, 30);
	int n = soak_below(soak, 4);
	int one = soak_below(soak, soak->options.hosts);
	int i;

	soak_say(names[n], all ? "peers of all" : "peers of one");
	for (i = 0; i < soak->options.hosts; i++) {
		if (!all && i != one)
			continue;
		sr_relay_set(soak->hosts[i].peers_relay, states[n]);
		soak->hosts[i].peers_heal_us = fault_end_us(soak);
	}
	if (soak_chance(soak, 30))
		sr_relay_silence(soak->hosts[one].peers_relay);
}

/* The time of day. */

#define CLOCK_STEP_MAX_MS 5000

static void set_clock(struct soak *soak, struct soak_host *host, int ms)
{
	char text[24];
	FILE *file = fopen(host->clock, "r+");

	/* In place: the process has the file open. */
	snprintf(text, sizeof(text), "%-12d", ms);
	if (!file || fputs(text, file) < 0)
		soak_violated(soak, "SOAK", host->name, "its clock file");
	if (file)
		fclose(file);
}

static void fault_clock(struct soak *soak)
{
	struct soak_host *host =
		&soak->hosts[soak_below(soak, soak->options.hosts)];
	int ms = soak_below(soak, 2 * CLOCK_STEP_MAX_MS) - CLOCK_STEP_MAX_MS;

	soak_say("clock", host->name);
	soak->fleet->early_ms = SOAK_EARLY_MS;
	host->clock_heal_us = fault_end_us(soak);
	set_clock(soak, host, ms);
}

static void fault_store(struct soak *soak)
{
	static const enum site_fault faults[] = { SITE_WELL, SITE_BUSY,
						  SITE_MANY, SITE_LOST,
						  SITE_LATE, SITE_SILENT };
	static const char *const names[] = { "well", "busy", "many",
					     "lost", "late", "silent" };
	int n = soak_below(soak, 6);
	int door = soak_chance(soak, 40) ?
			   -1 :
			   soak_below(soak, soak->options.hosts);

	if (soak_chance(soak, 15)) {
		soak_say("compact", "store");
		soak->store_disrupted_us = kn_now_us();
		site_store_compact(soak->store);
		return;
	}
	if (soak_chance(soak, 15)) {
		soak_say("lapse", "leader");
		soak->store_disrupted_us = kn_now_us();
		site_store_lapse(soak->store, "chivebank/leader");
		return;
	}
	soak_say(names[n], door < 0 ? "store" : "one door");
	soak->store_heal_us = fault_end_us(soak);
	soak->store_disrupted_us = kn_now_us();
	site_store_fault(soak->store, door, faults[n], 30,
			 soak_chance(soak, 20) ? 60 : 0);
}

/* Workers. */

static struct site_worker *any_worker(struct soak *soak, int *index)
{
	struct site_worker *worker;
	int n = 0;

	*index = soak_below(soak, soak->options.workers);
	list_for_each_entry(worker, &soak->fleet->workers, node)
		if (n++ == *index)
			return worker;
	return NULL;
}

static void fault_worker(struct soak *soak)
{
	static const char *const names[] = { "well",	"mute",	   "ill",
					     "failing", "stalled", "late" };
	static const enum site_worker_fault faults[] = {
		SITE_WORKER_WELL,    SITE_WORKER_MUTE,	  SITE_WORKER_ILL,
		SITE_WORKER_FAILING, SITE_WORKER_STALLED, SITE_WORKER_LATE
	};
	int index, n = soak_below(soak, 6);
	struct site_worker *worker = any_worker(soak, &index);

	/* Failing ones use attempts up, which would fail good jobs. */
	if (faults[n] == SITE_WORKER_FAILING)
		n = 0;
	if (soak_machines_off(soak, worker))
		return;
	soak->worker_heal_us[index] = fault_end_us(soak);
	switch (soak_below(soak, 5)) {
	case 0:
		soak_say(worker->up ? "crash" : "restart", worker->id);
		if (worker->up)
			soak_worker_crash(soak, worker, index);
		else
			soak_worker_restart(soak, worker, index);
		break;
	case 1:
		soak_say("way", worker->id);
		sr_relay_set(soak->worker_relays[index],
			     (enum sr_relay_state)soak_below(soak, 5));
		break;
	case 2:
		soak_say("silence", worker->id);
		sr_relay_silence(soak->worker_relays[index]);
		break;
	default:
		soak_say(names[n], worker->id);
		worker->fault = faults[n];
		worker->percent = 40;
		break;
	}
}

/* Another program writes entries that are none. */
static void write_odd_entry(struct soak *soak)
{
	static const char *const prefixes[] = {
		"servers/odd-%d",
		"chivebank/hosts/d1/odd-%d",
		"chivebank/hosts/%d",
		"chivebank/intake/%016d/spec",
		"chivebank/intake/%016d/cancel",
		"chivebank/state/%016d",
		"chivebank/leader/%d",
		"op/odd-%d",
		"op/wave/%d",
	};
	static const char *const values[] = {
		"",
		"{",
		"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
		"\xff\xfe",
		"1e999",
		"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:65536\"}",
		"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":"
		"9223372036854775807,\"mem_mb\":1},\"labels\":[],"
		"\"clock_ms\":9223372036854775807,\"born\":1}",
		"{\"wave\":1e300,\"machines\":[\"m\"],\"cap\":-1}",
		"odd 99999999999999999999 127.0.0.1 99999",
	};
	char *key = g_strdup_printf(
		prefixes[soak_below(soak, G_N_ELEMENTS(prefixes))],
		soak_below(soak, 1000));

	soak_say("entry", key);
	site_store_put(soak->store, key,
		       values[soak_below(soak, G_N_ELEMENTS(values))]);
	g_free(key);
}

/* Operators. */

void soak_change_config(struct soak *soak)
{
	char *text;

	soak->config_version += 1 + soak_below(soak, 3);
	soak_say("config", "store");
	soak->config_us = kn_now_us();
	text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":"
		"\"127.0.0.1\",\"prefix\":\"/jobs/\",\"slo_ms\":1000,"
		"\"prio\":1,\"svc\":\"pool\",\"attempts\":3,\"stretch\":1.5}],"
		"\"svcs\":[{\"name\":\"pool\"}," SOAK_SPARE_POOL
		"],\"limits\":{},\"tenants\":[{"
		"\"name\":\"one\",\"api_keys\":[\"%s\",\"key-%d\"]}]}",
		soak->config_version, SOAK_KEY, soak->config_version);
	site_store_put(soak->store, "op/config", text);
	g_free(text);
}

/* Its connections end with the process, also those that a cut holds up. */
void soak_worker_crash(struct soak *soak, struct site_worker *worker, int index)
{
	sr_relay_set(soak->worker_relays[index], SR_REFUSED);
	site_worker_crash(worker);
}

void soak_worker_restart(struct soak *soak, struct site_worker *worker,
			 int index)
{
	sr_relay_set(soak->worker_relays[index], SR_REFUSED);
	site_worker_restart(worker);
	sr_relay_set(soak->worker_relays[index], SR_OPEN);
}

static void heal_worker(struct soak *soak, struct site_worker *worker,
			int index)
{
	soak->worker_heal_us[index] = 0;
	worker->fault = SITE_WORKER_WELL;
	worker->unlisted = false;
	worker->told_port = sr_relay_port(soak->worker_relays[index]);
	if (worker->draining && worker->up)
		soak_worker_crash(soak, worker, index);
	if (soak_machines_off(soak, worker))
		return;
	if (!worker->up)
		soak_worker_restart(soak, worker, index);
	else
		sr_relay_set(soak->worker_relays[index], SR_OPEN);
}

/* Ends what has lasted long enough, or all. */
static void heal(struct soak *soak, bool all)
{
	int64_t now_us = all ? INT64_MAX : kn_now_us();
	struct site_worker *worker;
	int i;

	if (soak->store_heal_us)
		soak->store_disrupted_us = kn_now_us();
	if (soak->store_heal_us && now_us > soak->store_heal_us) {
		soak->store_heal_us = 0;
		site_store_fault(soak->store, -1, SITE_WELL, 0, 0);
	}
	for (i = 0; i < soak->options.hosts; i++) {
		struct soak_host *host = &soak->hosts[i];

		if (host->frozen || host->way_heal_us || host->peers_heal_us ||
		    host->clock_heal_us)
			host->disrupted_us = kn_now_us();
		if (host->way_heal_us && now_us > host->way_heal_us) {
			host->way_heal_us = 0;
			sr_relay_set(host->relay, SR_OPEN);
		}
		if (host->peers_heal_us && now_us > host->peers_heal_us) {
			host->peers_heal_us = 0;
			sr_relay_set(host->peers_relay, SR_OPEN);
		}
		if (host->clock_heal_us && now_us > host->clock_heal_us) {
			host->clock_heal_us = 0;
			set_clock(soak, host, 0);
		}
		if (host->frozen && now_us > host->thaw_us)
			thaw_host(soak, host);
	}
	i = 0;
	list_for_each_entry(worker, &soak->fleet->workers, node) {
		if (soak->worker_heal_us[i] && now_us > soak->worker_heal_us[i])
			heal_worker(soak, worker, i);
		i++;
	}
}

void soak_faults_step(struct soak *soak)
{
	heal(soak, false);
	if (soak->options.stops) {
		soak_stops_step(soak);
		return;
	}
	if (soak_below(soak, 1000) < ODD_ENTRIES_PER_1000)
		write_odd_entry(soak);
	if (soak->options.lives)
		soak_lives_step(soak);
	if (soak->options.takeovers) {
		soak_takeovers_step(soak);
		return;
	}
	if (!soak_chance(soak, 4))
		return;
	soak->faults++;
	switch (soak_below(soak, 9)) {
	case 0:
	case 1:
		fault_host(soak);
		break;
	case 2:
		fault_way(soak);
		break;
	case 5:
		fault_peers(soak);
		break;
	case 6:
		fault_clock(soak);
		break;
	case 3:
		fault_store(soak);
		break;
	case 4:
		soak_change_config(soak);
		break;
	default:
		fault_worker(soak);
		break;
	}
}

void soak_faults_heal(struct soak *soak)
{
	heal(soak, true);
}
