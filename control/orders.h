#ifndef CONTROL_ORDERS_H
#define CONTROL_ORDERS_H

#include "control/worker_client.h"
#include "fleet/fleet.h"

/*
 * Sends the leader's orders to workers and passes their answers to the fleet.
 * A start is sent once its worker and run number are in the store. An order
 * without an answer may still be carried out, so it is repeated at the same
 * worker. fleet/proof.c decides when a run without a reported end is over.
 */

struct orders;

struct orders_ops {
	/* An answer has arrived; a planning pass may be able to react to it. */
	void (*changed)(struct orders *orders);
	/* A worker refused an order because it knows of a later leader. */
	void (*fenced)(struct orders *orders, int64_t fence);
	/* Whether this host may send orders now. */
	bool (*may_send)(struct orders *orders);
	/* Whether it may start tasks now; asked before each start. */
	bool (*may_start)(struct orders *orders);
};

struct orders {
	const struct orders_ops *ops;
	struct kn *kn;
	struct worker_client *client;
	struct fleet *fleet; /* NULL while this host does not lead */
	int64_t fence;
	/* Sends holds only, no other orders: another host may lead by now. */
	bool hold_only;
	struct list_head calls; /* struct pending_order */
	struct ctr results[5]; /* by enum order_result */
	struct ctr sent[4]; /* by enum order_kind */
	struct ctr start_ms; /* latency of an accepted start */
	struct ctr hold_late_ms; /* delay of a hold's answer beyond its wait */
};

void orders_init(struct orders *orders, struct kn *kn,
		 struct worker_client *client, const struct orders_ops *ops);
void orders_finish(struct orders *orders);
void orders_open(struct orders *orders, struct fleet *fleet, int64_t fence);
/* Abandons all calls. Orders that were sent may still be carried out. */
void orders_close(struct orders *orders);
/* Sends the orders that are due. Returns the time of the next ones. */
int64_t orders_run(struct orders *orders, int64_t now_us);

#endif
