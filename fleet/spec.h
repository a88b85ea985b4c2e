#ifndef FLEET_SPEC_H
#define FLEET_SPEC_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* What a customer asks for. A spec never changes once it was accepted. */

#define SPEC_STEPS_MAX 64 /* the bits of step_spec.after */
#define SPEC_TASKS_MAX 4096 /* per step; bounds the memory of one job */
#define SPEC_TIMES_MAX 100000 /* occurrences of a timed job */
#define SPEC_PAYLOAD_MAX_BYTES 4000
#define SPEC_LABEL_MAX_BYTES 128

/* An amount of each resource of a worker. */
struct room {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t mem_mb;
	int64_t gpus;
};

struct step_spec {
	int count; /* tasks */
	struct room need; /* of one task */
	int64_t est_ms; /* declared duration of a task, may be far off */
	uint64_t after; /* bit n: step n has to be done first */
	bool gang; /* the tasks work only together */
	bool same_rack; /* slower on more than one rack */
	bool checkpoint; /* progress is saved */
	bool speculative; /* copies may run in parallel */
	bool long_running; /* until the job is cancelled */
	bool fills; /* takes processor time that others leave unused */
	int max_per_worker; /* tasks of the step on one worker, 0: any */
	int may_miss; /* long-running tasks that may be away at a time */
	int64_t target_ms; /* bound of the tail latency, 0: none */
	char *label; /* that the worker must carry, or NULL */
	char *rack; /* where the data is, or NULL */
	char *image; /* or NULL */
};

struct job_spec {
	char *payload; /* handed to each task as it is */
	struct step_spec *steps;
	int nsteps;
	int64_t times; /* occurrences of a timed job, 0: runs once at once */
	int64_t first_ms; /* Unix time of the first occurrence */
	int64_t interval_ms;
};

void job_spec_init(struct job_spec *spec, int nsteps);
void job_spec_finish(struct job_spec *spec);
/* Returns false and sets err (CB_E_BAD_JOB) when the spec makes no sense. */
bool job_spec_check(const struct job_spec *spec, GError **err);
/* Length of the longest chain of steps by the declared durations. */
int64_t job_spec_chain_ms(const struct job_spec *spec);

bool room_fits(const struct room *free_room, const struct room *need);
void room_add(struct room *room, const struct room *more);
void room_sub(struct room *room, const struct room *less);

#endif
