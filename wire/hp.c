#include "wire/hp.h"

#include <string.h>

#include <glib.h>
#include <http_parser.h>

#include "base/limits.h"
#include "wire/http.h"

struct hp {
	const struct hp_ops *ops;
	void *user;
	http_parser parser;
	bool request;
	bool in_value;
	bool complete;
	bool keep_alive;
	enum hp_state error;
	unsigned int header_count;
	GString *target; /* NULL outside of a request's headers */
	GString *name; /* NULL outside of a message's headers */
	GString *value;
};

/* Headers. */

static int fail(struct hp *hp, enum hp_state error)
{
	hp->error = error;
	return -1;
}

static int verdict(struct hp *hp, enum hp_verdict v)
{
	return v == HP_STOP ? fail(hp, HP_STOPPED) : (int)v;
}

/* Hands over the header collected so far, if any. */
static int header_end(struct hp *hp)
{
	if (!hp->in_value)
		return 0;
	hp->in_value = false;
	if (++hp->header_count > HTTP_HEADERS_MAX_COUNT)
		return fail(hp, HP_TOO_LARGE);
	/*
	 * The packaged http-parser accepts spaces in names, so another reader
	 * could understand "Content-Length : 5" differently.
	 */
	if (!http_name_ok(hp->name->str) ||
	    hp->value->len != strlen(hp->value->str) ||
	    !http_value_ok(hp->value->str))
		return fail(hp, HP_MALFORMED);
	return verdict(
		hp, hp->ops->header(hp->user, hp->name->str, hp->value->str));
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct hp *hp = parser->data;

	if (hp->target->len + len > HTTP_TARGET_MAX_BYTES)
		return fail(hp, HP_TOO_LARGE);
	g_string_append_len(hp->target, at, (gssize)len);
	return 0;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct hp *hp = parser->data;

	if (hp->in_value) {
		if (header_end(hp) < 0)
			return -1;
		g_string_truncate(hp->name, 0);
		g_string_truncate(hp->value, 0);
	}
	g_string_append_len(hp->name, at, (gssize)len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct hp *hp = parser->data;

	hp->in_value = true;
	g_string_append_len(hp->value, at, (gssize)len);
	return 0;
}

static void strings_free(struct hp *hp)
{
	if (hp->target)
		g_string_free(hp->target, TRUE);
	if (hp->name)
		g_string_free(hp->name, TRUE);
	if (hp->value)
		g_string_free(hp->value, TRUE);
	hp->target = NULL;
	hp->name = NULL;
	hp->value = NULL;
}

static int on_headers_complete(http_parser *parser)
{
	struct hp *hp = parser->data;
	struct hp_head head = { 0 };
	int result;

	if (header_end(hp) < 0)
		return -1;
	if (hp->request) {
		if (hp->target->len != strlen(hp->target->str) ||
		    !http_target_ok(hp->target->str))
			return fail(hp, HP_MALFORMED);
		head.method = http_method_str(parser->method);
		head.target = hp->target->str;
		/* An offered upgrade is ignored, which HTTP allows. */
		parser->upgrade = 0;
	} else {
		head.status = parser->status_code;
	}
	head.major = parser->http_major;
	head.minor = parser->http_minor;
	head.has_length = (parser->flags & F_CONTENTLENGTH) != 0;
	head.length = parser->content_length;
	head.has_encoding = parser->uses_transfer_encoding;
	head.chunked = (parser->flags & F_CHUNKED) != 0;
	result = verdict(hp, hp->ops->head(hp->user, &head));
	strings_free(hp);
	return result;
}

/* Body. */

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct hp *hp = parser->data;

	return verdict(hp, hp->ops->body(hp->user, at, len));
}

/* Trailers of a chunked message are parsed like headers, and dropped. */
static int on_chunk_header(http_parser *parser)
{
	struct hp *hp = parser->data;

	if (parser->content_length == 0 && !hp->name) {
		hp->name = g_string_new(NULL);
		hp->value = g_string_new(NULL);
	}
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct hp *hp = parser->data;

	strings_free(hp);
	hp->complete = true;
	hp->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_chunk_header = on_chunk_header,
	.on_message_complete = on_message_complete,
};

/* Parser. */

/* Returns a parser for requests, or for replies; begin with hp_begin(). */
struct hp *hp_new(const struct hp_ops *ops, bool request, void *user)
{
	struct hp *hp = g_new0(struct hp, 1);

	hp->ops = ops;
	hp->user = user;
	hp->request = request;
	http_parser_set_max_header_size(HTTP_HEADERS_MAX_BYTES);
	return hp;
}

void hp_free(struct hp *hp)
{
	if (!hp)
		return;
	strings_free(hp);
	g_free(hp);
}

void hp_begin(struct hp *hp)
{
	strings_free(hp);
	http_parser_init(&hp->parser,
			 hp->request ? HTTP_REQUEST : HTTP_RESPONSE);
	hp->parser.data = hp;
	hp->in_value = false;
	hp->complete = false;
	hp->keep_alive = false;
	hp->error = HP_MORE;
	hp->header_count = 0;
	if (hp->request)
		hp->target = g_string_new(NULL);
	hp->name = g_string_new(NULL);
	hp->value = g_string_new(NULL);
}

static enum hp_state error_state(const struct hp *hp)
{
	if (hp->error != HP_MORE)
		return hp->error;
	switch (HTTP_PARSER_ERRNO(&hp->parser)) {
	case HPE_HEADER_OVERFLOW:
		return HP_TOO_LARGE;
	case HPE_UNEXPECTED_CONTENT_LENGTH:
	case HPE_INVALID_CONTENT_LENGTH:
		return HP_BAD_FRAMING;
	case HPE_INVALID_TRANSFER_ENCODING:
		return HP_BAD_ENCODING;
	default:
		return HP_MALFORMED;
	}
}

/*
 * The parser pauses at the end of a message, so the bytes behind it are not
 * looked at. After any state but HP_MORE hp_begin() must come first.
 */
size_t hp_feed(struct hp *hp, const char *data, size_t len,
	       enum hp_state *state)
{
	size_t used = http_parser_execute(&hp->parser, &settings, data, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&hp->parser);

	if (hp->complete && error == HPE_PAUSED)
		*state = HP_COMPLETE;
	else if (error != HPE_OK)
		*state = error_state(hp);
	else
		*state = HP_MORE;
	return used;
}

bool hp_keep_alive(const struct hp *hp)
{
	return hp->keep_alive;
}

/* Returns the reason phrase of a status. */
const char *hp_reason(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return strcmp(text, "<unknown>") == 0 ? "Unknown" : text;
}
