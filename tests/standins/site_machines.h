#ifndef STANDINS_SITE_MACHINES_H
#define STANDINS_SITE_MACHINES_H

#include "tests/standins/site_fleet.h"

/*
 * Stand-in for the platform's list of the hosts of workers, written from its
 * published protocol. Each worker lives on a host of its own, "m-" and its id.
 * It carries out upkeep, and checks the orders for it.
 */

struct site_machine {
	char name[40];
	struct site_worker *worker;
	bool spare; /* in the spare pool, off */
	bool moving; /* to the other pool */
	int moves;
	int64_t up_us; /* when its upkeep or move is over, 0: it is up */
	int64_t wave; /* of its latest upkeep, 0: none */
	int64_t fence; /* highest that it has seen */
	int begun; /* upkeeps */
};

/* What becomes of the orders and lists that arrive. */
enum site_machines_fault {
	SITE_MACHINES_WELL,
	SITE_MACHINES_SILENT, /* nothing is done or answered */
	SITE_MACHINES_MUTE, /* orders are carried out and not answered */
	SITE_MACHINES_BUSY, /* 503 */
	SITE_MACHINES_LATE, /* orders are carried out later, unanswered */
};

struct site_machines {
	struct hs_server server;
	struct site_fleet *fleet;
	GPtrArray *machines; /* struct site_machine */
	GPtrArray *late; /* struct late_order */
	struct kn_timer timer;
	int down;
	int most_down;
	uint64_t lists;
	int moved; /* all moves */
	enum site_machines_fault fault;
	int64_t late_ms;
	/* A move may end work, as a new leader does not know of the order. */
	bool may_end_work;
	/* Starts or ends the worker of a host; NULL: site_worker_restart() and
	 * site_worker_crash(). */
	void (*power)(struct site_machine *machine, bool on, void *user);
	void *user;
};

/* Longer than the interval of the polls of the list, as on the platform. */
#define SITE_UPKEEP_MS 1000
#define SITE_MOVE_MS 200
#define SITE_SPARE_POOL "spare"
#define SITE_MACHINES_PAGE 2

/* Listens on a free port; knows the workers that the fleet has now. */
struct site_machines *site_machines_new(struct kn *kn,
					struct site_fleet *fleet);
/* The host of a worker that has joined the fleet since. */
void site_machines_add(struct site_machines *machines,
		       struct site_worker *worker);
/* Takes a worker out of the pool; its host is off from now on. */
void site_machines_spare(struct site_machines *machines,
			 struct site_worker *worker);
struct site_machine *site_machines_of(const struct site_machines *machines,
				      const struct site_worker *worker);
void site_machines_free(struct site_machines *machines);

#endif
