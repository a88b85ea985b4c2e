#ifndef FLEET_SPECULATE_H
#define FLEET_SPECULATE_H

#include "fleet/fleet.h"

/*
 * Second runs of slow tasks. It answers single slow workers while the pool has
 * room to spare; a pool that is full of waiting work gets none.
 */

/* Whether a copy of the run would most likely end well before it. */
bool speculate_wanted(const struct fleet *fleet, const struct task *task,
		      int64_t now_us);

#endif
