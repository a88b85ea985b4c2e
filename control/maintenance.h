#ifndef CONTROL_MAINTENANCE_H
#define CONTROL_MAINTENANCE_H

#include "control/platform_adapter.h"
#include "control/loans.h"
#include "control/machine_client.h"
#include "fleet/lending.h"

/*
 * Orders for the hosts of workers while this host leads. Polls the platform's
 * list of these hosts, carries out the operators' waves of upkeep one host
 * after the other, stores when a wave is running and when it is done, and
 * lends hosts of spare pools to other pools. Hosts that an earlier leader has
 * lent are returned as if this one had lent them.
 */
struct maintenance {
	const struct platform_adapter *adapter;
	struct machine_client *machines; /* NULL: no such service */
	struct fleet *fleet; /* NULL while this host does not lead */
	int64_t fence;
	int64_t no_orders_until_us; /* no orders before this time */
	struct list_head waves; /* struct wave; kept while not leading */
	GPtrArray *list; /* struct machine, the latest list */
	int64_t list_us; /* when it was requested */
	int64_t listed_us; /* when one was last requested, 0: never */
	struct machine_call list_call;
	bool list_pending;
	struct machine_call order_call;
	bool order_pending;
	struct wave *order_wave;
	struct upkeep_host *order_host;
	struct lending lending;
	struct loans loans;
	struct loan *loan_in_call;
	struct kv_call status_call;
	bool status_pending; /* a read or write of statuses is pending */
	bool statuses_read; /* those that earlier leaders stored */
	struct wave *status_wave;
	bool status_done; /* the status being written */
	struct ctr orders;
	struct ctr moves;
};

void maintenance_init(struct maintenance *maintenance,
		      const struct platform_adapter *adapter,
		      struct machine_client *machines, struct ledger *ledger);
void maintenance_finish(struct maintenance *maintenance);
/* Takes ownership of wave; frees it if its number is known already. */
void maintenance_add(struct maintenance *maintenance, struct wave *wave);
/*
 * No order is sent for settle_ms, as orders of the previous leader may still
 * be in progress.
 */
void maintenance_open(struct maintenance *maintenance, struct fleet *fleet,
		      int64_t fence, int64_t settle_ms);
void maintenance_close(struct maintenance *maintenance);
/* may_order: by its clock this host still leads. */
void maintenance_run(struct maintenance *maintenance, bool may_order,
		     int64_t now_us);

#endif
