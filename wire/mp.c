#include "wire/mp.h"

#include <string.h>

#include <glib.h>

/* Packing. */

void mp_begin(struct mp_out *out, size_t elements)
{
	msgpack_sbuffer_init(&out->buf);
	msgpack_packer_init(&out->pk, &out->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&out->pk, elements);
}

void mp_end(struct mp_out *out)
{
	msgpack_sbuffer_destroy(&out->buf);
}

void mp_uint(struct mp_out *out, uint64_t value)
{
	msgpack_pack_uint64(&out->pk, value);
}

void mp_int(struct mp_out *out, int64_t value)
{
	msgpack_pack_int64(&out->pk, value);
}

void mp_array(struct mp_out *out, size_t elements)
{
	msgpack_pack_array(&out->pk, elements);
}

void mp_str(struct mp_out *out, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	if (!text) {
		msgpack_pack_nil(&out->pk);
		return;
	}
	msgpack_pack_str(&out->pk, len);
	msgpack_pack_str_body(&out->pk, text, len);
}

void mp_bin(struct mp_out *out, const void *data, size_t len)
{
	msgpack_pack_bin(&out->pk, len);
	if (len > 0)
		msgpack_pack_bin_body(&out->pk, data, len);
}

/* Packs end-to-end headers as one array name, value, name, value... */
void mp_headers(struct mp_out *out, const struct http_headers *headers)
{
	size_t i;

	mp_array(out, headers->count * 2);
	for (i = 0; i < headers->count; i++) {
		mp_str(out, headers->items[i].name);
		mp_str(out, headers->items[i].value);
	}
}

/* Reading. */

void mp_open(struct mp_in *in, const msgpack_object *array)
{
	in->ok = array->type == MSGPACK_OBJECT_ARRAY;
	in->at = in->ok ? array->via.array.ptr : NULL;
	in->left = in->ok ? array->via.array.size : 0;
}

static const msgpack_object *next(struct mp_in *in)
{
	if (!in->ok || in->left == 0) {
		in->ok = false;
		return NULL;
	}
	in->left--;
	return in->at++;
}

uint64_t mp_get_uint(struct mp_in *in)
{
	const msgpack_object *obj = next(in);

	if (obj && obj->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return obj->via.u64;
	in->ok = false;
	return 0;
}

int64_t mp_get_int(struct mp_in *in)
{
	const msgpack_object *obj = next(in);

	if (obj && obj->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return obj->via.i64;
	if (obj && obj->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    obj->via.u64 <= INT64_MAX)
		return (int64_t)obj->via.u64;
	in->ok = false;
	return 0;
}

static bool is_text(const msgpack_object *obj)
{
	return obj->type == MSGPACK_OBJECT_STR &&
	       (obj->via.str.size == 0 ||
		!memchr(obj->via.str.ptr, '\0', obj->via.str.size));
}

void mp_get_text(struct mp_in *in, char *out, size_t size)
{
	const msgpack_object *obj = next(in);

	out[0] = '\0';
	if (obj && obj->type == MSGPACK_OBJECT_NIL)
		return;
	if (!obj || !is_text(obj) || obj->via.str.size >= size) {
		in->ok = false;
		return;
	}
	/* The pointer of an empty string is NULL. */
	if (obj->via.str.size > 0)
		memcpy(out, obj->via.str.ptr, obj->via.str.size);
	out[obj->via.str.size] = '\0';
}

char *mp_get_str(struct mp_in *in)
{
	const msgpack_object *obj = next(in);

	if (obj && is_text(obj))
		return obj->via.str.size > 0 ?
			       g_strndup(obj->via.str.ptr, obj->via.str.size) :
			       g_strdup("");
	if (!obj || obj->type != MSGPACK_OBJECT_NIL)
		in->ok = false;
	return NULL;
}

const void *mp_get_bin(struct mp_in *in, size_t *len)
{
	const msgpack_object *obj = next(in);

	*len = 0;
	if (!obj || obj->type != MSGPACK_OBJECT_BIN) {
		in->ok = false;
		return NULL;
	}
	*len = obj->via.bin.size;
	return obj->via.bin.ptr;
}

void mp_get_array(struct mp_in *in, struct mp_in *inner)
{
	const msgpack_object *obj = next(in);
	static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };

	mp_open(inner, obj ? obj : &nil);
	in->ok = in->ok && inner->ok;
}

/* Reads headers into an initialized list, for the caller to finish. */
void mp_get_headers(struct mp_in *in, struct http_headers *headers)
{
	struct mp_in inner;
	char *name, *value;

	mp_get_array(in, &inner);
	while (inner.ok && inner.left > 0) {
		name = mp_get_str(&inner);
		value = mp_get_str(&inner);
		if (inner.ok && name && value && http_name_ok(name) &&
		    http_value_ok(value))
			http_headers_add(headers, name, value);
		else
			inner.ok = false;
		g_free(name);
		g_free(value);
	}
	in->ok = in->ok && inner.ok;
}
