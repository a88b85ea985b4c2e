#ifndef DAEMON_REQUESTS_BACKEND_CLIENT_H
#define DAEMON_REQUESTS_BACKEND_CLIENT_H

#include "base/kn.h"
#include "wire/http.h"

/*
 * Edge to the backend servers, behind a vtable so that another test bench
 * can replace it with one file. Not a task: it is embedded in, or owned by,
 * the task that runs requests, and calls it back on the same thread.
 *
 *	struct backend_client *client = backend_http_new(kn, &observer);
 *
 *	client->ops->add_server(client, "10.0.0.1", 80, 8);
 *	if (!client->ops->start(client, &call, &request, done))
 *		... nothing was sent: unknown server or no free connection
 *	... done(&call) is called once, never from within start()
 *	backend_call_finish(&call);
 */

struct backend_client;

/* The three outcomes of section 3 of docs/design.md. */
enum backend_outcome {
	BACKEND_ANSWERED, /* the whole answer of the backend server */
	BACKEND_NOT_RUN, /* nothing was sent, or the server said it did nothing */
	BACKEND_UNKNOWN, /* a byte may have arrived and no whole answer came */
};

/* Only borrowed during start(). */
struct backend_request {
	const char *addr;
	int port;
	const char *method;
	const char *target;
	const struct http_headers *headers; /* NULL for none */
	const void *body;
	size_t len;
	int64_t timeout_ms; /* covers connecting and the whole answer */
};

/* A request in progress and its answer, in memory of the owner. */
struct backend_call {
	struct list_head node; /* for the owner */
	void *user; /* for the owner */
	void (*done)(struct backend_call *call);
	void *impl; /* private to the implementation */
	enum backend_outcome outcome;
	int result; /* enum cb_result, CB_OK when answered */
	/* The answer: valid until backend_call_finish(). */
	int status;
	struct http_headers headers;
	unsigned char *body;
	size_t body_len;
	int64_t latency_us;
};

/* Signs of a server's state, reported before done(); each may be NULL. */
struct backend_observer {
	/* The server said that it is leaving. */
	void (*leaving)(struct backend_observer *observer, const char *addr,
			int port);
	/* No connection could be made, which a restart looks like too. */
	void (*refused)(struct backend_observer *observer, const char *addr,
			int port);
	/* Connecting timed out, or a request got no whole answer. */
	void (*failed)(struct backend_observer *observer, const char *addr,
		       int port, int result);
	/* A whole answer; latency_us counts from start(). */
	void (*answered)(struct backend_observer *observer, const char *addr,
			 int port, int status, int64_t latency_us);
};

struct backend_client_ops {
	/* Adds a server, or changes the connections it may get at most. */
	void (*add_server)(struct backend_client *client, const char *addr,
			   int port, unsigned int max_conns);
	/* Takes no new calls for it; calls in progress run to their end. */
	void (*remove_server)(struct backend_client *client, const char *addr,
			      int port);
	/* Returns false when nothing was sent and done() will not be called. */
	bool (*start)(struct backend_client *client, struct backend_call *call,
		      const struct backend_request *request,
		      void (*done)(struct backend_call *call));
	/* Drops a call in progress; its server may still run it. */
	void (*cancel)(struct backend_client *client,
		       struct backend_call *call);
	/* Connections to the server now, idle and busy. */
	unsigned int (*connections)(struct backend_client *client,
				    const char *addr, int port);
	/* Frees client; calls in progress are dropped without done(). */
	void (*finish)(struct backend_client *client);
};

/* Base of each implementation. */
struct backend_client {
	const struct backend_client_ops *ops;
	struct kn *kn;
	struct backend_observer *observer;
};

/* HTTP/1.1 over pools of kept connections. observer must outlive it. */
struct backend_client *backend_http_new(struct kn *kn,
					struct backend_observer *observer);
/* Frees the answer of an ended call. */
void backend_call_finish(struct backend_call *call);

#endif
