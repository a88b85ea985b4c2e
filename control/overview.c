#include "control/overview.h"

#include <math.h>
#include <string.h>

#include "base/limits.h"

static json_int_t age_in_ms(int64_t us, int64_t now_us)
{
	return us == 0 ? -1 : (now_us - us) / USEC_PER_MSEC;
}

static json_t *store_json(const struct relay *relay, int64_t now_us)
{
	return json_pack("{s:b,s:I,s:i,s:I}", "direct", !relay->direct_down,
			 "answered_ms",
			 age_in_ms(relay->last_answer_us, now_us), "peers",
			 (int)relay->peers->len, "relayed",
			 (json_int_t)relay->relayed.value);
}

static json_t *configuration_json(const struct configuration *configuration,
				  int64_t now_us)
{
	const struct config *current = configuration->current;

	if (!current)
		return json_null();
	return json_pack(
		"{s:I,s:I,s:I}", "version", (json_int_t)current->version,
		"in_force_ms", age_in_ms(configuration->in_force_us, now_us),
		"read_ms", age_in_ms(configuration->mirror.synced_us, now_us));
}

static const char *worker_state(const struct worker *worker, int64_t now_us)
{
	if (worker->unreachable)
		return "unreachable";
	if (!worker->listed)
		return "unlisted";
	if (worker->reported.draining)
		return "draining";
	if (worker->cordoned || worker->upkeep != WORKER_STAYS)
		return "cordoned";
	return worker->banned_until_us > now_us ? "banned" : "ready";
}

static json_t *worker_json(const struct worker *worker, int64_t now_us)
{
	struct room room = worker_free_room(worker);

	return json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:i,s:i}", "worker",
		worker->reported.id, "data_centre",
		worker->reported.dc ? worker->reported.dc : "-", "rack",
		worker->reported.rack ? worker->reported.rack : "-", "state",
		worker_state(worker, now_us), "tasks", worker->task_count,
		"free_gpus", (json_int_t)room.gpus, "answered_ms",
		age_in_ms(worker->heard_us, now_us), "speed_percent",
		(int)lround(exp(worker->speed.log) * 100.0),
		"certainty_percent", (int)(speed_certainty(worker) * 100.0));
}

static json_t *speeds_json(const struct fleet *fleet)
{
	return json_pack("{s:b,s:i,s:i}", "uneven", speed_uneven(fleet),
			 "spread_percent",
			 (int)lround(fleet->speed.spread * 100.0), "known",
			 fleet->speed.known);
}

/* One row a data centre, with the runs that are in progress there. */
static json_t *evacuations_json(const struct director *director, int64_t now_us)
{
	const struct site *site = director->site;
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < site->dc_count; i++) {
		const char *dc = site->dcs[i].name;
		int64_t since_us = evacuation_since_us(
			&director->configuration->evacuation, dc);
		json_t *row;

		if (since_us == 0)
			continue;
		row = json_pack("{s:s,s:I}", "data_centre", dc, "since_ms",
				age_in_ms(since_us, now_us));
		if (director->fleet_active)
			json_object_set_new(row, "runs",
					    json_integer(evacuation_runs(
						    &director->fleet, dc)));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *workers_json(const struct fleet *fleet, int64_t now_us)
{
	json_t *rows = json_array();
	const struct worker *worker;

	list_for_each_entry(worker, &fleet->workers, node) {
		json_t *row;

		if (worker->replaced)
			continue;
		row = worker_json(worker, now_us);
		/* Another state than ready tells more of the worker itself. */
		if (evacuation_of_worker(fleet, worker) &&
		    strcmp(worker_state(worker, now_us), "ready") == 0)
			json_object_set_new(row, "state",
					    json_string("evacuated"));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *jobs_json(const struct fleet *fleet, int64_t now_us)
{
	json_int_t counts[JOB_CANCELLED + 1] = { 0 };
	json_int_t oldest_ms = 0;
	const struct job *job;

	list_for_each_entry(job, &fleet->jobs, node) {
		counts[job->phase]++;
		if (job->phase == JOB_QUEUED)
			oldest_ms = MAX(oldest_ms,
					age_in_ms(job->arrived_us, now_us));
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "queued",
			 counts[JOB_QUEUED], "running", counts[JOB_RUNNING],
			 "done", counts[JOB_DONE], "failed", counts[JOB_FAILED],
			 "cancelled", counts[JOB_CANCELLED], "oldest_queued_ms",
			 oldest_ms);
}

json_t *overview(const struct director *director, int64_t now_us)
{
	const struct leader *leader = &director->leader;
	json_t *object = json_pack(
		"{s:s,s:s,s:s,s:b,s:o,s:o}", "host", director->site->host,
		"data_centre", director->site->dc, "leader", leader->current,
		"leads", leader->leading, "configuration",
		configuration_json(director->configuration, now_us), "store",
		store_json(director->relay, now_us));

	if (director->configuration->evacuations_allowed)
		json_object_set_new(object, "evacuations",
				    evacuations_json(director, now_us));
	if (!director->fleet_active)
		return object;
	json_object_set_new(object, "fence",
			    json_integer(director->orders.fence));
	json_object_set_new(object, "holds_only",
			    json_boolean(director->holding_until_us != 0));
	json_object_set_new(object, "jobs",
			    jobs_json(&director->fleet, now_us));
	json_object_set_new(object, "speeds", speeds_json(&director->fleet));
	json_object_set_new(object, "workers",
			    workers_json(&director->fleet, now_us));
	return object;
}
