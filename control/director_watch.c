#include "control/director_int.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "fleet/limits.h"

/* Submissions. */

/*
 * Extracts ID from a key of the form PREFIX ID SUFFIX. Returns a new string,
 * or NULL if the key has another suffix.
 */
static char *intake_id(const char *key, const char *suffix)
{
	const char *id = key + strlen(KEY_INTAKE_PREFIX);

	if (!g_str_has_suffix(id, suffix) || strlen(id) <= strlen(suffix))
		return NULL;
	return g_strndup(id, strlen(id) - strlen(suffix));
}

static void accept_job(struct director *director, const char *id,
		       const struct kv_item *item)
{
	struct job *job;

	if (fleet_job(&director->fleet, id))
		return;
	job = record_submission_read(id, item->value, item->len);
	if (!job) {
		log_err("job.unreadable",
			"job=%s revision=%" G_GINT64_FORMAT " result=%d", id,
			item->mod_revision, CB_E_BAD_JOB);
		return;
	}
	job->spec_rev = item->mod_revision;
	job->arrived_us =
		kn_now_us() -
		CLAMP(director_wall_ms() - job->accepted_ms, 0, 86400000) *
			USEC_PER_MSEC;
	fleet_add_job(&director->fleet, job);
	director_log_submission(job, item);
	if (director->ready && g_hash_table_contains(director->cancelled, id))
		fleet_cancel(&director->fleet, job, director_wall_ms());
}

static void cancel_job(struct director *director, const char *id)
{
	struct job *job = fleet_job(&director->fleet, id);

	g_hash_table_add(director->cancelled, g_strdup(id));
	if (director->ready && job)
		fleet_cancel(&director->fleet, job, director_wall_ms());
}

static void on_intake_set(struct mirror *mirror, const struct kv_item *item)
{
	struct director *director =
		container_of(mirror, struct director, intake);
	char *id = intake_id(item->key, KEY_SPEC_SUFFIX);

	if (id) {
		accept_job(director, id, item);
	} else {
		id = intake_id(item->key, KEY_CANCEL_SUFFIX);
		if (id)
			cancel_job(director, id);
	}
	g_free(id);
	director_schedule_pass(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

static void on_intake_removed(struct mirror *mirror, const char *key)
{
	struct director *director =
		container_of(mirror, struct director, intake);
	char *id = intake_id(key, KEY_CANCEL_SUFFIX);

	if (id)
		g_hash_table_remove(director->cancelled, id);
	g_free(id);
}

static void on_intake_synced(struct mirror *mirror)
{
	struct director *director =
		container_of(mirror, struct director, intake);

	director->intake_read = true;
	director_finish_takeover(director);
}

const struct mirror_ops director_intake_ops = {
	.set = on_intake_set,
	.removed = on_intake_removed,
	.synced = on_intake_synced,
};

/* Workers' reports. */

static void on_worker_set(struct mirror *mirror, const struct kv_item *item)
{
	struct director *director =
		container_of(mirror, struct director, workers);
	const char *id = item->key + strlen(mirror->prefix);
	struct worker_report report;
	struct worker *known;
	bool renewed;

	if (!director->adapter->read_report(item->key, item->value, item->len,
					    &report)) {
		log_warn("worker.unreadable",
			 "worker=%s revision=%" G_GINT64_FORMAT " bytes=%zu",
			 id, item->mod_revision, item->len);
		fleet_unlist(&director->fleet, id, kn_now_us());
		return;
	}
	known = g_hash_table_lookup(director->fleet.workers_by_id, id);
	renewed = known && known->reported.born_ms == report.born_ms &&
		  known->listed;
	if (!renewed || known->reported.draining != report.draining) {
		log_info(
			"worker.seen",
			"worker=%s pool=%s dc=%s rack=%s born_ms=%" G_GINT64_FORMAT
			" draining=%d revision=%" G_GINT64_FORMAT,
			id, report.pool, report.dc,
			report.rack ? report.rack : "-", report.born_ms,
			report.draining, item->mod_revision);
		director_schedule_pass(director, PASS_DELAY_MS * USEC_PER_MSEC);
	}
	known = fleet_update_worker(&director->fleet, &report, kn_now_us());
	if (renewed)
		known->renewed_us = kn_now_us();
	else if (director->workers_read)
		worker_registered(known, kn_now_us());
}

static void on_worker_removed(struct mirror *mirror, const char *key)
{
	struct director *director =
		container_of(mirror, struct director, workers);
	const char *id = key + strlen(mirror->prefix);

	log_info("worker.unlisted", "worker=%s revision=%" G_GINT64_FORMAT, id,
		 mirror->revision);
	fleet_unlist(&director->fleet, id, kn_now_us());
	director_schedule_pass(director, PASS_DELAY_MS * USEC_PER_MSEC);
}

static void on_workers_synced(struct mirror *mirror)
{
	struct director *director =
		container_of(mirror, struct director, workers);

	director->workers_read = true;
	director_finish_takeover(director);
}

const struct mirror_ops director_workers_ops = {
	.set = on_worker_set,
	.removed = on_worker_removed,
	.synced = on_workers_synced,
};
