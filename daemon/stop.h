#ifndef DAEMON_STOP_H
#define DAEMON_STOP_H

#include "base/set.h"
#include "wire/hs_stop.h"

/* Times of a graceful stop of the entry host, from its settings. */
struct hs_stop_times stop_times(const struct set *set);
/*
 * Time from the beginning of a stop until the services answer what they hold.
 * It is before answer_ms, at which the servers answer what is left.
 */
int64_t stop_services_us(const struct set *set);

#endif
