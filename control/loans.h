#ifndef CONTROL_LOANS_H
#define CONTROL_LOANS_H

#include <msgpack.h>

#include "control/ledger.h"
#include "fleet/lending.h"

/*
 * The loans of hosts in the store, so that the next leader returns the hosts
 * that this one has lent. One record holds all of them, under KEY_LOANS. It is
 * written with the other records of the leader, and no host is ordered to a pool
 * before its loan is stored.
 */

struct loans {
	struct kv *kv;
	struct ledger *ledger;
	struct lending *lending;
	bool read; /* those of earlier leaders are restored */
	/* private */
	int64_t settled_us; /* see lending_restore() */
	uint64_t set_change; /* lending->change of the record in the ledger */
	struct kv_call call;
	bool call_pending;
	struct kn_timer timer;
	struct ctr lent;
};

void loans_init(struct loans *loans, struct kv *kv, struct ledger *ledger,
		struct lending *lending);
void loans_finish(struct loans *loans);
/*
 * Reads the loans of earlier leaders, and repeats that until it is answered.
 * Their orders show in lists of hosts that are requested from settled_us on.
 */
void loans_open(struct loans *loans, int64_t settled_us);
void loans_close(struct loans *loans);
/* Called first in each planning pass: loans that are stored by now may be
 * ordered. */
void loans_mark_stored(struct loans *loans);
/* Called last: hands the loans to the ledger if they have changed. */
void loans_write(struct loans *loans);

void loans_record_write(const struct lending *lending, msgpack_sbuffer *out);
/* Restores the loans of a record. Returns false, and restores none, if it is
 * malformed. */
bool loans_record_read(struct lending *lending, const void *data, size_t len,
		       int64_t settled_us, int64_t now_us);

#endif
