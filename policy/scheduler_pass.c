#include <string.h>

#include <glib.h>

#include "policy/placing.h"
#include "policy/scheduler.h"

/*
 * The size of the smallest gang that could not be placed in this pass, for
 * each size class. Free accelerators only decrease within a pass, so larger
 * gangs of the class need not be tried.
 */
struct failed_sizes {
	int failed[SCHEDULER_SIZE_CLASSES]; /* INT32_MAX: none */
};

struct pass {
	struct scheduler *sc;
	int64_t now_us;
	int weight; /* sum over the customers that have jobs */
	int starts;
	int evictions; /* remaining attempts to place a job with evictions */
	/* Failures to borrow without evictions, by kind of the gang. */
	struct failed_sizes stoppable;
	struct failed_sizes unstoppable;
	/* Failures to borrow with evictions, by level of the job. */
	struct failed_sizes evict[SCHEDULER_LEVELS];
	int64_t grace_ms; /* of the jobs that are displaced now */
	struct scheduler_job *blocked; /* first large job that does not fit */
};

static void failed_sizes_init(struct failed_sizes *sizes)
{
	int i;

	for (i = 0; i < SCHEDULER_SIZE_CLASSES; i++)
		sizes->failed[i] = INT32_MAX;
}

/* When a part of a worker can't be had, whole workers can't either. */
static bool known_to_fail(const struct scheduler *sc,
			  const struct failed_sizes *sizes, int total)
{
	enum scheduler_size_class c = scheduler_size_class(sc, total);

	return total >= sizes->failed[c] ||
	       (c != SCHEDULER_IN_WORKER &&
		sizes->failed[SCHEDULER_IN_WORKER] < INT32_MAX);
}

static void record_failure(const struct scheduler *sc,
			   struct failed_sizes *sizes,
			   const struct scheduler_job *job)
{
	int *failed = &sizes->failed[scheduler_size_class(sc, job->gang.total)];

	if (job->health.failed_count == 0)
		*failed = MIN(*failed, job->gang.total);
}

/*
 * Returns the level of a running job for evictions: urgent jobs have the
 * lowest, so that they don't displace other urgent jobs of their customer.
 */
static int eviction_level(const struct scheduler_job *job, int64_t now_us)
{
	return job->urgent ? -1 : scheduler_level(job, now_us);
}

/* Starting. */

static void displace_victim(struct cell_gang *victim, void *user)
{
	struct pass *p = user;

	scheduler_displace(p->sc, victim->user, p->grace_ms, p->now_us);
}

static void start_if_possible(struct pass *p, struct scheduler_job *job)
{
	if (!cell_can_start(&p->sc->cell, &job->gang))
		return;
	job->state = SCHEDULER_STARTING;
	list_del(&job->node);
	list_add_tail(&job->node, &p->sc->running);
	p->starts++;
	p->sc->ops->start(p->sc, job);
}

/*
 * Moves the deadlines of jobs that are checkpointing already on the workers of
 * a claim to the end of the grace period of the claim.
 */
static void shorten_grace(struct pass *p, struct scheduler_job *job)
{
	const struct cell_gang *gang = &job->gang;
	int64_t deadline_us = p->now_us + RECLAIM_GRACE_MS * USEC_PER_MSEC;
	int i;

	for (i = 0; i < gang->hold_count; i++) {
		struct cell_hold *hold;

		list_for_each_entry(
			hold, &p->sc->cell.workers[gang->holds[i].worker].holds,
			node) {
			struct scheduler_job *other = hold->gang->user;

			if (other->state != SCHEDULER_CHECKPOINTING ||
			    other->deadline_us <= deadline_us)
				continue;
			other->deadline_us = deadline_us;
			p->sc->ops->checkpoint(p->sc, other);
		}
	}
}

/*
 * Allocates the accelerators chosen for a job and displaces the jobs that use
 * them. The job starts now if there are none.
 */
static void assign(struct pass *p, struct scheduler_job *job,
		   const struct placing_request *req)
{
	job->gang.level = eviction_level(job, p->now_us);
	scheduler_assign(p->sc, job, p->now_us);
	p->grace_ms = req->reclaim ? RECLAIM_GRACE_MS : SCHEDULER_GRACE_MS;
	if (!cell_can_start(&p->sc->cell, &job->gang)) {
		placing_evict(&p->sc->gs, &job->gang, req, displace_victim, p);
		if (req->reclaim)
			shorten_grace(p, job);
	}
	start_if_possible(p, job);
}

static struct placing_request make_request(const struct pass *p,
					   const struct scheduler_job *job)
{
	struct placing_request req = {
		.kind = job->gang.stoppable ? CELL_STOPPABLE : CELL_UNSTOPPABLE,
		.evict_level = PLACING_NO_EVICTION,
		.saved_before_us =
			p->now_us - SCHEDULER_QUANTUM_MS * USEC_PER_MSEC,
		.now_us = p->now_us,
		.use_reserved = job == p->sc->reserved_for,
		.customer = job->gang.customer,
		.protected_customers = p->sc->protected_customers,
		.avoid = job->health.failed_on,
		.avoid_count = job->health.failed_count,
	};

	return req;
}

static bool place_without_eviction(struct pass *p, struct scheduler_job *job)
{
	struct placing_request req = make_request(p, job);
	struct failed_sizes *sizes =
		job->gang.stoppable ? &p->stoppable : &p->unstoppable;

	if (known_to_fail(p->sc, sizes, job->gang.total) && !req.use_reserved)
		return false;
	if (!placing_place_borrowed(&p->sc->gs, &job->gang, &req)) {
		record_failure(p->sc, sizes, job);
		return false;
	}
	assign(p, job, &req);
	return true;
}

/* Claims. */

/* The sizes of failed claims of one customer, by what may be evicted. */
struct claim_failures {
	struct failed_sizes idle; /* nothing */
	struct failed_sizes reclaim; /* borrowed gangs */
	struct failed_sizes own; /* also gangs of the customer itself */
};

static bool try_claim(struct pass *p, struct scheduler_job *job,
		      const struct placing_request *req,
		      struct failed_sizes *sizes)
{
	struct scheduler *sc = p->sc;

	if (known_to_fail(sc, sizes, job->gang.total))
		return false;
	if (placing_claim(&sc->gs, &job->gang, req)) {
		assign(p, job, req);
		return true;
	}
	record_failure(sc, sizes, job);
	return false;
}

/*
 * Places a job on its customer's guarantee. An ordinary job evicts nothing
 * while there are free accelerators that it can borrow. An urgent job does not
 * borrow, since it could then be displaced; it evicts other jobs of its
 * customer as the last resort.
 */
static bool claim(struct pass *p, struct scheduler_job *job,
		  struct claim_failures *failures)
{
	struct scheduler *sc = p->sc;
	struct placing_request req = make_request(p, job);
	bool room = guarantees_accelerators_left(&sc->gs, job->gang.customer) >=
		    job->gang.total;

	/* Beyond the guarantee an ordinary job has to borrow accelerators. */
	if (!room && !job->urgent)
		return false;
	if (room && try_claim(p, job, &req, &failures->idle))
		return true;
	if (!job->urgent && place_without_eviction(p, job))
		return true;
	req.reclaim = true;
	if (room && try_claim(p, job, &req, &failures->reclaim))
		return true;
	if (!job->urgent)
		return false;
	req.evict_level = -1;
	req.saved_before_us = p->now_us;
	return try_claim(p, job, &req, &failures->own);
}

static bool may_start(const struct pass *p, const struct scheduler_customer *c,
		      const struct scheduler_job *job)
{
	if (p->now_us < job->retry_us)
		return false;
	return c->quota == 0 || c->held + job->gang.total <= c->quota;
}

static void claim_queue(struct pass *p, struct scheduler_customer *c,
			struct list_head *queue,
			struct claim_failures *failures)
{
	struct scheduler_job *job, *tmp;

	failed_sizes_init(&failures->own);
	list_for_each_entry_safe(job, tmp, queue, node) {
		if (p->starts >= SCHEDULER_STARTS_PER_PASS)
			return;
		if (failures->reclaim.failed[SCHEDULER_IN_WORKER] <= 1 &&
		    failures->own.failed[SCHEDULER_IN_WORKER] <= 1)
			return;
		if (may_start(p, c, job))
			claim(p, job, failures);
	}
}

/* Places the urgent jobs of all customers first, then the other jobs. */
static void place_claims(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct claim_failures *failures =
		g_new(struct claim_failures, sc->customer_count + 1);
	int i, q;

	for (i = 0; i < sc->customer_count; i++) {
		failed_sizes_init(&failures[i].idle);
		failed_sizes_init(&failures[i].reclaim);
		claim_queue(p, &sc->customers[i], &sc->customers[i].urgent,
			    &failures[i]);
	}
	for (q = 0; q < SCHEDULER_QUEUE_COUNT; q++)
		for (i = 0; i < sc->customer_count; i++)
			claim_queue(p, &sc->customers[i],
				    &sc->customers[i].queues[q], &failures[i]);
	g_free(failures);
}

/* Borrowing. */

static bool place_with_eviction(struct pass *p, struct scheduler_job *job)
{
	struct placing_request req = make_request(p, job);
	int level = scheduler_level(job, p->now_us);
	struct failed_sizes *sizes = &p->evict[level];

	if (p->evictions <= 0 || known_to_fail(p->sc, sizes, job->gang.total))
		return false;
	p->evictions--;
	req.evict_level = level;
	req.max_victim_size = MAX(p->sc->cell.worker_size, 2 * job->gang.total);
	/*
	 * After a long wait the job that racks are reserved for may evict
	 * gangs of all levels except urgent ones, of any size and customer.
	 */
	if (job == p->sc->reserved_for &&
	    p->now_us - job->queued_us >
		    SCHEDULER_PATIENCE_MS * USEC_PER_MSEC) {
		req.evict_level = -1;
		req.max_victim_size = 0;
		req.protected_customers = NULL;
	}
	if (!placing_place_borrowed(&p->sc->gs, &job->gang, &req)) {
		record_failure(p->sc, sizes, job);
		return false;
	}
	assign(p, job, &req);
	return true;
}

static void try_place_borrowed(struct pass *p, struct scheduler_customer *c,
			       struct scheduler_job *job)
{
	if (!may_start(p, c, job))
		return;
	if (place_without_eviction(p, job) || place_with_eviction(p, job))
		return;
	if (!p->blocked &&
	    scheduler_size_class(p->sc, job->gang.total) != SCHEDULER_IN_WORKER)
		p->blocked = job;
}

static struct list_head *next_queue(struct scheduler_customer *c,
				    struct list_head *queue)
{
	if (queue == &c->urgent)
		return &c->queues[0];
	if (queue == &c->queues[SCHEDULER_QUEUE_COUNT - 1])
		return NULL;
	return queue + 1;
}

/*
 * Skips empty and finished queues, so that c->next is the customer's next job.
 * c->queue is NULL after the last job.
 */
static void advance_cursor(struct scheduler_customer *c)
{
	while (c->queue && c->next == c->queue) {
		c->queue = next_queue(c, c->queue);
		if (c->queue)
			c->next = c->queue->next;
	}
}

/*
 * Computes the customer's usage divided by its fair share, less the time that
 * its next job has been queued, in units of SCHEDULER_AGE_MS. Without a queued
 * job it is 1 when the customer uses exactly its fair share.
 */
static void update_usage(const struct pass *p, struct scheduler_customer *c)
{
	const struct scheduler_job *job;
	double share = (double)c->weight / MAX(1, p->weight);

	c->usage = c->held / (MAX(1, p->sc->cell.accelerators) * share);
	if (!c->queue)
		return;
	job = list_entry(c->next, struct scheduler_job, node);
	c->usage -= (double)(p->now_us - job->queued_us) /
		    (SCHEDULER_AGE_MS * USEC_PER_MSEC);
}

static struct scheduler_customer *lowest_usage(struct scheduler *sc)
{
	struct scheduler_customer *best = NULL;
	int i;

	for (i = 0; i < sc->customer_count; i++) {
		struct scheduler_customer *c = &sc->customers[i];

		if (c->queue && (!best || c->usage < best->usage))
			best = c;
	}
	return best;
}

static bool pass_exhausted(const struct pass *p)
{
	return p->starts >= SCHEDULER_STARTS_PER_PASS ||
	       (p->stoppable.failed[SCHEDULER_IN_WORKER] <= 1 &&
		p->unstoppable.failed[SCHEDULER_IN_WORKER] <= 1 &&
		p->evictions <= 0);
}

static void place_borrowed(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct scheduler_customer *c;
	struct scheduler_job *job;
	int i;

	for (i = 0; i < sc->customer_count; i++) {
		c = &sc->customers[i];
		c->queue = &c->urgent;
		c->next = c->queue->next;
		advance_cursor(c);
		update_usage(p, c);
	}
	while (!pass_exhausted(p) && (c = lowest_usage(sc))) {
		job = list_entry(c->next, struct scheduler_job, node);
		c->next = c->next->next;
		try_place_borrowed(p, c, job);
		advance_cursor(c);
		update_usage(p, c);
	}
}

/* Other steps of a pass. */

/*
 * Protects the customers at or below their fair share: jobs that borrow don't
 * displace theirs.
 */
static void update_protected(struct pass *p)
{
	struct scheduler *sc = p->sc;
	int i;

	p->weight = 0;
	for (i = 0; i < sc->customer_count; i++)
		if (sc->customers[i].queued || sc->customers[i].held)
			p->weight += sc->customers[i].weight;
	for (i = 0; i < sc->customer_count; i++) {
		const struct scheduler_customer *c = &sc->customers[i];

		sc->protected_customers[i] =
			(int64_t)c->held * p->weight <=
			(int64_t)c->weight * sc->cell.accelerators;
	}
}

static void update_levels(struct pass *p)
{
	struct scheduler_job *job;

	list_for_each_entry(job, &p->sc->running, node) {
		job->gang.level = eviction_level(job, p->now_us);
		if (p->sc->wh.on_probation > 0 &&
		    job->state == SCHEDULER_RUNNING &&
		    p->now_us - job->started_us >=
			    WORKER_PROBATION_MIN_MS * USEC_PER_MSEC)
			scheduler_record_success(p->sc, job);
	}
}

/* Stops, without a checkpoint, the jobs whose grace period is over. */
static void stop_overdue(struct pass *p)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &p->sc->checkpointing, node)
		if (p->now_us >= job->deadline_us) {
			job->state = SCHEDULER_STOPPING;
			list_del(&job->node);
			list_add_tail(&job->node, &p->sc->running);
			p->sc->ops->stop(p->sc, job, "grace period over");
		}
}

static void start_placed(struct pass *p)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &p->sc->placed, node)
		start_if_possible(p, job);
}

static void end_quarantines(struct pass *p)
{
	struct scheduler *sc = p->sc;
	int i;

	if (sc->wh.quarantined == 0)
		return;
	for (i = 0; i < sc->cell.worker_count; i++)
		if (worker_health_tick(&sc->wh, i, p->now_us))
			guarantees_set_usable(&sc->gs, i, sc->live[i]);
}

/*
 * Reserves racks for one large job until it is placed. When enough
 * accelerators are free but fragmented, one small gang is moved, which leaves
 * a whole worker free.
 */
static void reserve_racks(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct placing_request req;
	struct cell_gang *gang;

	if (!sc->reserved_for)
		sc->reserved_for = p->blocked;
	if (!sc->reserved_for) {
		placing_release_racks(&sc->gs);
		return;
	}
	placing_reserve_racks(&sc->gs, sc->reserved_for->gang.total, p->now_us);
	if (sc->cell.free < sc->reserved_for->gang.total ||
	    !list_empty(&sc->checkpointing))
		return;
	req = make_request(p, sc->reserved_for);
	req.evict_level = -1;
	req.protected_customers = NULL;
	gang = placing_find_move(&sc->gs, &req);
	if (gang) {
		gang->leaving = true;
		scheduler_displace(sc, gang->user, SCHEDULER_GRACE_MS,
				   p->now_us);
	}
}

void scheduler_pass(struct scheduler *sc, int64_t now_us)
{
	struct pass p = {
		.sc = sc,
		.now_us = now_us,
		.evictions = SCHEDULER_EVICTION_TRIES,
	};
	int i;

	sc->passes++;
	failed_sizes_init(&p.stoppable);
	failed_sizes_init(&p.unstoppable);
	for (i = 0; i < SCHEDULER_LEVELS; i++)
		failed_sizes_init(&p.evict[i]);
	update_protected(&p);
	update_levels(&p);
	stop_overdue(&p);
	end_quarantines(&p);
	start_placed(&p);
	place_claims(&p);
	place_borrowed(&p);
	reserve_racks(&p);
}
