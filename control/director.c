#include "control/director_int.h"

#include <string.h>

#include "base/log.h"
#include "control/keys.h"
#include "fleet/limits.h"

/* A poll that has gone silent is noticed within this time-out plus the time of
 * a call. Urgent jobs wait for a part of a second at most, and a draining worker
 * has to be seen in drain_ms. */
#define WORKERS_WATCH_TIMEOUT_MS 800
#define INTAKE_WATCH_TIMEOUT_MS 250
/* Every worker writes a report each second or two and each poll has a cost,
 * so several reports are fetched with one poll. */
#define WORKERS_BATCH_MS 120

static void stored_state_free(void *data)
{
	struct stored_state *state = data;

	g_free(state->id);
	g_free(state->data);
	g_free(state);
}

void director_apply_bounds(struct director *director)
{
	struct fleet *fleet = &director->fleet;

	fleet->bounds = director->site->bounds;
	fleet->evacuation = fleet->bounds.evac_ms > 0 ?
				    &director->configuration->evacuation :
				    NULL;
}

void director_apply_config(struct director *director)
{
	if (!director->fleet_active || !director->configuration->current)
		return;
	fleet_set_config(&director->fleet, director->configuration->current);
	director_apply_bounds(director);
	director_schedule_pass(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

void director_handle_operator_key(struct director *director,
				  const struct kv_item *item)
{
	struct wave *wave = director->adapter->read_wave(
		item->key, item->value, item->len, kn_now_us());

	if (wave)
		maintenance_add(&director->maintenance, wave);
	else
		log_info("operator.key_ignored", "key=%s revision=%lld",
			 item->key, (long long)item->mod_revision);
}

void director_handle_evacuation(struct director *director, const char *dc,
				bool evacuated)
{
	log_info(evacuated ? "evacuation.begun" : "evacuation.ended",
		 "dc=%s fence=%" G_GINT64_FORMAT " runs=%" G_GINT64_FORMAT, dc,
		 director->ready ? director->leader.fence : 0,
		 director->ready ? evacuation_runs(&director->fleet, dc) : -1);
	director_schedule_pass(director, 0);
}

static void on_advice(void *user)
{
	director_schedule_pass(user, 0);
}

static bool director_start(struct kn_task *task, GError **err)
{
	struct director *director = container_of(task, struct director, task);

	/* The host listens by now, so an earlier process of it has ended. */
	director->released_us = kn_now_us();
	leader_start(&director->leader);
	return true;
}

static void director_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

static void director_drain(struct kn_task *task)
{
	struct director *director = container_of(task, struct director, task);

	leader_resign(&director->leader);
	director_stop(director);
	kn_drained(task);
}

static void director_finish(struct kn_task *task)
{
	struct director *director = container_of(task, struct director, task);

	director_stop(director);
	leader_finish(&director->leader);
	mirror_finish(&director->workers);
	mirror_finish(&director->intake);
	speeds_finish(&director->speeds);
	ledger_finish(&director->ledger);
	orders_finish(&director->orders);
	advisor_finish(&director->advisor);
	maintenance_finish(&director->maintenance);
	g_hash_table_unref(director->cancelled);
	g_ptr_array_unref(director->states);
	ctr_finish(&director->jobs_started);
	ctr_finish(&director->jobs_ended);
	ctr_finish(&director->passes);
	ctr_finish(&director->pass_us);
	ctr_finish(&director->start_ms);
	ctr_finish(&director->done_ms);
	ctr_finish(&director->takeover_ms);
	ctr_finish(&director->preempted);
	ctr_finish(&director->moved);
	ctr_finish(&director->lapsed);
	ctr_finish(&director->banned);
	ctr_finish(&director->unheld);
	ctr_finish(&director->evacuated_runs);
	ctr_finish(&director->unservable);
	ctr_finish(&director->waiting);
	ctr_finish(&director->running);
	g_free(director);
}

static const struct kn_task_ops director_ops = {
	.start = director_start,
	.receive = director_receive,
	.drain = director_drain,
	.finish = director_finish,
};

static void init_counters(struct director *director)
{
	struct ctr_set *set = &director->task.kn->counters;

	ctr_init(&director->jobs_started, set, CTR_COUNTER,
		 "chivebank_jobs_started_total", NULL,
		 "Jobs whose first task started under this leader");
	ctr_init(&director->jobs_ended, set, CTR_COUNTER,
		 "chivebank_jobs_ended_total", NULL,
		 "Jobs that ended under this leader");
	ctr_init(&director->passes, set, CTR_COUNTER, "chivebank_passes_total",
		 NULL, "Planning passes");
	ctr_init(&director->pass_us, set, CTR_HISTOGRAM, "chivebank_pass_us",
		 NULL, "Time that a planning pass takes");
	ctr_init(&director->start_ms, set, CTR_HISTOGRAM,
		 "chivebank_job_start_ms", NULL,
		 "Time from acceptance of a job to its first start");
	ctr_init(&director->done_ms, set, CTR_HISTOGRAM,
		 "chivebank_job_done_ms", NULL,
		 "Time from acceptance of a job until it was done");
	ctr_init(&director->takeover_ms, set, CTR_HISTOGRAM,
		 "chivebank_takeover_ms", NULL,
		 "Time from an election to the first orders");
	ctr_init(&director->preempted, set, CTR_GAUGE, "chivebank_preempted",
		 NULL, "Runs that were stopped for guaranteed jobs");
	ctr_init(&director->moved, set, CTR_GAUGE, "chivebank_moved", NULL,
		 "Runs that were stopped to do better elsewhere");
	ctr_init(&director->lapsed, set, CTR_GAUGE, "chivebank_lapsed", NULL,
		 "Workers whose tasks were given up with their lease");
	ctr_init(&director->banned, set, CTR_GAUGE, "chivebank_banned", NULL,
		 "Bans of workers where different jobs failed");
	ctr_init(&director->unheld, set, CTR_GAUGE, "chivebank_unheld", NULL,
		 "Runs listed by workers that no task held");
	ctr_init(&director->evacuated_runs, set, CTR_GAUGE,
		 "chivebank_evacuated_runs", NULL,
		 "Runs in progress in evacuated data centres");
	ctr_init(&director->unservable, set, CTR_GAUGE,
		 "chivebank_guarantees_unservable", NULL,
		 "Guarantees that the remaining workers can't hold");
	ctr_init(&director->waiting, set, CTR_GAUGE, "chivebank_jobs_waiting",
		 NULL, "Jobs that have not started");
	ctr_init(&director->running, set, CTR_GAUGE, "chivebank_jobs_running",
		 NULL, "Jobs that have started and not ended");
}

struct director *director_new(struct kn *kn, const struct site *site,
			      const struct platform_adapter *adapter,
			      struct configuration *configuration,
			      const struct hosts *hosts, uint64_t incarnation)
{
	struct director *director = g_new0(struct director, 1);

	director->adapter = adapter;
	director->site = site;
	director->configuration = configuration;
	director->hosts = hosts;
	director->relay = hosts->relay;
	director->relay->release_work = director_on_release_request;
	director->relay->user = director;
	director->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	director->states = g_ptr_array_new_with_free_func(stored_state_free);
	kn_add(kn, &director->task, "director", &director_ops);
	init_counters(director);
	leader_init(&director->leader, adapter->kv, site, incarnation,
		    &director_leader_ops);
	ledger_init(&director->ledger, adapter->kv, &director_ledger_ops);
	speeds_init(&director->speeds, adapter->kv, &director->ledger);
	orders_init(&director->orders, kn, adapter->workers,
		    &director_orders_ops);
	advisor_init(&director->advisor, adapter->advice, &kn->counters,
		     on_advice, director);
	maintenance_init(&director->maintenance, adapter, adapter->machines,
			 &director->ledger);
	mirror_init(&director->workers, adapter->kv, &director_workers_ops,
		    adapter->reports_prefix, WORKERS_WATCH_TIMEOUT_MS);
	director->workers.batch_delay_ms = WORKERS_BATCH_MS;
	mirror_init(&director->intake, adapter->kv, &director_intake_ops,
		    KEY_INTAKE_PREFIX, INTAKE_WATCH_TIMEOUT_MS);
	return director;
}
