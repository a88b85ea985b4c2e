#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "control/site.h"
#include "tests/standins/site_fleet.h"
#include "tests/standins/site_machines.h"
#include "wire/hc.h"

/*
 * Randomized soak: real chivebankd processes against stand-ins of the store
 * and the workers, with faults from outside, checked from what callers and
 * workers see. One seed gives one course of faults and load.
 */

#define SOAK_HOSTS_MAX 250
/* By the platform's rules, on days on which clocks jump. */
#define SOAK_EARLY_MS (250 + 5000)
#define SOAK_KEY "key-one"
#define SOAK_SPARE_POOL "{\"name\":\"" SITE_SPARE_POOL "\",\"spare\":true}"
#define SOAK_RACK_WORKERS 4 /* workers of one rack */
#define SOAK_WORKER_GPUS 4
#define SOAK_GRACE_MS 2000
#define SOAK_CONFIG_MS 2500
/* A host may use a copy of the operators' keys for half of it, and a start that
 * is held up may be carried out until its lease of 3 s is over. */
#define SOAK_EVAC_MS 6000
/* The idle time of a lent host, the time for which an order that got no answer
 * may still be carried out, and the lists and orders. */
#define SOAK_HOME_MS (15000 + 30000 + 15000)
/* Data centres of the workers with evacuations, to which their racks belong in
 * turn. */
#define SOAK_EVACUATED_DCS 3

struct soak_options {
	uint32_t seed;
	int seconds;
	int hosts;
	int workers;
	int dcs; /* data centres, to which the hosts belong in turn */
	/* Shape of faults: series of takeovers, and wider and longer jobs. */
	bool takeovers;
	bool lives; /* restarts in place, wrong entries, short pauses */
	bool stops; /* only planned stops and changes, callers in use */
	int starve; /* busy processes beside the hosts on one core, 0: none */
	bool evacuations;
	int spares; /* of the workers, on hosts of a spare pool */
	const char *paces; /* speeds of the workers in turn, by commas */
	int gap_percent; /* of runs that workers leave out of lists for a time */
	const char *binary;
	const char *clock; /* library that shifts the time of day */
	const char *dir; /* settings and logs */
};

/* What happened to a host, for the judgement of its calls. */
struct soak_mark {
	int64_t at_us;
	const char *what;
};

struct soak_host {
	char name[24];
	char settings[256];
	char clock[256]; /* file with the offset of its time of day */
	int callers_port;
	int peers_port;
	int door; /* at the store */
	int relay; /* on its way to the store */
	int peers_relay; /* on the way of other hosts to it */
	int proc; /* -1: not running */
	int64_t started_us; /* when the process was started */
	/* A process that is started while the one before is being stopped. */
	bool overlaps;
	int successor; /* -1: none */
	int64_t successor_us; /* when it is to be started again */
	int64_t overlap_end_us; /* when it took the place of the one before */
	int64_t start_us; /* when it is to be started again, 0: it runs */
	int64_t kill_us; /* when a graceful stop is cut short, 0: none */
	int64_t term_us; /* its first SIGTERM, 0: none */
	int64_t disrupted_us; /* it was without an unplanned fault since */
	int64_t thawed_us; /* when it was thawed last */
	GArray *marks; /* struct soak_mark */
	int status_s; /* in its settings */
	int uptime_days; /* of its steady clocks */
	bool frozen;
	int64_t thaw_us;
	int64_t way_heal_us; /* of its way to the store, 0: it is well */
	int64_t peers_heal_us; /* of the way of others to it, 0: it is well */
	int64_t clock_heal_us; /* of its time of day, 0: it is right */
	struct hc_pool pool; /* of its callers */
};

struct soak {
	struct soak_options options;
	struct kn kn;
	struct site_store *store;
	struct site_fleet *fleet;
	struct soak_host hosts[SOAK_HOSTS_MAX];
	int *worker_relays;
	int *spare_relays; /* of each worker, for another port of it */
	int64_t *worker_heal_us; /* of each worker, 0: it is well */
	int64_t store_heal_us;
	int64_t store_disrupted_us; /* it was without a fault since */
	int64_t config_us; /* of its latest change */
	/* Calls that were sent whole and ended without a whole answer. */
	uint64_t calls; /* of callers of kept connections, answered */
	int cut_lost; /* counted by the rule */
	int cut_slack; /* so soon after they were sent that none had read them */
	int cut_disrupted; /* with an unplanned fault near */
	int cut_unplanned; /* with nothing near */
	GRand *rand;
	int config_version;
	struct list_head jobs; /* struct soak_job */
	int accepted;
	int rejected;
	int unknown;
	int faults;
	int evacuations;
	struct site_machines *machines; /* NULL without spare hosts */
	int64_t machines_heal_us; /* 0: their service is well */
	bool late_orders; /* it has carried orders out late */
	int wave; /* the latest one */
	bool wave_open;
	int wave_cap;
	int waves; /* that are done */
	GPtrArray *wave_hosts; /* struct site_machine */
	bool healing; /* no more faults and jobs */
	int64_t faults_end_us; /* when the faults end */
	int64_t healed_us; /* when they have ended */
	/* The host that is being paused in series, and how many pauses follow. */
	struct soak_host *paused;
	int pauses_left;
	bool rack_jobs; /* a job for each rack was handed in */
	/* Of a series of ends of leaders: how many follow, when the next is due,
	 * and the latest leader that was ended. */
	int series_left;
	int64_t series_at_us;
	int64_t series_fence;
};

int soak_below(struct soak *soak, int n);
bool soak_chance(struct soak *soak, int percent);
void soak_violated(struct soak *soak, const char *rule, const char *id,
		   const char *detail);

/* Soak_jobs.c. */

/* Hands in, asks for and cancels jobs, for one step of the clock. */
void soak_jobs_step(struct soak *soak);
/* Whether every job has come to its end. */
bool soak_jobs_settled(struct soak *soak);
/* Checks that no job stands still, once the faults are over. */
void soak_jobs_check_still(struct soak *soak);
/* Checks that hold at the end. */
void soak_jobs_check(struct soak *soak);
void soak_jobs_finish(struct soak *soak);

/* Soak_faults.c. */

bool soak_host_start(struct soak *soak, struct soak_host *host);
bool soak_host_runs(const struct soak_host *host);
void soak_host_kill(struct soak *soak, struct soak_host *host);
/* Asks it to stop, and kills it when its time for that is over. */
void soak_host_stop(struct soak *soak, struct soak_host *host);
/* The same, and its next process is started before it has gone. */
void soak_host_replace(struct soak *soak, struct soak_host *host);
void soak_host_freeze(struct soak *soak, struct soak_host *host);
void soak_worker_crash(struct soak *soak, struct site_worker *worker,
		       int index);
void soak_worker_restart(struct soak *soak, struct site_worker *worker,
			 int index);
/* Writes a line of the course of faults. */
void soak_say(const char *what, const char *where);
/* One fault, or the end of some. */
void soak_faults_step(struct soak *soak);
/* Ends all faults; processes that are down are started. */
void soak_faults_heal(struct soak *soak);
/* Starts and kills what is due. */
void soak_hosts_step(struct soak *soak);

/* Writes its settings file. */
void soak_host_settings(struct soak *soak, struct soak_host *host);
void soak_host_signal(struct soak *soak, struct soak_host *host, int number);
void soak_change_config(struct soak *soak);
/* Notes what happens to it. */
void soak_host_mark(struct soak_host *host, const char *what);

/* Soak_judge.c. */

/* A call that was sent whole and whose connection ended before its answer. */
void soak_judge_cut(struct soak *soak, const struct soak_host *host,
		    int64_t sent_us, int64_t ended_us, const char *what);

/* Soak_callers.c. */

/* Callers of kept connections, in a thread of their own. */
void soak_callers_start(struct soak *soak);
/* Judges what they have seen. */
void soak_callers_step(struct soak *soak);
/* They send no more calls. */
void soak_callers_stop(struct soak *soak);

/* Soak_stops.c. */

void soak_stops_start(struct soak *soak);
void soak_stops_step(struct soak *soak);
void soak_stops_end(struct soak *soak);
/* Binds a new process to the core of the hosts. */
void soak_starve_host(struct soak *soak, int proc);
void soak_starve_start(struct soak *soak);
void soak_starve_end(struct soak *soak);

/* Soak_takeovers.c. */

/* Takes the series of faults a step further. */
void soak_takeovers_step(struct soak *soak);
/* The host that leads by the store's key, or NULL. */
struct soak_host *soak_leading_host(struct soak *soak);

/* Soak_evacuations.c. */

void soak_evacuations_step(struct soak *soak);
/* Takes all of them back. */
void soak_evacuations_end(struct soak *soak);

/* Soak_machines.c. */

void soak_machines_start(struct soak *soak);
void soak_machines_step(struct soak *soak);
void soak_machines_heal(struct soak *soak);
/* The same once the faults are over. */
void soak_machines_settle_step(struct soak *soak);
/* Whether all lent hosts are at home, and no wave is open. */
bool soak_machines_settled(const struct soak *soak);
void soak_machines_check(struct soak *soak);
/* Whether the host of a worker is off. */
bool soak_machines_off(const struct soak *soak,
		       const struct site_worker *worker);

/* Soak_lives.c. */

void soak_lives_step(struct soak *soak);

#endif
