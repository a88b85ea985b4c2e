#ifndef CONTROL_MIRROR_H
#define CONTROL_MIRROR_H

#include "wire/kv.h"

/*
 * A copy of all keys with a prefix, kept up to date by waiting calls. When a
 * call is lost the keys are read again, so that a silent store is noticed
 * within the wait and a little more.
 */

struct mirror;

struct mirror_ops {
	/* A key was written; also for each key that is there at first. */
	void (*set)(struct mirror *mirror, const struct kv_item *item);
	void (*removed)(struct mirror *mirror, const char *key);
	/* All keys were read, after the start or after a loss. */
	void (*synced)(struct mirror *mirror);
	/* The store does not answer; what is known may be old. */
	void (*lost)(struct mirror *mirror);
};

struct mirror {
	const struct mirror_ops *ops;
	struct kv *kv;
	char *prefix;
	int64_t wait_ms;
	int64_t batch_delay_ms; /* pause after events, so that several come at once */
	GHashTable *revisions; /* key -> int64_t */
	int64_t revision; /* up to which the copy is complete */
	int64_t synced_us; /* when the store answered last, 0: never */
	bool up;
	int failures;
	/* private */
	struct kv_call call;
	bool calling;
	struct kn_timer timer;
};

/* wait_ms bounds how late a silent store is noticed. */
void mirror_init(struct mirror *mirror, struct kv *kv,
		 const struct mirror_ops *ops, const char *prefix,
		 int64_t wait_ms);
void mirror_start(struct mirror *mirror);
/* Forgets everything and stops; mirror_start() begins anew. */
void mirror_stop(struct mirror *mirror);
void mirror_finish(struct mirror *mirror);

#endif
