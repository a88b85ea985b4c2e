#ifndef DAEMON_JOBS_WK_H
#define DAEMON_JOBS_WK_H

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

#define WK_TOKEN_BYTES 128

enum wk_verb {
	WK_RESERVE, /* hold accelerators until the term ends */
	WK_COMMIT, /* start the task up to the barrier */
	WK_ABORT, /* drop a reservation or a task at the barrier */
	WK_CHECKPOINT, /* write a checkpoint, then stop */
	WK_STOP, /* stop at once */
	WK_SYNC, /* renew leases, pass the barrier, report */
	WK_VERBS
};

enum wk_state {
	WK_RESERVED,
	WK_BARRIER, /* committed, waits for go */
	WK_RUNNING,
	WK_CHECKPOINTING,
	WK_STOPPED, /* stopped by a call or by a lapsed lease */
	WK_DONE,
	WK_FAILED,
	WK_STATES
};

/* A task as its worker reports it; ended ones stay until forgotten. */
struct wk_task {
	char token[WK_TOKEN_BYTES];
	char job[NAME_MAX_BYTES];
	enum wk_state state;
	int accelerators;
	int64_t ran_ms; /* since it passed the barrier */
	bool checkpointed; /* its work up to the stop is kept */
};

struct wk_request {
	enum wk_verb verb;
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
struct wk_call {
	struct list_head node; /* for the owner */
	void *user; /* for the owner */
	void (*done)(struct wk_call *call);
	void *impl; /* private to the implementation */
	int result;
	uint64_t epoch; /* the newest that the worker has seen, 0: unknown */
	/* Sync; valid until done() returns. */
	struct wk_task *tasks;
	size_t count;
	int accelerators; /* that work at this worker */
};

struct wk_edge;

struct wk_ops {
	/* done() is called once, never from within. request is borrowed. */
	void (*start)(struct wk_edge *edge, struct wk_call *call,
		      const struct wk_request *request,
		      void (*done)(struct wk_call *call));
	/* Drops a call; the worker may still carry it out. */
	void (*cancel)(struct wk_edge *edge, struct wk_call *call);
	/* Frees edge; calls in progress are dropped without done(). */
	void (*finish)(struct wk_edge *edge);
};

/* Base of each implementation. */
struct wk_edge {
	const struct wk_ops *ops;
	struct kn *kn;
};

extern const char *const wk_verb_names[WK_VERBS];
extern const char *const wk_state_names[WK_STATES];
int wk_state_parse(const char *name);

/* HTTP/1.1 with JSON to the agents of the workers. */
struct wk_edge *wagent_new(struct kn *kn);

#endif
