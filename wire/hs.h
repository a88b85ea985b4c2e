#ifndef WIRE_HS_H
#define WIRE_HS_H

#include "base/kn.h"
#include "wire/http.h"

struct hs_server;

/* A whole request. Valid until hs_reply() or until gone() returns. */
struct hs_request {
	struct list_head node;
	struct hs_server *server;
	char *method;
	char *target; /* path and query, as sent */
	struct http_headers headers; /* those that hs_keep_header() names */
	unsigned char *body; /* NULL when empty */
	size_t body_len;
	void *user; /* for the owner of the server */
	void *conn; /* private to hs */
};

struct hs_ops {
	/* A whole request has arrived; hs_reply() must follow once. */
	void (*request)(struct hs_server *server, struct hs_request *req);
	/*
	 * The caller closed the connection before the reply. A caller that
	 * closes only its sending side counts as gone too: the event loop
	 * reports both alike.
	 */
	void (*gone)(struct hs_server *server, struct hs_request *req);
	/*
	 * A connection has ended before the kernel took all of its reply;
	 * unsent is the number of bytes that are lost. May be NULL.
	 */
	void (*reply_lost)(struct hs_server *server, size_t unsent);
};

/* A listening HTTP/1.1 server; embedded in the task that owns it. */
struct hs_server {
	const struct hs_ops *ops;
	struct kn *kn;
	struct lws_vhost *vhost;
	struct list_head conns;
	size_t conn_count;
	int port; /* the bound port, also when port 0 was asked for */
	bool draining;
	/* Set from base/limits.h by hs_init(); the owner may change them. */
	size_t conns_max;
	size_t body_max_bytes;
	size_t bodies_max_bytes; /* over all connections */
	int header_timeout_ms;
	int body_timeout_ms;
	int idle_timeout_ms;
	int sweep_ms; /* timeouts may be this late */
	/* private to hs */
	struct lws *listen_wsi;
	int listen_fd;
	int spare_fd;
	size_t bodies_bytes;
	uint64_t accepted;
	GPtrArray *keep;
	struct kn_timer sweep;
	int64_t sweep_us; /* when it runs, INT64_MAX for never */
};

bool hs_init(struct hs_server *server, struct kn *kn, const struct hs_ops *ops,
	     const char *addr, int port, GError **err);
/*
 * Closes everything; gone() is called for each request in progress. Not to
 * be called from within request() or gone().
 */
void hs_finish(struct hs_server *server);
/* Requests keep this header besides the usual ones. */
void hs_keep_header(struct hs_server *server, const char *name);
/* From now on each reply carries "Connection: close". */
void hs_drain(struct hs_server *server);
/* Refuses the requests of which only a part has arrived. */
void hs_refuse_unfinished(struct hs_server *server);
/*
 * Connections that receive a request, wait for its reply or still send it. A
 * graceful stop goes on until there are none: a reply handed over may not
 * have been sent yet.
 */
size_t hs_active(const struct hs_server *server);
/*
 * The same, but of connections behind the first so many that were accepted only
 * those that wait for a reply or send it.
 */
size_t hs_active_of(const struct hs_server *server, uint64_t accepted);
const char *hs_header(const struct hs_request *req, const char *name);
/*
 * Sends a whole reply and frees the request. Content-Length, Connection and
 * Date are added here; body may be NULL with length 0. Headers that concern
 * one connection only are left out.
 */
void hs_reply(struct hs_request *req, int status,
	      const struct http_headers *headers, const void *body, size_t len);
/*
 * Replies with the status of a result code, the headers Chivebank-Result
 * and Chivebank-Outcome, Retry-After unless retry_after_s is 0, and the body
 * {"error":{"code","name","text"}}. detail may be NULL for the usual text.
 */
void hs_reply_error(struct hs_request *req, int code, const char *detail,
		    int retry_after_s);

#endif
