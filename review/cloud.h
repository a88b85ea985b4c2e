#ifndef REVIEW_CLOUD_H
#define REVIEW_CLOUD_H

#include "tests/standins/site_fleet.h"

/*
 * Stand-in for the platform's machines, written from its published protocol:
 * GET /machines, POST /machine-move and POST /machine-upkeep. Fencing tokens
 * are not checked ("fencing": false), only recorded.
 */

#define CLOUD_MOVE_MS 1500
#define CLOUD_UPKEEP_MS 2000
#define CLOUD_POOL "pool"
#define CLOUD_SPARE "spare"

struct cloud_machine {
	char name[40];
	char pool[16];
	struct site_worker *worker;
	bool moving;
	int64_t up_us; /* end of its move or upkeep, 0: it is up */
	int64_t wave; /* of its latest upkeep, 0: none */
	int64_t fence; /* highest in an order that arrived */
	char holder[32]; /* that sent it */
};

struct cloud {
	struct hs_server server;
	struct site_fleet *fleet;
	GPtrArray *machines; /* struct cloud_machine */
	struct kn_timer timer;
	bool down; /* nothing is done, and nothing is answered */
	int lists;
	int moves; /* accepted */
	int upkeeps;
	int lost; /* orders that came while it was down */
	int stale; /* with a lower token than an earlier one for the machine */
};

struct cloud *cloud_new(struct kn *kn, struct site_fleet *fleet);
void cloud_free(struct cloud *cloud);
/* The machine of a worker. In the spare pool it is off. */
struct cloud_machine *cloud_add(struct cloud *cloud, struct site_worker *worker,
				const char *pool);

#endif
