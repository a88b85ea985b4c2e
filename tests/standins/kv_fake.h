#ifndef STANDINS_KV_FAKE_H
#define STANDINS_KV_FAKE_H

#include "wire/kv.h"

/* A connection to the store whose answers the test gives. */
struct kv_fake {
	struct kv kv;
	struct kn kn;
	struct kn_timer tick;
	struct kv_call *txn; /* that waits for its answer, or NULL */
	struct kv_call *range; /* the same */
	/*
	 * The latest transaction: KEY=REVISION of each comparison and KEY:VALUE
	 * of each write, each followed by a blank. Values are text here.
	 */
	GString *sent;
	int entries; /* its comparisons and operations */
};

void kv_fake_init(struct kv_fake *fake);
void kv_fake_finish(struct kv_fake *fake);
void kv_fake_run_ms(struct kv_fake *fake, int64_t ms);
/* Answers the transaction: carried out, or not as a comparison failed. items:
 * what the store has then, may be NULL. */
void kv_fake_answer_txn(struct kv_fake *fake, bool succeeded, int64_t revision,
			struct kv_item *items, size_t count);
/* Answers the read with one item, or with none if value is NULL. */
void kv_fake_answer_range(struct kv_fake *fake, const char *key,
			  const void *value, size_t len, int64_t revision);
/* The store does not carry out the call. */
void kv_fake_fail(struct kv_call **call);

#endif
