#ifndef FLEET_SPECULATE_H
#define FLEET_SPECULATE_H

#include "fleet/fleet.h"

/*
 * Speculative execution: a second run of a slow task, in case its worker is
 * slow. Copies only get resources that no waiting task can use.
 */

/* Whether a copy of the run would probably finish well before the run. */
bool speculate_wanted(const struct fleet *fleet, const struct task *task,
		      int64_t now_us);

#endif
