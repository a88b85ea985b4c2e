#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "policy/doc.h"
#include "tests/unit/run.h"

static json_t *body(const char *text)
{
	json_t *value = json_loads(text, 0, NULL);

	ck_assert_msg(value, "test body is not JSON: %s", text);
	return value;
}

/*
 * Applies a change. Returns the next document, or NULL on failure; *code is
 * the error code or CB_OK.
 */
static struct doc *change(const struct doc *doc, const char *team,
			  const char *section, const char *text, int64_t base,
			  int *code)
{
	struct doc_change c = { "id", section, text ? body(text) : NULL,
				base, team,    NULL };
	GError *err = NULL;
	struct doc *next = doc_apply(doc, &c, &err);

	*code = err ? err->code : CB_OK;
	ck_assert((next == NULL) == (err != NULL));
	g_clear_error(&err);
	json_decref(c.body);
	return next;
}

/* Applies a change that has to succeed and replaces *doc by the result. */
static void apply_change(struct doc **doc, const char *team,
			 const char *section, const char *text, int64_t base)
{
	int code;
	struct doc *next = change(*doc, team, section, text, base, &code);

	ck_assert_msg(next, "%s: code %d", section, code);
	doc_free(*doc);
	*doc = next;
}

static void expect_failure(const struct doc *doc, const char *team,
			   const char *section, const char *text, int64_t base,
			   int wanted)
{
	int code;
	struct doc *next = change(doc, team, section, text, base, &code);

	ck_assert_msg(code == wanted, "%s %s: code %d, not %d", section, text,
		      code, wanted);
	doc_free(next);
}

/* Returns the body of a team section with the hash of a token. */
static char *team_body(const char *token, const char *may)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	char *text = g_strdup_printf(
		"{\"token_sha256\": \"%s\", \"may\": [%s]}", hash, may);

	g_free(hash);
	return text;
}

static void add_team(struct doc **doc, const char *section, const char *token,
		     const char *may)
{
	char *text = team_body(token, may);

	apply_change(doc, DOC_ADMIN, section, text, 0);
	g_free(text);
}

static const struct {
	const char *section;
	const char *body;
	const char *parts[4]; /* strings that the message must contain */
} bad_sections[] = {
	{ "customer/a",
	  "{\"weight\": 0}",
	  { "customer/a", "weight", "value 0", "1 to 1000" } },
	{ "customer/a", "{\"weight\": true}", { "weight", "true" } },
	{ "customer/a", "{\"wieght\": 1}", { "wieght", "unknown", "weight" } },
	{ "customer/a", "{}", { "weight", "missing" } },
	{ "customer/a", "[]", { "customer/a", "object" } },
	{ "customer/a",
	  "{\"weight\": 1, \"on_removal\": \"x\"}",
	  { "on_removal", "\"x\"", "finish" } },
	{ "customer/a",
	  "{\"weight\": 1, \"guarantees\": [{\"dc\": \"p\", \"unit\": "
	  "\"row\", \"count\": 1}]}",
	  { "guarantees[0].unit", "row", "rack" } },
	{ "customer/a",
	  "{\"weight\": 1, \"guarantees\": [{\"dc\": \"p\", \"unit\": "
	  "\"rack\", \"count\": 1}, {\"dc\": \"p\", \"unit\": \"rack\", "
	  "\"count\": 2}]}",
	  { "guarantees[1].unit", "once" } },
	{ "service/s",
	  "{\"class\": \"short\", \"deadline_ms\": 60001}",
	  { "deadline_ms", "60001", "60000" } },
	{ "pool/p",
	  "{\"workers\": [{\"name\": \"w\", \"addr\": \"host\", \"port\": 1,"
	  " \"rack\": 0, \"accelerators\": 8}]}",
	  { "workers[0].addr", "host", "IP address" } },
	{ "pool/p",
	  "{\"workers\": [{\"name\": \"w\", \"addr\": \"::1\", \"port\": 1,"
	  " \"rack\": 0, \"accelerators\": 8}, {\"name\": \"w\", \"addr\": "
	  "\"::1\", \"port\": 2, \"rack\": 0, \"accelerators\": 8}]}",
	  { "workers[1].name", "no other" } },
	{ "team/t",
	  "{\"token_sha256\": \"ab\", \"may\": []}",
	  { "token_sha256", "64" } },
	{ "team/t",
	  "{\"token_sha256\": \"00000000000000000000000000000000000000000000"
	  "00000000000000000000\", \"may\": [\"team/\"]}",
	  { "may[0]", "team/", "customer/" } },
	{ "team/admin", "{}", { "team/admin", "except" } },
	{ "row/x", "{}", { "row/x", "pool/" } },
	{ "pool/a/b", "{}", { "pool/a/b" } },
};

/*
 * Guards against error messages that do not name the section, the key, the
 * value and the allowed values.
 */
START_TEST(section_errors_name_key_value_and_allowed)
{
	json_t *value = body(bad_sections[_i].body);
	GError *err = NULL;
	size_t i;

	ck_assert(!doc_check_section(bad_sections[_i].section, value, &err));
	ck_assert_int_eq(err->code, CB_E_CHECK_FAILED);
	for (i = 0; i < 4 && bad_sections[_i].parts[i]; i++)
		ck_assert_msg(strstr(err->message, bad_sections[_i].parts[i]),
			      "\"%s\" is missing in: %s",
			      bad_sections[_i].parts[i], err->message);
	g_error_free(err);
	json_decref(value);
}
END_TEST

/*
 * Guards against a team that writes sections of other teams, sections outside
 * its prefixes, or team sections.
 */
START_TEST(teams_write_only_permitted_sections)
{
	struct doc *doc = doc_new();

	add_team(&doc, "team/a", "token-a", "\"customer/\"");
	add_team(&doc, "team/b", "token-b", "\"customer/b\", \"service/\"");
	apply_change(&doc, "a", "customer/b1", "{\"weight\": 1}", 0);
	expect_failure(doc, "b", "customer/b1", "{\"weight\": 2}", 3,
		       CB_E_FORBIDDEN);
	expect_failure(doc, "b", "customer/c", "{\"weight\": 2}", 0,
		       CB_E_FORBIDDEN);
	expect_failure(doc, "a", "team/c", "{}", 0, CB_E_FORBIDDEN);
	expect_failure(doc, "a", "service/s", "{\"class\": \"long\"}", 0,
		       CB_E_FORBIDDEN);
	expect_failure(doc, "nobody", "customer/x", "{\"weight\": 2}", 0,
		       CB_E_FORBIDDEN);
	apply_change(&doc, DOC_ADMIN, "customer/b1", "{\"weight\": 5}", 3);
	ck_assert_str_eq(doc_find(doc, "customer/b1")->team, "a");
	doc_free(doc);
}
END_TEST

/*
 * Guards against tokens that authenticate the wrong team or none, unknown
 * tokens that are accepted, and two teams with the same token.
 */
START_TEST(token_belongs_to_one_team)
{
	struct doc *doc = doc_new();
	char *admin =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, "root", -1);
	char *same = team_body("token-a", "");

	add_team(&doc, "team/a", "token-a", "\"customer/\"");
	add_team(&doc, "team/b", "token-b", "\"customer/\"");
	ck_assert_str_eq(doc_team_of_token(doc, admin, "token-b"), "b");
	ck_assert_str_eq(doc_team_of_token(doc, admin, "token-a"), "a");
	ck_assert_str_eq(doc_team_of_token(doc, admin, "root"), DOC_ADMIN);
	ck_assert_ptr_null(doc_team_of_token(doc, admin, "token-c"));
	ck_assert_ptr_null(doc_team_of_token(doc, admin, ""));
	ck_assert_ptr_null(doc_team_of_token(doc, "", "root"));
	expect_failure(doc, DOC_ADMIN, "team/c", same, 0, CB_E_CHECK_FAILED);
	g_free(admin);
	g_free(same);
	doc_free(doc);
}
END_TEST

/*
 * Guards against lost updates: concurrent changes of one section must
 * conflict, those of different sections must merge, and a change that is based
 * on a deleted section must not create it again.
 */
START_TEST(changes_merge_or_conflict)
{
	struct doc *doc = doc_new();

	apply_change(&doc, DOC_ADMIN, "customer/a", "{\"weight\": 1}", 0);
	apply_change(&doc, DOC_ADMIN, "customer/b", "{\"weight\": 1}", 0);
	apply_change(&doc, DOC_ADMIN, "customer/a", "{\"weight\": 2}", 1);
	expect_failure(doc, DOC_ADMIN, "customer/a", "{\"weight\": 3}", 1,
		       CB_E_CONFLICT);
	apply_change(&doc, DOC_ADMIN, "customer/b", "{\"weight\": 3}", 2);
	ck_assert_int_eq(doc->revision, 4);
	expect_failure(doc, DOC_ADMIN, "customer/a", "{\"weight\": 3}", 0,
		       CB_E_CONFLICT);
	apply_change(&doc, DOC_ADMIN, "customer/a", NULL, 3);
	expect_failure(doc, DOC_ADMIN, "customer/a", "{\"weight\": 3}", 3,
		       CB_E_CONFLICT);
	expect_failure(doc, DOC_ADMIN, "customer/a", NULL, 0, CB_E_NO_SECTION);
	apply_change(&doc, DOC_ADMIN, "customer/a", "{\"weight\": 3}", 0);
	ck_assert_int_eq(doc_find(doc, "customer/a")->revision, 6);
	doc_free(doc);
}
END_TEST

/*
 * Returns the body of a pool of workers with 8 accelerators each. With 9
 * workers it is one full rack and one more worker.
 */
static char *pool_text(int workers)
{
	GString *text = g_string_new("{\"workers\": [");
	int i;

	for (i = 0; i < workers; i++)
		g_string_append_printf(
			text,
			"%s{\"name\": \"w%d\", \"addr\": \"127.0.0.1\", "
			"\"port\": %d, \"rack\": %d, \"accelerators\": 8}",
			i ? "," : "", i, 1000 + i, i / WORKERS_PER_RACK);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static char *guarantee(const char *unit, int count)
{
	return g_strdup_printf("{\"weight\": 1, \"guarantees\": [{\"dc\": "
			       "\"p\", \"unit\": \"%s\", \"count\": %d}]}",
			       unit, count);
}

static const struct {
	const char *unit;
	int fits; /* units that fit beside a guaranteed rack */
} remaining_capacity[] = { { "rack", 0 },
			   { "worker", 1 },
			   { "accelerator", 8 } };

/*
 * Guards against guarantees that cannot all be met at the same time, after a
 * change of a customer or of the pool.
 */
START_TEST(guarantees_fit_the_pool_together)
{
	char *pool = pool_text(9), *smaller = pool_text(8);
	char *rack = guarantee("rack", 1);
	char *fits = guarantee(remaining_capacity[_i].unit,
			       remaining_capacity[_i].fits);
	char *excess = guarantee(remaining_capacity[_i].unit,
				 remaining_capacity[_i].fits + 1);
	struct doc_change c = { "id", "customer/b", body(excess),
				0,    DOC_ADMIN,    NULL };
	struct doc *doc = doc_new();
	GError *err = NULL;

	expect_failure(doc, DOC_ADMIN, "customer/a", rack, 0,
		       CB_E_CHECK_FAILED);
	apply_change(&doc, DOC_ADMIN, "pool/p", pool, 0);
	apply_change(&doc, DOC_ADMIN, "customer/a", rack, 0);
	ck_assert_ptr_null(doc_apply(doc, &c, &err));
	ck_assert_ptr_nonnull(strstr(err->message, "customer/a"));
	ck_assert_ptr_nonnull(strstr(err->message, "customer/b"));
	ck_assert_ptr_nonnull(strstr(err->message, "pool/p"));
	if (remaining_capacity[_i].fits > 0) {
		apply_change(&doc, DOC_ADMIN, "customer/b", fits, 0);
		expect_failure(doc, DOC_ADMIN, "pool/p", smaller, 1,
			       CB_E_CHECK_FAILED);
	}
	expect_failure(doc, DOC_ADMIN, "pool/p", NULL, 1, CB_E_CHECK_FAILED);
	g_error_free(err);
	json_decref(c.body);
	g_free(pool);
	g_free(smaller);
	g_free(rack);
	g_free(fits);
	g_free(excess);
	doc_free(doc);
}
END_TEST

/* Guards against accepting a body that does not match its hash in the root. */
START_TEST(root_and_bodies_round_trip_through_store)
{
	struct doc *doc = doc_new(), *read;
	GPtrArray *missing;
	char *text;

	apply_change(&doc, DOC_ADMIN, "customer/a", "{\"weight\": 7}", 0);
	apply_change(&doc, DOC_ADMIN, "service/s", "{\"class\": \"long\"}", 0);
	text = doc_root_text(doc);
	read = doc_root_parse(text, strlen(text), NULL);
	free(text);
	ck_assert_int_eq(read->revision, 2);
	missing = doc_missing_bodies(read);
	ck_assert_uint_eq(missing->len, 2);
	g_ptr_array_free(missing, TRUE);
	ck_assert(
		!doc_set_body(read, "customer/a", "{\"weight\":8}", 12, NULL));
	ck_assert(doc_set_body(read, "customer/a", "{\"weight\":7}", 12, NULL));
	doc_share_bodies(read, doc);
	missing = doc_missing_bodies(read);
	ck_assert_uint_eq(missing->len, 0);
	g_ptr_array_free(missing, TRUE);
	ck_assert(doc_supersedes(read, doc) == false);
	ck_assert_ptr_null(doc_root_parse("{\"revision\":", 12, NULL));
	doc_free(read);
	doc_free(doc);
}
END_TEST

/*
 * Guards against a diff that attributes changes to the wrong worker after
 * another worker was removed from the array before it.
 */
START_TEST(diff_matches_entries_by_name)
{
	json_t *from = body("{\"w\": [{\"name\": \"a\", \"port\": 1}, "
			    "{\"name\": \"b\", \"port\": 2}], \"x\": 1}");
	json_t *to = body("{\"w\": [{\"name\": \"b\", \"port\": 3}], "
			  "\"x\": 1, \"y\": [1]}");
	json_t *diff = doc_diff(from, to);
	json_t *wanted =
		body("[{\"path\": \"/w/a\", \"from\": {\"name\": \"a\", "
		     "\"port\": 1}}, {\"path\": \"/w/b/port\", \"from\": 2, "
		     "\"to\": 3}, {\"path\": \"/y\", \"to\": [1]}]");

	ck_assert(json_equal(diff, wanted));
	json_decref(diff);
	json_decref(wanted);
	json_decref(from);
	json_decref(to);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("document");

	tcase_add_loop_test(tc, section_errors_name_key_value_and_allowed, 0,
			    G_N_ELEMENTS(bad_sections));
	tcase_add_test(tc, teams_write_only_permitted_sections);
	tcase_add_test(tc, token_belongs_to_one_team);
	tcase_add_test(tc, changes_merge_or_conflict);
	tcase_add_loop_test(tc, guarantees_fit_the_pool_together, 0,
			    G_N_ELEMENTS(remaining_capacity));
	tcase_add_test(tc, root_and_bodies_round_trip_through_store);
	tcase_add_test(tc, diff_matches_entries_by_name);
	return run_case("doc", tc);
}
