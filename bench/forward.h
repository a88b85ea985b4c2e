#ifndef BENCH_FORWARD_H
#define BENCH_FORWARD_H

#include <glib.h>

/*
 * A trivial forwarder: hs to hc, first come first served. It shows what the
 * HTTP layer alone costs; it is not the gateway.
 */
int forward_main(int port, const char *to_addr, int to_port, unsigned int conns,
		 GError **err);

#endif
