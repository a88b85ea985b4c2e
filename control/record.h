#ifndef CONTROL_RECORD_H
#define CONTROL_RECORD_H

#include <msgpack.h>

#include "fleet/fleet.h"
#include "wire/mp.h"

/*
 * Encoding of the job records in the store: msgpack arrays whose first element
 * is a version. A submission is written once by an entry host; the leader
 * rewrites the state.
 */

#define RECORD_VERSION 1

/*
 * Unpacks a record and reads its version; returns false unless that is
 * RECORD_VERSION. The caller destroys unpacked in any case.
 */
bool record_open(msgpack_unpacked *unpacked, const void *data, size_t len,
		 struct mp_in *in);

/* Fields that an entry host adds to the spec of an accepted job. */
struct submission {
	char *queue;
	char *pool;
	char *customer; /* "" for a queue that requires no API key */
	char *key_digest; /* of the API key of the call, or NULL */
	int priority;
	int attempts;
	double stretch;
	int64_t slo_ms;
	int64_t accepted_ms;
};

void record_submission_write(const struct submission *submission,
			     const struct job_spec *spec, msgpack_sbuffer *out);
/* Returns a new job, or NULL if the record is malformed. */
struct job *record_submission_read(const char *id, const void *data,
				   size_t len);

void record_state_write(const struct job *job, msgpack_sbuffer *out);
/*
 * Restores the stored state of a job that was just read from its submission.
 * Runs that may still be in progress are assigned to their workers. Returns
 * false if the record is malformed.
 */
bool record_state_read(struct fleet *fleet, struct job *job, const void *data,
		       size_t len, int64_t now_us);
/* What tells which callers may see a job. */
struct job_owner {
	char *queue; /* NULL in records of earlier versions */
	char *customer;
	char *key_digest; /* or NULL */
};

void job_owner_finish(struct job_owner *owner);
/*
 * Reads the phase and the owner of a state record; returns false if it is
 * malformed. The caller finishes the owner in any case.
 */
bool record_phase_read(const void *data, size_t len, enum job_phase *phase,
		       struct job_owner *owner);
/* The API key itself is not stored. Returns a new string. */
char *record_key_digest(const char *key);

/* Writes the number of jobs per queue that wait for their first start. */
void record_waiting_write(const struct fleet *fleet, msgpack_sbuffer *out);
/* Returns the count of a queue, or -1 if the record does not contain it. */
int64_t record_waiting_read(const void *data, size_t len, const char *queue);

#endif
