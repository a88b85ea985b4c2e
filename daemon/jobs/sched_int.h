#ifndef DAEMON_JOBS_SCHED_INT_H
#define DAEMON_JOBS_SCHED_INT_H

#include "base/set.h"
#include "daemon/svc.h"
#include "daemon/jobs/agent_client.h"
#include "policy/gang_start.h"
#include "policy/job_entry.h"
#include "policy/scheduler.h"
#include "wire/kv.h"

/* Internal to the scheduler service; shared by the files sched*.c. */

struct sched;

enum sched_phase {
	SCHED_OFF, /* not the leader, or no document received yet */
	SCHED_READING, /* takeover: reads the records, syncs all workers */
	SCHED_ON, /* schedules jobs */
};

/* A worker that is in the pool, or was since this host began to lead. */
struct sched_worker {
	struct sched *s;
	struct doc_worker config; /* as listed in the document */
	int index; /* in sched.policy */
	bool in_pool;
	bool answered; /* since this host began to lead */
	bool in_sync; /* a sync is in progress */
	int64_t last_report_us;
	/* First unanswered call after a report; 0: none so far. */
	int64_t failing_since_us;
	int64_t next_sync_us;
	int64_t sync_sent_us;
	struct agent_call call; /* the sync in progress */
	/* The last report, kept until the records have been read. */
	struct agent_task *tasks;
	size_t task_count;
	GPtrArray *forget; /* ended tokens for the worker to delete */
	GPtrArray *forgetting; /* those that the sync in progress names */
	GPtrArray *orphans; /* tokens of no known job, being stopped */
};

struct sched_job {
	struct sched *s;
	struct scheduler_job policy;
	struct gang_start gang_start;
	struct job_entry entry;
	struct list_head ticking; /* while gang_start needs ticks */
	struct list_head write; /* while the record waits to be written */
	struct list_head ended;
	char token[AGENT_TOKEN_BYTES];
	int *workers; /* of each member, its worker's index */
	int *counts; /* of each member, its number of accelerators */
	bool cancelled;
	bool in_write; /* a write of the record is in progress */
	bool write_again; /* the job changed during that write */
	int64_t mod_revision; /* of the record */
	int64_t ended_us;
};

struct sched {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	struct agent_client *client;
	struct doc_view *view;
	struct svc_lead lead;
	GRand *rand;
	struct kn_timer timer;
	int64_t wake_us; /* when the timer fires */
	enum sched_phase phase;
	uint64_t epoch;
	int attempt_base; /* attempt numbers up to this may be in use */
	/*
	 * Changes when leading begins or ends. Answers to calls made in an
	 * earlier term are ignored.
	 */
	uint64_t term;
	int64_t takeover_us; /* start of the takeover */
	int64_t last_run_us; /* last tick while leading */
	int64_t last_pass_us; /* last pass of the policy */
	bool dirty; /* something changed since the last pass */
	bool closing; /* the policy is being torn down */
	uint64_t next_id;
	struct scheduler policy;
	bool have_policy;
	GPtrArray *workers; /* struct sched_worker; same indexes as policy */
	GPtrArray *customers; /* names; same indexes as policy */
	GHashTable *jobs; /* id -> struct sched_job */
	GHashTable *tokens; /* token -> struct sched_job */
	struct list_head ticking;
	struct list_head ended; /* oldest first */
	int ended_count;
	/* The store. */
	bool loaded;
	unsigned int load_part; /* part of the records to be read next */
	GPtrArray *records; /* struct sched_job read from the store */
	struct list_head writes; /* queue of struct sched_job */
	struct list_head store_calls; /* struct record_call in progress */
	int writing; /* number of writes in progress */
	int64_t next_write_us; /* earliest time of the next write */
	unsigned int write_failures;
	int64_t next_load_us;
	unsigned int load_failures;
	bool loading;
	char *epoch_key; /* key that each new leader writes */
	int64_t epoch_mod; /* its mod_revision while this host leads */
	struct list_head submits; /* struct record_call of submissions */
	int64_t drain_us; /* deadline of the drain; 0: not draining */
	struct list_head agent_calls; /* struct token_call to workers */
	struct ctr record_writes;
	struct ctr starts;
	struct ctr syncs;
	struct ctr queued;
	struct ctr running;
};

/* sched.c */

bool sched_may_act(const struct sched *s);
void sched_wake(struct sched *s);
int64_t sched_backoff_us(struct sched *s, unsigned int failures);

/* sched_job.c: jobs, and the callbacks of the policy. */

extern const struct scheduler_ops sched_policy_ops;
struct sched_job *sched_job_new(struct sched *s);
void sched_job_free(struct sched_job *job);
void sched_job_set_state(struct sched_job *job, enum job_entry_state to,
			 const char *reason);
void sched_job_register(struct sched_job *job, int64_t now_us);
void sched_job_retain(struct sched_job *job);
void sched_job_update_removal(struct sched_job *job);
void sched_job_cancel(struct sched_job *job, int64_t now_us);
void sched_expire_ended(struct sched *s, int64_t now_us);

/* sched_gang.c: starting and stopping gangs on workers. */

void sched_gang_init(struct sched_job *job);
void sched_gang_start(struct sched_job *job);
void sched_gang_clear(struct sched_job *job);
int sched_gang_member(const struct sched_job *job, int worker);
void sched_gang_tick(struct sched *s, int64_t now_us);
void sched_stop_orphan(struct sched_worker *w, const char *token, bool ran);
void sched_calls_cancel(struct sched *s);

/* sched_sync.c: syncs with workers; pool and customers of the document. */

void sched_build_policy(struct sched *s);
bool sched_worker_size_changed(const struct sched *s);
void sched_apply_view(struct sched *s, struct doc_view *old);
void sched_apply_removals(struct sched *s, int64_t now_us);
void sched_sync_tick(struct sched *s, int64_t now_us);
void sched_sync_soon(struct sched_worker *w);
void sched_call_unanswered(struct sched_worker *w, int64_t now_us);
void sched_workers_free(struct sched *s);
int sched_customer_index(struct sched *s, const char *name);
struct sched_worker *sched_find_worker(struct sched *s, const char *name);

/* sched_takeover.c: restoring the state when this host begins to lead. */

bool sched_takeover_ready(struct sched *s, int64_t now_us);
void sched_take_over(struct sched *s, int64_t now_us);

/* sched_store.c: job records in the store. */

void sched_load(struct sched *s);
void sched_write(struct sched_job *job);
void sched_store_tick(struct sched *s, int64_t now_us);
void sched_delete_record(struct sched *s, const char *id);
void sched_submit(struct sched *s, struct sched_job *job,
		  struct svc_api_call *call);
/* Record writes and submissions that the store has not answered. */
size_t sched_store_pending(const struct sched *s);
void sched_store_finish(struct sched *s);
void sched_submits_fail(struct sched *s);

/* sched_api.c */

void sched_api_call(struct sched *s, struct svc_api_call *call);

#endif
