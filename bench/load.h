#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "base/kn.h"
#include "wire/hc.h"

#define LOAD_SAMPLES_MAX 4000000
#define LOAD_SECONDS_MAX 60
#define LOAD_CONNS_MAX 16384
#define LOAD_WARMUP_MS 500
#define LOAD_TIMEOUT_MS 5000

/* One run against one address. */
struct load_options {
	const char *addr;
	int port;
	unsigned int conns;
	double rate; /* arrivals per second; 0: closed loop */
	double seconds;
	const char *method;
	const char *target;
	const struct http_headers *headers;
	size_t body_bytes;
	uint32_t seed;
	int pid; /* process whose CPU time is read, 0 for none */
};

struct load_result {
	uint64_t answered; /* whole replies with a status below 400 */
	uint64_t refused; /* whole replies with another status */
	uint64_t failed; /* no whole reply */
	double seconds;
	double cpu_seconds; /* of pid */
	int64_t p50_us;
	int64_t p99_us;
	int64_t max_us;
};

bool load_run(const struct load_options *options, struct load_result *result,
	      GError **err);
/* User and system time of a process so far, in seconds; -1 if unknown. */
double load_cpu_seconds(int pid);

#endif
