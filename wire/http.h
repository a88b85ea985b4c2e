#ifndef WIRE_HTTP_H
#define WIRE_HTTP_H

#include <stddef.h>

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

#endif
