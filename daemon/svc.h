#ifndef DAEMON_SVC_H
#define DAEMON_SVC_H

#include <jansson.h>

#include "base/kn.h"
#include "policy/docview.h"

/* Names of the services, and the messages that several of them use. */

#define SVC_PEERS "peers"
#define SVC_LEAD "lead"
#define SVC_DOCUMENT "document"
#define SVC_MEMBERS "members"
#define SVC_REQUESTS "requests"
#define SVC_SCHEDULER "scheduler"
#define SVC_CALLERS "callers"
#define SVC_API "api"

enum svc_msg_type {
	SVC_SUBSCRIBE = 1, /* struct kn_msg: subscribes its sender to changes */
	SVC_DOC_CHANGED, /* struct svc_doc */
	SVC_LEAD_CHANGED, /* struct svc_lead */
	SVC_API_CALL, /* struct svc_api_call */
	SVC_API_REPLY, /* struct svc_api_call, returned with the answer */
	/* struct svc_api_call, to the document service: look up the token. */
	SVC_API_AUTH,
	SVC_API_AUTHED, /* struct svc_api_call, returned with the owner */
};

/* From the document service: a new revision has taken effect. */
struct svc_doc {
	struct kn_msg msg;
	struct doc_view *view; /* the message holds a reference */
};

/*
 * From the leadership service, at each change and each renewal. A leader may
 * act only while the monotonic clock is below valid_until_us.
 */
struct svc_lead {
	struct kn_msg msg;
	char leader[NAME_MAX_BYTES]; /* empty when unknown */
	uint64_t epoch;
	bool leading; /* this host leads */
	int64_t valid_until_us;
};

/*
 * A call of the operator API, sent to the service that handles it. The service
 * sets status and answer, a JSON value, and sends the same message back.
 * svc_api_fail() does so for an error.
 */
struct svc_api_call {
	struct kn_msg msg;
	char *method;
	char *path; /* without query, percent-decoded */
	json_t *query; /* object of strings */
	json_t *body; /* or NULL */
	char *token; /* bearer token or NULL */
	char *if_match; /* header If-Match or NULL */
	char *key; /* header Idempotency-Key or NULL */
	char *team; /* owner of the token; NULL if it was not looked up */
	char **allowed_prefixes; /* what the team may change, or NULL */
	int status;
	json_t *answer;
	void *user; /* private to the API */
};

/* Whether the team may change a section; false if no team was looked up. */
bool svc_api_may_change(const struct svc_api_call *call, const char *section);
void svc_subscribe(struct kn_task *service, struct kn_task *from);
void svc_api_answer(struct svc_api_call *call, struct kn_task *from, int status,
		    json_t *answer);
/* Replies {"error": {"code", "name", "text", "detail"}}. */
void svc_api_fail(struct svc_api_call *call, struct kn_task *from, int code,
		  const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
