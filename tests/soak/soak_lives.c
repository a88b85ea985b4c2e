#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/sr_relay.h"

/*
 * Workers that start again in place, under their ids: also with a lower start
 * time, at another port, while they are cut off, and without a new entry for a
 * time; entries that name the address of another worker; leaders that are paused
 * for short times in series.
 */

#define BORN_BACK_MAX_MS 5000
#define CUT_MAX_MS 3000
#define UNSEEN_MAX_MS 1000
#define WRONG_ENTRY_MAX_MS 1500
#define PAUSES 6
#define PAUSE_MAX_MS 250

static int64_t within_us(struct soak *soak, int ms)
{
	return kn_now_us() + (1 + soak_below(soak, ms)) * USEC_PER_MSEC;
}

static struct site_worker *nth_worker(struct soak *soak, int n)
{
	struct site_worker *worker;

	list_for_each_entry(worker, &soak->fleet->workers, node)
		if (n-- == 0)
			return worker;
	return NULL;
}

/* The worker is reached at one of its two ports from now on. */
static void move_worker(struct soak *soak, struct site_worker *worker,
			int index)
{
	int relay = soak->worker_relays[index];

	sr_relay_set(relay, SR_REFUSED);
	soak->worker_relays[index] = soak->spare_relays[index];
	soak->spare_relays[index] = relay;
	worker->told_port = sr_relay_port(soak->worker_relays[index]);
}

static void restart_in_place(struct soak *soak)
{
	int index = soak_below(soak, soak->options.workers);
	struct site_worker *worker = nth_worker(soak, index);

	if (!worker->up || worker->draining || soak->worker_heal_us[index])
		return;
	soak->faults++;
	soak_say("restart in place", worker->id);
	soak_worker_crash(soak, worker, index);
	if (soak_chance(soak, 40))
		move_worker(soak, worker, index);
	if (soak_chance(soak, 40))
		site_worker_restart_at(
			worker, worker->born_ms - 1 -
					soak_below(soak, BORN_BACK_MAX_MS));
	else
		site_worker_restart(worker);
	if (soak_chance(soak, 40)) {
		sr_relay_set(soak->worker_relays[index], SR_CUT);
		soak->worker_heal_us[index] = within_us(soak, CUT_MAX_MS);
	} else {
		sr_relay_set(soak->worker_relays[index], SR_OPEN);
	}
}

/* It is cut off from the store, so that its entry is that of its earlier life. */
static void restart_unseen(struct soak *soak)
{
	int index = soak_below(soak, soak->options.workers);
	struct site_worker *worker = nth_worker(soak, index);

	if (!worker->up || worker->draining || soak->worker_heal_us[index])
		return;
	soak->faults++;
	soak_say("restart unseen", worker->id);
	sr_relay_set(soak->worker_relays[index], SR_REFUSED);
	worker->unlisted = true;
	site_worker_halt(worker);
	site_worker_restart(worker);
	sr_relay_set(soak->worker_relays[index], SR_OPEN);
	soak->worker_heal_us[index] = within_us(soak, UNSEEN_MAX_MS);
}

/* An entry names the address of another worker for a time. */
static void write_wrong_entry(struct soak *soak)
{
	int index = soak_below(soak, soak->options.workers);
	int other = soak_below(soak, soak->options.workers);
	struct site_worker *worker = nth_worker(soak, index);

	if (index == other || soak->worker_heal_us[index])
		return;
	soak->faults++;
	soak_say("wrong entry", worker->id);
	worker->told_port = sr_relay_port(soak->worker_relays[other]);
	soak->worker_heal_us[index] = within_us(soak, WRONG_ENTRY_MAX_MS);
}

/* Pauses one host for short times, the leader more often than others. */
static void pause_host(struct soak *soak)
{
	struct soak_host *host;

	if (soak->pauses_left == 0 && soak_below(soak, 1000) < 6) {
		host = soak_leading_host(soak);
		if (!host || soak_chance(soak, 20))
			host = &soak->hosts[soak_below(soak,
						       soak->options.hosts)];
		soak->paused = host;
		soak->pauses_left = PAUSES;
	}
	host = soak->paused;
	if (soak->pauses_left == 0 || !soak_host_runs(host) || host->kill_us ||
	    host->frozen)
		return;
	soak->pauses_left--;
	soak_host_freeze(soak, host);
	host->thaw_us = within_us(soak, PAUSE_MAX_MS);
}

/* Often the leader, whose next process may lead before it has gone. */
static void replace_host(struct soak *soak)
{
	struct soak_host *host = soak_leading_host(soak);

	if (!host || soak_chance(soak, 30))
		host = &soak->hosts[soak_below(soak, soak->options.hosts)];
	if (!soak_host_runs(host) || host->kill_us || host->frozen ||
	    host->overlaps)
		return;
	soak->faults++;
	soak_say("replace", host->name);
	soak_host_replace(soak, host);
	/* The process before it stands still before it can stop. */
	if (soak_chance(soak, 30))
		soak_host_freeze(soak, host);
}

void soak_lives_step(struct soak *soak)
{
	if (soak_below(soak, 1000) < 20)
		restart_in_place(soak);
	if (soak_below(soak, 1000) < 80)
		restart_unseen(soak);
	if (soak_below(soak, 1000) < 10)
		write_wrong_entry(soak);
	if (soak_below(soak, 1000) < 4)
		replace_host(soak);
	pause_host(soak);
}
