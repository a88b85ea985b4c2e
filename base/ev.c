#include "base/ev.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "base/log.h"

/* Like the log, the time line belongs to the process. */
static struct ev_entry ring[EV_RING_EVENTS];
static uint64_t next_seq = 1;
static uint64_t ev_incarnation;

static int64_t clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Sets the incarnation of the process printed in each event. */
void ev_init(uint64_t incarnation)
{
	ev_incarnation = incarnation;
}

/*
 * Records one event: kept in the ring and logged with the sequence number
 * and both clocks, which is what "chivebank timeline" merges by.
 */
void ev_emit(const char *name, const char *fmt, ...)
{
	struct ev_entry *entry = &ring[next_seq % EV_RING_EVENTS];
	va_list args;

	entry->seq = next_seq++;
	entry->mono_us = clock_us(CLOCK_MONOTONIC);
	entry->wall_us = clock_us(CLOCK_REALTIME);
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	va_start(args, fmt);
	vsnprintf(entry->text, sizeof(entry->text), fmt, args);
	va_end(args);
	log_info(name,
		 "inc=%" PRIu64 " seq=%" PRIu64 " mono_us=%" PRId64
		 " wall_us=%" PRId64 " %s",
		 ev_incarnation, entry->seq, entry->mono_us, entry->wall_us,
		 entry->text);
}

/*
 * Copies up to max events with a sequence number above after_seq to out,
 * oldest first. Returns their number.
 */
size_t ev_copy(uint64_t after_seq, struct ev_entry *out, size_t max)
{
	uint64_t seq = after_seq + 1;
	size_t n = 0;

	if (next_seq > EV_RING_EVENTS && seq < next_seq - EV_RING_EVENTS)
		seq = next_seq - EV_RING_EVENTS;
	if (seq == 0)
		seq = 1;
	for (; seq < next_seq && n < max; seq++)
		out[n++] = ring[seq % EV_RING_EVENTS];
	return n;
}
