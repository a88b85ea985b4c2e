#ifndef WIRE_MP_H
#define WIRE_MP_H

#include <stdbool.h>
#include <stdint.h>

#include <msgpack.h>

#include "wire/http.h"

/* Packing, and reading of arrays that a peer sent. */

struct mp_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

void mp_begin(struct mp_out *out, size_t elements);
void mp_end(struct mp_out *out);
void mp_uint(struct mp_out *out, uint64_t value);
void mp_int(struct mp_out *out, int64_t value);
void mp_array(struct mp_out *out, size_t elements);
void mp_str(struct mp_out *out, const char *text); /* NULL: nil */
void mp_bin(struct mp_out *out, const void *data, size_t len);
void mp_headers(struct mp_out *out, const struct http_headers *headers);

/* Reads the elements of an array in order; any mismatch clears ok. */
struct mp_in {
	const msgpack_object *at;
	size_t left;
	bool ok;
};

void mp_open(struct mp_in *in, const msgpack_object *array);
uint64_t mp_get_uint(struct mp_in *in);
int64_t mp_get_int(struct mp_in *in);
/* Copies a string of less than size bytes; nil gives "". */
void mp_get_text(struct mp_in *in, char *out, size_t size);
/* Newly allocated, NULL for nil. */
char *mp_get_str(struct mp_in *in);
const void *mp_get_bin(struct mp_in *in, size_t *len);
void mp_get_array(struct mp_in *in, struct mp_in *inner);
void mp_get_headers(struct mp_in *in, struct http_headers *headers);

#endif
