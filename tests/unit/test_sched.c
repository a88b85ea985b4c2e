#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/jobs/sched.h"
#include "daemon/jobs/sched_int.h"
#include "daemon/svc.h"
#include "policy/job_entry.h"
#include "tests/standins/wk_agent.h"
#include "tests/unit/run.h"

#define WORKERS 3

/* A wrapper around the in-memory store that fails on demand. */

struct faulty_store {
	struct kv kv;
	struct kv *inner;
	bool down;
	/* Number of transactions to apply but to answer with a time-out. */
	int lose_answers;
	struct kn_timer timer;
	GPtrArray *refused_calls;
	void (*lost_done)(struct kv_call *call);
};

static struct faulty_store store;

static void fail_refused(struct kn_timer *timer)
{
	while (store.refused_calls->len > 0) {
		struct kv_call *call =
			g_ptr_array_steal_index(store.refused_calls, 0);

		call->result = CB_E_STORE_DOWN;
		call->done(call);
	}
}

static bool refuse_if_down(struct kv_call *call)
{
	if (!store.down)
		return false;
	g_ptr_array_add(store.refused_calls, call);
	kn_timer_set(store.kv.kn, &store.timer, 1000, fail_refused);
	return true;
}

static void lose_answer(struct kv_call *call)
{
	call->result = CB_E_TIMEOUT;
	call->succeeded = false;
	call->done = store.lost_done;
	call->done(call);
}

static void faulty_txn(struct kv *kv, struct kv_call *call,
		       const struct kv_cmp *cmps, size_t ncmps,
		       const struct kv_op *then_ops, size_t nthen,
		       const struct kv_op *else_ops, size_t nelse)
{
	if (refuse_if_down(call))
		return;
	if (store.lose_answers > 0) {
		store.lose_answers--;
		store.lost_done = call->done;
		call->done = lose_answer;
	}
	store.inner->ops->txn(store.inner, call, cmps, ncmps, then_ops, nthen,
			      else_ops, nelse);
}

static void faulty_range(struct kv *kv, struct kv_call *call, const char *key,
			 bool prefix)
{
	if (!refuse_if_down(call))
		store.inner->ops->range(store.inner, call, key, prefix);
}

static const struct kv_ops faulty_ops = { .txn = faulty_txn,
					  .range = faulty_range };

/* A scheduler with stand-ins for the store, the workers and other services. */

static struct kn kn;
static struct set set;
static struct wk_agent agents[WORKERS];
/* Sends API calls, leadership and documents to the scheduler. */
static struct kn_task test_task;
static struct kn_task *sched;
static struct doc_view *view;
static int status;
static const char *allowed_prefixes =
	"customer/"; /* section prefixes of the calling team */
static json_t *answer;

static void test_task_receive(struct kn_task *task, struct kn_msg *msg)
{
	if (msg->type == SVC_API_REPLY) {
		struct svc_api_call *call = (struct svc_api_call *)msg;

		status = call->status;
		answer = json_incref(call->answer);
	}
	kn_msg_release(msg);
}

static const struct kn_task_ops test_task_ops = { .receive =
							  test_task_receive };

static void free_msg(struct kn_msg *msg)
{
	g_free(msg);
}

static void send_lead(uint64_t epoch, bool leading, int64_t for_ms)
{
	struct svc_lead *msg = g_new0(struct svc_lead, 1);

	msg->msg.type = SVC_LEAD_CHANGED;
	msg->msg.release = free_msg;
	msg->epoch = epoch;
	msg->leading = leading;
	msg->valid_until_us = kn_now_us() + for_ms * USEC_PER_MSEC;
	kn_send(sched, &test_task, &msg->msg);
}

static void release_doc(struct kn_msg *msg)
{
	doc_view_unref(((struct svc_doc *)msg)->view);
	g_free(msg);
}

static void send_document(void)
{
	struct svc_doc *msg = g_new0(struct svc_doc, 1);

	msg->msg.type = SVC_DOC_CHANGED;
	msg->msg.release = release_doc;
	msg->view = doc_view_ref(view);
	kn_send(sched, &test_task, &msg->msg);
}

static void make_view(void)
{
	int i;

	view = calloc(1, sizeof(*view));
	view->revision = 1;
	view->customers = calloc(1, sizeof(*view->customers));
	view->customer_count = 1;
	strcpy(view->customers[0].name, "c");
	view->customers[0].weight = 1;
	view->pools = calloc(1, sizeof(*view->pools));
	view->pool_count = 1;
	strcpy(view->pools[0].dc, "dc1");
	view->pools[0].workers = calloc(WORKERS, sizeof(struct doc_worker));
	view->pools[0].worker_count = WORKERS;
	for (i = 0; i < WORKERS; i++) {
		struct doc_worker *w = &view->pools[0].workers[i];

		snprintf(w->name, sizeof(w->name), "w%d", i);
		strcpy(w->addr, "127.0.0.1");
		w->port = agents[i].server.port;
		w->accelerators = 8;
	}
}

static void run_for(int64_t ms)
{
	int64_t end_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < end_us)
		kn_turn(&kn);
}

/* Starts a scheduler with a document and leadership. */
static void start_sched(uint64_t epoch)
{
	sched = sched_new(&kn, &set, &store.kv, epoch);
	ck_assert(sched->ops->start(sched, NULL));
	sched->started = true;
	send_document();
	send_lead(epoch, true, 600000);
}

/* Frees the scheduler as if its process had died; it sends nothing more. */
static void kill_sched(void)
{
	struct kn_msg *msg, *tmp;

	list_del(&sched->node);
	list_del(&sched->ready);
	list_for_each_entry_safe(msg, tmp, &sched->mailbox, node)
		kn_msg_release(msg);
	sched->ops->finish(sched);
}

static void start_cluster(int64_t task_ms)
{
	struct wk_options options = { .addr = "127.0.0.1",
				      .accelerators = 8,
				      .task_ms = task_ms,
				      .checkpoint_ms = 30 };
	int i;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	ev_init(1);
	ck_assert(kn_init(&kn, NULL));
	memset(&store, 0, sizeof(store));
	store.kv.ops = &faulty_ops;
	store.kv.kn = &kn;
	store.inner = kv_mem_new(&kn);
	store.refused_calls = g_ptr_array_new();
	for (i = 0; i < WORKERS; i++)
		ck_assert(wk_agent_init(&agents[i], &kn, &options, 0, NULL));
	memset(&set, 0, sizeof(set));
	strcpy(set.host, "h1");
	strcpy(set.dc, "dc1");
	set.seed = 3;
	set.grace_ms = 20000;
	make_view();
	memset(&test_task, 0, sizeof(test_task));
	kn_add(&kn, &test_task, "probe", &test_task_ops);
	start_sched(1);
	run_for(150);
}

static void stop_cluster(void)
{
	int i;

	kill_sched();
	for (i = 0; i < WORKERS; i++)
		if (agents[i].server.kn)
			wk_agent_finish(&agents[i]);
	doc_view_unref(view);
	kv_free(store.inner);
	kn_timer_cancel(&store.timer);
	g_ptr_array_unref(store.refused_calls);
	list_del(&test_task.node);
	kn_finish(&kn);
}

/* API calls. */

static void free_call(struct kn_msg *msg)
{
	struct svc_api_call *call = (struct svc_api_call *)msg;

	g_free(call->method);
	g_free(call->path);
	g_free(call->key);
	g_strfreev(call->allowed_prefixes);
	json_decref(call->query);
	json_decref(call->body);
	json_decref(call->answer);
	g_free(call);
}

/* Makes a call and returns its status. The JSON reply is left in answer. */
static int api(const char *method, const char *path, const char *key,
	       json_t *body)
{
	struct svc_api_call *call = g_new0(struct svc_api_call, 1);
	int i;

	call->msg.type = SVC_API_CALL;
	call->msg.release = free_call;
	call->method = g_strdup(method);
	call->path = g_strdup(path);
	call->key = g_strdup(key);
	call->allowed_prefixes =
		allowed_prefixes ? g_strsplit(allowed_prefixes, ",", -1) : NULL;
	call->query = json_object();
	call->body = body;
	json_decref(answer);
	answer = NULL;
	status = 0;
	kn_send(sched, &test_task, &call->msg);
	for (i = 0; i < 12000 && !status; i++)
		run_for(1);
	return status;
}

static int submit(const char *key, int accelerators,
		  char id[JOB_ENTRY_ID_BYTES])
{
	int result = api("POST", "/v1/jobs", key,
			 json_pack("{ss si sb s{ss}}", "customer", "c",
				   "accelerators", accelerators, "stoppable", 1,
				   "task", "image", "x"));

	if (id && result < 300)
		strcpy(id, json_string_value(json_object_get(answer, "id")));
	return result;
}

static const char *state_of(const char *id)
{
	char *path = g_strdup_printf("/v1/jobs/%s", id);
	const char *state = NULL;

	if (api("GET", path, NULL, NULL) == 200)
		state = json_string_value(json_object_get(answer, "state"));
	g_free(path);
	return state ? state : "";
}

static void wait_state(const char *id, const char *state, int64_t ms)
{
	int64_t end_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (strcmp(state_of(id), state) != 0) {
		ck_assert_msg(kn_now_us() < end_us, "job is %s, not %s",
			      state_of(id), state);
		run_for(5);
	}
}

/* Task ledgers of the stand-in workers. */

static struct {
	int entries; /* tasks ever reserved on the worker */
	int started; /* tasks that ever passed the barrier */
	int running; /* tasks running now */
} ledgers[WORKERS];

static void read_ledgers(void)
{
	int i;

	for (i = 0; i < WORKERS; i++) {
		json_t *tasks = wk_agent_ledger(&agents[i]);
		json_t *item;
		size_t j;

		memset(&ledgers[i], 0, sizeof(ledgers[i]));
		json_array_foreach(json_object_get(tasks, "tasks"), j, item) {
			const char *state = json_string_value(
				json_object_get(item, "state"));

			ledgers[i].entries++;
			if (json_integer_value(json_object_get(item, "go_us")))
				ledgers[i].started++;
			ledgers[i].running += strcmp(state, "running") == 0;
		}
		json_decref(tasks);
	}
}

static int tasks_started(void)
{
	int i, n = 0;

	read_ledgers();
	for (i = 0; i < WORKERS; i++)
		n += ledgers[i].started;
	return n;
}

static int tasks_running(void)
{
	int i, n = 0;

	read_ledgers();
	for (i = 0; i < WORKERS; i++)
		n += ledgers[i].running;
	return n;
}

/* Tests. The comment on each one names the failure it guards against. */

/* A gang that starts incompletely, twice or not at all. */
START_TEST(gang_runs_once_and_whole)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(150);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	ck_assert_int_eq(tasks_running(), 2);
	wait_state(id, "done", WORKER_SYNC_MS + 2000);
	ck_assert_int_eq(tasks_started(), 2);
	run_for(200);
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/*
 * A repeated submission that creates a second job, also when the answer to
 * the first was lost, or that is accepted with a different body.
 */
START_TEST(one_job_per_key)
{
	char first[JOB_ENTRY_ID_BYTES], second[JOB_ENTRY_ID_BYTES];

	start_cluster(60000);
	store.lose_answers = 1;
	ck_assert_int_lt(submit("k1", 8, first), 300);
	ck_assert_int_eq(submit("k1", 8, second), 200);
	ck_assert_str_eq(first, second);
	ck_assert_int_eq(submit("k1", 7, NULL), 422);
	wait_state(first, "running", 2000);
	ck_assert_int_eq(tasks_started(), 1);
	stop_cluster();
}
END_TEST

/* A takeover that stops complete gangs or starts them a second time. */
START_TEST(takeover_adopts_whole_gang)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	run_for(50);
	kill_sched();
	start_sched(2);
	run_for(500);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(tasks_started(), 2);
	ck_assert_int_eq(tasks_running(), 2);
	stop_cluster();
}
END_TEST

static int commit_calls(void)
{
	int i, n = 0;

	for (i = 0; i < WORKERS; i++)
		n += (int)agents[i].calls[AGENT_COMMIT];
	return n;
}

/*
 * A takeover between commit and go that leaves only some members running, or
 * after which the job is shown as running before any member runs. The second
 * turn asks for the state at once.
 */
START_TEST(takeover_at_barrier_runs_whole)
{
	char id[JOB_ENTRY_ID_BYTES];
	int i;

	start_cluster(60000);
	for (i = 0; i < WORKERS; i++)
		agents[i].delay_ms = 40;
	ck_assert_int_eq(submit("k1", 16, id), 201);
	for (i = 0; i < 4000 && commit_calls() < 2; i++)
		run_for(1);
	ck_assert_int_eq(commit_calls(), 2);
	ck_assert_int_eq(tasks_started(), 0);
	kill_sched();
	start_sched(2);
	run_for(_i ? 1 : 200);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(tasks_running(), 2);
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/* A gang whose other members keep running after one of its workers died. */
START_TEST(lost_worker_stops_gang)
{
	char id[JOB_ENTRY_ID_BYTES];
	int64_t died_us;
	int victim = 0;

	start_cluster(120000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	read_ledgers();
	while (!ledgers[victim].running)
		victim++;
	wk_agent_finish(&agents[victim]);
	memset(&agents[victim], 0, sizeof(agents[victim]));
	list_init(&agents[victim].tasks);
	died_us = kn_now_us();
	while (tasks_running() > 0) {
		ck_assert_int_lt(kn_now_us() - died_us,
				 TASK_LEASE_MS * USEC_PER_MSEC);
		run_for(100);
	}
	stop_cluster();
}
END_TEST

/* A store outage that stops running work or loses the end of a job. */
START_TEST(store_outage_stops_nothing)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(1500);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	store.down = true;
	ck_assert_int_eq(submit("k2", 1, NULL), 503);
	ck_assert_int_eq(tasks_running(), 2);
	wait_state(id, "done", 10000);
	store.down = false;
	run_for(1500);
	kill_sched();
	start_sched(2);
	run_for(500);
	ck_assert_str_eq(state_of(id), "done");
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/*
 * A job that runs again after a takeover because its end had not been written
 * to the store, and the workers no longer reported its tasks.
 */
START_TEST(unwritten_end_is_found)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(300);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	store.down = true;
	wait_state(id, "done", WORKER_SYNC_MS + 2000);
	/* One sync reports the ended task, the next could name it in forget. */
	run_for(2 * WORKER_SYNC_MS + 500);
	kill_sched();
	store.down = false;
	start_sched(2);
	run_for(500);
	wait_state(id, "done", 2000);
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/* A graceful stop that stops running jobs or leaves a record unwritten. */
START_TEST(stop_leaves_work_running)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	store.down = true;
	wait_state(id, "running", 2000);
	store.down = false;
	sched->ops->drain(sched);
	send_lead(1, false, 0);
	while (!sched->drained)
		run_for(10);
	kill_sched();
	ck_assert_int_eq(tasks_running(), 2);
	start_sched(2);
	run_for(500);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(json_integer_value(json_object_get(answer, "attempt")),
			 1);
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/* Adds the customer "d" with a guarantee of one worker. */
static void add_guaranteed_customer(void)
{
	view->customers =
		g_realloc(view->customers, 2 * sizeof(*view->customers));
	view->customers[1] = view->customers[0];
	view->customer_count = 2;
	strcpy(view->customers[1].name, "d");
	view->customers[1].guarantees = calloc(1, sizeof(struct doc_guarantee));
	view->customers[1].guarantee_count = 1;
	strcpy(view->customers[1].guarantees[0].dc, "dc1");
	view->customers[1].guarantees[0].unit = DOC_WORKER;
	view->customers[1].guarantees[0].count = 1;
	send_document();
}

static void submit_guaranteed(char id[JOB_ENTRY_ID_BYTES])
{
	ck_assert_int_eq(
		api("POST", "/v1/jobs", "owner",
		    json_pack("{ss si}", "customer", "d", "accelerators", 8)),
		201);
	strcpy(id, json_string_value(json_object_get(answer, "id")));
}

/*
 * A claim of a customer with a guarantee that is not met within
 * RECLAIM_BOUND_MS while another customer borrows its accelerators.
 */
START_TEST(claim_is_met)
{
	char borrower[JOB_ENTRY_ID_BYTES], owner[JOB_ENTRY_ID_BYTES];

	start_cluster(120000);
	add_guaranteed_customer();
	ck_assert_int_eq(submit("k1", 24, borrower), 201);
	wait_state(borrower, "running", 2000);
	submit_guaranteed(owner);
	wait_state(owner, "running", RECLAIM_BOUND_MS);
	ck_assert_str_eq(state_of(borrower), "queued");
	stop_cluster();
}
END_TEST

static void on_put(struct kv_call *call)
{
}

/* A job that is accepted by a host after another one has taken over. */
START_TEST(deposed_leader_writes_nothing)
{
	struct kv_op op = { .kind = KV_PUT,
			    .key = "/chivebank/dc/dc1/epoch",
			    .value = "2",
			    .len = 1 };
	struct kv_call call = { .done = on_put };

	start_cluster(60000);
	store.inner->ops->txn(store.inner, &call, NULL, 0, &op, 1, NULL, 0);
	ck_assert_int_eq(submit("k1", 8, NULL), 503);
	kill_sched();
	start_sched(2);
	run_for(500);
	ck_assert_int_eq(api("GET", "/v1/jobs", NULL, NULL), 200);
	ck_assert_uint_eq(json_array_size(json_object_get(answer, "jobs")), 0);
	stop_cluster();
}
END_TEST

/* Jobs that are stopped when a host loses and regains the same epoch. */
START_TEST(regained_epoch_goes_on)
{
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	store.down = true;
	send_lead(1, false, 0);
	run_for(300);
	send_lead(1, true, 600000);
	run_for(300);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(tasks_running(), 2);
	stop_cluster();
}
END_TEST

/*
 * A claim that keeps waiting for a worker that died while a displaced job was
 * writing its checkpoint there.
 */
START_TEST(claim_leaves_lost_worker)
{
	char id[WORKERS][JOB_ENTRY_ID_BYTES], owner[JOB_ENTRY_ID_BYTES],
		key[16];
	int i, victim = -1;

	start_cluster(120000);
	add_guaranteed_customer();
	for (i = 0; i < WORKERS; i++) {
		agents[i].options.checkpoint_ms = RECLAIM_GRACE_MS;
		snprintf(key, sizeof(key), "k%d", i);
		ck_assert_int_eq(
			api("POST", "/v1/jobs", key,
			    json_pack("{ss si sb si}", "customer", "c",
				      "accelerators", 8, "stoppable", 1,
				      "grace_ms", RECLAIM_GRACE_MS)),
			201);
		strcpy(id[i], json_string_value(json_object_get(answer, "id")));
	}
	for (i = 0; i < WORKERS; i++)
		wait_state(id[i], "running", 2000);
	submit_guaranteed(owner);
	for (i = 0; victim < 0 && i < 100; i++) {
		run_for(10);
		if (agents[i % WORKERS].calls[AGENT_CHECKPOINT] > 0)
			victim = i % WORKERS;
	}
	ck_assert_int_ge(victim, 0);
	wk_agent_finish(&agents[victim]);
	memset(&agents[victim], 0, sizeof(agents[victim]));
	list_init(&agents[victim].tasks);
	for (i = 0; i < WORKERS; i++)
		agents[i].options.checkpoint_ms = 100;
	wait_state(owner, "running", RECLAIM_BOUND_MS);
	stop_cluster();
}
END_TEST

/* A leader that still sends calls to workers after its lease has expired. */
START_TEST(no_call_without_valid_lease)
{
	uint64_t before;
	int i;

	start_cluster(60000);
	send_lead(1, true, -1);
	run_for(50);
	for (before = 0, i = 0; i < WORKERS; i++)
		before += agents[i].calls[AGENT_SYNC];
	run_for(WORKER_SYNC_MS + 500);
	for (i = 0; i < WORKERS; i++)
		before -= agents[i].calls[AGENT_SYNC];
	ck_assert_uint_eq(before, 0);
	ck_assert_int_eq(submit("k1", 8, NULL), 503);
	stop_cluster();
}
END_TEST

/* A cancelled job that keeps running, or that a new leader starts again. */
START_TEST(cancelled_job_stays_cancelled)
{
	char id[JOB_ENTRY_ID_BYTES];
	char *path;

	start_cluster(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	path = g_strdup_printf("/v1/jobs/%s", id);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	g_free(path);
	wait_state(id, "cancelled", 2000);
	ck_assert_int_eq(tasks_running(), 0);
	run_for(100);
	kill_sched();
	start_sched(2);
	run_for(500);
	ck_assert_str_eq(state_of(id), "cancelled");
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/* A team that submits or cancels jobs of another team's customer. */
START_TEST(calls_need_the_customers_team)
{
	char id[JOB_ENTRY_ID_BYTES];
	char *path;

	start_cluster(60000);
	allowed_prefixes = NULL;
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	allowed_prefixes = "service/,customer/d";
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	allowed_prefixes = "customer/d,customer/c";
	ck_assert_int_eq(submit("k1", 8, id), 201);
	path = g_strdup_printf("/v1/jobs/%s", id);
	allowed_prefixes = "customer/d";
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 403);
	ck_assert_int_eq(api("GET", path, NULL, NULL), 200);
	wait_state(id, "running", 2000);
	allowed_prefixes = "customer/";
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	wait_state(id, "cancelled", 2000);
	g_free(path);
	stop_cluster();
}
END_TEST

static int guaranteed_workers_used(void)
{
	struct sched *s = container_of(sched, struct sched, task);

	return s->policy.gs.customers[0].used[CELL_WORKER];
}

/* A takeover after which guaranteed accelerators count as borrowed. */
START_TEST(takeover_keeps_guaranteed_places)
{
	struct doc_guarantee guarantee = { "dc1", DOC_WORKER, 2 };
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(60000);
	kill_sched();
	view->customers[0].guarantees =
		g_memdup2(&guarantee, sizeof(guarantee));
	view->customers[0].guarantee_count = 1;
	start_sched(2);
	run_for(200);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(guaranteed_workers_used(), 2);
	run_for(200);
	kill_sched();
	start_sched(3);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(guaranteed_workers_used(), 2);
	ck_assert_int_eq(tasks_started(), 2);
	stop_cluster();
}
END_TEST

/* Makes a new document with the only customer or without any. */
static void set_customer(bool present, bool stop)
{
	struct doc_view *old = view;

	make_view();
	view->revision = old->revision + 1;
	view->customers[0].stop_on_removal = stop;
	view->customer_count = present;
	doc_view_unref(old);
}

/*
 * Jobs of a removed customer that run or start contrary to its on_removal,
 * because the scheduler died before the removal. _i covers both settings, each
 * unchanged and changed after the submission.
 */
START_TEST(removal_outlives_the_scheduler)
{
	char running[JOB_ENTRY_ID_BYTES], waiting[JOB_ENTRY_ID_BYTES];
	bool stop = _i & 1, changed = _i & 2;

	start_cluster(60000);
	set_customer(true, stop != changed);
	send_document();
	run_for(100);
	ck_assert_int_eq(submit("k1", 24, running), 201);
	wait_state(running, "running", 2000);
	ck_assert_int_eq(submit("k2", 24, waiting), 201);
	set_customer(true, stop);
	send_document();
	run_for(300);
	kill_sched();
	set_customer(false, false);
	start_sched(2);
	wait_state(waiting, "cancelled", 5000);
	if (stop)
		wait_state(running, "cancelled", 5000);
	run_for(500);
	ck_assert_str_eq(state_of(running), stop ? "cancelled" : "running");
	ck_assert_int_eq(tasks_running(), stop ? 0 : 3);
	ck_assert_int_eq(tasks_started(), 3);
	stop_cluster();
}
END_TEST

/* A pool that gets no jobs because it was defined after the scheduler began. */
START_TEST(pool_may_come_later)
{
	struct doc_view *first;
	char id[JOB_ENTRY_ID_BYTES];

	start_cluster(200);
	kill_sched();
	first = view;
	first->pool_count = 0;
	start_sched(2);
	run_for(200);
	make_view();
	send_document();
	run_for(200);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "done", 10000);
	first->pool_count = 1;
	doc_view_unref(first);
	stop_cluster();
}
END_TEST

/* A drain that does not end because leadership is lost meanwhile. */
START_TEST(drain_ends_without_leadership)
{
	start_cluster(60000);
	sched->ops->drain(sched);
	send_lead(1, false, 0);
	run_for(500);
	ck_assert(sched->drained);
	stop_cluster();
}
END_TEST

/* The store does not come back before the supervisor's SIGKILL. */
START_TEST(drain_ends_before_a_short_grace)
{
	char id[JOB_ENTRY_ID_BYTES];
	int64_t begun_us;

	start_cluster(60000);
	set.grace_ms = 1000;
	ck_assert_int_eq(submit("k1", 16, id), 201);
	store.down = true;
	wait_state(id, "running", 2000);
	begun_us = kn_now_us();
	sched->ops->drain(sched);
	while (!sched->drained && kn_now_us() - begun_us < 3 * USEC_PER_SEC)
		run_for(10);
	ck_assert_int_lt((kn_now_us() - begun_us) / USEC_PER_MSEC,
			 set.grace_ms);
	stop_cluster();
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("sched");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, gang_runs_once_and_whole);
	tcase_add_test(tcase, one_job_per_key);
	tcase_add_test(tcase, takeover_adopts_whole_gang);
	tcase_add_loop_test(tcase, takeover_at_barrier_runs_whole, 0, 2);
	tcase_add_test(tcase, lost_worker_stops_gang);
	tcase_add_test(tcase, store_outage_stops_nothing);
	tcase_add_test(tcase, unwritten_end_is_found);
	tcase_add_test(tcase, stop_leaves_work_running);
	tcase_add_test(tcase, claim_is_met);
	tcase_add_test(tcase, deposed_leader_writes_nothing);
	tcase_add_test(tcase, regained_epoch_goes_on);
	tcase_add_test(tcase, claim_leaves_lost_worker);
	tcase_add_test(tcase, no_call_without_valid_lease);
	tcase_add_test(tcase, cancelled_job_stays_cancelled);
	tcase_add_test(tcase, calls_need_the_customers_team);
	tcase_add_test(tcase, takeover_keeps_guaranteed_places);
	tcase_add_loop_test(tcase, removal_outlives_the_scheduler, 0, 4);
	tcase_add_test(tcase, pool_may_come_later);
	tcase_add_test(tcase, drain_ends_without_leadership);
	tcase_add_test(tcase, drain_ends_before_a_short_grace);
	return run_case("sched", tcase);
}
