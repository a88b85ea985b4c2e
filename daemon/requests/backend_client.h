#ifndef DAEMON_REQUESTS_BACKEND_CLIENT_H
#define DAEMON_REQUESTS_BACKEND_CLIENT_H

#include "base/kn.h"
#include "wire/http.h"

/*
 * Client for the backend servers. Callers use it through a table of functions,
 * so that a test bench can substitute an implementation in one file. It is not
 * a task: the task that runs requests owns it and gets its callbacks on the
 * same thread.
 *
 *	struct backend_client *client = backend_http_new(kn, &observer);
 *
 *	client->ops->add_server(client, "10.0.0.1", 80, 8);
 *	if (!client->ops->start(client, &call, &request, done))
 *		... nothing was sent: unknown server or no free connection
 *	... done(&call) is called exactly once, never from within start()
 *	backend_call_finish(&call);
 */

struct backend_client;

/* The three outcomes of section 3 of docs/design.md. */
enum backend_outcome {
	BACKEND_ANSWERED, /* the complete response was received */
	/* Nothing was sent, or the server answered that it did not execute. */
	BACKEND_NOT_RUN,
	/* A byte may have arrived, and no complete response was received. */
	BACKEND_UNKNOWN,
};

/* Only read during start(); the caller keeps ownership. */
struct backend_request {
	const char *addr;
	int port;
	const char *method;
	const char *target;
	const struct http_headers *headers; /* NULL for none */
	const void *body;
	size_t len;
	int64_t timeout_ms; /* from connecting to the end of the response */
};

/* A request in progress and its response; the caller allocates it. */
struct backend_call {
	struct list_head node; /* for use by the caller */
	void *user; /* for use by the caller */
	void (*done)(struct backend_call *call);
	void *impl; /* private to the implementation */
	enum backend_outcome outcome;
	int result; /* enum cb_result, CB_OK when answered */
	/* The response, valid until backend_call_finish(). */
	int status;
	struct http_headers headers;
	unsigned char *body;
	size_t body_len;
	int64_t latency_us;
};

/*
 * Callbacks on the state of a server. They run before done() of the call; each
 * may be NULL.
 */
struct backend_observer {
	/* A response had the header Chivebank-Leaving. */
	void (*leaving)(struct backend_observer *observer, const char *addr,
			int port);
	/* No connection could be made, as also happens during a restart. */
	void (*refused)(struct backend_observer *observer, const char *addr,
			int port);
	/* Connecting timed out, or a response was missing or incomplete. */
	void (*failed)(struct backend_observer *observer, const char *addr,
		       int port, int result);
	/* A complete response; latency_us counts from start(). */
	void (*answered)(struct backend_observer *observer, const char *addr,
			 int port, int status, int64_t latency_us);
};

struct backend_client_ops {
	/* Adds a server, or changes its maximum number of connections. */
	void (*add_server)(struct backend_client *client, const char *addr,
			   int port, unsigned int max_conns);
	/* Refuses new calls to the server; calls in progress continue. */
	void (*remove_server)(struct backend_client *client, const char *addr,
			      int port);
	/* Returns false if nothing was sent; done() is then not called. */
	bool (*start)(struct backend_client *client, struct backend_call *call,
		      const struct backend_request *request,
		      void (*done)(struct backend_call *call));
	/*
	 * Ends a call in progress without done(); the server may still execute
	 * the request. Returns whether a byte may have arrived at the server;
	 * does nothing, and returns false, if the call has ended.
	 */
	bool (*cancel)(struct backend_client *client,
		       struct backend_call *call);
	/* Current number of connections to the server, idle and busy. */
	unsigned int (*connections)(struct backend_client *client,
				    const char *addr, int port);
	/* Cancels the calls in progress and frees client. */
	void (*finish)(struct backend_client *client);
};

/* Base of every implementation, which has it as its first member. */
struct backend_client {
	const struct backend_client_ops *ops;
	struct kn *kn;
	struct backend_observer *observer;
};

/*
 * HTTP/1.1 over pools of persistent connections. observer may be NULL, and
 * must outlive the client.
 */
struct backend_client *backend_http_new(struct kn *kn,
					struct backend_observer *observer);
/* Frees the response of a call that has ended. */
void backend_call_finish(struct backend_call *call);

#endif
