#include "base/log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/param.h>
#include <time.h>
#include <unistd.h>

#include "base/limits.h"

static const char *const level_names[] = { "err", "warning", "info", "debug" };

/* One process writes one log, so the log's state is global. */
static char log_host[NAME_MAX_BYTES] = "-";
static char log_dc[NAME_MAX_BYTES] = "-";
static enum log_level log_threshold = LOG_INFO_LEVEL;

/* Sets the host and data centre printed in each line, and the least level. */
void log_init(const char *host, const char *dc, enum log_level level)
{
	snprintf(log_host, sizeof(log_host), "%s", host);
	snprintf(log_dc, sizeof(log_dc), "%s", dc);
	log_threshold = level;
}

/* Returns the level of a name (err, warning, info, debug), -1 if unknown. */
int log_level_parse(const char *name)
{
	int i;

	for (i = 0; i < 4; i++)
		if (strcmp(level_names[i], name) == 0)
			return i;
	return -1;
}

/* Collected lines. */

/* Lines of one event in the current second. */
struct event_rate {
	char name[NAME_MAX_BYTES];
	int64_t second;
	int lines;
	int left_out;
};

/* Beyond so many kinds of events, the others share the last entry. */
#define RATES_MAX 96

static int log_fd = -1; /* -1: lines are written to standard error at once */
static char buffer[LOG_BUFFER_MAX_BYTES];
static size_t buffered;
static uint64_t left_out;
static uint64_t left_out_reported;
static struct event_rate rates[RATES_MAX];

static struct event_rate *rate_of(const char *event)
{
	int i;

	for (i = 0; i < RATES_MAX - 1; i++) {
		if (strcmp(rates[i].name, event) == 0)
			return &rates[i];
		if (rates[i].name[0])
			continue;
		snprintf(rates[i].name, sizeof(rates[i].name), "%s", event);
		return &rates[i];
	}
	return &rates[RATES_MAX - 1];
}

/* Whether one more line of the event fits into this second. */
static bool rate_allows(const char *event, int64_t second)
{
	struct event_rate *rate = rate_of(event);

	if (rate->second != second) {
		rate->second = second;
		rate->lines = 0;
	}
	if (rate->lines >= LOG_LINES_PER_SEC) {
		rate->left_out++;
		left_out++;
		return false;
	}
	rate->lines++;
	return true;
}

static void collect(const char *line, size_t len)
{
	if (len > sizeof(buffer) - buffered) {
		left_out++;
		return;
	}
	memcpy(buffer + buffered, line, len);
	buffered += len;
}

void log_collect(int fd)
{
	log_fd = fd;
}

uint64_t log_left_out(void)
{
	return left_out;
}

static void report_left_out(void)
{
	uint64_t lines = left_out - left_out_reported;
	int i;

	left_out_reported = left_out;
	for (i = 0; i < RATES_MAX; i++) {
		if (rates[i].left_out == 0)
			continue;
		log_warn("log.left_out", "kind=%s lines=%d",
			 rates[i].name[0] ? rates[i].name : "others",
			 rates[i].left_out);
		lines -= MIN(lines, (uint64_t)rates[i].left_out);
		rates[i].left_out = 0;
	}
	if (lines > 0)
		log_warn("log.left_out",
			 "kind=any lines=%llu reason=\"reader is slow\"",
			 (unsigned long long)lines);
}

/* A pipe that polls as writable takes PIPE_BUF bytes without waiting. */
void log_flush(void)
{
	struct pollfd poll_fd = { .fd = log_fd, .events = POLLOUT };
	size_t done = 0;

	if (log_fd < 0 || buffered == 0)
		return;
	while (done < buffered && poll(&poll_fd, 1, 0) == 1 &&
	       (poll_fd.revents & POLLOUT)) {
		size_t len = MIN(buffered - done, (size_t)PIPE_BUF);
		ssize_t n = write(log_fd, buffer + done, len);

		if (n <= 0)
			break;
		done += (size_t)n;
	}
	memmove(buffer, buffer + done, buffered - done);
	buffered -= done;
	if (buffered == 0 && left_out > left_out_reported)
		report_left_out();
}

/*
 * Makes one line: UTC time, program, pid, level, event and key=value pairs.
 * A line is written with one call, so lines of several processes that share
 * the stream don't mix.
 */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[EV_LINE_MAX_BYTES + 256];
	struct timespec ts;
	struct tm tm;
	va_list args;
	size_t len;
	int n;

	if (level > log_threshold)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (log_fd >= 0 && !rate_allows(event, ts.tv_sec))
		return;
	gmtime_r(&ts.tv_sec, &tm);
	len = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	len += snprintf(line + len, sizeof(line) - len,
			".%06ldZ chivebank[%d]: level=%s dc=%s host=%s "
			"event=%s ",
			ts.tv_nsec / 1000, (int)getpid(), level_names[level],
			log_dc, log_host, event);
	va_start(args, fmt);
	n = vsnprintf(line + len, sizeof(line) - len - 1, fmt, args);
	va_end(args);
	if (n > 0)
		len += (size_t)n;
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	line[len++] = '\n';
	if (log_fd >= 0)
		collect(line, len);
	else if (write(STDERR_FILENO, line, len) < 0)
		return; /* nowhere left to report it */
}
