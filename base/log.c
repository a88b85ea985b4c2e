#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
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

/*
 * Writes one line to standard error: UTC time, program, pid, level, event
 * and key=value pairs. A line is written with one call, so lines of
 * several processes that share the stream don't mix.
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
	if (write(STDERR_FILENO, line, len) < 0)
		return; /* nowhere left to report it */
}
