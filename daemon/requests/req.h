#ifndef DAEMON_REQUESTS_REQ_H
#define DAEMON_REQUESTS_REQ_H

#include "base/kn.h"
#include "base/set.h"
#include "policy/idem.h"
#include "wire/http.h"
#include "wire/kv.h"

/* The service "requests": queue, keys, retries, forwards, slots. */

enum req_msg_type {
	REQ_SUBMIT = 2000, /* struct req_call */
	REQ_REPLY, /* struct req_call, sent back with the answer */
	REQ_CANCEL, /* struct req_cancel: the caller no longer waits */
	REQ_TICKETS, /* struct req_tickets, sent back filled */
	REQ_MEMBERS, /* struct req_members: the whole list */
	REQ_LEAVING, /* struct req_leaving, in both directions */
};

#define REQ_REASON_REFUSED "refused-connection" /* of a req_leaving */

/* A request and its answer. */
struct req_call {
	struct kn_msg msg;
	uint64_t id; /* of the sender's choice */
	char *method;
	char *target; /* as the backend server gets it */
	char service[NAME_MAX_BYTES];
	char customer[NAME_MAX_BYTES];
	char *key; /* or NULL */
	int class_; /* enum doc_class, -1: the service's */
	int64_t deadline_ms; /* 0: the service's */
	struct http_headers headers;
	unsigned char *body;
	size_t body_len;
	/* Answer. */
	enum idem_outcome outcome;
	int result;
	int status;
	int retry_after_s; /* 0: none */
	struct http_headers reply_headers;
	unsigned char *reply;
	size_t reply_len;
};

struct req_cancel {
	struct kn_msg msg;
	uint64_t id;
};

struct req_tickets {
	struct kn_msg msg;
	uint64_t id;
	unsigned int count;
	GPtrArray *tickets; /* of char * */
};

/* A server of the data centre, from the platform's list or the settings. */
struct req_member {
	char service[NAME_MAX_BYTES]; /* "*": any service */
	char addr[ADDR_MAX_BYTES];
	int port;
	bool leaving;
	bool configured;
};

struct req_members {
	struct kn_msg msg;
	GArray *members;
};

struct req_leaving {
	struct kn_msg msg;
	char addr[ADDR_MAX_BYTES];
	int port;
	char reason[NAME_MAX_BYTES];
};

struct req_call *req_call_new(void);
void req_call_free(struct req_call *call);

/*
 * kv may be NULL: keys that callers choose are then refused. Incarnations
 * of a host must grow from start to start. Add it after "peers", "lead"
 * and "document" (each optional) and before "members" and "callers".
 */
struct kn_task *req_new(struct kn *kn, const struct set *set, struct kv *kv,
			uint64_t incarnation);

#endif
