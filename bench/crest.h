#ifndef BENCH_CREST_H
#define BENCH_CREST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/docview.h"

/* Offered requests and what became of them; shared by bench_crest. */

#define CREST_SERVERS 50
#define CREST_SLOTS (CREST_SERVERS * BACKEND_SLOTS)
#define CREST_CUSTOMERS 4

/* A mix of work; times in microseconds. */
struct crest_mix {
	const char *name;
	int short_percent;
	int64_t short_us;
	int64_t long_us;
	int64_t short_deadline_us;
	int64_t long_deadline_us;
};

enum crest_fate { CREST_WAITING, CREST_RUNNING, CREST_ENDED, CREST_REFUSED };

struct crest_req {
	int64_t at_us;
	int64_t run_us;
	int64_t deadline_us;
	int customer;
	enum doc_class class_;
	bool straggler;
	/* Result. */
	enum crest_fate fate;
	int64_t start_us;
	int64_t end_us; /* also when it was refused */
	double behind_us; /* wait, weighted by slots that long work held */
	int server;
};

/* Load in three phases: before, crest, after; 1.0 is the capacity. */
struct crest_load {
	struct crest_req *reqs;
	size_t n;
	int64_t crest_from_us;
	int64_t crest_to_us;
	int64_t end_us;
};

extern const int crest_weights[CREST_CUSTOMERS];
extern const int crest_demand[CREST_CUSTOMERS]; /* percent of the load */

void crest_generate(struct crest_load *load, const struct crest_mix *mix,
		    guint32 seed);
void crest_free(struct crest_load *load);

/* The runs. */

enum crest_baseline { CREST_FIFO, CREST_FIFO_DROPS };

void crest_run_fifo(struct crest_load *load, enum crest_baseline kind);
void crest_run_policy(struct crest_load *load, guint32 seed);

/* Event queue. */

struct crest_event {
	int64_t at_us;
	size_t req;
};

struct crest_heap {
	GArray *events;
};

void crest_heap_init(struct crest_heap *heap);
void crest_heap_finish(struct crest_heap *heap);
void crest_heap_push(struct crest_heap *heap, int64_t at_us, size_t req);
bool crest_heap_peek(const struct crest_heap *heap, struct crest_event *event);
void crest_heap_pop(struct crest_heap *heap);

#endif
