#ifndef DAEMON_ADMIN_API_INT_H
#define DAEMON_ADMIN_API_INT_H

#include "base/set.h"
#include "daemon/requests/req.h"
#include "daemon/svc.h"
#include "wire/hs_stop.h"
#include "wire/pr.h"
#include "wire/stop_log.h"

/* Private to the administration API. */

struct api {
	struct kn_task task;
	const struct set *set;
	struct hs_server server;
	bool listening;
	struct kn_task *peers; /* NULL if there is no such service */
	struct kn_task *lead; /* NULL if there is none: this host leads */
	struct doc_view *view; /* NULL until a document is known */
	char leader[NAME_MAX_BYTES];
	bool leading;
	/* For each peer of the settings its leader epoch, 0 if none. */
	uint64_t peer_epochs[PEERS_MAX];
	struct list_head calls; /* struct api_call */
	struct hs_stop stop;
	struct stop_log log;
	bool finishing;
	bool refusing; /* the services are no longer called */
	uint64_t last_id; /* last forward_id or ticket_id given to a call */
	struct ctr requests;
	struct ctr errors;
};

/* A call in progress, from an operator or forwarded by a peer. */
struct api_call {
	struct svc_api_call call;
	struct list_head node;
	struct api *api;
	struct hs_request *req; /* NULL: from a peer, or disconnected */
	bool ended; /* answered by the stop; the service's answer is dropped */
	char *target; /* path and query as received */
	char forwarded_to[NAME_MAX_BYTES]; /* host name */
	uint64_t ticket_id; /* id of the ticket request it waits for, or 0 */
	/* For a call that is forwarded to a leader. */
	uint64_t forward_id; /* 0: no reply is awaited */
	struct kn_timer timer; /* time limit of the reply */
	/* For a call that a peer forwarded. */
	char peer_host[NAME_MAX_BYTES]; /* empty: not from a peer */
	bool from_other_dc; /* the peer is in another data centre */
	uint64_t remote_id; /* forward_id of the peer */
};

/* Functions of api.c. */

struct api_call *api_call_new(struct api *api);
void api_call_free(struct api_call *call);
void api_dispatch(struct api_call *call);
void api_send_answer(struct api_call *call);

/* Functions of api_parse.c. */

/* Sets method, target, path, query and body. Returns false and sets err. */
bool api_parse(struct api_call *call, const char *method, const char *target,
	       const void *body, size_t len, GError **err);

/* Functions of api_builtin.c. */

/* Answers a path that the API itself handles; false for any other path. */
bool api_answer_builtin(struct api_call *call);
/* Answers the call that asked for these tickets of the request service. */
void api_on_tickets(struct api *api, const struct req_tickets *tickets);

/* Functions of api_forward.c. */

/* Forwards a call to the leading host, or fails it if there is none. */
void api_forward(struct api_call *call);
/* Forwards a call to a connected host, whose reply becomes the answer. */
void api_forward_to(struct api_call *call, const char *host);
void api_on_peer_message(struct api *api, struct pr_in *in);
void api_reply_to_peer(struct api_call *call);

/* Functions of api_other_dc.c. */

/* Stores the leader epoch from a peer's heartbeat. */
void api_record_peer_epoch(struct api *api, struct pr_in *in);
/*
 * Forwards a submission that never fits into this data centre's pool to another
 * data centre that could run it. Returns false if the answer is to be sent.
 */
bool api_forward_to_other_dc(struct api_call *call);

#endif
