#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include "review/cloud.h"
#include "tests/standins/site_check.h"
#include "tests/standins/site_fleet.h"
#include "wire/hc.h"

/*
 * A small deployment on loopback: entry hosts as processes of their own with
 * the command of deploy/system.toml, and in this process the stand-ins of the
 * store, the minions and the machines. The bounds are those of rodabersama.
 */

#define SCENE_HOSTS_MAX 3
#define SCENE_KEY "key-one"
#define SCENE_GANG_MS 3000
#define SCENE_FINISH_MS 14000

enum scene_result { SCENE_HELD = 0, SCENE_BROKEN = 1, SCENE_NOT_RUN = 2 };

struct scene_host {
	char name[16];
	char settings[300];
	int callers_port;
	int peers_port;
	int store_path; /* its way to the store */
	int cloud_path;
	int peers_path; /* the way of others to it */
	int proc;
	struct hc_pool pool;
};

struct scene {
	struct kn kn;
	struct site_store *store;
	struct site_fleet *fleet;
	struct cloud *cloud;
	struct scene_host hosts[SCENE_HOSTS_MAX];
	int nhosts;
	bool trouble; /* not with TROUBLE=0 */
	const char *dir;
	char wave_state[8][16]; /* as the system has written it, by number */
};

struct scene_reply {
	int status; /* 0: no answer */
	char body[512];
};

/* Arguments: program, folder for settings and logs, file of the record. */
void scene_init(struct scene *scene, int argc, char **argv);
struct site_worker *scene_add_worker(struct scene *scene, const char *pool);
/* The same in a rack of its own, which is one of its labels. */
struct site_worker *scene_add_racked(struct scene *scene, const char *rack);
/* Starts the entry hosts and waits for a leader. */
void scene_start(struct scene *scene, int hosts);
/* Ends all processes. Returns the exit status. */
int scene_end(struct scene *scene, enum scene_result result);
/* The case could not be run. */
void scene_give_up(const char *why) G_GNUC_NORETURN;
/* A line with the time in the record. */
void scene_record(const char *format, ...) G_GNUC_PRINTF(1, 2);

void scene_run_ms(struct scene *scene, int64_t ms);
int scene_pid(const struct scene *scene, int host);
/* Index of the leading host by the store's key, -1: none. */
int scene_leader(struct scene *scene);
struct scene_reply scene_call(struct scene *scene, int host, const char *method,
			      const char *path, const char *body);
/* Hands in a job with one step; records the answer and returns its status. */
int scene_submit(struct scene *scene, int host, const char *id, int count,
		 int gpus, int64_t work_ms);
/* The same for minions with a label; NULL: for any. */
int scene_submit_for(struct scene *scene, int host, const char *id, int count,
		     int gpus, int64_t work_ms, const char *label);
/* The state of a job as a host tells it, "" if it does not. */
const char *scene_state(struct scene *scene, int host, const char *id);
bool scene_wait_state(struct scene *scene, int host, const char *id,
		      const char *state, int64_t timeout_ms);
/* The operator asks for the upkeep of machines; the list ends with NULL. */
void scene_put_wave(struct scene *scene, int number, int within_s, int cap,
		    struct cloud_machine *const *machines);
bool scene_wait_wave_done(struct scene *scene, int number, int64_t timeout_ms);

#endif
