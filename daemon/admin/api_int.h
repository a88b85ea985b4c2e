#ifndef DAEMON_ADMIN_API_INT_H
#define DAEMON_ADMIN_API_INT_H

#include "base/set.h"
#include "daemon/requests/req.h"
#include "daemon/svc.h"
#include "wire/hs.h"
#include "wire/pr.h"

/* Private to the administration API. */

struct api {
	struct kn_task task;
	const struct set *set;
	struct hs_server server;
	bool listening;
	struct kn_task *peers; /* or NULL */
	struct kn_task *lead; /* or NULL: this host leads */
	struct doc_view *view; /* NULL until a document is known */
	char leader[NAME_MAX_BYTES];
	bool leading;
	/* Per peer of the settings: what it leads with, 0 if it does not. */
	uint64_t peer_epochs[PEERS_MAX];
	struct list_head calls; /* struct api_call */
	struct kn_timer drain_timer;
	uint64_t last_id; /* of forwards and ticket calls */
	struct ctr requests;
	struct ctr errors;
};

/* A call in progress, of an operator or of a peer. */
struct api_call {
	struct svc_api_call call;
	struct list_head node;
	struct api *api;
	struct hs_request *req; /* NULL: of a peer, or gone */
	char *target; /* as sent */
	char forwarded_to[NAME_MAX_BYTES]; /* host */
	uint64_t ticket_id; /* waits for tickets */
	/* Forwarded to the leader. */
	uint64_t forward_id;
	struct kn_timer timer;
	/* Of a peer. */
	char peer_host[NAME_MAX_BYTES]; /* empty: not of a peer */
	bool from_other_dc; /* of a peer of another data centre */
	uint64_t remote_id;
};

/* Api.c. */

struct api_call *api_call_new(struct api *api);
void api_call_free(struct api_call *call);
void api_dispatch(struct api_call *call);
void api_send_answer(struct api_call *call);

/* Api_parse.c. */

/* Fills method, path, query and body. Returns false with the reason. */
bool api_parse(struct api_call *call, const char *method, const char *target,
	       const void *body, size_t len, GError **err);

/* Api_builtin.c. */

/* Answers the paths that no other service owns. */
bool api_answer_builtin(struct api_call *call);
/* Tickets from the request service, for the call that asked for them. */
void api_on_tickets(struct api *api, const struct req_tickets *tickets);

/* Api_forward.c. */

/* Sends a call to the leading host, or fails it. */
void api_forward(struct api_call *call);
/* Sends a call to a connected host; its reply is the call's answer. */
void api_forward_to(struct api_call *call, const char *host);
void api_on_peer_message(struct api *api, struct pr_in *in);
void api_reply_to_peer(struct api_call *call);

/* Api_other_dc.c. */

/* Notes which peers lead their data centres. */
void api_record_peer_epoch(struct api *api, struct pr_in *in);
/* Forwards a submission that this data centre's pool can't hold. */
bool api_forward_to_other_dc(struct api_call *call);

#endif
