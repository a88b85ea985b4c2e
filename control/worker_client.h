#ifndef CONTROL_WORKER_CLIENT_H
#define CONTROL_WORKER_CLIENT_H

#include "base/kn.h"
#include "fleet/fleet.h"

/*
 * Orders to workers, behind a vtable so that they can go out from another
 * host of the worker's data centre later. Not a task: its owner is called
 * back on the same thread.
 */

enum order_kind { ORDER_START, ORDER_STOP, ORDER_HOLD, ORDER_PACE };

struct order {
	enum order_kind kind;
	const char *addr;
	int port;
	const char *worker; /* id; another worker at the address refuses */
	int64_t fence;
	int64_t timeout_ms;
	/* Start, stop, pace. */
	const char *task;
	int64_t run;
	/* Start. */
	const char *payload;
	const char *checkpoint; /* NULL: from the beginning */
	const char *ticket; /* NULL: none is needed */
	/* Start, hold: time on the worker's clock; hold: 0 extends nothing. */
	int64_t lease_until_ms;
	/* Hold. */
	int64_t acked_end; /* ends up to this number may be forgotten */
	int64_t wait_ms;
	/* Pace. */
	int percent;
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_REFUSED, /* nothing was done, see refusal */
	ORDER_OTHER_INCARNATION, /* another worker has the address */
	ORDER_NOT_SENT, /* no connection: nothing was done */
	ORDER_UNKNOWN, /* no answer: it may be carried out yet */
};

struct order_call {
	struct list_head node; /* for the owner */
	void *user; /* for the owner */
	void (*done)(struct order_call *call);
	void *impl; /* private to the implementation */
	enum order_result result;
	enum start_refusal refusal;
	bool connection_refused; /* not sent: the connection was refused */
	bool has_clock;
	int64_t clock_ms; /* the worker's clock when it answered */
	int64_t born_ms; /* the life that answered, 0: not said */
	/* Hold; valid until done() returns. */
	struct hold_report report;
};

struct worker_client;

struct worker_client_ops {
	/* done() is called once, never from within. order is borrowed. */
	void (*start)(struct worker_client *client, struct order_call *call,
		      const struct order *order);
	/* Drops a call; the worker may still carry the order out. */
	void (*cancel)(struct worker_client *client, struct order_call *call);
	/* Closes idle connections to workers that were not used lately. */
	void (*trim)(struct worker_client *client);
	void (*finish)(struct worker_client *client);
};

struct worker_client {
	const struct worker_client_ops *ops;
	struct kn *kn;
};

#endif
