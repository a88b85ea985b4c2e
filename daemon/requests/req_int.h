#ifndef DAEMON_REQUESTS_REQ_INT_H
#define DAEMON_REQUESTS_REQ_INT_H

#include "daemon/requests/backend_client.h"
#include "daemon/requests/req.h"
#include "daemon/requests/slots.h"
#include "daemon/svc.h"
#include "policy/idem.h"
#include "policy/membership.h"
#include "policy/admission.h"
#include "policy/routing.h"
#include "policy/retry_budget.h"
#include "wire/pr.h"

/* Internal declarations of the request service. */

struct req_task;

/*
 * The address of a backend server. It may be listed for several services, which
 * then share its slots.
 */
struct req_endpoint {
	struct slot_credits_server slots;
	int refs;
};

/* A backend server, as listed for one service. */
struct req_server {
	struct membership_server membership;
	struct req_endpoint *endpoint;
	struct routing_server routing;
	struct req_group *group;
	int64_t unlisted_since_us; /* 0: in the list */
};

/*
 * Servers that share a queue: those of one service, or those of any service
 * ("*").
 */
struct req_group {
	struct list_head node;
	struct req_task *r;
	char service[NAME_MAX_BYTES];
	struct admission admission;
	GPtrArray *servers; /* of struct req_server * */
};

enum req_state {
	REQ_ST_NEW,
	REQ_ST_QUEUED, /* in the queue of its group */
	REQ_ST_RUNNING, /* at a backend server */
	REQ_ST_CLAIMING, /* its key is being claimed in the store */
	REQ_ST_WAITING, /* for another request with the same key */
	REQ_ST_FORWARDED,
};

struct req {
	struct list_head node;
	struct req_task *r;
	struct req_call *call;
	enum req_state state;
	struct admission_item item;
	struct req_group *group;
	int64_t deadline_us;
	bool idempotent;
	bool maybe_ran; /* an attempt may have taken effect */
	/* Result code of the last attempt that may have taken effect. */
	int maybe_result;
	int attempts;
	struct req_server *server; /* of the current or the last attempt */
	struct backend_call back;
	struct idem_entry *entry;
	struct idem_waiter waiter;
	uint64_t local_id; /* id from the caller; 0: from a peer */
	/* Set for a request from a peer, which gets the answer. */
	char from_host[NAME_MAX_BYTES];
	uint64_t from_id;
	/* Set for a request that was forwarded to a peer. */
	uint64_t forward_id;
	char to_host[NAME_MAX_BYTES];
};

/* Status of a connected peer, from its last PR_MSG_UP. */
struct req_peer {
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	uint64_t incarnation;
	bool draining;
};

struct req_counters {
	struct ctr waiting, running, slots;
	struct ctr answered, not_run, unknown;
	struct ctr retries, retries_denied, forwarded, replayed;
	struct ctr claims, claim_batches, keys, evicted, region_bytes;
	struct ctr wait_short_us, wait_long_us;
	GHashTable *by_result; /* result code -> struct result_counter */
};

struct req_task {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	uint64_t incarnation;
	struct kn_task *peers, *members;
	struct doc_view *view;
	struct list_head groups;
	struct list_head active; /* new, queued or running */
	struct list_head suspended; /* claiming, waiting or forwarded */
	size_t req_count;
	GHashTable *local; /* local_id -> struct req */
	struct membership membership;
	struct retry_budget retry_budget;
	struct idem keys;
	struct slots slots;
	struct backend_client *back;
	struct backend_observer observer;
	GRand *rand;
	GHashTable *peer_table; /* host -> struct req_peer */
	struct kn_timer tick_timer;
	bool tick_for_claims; /* tick_timer runs at KEY_BATCH_DELAY_MS */
	struct kn_timer maintenance_timer; /* each REQ_IDLE_TICK_MS */
	struct kn_timer drain_timer;
	struct kn_timer stop_timer;
	bool stopping; /* the grace is nearly over: everything is answered */
	bool refusing; /* no new requests: the drain delay has passed */
	bool handed_over;
	uint64_t next_forward;
	/* Lease that the claims in the store are attached to. */
	int64_t lease;
	int64_t lease_requested_us; /* when lease was requested */
	int64_t grant_requested_us; /* when any lease was last requested */
	bool granting;
	struct kv_call grant;
	struct list_head batches; /* of struct batch: claims in progress */
	/* Byte budget for requests to other regions. */
	int64_t region_budget;
	int64_t region_refilled_us;
	struct req_counters ctrs;
};

/* Defined in req.c. */

void req_counters_init(struct req_task *r);
void req_counters_finish(struct req_task *r);
void req_count_unanswered(struct req_task *r, int result);
void req_ensure_tick(struct req_task *r);
void req_check_drained(struct req_task *r);

/* Defined in req_run.c. */

void req_submit(struct req_task *r, struct req *req);
void req_enqueue(struct req *req);
void req_set_state(struct req *req, enum req_state state);
void req_answer_not_run(struct req *req, int result);
void req_answer_unknown(struct req *req, int result);
/* Sends the answer that req->call holds, and frees req. */
void req_answer(struct req *req);
void req_free(struct req *req);
void req_dispatch(struct req_task *r);
void req_expire(struct req_task *r, int64_t now_us);
void req_end_all(struct req_task *r);
void req_cancel(struct req_task *r, const char *host, uint64_t id);

/* Defined in req_servers.c. */

struct req_group *req_group_get(struct req_task *r, const char *service);
void req_servers_update(struct req_task *r, const struct req_members *members);
void req_servers_tick(struct req_task *r, int64_t now_us);
void req_servers_finish(struct req_task *r);
void req_server_leaving(struct req_task *r, const char *addr, int port,
			const char *reason, bool notify);
void req_server_refused(struct req_task *r, const char *addr, int port,
			bool notify);
bool req_group_has_usable_server(const struct req_group *group);
bool req_group_can_serve(const struct req_group *group, const struct req *req);
void req_apply_document(struct req_task *r, struct doc_view *view);
void req_signs_init(struct req_task *r);
void req_servers_api(struct req_task *r, struct svc_api_call *call);

/* Defined in req_key.c. */

void req_key_begin(struct req *req);
void req_key_end(struct req *req);
void req_claims_tick(struct req_task *r, int64_t now_us);
void req_claims_finish(struct req_task *r);
void req_tickets(struct req_task *r, struct req_tickets *msg);

/* Defined in req_adopt.c. */

void req_keys_hand_over(struct req_task *r);
void req_keys_adopt(struct req_task *r, const struct pr_in *in);

/* Defined in req_fwd.c. */

bool req_forward(struct req *req, const char *host);
void req_forward_cancel(struct req *req);
void req_forward_owner(struct req *req, const struct idem_owner *owner);
bool req_must_forward(const struct req *req);
void req_dequeue(struct req *req);
void req_forward_or_refuse(struct req *req);
void req_forward_queued(struct req_group *group);
void req_forward_in(struct req_task *r, const struct pr_in *in);
void req_forward_reply_out(struct req *req);
void req_forward_reply_in(struct req_task *r, const struct pr_in *in);
void req_forward_cancel_in(struct req_task *r, const struct pr_in *in);
void req_forward_lost(struct req_task *r, const char *host);

#endif
