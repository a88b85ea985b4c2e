#include "fleet/placement_int.h"

#include <string.h>

#include "fleet/evacuation.h"
#include "fleet/evict.h"
#include "fleet/limits.h"
#include "fleet/long_running.h"
#include "fleet/order.h"

/* A task that no worker of the pool had room for. */
struct full_for {
	struct room need;
	double expected_ms;
};

/* Lists of usable workers by pool and rack. */

static void rack_free(struct rack_view *rack)
{
	g_ptr_array_unref(rack->workers);
	g_free(rack);
}

static void pool_view_free(struct pool_view *view)
{
	g_ptr_array_unref(view->workers);
	g_hash_table_unref(view->racks_by_name);
	g_ptr_array_unref(view->racks);
	g_array_unref(view->full_for);
	g_free(view);
}

static struct pool_view *get_pool_view(GHashTable *pools, const char *pool)
{
	struct pool_view *view = g_hash_table_lookup(pools, pool);

	if (view)
		return view;
	view = g_new0(struct pool_view, 1);
	view->workers = g_ptr_array_new();
	view->racks = g_ptr_array_new_with_free_func((GDestroyNotify)rack_free);
	view->full_for = g_array_new(FALSE, FALSE, sizeof(struct full_for));
	view->racks_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(pools, g_strdup(pool), view);
	return view;
}

static struct rack_view *get_rack_view(struct pool_view *view, const char *name)
{
	struct rack_view *rack = g_hash_table_lookup(view->racks_by_name, name);

	if (rack)
		return rack;
	rack = g_new0(struct rack_view, 1);
	rack->name = name;
	rack->workers = g_ptr_array_new();
	g_ptr_array_add(view->racks, rack);
	g_hash_table_insert(view->racks_by_name, (char *)name, rack);
	return rack;
}

static bool is_usable(const struct fleet *fleet, const struct worker *worker,
		      int64_t now_us)
{
	return worker->listed && !worker->replaced &&
	       !worker->reported.draining && !worker->cordoned &&
	       worker->upkeep != WORKER_CLOSED &&
	       worker->unanswered_calls < UNANSWERED_CALLS_MAX &&
	       worker_reachable(worker, now_us) && !worker_unverified(worker) &&
	       !evacuation_of_worker(fleet, worker);
}

/*
 * Whether more workers are banned than BANNED_SHARE_MAX. The failures are then
 * put down to the jobs rather than to the workers, and bans are ignored.
 */
static bool ignore_bans(const struct fleet *fleet, int64_t now_us)
{
	const struct worker *worker;
	int all = 0, banned = 0;

	list_for_each_entry(worker, &fleet->workers, node) {
		if (!is_usable(fleet, worker, now_us))
			continue;
		all++;
		banned += worker->banned_until_us > now_us;
	}
	return banned > all * BANNED_SHARE_MAX;
}

/* Returns the views of all pools, without banned or draining workers if asked. */
static GHashTable *view_pools(struct placement *p, bool avoid_banned,
			      bool avoid_draining)
{
	GHashTable *pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)pool_view_free);
	struct worker *worker;

	list_for_each_entry(worker, &p->fleet->workers, node) {
		const char *rack = worker->reported.rack;
		struct pool_view *view;

		if (!is_usable(p->fleet, worker, p->now_us) ||
		    evict_worker_suspect(p->fleet, worker, p->now_us))
			continue;
		if ((avoid_banned && worker->banned_until_us > p->now_us) ||
		    (avoid_draining && worker->upkeep == WORKER_DRAINS)) {
			p->avoided = true;
			continue;
		}
		view = get_pool_view(pools, worker->reported.pool);
		g_ptr_array_add(view->workers, worker);
		g_ptr_array_add(get_rack_view(view, rack ? rack : "")->workers,
				worker);
	}
	return pools;
}

void placement_init(struct placement *p, struct fleet *fleet, int64_t now_us)
{
	struct worker *worker;

	order_mark_guaranteed(fleet);
	p->fleet = fleet;
	p->now_us = now_us;
	p->scored = NULL;
	p->scores = g_array_new(FALSE, FALSE, sizeof(double));
	list_for_each_entry(worker, &fleet->workers, node) {
		worker->reserved_for = NULL;
		worker->busy_until_us = 0;
	}
	p->avoided = false;
	p->pools = view_pools(p, !ignore_bans(fleet, now_us), true);
	p->pools_avoided_too = NULL;
}

void placement_finish(struct placement *p)
{
	g_array_unref(p->scores);
	g_hash_table_unref(p->pools);
	if (p->pools_avoided_too)
		g_hash_table_unref(p->pools_avoided_too);
}

static struct pool_view *all_workers(struct placement *p,
				     const struct stage *stage)
{
	if (!p->pools_avoided_too)
		p->pools_avoided_too = view_pools(p, false, false);
	return g_hash_table_lookup(p->pools_avoided_too, stage->job->pool);
}

/* Whether a worker may run the stage, by its label. */
static bool has_labelled_worker(const struct pool_view *view, const char *label)
{
	guint i;

	for (i = 0; view && i < view->workers->len; i++)
		if (!label ||
		    worker_has_label(g_ptr_array_index(view->workers, i),
				     label))
			return true;
	return false;
}

/* Whether the workers have room for the next start of the stage. */
static bool has_room(const struct placement *p, const struct pool_view *view,
		     const struct stage *stage)
{
	int wanted = stage->spec->gang ? stage->spec->count : 1;
	guint i;

	for (i = 0; i < view->workers->len && wanted > 0; i++)
		wanted -= placement_free_slots(
			g_ptr_array_index(view->workers, i), stage, p->now_us);
	return wanted <= 0;
}

/* Whether a run of the stage that ended last has failed on an avoided worker. */
static bool failed_on_avoided(const struct placement *p,
			      const struct stage *stage)
{
	const struct worker *worker;
	int i;

	/* The pointer to the worker of a failed run may dangle. */
	list_for_each_entry(worker, &p->fleet->workers, node)
		for (i = 0; worker->banned_until_us > p->now_us &&
			    i < stage->spec->count;
		     i++)
			if (stage->tasks[i].failed_last &&
			    stage->tasks[i].failed_at == worker)
				return true;
	return false;
}

/*
 * Whether the stage has waited so long for room on other workers that it may go
 * to those that are avoided. A long-running stage does so however much of the
 * room is in use, but not before runs that were stopped for it have made room.
 * Any other stage does so only where its job would be lost, and not if a run of
 * it has failed on a banned worker, as its attempts would be used up there.
 */
static bool may_use_avoided(struct placement *p, const struct pool_view *view,
			    const struct stage *stage)
{
	bool over;

	if (!p->avoided || stage->reserved || stage->unplaced_since_us == 0 ||
	    p->now_us - stage->unplaced_since_us < ROOM_WAIT_MAX_MS * 1000)
		return false;
	if (stage->spec->long_running)
		over = long_running_takes_any(stage, p->now_us);
	else
		over = placement_wait_over(p, all_workers(p, stage), stage) &&
		       !failed_on_avoided(p, stage);
	return over && !has_room(p, view, stage);
}

struct pool_view *placement_workers_for(struct placement *p,
					const struct stage *stage)
{
	struct pool_view *view =
		g_hash_table_lookup(p->pools, stage->job->pool);

	if (!has_labelled_worker(view, stage->spec->label) ||
	    may_use_avoided(p, view, stage))
		return all_workers(p, stage);
	return view;
}

/* Pools without room. */

/*
 * Whether a task that needs no more, for no longer, has found no room in this
 * pass: then no worker has room for this one either.
 */
bool placement_pool_is_full(const struct pool_view *view,
			    const struct stage *stage, double expected_ms)
{
	const struct room *need = &stage->spec->need;
	guint i;

	if (stage->spec->fills || stage->reserved)
		return false;
	for (i = 0; i < view->full_for->len; i++) {
		const struct full_for *full =
			&g_array_index(view->full_for, struct full_for, i);

		if (full->need.cpu_milli <= need->cpu_milli &&
		    full->need.mem_mb <= need->mem_mb &&
		    full->need.gpus <= need->gpus &&
		    full->expected_ms <= expected_ms)
			return true;
	}
	return false;
}

/* Stages that not every worker may run say nothing about other stages. */
void placement_note_full(struct pool_view *view, const struct task *task,
			 double expected_ms)
{
	const struct step_spec *spec = task->stage->spec;
	struct full_for full = { spec->need, expected_ms };

	if (!spec->label && !spec->fills && spec->max_per_worker == 0 &&
	    !task->stage->job->advised && !task->original)
		g_array_append_val(view->full_for, full);
}
