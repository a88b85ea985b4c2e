#ifndef FLEET_ORPHAN_H
#define FLEET_ORPHAN_H

#include "fleet/fleet.h"

/*
 * A run at a worker that no task holds: it was released although it goes on, or
 * a later run has taken its place. It is stopped, and holds room until it is
 * gone.
 */
struct orphan {
	struct list_head node; /* in worker.orphans */
	struct worker *worker;
	char *task; /* name */
	int64_t run;
	struct room room;
	bool calling; /* a stop is pending */
	int64_t retry_us; /* no stop is sent before that */
	int64_t answered_us; /* when a stop was answered, 0: never */
};

struct orphan *orphan_find(const struct worker *worker, const char *task,
			   int64_t run);
/* Adds the run unless it is there. */
void orphan_add(struct worker *worker, const char *task, int64_t run,
		const struct room *room);
void orphan_free(struct orphan *orphan);
/* Drops those that have ended or that a report leaves out. */
void orphans_update(const struct fleet *fleet, struct worker *worker,
		    const struct hold_report *report, int64_t sent_us);
void orphans_free(struct worker *worker);

#endif
