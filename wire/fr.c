#include "wire/fr.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"

/* Reading. */

/* Prepares a reader that waits for the head of the first frame. */
void fr_reader_init(struct fr_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
}

/* Frees a frame that is not complete. */
void fr_reader_finish(struct fr_reader *reader)
{
	free(reader->body);
	fr_reader_init(reader);
}

static size_t get_be(const unsigned char *p, size_t n)
{
	size_t value = 0;

	while (n-- > 0)
		value = value << 8 | *p++;
	return value;
}

/* The size is checked before memory is allocated for the body. */
static bool read_head(struct fr_reader *reader, const unsigned char **data,
		      size_t *len, GError **err)
{
	while (*len > 0 && reader->head_len < FR_HEAD_BYTES) {
		reader->head[reader->head_len++] = *(*data)++;
		(*len)--;
	}
	if (reader->head_len < FR_HEAD_BYTES)
		return true;
	reader->size = get_be(reader->head, FR_HEAD_BYTES);
	if (reader->size == 0 || reader->size > FRAME_MAX_BYTES) {
		g_set_error(err, CB_ERROR, CB_E_FRAME_TOO_LARGE,
			    "frame length %zu is not within 1..%d",
			    reader->size, FRAME_MAX_BYTES);
		return false;
	}
	reader->body = malloc(reader->size);
	if (!reader->body) {
		g_set_error(err, CB_ERROR, CB_E_INTERNAL,
			    "no memory for a frame of %zu bytes", reader->size);
		return false;
	}
	reader->len = 0;
	return true;
}

/*
 * Consumes input up to the end of the current frame, and moves data and len
 * past what was consumed. Call fr_take() after each call. Returns false on a
 * frame length out of bounds; the stream is unusable after that.
 */
bool fr_feed(struct fr_reader *reader, const unsigned char **data, size_t *len,
	     GError **err)
{
	size_t n;

	if (!reader->body && !read_head(reader, data, len, err))
		return false;
	if (!reader->body)
		return true;
	n = MIN(*len, reader->size - reader->len);
	memcpy(reader->body + reader->len, *data, n);
	reader->len += n;
	*data += n;
	*len -= n;
	return true;
}

/*
 * Hands over the current frame if it is complete, NULL otherwise. The caller
 * frees it.
 */
unsigned char *fr_take(struct fr_reader *reader, size_t *len)
{
	unsigned char *body = reader->body;

	if (!body || reader->len < reader->size)
		return NULL;
	*len = reader->size;
	fr_reader_init(reader);
	return body;
}

/* Checking. */

struct walk {
	const unsigned char *p;
	const unsigned char *end;
	size_t elements;
	size_t elements_max;
};

/* Sizes that follow a type byte: a count of count_bytes, fixed payload. */
struct shape {
	size_t count_bytes;
	size_t fixed;
	int items; /* per count: 0 bytes, 1 array elements, 2 map pairs */
};

/* The type bytes 0xc0 to 0xdf, in order; 0xc1 is never used. */
static const struct shape shapes[32] = {
	{ 0, 0, 0 },  { 0, 0, 0 }, { 0, 0, 0 }, { 0, 0, 0 }, /* nil, bool */
	{ 1, 0, 0 },  { 2, 0, 0 }, { 4, 0, 0 }, /* bin */
	{ 1, 1, 0 },  { 2, 1, 0 }, { 4, 1, 0 }, /* ext: count, type, data */
	{ 0, 4, 0 },  { 0, 8, 0 }, /* float */
	{ 0, 1, 0 },  { 0, 2, 0 }, { 0, 4, 0 }, { 0, 8, 0 }, /* uint */
	{ 0, 1, 0 },  { 0, 2, 0 }, { 0, 4, 0 }, { 0, 8, 0 }, /* int */
	{ 0, 2, 0 },  { 0, 3, 0 }, { 0, 5, 0 }, { 0, 9, 0 },
	{ 0, 17, 0 }, /* fixext */
	{ 1, 0, 0 },  { 2, 0, 0 }, { 4, 0, 0 }, /* str */
	{ 2, 0, 1 },  { 4, 0, 1 }, /* array */
	{ 2, 0, 2 },  { 4, 0, 2 }, /* map */
};

/* Decodes one type byte with its count; false when the input ends first. */
static bool next_shape(struct walk *w, size_t *payload, size_t *children)
{
	const struct shape *shape;
	unsigned char byte;
	size_t count;

	*payload = 0;
	*children = 0;
	if (w->p == w->end)
		return false;
	byte = *w->p++;
	if (byte < 0x80 || byte >= 0xe0)
		return true;
	if (byte < 0xa0) {
		*children = (byte & 0x0f) * (byte < 0x90 ? 2 : 1);
		return true;
	}
	if (byte < 0xc0) {
		*payload = byte & 0x1f;
		return true;
	}
	if (byte == 0xc1)
		return false;
	shape = &shapes[byte - 0xc0];
	if ((size_t)(w->end - w->p) < shape->count_bytes)
		return false;
	count = get_be(w->p, shape->count_bytes);
	w->p += shape->count_bytes;
	*payload = shape->fixed + (shape->items ? 0 : count);
	*children = count * (size_t)shape->items;
	return true;
}

/* Walks one element and its children; recursion is bounded by depth. */
static bool walk(struct walk *w, int depth)
{
	size_t payload, children;

	if (depth > FRAME_DEPTH_MAX || ++w->elements > w->elements_max ||
	    !next_shape(w, &payload, &children))
		return false;
	if (payload > (size_t)(w->end - w->p))
		return false;
	w->p += payload;
	/* Each child takes at least one byte. */
	if (children > (size_t)(w->end - w->p))
		return false;
	while (children-- > 0)
		if (!walk(w, depth + 1))
			return false;
	return true;
}

/*
 * Checks that data is exactly one msgpack value within the bounds of depth
 * and element count. msgpack-c allocates arrays by their declared count, so
 * a value must pass this check before it is unpacked.
 */
static bool check(const unsigned char *data, size_t len, size_t elements_max,
		  GError **err)
{
	struct walk w = { data, data + len, 0, elements_max };

	if (walk(&w, 0) && w.p == w.end)
		return true;
	g_set_error(err, CB_ERROR, CB_E_PEER_PROTOCOL,
		    "malformed message at byte %zu of %zu",
		    (size_t)(w.p - data), len);
	return false;
}

bool fr_check(const unsigned char *data, size_t len, GError **err)
{
	return check(data, len, FRAME_ELEMENTS_MAX, err);
}

/* Messages. */

static size_t put_array_head(unsigned char *out, size_t n)
{
	if (n <= 15) {
		out[0] = 0x90 | (unsigned char)n;
		return 1;
	}
	if (n <= 0xffff) {
		out[0] = 0xdc;
		out[1] = (unsigned char)(n >> 8);
		out[2] = (unsigned char)n;
		return 3;
	}
	out[0] = 0xdd;
	out[1] = (unsigned char)(n >> 24);
	out[2] = (unsigned char)(n >> 16);
	out[3] = (unsigned char)(n >> 8);
	out[4] = (unsigned char)n;
	return 5;
}

/* Length of an array's head and its element count; 0 if it is no array. */
static size_t get_array_head(const unsigned char *data, size_t len, size_t *n)
{
	if (len >= 1 && (data[0] & 0xf0) == 0x90) {
		*n = data[0] & 0x0f;
		return 1;
	}
	if (len >= 3 && data[0] == 0xdc) {
		*n = get_be(data + 1, 2);
		return 3;
	}
	if (len >= 5 && data[0] == 0xdd) {
		*n = get_be(data + 1, 4);
		return 5;
	}
	return 0;
}

/*
 * Checks a frame and splits it into its type and the array of the other
 * elements. The array's head is written over the type, in the frame.
 */
bool fr_split(unsigned char *frame, size_t len, struct fr_msg *msg,
	      GError **err)
{
	unsigned char head[5];
	size_t n, at, head_len;

	if (!fr_check(frame, len, err))
		return false;
	at = get_array_head(frame, len, &n);
	if (at == 0 || n == 0 || frame[at] == 0 || frame[at] >= 0x80) {
		g_set_error(err, CB_ERROR, CB_E_PEER_PROTOCOL,
			    "message is not an array that starts with a type");
		return false;
	}
	msg->type = frame[at];
	/* One element less never needs a longer head. */
	head_len = put_array_head(head, n - 1);
	at = at + 1 - head_len;
	memcpy(frame + at, head, head_len);
	msg->body = frame + at;
	msg->len = len - at;
	return true;
}

/*
 * Appends a frame with a message of that type (1..127). body holds one
 * msgpack array. Returns false if it does not, or if the frame would exceed
 * FRAME_MAX_BYTES.
 */
bool fr_pack(GByteArray *out, int type, const unsigned char *body, size_t len)
{
	unsigned char head[FR_HEAD_BYTES + 6];
	size_t n, skip, head_len, size;

	skip = get_array_head(body, len, &n);
	if (skip == 0 || type < 1 || type > 127)
		return false;
	head_len = put_array_head(head + FR_HEAD_BYTES, n + 1);
	head[FR_HEAD_BYTES + head_len++] = (unsigned char)type;
	size = head_len + len - skip;
	if (size > FRAME_MAX_BYTES)
		return false;
	head[0] = (unsigned char)(size >> 24);
	head[1] = (unsigned char)(size >> 16);
	head[2] = (unsigned char)(size >> 8);
	head[3] = (unsigned char)size;
	g_byte_array_append(out, head, (guint)(FR_HEAD_BYTES + head_len));
	g_byte_array_append(out, body + skip, (guint)(len - skip));
	return true;
}

/*
 * msgpack-c gives empty strings a null pointer, which the functions that
 * readers pass it to, such as memchr(), don't allow for any length.
 */
static void point_empty(msgpack_object *object)
{
	uint32_t i;

	switch (object->type) {
	case MSGPACK_OBJECT_STR:
		if (object->via.str.size == 0)
			object->via.str.ptr = "";
		break;
	case MSGPACK_OBJECT_BIN:
		if (object->via.bin.size == 0)
			object->via.bin.ptr = "";
		break;
	case MSGPACK_OBJECT_ARRAY:
		for (i = 0; i < object->via.array.size; i++)
			point_empty(&object->via.array.ptr[i]);
		break;
	case MSGPACK_OBJECT_MAP:
		for (i = 0; i < object->via.map.size; i++) {
			point_empty(&object->via.map.ptr[i].key);
			point_empty(&object->via.map.ptr[i].val);
		}
		break;
	default:
		break;
	}
}

static bool unpack(msgpack_unpacked *out, const unsigned char *data, size_t len,
		   size_t elements_max, GError **err)
{
	size_t offset = 0;

	msgpack_unpacked_init(out);
	if (!check(data, len, elements_max, err))
		return false;
	if (msgpack_unpack_next(out, (const char *)data, len, &offset) !=
	    MSGPACK_UNPACK_SUCCESS) {
		g_set_error(err, CB_ERROR, CB_E_PEER_PROTOCOL,
			    "message of %zu bytes cannot be unpacked", len);
		return false;
	}
	point_empty(&out->data);
	return true;
}

/*
 * Unpacks a checked value. Strings point into data, which must stay valid
 * as long as out, and are never null. The caller destroys out, also on
 * failure.
 */
bool fr_unpack(msgpack_unpacked *out, const unsigned char *data, size_t len,
	       GError **err)
{
	return unpack(out, data, len, FRAME_ELEMENTS_MAX, err);
}

/*
 * The same for a record from the store, whose size the store bounds: it may
 * have as many elements as bytes.
 */
bool fr_unpack_record(msgpack_unpacked *out, const unsigned char *data,
		      size_t len, GError **err)
{
	return unpack(out, data, len, len, err);
}
