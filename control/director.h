#ifndef CONTROL_DIRECTOR_H
#define CONTROL_DIRECTOR_H

#include "control/advisor.h"
#include "control/configuration.h"
#include "control/hosts.h"
#include "control/leader.h"
#include "control/ledger.h"
#include "control/maintenance.h"
#include "control/orders.h"
#include "control/relay.h"

/*
 * The leader's scheduler: on election it reads what earlier leaders stored,
 * then follows the submissions and the workers, plans, writes and orders.
 */
struct director {
	struct kn_task task;
	const struct platform_adapter *adapter;
	const struct site *site;
	struct configuration *configuration;
	struct relay *relay;
	const struct hosts *hosts;
	struct relay_question question; /* to the last leader */
	struct leader leader;
	struct ledger ledger;
	struct orders orders;
	struct advisor advisor;
	struct maintenance maintenance;
	struct fleet fleet;
	bool fleet_active; /* fleet is in use */
	bool ready; /* everything that earlier leaders stored has been read */
	int64_t elected_us;
	/* Leases of running work are renewed without leading until then. */
	int64_t holding_until_us;
	struct mirror workers;
	struct mirror intake;
	bool workers_read;
	bool intake_read;
	GHashTable
		*cancelled; /* ids of cancelled jobs that are not known yet */
	struct kv_call states_call;
	bool states_calling;
	bool states_read;
	GPtrArray *states; /* struct stored_state, until ready */
	struct kn_timer pass_timer;
	struct kn_timer states_timer;
	int64_t next_cleanup_us;
	int64_t next_counts_us;
	struct ctr jobs_started;
	struct ctr jobs_ended;
	struct ctr passes;
	struct ctr start_ms; /* from acceptance to the first start */
	struct ctr done_ms; /* from acceptance to done */
	struct ctr takeover_ms;
	struct ctr preempted;
	struct ctr moved;
	struct ctr lapsed;
	struct ctr banned;
	struct ctr waiting;
	struct ctr running;
};

struct director *director_new(struct kn *kn, const struct site *site,
			      const struct platform_adapter *adapter,
			      struct configuration *configuration,
			      const struct hosts *hosts, uint64_t incarnation);
/* The operators have written another key, perhaps a wave of upkeep. */
void director_handle_operator_key(struct director *director,
				  const struct kv_item *item);
/* The configuration has changed. */
void director_apply_config(struct director *director);

#endif
