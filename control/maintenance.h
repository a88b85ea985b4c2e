#ifndef CONTROL_MAINTENANCE_H
#define CONTROL_MAINTENANCE_H

#include "control/platform_adapter.h"
#include "control/machine_client.h"
#include "fleet/lending.h"

/*
 * Orders for the hosts of workers while this host leads: follows their list,
 * carries out the operators' waves of upkeep one host after the other, says in
 * the store when a wave runs and when it is done, and lends hosts of spare
 * pools. A host that another leader has lent stays where it is.
 */
struct maintenance {
	const struct platform_adapter *adapter;
	struct machine_client *machines; /* NULL: there is no such service */
	struct fleet *fleet; /* NULL while this host does not lead */
	int64_t fence;
	int64_t orders_from_us;
	struct list_head waves; /* struct wave, known at any time */
	GPtrArray *list; /* struct machine */
	int64_t listed_us; /* when the list was read, 0: never */
	struct machine_call list_call;
	bool list_pending;
	struct machine_call order_call;
	bool order_pending;
	struct wave *order_wave;
	struct upkeep_host *order_host;
	struct lending lending;
	struct loan *loan_in_call;
	struct kv_call status_call;
	bool status_pending; /* or reading what earlier leaders have said */
	bool statuses_read;
	struct wave *status_wave;
	bool status_done; /* what is being written */
	struct ctr orders;
	struct ctr moves;
};

void maintenance_init(struct maintenance *maintenance,
		      const struct platform_adapter *adapter,
		      struct machine_client *machines);
void maintenance_finish(struct maintenance *maintenance);
/* Takes a wave over; one that is known already is freed. */
void maintenance_add(struct maintenance *maintenance, struct wave *wave);
/*
 * settle_ms: no order is given before, as those of the last leader may still
 * be under way.
 */
void maintenance_open(struct maintenance *maintenance, struct fleet *fleet,
		      int64_t fence, int64_t settle_ms);
void maintenance_close(struct maintenance *maintenance);
/* may_order: this host still leads by its clock. */
void maintenance_run(struct maintenance *maintenance, bool may_order,
		     int64_t now_us);

#endif
