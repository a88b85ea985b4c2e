#ifndef POLICY_PLACING_H
#define POLICY_PLACING_H

#include "policy/docview.h"
#include "policy/guarantees.h"

#define PLACING_NO_EVICTION INT32_MAX

/*
 * Constraints of one placement. It may evict borrowed stoppable gangs and
 * stoppable gangs of the customer itself, provided that their level is above
 * evict_level and that they started or saved their last checkpoint no later
 * than saved_before_us.
 */
struct placing_request {
	enum cell_kind kind; /* CELL_STOPPABLE or CELL_UNSTOPPABLE */
	int evict_level; /* PLACING_NO_EVICTION: use free accelerators only */
	int64_t saved_before_us;
	int max_victim_size; /* larger gangs are not evicted; 0: no limit */
	int64_t now_us;
	bool use_reserved; /* reserved racks may be used */
	bool reclaim; /* a claim may evict borrowed gangs of any level */
	int customer;
	/* Customers that are not evicted, NULL: none. */
	const bool *protected_customers;
	const int *avoid; /* workers where the job has failed */
	int avoid_count;
};

int64_t placing_loss(const struct cell_gang *gang, int64_t now_us);
bool placing_avoided(const struct placing_request *req, int worker);
bool placing_may_evict(const struct cell_gang *gang,
		       const struct placing_request *req);
/*
 * Chooses workers for a gang of gang->total borrowed accelerators and fills
 * in its holds; guarantees_hold() then takes the accelerators. Returns false
 * and leaves the gang without holds when it fits nowhere.
 */
bool placing_place_borrowed(struct guarantees *gs, struct cell_gang *gang,
			    const struct placing_request *req);
/*
 * Chooses workers for a gang on cells of its customer's own guarantee. These
 * may be in use by gangs that the request may evict.
 */
bool placing_claim(struct guarantees *gs, struct cell_gang *gang,
		   const struct placing_request *req);
/*
 * Marks as leaving, and passes to fn, each gang that must be stopped before
 * the held gang can start. On each worker, the gangs that lose the least work
 * go first. Returns the number of gangs.
 */
int placing_evict(struct guarantees *gs, struct cell_gang *gang,
		  const struct placing_request *req,
		  void (*fn)(struct cell_gang *victim, void *user), void *user);
/* Reserves racks for a large gang that waits; returns how many. */
int placing_reserve_racks(struct guarantees *gs, int total, int64_t now_us);
void placing_release_racks(struct guarantees *gs);
/*
 * Whether a gang of that many accelerators would fit if all workers of the
 * cell were empty.
 */
bool placing_fits_when_empty(const struct cell *cell, int total);
int placing_worker_size(const struct doc_pool *pool);
bool placing_pool_fits_when_empty(const struct doc_pool *pool, int total);
/*
 * Finds a stoppable gang, alone on its worker, that would fit on a partly
 * used worker, so that moving it leaves a whole worker free. Returns the gang
 * that loses the least work, or NULL when there is none.
 */
struct cell_gang *placing_find_move(struct guarantees *gs,
				    const struct placing_request *req);

#endif
