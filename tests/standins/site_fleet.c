#include "tests/standins/site_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/limits.h"
#include "tests/standins/site_advice.h"
#include "tests/standins/site_check.h"
#include "tests/standins/site_reply.h"
#include "tests/standins/site_serving.h"

#define TICK_MS 5
#define MISSED_BEATS 3

struct site_end {
	int64_t number;
	char *name;
	int64_t run;
	const char *how;
	char *checkpoint;
	struct site_task *task;
};

struct site_hold {
	struct list_head node;
	struct hs_request *req;
	int64_t until_us;
};

/* An order that is carried out later, without an answer. */
struct site_late {
	struct list_head node;
	struct site_worker *worker;
	int64_t born_ms;
	int64_t at_us;
	char *target;
	json_t *body;
};

/* Runs. */

static int64_t clock_ms(const struct site_worker *worker)
{
	return 1000 + (kn_now_us() - worker->started_us) / USEC_PER_MSEC;
}

static void run_free(struct site_run *run)
{
	list_del(&run->node);
	g_free(run->name);
	g_free(run->checkpoint);
	g_free(run);
}

static void end_free(void *data)
{
	struct site_end *end = data;

	g_free(end->name);
	g_free(end->checkpoint);
	g_free(end);
}

static void note_highest(struct site_worker *worker, const char *name,
			 int64_t run)
{
	int64_t *known = g_hash_table_lookup(worker->highest, name);

	if (!known) {
		known = g_new0(int64_t, 1);
		g_hash_table_insert(worker->highest, g_strdup(name), known);
	}
	*known = MAX(*known, run);
}

static void answer_holds(struct site_worker *worker, bool all);

static void run_end(struct site_run *run, const char *how)
{
	struct site_worker *worker = run->worker;
	struct site_end *end = g_new0(struct site_end, 1);

	end->number = ++worker->next_end;
	end->name = g_strdup(run->name);
	end->run = run->run;
	end->how = how;
	end->checkpoint = g_strdup(run->checkpoint ? run->checkpoint : "");
	end->task = run->task;
	g_ptr_array_add(worker->ends, end);
	note_highest(worker, run->name, run->run);
	if (strcmp(how, "done") == 0) {
		run->task->done = true;
		run->task->noted = false;
		run->task->done_at = worker;
		run->task->done_born_ms = worker->born_ms;
		run->task->done_lapses = worker->lapses;
		worker->fleet->dones++;
	}
	if (strcmp(how, "failed") == 0)
		run->task->fails++;
	run_free(run);
}

/* Members of the same run of a gang, on all workers. */
static int members(struct site_fleet *fleet, const struct site_run *run,
		   GPtrArray *out)
{
	size_t len = (size_t)(strrchr(run->name, '.') - run->name) + 1;
	struct site_worker *worker;
	struct site_run *other;

	list_for_each_entry(worker, &fleet->workers, node)
		list_for_each_entry(other, &worker->runs, node)
			if (other->run == run->run &&
			    strncmp(other->name, run->name, len) == 0)
				g_ptr_array_add(out, other);
	return (int)out->len;
}

/* One member has ended; the others follow. */
static void end_members(struct site_fleet *fleet, struct site_run *run,
			const char *own, const char *others)
{
	GPtrArray *all = g_ptr_array_new();
	guint i;

	members(fleet, run, all);
	for (i = 0; i < all->len; i++) {
		struct site_run *other = g_ptr_array_index(all, i);

		run_end(other, other == run ? own : others);
	}
	g_ptr_array_unref(all);
}

static void end_run(struct site_run *run, const char *how)
{
	if (run->gang > 1)
		end_members(run->worker->fleet, run, how,
			    strcmp(how, "done") == 0 ? "done" : "broken");
	else
		run_end(run, how);
}

static bool gang_present(struct site_fleet *fleet, const struct site_run *run)
{
	GPtrArray *all = g_ptr_array_new();
	bool present = members(fleet, run, all) >= run->gang;

	g_ptr_array_unref(all);
	return present;
}

/* Returns false when the run has ended. */
static bool advance(struct site_run *run, int64_t passed_us)
{
	struct site_worker *worker = run->worker;
	struct site_fleet *fleet = worker->fleet;
	int64_t now_us = kn_now_us();

	if (run->stop_us && now_us >= run->stop_us) {
		end_run(run, "stopped");
		return false;
	}
	if (!run->working && run->gang > 1 && !gang_present(fleet, run)) {
		if (now_us - run->present_us >
		    fleet->bounds.gang_ms * USEC_PER_MSEC) {
			end_run(run, "alone");
			return false;
		}
		return true;
	}
	run->working = true;
	if (worker->fault == SITE_WORKER_STALLED)
		return true;
	run->worked_us += (int64_t)((double)passed_us * worker->pace *
				    run->percent_pace / 100.0);
	site_serving_check(run);
	if (run->lasting || run->worked_us < run->ms * USEC_PER_MSEC)
		return true;
	end_run(run, run->fails ? "failed" : "done");
	return false;
}

/* Ends may take others of a gang along, so the list is walked anew. */
static void advance_all(struct site_worker *worker, int64_t passed_us)
{
	GPtrArray *names = g_ptr_array_new();
	struct site_run *run;
	size_t before = worker->ends->len;
	guint i;

	list_for_each_entry(run, &worker->runs, node)
		g_ptr_array_add(names, run);
	for (i = 0; i < names->len; i++) {
		bool alive = false;

		list_for_each_entry(run, &worker->runs, node)
			alive |= run == g_ptr_array_index(names, i);
		if (alive)
			advance(g_ptr_array_index(names, i), passed_us);
	}
	g_ptr_array_unref(names);
	if (worker->ends->len > before)
		answer_holds(worker, true);
}

static void lapse_all(struct site_worker *worker)
{
	while (!list_empty(&worker->runs))
		end_run(list_first_entry(&worker->runs, struct site_run, node),
			"lapsed");
}

/* Orders. */

static const char *text_of(const json_t *body, const char *name)
{
	return json_string_value(json_object_get(body, name));
}

static int64_t int_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static struct site_run *find_run(struct site_worker *worker, const char *name,
				 int64_t number)
{
	struct site_run *run;

	list_for_each_entry(run, &worker->runs, node)
		if (strcmp(run->name, name) == 0 && run->run == number)
			return run;
	return NULL;
}

static void extend(struct site_worker *worker, const json_t *body)
{
	int64_t most = clock_ms(worker) + worker->fleet->bounds.max_hold_ms;

	worker->until_ms =
		MAX(worker->until_ms, MIN(int_of(body, "until_ms"), most));
}

static void begin(struct site_worker *worker, const json_t *body)
{
	struct site_run *run = g_new0(struct site_run, 1);
	const char *payload = text_of(body, "spec");
	const char *checkpoint = text_of(body, "checkpoint_data");

	run->worker = worker;
	run->name = g_strdup(text_of(body, "task"));
	run->task = site_task_of(worker->fleet, run->name);
	run->run = int_of(body, "run");
	run->ms = site_payload_number(payload, "ms", 100);
	run->gpus = site_payload_number(payload, "gpus", 1);
	run->gang = site_payload_number(payload, "gang", 0);
	run->fails =
		run->task->fails < site_payload_number(payload, "fail", 0) ||
		worker->fault == SITE_WORKER_FAILING;
	run->present_us = kn_now_us();
	site_serving_begin(run, payload);
	run->checkpoint = g_strdup(checkpoint);
	if (checkpoint)
		run->worked_us = g_ascii_strtoll(checkpoint, NULL, 10);
	list_add_tail(&run->node, &worker->runs);
	worker->fleet->starts++;
	worker->fleet->last_start_us = kn_now_us();
	site_check_start(worker, run, payload);
}

/* A start of a queue with advice (advised=1) carries the step's ticket. */
static bool has_ticket(const struct site_worker *worker, const json_t *body)
{
	const char *name = text_of(body, "task");
	char *step, *ticket;
	bool same;

	if (!site_payload_number(text_of(body, "spec"), "advised", 0))
		return true;
	step = g_strndup(name, (gsize)(strrchr(name, '.') - name));
	ticket = site_advice_ticket(worker, step);
	same = worker->allowed &&
	       g_strcmp0(text_of(body, "ticket"), ticket) == 0;
	g_free(step);
	g_free(ticket);
	return same;
}

/* Returns the reason of a refusal, NULL when the run is there. */
static const char *on_start(struct site_worker *worker, const json_t *body)
{
	const char *name = text_of(body, "task");
	int64_t *highest = g_hash_table_lookup(worker->highest, name);
	int64_t run = int_of(body, "run");
	struct site_run *other;

	if (int_of(body, "fence") < worker->fence)
		return "fence";
	worker->fence = int_of(body, "fence");
	if (int_of(body, "until_ms") <= clock_ms(worker))
		return "late";
	extend(worker, body);
	if (find_run(worker, name, run))
		return NULL;
	if (!has_ticket(worker, body)) {
		worker->fleet->ticket_refusals++;
		return "ticket";
	}
	if (highest && run <= *highest)
		return "old";
	list_for_each_entry(other, &worker->runs, node)
		if (strcmp(other->name, name) == 0)
			return "old";
	begin(worker, body);
	return NULL;
}

static const char *on_stop(struct site_worker *worker, const json_t *body)
{
	const char *name = text_of(body, "task");
	struct site_run *run;

	if (int_of(body, "fence") < worker->fence)
		return "fence";
	worker->fence = int_of(body, "fence");
	run = find_run(worker, name, int_of(body, "run"));
	if (!run)
		note_highest(worker, name, int_of(body, "run"));
	else if (run->stop_us == 0)
		run->stop_us = kn_now_us() + worker->fleet->bounds.stop_ms / 2 *
						     USEC_PER_MSEC;
	return NULL;
}

/* The end of a task is known to the leader once it is acknowledged. */
static void forget_ends(struct site_worker *worker, int64_t noted)
{
	while (worker->ends->len > 0) {
		struct site_end *end = g_ptr_array_index(worker->ends, 0);

		if (end->number > noted)
			return;
		if (strcmp(end->how, "done") == 0 &&
		    end->task->done_at == worker && site_same_lease(end->task))
			end->task->noted = true;
		end->task->noted_us = kn_now_us();
		g_ptr_array_remove_index(worker->ends, 0);
	}
}

static const char *on_hold(struct site_worker *worker, const json_t *body)
{
	if (int_of(body, "fence") < worker->fence)
		return "fence";
	worker->fence = int_of(body, "fence");
	extend(worker, body);
	forget_ends(worker, int_of(body, "last_seen"));
	return NULL;
}

static json_t *lists(struct site_worker *worker)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	struct site_run *run;
	guint i;

	list_for_each_entry(run, &worker->runs, node)
		json_array_append_new(
			running,
			json_pack(
				"[s,I,s,I,I]", run->name, (json_int_t)run->run,
				run->checkpoint ? run->checkpoint : "",
				(json_int_t)MIN(
					run->worked_us * 100 /
						MAX(run->ms * USEC_PER_MSEC, 1),
					100),
				(json_int_t)(run->lasting ?
						     site_serving_tail(run) :
						     1)));
	for (i = 0; i < worker->ends->len; i++) {
		const struct site_end *end = g_ptr_array_index(worker->ends, i);

		json_array_append_new(
			ended, json_pack("[I,s,I,s,s]", (json_int_t)end->number,
					 end->name, (json_int_t)end->run,
					 end->how, end->checkpoint));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_ms(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "ended", ended);
}

static void hold_free(struct site_hold *hold)
{
	list_del(&hold->node);
	g_free(hold);
}

static void answer_holds(struct site_worker *worker, bool all)
{
	struct site_hold *hold, *next;

	list_for_each_entry_safe(hold, next, &worker->holds, node) {
		struct hs_request *req = hold->req;

		if (!all && hold->until_us > kn_now_us())
			continue;
		hold_free(hold);
		site_reply(req, 200, lists(worker));
	}
}

static void wait_for_end(struct site_worker *worker, struct hs_request *req,
			 int64_t wait_ms)
{
	struct site_hold *hold = g_new0(struct site_hold, 1);

	hold->req = req;
	hold->until_us = kn_now_us() + wait_ms * USEC_PER_MSEC;
	list_add_tail(&hold->node, &worker->holds);
	if (wait_ms == 0 || worker->ends->len > 0)
		answer_holds(worker, worker->ends->len > 0);
}

static const char *carry_out(struct site_worker *worker, const char *target,
			     const json_t *body)
{
	if (strcmp(target, "/run-start") == 0)
		return on_start(worker, body);
	if (strcmp(target, "/run-stop") == 0)
		return on_stop(worker, body);
	if (strcmp(target, "/hold") == 0)
		return on_hold(worker, body);
	if (strcmp(target, "/pace") == 0)
		return site_serving_pace(find_run(worker, text_of(body, "task"),
						  int_of(body, "run")),
					 body);
	return NULL;
}

static bool comes_late(struct site_worker *worker, const char *target)
{
	return worker->fault == SITE_WORKER_LATE &&
	       strcmp(target, "/hold") != 0 &&
	       g_rand_int_range(worker->fleet->rand, 0, 100) < worker->percent;
}

static void delay_order(struct site_worker *worker, const char *target,
			json_t *body)
{
	struct site_late *late = g_new0(struct site_late, 1);

	late->worker = worker;
	late->born_ms = worker->born_ms;
	late->at_us =
		kn_now_us() + worker->fleet->bounds.late_ms * USEC_PER_MSEC;
	late->target = g_strdup(target);
	late->body = json_incref(body);
	list_add_tail(&late->node, &worker->fleet->late);
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct site_worker *worker =
		container_of(server, struct site_worker, server);
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	const char *reason;

	if (!worker->up || worker->fault == SITE_WORKER_SILENT || !body) {
		json_decref(body);
		return; /* never answered */
	}
	if (comes_late(worker, req->target)) {
		delay_order(worker, req->target, body);
		json_decref(body);
		return;
	}
	if (worker->fault == SITE_WORKER_ILL &&
	    strcmp(req->target, "/run-start") == 0) {
		site_reply(req, 503, json_object());
		json_decref(body);
		return;
	}
	reason = carry_out(worker, req->target, body);
	if (worker->fault == SITE_WORKER_MUTE)
		goto out;
	if (reason)
		site_reply(req, 409,
			   json_pack("{s:I,s:s}", "clock_ms",
				     (json_int_t)clock_ms(worker), "reason",
				     reason));
	else if (strcmp(req->target, "/hold") == 0)
		wait_for_end(worker, req, int_of(body, "wait_ms"));
	else
		site_reply(req, 200,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)clock_ms(worker)));
out:
	json_decref(body);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct site_worker *worker =
		container_of(server, struct site_worker, server);
	struct site_hold *hold, *next;

	list_for_each_entry_safe(hold, next, &worker->holds, node)
		if (hold->req == req)
			hold_free(hold);
}

static const struct hs_ops worker_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* Time. */

static void write_entry(struct site_worker *worker)
{
	char *key = g_strconcat("servers/", worker->id, NULL);
	json_t *entry = json_pack(
		"{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:I},s:[s,s],s:I,s:I}",
		"svc", "pool", "addr",
		json_sprintf("127.0.0.1:%d", worker->told_port), "zone", "d1",
		"version", "v1", "slots", 8, "state",
		worker->draining ? "draining" : "ready", "cold_left_ms", 0,
		"headroom", "cpu", (json_int_t)128000, "mem_mb",
		(json_int_t)262144, "gpu", (json_int_t)worker->gpus, "labels",
		"a", worker->rack, "clock_ms", (json_int_t)clock_ms(worker),
		"born", (json_int_t)worker->born_ms);
	char *text = json_dumps(entry, JSON_COMPACT);

	site_store_put(worker->fleet->store, key, text);
	free(text);
	json_decref(entry);
	g_free(key);
}

static void late_free(struct site_late *late)
{
	list_del(&late->node);
	g_free(late->target);
	json_decref(late->body);
	g_free(late);
}

static void run_late(struct site_fleet *fleet)
{
	struct site_late *late, *next;

	list_for_each_entry_safe(late, next, &fleet->late, node) {
		if (late->at_us > kn_now_us())
			continue;
		if (late->worker->up && late->worker->born_ms == late->born_ms)
			carry_out(late->worker, late->target, late->body);
		late_free(late);
	}
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
	run_late(fleet);
	list_for_each_entry(worker, &fleet->workers, node) {
		if (!worker->up)
			continue;
		if (clock_ms(worker) <= worker->until_ms) {
			worker->lapsed = false;
		} else if (!worker->lapsed) {
			worker->lapsed = true;
			worker->lapses++;
			lapse_all(worker);
		}
		advance_all(worker, TICK_MS * USEC_PER_MSEC);
		answer_holds(worker, worker->ends->len > 0);
		if (beat && !worker->unlisted)
			write_entry(worker);
	}
	kn_timer_set(fleet->task.kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

/* Life. */

void site_worker_crash(struct site_worker *worker)
{
	struct site_hold *hold, *next;
	char *key = g_strconcat("servers/", worker->id, NULL);
	guint i;

	while (!list_empty(&worker->runs)) {
		struct site_run *run =
			list_first_entry(&worker->runs, struct site_run, node);

		/* The ends at this worker are forgotten below. */
		if (run->gang > 1)
			end_members(worker->fleet, run, "lost", "broken");
		else
			run_free(run);
	}
	list_for_each_entry_safe(hold, next, &worker->holds, node)
		hold_free(hold);
	/* Nobody can take note of these ends any more. */
	for (i = 0; i < worker->ends->len; i++) {
		struct site_end *end = g_ptr_array_index(worker->ends, i);

		end->task->void_fails += strcmp(end->how, "failed") == 0;
	}
	g_ptr_array_set_size(worker->ends, 0);
	worker->up = false;
	site_store_remove(worker->fleet->store, key);
	g_free(key);
}

void site_worker_restart(struct site_worker *worker)
{
	g_hash_table_remove_all(worker->highest);
	worker->fence = 0;
	worker->until_ms = 0;
	worker->next_end = 0;
	worker->started_us = kn_now_us();
	worker->born_ms =
		MAX(worker->born_ms + 1, kn_wall_us() / USEC_PER_MSEC);
	worker->draining = false;
	worker->up = true;
	write_entry(worker);
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
	worker->ends = g_ptr_array_new_with_free_func(end_free);
	worker->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!hs_init(&worker->server, fleet->task.kn, &worker_ops, "127.0.0.1",
		     port, NULL))
		abort();
	worker->told_port = worker->server.port;
	snprintf(worker->id, sizeof(worker->id), "w-%d", worker->server.port);
	g_strlcpy(worker->rack, rack, sizeof(worker->rack));
	worker->gpus = gpus;
	worker->pace = 1.0;
	worker->allowed = true;
	list_add_tail(&worker->node, &fleet->workers);
	site_worker_restart(worker);
	return worker;
}

void site_fleet_cancelled(struct site_fleet *fleet, const char *job)
{
	int64_t *since = g_new(int64_t, 1);

	*since = kn_now_us();
	g_hash_table_insert(fleet->cancelled, g_strdup(job), since);
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
		hold_free(hold);
	while (!list_empty(&worker->runs))
		run_free(
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
		late_free(late);
	list_for_each_entry_safe(worker, next, &fleet->workers, node)
		worker_free_all(worker);
	g_hash_table_unref(fleet->tasks);
	g_hash_table_unref(fleet->cancelled);
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
	fleet->violations = g_ptr_array_new_with_free_func(g_free);
	fleet->rand = g_rand_new_with_seed(seed);
	list_init(&fleet->workers);
	list_init(&fleet->late);
	kn_add(kn, &fleet->task, "site-fleet", &fleet_task_ops);
	return fleet;
}
