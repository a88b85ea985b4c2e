#include <stdlib.h>

#include "base/set.h"
#include "tests/fuzz/fuzz.h"

/* Settings are accepted or refused with a reason, never neither. */
int fuzz_settings(const uint8_t *data, size_t size)
{
	static struct set set;
	GError *err = NULL;

	if (set_parse(&set, (const char *)data, size, &err) == (err != NULL))
		abort();
	if (err)
		g_error_free(err);
	return 0;
}

FUZZ_ENTRY(fuzz_settings)
