#ifndef WIRE_KV_H
#define WIRE_KV_H

#include "base/kn.h"
#include "base/limits.h"

struct kv;
struct kv_call;

enum kv_op_kind { KV_PUT, KV_DELETE, KV_RANGE };

/* One operation of a transaction. */
struct kv_op {
	enum kv_op_kind kind;
	const char *key;
	bool prefix; /* delete and range: all keys that start with key */
	const void *value;
	size_t len;
	int64_t lease; /* put: 0 for none */
};

/* Compares a key's mod revision; 0 means that the key must not exist. */
struct kv_cmp {
	const char *key;
	int64_t mod_revision;
};

struct kv_item {
	char *key;
	char *value; /* NUL-terminated after len bytes */
	size_t len;
	int64_t mod_revision;
	int64_t create_revision; /* 0 where it is not known */
	int64_t lease;
};

/*
 * One call to the store, in the caller's memory until done() returns; the
 * items are freed after done(). result is CB_OK, CB_E_STORE_DOWN (the call
 * had no effect) or CB_E_TIMEOUT (the effect is unknown).
 */
struct kv_call {
	struct list_head node;
	void (*done)(struct kv_call *call);
	void *user;
	void *impl; /* private to the implementation */
	int result;
	bool succeeded; /* txn: the compares held */
	int64_t revision; /* of the store when it answered */
	int64_t lease; /* grant, keepalive */
	int64_t ttl_s; /* grant, keepalive; 0 when the lease has lapsed */
	struct kv_item *items; /* of all range operations, in order */
	size_t count;
};

/*
 * A watch of all keys with a prefix. It reconnects by itself. Each time before
 * it reports up, it reports the present keys that changed while it was down;
 * keys that were deleted meanwhile are found only by reading again.
 */
struct kv_watch {
	struct list_head node;
	/* item->value is NULL when the key was deleted. */
	void (*event)(struct kv_watch *watch, const struct kv_item *item);
	/* The stream was lost or is back; read again when it is back. */
	void (*state)(struct kv_watch *watch, bool up);
	void *user;
	void *impl;
	char prefix[256];
};

/* A host of the platform's list. */
struct kv_host {
	char addr[ADDR_MAX_BYTES];
	int port;
	char dc[NAME_MAX_BYTES];
	char service[NAME_MAX_BYTES];
	bool leaving;
};

/* Without a list, result is CB_E_STORE_DOWN. */
struct kv_hosts_call {
	void (*done)(struct kv_hosts_call *call);
	void *user;
	void *impl;
	int result;
	struct kv_host *hosts; /* freed after done() */
	size_t count;
};

struct kv_ops {
	void (*txn)(struct kv *kv, struct kv_call *call,
		    const struct kv_cmp *cmps, size_t ncmps,
		    const struct kv_op *then_ops, size_t nthen,
		    const struct kv_op *else_ops, size_t nelse);
	void (*range)(struct kv *kv, struct kv_call *call, const char *key,
		      bool prefix);
	/*
	 * One wait of at most wait_ms for changes of the keys with a prefix
	 * after a revision. The items are the changes in order, with value
	 * NULL for a deleted key; revision is where to go on. result is
	 * CB_E_HISTORY_GONE when the store has dropped that revision. NULL
	 * where the implementation has only watches.
	 */
	void (*poll)(struct kv *kv, struct kv_call *call, const char *prefix,
		     int64_t after_revision, int64_t wait_ms);
	/* Drops a call; done() is not called. NULL where there is no poll. */
	void (*cancel)(struct kv *kv, struct kv_call *call);
	void (*grant)(struct kv *kv, struct kv_call *call, int64_t ttl_s);
	void (*keepalive)(struct kv *kv, struct kv_call *call, int64_t lease);
	void (*revoke)(struct kv *kv, struct kv_call *call, int64_t lease);
	void (*watch)(struct kv *kv, struct kv_watch *watch);
	void (*unwatch)(struct kv *kv, struct kv_watch *watch);
	void (*hosts)(struct kv *kv, struct kv_hosts_call *call);
	void (*finish)(struct kv *kv);
};

enum kv_call_kind {
	KV_CALL_RANGE,
	KV_CALL_TXN,
	KV_CALL_LEASE,
	KV_CALL_WATCH,
	KV_CALL_HOSTS,
	KV_CALL_KINDS
};

/* Base of a store connection; embedded first in each implementation. */
struct kv {
	const struct kv_ops *ops;
	struct kn *kn;
	uint64_t calls; /* made so far, a waiting watch counted as one */
	struct ctr calls_by_kind[KV_CALL_KINDS];
};

/* Client of the published etcd v3 JSON gateway. hosts_port 0: no list. */
struct kv *kv_etcd_new(struct kn *kn, const char *addr, int port,
		       const char *hosts_addr, int hosts_port);
/* In-process store for a trial with one process. */
struct kv *kv_mem_new(struct kn *kn);
void kv_free(struct kv *kv);
/* Returns the item of an answered call with that key, NULL for none. */
const struct kv_item *kv_find(const struct kv_call *call, const char *key);

/* For implementations. */

void kv_counters_init(struct kv *kv);
void kv_counters_finish(struct kv *kv);
void kv_count(struct kv *kv, enum kv_call_kind kind);

#endif
