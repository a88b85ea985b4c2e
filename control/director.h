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
#include "control/speeds.h"

/*
 * The leader's scheduler. When this host is elected it loads the state that
 * earlier leaders stored, then watches the submissions and the workers'
 * reports in the store, plans, stores its decisions and sends orders.
 */
struct director {
	struct kn_task task;
	const struct platform_adapter *adapter;
	const struct site *site;
	struct configuration *configuration;
	struct relay *relay;
	const struct hosts *hosts;
	/* Ask the earlier leaders to stop extending leases; in the order of
	 * leader.earlier. */
	struct relay_release_request release_requests[LEADER_LIST_MAX];
	int releases_pending;
	/* The latest time at which one of them has stopped. */
	int64_t earlier_released_us;
	struct kn_timer earlier_timer; /* none extends leases after it */
	/* Since when this process extends no lease, unless fleet_active. */
	int64_t released_us;
	struct leader leader;
	struct ledger ledger;
	struct speeds speeds;
	struct orders orders;
	struct advisor advisor;
	struct maintenance maintenance;
	struct fleet fleet;
	bool fleet_active; /* fleet is initialized */
	bool ready; /* all state of earlier leaders is loaded */
	int64_t elected_us;
	/*
	 * After the leadership has lapsed: until then the leases of running
	 * work are still renewed. 0: not in that state.
	 */
	int64_t holding_until_us;
	struct mirror workers;
	struct mirror intake;
	bool workers_read;
	bool intake_read;
	/* Ids of jobs with a cancel key; the job may not be known yet. */
	GHashTable *cancelled;
	struct kv_call states_call;
	bool states_call_pending;
	bool states_read;
	GPtrArray *states; /* struct stored_state; empty once ready */
	struct kn_timer pass_timer;
	int64_t rest_until_us; /* no pass begins before */
	struct kn_timer states_timer;
	int64_t next_cleanup_us;
	int64_t next_counts_us;
	struct ctr jobs_started;
	struct ctr jobs_ended;
	struct ctr passes;
	struct ctr pass_us;
	struct ctr start_ms; /* from acceptance to the first start */
	struct ctr done_ms; /* from acceptance to completion */
	struct ctr takeover_ms;
	struct ctr preempted;
	struct ctr moved;
	struct ctr lapsed;
	struct ctr banned;
	struct ctr unheld;
	struct ctr evacuated_runs;
	struct ctr unservable;
	struct ctr waiting;
	struct ctr running;
};

struct director *director_new(struct kn *kn, const struct site *site,
			      const struct platform_adapter *adapter,
			      struct configuration *configuration,
			      const struct hosts *hosts, uint64_t incarnation);
/*
 * Handles an operator's key other than the configuration: a wave of upkeep,
 * or a key that is logged and ignored.
 */
void director_handle_operator_key(struct director *director,
				  const struct kv_item *item);
/* The operators have evacuated a data centre, or have taken that back. */
void director_handle_evacuation(struct director *director, const char *dc,
				bool evacuated);
/* Applies the current configuration if this host leads. */
void director_apply_config(struct director *director);

#endif
