#ifndef STANDINS_SITE_STORE_INT_H
#define STANDINS_SITE_STORE_INT_H

#include <jansson.h>

#include "tests/standins/site_store.h"

/*
 * Shared by the files of the stand-in for the store: site_store.c (items,
 * leases, time), site_doors.c (calls and their faults).
 */

struct site_lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t ends_us;
};

/* A poll that waits for an event. */
struct site_wait {
	struct list_head node;
	struct hs_request *req;
	char *prefix;
	int64_t after;
	int64_t until_us;
};

/* An answer or a write that is due later, or never (answer NULL). */
struct site_later {
	struct list_head node;
	struct hs_request *req; /* NULL: only a write */
	struct site_store *store;
	int64_t at_us;
	int status;
	json_t *answer;
	json_t *write; /* body of a transaction to be carried out */
	bool never;
};

/* Site_store.c. */

json_t *site_item_json(const struct site_item *item);
/* Carries a transaction out; returns the status, *body is the answer. */
int site_store_carry_out(struct site_store *store, const json_t *txn,
			 json_t **body);
void site_lease_end(struct site_store *store, int64_t id);

/* Site_doors.c. */

extern const struct hs_ops site_door_ops;
/* Answers as the fault of the door allows. Takes body over. */
void site_door_answer(struct hs_request *req, int status, json_t *body);
/* Answers the polls that have an event now, or whose time is over. */
void site_waits_wake(struct site_store *store);
void site_wait_free(struct site_wait *wait);
void site_later_run(struct site_later *later);
void site_later_free(struct site_later *later);

#endif
