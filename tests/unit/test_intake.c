#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "control/record.h"
#include "platform/decode.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Calls of callers at an entry host, with a simulated store. */

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_BODY                                                              \
	"{\"spec\":\"ms=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"gpu\":1," \
	"\"est_ms\":100}]}"
/* Due in the year 2200. */
#define JOB_OF_LATER                                                   \
	"{\"spec\":\"ms=100\",\"times\":1,\"first_ms\":7258118400000," \
	"\"steps\":[{\"count\":1,\"cpu\":100,\"est_ms\":100}]}"

static struct rig rig;
static const char *submitter;

/* The store carries out each write and answers none. */
START_TEST(stop_answers_a_submission_that_the_store_does_not_answer)
{
	int64_t begun_us;
	struct rig_reply reply;

	rig_start(&rig, 1, 1, 1);
	site_store_fault(rig.store, -1, SITE_LOST, 100, 0);
	kn_drain(&rig.kn);
	begun_us = kn_now_us();
	reply = rig_call_within(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
				JOB_BODY, "30000");
	ck_assert_int_eq(reply.status, 504);
	ck_assert_int_lt((kn_now_us() - begun_us) / USEC_PER_MSEC,
			 rig.hosts[0].site.grace_ms);
	rig_stop(&rig);
}
END_TEST

#define SPEC_A "chivebank/intake/" JOB_A "/spec"
#define CANCEL_A "chivebank/intake/" JOB_A "/cancel"
#define STATE_A "chivebank/state/" JOB_A

static void run_until_gone(const char *key, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (site_store_get(rig.store, key) && kn_now_us() < until_us)
		rig_run_ms(&rig, 5);
	ck_assert_ptr_null(site_store_get(rig.store, key));
}

static void finish_job_a(void)
{
	ck_assert_int_eq(rig_submit(&rig, 0, JOB_A, 1, "ms=50", NULL), 200);
	ck_assert(rig_wait(&rig, 0, JOB_A, "done", 5000));
}

static void take_over(void)
{
	int64_t fence = site_store_get(rig.store, "chivebank/leader")->revision;
	const struct site_item *leader;

	site_store_lapse(rig.store, "chivebank/leader");
	do {
		rig_run_ms(&rig, 20);
		leader = site_store_get(rig.store, "chivebank/leader");
	} while (!leader || leader->revision == fence);
	rig_run_ms(&rig, 2500);
}

/* The store carries a removal out after the job was handed in again. */
START_TEST(late_removal_removes_no_job_that_was_handed_in_again)
{
	rig_start(&rig, 1, 1, 2);
	finish_job_a();
	rig_run_ms(&rig, 1500);
	site_store_fault(rig.store, -1, SITE_LATE, 100, 0);
	rig.hosts[0].site.bounds.status_ms = 1;
	while (list_empty(&rig.store->later))
		rig_run_ms(&rig, 5);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	rig.hosts[0].site.bounds.status_ms = 60000;
	run_until_gone(SPEC_A, SITE_LATE_MS - 50);
	ck_assert_int_eq(rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
				  JOB_OF_LATER)
				 .status,
			 200);
	rig_run_ms(&rig, 2 * SITE_LATE_MS);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "queued");
	rig_stop(&rig);
}
END_TEST

START_TEST(takeover_removes_no_job_whose_submission_is_unreadable)
{
	rig_start(&rig, 2, 1, 3);
	finish_job_a();
	site_store_put(rig.store, SPEC_A, "unreadable");
	take_over();
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "done");
	ck_assert_ptr_nonnull(site_store_get(rig.store, SPEC_A));
	rig_stop(&rig);
}
END_TEST

START_TEST(takeover_removes_a_state_without_a_submission)
{
	rig_start(&rig, 2, 1, 4);
	finish_job_a();
	site_store_remove(rig.store, SPEC_A);
	take_over();
	ck_assert_ptr_null(site_store_get(rig.store, STATE_A));
	rig_stop(&rig);
}
END_TEST

/* The stored state of job A as a leader wrote it whose time was ended_ms. */
static void store_end_of_job_a(int64_t ended_ms)
{
	struct job_spec spec;
	msgpack_sbuffer record;
	struct job *job;

	job_spec_init(&spec, 1);
	spec.steps[0].count = 1;
	job = job_new(JOB_A, &spec);
	job->customer = g_strdup("one");
	job->phase = JOB_DONE;
	job->ended_ms = ended_ms;
	record_state_write(job, &record);
	site_store_put_bytes(rig.store, STATE_A, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	job_free(job);
}

START_TEST(job_that_ended_by_a_wrong_clock_is_not_removed_at_once)
{
	rig_start(&rig, 2, 1, 5);
	finish_job_a();
	store_end_of_job_a(1);
	take_over();
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "done");
	rig_stop(&rig);
}
END_TEST

/* And it does not stay for as long as the other clock is ahead. */
START_TEST(job_that_ended_by_a_clock_ahead_is_removed_in_time)
{
	rig_start(&rig, 2, 1, 6);
	finish_job_a();
	store_end_of_job_a(kn_wall_us() / 1000 + 3600 * 1000);
	rig.hosts[0].site.bounds.status_ms = 500;
	rig.hosts[1].site.bounds.status_ms = 500;
	take_over();
	run_until_gone(SPEC_A, 2000);
	ck_assert_ptr_null(site_store_get(rig.store, STATE_A));
	rig_stop(&rig);
}
END_TEST

#define TENANTS                                                    \
	"{\"name\":\"one\",\"api_keys\":[\"key-one\",\"key-1\"]}," \
	"{\"name\":\"two\",\"api_keys\":[\"key-two\"]}"

/* A configuration with the queue of the rig, open or not, and an open one. */
static void configure(int version, bool open, const char *tenants)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"q1\",\"host\":\"%s\","
		"\"prefix\":\"%s\",\"slo_ms\":1000,\"svc\":\"pool\","
		"\"attempts\":3,\"stretch\":3.0,\"public\":%s},"
		"{\"name\":\"everyone\",\"host\":\"%s\",\"prefix\":\"/all/\","
		"\"slo_ms\":1000,\"svc\":\"pool\",\"attempts\":3,"
		"\"stretch\":3.0,\"public\":true}],"
		"\"svcs\":[{\"name\":\"pool\"}],\"limits\":{},"
		"\"tenants\":[%s]}",
		version, RIG_HOST, RIG_PREFIX, open ? "true" : "false",
		RIG_HOST, tenants);

	site_store_put(rig.store, "op/config", text);
	g_free(text);
	rig_run_ms(&rig, 300);
}

static int status_of(const char *method, const char *path, const char *key)
{
	return rig_call(&rig, 0, method, path, key, NULL).status;
}

static int submit(const char *path, const char *key, const char *body)
{
	return rig_call(&rig, 0, "POST", path, key, body).status;
}

/* Also a job that has no state yet. */
START_TEST(job_without_a_key_is_known_after_its_queue_was_closed)
{
	rig_start(&rig, 1, 1, 7);
	configure(2, true, TENANTS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, NULL, JOB_BODY), 200);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, NULL, JOB_OF_LATER), 200);
	rig_run_ms(&rig, 500);
	configure(3, false, TENANTS);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, NULL), 401);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, "key-one"), 200);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_B, "key-two"), 200);
	ck_assert_int_eq(status_of("DELETE", RIG_PREFIX JOB_B, "key-two"), 200);
	rig_stop(&rig);
}
END_TEST

START_TEST(job_is_known_to_its_customer_only)
{
	rig_start(&rig, 1, 1, 8);
	configure(2, false, TENANTS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, "key-one", JOB_BODY), 200);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, "key-one", JOB_OF_LATER),
			 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, "key-1"), 200);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, "key-two"), 410);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_B, "key-two"), 410);
	ck_assert_int_eq(status_of("DELETE", RIG_PREFIX JOB_B, "key-two"), 410);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_B), "queued");
	rig_stop(&rig);
}
END_TEST

/* Of a job that has a state and of one that has none yet. */
static void check_known_by(const char *key, int status)
{
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, key), status);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_B, key), status);
}

START_TEST(job_is_known_by_its_key_after_its_customer_was_renamed)
{
	rig_start(&rig, 1, 1, 9);
	configure(2, false, TENANTS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, "key-one", JOB_BODY), 200);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, "key-one", JOB_OF_LATER),
			 200);
	rig_run_ms(&rig, 500);
	configure(3, false,
		  "{\"name\":\"uno\",\"api_keys\":[\"key-one\"]},"
		  "{\"name\":\"two\",\"api_keys\":[\"key-two\"]}");
	check_known_by("key-one", 200);
	check_known_by("key-two", 410);
	check_known_by("key-1", 401);
	ck_assert_int_eq(status_of("DELETE", RIG_PREFIX JOB_B, "key-one"), 200);
	rig_stop(&rig);
}
END_TEST

START_TEST(job_is_known_by_its_key_after_the_key_has_moved)
{
	rig_start(&rig, 1, 1, 10);
	configure(2, false, TENANTS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, "key-one", JOB_BODY), 200);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, "key-one", JOB_OF_LATER),
			 200);
	rig_run_ms(&rig, 500);
	configure(3, false,
		  "{\"name\":\"one\",\"api_keys\":[\"key-1\"]},"
		  "{\"name\":\"two\",\"api_keys\":[\"key-two\",\"key-one\"]}");
	check_known_by("key-one", 200);
	check_known_by("key-1", 200);
	check_known_by("key-two", 410);
	rig_stop(&rig);
}
END_TEST

START_TEST(open_queue_cancels_no_job_of_another_queue)
{
	rig_start(&rig, 1, 1, 11);
	configure(2, false, TENANTS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, "key-one", JOB_BODY), 200);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, "key-one", JOB_OF_LATER),
			 200);
	rig_run_ms(&rig, 500);
	ck_assert_int_eq(status_of("DELETE", "/all/" JOB_B, NULL), 410);
	ck_assert_int_eq(status_of("GET", "/all/" JOB_A, NULL), 410);
	ck_assert_int_eq(status_of("GET", "/all/" JOB_A, "key-one"), 200);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_B), "queued");
	configure(3, true, TENANTS);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, NULL), 200);
	ck_assert_int_eq(status_of("DELETE", RIG_PREFIX JOB_B, NULL), 200);
	rig_stop(&rig);
}
END_TEST

/* Stores the submission of job A that the submitter hands in. */
static void on_submission_due(struct kn_timer *timer)
{
	static const char body[] = JOB_OF_LATER;
	struct submission submission = { .queue = (char *)"q1",
					 .pool = (char *)"pool",
					 .attempts = 3,
					 .stretch = 3 };
	msgpack_sbuffer record;
	struct job_spec spec;

	submission.customer = (char *)submitter;
	ck_assert(platform_spec_read(body, strlen(body), &spec, NULL));
	record_submission_write(&submission, &spec, &record);
	site_store_put_bytes(rig.store, SPEC_A, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	job_spec_finish(&spec);
}

/* The submission arrives between the check of a cancellation and its write. */
static int cancel_while_submitted_by(const char *customer)
{
	struct kn_timer timer = { 0 };
	int status;

	submitter = customer;
	site_store_fault(rig.store, rig.hosts[0].door, SITE_WELL, 0, 100);
	kn_timer_set(&rig.kn, &timer, 50 * USEC_PER_MSEC, on_submission_due);
	status = status_of("DELETE", RIG_PREFIX JOB_A, RIG_KEY);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	rig_run_ms(&rig, 300);
	return status;
}

START_TEST(cancellation_takes_no_job_that_another_customer_hands_in)
{
	rig_start(&rig, 1, 1, 20);
	ck_assert_int_eq(cancel_while_submitted_by("two"), 410);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, "key-two"), 200);
	ck_assert_ptr_null(site_store_get(rig.store, CANCEL_A));
	rig_stop(&rig);
}
END_TEST

START_TEST(cancellation_of_a_job_that_arrives_meanwhile_is_answered_so)
{
	rig_start(&rig, 1, 1, 21);
	ck_assert_int_eq(cancel_while_submitted_by("one"), 200);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "cancelled");
	rig_stop(&rig);
}
END_TEST

/* Several pages of the stand-in's ranges, so that a takeover reads them while
 * jobs are handed in. */
#define JOBS_MANY 70

static void path_of(char *path, size_t size, int number)
{
	g_snprintf(path, size, "%s%016x", RIG_PREFIX, 0xabc000 + number * 37);
}

static void submit_many(int first, int count)
{
	char path[64];
	int i;

	for (i = first; i < first + count; i++) {
		path_of(path, sizeof(path), i);
		ck_assert_int_eq(submit(path, RIG_KEY, JOB_BODY), 200);
	}
}

static void check_many_known(int count)
{
	char path[64];
	int i;

	for (i = 0; i < count; i++) {
		path_of(path, sizeof(path), i);
		ck_assert_int_eq(status_of("GET", path, RIG_KEY), 200);
	}
}

static int count_done(int count)
{
	struct rig_reply reply;
	char path[64];
	int i, done = 0;

	for (i = 0; i < count; i++) {
		path_of(path, sizeof(path), i);
		reply = rig_call(&rig, 0, "GET", path, RIG_KEY, NULL);
		ck_assert_int_eq(reply.status, 200);
		ck_assert_ptr_null(strstr(reply.body, "failed"));
		ck_assert_ptr_null(strstr(reply.body, "cancelled"));
		done += strstr(reply.body, "done") != NULL;
	}
	return done;
}

START_TEST(takeovers_miss_no_job_on_any_page)
{
	int64_t until_us;
	int i, sent = 0;

	rig_start(&rig, 3, 2, 12);
	submit_many(0, 20);
	for (sent = 20; sent < JOBS_MANY; sent += 10) {
		site_store_fault(rig.store, -1, SITE_WELL, 0, 20);
		site_store_lapse(rig.store, "chivebank/leader");
		submit_many(sent, 10);
		check_many_known(sent + 10);
		site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	}
	until_us = kn_now_us() + 20 * USEC_PER_SEC;
	for (i = 0; i < JOBS_MANY && kn_now_us() < until_us;
	     i = count_done(JOBS_MANY))
		rig_run_ms(&rig, 200);
	ck_assert_int_eq(i, JOBS_MANY);
	rig_stop(&rig);
}
END_TEST

/* Each read has the time of a change of the state between it and the next. */
START_TEST(job_is_known_from_its_acceptance_until_its_time_is_over)
{
	int64_t ended_us = 0;
	int i;

	rig_start(&rig, 2, 1, 13);
	for (i = 0; i < 2; i++)
		rig.hosts[i].site.bounds.status_ms = 1500;
	site_store_fault(rig.store, -1, SITE_WELL, 0, 15);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_A, RIG_KEY, JOB_BODY), 200);
	for (i = 0; ended_us == 0 || kn_now_us() - ended_us < 1500000; i++) {
		const char *state = rig_state(&rig, i % 2, JOB_A);

		ck_assert(strcmp(state, "queued") == 0 ||
			  strcmp(state, "running") == 0 ||
			  strcmp(state, "done") == 0);
		if (ended_us == 0 && strcmp(state, "done") == 0) {
			ended_us = kn_now_us();
			site_store_lapse(rig.store, "chivebank/leader");
		}
	}
	run_until_gone(SPEC_A, 8000);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_A, RIG_KEY), 410);
	rig_stop(&rig);
}
END_TEST

/* Host 0 has no way of its own to the store; what is applied late was sent by
 * host 1, and the caller repeats the call at both meanwhile. */
START_TEST(late_write_through_another_host_is_one_job)
{
	rig_start(&rig, 2, 1, 14);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_BUSY, 0, 0);
	rig_run_ms(&rig, 800);
	site_store_fault(rig.store, rig.hosts[1].door, SITE_LATE, 100, 0);
	ck_assert_int_eq(rig_call_within(&rig, 0, "POST", RIG_PREFIX JOB_B,
					 RIG_KEY, JOB_BODY, "400")
				 .status,
			 504);
	site_store_fault(rig.store, rig.hosts[1].door, SITE_WELL, 0, 0);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, RIG_KEY, JOB_BODY), 200);
	ck_assert_int_eq(status_of("GET", RIG_PREFIX JOB_B, RIG_KEY), 200);
	rig_run_ms(&rig, 2 * SITE_LATE_MS);
	ck_assert_int_eq(submit(RIG_PREFIX JOB_B, RIG_KEY, JOB_BODY), 200);
	ck_assert(rig_wait(&rig, 0, JOB_B, "done", 5000));
	rig_run_ms(&rig, 500);
	ck_assert_str_eq(rig_state(&rig, 1, JOB_B), "done");
	rig_stop(&rig);
}
END_TEST

/*
 * Submissions through stores that answer late, never, with refusals or errors:
 * an accepted one is stored, a refused one never is.
 */
START_TEST(answers_to_submissions_are_true_whatever_the_store_does)
{
	static const enum site_fault faults[] = { SITE_WELL, SITE_SILENT,
						  SITE_BUSY, SITE_MANY,
						  SITE_LOST, SITE_ERROR,
						  SITE_LATE };
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int statuses[JOBS_MANY], i, door;
	char path[64], key[96];

	rig_start(&rig, 2, 1, 15 + (uint32_t)_i);
	for (i = 0; i < JOBS_MANY; i++) {
		for (door = 0; door < 2; door++)
			site_store_fault(
				rig.store, rig.hosts[door].door,
				faults[g_rand_int_range(rand, 0,
							G_N_ELEMENTS(faults))],
				g_rand_int_range(rand, 30, 101), 0);
		path_of(path, sizeof(path), i);
		statuses[i] = rig_call_within(&rig, i % 2, "POST", path,
					      RIG_KEY, JOB_OF_LATER, "400")
				      .status;
	}
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	rig_run_ms(&rig, 2 * SITE_LATE_MS + 1000);
	for (i = 0; i < JOBS_MANY; i++) {
		bool stored;

		path_of(path, sizeof(path), i);
		g_snprintf(key, sizeof(key), "chivebank/intake/%s/spec",
			   path + strlen(RIG_PREFIX));
		stored = site_store_get(rig.store, key) != NULL;
		ck_assert_msg(
			statuses[i] == 504 || stored == (statuses[i] == 200),
			"%s: status %d, stored %d", path, statuses[i], stored);
	}
	g_rand_free(rand);
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("intake");

	tcase_set_timeout(tc, 30);
	tcase_add_test(
		tc, stop_answers_a_submission_that_the_store_does_not_answer);
	tcase_add_test(tc,
		       late_removal_removes_no_job_that_was_handed_in_again);
	tcase_add_test(tc,
		       takeover_removes_no_job_whose_submission_is_unreadable);
	tcase_add_test(tc, takeover_removes_a_state_without_a_submission);
	tcase_add_test(tc,
		       job_that_ended_by_a_wrong_clock_is_not_removed_at_once);
	tcase_add_test(tc, job_that_ended_by_a_clock_ahead_is_removed_in_time);
	tcase_add_test(tc,
		       job_without_a_key_is_known_after_its_queue_was_closed);
	tcase_add_test(tc, job_is_known_to_its_customer_only);
	tcase_add_test(tc,
		       job_is_known_by_its_key_after_its_customer_was_renamed);
	tcase_add_test(tc, job_is_known_by_its_key_after_the_key_has_moved);
	tcase_add_test(tc, open_queue_cancels_no_job_of_another_queue);
	tcase_add_test(
		tc, cancellation_takes_no_job_that_another_customer_hands_in);
	tcase_add_test(
		tc,
		cancellation_of_a_job_that_arrives_meanwhile_is_answered_so);
	tcase_add_test(tc, takeovers_miss_no_job_on_any_page);
	tcase_add_test(tc,
		       job_is_known_from_its_acceptance_until_its_time_is_over);
	tcase_add_test(tc, late_write_through_another_host_is_one_job);
	tcase_add_loop_test(
		tc, answers_to_submissions_are_true_whatever_the_store_does, 0,
		3);
	return run_case("intake", tc);
}
