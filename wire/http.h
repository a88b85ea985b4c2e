#ifndef WIRE_HTTP_H
#define WIRE_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/* One header field; names compare without regard to case. */
struct http_header {
	char *name;
	char *value;
};

struct http_headers {
	struct http_header *items;
	size_t count;
};

void http_headers_init(struct http_headers *headers);
void http_headers_finish(struct http_headers *headers);
void http_headers_add(struct http_headers *headers, const char *name,
		      const char *value);
const char *http_headers_get(const struct http_headers *headers,
			     const char *name);
/* True for headers that concern one connection or that hs and hc add. */
bool http_header_is_hop(const char *name);
bool http_name_ok(const char *name);
bool http_value_ok(const char *value);
bool http_target_ok(const char *target);
/* Appends "Name: value\r\n" for each end-to-end header. */
void http_headers_print(const struct http_headers *headers, GString *out);

#endif
