#ifndef FLEET_PLAN_H
#define FLEET_PLAN_H

#include "fleet/fleet.h"

/*
 * Makes one planning pass over the queued jobs: chooses workers for the tasks
 * that can start now, and stops runs that have to make room for others.
 * Returns the number of runs that were planned.
 */
int plan_pass(struct fleet *fleet, int64_t now_us);

#endif
