#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "tests/standins/wk_agent.h"
#include "tests/unit/run.h"

#define TIMEOUT_MS 300
#define STATE_WAIT_MS 5000

static struct kn kn;
static struct wk_agent agent;
static struct agent_client *client;
static struct agent_task last; /* first task of the last report */
static size_t last_count;

static void setup(void)
{
	struct wk_options options = { .addr = "127.0.0.1",
				      .accelerators = 8,
				      .task_ms = 60000,
				      .checkpoint_ms = 30 };

	ck_assert(kn_init(&kn, NULL));
	ck_assert(wk_agent_init(&agent, &kn, &options, 0, NULL));
	client = agent_http_new(&kn);
}

static void teardown(void)
{
	client->ops->finish(client);
	wk_agent_finish(&agent);
	kn_finish(&kn);
}

static void call_done(struct agent_call *call)
{
	last_count = call->count;
	if (call->count)
		last = call->tasks[0];
	*(bool *)call->user = true;
}

/* Makes a call and returns its result. go is a token for AGENT_SYNC or NULL. */
static int call(enum agent_verb verb, uint64_t epoch, const char *token,
		const char *go)
{
	struct agent_request request = { .verb = verb,
					 .addr = "127.0.0.1",
					 .port = agent.server.port,
					 .epoch = epoch,
					 .timeout_ms = TIMEOUT_MS,
					 .token = token,
					 .job = "j",
					 .accelerators = 5,
					 .term_ms = 5000,
					 .grace_ms = 1000,
					 .go = &go,
					 .go_count = go ? 1 : 0 };
	bool done = false;
	struct agent_call c = { .user = &done };

	client->ops->start(client, &c, &request, call_done);
	while (!done)
		kn_turn(&kn);
	return c.result;
}

static void wait_for(enum agent_state state)
{
	int64_t end_us = kn_now_us() + STATE_WAIT_MS * USEC_PER_MSEC;

	while (kn_now_us() < end_us) {
		ck_assert_int_eq(call(AGENT_SYNC, 2, NULL, NULL), CB_OK);
		if (last.state == state)
			return;
	}
	ck_abort_msg("task did not reach the expected state in time");
}

/*
 * Guards against a task that starts before its token is in "go", and against
 * fields of a task that are lost in the JSON encoding.
 */
START_TEST(gang_member_runs_after_go)
{
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "t", NULL), CB_OK);
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "t", NULL), CB_OK);
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "u", NULL), CB_E_CONFLICT);
	ck_assert_int_eq(call(AGENT_COMMIT, 2, "t", NULL), CB_OK);
	ck_assert_int_eq(call(AGENT_SYNC, 2, NULL, NULL), CB_OK);
	ck_assert_int_eq(last.state, AGENT_BARRIER);
	ck_assert_int_eq(last.accelerators, 5);
	ck_assert_str_eq(last.job, "j");
	ck_assert_int_eq(call(AGENT_SYNC, 2, NULL, "t"), CB_OK);
	ck_assert_int_eq(last.state, AGENT_RUNNING);
	ck_assert_int_eq(call(AGENT_CHECKPOINT, 2, "t", NULL), CB_OK);
	wait_for(AGENT_STOPPED);
	ck_assert(last.checkpointed);
}
END_TEST

/* Guards against a worker that accepts calls of a replaced leader. */
START_TEST(older_epoch_is_refused)
{
	ck_assert_int_eq(call(AGENT_SYNC, 3, NULL, NULL), CB_OK);
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "t", NULL), CB_E_CONFLICT);
	ck_assert_uint_eq(agent.refused, 1);
	ck_assert_int_eq(call(AGENT_SYNC, 3, NULL, NULL), CB_OK);
	ck_assert_uint_eq(last_count, 0);
}
END_TEST

/* Guards against a reserve that arrives after the abort of its token. */
START_TEST(abort_wins_over_late_reserve)
{
	ck_assert_int_eq(call(AGENT_ABORT, 2, "t", NULL), CB_OK);
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "t", NULL), CB_E_CONFLICT);
}
END_TEST

/* Guards against treating a lost answer as a call that had no effect. */
START_TEST(lost_answer_is_unknown)
{
	agent.drop_answers = 1;
	ck_assert_int_eq(call(AGENT_RESERVE, 2, "t", NULL),
			 CB_E_UPSTREAM_TIMEOUT);
	ck_assert_int_eq(call(AGENT_SYNC, 2, NULL, NULL), CB_OK);
	ck_assert_uint_eq(last_count, 1);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("agent client");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, gang_member_runs_after_go);
	tcase_add_test(tc, older_epoch_is_refused);
	tcase_add_test(tc, abort_wins_over_late_reserve);
	tcase_add_test(tc, lost_answer_is_unknown);
	return run_case("agent_http", tc);
}
