#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/sr_relay.h"

/*
 * The hosts of the workers: some are in a spare pool and are lent under load,
 * operators order waves of upkeep, and the platform's service for them fails in
 * several ways. At the end all lent hosts are at home and all waves are done.
 */

#define FAULTS_PER_1000 8 /* steps of the clock */
#define FAULT_MIN_MS 500
#define FAULT_MAX_MS 8000
#define LATE_MAX_MS 7000
#define WAVES_PER_1000 5
#define WAVE_FIRST 100000 /* odd entries have lower numbers */
#define WAVE_HOSTS_MAX 3
#define WAVE_WITHIN_S 30

static int index_of(const struct soak *soak, const struct site_worker *wanted)
{
	const struct site_worker *worker;
	int i = 0;

	list_for_each_entry(worker, &soak->fleet->workers, node) {
		if (worker == wanted)
			break;
		i++;
	}
	return i;
}

static void set_power(struct site_machine *machine, bool on, void *user)
{
	struct soak *soak = user;
	int index = index_of(soak, machine->worker);

	if (on)
		soak_worker_restart(soak, machine->worker, index);
	else
		soak_worker_crash(soak, machine->worker, index);
}

void soak_machines_start(struct soak *soak)
{
	struct site_worker *worker;
	int i = 0;

	soak->machines = site_machines_new(&soak->kn, soak->fleet);
	soak->machines->power = set_power;
	soak->machines->user = soak;
	soak->machines->may_end_work = true;
	soak->wave = WAVE_FIRST;
	list_for_each_entry(worker, &soak->fleet->workers, node)
		if (i++ >= soak->options.workers - soak->options.spares)
			site_machines_spare(soak->machines, worker);
}

bool soak_machines_off(const struct soak *soak,
		       const struct site_worker *worker)
{
	const struct site_machine *machine =
		soak->machines ? site_machines_of(soak->machines, worker) :
				 NULL;

	return machine && (machine->spare || machine->up_us != 0);
}

/* Waves. */

static bool wave_is_done(const struct soak *soak)
{
	const struct site_item *item;
	char key[40];

	snprintf(key, sizeof(key), "status/wave/%d", soak->wave);
	item = site_store_get(soak->store, key);
	return item && strstr(item->value, "done");
}

static void order_wave(struct soak *soak)
{
	GPtrArray *all = soak->machines->machines;
	int count = 1 + soak_below(soak, WAVE_HOSTS_MAX);
	int first = soak_below(soak, (int)all->len);
	GString *text = g_string_new(NULL);
	char key[40];
	int i;

	soak->wave++;
	soak->wave_open = true;
	soak->wave_cap = 1 + soak_below(soak, 2);
	soak->machines->most_down = soak->machines->down;
	g_ptr_array_set_size(soak->wave_hosts, 0);
	g_string_printf(text,
			"{\"wave\":%d,\"within_s\":%d,\"cap\":%d,"
			"\"machines\":[",
			soak->wave, WAVE_WITHIN_S, soak->wave_cap);
	for (i = 0; i < MIN(count, (int)all->len); i++) {
		struct site_machine *machine =
			g_ptr_array_index(all, (guint)(first + i) % all->len);

		g_ptr_array_add(soak->wave_hosts, machine);
		g_string_append_printf(text, "%s\"%s\"", i ? "," : "",
				       machine->name);
	}
	g_string_append(text, "]}");
	snprintf(key, sizeof(key), "op/wave/%d", soak->wave);
	soak_say("wave", key);
	site_store_put(soak->store, key, text->str);
	g_string_free(text, TRUE);
}

static void check_wave(struct soak *soak)
{
	guint i;

	if (soak->machines->most_down > soak->wave_cap && !soak->late_orders)
		soak_violated(soak, "LIMIT", "wave",
			      "more hosts were down than its cap");
	soak->machines->most_down = 0;
	if (!wave_is_done(soak))
		return;
	soak->wave_open = false;
	soak->waves++;
	for (i = 0; i < soak->wave_hosts->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(soak->wave_hosts, i);

		if (machine->wave != soak->wave)
			soak_violated(soak, "MIXED", machine->name,
				      "its wave is done without its upkeep");
	}
}

/* Faults of the service. */

static void fault_service(struct soak *soak)
{
	static const char *const names[] = { "silent", "mute", "busy", "late" };
	int n = soak_below(soak, 4);

	soak->faults++;
	soak_say(names[n], "machines");
	soak->machines->fault =
		(enum site_machines_fault)(SITE_MACHINES_SILENT + n);
	soak->machines->late_ms = 500 + soak_below(soak, LATE_MAX_MS);
	/* The rule on cap does not hold for orders that are carried out late. */
	soak->late_orders |= soak->machines->fault == SITE_MACHINES_LATE;
	soak->machines_heal_us =
		kn_now_us() +
		(FAULT_MIN_MS + soak_below(soak, FAULT_MAX_MS - FAULT_MIN_MS)) *
			USEC_PER_MSEC;
}

void soak_machines_step(struct soak *soak)
{
	if (soak->machines_heal_us && kn_now_us() > soak->machines_heal_us) {
		soak->machines_heal_us = 0;
		soak->machines->fault = SITE_MACHINES_WELL;
	}
	if (!soak->machines_heal_us && soak_below(soak, 1000) < FAULTS_PER_1000)
		fault_service(soak);
	if (soak->wave_open)
		check_wave(soak);
	else if (soak_below(soak, 1000) < WAVES_PER_1000)
		order_wave(soak);
}

void soak_machines_heal(struct soak *soak)
{
	soak->machines_heal_us = 0;
	soak->machines->fault = SITE_MACHINES_WELL;
}

static int hosts_away(const struct soak *soak)
{
	int away = soak->options.spares - soak->options.workers;
	guint i;

	for (i = 0; i < soak->machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(soak->machines->machines, i);

		away += !machine->spare;
	}
	return away;
}

void soak_machines_settle_step(struct soak *soak)
{
	if (soak->wave_open)
		check_wave(soak);
}

bool soak_machines_settled(const struct soak *soak)
{
	return !soak->wave_open && hosts_away(soak) == 0;
}

static void print_hosts(const struct soak *soak)
{
	guint i;

	for (i = 0; i < soak->machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(soak->machines->machines, i);

		printf("host=%s spare=%d moving=%d up=%d worker=%d wave=%d\n",
		       machine->name, machine->spare, machine->moving,
		       machine->up_us == 0, machine->worker->up,
		       (int)machine->wave);
	}
}

void soak_machines_check(struct soak *soak)
{
	char away[40];

	if (hosts_away(soak) > 0 || soak->wave_open)
		print_hosts(soak);
	snprintf(away, sizeof(away), "%d hosts", hosts_away(soak));
	if (hosts_away(soak) > 0)
		soak_violated(soak, "LENT", away,
			      "they are not at home after the faults");
	if (soak->wave_open)
		soak_violated(soak, "WAVE", "wave",
			      "it is not done after the faults");
}
