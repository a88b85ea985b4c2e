#ifndef REVIEW_ACT_H
#define REVIEW_ACT_H

#include <stdio.h>

#include "tests/standins/site_fleet_int.h"
#include "tests/standins/sr_proc.h"
#include "wire/hc.h"

/*
 * A small deployment for one case: stand-ins of the store and the workers in
 * this process, and entry hosts as processes of their own. What is sent,
 * answered and run goes to the record.
 */

#define ACT_HOSTS_MAX 6
#define ACT_KEY "key-one"

/* Exit codes of a case. */
enum act_verdict { ACT_HELD = 0, ACT_BROKEN = 1, ACT_NOT_RUN = 2 };

struct act_host {
	char name[16];
	int callers_port;
	int proc;
	struct hc_pool pool;
};

struct act {
	struct kn kn;
	struct site_store *store;
	struct site_fleet *fleet;
	struct act_host hosts[ACT_HOSTS_MAX];
	int nhosts;
	FILE *record;
	char dir[128]; /* settings and logs, removed at the end */
	int64_t started_us;
	GHashTable *known; /* char *: runs that have been recorded */
	bool quiet; /* runs are counted, not recorded */
	bool broken;
};

/* One request of a client. */
struct act_call {
	struct hc_call hc;
	struct act *act;
	char line[96]; /* for the record */
	int status; /* 0: no answer */
	char body[256];
	bool ended;
};

/* Whether the disruption of the case takes place: TROUBLE is not 0. */
bool act_trouble(void);
/*
 * Starts the hosts with argv[1] as the program and argv[2] as the record.
 * config: text of op/config. delay_ms: of each answer of the store.
 */
void act_start(struct act *act, char **argv, int hosts, int workers,
	       int64_t gpus, int delay_ms, const char *config);
/* Ends all processes. Returns the exit code of the case. */
int act_end(struct act *act);
void act_note(struct act *act, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Notes that the rule is broken. */
void act_break(struct act *act, const char *rule, const char *what);
/* Ends the case as one that could not run. */
void act_give_up(struct act *act, const char *why) __attribute__((noreturn));
/* Milliseconds since the start. */
int64_t act_ms(const struct act *act);
void act_run_ms(struct act *act, int64_t ms);
/* Starts a request; it has ended when call->ended. */
void act_begin(struct act *act, struct act_call *call, int host,
	       const char *method, const char *path, const char *body);
/* One request, waited for. */
struct act_call act_call(struct act *act, int host, const char *method,
			 const char *path, const char *body);
/* Waits until a host leads and serves. */
void act_wait_ready(struct act *act);
/* The worker number n, from 0. */
struct site_worker *act_worker(struct act *act, int n);
/* The run of a task, NULL if none is there. */
struct site_run *act_run_of(struct act *act, const char *task);

#endif
