#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "review/stage.h"
#include "tests/standins/ports.h"
#include "tests/standins/site_reply.h"

#define TICK_US 5000

struct hold {
	struct list_head node;
	struct hs_request *req;
	int64_t until_us;
};

static const char *text_of(const json_t *body, const char *name)
{
	return json_string_value(json_object_get(body, name));
}

static int64_t int_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

int64_t worker_clock_ms(const struct stage_worker *worker)
{
	return (kn_now_us() - worker->clock_us) / USEC_PER_MSEC;
}

/* The entry in the store. */

void worker_write_entry(struct stage_worker *worker)
{
	struct stage *stage = worker->stage;
	char key[64], *text;
	json_t *entry;

	if (!worker->up || worker->silent_store || stage->store_down)
		return;
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	entry = json_pack(
		"{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:I},s:[s,s],s:I,s:I}",
		"svc", "pool", "addr",
		json_sprintf("127.0.0.1:%d", link_port(worker->link)), "zone",
		worker->zone, "version", "v1", "slots", 8, "state",
		worker->draining ? "draining" : "ready", "cold_left_ms", 0,
		"headroom", "cpu", (json_int_t)worker->room_cpu, "mem_mb",
		(json_int_t)262144, "gpu", (json_int_t)8, "labels",
		worker->kind, worker->rack, "clock_ms",
		(json_int_t)worker_clock_ms(worker), "born",
		(json_int_t)worker->born_ms);
	if (worker->draining)
		json_object_set_new(entry, "remaining_ms", json_integer(2500));
	text = json_dumps(entry, JSON_COMPACT);
	site_store_put(stage->store, key, text);
	worker->beat_us = kn_now_us();
	free(text);
	json_decref(entry);
}

static void expire_entry(struct stage_worker *worker)
{
	struct stage *stage = worker->stage;
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", worker->id);
	if (stage->store_down ||
	    kn_now_us() - worker->beat_us <
		    3 * stage->beat_ms * USEC_PER_MSEC ||
	    !site_store_get(stage->store, key))
		return;
	stage_say(stage,
		  "store: entry of %s expired after three intervals of "
		  "silence",
		  worker->id);
	site_store_remove(stage->store, key);
}

/* Runs and their ends. */

static struct stage_run *find_run(struct stage_worker *worker, const char *task,
				  int64_t number)
{
	struct stage_run *run;

	list_for_each_entry(run, &worker->runs, node)
		if (strcmp(run->task, task) == 0 && run->run == number)
			return run;
	return NULL;
}

static struct stage_past *find_past(struct stage *stage, const char *task,
				    int64_t run, const char *worker)
{
	GPtrArray *list = g_hash_table_lookup(stage->by_task, task);
	guint i;

	for (i = list ? list->len : 0; i > 0; i--) {
		struct stage_past *past = g_ptr_array_index(list, i - 1);

		if (past->run == run && strcmp(past->worker, worker) == 0)
			return past;
	}
	return NULL;
}

static void note_highest(struct stage_worker *worker, const char *task,
			 int64_t run)
{
	int64_t *highest = g_hash_table_lookup(worker->highest, task);

	if (!highest) {
		highest = g_new0(int64_t, 1);
		g_hash_table_insert(worker->highest, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void run_free(struct stage_run *run)
{
	list_del(&run->node);
	g_free(run->task);
	g_free(run);
}

static void end_run(struct stage_worker *worker, struct stage_run *run,
		    const char *how)
{
	struct stage *stage = worker->stage;
	struct stage_past *past =
		find_past(stage, run->task, run->run, worker->id);
	struct stage_end *end = g_new0(struct stage_end, 1);

	past->ended_us = kn_now_us();
	g_strlcpy(past->how, how, sizeof(past->how));
	end->number = ++worker->next_end;
	end->past = past;
	end->lapses = worker->lapses;
	g_ptr_array_add(worker->ends, end);
	note_highest(worker, run->task, run->run);
	stage_say(stage, "%s: end %lld: %s run %lld %s", worker->id,
		  (long long)end->number, run->task, (long long)run->run, how);
	run_free(run);
}

static void check_overlap(struct stage_worker *worker, const char *task,
			  int64_t number)
{
	struct stage *stage = worker->stage;
	GPtrArray *list = g_hash_table_lookup(stage->by_task, task);
	guint i;

	for (i = 0; list && i < list->len; i++) {
		struct stage_past *past = g_ptr_array_index(list, i);

		if (past->ended_us == 0)
			stage_broken(stage, "TWICE",
				     "%s run %lld begins on %s while run %lld "
				     "is at work on %s",
				     task, (long long)number, worker->id,
				     (long long)past->run, past->worker);
	}
}

static void begin(struct stage_worker *worker, const json_t *body)
{
	struct stage *stage = worker->stage;
	struct stage_run *run = g_new0(struct stage_run, 1);
	struct stage_past *past = g_new0(struct stage_past, 1);
	const char *spec = text_of(body, "spec");
	GPtrArray *list;

	run->task = g_strdup(text_of(body, "task"));
	run->run = int_of(body, "run");
	run->ms = spec && strstr(spec, "ms=") ? atoi(strstr(spec, "ms=") + 3) :
						1000;
	run->begun_us = kn_now_us();
	check_overlap(worker, run->task, run->run);
	list_add_tail(&run->node, &worker->runs);
	past->task = run->task ? g_strdup(run->task) : NULL;
	past->run = run->run;
	past->begun_us = run->begun_us;
	g_strlcpy(past->worker, worker->id, sizeof(past->worker));
	g_ptr_array_add(stage->past, past);
	list = g_hash_table_lookup(stage->by_task, run->task);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(stage->by_task, g_strdup(run->task), list);
	}
	g_ptr_array_add(list, past);
	stage_say(stage, "%s: begins %s run %lld fence %lld", worker->id,
		  run->task, (long long)run->run,
		  (long long)int_of(body, "fence"));
}

/* Orders. */

static void extend(struct stage_worker *worker, const json_t *body)
{
	int64_t most = worker_clock_ms(worker) + worker->stage->max_hold_ms;

	worker->until_ms =
		MAX(worker->until_ms, MIN(int_of(body, "until_ms"), most));
}

static const char *on_start(struct stage_worker *worker, const json_t *body)
{
	const char *task = text_of(body, "task");
	int64_t *highest = g_hash_table_lookup(worker->highest, task);
	int64_t run = int_of(body, "run");
	struct stage_run *other;

	if (int_of(body, "until_ms") <= worker_clock_ms(worker))
		return "late";
	extend(worker, body);
	if (find_run(worker, task, run))
		return NULL;
	if (highest && run <= *highest)
		return "old";
	list_for_each_entry(other, &worker->runs, node)
		if (strcmp(other->task, task) == 0)
			return "old";
	begin(worker, body);
	return NULL;
}

static void on_stop(struct stage_worker *worker, const json_t *body)
{
	const char *task = text_of(body, "task");
	struct stage_run *run = find_run(worker, task, int_of(body, "run"));

	if (!run)
		note_highest(worker, task, int_of(body, "run"));
	else if (run->stop_us == 0)
		run->stop_us = kn_now_us() +
			       worker->stage->stop_ms * USEC_PER_MSEC / 2;
}

static void on_hold(struct stage_worker *worker, const json_t *body)
{
	int64_t seen = int_of(body, "last_seen");

	extend(worker, body);
	while (worker->ends->len > 0) {
		struct stage_end *end = g_ptr_array_index(worker->ends, 0);

		if (end->number > seen)
			return;
		if (end->lapses == worker->lapses)
			end->past->noted = true;
		stage_say(worker->stage,
			  "%s: end %lld (%s run %lld %s) is taken note of by "
			  "last_seen %lld%s",
			  worker->id, (long long)end->number, end->past->task,
			  (long long)end->past->run, end->past->how,
			  (long long)seen,
			  end->past->noted ? "" : ", after a lapse");
		g_ptr_array_remove_index(worker->ends, 0);
	}
}

static json_t *lists(struct stage_worker *worker)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	struct stage_run *run;
	guint i;

	list_for_each_entry(run, &worker->runs, node)
		json_array_append_new(
			running, json_pack("[s,I,s,I,I]", run->task,
					   (json_int_t)run->run, "",
					   (json_int_t)MIN((kn_now_us() -
							    run->begun_us) /
								   10 / run->ms,
							   99),
					   (json_int_t)1));
	for (i = 0; i < worker->ends->len && i < STAGE_ENDS_LISTED; i++) {
		const struct stage_end *end =
			g_ptr_array_index(worker->ends, i);

		json_array_append_new(
			ended,
			json_pack("[I,s,I,s,s]", (json_int_t)end->number,
				  end->past->task, (json_int_t)end->past->run,
				  end->past->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)worker_clock_ms(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "ended", ended);
}

static void hold_free(struct hold *hold)
{
	list_del(&hold->node);
	g_free(hold);
}

static void answer_holds(struct stage_worker *worker)
{
	struct hold *hold, *next;

	list_for_each_entry_safe(hold, next, &worker->holds, node) {
		struct hs_request *req = hold->req;

		if (worker->ends->len == 0 && hold->until_us > kn_now_us())
			continue;
		hold_free(hold);
		site_reply(req, 200, lists(worker));
	}
}

static void reply_clock(struct stage_worker *worker, struct hs_request *req,
			const char *reason)
{
	json_t *body = json_pack("{s:I}", "clock_ms",
				 (json_int_t)worker_clock_ms(worker));

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	site_reply(req, reason ? 409 : 200, body);
}

static void carry_out(struct stage_worker *worker, struct hs_request *req,
		      const json_t *body)
{
	struct hold *hold;
	const char *reason = NULL;

	if (int_of(body, "fence") < worker->fence) {
		reply_clock(worker, req, "fence");
		return;
	}
	worker->fence = int_of(body, "fence");
	if (strcmp(req->target, "/hold") == 0) {
		on_hold(worker, body);
		hold = g_new0(struct hold, 1);
		hold->req = req;
		hold->until_us =
			kn_now_us() + int_of(body, "wait_ms") * USEC_PER_MSEC;
		list_add_tail(&hold->node, &worker->holds);
		answer_holds(worker);
		return;
	}
	if (strcmp(req->target, "/run-start") == 0)
		reason = on_start(worker, body);
	else if (strcmp(req->target, "/run-stop") == 0)
		on_stop(worker, body);
	reply_clock(worker, req, reason);
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct stage_worker *worker =
		container_of(server, struct stage_worker, server);
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	const char *meant = hs_header(req, "Chivebank-Expect-Instance");

	if (!worker->up || worker->cut || !body ||
	    (worker->fence_above &&
	     int_of(body, "fence") > worker->fence_above) ||
	    int_of(body, "fence") < worker->fence_below) {
		json_decref(body);
		return; /* not delivered */
	}
	if (meant && strcmp(meant, worker->id) != 0)
		site_reply(req, 421, json_object());
	else
		carry_out(worker, req, body);
	json_decref(body);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct stage_worker *worker =
		container_of(server, struct stage_worker, server);
	struct hold *hold, *next;

	list_for_each_entry_safe(hold, next, &worker->holds, node)
		if (hold->req == req)
			hold_free(hold);
}

static const struct hs_ops worker_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* Time and lives. */

void worker_step(struct stage_worker *worker)
{
	struct stage *stage = worker->stage;
	struct stage_run *run, *next;
	bool over;

	if (kn_now_us() - worker->beat_us >= stage->beat_ms * USEC_PER_MSEC)
		worker_write_entry(worker);
	expire_entry(worker);
	if (!worker->up)
		return;
	over = worker_clock_ms(worker) > worker->until_ms;
	if (over && !worker->lapsed && worker->until_ms > 0) {
		worker->lapses++;
		if (!list_empty(&worker->runs))
			stage_say(stage, "%s: its lease has expired",
				  worker->id);
	}
	worker->lapsed = over;
	list_for_each_entry_safe(run, next, &worker->runs, node) {
		if (over)
			end_run(worker, run, "lapsed");
		else if (run->stop_us && kn_now_us() >= run->stop_us)
			end_run(worker, run, "stopped");
		else if (kn_now_us() - run->begun_us >= run->ms * USEC_PER_MSEC)
			end_run(worker, run, "done");
	}
	answer_holds(worker);
	if (worker->drained_us && kn_now_us() >= worker->drained_us) {
		stage_say(stage, "%s: leaves", worker->id);
		worker_crash(worker);
	}
}

/* The process ends, with all that it runs. */
void worker_crash(struct stage_worker *worker)
{
	struct stage_run *run, *next;
	struct hold *hold, *next_hold;

	list_for_each_entry_safe(run, next, &worker->runs, node) {
		struct stage_past *past = find_past(worker->stage, run->task,
						    run->run, worker->id);

		past->ended_us = kn_now_us();
		g_strlcpy(past->how, "crashed", sizeof(past->how));
		run_free(run);
	}
	list_for_each_entry_safe(hold, next_hold, &worker->holds, node)
		hold_free(hold);
	g_ptr_array_set_size(worker->ends, 0);
	worker->up = false;
	worker->drained_us = 0;
	link_set(worker->link, LINK_REFUSED);
}

/* A new life under the same id and address, which knows nothing of before. */
void worker_restart(struct stage_worker *worker)
{
	g_hash_table_remove_all(worker->highest);
	worker->fence = 0;
	worker->until_ms = 0;
	worker->lapsed = false;
	worker->next_end = 0;
	worker->clock_us = kn_now_us();
	worker->born_ms = kn_wall_us() / USEC_PER_MSEC + worker->wall_skew_ms;
	worker->draining = false;
	worker->up = true;
	link_set(worker->link, LINK_OPEN);
	worker_write_entry(worker);
	stage_say(worker->stage, "%s: starts, born %lld", worker->id,
		  (long long)worker->born_ms);
}

void worker_init(struct stage *stage, int index, int64_t cpu)
{
	struct stage_worker *worker = &stage->workers[index];

	worker->stage = stage;
	worker->room_cpu = cpu;
	list_init(&worker->runs);
	list_init(&worker->holds);
	worker->ends = g_ptr_array_new_with_free_func(g_free);
	worker->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snprintf(worker->id, sizeof(worker->id), "i-%08x", 0x5a00 + index);
	g_strlcpy(worker->kind, "a", sizeof(worker->kind));
	snprintf(worker->rack, sizeof(worker->rack), "r%d-1",
		 1 + index % stage->nhosts);
	snprintf(worker->zone, sizeof(worker->zone), "z%d",
		 1 + index % stage->nhosts);
	if (!hs_init(&worker->server, &stage->kn, &worker_ops, "127.0.0.1",
		     ports_reserve(), NULL))
		stage_abort(stage, "a worker cannot listen");
	hs_keep_header(&worker->server, "Chivebank-Expect-Instance");
	worker->link = link_new(worker->server.port);
}

void worker_open(struct stage_worker *worker)
{
	worker_restart(worker);
}

int worker_running(const struct stage_worker *worker, const char *job)
{
	const struct stage_run *run;
	int count = 0;

	list_for_each_entry(run, &worker->runs, node)
		count += !job || g_str_has_prefix(run->task, job);
	return count;
}

void worker_check_past(struct stage *stage)
{
	guint i, k;

	for (i = 0; i < stage->past->len; i++) {
		struct stage_past *past = g_ptr_array_index(stage->past, i);
		GPtrArray *list =
			g_hash_table_lookup(stage->by_task, past->task);

		if (!past->noted || strcmp(past->how, "done") != 0)
			continue;
		for (k = 0; k < list->len; k++) {
			struct stage_past *later = g_ptr_array_index(list, k);

			if (later->begun_us <= past->ended_us)
				continue;
			stage_broken(
				stage, "TWICE",
				"%s run %lld began on %s %.3f s after run "
				"%lld had ended done on %s, and that end "
				"was taken note of",
				past->task, (long long)later->run,
				later->worker,
				(double)(later->begun_us - past->ended_us) /
					1e6,
				(long long)past->run, past->worker);
		}
	}
}
