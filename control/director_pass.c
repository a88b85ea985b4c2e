#include "control/director_int.h"

#include "base/log.h"
#include "control/record.h"
#include "fleet/evacuation.h"
#include "fleet/evict.h"
#include "fleet/limits.h"
#include "fleet/plan.h"
#include "fleet/throttle.h"

#define CLEANUP_INTERVAL_MS 1000
/* The counts that hosts serve may be up to 2 s old; a host's cache adds up to
 * COUNT_CACHE_MS to the age of the stored ones. */
#define QUEUE_COUNTS_INTERVAL_MS 500
/* Minimum time as leader before a handover: by then the lists of hosts have
 * been read, and the work that was taken over runs. */
#define HAND_OVER_MIN_LEAD_MS 3000
/* A pass is followed by a rest of the same length, so that answers of workers
 * and the store are read in between; longer passes rest for this time. */
#define PASS_REST_MAX_MS 100
/* No new work is planned while a write to the store has been pending for
 * longer than this. */
#define STORE_STALL_LIMIT_MS 700

int64_t director_wall_ms(void)
{
	return kn_wall_us() / USEC_PER_MSEC;
}

static void on_pass(struct kn_timer *timer);

void director_schedule_pass(struct director *director, int64_t delay_us)
{
	struct kn_timer *timer = &director->pass_timer;

	int64_t rest_us = director->rest_until_us - kn_now_us();

	delay_us = MAX(delay_us, rest_us);
	if (!director->ready && director->holding_until_us == 0)
		return;
	if (kn_timer_pending(timer) && timer->at_us <= kn_now_us() + delay_us)
		return;
	kn_timer_set(director->task.kn, timer, delay_us, on_pass);
}

static bool store_stalled(const struct director *director, int64_t now_us)
{
	return director->ledger.started_us != 0 &&
	       now_us - director->ledger.started_us >
		       STORE_STALL_LIMIT_MS * USEC_PER_MSEC;
}

/*
 * Whether the time for status requests is over. It counts on this host's
 * monotonic clock from when this leader first finds that the end is stored: the
 * wall clocks of two leaders may differ by any amount.
 */
static bool is_expired(const struct director *director, struct job *job,
		       int64_t now_us)
{
	int64_t keep_ms = director->site->bounds.status_ms * RECORD_KEEP_FACTOR;

	if (!job_ended(job) || job->first_change != 0 || job->writing ||
	    fleet_job_holds_room(job))
		return false;
	if (!job->end_stored) {
		job->end_stored = true;
		job->end_stored_us = now_us;
	}
	return now_us - job->end_stored_us >= keep_ms * USEC_PER_MSEC;
}

static void remove_expired_jobs(struct director *director, int64_t now_us)
{
	struct job *job, *next;

	list_for_each_entry_safe(job, next, &director->fleet.jobs, node) {
		if (!is_expired(director, job, now_us))
			continue;
		ledger_remove_job(&director->ledger, job->id, job->spec_rev,
				  job->record_rev);
		fleet_remove_job(&director->fleet, job);
	}
	director->adapter->workers->ops->trim(director->adapter->workers);
}

static void publish_queue_counts(struct director *director)
{
	msgpack_sbuffer record;
	const struct job *job;
	uint64_t waiting = 0, running = 0;

	record_waiting_write(&director->fleet, &record);
	ledger_set_queue_counts(&director->ledger, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	list_for_each_entry(job, &director->fleet.jobs, node) {
		waiting += job->phase == JOB_QUEUED;
		running += job->phase == JOB_RUNNING;
	}
	ctr_gauge(&director->waiting, waiting);
	ctr_gauge(&director->running, running);
	ctr_gauge(&director->preempted, director->fleet.preempted);
	ctr_gauge(&director->moved, director->fleet.moved);
	ctr_gauge(&director->lapsed, director->fleet.lapsed);
	ctr_gauge(&director->banned, director->fleet.banned);
	ctr_gauge(&director->unheld, director->fleet.unheld);
	ctr_gauge(&director->evacuated_runs,
		  (uint64_t)evacuation_all_runs(&director->fleet));
	ctr_gauge(&director->unservable,
		  g_hash_table_size(director->fleet.unservable));
}

/*
 * Hands the leadership over if a host with more capacity is available.
 * Returns whether this host has stopped leading.
 */
static bool hand_over(struct director *director, int64_t now_us)
{
	if (now_us - director->elected_us <
		    HAND_OVER_MIN_LEAD_MS * USEC_PER_MSEC ||
	    director->ledger.started_us != 0 ||
	    !hosts_has_stronger_peer(director->hosts))
		return false;
	leader_hand_over(&director->leader);
	return !director->leader.leading;
}

static void pass(struct director *director)
{
	int64_t now_us = kn_now_us();
	int64_t next_us, took_us;

	if (hand_over(director, now_us))
		return;
	ctr_add(&director->passes, 1);
	fleet_open_due(&director->fleet, now_us, director_wall_ms());
	fleet_expire(&director->fleet, now_us);
	evacuation_pass(&director->fleet, now_us);
	evacuation_check_guarantees(&director->fleet);
	if (director->configuration->current &&
	    !store_stalled(director, now_us)) {
		evict_pass(&director->fleet, now_us);
		throttle_pass(&director->fleet, now_us);
		if (configuration_allows_starts(director->configuration))
			plan_pass(&director->fleet, now_us);
	}
	advisor_run(&director->advisor, now_us);
	maintenance_run(&director->maintenance, leader_valid(&director->leader),
			now_us);
	next_us = orders_run(&director->orders, now_us);
	if (now_us >= director->next_counts_us) {
		director->next_counts_us =
			now_us + QUEUE_COUNTS_INTERVAL_MS * USEC_PER_MSEC;
		publish_queue_counts(director);
	}
	if (now_us >= director->next_cleanup_us) {
		director->next_cleanup_us =
			now_us + CLEANUP_INTERVAL_MS * USEC_PER_MSEC;
		remove_expired_jobs(director, now_us);
	}
	speeds_run(&director->speeds, now_us);
	ledger_flush(&director->ledger);
	took_us = kn_now_us() - now_us;
	ctr_observe(&director->pass_us, (uint64_t)took_us);
	director->rest_until_us =
		now_us + took_us +
		MIN(took_us, PASS_REST_MAX_MS * USEC_PER_MSEC);
	next_us = MIN(next_us, now_us + PASS_TICK_MS * USEC_PER_MSEC);
	director_schedule_pass(director, MAX(next_us - now_us, 0));
}

/*
 * Renews the leases of running work after the leadership has lapsed. No host
 * can be elected while the store is unreachable, so the last leader keeps
 * running work alive for max_hold_ms. Workers reject its orders once a later
 * leader's fence has reached them; for workers that it can't reach, the later
 * leader waits for this time to pass.
 */
static void continue_holding(struct director *director)
{
	const char *current = director->leader.current;
	int64_t now_us = kn_now_us();

	if (now_us >= director->holding_until_us ||
	    (*current && strcmp(current, director->site->host) != 0)) {
		log_warn("holding.over", "fence=%" G_GINT64_FORMAT,
			 director->orders.fence);
		director_stop(director);
		return;
	}
	orders_run(&director->orders, now_us);
	director_schedule_pass(director, PASS_TICK_MS * USEC_PER_MSEC);
}

static void on_pass(struct kn_timer *timer)
{
	struct director *director =
		container_of(timer, struct director, pass_timer);

	if (director->holding_until_us != 0)
		continue_holding(director);
	else if (director->fleet_active && director->ready)
		pass(director);
}

static void on_orders_changed(struct orders *orders)
{
	director_schedule_pass(container_of(orders, struct director, orders),
			       PASS_DELAY_MS * USEC_PER_MSEC);
}

static void on_fenced(struct orders *orders, int64_t fence)
{
	struct director *director =
		container_of(orders, struct director, orders);

	log_warn("orders.fenced", "fence=%" G_GINT64_FORMAT, fence);
	if (director->holding_until_us != 0)
		director->holding_until_us = kn_now_us();
}

static bool may_send(struct orders *orders)
{
	struct director *director =
		container_of(orders, struct director, orders);

	return director->holding_until_us != 0 ||
	       leader_valid(&director->leader);
}

static bool may_start(struct orders *orders)
{
	struct director *director =
		container_of(orders, struct director, orders);

	return configuration_allows_starts(director->configuration);
}

const struct orders_ops director_orders_ops = {
	.changed = on_orders_changed,
	.fenced = on_fenced,
	.may_send = may_send,
	.may_start = may_start,
};

static void on_stored(struct ledger *ledger)
{
	director_schedule_pass(container_of(ledger, struct director, ledger),
			       0);
}

static void on_ledger_deposed(struct ledger *ledger)
{
	struct director *director =
		container_of(ledger, struct director, ledger);

	leader_step_down(&director->leader,
			 "a transaction found that the leader key has changed");
}

const struct ledger_ops director_ledger_ops = {
	.stored = on_stored,
	.deposed = on_ledger_deposed,
};
