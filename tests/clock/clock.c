#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/*
 * Loaded into the processes of the soak: their time of day is off by the
 * milliseconds that the file SOAK_CLOCK holds, and their steady clocks show
 * SOAK_UPTIME_DAYS more. Waits are relative in libuv, libwebsockets and glib;
 * a wait for an absolute time of a steady clock would last too long.
 */

#define NSEC_PER_SEC 1000000000LL
#define SEC_PER_DAY 86400
#define NSEC_PER_MSEC 1000000LL

static long long offset_ms(void)
{
	static int fd = -2;
	char text[32];
	ssize_t len;

	if (fd == -2) {
		const char *path = getenv("SOAK_CLOCK");

		fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
	}
	len = fd < 0 ? -1 : pread(fd, text, sizeof(text) - 1, 0);
	if (len <= 0)
		return 0;
	text[len] = '\0';
	return strtoll(text, NULL, 10);
}

static long long uptime_sec(void)
{
	static long long sec = -1;

	if (sec < 0) {
		const char *days = getenv("SOAK_UPTIME_DAYS");

		sec = days ? strtoll(days, NULL, 10) * SEC_PER_DAY : 0;
	}
	return sec;
}

static int is_steady(clockid_t clock)
{
	return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW ||
	       clock == CLOCK_MONOTONIC_COARSE || clock == CLOCK_BOOTTIME;
}

int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int result = (int)syscall(SYS_clock_gettime, clock, ts);
	long long ns;

	if (result == 0 && is_steady(clock))
		ts->tv_sec += uptime_sec();
	if (result != 0 || clock != CLOCK_REALTIME)
		return result;
	ns = ts->tv_sec * NSEC_PER_SEC + ts->tv_nsec +
	     offset_ms() * NSEC_PER_MSEC;
	ts->tv_sec = ns / NSEC_PER_SEC;
	ts->tv_nsec = ns % NSEC_PER_SEC;
	return 0;
}

time_t time(time_t *out)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (out)
		*out = ts.tv_sec;
	return ts.tv_sec;
}
