#ifndef CONTROL_OVERVIEW_H
#define CONTROL_OVERVIEW_H

#include <jansson.h>

#include "control/director.h"

/*
 * What one entry host knows now, for operators: who leads under which fence,
 * the version of the configuration, the way to the store and, at the leader,
 * workers and the queue. Times are in milliseconds before now.
 */
json_t *overview(const struct director *director, int64_t now_us);

#endif
