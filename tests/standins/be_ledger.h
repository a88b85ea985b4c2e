#ifndef STANDINS_BE_LEDGER_H
#define STANDINS_BE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "wire/hs.h"

#define BE_LEDGER_MAX 200000 /* entries; later requests are only counted */
#define BE_KEY_MAX_BYTES 160

struct be_entry {
	char key[BE_KEY_MAX_BYTES]; /* Idempotency-Key, empty for none */
	char method[16];
	char target[128];
	uint64_t body_xxh64;
	int64_t start_us;
	int64_t end_us; /* 0 while it is not done */
	bool executed; /* work on it began */
	bool whole; /* the whole reply was handed to the connection */
};

/* What a backend server has seen, to check the invariants against. */
struct be_ledger {
	struct be_entry *entries;
	size_t count;
	uint64_t requests;
	uint64_t executed;
	unsigned int in_progress; /* received and not done, also abandoned */
	unsigned int in_progress_max;
	uint64_t connections; /* of earlier listeners */
	size_t connections_max;
};

void be_ledger_init(struct be_ledger *ledger);
void be_ledger_finish(struct be_ledger *ledger);
/* Returns the number of the entry, BE_LEDGER_MAX when it is not kept. */
size_t be_ledger_begin(struct be_ledger *ledger, const struct hs_request *req);
void be_ledger_executed(struct be_ledger *ledger, size_t index);
void be_ledger_end(struct be_ledger *ledger, size_t index, bool whole);
json_t *be_ledger_json(const struct be_ledger *ledger, bool entries);

#endif
