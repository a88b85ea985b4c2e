#ifndef FLEET_UPKEEP_H
#define FLEET_UPKEEP_H

#include "fleet/fleet.h"

/*
 * Planned maintenance (upkeep) under load. Each host of a wave has to be taken
 * down once, all within a time limit and at most cap at the same time. Hosts
 * are drained of tasks first, as far as the time limit allows. No worker is
 * kept from work without end: a host whose tasks may never be stopped isn't
 * drained before they have ended, and one that drains still takes what finds no
 * room elsewhere.
 */

/* A host of workers, as the platform lists it. */
struct machine {
	char *name;
	char *pool;
	char *worker; /* id of the worker on the host, or NULL */
	char *dc; /* or NULL */
	char **labels; /* NULL-terminated, or NULL */
	bool up;
	bool changing; /* being moved to another pool, or in upkeep */
	bool in_upkeep;
	struct room room; /* all 0 if the list does not give it */
};

/* GDestroyNotify for arrays of struct machine. */
void machine_free(void *machine);

enum upkeep_state {
	UPKEEP_WAITING,
	UPKEEP_DRAINING, /* the worker gets tasks only if no other has room */
	UPKEEP_ORDERED, /* the order to take it down was sent */
	UPKEEP_DONE,
};

struct upkeep_host {
	char *name;
	char *worker; /* id of the worker that the list named last, or NULL */
	enum upkeep_state state;
	bool down; /* seen down since the order */
	int64_t ordered_us;
	/* The platform has accepted the order, or lists the host as in upkeep. */
	bool begun;
	bool repeat; /* no answer and no effect: order again */
	int64_t retry_us; /* after a refusal: next order not before */
	int64_t drain_started_us; /* when its tasks were stopped, 0: not yet */
	/* Since when a task on it could not be stopped when its turn came. */
	int64_t held_us;
	int64_t missing_us; /* in no list since then, 0: it is listed */
	bool blocked; /* by a task that may never be stopped */
	/* Incarnation of the worker when ordered, 0: there was none. */
	int64_t born_ms;
};

struct wave {
	struct list_head node;
	int64_t number;
	GPtrArray *hosts; /* struct upkeep_host */
	int64_t within_ms;
	int cap;
	int64_t announced_us; /* when this leader first read it */
	bool done;
	int64_t status_revision; /* of the stored status, 0: none */
	bool running_reported; /* status published for the operators */
	bool done_reported;
};

struct wave *wave_new(int64_t number, char **hosts, int64_t within_ms, int cap,
		      int64_t now_us);
void wave_free(struct wave *wave);
/* A new leader begins with all hosts of the wave again. */
void wave_restart(struct wave *wave);
/* Clears worker.upkeep of all workers, before the waves are updated. */
void upkeep_clear(struct fleet *fleet);
/*
 * Updates the states of all hosts of the wave from the latest list of struct
 * machine, and sets worker.upkeep of their workers.
 */
void upkeep_update(struct fleet *fleet, struct wave *wave,
		   const GPtrArray *machines, int64_t now_us);
/* Returns the host to be taken down now, NULL for none. */
struct upkeep_host *upkeep_next(struct fleet *fleet, struct wave *wave,
				const GPtrArray *machines, int64_t now_us);
void upkeep_ordered(struct upkeep_host *host, int64_t born_ms, int64_t now_us);
/* The platform refused the order and did nothing. */
void upkeep_refused(struct upkeep_host *host, int64_t now_us);
/* Returns NULL if the host is not in the list. */
const struct machine *upkeep_find_machine(const GPtrArray *machines,
					  const char *name);
struct worker *upkeep_find_worker(const struct fleet *fleet,
				  const GPtrArray *machines, const char *host);

#endif
