#ifndef WIRE_HC_CONN_H
#define WIRE_HC_CONN_H

#include "wire/hc.h"
#include "wire/hp.h"

/* Shared by the files of the HTTP client; not for other modules. */

struct hc_conn {
	struct list_head node; /* idle or busy list of the pool */
	struct hc_pool *pool;
	struct lws *wsi; /* NULL when connecting failed at once */
	struct hc_call *call; /* NULL when idle */
	bool connected;
	int64_t deadline_us; /* of the call, or of an idle connection */
	int64_t connect_deadline_us;
	char *out; /* request; NULL when the kernel has taken it all */
	size_t out_len;
	size_t out_off;
	/* Reply being parsed. */
	struct hp *hp;
	bool head; /* the request was HEAD */
	bool begun; /* a byte of the reply has arrived */
	bool complete;
	int refuse; /* result code found while parsing, CB_OK for none */
	size_t body_cap;
};

/* hc_parse.c */
extern const struct hp_ops hc_parse_ops;
void hc_reply_begin(struct hc_conn *conn);
int hc_reply_feed(struct hc_conn *conn, const char *data, size_t len,
		  size_t *used);

#endif
