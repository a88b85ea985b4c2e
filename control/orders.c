#include "control/orders.h"

#include <string.h>

#include "base/limits.h"
#include "base/log.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"
#include "fleet/throttle.h"

/* Context of an order that was sent and has no answer yet. */
struct pending_order {
	struct list_head node;
	struct orders *orders;
	struct order_call call;
	enum order_kind kind;
	char *worker; /* id */
	char addr[48]; /* that the order was sent to */
	int port;
	int64_t born_ms;
	struct task_ref ref; /* not set for a hold */
	char *orphan; /* task name, if the stop is for an orphan */
	int64_t run;
	int64_t sent_us;
	int64_t wait_ms;
	int64_t acked_end; /* ORDER_HOLD */
	bool immediate; /* a hold without a wait, beside the one that waits */
	int percent; /* ORDER_PACE */
};

void orders_init(struct orders *orders, struct kn *kn,
		 struct worker_client *client, const struct orders_ops *ops)
{
	static const char *const results[] = { "result=\"accepted\"",
					       "result=\"refused\"",
					       "result=\"other_life\"",
					       "result=\"not_sent\"",
					       "result=\"unknown\"" };
	static const char *const kinds[] = { "kind=\"start\"", "kind=\"stop\"",
					     "kind=\"hold\"", "kind=\"pace\"" };
	size_t i;

	memset(orders, 0, sizeof(*orders));
	orders->ops = ops;
	orders->kn = kn;
	orders->client = client;
	list_init(&orders->calls);
	for (i = 0; i < G_N_ELEMENTS(results); i++)
		ctr_init(&orders->results[i], &kn->counters, CTR_COUNTER,
			 "chivebank_order_results_total", results[i],
			 "Answers of workers to orders");
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		ctr_init(&orders->sent[i], &kn->counters, CTR_COUNTER,
			 "chivebank_orders_total", kinds[i],
			 "Orders sent to workers");
	ctr_init(&orders->start_ms, &kn->counters, CTR_HISTOGRAM,
		 "chivebank_start_order_ms", NULL,
		 "Time from a start order to its acceptance");
	ctr_init(&orders->hold_late_ms, &kn->counters, CTR_HISTOGRAM,
		 "chivebank_hold_late_ms", NULL,
		 "Answer time of hold calls that waited for their whole time");
}

void orders_finish(struct orders *orders)
{
	size_t i;

	orders_close(orders);
	for (i = 0; i < G_N_ELEMENTS(orders->results); i++)
		ctr_finish(&orders->results[i]);
	for (i = 0; i < G_N_ELEMENTS(orders->sent); i++)
		ctr_finish(&orders->sent[i]);
	ctr_finish(&orders->start_ms);
	ctr_finish(&orders->hold_late_ms);
	orders->client->ops->finish(orders->client);
}

void orders_open(struct orders *orders, struct fleet *fleet, int64_t fence)
{
	orders->fleet = fleet;
	orders->fence = fence;
	orders->hold_only = false;
}

static void pending_free(struct pending_order *pending)
{
	list_del(&pending->node);
	g_free(pending->worker);
	g_free(pending->orphan);
	g_free(pending);
}

void orders_close(struct orders *orders)
{
	struct pending_order *pending, *next;

	list_for_each_entry_safe(pending, next, &orders->calls, node) {
		orders->client->ops->cancel(orders->client, &pending->call);
		pending_free(pending);
	}
	orders->fleet = NULL;
}

/* Answers. */

static struct worker *find_worker(const struct pending_order *pending)
{
	struct worker *worker = g_hash_table_lookup(
		pending->orders->fleet->workers_by_id, pending->worker);

	if (!worker || worker->reported.born_ms != pending->born_ms)
		return NULL;
	return worker;
}

static struct task *find_task(const struct pending_order *pending)
{
	struct job *job = fleet_job(pending->orders->fleet, pending->ref.job);
	struct task *task =
		job ? job_find_run(job, &pending->ref, pending->run) : NULL;

	if (!task || !task->worker ||
	    strcmp(task->worker->reported.id, pending->worker) != 0)
		return NULL;
	return task;
}

/*
 * Whether another process has taken the address at which the worker itself has
 * answered, so that this incarnation of it has ended. At any other address the
 * worker's registration may be wrong or out of date.
 */
static bool has_lost_address(const struct pending_order *pending,
			     const struct worker *worker)
{
	bool lost = worker->heard_us != 0 &&
		    pending->port == worker->heard_port &&
		    strcmp(pending->addr, worker->heard_addr) == 0;

	log_info("worker.other_life",
		 "worker=%s addr=%s port=%d heard_addr=%s heard_port=%d "
		 "tasks=%d ended=%d",
		 worker->reported.id, pending->addr, pending->port,
		 worker->heard_us ? worker->heard_addr : "-",
		 worker->heard_port, worker->task_count, lost);
	return lost;
}

static void count_unanswered(struct worker *worker, int64_t now_us)
{
	if (worker->unanswered_calls++ == 0)
		worker->unanswered_since_us = now_us;
}

/*
 * The answer came from a later incarnation of the worker, whose report is not
 * in the store yet.
 */
static void adopt_later_incarnation(struct orders *orders,
				    struct worker *worker,
				    const struct order_call *call,
				    int64_t now_us)
{
	log_info("worker.later_life",
		 "worker=%s born_ms=%" G_GINT64_FORMAT
		 " known_ms=%" G_GINT64_FORMAT,
		 worker->reported.id, call->born_ms, worker->reported.born_ms);
	fleet_worker_restarted(orders->fleet, worker, call->born_ms,
			       call->clock_ms, now_us);
}

/*
 * Updates the contact state and the clock sample of the worker. Returns NULL
 * when the incarnation that the order was sent to has ended.
 */
static struct worker *update_contact(struct pending_order *pending,
				     int64_t now_us)
{
	const struct order_call *call = &pending->call;
	struct worker *worker = find_worker(pending);

	if (!worker)
		return NULL;
	if (call->result == ORDER_UNKNOWN || call->result == ORDER_NOT_SENT) {
		count_unanswered(worker, now_us);
		worker->refusals =
			call->connection_refused ? worker->refusals + 1 : 0;
		return worker;
	}
	if (call->result == ORDER_OTHER_INCARNATION) {
		if (!has_lost_address(pending, worker)) {
			count_unanswered(worker, now_us);
			return worker;
		}
		fleet_worker_ended(pending->orders->fleet, worker);
		return NULL;
	}
	/* This life was known when the call was sent, so another one that
	 * answers is later, also if its time of day was set back. */
	if (call->born_ms != 0 && call->born_ms != worker->reported.born_ms) {
		adopt_later_incarnation(pending->orders, worker, call, now_us);
		return NULL;
	}
	if (worker->unreachable)
		log_info("worker.regained", "worker=%s silent=%d",
			 worker->reported.id, worker->unanswered_calls);
	worker->unreachable = false;
	worker->unanswered_calls = 0;
	worker->refusals = 0;
	worker->heard_us = now_us;
	worker->heard_port = pending->port;
	g_strlcpy(worker->heard_addr, pending->addr,
		  sizeof(worker->heard_addr));
	if (call->has_clock)
		worker_set_clock(worker, call->clock_ms, now_us);
	return worker;
}

/*
 * The start got no answer, or one that is not the worker's own, and may still
 * be carried out; repeats it, and asks for a report meanwhile.
 */
static void mark_start_uncertain(const struct pending_order *pending,
				 struct task *task, int64_t now_us)
{
	task->sent = true;
	if (task->phase != TASK_STARTING)
		return;
	task->unconfirmed = true;
	task->uncertain_us = now_us;
	task->retry_us = MAX(now_us, pending->sent_us +
					     REFUSED_RETRY_MS * USEC_PER_MSEC);
}

static void start_refused(struct pending_order *pending, struct task *task,
			  int64_t now_us)
{
	struct fleet *fleet = pending->orders->fleet;
	enum start_refusal why = pending->call.refusal;

	if (why == REFUSED_STALE_FENCE) {
		pending->orders->ops->fenced(pending->orders,
					     pending->orders->fence);
		return;
	}
	if (task->phase == TASK_STARTING &&
	    (why == REFUSED_LEASE_OVER || why == REFUSED_UNHEALTHY) &&
	    task->tries < START_TRIES_MAX) {
		/* The order was not carried out, so it may be sent again. */
		task->retry_us = now_us;
		if (why == REFUSED_UNHEALTHY)
			task->retry_us += REFUSED_RETRY_MS * USEC_PER_MSEC;
		return;
	}
	task->sent |= why == REFUSED_STALE_RUN;
	if (why == REFUSED_STALE_RUN || task->unconfirmed) {
		/* An earlier attempt was or may have been carried out. */
		fleet_stop(fleet, task,
			   "start was refused after an attempt without answer");
		if (why == REFUSED_STALE_RUN)
			task->answered_us = now_us;
		return;
	}
	fleet_run_refused(fleet, task, why, now_us);
}

/* The worker has restarted since the order was sent. */
static bool is_for_earlier_life(const struct pending_order *pending,
				const struct task *task)
{
	return pending->born_ms != task->worker->reported.born_ms;
}

static void on_start(struct pending_order *pending, int64_t now_us)
{
	struct task *task = find_task(pending);

	if (!task)
		return;
	task->calling = false;
	task->start_pending = false;
	if (is_for_earlier_life(pending, task)) {
		task->sent |= pending->call.result != ORDER_NOT_SENT;
		return;
	}
	switch (pending->call.result) {
	case ORDER_ACCEPTED:
		ctr_observe(&pending->orders->start_ms,
			    (uint64_t)(now_us - pending->sent_us) / 1000);
		fleet_run_started(pending->orders->fleet, task, now_us);
		break;
	case ORDER_REFUSED:
		start_refused(pending, task, now_us);
		break;
	case ORDER_NOT_SENT:
	case ORDER_OTHER_INCARNATION:
		if (task->phase == TASK_STARTING)
			task->retry_us =
				now_us + REFUSED_RETRY_MS * USEC_PER_MSEC;
		break;
	case ORDER_UNKNOWN:
		mark_start_uncertain(pending, task, now_us);
		break;
	}
}

static void on_stop(struct pending_order *pending, int64_t now_us)
{
	struct task *task = find_task(pending);

	if (!task || task->phase != TASK_STOPPING)
		return;
	task->calling = false;
	if (is_for_earlier_life(pending, task))
		return;
	task->retry_us = now_us + STOP_RETRY_MS * USEC_PER_MSEC;
	if (pending->call.result == ORDER_ACCEPTED) {
		task->retry_us +=
			pending->orders->fleet->bounds.stop_ms * USEC_PER_MSEC;
		fleet_stop_answered(pending->orders->fleet, task, now_us);
	} else if (pending->call.result == ORDER_REFUSED &&
		   pending->call.refusal == REFUSED_STALE_FENCE)
		pending->orders->ops->fenced(pending->orders,
					     pending->orders->fence);
}

static void on_orphan_stop(struct pending_order *pending, int64_t now_us)
{
	struct worker *worker = find_worker(pending);
	struct orphan *orphan =
		worker ? orphan_find(worker, pending->orphan, pending->run) :
			 NULL;

	if (!orphan)
		return;
	orphan->calling = false;
	orphan->retry_us = now_us + STOP_RETRY_MS * USEC_PER_MSEC;
	if (pending->call.result == ORDER_ACCEPTED) {
		orphan->answered_us = now_us;
		orphan->retry_us +=
			pending->orders->fleet->bounds.stop_ms * USEC_PER_MSEC;
	}
}

static void on_pace(struct pending_order *pending)
{
	struct task *task = find_task(pending);

	if (!task)
		return;
	task->pace_pending = false;
	if (pending->call.result == ORDER_ACCEPTED)
		task->pace_percent = pending->percent;
}

/*
 * Orders that found no connection are due at once when a hold is answered: its
 * connection is free until the next hold, and may be the only one that the
 * worker has left for this host.
 */
static void hasten_orders(struct worker *worker, int64_t now_us)
{
	struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker)
		if (!task->calling && task->answered_us == 0)
			task->retry_us = MIN(task->retry_us, now_us);
}

static void on_hold(struct pending_order *pending, struct worker *worker,
		    int64_t now_us)
{
	struct orders *orders = pending->orders;

	if (pending->call.result == ORDER_REFUSED) {
		if (pending->call.refusal == REFUSED_STALE_FENCE)
			orders->ops->fenced(orders, orders->fence);
		worker->next_hold_us = now_us + HOLD_RETRY_MS * USEC_PER_MSEC;
		return;
	}
	if (pending->call.result != ORDER_ACCEPTED) {
		worker->next_hold_us = now_us + HOLD_RETRY_MS * USEC_PER_MSEC;
		return;
	}
	if (pending->wait_ms > 0 && pending->call.report.nended == 0)
		ctr_observe(
			&orders->hold_late_ms,
			(uint64_t)MAX(0, (now_us - pending->sent_us) / 1000 -
						 pending->wait_ms));
	worker->next_hold_us = now_us;
	worker->acked = MAX(worker->acked, pending->acked_end);
	hasten_orders(worker, now_us);
	pending->call.report.born_ms = pending->call.born_ms;
	fleet_handle_hold(orders->fleet, worker, &pending->call.report,
			  pending->sent_us, now_us,
			  kn_wall_us() / USEC_PER_MSEC);
}

static void on_done(struct order_call *call)
{
	struct pending_order *pending =
		container_of(call, struct pending_order, call);
	struct orders *orders = pending->orders;
	int64_t now_us = kn_now_us();
	struct worker *worker;

	list_del(&pending->node);
	ctr_add(&orders->results[call->result], 1);
	worker = find_worker(pending);
	if (worker && pending->kind == ORDER_HOLD) {
		if (pending->immediate)
			worker->poll_pending = false;
		else
			worker->holding = false;
	}
	worker = update_contact(pending, now_us);
	if (pending->kind == ORDER_START)
		on_start(pending, now_us);
	else if (pending->orphan)
		on_orphan_stop(pending, now_us);
	else if (pending->kind == ORDER_STOP)
		on_stop(pending, now_us);
	else if (pending->kind == ORDER_PACE)
		on_pace(pending);
	else if (pending->kind == ORDER_HOLD && worker)
		on_hold(pending, worker, now_us);
	pending_free(pending);
	orders->ops->changed(orders);
}

/* Sending. */

static void send_order(struct orders *orders, struct pending_order *pending,
		       struct worker *worker, struct order *order,
		       int64_t now_us)
{
	order->addr = worker->reported.addr;
	order->port = worker->reported.port;
	order->worker = worker->reported.id;
	order->fence = orders->fence;
	pending->orders = orders;
	pending->kind = order->kind;
	pending->worker = g_strdup(worker->reported.id);
	g_strlcpy(pending->addr, order->addr, sizeof(pending->addr));
	pending->port = order->port;
	pending->born_ms = worker->reported.born_ms;
	pending->sent_us = now_us;
	pending->call.done = on_done;
	list_add_tail(&pending->node, &orders->calls);
	ctr_add(&orders->sent[order->kind], 1);
	orders->client->ops->start(orders->client, &pending->call, order);
}

static void fill_ref(const struct task *task, struct pending_order *pending)
{
	g_strlcpy(pending->ref.job, task->stage->job->id,
		  sizeof(pending->ref.job));
	pending->ref.occurrence = task->stage->occurrence;
	pending->ref.step = task->stage->step;
	pending->ref.index = task->index;
	pending->run = task->run;
}

static void send_start(struct orders *orders, struct task *task, int64_t now_us)
{
	struct pending_order *pending = g_new0(struct pending_order, 1);
	struct worker *worker = task->worker;
	char name[160];
	struct order order = {
		.kind = ORDER_START,
		.task = name,
		.run = task->run,
		.payload = task->stage->job->spec.payload,
		.checkpoint = task_original(task)->checkpoint,
		.ticket = task->ticket,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	task_name(task, name, sizeof(name));
	order.lease_until_ms = worker_extend_lease(
		worker, orders->fleet->bounds.max_hold_ms, now_us);
	fill_ref(task, pending);
	task->calling = true;
	task->start_pending = true;
	task->tries++;
	send_order(orders, pending, worker, &order, now_us);
}

static void send_stop(struct orders *orders, struct task *task, int64_t now_us)
{
	struct pending_order *pending = g_new0(struct pending_order, 1);
	char name[160];
	struct order order = {
		.kind = ORDER_STOP,
		.task = name,
		.run = task->run,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	task_name(task, name, sizeof(name));
	fill_ref(task, pending);
	task->calling = true;
	task->tries++;
	send_order(orders, pending, task->worker, &order, now_us);
}

static void send_orphan_stop(struct orders *orders, struct orphan *orphan,
			     int64_t now_us)
{
	struct pending_order *pending = g_new0(struct pending_order, 1);
	struct order order = {
		.kind = ORDER_STOP,
		.task = orphan->task,
		.run = orphan->run,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	pending->orphan = g_strdup(orphan->task);
	pending->run = orphan->run;
	orphan->calling = true;
	send_order(orders, pending, orphan->worker, &order, now_us);
}

static void send_pace(struct orders *orders, struct task *task, int64_t now_us)
{
	struct pending_order *pending = g_new0(struct pending_order, 1);
	char name[160];
	struct order order = {
		.kind = ORDER_PACE,
		.task = name,
		.run = task->run,
		.percent = throttle_percent(task),
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	task_name(task, name, sizeof(name));
	fill_ref(task, pending);
	pending->percent = order.percent;
	task->pace_pending = true;
	send_order(orders, pending, task->worker, &order, now_us);
}

/*
 * Returns the end of the lease to send with a hold. Returns 0, which does not
 * extend the lease, if the worker does not answer or has no task.
 */
static int64_t extended_lease_end(struct orders *orders, struct worker *worker,
				  int64_t now_us)
{
	if (worker->clock_us == 0 || !worker_reachable(worker, now_us) ||
	    worker->task_count == 0)
		return 0;
	return worker_extend_lease(worker, orders->fleet->bounds.max_hold_ms,
				   now_us);
}

/*
 * When a report is to be asked for that tells whether the run is over.
 * INT64_MAX if one has been, or if the usual reports are enough.
 */
static int64_t report_due_us(const struct fleet *fleet, const struct task *task)
{
	int64_t asked_us = task->worker->hold_sent_us, due_us;

	if (task->missing_us != 0) {
		due_us = proof_missing_again_us(fleet, task);
		return asked_us >= due_us ? INT64_MAX : due_us;
	}
	if (task->phase == TASK_STARTING && asked_us < task->uncertain_us)
		return task->uncertain_us;
	if (task->phase != TASK_STOPPING || task->answered_us == 0 ||
	    task->answered_us < asked_us)
		return INT64_MAX;
	return task->answered_us + fleet->bounds.stop_ms * 1000 / 2;
}

/*
 * Whether a start had no answer, a stop was answered, or a report has left a run
 * out, and no hold was sent since. The lists in the answer to an immediate hold then confirm the end
 * of the run early.
 */
static bool needs_report(const struct fleet *fleet, const struct worker *worker,
			 int64_t now_us, int64_t *next_us)
{
	const struct task *task;

	list_for_each_entry(task, &worker->tasks, on_worker) {
		int64_t due_us = report_due_us(fleet, task);

		if (due_us <= now_us)
			return true;
		*next_us = MIN(*next_us, due_us);
	}
	return false;
}

static void send_hold(struct orders *orders, struct worker *worker,
		      bool immediate, int64_t now_us)
{
	struct pending_order *pending = g_new0(struct pending_order, 1);
	struct order order = {
		.kind = ORDER_HOLD,
		.acked_end = fleet_ends_stored(orders->fleet, worker),
		.wait_ms = HOLD_WAIT_MS,
	};
	int64_t ignored_us = 0;

	/* Where serving and best-effort tasks share a worker, tail
	 * latencies change within seconds. */
	if (throttle_mixed_load(worker))
		order.wait_ms = HOLD_WAIT_MIXED_MS;
	if (immediate || !worker->fenced || worker->ends->len > 0 ||
	    worker->task_count == 0 ||
	    needs_report(orders->fleet, worker, now_us, &ignored_us))
		order.wait_ms = 0;
	order.lease_until_ms = extended_lease_end(orders, worker, now_us);
	order.timeout_ms = order.wait_ms + HOLD_TIMEOUT_MS;
	pending->wait_ms = order.wait_ms;
	pending->immediate = immediate;
	if (immediate)
		worker->poll_pending = true;
	else
		worker->holding = true;
	worker->hold_sent_us = now_us;
	pending->acked_end = order.acked_end;
	send_order(orders, pending, worker, &order, now_us);
}

/* Orders that are due. */

/* Returns false if the tasks of the worker may have changed. */
static bool process_task(struct orders *orders, struct task *task,
			 int64_t now_us, int64_t *next_us)
{
	uint64_t stored = fleet_stored_change(orders->fleet);

	switch (task->phase) {
	case TASK_PLANNED:
		if (task->change > stored)
			return true;
		task->phase = TASK_STARTING;
		send_start(orders, task, now_us);
		return true;
	case TASK_STARTING:
		/* Whether an adopted run exists is known from the worker's
		 * answer to a hold. */
		if (task->calling || (task->unconfirmed && task->tries == 0))
			return true;
		break;
	case TASK_STOPPING:
		if (task->calling && task->stop_sent)
			return true;
		break;
	case TASK_RUNNING:
		if (!task->pace_pending &&
		    task->pace_percent != throttle_percent(task))
			send_pace(orders, task, now_us);
		return true;
	default:
		return true;
	}
	if (task->phase == TASK_STOPPING &&
	    fleet_release_unsent(orders->fleet, task)) {
		*next_us = now_us;
		return false;
	}
	if (task->retry_us > now_us) {
		*next_us = MIN(*next_us, task->retry_us);
		return true;
	}
	if (task->phase == TASK_STARTING && task->tries >= START_TRIES_MAX) {
		*next_us = now_us;
		/* A start without an answer may still be carried out. */
		if (!fleet_release_unsent(orders->fleet, task))
			fleet_stop(orders->fleet, task,
				   "start order was not answered");
		return false;
	}
	if (task->phase == TASK_STARTING) {
		send_start(orders, task, now_us);
		return true;
	}
	task->stop_sent = true;
	send_stop(orders, task, now_us);
	return true;
}

/*
 * Whether a worker must be called: it has tasks, or ends to be acknowledged, or
 * its latest call had no answer. Only an answer makes a worker usable again, so
 * an idle one that has become unreachable is called until it answers.
 */
static bool needs_hold(const struct worker *worker)
{
	return worker->task_count > 0 || !list_empty(&worker->orphans) ||
	       worker->acked < worker->end_seen ||
	       (worker->unanswered_calls > 0 && worker->listed &&
		!worker->replaced);
}

static void stop_orphans(struct orders *orders, struct worker *worker,
			 int64_t now_us, int64_t *next_us)
{
	struct orphan *orphan;

	list_for_each_entry(orphan, &worker->orphans, node) {
		if (orphan->calling)
			continue;
		if (orphan->retry_us <= now_us)
			send_orphan_stop(orders, orphan, now_us);
		else
			*next_us = MIN(*next_us, orphan->retry_us);
	}
}

static void process_worker(struct orders *orders, struct worker *worker,
			   int64_t now_us, int64_t *next_us)
{
	struct fleet *fleet = orders->fleet;
	struct task *task, *next;
	int64_t acked_end;

	if (worker->reported.port == 0)
		return;
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
		if (!orders->hold_only &&
		    !process_task(orders, task, now_us, next_us))
			break;
	if (!orders->hold_only)
		stop_orphans(orders, worker, now_us, next_us);
	acked_end = fleet_ends_stored(fleet, worker);
	if (!needs_hold(worker))
		return;
	/* While the ends that the worker lists are not stored yet, it would
	 * answer a hold immediately with the same ends. */
	if (!worker->holding && worker->acked < worker->end_seen &&
	    acked_end < worker->end_seen &&
	    now_us < worker->hold_sent_us +
			     HOLD_UNSTORED_RETRY_MS * USEC_PER_MSEC) {
		*next_us = MIN(*next_us,
			       worker->hold_sent_us +
				       HOLD_UNSTORED_RETRY_MS * USEC_PER_MSEC);
		return;
	}
	if (!worker->holding && worker->next_hold_us <= now_us) {
		send_hold(orders, worker, false, now_us);
		return;
	}
	if (!worker->holding)
		*next_us = MIN(*next_us, worker->next_hold_us);
	else if (!worker->poll_pending &&
		 needs_report(fleet, worker, now_us, next_us))
		send_hold(orders, worker, true, now_us);
}

int64_t orders_run(struct orders *orders, int64_t now_us)
{
	struct worker *worker, *next;
	int64_t next_us = INT64_MAX;

	if (!orders->fleet || !orders->ops->may_send(orders))
		return next_us;
	list_for_each_entry_safe(worker, next, &orders->fleet->workers, node)
		process_worker(orders, worker, now_us, &next_us);
	return next_us;
}
