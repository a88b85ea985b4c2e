#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/set.h"
#include "tests/unit/run.h"

#define TOKEN "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
#define HEAD                                               \
	"\"host\":\"a\",\"dc\":\"d\",\"region\":\"r\","    \
	"\"callers\":{\"addr\":\"127.0.0.1\",\"port\":0}," \
	"\"admin\":{\"addr\":\"::1\",\"port\":8081},"      \
	"\"admin_token_sha256\":\"" TOKEN "\","
#define MEMORY "\"store\":{\"kind\":\"memory\"}"
#define ETCD \
	"\"store\":{\"kind\":\"etcd\",\"addr\":\"127.0.0.1\",\"port\":2379}"
#define PEER(name)          \
	"{\"host\":\"" name \
	"\",\"dc\":\"d\",\"region\":\"r\",\"addr\":\"127.0.0.1\",\"port\":9}"

static struct set set;

/* Parses the text and returns the error's message, "" for none. */
static const char *message_of(const char *text)
{
	static char message[512];
	GError *err = NULL;

	message[0] = '\0';
	if (set_parse(&set, text, strlen(text), &err))
		return message;
	ck_assert_int_eq(err->code, CB_E_SETTINGS);
	snprintf(message, sizeof(message), "%s", err->message);
	g_error_free(err);
	return message;
}

/* Guards against valid settings being refused or read into wrong fields. */
START_TEST(valid_settings_are_read)
{
	ck_assert_str_eq(message_of("{" HEAD MEMORY "}"), "");
	ck_assert(set.store_memory);
	ck_assert_int_eq(set.admin.port, 8081);
	ck_assert_int_eq(set.grace_ms, 10000);
	ck_assert_str_eq(message_of("{" HEAD MEMORY ",\"drain_delay_ms\":9999,"
				    "\"grace_ms\":10000}"),
			 "");
	ck_assert_str_eq(message_of("{" HEAD ETCD
				    ",\"peer_listen\":{\"addr\":\"127.0.0.1\","
				    "\"port\":7},\"peers\":[" PEER(
					    "b") "],"
						 "\"log_level\":\"debug\"}"),
			 "");
	ck_assert_uint_eq(set.peer_count, 1);
	ck_assert_str_eq(set_peer_region(&set, "b"), "r");
	ck_assert_ptr_null(set_peer_region(&set, "x"));
	ck_assert_int_eq(set.log_level, LOG_DBG_LEVEL);
}
END_TEST

static const struct {
	const char *text;
	const char *names; /* must stand in the message */
} bad[] = {
	{ "[]", "top level" },
	{ "{", "line 1" },
	{ "{" HEAD MEMORY ",\"hots\":1}", "\"hots\" is unknown" },
	{ "{" HEAD "\"store\":{\"kind\":\"memory\",\"x\":1}}", "store.x" },
	{ "{" HEAD "\"store\":{\"kind\":\"disk\"}}", "\"disk\"" },
	{ "{" MEMORY "}", "\"host\"" },
	{ "{" HEAD MEMORY ",\"drain_delay_ms\":-1}", "-1" },
	{ "{" HEAD MEMORY ",\"drain_delay_ms\":\"2\"}", "integer from 0" },
	{ "{" HEAD MEMORY ",\"grace_ms\":0}", "grace_ms" },
	{ "{" HEAD MEMORY ",\"grace_ms\":2000}", "more than drain_delay_ms" },
	{ "{" HEAD MEMORY ",\"drain_delay_ms\":10000}", "\"grace_ms\"" },
	{ "{" HEAD MEMORY ",\"seed\":1,\"seed\":2}", "duplicate" },
	{ "{" HEAD MEMORY ",\"log_level\":\"loud\"}", "\"loud\"" },
	{ "{" HEAD MEMORY ",\"host_list\":{\"addr\":\"h\",\"port\":1}}",
	  "host_list.addr" },
	{ "{" HEAD ETCD ",\"peers\":[" PEER("b") "]}", "peer_listen" },
	{ "{" HEAD ETCD ",\"peer_listen\":{\"addr\":\"::1\",\"port\":7},"
	  "\"peers\":[" PEER("b") "," PEER("b") "]}",
	  "each host once" },
	{ "{" HEAD ETCD ",\"peer_listen\":{\"addr\":\"::1\",\"port\":7},"
	  "\"peers\":[" PEER("a") "]}",
	  "other than this" },
	{ "{" HEAD MEMORY ",\"backends\":[{\"service\":\"s p\",\"addr\":"
	  "\"::1\",\"port\":1}]}",
	  "backends[0].service" },
};

/* Guards against a bad value that starts a daemon, or an unclear error. */
START_TEST(bad_settings_name_the_key)
{
	const char *message = message_of(bad[_i].text);

	ck_assert_msg(strstr(message, bad[_i].names), "message: %s", message);
}
END_TEST

/* Guards against result numbers that are used twice. */
START_TEST(result_codes_are_unique)
{
	static const int codes[] = {
#define CODE(name, num, http, text) num,
		CB_RESULTS(CODE)
#undef CODE
	};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(codes); i++)
		for (j = 0; j < i; j++)
			ck_assert_int_ne(codes[i], codes[j]);
	ck_assert_str_eq(cb_result_name(CB_E_CONFLICT), "CB_E_CONFLICT");
	ck_assert_int_eq(cb_result_http(CB_E_CONFLICT), 409);
	ck_assert_int_eq(cb_result_exit(CB_E_CONFLICT), 5);
	ck_assert_int_eq(cb_result_exit(CB_OK), 0);
	ck_assert_int_eq(cb_result_http(-1), 500);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, valid_settings_are_read);
	tcase_add_loop_test(tc, bad_settings_name_the_key, 0,
			    G_N_ELEMENTS(bad));
	tcase_add_test(tc, result_codes_are_unique);
	return run_case("set", tc);
}
