#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/host.h"
#include "platform/settings.h"
#include "tests/standins/site_check.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Entry hosts of the platform, with simulated store and workers. */

static struct rig rig;

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static void check_invariants(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
}

static struct rig_reply call_host(int host, const char *method, const char *id,
				  const char *key)
{
	char path[64];

	snprintf(path, sizeof(path), "%s%s", RIG_PREFIX, id);
	return rig_call(&rig, host, method, path, key, NULL);
}

/* Submits n jobs with consecutive IDs from base on; each must be accepted
 * within five attempts. */
static void submit_many(int n, int base, int count, const char *payload,
			const char *extra)
{
	char id[32];
	int i, status, tries;

	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%016x", base + i);
		for (tries = 0, status = 0; status != 200 && tries < 5; tries++)
			status = rig_submit(&rig, i % rig.nhosts, id, count,
					    payload, extra);
		ck_assert_int_eq(status, 200);
	}
}

static void wait_many(int n, int base, const char *state, int64_t timeout_ms)
{
	char id[32];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%016x", base + i);
		ck_assert_msg(rig_wait(&rig, 0, id, state, timeout_ms),
			      "job %s is %s and not %s", id,
			      rig_state(&rig, 0, id), state);
	}
}

START_TEST(job_runs_and_is_seen_everywhere)
{
	rig_start(&rig, 3, 4, 1);
	ck_assert_int_eq(rig_submit(&rig, 1, JOB_A, 3, "ms=200", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	ck_assert_str_eq(rig_state(&rig, 1, JOB_A), "done");
	ck_assert_str_eq(rig_state(&rig, 2, JOB_A), "done");
	ck_assert_uint_eq(rig.fleet->dones, 3);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(same_id_is_one_job)
{
	rig_start(&rig, 2, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 2, "ms=100", NULL), 200);
	ck_assert_int_eq(rig_submit(&rig, 1, JOB_A, 2, "ms=100", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	ck_assert_int_eq(rig_submit(&rig, 1, JOB_A, 2, "ms=100", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_uint_eq(rig.fleet->starts, 2);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* Job IDs are case-sensitive. */
START_TEST(case_of_an_id_is_kept)
{
	rig_start(&rig, 1, 2, 1);
	ck_assert_int_eq(
		rig_submit(&rig, 0, "ABCDEF0123456789", 1, "ms=50", NULL), 200);
	ck_assert(rig_wait(&rig, 0, "ABCDEF0123456789", "done", 3000));
	ck_assert_int_eq(
		call_host(0, "GET", "abcdef0123456789", RIG_KEY).status, 410);
	ck_assert_ptr_nonnull(g_hash_table_lookup(rig.fleet->tasks,
						  "ABCDEF0123456789.0.0.0"));
	rig_stop(&rig);
}
END_TEST

START_TEST(failed_runs_are_repeated_up_to_the_attempts)
{
	rig_start(&rig, 1, 4, 1);
	ck_assert_int_eq(
		rig_submit(&rig, 0, JOB_A, 1, "ms=50 fail=2 attempts=3", NULL),
		200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 6000));
	ck_assert_int_eq(
		rig_submit(&rig, 0, JOB_B, 2, "ms=50 fail=9 attempts=3", NULL),
		200);
	ck_assert(rig_wait(&rig, 0, JOB_B, "failed", 15000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(steps_run_in_order)
{
	static const char body[] =
		"{\"spec\":\"ms=80 before=2\",\"steps\":["
		"{\"count\":2,\"cpu\":100,\"gpu\":1,\"est_ms\":80},"
		"{\"count\":4,\"cpu\":100,\"gpu\":1,\"est_ms\":80,"
		"\"after\":[0],\"max_per_server\":2}]}";

	rig_start(&rig, 1, 4, 1);
	ck_assert_int_eq(
		rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY, body)
			.status,
		200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(gang_starts_whole_and_survives_a_lost_member)
{
	struct site_worker *worker;
	int working = 0;

	rig_start(&rig, 2, 4, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 12, "ms=800 gang=12",
				    ",\"gang\":true"),
			 200);
	rig_run_ms(&rig, 400);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		working += !list_empty(&worker->runs);
	ck_assert_int_ge(working, 2);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (!list_empty(&worker->runs))
			break;
	site_worker_crash(worker);
	rig_run_ms(&rig, 300);
	site_worker_restart(worker);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 9000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(cancelled_job_stops_and_stays_cancelled)
{
	rig_start(&rig, 2, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 4, "ms=9000", NULL), 200);
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 4);
	ck_assert_int_eq(call_host(1, "DELETE", JOB_A, RIG_KEY).status, 200);
	site_fleet_cancelled(rig.fleet, JOB_A);
	rig_run_ms(&rig, 600);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 0);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "cancelled");
	ck_assert_int_eq(call_host(0, "DELETE", JOB_A, RIG_KEY).status, 200);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* A job that is submitted after its cancellation never runs. */
START_TEST(cancelled_before_it_arrives)
{
	rig_start(&rig, 2, 2, 1);
	ck_assert_int_eq(call_host(0, "DELETE", JOB_A, RIG_KEY).status, 410);
	ck_assert_int_eq(rig_submit(&rig, 1, JOB_A, 1, "ms=50", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "cancelled");
	ck_assert_uint_eq(rig.fleet->starts, 0);
	rig_stop(&rig);
}
END_TEST

START_TEST(callers_without_right_are_refused)
{
	rig_start(&rig, 1, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=50", NULL), 200);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, NULL).status, 401);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, "no such key").status, 401);
	/* Another customer can neither see nor cancel the job. */
	ck_assert_int_eq(call_host(0, "GET", JOB_A, "key-two").status, 410);
	ck_assert_int_eq(call_host(0, "DELETE", JOB_A, "key-two").status, 410);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	ck_assert_int_eq(call_host(0, "GET", JOB_B, RIG_KEY).status, 410);
	ck_assert_int_eq(
		rig_call(&rig, 0, "GET", "/nowhere/" JOB_A, RIG_KEY, NULL)
			.status,
		404);
	rig_stop(&rig);
}
END_TEST

START_TEST(malformed_submissions_are_refused)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{\"spec\":7,\"steps\":[{\"count\":1}]}",
		"{\"spec\":\"x\"}",
		"{\"spec\":\"x\",\"steps\":[]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":0}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":99999999}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-5}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"times\":1e18}",
	};
	size_t i;

	rig_start(&rig, 1, 1, 1);
	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		ck_assert_msg(rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A,
				       RIG_KEY, bodies[i])
					      .status == 400,
			      "body %zu", i);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, RIG_KEY).status, 410);
	ck_assert_int_eq(
		rig_call(&rig, 0, "POST", RIG_PREFIX "short", RIG_KEY, "{}")
			.status,
		404);
	rig_stop(&rig);
}
END_TEST

START_TEST(change_of_configuration_is_in_force_everywhere)
{
	int host;

	rig_start(&rig, 3, 1, 1);
	rig_configure(&rig, 2, "key-new");
	rig_run_ms(&rig, 300);
	for (host = 0; host < 3; host++) {
		ck_assert_int_eq(
			call_host(host, "GET", JOB_A, "key-new").status, 410);
		ck_assert_int_eq(call_host(host, "GET", JOB_A, RIG_KEY).status,
				 401);
	}
	/* An older version and a malformed one are ignored. */
	rig_configure(&rig, 1, RIG_KEY);
	site_store_put(rig.store, "op/config", "{\"version\":");
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, RIG_KEY).status, 401);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, "key-new").status, 410);
	rig_stop(&rig);
}
END_TEST

START_TEST(compacted_history_is_read_again)
{
	rig_start(&rig, 2, 2, 1);
	rig_configure(&rig, 2, "key-new");
	site_store_compact(rig.store);
	rig_run_ms(&rig, 600);
	ck_assert_int_eq(call_host(1, "GET", JOB_A, "key-new").status, 410);
	rig_configure(&rig, 3, RIG_KEY);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 2, "ms=400", NULL), 200);
	site_store_compact(rig.store);
	ck_assert(rig_wait(&rig, 1, JOB_A, "done", 4000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* Malformed worker entries are skipped; the others stay in use. */
START_TEST(malformed_worker_entries_are_skipped)
{
	rig_start(&rig, 1, 2, 1);
	site_store_put(rig.store, "servers/x1", "not json");
	site_store_put(rig.store, "servers/x2", "{\"svc\":\"pool\"}");
	site_store_put(rig.store, "servers/x3",
		       "{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":1,"
		       "\"state\":\"odd\",\"born\":\"x\",\"clock_ms\":1}");
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 16, "ms=100", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 4000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * During an outage of the store no job is accepted, calls are refused at once
 * as soon as the outage is detected, and running work outlives its first
 * lease.
 */
START_TEST(store_outage)
{
	struct rig_reply reply;
	int tries;

	rig_start(&rig, 2, 4, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 4, "ms=9000", NULL), 200);
	rig_run_ms(&rig, 300);
	site_store_fault(rig.store, -1, SITE_SILENT, 0, 0);
	for (tries = 0; tries < 4; tries++) {
		reply = rig_call(&rig, 0, "POST", RIG_PREFIX JOB_B, RIG_KEY,
				 "{\"spec\":\"ms=50\",\"steps\":[{\"count\":1,"
				 "\"gpu\":1}]}");
		ck_assert_int_ge(reply.status, 503);
	}
	ck_assert_int_eq(reply.status, 503);
	ck_assert_int_ge(reply.retry_after_s, 1);
	ck_assert_int_lt(reply.took_ms, 200);
	rig_run_ms(&rig, 2000);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 4);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	ck_assert(rig_wait(&rig, 1, JOB_A, "done", 12000));
	ck_assert_uint_eq(rig.fleet->dones, 4);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_B, 1, "ms=50", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_B, "done", 3000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * The store refuses every host, or answers none: as soon as that is detected,
 * reads are refused at once with a retry-after time.
 */
START_TEST(reads_without_a_store_fail_fast)
{
	static const char *const targets[] = { JOB_A, "" };
	static const enum site_fault faults[] = { SITE_BUSY, SITE_SILENT };
	struct rig_reply reply = { 0 };
	size_t i, j;
	int tries;

	rig_start(&rig, 2, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=100", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		rig_run_ms(&rig, 600);
		site_store_fault(rig.store, -1, faults[i], 0, 0);
		for (tries = 0; tries < 4; tries++)
			reply = call_host(0, "GET", JOB_A, RIG_KEY);
		for (j = 0; j < G_N_ELEMENTS(targets); j++) {
			reply = call_host(0, "GET", targets[j], RIG_KEY);
			ck_assert_int_eq(reply.status, 503);
			ck_assert_int_ge(reply.retry_after_s, 1);
			ck_assert_int_lt(reply.took_ms, 200);
		}
		site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
		ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	}
	rig_stop(&rig);
}
END_TEST

/* A call whose deadline leaves no time for an answer is refused without a
 * request to the store. */
START_TEST(calls_without_time_left_are_refused)
{
	struct rig_reply reply;

	rig_start(&rig, 1, 2, 1);
	reply = rig_call_within(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
				"{\"spec\":\"ms=50\",\"steps\":[{\"count\":1,"
				"\"gpu\":1}]}",
				"50");
	ck_assert_int_eq(reply.status, 503);
	ck_assert_int_ge(reply.retry_after_s, 1);
	ck_assert_uint_eq(site_store_count(rig.store, "chivebank/intake/"), 0);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, RIG_KEY).status, 410);
	reply = rig_call_within(&rig, 0, "GET", RIG_PREFIX JOB_A, RIG_KEY, NULL,
				"50");
	ck_assert_int_eq(reply.status, 503);
	rig_stop(&rig);
}
END_TEST

/* The store fails in different ways for one host only; other hosts relay its
 * calls. */
START_TEST(calls_of_a_refused_host_are_relayed)
{
	static const enum site_fault faults[] = { SITE_BUSY, SITE_MANY,
						  SITE_SILENT };
	int leader, host;
	char id[32];
	size_t i;

	rig_start(&rig, 3, 4, 1);
	leader = rig_leader(&rig);
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		host = i == 0 ? leader : (int)i % 3;
		site_store_fault(rig.store, rig.hosts[host].door, faults[i], 0,
				 0);
		snprintf(id, sizeof(id), "%016zx", 100 + i);
		ck_assert_int_eq(rig_submit(&rig, host, id, 2, "ms=100", NULL),
				 200);
		ck_assert(rig_wait(&rig, host, id, "done", 6000));
		/* A configuration change reaches the host too. */
		rig_configure(&rig, 10 + (int)i * 2, "key-new");
		rig_run_ms(&rig, 1500);
		ck_assert_int_eq(call_host(host, "GET", id, "key-new").status,
				 200);
		rig_configure(&rig, 11 + (int)i * 2, RIG_KEY);
		site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
		rig_run_ms(&rig, 1000);
	}
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* A probe of the direct route every 250 ms, and a call. */
#define DIRECT_AGAIN_MAX_MS 400

/*
 * A host that the store refused is served again, while the host that relays its
 * calls loses the store: the caller does not wait for the other host's timeout.
 */
START_TEST(relayed_call_returns_to_the_direct_route)
{
	struct rig_reply reply;

	rig_start(&rig, 2, 2, 1);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_BUSY, 0, 0);
	rig_run_ms(&rig, 1000);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=100", NULL), 200);
	site_store_fault(rig.store, rig.hosts[1].door, SITE_SILENT, 0, 0);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_WELL, 0, 0);
	reply = rig_call(&rig, 0, "POST", RIG_PREFIX JOB_B, RIG_KEY,
			 "{\"spec\":\"ms=50\",\"steps\":[{\"count\":1}]}");
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_le(reply.took_ms, DIRECT_AGAIN_MAX_MS);
	rig_stop(&rig);
}
END_TEST

/*
 * A write is carried out and answered with 500, and then refused on the other
 * route: the caller must not be told that its job was not accepted.
 */
START_TEST(error_of_the_store_is_no_refusal)
{
	struct rig_reply reply;

	rig_start(&rig, 2, 2, 1);
	site_store_fault(rig.store, rig.hosts[1].door, SITE_BUSY, 0, 0);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_ERROR, 0, 0);
	reply = rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
			 "{\"spec\":\"ms=50\",\"steps\":[{\"count\":1}]}");
	ck_assert_uint_eq(site_store_count(rig.store, "chivebank/intake/"), 1);
	ck_assert_int_ne(reply.status, 503);
	ck_assert_int_ne(reply.status, 429);
	rig_stop(&rig);
}
END_TEST

/*
 * The store does not answer within the callers' time: reads have changed
 * nothing and say so; a submission may still be carried out.
 */
START_TEST(only_writes_end_with_an_unknown_outcome)
{
	struct rig_reply reply;

	rig_start(&rig, 2, 2, 1);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 5000);
	reply = rig_call_within(&rig, 0, "GET", RIG_PREFIX JOB_A, RIG_KEY, NULL,
				"400");
	ck_assert_int_eq(reply.status, 503);
	ck_assert_int_ge(reply.retry_after_s, 1);
	reply = rig_call_within(
		&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
		"{\"spec\":\"ms=50\",\"steps\":[{\"count\":1}]}", "400");
	ck_assert_int_eq(reply.status, 504);
	rig_stop(&rig);
}
END_TEST

/* A poll of 250 ms, the delay of a hedge, and the job of 50 ms. */
#define SEEN_MAX_MS 900

/*
 * The store forgets a poll that waits for submissions. The next submission is
 * seen as soon as an answer to the poll is overdue.
 */
START_TEST(silent_poll_delays_no_submission)
{
	int i;

	rig_start(&rig, 1, 2, 1);
	for (i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%016x", 0x500 + i);
		rig_run_ms(&rig, 100);
		site_store_silence_polls(rig.store);
		ck_assert_int_eq(rig_submit(&rig, 0, id, 1, "ms=50", NULL),
				 200);
		ck_assert(rig_wait(&rig, 0, id, "done", SEEN_MAX_MS));
	}
	rig_stop(&rig);
}
END_TEST

/* Longer than configuration.c takes for a pause, and shorter than the timeout
 * of a poll, through which the store would be taken for lost. */
#define PAUSE_MS 1100

/*
 * A key is withdrawn while the process is paused. After the pause it is not
 * accepted any more, although the store has not answered yet.
 */
START_TEST(paused_host_accepts_no_withdrawn_key)
{
	struct rig_reply reply;

	rig_start(&rig, 1, 1, 1);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, RIG_KEY).status, 410);
	rig_configure(&rig, 3, RIG_KEY); /* begins a new poll */
	rig_run_ms(&rig, 50);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 300);
	g_usleep(PAUSE_MS * 1000);
	rig_configure(&rig, 5, "key-new");
	reply = call_host(0, "GET", JOB_A, RIG_KEY);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_int_ge(reply.retry_after_s, 1);
	rig_run_ms(&rig, 1500);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, RIG_KEY).status, 401);
	ck_assert_int_eq(call_host(0, "GET", JOB_A, "key-new").status, 410);
	rig_stop(&rig);
}
END_TEST

/*
 * Load: 100 other hosts register. The reads of this host do not grow with
 * that; otherwise the store would send n changes to each of n hosts.
 */
START_TEST(registrations_elsewhere_cause_no_reads)
{
	uint64_t before, quiet, busy;
	char key[64];
	int i;

	rig_start(&rig, 1, 1, 1);
	rig_run_ms(&rig, 3000);
	before = rig.store->doors[0].calls;
	rig_run_ms(&rig, 2000);
	quiet = rig.store->doors[0].calls - before;
	before = rig.store->doors[0].calls;
	for (i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "chivebank/hosts/d1/other-%d", i);
		site_store_put(rig.store, key, "127.0.0.1 1 100");
		rig_run_ms(&rig, 20);
	}
	busy = rig.store->doors[0].calls - before;
	ck_assert_uint_le(busy, quiet + 2);
	rig_stop(&rig);
}
END_TEST

START_TEST(leader_whose_lease_lapses)
{
	rig_start(&rig, 3, 4, 1);
	submit_many(6, 0x100, 3, "ms=1500", NULL);
	rig_run_ms(&rig, 300);
	site_store_lapse(rig.store, "chivebank/leader");
	ck_assert(rig_wait_leader(&rig, 3000));
	rig_run_ms(&rig, 300);
	site_store_lapse(rig.store, "chivebank/leader");
	wait_many(6, 0x100, "done", 8000);
	ck_assert_uint_eq(rig.fleet->dones, 18);
	/* The new leader adopted the running tasks and restarted none. */
	ck_assert_uint_eq(rig.fleet->starts, 18);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

#define LAST_LEADER_KEY "chivebank/leader/last"

/*
 * Guards against a run that is started elsewhere while a leader before the last
 * one still extends its lease: it was cut off, has not confirmed that it has
 * stopped, and the last leader, which has, is not the only one to be asked.
 */
START_TEST(every_unconfirmed_leader_is_waited_for)
{
	struct site_worker *worker;
	const struct site_item *item;
	char *list;

	rig_start(&rig, 2, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=60000", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (!list_empty(&worker->runs))
			break;
	/* An earlier leader at whose address nobody answers. */
	item = site_store_get(rig.store, LAST_LEADER_KEY);
	list = g_strconcat(item->value, " cut-off 7 127.0.0.1 1", NULL);
	site_store_put(rig.store, LAST_LEADER_KEY, list);
	g_free(list);
	rig_run_ms(&rig, 100);
	worker->fault = SITE_WORKER_SILENT;
	site_store_lapse(rig.store, "chivebank/leader");
	ck_assert(rig_wait_leader(&rig, 3000));
	item = site_store_get(rig.store, LAST_LEADER_KEY);
	ck_assert_msg(strstr(item->value, "cut-off"), "%s", item->value);
	/* Twice max_hold_ms: of the earlier leader's last extension, and of
	 * the lease. */
	rig_run_ms(&rig, 5000);
	ck_assert_uint_eq(rig.fleet->starts, 1);
	rig_run_ms(&rig, 2000);
	ck_assert_uint_eq(rig.fleet->starts, 2);
	/* The next leaders need not ask it. */
	item = site_store_get(rig.store, LAST_LEADER_KEY);
	ck_assert_msg(!strstr(item->value, "cut-off"), "%s", item->value);
	rig_stop(&rig);
}
END_TEST

/* Time limit from the return of the store to the next election: a poll, two
 * calls and the extra delay of weak hosts, much less than a lease. */
#define REELECTION_MAX_MS 1000

/*
 * The store is unavailable for longer than a lease and pauses its leases
 * meanwhile. The leader has stepped down, but its key would block an election
 * for another full lease unless the host deletes it once the store is back.
 */
START_TEST(reelection_after_a_store_outage)
{
	const struct site_item *item;
	int64_t before, until_us;

	rig_start(&rig, 2, 4, 1);
	before = site_store_get(rig.store, "chivebank/leader")->created;
	rig.store->leases_pause = true;
	site_store_fault(rig.store, -1, SITE_BUSY, 0, 0);
	rig_run_ms(&rig, 3000);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	rig.store->leases_pause = false;
	until_us = kn_now_us() + REELECTION_MAX_MS * USEC_PER_MSEC;
	do {
		rig_run_ms(&rig, 5);
		item = site_store_get(rig.store, "chivebank/leader");
	} while (kn_now_us() < until_us && (!item || item->created == before));
	ck_assert_ptr_nonnull(item);
	ck_assert_int_ne(item->created, before);
	rig_stop(&rig);
}
END_TEST

/*
 * A host with too few cores was elected first: it hands over to a stronger
 * one, and no task runs twice.
 */
START_TEST(weak_leader_hands_over)
{
	int64_t until_us;
	int weak;

	rig_start(&rig, 3, 4, 1);
	weak = rig_leader(&rig);
	submit_many(6, 0x100, 3, "ms=9000", NULL);
	rig.hosts[weak].site.cores = 0.1;
	until_us = kn_now_us() + 6000 * USEC_PER_MSEC;
	while (kn_now_us() < until_us &&
	       (rig_leader(&rig) == weak || rig_leader(&rig) < 0))
		rig_run_ms(&rig, 10);
	ck_assert_int_ne(rig_leader(&rig), weak);
	ck_assert_int_ge(rig_leader(&rig), 0);
	wait_many(6, 0x100, "done", 12000);
	ck_assert_uint_eq(rig.fleet->starts, 18);
	ck_assert_int_ne(rig_leader(&rig), weak);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* The first is a host of strength 0; the others are no entries of hosts. */
static const char *const no_stronger_hosts[] = {
	"127.0.0.1 1 0",
	"127.0.0.1 1 2000000000",
	"127.0.0.1 1 9223372036854775807",
	"127.0.0.1 1 -2147483548",
	"127.0.0.1 99999 100",
	"127.0.0.1 4294967297 100",
};

/*
 * If all hosts have strength 0, the leader does not hand over. Guards also
 * against a leader that hands over again and again, to a host that never takes
 * over, because of an absurd figure.
 */
START_TEST(weakest_hosts_keep_their_leader)
{
	uint64_t before;

	rig_start(&rig, 1, 2, 1);
	rig.hosts[0].site.cores = 0.001;
	ck_assert_int_eq(site_strength(&rig.hosts[0].site), 0);
	site_store_put(rig.store, "chivebank/hosts/d1/other",
		       no_stronger_hosts[_i]);
	rig_run_ms(&rig, 1500);
	before = (uint64_t)site_store_get(rig.store, "chivebank/leader")
			 ->created;
	rig_run_ms(&rig, 4000);
	ck_assert_ptr_nonnull(site_store_get(rig.store, "chivebank/leader"));
	ck_assert_uint_eq(
		(uint64_t)site_store_get(rig.store, "chivebank/leader")
			->created,
		before);
	rig_stop(&rig);
}
END_TEST

/* Among hosts of equal strength the leadership does not change. */
START_TEST(equal_hosts_keep_their_leader)
{
	int leader;

	rig_start(&rig, 3, 2, 1);
	leader = rig_leader(&rig);
	rig_run_ms(&rig, 5000);
	ck_assert_int_eq(rig_leader(&rig), leader);
	rig_stop(&rig);
}
END_TEST

/* Runs jobs while store and workers lose or delay answers and the leader
 * changes three times; all jobs must end without a violation. */
static void run_with_faults(uint32_t seed, enum site_fault store_fault,
			    enum site_worker_fault worker_fault)
{
	struct site_worker *worker;
	int i;

	rig_start(&rig, 3, 6, seed);
	site_store_fault(rig.store, -1, store_fault, 30, 0);
	list_for_each_entry(worker, &rig.fleet->workers, node) {
		worker->fault = worker_fault;
		worker->percent = 30;
	}
	submit_many(4, 0x200, 3, "ms=300", NULL);
	submit_many(2, 0x300, 4, "ms=300 gang=4", ",\"gang\":true");
	for (i = 0; i < 3; i++) {
		rig_run_ms(&rig, 500);
		site_store_lapse(rig.store, "chivebank/leader");
	}
	rig_run_ms(&rig, 1500);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = SITE_WORKER_WELL;
	wait_many(4, 0x200, "done", 15000);
	wait_many(2, 0x300, "done", 15000);
	check_invariants();
	rig_stop(&rig);
}

START_TEST(answers_of_the_store_are_lost)
{
	run_with_faults(1 + (uint32_t)_i, SITE_LOST, SITE_WORKER_WELL);
}
END_TEST

/*
 * Load: the store loses half of its answers to writes. Callers must not wait
 * for lost answers: with three attempts one call in eight gets none, with a
 * single attempt half of them.
 */
START_TEST(lost_answers_are_hedged)
{
	struct rig_reply reply;
	char path[64];
	int slow = 0, i;

	rig_start(&rig, 1, 4, 7);
	site_store_fault(rig.store, -1, SITE_LOST, 50, 0);
	for (i = 0; i < 40; i++) {
		snprintf(path, sizeof(path), "%s%016x", RIG_PREFIX, 0x900 + i);
		reply = rig_call(&rig, 0, "POST", path, RIG_KEY,
				 "{\"spec\":\"ms=10\",\"steps\":[{\"count\":1,"
				 "\"gpu\":1}]}");
		ck_assert_int_eq(reply.status, 200);
		slow += reply.took_ms >= 400;
	}
	ck_assert_int_le(slow, 12);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	wait_many(40, 0x900, "done", 10000);
	ck_assert_uint_eq(rig.fleet->starts, 40);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* A slow store gets time to answer: hedges do not make a call fail, and stop
 * when the average latency has adapted. */
START_TEST(slow_store_is_waited_for)
{
	struct rig_reply reply;
	uint64_t before;
	char path[64];
	int i;

	rig_start(&rig, 1, 4, 1);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 250);
	for (i = 0; i < 12; i++) {
		snprintf(path, sizeof(path), "%s%016x", RIG_PREFIX, 0xa00 + i);
		before = rig.store->doors[0].calls;
		reply = rig_call(&rig, 0, "GET", path, RIG_KEY, NULL);
		ck_assert_int_eq(reply.status, 410);
	}
	/* The average latency has adapted by now, so no hedge is sent. */
	ck_assert_uint_le(rig.store->doors[0].calls - before, 6);
	rig_stop(&rig);
}
END_TEST

START_TEST(store_writes_are_delayed)
{
	run_with_faults(11 + (uint32_t)_i, SITE_LATE, SITE_WORKER_WELL);
}
END_TEST

START_TEST(orders_are_delayed)
{
	run_with_faults(21 + (uint32_t)_i, SITE_LOST, SITE_WORKER_LATE);
}
END_TEST

START_TEST(silent_worker_keeps_its_tasks_until_the_lease_is_over)
{
	struct site_worker *worker;

	rig_start(&rig, 2, 3, 1);
	submit_many(3, 0x400, 4, "ms=600", NULL);
	rig_run_ms(&rig, 200);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (!list_empty(&worker->runs))
			break;
	worker->fault = SITE_WORKER_MUTE;
	wait_many(3, 0x400, "done", 12000);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

static void fault_all_workers(enum site_worker_fault fault)
{
	struct site_worker *worker;

	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = fault;
}

/*
 * Guards against a worker that stays unused for good: it is cut off for longer
 * than its lease, which releases its tasks, and is reachable again.
 */
START_TEST(regained_worker_is_used_again)
{
	rig_start(&rig, 2, 1, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 4, "ms=2500", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 4);
	fault_all_workers(SITE_WORKER_SILENT);
	rig_run_ms(&rig, 8000);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 0);
	fault_all_workers(SITE_WORKER_WELL);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 6000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against a worker that stays unused because the acknowledgement of the
 * last end there, after which it is idle, got no answer.
 */
START_TEST(worker_is_used_after_a_lost_acknowledgement)
{
	int i;

	rig_start(&rig, 1, 1, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=200", NULL), 200);
	for (i = 0; i < 2000 && rig.fleet->dones == 0; i++)
		rig_run_ms(&rig, 1);
	fault_all_workers(SITE_WORKER_MUTE);
	rig_run_ms(&rig, 2500);
	fault_all_workers(SITE_WORKER_WELL);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_B, 1, "ms=50", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_B, "done", 4000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * The hold reports of a worker are malformed for a while. Its tasks go on, and
 * none is taken for ended and started elsewhere.
 */
START_TEST(malformed_reports_end_no_task)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 4, "ms=4000", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 4);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = SITE_WORKER_GARBLED;
	rig_run_ms(&rig, 1500);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = SITE_WORKER_WELL;
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 8000));
	ck_assert_uint_eq(rig.fleet->starts, 4);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Load: wide steps on many workers. Guards against a leader that runs out of
 * descriptors because it keeps the connections of past starts open: the rig's
 * hosts have 64.
 */
START_TEST(idle_connections_to_workers_are_bounded)
{
	struct site_worker *worker;
	size_t most = 0, conns = 0;

	rig_start(&rig, 1, 8, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 64, "ms=4000", NULL), 200);
	rig_run_ms(&rig, 600);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		most += worker->server.conn_count;
	ck_assert_uint_gt(most, 32);
	rig_run_ms(&rig, 1500);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		conns += worker->server.conn_count;
	ck_assert_uint_le(conns, 32);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 8000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against tasks that run again because their ends are beyond those that
 * a worker lists at a time: more tasks end while the store is down, so that no
 * end can be acknowledged, and the next leader adopts them.
 */
START_TEST(ends_beyond_a_full_list_run_once)
{
	static const char body[] =
		"{\"spec\":\"ms=10000 gpus=0\",\"steps\":[{\"count\":650,\"cpu\":100,"
		"\"mem_mb\":64,\"est_ms\":10000}]}";
	const int tasks = 650;
	struct site_worker *worker;
	int i;

	rig_start(&rig, 2, 1, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	worker->pace = 0.5;
	ck_assert_int_eq(
		rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY, body)
			.status,
		200);
	for (i = 0; i < 500 && site_fleet_running(rig.fleet) < tasks; i++)
		rig_run_ms(&rig, 20);
	ck_assert_int_eq(site_fleet_running(rig.fleet), tasks);
	site_store_fault(rig.store, -1, SITE_SILENT, 0, 0);
	worker->pace = 1000.0;
	rig_run_ms(&rig, 2500);
	ck_assert_uint_eq(rig.fleet->dones, tasks);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 15000));
	ck_assert_uint_eq(rig.fleet->starts, tasks);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against tasks that wait for a lease which no worker can hold: a worker
 * is registered at whose address nobody listens, so no start has been sent.
 */
/*
 * Guards against two runs at once: workers leave runs out of their lists for a
 * time after the start, during a stop and after the end.
 */
START_TEST(runs_between_two_lists_run_once)
{
	rig_start(&rig, 2, 6, 1);
	rig.fleet->bounds.gap_percent = 100;
	submit_many(6, 0x300, 4, "ms=700", NULL);
	wait_many(6, 0x300, "done", 15000);
	check_invariants();
	ck_assert_uint_eq(rig.fleet->starts, 24);
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against two runs at once: another worker answers at the address in a
 * worker's entry, which says nothing about the one that is meant.
 */
START_TEST(answer_of_another_worker_ends_no_run)
{
	struct site_worker *worker, *other;

	rig_start(&rig, 1, 2, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=4000", NULL), 200);
	rig_run_ms(&rig, 500);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	other = list_entry(rig.fleet->workers.prev, struct site_worker, node);
	if (list_empty(&worker->runs)) {
		other = worker;
		worker = list_entry(rig.fleet->workers.prev, struct site_worker,
				    node);
	}
	ck_assert(!list_empty(&worker->runs));
	worker->told_port = other->server.port;
	/* Less than the lease of the rig's workers, max_hold_ms. */
	rig_run_ms(&rig, 800);
	worker->told_port = worker->server.port;
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 6000));
	ck_assert_uint_eq(rig.fleet->starts, 1);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against two runs at once: a refusal that is not the worker's own does
 * not show that nothing was done.
 */
START_TEST(refusal_of_a_proxy_releases_no_run)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 2, 1);
	/* Both workers have a hold call that waits for an end. */
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_B, 2, "ms=6000",
				    ",\"max_per_server\":1"),
			 200);
	rig_run_ms(&rig, 700);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = SITE_WORKER_BEHIND_PROXY;
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=3000", NULL), 200);
	rig_run_ms(&rig, 3000);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->fault = SITE_WORKER_WELL;
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 12000));
	ck_assert_uint_eq(rig.fleet->starts, 3);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* A run that the worker lists and that no task holds. */
static void add_unheld_run(struct site_worker *worker, const char *name)
{
	struct site_run *run = g_new0(struct site_run, 1);

	run->worker = worker;
	run->name = g_strdup(name);
	run->task = site_task_of(rig.fleet, name);
	run->run = 1;
	run->ms = 60000;
	run->gpus = 1;
	run->percent_pace = 100;
	run->present_us = kn_now_us();
	list_add_tail(&run->node, &worker->runs);
}

/* Guards against a run that goes on until its end although no task holds it. */
START_TEST(listed_run_that_no_task_holds_is_stopped)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 1, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=4000", NULL), 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	add_unheld_run(worker, JOB_B ".0.0.0");
	/* The next report comes within the time that a hold waits. */
	rig_run_ms(&rig, 2500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 1);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 6000));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(start_that_was_not_sent_needs_no_lease)
{
	static const char entry[] =
		"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":128000,\"mem_mb\":"
		"262144,\"gpu\":8},\"labels\":[\"a\",\"rack-0\"],\"clock_ms\":1,"
		"\"born\":1}";

	rig_start(&rig, 1, 1, 1);
	site_store_put(rig.store, "servers/absent", entry);
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 12, "ms=100", NULL), 200);
	/* Less than the lease of the rig's workers, max_hold_ms. */
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 2400));
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against ends that are taken for those of the worker's former process,
 * so that their tasks run again: the process has started again in place while
 * its time of day was set back, so its start time is lower.
 */
START_TEST(restart_with_a_lower_start_time_is_noticed)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 1, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 4, "ms=100", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 3000));
	rig_run_ms(&rig, 500);
	g_ptr_array_set_size(worker->ends, 0);
	g_hash_table_remove_all(worker->highest);
	worker->fence = 0;
	worker->until_ms = 0;
	worker->next_end = 0;
	worker->started_us = kn_now_us();
	worker->born_ms -= 5000;
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_B, 4, "ms=300", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_B, "done", 3000));
	ck_assert_uint_eq(rig.fleet->starts, 8);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against a stop that never reaches its worker: the worker takes no new
 * connection, and a hold call is always pending on the one that is left.
 */
START_TEST(stop_uses_the_connection_of_the_hold)
{
	struct site_worker *worker;
	int i;

	rig_start(&rig, 1, 1, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	worker->server.conns_max = 1;
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=60000", NULL), 200);
	for (i = 0; i < 100 && site_fleet_running(rig.fleet) == 0; i++)
		rig_run_ms(&rig, 20);
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(call_host(0, "DELETE", JOB_A, RIG_KEY).status, 200);
	/* A hold call waits for 1.5 s. */
	for (i = 0; i < 20 && site_fleet_running(rig.fleet) > 0; i++)
		rig_run_ms(&rig, 100);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 0);
	rig_stop(&rig);
}
END_TEST

START_TEST(failing_worker_is_avoided)
{
	struct site_worker *worker;

	rig_start(&rig, 1, 4, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	worker->fault = SITE_WORKER_FAILING;
	submit_many(10, 0x500, 2, "ms=60 attempts=3", NULL);
	wait_many(10, 0x500, "done", 10000);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(draining_worker_gets_nothing_new)
{
	struct site_worker *worker;
	bool busy = false;

	rig_start(&rig, 1, 3, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	site_worker_drain(worker);
	rig_run_ms(&rig, 200);
	submit_many(3, 0x600, 4, "ms=200", NULL);
	rig_run_ms(&rig, 100);
	busy = !list_empty(&worker->runs);
	ck_assert(!busy);
	wait_many(3, 0x600, "done", 5000);
	rig_stop(&rig);
}
END_TEST

START_TEST(counts_of_waiting_jobs)
{
	struct rig_reply reply;

	rig_start(&rig, 2, 1, 1);
	submit_many(4, 0x700, 8, "ms=3000", NULL);
	rig_run_ms(&rig, 1300);
	reply = rig_call(&rig, 1, "GET", RIG_PREFIX, RIG_KEY, NULL);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_msg(strstr(reply.body, "\"waiting\":3"), "%s", reply.body);
	ck_assert_int_eq(
		rig_call(&rig, 0, "GET", "/none/", RIG_KEY, NULL).status, 404);
	rig_stop(&rig);
}
END_TEST

static int waiting_jobs(int host)
{
	struct rig_reply reply =
		rig_call(&rig, host, "GET", RIG_PREFIX, RIG_KEY, NULL);
	const char *at = strstr(reply.body, "\"waiting\":");

	return at ? atoi(at + strlen("\"waiting\":")) : -1;
}

/*
 * Guards against counts that stay wrong because a write that got no answer is
 * carried out after newer ones.
 */
START_TEST(late_write_of_counts_overwrites_none)
{
	const int rounds = 6;
	int leader, other, i;
	char id[32];

	rig_start(&rig, 2, 1, 1);
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 8, "ms=60000", NULL), 200);
	rig_run_ms(&rig, 1000);
	leader = rig_leader(&rig);
	other = 1 - leader;
	for (i = 0; i < rounds; i++) {
		snprintf(id, sizeof(id), "%016x", 0x800 + 2 * i);
		ck_assert_int_eq(rig_submit(&rig, other, id, 1, "ms=100", NULL),
				 200);
		site_store_fault(rig.store, rig.hosts[leader].door, SITE_LATE,
				 100, 0);
		rig_run_ms(&rig, 520);
		snprintf(id, sizeof(id), "%016x", 0x801 + 2 * i);
		ck_assert_int_eq(rig_submit(&rig, other, id, 1, "ms=100", NULL),
				 200);
		site_store_fault(rig.store, rig.hosts[leader].door, SITE_WELL,
				 0, 0);
		/* Late writes come after 700 ms, counts within 500 ms, and
		 * hosts may keep them for 2 s. */
		rig_run_ms(&rig, 3500);
		ck_assert_int_eq(waiting_jobs(other), 2 * (i + 1));
	}
	rig_stop(&rig);
}
END_TEST

/* Writes the settings of host 0 with another time until the kill. */
static void write_grace(const char *path, char seconds)
{
	char *text, *at;

	ck_assert(g_file_get_contents(rig.hosts[0].path, &text, NULL, NULL));
	at = strstr(text, "\"grace_s\":");
	ck_assert_ptr_nonnull(at);
	at[strlen("\"grace_s\":")] = seconds;
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
}

START_TEST(settings_that_change_while_the_process_starts_hold)
{
	static struct site site;
	static struct kn kn;
	char path[80];

	rig_start(&rig, 1, 1, 1);
	snprintf(path, sizeof(path), "%s-second", rig.hosts[0].path);
	write_grace(path, '2');
	ck_assert(platform_settings_load(&site, path, NULL));
	site.callers.port = site.peers.port = 0;
	ck_assert(kn_init(&kn, NULL));
	platform_host_add(&kn, &site, path, 7);
	write_grace(path, '9');
	ck_assert(kn_start(&kn, NULL));
	ck_assert_int_eq(site.grace_ms, 9000);
	kn_finish(&kn);
	unlink(path);
	rig_stop(&rig);
}
END_TEST

START_TEST(settings_that_change_just_before_a_stop_hold)
{
	rig_start(&rig, 1, 1, 1);
	write_grace(rig.hosts[0].path, '9');
	kn_drain(&rig.kn);
	ck_assert_int_eq(rig.hosts[0].site.grace_ms, 9000);
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("host");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, job_runs_and_is_seen_everywhere);
	tcase_add_test(tc, same_id_is_one_job);
	tcase_add_test(tc, case_of_an_id_is_kept);
	tcase_add_test(tc, failed_runs_are_repeated_up_to_the_attempts);
	tcase_add_test(tc, steps_run_in_order);
	tcase_add_test(tc, gang_starts_whole_and_survives_a_lost_member);
	tcase_add_test(tc, cancelled_job_stops_and_stays_cancelled);
	tcase_add_test(tc, cancelled_before_it_arrives);
	tcase_add_test(tc, callers_without_right_are_refused);
	tcase_add_test(tc, malformed_submissions_are_refused);
	tcase_add_test(tc, change_of_configuration_is_in_force_everywhere);
	tcase_add_test(tc, compacted_history_is_read_again);
	tcase_add_test(tc, malformed_worker_entries_are_skipped);
	tcase_add_test(tc, store_outage);
	tcase_add_test(tc, reads_without_a_store_fail_fast);
	tcase_add_test(tc, calls_without_time_left_are_refused);
	tcase_add_test(tc, calls_of_a_refused_host_are_relayed);
	tcase_add_test(tc, relayed_call_returns_to_the_direct_route);
	tcase_add_test(tc, error_of_the_store_is_no_refusal);
	tcase_add_test(tc, only_writes_end_with_an_unknown_outcome);
	tcase_add_test(tc, silent_poll_delays_no_submission);
	tcase_add_test(tc, paused_host_accepts_no_withdrawn_key);
	tcase_add_test(tc, registrations_elsewhere_cause_no_reads);
	tcase_add_test(tc, leader_whose_lease_lapses);
	tcase_add_test(tc, every_unconfirmed_leader_is_waited_for);
	tcase_add_test(tc, reelection_after_a_store_outage);
	tcase_add_test(tc, weak_leader_hands_over);
	tcase_add_test(tc, equal_hosts_keep_their_leader);
	tcase_add_loop_test(tc, weakest_hosts_keep_their_leader, 0,
			    (int)G_N_ELEMENTS(no_stronger_hosts));
	tcase_add_loop_test(tc, answers_of_the_store_are_lost, 0, 3);
	tcase_add_test(tc, lost_answers_are_hedged);
	tcase_add_test(tc, slow_store_is_waited_for);
	tcase_add_loop_test(tc, store_writes_are_delayed, 0, 3);
	tcase_add_loop_test(tc, orders_are_delayed, 0, 3);
	tcase_add_test(tc,
		       silent_worker_keeps_its_tasks_until_the_lease_is_over);
	tcase_add_test(tc, regained_worker_is_used_again);
	tcase_add_test(tc, worker_is_used_after_a_lost_acknowledgement);
	tcase_add_test(tc, malformed_reports_end_no_task);
	tcase_add_test(tc, idle_connections_to_workers_are_bounded);
	tcase_add_test(tc, ends_beyond_a_full_list_run_once);
	tcase_add_test(tc, runs_between_two_lists_run_once);
	tcase_add_test(tc, answer_of_another_worker_ends_no_run);
	tcase_add_test(tc, refusal_of_a_proxy_releases_no_run);
	tcase_add_test(tc, listed_run_that_no_task_holds_is_stopped);
	tcase_add_test(tc, start_that_was_not_sent_needs_no_lease);
	tcase_add_test(tc, restart_with_a_lower_start_time_is_noticed);
	tcase_add_test(tc, stop_uses_the_connection_of_the_hold);
	tcase_add_test(tc, failing_worker_is_avoided);
	tcase_add_test(tc, draining_worker_gets_nothing_new);
	tcase_add_test(tc, counts_of_waiting_jobs);
	tcase_add_test(tc, late_write_of_counts_overwrites_none);
	tcase_add_test(tc, settings_that_change_while_the_process_starts_hold);
	tcase_add_test(tc, settings_that_change_just_before_a_stop_hold);
	return run_case("host", tc);
}
