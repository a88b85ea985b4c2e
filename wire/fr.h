#ifndef WIRE_FR_H
#define WIRE_FR_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <msgpack.h>

#define FR_HEAD_BYTES 4

/* Collects the bytes of one frame after another from a stream. */
struct fr_reader {
	unsigned char head[FR_HEAD_BYTES];
	size_t head_len;
	unsigned char *body; /* size bytes, NULL until the head is complete */
	size_t size;
	size_t len;
};

/* One message: an array whose first element was the type. */
struct fr_msg {
	int type;
	/* The array of the other elements; points into the frame. */
	const unsigned char *body;
	size_t len;
};

void fr_reader_init(struct fr_reader *reader);
void fr_reader_finish(struct fr_reader *reader);
bool fr_feed(struct fr_reader *reader, const unsigned char **data, size_t *len,
	     GError **err);
unsigned char *fr_take(struct fr_reader *reader, size_t *len);
bool fr_check(const unsigned char *data, size_t len, GError **err);
bool fr_split(unsigned char *frame, size_t len, struct fr_msg *msg,
	      GError **err);
bool fr_pack(GByteArray *out, int type, const unsigned char *body, size_t len);
bool fr_unpack(msgpack_unpacked *out, const unsigned char *data, size_t len,
	       GError **err);
bool fr_unpack_record(msgpack_unpacked *out, const unsigned char *data,
		      size_t len, GError **err);

#endif
