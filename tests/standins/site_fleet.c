#include "tests/standins/site_fleet_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_advice.h"
#include "tests/standins/site_reply.h"
#include "tests/standins/site_serving.h"

#define TICK_MS 5
#define MISSED_BEATS 3

/* Time. */

static void write_entry(struct site_worker *worker)
{
	char *key = g_strconcat("servers/", worker->id, NULL);
	json_t *entry = json_pack(
		"{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:I},s:[s,s],s:I,s:I}",
		"svc", "pool", "addr",
		json_sprintf("127.0.0.1:%d", worker->told_port), "zone",
		worker->dc, "version", "v1", "slots", 8, "state",
		worker->draining ? "draining" : "ready", "cold_left_ms", 0,
		"headroom", "cpu", (json_int_t)128000, "mem_mb",
		(json_int_t)262144, "gpu", (json_int_t)worker->gpus, "labels",
		"a", worker->rack, "clock_ms",
		(json_int_t)site_clock_ms(worker), "born",
		(json_int_t)worker->born_ms);
	char *text = json_dumps(entry, JSON_COMPACT);

	site_store_put(worker->fleet->store, key, text);
	free(text);
	json_decref(entry);
	g_free(key);
}

static void on_tick(struct kn_timer *timer)
{
	struct site_fleet *fleet =
		container_of(timer, struct site_fleet, timer);
	bool beat = kn_now_us() >= fleet->next_beat_us;
	struct site_worker *worker;

	if (beat)
		fleet->next_beat_us =
			kn_now_us() + fleet->bounds.beat_ms * USEC_PER_MSEC;
	site_late_run(fleet);
	list_for_each_entry(worker, &fleet->workers, node) {
		if (!worker->up)
			continue;
		if (site_clock_ms(worker) <= worker->until_ms) {
			worker->lapsed = false;
		} else if (!worker->lapsed) {
			worker->lapsed = true;
			worker->lapses++;
			/* Ends that are acknowledged after it do not count. */
			site_ends_void(worker);
			site_runs_lapse(worker);
		}
		site_runs_advance(worker, TICK_MS * USEC_PER_MSEC);
		site_holds_answer(worker, site_ends_listed(worker) > 0);
		if (beat && !worker->unlisted)
			write_entry(worker);
	}
	kn_timer_set(fleet->task.kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

/* Life. */

void site_worker_halt(struct site_worker *worker)
{
	struct site_hold *hold, *next;

	while (!list_empty(&worker->runs)) {
		struct site_run *run =
			list_first_entry(&worker->runs, struct site_run, node);

		/* The ends at this worker are forgotten below. */
		if (run->gang > 1)
			site_gang_stop(worker->fleet, run, "lost", "broken");
		else
			site_run_free(run);
	}
	list_for_each_entry_safe(hold, next, &worker->holds, node)
		site_hold_free(hold);
	site_ends_void(worker);
	g_ptr_array_set_size(worker->ends, 0);
	worker->up = false;
}

void site_worker_crash(struct site_worker *worker)
{
	char *key = g_strconcat("servers/", worker->id, NULL);

	site_worker_halt(worker);
	site_store_remove(worker->fleet->store, key);
	g_free(key);
}

void site_worker_restart_at(struct site_worker *worker, int64_t born_ms)
{
	g_hash_table_remove_all(worker->highest);
	worker->fence = 0;
	worker->until_ms = 0;
	worker->next_end = 0;
	worker->started_us = kn_now_us();
	worker->born_ms = born_ms;
	worker->draining = false;
	worker->up = true;
	if (!worker->unlisted)
		write_entry(worker);
}

void site_worker_restart(struct site_worker *worker)
{
	site_worker_restart_at(
		worker, MAX(worker->born_ms + 1, kn_wall_us() / USEC_PER_MSEC));
}

void site_worker_drain(struct site_worker *worker)
{
	worker->draining = true;
	write_entry(worker);
}

struct site_worker *site_fleet_add(struct site_fleet *fleet, const char *rack,
				   int64_t gpus, int port)
{
	struct site_worker *worker = g_new0(struct site_worker, 1);

	worker->fleet = fleet;
	list_init(&worker->runs);
	list_init(&worker->holds);
	worker->ends = g_ptr_array_new_with_free_func(site_end_free);
	worker->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!hs_init(&worker->server, fleet->task.kn, &site_worker_ops,
		     "127.0.0.1", port, NULL))
		abort();
	hs_keep_header(&worker->server, EXPECT_INSTANCE);
	worker->told_port = worker->server.port;
	snprintf(worker->id, sizeof(worker->id), "w-%d", worker->server.port);
	g_strlcpy(worker->rack, rack, sizeof(worker->rack));
	g_strlcpy(worker->dc, "d1", sizeof(worker->dc));
	worker->gpus = gpus;
	worker->pace = 1.0;
	worker->allowed = true;
	list_add_tail(&worker->node, &fleet->workers);
	site_worker_restart(worker);
	return worker;
}

bool site_fleet_set_paces(struct site_fleet *fleet, const char *list)
{
	char **paces = g_strsplit(list, ",", -1);
	struct site_worker *worker;
	bool ok = paces[0] != NULL;
	guint i;

	for (i = 0; paces[i]; i++)
		ok &= g_ascii_strtod(paces[i], NULL) > 0;
	i = 0;
	list_for_each_entry(worker, &fleet->workers, node) {
		if (!ok)
			break;
		worker->pace = g_ascii_strtod(paces[i], NULL);
		i = paces[i + 1] ? i + 1 : 0;
	}
	g_strfreev(paces);
	return ok;
}

void site_fleet_cancelled(struct site_fleet *fleet, const char *job)
{
	int64_t *since = g_new(int64_t, 1);

	*since = kn_now_us();
	g_hash_table_insert(fleet->cancelled, g_strdup(job), since);
}

void site_fleet_evacuate(struct site_fleet *fleet, const char *dc)
{
	char *key = g_strconcat("op/evacuate/", dc, NULL);
	int64_t *since = g_new(int64_t, 1);

	site_store_put(fleet->store, key, "{}");
	*since = kn_now_us();
	g_hash_table_insert(fleet->evacuated, g_strdup(dc), since);
	g_free(key);
}

void site_fleet_return(struct site_fleet *fleet, const char *dc)
{
	char *key = g_strconcat("op/evacuate/", dc, NULL);

	g_hash_table_remove(fleet->evacuated, dc);
	site_store_remove(fleet->store, key);
	g_free(key);
}

int64_t site_fleet_running(const struct site_fleet *fleet)
{
	const struct site_worker *worker;
	const struct site_run *run;
	int64_t count = 0;

	list_for_each_entry(worker, &fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node)
			count++;
	return count;
}

static bool fleet_start_task(struct kn_task *task, GError **err)
{
	struct site_fleet *fleet = container_of(task, struct site_fleet, task);

	on_tick(&fleet->timer);
	return true;
}

static void fleet_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

static void worker_free_all(struct site_worker *worker)
{
	struct site_hold *hold, *next;

	hs_finish(&worker->server);
	list_for_each_entry_safe(hold, next, &worker->holds, node)
		site_hold_free(hold);
	while (!list_empty(&worker->runs))
		site_run_free(
			list_first_entry(&worker->runs, struct site_run, node));
	g_ptr_array_unref(worker->ends);
	g_hash_table_unref(worker->highest);
	list_del(&worker->node);
	g_free(worker);
}

static void fleet_finish_task(struct kn_task *task)
{
	struct site_fleet *fleet = container_of(task, struct site_fleet, task);
	struct site_worker *worker, *next;
	struct site_late *late, *next_late;

	kn_timer_cancel(&fleet->timer);
	list_for_each_entry_safe(late, next_late, &fleet->late, node)
		site_late_free(late);
	list_for_each_entry_safe(worker, next, &fleet->workers, node)
		worker_free_all(worker);
	g_hash_table_unref(fleet->tasks);
	g_hash_table_unref(fleet->cancelled);
	g_hash_table_unref(fleet->evacuated);
	g_ptr_array_unref(fleet->violations);
	g_rand_free(fleet->rand);
	g_free(fleet);
}

static const struct kn_task_ops fleet_task_ops = {
	.start = fleet_start_task,
	.receive = fleet_receive,
	.finish = fleet_finish_task,
};

static void task_free(void *data)
{
	struct site_task *task = data;

	g_free(task->name);
	g_free(task);
}

/* Early starts that the platform's rules allow. */
#define EARLY_MS 250

struct site_fleet *site_fleet_new(struct kn *kn, struct site_store *store,
				  const struct site_bounds *bounds,
				  uint32_t seed)
{
	struct site_fleet *fleet = g_new0(struct site_fleet, 1);

	fleet->store = store;
	fleet->bounds = *bounds;
	fleet->cancel_ms = 2000;
	fleet->early_ms = EARLY_MS;
	fleet->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	fleet->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->violations = g_ptr_array_new_with_free_func(g_free);
	fleet->rand = g_rand_new_with_seed(seed);
	list_init(&fleet->workers);
	list_init(&fleet->late);
	kn_add(kn, &fleet->task, "site-fleet", &fleet_task_ops);
	return fleet;
}
