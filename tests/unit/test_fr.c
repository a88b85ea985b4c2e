#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/fr.h"
#include "tests/unit/run.h"

static msgpack_sbuffer make_body(size_t fields)
{
	msgpack_sbuffer out;
	msgpack_packer pk;
	size_t i;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, fields);
	for (i = 0; i < fields; i++)
		msgpack_pack_uint64(&pk, i * 77777);
	return out;
}

/* Guards against messages that change on the way, at each array head size. */
START_TEST(message_survives_pack_and_split)
{
	static const size_t fields[] = { 0,  1,	    14,	   15,	  16,
					 17, 65534, 65535, 65536, 100000 };
	size_t at, len = 0, size, i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		msgpack_sbuffer body = make_body(fields[i]);
		GByteArray *out = g_byte_array_new();
		struct fr_reader reader;
		struct fr_msg msg;
		unsigned char *frame = NULL;

		ck_assert(
			fr_pack(out, 7, (unsigned char *)body.data, body.size));
		fr_reader_init(&reader);
		/* The input arrives in pieces of odd sizes. */
		for (at = 0; at < out->len && !frame; at += size) {
			const unsigned char *data = out->data + at;

			size = MIN(out->len - at, at % 13 + 1);
			len = size;
			while (len > 0)
				ck_assert(fr_feed(&reader, &data, &len, NULL));
			frame = fr_take(&reader, &len);
		}
		ck_assert_ptr_nonnull(frame);
		ck_assert(fr_split(frame, len, &msg, NULL));
		ck_assert_int_eq(msg.type, 7);
		ck_assert_uint_eq(msg.len, body.size);
		ck_assert_mem_eq(msg.body, body.data, body.size);
		free(frame);
		fr_reader_finish(&reader);
		g_byte_array_unref(out);
		msgpack_sbuffer_destroy(&body);
	}
}
END_TEST

/* Guards against memory being allocated for a length that is not allowed. */
START_TEST(length_is_checked_before_allocation)
{
	static const unsigned char heads[][4] = { { 0, 0, 0, 0 },
						  { 0, 0x40, 0, 1 },
						  { 0xff, 0xff, 0xff, 0xff } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		const unsigned char *data = heads[i];
		struct fr_reader reader;
		GError *err = NULL;
		size_t len = 4;

		fr_reader_init(&reader);
		ck_assert(!fr_feed(&reader, &data, &len, &err));
		ck_assert_int_eq(err->code, CB_E_FRAME_TOO_LARGE);
		ck_assert_ptr_null(reader.body);
		g_error_free(err);
	}
}
END_TEST

/* Guards against small input that makes the decoder allocate or recurse. */
START_TEST(hostile_counts_and_depth_are_refused)
{
	static const struct {
		const char *data;
		size_t len;
	} bad[] = {
		{ "", 0 },
		{ "\xdd\xff\xff\xff\xff", 5 }, /* array without elements */
		{ "\xdf\x7f\xff\xff\xff\x01", 6 }, /* map */
		{ "\xc6\xff\xff\xff\xff\x01", 6 }, /* bin */
		{ "\xd9\x05\x61", 3 }, /* str */
		{ "\xc9\x00\x00\x00\x09\x01\x02", 7 }, /* ext */
		{ "\xc1", 1 },
		{ "\x92\x01", 2 },
		{ "\x91\x01\x01", 3 }, /* bytes left over */
		{ "\xcf\x01", 2 },
	};
	unsigned char deep[FRAME_DEPTH_MAX + 2];
	unsigned char *wide;
	struct fr_msg msg;
	size_t i, n = FRAME_ELEMENTS_MAX;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(!fr_check((const unsigned char *)bad[i].data,
					bad[i].len, NULL),
			      "case %zu", i);
	memset(deep, 0x91, sizeof(deep));
	deep[sizeof(deep) - 1] = 0x01;
	ck_assert(!fr_check(deep, sizeof(deep), NULL));
	ck_assert(fr_check(deep + 1, sizeof(deep) - 1, NULL));
	wide = calloc(1, n + 5);
	wide[0] = 0xdd;
	wide[1] = (unsigned char)(n >> 24);
	wide[2] = (unsigned char)(n >> 16);
	wide[3] = (unsigned char)(n >> 8);
	ck_assert(!fr_check(wide, n + 5, NULL));
	free(wide);
	/* No type, type 0, type of another kind, no array. */
	ck_assert(!fr_split((unsigned char[]){ 0x90 }, 1, &msg, NULL));
	ck_assert(!fr_split((unsigned char[]){ 0x91, 0 }, 2, &msg, NULL));
	ck_assert(!fr_split((unsigned char[]){ 0x91, 0xc0 }, 2, &msg, NULL));
	ck_assert(!fr_split((unsigned char[]){ 0x01 }, 1, &msg, NULL));
}
END_TEST

/* Guards against a check that accepts what msgpack-c refuses, or reads past
 * the end: random bytes, with the boundary types made frequent. */
START_TEST(check_agrees_with_the_library)
{
	GRand *rand = g_rand_new_with_seed(20);
	int round;

	for (round = 0; round < 200000; round++) {
		size_t len = (size_t)g_rand_int_range(rand, 1, 40), i;
		unsigned char *data = malloc(len);
		msgpack_unpacked out;

		for (i = 0; i < len; i++)
			data[i] = g_rand_boolean(rand) ?
					  (unsigned char)g_rand_int(rand) :
					  (unsigned char)g_rand_int_range(
						  rand, 0x90, 0xe0);
		/* A failed unpack after a passed check is the fault. */
		if (fr_check(data, len, NULL))
			ck_assert(fr_unpack(&out, data, len, NULL));
		else
			ck_assert(!fr_unpack(&out, data, len, NULL));
		msgpack_unpacked_destroy(&out);
		free(data);
	}
	g_rand_free(rand);
}
END_TEST

/* Guards against a peer's empty strings that reach readers as null. */
START_TEST(empty_strings_are_not_null)
{
	/* [nil, "", bin "", {"": ""}] */
	static const unsigned char data[] = { 0x94, 0xc0, 0xa0, 0xc4,
					      0x00, 0x81, 0xa0, 0xa0 };
	const msgpack_object *f;
	msgpack_unpacked out;

	ck_assert(fr_unpack(&out, data, sizeof(data), NULL));
	f = out.data.via.array.ptr;
	ck_assert_int_eq(f[0].type, MSGPACK_OBJECT_NIL);
	ck_assert_ptr_nonnull(f[1].via.str.ptr);
	ck_assert_ptr_nonnull(f[2].via.bin.ptr);
	ck_assert_ptr_nonnull(f[3].via.map.ptr[0].key.via.str.ptr);
	ck_assert_ptr_nonnull(f[3].via.map.ptr[0].val.via.str.ptr);
	msgpack_unpacked_destroy(&out);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("frames");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, message_survives_pack_and_split);
	tcase_add_test(tc, length_is_checked_before_allocation);
	tcase_add_test(tc, hostile_counts_and_depth_are_refused);
	tcase_add_test(tc, check_agrees_with_the_library);
	tcase_add_test(tc, empty_strings_are_not_null);
	return run_case("fr", tc);
}
