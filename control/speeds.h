#ifndef CONTROL_SPEEDS_H
#define CONTROL_SPEEDS_H

#include <msgpack.h>

#include "control/ledger.h"

/*
 * The estimates of the workers' speeds in the store, so that they survive a
 * change of leader. The leader writes one record with all of them, in a
 * transaction that it makes anyway and that has room for it. The next leader
 * reads it at its election, and waits for it with nothing.
 */

struct speeds {
	struct kv *kv;
	struct ledger *ledger;
	struct fleet *fleet; /* NULL: not open */
	int64_t check_us; /* when to look next whether a record is due */
	int64_t next_us; /* no record is made before */
	/* private */
	struct kv_call call;
	bool call_pending;
	struct kn_timer timer;
	struct ctr known;
	struct ctr spread;
	struct ctr uneven;
};

void speeds_init(struct speeds *speeds, struct kv *kv, struct ledger *ledger);
void speeds_finish(struct speeds *speeds);
/* Reads the record of earlier leaders for the fleet, and repeats that until it
 * is answered. */
void speeds_open(struct speeds *speeds, struct fleet *fleet);
void speeds_close(struct speeds *speeds);
/* Makes a new record if one is due; called once per planning pass. */
void speeds_run(struct speeds *speeds, int64_t now_us);

/* estimates: struct speed_estimate. */
void speeds_record_write(const GArray *estimates, bool uneven,
			 msgpack_sbuffer *out);
/* Returns NULL if the record is malformed. */
GArray *speeds_record_read(const void *data, size_t len, bool *uneven);

#endif
