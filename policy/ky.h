#ifndef POLICY_KY_H
#define POLICY_KY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/list.h"

/* A ticket, or k/<customer>/<key> for a key that the caller chose. */
#define KY_KEY_BYTES (NAME_MAX_BYTES + KEY_MAX_BYTES + 4)
#define KY_CLAIM_BYTES (NAME_MAX_BYTES + 48) /* host/incarnation/number */

enum ky_outcome { KY_ANSWERED, KY_NOT_RUN, KY_UNKNOWN };

/* What to do with a request that carries a key. */
enum ky_verdict {
	KY_RUN, /* the claim is recorded: run it */
	KY_CLAIM, /* claim it in the store first; the entry is queued */
	KY_WAIT, /* an attempt is in progress: add a waiter */
	KY_REPLAY, /* answered before: entry->answer */
	KY_LOST, /* never run it: *result says why */
	KY_FORWARD, /* owner is another incarnation: see *owner */
	KY_REFUSE, /* *result says why */
};

/* An incarnation of an entry host. */
struct ky_owner {
	char host[NAME_MAX_BYTES];
	uint64_t incarnation;
};

struct ky_digest {
	uint64_t low;
	uint64_t high;
};

/* The blob is opaque here; it belongs to the entry. */
struct ky_answer {
	enum ky_outcome outcome;
	int result;
	int status;
	void *blob;
	size_t len;
};

enum ky_state { KY_ST_CLAIMING, KY_ST_RUNNING, KY_ST_NOT_RUN, KY_ST_DONE };

struct ky_entry {
	struct list_head node; /* queued claims, or finished entries by age */
	char key[KY_KEY_BYTES];
	struct ky_digest digest;
	enum ky_state state;
	bool adopted;
	uint64_t number; /* of the claim, within the incarnation */
	uint64_t ticket; /* sequence; 0: a key that the caller chose */
	int64_t since_us; /* queued, or finished */
	int64_t begun_us; /* before the claim was made */
	struct list_head waiters; /* of struct ky_waiter */
	void *user; /* the attempt that runs or claims, for the caller */
	struct ky_answer answer;
};

/* A later attempt that waits for the outcome; embedded by the caller. */
struct ky_waiter {
	struct list_head node;
};

struct ky {
	struct ky_owner self;
	GHashTable *entries;
	GHashTable *adopted; /* "host/incarnation" -> adopting host */
	struct list_head claims; /* waiting for the store */
	struct list_head finished; /* oldest first */
	size_t claim_count;
	size_t finished_count;
	size_t blob_bytes;
	uint64_t next_number;
	GPtrArray *chunks; /* tickets, in order of minting */
	uint64_t first_ticket; /* of chunks[0] */
	uint64_t next_ticket;
	uint64_t evicted;
};

void ky_init(struct ky *ky, const char *host, uint64_t incarnation);
void ky_finish(struct ky *ky);

/* Tickets. */

bool ky_mint(struct ky *ky, char *text, size_t size, int64_t now_us);
bool ky_is_ticket(const char *key);
bool ky_ticket_parse(const char *key, struct ky_owner *owner, uint64_t *seq);

/* Requests. */

struct ky_digest ky_digest(const char *method, const char *target,
			   const void *body, size_t len);
enum ky_verdict ky_begin(struct ky *ky, const char *key,
			 const struct ky_digest *digest, int64_t now_us,
			 struct ky_entry **entry, struct ky_owner *owner,
			 int *result);
void ky_wait(struct ky_entry *entry, struct ky_waiter *waiter);
void ky_unwait(struct ky_waiter *waiter);
void ky_end(struct ky *ky, struct ky_entry *entry, enum ky_outcome outcome,
	    int result, int status, const void *blob, size_t len,
	    int64_t now_us);
void ky_expire(struct ky *ky, int64_t now_us);

/* Claims in the store. */

bool ky_claims_due(const struct ky *ky, int64_t now_us);
size_t ky_claims_take(struct ky *ky, struct ky_entry **out, size_t max);
void ky_claim_value(const struct ky *ky, const struct ky_entry *entry,
		    char out[KY_CLAIM_BYTES]);
enum ky_verdict ky_claim_settle(struct ky *ky, struct ky_entry *entry,
				const char *value, struct ky_owner *owner,
				int *result);
void ky_claim_again(struct ky *ky, struct ky_entry *entry, int64_t now_us);
void ky_drop(struct ky *ky, struct ky_entry *entry);

/* Adoption. */

const char *ky_adopter(const struct ky *ky, const struct ky_owner *owner);
void ky_set_adopter(struct ky *ky, const struct ky_owner *owner,
		    const char *host);
bool ky_adopt(struct ky *ky, const char *key, const struct ky_digest *digest,
	      const struct ky_answer *answer, int64_t now_us);

#endif
