#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/sr_proc.h"
#include "tests/standins/sr_relay.h"

/*
 * Series of faults that overlap: a leader and its successors are ended one
 * after the other, the store is gone in between, and workers are cut off for
 * less or more than their lease.
 */

#define SERIES_KILLS_MIN 3
#define SERIES_KILLS_MAX 6
/* From the election of a leader to its end: within or after its takeover. */
#define KILL_DELAY_MAX_MS 1500
#define STORE_GONE_MAX_MS 5000
#define CUT_MIN_MS 1000
#define CUT_MAX_MS 9000
#define RESTART_MAX_MS 3000
#define LAST_LEADER_MS 10000

static int64_t in_ms(int64_t ms)
{
	return kn_now_us() + ms * USEC_PER_MSEC;
}

static struct soak_host *find_leader(struct soak *soak, int64_t *created)
{
	const struct site_item *item =
		site_store_get(soak->store, "chivebank/leader");
	int i;

	if (!item)
		return NULL;
	*created = item->created;
	for (i = 0; i < soak->options.hosts; i++)
		if (atoi(item->value + strlen("host-")) == i)
			return &soak->hosts[i];
	return NULL;
}

struct soak_host *soak_leading_host(struct soak *soak)
{
	int64_t created;

	return find_leader(soak, &created);
}

/* A leader that is cut off from the store and from all other hosts, but not
 * from the workers. */
static void isolate(struct soak *soak, struct soak_host *host)
{
	int64_t heal_us = in_ms(CUT_MIN_MS + soak_below(soak, CUT_MAX_MS));
	int i;

	soak_say("isolate", host->name);
	sr_relay_set(host->relay, SR_CUT);
	host->way_heal_us = heal_us;
	for (i = 0; i < soak->options.hosts; i++) {
		sr_relay_set(soak->hosts[i].peers_relay, SR_CUT);
		soak->hosts[i].peers_heal_us = heal_us;
	}
}

static void end_leader(struct soak *soak, struct soak_host *host)
{
	soak->faults++;
	if (!soak_host_runs(host) || host->kill_us || host->frozen)
		return;
	switch (soak_below(soak, 6)) {
	case 0:
		soak_host_stop(soak, host);
		break;
	case 1:
		isolate(soak, host);
		break;
	case 2:
		soak_host_freeze(soak, host);
		break;
	default:
		soak_host_kill(soak, host);
		break;
	}
}

static void lose_store(struct soak *soak)
{
	static const enum site_fault faults[] = { SITE_SILENT, SITE_BUSY,
						  SITE_LOST };
	int n = soak_below(soak, 4);
	int i;

	soak->faults++;
	soak_say("gone", "store");
	soak->store_heal_us = in_ms(soak_below(soak, STORE_GONE_MAX_MS));
	if (n < 3) {
		site_store_fault(soak->store, -1, faults[n], 60, 0);
		return;
	}
	for (i = 0; i < soak->options.hosts; i++) {
		sr_relay_set(soak->hosts[i].relay, SR_REFUSED);
		soak->hosts[i].way_heal_us = soak->store_heal_us;
	}
}

/* Cuts off some workers, or all of some racks. */
static void cut_workers(struct soak *soak)
{
	static const enum sr_relay_state states[] = { SR_CUT, SR_REFUSED,
						      SR_ONE_WAY };
	enum sr_relay_state state = states[soak_below(soak, 3)];
	int64_t heal_us = in_ms(CUT_MIN_MS + soak_below(soak, CUT_MAX_MS));
	bool racks = soak_chance(soak, 50);
	int percent = 10 + soak_below(soak, 40);
	bool cut = false;
	int i;

	soak->faults++;
	soak_say("cut", racks ? "racks" : "workers");
	for (i = 0; i < soak->options.workers; i++) {
		if (!racks || i % SOAK_RACK_WORKERS == 0)
			cut = soak_chance(soak, percent);
		if (!cut)
			continue;
		sr_relay_set(soak->worker_relays[i], state);
		soak->worker_heal_us[i] = heal_us;
	}
}

/* Workers that end and start again under their ids, or drain first. */
static void restart_workers(struct soak *soak)
{
	struct site_worker *worker;
	int i = 0;

	soak->faults++;
	soak_say("restart", "workers");
	list_for_each_entry(worker, &soak->fleet->workers, node) {
		int index = i++;

		if (!soak_chance(soak, 15) || soak_machines_off(soak, worker))
			continue;
		if (soak_chance(soak, 30))
			site_worker_drain(worker);
		else if (worker->up)
			soak_worker_crash(soak, worker, index);
		soak->worker_heal_us[index] =
			in_ms(soak_below(soak, RESTART_MAX_MS));
	}
}

static void stall_workers(struct soak *soak)
{
	struct site_worker *worker;
	int64_t heal_us = in_ms(CUT_MIN_MS + soak_below(soak, CUT_MAX_MS));
	int i = 0;

	soak->faults++;
	soak_say("stall", "workers");
	list_for_each_entry(worker, &soak->fleet->workers, node) {
		int index = i++;

		if (!soak_chance(soak, 15))
			continue;
		worker->fault = SITE_WORKER_STALLED;
		soak->worker_heal_us[index] = heal_us;
	}
}

static void end_all_hosts(struct soak *soak)
{
	int i;

	for (i = 0; i < soak->options.hosts; i++)
		if (soak_host_runs(&soak->hosts[i]) && !soak->hosts[i].kill_us)
			soak_host_kill(soak, &soak->hosts[i]);
}

static void continue_series(struct soak *soak)
{
	struct soak_host *host;
	int64_t created = 0;

	if (soak->series_left == 0 && soak_below(soak, 1000) < 4) {
		soak->series_left =
			SERIES_KILLS_MIN +
			soak_below(soak,
				   SERIES_KILLS_MAX - SERIES_KILLS_MIN + 1);
	}
	host = find_leader(soak, &created);
	if (soak->series_left == 0 || !host || created <= soak->series_fence)
		return;
	if (soak->series_at_us == 0)
		soak->series_at_us = in_ms(soak_below(soak, KILL_DELAY_MAX_MS));
	if (kn_now_us() < soak->series_at_us)
		return;
	end_leader(soak, host);
	soak->series_at_us = 0;
	soak->series_fence = created;
	soak->series_left--;
}

void soak_takeovers_step(struct soak *soak)
{
	if (soak_below(soak, 1000) < 8)
		cut_workers(soak);
	if (soak_below(soak, 1000) < 4)
		restart_workers(soak);
	if (soak_below(soak, 1000) < 3)
		stall_workers(soak);
	/* The last leader sees workers that are cut off beyond their leases and
	 * come back. */
	if (kn_now_us() > soak->faults_end_us - LAST_LEADER_MS * USEC_PER_MSEC)
		return;
	continue_series(soak);
	if (soak_below(soak, 1000) < 6)
		lose_store(soak);
	if (soak_below(soak, 1000) < 2)
		end_all_hosts(soak);
}
