#ifndef POLICY_PLACING_H
#define POLICY_PLACING_H

#include "policy/docview.h"
#include "policy/shares.h"

#define PLACING_NO_EVICTION INT32_MAX

/*
 * What a placement may displace: borrowed stoppable gangs, or stoppable
 * gangs of the customer itself, whose level is above evict_level and that
 * have run since saved_before_us at least.
 */
struct placing_request {
	enum cell_kind kind; /* CELL_SOFT or CELL_HARD */
	int evict_level; /* PLACING_NO_EVICTION: free accelerators only */
	int64_t saved_before_us;
	int max_victim_size; /* larger gangs don't yield; 0 for no limit */
	int64_t now_us;
	bool use_reserved; /* may enter reserved racks */
	bool reclaim; /* claims: borrowed work yields, whatever its level */
	int customer;
	const bool *sheltered; /* customers that are not displaced, or NULL */
	const int *avoid; /* workers where the job failed */
	int avoid_count;
};

int64_t placing_loss(const struct cell_gang *gang, int64_t now_us);
bool placing_avoided(const struct placing_request *ask, int worker);
bool placing_may_evict(const struct cell_gang *gang,
		       const struct placing_request *ask);
/*
 * Places a borrowed gang of gang->total accelerators by filling in its
 * holds. Returns false and leaves the gang without holds when it fits
 * nowhere. Nothing is held yet.
 */
bool placing_place_borrowed(struct shares *gs, struct cell_gang *gang,
			    const struct placing_request *ask);
/*
 * Places a gang on cells of its customer's own guarantee, in use or not by
 * work that the ask may displace.
 */
bool placing_claim(struct shares *gs, struct cell_gang *gang,
		   const struct placing_request *ask);
/*
 * Calls fn for each gang that must leave before the held gang can start,
 * least lost work first, after marking it as leaving.
 */
int placing_evict(struct shares *gs, struct cell_gang *gang,
		  const struct placing_request *ask,
		  void (*fn)(struct cell_gang *victim, void *user), void *user);
/* Marks the racks that a large gang should wait for; returns their count. */
int placing_reserve_racks(struct shares *gs, int total, int64_t now_us);
void placing_release_racks(struct shares *gs);
/* Whether empty cells could hold a gang of that many accelerators. */
bool placing_fits_when_empty(const struct cell *cell, int total);
int placing_worker_size(const struct doc_pool *pool);
bool placing_pool_fits_when_empty(const struct doc_pool *pool, int total);
/*
 * Finds a small stoppable gang that could go on beside other work, so that
 * its own worker would become whole; NULL when there is none.
 */
struct cell_gang *placing_find_move(struct shares *gs,
				    const struct placing_request *ask);

#endif
