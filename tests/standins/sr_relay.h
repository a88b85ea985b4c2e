#ifndef STANDINS_SR_RELAY_H
#define STANDINS_SR_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#define SR_RELAYS_MAX 1024

enum sr_relay_state {
	SR_OPEN,
	SR_CUT, /* accepts and carries nothing, like a partition */
	SR_REFUSED, /* resets connections and accepts none */
	SR_ONE_WAY, /* what the target sends is lost */
	SR_SLOW, /* bytes arrive SR_SLOW_MS later, either way */
};

#define SR_SLOW_MS 150

/*
 * TCP relays on 127.0.0.1, served by one thread. Each listens on a port and
 * connects to a target port for each connection.
 */
void sr_relay_start(void);
void sr_relay_stop(void);
/* Returns an id, -1 on failure. port 0 takes any free one. */
int sr_relay_new(int port, int target_port);
int sr_relay_port(int id);
void sr_relay_set(int id, enum sr_relay_state state);
/* The connections that are open carry nothing any more; new ones do. */
void sr_relay_silence(int id);
/* Bytes carried so far in both directions. */
int64_t sr_relay_bytes(int id);
/* A TCP socket that listens on 127.0.0.1, -1 on failure. */
int sr_listen(int *port);

#endif
