#ifndef STANDINS_SITE_RIG_H
#define STANDINS_SITE_RIG_H

#include "control/site.h"
#include "tests/standins/site_advice.h"
#include "tests/standins/site_fleet.h"
#include "tests/standins/site_machines.h"
#include "wire/hc.h"

/*
 * A whole deployment in one process: stand-ins of the store, the workers,
 * their hosts and the advice service, and entry hosts of the product, all over
 * loopback.
 */

#define RIG_HOSTS_MAX 5
#define RIG_HOST "127.0.0.1"
#define RIG_PREFIX "/jobs/"
#define RIG_ADVISED_PREFIX "/advised/" /* starts need a ticket */
#define RIG_KEY "key-one"
#define RIG_EVAC_MS 2400

struct rig_host {
	struct site site;
	char path[64]; /* of its settings file */
	int door; /* at the store */
	struct hc_pool pool; /* of its callers */
};

struct rig {
	struct kn kn;
	struct site_store *store;
	struct site_fleet *fleet;
	struct site_machines *machines;
	struct site_advice *advice;
	struct rig_host hosts[RIG_HOSTS_MAX];
	int nhosts;
	int dcs; /* that can be evacuated, 0: none can */
};

struct rig_reply {
	int status; /* 0: no answer */
	char body[512];
	int retry_after_s;
	int64_t took_ms;
};

/* Starts everything; aborts on failure. Stand-in workers are in racks of 4. */
void rig_start(struct rig *rig, int hosts, int workers, uint32_t seed);
/*
 * The same with the workers in data centres d1, d2 and so on, one rack in each,
 * that can be evacuated within RIG_EVAC_MS. Hosts are in d1.
 */
void rig_start_dcs(struct rig *rig, int hosts, int dcs, uint32_t seed);
void rig_stop(struct rig *rig);
void rig_run_ms(struct rig *rig, int64_t ms);
/* Writes a configuration with one queue; version grows. */
void rig_configure(struct rig *rig, int version, const char *key);
/* One request to a host, waited for. body may be NULL. */
struct rig_reply rig_call(struct rig *rig, int host, const char *method,
			  const char *path, const char *key, const char *body);
/* The same from a caller that waits for so long. */
struct rig_reply rig_call_within(struct rig *rig, int host, const char *method,
				 const char *path, const char *key,
				 const char *body, const char *deadline_ms);
/*
 * Hands a job in with one step of count tasks; extra is put into the step,
 * such as ,"gang":true. Returns the status.
 */
int rig_submit(struct rig *rig, int host, const char *id, int count,
	       const char *payload, const char *extra);
/* State of a job as a host tells it, "" when it does not. */
const char *rig_state(struct rig *rig, int host, const char *id);
/* Waits until the job has that state; false when the time is over. */
bool rig_wait(struct rig *rig, int host, const char *id, const char *state,
	      int64_t timeout_ms);
/* Index of the leading host by the store's key, -1 for none. */
int rig_leader(struct rig *rig);
bool rig_wait_leader(struct rig *rig, int64_t timeout_ms);

#endif
