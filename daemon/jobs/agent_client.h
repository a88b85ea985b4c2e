#ifndef DAEMON_JOBS_AGENT_CLIENT_H
#define DAEMON_JOBS_AGENT_CLIENT_H

#include <jansson.h>

#include "base/kn.h"
#include "base/limits.h"

/*
 * Edge to the workers, behind a vtable so that another test bench can
 * replace it with one file. Not a task: it is owned by the scheduler's task,
 * which it calls back on the same thread.
 *
 * Every call states the epoch of the caller; a worker refuses an epoch that
 * is older than the newest it has seen. A token names one attempt to run one
 * gang and is the same on all workers of the gang.
 */

#define AGENT_TOKEN_BYTES 128

enum agent_verb {
	AGENT_RESERVE, /* hold accelerators until the term ends */
	AGENT_COMMIT, /* start the task up to the barrier */
	AGENT_ABORT, /* drop a reservation or a task at the barrier */
	AGENT_CHECKPOINT, /* write a checkpoint, then stop */
	AGENT_STOP, /* stop at once */
	AGENT_SYNC, /* renew leases, pass the barrier, report */
	AGENT_VERBS
};

enum agent_state {
	AGENT_RESERVED,
	AGENT_BARRIER, /* committed, waits for go */
	AGENT_RUNNING,
	AGENT_CHECKPOINTING,
	AGENT_STOPPED, /* stopped by a call or by a lapsed lease */
	AGENT_DONE,
	AGENT_FAILED,
	AGENT_STATES
};

/* A task as its worker reports it; ended ones stay until forgotten. */
struct agent_task {
	char token[AGENT_TOKEN_BYTES];
	char job[NAME_MAX_BYTES];
	enum agent_state state;
	int accelerators;
	int64_t ran_ms; /* since it passed the barrier */
	bool checkpointed; /* its work up to the stop is kept */
};

struct agent_request {
	enum agent_verb verb;
	const char *addr;
	int port;
	uint64_t epoch;
	int64_t timeout_ms;
	/* All verbs but sync. */
	const char *token;
	const char *job; /* reserve */
	int accelerators; /* reserve */
	const json_t *task; /* reserve: the job's opaque description or NULL */
	int64_t term_ms; /* reserve: reservation, commit: lease */
	int64_t grace_ms; /* checkpoint */
	/* Sync: lists of tokens. */
	const char *const *renew; /* leases that go on for term_ms */
	size_t renew_count;
	const char *const *go; /* these pass the barrier */
	size_t go_count;
	const char *const *forget; /* ended ones not to report again */
	size_t forget_count;
};

/*
 * result is CB_OK when the worker carried the call out, CB_E_CONFLICT when
 * it refused an old epoch or had no room, CB_E_NO_SERVER when nothing was
 * sent, another code when the effect is unknown. All verbs can be repeated
 * with the same token.
 */
struct agent_call {
	struct list_head node; /* for the owner */
	void *user; /* for the owner */
	void (*done)(struct agent_call *call);
	void *impl; /* private to the implementation */
	int result;
	uint64_t epoch; /* the newest that the worker has seen, 0: unknown */
	/* Sync; valid until done() returns. */
	struct agent_task *tasks;
	size_t count;
	int accelerators; /* that work at this worker */
};

struct agent_client;

struct agent_client_ops {
	/* done() is called once, never from within. request is borrowed. */
	void (*start)(struct agent_client *client, struct agent_call *call,
		      const struct agent_request *request,
		      void (*done)(struct agent_call *call));
	/* Drops a call; the worker may still carry it out. */
	void (*cancel)(struct agent_client *client, struct agent_call *call);
	/* Frees client; calls in progress are dropped without done(). */
	void (*finish)(struct agent_client *client);
};

/* Base of each implementation. */
struct agent_client {
	const struct agent_client_ops *ops;
	struct kn *kn;
};

extern const char *const agent_verb_names[AGENT_VERBS];
extern const char *const agent_state_names[AGENT_STATES];
int agent_state_parse(const char *name);

/* HTTP/1.1 with JSON to the agents of the workers. */
struct agent_client *agent_http_new(struct kn *kn);

#endif
