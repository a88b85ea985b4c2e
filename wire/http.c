#include "wire/http.h"

#include <string.h>
#include <strings.h>

#define HEADERS_STEP 8

/* Prepares an empty list of headers. */
void http_headers_init(struct http_headers *headers)
{
	headers->items = NULL;
	headers->count = 0;
}

/* Frees all headers and leaves an empty list. */
void http_headers_finish(struct http_headers *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++) {
		g_free(headers->items[i].name);
		g_free(headers->items[i].value);
	}
	g_free(headers->items);
	http_headers_init(headers);
}

/* Appends a copy of one header; repeated names are kept in order. */
void http_headers_add(struct http_headers *headers, const char *name,
		      const char *value)
{
	if (headers->count % HEADERS_STEP == 0)
		headers->items = g_renew(struct http_header, headers->items,
					 headers->count + HEADERS_STEP);
	headers->items[headers->count].name = g_strdup(name);
	headers->items[headers->count].value = g_strdup(value);
	headers->count++;
}

/* Returns the first value of a name, NULL when there is none. */
const char *http_headers_get(const struct http_headers *headers,
			     const char *name)
{
	size_t i;

	for (i = 0; i < headers->count; i++)
		if (strcasecmp(headers->items[i].name, name) == 0)
			return headers->items[i].value;
	return NULL;
}

bool http_header_is_hop(const char *name)
{
	static const char *const hop[] = {
		"connection", "keep-alive", "proxy-connection",
		"te",	      "trailer",    "transfer-encoding",
		"upgrade",    "expect",	    "content-length",
		"host",	      "date",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop); i++)
		if (strcasecmp(hop[i], name) == 0)
			return true;
	return false;
}

/* True for a token of RFC 7230. */
bool http_name_ok(const char *name)
{
	const char *c;

	for (c = name; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("!#$%&'*+-.^_`|~", *c))
			return false;
	return name[0] != '\0';
}

/* False when the value could end its line or hide from a reader. */
bool http_value_ok(const char *value)
{
	const unsigned char *c;

	for (c = (const unsigned char *)value; *c; c++)
		if ((*c < 0x20 && *c != '\t') || *c == 0x7f)
			return false;
	return true;
}

/* True for a path with query that fits into a request line. */
bool http_target_ok(const char *target)
{
	const unsigned char *c;

	for (c = (const unsigned char *)target; *c; c++)
		if (*c <= 0x20 || *c == 0x7f)
			return false;
	return target[0] == '/';
}

/*
 * Malformed headers are left out: values reach this point from backend
 * servers and peers, and one with a line end would forge further headers.
 */
void http_headers_print(const struct http_headers *headers, GString *out)
{
	size_t i;

	if (!headers)
		return;
	for (i = 0; i < headers->count; i++) {
		const struct http_header *h = &headers->items[i];

		if (http_header_is_hop(h->name) || !http_name_ok(h->name) ||
		    !http_value_ok(h->value))
			continue;
		g_string_append(out, h->name);
		g_string_append_len(out, ": ", 2);
		g_string_append(out, h->value);
		g_string_append_len(out, "\r\n", 2);
	}
}
