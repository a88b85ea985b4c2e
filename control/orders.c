#include "control/orders_int.h"

#include <string.h>

#include "base/limits.h"
#include "fleet/evacuation.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"
#include "fleet/throttle.h"

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

void orders_close(struct orders *orders)
{
	struct pending_order *pending, *next;

	list_for_each_entry_safe(pending, next, &orders->calls, node) {
		orders->client->ops->cancel(orders->client, &pending->call);
		orders_pending_free(pending);
	}
	orders->fleet = NULL;
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
	pending->call.done = orders_on_answer;
	worker->calls++;
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

static bool one_by_one(const struct worker *worker, int64_t now_us)
{
	return now_us < worker->one_by_one_until_us;
}

/*
 * A worker that takes no new connection is sent one order at a time: the next
 * one uses the connection on which the one before was answered.
 */
static bool may_call(const struct worker *worker, int64_t now_us)
{
	return worker->calls == 0 || !one_by_one(worker, now_us);
}

/* One by one, orders go before the hold, but the lease has to be extended. */
static bool hold_goes_first(const struct worker *worker, int64_t now_us)
{
	return one_by_one(worker, now_us) &&
	       now_us - worker->hold_sent_us > 2 * HOLD_WAIT_MS * USEC_PER_MSEC;
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

	if (task->missing > 0) {
		due_us = fleet_missing_again_us(fleet, task);
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
 * out, and no hold was sent since. The lists in the answer to an immediate hold
 * then tell early what became of the run.
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
		.acked_end = fleet_ends_acknowledged(orders->fleet, worker),
		.wait_ms = HOLD_WAIT_MS,
	};
	int64_t ignored_us = 0;

	/* Where serving and best-effort tasks share a worker, tail
	 * latencies change within seconds. */
	if (throttle_mixed_load(worker))
		order.wait_ms = HOLD_WAIT_MIXED_MS;
	if (one_by_one(worker, now_us))
		order.wait_ms = HOLD_WAIT_ONE_BY_ONE_MS;
	if (immediate || !worker->fenced || worker->ends->len > 0 ||
	    worker->task_count == 0 ||
	    (worker->acked < worker->end_seen &&
	     order.acked_end < worker->end_seen) ||
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

	/* The request may have been read after the pass that planned the run. */
	if (evacuation_stop(orders->fleet, task, now_us)) {
		*next_us = now_us;
		return false;
	}
	switch (task->phase) {
	case TASK_PLANNED:
		if (task->change > stored || !orders->ops->may_start(orders))
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
		if (orders->ops->may_start(orders) &&
		    !evacuation_of_worker(orders->fleet, task->worker))
			send_start(orders, task, now_us);
		return true;
	}
	task->stop_sent = true;
	send_stop(orders, task, now_us);
	return true;
}

/*
 * Whether a worker must be called: it has tasks, or ends to be acknowledged, or
 * its latest call had no answer, or it has to answer before it gets tasks. Only an
 * answer makes a worker usable again, so an idle one that has become unreachable
 * is called until it answers.
 */
static bool needs_hold(const struct worker *worker)
{
	return worker->task_count > 0 || !list_empty(&worker->orphans) ||
	       worker->acked < worker->end_seen ||
	       ((worker->unanswered_calls > 0 || worker_unverified(worker)) &&
		worker->listed && !worker->replaced);
}

static void stop_orphans(struct orders *orders, struct worker *worker,
			 int64_t now_us, int64_t *next_us)
{
	struct orphan *orphan;

	list_for_each_entry(orphan, &worker->orphans, node) {
		if (!may_call(worker, now_us))
			return;
		if (orphan->calling)
			continue;
		if (orphan->retry_us <= now_us)
			send_orphan_stop(orders, orphan, now_us);
		else
			*next_us = MIN(*next_us, orphan->retry_us);
	}
}

/*
 * Whether to acknowledge the reported ends now. The acknowledgement goes out
 * before the starts that follow from the ends, on the connection on which they
 * were reported, so that it reaches no later life of the worker.
 */
static bool acknowledges_first(const struct orders *orders,
			       struct worker *worker, int64_t now_us)
{
	return !worker->holding && worker->acked < worker->end_seen &&
	       worker->next_hold_us <= now_us && !one_by_one(worker, now_us) &&
	       fleet_ends_acknowledged(orders->fleet, worker) >=
		       worker->end_seen;
}

static void process_worker(struct orders *orders, struct worker *worker,
			   int64_t now_us, int64_t *next_us)
{
	struct fleet *fleet = orders->fleet;
	struct task *task, *next;
	bool hold_only = orders->hold_only || hold_goes_first(worker, now_us);
	int64_t acked_end;

	if (worker->reported.port == 0)
		return;
	if (acknowledges_first(orders, worker, now_us))
		send_hold(orders, worker, false, now_us);
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
		if (hold_only || !may_call(worker, now_us) ||
		    !process_task(orders, task, now_us, next_us))
			break;
	if (!hold_only)
		stop_orphans(orders, worker, now_us, next_us);
	acked_end = fleet_ends_acknowledged(fleet, worker);
	if (!needs_hold(worker) || !may_call(worker, now_us))
		return;
	/* While the ends that the worker lists can't be acknowledged, it would
	 * answer a hold immediately with the same ends. */
	if (!worker->holding && worker->acked < worker->end_seen &&
	    acked_end < worker->end_seen &&
	    !fleet_life_needs_report(fleet, worker) &&
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
