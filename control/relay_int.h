#ifndef CONTROL_RELAY_INT_H
#define CONTROL_RELAY_INT_H

#include "control/relay.h"

/* Shared by relay.c (calls), relay_peers.c and relay_ask.c (questions). */

/* What hosts say to each other; the first element of each request. */
enum relay_verb { RELAY_STORE_CALL, RELAY_STAND_DOWN };

/* Freed when no call uses it any more. */
void relay_drop_peer(struct relay *relay, struct relay_peer *peer);

#endif
