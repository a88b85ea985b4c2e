#ifndef WIRE_STOP_LOG_H
#define WIRE_STOP_LOG_H

#include "wire/hs.h"

/*
 * What a graceful stop of a server does to its calls, for the lines
 * calls.stopping and calls.stopped. Zeroed memory is a stop that has not begun.
 */
struct stop_log {
	const char *server; /* its name, set by the owner */
	int64_t begun_us; /* 0: no graceful stop */
	uint64_t answered;
	uint64_t refused;
	uint64_t cut;
};

/* calls are in progress, the oldest since oldest_ms. */
void stop_log_begin(struct stop_log *log, const struct hs_server *server,
		    size_t calls, int64_t oldest_ms, int64_t grace_ms);
/* Counts an answer by its HTTP status. */
void stop_log_answer(struct stop_log *log, int status);
/* The server has ended; before that it had so many calls and connections, of which
 * active receive a request, wait for its reply or send it. */
void stop_log_end(const struct stop_log *log, size_t calls, int64_t oldest_ms,
		  size_t active, size_t connections);

#endif
