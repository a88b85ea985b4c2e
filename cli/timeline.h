#ifndef CLI_TIMELINE_H
#define CLI_TIMELINE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/* One run of chivebankd, as seen in its event lines. */
struct tl_process {
	char *host;
	uint64_t incarnation;
	/* Wall minus monotonic clock at its first event. */
	int64_t wall_minus_mono_us;
};

/* A host, and how its wall clock is corrected. */
struct tl_host {
	char *name;
	bool known; /* connected to the reference by measurements */
	int64_t offset_us; /* its wall clock minus that of the reference */
	int64_t error_us; /* bound of the offset's error */
};

struct tl_event {
	unsigned int process;
	uint64_t seq;
	int64_t mono_us;
	int64_t time_us; /* corrected wall clock */
	char *name;
	char *text; /* the fields after wall_us */
};

/* The best measurement of one host's clock by another. */
struct tl_link {
	unsigned int from;
	unsigned int to;
	int64_t offset_us; /* wall clock of "to" minus that of "from" */
	int64_t rtt_us;
};

struct tl {
	GArray *processes;
	GArray *hosts;
	GArray *events;
	GArray *links;
	uint64_t ignored; /* lines that are no events */
};

void tl_init(struct tl *tl);
void tl_finish(struct tl *tl);
/* Reads the event lines of one log; processes may be mixed in a file. */
void tl_read(struct tl *tl, FILE *file);
/* Corrects the clocks and sorts the events. The first host is the reference. */
void tl_merge(struct tl *tl);

#endif
