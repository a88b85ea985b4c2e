#ifndef STANDINS_SITE_CHECK_H
#define STANDINS_SITE_CHECK_H

#include "tests/standins/site_fleet.h"

/* The rules that every run of the stand-in for the workers is held to. */

/* What all workers together know of one task. */
struct site_task {
	char *name;
	int fails; /* runs that ended so */
	int void_fails; /* of these, not acknowledged within their lease */
	bool done;
	bool noted; /* and that end was acknowledged */
	int64_t noted_us;
	struct site_worker *done_at;
	int64_t done_born_ms; /* life of the worker */
	int64_t done_lapses; /* of its lease before the end */
};

struct site_run {
	struct list_head node;
	struct site_worker *worker;
	struct site_task *task;
	char *name;
	int64_t run;
	int64_t ms;
	int64_t gpus;
	int64_t gang;
	int64_t worked_us;
	int64_t present_us; /* since when it waits for its gang */
	bool working;
	int64_t stop_us; /* when a stop takes effect, 0: none */
	int64_t gap_us; /* how long it is in no list, 0: it always is in one */
	int64_t listed_us; /* it is not listed before */
	bool fails;
	char *checkpoint;
	/* See site_serving.h. */
	bool lasting;
	bool fills;
	int64_t target_ms;
	int64_t over_us; /* since when it is over its target, 0: it isn't */
	int percent_pace;
	int paces; /* orders on its pace */
};

void site_violated(struct site_fleet *fleet, const char *rule, const char *task,
		   const char *detail);

/* A number from a payload of name=value words. */
int64_t site_payload_number(const char *payload, const char *name,
			    int64_t fallback);
/* Adds the task when it is new. */
struct site_task *site_task_of(struct site_fleet *fleet, const char *name);
/* The lease of the worker has not run out since the task's end. */
bool site_same_lease(const struct site_task *task);
/* Adds to the violations what is wrong with a run that has just begun. */
void site_check_start(struct site_worker *worker, const struct site_run *run,
		      const char *payload);

#endif
