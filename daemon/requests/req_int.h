#ifndef DAEMON_REQUESTS_REQ_INT_H
#define DAEMON_REQUESTS_REQ_INT_H

#include "daemon/requests/back.h"
#include "daemon/requests/req.h"
#include "daemon/requests/slots.h"
#include "daemon/svc.h"
#include "policy/idem.h"
#include "policy/membership.h"
#include "policy/admission.h"
#include "policy/routing.h"
#include "policy/retry_budget.h"
#include "wire/pr.h"

/* Private to the request service. */

struct req_task;

/* An address; it may be listed for several services, which share slots. */
struct req_endpoint {
	struct slot_credits_server slots;
	int refs;
};

/* A backend server of one service. */
struct req_server {
	struct membership_server membership;
	struct req_endpoint *endpoint;
	struct routing_server routing;
	struct req_group *group;
	int64_t unlisted_since_us; /* not in the list since then; 0: listed */
};

/* Servers that share a queue: those of one service, or of any ("*"). */
struct req_group {
	struct list_head node;
	struct req_task *r;
	char service[NAME_MAX_BYTES];
	struct admission admission;
	GPtrArray *servers; /* of struct req_server */
};

enum req_state {
	REQ_ST_NEW,
	REQ_ST_QUEUED, /* in admission */
	REQ_ST_RUNNING, /* at a backend server */
	REQ_ST_CLAIMING, /* waits for the store */
	REQ_ST_WAITING, /* for another attempt with the same key */
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
	bool maybe_ran; /* an attempt may have had an effect */
	int maybe_result;
	int attempts;
	struct req_server *server; /* of the running or the last attempt */
	struct back_call back;
	struct idem_entry *entry;
	struct idem_waiter waiter;
	uint64_t local_id; /* of the sender in this process; 0: from a peer */
	/* From a peer: the answer goes there. */
	char from_host[NAME_MAX_BYTES];
	uint64_t from_id;
	/* Forwarded to a peer. */
	uint64_t forward_id;
	char to_host[NAME_MAX_BYTES];
};

/* What is known of a connected peer. */
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
	GHashTable *by_result; /* result code -> struct ctr */
};

struct req_task {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	uint64_t incarnation;
	struct kn_task *peers, *members;
	struct doc_view *view;
	struct list_head groups;
	struct list_head active; /* new, queued, running */
	struct list_head suspended; /* claiming, waiting, forwarded */
	size_t req_count;
	GHashTable *local; /* local_id -> struct req */
	struct membership membership;
	struct retry_budget retry_budget;
	struct idem keys;
	struct slots slots;
	struct back *back;
	struct back_signs signs;
	GRand *rand;
	GHashTable *peer_table; /* host -> struct req_peer */
	struct kn_timer tick_timer;
	bool tick_for_claims; /* the timer runs at the pace of claims */
	struct kn_timer idle_timer; /* slow housekeeping */
	struct kn_timer drain_timer;
	bool refusing; /* after the drain delay */
	bool handed_over;
	uint64_t next_forward;
	/* Lease of the claims in the store. */
	int64_t lease;
	int64_t lease_requested_us; /* when it was asked for */
	int64_t grant_requested_us; /* when one was last asked for */
	bool granting;
	struct kv_call grant;
	struct list_head batches; /* claims in progress */
	/* Bytes that may go to other regions now. */
	int64_t region_budget;
	int64_t region_refilled_us;
	struct req_counters ctrs;
};

/* Req.c. */

void req_counters_init(struct req_task *r);
void req_counters_finish(struct req_task *r);
void req_count_unanswered(struct req_task *r, int result);
void req_ensure_tick(struct req_task *r);
void req_check_drained(struct req_task *r);

/* Req_run.c. */

void req_submit(struct req_task *r, struct req *req);
void req_enqueue(struct req *req);
void req_set_state(struct req *req, enum req_state state);
void req_answer_not_run(struct req *req, int result);
void req_answer_unknown(struct req *req, int result);
/* Answers with the answer already in req->call, and frees req. */
void req_answer(struct req *req);
void req_free(struct req *req);
void req_dispatch(struct req_task *r);
void req_expire(struct req_task *r, int64_t now_us);
void req_cancel(struct req_task *r, const char *host, uint64_t id);

/* Req_servers.c. */

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

/* Req_key.c. */

void req_key_begin(struct req *req);
void req_key_end(struct req *req);
void req_claims_tick(struct req_task *r, int64_t now_us);
void req_claims_finish(struct req_task *r);
void req_tickets(struct req_task *r, struct req_tickets *msg);

/* Req_adopt.c. */

void req_keys_hand_over(struct req_task *r);
void req_keys_adopt(struct req_task *r, const struct pr_in *in);

/* Req_fwd.c. */

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
