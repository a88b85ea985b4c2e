#ifndef BENCH_JOBS_LOAD_H
#define BENCH_JOBS_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define LOAD_CUSTOMERS 4
#define LOAD_WORKERS 50
#define LOAD_WORKER_SIZE 8
#define LOAD_HOURS 12

enum load_user { LOAD_RODA_BERSAMA, LOAD_BENNANI, LOAD_USERS };

/* One job as it really behaves; a scheduler sees only a part of this. */
struct load_job {
	int64_t arrive_us;
	int64_t cancel_us; /* 0: never */
	int64_t work_us; /* run time when not interrupted */
	int64_t save_us; /* real time of a checkpoint */
	int customer;
	int accelerators;
	bool stoppable;
	bool urgent; /* a claim on the customer's guarantee */
	bool hopeless; /* fails wherever it runs */
};

/* A worker that is dead, or fails everything it starts, for a while. */
struct load_fault {
	int64_t from_us;
	int64_t to_us;
	int worker;
	bool dead;
};

struct load {
	struct load_job *jobs; /* by arrival */
	int job_count;
	struct load_fault *faults;
	int fault_count;
	int64_t end_us; /* of arrivals */
};

extern const int load_weights[LOAD_CUSTOMERS];
extern const int load_guarantees[LOAD_CUSTOMERS][3];

/* offered: accelerator time asked for, over the capacity until the end. */
void load_make(struct load *load, enum load_user user, double offered,
	       uint32_t seed);
void load_finish(struct load *load);

#endif
