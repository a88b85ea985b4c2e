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

/* A store that fails on demand. */

struct flaky {
	struct kv kv;
	struct kv *inner;
	bool down;
	int lose; /* answers of transactions to lose; the write happens */
	struct kn_timer timer;
	GPtrArray *failed;
	void (*done)(struct kv_call *call);
};

static struct flaky flaky;

static void fail_calls(struct kn_timer *timer)
{
	while (flaky.failed->len > 0) {
		struct kv_call *call = g_ptr_array_steal_index(flaky.failed, 0);

		call->result = CB_E_STORE_DOWN;
		call->done(call);
	}
}

static bool refuse(struct kv_call *call)
{
	if (!flaky.down)
		return false;
	g_ptr_array_add(flaky.failed, call);
	kn_timer_set(flaky.kv.kn, &flaky.timer, 1000, fail_calls);
	return true;
}

static void lose_answer(struct kv_call *call)
{
	call->result = CB_E_TIMEOUT;
	call->succeeded = false;
	call->done = flaky.done;
	call->done(call);
}

static void flaky_txn(struct kv *kv, struct kv_call *call,
		      const struct kv_cmp *cmps, size_t ncmps,
		      const struct kv_op *then_ops, size_t nthen,
		      const struct kv_op *else_ops, size_t nelse)
{
	if (refuse(call))
		return;
	if (flaky.lose > 0) {
		flaky.lose--;
		flaky.done = call->done;
		call->done = lose_answer;
	}
	flaky.inner->ops->txn(flaky.inner, call, cmps, ncmps, then_ops, nthen,
			      else_ops, nelse);
}

static void flaky_range(struct kv *kv, struct kv_call *call, const char *key,
			bool prefix)
{
	if (!refuse(call))
		flaky.inner->ops->range(flaky.inner, call, key, prefix);
}

static const struct kv_ops flaky_ops = { .txn = flaky_txn,
					 .range = flaky_range };

/* A scheduler among stand-ins. */

static struct kn kn;
static struct set set;
static struct wk_agent agents[WORKERS];
static struct kn_task probe; /* sends calls, leadership and the document */
static struct kn_task *sched;
static struct doc_view *view;
static int status;
static const char *may = "customer/"; /* prefix that calls may change */
static json_t *answer;

static void probe_receive(struct kn_task *task, struct kn_msg *msg)
{
	if (msg->type == SVC_API_REPLY) {
		struct svc_api_call *call = (struct svc_api_call *)msg;

		status = call->status;
		answer = json_incref(call->answer);
	}
	kn_msg_release(msg);
}

static const struct kn_task_ops probe_ops = { .receive = probe_receive };

static void free_msg(struct kn_msg *msg)
{
	g_free(msg);
}

static void lead(uint64_t epoch, bool leading, int64_t for_ms)
{
	struct svc_lead *msg = g_new0(struct svc_lead, 1);

	msg->msg.type = SVC_LEAD_CHANGED;
	msg->msg.release = free_msg;
	msg->epoch = epoch;
	msg->leading = leading;
	msg->valid_until_us = kn_now_us() + for_ms * USEC_PER_MSEC;
	kn_send(sched, &probe, &msg->msg);
}

static void release_doc(struct kn_msg *msg)
{
	doc_view_unref(((struct svc_doc *)msg)->view);
	g_free(msg);
}

static void tell_document(void)
{
	struct svc_doc *msg = g_new0(struct svc_doc, 1);

	msg->msg.type = SVC_DOC_CHANGED;
	msg->msg.release = release_doc;
	msg->view = doc_view_ref(view);
	kn_send(sched, &probe, &msg->msg);
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

static void run(int64_t ms)
{
	int64_t end_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < end_us)
		kn_turn(&kn);
}

/* Starts a scheduler that leads at once. */
static void start_sched(uint64_t epoch)
{
	sched = sched_new(&kn, &set, &flaky.kv, epoch);
	ck_assert(sched->ops->start(sched, NULL));
	sched->started = true;
	tell_document();
	lead(epoch, true, 600000);
}

/* Ends it like a process that dies: no message leaves it. */
static void kill_sched(void)
{
	struct kn_msg *msg, *tmp;

	list_del(&sched->node);
	list_del(&sched->ready);
	list_for_each_entry_safe(msg, tmp, &sched->mailbox, node)
		kn_msg_release(msg);
	sched->ops->finish(sched);
}

static void begin(int64_t task_ms)
{
	struct wk_options options = { .addr = "127.0.0.1",
				      .accelerators = 8,
				      .task_ms = task_ms,
				      .checkpoint_ms = 30 };
	int i;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	ev_init(1);
	ck_assert(kn_init(&kn, NULL));
	memset(&flaky, 0, sizeof(flaky));
	flaky.kv.ops = &flaky_ops;
	flaky.kv.kn = &kn;
	flaky.inner = kv_mem_new(&kn);
	flaky.failed = g_ptr_array_new();
	for (i = 0; i < WORKERS; i++)
		ck_assert(wk_agent_init(&agents[i], &kn, &options, 0, NULL));
	memset(&set, 0, sizeof(set));
	strcpy(set.host, "h1");
	strcpy(set.dc, "dc1");
	set.seed = 3;
	make_view();
	memset(&probe, 0, sizeof(probe));
	kn_add(&kn, &probe, "probe", &probe_ops);
	start_sched(1);
	run(150);
}

static void end(void)
{
	int i;

	kill_sched();
	for (i = 0; i < WORKERS; i++)
		if (agents[i].server.kn)
			wk_agent_finish(&agents[i]);
	doc_view_unref(view);
	kv_free(flaky.inner);
	kn_timer_cancel(&flaky.timer);
	g_ptr_array_unref(flaky.failed);
	list_del(&probe.node);
	kn_finish(&kn);
}

/* Calls. */

static void free_call(struct kn_msg *msg)
{
	struct svc_api_call *call = (struct svc_api_call *)msg;

	g_free(call->method);
	g_free(call->path);
	g_free(call->key);
	g_strfreev(call->may);
	json_decref(call->query);
	json_decref(call->body);
	json_decref(call->answer);
	g_free(call);
}

/* Makes a call; its status is returned, its answer is in the global. */
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
	call->may = may ? g_strsplit(may, ",", -1) : NULL;
	call->query = json_object();
	call->body = body;
	json_decref(answer);
	answer = NULL;
	status = 0;
	kn_send(sched, &probe, &call->msg);
	for (i = 0; i < 12000 && !status; i++)
		run(1);
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
		run(5);
	}
}

/* Ledgers. */

static struct {
	int entries; /* ever reserved on this worker */
	int started; /* ever passed the barrier */
	int running; /* now */
} seen[WORKERS];

static void look(void)
{
	int i;

	for (i = 0; i < WORKERS; i++) {
		json_t *tasks = wk_agent_ledger(&agents[i]);
		json_t *item;
		size_t j;

		memset(&seen[i], 0, sizeof(seen[i]));
		json_array_foreach(json_object_get(tasks, "tasks"), j, item) {
			const char *state = json_string_value(
				json_object_get(item, "state"));

			seen[i].entries++;
			if (json_integer_value(json_object_get(item, "go_us")))
				seen[i].started++;
			seen[i].running += strcmp(state, "running") == 0;
		}
		json_decref(tasks);
	}
}

static int sum_started(void)
{
	int i, n = 0;

	look();
	for (i = 0; i < WORKERS; i++)
		n += seen[i].started;
	return n;
}

static int sum_running(void)
{
	int i, n = 0;

	look();
	for (i = 0; i < WORKERS; i++)
		n += seen[i].running;
	return n;
}

/* Tests. */

/* A gang that starts in part, twice or not at all. */
START_TEST(gang_runs_once_and_whole)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(150);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	ck_assert_int_eq(sum_running(), 2);
	wait_state(id, "done", WORKER_SYNC_MS + 2000);
	ck_assert_int_eq(sum_started(), 2);
	run(200);
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* A repeated submission that makes a second job, or hides another body. */
START_TEST(one_job_per_key)
{
	char first[JOB_ENTRY_ID_BYTES], second[JOB_ENTRY_ID_BYTES];

	begin(60000);
	flaky.lose = 1;
	ck_assert_int_lt(submit("k1", 8, first), 300);
	ck_assert_int_eq(submit("k1", 8, second), 200);
	ck_assert_str_eq(first, second);
	ck_assert_int_eq(submit("k1", 7, NULL), 422);
	wait_state(first, "running", 2000);
	ck_assert_int_eq(sum_started(), 1);
	end();
}
END_TEST

/* A takeover that stops whole gangs, or starts them a second time. */
START_TEST(takeover_adopts_whole_gang)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	run(50);
	kill_sched();
	start_sched(2);
	run(500);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(sum_started(), 2);
	ck_assert_int_eq(sum_running(), 2);
	end();
}
END_TEST

static int at_barrier(void)
{
	int i, n = 0;

	for (i = 0; i < WORKERS; i++)
		n += (int)agents[i].calls[AGENT_COMMIT];
	return n;
}

/* A takeover between commit and go that leaves a part of the gang running. */
START_TEST(takeover_at_barrier_runs_whole)
{
	char id[JOB_ENTRY_ID_BYTES];
	int i;

	begin(60000);
	for (i = 0; i < WORKERS; i++)
		agents[i].delay_ms = 40;
	ck_assert_int_eq(submit("k1", 16, id), 201);
	for (i = 0; i < 4000 && at_barrier() < 2; i++)
		run(1);
	ck_assert_int_eq(at_barrier(), 2);
	ck_assert_int_eq(sum_started(), 0);
	kill_sched();
	start_sched(2);
	run(200);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(sum_running(), 2);
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* A gang that goes on in part after one of its workers has died. */
START_TEST(lost_worker_stops_gang)
{
	char id[JOB_ENTRY_ID_BYTES];
	int64_t died_us;
	int victim = 0;

	begin(120000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	look();
	while (!seen[victim].running)
		victim++;
	wk_agent_finish(&agents[victim]);
	memset(&agents[victim], 0, sizeof(agents[victim]));
	list_init(&agents[victim].tasks);
	died_us = kn_now_us();
	while (sum_running() > 0) {
		ck_assert_int_lt(kn_now_us() - died_us,
				 TASK_LEASE_MS * USEC_PER_MSEC);
		run(100);
	}
	end();
}
END_TEST

/* A store outage that stops running work or loses the end of a job. */
START_TEST(store_outage_stops_nothing)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(1500);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	flaky.down = true;
	ck_assert_int_eq(submit("k2", 1, NULL), 503);
	ck_assert_int_eq(sum_running(), 2);
	wait_state(id, "done", 10000);
	flaky.down = false;
	run(1500);
	kill_sched();
	start_sched(2);
	run(500);
	ck_assert_str_eq(state_of(id), "done");
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* A job that runs again because its end was not in the store yet. */
START_TEST(unwritten_end_is_found)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(300);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	flaky.down = true;
	wait_state(id, "done", WORKER_SYNC_MS + 2000);
	/* One sync reports the ended task, the next would forget it. */
	run(2 * WORKER_SYNC_MS + 500);
	kill_sched();
	flaky.down = false;
	start_sched(2);
	run(500);
	wait_state(id, "done", 2000);
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* A graceful stop that stops running work or forgets to write a record. */
START_TEST(stop_leaves_work_running)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	flaky.down = true;
	wait_state(id, "running", 2000);
	flaky.down = false;
	sched->ops->drain(sched);
	lead(1, false, 0);
	while (!sched->drained)
		run(10);
	kill_sched();
	ck_assert_int_eq(sum_running(), 2);
	start_sched(2);
	run(500);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(json_integer_value(json_object_get(answer, "attempt")),
			 1);
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* Adds the customer "d", to which one worker is guaranteed. */
static void add_owner(void)
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
	tell_document();
}

static void submit_owner(char id[JOB_ENTRY_ID_BYTES])
{
	ck_assert_int_eq(
		api("POST", "/v1/jobs", "owner",
		    json_pack("{ss si}", "customer", "d", "accelerators", 8)),
		201);
	strcpy(id, json_string_value(json_object_get(answer, "id")));
}

/* A claim of an owner that waits while others use its accelerators. */
START_TEST(claim_is_met)
{
	char borrower[JOB_ENTRY_ID_BYTES], owner[JOB_ENTRY_ID_BYTES];

	begin(120000);
	add_owner();
	ck_assert_int_eq(submit("k1", 24, borrower), 201);
	wait_state(borrower, "running", 2000);
	submit_owner(owner);
	wait_state(owner, "running", RECLAIM_BOUND_MS);
	ck_assert_str_eq(state_of(borrower), "queued");
	end();
}
END_TEST

static void on_put(struct kv_call *call)
{
}

/* A job that is accepted by a host that another one has replaced. */
START_TEST(deposed_leader_writes_nothing)
{
	struct kv_op op = { .kind = KV_PUT,
			    .key = "/chivebank/dc/dc1/epoch",
			    .value = "2",
			    .len = 1 };
	struct kv_call call = { .done = on_put };

	begin(60000);
	flaky.inner->ops->txn(flaky.inner, &call, NULL, 0, &op, 1, NULL, 0);
	ck_assert_int_eq(submit("k1", 8, NULL), 503);
	kill_sched();
	start_sched(2);
	run(500);
	ck_assert_int_eq(api("GET", "/v1/jobs", NULL, NULL), 200);
	ck_assert_uint_eq(json_array_size(json_object_get(answer, "jobs")), 0);
	end();
}
END_TEST

/* Work that ends because leadership was away for a moment. */
START_TEST(regained_epoch_goes_on)
{
	char id[JOB_ENTRY_ID_BYTES];

	begin(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	flaky.down = true;
	lead(1, false, 0);
	run(300);
	lead(1, true, 600000);
	run(300);
	ck_assert_str_eq(state_of(id), "running");
	ck_assert_int_eq(sum_running(), 2);
	end();
}
END_TEST

/* A claim that waits for a worker that died while its work was saved. */
START_TEST(claim_leaves_lost_worker)
{
	char id[WORKERS][JOB_ENTRY_ID_BYTES], owner[JOB_ENTRY_ID_BYTES],
		key[16];
	int i, victim = -1;

	begin(120000);
	add_owner();
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
	submit_owner(owner);
	for (i = 0; victim < 0 && i < 100; i++) {
		run(10);
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
	end();
}
END_TEST

/* A leader whose lease has run out that still sends to workers. */
START_TEST(no_call_without_valid_lease)
{
	uint64_t before;
	int i;

	begin(60000);
	lead(1, true, -1);
	run(50);
	for (before = 0, i = 0; i < WORKERS; i++)
		before += agents[i].calls[AGENT_SYNC];
	run(WORKER_SYNC_MS + 500);
	for (i = 0; i < WORKERS; i++)
		before -= agents[i].calls[AGENT_SYNC];
	ck_assert_uint_eq(before, 0);
	ck_assert_int_eq(submit("k1", 8, NULL), 503);
	end();
}
END_TEST

/* A cancelled job that goes on, or that a new leader starts again. */
START_TEST(cancelled_job_stays_cancelled)
{
	char id[JOB_ENTRY_ID_BYTES];
	char *path;

	begin(60000);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 2000);
	path = g_strdup_printf("/v1/jobs/%s", id);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	g_free(path);
	wait_state(id, "cancelled", 2000);
	ck_assert_int_eq(sum_running(), 0);
	run(100);
	kill_sched();
	start_sched(2);
	run(500);
	ck_assert_str_eq(state_of(id), "cancelled");
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* A team that submits or cancels jobs of a customer that is not its own. */
START_TEST(calls_need_the_customers_team)
{
	char id[JOB_ENTRY_ID_BYTES];
	char *path;

	begin(60000);
	may = NULL;
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	may = "service/,customer/d";
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	may = "customer/d,customer/c";
	ck_assert_int_eq(submit("k1", 8, id), 201);
	path = g_strdup_printf("/v1/jobs/%s", id);
	may = "customer/d";
	ck_assert_int_eq(submit("k1", 8, NULL), 403);
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 403);
	ck_assert_int_eq(api("GET", path, NULL, NULL), 200);
	wait_state(id, "running", 2000);
	may = "customer/";
	ck_assert_int_eq(api("DELETE", path, NULL, NULL), 202);
	wait_state(id, "cancelled", 2000);
	g_free(path);
	end();
}
END_TEST

static int used_workers(void)
{
	struct sched *s = container_of(sched, struct sched, task);

	return s->policy.gs.customers[0].used[CELL_WORKER];
}

/* A takeover after which guaranteed work counts as borrowed. */
START_TEST(takeover_keeps_guaranteed_places)
{
	struct doc_guarantee guarantee = { "dc1", DOC_WORKER, 2 };
	char id[JOB_ENTRY_ID_BYTES];

	begin(60000);
	kill_sched();
	view->customers[0].guarantees =
		g_memdup2(&guarantee, sizeof(guarantee));
	view->customers[0].guarantee_count = 1;
	start_sched(2);
	run(200);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(used_workers(), 2);
	run(200);
	kill_sched();
	start_sched(3);
	wait_state(id, "running", 5000);
	ck_assert_int_eq(used_workers(), 2);
	ck_assert_int_eq(sum_started(), 2);
	end();
}
END_TEST

/* Removes or restores the only customer in a new document. */
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
 * Work of a removed customer that goes on or starts against its on_removal,
 * because the scheduler that saw the removal has died.
 */
START_TEST(removal_outlives_the_scheduler)
{
	char running[JOB_ENTRY_ID_BYTES], waiting[JOB_ENTRY_ID_BYTES];
	bool stop = _i & 1, changed = _i & 2;

	begin(60000);
	set_customer(true, stop != changed);
	tell_document();
	run(100);
	ck_assert_int_eq(submit("k1", 24, running), 201);
	wait_state(running, "running", 2000);
	ck_assert_int_eq(submit("k2", 24, waiting), 201);
	set_customer(true, stop);
	tell_document();
	run(300);
	kill_sched();
	set_customer(false, false);
	start_sched(2);
	wait_state(waiting, "cancelled", 5000);
	if (stop)
		wait_state(running, "cancelled", 5000);
	run(500);
	ck_assert_str_eq(state_of(running), stop ? "cancelled" : "running");
	ck_assert_int_eq(sum_running(), stop ? 0 : 3);
	ck_assert_int_eq(sum_started(), 3);
	end();
}
END_TEST

/* A pool that is defined after the scheduler began and never gets work. */
START_TEST(pool_may_come_later)
{
	struct doc_view *first;
	char id[JOB_ENTRY_ID_BYTES];

	begin(200);
	kill_sched();
	first = view;
	first->pool_count = 0;
	start_sched(2);
	run(200);
	make_view();
	tell_document();
	run(200);
	ck_assert_int_eq(submit("k1", 16, id), 201);
	wait_state(id, "done", 10000);
	first->pool_count = 1;
	doc_view_unref(first);
	end();
}
END_TEST

/* A stop that hangs because leadership ends while the task drains. */
START_TEST(drain_ends_without_leadership)
{
	begin(60000);
	sched->ops->drain(sched);
	lead(1, false, 0);
	run(500);
	ck_assert(sched->drained);
	end();
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("sched");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, gang_runs_once_and_whole);
	tcase_add_test(tcase, one_job_per_key);
	tcase_add_test(tcase, takeover_adopts_whole_gang);
	tcase_add_test(tcase, takeover_at_barrier_runs_whole);
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
	return run_case("sched", tcase);
}
