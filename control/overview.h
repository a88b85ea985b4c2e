#ifndef CONTROL_OVERVIEW_H
#define CONTROL_OVERVIEW_H

#include <jansson.h>

#include "control/director.h"

/*
 * Status of one entry host for operators, as JSON: the leader and its fencing
 * token, the version of the configuration, the route to the store and, at the
 * leader, workers and jobs. Times are ages in milliseconds, -1 for never.
 */
json_t *overview(const struct director *director, int64_t now_us);

#endif
