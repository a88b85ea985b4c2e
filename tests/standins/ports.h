#ifndef STANDINS_PORTS_H
#define STANDINS_PORTS_H

/*
 * Ports of 127.0.0.1 for programs under test. They stay reserved until this
 * process ends: no other socket is given one of them, except one that asks for
 * it with SO_REUSEADDR, as servers do.
 */

/* Reserves a port. Returns 0 when none is left. */
int ports_reserve(void);
/* Reserves count ports in a row; returns the first, 0 when there are none. */
int ports_reserve_row(int count);

#endif
