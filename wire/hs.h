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
	struct http_headers headers;
	unsigned char *body; /* NULL when empty */
	size_t body_len;
	void *user; /* for the owner of the server */
	void *conn; /* private to hs */
};

struct hs_ops {
	/* A whole request has arrived; hs_reply() must follow once. */
	void (*request)(struct hs_server *server, struct hs_request *req);
	/* The caller closed the connection before the reply. */
	void (*gone)(struct hs_server *server, struct hs_request *req);
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
};

bool hs_init(struct hs_server *server, struct kn *kn, const struct hs_ops *ops,
	     const char *addr, int port, GError **err);
void hs_finish(struct hs_server *server);
/* From now on each reply carries "Connection: close". */
void hs_drain(struct hs_server *server);
const char *hs_header(const struct hs_request *req, const char *name);
/*
 * Sends a whole reply and frees the request. Content-Length, Connection and
 * Date are added here; body may be NULL with length 0.
 */
void hs_reply(struct hs_request *req, int status,
	      const struct http_headers *headers, const void *body, size_t len);

#endif
