#include "fleet/evacuation.h"

#include "fleet/fleet_int.h"

void evacuation_init(struct evacuation *evacuation)
{
	evacuation->since =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void evacuation_finish(struct evacuation *evacuation)
{
	g_hash_table_unref(evacuation->since);
}

bool evacuation_begin(struct evacuation *evacuation, const char *dc,
		      int64_t now_us)
{
	int64_t *since_us;

	if (g_hash_table_contains(evacuation->since, dc))
		return false;
	since_us = g_new(int64_t, 1);
	*since_us = now_us;
	g_hash_table_insert(evacuation->since, g_strdup(dc), since_us);
	return true;
}

bool evacuation_end(struct evacuation *evacuation, const char *dc)
{
	return g_hash_table_remove(evacuation->since, dc);
}

unsigned int evacuation_count(const struct evacuation *evacuation)
{
	return g_hash_table_size(evacuation->since);
}

bool evacuation_in_force(const struct fleet *fleet)
{
	return fleet->evacuation && evacuation_count(fleet->evacuation) > 0;
}

int64_t evacuation_since_us(const struct evacuation *evacuation, const char *dc)
{
	const int64_t *since_us = g_hash_table_lookup(evacuation->since, dc);

	return since_us ? *since_us : 0;
}

static int64_t requested_us(const struct fleet *fleet, const char *dc)
{
	return fleet->evacuation && dc ?
		       evacuation_since_us(fleet->evacuation, dc) :
		       0;
}

bool evacuation_of_dc(const struct fleet *fleet, const char *dc)
{
	return requested_us(fleet, dc) != 0;
}

bool evacuation_of_worker(const struct fleet *fleet,
			  const struct worker *worker)
{
	return evacuation_of_dc(fleet, worker->reported.dc);
}

/* Runs at the worker, without those of which no start has been sent. */
static int64_t runs_at(const struct worker *worker)
{
	const struct task *task;
	int64_t runs = 0;

	list_for_each_entry(task, &worker->tasks, on_worker)
		runs += task->phase != TASK_PLANNED;
	return runs;
}

int64_t evacuation_runs(const struct fleet *fleet, const char *dc)
{
	const struct worker *worker;
	int64_t runs = 0;

	list_for_each_entry(worker, &fleet->workers, node)
		if (g_strcmp0(worker->reported.dc, dc) == 0)
			runs += runs_at(worker);
	return runs;
}

int64_t evacuation_all_runs(const struct fleet *fleet)
{
	const struct worker *worker;
	int64_t runs = 0;

	list_for_each_entry(worker, &fleet->workers, node)
		if (evacuation_of_worker(fleet, worker))
			runs += runs_at(worker);
	return runs;
}

/*
 * For how long a start without an answer may turn out to have been carried out,
 * as a part of evac_ms. A report is asked for at once, which tells so. The rest
 * is left for a stop to reach the worker, also in the second or third attempt.
 */
#define UNANSWERED_DIVISOR 4

/*
 * Why the run must not begin at its worker, or NULL. It may have begun if its
 * start got no answer, and then goes on if the worker reports it in time; a stop
 * makes the worker refuse the start if it arrives later. A run that was read
 * from the store is not started by this leader, and may be in progress.
 */
static const char *objection(const struct fleet *fleet, const struct task *task,
			     int64_t now_us)
{
	int64_t since_us;

	if (task->phase != TASK_PLANNED &&
	    (task->phase != TASK_STARTING || task->calling))
		return NULL;
	since_us = requested_us(fleet, task->worker->reported.dc);
	if (since_us == 0)
		return NULL;
	if (task->phase == TASK_PLANNED)
		return "its data centre is evacuated";
	if (!task->unconfirmed)
		return "its data centre is evacuated, and the start failed";
	if (task->tries > 0 && (now_us - since_us) * UNANSWERED_DIVISOR >=
				       fleet->bounds.evac_ms * 1000)
		return "its data centre is evacuated, and the start was not "
		       "answered";
	return NULL;
}

bool evacuation_stop(struct fleet *fleet, struct task *task, int64_t now_us)
{
	const char *why = objection(fleet, task, now_us);

	if (!why)
		return false;
	/* A run that is stopped has a line of its own. */
	if (task->phase == TASK_PLANNED)
		fleet_note(fleet, "task.dropped", task->stage->job, task, why);
	fleet_stop(fleet, task, why);
	return true;
}

void evacuation_pass(struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node) {
		struct task *task, *next;

		if (!evacuation_of_worker(fleet, worker))
			continue;
		list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
			/* Members of its gang may be gone: scan again. */
			if (evacuation_stop(fleet, task, now_us))
				next = list_first_entry(&worker->tasks,
							struct task, on_worker);
	}
}

/* Guarantees. */

/* Sums over all customers stay in range. */
#define GUARANTEE_MAX (1LL << 40)

static int64_t guaranteed_gpus(const struct customer *customer)
{
	return CLAMP(customer->guaranteed_gpus, 0, GUARANTEE_MAX);
}

/* Accelerators of the registered workers outside evacuated data centres. */
static int64_t remaining_gpus(const struct fleet *fleet)
{
	const struct worker *worker;
	int64_t gpus = 0;

	list_for_each_entry(worker, &fleet->workers, node)
		if (worker->listed && !worker->replaced &&
		    !evacuation_of_worker(fleet, worker))
			gpus += worker->reported.room.gpus;
	return gpus;
}

static void report_guarantee(struct fleet *fleet, const char *customer,
			     int64_t guaranteed, int64_t gpus, bool servable)
{
	if (fleet->ops && fleet->ops->guarantee)
		fleet->ops->guarantee(fleet->user, customer, guaranteed, gpus,
				      servable);
}

/* Reports those that can be held again, or that the customer has no more. */
static void report_servable(struct fleet *fleet, int64_t gpus, bool all)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, fleet->unservable);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const struct customer *customer =
			config_customer(fleet->config, name);
		int64_t guaranteed = customer ? guaranteed_gpus(customer) : 0;

		if (!all && guaranteed > 0)
			continue;
		report_guarantee(fleet, name, guaranteed, gpus, true);
		g_hash_table_iter_remove(&iter);
	}
}

void evacuation_check_guarantees(struct fleet *fleet)
{
	int64_t gpus, sum = 0;
	guint i;

	if (!fleet->evacuation || !fleet->config) {
		g_hash_table_remove_all(fleet->unservable);
		return;
	}
	gpus = remaining_gpus(fleet);
	for (i = 0; i < fleet->config->customers->len; i++)
		sum += guaranteed_gpus(
			g_ptr_array_index(fleet->config->customers, i));
	report_servable(fleet, gpus, sum <= gpus);
	for (i = 0; sum > gpus && i < fleet->config->customers->len; i++) {
		const struct customer *customer =
			g_ptr_array_index(fleet->config->customers, i);

		if (guaranteed_gpus(customer) > 0 &&
		    g_hash_table_add(fleet->unservable,
				     g_strdup(customer->name)))
			report_guarantee(fleet, customer->name,
					 guaranteed_gpus(customer), gpus,
					 false);
	}
}
