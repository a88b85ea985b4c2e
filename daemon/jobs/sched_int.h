#ifndef DAEMON_JOBS_SCHED_INT_H
#define DAEMON_JOBS_SCHED_INT_H

#include "base/set.h"
#include "daemon/svc.h"
#include "daemon/jobs/agent_client.h"
#include "policy/gang_start.h"
#include "policy/job_entry.h"
#include "policy/scheduler.h"
#include "wire/kv.h"

/* Between the files of the scheduler's service. */

struct sched;

enum sched_phase {
	SCHED_OFF, /* does not lead, or knows no document */
	SCHED_READING, /* reads the records, first sync with all workers */
	SCHED_ON,
};

/* A worker of the pool, or one that has left it. */
struct sched_worker {
	struct sched *s;
	struct doc_worker config;
	int index; /* in policy */
	bool in_pool;
	bool answered; /* since this host began to lead */
	bool in_sync;
	int64_t last_report_us;
	int64_t failing_since_us; /* first call not answered since then, or 0 */
	int64_t next_sync_us; /* of the next sync */
	int64_t sync_sent_us;
	struct agent_call call;
	/* Of the last report while the records are being read. */
	struct agent_task *tasks;
	size_t task_count;
	GPtrArray *forget; /* tokens that have ended */
	GPtrArray *forgetting; /* those in the sync in progress */
	GPtrArray *orphans; /* tokens being stopped that no job here owns */
};

struct sched_job {
	struct sched *s;
	struct scheduler_job policy;
	struct gang_start gang_start;
	struct job_entry entry;
	struct list_head ticking; /* gang_start needs ticks */
	struct list_head write; /* the record is to be written */
	struct list_head ended;
	char token[AGENT_TOKEN_BYTES];
	int *workers; /* of the members, indexes in policy */
	int *counts; /* accelerators of the members */
	bool cancelled;
	bool in_write;
	bool write_again; /* changed during the write */
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
	int attempt_base; /* attempts of this epoch that may be unrecorded */
	uint64_t term; /* counts times of leading; old answers are dropped */
	int64_t takeover_us;
	int64_t last_run_us;
	int64_t last_pass_us;
	bool dirty; /* something changed since the last pass */
	bool closing; /* the policy is being taken down */
	uint64_t next_id;
	struct scheduler policy;
	bool have_policy;
	GPtrArray *workers; /* struct sched_worker, by index in policy */
	GPtrArray *customers; /* names, by index in policy */
	GHashTable *jobs; /* id -> struct sched_job */
	GHashTable *tokens; /* token -> struct sched_job */
	struct list_head ticking;
	struct list_head ended; /* oldest first */
	int ended_count;
	/* The store. */
	bool loaded;
	unsigned int load_part; /* of the records, to be read next */
	GPtrArray *records; /* struct sched_job read from the store */
	struct list_head writes; /* struct sched_job in order */
	struct list_head store_calls; /* in progress with the store */
	int writing;
	int64_t next_write_us; /* earliest moment of the next write */
	unsigned int write_failures;
	int64_t next_load_us;
	unsigned int load_failures;
	bool loading;
	char *epoch_key; /* written at each change of the leader */
	int64_t epoch_mod; /* its mod revision under this host's epoch */
	struct list_head submits;
	int64_t drain_us; /* end of the wait for writes, 0: not stopping */
	struct list_head agent_calls; /* struct token_call to workers */
	struct ctr record_writes;
	struct ctr starts;
	struct ctr syncs;
	struct ctr queued;
	struct ctr running;
};

/* Sched.c. */

bool sched_may_act(const struct sched *s);
void sched_wake(struct sched *s);
int64_t sched_backoff_us(struct sched *s, unsigned int failures);

/* Sched_job.c: jobs and what the policy asks for. */

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

/* Sched_gang.c: gangs on workers. */

void sched_gang_init(struct sched_job *job);
void sched_gang_start(struct sched_job *job);
void sched_gang_clear(struct sched_job *job);
int sched_gang_member(const struct sched_job *job, int worker);
void sched_gang_tick(struct sched *s, int64_t now_us);
void sched_stop_orphan(struct sched_worker *w, const char *token, bool ran);
void sched_calls_cancel(struct sched *s);

/* Sched_sync.c: workers and customers. */

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

/* Sched_takeover.c: taking over. */

bool sched_takeover_ready(struct sched *s, int64_t now_us);
void sched_take_over(struct sched *s, int64_t now_us);

/* Sched_store.c: records. */

void sched_load(struct sched *s);
void sched_write(struct sched_job *job);
void sched_store_tick(struct sched *s, int64_t now_us);
void sched_delete_record(struct sched *s, const char *id);
void sched_submit(struct sched *s, struct sched_job *job,
		  struct svc_api_call *call);
bool sched_store_idle(const struct sched *s);
void sched_store_finish(struct sched *s);
void sched_submits_fail(struct sched *s);

/* Sched_api.c. */

void sched_api_call(struct sched *s, struct svc_api_call *call);

#endif
