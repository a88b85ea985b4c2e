#ifndef WIRE_EXCHANGE_H
#define WIRE_EXCHANGE_H

#include "base/kn.h"
#include "wire/http.h"

/*
 * One request and its reply with a service that can be reached in more than
 * one way. The way is behind a vtable: direct, or through another host.
 */

struct exchange_call {
	struct list_head node; /* for the implementation */
	void (*done)(struct exchange_call *call);
	void *user;
	void *impl; /* private to the implementation */
	/*
	 * CB_OK when a whole reply has arrived. Else sent tells whether the
	 * service may have received the request.
	 */
	int result;
	bool sent;
	int status;
	/* Valid until done() returns. */
	const unsigned char *body;
	size_t body_len;
};

struct exchange_request {
	const char *method;
	const char *target;
	const struct http_headers *headers; /* besides the usual, or NULL */
	const void *body; /* JSON, or NULL */
	size_t len;
	int64_t timeout_ms;
	/* By then a service that is well has answered. */
	int64_t expected_ms;
	/* May be sent again after it was perhaps received. */
	bool repeatable;
	/* So long the service may delay the answer until something happens. */
	int64_t wait_ms;
};

struct exchange;

struct exchange_ops {
	/* done() is called once and never from within. request is borrowed. */
	void (*start)(struct exchange *exchange, struct exchange_call *call,
		      const struct exchange_request *request);
	/* Drops a call; done() is not called. */
	void (*cancel)(struct exchange *exchange, struct exchange_call *call);
	/* Closes idle connections, which may have gone silent. */
	void (*refresh)(struct exchange *exchange);
	void (*finish)(struct exchange *exchange);
};

struct exchange {
	const struct exchange_ops *ops;
	struct kn *kn;
};

/* Keep-alive connections to one address, up to max_conns at a time. */
struct exchange *exchange_direct_new(struct kn *kn, const char *addr, int port,
				     unsigned int max_conns);

#endif
