#ifndef FLEET_LENDING_H
#define FLEET_LENDING_H

#include "fleet/fleet.h"

/*
 * Temporary moves of hosts from spare pools, whose hosts are switched off, to
 * pools without free room. They help under overload that lasts longer than a
 * host needs to start: hosts are lent while tasks find no room, and returned
 * after they have been idle for some time.
 */

enum loan_state {
	LOAN_REQUESTED, /* the order is sent, or the host is on its way */
	LOAN_ACTIVE, /* the host's worker takes tasks of the pool */
	LOAN_RETURNING, /* the return order is sent */
	LOAN_REFUSED, /* the order was refused; not retried for a while */
};

struct loan {
	struct list_head node;
	enum loan_state state;
	char *host;
	char *home; /* the spare pool that it belongs to */
	char *pool; /* the pool that it is lent to */
	bool refused; /* the latest order was refused */
	int64_t since_us; /* of the latest order, or of its refusal */
	int64_t idle_us; /* idle since then, 0: the host is needed */
};

struct lending {
	struct list_head loans;
};

void lending_init(struct lending *lending);
void lending_finish(struct lending *lending);
/* Whether an up-to-date list of hosts is needed now. */
bool lending_needs_hosts(const struct lending *lending,
			 const struct fleet *fleet, int64_t now_us);
/*
 * Updates all loans and returns the one whose host is to be moved to *pool
 * now, NULL for none. machines is the latest list of struct machine
 * (fleet/upkeep.h), which was requested at listed_us.
 */
struct loan *lending_next_move(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t listed_us,
			       int64_t now_us, const char **pool);
/* Cordons the workers of hosts that are being returned: they get no tasks. */
void lending_cordon(const struct lending *lending, struct fleet *fleet,
		    const GPtrArray *machines);
/*
 * Handles the answer to a move order. If it was refused, nothing was done; else
 * the move may be carried out, and the list tells whether it was. An order that
 * has no effect there in time is repeated.
 */
void lending_move_answered(struct loan *loan, bool refused, int64_t now_us);

#endif
