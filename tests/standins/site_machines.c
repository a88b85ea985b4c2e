#include "tests/standins/site_machines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/limits.h"
#include "tests/standins/site_check.h"
#include "tests/standins/site_reply.h"

#define TICK_MS 10

static struct site_machine *find(struct site_machines *own, const char *name)
{
	guint i;

	for (i = 0; name && i < own->machines->len; i++) {
		struct site_machine *machine =
			g_ptr_array_index(own->machines, i);

		if (strcmp(machine->name, name) == 0)
			return machine;
	}
	return NULL;
}

/* The list. */

static json_t *row(const struct site_machine *machine)
{
	bool up = machine->up_us == 0;
	const char *state = up ? "up" : machine->moving ? "moving" : "upkeep";
	json_t *row =
		json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I,s:I}}",
			  "machine", machine->name, "pool",
			  machine->spare ? SITE_SPARE_POOL : "pool", "state",
			  state, "zone", machine->worker->dc, "labels", "a",
			  machine->worker->rack, "headroom", "cpu",
			  (json_int_t)128000, "mem_mb", (json_int_t)262144,
			  "gpu", (json_int_t)machine->worker->gpus);

	if (up && !machine->spare)
		json_object_set_new(row, "id",
				    json_string(machine->worker->id));
	return row;
}

static void on_list(struct site_machines *own, struct hs_request *req)
{
	const char *token = strstr(req->target, "page_token=");
	guint from = token ? (guint)atoi(token + strlen("page_token=")) : 0;
	json_t *rows = json_array();
	json_t *body;
	guint i;

	own->lists += from == 0;
	for (i = from; i < from + SITE_MACHINES_PAGE && i < own->machines->len;
	     i++)
		json_array_append_new(rows,
				      row(g_ptr_array_index(own->machines, i)));
	body = json_pack("{s:o,s:n}", "machines", rows, "next_token");
	if (i < own->machines->len)
		json_object_set_new(body, "next_token", json_sprintf("%u", i));
	site_reply(req, 200, body);
}

/* Upkeep. */

static void begin_upkeep(struct site_machines *own,
			 struct site_machine *machine, int64_t wave)
{
	machine->wave = wave;
	machine->begun++;
	machine->up_us = kn_now_us() + SITE_UPKEEP_MS * USEC_PER_MSEC;
	own->down++;
	own->most_down = MAX(own->most_down, own->down);
	site_worker_crash(machine->worker);
}

/* Returns the reason of a refusal, NULL when it is done. */
static const char *order(struct site_machines *own,
			 struct site_machine *machine, int64_t wave,
			 int64_t fence)
{
	if (fence < machine->fence)
		return "fence";
	machine->fence = fence;
	if (machine->wave == wave)
		return NULL;
	if (machine->up_us != 0)
		return "busy";
	begin_upkeep(own, machine, wave);
	return NULL;
}

static void on_upkeep(struct site_machines *own, struct hs_request *req)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct site_machine *machine =
		find(own, json_string_value(json_object_get(body, "machine")));
	const char *fence = hs_header(req, "Chivebank-Fence-Token");
	const char *reason;

	if (!machine || !fence || !hs_header(req, "Chivebank-Duty-Holder")) {
		site_reply(req, 400, json_object());
		json_decref(body);
		return;
	}
	reason = order(own, machine,
		       json_integer_value(json_object_get(body, "wave")),
		       g_ascii_strtoll(fence, NULL, 10));
	json_decref(body);
	if (own->mute)
		return;
	if (reason)
		site_reply(req, 409, json_pack("{s:s}", "reason", reason));
	else
		site_reply(req, 200, json_object());
}

/* Moves. */

static const char *move(struct site_machine *machine, const char *pool,
			int64_t fence)
{
	bool spare = strcmp(pool, SITE_SPARE_POOL) == 0;

	if (fence < machine->fence)
		return "fence";
	machine->fence = fence;
	if (machine->spare == spare && !machine->moving)
		return NULL;
	if (machine->up_us != 0)
		return "busy";
	if (!machine->spare) {
		if (!list_empty(&machine->worker->runs))
			site_violated(machine->worker->fleet, "MOVE",
				      machine->name, "it has work");
		site_worker_crash(machine->worker);
	}
	machine->spare = spare;
	machine->moving = true;
	machine->moves++;
	machine->up_us = kn_now_us() + SITE_MOVE_MS * USEC_PER_MSEC;
	return NULL;
}

static void on_move(struct site_machines *own, struct hs_request *req)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct site_machine *machine =
		find(own, json_string_value(json_object_get(body, "machine")));
	const char *pool = json_string_value(json_object_get(body, "pool"));
	const char *fence = hs_header(req, "Chivebank-Fence-Token");
	const char *reason = NULL;
	bool known = machine && pool && fence &&
		     hs_header(req, "Chivebank-Duty-Holder");

	if (known)
		reason = move(machine, pool, g_ascii_strtoll(fence, NULL, 10));
	json_decref(body);
	if (own->mute)
		return;
	if (reason)
		site_reply(req, 409, json_pack("{s:s}", "reason", reason));
	else
		site_reply(req, known ? 200 : 400, json_object());
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct site_machines *own =
		container_of(server, struct site_machines, server);

	if (g_str_has_prefix(req->target, "/machines"))
		on_list(own, req);
	else if (strcmp(req->target, "/machine-upkeep") == 0)
		on_upkeep(own, req);
	else if (strcmp(req->target, "/machine-move") == 0)
		on_move(own, req);
	else
		site_reply(req, 404, json_object());
}

static const struct hs_ops machines_ops = { .request = on_request };

static void on_tick(struct kn_timer *timer)
{
	struct site_machines *own =
		container_of(timer, struct site_machines, timer);
	guint i;

	for (i = 0; i < own->machines->len; i++) {
		struct site_machine *machine =
			g_ptr_array_index(own->machines, i);

		if (machine->up_us == 0 || machine->up_us > kn_now_us())
			continue;
		machine->up_us = 0;
		if (!machine->moving)
			own->down--;
		if (!machine->spare)
			site_worker_restart(machine->worker);
		machine->moving = false;
	}
	kn_timer_set(own->server.kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

void site_machines_add(struct site_machines *own, struct site_worker *worker)
{
	struct site_machine *machine = g_new0(struct site_machine, 1);

	snprintf(machine->name, sizeof(machine->name), "m-%s", worker->id);
	machine->worker = worker;
	g_ptr_array_add(own->machines, machine);
}

struct site_machines *site_machines_new(struct kn *kn, struct site_fleet *fleet)
{
	struct site_machines *own = g_new0(struct site_machines, 1);
	struct site_worker *worker;

	own->fleet = fleet;
	own->machines = g_ptr_array_new_with_free_func(g_free);
	list_for_each_entry(worker, &fleet->workers, node)
		site_machines_add(own, worker);
	if (!hs_init(&own->server, kn, &machines_ops, "127.0.0.1", 0, NULL))
		abort();
	hs_keep_header(&own->server, "Chivebank-Fence-Token");
	hs_keep_header(&own->server, "Chivebank-Duty-Holder");
	kn_timer_set(kn, &own->timer, TICK_MS * USEC_PER_MSEC, on_tick);
	return own;
}

void site_machines_spare(struct site_machines *own, struct site_worker *worker)
{
	guint i;

	for (i = 0; i < own->machines->len; i++) {
		struct site_machine *machine =
			g_ptr_array_index(own->machines, i);

		if (machine->worker != worker)
			continue;
		machine->spare = true;
		site_worker_crash(worker);
	}
}

void site_machines_free(struct site_machines *own)
{
	kn_timer_cancel(&own->timer);
	hs_finish(&own->server);
	g_ptr_array_unref(own->machines);
	g_free(own);
}
