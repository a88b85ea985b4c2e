#include <stdlib.h>
#include <string.h>

#include "wire/mp.h"
#include "tests/fuzz/fuzz.h"
#include "wire/fr.h"

/* Reads one element in the way that `how` says. */
static void read_element(struct mp_in *in, unsigned char how, int depth)
{
	struct http_headers headers;
	struct mp_in inner;
	char text[16];
	size_t len = 0, left = in->left;
	const void *bin;
	char *str;

	switch (how % 7) {
	case 0:
		mp_get_uint(in);
		break;
	case 1:
		mp_get_int(in);
		break;
	case 2:
		memset(text, 'x', sizeof(text));
		mp_get_text(in, text, sizeof(text));
		if (!memchr(text, 0, sizeof(text)))
			abort();
		break;
	case 3:
		str = mp_get_str(in);
		g_free(str);
		break;
	case 4:
		bin = mp_get_bin(in, &len);
		/* Touches the bytes, so that the sanitizer checks them. */
		if (bin && len > 0)
			free(memcpy(malloc(len), bin, len));
		break;
	case 5:
		mp_get_array(in, &inner);
		while (inner.ok && inner.left > 0 && depth < 3)
			read_element(&inner, how / 7, depth + 1);
		break;
	case 6:
		http_headers_init(&headers);
		mp_get_headers(in, &headers);
		http_headers_finish(&headers);
		break;
	}
	if (in->left > left || (in->ok && left > 0 && in->left == left))
		abort();
}

/* Eight bytes that say how to read, then a message. */
int fuzz_message(const uint8_t *data, size_t size)
{
	msgpack_unpacked body;
	struct mp_in in;
	int i;

	if (size < 8)
		return 0;
	if (fr_unpack(&body, data + 8, size - 8, NULL)) {
		mp_open(&in, &body.data);
		for (i = 0; i < 8; i++)
			read_element(&in, data[i], 0);
	}
	msgpack_unpacked_destroy(&body);
	return 0;
}

FUZZ_ENTRY(fuzz_message)
