#ifndef WIRE_HP_H
#define WIRE_HP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * HTTP/1.1 message parser over http-parser. It is separate because
 * http_parser.h and libwebsockets.h can't be included together: both define
 * enum http_status.
 */

struct hp;

/* What is known when the headers have arrived. */
struct hp_head {
	const char *method; /* requests */
	const char *target; /* requests */
	int status; /* replies */
	int major;
	int minor;
	bool has_length;
	bool has_encoding; /* a Transfer-Encoding header */
	bool chunked;
	uint64_t length; /* valid with has_length */
};

enum hp_verdict { HP_GO, HP_NO_BODY, HP_STOP };

struct hp_ops {
	/* A header with a valid name and value. */
	enum hp_verdict (*header)(void *user, const char *name,
				  const char *value);
	enum hp_verdict (*head)(void *user, const struct hp_head *head);
	enum hp_verdict (*body)(void *user, const void *data, size_t len);
};

enum hp_state {
	HP_MORE, /* the message is not complete yet */
	HP_COMPLETE,
	HP_STOPPED, /* a callback returned HP_STOP */
	HP_MALFORMED,
	HP_BAD_FRAMING, /* conflicting or malformed length */
	HP_BAD_ENCODING,
	HP_TOO_LARGE, /* start line or headers */
};

struct hp *hp_new(const struct hp_ops *ops, bool request, void *user);
void hp_free(struct hp *hp);
/* Begins a new message. */
void hp_begin(struct hp *hp);
/* Returns the number of bytes that belong to the message. */
size_t hp_feed(struct hp *hp, const char *data, size_t len,
	       enum hp_state *state);
/* After the message: the connection may carry another one. */
bool hp_keep_alive(const struct hp *hp);
const char *hp_reason(int status);

#endif
