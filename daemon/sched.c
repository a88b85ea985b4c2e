#include "daemon/sched.h"

#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/sched_int.h"

static void tick(struct kn_timer *timer);

/* The lease may have lapsed since the last message from "lead". */
bool sched_may_send(const struct sched *s)
{
	return s->leading && kn_now_us() < s->valid_until_us;
}

/* ---- document ---- */

static void add_worker(struct sched *s, const struct doc_worker *at)
{
	struct sched_worker *w;

	if (sc_add_worker(&s->sc, at->rack, at->accelerators) < 0) {
		log_warn("scheduler.worker_refused", "worker=%s rack=%d",
			 at->name, at->rack);
		return;
	}
	s->workers =
		g_renew(struct sched_worker, s->workers, s->worker_count + 1);
	w = &s->workers[s->worker_count++];
	*w = (struct sched_worker){ .at = *at };
	w->forget = g_ptr_array_new_with_free_func(g_free);
}

static bool has_worker(const struct sched *s, const struct doc_worker *at)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (strcmp(s->workers[i].at.name, at->name) == 0)
			return true;
	return false;
}

static void apply_pool(struct sched *s)
{
	const struct doc_pool *pool = doc_view_pool(s->view, s->set->dc);
	size_t i;

	for (i = 0; pool && i < pool->worker_count; i++)
		if (!has_worker(s, &pool->workers[i]))
			add_worker(s, &pool->workers[i]);
}

static void apply_customer(struct sched *s, const struct doc_customer *c)
{
	int units[CELL_UNITS] = { 0 };
	size_t i;

	for (i = 0; i < c->guarantee_count; i++)
		if (strcmp(c->guarantees[i].dc, s->set->dc) == 0)
			units[c->guarantees[i].unit] += c->guarantees[i].count;
	sc_set_customer(&s->sc, sched_customer(s, c->name), c->weight,
			c->quota_accelerators, units, kn_now_us());
}

/* Customers that the document no longer has; before says how they end. */
static void remove_customers(struct sched *s, const struct doc_view *before)
{
	size_t i;

	for (i = 0; before && i < before->customer_count; i++) {
		const struct doc_customer *c = &before->customers[i];

		if (!doc_view_customer(s->view, c->name))
			sc_remove_customer(&s->sc, sched_customer(s, c->name),
					   c->stop_on_removal, kn_now_us());
	}
}

static void apply_view(struct sched *s, const struct doc_view *before)
{
	size_t i;

	apply_pool(s);
	for (i = 0; i < s->view->customer_count; i++)
		apply_customer(s, &s->view->customers[i]);
	remove_customers(s, before);
}

static int worker_size(const struct sched *s)
{
	const struct doc_pool *pool = doc_view_pool(s->view, s->set->dc);
	int size = 1;
	size_t i;

	for (i = 0; pool && i < pool->worker_count; i++)
		size = MAX(size, pool->workers[i].accelerators);
	return size;
}

/* ---- leadership ---- */

/* Forgets everything; answers to calls in progress are ignored. */
static void reset(struct sched *s)
{
	GHashTableIter iter;
	gpointer value;
	int i;

	s->generation++;
	s->phase = PHASE_IDLE;
	if (!s->have_sc)
		return;
	s->edge->ops->finish(s->edge);
	sched_drop_calls(s);
	s->edge = s->make_edge(s->task.kn);
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sched_job *j = value;

		sc_job_finish(&s->sc, &j->job);
		g_hash_table_iter_steal(&iter);
		sched_job_free(j);
	}
	for (i = 0; i < s->worker_count; i++)
		g_ptr_array_free(s->workers[i].forget, TRUE);
	g_free(s->workers);
	s->workers = NULL;
	s->worker_count = 0;
	g_hash_table_remove_all(s->customers);
	g_hash_table_remove_all(s->reported);
	sc_finish(&s->sc);
	s->have_sc = false;
}

static void begin(struct sched *s)
{
	reset(s);
	if (!s->leading || !s->view)
		return;
	sc_init(&s->sc, &sched_sc_ops, worker_size(s), WORKERS_PER_RACK);
	s->have_sc = true;
	apply_view(s, NULL);
	s->phase = PHASE_LOADING;
	s->load_at_us = 0;
	s->load_failures = 0;
	ev_emit("scheduler.loading", "epoch=%" G_GUINT64_FORMAT, s->epoch);
}

/* ---- loading ---- */

static void load_record(struct sched *s, const struct kv_item *item)
{
	json_t *json = json_loads(item->value, 0, NULL);
	GError *err = NULL;
	struct jb jb;

	jb_init(&jb);
	if (jb_from_json(&jb, json, &err)) {
		struct sched_job *j = sched_job_new(s, &jb);

		j->mod_revision = item->mod_revision;
	} else {
		log_warn("scheduler.bad_record", "key=%s text=\"%s\"",
			 item->key, err->message);
		g_error_free(err);
		jb_finish(&jb);
	}
	json_decref(json);
}

static void loaded(struct kv_call *call)
{
	struct sched *s = container_of(call, struct sched, load);
	int64_t delay_ms;
	size_t i;

	s->load_busy = false;
	if (s->phase != PHASE_LOADING)
		return;
	if (call->result != CB_OK) {
		delay_ms = STORE_BACKOFF_BASE_MS << MIN(s->load_failures++, 6u);
		delay_ms = MIN(delay_ms, STORE_BACKOFF_CAP_MS);
		s->load_at_us =
			kn_now_us() +
			g_random_int_range(0, (gint32)delay_ms) * USEC_PER_MSEC;
		return;
	}
	for (i = 0; i < call->count; i++)
		load_record(s, &call->items[i]);
	s->phase = PHASE_SYNCING;
}

static void load(struct sched *s, int64_t now_us)
{
	char *prefix;

	if (s->load_busy || now_us < s->load_at_us)
		return;
	s->load_busy = true;
	memset(&s->load, 0, sizeof(s->load));
	s->load.done = loaded;
	prefix = g_strdup_printf("/chivebank/jobs/%s/", s->set->dc);
	s->kv->ops->range(s->kv, &s->load, prefix, true);
	g_free(prefix);
}

/* ---- tick ---- */

static void sync_workers(struct sched *s, int64_t now_us)
{
	int i;

	for (i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];
		int64_t every_ms = WORKER_SYNC_MS;

		if (w->soon ||
		    (w->failed_syncs > 0 && w->failed_syncs < SCHED_DEAD_SYNCS))
			every_ms = SCHED_POLL_MS;
		if (!w->syncing &&
		    now_us - w->synced_us >= every_ms * USEC_PER_MSEC)
			sched_sync(s, i);
	}
}

static bool all_asked(const struct sched *s)
{
	int i;

	for (i = 0; i < s->worker_count; i++)
		if (!s->workers[i].asked)
			return false;
	return true;
}

static void tick(struct kn_timer *timer)
{
	struct sched *s = container_of(timer, struct sched, timer);
	int64_t now_us = kn_now_us();

	kn_timer_set(s->task.kn, timer, SCHED_TICK_MS * USEC_PER_MSEC, tick);
	if (!sched_may_send(s))
		return;
	if (s->phase == PHASE_LOADING)
		load(s, now_us);
	if (s->phase == PHASE_SYNCING && all_asked(s))
		sched_take_over(s);
	if (s->phase == PHASE_READY) {
		sched_gang_tick(s, now_us);
		sc_pass(&s->sc, now_us);
		ctr_add(&s->passes, 1);
	}
	if (s->phase >= PHASE_SYNCING)
		sync_workers(s, now_us);
}

/* ---- task ---- */

static void on_lead(struct sched *s, const struct svc_lead *lead)
{
	bool changed = lead->leading != s->leading ||
		       (lead->leading && lead->epoch != s->epoch);

	s->leading = lead->leading;
	s->epoch = lead->epoch;
	s->valid_until_us = lead->valid_until_us;
	if (changed)
		begin(s);
}

static void on_document(struct sched *s, struct svc_doc *doc)
{
	struct doc_view *before = s->view;

	s->view = doc_view_ref(doc->view);
	if (s->have_sc)
		apply_view(s, before);
	else
		begin(s);
	if (before)
		doc_view_unref(before);
}

static void receive(struct kn_task *task, struct kn_msg *msg)
{
	struct sched *s = container_of(task, struct sched, task);

	switch (msg->type) {
	case SVC_LEAD_CHANGED:
		on_lead(s, container_of(msg, struct svc_lead, msg));
		break;
	case SVC_DOC_CHANGED:
		on_document(s, container_of(msg, struct svc_doc, msg));
		break;
	case SVC_API_CALL:
		sched_api(s, container_of(msg, struct svc_api_call, msg));
		return; /* goes back to the API */
	default:
		break;
	}
	kn_msg_release(msg);
}

static bool start(struct kn_task *task, GError **err)
{
	struct sched *s = container_of(task, struct sched, task);
	struct kn_task *lead = kn_find(task->kn, SVC_LEAD);
	struct kn_task *document = kn_find(task->kn, SVC_DOCUMENT);

	if (lead)
		svc_subscribe(lead, task);
	if (document)
		svc_subscribe(document, task);
	kn_timer_set(task->kn, &s->timer, SCHED_TICK_MS * USEC_PER_MSEC, tick);
	return true;
}

static void finish(struct kn_task *task)
{
	struct sched *s = container_of(task, struct sched, task);

	kn_timer_cancel(&s->timer);
	reset(s);
	s->edge->ops->finish(s->edge);
	if (s->view)
		doc_view_unref(s->view);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->customers);
	g_hash_table_destroy(s->reported);
	ctr_finish(&s->writes);
	ctr_finish(&s->passes);
	ctr_finish(&s->starts);
	ctr_finish(&s->displaced);
	g_free(s);
}

static const struct kn_task_ops sched_ops = {
	.start = start,
	.receive = receive,
	.finish = finish,
};

static void count(struct kn *kn, struct ctr *ctr, const char *name,
		  const char *help)
{
	ctr_init(ctr, &kn->counters, CTR_COUNTER, name, NULL, help);
}

struct kn_task *sched_new(struct kn *kn, const struct set *set, struct kv *kv,
			  struct wk_edge *(*make_edge)(struct kn *kn))
{
	struct sched *s = g_new0(struct sched, 1);

	s->set = set;
	s->kv = kv;
	s->make_edge = make_edge;
	s->edge = make_edge(kn);
	list_init(&s->calls);
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	kn_add(kn, &s->task, SVC_SCHEDULER, &sched_ops);
	count(kn, &s->writes, "chivebank_job_writes_total",
	      "Writes of job records to the store.");
	count(kn, &s->passes, "chivebank_job_passes_total",
	      "Scheduling passes.");
	count(kn, &s->starts, "chivebank_job_starts_total",
	      "Gangs that were given a place.");
	count(kn, &s->displaced, "chivebank_job_displaced_total",
	      "Gangs that were asked to leave their place.");
	return &s->task;
}
