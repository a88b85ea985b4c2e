#include <string.h>

#include "wire/pr_int.h"

static void pack_str(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

/* Takes over a string of up to NAME_MAX_BYTES - 1 bytes without NUL. */
static bool get_name(const msgpack_object *object, char *out)
{
	const msgpack_object_str *str = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || str->size == 0 ||
	    str->size >= NAME_MAX_BYTES || memchr(str->ptr, 0, str->size))
		return false;
	memcpy(out, str->ptr, str->size);
	out[str->size] = '\0';
	return true;
}

static bool get_uint(const msgpack_object *object, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = object->via.u64;
	return true;
}

static bool get_int(const msgpack_object *object, int64_t *out)
{
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*out = object->via.i64;
		return true;
	}
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*out = (int64_t)object->via.u64;
	return true;
}

/* Later versions may append fields, so more than needed are allowed. */
static bool is_array(const msgpack_object *body, uint32_t fields)
{
	return body->type == MSGPACK_OBJECT_ARRAY &&
	       body->via.array.size >= fields;
}

/* Packs [version, host, dc, incarnation, wall_us, doc revision]. */
void pr_hello_pack(msgpack_sbuffer *out, const struct pr_hello *hello)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 6);
	msgpack_pack_int64(&pk, hello->version);
	pack_str(&pk, hello->host);
	pack_str(&pk, hello->dc);
	msgpack_pack_uint64(&pk, hello->incarnation);
	msgpack_pack_int64(&pk, hello->wall_us);
	msgpack_pack_int64(&pk, hello->doc_revision);
}

/* Returns false if a field is missing or of another type. */
bool pr_hello_unpack(const msgpack_object *body, struct pr_hello *hello)
{
	const msgpack_object *f;

	if (!is_array(body, 6))
		return false;
	f = body->via.array.ptr;
	return get_int(&f[0], &hello->version) &&
	       get_name(&f[1], hello->host) && get_name(&f[2], hello->dc) &&
	       get_uint(&f[3], &hello->incarnation) &&
	       get_int(&f[4], &hello->wall_us) &&
	       get_int(&f[5], &hello->doc_revision);
}

/*
 * Packs [incarnation, wall_us, doc revision, leader epoch, flags, mono_us,
 * echo_us, held_us].
 */
void pr_heartbeat_pack(msgpack_sbuffer *out, const struct pr_heartbeat *beat)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 8);
	msgpack_pack_uint64(&pk, beat->incarnation);
	msgpack_pack_int64(&pk, beat->wall_us);
	msgpack_pack_int64(&pk, beat->doc_revision);
	msgpack_pack_uint64(&pk, beat->epoch);
	msgpack_pack_uint64(&pk, beat->flags);
	msgpack_pack_int64(&pk, beat->mono_us);
	msgpack_pack_int64(&pk, beat->echo_us);
	msgpack_pack_int64(&pk, beat->held_us);
}

/* Returns false if a field is missing or of another type. */
bool pr_heartbeat_unpack(const msgpack_object *body, struct pr_heartbeat *beat)
{
	const msgpack_object *f;

	if (!is_array(body, 8))
		return false;
	f = body->via.array.ptr;
	return get_uint(&f[0], &beat->incarnation) &&
	       get_int(&f[1], &beat->wall_us) &&
	       get_int(&f[2], &beat->doc_revision) &&
	       get_uint(&f[3], &beat->epoch) && get_uint(&f[4], &beat->flags) &&
	       get_int(&f[5], &beat->mono_us) &&
	       get_int(&f[6], &beat->echo_us) && get_int(&f[7], &beat->held_us);
}
