#include "fleet/lending.h"

#include <string.h>

#include "base/err.h"
#include "fleet/evacuation.h"
#include "fleet/placement.h"
#include "fleet/upkeep.h"

/* Tasks that wait for less usually get room before a host could start. */
#define LEND_MIN_WAIT_MS 500
/* Hosts arrive within the platform's move_s; twice that, and one list call. */
#define LEND_ARRIVAL_TIMEOUT_MS 5000
/* A refusal means that the host is busy or not allowed in that pool. */
#define LEND_REFUSED_RETRY_MS 10000
/* Longer than the gap between load peaks, as another move takes time again. */
#define LEND_IDLE_RETURN_MS 15000
/* How long an order that got no answer may still be carried out. */
#define LEND_LATE_ORDER_MS 30000
/* A host that no list has had for so long was removed. Lists are read in pages,
 * and may miss a host. */
#define LEND_MISSING_MS 30000
/* Bounds the record of the loans in the store. */
#define LOANS_MAX 4096

void lending_init(struct lending *lending)
{
	list_init(&lending->loans);
	lending->count = 0;
	lending->change = 0;
}

static void loan_free(struct loan *loan)
{
	list_del(&loan->node);
	g_free(loan->host);
	g_free(loan->home);
	g_free(loan->pool);
	g_free(loan);
}

void lending_finish(struct lending *lending)
{
	struct loan *loan, *next;

	list_for_each_entry_safe(loan, next, &lending->loans, node)
		loan_free(loan);
	lending_init(lending);
}

static void end_loan(struct lending *lending, struct loan *loan)
{
	loan_free(loan);
	lending->count--;
	lending->change++;
}

static bool is_spare_pool(const struct fleet *fleet, const char *pool)
{
	guint i;

	for (i = 0; fleet->config && i < fleet->config->spare_pools->len; i++)
		if (strcmp(g_ptr_array_index(fleet->config->spare_pools, i),
			   pool) == 0)
			return true;
	return false;
}

/* Number of tasks of a stage that have waited LEND_MIN_WAIT_MS for room. */
static int overdue_tasks(const struct stage *stage, int64_t now_us)
{
	int count = 0;
	int i;

	if (stage->state != STAGE_OPEN || stage->unplaced_since_us == 0 ||
	    now_us - stage->unplaced_since_us < LEND_MIN_WAIT_MS * 1000)
		return 0;
	for (i = 0; i < stage->spec->count; i++)
		count += task_restartable(&stage->tasks[i]);
	return count;
}

/* Whether the host has room for a task of the stage, and its label. */
static bool can_run(const struct machine *machine, const struct stage *stage)
{
	const char *label = stage->spec->label;

	return room_fits(&machine->room, &stage->spec->need) &&
	       (!label ||
		(machine->labels &&
		 g_strv_contains((const char *const *)machine->labels, label)));
}

/*
 * The first stage with overdue tasks in the pool that the host can run. NULL
 * stands for any pool, and for any host.
 */
static const struct stage *overdue_stage(const struct fleet *fleet,
					 const char *pool,
					 const struct machine *machine,
					 int64_t now_us)
{
	const struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		guint i;

		if (job_ended(job) || (pool && strcmp(job->pool, pool) != 0))
			continue;
		for (i = 0; i < job->stages->len; i++) {
			const struct stage *stage =
				g_ptr_array_index(job->stages, i);

			if (overdue_tasks(stage, now_us) > 0 &&
			    (!machine || can_run(machine, stage)))
				return stage;
		}
	}
	return NULL;
}

bool lending_needs_hosts(const struct lending *lending,
			 const struct fleet *fleet, int64_t now_us)
{
	if (!list_empty(&lending->loans))
		return true;
	return fleet->config && fleet->config->spare_pools->len > 0 &&
	       overdue_stage(fleet, NULL, NULL, now_us);
}

static struct loan *find_loan(const struct lending *lending, const char *host)
{
	struct loan *loan;

	list_for_each_entry(loan, &lending->loans, node)
		if (strcmp(loan->host, host) == 0)
			return loan;
	return NULL;
}

/* The worker of such a host gets no tasks, also after a move. */
static bool is_evacuated(const struct fleet *fleet,
			 const struct machine *machine)
{
	const struct worker *worker =
		machine->worker ? g_hash_table_lookup(fleet->workers_by_id,
						      machine->worker) :
				  NULL;

	return evacuation_of_dc(fleet, machine->dc) ||
	       (worker && evacuation_of_worker(fleet, worker));
}

/*
 * Whether the loan's latest order shows in a list that was requested at
 * listed_us, if it was carried out in time.
 */
static bool order_settled(const struct loan *loan, int64_t listed_us)
{
	return listed_us >= loan->settled_us;
}

static struct loan *new_loan(struct lending *lending, const char *host,
			     const char *home, const char *pool)
{
	struct loan *loan = g_new0(struct loan, 1);

	loan->host = g_strdup(host);
	loan->home = g_strdup(home);
	loan->pool = g_strdup(pool);
	list_add_tail(&loan->node, &lending->loans);
	lending->count++;
	return loan;
}

void lending_stored(struct lending *lending, uint64_t change)
{
	struct loan *loan;

	list_for_each_entry(loan, &lending->loans, node)
		loan->recorded |= loan->change <= change;
}

/*
 * It is not known whether the earlier leader has ordered the host, or has got
 * an answer.
 */
void lending_restore(struct lending *lending, const char *host,
		     const char *home, const char *pool, int64_t settled_us,
		     int64_t now_us)
{
	struct loan *loan;

	if (find_loan(lending, host))
		return;
	loan = new_loan(lending, host, home, pool);
	loan->state = LOAN_REQUESTED;
	loan->recorded = true;
	loan->ordered = true;
	loan->settled_us = settled_us;
	loan->since_us = now_us;
	loan->unanswered_us = now_us;
}

/* Tasks of the stage that fit on the hosts already requested for its pool. */
static int requested_slots(const struct lending *lending,
			   const struct fleet *fleet, const GPtrArray *machines,
			   const struct stage *stage, int64_t now_us)
{
	const struct loan *loan;
	int slots = 0;

	list_for_each_entry(loan, &lending->loans, node) {
		const struct machine *machine =
			upkeep_find_machine(machines, loan->host);

		if (loan->state == LOAN_REQUESTED && machine &&
		    !order_settled(loan, now_us) &&
		    !is_evacuated(fleet, machine) && can_run(machine, stage) &&
		    strcmp(loan->pool, stage->job->pool) == 0)
			slots += placement_slots(&machine->room, stage,
						 stage->spec->count);
	}
	return slots;
}

/* A loan of the host to the pool that is stored first, and ordered then. */
static void request_host(struct lending *lending, const struct machine *machine,
			 const char *pool, int64_t now_us)
{
	struct loan *loan = find_loan(lending, machine->name);

	if (!loan) {
		loan = new_loan(lending, machine->name, machine->pool, pool);
		loan->change = ++lending->change;
	}
	loan->state = LOAN_REQUESTED;
	loan->ordered = false;
	loan->settled_us = INT64_MAX;
	loan->since_us = now_us;
	loan->idle_us = 0;
}

/* Hosts of spare pools that are at home. The caller frees the array. */
static GPtrArray *spare_hosts(const struct lending *lending,
			      const struct fleet *fleet,
			      const GPtrArray *machines)
{
	GPtrArray *spares = g_ptr_array_new();
	guint i;

	for (i = 0; i < machines->len; i++) {
		struct machine *machine = g_ptr_array_index(machines, i);
		const struct loan *loan;

		if (machine->changing || !is_spare_pool(fleet, machine->pool) ||
		    is_evacuated(fleet, machine))
			continue;
		loan = find_loan(lending, machine->name);
		if (!loan || loan->state == LOAN_OVER)
			g_ptr_array_add(spares, machine);
	}
	return spares;
}

/* The first of the spare hosts that may be lent to the stage, or NULL. */
static const struct machine *find_host(const struct lending *lending,
				       const GPtrArray *spares,
				       const struct stage *stage)
{
	guint i;

	for (i = 0; i < spares->len; i++) {
		const struct machine *machine = g_ptr_array_index(spares, i);
		const struct loan *loan;

		if (!can_run(machine, stage))
			continue;
		/* An order to the pool of an earlier loan may still be carried
		 * out. */
		loan = find_loan(lending, machine->name);
		if (!loan || (loan->state == LOAN_OVER &&
			      strcmp(loan->pool, stage->job->pool) == 0))
			return machine;
	}
	return NULL;
}

/* The first overdue stage that one of the spare hosts could run, or NULL. */
static const struct stage *stage_to_help(const struct lending *lending,
					 const struct fleet *fleet,
					 const GPtrArray *spares,
					 int64_t now_us)
{
	const struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		guint i;

		for (i = 0; !job_ended(job) && i < job->stages->len; i++) {
			const struct stage *stage =
				g_ptr_array_index(job->stages, i);

			if (overdue_tasks(stage, now_us) > 0 &&
			    find_host(lending, spares, stage))
				return stage;
		}
	}
	return NULL;
}

/* Requests as many hosts as the tasks of a stage need, or as there are. */
static void lend_hosts(struct lending *lending, const struct fleet *fleet,
		       const GPtrArray *machines, int64_t now_us)
{
	GPtrArray *spares = spare_hosts(lending, fleet, machines);
	const struct stage *stage =
		spares->len > 0 ?
			stage_to_help(lending, fleet, spares, now_us) :
			NULL;
	const struct machine *machine =
		stage ? find_host(lending, spares, stage) : NULL;

	while (machine && lending->count < LOANS_MAX &&
	       requested_slots(lending, fleet, machines, stage, now_us) <
		       overdue_tasks(stage, now_us)) {
		request_host(lending, machine, stage->job->pool, now_us);
		machine = find_host(lending, spares, stage);
	}
	g_ptr_array_unref(spares);
}

/* Whether the host is in the pool that it is lent to. */
static bool is_lent(const struct loan *loan, const struct machine *machine)
{
	return machine->up && !machine->changing &&
	       strcmp(machine->pool, loan->pool) == 0;
}

/*
 * A host whose worker has registered is in use. An order without a visible
 * effect has ended: a host that has arrived without its worker goes back after a
 * while, and one that has not gone back is in use again.
 */
static void update_state(struct loan *loan, const struct machine *machine,
			 const struct worker *worker, int64_t listed_us)
{
	bool arrived = worker && loan->state != LOAN_RETURNING;

	if (loan->state == LOAN_ACTIVE || !is_lent(loan, machine) ||
	    (!arrived && !order_settled(loan, listed_us)))
		return;
	if (loan->state != LOAN_RETURNING)
		loan->idle_us = 0;
	loan->state = LOAN_ACTIVE;
}

/* Whether the host has tasks, as far as this leader knows. */
static bool is_busy(const struct machine *machine, const struct worker *worker)
{
	return worker ? worker->task_count > 0 : !machine->worker;
}

/* Updates a loan from the host list. Returns whether to return its host now. */
static bool update_loan(const struct fleet *fleet, struct loan *loan,
			const struct machine *machine,
			const struct worker *worker, int64_t listed_us,
			int64_t now_us)
{
	update_state(loan, machine, worker, listed_us);
	if (loan->state != LOAN_ACTIVE || !is_lent(loan, machine))
		return false;
	if (is_busy(machine, worker) ||
	    (!is_evacuated(fleet, machine) &&
	     overdue_stage(fleet, loan->pool, machine, now_us)))
		loan->idle_us = 0;
	else if (loan->idle_us == 0)
		loan->idle_us = now_us;
	return loan->idle_us != 0 &&
	       now_us - loan->idle_us >= LEND_IDLE_RETURN_MS * 1000;
}

/* Whether the host is still wanted that is to be ordered. */
static bool is_wanted(const struct fleet *fleet, const struct loan *loan,
		      const struct machine *machine, int64_t now_us)
{
	return strcmp(machine->pool, loan->home) == 0 && !machine->changing &&
	       !is_evacuated(fleet, machine) &&
	       overdue_stage(fleet, loan->pool, machine, now_us);
}

/* Whether the platform has removed the host, which is not in the list. */
static bool is_removed(struct loan *loan, int64_t now_us)
{
	if (loan->missing_us == 0)
		loan->missing_us = now_us;
	return now_us - loan->missing_us > LEND_MISSING_MS * 1000;
}

/*
 * Whether nothing can move the host any more, which has been returned or moved
 * elsewhere, or has not gone to the pool.
 */
static bool is_over(struct loan *loan, const struct machine *machine,
		    int64_t listed_us, int64_t now_us)
{
	if (strcmp(machine->pool, loan->pool) == 0 ||
	    (loan->state == LOAN_REQUESTED && !loan->ordered))
		return false;
	if (loan->state == LOAN_REFUSED &&
	    now_us - loan->since_us <= LEND_REFUSED_RETRY_MS * 1000)
		return false;
	if (loan->state != LOAN_ACTIVE && loan->state != LOAN_OVER &&
	    !order_settled(loan, listed_us))
		return false;
	if (strcmp(machine->pool, loan->home) != 0)
		return true;
	loan->state = LOAN_OVER;
	return loan->unanswered_us == 0 ||
	       now_us - loan->unanswered_us > LEND_LATE_ORDER_MS * 1000;
}

static struct loan *order_move(struct loan *loan, enum loan_state state,
			       int64_t now_us, const char **pool)
{
	loan->state = state;
	loan->ordered = true;
	loan->settled_us = now_us + LEND_ARRIVAL_TIMEOUT_MS * 1000;
	loan->since_us = now_us;
	*pool = state == LOAN_RETURNING ? loan->home : loan->pool;
	return loan;
}

/*
 * Updates the loans, and returns the first one that is to be ordered now. The
 * others are updated by the next pass. *regained: a host that was being returned
 * is in use again.
 */
static struct loan *next_order(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t listed_us,
			       int64_t now_us, const char **pool,
			       bool *regained)
{
	struct loan *loan, *next;

	list_for_each_entry_safe(loan, next, &lending->loans, node) {
		const struct machine *machine =
			upkeep_find_machine(machines, loan->host);
		const struct worker *worker =
			upkeep_find_worker(fleet, machines, loan->host);
		bool returning = loan->state == LOAN_RETURNING;

		if (!machine ? is_removed(loan, now_us) :
			       is_over(loan, machine, listed_us, now_us)) {
			end_loan(lending, loan);
			continue;
		}
		if (!machine)
			continue;
		loan->missing_us = 0;
		if (update_loan(fleet, loan, machine, worker, listed_us,
				now_us))
			return order_move(loan, LOAN_RETURNING, now_us, pool);
		*regained |= returning && loan->state == LOAN_ACTIVE;
		if (loan->state != LOAN_REQUESTED || loan->ordered)
			continue;
		if (!is_wanted(fleet, loan, machine, now_us)) {
			loan->state = LOAN_OVER;
			loan->settled_us = now_us;
		} else if (loan->recorded) {
			return order_move(loan, LOAN_REQUESTED, now_us, pool);
		}
	}
	return NULL;
}

void lending_cordon(const struct lending *lending, struct fleet *fleet,
		    const GPtrArray *machines)
{
	const struct loan *loan;

	list_for_each_entry(loan, &lending->loans, node) {
		struct worker *worker =
			upkeep_find_worker(fleet, machines, loan->host);

		if (worker && loan->state == LOAN_RETURNING)
			worker->cordoned = true;
	}
}

struct loan *lending_next_move(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t listed_us,
			       int64_t now_us, const char **pool)
{
	bool regained = false;
	struct loan *loan = next_order(lending, fleet, machines, listed_us,
				       now_us, pool, &regained);

	/* The next pass uses the room of a regained host first. */
	if (loan || regained || !overdue_stage(fleet, NULL, NULL, now_us))
		return loan;
	lend_hosts(lending, fleet, machines, now_us);
	return next_order(lending, fleet, machines, listed_us, now_us, pool,
			  &regained);
}

void lending_move_answered(struct loan *loan, int result, int64_t now_us)
{
	if (result != CB_OK && result != CB_E_CONFLICT &&
	    loan->state == LOAN_REQUESTED)
		loan->unanswered_us = now_us;
	if (result != CB_E_CONFLICT)
		return;
	loan->settled_us = now_us;
	loan->since_us = now_us;
	/* A return is ordered again after another idle period. */
	loan->idle_us = now_us;
	if (loan->state == LOAN_REQUESTED)
		loan->state = LOAN_REFUSED;
}
