#ifndef DAEMON_JOBS_AGENT_CLIENT_H
#define DAEMON_JOBS_AGENT_CLIENT_H

#include <jansson.h>

#include "base/kn.h"
#include "base/limits.h"

/*
 * Interface to the agents of the workers. It has a vtable so that another
 * test bench can replace the implementation with a single file. A client is
 * not a task: it belongs to the scheduler's task and calls it back on the
 * same thread.
 *
 * Each call carries the epoch of the caller. A worker refuses a call whose
 * epoch is older than the newest one that it has seen. A token identifies one
 * attempt to run one gang and is the same on all workers of the gang.
 */

#define AGENT_TOKEN_BYTES 128

enum agent_verb {
	AGENT_RESERVE, /* reserve accelerators until the term ends */
	AGENT_COMMIT, /* start the task up to the barrier */
	AGENT_ABORT, /* drop a reservation or a task at the barrier */
	AGENT_CHECKPOINT, /* write a checkpoint, then stop */
	AGENT_STOP, /* stop at once */
	AGENT_SYNC, /* renew leases, pass the barrier, report */
	AGENT_VERBS
};

enum agent_state {
	AGENT_RESERVED,
	AGENT_BARRIER, /* committed, waits for its token in "go" */
	AGENT_RUNNING,
	AGENT_CHECKPOINTING,
	AGENT_STOPPED, /* stopped by a call or an expired lease */
	AGENT_DONE,
	AGENT_FAILED,
	AGENT_STATES
};

/*
 * A task as reported by its worker. An ended task is reported until a sync
 * names its token in "forget".
 */
struct agent_task {
	char token[AGENT_TOKEN_BYTES];
	char job[NAME_MAX_BYTES];
	enum agent_state state;
	int accelerators;
	int64_t ran_ms; /* since it passed the barrier */
	bool checkpointed; /* a checkpoint of its work up to the stop exists */
};

struct agent_request {
	enum agent_verb verb;
	const char *addr;
	int port;
	uint64_t epoch;
	int64_t timeout_ms;
	/* For all verbs except sync. */
	const char *token;
	const char *job; /* reserve */
	int accelerators; /* reserve */
	const json_t *task; /* reserve: the job's opaque description or NULL */
	int64_t term_ms; /* of the reservation (reserve) or lease (commit) */
	int64_t grace_ms; /* checkpoint */
	/* For sync: lists of tokens. */
	const char *const *renew; /* renew these leases for term_ms */
	size_t renew_count;
	const char *const *go; /* let these pass the barrier */
	size_t go_count;
	const char *const *forget; /* ended; stop reporting these */
	size_t forget_count;
};

/*
 * result is CB_OK if the worker carried out the call, CB_E_CONFLICT if it
 * refused an old epoch or had no free accelerators, CB_E_NO_SERVER if nothing
 * was sent, and another code if the effect is unknown. All verbs are
 * idempotent for the same token.
 */
struct agent_call {
	struct list_head node; /* for the owner */
	void *user; /* for the owner */
	void (*done)(struct agent_call *call);
	void *impl; /* private to the implementation */
	int result;
	uint64_t epoch; /* newest epoch seen by the worker; 0: unknown */
	/* The report of a sync, valid until done() returns. */
	struct agent_task *tasks;
	size_t count;
	int accelerators; /* number of working ones at the worker */
};

struct agent_client;

struct agent_client_ops {
	/*
	 * Starts a call. done() is called once, and never before start()
	 * returns. request need not outlive the call of start().
	 */
	void (*start)(struct agent_client *client, struct agent_call *call,
		      const struct agent_request *request,
		      void (*done)(struct agent_call *call));
	/* Cancels a call without done(). The worker may still carry it out. */
	void (*cancel)(struct agent_client *client, struct agent_call *call);
	/* Frees client. Calls in progress end without done(). */
	void (*finish)(struct agent_client *client);
};

/* To be embedded in each implementation. */
struct agent_client {
	const struct agent_client_ops *ops;
	struct kn *kn;
};

extern const char *const agent_verb_names[AGENT_VERBS];
extern const char *const agent_state_names[AGENT_STATES];
int agent_state_parse(const char *name);

/* Creates a client that uses HTTP/1.1 and JSON. */
struct agent_client *agent_http_new(struct kn *kn);

#endif
