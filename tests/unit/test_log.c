#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/limits.h"
#include "base/log.h"
#include "tests/unit/run.h"

/* Collected lines: bounded, and never waiting for the reader. */

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static size_t read_all(int fd, char *out, size_t size)
{
	size_t len = 0;
	ssize_t n;

	while (len < size - 1 && (n = read(fd, out + len, size - 1 - len)) > 0)
		len += (size_t)n;
	out[len] = '\0';
	return len;
}

START_TEST(lines_are_written_when_flushed)
{
	char text[4096];
	int fds[2];

	ck_assert_int_eq(pipe2(fds, O_NONBLOCK), 0);
	log_init("h", "d", LOG_INFO_LEVEL);
	log_collect(fds[1]);
	log_info("one.event", "key=%d", 7);
	ck_assert_uint_eq(read_all(fds[0], text, sizeof(text)), 0);
	log_flush();
	read_all(fds[0], text, sizeof(text));
	ck_assert_ptr_nonnull(strstr(text, "host=h event=one.event key=7\n"));
}
END_TEST

/* The pipe is full and nobody reads: nothing waits, and what is left out is
 * counted and said later. */
START_TEST(reader_that_does_not_read)
{
	static char text[1 << 20];
	int64_t begin_ms = now_ms();
	bool said = false;
	int fds[2];
	int i, round;

	ck_assert_int_eq(pipe2(fds, O_NONBLOCK), 0);
	/* The writer's end blocks, as standard output does. */
	fcntl(fds[1], F_SETFL, 0);
	log_init("h", "d", LOG_INFO_LEVEL);
	log_collect(fds[1]);
	for (round = 0; round < 40; round++) {
		for (i = 0; i < 100; i++)
			log_info(round % 2 ? "odd" : "even", "filler=%0200d",
				 i);
		log_flush();
	}
	ck_assert_int_lt(now_ms() - begin_ms, 2000);
	ck_assert_uint_gt(log_left_out(), 0);
	for (i = 0; i < 20; i++) {
		read_all(fds[0], text, sizeof(text));
		said |= strstr(text, "event=log.left_out") != NULL;
		log_flush();
	}
	ck_assert(said);
}
END_TEST

/* Ten times the lines that fit into a second: the bytes stay bounded. */
START_TEST(lines_of_one_event_are_bounded)
{
	static char text[1 << 20];
	uint64_t before = log_left_out();
	size_t len;
	int fds[2];
	int i;

	ck_assert_int_eq(pipe2(fds, O_NONBLOCK), 0);
	fcntl(fds[1], F_SETPIPE_SZ, 1 << 20);
	log_init("h", "d", LOG_INFO_LEVEL);
	log_collect(fds[1]);
	for (i = 0; i < 10 * LOG_LINES_PER_SEC; i++)
		log_info("busy", "n=%d", i);
	log_flush();
	len = read_all(fds[0], text, sizeof(text));
	/* Two seconds may have begun. */
	ck_assert_uint_le(len, 2 * LOG_LINES_PER_SEC * 200);
	ck_assert_uint_ge(log_left_out() - before, 8 * LOG_LINES_PER_SEC);
	/* Other events still have their lines. */
	log_info("rare", "n=1");
	log_flush();
	read_all(fds[0], text, sizeof(text));
	ck_assert_ptr_nonnull(strstr(text, "event=rare n=1"));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("log");

	tcase_add_test(tc, lines_are_written_when_flushed);
	tcase_add_test(tc, reader_that_does_not_read);
	tcase_add_test(tc, lines_of_one_event_are_bounded);
	return run_case("log", tc);
}
