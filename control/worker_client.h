#ifndef CONTROL_WORKER_CLIENT_H
#define CONTROL_WORKER_CLIENT_H

#include "base/kn.h"
#include "fleet/fleet.h"

/*
 * Client that sends orders to workers. It is an interface so that another
 * implementation can send them through a host in the worker's data centre.
 * It is not a task: callbacks run on the owner's thread.
 */

enum order_kind { ORDER_START, ORDER_STOP, ORDER_HOLD, ORDER_PACE };

struct order {
	enum order_kind kind;
	const char *addr;
	int port;
	const char *worker; /* id; a worker with another id refuses the order */
	int64_t fence;
	int64_t timeout_ms;
	/* ORDER_START, ORDER_STOP, ORDER_PACE. */
	const char *task;
	int64_t run;
	/* ORDER_START. */
	const char *payload;
	const char *checkpoint; /* NULL: start from the beginning */
	const char *ticket; /* NULL: none is needed */
	/*
	 * ORDER_START, ORDER_HOLD: end of the lease on the worker's clock. 0 in
	 * a hold does not extend the lease.
	 */
	int64_t lease_until_ms;
	/* ORDER_HOLD. */
	int64_t acked_end; /* the worker may drop ends up to this number */
	int64_t wait_ms; /* how long the worker may wait for an end */
	/* ORDER_PACE. */
	int percent;
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_REFUSED, /* not carried out, see refusal */
	ORDER_OTHER_INCARNATION, /* another process has the address */
	ORDER_NOT_SENT, /* no connection, so not carried out */
	ORDER_UNKNOWN, /* no answer; may still be carried out */
};

struct order_call {
	struct list_head node; /* free for use by the owner */
	void *user; /* free for use by the owner */
	void (*done)(struct order_call *call);
	void *impl; /* private to the implementation */
	enum order_result result;
	enum start_refusal refusal;
	bool connection_refused; /* with ORDER_NOT_SENT */
	/* The worker took no new connection for the call. */
	bool not_admitted;
	bool has_clock; /* clock_ms is set */
	int64_t clock_ms; /* the worker's clock when it answered */
	/* Start time of the process that answered, 0: not in the answer. */
	int64_t born_ms;
	/* Answer to a hold; valid until done() returns. */
	struct hold_report report;
};

struct worker_client;

struct worker_client_ops {
	/*
	 * done() is called once, after start() has returned. order is not used
	 * after the return.
	 */
	void (*start)(struct worker_client *client, struct order_call *call,
		      const struct order *order);
	/* Abandons a call; the worker may still carry the order out. */
	void (*cancel)(struct worker_client *client, struct order_call *call);
	/* Closes connections to workers that have not been used recently. */
	void (*trim)(struct worker_client *client);
	void (*finish)(struct worker_client *client);
};

struct worker_client {
	const struct worker_client_ops *ops;
	struct kn *kn;
};

#endif
