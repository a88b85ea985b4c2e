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
		ledger_remove_job(&director->ledger, state->id);
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

/* Stops all work of a leader, but keeps the fleet and the leases in it. */
static void stop_leading(struct director *director)
{
	struct kv *kv = director->adapter->kv;

	kn_timer_cancel(&director->pass_timer);
	kn_timer_cancel(&director->states_timer);
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
	director->workers_read = false;
	director->intake_read = false;
	director->states_read = false;
}

void director_stop(struct director *director)
{
	if (!director->fleet_active)
		return;
	relay_cancel_release(&director->release_request);
	stop_leading(director);
	orders_close(&director->orders);
	fleet_finish(&director->fleet);
	director->fleet_active = false;
	director->holding_until_us = 0;
}

void director_on_release_request(void *user, int64_t fence)
{
	struct director *director = user;

	if (!director->fleet_active || director->orders.fence >= fence)
		return;
	log_info("holding.ended", "fence=%lld later=%lld",
		 (long long)director->orders.fence, (long long)fence);
	director_stop(director);
}

static void on_release_confirmed(void *user)
{
	struct director *director = user;

	log_info("takeover.released", "last=%s fence=%lld",
		 director->leader.previous.host,
		 (long long)director->leader.fence);
	fleet_old_leader_stopped(&director->fleet);
	director_schedule_pass(director, 0);
}

/*
 * The previous leader may go on renewing leases for up to max_hold_ms. It is
 * asked to stop; once it confirms, leases at workers that can't be reached
 * are known to end sooner.
 */
static void request_release(struct director *director)
{
	const struct leader_identity *last = &director->leader.previous;
	int64_t hold_ms = director->site->bounds.max_hold_ms;

	director->fleet.old_leader_hold_ms = 0;
	/* An earlier process of this host has ended, and this process renews
	 * no leases. */
	if (!last->host[0] || strcmp(last->host, director->site->host) == 0)
		return;
	director->fleet.old_leader_hold_ms = hold_ms;
	relay_request_release(&director->release_request, director->relay,
			      &last->peers, director->leader.fence,
			      kn_now_us() + hold_ms * USEC_PER_MSEC,
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
	director->fleet.bounds = director->site->bounds;
	request_release(director);
	ledger_open(&director->ledger, &director->fleet, leader->fence);
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
	director->holding_until_us =
		kn_now_us() +
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
