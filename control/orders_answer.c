#include "control/orders_int.h"

#include <string.h>

#include "base/limits.h"
#include "base/log.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"

void orders_pending_free(struct pending_order *pending)
{
	list_del(&pending->node);
	g_free(pending->worker);
	g_free(pending->orphan);
	g_free(pending);
}

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

/*
 * A worker that has answered meanwhile, or has other orders in progress, is
 * there and takes no more connections from this host.
 */
static void check_admission(const struct pending_order *pending,
			    struct worker *worker, int64_t now_us)
{
	if (!pending->call.not_admitted ||
	    (worker->calls == 0 && worker->heard_us < pending->sent_us))
		return;
	if (worker->one_by_one_until_us <= now_us)
		log_info("worker.no_connection", "worker=%s calls=%d tasks=%d",
			 worker->reported.id, worker->calls,
			 worker->task_count);
	worker->one_by_one_until_us = now_us + ONE_BY_ONE_MS * USEC_PER_MSEC;
}

static void count_unanswered(struct worker *worker, int64_t now_us)
{
	if (worker->unanswered_calls++ == 0)
		worker->unanswered_since_us = now_us;
	worker->unanswered_us = now_us;
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

void orders_on_answer(struct order_call *call)
{
	struct pending_order *pending =
		container_of(call, struct pending_order, call);
	struct orders *orders = pending->orders;
	int64_t now_us = kn_now_us();
	struct worker *worker;

	list_del(&pending->node);
	ctr_add(&orders->results[call->result], 1);
	worker = find_worker(pending);
	if (worker) {
		worker->calls = MAX(worker->calls - 1, 0);
		check_admission(pending, worker, now_us);
	}
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
	orders_pending_free(pending);
	orders->ops->changed(orders);
}
