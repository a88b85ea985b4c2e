#ifndef POLICY_IDEM_H
#define POLICY_IDEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/list.h"

/* Either a ticket, or k/<customer>/<key> for a key chosen by the caller. */
#define IDEM_KEY_BYTES (NAME_MAX_BYTES + KEY_MAX_BYTES + 4)
#define IDEM_CLAIM_BYTES (NAME_MAX_BYTES + 48) /* host/incarnation/number */

enum idem_outcome { IDEM_ANSWERED, IDEM_NOT_RUN, IDEM_UNKNOWN };

/* What to do with a request that has an idempotency key. */
enum idem_decision {
	IDEM_RUN, /* run it, then call idem_end() */
	IDEM_CLAIM, /* claim the key in the store first; entry is queued */
	IDEM_WAIT, /* an attempt is in progress: add a waiter */
	IDEM_REPLAY, /* answered before: send entry->answer */
	IDEM_UNAVAILABLE, /* may have run, but no answer is left: see *result */
	IDEM_FORWARD, /* send it to *owner, another incarnation */
	IDEM_REFUSE, /* bad key, or used for another request: see *result */
};

/* One incarnation (process run) of an entry host. */
struct idem_owner {
	char host[NAME_MAX_BYTES];
	uint64_t incarnation;
};

struct idem_digest {
	uint64_t low;
	uint64_t high;
};

/* The blob is an encoded answer; it is owned by the entry. */
struct idem_answer {
	enum idem_outcome outcome;
	int result;
	int status;
	void *blob;
	size_t len;
};

enum idem_state {
	IDEM_STATE_CLAIMING,
	IDEM_STATE_RUNNING,
	IDEM_STATE_NOT_RUN,
	IDEM_STATE_DONE
};

struct idem_entry {
	struct list_head node; /* queued claims, or finished entries by age */
	char key[IDEM_KEY_BYTES];
	struct idem_digest digest;
	enum idem_state state;
	bool adopted;
	uint64_t claim_number; /* unique within the incarnation */
	uint64_t ticket_seq; /* 0 for a key chosen by the caller */
	int64_t state_since_us; /* when it was queued or finished */
	int64_t claim_begun_us; /* no later than the claim in the store */
	struct list_head waiters; /* of struct idem_waiter */
	void *user; /* caller's data: the attempt that runs or claims */
	struct idem_answer answer;
};

/* A concurrent attempt; embedded in a struct of the caller. */
struct idem_waiter {
	struct list_head node;
};

struct idem {
	struct idem_owner self;
	GHashTable *entries;
	GHashTable *adopted; /* "host/incarnation" -> adopting host */
	struct list_head claims; /* not yet sent to the store */
	struct list_head finished; /* oldest first */
	size_t claim_count;
	size_t finished_count;
	size_t blob_bytes;
	uint64_t next_number;
	GPtrArray *chunks; /* used bits of tickets, in order of issue */
	uint64_t first_ticket; /* sequence number at the start of chunks[0] */
	uint64_t next_ticket;
	uint64_t evicted;
};

void idem_init(struct idem *idem, const char *host, uint64_t incarnation);
void idem_finish(struct idem *idem);

/* Tickets. */

bool idem_ticket_issue(struct idem *idem, char *text, size_t size,
		       int64_t now_us);
bool idem_is_ticket(const char *key);
bool idem_ticket_parse(const char *key, struct idem_owner *owner,
		       uint64_t *seq);

/* Requests. */

struct idem_digest idem_digest(const char *method, const char *target,
			       const void *body, size_t len);
enum idem_decision idem_begin(struct idem *idem, const char *key,
			      const struct idem_digest *digest, int64_t now_us,
			      struct idem_entry **entry,
			      struct idem_owner *owner, int *result);
void idem_add_waiter(struct idem_entry *entry, struct idem_waiter *waiter);
void idem_remove_waiter(struct idem_waiter *waiter);
void idem_end(struct idem *idem, struct idem_entry *entry,
	      enum idem_outcome outcome, int result, int status,
	      const void *blob, size_t len, int64_t now_us);
void idem_expire(struct idem *idem, int64_t now_us);

/* Claims in the store. */

bool idem_claims_due(const struct idem *idem, int64_t now_us);
size_t idem_claims_take(struct idem *idem, struct idem_entry **out, size_t max);
void idem_claim_value(const struct idem *idem, const struct idem_entry *entry,
		      char out[IDEM_CLAIM_BYTES]);
enum idem_decision idem_claim_resolve(struct idem *idem,
				      struct idem_entry *entry,
				      const char *value,
				      struct idem_owner *owner, int *result);
void idem_claim_queue(struct idem *idem, struct idem_entry *entry,
		      int64_t now_us);
void idem_remove(struct idem *idem, struct idem_entry *entry);

/* Adoption. */

const char *idem_adopter(const struct idem *idem,
			 const struct idem_owner *owner);
void idem_set_adopter(struct idem *idem, const struct idem_owner *owner,
		      const char *host);
bool idem_adopt(struct idem *idem, const char *key,
		const struct idem_digest *digest,
		const struct idem_answer *answer, int64_t now_us);

#endif
