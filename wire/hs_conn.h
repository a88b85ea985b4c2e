#ifndef WIRE_HS_CONN_H
#define WIRE_HS_CONN_H

#include "wire/hp.h"
#include "wire/hs.h"

/* Shared by the files of the HTTP server; not for other modules. */

enum hs_state {
	HS_IDLE, /* no byte of the next request has arrived */
	HS_HEAD,
	HS_BODY,
	HS_BUSY, /* the owner works on the request */
	HS_WRITE, /* the kernel has not taken the whole reply yet */
	HS_LINGER, /* last reply sent; bytes of the caller are discarded */
};

struct hs_conn {
	struct list_head node;
	struct hs_server *server;
	struct lws *wsi;
	enum hs_state state;
	bool in_callback; /* lws is on the stack above */
	bool dead;
	bool refused; /* beyond conns_max: gets its refusal only */
	bool close_after; /* the reply is the last one */
	bool head; /* the request is HEAD */
	bool http10;
	bool expect;
	int refuse; /* result code found while parsing, CB_OK for none */
	int64_t deadline_us;
	struct hp *hp;
	struct hs_request *req;
	size_t body_declared;
	size_t behind; /* bytes of this read behind the current request */
	GByteArray *pending; /* pipelined bytes behind the current request */
	char *out;
	size_t out_len;
	size_t out_off;
	size_t discarded;
};

/* hs.c */
struct hs_conn *hs_conn_new(struct hs_server *server, struct lws *wsi);
void hs_conn_close(struct hs_conn *conn);
bool hs_conn_unread(const struct hs_conn *conn);
void hs_conn_deadline(struct hs_conn *conn, int delay_ms);
/* hs_listen.c */
bool hs_listen(struct hs_server *server, const char *addr, int port,
	       GError **err);
void hs_unlisten(struct hs_server *server);
void hs_accept(struct hs_server *server);
/* hs_parse.c */
extern const struct hp_ops hs_parse_ops;
void hs_feed(struct hs_conn *conn, const char *data, size_t len);
void hs_request_free(struct hs_conn *conn);
/* hs_reply.c */
void hs_refuse(struct hs_conn *conn, int code);
void hs_flush(struct hs_conn *conn);
void hs_send_busy(int fd);

#endif
