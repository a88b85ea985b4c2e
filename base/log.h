#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

enum log_level { LOG_ERR_LEVEL, LOG_WARN_LEVEL, LOG_INFO_LEVEL, LOG_DBG_LEVEL };

void log_init(const char *host, const char *dc, enum log_level level);
int log_level_parse(const char *name);
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * From now on lines are collected and written to fd by log_flush(), which
 * never waits. Lines beyond LOG_LINES_PER_SEC of one event, or beyond
 * LOG_BUFFER_MAX_BYTES that the reader has not taken, are left out; how many
 * is said by a line log.left_out.
 */
void log_collect(int fd);
void log_flush(void);
/* Lines that were left out so far. */
uint64_t log_left_out(void);

#define log_err(...) log_event(LOG_ERR_LEVEL, __VA_ARGS__)
#define log_warn(...) log_event(LOG_WARN_LEVEL, __VA_ARGS__)
#define log_info(...) log_event(LOG_INFO_LEVEL, __VA_ARGS__)
#define log_dbg(...) log_event(LOG_DBG_LEVEL, __VA_ARGS__)

#endif
