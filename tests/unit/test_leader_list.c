#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "control/leader_list.h"
#include "tests/unit/run.h"

/* The list of leaders that may still extend leases, as the store holds it. */

static struct leader_identity leader_named(const char *host, int port)
{
	struct leader_identity leader = { .incarnation = 5 };

	g_strlcpy(leader.host, host, sizeof(leader.host));
	g_strlcpy(leader.peers.addr, "10.0.0.1", sizeof(leader.peers.addr));
	leader.peers.port = port;
	return leader;
}

static void check_text(const struct leader_list *list, const char *expected)
{
	char *text = leader_list_format(list);

	ck_assert_str_eq(text, expected);
	g_free(text);
}

START_TEST(latest_leader_comes_first)
{
	struct leader_identity a = leader_named("a", 1);
	struct leader_identity b = leader_named("b", 2);
	struct leader_list list = { 0 }, copy;

	leader_list_prepend(&list, &a);
	leader_list_prepend(&list, &b);
	check_text(&list, "b 5 10.0.0.1 2 a 5 10.0.0.1 1");
	ck_assert(leader_list_parse(&copy, "b 5 10.0.0.1 2 a 5 10.0.0.1 1"));
	ck_assert_int_eq(copy.count, 2);
	ck_assert_str_eq(copy.at[1].host, "a");
	ck_assert_uint_eq(copy.at[1].incarnation, 5);
	/* A host has one process at a time. */
	leader_list_prepend(&list, &a);
	check_text(&list, "a 5 10.0.0.1 1 b 5 10.0.0.1 2");
	leader_list_remove(&list, &a);
	check_text(&list, "b 5 10.0.0.1 2");
}
END_TEST

/*
 * Guards against a leader that counts as ended because a process of the same
 * name, at another address, leads after it.
 */
START_TEST(same_name_elsewhere_is_another_leader)
{
	struct leader_identity old = leader_named("a", 1);
	struct leader_identity new = leader_named("a", 1);
	struct leader_list list = { 0 };

	g_strlcpy(new.peers.addr, "10.0.0.2", sizeof(new.peers.addr));
	leader_list_prepend(&list, &old);
	leader_list_remove(&list, &new);
	check_text(&list, "a 5 10.0.0.1 1");
	leader_list_prepend(&list, &new);
	check_text(&list, "a 5 10.0.0.2 1 a 5 10.0.0.1 1");
}
END_TEST

/* Guards against an unreadable list that is taken for an empty one: earlier
 * leaders would count as stopped. */
START_TEST(other_texts_name_a_leader_that_never_answers)
{
	static const char *const bad[] = { "", "a 5 10.0.0.1",
					   "a 5 10.0.0.1 1 b",
					   " 5 10.0.0.1 1" };
	struct leader_list list;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		ck_assert_msg(!leader_list_parse(&list, bad[i]), "%s", bad[i]);
		ck_assert_int_eq(list.count, 1);
		ck_assert_str_eq(list.at[0].host, "-");
	}
}
END_TEST

/* Guards against a leader that is forgotten because the list is full. */
START_TEST(full_list_keeps_an_entry_that_never_answers)
{
	struct leader_list list = { 0 };
	char name[16];
	int i;

	for (i = 0; i < LEADER_LIST_MAX + 3; i++) {
		struct leader_identity leader;

		snprintf(name, sizeof(name), "h%d", i);
		leader = leader_named(name, 1 + i);
		leader_list_prepend(&list, &leader);
	}
	ck_assert_int_eq(list.count, LEADER_LIST_MAX);
	ck_assert_str_eq(list.at[0].host, name);
	ck_assert_str_eq(list.at[LEADER_LIST_MAX - 1].host, "-");
	ck_assert_int_eq(list.at[LEADER_LIST_MAX - 1].peers.port, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("leader_list");

	tcase_add_test(tc, same_name_elsewhere_is_another_leader);
	tcase_add_test(tc, latest_leader_comes_first);
	tcase_add_test(tc, other_texts_name_a_leader_that_never_answers);
	tcase_add_test(tc, full_list_keeps_an_entry_that_never_answers);
	return run_case("leader_list", tc);
}
