#ifndef WIRE_HS_STOP_H
#define WIRE_HS_STOP_H

#include "wire/hs.h"

struct hs_stop;

struct hs_stop_ops {
	/*
	 * Answers all requests in progress. From now on the owner has to answer
	 * each request within request(). Called once, also if the stop ends
	 * before answer_ms.
	 */
	void (*expire)(struct hs_stop *stop);
	/* The stop has ended: nothing is in progress, or limit_ms have passed. */
	void (*ended)(struct hs_stop *stop);
};

/* Times since the beginning of a stop, in milliseconds. */
struct hs_stop_times {
	int64_t settle_ms; /* so long requests are served, also if none is open */
	int64_t answer_ms; /* no request is in progress any more */
	int64_t limit_ms; /* the stop ends, whatever is not sent by then */
};

/*
 * Graceful stop of a server, embedded in the task that owns it. Zeroed memory
 * is a stop that has not begun.
 */
struct hs_stop {
	const struct hs_stop_ops *ops;
	struct hs_server *server;
	struct hs_stop_times times;
	int64_t begun_us;
	bool expired;
	uint64_t accepted; /* connections, when it expired */
	struct kn_timer timer;
};

/* Times for a process that is killed grace_ms after the beginning. */
struct hs_stop_times hs_stop_times(int64_t settle_ms, int64_t grace_ms);
/* From now on each reply closes its connection. */
void hs_stop_begin(struct hs_stop *stop, struct hs_server *server,
		   const struct hs_stop_ops *ops,
		   const struct hs_stop_times *times);
void hs_stop_finish(struct hs_stop *stop);

#endif
