#ifndef BASE_EV_H
#define BASE_EV_H

#include <stdint.h>
#include <stddef.h>

#include "base/limits.h"

/* One event of the time line, as kept for the API. */
struct ev_entry {
	uint64_t seq;
	int64_t mono_us;
	int64_t wall_us;
	char name[NAME_MAX_BYTES];
	char text[EV_LINE_MAX_BYTES / 4];
};

void ev_init(uint64_t incarnation);
void ev_emit(const char *name, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
size_t ev_copy(uint64_t after_seq, struct ev_entry *out, size_t max);

#endif
