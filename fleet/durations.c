#include "fleet/fleet_int.h"

/*
 * Number of samples at which the measured mean has a quarter of the weight
 * against the declared duration. With more samples it approaches one half.
 */
#define STATS_PRIOR_SAMPLES 4.0
#define STATS_WINDOW 40.0 /* samples of the moving mean */

static struct queue_stats *queue_stats(struct fleet *fleet, const char *name)
{
	struct queue_stats *stats = g_hash_table_lookup(fleet->stats, name);

	if (stats)
		return stats;
	stats = g_new0(struct queue_stats, 1);
	stats->name = g_strdup(name);
	g_hash_table_insert(fleet->stats, stats->name, stats);
	return stats;
}

void fleet_record_duration(struct fleet *fleet, const struct task *task,
			   int64_t now_us)
{
	struct queue_stats *stats = queue_stats(fleet, task->stage->job->queue);
	double ms = (double)(now_us - task->started_us) / 1000.0;
	bool paced = task->stage->spec->fills &&
		     task->worker->fill_pace_since_us > task->started_us;

	/* A run that was slowed down does not show its usual duration. */
	if (task->started_us == 0 || task->unconfirmed || paced)
		return;
	stats->samples = MIN(stats->samples + 1, STATS_WINDOW);
	stats->mean_ms += (ms - stats->mean_ms) / stats->samples;
}

double fleet_expected_ms(const struct fleet *fleet, const struct stage *stage)
{
	const struct queue_stats *stats =
		g_hash_table_lookup(fleet->stats, stage->job->queue);
	double declared = (double)MAX(stage->spec->est_ms, 1);
	double trust;

	if (!stats)
		return declared;
	trust = stats->samples / (stats->samples + STATS_PRIOR_SAMPLES);
	return declared * (1.0 - trust / 2) + stats->mean_ms * trust / 2;
}
