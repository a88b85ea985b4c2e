#include "control/director.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "fleet/limits.h"
#include "fleet/order.h"
#include "fleet/plan.h"
#include "fleet/rescue.h"
#include "fleet/sharing.h"

/* A silent store is noticed within this and the grace of a poll; a worker
 * that drains has to be known within drain_ms. */
#define WORKERS_WAIT_MS 1200
#define INTAKE_WAIT_MS 1500
/* Workers write every second or two, all of them; each poll is paid for. */
#define WORKERS_GATHER_MS 120
#define STATES_RETRY_MS 100
#define TIDY_MS 1000
/* The counts may be 2 s old; a host adds up to COUNT_KEEP_MS. */
#define WAITING_MS 500
/* While changes wait for the store for longer, nothing new is planned. */
#define STORE_STALLED_MS 700

struct stored_state {
	char *id;
	char *data;
	size_t len;
	int64_t revision;
};

static void stored_state_free(void *data)
{
	struct stored_state *state = data;

	g_free(state->id);
	g_free(state->data);
	g_free(state);
}

static int64_t wall_ms(void)
{
	return kn_wall_us() / USEC_PER_MSEC;
}

static void on_pass(struct kn_timer *timer);

static void wake(struct director *director, int64_t delay_us)
{
	struct kn_timer *timer = &director->pass_timer;

	if (!director->ready && director->holding_until_us == 0)
		return;
	if (kn_timer_pending(timer) && timer->at_us <= kn_now_us() + delay_us)
		return;
	kn_timer_set(director->task.kn, timer, delay_us, on_pass);
}

/* ---- log of decisions ---- */

static void observe_start(struct director *director, const struct job *job)
{
	int64_t ms = (kn_now_us() - job->arrived_us) / 1000;

	ctr_add(&director->jobs_started, 1);
	ctr_observe(&director->start_ms, (uint64_t)MAX(ms, 0));
}

static void observe_end(struct director *director, const struct job *job)
{
	int64_t ms = (kn_now_us() - job->arrived_us) / 1000;

	ctr_add(&director->jobs_ended, 1);
	if (job->phase == JOB_DONE)
		ctr_observe(&director->done_ms, (uint64_t)MAX(ms, 0));
}

static void log_task(const struct director *director, const char *event,
		     const struct task *task, const char *why)
{
	const struct worker *worker = task->worker;

	log_info(event,
		 "job=%s occurrence=%d step=%d index=%d run=%lld worker=%s "
		 "fence=%lld fails=%d percent=%d reason=\"%s\"",
		 task->stage->job->id, task->stage->occurrence,
		 task->stage->step, task->index, (long long)task->run,
		 worker ? worker->said.id : "-",
		 (long long)director->leader.fence, task->fails, task->percent,
		 why);
}

static void log_job(const struct director *director, const char *event,
		    const struct job *job, const char *why)
{
	log_info(event,
		 "job=%s queue=%s customer=%s phase=%s age_ms=%lld "
		 "objective_ms=%.0f fence=%lld reason=\"%s\"",
		 job->id, job->queue, job->customer, job_phase_name(job->phase),
		 (long long)(kn_now_us() - job->arrived_us) / 1000,
		 order_objective_ms(&director->fleet, job),
		 (long long)director->leader.fence, why);
}

static void log_known(const struct job *job, const struct kv_item *item)
{
	const struct step_spec *first = &job->spec.steps[0];

	log_info("job.known",
		 "job=%s queue=%s customer=%s priority=%d steps=%d tasks=%d "
		 "gpus=%lld gang=%d same_rack=%d chain_ms=%lld revision=%lld "
		 "age_ms=%lld",
		 job->id, job->queue, job->customer, job->priority,
		 job->spec.nsteps, first->count, (long long)first->need.gpus,
		 first->gang, first->same_rack,
		 (long long)job_spec_chain_ms(&job->spec),
		 (long long)item->mod_revision,
		 (long long)(wall_ms() - job->accepted_ms));
}

static void on_note(void *user, const char *event, const struct job *job,
		    const struct task *task, const char *why)
{
	struct director *director = user;

	if (strcmp(event, "job.started") == 0)
		observe_start(director, job);
	else if (strcmp(event, "job.ended") == 0)
		observe_end(director, job);
	if (task)
		log_task(director, event, task, why);
	else
		log_job(director, event, job, why);
}

static const struct fleet_ops fleet_ops = { .note = on_note };

/* ---- passes ---- */

static bool store_stalled(const struct director *director, int64_t now_us)
{
	return director->ledger.started_us != 0 &&
	       now_us - director->ledger.started_us >
		       STORE_STALLED_MS * USEC_PER_MSEC;
}

/* Ended jobs whose records nobody asks for any more. */
static void tidy(struct director *director)
{
	int64_t keep_ms = director->site->bounds.status_ms * RECORD_KEEP_FACTOR;
	struct job *job, *next;

	list_for_each_entry_safe(job, next, &director->fleet.jobs, node) {
		if (!job_ended(job) || job->first_change != 0 || job->writing ||
		    wall_ms() - job->ended_ms < keep_ms || fleet_job_holds(job))
			continue;
		ledger_expire(&director->ledger, job->id);
		fleet_drop_job(&director->fleet, job);
	}
	director->edges->workers->ops->trim(director->edges->workers);
}

static void publish_waiting(struct director *director)
{
	msgpack_sbuffer record;
	const struct job *job;
	uint64_t waiting = 0, running = 0;

	record_waiting_write(&director->fleet, &record);
	ledger_set_waiting(&director->ledger, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	list_for_each_entry(job, &director->fleet.jobs, node) {
		waiting += job->phase == JOB_QUEUED;
		running += job->phase == JOB_RUNNING;
	}
	ctr_gauge(&director->waiting, waiting);
	ctr_gauge(&director->running, running);
	ctr_gauge(&director->preempted, director->fleet.preempted);
}

static void pass(struct director *director)
{
	int64_t now_us = kn_now_us();
	int64_t next_us;

	ctr_add(&director->passes, 1);
	fleet_open_due(&director->fleet, now_us, wall_ms());
	fleet_sweep(&director->fleet, now_us, wall_ms());
	if (director->configuration->current &&
	    !store_stalled(director, now_us)) {
		rescue_pass(&director->fleet, now_us);
		sharing_pass(&director->fleet, now_us);
		plan_pass(&director->fleet, now_us);
	}
	advisor_run(&director->advisor, now_us);
	maintenance_run(&director->maintenance, now_us);
	next_us = orders_run(&director->orders, now_us);
	if (now_us >= director->next_waiting_us) {
		director->next_waiting_us = now_us + WAITING_MS * USEC_PER_MSEC;
		publish_waiting(director);
	}
	if (now_us >= director->next_tidy_us) {
		director->next_tidy_us = now_us + TIDY_MS * USEC_PER_MSEC;
		tidy(director);
	}
	ledger_flush(&director->ledger);
	next_us = MIN(next_us, now_us + PASS_TICK_MS * USEC_PER_MSEC);
	wake(director, MAX(next_us - now_us, 0));
}

static void stop_directing(struct director *director);

/*
 * Nobody may lead while the store is away. Running work is held for a while
 * by the last leader; a later one makes its orders void by its fence, and
 * counts on this time for workers that it can't reach.
 */
static void hold_on(struct director *director)
{
	const char *current = director->leader.current;
	int64_t now_us = kn_now_us();

	if (now_us >= director->holding_until_us ||
	    (*current && strcmp(current, director->site->host) != 0)) {
		log_warn("holding.over", "fence=%" G_GINT64_FORMAT,
			 director->orders.fence);
		stop_directing(director);
		return;
	}
	orders_run(&director->orders, now_us);
	wake(director, PASS_TICK_MS * USEC_PER_MSEC);
}

static void on_pass(struct kn_timer *timer)
{
	struct director *director =
		container_of(timer, struct director, pass_timer);

	if (director->holding_until_us != 0)
		hold_on(director);
	else if (director->directing && director->ready)
		pass(director);
}

static void on_orders_changed(struct orders *orders)
{
	wake(container_of(orders, struct director, orders),
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

static const struct orders_ops orders_ops = {
	.changed = on_orders_changed,
	.fenced = on_fenced,
	.may_send = may_send,
};

static void on_stored(struct ledger *ledger)
{
	wake(container_of(ledger, struct director, ledger), 0);
}

static void on_ledger_deposed(struct ledger *ledger)
{
	struct director *director =
		container_of(ledger, struct director, ledger);

	leader_resign_now(&director->leader, "a write met another leader");
}

static const struct ledger_ops ledger_ops = {
	.stored = on_stored,
	.deposed = on_ledger_deposed,
};

/* ---- submissions ---- */

/* Splits PREFIX ID SUFFIX. Returns a new string, NULL for another key. */
static char *intake_id(const char *key, const char *suffix)
{
	const char *id = key + strlen(KEY_INTAKE_PREFIX);

	if (!g_str_has_suffix(id, suffix) || strlen(id) <= strlen(suffix))
		return NULL;
	return g_strndup(id, strlen(id) - strlen(suffix));
}

static void accept_job(struct director *director, const char *id,
		       const struct kv_item *item)
{
	struct job *job;

	if (fleet_job(&director->fleet, id))
		return;
	job = record_submission_read(id, item->value, item->len);
	if (!job) {
		log_err("job.unreadable",
			"job=%s revision=%" G_GINT64_FORMAT " result=%d", id,
			item->mod_revision, CB_E_BAD_JOB);
		return;
	}
	job->arrived_us =
		kn_now_us() - CLAMP(wall_ms() - job->accepted_ms, 0, 86400000) *
				      USEC_PER_MSEC;
	fleet_add_job(&director->fleet, job);
	log_known(job, item);
	if (director->ready && g_hash_table_contains(director->cancelled, id))
		fleet_cancel(&director->fleet, job, wall_ms());
}

static void cancel_job(struct director *director, const char *id)
{
	struct job *job = fleet_job(&director->fleet, id);

	g_hash_table_add(director->cancelled, g_strdup(id));
	if (director->ready && job)
		fleet_cancel(&director->fleet, job, wall_ms());
}

static void on_intake_set(struct mirror *mirror, const struct kv_item *item)
{
	struct director *director =
		container_of(mirror, struct director, intake);
	char *id = intake_id(item->key, KEY_SPEC_SUFFIX);

	if (id) {
		accept_job(director, id, item);
	} else {
		id = intake_id(item->key, KEY_CANCEL_SUFFIX);
		if (id)
			cancel_job(director, id);
	}
	g_free(id);
	wake(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

static void on_intake_removed(struct mirror *mirror, const char *key)
{
	struct director *director =
		container_of(mirror, struct director, intake);
	char *id = intake_id(key, KEY_CANCEL_SUFFIX);

	if (id)
		g_hash_table_remove(director->cancelled, id);
	g_free(id);
}

static void get_ready(struct director *director);

static void on_intake_synced(struct mirror *mirror)
{
	struct director *director =
		container_of(mirror, struct director, intake);

	director->intake_read = true;
	get_ready(director);
}

static const struct mirror_ops intake_ops = {
	.set = on_intake_set,
	.removed = on_intake_removed,
	.synced = on_intake_synced,
};

/* ---- workers ---- */

static void on_worker_set(struct mirror *mirror, const struct kv_item *item)
{
	struct director *director =
		container_of(mirror, struct director, workers);
	const char *id = item->key + strlen(mirror->prefix);
	struct worker_report report;
	struct worker *known;

	if (!director->edges->read_report(item->key, item->value, item->len,
					  &report)) {
		log_warn("worker.unreadable",
			 "worker=%s revision=%" G_GINT64_FORMAT " bytes=%zu",
			 id, item->mod_revision, item->len);
		fleet_unlist(&director->fleet, id, kn_now_us());
		return;
	}
	known = g_hash_table_lookup(director->fleet.workers_by_id, id);
	if (!known || known->said.born_ms != report.born_ms ||
	    known->said.draining != report.draining || !known->listed) {
		log_info(
			"worker.seen",
			"worker=%s pool=%s dc=%s rack=%s born_ms=%" G_GINT64_FORMAT
			" draining=%d revision=%" G_GINT64_FORMAT,
			id, report.pool, report.dc,
			report.rack ? report.rack : "-", report.born_ms,
			report.draining, item->mod_revision);
		wake(director, PASS_DELAY_MS * USEC_PER_MSEC);
	}
	fleet_report(&director->fleet, &report, kn_now_us());
}

static void on_worker_removed(struct mirror *mirror, const char *key)
{
	struct director *director =
		container_of(mirror, struct director, workers);
	const char *id = key + strlen(mirror->prefix);

	log_info("worker.unlisted", "worker=%s revision=%" G_GINT64_FORMAT, id,
		 mirror->revision);
	fleet_unlist(&director->fleet, id, kn_now_us());
	wake(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

static void on_workers_synced(struct mirror *mirror)
{
	struct director *director =
		container_of(mirror, struct director, workers);

	director->workers_read = true;
	get_ready(director);
}

static const struct mirror_ops workers_ops = {
	.set = on_worker_set,
	.removed = on_worker_removed,
	.synced = on_workers_synced,
};

/* ---- takeover ---- */

static void apply_state(struct director *director,
			const struct stored_state *state)
{
	struct job *job = fleet_job(&director->fleet, state->id);

	if (!job) {
		log_warn("state.orphan", "job=%s revision=%" G_GINT64_FORMAT,
			 state->id, state->revision);
		ledger_expire(&director->ledger, state->id);
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
			fleet_cancel(&director->fleet, job, wall_ms());
	}
}

static void get_ready(struct director *director)
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
	director_configure(director);
	wake(director, 0);
}

static void read_states(struct director *director);

static void on_states_retry(struct kn_timer *timer)
{
	read_states(container_of(timer, struct director, states_timer));
}

static void on_states(struct kv_call *call)
{
	struct director *director = call->user;
	size_t i;

	director->states_calling = false;
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
	get_ready(director);
}

static void read_states(struct director *director)
{
	struct kv *kv = director->edges->kv;

	memset(&director->states_call, 0, sizeof(director->states_call));
	director->states_call.done = on_states;
	director->states_call.user = director;
	director->states_calling = true;
	kv->ops->range(kv, &director->states_call, KEY_STATE_PREFIX, true);
}

/* Stops all that only a leader does; what runs stays known. */
static void stop_leading(struct director *director)
{
	struct kv *kv = director->edges->kv;

	kn_timer_cancel(&director->pass_timer);
	kn_timer_cancel(&director->states_timer);
	ledger_close(&director->ledger);
	advisor_close(&director->advisor);
	maintenance_close(&director->maintenance);
	mirror_stop(&director->workers);
	mirror_stop(&director->intake);
	if (director->states_calling)
		kv->ops->cancel(kv, &director->states_call);
	director->states_calling = false;
	g_hash_table_remove_all(director->cancelled);
	g_ptr_array_set_size(director->states, 0);
	director->ready = false;
	director->workers_read = false;
	director->intake_read = false;
	director->states_read = false;
}

static void stop_directing(struct director *director)
{
	if (!director->directing)
		return;
	relay_ask_end(&director->question);
	stop_leading(director);
	orders_close(&director->orders);
	fleet_finish(&director->fleet);
	director->directing = false;
	director->holding_until_us = 0;
}

/* Another host asks, which leads with a later fence. */
static void on_stand_down(void *user, int64_t fence)
{
	struct director *director = user;

	if (!director->directing || director->orders.fence >= fence)
		return;
	log_info("holding.ended", "fence=%lld later=%lld",
		 (long long)director->orders.fence, (long long)fence);
	stop_directing(director);
}

static void on_last_leader_gone(void *user)
{
	struct director *director = user;

	log_info("takeover.released", "last=%s fence=%lld",
		 director->leader.previous.host,
		 (long long)director->leader.fence);
	fleet_last_leader_gone(&director->fleet);
	wake(director, 0);
}

/*
 * The last leader may go on holding what runs for a while. If it can be
 * asked, it stops that, and what it may have held lapses sooner.
 */
static void ask_last_leader(struct director *director)
{
	const struct leader_mark *last = &director->leader.previous;
	int64_t hold_ms = director->site->bounds.max_hold_ms;

	director->fleet.held_on_ms = 0;
	/* An earlier process of this host is gone, and this one holds nothing. */
	if (!last->host[0] || strcmp(last->host, director->site->host) == 0)
		return;
	director->fleet.held_on_ms = hold_ms;
	relay_ask(&director->question, director->relay, &last->peers,
		  director->leader.fence, kn_now_us() + hold_ms * USEC_PER_MSEC,
		  on_last_leader_gone, director);
}

static void on_elected(struct leader *leader)
{
	struct director *director =
		container_of(leader, struct director, leader);

	stop_directing(director);
	director->elected_us = kn_now_us();
	director->directing = true;
	fleet_init(&director->fleet, &fleet_ops, director);
	director->fleet.bounds = director->site->bounds;
	director->fleet.fence = leader->fence;
	ask_last_leader(director);
	ledger_open(&director->ledger, &director->fleet, leader->fence);
	orders_open(&director->orders, &director->fleet, leader->fence);
	advisor_open(&director->advisor, &director->fleet);
	maintenance_open(&director->maintenance, &director->fleet,
			 leader->fence);
	mirror_start(&director->workers);
	mirror_start(&director->intake);
	read_states(director);
}

static void on_deposed(struct leader *leader)
{
	struct director *director =
		container_of(leader, struct director, leader);

	if (!leader->lapsed || !director->ready) {
		stop_directing(director);
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
	wake(director, 0);
}

static const struct leader_ops leader_ops = {
	.elected = on_elected,
	.deposed = on_deposed,
};

void director_configure(struct director *director)
{
	if (!director->directing || !director->configuration->current)
		return;
	fleet_set_config(&director->fleet, director->configuration->current);
	director->fleet.bounds = director->site->bounds;
	wake(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

void director_operator_key(struct director *director,
			   const struct kv_item *item)
{
	struct wave *wave = director->edges->read_wave(item->key, item->value,
						       item->len, kn_now_us());

	if (wave)
		maintenance_add(&director->maintenance, wave);
	else
		log_info("operator.key_ignored", "key=%s revision=%lld",
			 item->key, (long long)item->mod_revision);
}

static void on_advice(void *user)
{
	wake(user, 0);
}

/* ---- task ---- */

static bool director_start(struct kn_task *task, GError **err)
{
	struct director *director = container_of(task, struct director, task);

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
	stop_directing(director);
	kn_drained(task);
}

static void director_finish(struct kn_task *task)
{
	struct director *director = container_of(task, struct director, task);

	stop_directing(director);
	leader_finish(&director->leader);
	mirror_finish(&director->workers);
	mirror_finish(&director->intake);
	ledger_finish(&director->ledger);
	orders_finish(&director->orders);
	advisor_finish(&director->advisor);
	maintenance_finish(&director->maintenance);
	g_hash_table_unref(director->cancelled);
	g_ptr_array_unref(director->states);
	ctr_finish(&director->jobs_started);
	ctr_finish(&director->jobs_ended);
	ctr_finish(&director->passes);
	ctr_finish(&director->start_ms);
	ctr_finish(&director->done_ms);
	ctr_finish(&director->takeover_ms);
	ctr_finish(&director->preempted);
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
	ctr_init(&director->waiting, set, CTR_GAUGE, "chivebank_jobs_waiting",
		 NULL, "Jobs that have not started");
	ctr_init(&director->running, set, CTR_GAUGE, "chivebank_jobs_running",
		 NULL, "Jobs that have started and not ended");
}

struct director *director_new(struct kn *kn, const struct site *site,
			      const struct edges *edges,
			      struct configuration *configuration,
			      struct relay *relay, uint64_t incarnation)
{
	struct director *director = g_new0(struct director, 1);

	director->edges = edges;
	director->site = site;
	director->configuration = configuration;
	director->relay = relay;
	relay->stand_down = on_stand_down;
	relay->user = director;
	director->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	director->states = g_ptr_array_new_with_free_func(stored_state_free);
	kn_add(kn, &director->task, "director", &director_ops);
	init_counters(director);
	leader_init(&director->leader, edges->kv, site, incarnation,
		    &leader_ops);
	ledger_init(&director->ledger, edges->kv, &ledger_ops);
	orders_init(&director->orders, kn, edges->workers, &orders_ops);
	advisor_init(&director->advisor, edges->advice, &kn->counters,
		     on_advice, director);
	maintenance_init(&director->maintenance, edges, edges->machines);
	mirror_init(&director->workers, edges->kv, &workers_ops,
		    edges->reports_prefix, WORKERS_WAIT_MS);
	director->workers.gather_ms = WORKERS_GATHER_MS;
	mirror_init(&director->intake, edges->kv, &intake_ops,
		    KEY_INTAKE_PREFIX, INTAKE_WAIT_MS);
	return director;
}
