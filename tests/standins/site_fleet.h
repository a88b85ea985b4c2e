#ifndef STANDINS_SITE_FLEET_H
#define STANDINS_SITE_FLEET_H

#include "tests/standins/site_store.h"

/*
 * Stand-ins for the platform's workers, written from its published protocol,
 * which check the promises of the system from what they see. The payload of
 * a job tells them what its tasks do, as NAME=NUMBER separated by blanks:
 * ms (duration), gpus, gang (members), before (tasks of the step before),
 * fail (runs that fail), attempts, beyond (tasks on one worker), copies (a
 * second run may be beside the first), due (Unix time in ms of the first
 * occurrence), every (ms between occurrences).
 */

enum site_worker_fault {
	SITE_WORKER_WELL,
	SITE_WORKER_SILENT, /* calls do not reach it */
	SITE_WORKER_MUTE, /* carries orders out and does not answer */
	SITE_WORKER_GARBLED, /* its hold reports lack their lists */
	SITE_WORKER_ILL, /* 503 to starts */
	SITE_WORKER_BEHIND_PROXY, /* carries starts out, and a proxy answers 503 */
	SITE_WORKER_FAILING, /* all that it starts fails */
	SITE_WORKER_STALLED, /* its tasks stand still */
	SITE_WORKER_LATE, /* a share of the orders is carried out late */
};

struct site_bounds {
	int64_t max_hold_ms;
	int64_t gang_ms;
	int64_t stop_ms;
	int64_t beat_ms;
	int64_t late_ms; /* of an order that is carried out late */
	/*
	 * Share of the runs, in percent, that are in neither list for a time:
	 * after their start, while they are being stopped and after their end.
	 */
	int gap_percent;
};

struct site_fleet;

struct site_worker {
	struct list_head node;
	struct site_fleet *fleet;
	struct hs_server server;
	int told_port; /* in its entry: its own, or that of a relay */
	char id[32];
	char rack[16];
	char dc[16];
	int64_t gpus;
	int64_t born_ms;
	int64_t started_us; /* origin of its clock */
	int64_t uptime_ms; /* which shows so much more */
	bool up;
	bool draining;
	bool unlisted; /* writes no entry */
	enum site_worker_fault fault;
	int percent; /* of late orders */
	double pace; /* of its work, 1: as usual */
	bool allowed; /* the advice service grants it */
	int64_t fence;
	int64_t until_ms; /* lease, on its own clock */
	int64_t lapses; /* times that the lease has run out */
	bool lapsed; /* and it is out now */
	int64_t next_end;
	uint64_t starts;
	struct list_head runs; /* struct site_run */
	GPtrArray *ends; /* struct site_end */
	GHashTable *highest; /* task -> highest run stopped or ended */
	struct list_head holds; /* struct site_hold */
};

struct site_fleet {
	struct kn_task task;
	struct site_store *store;
	struct site_bounds bounds;
	struct list_head workers;
	GHashTable *tasks; /* name -> struct site_task, over all workers */
	GHashTable *cancelled; /* job id -> int64_t *: since when, steady */
	GHashTable *evacuated; /* data centre -> the same, acknowledged */
	GPtrArray *violations; /* char * */
	struct kn_timer timer;
	struct list_head late; /* struct site_late */
	GRand *rand;
	int64_t next_beat_us;
	uint64_t starts;
	uint64_t dones;
	uint64_t ticket_refusals;
	int64_t last_start_us;
	int64_t evac_ms; /* after it no task starts in an evacuated one */
	int64_t cancel_ms; /* after that no task of a cancelled job starts */
	int64_t early_ms; /* a task may start so long before its due time */
};

struct site_fleet *site_fleet_new(struct kn *kn, struct site_store *store,
				  const struct site_bounds *bounds,
				  uint32_t seed);
/* port 0: any. */
struct site_worker *site_fleet_add(struct site_fleet *fleet, const char *rack,
				   int64_t gpus, int port);
/*
 * Sets the speeds of all workers, in turn; list: numbers separated by commas,
 * 1 is the nominal speed. Returns false if it is malformed.
 */
bool site_fleet_set_paces(struct site_fleet *fleet, const char *list);
/* It is gone with all that it ran; its entry stays. */
void site_worker_halt(struct site_worker *worker);
/* The same, and its entry is gone too. */
void site_worker_crash(struct site_worker *worker);
/* A new life under the same id and address. If it is unlisted, no entry tells. */
void site_worker_restart(struct site_worker *worker);
/* The same at another time of day. */
void site_worker_restart_at(struct site_worker *worker, int64_t born_ms);
void site_worker_drain(struct site_worker *worker);
/* The harness says that a job was cancelled, and its caller was told so. */
void site_fleet_cancelled(struct site_fleet *fleet, const char *job);
/* The operator evacuates a data centre, or takes that back. */
void site_fleet_evacuate(struct site_fleet *fleet, const char *dc);
void site_fleet_return(struct site_fleet *fleet, const char *dc);
int64_t site_fleet_running(const struct site_fleet *fleet);
/* The first violation, NULL for none. */
const char *site_fleet_violation(const struct site_fleet *fleet);

#endif
