#ifndef CONTROL_CALLERS_H
#define CONTROL_CALLERS_H

#include "base/kn.h"
#include "fleet/job.h"

/*
 * What callers ask of the entry host, independent of how they say it. The
 * adapter of the platform makes these calls and words the answers.
 */

enum caller_verb { CALLER_SUBMIT, CALLER_STATUS, CALLER_CANCEL, CALLER_COUNT };

struct caller_call {
	struct list_head node; /* for the service that answers */
	enum caller_verb verb;
	char *host; /* of the request */
	char *path; /* without query */
	char *key; /* of the customer, or NULL */
	const void *body; /* submit */
	size_t body_len;
	int64_t deadline_us; /* the caller waits no longer */
	int64_t received_us;
	void *user; /* for the adapter */
	void *state; /* for the service */
	/* Answer. */
	int result; /* CB_OK or why not */
	const char *detail; /* of an error, or NULL */
	int retry_after_s; /* 0: no advice */
	enum job_phase phase; /* status */
	int64_t waiting; /* count */
};

struct caller_service;

struct caller_service_ops {
	/* answer() of the adapter is called once, perhaps from within. */
	void (*call)(struct caller_service *service, struct caller_call *call);
	/* The caller is gone; answer() is not called any more. */
	void (*gone)(struct caller_service *service, struct caller_call *call);
};

struct caller_service {
	const struct caller_service_ops *ops;
	void (*answer)(struct caller_call *call); /* set by the adapter */
};

#endif
