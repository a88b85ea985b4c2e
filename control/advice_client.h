#ifndef CONTROL_ADVICE_CLIENT_H
#define CONTROL_ADVICE_CLIENT_H

#include <glib.h>

#include "base/kn.h"

/* Client of the advice service, which grants workers to the steps of jobs. */

/* A worker that the step may run on, and the ticket for its start order. */
struct advice_grant {
	const char *worker;
	const char *ticket;
};

struct advice_call {
	void (*done)(struct advice_call *call);
	void *user;
	void *impl;
	int result; /* CB_OK, or the reason why there is no answer */
	/* Valid until done() returns. */
	struct advice_grant *grants;
	size_t ngrants;
	int64_t valid_ms; /* validity of the tickets, from request() on */
};

struct advice_client;

struct advice_client_ops {
	/* done() is called once, after request() has returned. */
	void (*request)(struct advice_client *client, struct advice_call *call,
			const char *step, const char *const *workers,
			size_t nworkers);
	void (*cancel)(struct advice_client *client, struct advice_call *call);
	void (*finish)(struct advice_client *client);
};

struct advice_client {
	const struct advice_client_ops *ops;
	struct kn *kn;
};

#endif
