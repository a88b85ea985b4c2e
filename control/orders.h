#ifndef CONTROL_ORDERS_H
#define CONTROL_ORDERS_H

#include "control/worker_client.h"
#include "fleet/fleet.h"

/*
 * Sends the leader's orders and reports their answers to the fleet. A start
 * goes out when its worker and run number are in the store. An order without
 * answer may be carried out later, so it is repeated at the same worker, and
 * given up only by a stop that is answered or by the end of the lease.
 */

struct orders;

struct orders_ops {
	/* Something changed that a planning pass may answer. */
	void (*changed)(struct orders *orders);
	/* A worker has heard of a later leader. */
	void (*fenced)(struct orders *orders, int64_t fence);
	bool (*may_send)(struct orders *orders);
};

struct orders {
	const struct orders_ops *ops;
	struct kn *kn;
	struct worker_client *client;
	struct fleet *fleet; /* NULL while this host does not lead */
	int64_t fence;
	bool hold_only; /* no starts and stops: another may lead */
	struct list_head calls; /* struct pending_order */
	struct ctr results[5]; /* by enum order_result */
	struct ctr sent[4]; /* by enum order_kind */
	struct ctr start_ms; /* latency of an accepted start */
	struct ctr hold_late_ms; /* answer of a hold beyond its wait */
};

void orders_init(struct orders *orders, struct kn *kn,
		 struct worker_client *client, const struct orders_ops *ops);
void orders_finish(struct orders *orders);
void orders_open(struct orders *orders, struct fleet *fleet, int64_t fence);
/* Drops all calls. Orders that were sent may be carried out yet. */
void orders_close(struct orders *orders);
/* Sends what is due. Returns when it wants to be called again. */
int64_t orders_run(struct orders *orders, int64_t now_us);

#endif
