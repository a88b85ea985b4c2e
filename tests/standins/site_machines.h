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

struct site_machines {
	struct hs_server server;
	struct site_fleet *fleet;
	GPtrArray *machines; /* struct site_machine */
	struct kn_timer timer;
	int down;
	int most_down;
	uint64_t lists;
	bool mute; /* orders are carried out and not answered */
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
void site_machines_free(struct site_machines *machines);

#endif
