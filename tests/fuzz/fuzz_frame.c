#include <stdlib.h>
#include <string.h>

#include "tests/fuzz/fuzz.h"
#include "wire/pr_int.h"

static void decode(const struct fr_msg *msg)
{
	struct pr_hello hello;
	struct pr_heartbeat beat;
	msgpack_unpacked body;
	msgpack_sbuffer again;

	if (!fr_unpack(&body, msg->body, msg->len, NULL))
		abort();
	msgpack_sbuffer_init(&again);
	if (pr_hello_unpack(&body.data, &hello)) {
		pr_hello_pack(&again, &hello);
		if (again.size == 0)
			abort();
	}
	if (pr_heartbeat_unpack(&body.data, &beat))
		pr_heartbeat_pack(&again, &beat);
	msgpack_sbuffer_destroy(&again);
	msgpack_unpacked_destroy(&body);
}

/* A stream of frames, fed in two parts; the first byte says where to cut. */
int fuzz_frame(const uint8_t *data, size_t size)
{
	size_t cut, part[2], len;
	struct fr_reader reader;
	unsigned char *frame;
	struct fr_msg msg;
	int i;

	if (size < 1)
		return 0;
	cut = data[0] % size;
	data++;
	part[0] = MIN(cut, size - 1);
	part[1] = size - 1 - part[0];
	fr_reader_init(&reader);
	for (i = 0; i < 2; i++) {
		while (part[i] > 0) {
			if (!fr_feed(&reader, &data, &part[i], NULL))
				goto out;
			frame = fr_take(&reader, &len);
			if (frame && fr_split(frame, len, &msg, NULL))
				decode(&msg);
			free(frame);
		}
	}
out:
	fr_reader_finish(&reader);
	return 0;
}

FUZZ_ENTRY(fuzz_frame)
