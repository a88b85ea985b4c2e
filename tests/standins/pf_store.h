#ifndef TESTS_STANDINS_PF_STORE_H
#define TESTS_STANDINS_PF_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#define PF_EVENTS_KEPT 20000 /* older revisions count as compacted */

/* A key-value pair as the gateway shows it. */
struct pf_kv {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
	struct pf_kv *previous; /* the pair before the last write */
};

/* Key-value store with the semantics of the published etcd v3 API. */
struct pf_store {
	GTree *keys; /* key -> struct pf_kv */
	GHashTable *leases; /* id -> struct pf_lease */
	GQueue events; /* struct pf_kv, oldest first */
	int64_t revision;
	int64_t compacted; /* revisions up to this one are gone */
	int64_t next_lease;
	bool old_root; /* ranges show the root before its last write */
	json_t *ledger; /* array of writes */
};

void pf_store_init(struct pf_store *store);
void pf_store_finish(struct pf_store *store);
/* Each takes a request's JSON and returns the reply, NULL if malformed. */
json_t *pf_store_range(struct pf_store *store, const json_t *req);
json_t *pf_store_put(struct pf_store *store, const json_t *req);
json_t *pf_store_txn(struct pf_store *store, const json_t *req);
json_t *pf_store_grant(struct pf_store *store, const json_t *req);
json_t *pf_store_keepalive(struct pf_store *store, const json_t *req);
json_t *pf_store_revoke(struct pf_store *store, const json_t *req);
void pf_store_expire(struct pf_store *store, int64_t now_us);
/* Events of the keys in [key, end) from a revision on, NULL if none. */
json_t *pf_store_events(struct pf_store *store, const char *key,
			const char *end, int64_t from_revision);
json_t *pf_store_header(const struct pf_store *store);

json_t *pf_get(const json_t *object, const char *snake, const char *camel);
int64_t pf_int(const json_t *object, const char *snake, const char *camel);
char *pf_bytes(const json_t *object, const char *snake, const char *camel,
	       size_t *len);
json_t *pf_int_text(int64_t value);
int64_t pf_now_us(void);

#endif
