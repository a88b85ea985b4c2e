#include "policy/idem.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "policy/idem_ticket.h"

/* Setup. */

static void entry_free(gpointer data)
{
	struct idem_entry *entry = data;

	g_free(entry->answer.blob);
	g_free(entry);
}

/* Prepares the keys of one incarnation of this host. */
void idem_init(struct idem *ky, const char *host, uint64_t incarnation)
{
	memset(ky, 0, sizeof(*ky));
	snprintf(ky->self.host, sizeof(ky->self.host), "%s", host);
	ky->self.incarnation = incarnation;
	ky->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    entry_free);
	ky->adopted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_init(&ky->claims);
	list_init(&ky->finished);
	ky->next_number = 1;
	idem_ticket_init(ky);
}

void idem_finish(struct idem *ky)
{
	g_hash_table_destroy(ky->entries);
	g_hash_table_destroy(ky->adopted);
	idem_ticket_finish(ky);
}

/* Digest of what a key stands for; parts are separated by a NUL. */
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

static struct idem_entry *entry_new(struct idem *ky, const char *key,
				    const struct idem_digest *digest)
{
	struct idem_entry *entry = g_new0(struct idem_entry, 1);

	snprintf(entry->key, sizeof(entry->key), "%s", key);
	entry->digest = *digest;
	list_init(&entry->node);
	list_init(&entry->waiters);
	g_hash_table_insert(ky->entries, entry->key, entry);
	return entry;
}

static void entry_unlink_finished(struct idem *ky, struct idem_entry *entry)
{
	list_del(&entry->node);
	ky->finished_count--;
	ky->blob_bytes -= entry->answer.len;
}

/* Removes an entry that is neither queued nor in progress. */
void idem_remove(struct idem *ky, struct idem_entry *entry)
{
	if (entry->state == IDEM_STATE_DONE ||
	    entry->state == IDEM_STATE_NOT_RUN)
		entry_unlink_finished(ky, entry);
	else if (entry->state == IDEM_STATE_CLAIMING &&
		 !list_empty(&entry->node))
		ky->claim_count--;
	list_del(&entry->node);
	g_hash_table_remove(ky->entries, entry->key);
}

/* Verdict for a key that this process remembers. */
static enum idem_decision known(struct idem *ky, struct idem_entry *entry,
				const struct idem_digest *digest, int *result)
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
		entry_unlink_finished(ky, entry);
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

static enum idem_decision begin_with_ticket(struct idem *ky, const char *key,
					    const struct idem_digest *digest,
					    struct idem_entry **entry,
					    struct idem_owner *owner,
					    int *result)
{
	uint64_t seq;

	*result = CB_E_BAD_KEY;
	if (!idem_ticket_parse(key, owner, &seq))
		return IDEM_REFUSE;
	if (!same_owner(owner, &ky->self)) {
		/* Adopted, but not handed over: it may have run. */
		*result = CB_E_OWNER_GONE;
		return strcmp(owner->host, ky->self.host) == 0 &&
				       !idem_adopter(ky, owner) ?
			       IDEM_UNAVAILABLE :
			       IDEM_FORWARD;
	}
	switch (idem_ticket_state(ky, seq)) {
	case IDEM_TICKET_NEVER_ISSUED:
		return IDEM_REFUSE;
	case IDEM_TICKET_EXPIRED:
	case IDEM_TICKET_USED:
		*result = CB_E_ANSWER_FORGOTTEN;
		return IDEM_UNAVAILABLE;
	case IDEM_TICKET_FRESH:
		break;
	}
	idem_ticket_mark(ky, seq, true);
	*entry = entry_new(ky, key, digest);
	(*entry)->state = IDEM_STATE_RUNNING;
	(*entry)->ticket = seq;
	return IDEM_RUN;
}

/*
 * The store forgets a claim some time after KEY_KEEP_SEC, and another host
 * may claim the key then, so an old claim is no reason to run it here.
 */
static bool claim_is_old(const struct idem_entry *entry, int64_t now_us)
{
	return entry->state == IDEM_STATE_NOT_RUN && !entry->ticket &&
	       now_us - entry->begun_us >= KEY_KEEP_SEC * USEC_PER_SEC;
}

/*
 * Decides on a request with a key. On IDEM_RUN the claim is recorded and
 * idem_end() must follow; on IDEM_CLAIM the entry is queued for the store.
 */
enum idem_decision idem_begin(struct idem *ky, const char *key,
			      const struct idem_digest *digest, int64_t now_us,
			      struct idem_entry **entry,
			      struct idem_owner *owner, int *result)
{
	size_t len = strlen(key);

	*result = CB_E_BAD_KEY;
	if (len == 0 || len >= IDEM_KEY_BYTES)
		return IDEM_REFUSE;
	*entry = g_hash_table_lookup(ky->entries, key);
	if (*entry && claim_is_old(*entry, now_us)) {
		idem_remove(ky, *entry);
		*entry = NULL;
	}
	if (*entry)
		return known(ky, *entry, digest, result);
	if (idem_is_ticket(key))
		return begin_with_ticket(ky, key, digest, entry, owner, result);
	*entry = entry_new(ky, key, digest);
	(*entry)->number = ky->next_number++;
	(*entry)->begun_us = now_us;
	idem_claim_queue(ky, *entry, now_us);
	return IDEM_CLAIM;
}

/* Adds a later attempt; the caller answers all of them after idem_end(). */
void idem_add_waiter(struct idem_entry *entry, struct idem_waiter *waiter)
{
	list_add_tail(&waiter->node, &entry->waiters);
}

void idem_remove_waiter(struct idem_waiter *waiter)
{
	list_del(&waiter->node);
}

static void shrink(struct idem *ky)
{
	while (!list_empty(&ky->finished) &&
	       (ky->finished_count > KEY_ENTRIES_MAX ||
		ky->blob_bytes > KEY_BYTES_MAX)) {
		idem_remove(ky, list_first_entry(&ky->finished,
						 struct idem_entry, node));
		ky->evicted++;
	}
}

/*
 * Records the outcome. A ticket that was not run becomes fresh again and
 * its entry is freed, so entry and its waiters must not be used after; the
 * caller takes the waiters off first. An evicted key answers IDEM_UNAVAILABLE: by
 * its bit when it is a ticket, else by its claim in the store.
 */
void idem_end(struct idem *ky, struct idem_entry *entry,
	      enum idem_outcome outcome, int result, int status,
	      const void *blob, size_t len, int64_t now_us)
{
	if (outcome == IDEM_NOT_RUN && entry->ticket) {
		idem_ticket_mark(ky, entry->ticket, false);
		idem_remove(ky, entry);
		return;
	}
	entry->state =
		outcome == IDEM_NOT_RUN ? IDEM_STATE_NOT_RUN : IDEM_STATE_DONE;
	entry->since_us = now_us;
	entry->answer.outcome = outcome;
	entry->answer.result = result;
	entry->answer.status = status;
	entry->answer.blob = len > 0 ? g_memdup2(blob, len) : NULL;
	entry->answer.len = len;
	list_add_tail(&entry->node, &ky->finished);
	ky->finished_count++;
	ky->blob_bytes += len;
	shrink(ky);
}

/* Forgets what is older than KEY_KEEP_SEC. */
void idem_expire(struct idem *ky, int64_t now_us)
{
	struct idem_entry *entry;

	while (!list_empty(&ky->finished)) {
		entry = list_first_entry(&ky->finished, struct idem_entry,
					 node);
		if (now_us - entry->since_us < KEY_KEEP_SEC * USEC_PER_SEC)
			break;
		idem_remove(ky, entry);
	}
	idem_ticket_expire(ky, now_us);
}

/* Claims in the store. */

/* Queues a claim, first or once more after an undecided answer. */
void idem_claim_queue(struct idem *ky, struct idem_entry *entry, int64_t now_us)
{
	entry->state = IDEM_STATE_CLAIMING;
	entry->since_us = now_us;
	list_add_tail(&entry->node, &ky->claims);
	ky->claim_count++;
}

/* True when a batch is full or its oldest claim has waited long enough. */
bool idem_claims_due(const struct idem *ky, int64_t now_us)
{
	const struct idem_entry *oldest;

	if (ky->claim_count == 0)
		return false;
	oldest = list_first_entry(&ky->claims, struct idem_entry, node);
	return ky->claim_count >= KEY_BATCH_MAX ||
	       now_us - oldest->since_us >= KEY_BATCH_DELAY_MS * USEC_PER_MSEC;
}

/* Takes up to max queued claims for one transaction. */
size_t idem_claims_take(struct idem *ky, struct idem_entry **out, size_t max)
{
	size_t n = 0;

	while (n < max && !list_empty(&ky->claims)) {
		out[n] = list_first_entry(&ky->claims, struct idem_entry, node);
		list_del(&out[n]->node);
		ky->claim_count--;
		n++;
	}
	return n;
}

/* Value of the claim: host/incarnation/number, numbers in hexadecimal. */
void idem_claim_value(const struct idem *ky, const struct idem_entry *entry,
		      char out[IDEM_CLAIM_BYTES])
{
	snprintf(out, IDEM_CLAIM_BYTES, "%s/%" PRIx64 "/%" PRIx64,
		 ky->self.host, ky->self.incarnation, entry->number);
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
 * Resolves a claim by the value the store holds, NULL when it holds none.
 * Our own number means that the claim is ours even if the reply to it was
 * lost. Another number of this incarnation belongs to an attempt that was
 * forgotten here, so it may have run. IDEM_CLAIM: claim again with the same
 * number, which is safe since the transaction creates only. For IDEM_FORWARD
 * and IDEM_UNAVAILABLE the caller drops the entry after answering its waiters.
 */
enum idem_decision idem_claim_resolve(struct idem *ky, struct idem_entry *entry,
				      const char *value,
				      struct idem_owner *owner, int *result)
{
	char own[IDEM_CLAIM_BYTES];

	if (!value)
		return IDEM_CLAIM;
	idem_claim_value(ky, entry, own);
	if (strcmp(own, value) == 0) {
		entry->state = IDEM_STATE_RUNNING;
		return IDEM_RUN;
	}
	*result = CB_E_OWNER_GONE;
	if (!parse_claim(value, owner))
		return IDEM_UNAVAILABLE;
	if (same_owner(owner, &ky->self)) {
		*result = CB_E_ANSWER_FORGOTTEN;
		return IDEM_UNAVAILABLE;
	}
	if (strcmp(owner->host, ky->self.host) == 0 && !idem_adopter(ky, owner))
		return IDEM_UNAVAILABLE;
	return IDEM_FORWARD;
}

/* Adoption. */

static char *owner_name(const struct idem_owner *owner)
{
	return g_strdup_printf("%s/%" PRIx64, owner->host, owner->incarnation);
}

/* Host that keeps the finished keys of a stopped incarnation, or NULL. */
const char *idem_adopter(const struct idem *ky, const struct idem_owner *owner)
{
	char *name = owner_name(owner);
	const char *host = g_hash_table_lookup(ky->adopted, name);

	g_free(name);
	return host;
}

void idem_set_adopter(struct idem *ky, const struct idem_owner *owner,
		      const char *host)
{
	g_hash_table_replace(ky->adopted, owner_name(owner), g_strdup(host));
}

/* Takes over one finished key; false when this host knows it already. */
bool idem_adopt(struct idem *ky, const char *key,
		const struct idem_digest *digest,
		const struct idem_answer *answer, int64_t now_us)
{
	struct idem_entry *entry;

	if (strlen(key) >= IDEM_KEY_BYTES ||
	    g_hash_table_contains(ky->entries, key) ||
	    answer->outcome == IDEM_NOT_RUN)
		return false;
	entry = entry_new(ky, key, digest);
	entry->adopted = true;
	idem_end(ky, entry, answer->outcome, answer->result, answer->status,
		 answer->blob, answer->len, now_us);
	return true;
}
