#include <string.h>

#include <glib.h>

#include "policy/placing.h"
#include "policy/scheduler.h"

/*
 * Smallest size that found no place in this pass, for each kind. Free places
 * only decrease within a pass, so larger gangs need not be tried again.
 */
struct memo {
	int failed[SCHEDULER_SIZE_CLASSES];
};

struct pass {
	struct scheduler *sc;
	int64_t now_us;
	int weight; /* of all customers with work */
	int starts;
	int evictions; /* tries left */
	struct memo soft;
	struct memo hard;
	struct memo evict[SCHEDULER_LEVELS];
	int64_t grace_ms; /* of the work that is displaced now */
	struct scheduler_job *head; /* first large job that found no place */
};

static void memo_init(struct memo *memo)
{
	int i;

	for (i = 0; i < SCHEDULER_SIZE_CLASSES; i++)
		memo->failed[i] = INT32_MAX;
}

/* A part of a worker that is not to be had excludes whole workers too. */
static bool known_to_fail(const struct scheduler *sc, const struct memo *memo,
			  int total)
{
	enum scheduler_size_class c = scheduler_size_class(sc, total);

	return total >= memo->failed[c] ||
	       (c != SCHEDULER_IN_WORKER &&
		memo->failed[SCHEDULER_IN_WORKER] < INT32_MAX);
}

static void note_failure(const struct scheduler *sc, struct memo *memo,
			 const struct scheduler_job *job)
{
	int *failed = &memo->failed[scheduler_size_class(sc, job->gang.total)];

	if (job->health.failed_count == 0)
		*failed = MIN(*failed, job->gang.total);
}

/* Urgent work must not displace other urgent work of its customer. */
static int yield_level(const struct scheduler_job *job, int64_t now_us)
{
	return job->urgent ? -1 : scheduler_level(job, now_us);
}

/* Starting. */

static void displace(struct cell_gang *victim, void *user)
{
	struct pass *p = user;

	scheduler_displace(p->sc, victim->user, p->grace_ms, p->now_us);
}

static void start_if_clear(struct pass *p, struct scheduler_job *job)
{
	if (!cell_can_start(&p->sc->cell, &job->gang))
		return;
	job->state = SCHEDULER_STARTING;
	list_del(&job->node);
	list_add_tail(&job->node, &p->sc->running);
	p->starts++;
	p->sc->ops->start(p->sc, job);
}

/* Work on the place of a claim that is leaving already has less time now. */
static void hurry(struct pass *p, struct scheduler_job *job)
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

/* Holds the chosen place and asks the work on it to leave. */
static void take(struct pass *p, struct scheduler_job *job,
		 const struct placing_request *ask)
{
	job->gang.level = yield_level(job, p->now_us);
	scheduler_assign(p->sc, job, p->now_us);
	p->grace_ms = ask->reclaim ? RECLAIM_GRACE_MS : SCHEDULER_GRACE_MS;
	if (!cell_can_start(&p->sc->cell, &job->gang)) {
		placing_evict(&p->sc->gs, &job->gang, ask, displace, p);
		if (ask->reclaim)
			hurry(p, job);
	}
	start_if_clear(p, job);
}

static struct placing_request make_ask(const struct pass *p,
				       const struct scheduler_job *job)
{
	struct placing_request ask = {
		.kind = job->gang.stoppable ? CELL_STOPPABLE : CELL_UNSTOPPABLE,
		.evict_level = PLACING_NO_EVICTION,
		.saved_before_us =
			p->now_us - SCHEDULER_QUANTUM_MS * USEC_PER_MSEC,
		.now_us = p->now_us,
		.use_reserved = job == p->sc->head,
		.customer = job->gang.customer,
		.sheltered = p->sc->sheltered,
		.avoid = job->health.failed_on,
		.avoid_count = job->health.failed_count,
	};

	return ask;
}

static bool place_free(struct pass *p, struct scheduler_job *job)
{
	struct placing_request ask = make_ask(p, job);
	struct memo *memo = job->gang.stoppable ? &p->soft : &p->hard;

	if (known_to_fail(p->sc, memo, job->gang.total) && !ask.use_reserved)
		return false;
	if (!placing_place_borrowed(&p->sc->gs, &job->gang, &ask)) {
		note_failure(p->sc, memo, job);
		return false;
	}
	take(p, job, &ask);
	return true;
}

/* Claims. */

/* What is known to fail for the claims of one customer. */
struct claim_memo {
	struct memo idle; /* nothing yields */
	struct memo reclaim; /* borrowed work yields */
	struct memo own; /* so does work of the customer itself */
};

static bool try_claim(struct pass *p, struct scheduler_job *job,
		      const struct placing_request *ask, struct memo *memo)
{
	struct scheduler *sc = p->sc;

	if (known_to_fail(sc, memo, job->gang.total))
		return false;
	if (placing_claim(&sc->gs, &job->gang, ask)) {
		take(p, job, ask);
		return true;
	}
	note_failure(sc, memo, job);
	return false;
}

/*
 * Places a job on its customer's guarantee. Ordinary work displaces nothing
 * while it finds a free place; urgent work takes no borrowed place, from
 * which it could be displaced, and makes other work of its customer yield
 * when nothing else does.
 */
static bool claim(struct pass *p, struct scheduler_job *job,
		  struct claim_memo *memo)
{
	struct scheduler *sc = p->sc;
	struct placing_request ask = make_ask(p, job);
	bool room = guarantees_accelerators_left(&sc->gs, job->gang.customer) >=
		    job->gang.total;

	/* Work beyond the guarantee waits for its customer's turn. */
	if (!room && !job->urgent)
		return false;
	if (room && try_claim(p, job, &ask, &memo->idle))
		return true;
	if (!job->urgent && place_free(p, job))
		return true;
	ask.reclaim = true;
	if (room && try_claim(p, job, &ask, &memo->reclaim))
		return true;
	if (!job->urgent)
		return false;
	ask.evict_level = -1;
	ask.saved_before_us = p->now_us;
	return try_claim(p, job, &ask, &memo->own);
}

static bool may_start(const struct pass *p, const struct scheduler_customer *c,
		      const struct scheduler_job *job)
{
	if (p->now_us < job->retry_us)
		return false;
	return c->quota == 0 || c->held + job->gang.total <= c->quota;
}

static void claim_queue(struct pass *p, struct scheduler_customer *c,
			struct list_head *queue, struct claim_memo *memo)
{
	struct scheduler_job *job, *tmp;

	memo_init(&memo->own);
	list_for_each_entry_safe(job, tmp, queue, node) {
		if (p->starts >= SCHEDULER_STARTS_PER_PASS)
			return;
		if (memo->reclaim.failed[SCHEDULER_IN_WORKER] <= 1 &&
		    memo->own.failed[SCHEDULER_IN_WORKER] <= 1)
			return;
		if (may_start(p, c, job))
			claim(p, job, memo);
	}
}

/* Urgent work of all customers first, then the rest. */
static void claims(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct claim_memo *memos =
		g_new(struct claim_memo, sc->customer_count + 1);
	int i, q;

	for (i = 0; i < sc->customer_count; i++) {
		memo_init(&memos[i].idle);
		memo_init(&memos[i].reclaim);
		claim_queue(p, &sc->customers[i], &sc->customers[i].urgent,
			    &memos[i]);
	}
	for (q = 0; q < SCHEDULER_QUEUE_COUNT; q++)
		for (i = 0; i < sc->customer_count; i++)
			claim_queue(p, &sc->customers[i],
				    &sc->customers[i].queues[q], &memos[i]);
	g_free(memos);
}

/* Borrowed work. */

static bool place_evicting(struct pass *p, struct scheduler_job *job)
{
	struct placing_request ask = make_ask(p, job);
	int level = scheduler_level(job, p->now_us);
	struct memo *memo = &p->evict[level];

	if (p->evictions <= 0 || known_to_fail(p->sc, memo, job->gang.total))
		return false;
	p->evictions--;
	ask.evict_level = level;
	ask.max_victim_size = MAX(p->sc->cell.worker_size, 2 * job->gang.total);
	if (job == p->sc->head &&
	    p->now_us - job->queued_us >
		    SCHEDULER_PATIENCE_MS * USEC_PER_MSEC) {
		ask.evict_level = -1;
		ask.max_victim_size = 0;
		ask.sheltered = NULL;
	}
	if (!placing_place_borrowed(&p->sc->gs, &job->gang, &ask)) {
		note_failure(p->sc, memo, job);
		return false;
	}
	take(p, job, &ask);
	return true;
}

static void try_borrow(struct pass *p, struct scheduler_customer *c,
		       struct scheduler_job *job)
{
	if (!may_start(p, c, job))
		return;
	if (place_free(p, job) || place_evicting(p, job))
		return;
	if (!p->head &&
	    scheduler_size_class(p->sc, job->gang.total) != SCHEDULER_IN_WORKER)
		p->head = job;
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

/* Sets the customer's cursor on its next job; NULL queue at the end. */
static void settle_cursor(struct scheduler_customer *c)
{
	while (c->queue && c->next == c->queue) {
		c->queue = next_queue(c, c->queue);
		if (c->queue)
			c->next = c->queue->next;
	}
}

/*
 * Use over share, 1 for a customer that has just its fair share, less what
 * its first job has waited.
 */
static void update_use(const struct pass *p, struct scheduler_customer *c)
{
	const struct scheduler_job *job;
	double share = (double)c->weight / MAX(1, p->weight);

	c->use = c->held / (MAX(1, p->sc->cell.accelerators) * share);
	if (!c->queue)
		return;
	job = list_entry(c->next, struct scheduler_job, node);
	c->use -= (double)(p->now_us - job->queued_us) /
		  (SCHEDULER_AGE_MS * USEC_PER_MSEC);
}

static struct scheduler_customer *lowest_use(struct scheduler *sc)
{
	struct scheduler_customer *best = NULL;
	int i;

	for (i = 0; i < sc->customer_count; i++) {
		struct scheduler_customer *c = &sc->customers[i];

		if (c->queue && (!best || c->use < best->use))
			best = c;
	}
	return best;
}

static bool nothing_left(const struct pass *p)
{
	return p->starts >= SCHEDULER_STARTS_PER_PASS ||
	       (p->soft.failed[SCHEDULER_IN_WORKER] <= 1 &&
		p->hard.failed[SCHEDULER_IN_WORKER] <= 1 && p->evictions <= 0);
}

static void borrow(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct scheduler_customer *c;
	struct scheduler_job *job;
	int i;

	for (i = 0; i < sc->customer_count; i++) {
		c = &sc->customers[i];
		c->queue = &c->urgent;
		c->next = c->queue->next;
		settle_cursor(c);
		update_use(p, c);
	}
	while (!nothing_left(p) && (c = lowest_use(sc))) {
		job = list_entry(c->next, struct scheduler_job, node);
		c->next = c->next->next;
		try_borrow(p, c, job);
		settle_cursor(c);
		update_use(p, c);
	}
}

/* Upkeep. */

/* A customer at or below its fair share is not displaced by its peers. */
static void shelter(struct pass *p)
{
	struct scheduler *sc = p->sc;
	int i;

	p->weight = 0;
	for (i = 0; i < sc->customer_count; i++)
		if (sc->customers[i].queued || sc->customers[i].held)
			p->weight += sc->customers[i].weight;
	for (i = 0; i < sc->customer_count; i++) {
		const struct scheduler_customer *c = &sc->customers[i];

		sc->sheltered[i] = (int64_t)c->held * p->weight <=
				   (int64_t)c->weight * sc->cell.accelerators;
	}
}

static void update_levels(struct pass *p)
{
	struct scheduler_job *job;

	list_for_each_entry(job, &p->sc->running, node) {
		job->gang.level = yield_level(job, p->now_us);
		if (p->sc->wh.on_probation > 0 &&
		    job->state == SCHEDULER_RUNNING &&
		    p->now_us - job->started_us >=
			    WORKER_PROBATION_MIN_MS * USEC_PER_MSEC)
			scheduler_record_success(p->sc, job);
	}
}

/* Work whose grace period is over is stopped without a checkpoint. */
static void end_grace(struct pass *p)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &p->sc->leaving, node)
		if (p->now_us >= job->deadline_us) {
			job->state = SCHEDULER_STOPPING;
			list_del(&job->node);
			list_add_tail(&job->node, &p->sc->running);
			p->sc->ops->stop(p->sc, job, "grace period over");
		}
}

static void start_waiting(struct pass *p)
{
	struct scheduler_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &p->sc->waiting, node)
		start_if_clear(p, job);
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
 * Racks are reserved for one job until it runs. When enough accelerators are
 * free but scattered, one small gang is moved to make a worker whole.
 */
static void reserve(struct pass *p)
{
	struct scheduler *sc = p->sc;
	struct placing_request ask;
	struct cell_gang *gang;

	if (!sc->head)
		sc->head = p->head;
	if (!sc->head) {
		placing_release_racks(&sc->gs);
		return;
	}
	placing_reserve_racks(&sc->gs, sc->head->gang.total, p->now_us);
	if (sc->cell.free < sc->head->gang.total || !list_empty(&sc->leaving))
		return;
	ask = make_ask(p, sc->head);
	ask.evict_level = -1;
	ask.sheltered = NULL;
	gang = placing_find_move(&sc->gs, &ask);
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
	memo_init(&p.soft);
	memo_init(&p.hard);
	for (i = 0; i < SCHEDULER_LEVELS; i++)
		memo_init(&p.evict[i]);
	shelter(&p);
	update_levels(&p);
	end_grace(&p);
	end_quarantines(&p);
	start_waiting(&p);
	claims(&p);
	borrow(&p);
	reserve(&p);
}
