#include "fleet/upkeep.h"

#include <string.h>

#include "fleet/evict.h"
#include "fleet/fleet_int.h"

/* Number of hosts drained in advance, beyond those that may be down. */
#define UPKEEP_DRAIN_AHEAD 1
/* A host that has not been seen down and up again by then is ordered again. */
#define UPKEEP_REPEAT_MS 8000
/* By then an accepted order shows in the list and the host is up again. */
#define UPKEEP_EFFECT_MS 5000
/* By then stopped tasks have ended, or their worker is unreachable. */
#define UPKEEP_STOP_MS 2000
/* A host that was emptied gets work again if it isn't ordered by then, as when
 * too many others are down. */
#define UPKEEP_EMPTY_MAX_MS 5000
/* A host with a task that can't be stopped now, as its step is short of tasks,
 * lets others go first after this time, and for as long. */
#define UPKEEP_HELD_MAX_MS 10000
/* A host that no list has had for so long was removed: several lists. */
#define UPKEEP_MISSING_MS 3000
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
	g_strfreev(machine->labels);
	g_free(machine);
}

static void host_free(void *data)
{
	struct upkeep_host *host = data;

	g_free(host->name);
	g_free(host->worker);
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

void wave_restart(struct wave *wave)
{
	guint i;

	for (i = 0; i < wave->hosts->len; i++) {
		struct upkeep_host *host = g_ptr_array_index(wave->hosts, i);

		host->state = UPKEEP_WAITING;
		host->down = false;
		host->blocked = false;
		host->retry_us = 0;
		host->drain_started_us = 0;
		host->held_us = 0;
	}
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
 * Updates an ordered host from the list. Its upkeep is over once it has begun
 * and the host is up after having been down. A restart of its worker proves
 * neither: it may be a crash, before or after the order.
 */
static void update_host(struct upkeep_host *host, const struct machine *machine,
			int64_t now_us)
{
	int64_t since_ms = (now_us - host->ordered_us) / 1000;

	if (host->state != UPKEEP_ORDERED || !machine)
		return;
	host->begun |= machine->in_upkeep;
	if (!machine->up) {
		host->down = true;
		return;
	}
	/* Accepted without visible effect: it was carried out before. */
	if (host->begun && (host->down || since_ms > UPKEEP_EFFECT_MS)) {
		host->state = UPKEEP_DONE;
		host->down = false;
	} else if (since_ms > UPKEEP_REPEAT_MS) {
		host->repeat = true;
	}
}

void upkeep_clear(struct fleet *fleet)
{
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node)
		worker->upkeep = WORKER_STAYS;
}

/* The list names no worker for a host that is down: the last one counts. */
static struct worker *note_worker(const struct fleet *fleet,
				  struct upkeep_host *host,
				  const struct machine *machine)
{
	if (machine && machine->worker &&
	    g_strcmp0(machine->worker, host->worker) != 0) {
		g_free(host->worker);
		host->worker = g_strdup(machine->worker);
	}
	return host->worker ?
		       g_hash_table_lookup(fleet->workers_by_id, host->worker) :
		       NULL;
}

/* A run on the worker that may never be stopped, or NULL. */
static const struct task *forbidden_task(const struct worker *worker)
{
	const struct task *task;

	if (!worker)
		return NULL;
	list_for_each_entry(task, &worker->tasks, on_worker)
		if (task->phase != TASK_STOPPING && evict_forbidden(task))
			return task;
	return NULL;
}

/* Takes the host's turn to be drained away from it. */
static void end_turn(struct upkeep_host *host)
{
	host->state = UPKEEP_WAITING;
	host->drain_started_us = 0;
	host->held_us = 0;
}

/*
 * Drains a host that is to be taken down if there is a turn left. A host with a
 * task that may never be stopped takes none: nothing says when that task ends,
 * so that its room would be kept from other work, and the turn from other hosts.
 */
static void update_turn(struct fleet *fleet, struct upkeep_host *host,
			const struct worker *worker, bool turn_left,
			int64_t now_us)
{
	const struct task *task = forbidden_task(worker);

	if (task && !host->blocked)
		fleet_note(fleet, "upkeep.blocked", task->stage->job, task,
			   host->name);
	host->blocked = task != NULL;
	if (host->blocked) {
		end_turn(host);
	} else if (host->held_us != 0 &&
		   now_us - host->held_us > UPKEEP_HELD_MAX_MS * 1000) {
		end_turn(host);
		host->retry_us = now_us + UPKEEP_HELD_MAX_MS * 1000;
	} else if (turn_left && host->retry_us <= now_us) {
		host->state = UPKEEP_DRAINING;
	}
	if (now_us - host->drain_started_us > UPKEEP_EMPTY_MAX_MS * 1000)
		host->drain_started_us = 0;
}

static enum worker_upkeep worker_upkeep(const struct upkeep_host *host,
					const struct worker *worker)
{
	switch (host->state) {
	case UPKEEP_DRAINING:
		return host->drain_started_us ? WORKER_CLOSED : WORKER_DRAINS;
	case UPKEEP_ORDERED:
		/* It has been down, and its worker has started again. */
		if (host->begun && host->down &&
		    worker->reported.born_ms != host->born_ms)
			return WORKER_STAYS;
		return WORKER_CLOSED;
	default:
		return WORKER_STAYS;
	}
}

/* Whether the list lacks the host: it was removed, or missed between pages. */
static bool is_missing(const GPtrArray *machines, const struct machine *machine)
{
	return !machine && machines->len > 0;
}

static bool is_missing_for_long(struct upkeep_host *host, int64_t now_us)
{
	if (host->missing_us == 0)
		host->missing_us = now_us;
	return now_us - host->missing_us > UPKEEP_MISSING_MS * 1000;
}

/*
 * A host that is missing holds the wave up until it is missing for long, takes
 * no turn, and goes on when it is listed again.
 */
void upkeep_update(struct fleet *fleet, struct wave *wave,
		   const GPtrArray *machines, int64_t now_us)
{
	int draining = 0;
	guint i;

	wave->done = true;
	for (i = 0; i < wave->hosts->len; i++) {
		struct upkeep_host *host = g_ptr_array_index(wave->hosts, i);
		const struct machine *machine =
			upkeep_find_machine(machines, host->name);
		struct worker *worker = note_worker(fleet, host, machine);

		update_host(host, machine, now_us);
		if (is_missing(machines, machine)) {
			wave->done &= is_missing_for_long(host, now_us);
			continue;
		}
		host->missing_us = 0;
		wave->done &= host->state == UPKEEP_DONE;
		if (host->state == UPKEEP_WAITING ||
		    host->state == UPKEEP_DRAINING)
			update_turn(fleet, host, worker,
				    draining < wave->cap + UPKEEP_DRAIN_AHEAD,
				    now_us);
		draining += host->state == UPKEEP_DRAINING ||
			    host->state == UPKEEP_ORDERED;
		if (worker)
			worker->upkeep = MAX(worker->upkeep,
					     worker_upkeep(host, worker));
	}
}

/*
 * Number of hosts that are or may be down: those with an order, answered or
 * not, and those that the list shows as down, for example because an earlier
 * leader ordered it. Those that are missing don't count.
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

		if (is_missing(machines, machine))
			continue;
		down += host->state == UPKEEP_ORDERED ||
			(host->state != UPKEEP_DONE && machine && !machine->up);
	}
	return down;
}

/* Whether the unfinished hosts need all the time that is left. */
static bool is_behind_schedule(const struct wave *wave,
			       const GPtrArray *machines, int64_t now_us)
{
	int64_t left_ms =
		wave->within_ms - (now_us - wave->announced_us) / 1000;
	int64_t open = 0;
	guint i;

	for (i = 0; i < wave->hosts->len; i++) {
		const struct upkeep_host *host =
			g_ptr_array_index(wave->hosts, i);

		open += host->state != UPKEEP_DONE && !host->blocked &&
			upkeep_find_machine(machines, host->name);
	}
	return (double)left_ms < (double)(open * UPKEEP_HOST_MS) / wave->cap *
					 (1.0 + UPKEEP_RETRY_MARGIN);
}

/* Whether a run that goes on there may not be stopped now. */
static bool has_held_task(const struct worker *worker)
{
	const struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (task->phase != TASK_STOPPING && !evict_allowed(task))
			return true;
	return false;
}

/*
 * Stops the tasks that may be interrupted, so that they write checkpoints: those
 * that last one after the other, as their steps allow, and the others when all
 * may be stopped, as the host can't be taken down before. Returns whether it
 * can: no task is left, or only tasks that did not end within UPKEEP_STOP_MS.
 */
static bool drain_host(struct fleet *fleet, struct upkeep_host *host,
		       struct worker *worker, int64_t now_us)
{
	bool held = has_held_task(worker);
	struct task *task, *next;

	list_for_each_entry_safe(task, next, &worker->tasks, on_worker) {
		if ((task->phase != TASK_STARTING &&
		     task->phase != TASK_RUNNING) ||
		    !evict_allowed(task) ||
		    (held && !task->stage->spec->long_running))
			continue;
		fleet_stop(fleet, task, "host drained for upkeep");
		next = list_first_entry(&worker->tasks, struct task, on_worker);
	}
	if (held || has_held_task(worker)) {
		host->held_us = host->held_us ? host->held_us : now_us;
		host->drain_started_us = 0;
		return false;
	}
	host->held_us = 0;
	if (host->drain_started_us == 0)
		host->drain_started_us = now_us;
	return worker->task_count == 0 ||
	       now_us - host->drain_started_us > UPKEEP_STOP_MS * 1000;
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
	bool behind = is_behind_schedule(wave, machines, now_us);
	int slots = wave->cap - count_down(wave, machines);
	guint i;

	if (repeated)
		return repeated;
	for (i = 0; slots > 0 && i < wave->hosts->len; i++) {
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
		/* No more hosts are emptied than may be taken down. */
		slots -= host->drain_started_us != 0;
	}
	return NULL;
}

void upkeep_ordered(struct upkeep_host *host, int64_t born_ms, int64_t now_us)
{
	host->state = UPKEEP_ORDERED;
	host->ordered_us = now_us;
	host->born_ms = born_ms;
	host->down = false;
	host->begun = false;
	host->repeat = false;
}

void upkeep_refused(struct upkeep_host *host, int64_t now_us)
{
	host->state = UPKEEP_DRAINING;
	host->drain_started_us = 0;
	host->retry_us = now_us + UPKEEP_RETRY_MS * 1000;
}
