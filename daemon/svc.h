#ifndef DAEMON_SVC_H
#define DAEMON_SVC_H

#include <jansson.h>

#include "base/kn.h"
#include "policy/docview.h"

/* Names of the services, and the messages that more than one of them use. */

#define SVC_PEERS "peers"
#define SVC_LEAD "lead"
#define SVC_DOCUMENT "document"
#define SVC_MEMBERS "members"
#define SVC_REQUESTS "requests"
#define SVC_SCHEDULER "scheduler"
#define SVC_CALLERS "callers"
#define SVC_API "api"

enum svc_msg_type {
	SVC_SUBSCRIBE = 1, /* struct kn_msg: send me your changes */
	SVC_DOC_CHANGED, /* struct svc_doc */
	SVC_LEAD_CHANGED, /* struct svc_lead */
	SVC_API_CALL, /* struct svc_api_call */
	SVC_API_REPLY, /* struct svc_api_call, sent back with the answer */
	SVC_API_AUTH, /* struct svc_api_call, to the document service */
	SVC_API_AUTHED, /* struct svc_api_call, sent back with team and may */
};

/* From the document service: a new revision is in force. */
struct svc_doc {
	struct kn_msg msg;
	struct doc_view *view; /* the message holds a reference */
};

/*
 * From the leadership service, at each change and each renewal. A leader
 * acts only while the monotonic clock is below valid_until_us.
 */
struct svc_lead {
	struct kn_msg msg;
	char leader[NAME_MAX_BYTES]; /* empty when unknown */
	uint64_t epoch;
	bool leading; /* this host leads */
	int64_t valid_until_us;
};

/*
 * An operator's call, sent by the API to the service that answers it. The
 * service fills status and answer and sends the same message back. answer
 * is one JSON value; for an error use svc_api_fail().
 */
struct svc_api_call {
	struct kn_msg msg;
	char *method;
	char *path; /* without query, decoded */
	json_t *query; /* object of strings */
	json_t *body; /* NULL when there is none */
	char *token; /* bearer token or NULL */
	char *if_match; /* or NULL */
	char *key; /* Idempotency-Key or NULL */
	char *team; /* whose token it is; NULL when it was not looked up */
	char **may; /* prefixes of sections that the team may change, or NULL */
	int status;
	json_t *answer;
	void *user; /* private to the API */
};

/* Whether the call's team may change a section; false without a team. */
bool svc_api_may_change(const struct svc_api_call *call, const char *section);
void svc_subscribe(struct kn_task *service, struct kn_task *from);
void svc_api_answer(struct svc_api_call *call, struct kn_task *from, int status,
		    json_t *answer);
/* Answers {"error": {"code", "name", "text", "detail"}}. */
void svc_api_fail(struct svc_api_call *call, struct kn_task *from, int code,
		  const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
