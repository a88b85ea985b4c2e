#include "tests/standins/pf_store.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

/* Field of an object; the gateway accepts both spellings. */
json_t *pf_get(const json_t *object, const char *snake, const char *camel)
{
	json_t *value = json_object_get(object, snake);

	return value || !camel ? value : json_object_get(object, camel);
}

/* Integer field, given as a number or as text; 0 when absent. */
int64_t pf_int(const json_t *object, const char *snake, const char *camel)
{
	const json_t *value = pf_get(object, snake, camel);

	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* Base64 field, decoded and NUL-terminated; NULL when absent. */
char *pf_bytes(const json_t *object, const char *snake, const char *camel,
	       size_t *len)
{
	const char *text = json_string_value(pf_get(object, snake, camel));
	unsigned char *raw;
	char *out;
	gsize n;

	if (!text)
		return NULL;
	raw = g_base64_decode(text, &n);
	out = g_malloc0(n + 1);
	memcpy(out, raw, n);
	g_free(raw);
	if (len)
		*len = n;
	return out;
}

/* 64-bit integers travel as text. */
json_t *pf_int_text(int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

int64_t pf_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}
