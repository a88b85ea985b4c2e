#ifndef CONTROL_MACHINE_CLIENT_H
#define CONTROL_MACHINE_CLIENT_H

#include "base/kn.h"
#include "fleet/upkeep.h"

/* Client of the platform's service for the hosts of workers. */

struct machine_call {
	void (*done)(struct machine_call *call);
	void *user;
	void *impl;
	/*
	 * CB_OK; CB_E_CONFLICT: refused, may be retried later; any other: it is
	 * not known whether the order was carried out.
	 */
	int result;
	/* Answer to list(): struct machine; the receiver of done() frees it. */
	GPtrArray *machines;
};

struct machine_client;

struct machine_client_ops {
	/*
	 * Reads all pages of the list of hosts. done() is called after list()
	 * has returned.
	 */
	void (*list)(struct machine_client *client, struct machine_call *call);
	/* Takes a host down for a wave of upkeep. */
	void (*upkeep)(struct machine_client *client, struct machine_call *call,
		       const char *host, int64_t wave, int64_t fence);
	/*
	 * Moves a host to another pool. All tasks on the host end; it comes up
	 * again in that pool.
	 */
	void (*move)(struct machine_client *client, struct machine_call *call,
		     const char *host, const char *pool, int64_t fence);
	void (*cancel)(struct machine_client *client,
		       struct machine_call *call);
	void (*finish)(struct machine_client *client);
};

struct machine_client {
	const struct machine_client_ops *ops;
	struct kn *kn;
};

#endif
