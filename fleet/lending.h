#ifndef FLEET_LENDING_H
#define FLEET_LENDING_H

#include "fleet/fleet.h"

/*
 * Temporary moves of hosts from spare pools, whose hosts are switched off, to
 * pools without free room. They help under overload that lasts longer than a
 * host needs to start: hosts are lent while tasks find no room, and returned
 * after they have been idle for some time. The platform's list tells where a
 * host is and not where it belongs, so a loan is stored before its host is
 * ordered, and until the host is at home for good.
 */

enum loan_state {
	LOAN_REQUESTED, /* to be ordered, ordered, or the host is on its way */
	LOAN_ACTIVE, /* the host's worker takes tasks of the pool */
	LOAN_RETURNING, /* the return order is sent */
	LOAN_REFUSED, /* the order was refused; not retried for a while */
	/* The host is at home, and an order that got no answer may still move
	 * it to the pool. It may be lent again. */
	LOAN_OVER,
};

struct loan {
	struct list_head node;
	enum loan_state state;
	char *host;
	char *home; /* the spare pool that it belongs to */
	char *pool; /* the pool that it is lent to */
	uint64_t change; /* with which it was added to the stored loans */
	bool recorded; /* a later leader will know of it: it may be ordered */
	bool ordered; /* not only recorded */
	/* The latest order shows in lists requested from then on. */
	int64_t settled_us;
	int64_t since_us; /* of the latest order, or of its refusal */
	int64_t idle_us; /* idle since then, 0: the host is needed */
	/* Of the last order to the pool that got no answer, 0: none. */
	int64_t unanswered_us;
	int64_t missing_us; /* in no list since then, 0: it is listed */
};

struct lending {
	struct list_head loans;
	int count;
	/* Number of changes of the loans' hosts, homes and pools, which a later
	 * leader has to know. */
	uint64_t change;
};

void lending_init(struct lending *lending);
void lending_finish(struct lending *lending);
/* Whether an up-to-date list of hosts is needed now. */
bool lending_needs_hosts(const struct lending *lending,
			 const struct fleet *fleet, int64_t now_us);
/* The loans up to this change are stored, so that later leaders know them. */
void lending_stored(struct lending *lending, uint64_t change);
/*
 * A loan that an earlier leader has stored. Lists requested from settled_us on
 * show what became of that leader's orders. Nothing may be lent before all of
 * them are restored.
 */
void lending_restore(struct lending *lending, const char *host,
		     const char *home, const char *pool, int64_t settled_us,
		     int64_t now_us);
/*
 * Updates all loans and returns the one whose host is to be moved to *pool
 * now, NULL for none. machines is the latest list of struct machine
 * (fleet/upkeep.h), which was requested at listed_us. A loan is new first: its
 * order comes once it is stored.
 */
struct loan *lending_next_move(struct lending *lending, struct fleet *fleet,
			       const GPtrArray *machines, int64_t listed_us,
			       int64_t now_us, const char **pool);
/* Cordons the workers of hosts that are being returned: they get no tasks. */
void lending_cordon(const struct lending *lending, struct fleet *fleet,
		    const GPtrArray *machines);
/*
 * Handles the answer to a move order: CB_OK, CB_E_CONFLICT if it was refused and
 * nothing was done, or any other result if there was no answer. The list tells
 * whether such an order was carried out; one that has no effect there in time is
 * repeated.
 */
void lending_move_answered(struct loan *loan, int result, int64_t now_us);

#endif
