#ifndef FLEET_LENDING_H
#define FLEET_LENDING_H

#include "fleet/fleet.h"

/*
 * Hosts of spare pools, which are off, for pools that are full. It answers a
 * crest that lasts longer than a host needs to come: hosts are lent while work
 * finds no room, and given back once they have been idle.
 */

enum loan_state {
	LOAN_REQUESTED, /* the order is under way, or the host is */
	LOAN_ACTIVE, /* its worker takes tasks of the pool */
	LOAN_RETURNING, /* the order to go back is under way */
	LOAN_REFUSED, /* it did not come, and is not asked for a while */
};

struct loan {
	struct list_head node;
	enum loan_state state;
	char *host;
	char *home; /* the spare pool */
	char *pool; /* where it works */
	int64_t since_us; /* of the state */
	int64_t idle_us; /* since when it has no task, 0: it has some */
	bool cordoned; /* its worker gets no tasks, as it was to go back */
};

struct lending {
	struct list_head loans;
};

void lending_init(struct lending *lending);
void lending_finish(struct lending *lending);
/* Whether the list of hosts is needed now. */
bool lending_needs_hosts(const struct lending *lending,
			 const struct fleet *fleet, int64_t now_us);
/*
 * The host to be ordered to *pool now, NULL for none. machines: struct machine
 * (fleet/upkeep.h), the latest list.
 */
struct loan *lending_next_move(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t now_us,
			       const char **pool);
/* refused: nothing was done. Otherwise it was, or may be, carried out. */
void lending_move_answered(struct loan *loan, bool refused, int64_t now_us);

#endif
