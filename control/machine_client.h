#ifndef CONTROL_MACHINE_CLIENT_H
#define CONTROL_MACHINE_CLIENT_H

#include "base/kn.h"
#include "fleet/upkeep.h"

/* The platform's list of the hosts of workers, and orders for them. */

struct machine_call {
	void (*done)(struct machine_call *call);
	void *user;
	void *impl;
	/* CB_OK; CB_E_CONFLICT: refused for now; others: unknown. */
	int result;
	GPtrArray *machines; /* of a list: struct machine; taken by the owner */
};

struct machine_client;

struct machine_client_ops {
	/* The whole list, over all pages. done() is never called within. */
	void (*list)(struct machine_client *client, struct machine_call *call);
	void (*upkeep)(struct machine_client *client, struct machine_call *call,
		       const char *host, int64_t wave, int64_t fence);
	/* Ends all that runs on the host; it comes up in the other pool. */
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
