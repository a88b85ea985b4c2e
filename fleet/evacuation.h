#ifndef FLEET_EVACUATION_H
#define FLEET_EVACUATION_H

#include "fleet/fleet.h"

/*
 * Evacuation of data centres: the operator takes the workers of a data centre
 * out of use at short notice, for example before its power is cut. The runs
 * there go on, as stopping them would discard their work, but from
 * fleet_bounds.evac_ms after the request on no run may begin there. Runs that
 * have not begun are therefore dropped, together with their gangs, while the
 * other data centres still have time to take them over.
 */

/* The data centres that are evacuated, and when each request was read. */
struct evacuation {
	GHashTable *since; /* name -> int64_t *, monotonic time */
};

void evacuation_init(struct evacuation *evacuation);
void evacuation_finish(struct evacuation *evacuation);
/* Returns false if the data centre is evacuated already. */
bool evacuation_begin(struct evacuation *evacuation, const char *dc,
		      int64_t now_us);
/* Returns false if the data centre was not evacuated. */
bool evacuation_end(struct evacuation *evacuation, const char *dc);
unsigned int evacuation_count(const struct evacuation *evacuation);
/* When the request was read, 0: the data centre is not evacuated. */
int64_t evacuation_since_us(const struct evacuation *evacuation,
			    const char *dc);

bool evacuation_in_force(const struct fleet *fleet);
/* Whether the data centre is evacuated; dc may be NULL. */
bool evacuation_of_dc(const struct fleet *fleet, const char *dc);
/* Whether the worker is in an evacuated data centre. */
bool evacuation_of_worker(const struct fleet *fleet,
			  const struct worker *worker);
/* Counts the runs at workers of the data centre that may have begun. */
int64_t evacuation_runs(const struct fleet *fleet, const char *dc);
/* The same over all evacuated data centres. */
int64_t evacuation_all_runs(const struct fleet *fleet);
/*
 * Stops the run, and its gang, if it must not begin at its evacuated worker.
 * Returns whether it did. A start without an answer is stopped after a part of
 * evac_ms; until then it must not be sent again.
 */
bool evacuation_stop(struct fleet *fleet, struct task *task, int64_t now_us);
/* Does so for the runs of all workers. */
void evacuation_pass(struct fleet *fleet, int64_t now_us);
/*
 * Reports customers whose guarantee the workers outside evacuated data centres
 * can't hold, and those whose guarantee they can hold again. The guarantees are
 * compared together: if their sum is too large, a customer that claims first
 * may leave too little for any other.
 */
void evacuation_check_guarantees(struct fleet *fleet);

#endif
