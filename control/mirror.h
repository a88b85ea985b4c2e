#ifndef CONTROL_MIRROR_H
#define CONTROL_MIRROR_H

#include "wire/kv.h"

/*
 * A local copy of all keys with a prefix, kept up to date by long polls. All
 * keys are read again after a failed poll, so that a store that does not
 * answer is detected little later than wait_ms.
 */

struct mirror;

struct mirror_ops {
	/* A key was written, or was found by the first read. */
	void (*set)(struct mirror *mirror, const struct kv_item *item);
	void (*removed)(struct mirror *mirror, const char *key);
	/* All keys were read, at the start or after a failed poll. */
	void (*synced)(struct mirror *mirror);
	/* The store does not answer; the copy may be out of date. Optional. */
	void (*lost)(struct mirror *mirror);
};

struct mirror {
	const struct mirror_ops *ops;
	struct kv *kv;
	char *prefix;
	int64_t wait_ms;
	/* Delay of the next poll after events, so that it returns several. */
	int64_t batch_delay_ms;
	GHashTable *revisions; /* key -> int64_t, its mod revision */
	int64_t revision; /* the copy is complete up to it */
	int64_t synced_us; /* time of the store's last answer, 0: never */
	bool up;
	int failures;
	/* private */
	struct kv_call call;
	bool calling;
	struct kn_timer timer;
};

/* wait_ms is the length of a long poll; it bounds how late a store that does
 * not answer is detected. */
void mirror_init(struct mirror *mirror, struct kv *kv,
		 const struct mirror_ops *ops, const char *prefix,
		 int64_t wait_ms);
void mirror_start(struct mirror *mirror);
/* Reads all keys at once; an answer that is on its way is ignored. */
void mirror_reread(struct mirror *mirror);
/* Stops and clears the copy; mirror_start() may be called again. */
void mirror_stop(struct mirror *mirror);
void mirror_finish(struct mirror *mirror);

#endif
