#ifndef BENCH_EXPERIMENT_H
#define BENCH_EXPERIMENT_H

#include <stdio.h>

#include <jansson.h>

#include "fleet/fleet.h"

/*
 * An emulator of a deployment that drives the decisions of fleet/ in virtual
 * time: generated jobs, workers that turn slow, fail or leave. One seed gives
 * one course of load and faults, whatever the decisions do.
 */

#define EXP_KINDS_MAX 8

/* A kind of job, all times in milliseconds. */
struct exp_kind {
	char name[32];
	double per_s; /* jobs a second */
	double tasks; /* mean, geometric */
	int most_tasks;
	struct room need;
	double work_ms; /* mean of a task */
	double spread; /* of the work, as a share */
	double tail; /* share of the tasks that take tail_x times as long */
	double tail_x;
	double declared_off; /* the declared time is off by up to this share */
	bool gang;
	double same_rack; /* share of the jobs */
	bool checkpoint;
	bool speculative;
	int priority;
	double stretch;
	int64_t slo_ms;
	double worth; /* of a job that is done in time */
	double late; /* of one that is late, at most LATE_FACTOR objectives */
};

struct exp_settings {
	int seconds;
	int workers;
	int rack; /* workers in a rack */
	struct room room; /* of each worker */
	int64_t guaranteed; /* accelerators of the one customer */
	double crest; /* factor of the load in the middle third */
	double slow; /* share of the workers that turn slow for a while */
	double slow_x;
	double failing; /* share whose runs all fail for a while */
	double leaving; /* share that drain and leave */
	struct exp_kind kinds[EXP_KINDS_MAX];
	int nkinds;
};

/* Returns false and sets err (CB_E_SETTINGS). */
bool exp_settings_load(struct exp_settings *settings, const char *path,
		       GError **err);

/* One job, once the run is over. */
struct exp_job {
	int kind;
	double objective_ms;
	double start_ms; /* from arrival to its first start, -1: never */
	double done_ms; /* from arrival until it was done, -1: not done */
};

struct exp_result {
	GArray *jobs; /* struct exp_job */
	GArray *use; /* double: share of accelerators in use, each second */
	GArray *whole; /* double: share of the free ones in the best rack */
	double work; /* core-seconds that were done and counted */
	double waste; /* that were not */
	double run_s; /* processor time of the decisions */
};

void exp_run(const struct exp_settings *settings, uint32_t seed,
	     struct exp_result *result);
void exp_result_finish(struct exp_result *result);

/* Adds a run to a report of several seeds. */
json_t *exp_report_new(const char *label);
void exp_report_add(json_t *report, const struct exp_settings *settings,
		    const struct exp_result *result);
void exp_report_print(const json_t *report, FILE *out);
/* Draws reports over each other; false when the file can't be written. */
bool exp_report_plot(json_t **reports, size_t count, const char *path);

#endif
