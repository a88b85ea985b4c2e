#ifndef CONTROL_RECORD_H
#define CONTROL_RECORD_H

#include <msgpack.h>

#include "fleet/fleet.h"

/*
 * Records of jobs in the store, as msgpack arrays that begin with a version.
 * A submission is written once; the state is rewritten by the leader.
 */

#define RECORD_VERSION 1

/* What an entry host adds to a spec when it accepts it. */
struct submission {
	char *queue;
	char *pool;
	char *customer; /* "" for a queue that needs no key */
	int priority;
	int attempts;
	double stretch;
	int64_t slo_ms;
	int64_t accepted_ms;
};

void record_submission_write(const struct submission *submission,
			     const struct job_spec *spec, msgpack_sbuffer *out);
/* A new job, NULL when the record can't be read. */
struct job *record_submission_read(const char *id, const void *data,
				   size_t len);

void record_state_write(const struct job *job, msgpack_sbuffer *out);
/*
 * Puts a job that was just read from its submission into its stored state.
 * Runs that may be under way are adopted at their workers.
 */
bool record_state_read(struct fleet *fleet, struct job *job, const void *data,
		       size_t len, int64_t now_us);
/*
 * Only the phase and the customer of a state record; false when it can't be
 * read. customer is newly allocated.
 */
bool record_phase_read(const void *data, size_t len, enum job_phase *phase,
		       char **customer);

/* Queue name and count of jobs that wait for their first start. */
void record_waiting_write(const struct fleet *fleet, msgpack_sbuffer *out);
/* Count of a queue, -1 when the record does not name it. */
int64_t record_waiting_read(const void *data, size_t len, const char *queue);

#endif
