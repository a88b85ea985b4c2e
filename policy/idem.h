#ifndef POLICY_IDEM_H
#define POLICY_IDEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/list.h"

/* A ticket, or k/<customer>/<key> for a key that the caller chose. */
#define IDEM_KEY_BYTES (NAME_MAX_BYTES + KEY_MAX_BYTES + 4)
#define IDEM_CLAIM_BYTES (NAME_MAX_BYTES + 48) /* host/incarnation/number */

enum idem_outcome { IDEM_ANSWERED, IDEM_NOT_RUN, IDEM_UNKNOWN };

/* What to do with a request that carries a key. */
enum idem_decision {
	IDEM_RUN, /* the claim is recorded: run it */
	IDEM_CLAIM, /* claim it in the store first; the entry is queued */
	IDEM_WAIT, /* an attempt is in progress: add a waiter */
	IDEM_REPLAY, /* answered before: entry->answer */
	IDEM_UNAVAILABLE, /* never run it: *result says why */
	IDEM_FORWARD, /* owner is another incarnation: see *owner */
	IDEM_REFUSE, /* *result says why */
};

/* An incarnation of an entry host. */
struct idem_owner {
	char host[NAME_MAX_BYTES];
	uint64_t incarnation;
};

struct idem_digest {
	uint64_t low;
	uint64_t high;
};

/* The blob is opaque here; it belongs to the entry. */
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
	uint64_t claim_number; /* of the claim, within the incarnation */
	uint64_t ticket_seq; /* sequence; 0: a key that the caller chose */
	int64_t state_since_us; /* queued, or finished */
	int64_t claim_begun_us; /* before the claim was made */
	struct list_head waiters; /* of struct idem_waiter */
	void *user; /* the attempt that runs or claims, for the caller */
	struct idem_answer answer;
};

/* A later attempt that waits for the outcome; embedded by the caller. */
struct idem_waiter {
	struct list_head node;
};

struct idem {
	struct idem_owner self;
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
