#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/log.h"
#include "tests/fuzz/fuzz.h"

/* The same functions that tests/fuzz/run builds with libFuzzer. */
#include "tests/fuzz/fuzz_document.c"
#include "tests/fuzz/fuzz_frame.c"
#include "tests/fuzz/fuzz_message.c"
#include "tests/fuzz/fuzz_platform.c"
#include "tests/fuzz/fuzz_settings.c"
#include "tests/unit/run.h"

#define ROUNDS 3000 /* mutations of each seed */

static const struct {
	const char *name;
	int (*fn)(const uint8_t *data, size_t size);
} targets[] = { { "frame", fuzz_frame },
		{ "message", fuzz_message },
		{ "settings", fuzz_settings },
		{ "document", fuzz_document },
		{ "platform", fuzz_platform } };

/* Changes, removes, doubles or swaps a few bytes of a copy. */
static void mutate(GRand *rand, const char *data, size_t size, int target)
{
	GByteArray *copy = g_byte_array_new();
	int n = g_rand_int_range(rand, 1, 5);
	uint8_t *exact;

	g_byte_array_append(copy, (const guint8 *)data, (guint)size);
	while (n-- > 0 && copy->len > 0) {
		guint at = (guint)g_rand_int_range(rand, 0, (gint32)copy->len);
		guint len = (guint)g_rand_int_range(
			rand, 0, (gint32)(copy->len - at) + 1);
		guint8 byte = (guint8)g_rand_int(rand);

		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			copy->data[at] = byte;
			break;
		case 1:
			copy->data[at] ^= (guint8)(1 << byte % 8);
			break;
		case 2:
			g_byte_array_remove_range(copy, at, MIN(len, 8));
			break;
		case 3:
			g_byte_array_append(copy, &byte, 1);
			break;
		}
	}
	/* Of exact size, so that the sanitizer sees reads past the end. */
	exact = malloc(copy->len ? copy->len : 1);
	if (copy->len)
		memcpy(exact, copy->data, copy->len);
	targets[target].fn(exact, copy->len);
	free(exact);
	g_byte_array_unref(copy);
}

/* Guards against crashes and broken properties of the decoders, on the kept
 * inputs and on mutations of them. */
START_TEST(seeds_and_mutations)
{
	GRand *rand = g_rand_new_with_seed(11);
	char *dir_name, *path, *data;
	const char *name;
	int round, seeds = 0;
	gsize size;
	GDir *dir;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	dir_name = g_build_filename("tests/fuzz/seeds", targets[_i].name, NULL);
	dir = g_dir_open(dir_name, 0, NULL);
	ck_assert_ptr_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(dir_name, name, NULL);
		ck_assert(g_file_get_contents(path, &data, &size, NULL));
		targets[_i].fn((const uint8_t *)data, size);
		for (round = 0; round < ROUNDS; round++)
			mutate(rand, data, size, _i);
		g_free(data);
		g_free(path);
		seeds++;
	}
	ck_assert_int_gt(seeds, 0);
	g_dir_close(dir);
	g_free(dir_name);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("decoders");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, seeds_and_mutations, 0, 5);
	return run_case("fuzz", tc);
}
