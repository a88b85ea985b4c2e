#include "tests/standins/site_fleet_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_advice.h"
#include "tests/standins/site_reply.h"
#include "tests/standins/site_serving.h"

#define GAP_MS 5

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
	int64_t most =
		site_clock_ms(worker) + worker->fleet->bounds.max_hold_ms;

	worker->until_ms =
		MAX(worker->until_ms, MIN(int_of(body, "until_ms"), most));
}

/* A gap lasts for a moment or as long as a stop may take. */
static int64_t any_gap_us(struct site_fleet *fleet)
{
	if (g_rand_int_range(fleet->rand, 0, 100) >= fleet->bounds.gap_percent)
		return 0;
	return (g_rand_boolean(fleet->rand) ? GAP_MS : fleet->bounds.stop_ms) *
	       USEC_PER_MSEC;
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
	run->gap_us = any_gap_us(worker->fleet);
	run->listed_us = run->present_us + run->gap_us;
	site_serving_begin(run, payload);
	run->checkpoint = g_strdup(checkpoint);
	if (checkpoint)
		run->worked_us = g_ascii_strtoll(checkpoint, NULL, 10);
	list_add_tail(&run->node, &worker->runs);
	worker->fleet->starts++;
	worker->starts++;
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
	if (int_of(body, "until_ms") <= site_clock_ms(worker))
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

static int64_t stop_time_us(const struct site_run *run)
{
	const struct site_fleet *fleet = run->worker->fleet;

	return fleet->bounds.stop_ms * USEC_PER_MSEC / (run->gap_us ? 1 : 2);
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
		site_note_highest(worker, name, int_of(body, "run"));
	else if (run->stop_us == 0)
		run->stop_us = kn_now_us() + stop_time_us(run);
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

#define ENDS_PER_ANSWER 500

static bool is_listed(const struct site_run *run)
{
	return run->listed_us <= kn_now_us() && !(run->stop_us && run->gap_us);
}

guint site_ends_listed(const struct site_worker *worker)
{
	guint count = 0;

	while (count < worker->ends->len && count < ENDS_PER_ANSWER) {
		const struct site_end *end =
			g_ptr_array_index(worker->ends, count);

		if (end->listed_us > kn_now_us())
			break;
		count++;
	}
	return count;
}

static json_t *lists(struct site_worker *worker)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	struct site_run *run;
	guint i, nended = site_ends_listed(worker);

	list_for_each_entry(run, &worker->runs, node) {
		if (!is_listed(run))
			continue;
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
	}
	for (i = 0; i < nended; i++) {
		const struct site_end *end = g_ptr_array_index(worker->ends, i);

		json_array_append_new(
			ended, json_pack("[I,s,I,s,s]", (json_int_t)end->number,
					 end->name, (json_int_t)end->run,
					 end->how, end->checkpoint));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)site_clock_ms(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "ended", ended);
}

void site_hold_free(struct site_hold *hold)
{
	list_del(&hold->node);
	g_free(hold);
}

void site_holds_answer(struct site_worker *worker, bool all)
{
	struct site_hold *hold, *next;

	list_for_each_entry_safe(hold, next, &worker->holds, node) {
		struct hs_request *req = hold->req;

		if (!all && hold->until_us > kn_now_us())
			continue;
		site_hold_free(hold);
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
	if (wait_ms == 0 || site_ends_listed(worker) > 0)
		site_holds_answer(worker, site_ends_listed(worker) > 0);
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
	const char *reason, *meant;

	if (!worker->up || worker->fault == SITE_WORKER_SILENT || !body) {
		json_decref(body);
		return; /* never answered */
	}
	meant = hs_header(req, EXPECT_INSTANCE);
	if (meant && strcmp(meant, worker->id) != 0) {
		site_reply(req, 421,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)site_clock_ms(worker)));
		json_decref(body);
		return;
	}
	if (comes_late(worker, req->target)) {
		delay_order(worker, req->target, body);
		json_decref(body);
		return;
	}
	if (worker->fault == SITE_WORKER_ILL &&
	    strcmp(req->target, "/run-start") == 0) {
		site_reply(req, 503,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)site_clock_ms(worker)));
		json_decref(body);
		return;
	}
	reason = carry_out(worker, req->target, body);
	if (worker->fault == SITE_WORKER_MUTE)
		goto out;
	if (worker->fault == SITE_WORKER_BEHIND_PROXY &&
	    strcmp(req->target, "/run-start") == 0) {
		site_reply(req, 503, json_pack("{s:s}", "error", "overloaded"));
		goto out;
	}
	if (reason)
		site_reply(req, 409,
			   json_pack("{s:I,s:s}", "clock_ms",
				     (json_int_t)site_clock_ms(worker),
				     "reason", reason));
	else if (strcmp(req->target, "/hold") == 0 &&
		 worker->fault != SITE_WORKER_GARBLED)
		wait_for_end(worker, req, int_of(body, "wait_ms"));
	else
		site_reply(req, 200,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)site_clock_ms(worker)));
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
			site_hold_free(hold);
}

const struct hs_ops site_worker_ops = {
	.request = on_request,
	.gone = on_gone,
};

/* Late orders. */

void site_late_free(struct site_late *late)
{
	list_del(&late->node);
	g_free(late->target);
	json_decref(late->body);
	g_free(late);
}

void site_late_run(struct site_fleet *fleet)
{
	struct site_late *late, *next;

	list_for_each_entry_safe(late, next, &fleet->late, node) {
		if (late->at_us > kn_now_us())
			continue;
		if (late->worker->up && late->worker->born_ms == late->born_ms)
			carry_out(late->worker, late->target, late->body);
		site_late_free(late);
	}
}
