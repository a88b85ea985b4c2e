#ifndef FLEET_UPKEEP_H
#define FLEET_UPKEEP_H

#include "fleet/fleet.h"

/*
 * Waves of upkeep: each host of workers in a wave has to be taken down once,
 * in time, and at most cap of them at once. It answers planned maintenance
 * under load: hosts are emptied before, as far as the time allows.
 */

/* A host of workers, as the platform's list tells it. */
struct machine {
	char *name;
	char *pool;
	char *worker; /* id of the worker that lives there, or NULL */
	bool up;
	bool changing; /* on its way to another pool, or in upkeep */
	struct room room; /* none where it is not told */
};

/* A GDestroyNotify for lists of them. */
void machine_free(void *machine);

enum upkeep_state {
	UPKEEP_WAITING,
	UPKEEP_DRAINING, /* gets no new tasks */
	UPKEEP_ORDERED, /* the order is under way, or was answered */
	UPKEEP_DONE,
};

struct upkeep_host {
	char *name;
	enum upkeep_state state;
	bool down; /* taken down and not seen up since */
	int64_t ordered_us;
	bool accepted; /* the order was answered so */
	bool repeat; /* it got no answer and shows no effect */
	int64_t retry_us; /* after a refusal: no order before that */
	int64_t drain_started_us; /* its tasks were stopped then, 0: they were not */
	int64_t born_ms; /* life of its worker when it was ordered, 0: none */
};

struct wave {
	struct list_head node;
	int64_t number;
	GPtrArray *hosts; /* struct upkeep_host */
	int64_t within_ms;
	int cap;
	int64_t announced_us; /* since when */
	bool done;
	bool running_reported; /* the operators have been told */
	bool done_reported;
};

struct wave *wave_new(int64_t number, char **hosts, int64_t within_ms, int cap,
		      int64_t now_us);
void wave_free(struct wave *wave);
/* machines: struct machine, the latest list. Sets worker.cordoned. */
void upkeep_update(struct fleet *fleet, struct wave *wave,
		   const GPtrArray *machines, int64_t now_us);
/* The host to be taken down now, NULL for none. */
struct upkeep_host *upkeep_next(struct fleet *fleet, struct wave *wave,
				const GPtrArray *machines, int64_t now_us);
void upkeep_ordered(struct upkeep_host *host, int64_t born_ms, int64_t now_us);
/* The platform refused: nothing was done. */
void upkeep_refused(struct upkeep_host *host, int64_t now_us);
/* NULL when the list does not have it. */
const struct machine *upkeep_find_machine(const GPtrArray *machines,
					  const char *name);
struct worker *upkeep_find_worker(const struct fleet *fleet,
				  const GPtrArray *machines, const char *host);

#endif
