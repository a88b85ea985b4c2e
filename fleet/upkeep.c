#include "fleet/upkeep.h"

#include <string.h>

#include "fleet/evict.h"

/* Number of hosts drained in advance, beyond those that may be down. */
#define UPKEEP_DRAIN_AHEAD 1
/* A host that has not been seen down and up again by then is ordered again. */
#define UPKEEP_REPEAT_MS 8000
/* By then an accepted order shows in the list and the host is up again. */
#define UPKEEP_EFFECT_MS 5000
/* By then stopped tasks have ended, or their worker is unreachable. */
#define UPKEEP_STOP_MS 2000
/* Time per host: stopping its tasks, down, up, and the lists that show it. */
#define UPKEEP_HOST_MS 4000
/* Wait after a refusal, which means that the host or the service is busy. */
#define UPKEEP_RETRY_MS 500
/* Additional share of the time for orders that have to be repeated. */
#define UPKEEP_RETRY_MARGIN 0.2

void machine_free(void *data)
{
	struct machine *machine = data;

	g_free(machine->name);
	g_free(machine->pool);
	g_free(machine->worker);
	g_free(machine->dc);
	g_free(machine);
}

static void host_free(void *data)
{
	struct upkeep_host *host = data;

	g_free(host->name);
	g_free(host);
}

struct wave *wave_new(int64_t number, char **hosts, int64_t within_ms, int cap,
		      int64_t now_us)
{
	struct wave *wave = g_new0(struct wave, 1);

	list_init(&wave->node);
	wave->number = number;
	wave->within_ms = within_ms;
	wave->cap = MAX(cap, 1);
	wave->announced_us = now_us;
	wave->hosts = g_ptr_array_new_with_free_func(host_free);
	for (; *hosts; hosts++) {
		struct upkeep_host *host = g_new0(struct upkeep_host, 1);

		host->name = g_strdup(*hosts);
		g_ptr_array_add(wave->hosts, host);
	}
	return wave;
}

void wave_free(struct wave *wave)
{
	list_del(&wave->node);
	g_ptr_array_unref(wave->hosts);
	g_free(wave);
}

const struct machine *upkeep_find_machine(const GPtrArray *machines,
					  const char *name)
{
	guint i;

	for (i = 0; i < machines->len; i++) {
		const struct machine *machine = g_ptr_array_index(machines, i);

		if (strcmp(machine->name, name) == 0)
			return machine;
	}
	return NULL;
}

struct worker *upkeep_find_worker(const struct fleet *fleet,
				  const GPtrArray *machines, const char *host)
{
	const struct machine *machine = upkeep_find_machine(machines, host);

	if (!machine || !machine->worker)
		return NULL;
	return g_hash_table_lookup(fleet->workers_by_id, machine->worker);
}

/*
 * Updates an ordered host from the list. Its upkeep is over once it is up after
 * having been down, or its worker has restarted.
 */
static void update_host(struct fleet *fleet, struct upkeep_host *host,
			const GPtrArray *machines, int64_t now_us)
{
	const struct machine *machine =
		upkeep_find_machine(machines, host->name);
	const struct worker *worker;

	if (host->state != UPKEEP_ORDERED)
		return;
	if (!machine) {
		/* The host was removed: nothing is left to do. */
		host->state = UPKEEP_DONE;
		host->down = false;
		return;
	}
	if (!machine->up) {
		host->down = true;
		return;
	}
	worker = upkeep_find_worker(fleet, machines, host->name);
	/* Accepted without visible effect: it was carried out before. */
	if (host->down ||
	    (worker && worker->reported.born_ms != host->born_ms) ||
	    (host->accepted &&
	     now_us - host->ordered_us > UPKEEP_EFFECT_MS * 1000)) {
		host->state = UPKEEP_DONE;
		host->down = false;
	} else if (now_us - host->ordered_us > UPKEEP_REPEAT_MS * 1000) {
		host->repeat = true;
	}
}

void upkeep_update(struct fleet *fleet, struct wave *wave,
		   const GPtrArray *machines, int64_t now_us)
{
	int draining = 0;
	guint i;

	wave->done = true;
	for (i = 0; i < wave->hosts->len; i++) {
		struct upkeep_host *host = g_ptr_array_index(wave->hosts, i);
		struct worker *worker;

		update_host(fleet, host, machines, now_us);
		if (host->state != UPKEEP_DONE && machines->len > 0 &&
		    !upkeep_find_machine(machines, host->name))
			host->state = UPKEEP_DONE;
		wave->done &= host->state == UPKEEP_DONE;
		worker = upkeep_find_worker(fleet, machines, host->name);
		if (host->state == UPKEEP_WAITING &&
		    draining < wave->cap + UPKEEP_DRAIN_AHEAD)
			host->state = UPKEEP_DRAINING;
		draining += host->state == UPKEEP_DRAINING ||
			    host->state == UPKEEP_ORDERED;
		if (worker)
			worker->cordoned = host->state == UPKEEP_DRAINING ||
					   host->state == UPKEEP_ORDERED;
	}
}

/*
 * Number of hosts that are or may be down: those with an order, answered or
 * not, and those that the list shows as down, for example because an earlier
 * leader ordered it.
 */
static int count_down(const struct wave *wave, const GPtrArray *machines)
{
	int down = 0;
	guint i;

	for (i = 0; i < wave->hosts->len; i++) {
		const struct upkeep_host *host =
			g_ptr_array_index(wave->hosts, i);

		const struct machine *machine =
			upkeep_find_machine(machines, host->name);

		down += host->state == UPKEEP_ORDERED ||
			(host->state != UPKEEP_DONE && machine && !machine->up);
	}
	return down;
}

/* Whether the unfinished hosts need all the time that is left. */
static bool is_behind_schedule(const struct wave *wave, int64_t now_us)
{
	int64_t left_ms =
		wave->within_ms - (now_us - wave->announced_us) / 1000;
	int64_t open = 0;
	guint i;

	for (i = 0; i < wave->hosts->len; i++) {
		const struct upkeep_host *host =
			g_ptr_array_index(wave->hosts, i);

		open += host->state != UPKEEP_DONE;
	}
	return (double)left_ms < (double)(open * UPKEEP_HOST_MS) / wave->cap *
					 (1.0 + UPKEEP_RETRY_MARGIN);
}

/*
 * Stops the tasks that may be interrupted, so that they write checkpoints.
 * Returns whether the host can be taken down: no task is left, or only tasks
 * that did not end within UPKEEP_STOP_MS.
 */
static bool drain_host(struct fleet *fleet, struct upkeep_host *host,
		       struct worker *worker, int64_t now_us)
{
	struct task *task, *next;
	bool must_wait = false;

	if (host->drain_started_us == 0)
		host->drain_started_us = now_us;
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker) {
		if (!evict_allowed(task)) {
			must_wait = true;
			continue;
		}
		if (task->phase != TASK_STARTING && task->phase != TASK_RUNNING)
			continue;
		fleet_stop(fleet, task, "host drained for upkeep");
		next = list_first_entry(&worker->tasks, struct task, on_worker);
	}
	return worker->task_count == 0 ||
	       (!must_wait &&
		now_us - host->drain_started_us > UPKEEP_STOP_MS * 1000);
}

/* A host whose order got no answer and had no visible effect, or NULL. */
static struct upkeep_host *find_unanswered_host(const struct wave *wave,
						const GPtrArray *machines)
{
	guint i;

	for (i = 0; i < wave->hosts->len; i++) {
		struct upkeep_host *host = g_ptr_array_index(wave->hosts, i);
		const struct machine *machine =
			upkeep_find_machine(machines, host->name);

		if (host->state == UPKEEP_ORDERED && host->repeat && machine &&
		    machine->up)
			return host;
	}
	return NULL;
}

struct upkeep_host *upkeep_next(struct fleet *fleet, struct wave *wave,
				const GPtrArray *machines, int64_t now_us)
{
	struct upkeep_host *repeated = find_unanswered_host(wave, machines);
	bool behind = is_behind_schedule(wave, now_us);
	guint i;

	if (repeated)
		return repeated;
	if (count_down(wave, machines) >= wave->cap)
		return NULL;
	for (i = 0; i < wave->hosts->len; i++) {
		struct upkeep_host *host = g_ptr_array_index(wave->hosts, i);
		const struct machine *machine =
			upkeep_find_machine(machines, host->name);
		struct worker *worker;

		if (host->state != UPKEEP_DRAINING || !machine ||
		    !machine->up || host->retry_us > now_us)
			continue;
		worker = upkeep_find_worker(fleet, machines, host->name);
		if (!worker || worker->task_count == 0 ||
		    (behind && drain_host(fleet, host, worker, now_us)))
			return host;
	}
	return NULL;
}

void upkeep_ordered(struct upkeep_host *host, int64_t born_ms, int64_t now_us)
{
	host->state = UPKEEP_ORDERED;
	host->ordered_us = now_us;
	host->born_ms = born_ms;
	host->down = false;
	host->accepted = false;
	host->repeat = false;
}

void upkeep_refused(struct upkeep_host *host, int64_t now_us)
{
	host->state = UPKEEP_DRAINING;
	host->retry_us = now_us + UPKEEP_RETRY_MS * 1000;
}
