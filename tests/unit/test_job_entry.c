#include <check.h>
#include <stdlib.h>

#include "base/err.h"
#include "policy/job_entry.h"
#include "tests/unit/run.h"

static int submit(struct job_entry *jb, const char *text, const char *key)
{
	json_t *body = json_loads(text, 0, NULL);
	GError *err = NULL;
	int code = CB_OK;

	ck_assert_ptr_nonnull(body);
	job_entry_init(jb);
	if (!job_entry_from_submission(jb, body, key, &err)) {
		code = err->code;
		g_error_free(err);
	}
	json_decref(body);
	return code;
}

/* A record that is written and read again must keep every field. */
START_TEST(record_round_trip)
{
	struct job_entry a, b;
	json_t *json, *again;

	ck_assert_int_eq(submit(&a,
				"{\"customer\":\"tensorlab\",\"accelerators\":"
				"96,\"urgent\":true,\"stoppable\":false,"
				"\"grace_ms\":5000,\"declared_s\":60,"
				"\"task\":{\"image\":\"x\"}}",
				"k1"),
			 CB_OK);
	a.state = JOB_ENTRY_RUNNING;
	a.epoch = 9;
	a.attempt = 2;
	a.attained_us = 1234567890123;
	job_entry_add_allocation(&a, "w1", 8, -1);
	job_entry_add_allocation(&a, "w2", 3, 2);
	json = job_entry_to_json(&a);
	job_entry_init(&b);
	ck_assert(job_entry_from_json(&b, json, NULL));
	again = job_entry_to_json(&b);
	ck_assert(json_equal(json, again));
	ck_assert_int_eq(b.allocation_count, 2);
	json_object_set_new(json, "state", json_string("odd"));
	job_entry_finish(&b);
	job_entry_init(&b);
	ck_assert(!job_entry_from_json(&b, json, NULL));
	json_decref(json);
	json_decref(again);
	job_entry_finish(&a);
	job_entry_finish(&b);
}
END_TEST

/* Errors in a submission must be found before the job is accepted. */
START_TEST(invalid_submissions_are_rejected)
{
	static const struct {
		const char *text;
		const char *key;
		int code;
	} cases[] = {
		{ "[]", "k", CB_E_BAD_JOB },
		{ "{\"accelerators\":1}", "k", CB_E_BAD_JOB },
		{ "{\"customer\":\"a\"}", "k", CB_E_BAD_JOB },
		{ "{\"customer\":\"a\",\"accelerators\":0}", "k",
		  CB_E_BAD_JOB },
		{ "{\"customer\":\"a\",\"accelerators\":\"1\"}", "k",
		  CB_E_BAD_JOB },
		{ "{\"customer\":\"a\",\"accelerators\":1,\"x\":1}", "k",
		  CB_E_BAD_JOB },
		{ "{\"customer\":\"a\",\"accelerators\":1,\"grace_ms\":99999}",
		  "k", CB_E_BAD_JOB },
		{ "{\"customer\":\"a\",\"accelerators\":1}", "", CB_E_BAD_KEY },
		{ "{\"customer\":\"a\",\"accelerators\":1}", NULL,
		  CB_E_BAD_KEY },
	};
	struct job_entry jb;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert_int_eq(submit(&jb, cases[i].text, cases[i].key),
				 cases[i].code);
		job_entry_finish(&jb);
	}
}
END_TEST

/*
 * Two customers that use the same key must get different ids, and a key that
 * is used for two different jobs must show in the digest.
 */
START_TEST(id_and_digest_identify_submission)
{
	struct job_entry a, b, c;

	submit(&a, "{\"customer\":\"a\",\"accelerators\":1}", "k");
	submit(&b, "{\"accelerators\":1,\"customer\":\"a\"}", "k");
	submit(&c, "{\"customer\":\"b\",\"accelerators\":1}", "k");
	ck_assert_str_eq(a.id, b.id);
	ck_assert_str_eq(a.digest, b.digest);
	ck_assert_str_ne(a.id, c.id);
	job_entry_finish(&b);
	submit(&b, "{\"accelerators\":2,\"customer\":\"a\"}", "k");
	ck_assert_str_eq(a.id, b.id);
	ck_assert_str_ne(a.digest, b.digest);
	job_entry_finish(&a);
	job_entry_finish(&b);
	job_entry_finish(&c);
}
END_TEST

/* A job that has ended must not change state, and no state is skipped. */
START_TEST(only_allowed_transitions)
{
	struct job_entry jb;
	int from, to;

	for (from = JOB_ENTRY_DONE; from < JOB_ENTRY_STATE_COUNT; from++)
		for (to = 0; to < JOB_ENTRY_STATE_COUNT; to++)
			ck_assert(!job_entry_transition_allowed(from, to));
	ck_assert(!job_entry_transition_allowed(JOB_ENTRY_QUEUED,
						JOB_ENTRY_RUNNING));
	ck_assert(!job_entry_transition_allowed(JOB_ENTRY_QUEUED,
						JOB_ENTRY_DONE));
	ck_assert(!job_entry_transition_allowed(JOB_ENTRY_STOPPED,
						JOB_ENTRY_RUNNING));
	job_entry_init(&jb);
	ck_assert(job_entry_set_state(&jb, JOB_ENTRY_QUEUED, "accepted"));
	ck_assert(!job_entry_set_state(&jb, JOB_ENTRY_DONE, "x"));
	ck_assert_str_eq(jb.reason, "accepted");
	job_entry_finish(&jb);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("job_entry");

	tcase_add_test(tc, record_round_trip);
	tcase_add_test(tc, invalid_submissions_are_rejected);
	tcase_add_test(tc, id_and_digest_identify_submission);
	tcase_add_test(tc, only_allowed_transitions);
	return run_case("job_entry", tc);
}
