#include "fleet/lending.h"

#include <string.h>

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

void lending_init(struct lending *lending)
{
	list_init(&lending->loans);
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

	if (!stage || stage->state != STAGE_OPEN ||
	    stage->unplaced_since_us == 0 ||
	    now_us - stage->unplaced_since_us < LEND_MIN_WAIT_MS * 1000)
		return 0;
	for (i = 0; i < stage->spec->count; i++)
		count += task_restartable(&stage->tasks[i]);
	return count;
}

/* The first stage with overdue tasks in the pool; NULL stands for any pool. */
static const struct stage *overdue_stage(const struct fleet *fleet,
					 const char *pool, int64_t now_us)
{
	const struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		int64_t i;

		if (job_ended(job) || (pool && strcmp(job->pool, pool) != 0))
			continue;
		for (i = 0; i < job->due * job->spec.nsteps; i++)
			if (overdue_tasks(job->stages[i], now_us) > 0)
				return job->stages[i];
	}
	return NULL;
}

bool lending_needs_hosts(const struct lending *lending,
			 const struct fleet *fleet, int64_t now_us)
{
	if (!list_empty(&lending->loans))
		return true;
	return fleet->config && fleet->config->spare_pools->len > 0 &&
	       overdue_stage(fleet, NULL, now_us);
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

/* Tasks of the stage that fit on the hosts already requested for its pool. */
static int requested_slots(const struct lending *lending,
			   const struct fleet *fleet, const GPtrArray *machines,
			   const struct stage *stage)
{
	const struct loan *loan;
	int slots = 0;

	list_for_each_entry(loan, &lending->loans, node) {
		const struct machine *machine =
			upkeep_find_machine(machines, loan->host);

		if (loan->state == LOAN_REQUESTED && machine &&
		    !is_evacuated(fleet, machine) &&
		    strcmp(loan->pool, stage->job->pool) == 0)
			slots += placement_slots(&machine->room, stage,
						 stage->spec->count);
	}
	return slots;
}

static struct loan *lend_host(struct lending *lending,
			      const struct fleet *fleet,
			      const GPtrArray *machines,
			      const struct stage *stage, int64_t now_us)
{
	guint i;

	for (i = 0; i < machines->len; i++) {
		const struct machine *machine = g_ptr_array_index(machines, i);
		struct loan *loan;

		if (machine->changing || !is_spare_pool(fleet, machine->pool) ||
		    find_loan(lending, machine->name) ||
		    is_evacuated(fleet, machine) ||
		    !room_fits(&machine->room, &stage->spec->need))
			continue;
		loan = g_new0(struct loan, 1);
		loan->host = g_strdup(machine->name);
		loan->home = g_strdup(machine->pool);
		loan->pool = g_strdup(stage->job->pool);
		loan->since_us = now_us;
		list_add_tail(&loan->node, &lending->loans);
		return loan;
	}
	return NULL;
}

/* Updates a loan from the host list. Returns whether to return its host now. */
static bool update_loan(struct fleet *fleet, struct loan *loan,
			const struct machine *machine, int64_t now_us)
{
	struct worker *worker =
		machine && machine->worker ?
			g_hash_table_lookup(fleet->workers_by_id,
					    machine->worker) :
			NULL;

	if (loan->state == LOAN_REQUESTED && worker && machine->up &&
	    strcmp(machine->pool, loan->pool) == 0) {
		loan->state = LOAN_ACTIVE;
		loan->since_us = now_us;
	}
	if (loan->state != LOAN_ACTIVE || !worker)
		return false;
	if (loan->cordoned) {
		/* The return order was refused. */
		worker->cordoned = false;
		loan->cordoned = false;
	}
	if (worker->task_count > 0 ||
	    (!is_evacuated(fleet, machine) &&
	     overdue_stage(fleet, loan->pool, now_us)))
		loan->idle_us = 0;
	else if (loan->idle_us == 0)
		loan->idle_us = now_us;
	if (loan->idle_us == 0 || worker->task_count > 0 ||
	    now_us - loan->idle_us < LEND_IDLE_RETURN_MS * 1000)
		return false;
	/* The worker must get no tasks while its host is being moved. */
	worker->cordoned = true;
	loan->cordoned = true;
	return true;
}

/*
 * Whether the host has been returned, was removed from the list or has not
 * arrived in time, or the wait after a refusal is over.
 */
static bool loan_expired(const struct loan *loan, const struct machine *machine,
			 int64_t now_us)
{
	bool late = now_us - loan->since_us > LEND_ARRIVAL_TIMEOUT_MS * 1000;

	if (loan->state == LOAN_REFUSED)
		return now_us - loan->since_us > LEND_REFUSED_RETRY_MS * 1000;
	if (!machine)
		return true;
	return late && strcmp(machine->pool, loan->home) == 0 &&
	       loan->state != LOAN_ACTIVE;
}

struct loan *lending_next_move(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t now_us,
			       const char **pool)
{
	const struct stage *stage = overdue_stage(fleet, NULL, now_us);
	struct loan *loan, *next;

	list_for_each_entry_safe(loan, next, &lending->loans, node) {
		const struct machine *machine =
			upkeep_find_machine(machines, loan->host);

		if (loan_expired(loan, machine, now_us)) {
			loan_free(loan);
			continue;
		}
		if (!update_loan(fleet, loan, machine, now_us))
			continue;
		loan->state = LOAN_RETURNING;
		loan->since_us = now_us;
		*pool = loan->home;
		return loan;
	}
	if (!stage || requested_slots(lending, fleet, machines, stage) >=
			      overdue_tasks(stage, now_us))
		return NULL;
	loan = lend_host(lending, fleet, machines, stage, now_us);
	*pool = loan ? loan->pool : NULL;
	return loan;
}

void lending_move_answered(struct loan *loan, bool refused, int64_t now_us)
{
	if (!refused)
		return;
	if (loan->state == LOAN_RETURNING) {
		/* The return is ordered again after another idle period. */
		loan->state = LOAN_ACTIVE;
		loan->idle_us = now_us;
	} else {
		loan->state = LOAN_REFUSED;
		loan->since_us = now_us;
	}
}
