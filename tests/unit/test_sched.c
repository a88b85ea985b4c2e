#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/sched.h"
#include "daemon/svc.h"
#include "tests/standins/wk_agent.h"

#define AGENTS 2
#define DC "pg1"

/*
 * The real scheduler over the in-process store and the HTTP edge, with
 * stand-in workers in the same process. One task plays leadership, the
 * document and the API.
 */
struct peer_task {
	struct kn_task task;
	int status;
	json_t *answer;
	bool answered;
};

/* A store whose next transactions take effect but lose their answers. */
struct lossy_kv {
	struct kv kv;
	struct kv *inner;
	struct kv_ops ops;
	struct kv_call hidden;
	struct kv_call *lost;
	int losses;
};

static struct lossy_kv lossy;

static void lossy_done(struct kv_call *call)
{
	lossy.lost->result = CB_E_TIMEOUT;
	lossy.lost->done(lossy.lost);
}

static void lossy_txn(struct kv *kv, struct kv_call *call,
		      const struct kv_cmp *cmps, size_t ncmps,
		      const struct kv_op *then_ops, size_t nthen,
		      const struct kv_op *else_ops, size_t nelse)
{
	if (lossy.losses > 0) {
		lossy.losses--;
		lossy.lost = call;
		memset(&lossy.hidden, 0, sizeof(lossy.hidden));
		lossy.hidden.done = lossy_done;
		call = &lossy.hidden;
	}
	lossy.inner->ops->txn(lossy.inner, call, cmps, ncmps, then_ops, nthen,
			      else_ops, nelse);
}

static void lossy_range(struct kv *kv, struct kv_call *call, const char *key,
			bool prefix)
{
	lossy.inner->ops->range(lossy.inner, call, key, prefix);
}

static struct kn kn;
static struct set set;
static struct kv *kv;
static struct peer_task api;
static struct wk_agent agents[AGENTS];
static struct kn_task *sched;

static void api_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct svc_api_call *call;

	if (msg->type != SVC_API_REPLY) {
		kn_msg_release(msg);
		return;
	}
	call = container_of(msg, struct svc_api_call, msg);
	api.status = call->status;
	json_decref(api.answer);
	api.answer = call->answer;
	api.answered = true;
	kn_msg_release(msg);
}

static const struct kn_task_ops api_ops = { .receive = api_receive };

static void run_ms(int64_t ms)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us)
		kn_turn(&kn);
}

static void release_lead(struct kn_msg *msg)
{
	g_free(container_of(msg, struct svc_lead, msg));
}

static void lead(bool leading, uint64_t epoch, int64_t valid_ms)
{
	struct svc_lead *msg = g_new0(struct svc_lead, 1);

	msg->msg.type = SVC_LEAD_CHANGED;
	msg->msg.release = release_lead;
	msg->leading = leading;
	msg->epoch = epoch;
	msg->valid_until_us = kn_now_us() + valid_ms * USEC_PER_MSEC;
	kn_send(sched, &api.task, &msg->msg);
}

static void release_doc(struct kn_msg *msg)
{
	struct svc_doc *doc = container_of(msg, struct svc_doc, msg);

	doc_view_unref(doc->view);
	g_free(doc);
}

static void send_document(void)
{
	struct svc_doc *doc = g_new0(struct svc_doc, 1);
	struct doc_view *view = calloc(1, sizeof(*view));
	int i;

	view->revision = 1;
	view->customer_count = 2;
	view->customers = calloc(2, sizeof(*view->customers));
	strcpy(view->customers[1].name, "rodabersama");
	view->customers[1].weight = 1;
	view->customers[1].guarantee_count = 1;
	view->customers[1].guarantees = calloc(1, sizeof(struct doc_guarantee));
	strcpy(view->customers[1].guarantees[0].dc, DC);
	view->customers[1].guarantees[0].unit = DOC_WORKER;
	view->customers[1].guarantees[0].count = 1;
	strcpy(view->customers[0].name, "tensorlab");
	view->customers[0].weight = 1;
	view->customers[0].quota_accelerators = 32;
	view->pool_count = 1;
	view->pools = calloc(1, sizeof(*view->pools));
	strcpy(view->pools[0].dc, DC);
	view->pools[0].worker_count = AGENTS;
	view->pools[0].workers = calloc(AGENTS, sizeof(struct doc_worker));
	for (i = 0; i < AGENTS; i++) {
		struct doc_worker *w = &view->pools[0].workers[i];

		snprintf(w->name, sizeof(w->name), "w%d", i);
		strcpy(w->addr, "127.0.0.1");
		w->port = agents[i].server.port;
		w->accelerators = 8;
	}
	doc->msg.type = SVC_DOC_CHANGED;
	doc->msg.release = release_doc;
	doc->view = view;
	kn_send(sched, &api.task, &doc->msg);
}

static void release_call(struct kn_msg *msg)
{
	struct svc_api_call *call = container_of(msg, struct svc_api_call, msg);

	json_decref(call->body);
	g_free(call->method);
	g_free(call->path);
	g_free(call->key);
	g_free(call);
}

/* Makes an operator's call and returns the status. */
static int ask(const char *method, const char *path, const char *body,
	       const char *key)
{
	struct svc_api_call *call = g_new0(struct svc_api_call, 1);
	int64_t until_us = kn_now_us() + 3 * USEC_PER_SEC;

	call->msg.type = SVC_API_CALL;
	call->msg.release = release_call;
	call->method = g_strdup(method);
	call->path = g_strdup(path);
	call->body = body ? json_loads(body, 0, NULL) : NULL;
	call->key = g_strdup(key);
	api.answered = false;
	kn_send(sched, &api.task, &call->msg);
	while (!api.answered && kn_now_us() < until_us)
		kn_turn(&kn);
	ck_assert(api.answered);
	return api.status;
}

static const char *text(const char *field)
{
	return json_string_value(json_object_get(api.answer, field));
}

/* Waits until the job has the state; the time is bounded. */
static bool reaches(const char *path, const char *state, int64_t ms)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us) {
		if (ask("GET", path, NULL, NULL) == 200 &&
		    strcmp(text("state"), state) == 0)
			return true;
		run_ms(20);
	}
	return false;
}

static char *submit(int accelerators, const char *key)
{
	char *body = g_strdup_printf("{\"customer\":\"tensorlab\","
				     "\"accelerators\":%d}",
				     accelerators);

	ck_assert_int_eq(ask("POST", "/v1/jobs", body, key), 201);
	g_free(body);
	return g_strdup_printf("/v1/jobs/%s", text("id"));
}

static uint64_t writes(void)
{
	struct ctr *ctr;

	list_for_each_entry(ctr, &kn.counters.all, node)
		if (strcmp(ctr->name, "chivebank_job_writes_total") == 0)
			return ctr->value;
	return 0;
}

static void setup(void)
{
	struct wk_options options = { .addr = "127.0.0.1",
				      .accelerators = 8,
				      .task_ms = 400,
				      .checkpoint_ms = 50 };
	int i;

	memset(&set, 0, sizeof(set));
	memset(&api, 0, sizeof(api));
	strcpy(set.dc, DC);
	ck_assert(kn_init(&kn, NULL));
	for (i = 0; i < AGENTS; i++)
		ck_assert(wk_agent_init(&agents[i], &kn, &options, 0, NULL));
	lossy.inner = kv_mem_new(&kn);
	lossy.losses = 0;
	lossy.ops = (struct kv_ops){ .txn = lossy_txn, .range = lossy_range };
	lossy.kv.ops = &lossy.ops;
	kv = &lossy.kv;
	kn_add(&kn, &api.task, SVC_API, &api_ops);
	sched = sched_new(&kn, &set, kv, wagent_new);
	ck_assert(kn_start(&kn, NULL));
	send_document();
}

static void teardown(void)
{
	int i;

	for (i = 0; i < AGENTS; i++)
		wk_agent_finish(&agents[i]);
	json_decref(api.answer);
	kn_finish(&kn);
	kv_free(lossy.inner);
}

/* Guards against jobs that run on a part of their workers or never end. */
START_TEST(gang_runs_on_all_workers_and_ends)
{
	char *path;

	lead(true, 1, 60000);
	run_ms(500);
	path = submit(16, "k1");
	ck_assert(reaches(path, "running", 4000));
	ck_assert_int_eq(
		json_array_size(json_object_get(api.answer, "workers")),
		AGENTS);
	ck_assert(reaches(path, "done", 12000));
	run_ms(50);
	ck_assert_uint_eq(writes(), JOB_WRITES);
	g_free(path);
}
END_TEST

/* Guards against a repeated submission that makes a second job. */
START_TEST(submission_is_idempotent)
{
	char *path;

	lead(true, 1, 60000);
	run_ms(500);
	path = submit(8, "k1");
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"tensorlab\",\"accelerators\":8}",
			     "k1"),
			 200);
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"tensorlab\",\"accelerators\":4}",
			     "k1"),
			 422);
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"nobody\",\"accelerators\":4}",
			     "k2"),
			 404);
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"tensorlab\",\"accelerators\":17}",
			     "k3"),
			 422);
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"tensorlab\",\"accelerators\":33}",
			     "k4"),
			 403);
	ck_assert_int_eq(ask("DELETE", path, NULL, NULL), 202);
	ck_assert(reaches(path, "cancelled", 4000));
	ck_assert_int_eq(ask("DELETE", path, NULL, NULL), 409);
	g_free(path);
}
END_TEST

/* Guards against lost answers of workers that leave a gang half started. */
START_TEST(lost_answers_do_not_split_a_gang)
{
	char *path;

	lead(true, 1, 60000);
	run_ms(500);
	agents[0].drop_answers = 1;
	agents[1].drop_answers = 1;
	path = submit(16, "k1");
	ck_assert(reaches(path, "done", 20000));
	g_free(path);
}
END_TEST

/* Guards against a leader that acts after its lease, or without one. */
START_TEST(no_leader_no_work)
{
	run_ms(300);
	ck_assert_int_eq(ask("GET", "/v1/jobs", NULL, NULL), 503);
	lead(true, 1, 700);
	run_ms(500);
	ck_assert_int_eq(ask("GET", "/v1/workers", NULL, NULL), 200);
	run_ms(300);
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"tensorlab\",\"accelerators\":8}",
			     "k1"),
			 503);
	ck_assert_uint_eq(writes(), 0);
}
END_TEST

/* Guards against a takeover that stops or repeats a gang that runs well. */
START_TEST(takeover_adopts_a_whole_gang)
{
	char *path;
	int i;

	for (i = 0; i < AGENTS; i++)
		agents[i].options.task_ms = 6000;
	lead(true, 1, 60000);
	run_ms(500);
	path = submit(16, "k1");
	ck_assert(reaches(path, "running", 4000));
	lead(false, 1, 0);
	run_ms(200);
	ck_assert_int_eq(ask("GET", path, NULL, NULL), 503);
	lead(true, 2, 60000);
	run_ms(500);
	ck_assert(reaches(path, "running", 2000));
	ck_assert_int_eq(
		json_integer_value(json_object_get(api.answer, "attempt")), 1);
	ck_assert(reaches(path, "done", 20000));
	ck_assert_int_eq(
		json_integer_value(json_object_get(api.answer, "attempt")), 1);
	ck_assert_uint_eq(agents[0].epoch, 2);
	g_free(path);
}
END_TEST

/* Guards against a submission that is lost or doubled with its answer. */
START_TEST(lost_store_answer_is_settled_by_reading_back)
{
	char *path;

	lead(true, 1, 60000);
	run_ms(500);
	lossy.losses = 1;
	path = submit(8, "k1");
	ck_assert(reaches(path, "running", 4000));
	ck_assert_int_eq(ask("GET", "/v1/jobs", NULL, NULL), 200);
	ck_assert_int_eq(json_array_size(json_object_get(api.answer, "jobs")),
			 1);
	ck_assert_uint_eq(writes(), 2);
	g_free(path);
}
END_TEST

/*
 * Guards against a claim that waits for the work that holds its place: that
 * work is checkpointed and goes back to the queue (I1).
 */
START_TEST(urgent_claim_displaces_borrowed_work)
{
	char *path, *claim;
	int64_t from_us;
	int i;

	for (i = 0; i < AGENTS; i++)
		agents[i].options.task_ms = 30000;
	lead(true, 1, 60000);
	run_ms(500);
	path = submit(16, "k1");
	ck_assert(reaches(path, "running", 4000));
	from_us = kn_now_us();
	ck_assert_int_eq(ask("POST", "/v1/jobs",
			     "{\"customer\":\"rodabersama\","
			     "\"accelerators\":8,\"urgent\":true}",
			     "k2"),
			 201);
	claim = g_strdup_printf("/v1/jobs/%s", text("id"));
	ck_assert(reaches(claim, "running", RECLAIM_BOUND_MS));
	ck_assert_int_le(kn_now_us() - from_us,
			 RECLAIM_BOUND_MS * USEC_PER_MSEC);
	ck_assert(reaches(path, "queued", 1000));
	ck_assert_int_gt(
		json_integer_value(json_object_get(api.answer, "attained_us")),
		0);
	g_free(path);
	g_free(claim);
}
END_TEST

/* Guards against a task that is tried again on the worker it failed on. */
START_TEST(failed_job_moves_to_another_worker)
{
	char *path;

	agents[0].options.fail = true;
	lead(true, 1, 60000);
	run_ms(500);
	path = submit(8, "k1");
	ck_assert(reaches(path, "done", 25000));
	ck_assert_int_eq(
		json_integer_value(json_object_get(api.answer, "attempt")), 2);
	g_free(path);
}
END_TEST

static void count_running(struct wk_call *call)
{
	size_t i;

	*(int *)call->user = 0;
	for (i = 0; i < call->count; i++)
		*(int *)call->user += call->tasks[i].state == WK_RUNNING;
}

/* Asks a worker beside the scheduler how many tasks run on it. */
static int running_on(int agent)
{
	struct wk_edge *edge = wagent_new(&kn);
	int n = -1, drop = agents[agent].drop_answers;
	struct wk_request request = { .verb = WK_SYNC,
				      .addr = "127.0.0.1",
				      .port = agents[agent].server.port,
				      .epoch = 1,
				      .timeout_ms = 1000 };
	struct wk_call call = { .user = &n };
	int64_t until_us = kn_now_us() + USEC_PER_SEC;

	agents[agent].drop_answers = 0;
	edge->ops->start(edge, &call, &request, count_running);
	while (n < 0 && kn_now_us() < until_us)
		kn_turn(&kn);
	agents[agent].drop_answers = drop;
	edge->ops->finish(edge);
	return n;
}

/*
 * Guards against a gang that goes on when one of its workers is lost: it
 * must have stopped on all of them within the lease, also on the lost one,
 * to which calls still get through (I2).
 */
START_TEST(lost_worker_stops_the_whole_gang)
{
	int64_t from_us;
	char *path;
	int i;

	for (i = 0; i < AGENTS; i++)
		agents[i].options.task_ms = 120000;
	lead(true, 1, 120000);
	run_ms(500);
	path = submit(16, "k1");
	ck_assert(reaches(path, "running", 4000));
	agents[1].drop_answers = 1000000;
	from_us = kn_now_us();
	do {
		run_ms(250);
		ck_assert_int_le(kn_now_us() - from_us,
				 TASK_LEASE_MS * USEC_PER_MSEC);
	} while (running_on(0) != 0 || running_on(1) != 0);
	agents[1].drop_answers = 0;
	/* It starts again only when the lost worker's lease is over. */
	ck_assert(reaches(path, "queued", 50000) ||
		  reaches(path, "reserved", 1000));
	ck_assert(reaches(path, "running", 10000));
	ck_assert_int_eq(
		json_integer_value(json_object_get(api.answer, "attempt")), 2);
	g_free(path);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched");
	TCase *tc = tcase_create("sched");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 100);
	tcase_add_test(tc, gang_runs_on_all_workers_and_ends);
	tcase_add_test(tc, submission_is_idempotent);
	tcase_add_test(tc, lost_answers_do_not_split_a_gang);
	tcase_add_test(tc, no_leader_no_work);
	tcase_add_test(tc, lost_store_answer_is_settled_by_reading_back);
	tcase_add_test(tc, urgent_claim_displaces_borrowed_work);
	tcase_add_test(tc, failed_job_moves_to_another_worker);
	tcase_add_test(tc, lost_worker_stops_the_whole_gang);
	tcase_add_test(tc, takeover_adopts_a_whole_gang);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
