#ifndef FLEET_PLAN_H
#define FLEET_PLAN_H

#include "fleet/fleet.h"

/*
 * One pass over the queue: chooses workers for what can start now, and stops
 * what has to make room. Returns the number of runs that were planned.
 */
int plan_pass(struct fleet *fleet, int64_t now_us);

#endif
