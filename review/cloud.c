#include "review/cloud.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/limits.h"
#include "review/scene.h"
#include "tests/standins/site_reply.h"

#define TICK_MS 10

static struct cloud_machine *find(const struct cloud *cloud, const char *name)
{
	guint i;

	for (i = 0; name && i < cloud->machines->len; i++) {
		struct cloud_machine *machine =
			g_ptr_array_index(cloud->machines, i);

		if (strcmp(machine->name, name) == 0)
			return machine;
	}
	return NULL;
}

static bool is_spare(const struct cloud_machine *machine)
{
	return strcmp(machine->pool, CLOUD_SPARE) == 0;
}

static json_t *row(const struct cloud_machine *machine)
{
	const char *state = machine->up_us == 0 ? "up" :
			    machine->moving	? "moving" :
						  "upkeep";
	json_t *row = json_pack(
		"{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I,s:I}}", "machine",
		machine->name, "pool", machine->pool, "state", state, "zone",
		"d1", "labels", "a", machine->worker->rack, "headroom", "cpu",
		(json_int_t)128000, "mem_mb", (json_int_t)262144, "gpu",
		(json_int_t)machine->worker->gpus);

	if (machine->up_us == 0 && !is_spare(machine))
		json_object_set_new(row, "id",
				    json_string(machine->worker->id));
	return row;
}

static void on_list(struct cloud *cloud, struct hs_request *req)
{
	json_t *rows = json_array();
	guint i;

	cloud->lists++;
	for (i = 0; i < cloud->machines->len; i++)
		json_array_append_new(
			rows, row(g_ptr_array_index(cloud->machines, i)));
	site_reply(req, 200,
		   json_pack("{s:o,s:s}", "machines", rows, "next_token", ""));
}

/* Returns the reason of a refusal, or NULL. */
static const char *upkeep(struct cloud *cloud, struct cloud_machine *machine,
			  int64_t wave)
{
	if (machine->wave == wave)
		return NULL;
	if (machine->up_us != 0)
		return "busy";
	machine->wave = wave;
	machine->up_us = kn_now_us() + CLOUD_UPKEEP_MS * USEC_PER_MSEC;
	cloud->upkeeps++;
	site_worker_crash(machine->worker);
	return NULL;
}

static const char *move(struct cloud *cloud, struct cloud_machine *machine,
			const char *pool)
{
	if (strcmp(machine->pool, pool) == 0)
		return NULL;
	if (machine->up_us != 0)
		return "busy";
	if (!is_spare(machine))
		site_worker_crash(machine->worker);
	g_strlcpy(machine->pool, pool, sizeof(machine->pool));
	machine->moving = true;
	machine->up_us = kn_now_us() + CLOUD_MOVE_MS * USEC_PER_MSEC;
	cloud->moves++;
	return NULL;
}

static void note_fence(struct cloud *cloud, struct cloud_machine *machine,
		       const char *holder, int64_t fence)
{
	if (fence < machine->fence) {
		cloud->stale++;
		scene_record("cloud: %s: token %lld of %s arrives after token "
			     "%lld of %s",
			     machine->name, (long long)fence, holder,
			     (long long)machine->fence, machine->holder);
		return;
	}
	machine->fence = fence;
	g_strlcpy(machine->holder, holder, sizeof(machine->holder));
}

static void on_order(struct cloud *cloud, struct hs_request *req)
{
	json_t *body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	struct cloud_machine *machine = find(
		cloud, json_string_value(json_object_get(body, "machine")));
	const char *pool = json_string_value(json_object_get(body, "pool"));
	int64_t wave = json_integer_value(json_object_get(body, "wave"));
	const char *holder = hs_header(req, "Chivebank-Duty-Holder");
	const char *fence = hs_header(req, "Chivebank-Fence-Token");
	bool moves = strcmp(req->target, "/machine-move") == 0;
	const char *reason;

	if (!machine || !holder || !fence || (moves ? !pool : wave == 0)) {
		site_reply(req, 400, json_object());
		json_decref(body);
		return;
	}
	note_fence(cloud, machine, holder, g_ascii_strtoll(fence, NULL, 10));
	reason = moves ? move(cloud, machine, pool) :
			 upkeep(cloud, machine, wave);
	if (moves)
		scene_record("cloud: %s %s to %s", req->target, machine->name,
			     pool);
	else
		scene_record("cloud: %s %s for wave %lld", req->target,
			     machine->name, (long long)wave);
	scene_record("cloud: by %s, token %s -> %s", holder, fence,
		     reason ? reason : "200");
	json_decref(body);
	if (reason)
		site_reply(req, 409, json_pack("{s:s}", "reason", reason));
	else
		site_reply(req, 200, json_object());
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct cloud *cloud = container_of(server, struct cloud, server);
	bool list = g_str_has_prefix(req->target, "/machines");

	if (cloud->down) {
		cloud->lost += !list;
		if (!list)
			scene_record("cloud: %s %.*s: down, not carried out, "
				     "no answer",
				     req->target, (int)req->body_len,
				     (char *)req->body);
	} else if (list) {
		on_list(cloud, req);
	} else if (strcmp(req->target, "/machine-upkeep") == 0 ||
		   strcmp(req->target, "/machine-move") == 0) {
		on_order(cloud, req);
	} else {
		site_reply(req, 404, json_object());
	}
}

static const struct hs_ops cloud_ops = { .request = on_request };

static void on_tick(struct kn_timer *timer)
{
	struct cloud *cloud = container_of(timer, struct cloud, timer);
	guint i;

	for (i = 0; i < cloud->machines->len; i++) {
		struct cloud_machine *machine =
			g_ptr_array_index(cloud->machines, i);

		if (machine->up_us == 0 || machine->up_us > kn_now_us())
			continue;
		machine->up_us = 0;
		machine->moving = false;
		scene_record("cloud: %s is up in %s", machine->name,
			     machine->pool);
		if (!is_spare(machine))
			site_worker_restart(machine->worker);
	}
	kn_timer_set(cloud->server.kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

struct cloud *cloud_new(struct kn *kn, struct site_fleet *fleet)
{
	struct cloud *cloud = g_new0(struct cloud, 1);

	cloud->fleet = fleet;
	cloud->machines = g_ptr_array_new_with_free_func(g_free);
	if (!hs_init(&cloud->server, kn, &cloud_ops, "127.0.0.1", 0, NULL))
		abort();
	hs_keep_header(&cloud->server, "Chivebank-Fence-Token");
	hs_keep_header(&cloud->server, "Chivebank-Duty-Holder");
	kn_timer_set(kn, &cloud->timer, TICK_MS * USEC_PER_MSEC, on_tick);
	return cloud;
}

void cloud_free(struct cloud *cloud)
{
	kn_timer_cancel(&cloud->timer);
	hs_finish(&cloud->server);
	g_ptr_array_unref(cloud->machines);
	g_free(cloud);
}

struct cloud_machine *cloud_add(struct cloud *cloud, struct site_worker *worker,
				const char *pool)
{
	struct cloud_machine *machine = g_new0(struct cloud_machine, 1);

	snprintf(machine->name, sizeof(machine->name), "m-%s", worker->id);
	g_strlcpy(machine->pool, pool, sizeof(machine->pool));
	machine->worker = worker;
	if (is_spare(machine))
		site_worker_crash(worker);
	g_ptr_array_add(cloud->machines, machine);
	return machine;
}
