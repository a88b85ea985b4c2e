#ifndef DAEMON_REQUESTS_REQ_H
#define DAEMON_REQUESTS_REQ_H

#include "base/kn.h"
#include "base/set.h"
#include "policy/idem.h"
#include "wire/http.h"
#include "wire/kv.h"

/*
 * The "requests" service: queues the requests of callers and runs them at
 * backend servers. It handles idempotency keys, retries, forwarding to other
 * hosts and the slots of the servers.
 */

enum req_msg_type {
	REQ_SUBMIT = 2000, /* struct req_call, from "callers" */
	REQ_REPLY, /* struct req_call, returned with the answer */
	REQ_CANCEL, /* struct req_cancel */
	REQ_TICKETS, /* struct req_tickets, returned with the tickets */
	REQ_MEMBERS, /* struct req_members: the complete server list */
	REQ_LEAVING, /* struct req_leaving, to and from "members" */
};

#define REQ_REASON_REFUSED "refused-connection" /* req_leaving.reason */

/* A request and its answer. */
struct req_call {
	struct kn_msg msg;
	uint64_t id; /* chosen by the sender */
	char *method;
	char *target; /* as sent to the backend server */
	char service[NAME_MAX_BYTES];
	char customer[NAME_MAX_BYTES];
	char *key; /* idempotency key or ticket; NULL for none */
	int class_; /* enum doc_class; -1: the default of the service */
	int64_t deadline_ms; /* 0: the default of the service */
	struct http_headers headers;
	unsigned char *body;
	size_t body_len;
	/* The answer. */
	enum idem_outcome outcome;
	int result;
	int status;
	int retry_after_s; /* 0: none */
	struct http_headers reply_headers;
	unsigned char *reply;
	size_t reply_len;
};

/* The caller no longer waits for the answer to request id. */
struct req_cancel {
	struct kn_msg msg;
	uint64_t id;
};

/* Request for count tickets, which the service adds to the array. */
struct req_tickets {
	struct kn_msg msg;
	uint64_t id;
	unsigned int count;
	GPtrArray *tickets; /* of char * */
};

/* A backend server that the platform's list or the settings name. */
struct req_member {
	char service[NAME_MAX_BYTES]; /* "*": any service */
	char addr[ADDR_MAX_BYTES];
	int port;
	bool leaving;
	bool configured;
};

/* The complete list of servers; it replaces the earlier one. */
struct req_members {
	struct kn_msg msg;
	GArray *members;
};

/* Reports that a server is leaving or refuses connections. */
struct req_leaving {
	struct kn_msg msg;
	char addr[ADDR_MAX_BYTES];
	int port;
	char reason[NAME_MAX_BYTES];
};

struct req_call *req_call_new(void);
void req_call_free(struct req_call *call);

/*
 * Creates the service. Without a store (kv is NULL), keys that callers choose
 * are refused. incarnation must be greater at each start of a host. Add the
 * service after "peers", "lead" and "document", each of which is optional, and
 * before "members" and "callers".
 */
struct kn_task *req_new(struct kn *kn, const struct set *set, struct kv *kv,
			uint64_t incarnation);

#endif
