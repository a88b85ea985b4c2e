#ifndef DAEMON_SCHED_INT_H
#define DAEMON_SCHED_INT_H

#include "daemon/sched.h"
#include "daemon/svc.h"
#include "policy/gg.h"
#include "policy/jb.h"
#include "policy/sc.h"

/* Between the sources of the scheduler service. */

enum sched_phase {
	PHASE_IDLE, /* another host leads, or there is no document yet */
	PHASE_LOADING, /* reads the job records */
	PHASE_SYNCING, /* asks all workers what they run */
	PHASE_READY,
};

struct sched;

struct sched_worker {
	struct doc_worker at;
	int failed_syncs;
	bool syncing;
	bool asked; /* since this host leads, and answered or failed */
	bool soon; /* something is awaited from it */
	int64_t synced_us; /* when the last sync was sent */
	GPtrArray *forget; /* char *: ended tokens not to report again */
};

struct sched_job {
	struct sc_job job;
	struct jb jb;
	struct gg gg;
	struct sched *sched;
	char token[WK_TOKEN_BYTES];
	uint8_t *member_state; /* enum wk_state + 1 as last reported, 0: none */
	bool saved; /* the last run ended with a whole checkpoint */
	bool failed; /* a task failed, on worker failed_on */
	bool done;
	int failed_on;
	/* Record: one write at a time, the latest state wins. */
	struct kv_call write;
	char *write_text;
	char *key;
	int64_t mod_revision;
	bool writing;
	bool orphan; /* to be freed when the write is done */
	bool gone; /* the gang has ended; handled by the next tick */
	bool dirty;
};

struct sched {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	struct wk_edge *edge;
	struct wk_edge *(*make_edge)(struct kn *kn);
	struct doc_view *view;
	bool leading;
	uint64_t epoch;
	int64_t valid_until_us;
	enum sched_phase phase;
	bool have_sc;
	struct sc sc;
	struct sched_worker *workers;
	int worker_count;
	GHashTable *customers; /* name -> index + 1 */
	GHashTable *jobs; /* id -> struct sched_job */
	uint64_t next_id;
	GHashTable *reported; /* "worker token", while PHASE_SYNCING */
	struct kv_call load;
	bool load_busy;
	unsigned int load_failures;
	int64_t load_at_us;
	struct list_head calls; /* to workers, in progress */
	uint64_t generation; /* of leading; older answers are ignored */
	struct kn_timer timer;
	struct ctr writes, passes, starts, displaced;
};

bool sched_may_send(const struct sched *s);
void sched_note(struct sched *s, struct sched_job *j, enum jb_state to,
		const char *reason);

/* ---- records and jobs: sched_job.c ---- */
void sched_write(struct sched_job *j);
struct sched_job *sched_job_new(struct sched *s, struct jb *jb);
void sched_job_free(gpointer job);
int sched_customer(struct sched *s, const char *name);
bool sched_could_hold(const struct doc_view *view, int accelerators);

/* ---- operators' calls: sched_api.c ---- */
void sched_api(struct sched *s, struct svc_api_call *call);

/* ---- gangs and calls to workers: sched_gang.c ---- */
/* A call to a worker; it names what it is about, not the job itself. */
struct sched_call {
	struct wk_call call;
	struct sched *sched;
	uint64_t generation;
	char token[WK_TOKEN_BYTES];
	enum gg_op op;
	enum wk_verb verb;
	int worker;
	int64_t asked_us;
	GPtrArray *forgotten; /* sync: what the worker was told to forget */
};

static inline struct sched_job *sched_of_job(struct sc_job *job)
{
	return container_of(job, struct sched_job, job);
}

struct sched_job *sched_find_token(struct sched *s, const char *token);
int sched_member_on(const struct sched_job *j, int worker);
struct sched_call *sched_new_call(struct sched *s, int worker,
				  const char *token, enum wk_verb verb);
void sched_free_call(struct sched_call *gc);
struct wk_request sched_new_request(const struct sched *s,
				    const struct sched_call *gc);
void sched_send_verb(struct sched *s, struct sched_job *j, int worker,
		     const char *token, enum wk_verb verb, enum gg_op op);
bool sched_deposed(struct sched *s, const struct wk_call *call);
void sched_make_members(struct sched *s, struct sched_job *j, uint64_t epoch);
extern const struct sc_ops sched_sc_ops;
void sched_gang_tick(struct sched *s, int64_t now_us);
void sched_drop_calls(struct sched *s);

/* ---- renewals and reports: sched_sync.c ---- */
void sched_sync(struct sched *s, int worker);
void sched_forget(struct sched *s, const struct sched_job *j);

/* ---- sched_takeover.c ---- */
void sched_take_over(struct sched *s);

#endif
