#ifndef CONTROL_CALLERS_H
#define CONTROL_CALLERS_H

#include "base/kn.h"
#include "fleet/job.h"

/*
 * Requests of callers to the entry host, independent of the protocol. The
 * platform's adapter decodes the requests and encodes the responses.
 */

enum caller_verb { CALLER_SUBMIT, CALLER_STATUS, CALLER_CANCEL, CALLER_COUNT };

struct caller_call {
	struct list_head node; /* for use by the adapter */
	enum caller_verb verb;
	char *host; /* Host header of the request */
	char *path; /* without query */
	char *key; /* API key of the customer, or NULL */
	const void *body; /* of CALLER_SUBMIT */
	size_t body_len;
	int64_t deadline_us; /* the caller waits until then */
	int64_t received_us;
	void *user; /* for use by the adapter */
	void *state; /* for use by the service */
	/* Response. */
	int result; /* CB_OK or an error code */
	const char *detail; /* of an error, or NULL */
	int retry_after_s; /* 0: none given */
	enum job_phase phase; /* of CALLER_STATUS */
	int64_t waiting; /* waiting jobs, of CALLER_COUNT */
};

struct caller_service;

struct caller_service_ops {
	/* Calls answer() exactly once, possibly before call() returns. */
	void (*call)(struct caller_service *service, struct caller_call *call);
	/* The caller disconnected; answer() is not called any more. */
	void (*disconnected)(struct caller_service *service,
			     struct caller_call *call);
	/* Answers all calls in progress at once, as the host ends. */
	void (*expire)(struct caller_service *service);
};

struct caller_service {
	const struct caller_service_ops *ops;
	void (*answer)(struct caller_call *call); /* set by the adapter */
};

#endif
