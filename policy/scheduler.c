#include "policy/scheduler.h"

#include <string.h>

#include <glib.h>

#include "policy/placing.h"

void scheduler_init(struct scheduler *sc, const struct scheduler_ops *ops,
		    int worker_size, int rack_size)
{
	memset(sc, 0, sizeof(*sc));
	sc->ops = ops;
	cell_init(&sc->cell, worker_size, rack_size);
	guarantees_init(&sc->gs, &sc->cell, 0);
	worker_health_init(&sc->wh, 0);
	list_init(&sc->placed);
	list_init(&sc->running);
	list_init(&sc->checkpointing);
}

/* scheduler_job_finish() must have been called for all jobs. */
void scheduler_finish(struct scheduler *sc)
{
	worker_health_finish(&sc->wh);
	guarantees_finish(&sc->gs);
	cell_finish(&sc->cell);
	g_free(sc->live);
	g_free(sc->customers);
	g_free(sc->protected_customers);
}

/* Workers. */

/* Adds a live worker and returns its index, or -1 as cell_add_worker() does. */
int scheduler_add_worker(struct scheduler *sc, int rack, int accelerators)
{
	int worker = cell_add_worker(&sc->cell, rack, accelerators);

	if (worker < 0)
		return -1;
	guarantees_workers_added(&sc->gs);
	worker_health_add_workers(&sc->wh, worker + 1);
	if ((worker & (worker - 1)) == 0)
		sc->live = g_renew(bool, sc->live, MAX(1, worker * 2));
	sc->live[worker] = true;
	return worker;
}

/* Tells the owner when a guarantee becomes broken or is whole again. */
static void report_broken(struct scheduler *sc)
{
	bool broken = guarantees_broken(&sc->gs);

	if (broken == sc->broken)
		return;
	sc->broken = broken;
	sc->ops->broken(sc, broken);
}

static void update_usable(struct scheduler *sc, int worker)
{
	guarantees_set_usable(&sc->gs, worker,
			      sc->live[worker] &&
				      worker_health_usable(&sc->wh, worker));
	report_broken(sc);
}

static void stop_job(struct scheduler *sc, struct scheduler_job *job,
		     const char *reason)
{
	job->state = SCHEDULER_STOPPING;
	job->gang.leaving = true;
	job->reason = reason;
	list_del(&job->node);
	list_add_tail(&job->node, &sc->running);
	sc->ops->stop(sc, job, reason);
}

/* Stops every gang that has accelerators on a lost worker. */
static void stop_worker_jobs(struct scheduler *sc, int worker, int64_t now_us)
{
	struct list_head *holds = &sc->cell.workers[worker].holds;
	struct list_head *node = holds->next;

	while (node != holds) {
		struct cell_hold *hold =
			list_entry(node, struct cell_hold, node);
		struct scheduler_job *job = hold->gang->user;

		node = node->next;
		if (job->state == SCHEDULER_PLACED) {
			job->reason = "worker lost";
			scheduler_gang_stopped(sc, job, now_us);
		} else if (job->state != SCHEDULER_STOPPING) {
			stop_job(sc, job, "worker lost");
		}
	}
}

/* Records that a worker was lost or is back. */
void scheduler_set_worker_live(struct scheduler *sc, int worker, bool live,
			       int64_t now_us)
{
	if (sc->live[worker] == live)
		return;
	sc->live[worker] = live;
	update_usable(sc, worker);
	if (!live)
		stop_worker_jobs(sc, worker, now_us);
}

/* Customers. */

/* Moves all entries of a list to another head. */
static void move_list(struct list_head *to, struct list_head *from)
{
	list_init(to);
	if (list_empty(from))
		return;
	list_add(to, from);
	list_del(from);
}

/* Adds a customer of weight 1 without guarantees and returns its index. */
int scheduler_add_customer(struct scheduler *sc)
{
	int n = sc->customer_count++, i, j;
	struct scheduler_customer *table =
		g_new0(struct scheduler_customer, n + 1);

	for (i = 0; i < n; i++) {
		table[i] = sc->customers[i];
		move_list(&table[i].urgent, &sc->customers[i].urgent);
		for (j = 0; j < SCHEDULER_QUEUE_COUNT; j++)
			move_list(&table[i].queues[j],
				  &sc->customers[i].queues[j]);
	}
	list_init(&table[n].urgent);
	for (j = 0; j < SCHEDULER_QUEUE_COUNT; j++)
		list_init(&table[n].queues[j]);
	table[n].weight = 1;
	g_free(sc->customers);
	sc->customers = table;
	sc->protected_customers = g_renew(bool, sc->protected_customers, n + 1);
	guarantees_add_customers(&sc->gs, n + 1);
	return n;
}

void scheduler_set_customer(struct scheduler *sc, int customer, int weight,
			    int quota, const int units[CELL_UNITS],
			    int64_t now_us)
{
	struct scheduler_customer *c = &sc->customers[customer];

	c->weight = MAX(1, weight);
	c->quota = quota;
	c->removed = false;
	guarantees_set(&sc->gs, customer, units);
	report_broken(sc);
}

static void cancel_list(struct scheduler *sc, struct list_head *list,
			int64_t now_us)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, list, node)
		scheduler_cancel(sc, job, now_us);
}

static void cancel_customer_jobs(struct scheduler *sc, struct list_head *list,
				 int customer, int64_t now_us)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, list, node)
		if (job->gang.customer == customer)
			scheduler_cancel(sc, job, now_us);
}

/*
 * Cancels the customer's queued and placed jobs. Its running jobs continue on
 * borrowed accelerators, unless stop is set.
 */
void scheduler_remove_customer(struct scheduler *sc, int customer, bool stop,
			       int64_t now_us)
{
	static const int none[CELL_UNITS];
	struct scheduler_customer *c = &sc->customers[customer];
	int i;

	c->removed = true;
	guarantees_set(&sc->gs, customer, none);
	report_broken(sc);
	cancel_list(sc, &c->urgent, now_us);
	for (i = 0; i < SCHEDULER_QUEUE_COUNT; i++)
		cancel_list(sc, &c->queues[i], now_us);
	cancel_customer_jobs(sc, &sc->placed, customer, now_us);
	if (!stop)
		return;
	cancel_customer_jobs(sc, &sc->running, customer, now_us);
	cancel_customer_jobs(sc, &sc->checkpointing, customer, now_us);
}

/* Jobs. */

void scheduler_job_init(struct scheduler_job *job, uint64_t id, int customer,
			int accelerators, bool stoppable, bool urgent,
			bool can_checkpoint)
{
	memset(job, 0, sizeof(*job));
	list_init(&job->node);
	cell_gang_init(&job->gang, customer, accelerators, stoppable);
	job->gang.user = job;
	job->id = id;
	job->urgent = urgent;
	job->can_checkpoint = can_checkpoint;
}

/* Returns the accelerator-microseconds of all runs, with the current one. */
int64_t scheduler_attained(const struct scheduler_job *job, int64_t now_us)
{
	if (job->started_us == 0)
		return job->attained_us;
	return job->attained_us + job->gang.total * (now_us - job->started_us);
}

/*
 * Returns the level of a job's attained service. Level 0 ends at
 * SCHEDULER_LEVEL_1_SEC of run time, and each further level at
 * SCHEDULER_LEVEL_FACTOR times the limit of the one before. The levels are not
 * in accelerator-seconds, since large gangs were then displaced more often;
 * that cost 1 point of completion time and 7 of the gang ratio.
 */
int scheduler_level(const struct scheduler_job *job, int64_t now_us)
{
	int64_t sec = scheduler_attained(job, now_us) / job->gang.total /
		      USEC_PER_SEC;
	int64_t limit = SCHEDULER_LEVEL_1_SEC;
	int level;

	for (level = 0; level < SCHEDULER_LEVELS - 1 && sec >= limit; level++)
		limit *= SCHEDULER_LEVEL_FACTOR;
	return level;
}

enum scheduler_size_class scheduler_size_class(const struct scheduler *sc,
					       int total)
{
	if (total <= sc->cell.worker_size)
		return SCHEDULER_IN_WORKER;
	if (total <= sc->cell.worker_size * sc->cell.rack_size)
		return SCHEDULER_IN_RACK;
	return SCHEDULER_IN_ROW;
}

/* Releases the job's accelerators, if it holds any, and its placement. */
static void release_accelerators(struct scheduler *sc,
				 struct scheduler_job *job)
{
	int i;

	if (job->gang.held) {
		sc->customers[job->gang.customer].held -= job->gang.total;
		guarantees_release(&sc->gs, &job->gang);
		for (i = 0; i < job->gang.hold_count; i++) {
			int worker = job->gang.holds[i].worker;

			if (worker_health_trial_ended(&sc->wh, job->id, worker))
				update_usable(sc, worker);
		}
	}
	cell_gang_reset(&job->gang);
	report_broken(sc);
}

/* Removes the job from its queue or list. */
static void unlink_job(struct scheduler *sc, struct scheduler_job *job)
{
	if (job->state == SCHEDULER_QUEUED)
		sc->customers[job->gang.customer].queued--;
	list_del(&job->node);
	if (sc->reserved_for == job)
		sc->reserved_for = NULL;
}

static void enqueue(struct scheduler *sc, struct scheduler_job *job,
		    int64_t now_us)
{
	struct scheduler_customer *c = &sc->customers[job->gang.customer];
	struct list_head *queue;
	int i;

	i = scheduler_level(job, now_us) * SCHEDULER_SIZE_CLASSES +
	    scheduler_size_class(sc, job->gang.total);
	queue = job->urgent ? &c->urgent : &c->queues[i];
	job->state = SCHEDULER_QUEUED;
	job->queued_us = now_us;
	job->displaced = false;
	c->queued++;
	/* Jobs that have run before go ahead of those that have not. */
	if (job->attained_us > 0)
		list_add(&job->node, queue);
	else
		list_add_tail(&job->node, queue);
}

static void end_job(struct scheduler *sc, struct scheduler_job *job,
		    enum scheduler_end end, const char *reason)
{
	unlink_job(sc, job);
	release_accelerators(sc, job);
	job->state = SCHEDULER_ENDED;
	sc->ops->ended(sc, job, end, reason);
}

/* Removes the job from the scheduler. The owner may then free it. */
void scheduler_job_finish(struct scheduler *sc, struct scheduler_job *job)
{
	unlink_job(sc, job);
	release_accelerators(sc, job);
	job->state = SCHEDULER_ENDED;
}

void scheduler_submit(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us)
{
	job->submitted_us = now_us;
	enqueue(sc, job, now_us);
}

/*
 * Takes constant time for a queued or placed job, so that many cancellations
 * at once don't delay other jobs.
 */
void scheduler_cancel(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us)
{
	job->cancelled = true;
	switch (job->state) {
	case SCHEDULER_QUEUED:
	case SCHEDULER_PLACED:
		end_job(sc, job, SCHEDULER_END_CANCELLED, "cancelled");
		break;
	case SCHEDULER_STARTING:
	case SCHEDULER_RUNNING:
	case SCHEDULER_CHECKPOINTING:
		stop_job(sc, job, "cancelled");
		break;
	default:
		break;
	}
}

/* Allocates the accelerators that were chosen for a job. */
void scheduler_assign(struct scheduler *sc, struct scheduler_job *job,
		      int64_t now_us)
{
	int i;

	unlink_job(sc, job);
	sc->customers[job->gang.customer].held += job->gang.total;
	guarantees_hold(&sc->gs, &job->gang);
	for (i = 0; i < job->gang.hold_count; i++) {
		int worker = job->gang.holds[i].worker;

		if (worker_health_trial_started(&sc->wh, job->id, worker))
			update_usable(sc, worker);
	}
	job->state = SCHEDULER_PLACED;
	job->gang.saved_us = now_us;
	list_add_tail(&job->node, &sc->placed);
}

/*
 * Adds a job whose gang runs already, on the holds that the caller filled in.
 * Its accelerators are borrowed unless the caller set the kind to CELL_OWNED.
 */
void scheduler_adopt(struct scheduler *sc, struct scheduler_job *job,
		     int64_t now_us)
{
	if (job->gang.kind != CELL_OWNED)
		job->gang.kind =
			job->gang.stoppable ? CELL_STOPPABLE : CELL_UNSTOPPABLE;
	scheduler_assign(sc, job, now_us);
	job->state = SCHEDULER_STARTING;
	list_del(&job->node);
	list_add_tail(&job->node, &sc->running);
	scheduler_running(sc, job, now_us);
}

void scheduler_running(struct scheduler *sc, struct scheduler_job *job,
		       int64_t now_us)
{
	if (job->state != SCHEDULER_STARTING)
		return;
	job->state = SCHEDULER_RUNNING;
	job->started_us = now_us;
	job->gang.saved_us = now_us;
}

/*
 * Makes a job give up its accelerators. A running job that can save a
 * checkpoint is stopped after it or after grace_ms, others at once. grace_ms
 * is not the time that the job declares, which is often too short.
 */
void scheduler_displace(struct scheduler *sc, struct scheduler_job *job,
			int64_t grace_ms, int64_t now_us)
{
	sc->displaced++;
	job->displaced = true;
	if (job->state == SCHEDULER_PLACED) {
		job->reason = "displaced";
		scheduler_gang_stopped(sc, job, now_us);
	} else if (job->state == SCHEDULER_RUNNING && job->can_checkpoint) {
		job->state = SCHEDULER_CHECKPOINTING;
		job->deadline_us = now_us + grace_ms * USEC_PER_MSEC;
		list_del(&job->node);
		list_add_tail(&job->node, &sc->checkpointing);
		sc->ops->checkpoint(sc, job);
	} else if (job->state == SCHEDULER_STARTING ||
		   job->state == SCHEDULER_RUNNING) {
		stop_job(sc, job, "displaced");
	}
}

/* The job has saved a checkpoint. If it was displaced, it is stopped now. */
void scheduler_checkpoint_saved(struct scheduler *sc, struct scheduler_job *job,
				int64_t now_us)
{
	if (job->state != SCHEDULER_CHECKPOINTING &&
	    job->state != SCHEDULER_RUNNING)
		return;
	job->gang.saved_us = now_us;
	if (job->state == SCHEDULER_CHECKPOINTING)
		stop_job(sc, job, "displaced");
}

/*
 * All reachable workers have stopped the gang, so its accelerators are free.
 * It may still run on a lost worker until its lease there expires, so it must
 * not start again before scheduler_gang_stopped().
 */
void scheduler_accelerators_freed(struct scheduler *sc,
				  struct scheduler_job *job)
{
	if (job->state == SCHEDULER_STOPPING)
		release_accelerators(sc, job);
}

/* The gang no longer runs on any worker, or has not started. */
void scheduler_gang_stopped(struct scheduler *sc, struct scheduler_job *job,
			    int64_t now_us)
{
	if (job->state < SCHEDULER_PLACED || job->state == SCHEDULER_ENDED)
		return;
	job->attained_us = scheduler_attained(job, now_us);
	job->started_us = 0;
	if (job->cancelled) {
		end_job(sc, job, SCHEDULER_END_CANCELLED, "cancelled");
		return;
	}
	unlink_job(sc, job);
	release_accelerators(sc, job);
	if (sc->customers[job->gang.customer].removed) {
		job->state = SCHEDULER_ENDED;
		sc->ops->ended(sc, job, SCHEDULER_END_CANCELLED,
			       "customer removed");
		return;
	}
	enqueue(sc, job, now_us);
	sc->ops->queued(sc, job, job->reason ? job->reason : "not started");
	job->reason = NULL;
}

/* Counts the run as a success for the health of the job's workers. */
void scheduler_record_success(struct scheduler *sc, struct scheduler_job *job)
{
	int i;

	for (i = 0; i < job->gang.hold_count; i++)
		if (worker_health_succeeded(&sc->wh, job->id,
					    job->gang.holds[i].worker))
			update_usable(sc, job->gang.holds[i].worker);
}

void scheduler_done(struct scheduler *sc, struct scheduler_job *job,
		    int64_t now_us)
{
	if (job->state < SCHEDULER_STARTING || job->state == SCHEDULER_ENDED)
		return;
	scheduler_record_success(sc, job);
	job->attained_us = scheduler_attained(job, now_us);
	job->started_us = 0;
	end_job(sc, job, SCHEDULER_END_DONE, "done");
}

/*
 * From the third failure on a job waits before it is started again, so that a
 * temporary fault doesn't use up all its attempts.
 */
static int64_t retry_delay_us(const struct scheduler_job *job)
{
	int doublings = job->health.failures - 3;

	if (doublings < 0)
		return 0;
	return MIN(JOB_RETRY_MIN_MS << doublings, JOB_RETRY_MAX_MS) *
	       USEC_PER_MSEC;
}

/*
 * The task failed on a worker, and the whole gang has been stopped. The job is
 * started again on other workers until worker_health finds it hopeless.
 */
void scheduler_failed(struct scheduler *sc, struct scheduler_job *job,
		      int worker, int64_t now_us)
{
	if (job->state < SCHEDULER_STARTING || job->state == SCHEDULER_ENDED)
		return;
	if (worker_health_failed(&sc->wh, &job->health, job->id, worker,
				 now_us)) {
		int i;

		for (i = 0; i < sc->cell.worker_count; i++)
			update_usable(sc, i);
	}
	if (job->health.hopeless && !job->cancelled) {
		end_job(sc, job, SCHEDULER_END_FAILED,
			"failed on several workers");
		return;
	}
	job->retry_us = now_us + retry_delay_us(job);
	job->reason = "task failed";
	scheduler_gang_stopped(sc, job, now_us);
}
