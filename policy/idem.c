#include "policy/idem.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "policy/idem_ticket.h"

/* Initialization. */

static void entry_free(gpointer data)
{
	struct idem_entry *entry = data;

	g_free(entry->answer.blob);
	g_free(entry);
}

/* Initializes the keys of this host for one incarnation. */
void idem_init(struct idem *idem, const char *host, uint64_t incarnation)
{
	memset(idem, 0, sizeof(*idem));
	snprintf(idem->self.host, sizeof(idem->self.host), "%s", host);
	idem->self.incarnation = incarnation;
	idem->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      entry_free);
	idem->adopted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_init(&idem->claims);
	list_init(&idem->finished);
	idem->next_number = 1;
	idem_ticket_init(idem);
}

void idem_finish(struct idem *idem)
{
	g_hash_table_destroy(idem->entries);
	g_hash_table_destroy(idem->adopted);
	idem_ticket_finish(idem);
}

/*
 * Returns a digest of the request, to detect a key that is reused for a
 * different one. Method and target are hashed with their final NUL, so
 * that the boundaries of the parts count.
 */
struct idem_digest idem_digest(const char *method, const char *target,
			       const void *body, size_t len)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_hash_t hash;
	struct idem_digest digest;

	XXH3_128bits_reset(state);
	XXH3_128bits_update(state, method, strlen(method) + 1);
	XXH3_128bits_update(state, target, strlen(target) + 1);
	if (len > 0)
		XXH3_128bits_update(state, body, len);
	hash = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	digest.low = hash.low64;
	digest.high = hash.high64;
	return digest;
}

/* Entries. */

static bool same_owner(const struct idem_owner *a, const struct idem_owner *b)
{
	return a->incarnation == b->incarnation && !strcmp(a->host, b->host);
}

static struct idem_entry *entry_new(struct idem *idem, const char *key,
				    const struct idem_digest *digest)
{
	struct idem_entry *entry = g_new0(struct idem_entry, 1);

	snprintf(entry->key, sizeof(entry->key), "%s", key);
	entry->digest = *digest;
	list_init(&entry->node);
	list_init(&entry->waiters);
	g_hash_table_insert(idem->entries, entry->key, entry);
	return entry;
}

static void entry_unlink_finished(struct idem *idem, struct idem_entry *entry)
{
	list_del(&entry->node);
	idem->finished_count--;
	idem->blob_bytes -= entry->answer.len;
}

/* Removes an entry, also if its claim is queued; no attempt may be using it. */
void idem_remove(struct idem *idem, struct idem_entry *entry)
{
	if (entry->state == IDEM_STATE_DONE ||
	    entry->state == IDEM_STATE_NOT_RUN)
		entry_unlink_finished(idem, entry);
	else if (entry->state == IDEM_STATE_CLAIMING &&
		 !list_empty(&entry->node))
		idem->claim_count--;
	list_del(&entry->node);
	g_hash_table_remove(idem->entries, entry->key);
}

/* Decides on a key that has an entry in this process. */
static enum idem_decision decide_known(struct idem *idem,
				       struct idem_entry *entry,
				       const struct idem_digest *digest,
				       int *result)
{
	if (entry->digest.low != digest->low ||
	    entry->digest.high != digest->high) {
		*result = CB_E_KEY_REUSED;
		return IDEM_REFUSE;
	}
	switch (entry->state) {
	case IDEM_STATE_CLAIMING:
	case IDEM_STATE_RUNNING:
		return IDEM_WAIT;
	case IDEM_STATE_NOT_RUN:
		entry_unlink_finished(idem, entry);
		g_free(entry->answer.blob);
		memset(&entry->answer, 0, sizeof(entry->answer));
		entry->state = IDEM_STATE_RUNNING;
		return IDEM_RUN;
	case IDEM_STATE_DONE:
		break;
	}
	if (entry->answer.outcome == IDEM_ANSWERED)
		return IDEM_REPLAY;
	*result = entry->answer.result;
	return IDEM_UNAVAILABLE;
}

static enum idem_decision begin_with_ticket(struct idem *idem, const char *key,
					    const struct idem_digest *digest,
					    struct idem_entry **entry,
					    struct idem_owner *owner,
					    int *result)
{
	uint64_t seq;

	*result = CB_E_BAD_KEY;
	if (!idem_ticket_parse(key, owner, &seq))
		return IDEM_REFUSE;
	if (!same_owner(owner, &idem->self)) {
		/*
		 * An earlier incarnation of this host issued the ticket and
		 * no host has adopted its keys: the request may have run.
		 */
		*result = CB_E_OWNER_GONE;
		return strcmp(owner->host, idem->self.host) == 0 &&
				       !idem_adopter(idem, owner) ?
			       IDEM_UNAVAILABLE :
			       IDEM_FORWARD;
	}
	switch (idem_ticket_state(idem, seq)) {
	case IDEM_TICKET_NEVER_ISSUED:
		return IDEM_REFUSE;
	case IDEM_TICKET_EXPIRED:
	case IDEM_TICKET_USED:
		*result = CB_E_ANSWER_FORGOTTEN;
		return IDEM_UNAVAILABLE;
	case IDEM_TICKET_FRESH:
		break;
	}
	idem_ticket_mark(idem, seq, true);
	*entry = entry_new(idem, key, digest);
	(*entry)->state = IDEM_STATE_RUNNING;
	(*entry)->ticket_seq = seq;
	return IDEM_RUN;
}

/*
 * The store deletes a claim some time after KEY_KEEP_SEC. Another host may
 * then claim the key, so an older claim doesn't permit running the request.
 */
static bool claim_is_old(const struct idem_entry *entry, int64_t now_us)
{
	return entry->state == IDEM_STATE_NOT_RUN && !entry->ticket_seq &&
	       now_us - entry->claim_begun_us >= KEY_KEEP_SEC * USEC_PER_SEC;
}

/*
 * Decides on a request with a key. After IDEM_RUN the entry is in progress
 * and the caller must call idem_end(); after IDEM_CLAIM the entry is in the
 * queue of claims for the store.
 */
enum idem_decision idem_begin(struct idem *idem, const char *key,
			      const struct idem_digest *digest, int64_t now_us,
			      struct idem_entry **entry,
			      struct idem_owner *owner, int *result)
{
	size_t len = strlen(key);

	*result = CB_E_BAD_KEY;
	if (len == 0 || len >= IDEM_KEY_BYTES)
		return IDEM_REFUSE;
	*entry = g_hash_table_lookup(idem->entries, key);
	if (*entry && claim_is_old(*entry, now_us)) {
		idem_remove(idem, *entry);
		*entry = NULL;
	}
	if (*entry)
		return decide_known(idem, *entry, digest, result);
	if (idem_is_ticket(key))
		return begin_with_ticket(idem, key, digest, entry, owner,
					 result);
	*entry = entry_new(idem, key, digest);
	(*entry)->claim_number = idem->next_number++;
	(*entry)->claim_begun_us = now_us;
	idem_claim_queue(idem, *entry, now_us);
	return IDEM_CLAIM;
}

/* Adds a concurrent attempt; the caller answers it after idem_end(). */
void idem_add_waiter(struct idem_entry *entry, struct idem_waiter *waiter)
{
	list_add_tail(&waiter->node, &entry->waiters);
}

void idem_remove_waiter(struct idem_waiter *waiter)
{
	list_del(&waiter->node);
}

static void evict_excess(struct idem *idem)
{
	while (!list_empty(&idem->finished) &&
	       (idem->finished_count > KEY_ENTRIES_MAX ||
		idem->blob_bytes > KEY_BYTES_MAX)) {
		idem_remove(idem, list_first_entry(&idem->finished,
						   struct idem_entry, node));
		idem->evicted++;
	}
}

/*
 * Records the outcome. A ticket that was not run becomes fresh again and
 * its entry is freed: the caller must remove the waiters before the call
 * and must not use the entry after it. A key that is evicted later still
 * gives IDEM_UNAVAILABLE: a ticket because of its used bit, any other key
 * because of its claim in the store.
 */
void idem_end(struct idem *idem, struct idem_entry *entry,
	      enum idem_outcome outcome, int result, int status,
	      const void *blob, size_t len, int64_t now_us)
{
	if (outcome == IDEM_NOT_RUN && entry->ticket_seq) {
		idem_ticket_mark(idem, entry->ticket_seq, false);
		idem_remove(idem, entry);
		return;
	}
	entry->state =
		outcome == IDEM_NOT_RUN ? IDEM_STATE_NOT_RUN : IDEM_STATE_DONE;
	entry->state_since_us = now_us;
	entry->answer.outcome = outcome;
	entry->answer.result = result;
	entry->answer.status = status;
	entry->answer.blob = len > 0 ? g_memdup2(blob, len) : NULL;
	entry->answer.len = len;
	list_add_tail(&entry->node, &idem->finished);
	idem->finished_count++;
	idem->blob_bytes += len;
	evict_excess(idem);
}

/* Removes finished entries and tickets that are older than KEY_KEEP_SEC. */
void idem_expire(struct idem *idem, int64_t now_us)
{
	struct idem_entry *entry;

	while (!list_empty(&idem->finished)) {
		entry = list_first_entry(&idem->finished, struct idem_entry,
					 node);
		if (now_us - entry->state_since_us <
		    KEY_KEEP_SEC * USEC_PER_SEC)
			break;
		idem_remove(idem, entry);
	}
	idem_ticket_expire(idem, now_us);
}

/* Claims in the store. */

/*
 * Queues a claim for the store: the first time, or again when it is not
 * known whether an earlier transaction succeeded.
 */
void idem_claim_queue(struct idem *idem, struct idem_entry *entry,
		      int64_t now_us)
{
	entry->state = IDEM_STATE_CLAIMING;
	entry->state_since_us = now_us;
	list_add_tail(&entry->node, &idem->claims);
	idem->claim_count++;
}

/* True when a batch is full or the oldest claim waited KEY_BATCH_DELAY_MS. */
bool idem_claims_due(const struct idem *idem, int64_t now_us)
{
	const struct idem_entry *oldest;

	if (idem->claim_count == 0)
		return false;
	oldest = list_first_entry(&idem->claims, struct idem_entry, node);
	return idem->claim_count >= KEY_BATCH_MAX ||
	       now_us - oldest->state_since_us >=
		       KEY_BATCH_DELAY_MS * USEC_PER_MSEC;
}

/* Removes up to max claims from the queue, for one transaction. */
size_t idem_claims_take(struct idem *idem, struct idem_entry **out, size_t max)
{
	size_t n = 0;

	while (n < max && !list_empty(&idem->claims)) {
		out[n] = list_first_entry(&idem->claims, struct idem_entry,
					  node);
		list_del(&out[n]->node);
		idem->claim_count--;
		n++;
	}
	return n;
}

/* Formats a claim as host/incarnation/number, with numbers in hexadecimal. */
void idem_claim_value(const struct idem *idem, const struct idem_entry *entry,
		      char out[IDEM_CLAIM_BYTES])
{
	snprintf(out, IDEM_CLAIM_BYTES, "%s/%" PRIx64 "/%" PRIx64,
		 idem->self.host, idem->self.incarnation, entry->claim_number);
}

static bool parse_claim(const char *value, struct idem_owner *owner)
{
	const char *slash = strchr(value, '/');
	size_t len = slash ? (size_t)(slash - value) : 0;

	if (len == 0 || len >= NAME_MAX_BYTES)
		return false;
	memcpy(owner->host, value, len);
	owner->host[len] = '\0';
	owner->incarnation = g_ascii_strtoull(slash + 1, NULL, 16);
	return true;
}

/*
 * Resolves a claim by the value in the store, or NULL when it has none.
 * This entry's own number means that the claim succeeded, even if the reply
 * to it was lost. Another number of this incarnation belongs to an attempt
 * whose entry was evicted, so it may have run. IDEM_CLAIM means to claim
 * again with the same number, which is safe because the transaction only
 * creates. After IDEM_FORWARD and IDEM_UNAVAILABLE the caller removes the
 * entry once it has answered the waiters.
 */
enum idem_decision idem_claim_resolve(struct idem *idem,
				      struct idem_entry *entry,
				      const char *value,
				      struct idem_owner *owner, int *result)
{
	char own[IDEM_CLAIM_BYTES];

	if (!value)
		return IDEM_CLAIM;
	idem_claim_value(idem, entry, own);
	if (strcmp(own, value) == 0) {
		entry->state = IDEM_STATE_RUNNING;
		return IDEM_RUN;
	}
	*result = CB_E_OWNER_GONE;
	if (!parse_claim(value, owner))
		return IDEM_UNAVAILABLE;
	if (same_owner(owner, &idem->self)) {
		*result = CB_E_ANSWER_FORGOTTEN;
		return IDEM_UNAVAILABLE;
	}
	if (strcmp(owner->host, idem->self.host) == 0 &&
	    !idem_adopter(idem, owner))
		return IDEM_UNAVAILABLE;
	return IDEM_FORWARD;
}

/* Adoption. */

static char *owner_name(const struct idem_owner *owner)
{
	return g_strdup_printf("%s/%" PRIx64, owner->host, owner->incarnation);
}

/* Returns the host that adopted the keys of a stopped incarnation, or NULL. */
const char *idem_adopter(const struct idem *idem,
			 const struct idem_owner *owner)
{
	char *name = owner_name(owner);
	const char *host = g_hash_table_lookup(idem->adopted, name);

	g_free(name);
	return host;
}

void idem_set_adopter(struct idem *idem, const struct idem_owner *owner,
		      const char *host)
{
	g_hash_table_replace(idem->adopted, owner_name(owner), g_strdup(host));
}

/*
 * Adds a finished key of a stopped incarnation. Returns false when the key
 * has an entry already, is too long or was not run.
 */
bool idem_adopt(struct idem *idem, const char *key,
		const struct idem_digest *digest,
		const struct idem_answer *answer, int64_t now_us)
{
	struct idem_entry *entry;

	if (strlen(key) >= IDEM_KEY_BYTES ||
	    g_hash_table_contains(idem->entries, key) ||
	    answer->outcome == IDEM_NOT_RUN)
		return false;
	entry = entry_new(idem, key, digest);
	entry->adopted = true;
	idem_end(idem, entry, answer->outcome, answer->result, answer->status,
		 answer->blob, answer->len, now_us);
	return true;
}
