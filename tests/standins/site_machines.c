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

struct site_machine *site_machines_of(const struct site_machines *own,
				      const struct site_worker *worker)
{
	guint i;

	for (i = 0; i < own->machines->len; i++) {
		struct site_machine *machine =
			g_ptr_array_index(own->machines, i);

		if (machine->worker == worker)
			return machine;
	}
	return NULL;
}

static void set_power(struct site_machines *own, struct site_machine *machine,
		      bool on)
{
	if (own->power)
		own->power(machine, on, own->user);
	else if (on)
		site_worker_restart(machine->worker);
	else
		site_worker_crash(machine->worker);
}

/* Its worker has crashed, and the platform has not taken it down. */
static bool has_crashed(const struct site_machine *machine)
{
	return !machine->spare && machine->up_us == 0 && !machine->worker->up;
}

/* The list. */

static json_t *row(const struct site_machine *machine)
{
	bool up = machine->up_us == 0 && !has_crashed(machine);
	const char *state = up			 ? "up" :
			    has_crashed(machine) ? "down" :
			    machine->moving	 ? "moving" :
						   "upkeep";
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
	set_power(own, machine, false);
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
	if (machine->up_us != 0 || has_crashed(machine))
		return "busy";
	begin_upkeep(own, machine, wave);
	return NULL;
}

/* Moves. */

static const char *move(struct site_machines *own, struct site_machine *machine,
			const char *pool, int64_t fence)
{
	bool spare = strcmp(pool, SITE_SPARE_POOL) == 0;

	if (fence < machine->fence)
		return "fence";
	machine->fence = fence;
	if (machine->spare == spare)
		return NULL;
	if (machine->up_us != 0 || has_crashed(machine))
		return "busy";
	if (!machine->spare) {
		if (!own->may_end_work && !list_empty(&machine->worker->runs))
			site_violated(own->fleet, "MOVE", machine->name,
				      "it has work");
		set_power(own, machine, false);
	}
	machine->spare = spare;
	machine->moving = true;
	machine->moves++;
	own->moved++;
	machine->up_us = kn_now_us() + SITE_MOVE_MS * USEC_PER_MSEC;
	return NULL;
}

/* Orders. */

struct late_order {
	char *name;
	char *pool; /* NULL: for upkeep */
	int64_t wave;
	int64_t fence;
	int64_t at_us;
};

static void late_order_free(void *data)
{
	struct late_order *late = data;

	g_free(late->name);
	g_free(late->pool);
	g_free(late);
}

static void put_off(struct site_machines *own, const char *name,
		    const char *pool, int64_t wave, int64_t fence)
{
	struct late_order *late = g_new0(struct late_order, 1);

	late->name = g_strdup(name);
	late->pool = g_strdup(pool);
	late->wave = wave;
	late->fence = fence;
	late->at_us = kn_now_us() + own->late_ms * USEC_PER_MSEC;
	g_ptr_array_add(own->late, late);
}

static const char *carry_out(struct site_machines *own,
			     struct site_machine *machine, const char *pool,
			     int64_t wave, int64_t fence)
{
	return pool ? move(own, machine, pool, fence) :
		      order(own, machine, wave, fence);
}

static void carry_out_late(struct site_machines *own)
{
	guint i = 0;

	while (i < own->late->len) {
		struct late_order *late = g_ptr_array_index(own->late, i);

		if (late->at_us > kn_now_us()) {
			i++;
			continue;
		}
		carry_out(own, find(own, late->name), late->pool, late->wave,
			  late->fence);
		g_ptr_array_remove_index(own->late, i);
	}
}

static void on_order(struct site_machines *own, struct hs_request *req,
		     bool moves)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct site_machine *machine =
		find(own, json_string_value(json_object_get(body, "machine")));
	const char *pool = json_string_value(json_object_get(body, "pool"));
	int64_t wave = json_integer_value(json_object_get(body, "wave"));
	const char *token = hs_header(req, "Chivebank-Fence-Token");
	int64_t fence = token ? g_ascii_strtoll(token, NULL, 10) : 0;
	const char *reason = NULL;
	bool known = machine && token && (pool != NULL) == moves &&
		     hs_header(req, "Chivebank-Duty-Holder");

	if (known && own->fault == SITE_MACHINES_LATE)
		put_off(own, machine->name, pool, wave, fence);
	else if (known)
		reason = carry_out(own, machine, pool, wave, fence);
	json_decref(body);
	if (own->fault == SITE_MACHINES_MUTE ||
	    own->fault == SITE_MACHINES_LATE)
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

	if (own->fault == SITE_MACHINES_SILENT)
		return;
	if (own->fault == SITE_MACHINES_BUSY)
		site_reply(req, 503, json_object());
	else if (g_str_has_prefix(req->target, "/machines"))
		on_list(own, req);
	else if (strcmp(req->target, "/machine-upkeep") == 0)
		on_order(own, req, false);
	else if (strcmp(req->target, "/machine-move") == 0)
		on_order(own, req, true);
	else
		site_reply(req, 404, json_object());
}

static const struct hs_ops machines_ops = { .request = on_request };

static void on_tick(struct kn_timer *timer)
{
	struct site_machines *own =
		container_of(timer, struct site_machines, timer);
	guint i;

	carry_out_late(own);
	for (i = 0; i < own->machines->len; i++) {
		struct site_machine *machine =
			g_ptr_array_index(own->machines, i);

		if (machine->up_us == 0 || machine->up_us > kn_now_us())
			continue;
		machine->up_us = 0;
		if (!machine->moving)
			own->down--;
		machine->moving = false;
		if (!machine->spare)
			set_power(own, machine, true);
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
	own->late = g_ptr_array_new_with_free_func(late_order_free);
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
	site_machines_of(own, worker)->spare = true;
	set_power(own, site_machines_of(own, worker), false);
}

void site_machines_free(struct site_machines *own)
{
	kn_timer_cancel(&own->timer);
	hs_finish(&own->server);
	g_ptr_array_unref(own->machines);
	g_ptr_array_unref(own->late);
	g_free(own);
}
