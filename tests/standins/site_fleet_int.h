#ifndef STANDINS_SITE_FLEET_INT_H
#define STANDINS_SITE_FLEET_INT_H

#include <jansson.h>

#include "tests/standins/site_check.h"
#include "tests/standins/site_fleet.h"

/*
 * Shared by the files of the stand-in for the workers: site_fleet.c (lives and
 * time), site_run.c (what runs), site_orders.c (calls).
 */

struct site_end {
	int64_t number;
	char *name;
	int64_t run;
	const char *how;
	char *checkpoint;
	struct site_task *task;
	bool is_void; /* its failure counts no more */
	int64_t listed_us; /* it is not listed before */
};

struct site_hold {
	struct list_head node;
	struct hs_request *req;
	int64_t until_us;
};

/* An order that is carried out later, without an answer. */
struct site_late {
	struct list_head node;
	struct site_worker *worker;
	int64_t born_ms;
	int64_t at_us;
	char *target;
	json_t *body;
};

/* Header that names the worker which a call is meant for. */
#define EXPECT_INSTANCE "Chivebank-Expect-Instance"

/* Site_run.c. */

/* The worker's own steady clock. */
int64_t site_clock_ms(const struct site_worker *worker);
void site_run_free(struct site_run *run);
/* A GDestroyNotify. */
void site_end_free(void *data);
/* The run ends so, and takes the rest of its gang along. */
void site_run_stop(struct site_run *run, const char *how);
/* All members end: this one so, the others otherwise. */
void site_gang_stop(struct site_fleet *fleet, struct site_run *run,
		    const char *how, const char *others);
/* Runs of the task up to that number are refused from now on. */
void site_note_highest(struct site_worker *worker, const char *name,
		       int64_t run);
void site_runs_advance(struct site_worker *worker, int64_t passed_us);
void site_runs_lapse(struct site_worker *worker);
/* The failures that nobody has acknowledged so far are void for good. */
void site_ends_void(struct site_worker *worker);

/* Site_orders.c. */

extern const struct hs_ops site_worker_ops;
/* Answers the hold calls whose time is over, or all of them. */
void site_holds_answer(struct site_worker *worker, bool all);
void site_hold_free(struct site_hold *hold);
/* Returns how many ends the worker lists now. */
guint site_ends_listed(const struct site_worker *worker);
/* Carries out the late orders that are due. */
void site_late_run(struct site_fleet *fleet);
void site_late_free(struct site_late *late);

#endif
