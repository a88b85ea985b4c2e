#ifndef FLEET_SPEC_H
#define FLEET_SPEC_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* The job that a customer submits. A spec is immutable once accepted. */

#define SPEC_STEPS_MAX 64 /* step_spec.after has one bit for each step */
#define SPEC_TASKS_MAX 4096 /* per step; bounds the memory of one job */
/*
 * Of all steps of an occurrence, and of all open occurrences of a job together:
 * their state must fit into one record of the store.
 */
#define SPEC_JOB_TASKS_MAX 8192
/* Occurrences of a recurring job: nearly two years of one each minute. Those that
 * are over take no room. */
#define SPEC_TIMES_MAX 1000000
/* Of a resource, of one task; the sum over all tasks of all jobs is in range. */
#define SPEC_AMOUNT_MAX (1LL << 32)
#define SPEC_SPAN_MAX_MS (1LL << 40) /* 34 years; 64 of them are in range */
#define SPEC_PAYLOAD_MAX_BYTES 4000
#define SPEC_LABEL_MAX_BYTES 128

/* Amounts of the resources of a worker. */
struct room {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t mem_mb;
	int64_t gpus;
};

struct step_spec {
	int count; /* of tasks */
	struct room need; /* of one task */
	int64_t est_ms; /* declared duration of a task, may be far off */
	uint64_t after; /* bit n: depends on step n */
	bool gang; /* all tasks must run at the same time */
	bool same_rack; /* runs slower when spread over several racks */
	bool checkpoint; /* the tasks save checkpoints */
	bool speculative; /* a task may have two concurrent runs */
	bool long_running; /* runs until the job is cancelled */
	bool fills; /* uses only processor time that other tasks leave idle */
	int max_per_worker; /* tasks of the step per worker, 0: no limit */
	int may_miss; /* long-running tasks that may be down at a time */
	int64_t target_ms; /* target of the tail latency, 0: none */
	char *label; /* required of the worker, or NULL */
	char *rack; /* that holds the data, or NULL */
	char *image; /* or NULL */
};

struct job_spec {
	char *payload; /* passed to each task unchanged */
	struct step_spec *steps;
	int nsteps;
	int64_t times; /* occurrences; 0: not recurring, runs at once */
	int64_t first_ms; /* Unix time of the first occurrence */
	int64_t interval_ms;
};

void job_spec_init(struct job_spec *spec, int nsteps);
void job_spec_finish(struct job_spec *spec);
/* Returns false and sets err (CB_E_BAD_JOB) if the spec is invalid. */
bool job_spec_check(const struct job_spec *spec, GError **err);
/* Tasks of all steps of an occurrence. */
int64_t job_spec_tasks(const struct job_spec *spec);
/* Critical path of the steps by their declared durations. */
int64_t job_spec_chain_ms(const struct job_spec *spec);

bool room_fits(const struct room *free_room, const struct room *need);
void room_add(struct room *room, const struct room *more);
void room_sub(struct room *room, const struct room *less);

#endif
