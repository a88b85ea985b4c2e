#ifndef REVIEW_STAGE_H
#define REVIEW_STAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/kn.h"
#include "tests/standins/site_store.h"
#include "wire/hc.h"
#include "wire/hs.h"

/*
 * A small deployment for the review's scripts: entry hosts are processes with
 * the command of the deploy file; the store, the workers and the callers are
 * stand-ins in this program. Everything is on loopback addresses.
 */

#define STAGE_HOSTS_MAX 4
#define STAGE_WORKERS_MAX 64
#define STAGE_KEY "key-one"
#define STAGE_VALUE_BYTES 1048576
#define STAGE_ENDS_LISTED 500 /* of one answer to a hold */

/* A TCP relay whose connections can be cut. */
enum link_state {
	LINK_OPEN,
	LINK_CUT, /* carries nothing, like a partition */
	LINK_REFUSED, /* resets its connections and accepts none */
	LINK_NO_STORE, /* drops connections that carry store calls of a peer */
};

struct stage;

struct stage_run {
	struct list_head node;
	char *task;
	int64_t run;
	int64_t ms; /* work */
	int64_t begun_us;
	int64_t stop_us; /* a stop was ordered; when it ends, 0: none */
};

/* One run of a task, kept for the checks after it has ended. */
struct stage_past {
	char *task;
	int64_t run;
	char worker[16];
	int64_t begun_us;
	int64_t ended_us; /* 0: is running */
	char how[12]; /* "" while it is running */
	bool noted; /* the end was acknowledged, without a lapse before it */
};

struct stage_end {
	int64_t number;
	struct stage_past *past;
	int64_t lapses; /* of the worker's lease, when the run ended */
};

struct stage_worker {
	struct stage *stage;
	struct hs_server server;
	int link; /* callers reach the worker through this relay */
	int64_t room_cpu;
	char id[16];
	char kind[4];
	char rack[16];
	char zone[16];
	bool up;
	bool draining;
	bool silent_store; /* its writes to the store do not arrive */
	bool cut; /* no request is delivered */
	/* A partition between hosts of different terms: requests with a fence
	 * above or below these are not delivered. 0: all are. */
	int64_t fence_above, fence_below;
	int64_t born_ms;
	int64_t wall_skew_ms; /* of its time of day */
	int64_t clock_us; /* origin of its steady clock */
	int64_t fence;
	int64_t until_ms;
	int64_t lapses;
	bool lapsed;
	int64_t next_end;
	int64_t beat_us; /* last write that the store has accepted */
	int64_t drained_us; /* when it leaves, 0: it stays */
	struct list_head runs;
	GPtrArray *ends; /* struct stage_end, oldest first */
	GHashTable *highest; /* task -> highest run that ended or was stopped */
	struct list_head holds;
};

struct stage_host {
	char name[16];
	char zone[16];
	int front_port, ready_port, ctl_port;
	int store_port;
	int door; /* at the store */
	int link; /* other hosts reach it through this relay */
	int proc;
	bool runs;
	int64_t restart_us;
	char settings[300];
	struct hc_pool pool;
};

struct stage {
	struct kn kn;
	struct site_store *store;
	struct stage_host hosts[STAGE_HOSTS_MAX];
	int nhosts;
	struct stage_worker workers[STAGE_WORKERS_MAX];
	int nworkers;
	struct kn_timer timer;
	GPtrArray *past; /* struct stage_past */
	GHashTable *by_task; /* task -> GPtrArray of struct stage_past */
	bool trouble;
	bool store_down;
	int late_percent; /* of the writes: not answered, and done later */
	int64_t late_until_us;
	GRand *rand;
	int violations;
	int64_t begun_us;
	const char *dir;
	int64_t beat_ms, max_hold_ms, stop_ms;
};

/* stage.c */
void stage_init(struct stage *stage, int hosts, int workers, int64_t cpu);
void stage_start(struct stage *stage);
/* Ends all processes and prints the verdict; returns the exit status. */
int stage_end(struct stage *stage);
/* Ends the program with 2: the case could not run. */
void stage_abort(struct stage *stage, const char *why);
void stage_say(const struct stage *stage, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
void stage_broken(struct stage *stage, const char *rule, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
void stage_run_ms(struct stage *stage, int64_t ms);
double stage_now_s(const struct stage *stage);
/* Index of the host that leads by the store's key, -1: none. */
int stage_leader(struct stage *stage);
int stage_wait_leader(struct stage *stage, int64_t timeout_ms, int other_than);
void stage_host_spawn(struct stage *stage, struct stage_host *host);
/* Sends a request to a host and waits; returns the status, 0 for none. */
int stage_call(struct stage *stage, int host, const char *method,
	       const char *id, const char *body, char *reply, size_t size);
/* Hands a job in, with retries; ends the program when it is not accepted. */
void stage_submit(struct stage *stage, int host, const char *id,
		  const char *body);
/* The same for several jobs at a time, with ids that differ in the end. */
void stage_submit_many(struct stage *stage, int first, int count,
		       const char *body);
void stage_state(struct stage *stage, int host, const char *id, char *state,
		 size_t size);

/* worker.c */
void worker_init(struct stage *stage, int index, int64_t cpu);
void worker_open(struct stage_worker *worker);
void worker_step(struct stage_worker *worker);
void worker_write_entry(struct stage_worker *worker);
void worker_crash(struct stage_worker *worker);
void worker_restart(struct stage_worker *worker);
int64_t worker_clock_ms(const struct stage_worker *worker);
int worker_running(const struct stage_worker *worker, const char *job);
/* Starts after an end that was acknowledged, over all tasks. */
void worker_check_past(struct stage *stage);

/* link.c */
void link_start_all(void);
int link_new(int target_port);
int link_port(int link);
void link_set(int link, enum link_state state);

#endif
