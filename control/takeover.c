#include "control/director_int.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"

#define STATES_RETRY_MS 100

static void apply_state(struct director *director,
			const struct stored_state *state)
{
	struct job *job = fleet_job(&director->fleet, state->id);

	if (!job) {
		log_warn("state.orphan", "job=%s revision=%" G_GINT64_FORMAT,
			 state->id, state->revision);
		/* One that can't be read is there, and holds the removal off. */
		ledger_remove_job(&director->ledger, state->id, 0,
				  state->revision);
		return;
	}
	job->record_rev = state->revision;
	if (!record_state_read(&director->fleet, job, state->data, state->len,
			       kn_now_us()))
		log_err("state.unreadable",
			"job=%s revision=%" G_GINT64_FORMAT " result=%d",
			state->id, state->revision, CB_E_BAD_JOB);
}

static void apply_cancels(struct director *director)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, director->cancelled);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		struct job *job = fleet_job(&director->fleet, id);

		if (job)
			fleet_cancel(&director->fleet, job, director_wall_ms());
	}
}

void director_finish_takeover(struct director *director)
{
	guint i;

	if (director->ready || !director->workers_read ||
	    !director->intake_read || !director->states_read)
		return;
	for (i = 0; i < director->states->len; i++)
		apply_state(director, g_ptr_array_index(director->states, i));
	g_ptr_array_set_size(director->states, 0);
	apply_cancels(director);
	director->ready = true;
	ctr_observe(&director->takeover_ms,
		    (uint64_t)((kn_now_us() - director->elected_us) / 1000));
	log_info("leader.ready",
		 "fence=%" G_GINT64_FORMAT
		 " jobs=%u workers=%u took_ms=%" G_GINT64_FORMAT,
		 director->leader.fence,
		 g_hash_table_size(director->fleet.jobs_by_id),
		 g_hash_table_size(director->fleet.workers_by_id),
		 (kn_now_us() - director->elected_us) / 1000);
	director_apply_config(director);
	director_schedule_pass(director, 0);
}

static void read_stored_states(struct director *director);

static void on_states_retry(struct kn_timer *timer)
{
	read_stored_states(container_of(timer, struct director, states_timer));
}

static void on_stored_states(struct kv_call *call)
{
	struct director *director = call->user;
	size_t i;

	director->states_call_pending = false;
	if (call->result != CB_OK) {
		log_warn("takeover.read_failed", "result=%d", call->result);
		kn_timer_set(director->task.kn, &director->states_timer,
			     STATES_RETRY_MS * USEC_PER_MSEC, on_states_retry);
		return;
	}
	for (i = 0; i < call->count; i++) {
		const struct kv_item *item = &call->items[i];
		struct stored_state *state = g_new0(struct stored_state, 1);

		state->id = g_strdup(item->key + strlen(KEY_STATE_PREFIX));
		state->data = g_memdup2(item->value, item->len);
		state->len = item->len;
		state->revision = item->mod_revision;
		g_ptr_array_add(director->states, state);
	}
	director->states_read = true;
	director_finish_takeover(director);
}

static void read_stored_states(struct director *director)
{
	struct kv *kv = director->adapter->kv;

	memset(&director->states_call, 0, sizeof(director->states_call));
	director->states_call.done = on_stored_states;
	director->states_call.user = director;
	director->states_call_pending = true;
	kv->ops->range(kv, &director->states_call, KEY_STATE_PREFIX, true);
}

static void cancel_release_requests(struct director *director)
{
	int i;

	kn_timer_cancel(&director->earlier_timer);
	for (i = 0; i < LEADER_LIST_MAX; i++)
		relay_cancel_release(&director->release_requests[i]);
	director->releases_pending = 0;
}

/* Stops all work of a leader, but keeps the fleet and the leases in it. */
static void stop_leading(struct director *director)
{
	struct kv *kv = director->adapter->kv;

	kn_timer_cancel(&director->pass_timer);
	kn_timer_cancel(&director->states_timer);
	speeds_close(&director->speeds);
	ledger_close(&director->ledger);
	advisor_close(&director->advisor);
	maintenance_close(&director->maintenance);
	mirror_stop(&director->workers);
	mirror_stop(&director->intake);
	if (director->states_call_pending)
		kv->ops->cancel(kv, &director->states_call);
	director->states_call_pending = false;
	g_hash_table_remove_all(director->cancelled);
	g_ptr_array_set_size(director->states, 0);
	director->ready = false;
	ctr_gauge(&director->evacuated_runs, 0);
	ctr_gauge(&director->unservable, 0);
	director->workers_read = false;
	director->intake_read = false;
	director->states_read = false;
}

void director_stop(struct director *director)
{
	if (!director->fleet_active)
		return;
	cancel_release_requests(director);
	stop_leading(director);
	orders_close(&director->orders);
	fleet_finish(&director->fleet);
	director->fleet_active = false;
	director->holding_until_us = 0;
	director->released_us = kn_now_us();
}

int64_t director_on_release_request(void *user, int64_t fence)
{
	struct director *director = user;

	if (director->fleet_active && director->orders.fence >= fence)
		return -1;
	if (director->fleet_active) {
		log_info("holding.ended", "fence=%lld later=%lld",
			 (long long)director->orders.fence, (long long)fence);
		director_stop(director);
	}
	return director->released_us;
}

/* No earlier leader extends leases from stopped_us on. */
static void on_earlier_stopped(struct director *director, int64_t stopped_us)
{
	kn_timer_cancel(&director->earlier_timer);
	fleet_earlier_leaders_stopped(&director->fleet, stopped_us);
	leader_forget_earlier(&director->leader);
	director_schedule_pass(director, 0);
}

static void on_release_confirmed(struct relay_release_request *req,
				 int64_t released_us)
{
	struct director *director = req->user;
	size_t i = (size_t)(req - director->release_requests);

	log_info("takeover.released",
		 "last=%s fence=%lld released_ms=%lld pending=%d",
		 director->leader.earlier.at[i].host,
		 (long long)director->leader.fence,
		 (long long)(kn_now_us() - released_us) / 1000,
		 director->releases_pending - 1);
	director->earlier_released_us =
		MAX(director->earlier_released_us, released_us);
	if (--director->releases_pending == 0)
		on_earlier_stopped(director, director->earlier_released_us);
}

static void on_earlier_timeout(struct kn_timer *timer)
{
	struct director *director =
		container_of(timer, struct director, earlier_timer);

	log_info("takeover.unreleased", "fence=%lld pending=%d",
		 (long long)director->leader.fence, director->releases_pending);
	on_earlier_stopped(director, director->fleet.extended_until_us);
}

/*
 * A leader whose election has lapsed may go on extending leases for
 * max_hold_ms. All earlier leaders that have not confirmed yet that they have
 * stopped are asked, as also the leader before the last one may be cut off and
 * at work; once all have confirmed, leases at workers that can't be reached are
 * known to end sooner. After max_hold_ms none extends leases any more.
 */
static void request_release(struct director *director)
{
	const struct leader_list *earlier = &director->leader.earlier;
	int64_t until_us = director->elected_us +
			   director->site->bounds.max_hold_ms * USEC_PER_MSEC;
	int i;

	/* An earlier process of this host had ended when this one started, and
	 * this process extends no lease since then. */
	director->earlier_released_us = director->released_us;
	director->fleet.extended_until_us = director->released_us;
	if (earlier->count == 0)
		return;
	director->fleet.extended_until_us = until_us;
	director->releases_pending = earlier->count;
	kn_timer_set(director->task.kn, &director->earlier_timer,
		     until_us - kn_now_us(), on_earlier_timeout);
	for (i = 0; i < earlier->count; i++)
		relay_request_release(&director->release_requests[i],
				      director->relay, &earlier->at[i].peers,
				      director->leader.fence, until_us,
				      on_release_confirmed, director);
}

static void on_elected(struct leader *leader)
{
	struct director *director =
		container_of(leader, struct director, leader);

	director_stop(director);
	director->elected_us = kn_now_us();
	director->fleet_active = true;
	fleet_init(&director->fleet, &director_fleet_ops, director);
	director_apply_bounds(director);
	request_release(director);
	ledger_open(&director->ledger, &director->fleet, leader->fence);
	speeds_open(&director->speeds, &director->fleet);
	orders_open(&director->orders, &director->fleet, leader->fence);
	advisor_open(&director->advisor, &director->fleet);
	maintenance_open(&director->maintenance, &director->fleet,
			 leader->fence, director->site->machine_order_gap_ms);
	mirror_start(&director->workers);
	mirror_start(&director->intake);
	read_stored_states(director);
}

static void on_deposed(struct leader *leader)
{
	struct director *director =
		container_of(leader, struct director, leader);

	if (!leader->lapsed || !director->ready) {
		director_stop(director);
		return;
	}
	stop_leading(director);
	director->orders.hold_only = true;
	/* From the end of the leadership, which may be noticed later, as a
	 * later leader counts from its election. */
	director->holding_until_us =
		leader_lapsed_us(leader) +
		director->fleet.bounds.max_hold_ms * USEC_PER_MSEC;
	log_info("holding.begun", "fence=%" G_GINT64_FORMAT " workers=%u",
		 director->orders.fence,
		 g_hash_table_size(director->fleet.workers_by_id));
	director_schedule_pass(director, 0);
}

const struct leader_ops director_leader_ops = {
	.elected = on_elected,
	.deposed = on_deposed,
};
