#include "daemon/jobs/sched.h"

#include <inttypes.h>

#include "base/ev.h"
#include "base/log.h"
#include "daemon/jobs/sched_int.h"
#include "daemon/stop.h"

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

static void on_tick(struct kn_timer *timer);

/*
 * Whether this host holds a valid leadership lease for the current epoch.
 * Must be checked before anything is sent to a worker.
 */
bool sched_may_act(const struct sched *s)
{
	return s->phase != SCHED_OFF && s->lead.leading &&
	       s->lead.epoch == s->epoch &&
	       kn_now_us() < s->lead.valid_until_us;
}

static void wake_in(struct sched *s, int64_t delay_us)
{
	int64_t at_us = kn_now_us() + delay_us;

	if (kn_timer_pending(&s->timer) && s->wake_us <= at_us)
		return;
	s->wake_us = at_us;
	kn_timer_set(s->task.kn, &s->timer, delay_us, on_tick);
}

/* Schedules a tick. Each tick scans all workers, so events are batched. */
void sched_wake(struct sched *s)
{
	wake_in(s, MS(SCHED_EVENT_TICK_MS));
}

/* Exponential backoff with full jitter. */
int64_t sched_backoff_us(struct sched *s, unsigned int failures)
{
	int64_t ceiling = STORE_BACKOFF_BASE_MS;

	while (failures-- > 0 && ceiling < STORE_BACKOFF_CAP_MS)
		ceiling *= 2;
	return (int64_t)(g_rand_double(s->rand) *
			 (double)MS(MIN(ceiling, STORE_BACKOFF_CAP_MS)));
}

/* Leadership. */

/*
 * Starts to read the job records and to sync with the workers.
 * sched_take_over() runs when both are complete.
 */
static void begin_leading(struct sched *s)
{
	/*
	 * A token must identify a single attempt even if the record in the
	 * store is out of date, so attempt numbers that may be in use already
	 * are skipped.
	 */
	if (s->epoch == s->lead.epoch)
		s->attempt_base += JOB_FAILURES_MAX * 100;
	else
		s->attempt_base = 0;
	s->phase = SCHED_READING;
	s->epoch = s->lead.epoch;
	s->term++;
	s->takeover_us = kn_now_us();
	s->last_run_us = s->takeover_us;
	s->loaded = false;
	s->loading = false;
	s->next_load_us = 0;
	s->load_failures = 0;
	s->load_part = 0;
	s->next_write_us = 0;
	s->write_failures = 0;
	sched_build_policy(s);
	ev_emit("scheduler.begin", "epoch=%" PRIu64, s->epoch);
	sched_wake(s);
}

static void drop_jobs(struct sched *s)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int i;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sched_job *job = value;

		if (job->policy.state != SCHEDULER_ENDED)
			scheduler_job_finish(&s->policy, &job->policy);
		g_hash_table_iter_steal(&iter);
		sched_job_free(job);
	}
	for (i = 0; i < s->records->len; i++)
		sched_job_free(s->records->pdata[i]);
	g_ptr_array_set_size(s->records, 0);
	s->ended_count = 0;
}

/* Drops all state; the next leader rebuilds it from records and workers. */
static void end_leading(struct sched *s)
{
	if (s->phase == SCHED_OFF)
		return;
	s->closing = true;
	s->phase = SCHED_OFF;
	s->term++;
	sched_calls_cancel(s);
	sched_submits_fail(s);
	drop_jobs(s);
	sched_workers_free(s);
	g_ptr_array_set_size(s->customers, 0);
	scheduler_finish(&s->policy);
	s->have_policy = false;
	s->closing = false;
	kn_timer_cancel(&s->timer);
	if (s->drain_us)
		sched_wake(s); /* on_tick() still has to report the drain */
	ev_emit("scheduler.end", "epoch=%" PRIu64, s->epoch);
}

static void update_leading(struct sched *s)
{
	bool leads = s->lead.leading && s->view && !s->drain_us;

	/*
	 * A host can lose and regain leadership within one epoch while the
	 * store is down; its state is still valid then and is kept. It is also
	 * kept while draining, so that pending records are written.
	 */
	if (s->phase != SCHED_OFF && !s->drain_us && s->lead.epoch != s->epoch)
		end_leading(s);
	if (s->phase == SCHED_OFF && leads)
		begin_leading(s);
}

/* Ticks. */

/*
 * Time during which this host sent no syncs, because its process was frozen
 * or its lease had expired, does not count towards the silence of workers.
 */
static void discount_gap(struct sched *s, int64_t now_us)
{
	int64_t gap_us = now_us - s->last_run_us;
	unsigned int i;

	s->last_run_us = now_us;
	if (gap_us < MS(LEADER_FREEZE_MS))
		return;
	for (i = 0; i < s->workers->len; i++) {
		struct sched_worker *w = s->workers->pdata[i];

		w->last_report_us = MIN(now_us, w->last_report_us + gap_us);
		w->next_sync_us = now_us;
	}
}

static void update_gauges(struct sched *s)
{
	uint64_t queued = 0, running = 0;
	struct scheduler_job *job;
	int i;

	for (i = 0; i < s->policy.customer_count; i++)
		queued += (uint64_t)s->policy.customers[i].queued;
	list_for_each_entry(job, &s->policy.running, node)
		running += job->state == SCHEDULER_RUNNING;
	ctr_gauge(&s->queued, queued);
	ctr_gauge(&s->running, running);
}

static void run_pass(struct sched *s, int64_t now_us)
{
	/*
	 * Passes also run without an event, because grace periods, ageing and
	 * quarantines depend on time.
	 */
	int64_t wait_us = MS(s->dirty ? SCHED_PASS_MS : 5 * SCHED_PASS_MS);

	if (s->drain_us || now_us - s->last_pass_us < wait_us)
		return;
	s->dirty = false;
	s->last_pass_us = now_us;
	scheduler_pass(&s->policy, now_us);
	update_gauges(s);
}

static void check_drained(struct sched *s, int64_t now_us)
{
	size_t pending = sched_store_pending(s);

	if (!s->drain_us || s->task.drained ||
	    (pending > 0 && now_us < s->drain_us))
		return;
	if (pending > 0)
		log_warn("scheduler.not_written",
			 "epoch=%" PRIu64 " records=%zu", s->epoch, pending);
	kn_drained(&s->task);
}

static void run_as_leader(struct sched *s, int64_t now_us)
{
	discount_gap(s, now_us);
	sched_store_tick(s, now_us);
	sched_sync_tick(s, now_us);
	if (s->phase == SCHED_READING && sched_takeover_ready(s, now_us))
		sched_take_over(s, now_us);
	if (s->phase != SCHED_ON)
		return;
	sched_gang_tick(s, now_us);
	run_pass(s, now_us);
	sched_gang_tick(s, now_us);
	sched_expire_ended(s, now_us);
}

static void on_tick(struct kn_timer *timer)
{
	struct sched *s = container_of(timer, struct sched, timer);
	int64_t now_us = kn_now_us();

	if (sched_may_act(s))
		run_as_leader(s, now_us);
	else if (s->drain_us)
		sched_store_tick(s, now_us);
	check_drained(s, now_us);
	if (s->task.drained || (s->phase == SCHED_OFF && !s->drain_us))
		return;
	wake_in(s, MS(list_empty(&s->ticking) ? SCHED_IDLE_TICK_MS :
						SCHED_TICK_MS));
}

/* Task. */

static void on_document(struct sched *s, const struct svc_doc *changed)
{
	struct doc_view *old = s->view;

	s->view = doc_view_ref(changed->view);
	if (s->phase != SCHED_OFF && sched_worker_size_changed(s))
		end_leading(s); /* running jobs are adopted from the workers */
	if (s->phase == SCHED_OFF) {
		doc_view_unref(old);
		update_leading(s);
	} else {
		sched_apply_view(s, old);
		sched_wake(s);
	}
}

static void sched_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct sched *s = container_of(task, struct sched, task);

	switch (msg->type) {
	case SVC_API_CALL:
		sched_api_call(s, container_of(msg, struct svc_api_call, msg));
		return; /* the message is sent back to the API */
	case SVC_DOC_CHANGED:
		on_document(s, container_of(msg, struct svc_doc, msg));
		break;
	case SVC_LEAD_CHANGED:
		s->lead = *container_of(msg, struct svc_lead, msg);
		update_leading(s);
		break;
	default:
		break;
	}
	kn_msg_release(msg);
}

static bool sched_start(struct kn_task *task, GError **err)
{
	struct kn_task *lead = kn_find(task->kn, SVC_LEAD);
	struct kn_task *document = kn_find(task->kn, SVC_DOCUMENT);

	if (lead)
		svc_subscribe(lead, task);
	if (document)
		svc_subscribe(document, task);
	return true;
}

/*
 * Waits at most SCHED_DRAIN_MS for pending records to be written. Running
 * jobs are not stopped.
 */
static void sched_drain(struct kn_task *task)
{
	struct sched *s = container_of(task, struct sched, task);

	s->drain_us =
		kn_now_us() + MIN(MS(SCHED_DRAIN_MS), stop_services_us(s->set));
	sched_wake(s);
}

static void sched_finish(struct kn_task *task)
{
	struct sched *s = container_of(task, struct sched, task);

	end_leading(s);
	kn_timer_cancel(&s->timer);
	sched_store_finish(s);
	s->client->ops->finish(s->client);
	doc_view_unref(s->view);
	g_free(s->epoch_key);
	g_ptr_array_free(s->workers, TRUE);
	g_ptr_array_free(s->customers, TRUE);
	g_ptr_array_free(s->records, TRUE);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->tokens);
	g_rand_free(s->rand);
	ctr_finish(&s->record_writes);
	ctr_finish(&s->starts);
	ctr_finish(&s->syncs);
	ctr_finish(&s->queued);
	ctr_finish(&s->running);
	g_free(s);
}

static const struct kn_task_ops sched_ops = {
	.start = sched_start,
	.receive = sched_receive,
	.drain = sched_drain,
	.finish = sched_finish,
};

static void init_counters(struct sched *s, struct ctr_set *set)
{
	ctr_init(&s->record_writes, set, CTR_COUNTER,
		 "chivebank_job_record_writes_total", NULL,
		 "Job records written to the store");
	ctr_init(&s->starts, set, CTR_COUNTER, "chivebank_gang_starts_total",
		 NULL, "Gangs that began to run");
	ctr_init(&s->syncs, set, CTR_COUNTER, "chivebank_worker_syncs_total",
		 NULL, "Syncs sent to workers");
	ctr_init(&s->queued, set, CTR_GAUGE, "chivebank_jobs_queued", NULL,
		 "Jobs that wait for a place");
	ctr_init(&s->running, set, CTR_GAUGE, "chivebank_jobs_running", NULL,
		 "Jobs that run");
}

struct kn_task *sched_new(struct kn *kn, const struct set *set, struct kv *kv,
			  uint64_t incarnation)
{
	struct sched *s = g_new0(struct sched, 1);

	s->set = set;
	s->kv = kv;
	s->client = agent_http_new(kn);
	s->epoch_key = g_strdup_printf("/chivebank/dc/%s/epoch", set->dc);
	s->rand = g_rand_new_with_seed(
		(guint32)(set->seed ? set->seed : incarnation));
	s->workers = g_ptr_array_new();
	s->customers = g_ptr_array_new_with_free_func(g_free);
	s->records = g_ptr_array_new();
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->tokens = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&s->ticking);
	list_init(&s->ended);
	list_init(&s->writes);
	list_init(&s->store_calls);
	list_init(&s->submits);
	list_init(&s->agent_calls);
	init_counters(s, &kn->counters);
	kn_add(kn, &s->task, SVC_SCHEDULER, &sched_ops);
	return &s->task;
}
