#ifndef WIRE_KVMEM_H
#define WIRE_KVMEM_H

#include "wire/kv.h"

/* Private to the in-process store. */

/* A key with its value; in mem.keys under its own key string. */
struct mem_key {
	char *key;
	char *value;
	size_t len;
	int64_t mod_revision;
	int64_t lease;
};

struct mem_lease {
	struct list_head node;
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us;
};

enum delivery_kind {
	DELIVER_CALL,
	DELIVER_EVENT,
	DELIVER_STATE,
	DELIVER_HOSTS
};

/* A result or event that waits for the delivery timer. */
struct delivery {
	struct list_head node;
	enum delivery_kind kind;
	struct kv_call *call;
	struct kv_hosts_call *hosts;
	struct kv_watch *watch;
	struct kv_item item; /* event */
	/* Result of a call, copied into it on delivery. */
	bool succeeded;
	int result;
	int64_t revision;
	int64_t lease;
	int64_t ttl_s;
	struct kv_item *items;
	size_t count;
};

struct watch_ref {
	struct list_head node;
	struct kv_watch *watch;
};

struct mem {
	struct kv kv;
	GTree *keys; /* key -> struct mem_key */
	struct list_head leases;
	struct list_head watches;
	struct list_head deliveries;
	struct kn_timer deliver_timer;
	struct kn_timer lease_timer;
	int64_t revision;
	int64_t next_lease;
};

/* Kvmem_queue.c: results and events, delivered from a timer. */

struct delivery *kvmem_queue(struct mem *mem, enum delivery_kind kind);
struct delivery *kvmem_queue_call(struct mem *mem, struct kv_call *call,
				  enum kv_call_kind kind);
void kvmem_queue_event(struct mem *mem, struct kv_watch *watch,
		       const struct mem_key *key);
/* Tells all watches of a key that it was written or deleted. */
void kvmem_notify(struct mem *mem, const struct mem_key *key);
void kvmem_drop_watch(struct mem *mem, struct kv_watch *watch);
void kvmem_queue_finish(struct mem *mem);
void kvmem_copy_item(struct kv_item *item, const struct mem_key *key);

#endif
