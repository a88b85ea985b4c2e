#ifndef POLICY_JOB_ENTRY_H
#define POLICY_JOB_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/limits.h"

#define JOB_ENTRY_ID_BYTES 32
#define JOB_ENTRY_BORROWED (-1) /* cover without a guarantee */

enum job_entry_state {
	JOB_ENTRY_SUBMITTED,
	JOB_ENTRY_QUEUED,
	JOB_ENTRY_RESERVED,
	JOB_ENTRY_RUNNING,
	JOB_ENTRY_CHECKPOINTING,
	JOB_ENTRY_STOPPED,
	JOB_ENTRY_DONE,
	JOB_ENTRY_FAILED,
	JOB_ENTRY_CANCELLED,
	JOB_ENTRY_STATE_COUNT
};

/* The accelerators of a job on one worker. */
struct job_entry_allocation {
	char worker[NAME_MAX_BYTES];
	int count; /* accelerators */
	int cover; /* enum cell_unit of the guarantee, or JOB_ENTRY_BORROWED */
};

/* A job as it is shown to callers and kept in the store. */
struct job_entry {
	char id[JOB_ENTRY_ID_BYTES];
	char customer[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char digest[65]; /* SHA-256 of the submission, in hexadecimal */
	int accelerators;
	int64_t declared_s; /* run time; shown, but not used for scheduling */
	int64_t grace_ms; /* that a checkpoint needs; 0: it can't make any */
	bool urgent;
	bool stoppable;
	/* The customer's on_removal, for when its section has been deleted. */
	bool stop_on_removal;
	json_t *task; /* passed on to the workers uninterpreted */
	enum job_entry_state state;
	char reason[NAME_MAX_BYTES];
	uint64_t epoch; /* of the leader that started it last */
	int attempt; /* number of the last start */
	int64_t submitted_wall_us;
	int64_t started_wall_us;
	int64_t ended_wall_us;
	int64_t attained_us; /* accelerator-microseconds of earlier runs */
	struct job_entry_allocation *allocations;
	int allocation_count;
};

void job_entry_init(struct job_entry *jb);
void job_entry_finish(struct job_entry *jb);
const char *job_entry_state_name(enum job_entry_state state);
bool job_entry_transition_allowed(enum job_entry_state from,
				  enum job_entry_state to);
bool job_entry_is_final(enum job_entry_state state);
bool job_entry_set_state(struct job_entry *jb, enum job_entry_state to,
			 const char *reason);
bool job_entry_make_id(char id[JOB_ENTRY_ID_BYTES], const char *customer,
		       const char *key);
bool job_entry_from_submission(struct job_entry *jb, const json_t *body,
			       const char *key, GError **err);
void job_entry_clear_allocations(struct job_entry *jb);
void job_entry_add_allocation(struct job_entry *jb, const char *worker,
			      int count, int cover);
json_t *job_entry_to_json(const struct job_entry *jb);
bool job_entry_from_json(struct job_entry *jb, const json_t *json,
			 GError **err);

#endif
