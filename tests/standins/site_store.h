#ifndef STANDINS_SITE_STORE_H
#define STANDINS_SITE_STORE_H

#include "base/kn.h"
#include "wire/hs.h"

/*
 * Stand-in for the platform's key-value store, written from its published
 * protocol. It has several doors (ports), each with a fault of its own, so
 * that it can turn single hosts away.
 */

enum site_fault {
	SITE_WELL,
	SITE_SILENT, /* takes the request and never answers */
	SITE_UNREAD, /* the same for reads; writes and leases are answered */
	SITE_BUSY, /* 503, nothing done */
	SITE_MANY, /* 429, nothing done */
	SITE_LOST, /* done, but a share of the writes is not answered */
	SITE_ERROR, /* writes are done and answered with 500 */
	SITE_LATE, /* not answered, and done SITE_LATE_MS later */
};

#define SITE_LATE_MS 700
#define SITE_DOORS_MAX 256

struct site_store;

struct site_door {
	struct hs_server server;
	struct site_store *store;
	bool open;
	enum site_fault fault;
	int percent; /* of the writes, for lost and late */
	int delay_ms; /* of every answer */
	uint64_t calls;
};

struct site_item {
	char *key;
	char *value;
	size_t len;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct site_event {
	char *key;
	int64_t revision;
	struct site_item *item; /* a copy, NULL: deleted */
};

struct site_store {
	struct kn_task task;
	struct site_door doors[SITE_DOORS_MAX];
	int ndoors;
	GTree *items; /* key -> struct site_item */
	GPtrArray *events; /* struct site_event */
	int64_t dropped; /* events up to this revision are forgotten */
	int64_t revision;
	GHashTable *leases; /* int64_t * -> struct site_lease */
	int64_t next_lease;
	bool leases_pause; /* they do not run meanwhile */
	struct list_head waiting; /* struct site_wait: polls */
	struct list_head later; /* struct site_later */
	struct kn_timer timer;
	GRand *rand;
	/* Sees each change; for checks. May be NULL. */
	void (*changed)(void *user, const char *key, const char *value,
			size_t len);
	/*
	 * What is stored in place of a value, a new string, or NULL for the
	 * value itself: addresses that hosts tell can lead through relays.
	 */
	char *(*translate)(void *user, const char *key, const char *value);
	void *user;
};

/* Adds the store to the kernel; it is freed with the kernel. */
struct site_store *site_store_new(struct kn *kn, uint32_t seed);
/* Opens a door on a port, 0 for any. Returns its port, 0 on failure. */
int site_store_open(struct site_store *store, int port);
/* door -1: all of them. */
void site_store_fault(struct site_store *store, int door, enum site_fault fault,
		      int percent, int delay_ms);
/* The polls that wait now are never answered; new ones are. */
void site_store_silence_polls(struct site_store *store);
/* Writes as an operator or a worker. */
void site_store_put(struct site_store *store, const char *key,
		    const char *value);
/* The same for a value that is no text. */
void site_store_put_bytes(struct site_store *store, const char *key,
			  const void *value, size_t len);
void site_store_remove(struct site_store *store, const char *key);
/* NULL when there is no such key. */
const struct site_item *site_store_get(struct site_store *store,
				       const char *key);
/* Forgets the history and cuts all polls. */
void site_store_compact(struct site_store *store);
/* Ends a lease at once, as if its holder had been away. */
void site_store_lapse(struct site_store *store, const char *key);
size_t site_store_count(struct site_store *store, const char *prefix);

#endif
