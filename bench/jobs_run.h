#ifndef BENCH_JOBS_RUN_H
#define BENCH_JOBS_RUN_H

#include "bench/jobs_load.h"
#include "policy/cell.h"

/* What one run of a load under one scheduler gave. */
struct run_result {
	/* Per job; the mean values are over the jobs done by both. */
	int64_t *start_us; /* first start, 0 for never */
	int64_t *done_us; /* 0 for never */
	double run_s; /* mean real run time, a lower bound of completion */
	double wait_s; /* mean until the first start */
	double completion_s; /* mean from arrival to the end */
	double gang_ratio; /* median of largest startable gang / free */
	double use; /* accelerators held, mean share until arrivals end */
	double useful; /* of the capacity, without lost and restart time */
	double claim_worst_s; /* guaranteed claims only */
	int claims;
	int done;
	int ended_early; /* given up though not hopeless */
	int hopeless_ended;
	int displaced;
	double makespan_h;
};

/* Event queue: calls in order of time. */
struct run_queue {
	GPtrArray *heap;
	uint64_t seq;
};

struct run_event {
	int64_t at_us;
	uint64_t seq;
	void (*fn)(void *run, struct run_event *event);
	int index; /* job, worker or fault */
	uint32_t run_no; /* of the job when the event was made */
};

#define RUN_RESTART_US (20 * USEC_PER_SEC) /* loading of a saved state */
#define RUN_FAIL_US (10 * USEC_PER_SEC) /* until a bad task shows it */
#define RUN_SAMPLE_US (30 * USEC_PER_SEC)
#define RUN_LEASE_US (TASK_LEASE_MS * USEC_PER_MSEC)

void run_queue_init(struct run_queue *queue);
void run_queue_finish(struct run_queue *queue);
void run_queue_add(struct run_queue *queue, int64_t at_us,
		   void (*fn)(void *run, struct run_event *event), int index,
		   uint32_t run_no);
/* Returns the next event, to be freed with g_free(), or NULL. */
struct run_event *run_queue_pop(struct run_queue *queue);

/* Samples of fragmentation and use, the same for both schedulers. */
struct run_samples {
	GArray *ratios;
	double held_us; /* accelerator-microseconds */
	double useful_us;
	int64_t last_us;
};

void run_samples_init(struct run_samples *samples);
void run_samples_finish(struct run_samples *samples);
void run_sample(struct run_samples *samples, const struct cell *cell);
double run_median(GArray *values);

/* Whether a task that starts now on the worker fails, or the worker is dead. */
bool run_is_bad(const struct load *load, int worker, int64_t now_us);

void run_chivebank(const struct load *load, uint32_t seed,
		   struct run_result *result);
void run_first_fit(const struct load *load, uint32_t seed,
		   struct run_result *result);
void run_result_init(struct run_result *result, const struct load *load);
void run_result_finish(struct run_result *result);
/* Fills in the mean values of both from the jobs that both have done. */
void run_compare(const struct load *load, struct run_result *a,
		 struct run_result *b);

#endif
