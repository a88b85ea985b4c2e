#ifndef FLEET_SPEED_H
#define FLEET_SPEED_H

#include "base/list.h"
#include "fleet/job.h"
#include "fleet/worker.h"

/*
 * Estimates how fast each worker runs tasks. Workers do not declare their
 * speed, so it is inferred from the progress of runs: on a logarithmic scale,
 * the rate of a run times its declared duration is the sum of an effect of its
 * stage, whose tasks have nearly the same work, an effect of its worker, and
 * noise. The effect of a stage is near that of its queue. It answers a load in
 * which tight objectives are missed on slow workers while fast ones are idle or
 * run work that has time.
 *
 * speed.c takes the observations, speed_fit.c computes the effects, speed_judge.c
 * decides what they mean for placement, speed_export.c gives them to the next
 * leader.
 */

struct fleet;

/* The common effect of a queue on the rates of its stages. */
struct speed_queue {
	struct list_head node; /* in speed_model.queues */
	int stages; /* that refer to it */
	char *name;
	double effect;
	/* During a fit. */
	double sum;
	double count;
};

/* A mean and its precision: weight is the inverse variance, sum is the weight
 * times the mean. */
struct speed_mean {
	double weight;
	double sum;
};

/* The effect of one stage, or of one run of a gang. */
struct speed_stage {
	struct list_head node; /* in speed_model.stages */
	int refs; /* the stage and the samples */
	struct speed_queue *queue;
	struct speed_mean past; /* what workers told whose samples are gone */
	struct speed_mean mean; /* weight 0: no fit yet */
	struct speed_mean next; /* during a fit */
};

/* What one run shows of its worker's speed. */
struct speed_sample {
	int64_t id; /* of the run */
	struct speed_stage *stage;
	double log_rate; /* of the rate times the declared duration */
	double weight; /* precision of log_rate */
	int64_t at_us;
	/* During a fit: the weight less what age and deviation take off. */
	double aged;
	double used;
	guint first; /* index of the worker's first sample of the stage */
	/*
	 * The worker's runs of this stage, those whose samples are gone, and
	 * what they tell the one of the two about itself. Only the first sample
	 * of the stage has them.
	 */
	struct speed_mean all;
	struct speed_mean old;
	struct speed_mean to_stage;
	struct speed_mean to_worker;
};

/* What outlives the leader of a worker's speed. */
struct speed_estimate {
	uint64_t worker; /* digest of its id */
	int64_t born_ms; /* start of its incarnation, Unix time */
	double log;
	double weight;
};

struct speed_model {
	struct list_head stages;
	struct list_head queues;
	int64_t next_id;
	int64_t fitted_us;
	bool changed; /* there are new samples since the last fit */
	bool uneven;
	bool exported_uneven; /* as of the latest export or restore */
	double spread; /* of the workers that are known, 0: too few are */
	int known;
	/* Estimates of an earlier leader for workers that are not known yet. */
	GHashTable *estimates; /* digest -> struct speed_estimate */
	bool restored; /* some were applied since the last judgement */
};

void speed_init(struct speed_model *model);
/* All workers and stages must have been freed. */
void speed_finish(struct speed_model *model);
void speed_worker_finish(struct worker *worker);
/* Without effect if stage is NULL. */
void speed_stage_unref(struct speed_stage *stage);
/* The tasks of the stage start anew, in other places. */
void speed_stage_restart(struct stage *stage);
/* A new incarnation of a worker starts with the estimate of the old one. */
void speed_inherit(struct worker *worker, const struct worker *old);
/* A hold report shows more progress of a run. */
void speed_observe(struct fleet *fleet, struct task *task, int64_t now_us);
/* The run is done. */
void speed_observe_end(struct fleet *fleet, struct task *task, int64_t now_us);
/*
 * Computes the effects again if there are new samples and the interval has
 * passed; called once per planning pass.
 */
void speed_fit(struct fleet *fleet, int64_t now_us);
/* Whether speeds differ so much that placement must consider them. */
bool speed_uneven(const struct fleet *fleet);
/* Relative speed, 1 is typical; 1 while speeds are even or unknown. */
double speed_of(const struct fleet *fleet, const struct worker *worker);
/* 0: nothing is known of the worker, 1: certain. */
double speed_certainty(const struct worker *worker);

/*
 * Whether an estimate differs from the one that was exported last by more than
 * its error, or a worker has become known since.
 */
bool speed_export_due(const struct fleet *fleet);
/* Returns the estimates of the known workers, struct speed_estimate. */
GArray *speed_export(struct fleet *fleet);
/*
 * Takes over the estimates of an earlier leader, for workers that are known now
 * or later in the same incarnation.
 */
void speed_restore(struct fleet *fleet, const GArray *estimates, bool uneven);
/* The worker has become known: applies the earlier leader's estimate. */
void speed_adopt(struct fleet *fleet, struct worker *worker);
const char *speed_class_name(enum speed_class speed_class);

#endif
