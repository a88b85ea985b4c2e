#include <stdio.h>
#include <string.h>

#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/*
 * Entries that another program has written under the prefixes that hosts read.
 * Guards against hosts that end, stop following a prefix or stop planning
 * because of one: each odd value is put under each prefix, while jobs run and
 * while the leader changes.
 */

static struct rig rig;

#define NESTED_DEPTH 100000
#define LONG_BYTES 300000

/* The fields of a worker's entry; %s stands for the value that is odd. */
static const char *const worker_forms[] = {
	"{\"svc\":%s,\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":1,\"gpu\":0},\"labels\":"
	"[],\"clock_ms\":1,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":%s,\"zone\":\"d1\",\"state\":\"ready\","
	"\"headroom\":{\"cpu\":1,\"mem_mb\":1,\"gpu\":0},\"labels\":[],"
	"\"clock_ms\":1,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":%s,\"mem_mb\":1,\"gpu\":0},\"labels\":"
	"[],\"clock_ms\":1,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":%s},"
	"\"labels\":[],\"clock_ms\":1,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":%s,\"labels\":[],\"clock_ms\":1,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1},"
	"\"labels\":[],\"clock_ms\":%s,\"born\":1}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1},"
	"\"labels\":[],\"clock_ms\":1,\"born\":%s}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"draining\",\"headroom\":{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1},"
	"\"labels\":[],\"clock_ms\":1,\"born\":1,\"remaining_ms\":%s}",
	"{\"svc\":\"pool\",\"addr\":\"127.0.0.1:1\",\"zone\":\"d1\",\"state\":"
	"\"ready\",\"headroom\":{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":1},"
	"\"labels\":%s,\"clock_ms\":1,\"born\":1}",
};

static const char *const odd_fields[] = {
	"null",
	"true",
	"-1",
	"1.5",
	"1e300",
	"-1e300",
	"1e999",
	"9223372036854775807",
	"-9223372036854775808",
	"99999999999999999999",
	"\"\"",
	"\"\\u0000\"",
	"\"127.0.0.1:0\"",
	"\"127.0.0.1:65536\"",
	"\"127.0.0.1:99999999999999999999\"",
	"\"127.0.0.1:-1\"",
	"\":1\"",
	"\"256.1.1.1:80\"",
	"{}",
	"[[[[[[[[[[]]]]]]]]]]",
	"[null,1,\"\\u0000\"]",
};

static const char *const prefixes[] = {
	"servers/",
	"servers/odd-",
	"chivebank/hosts/d1/",
	"chivebank/hosts/odd",
	"chivebank/intake/",
	"chivebank/intake/0000000000000abc/spec",
	"chivebank/intake/0000000000000abc/cancel",
	"chivebank/intake/0000000000000abc/odd",
	"chivebank/state/",
	"chivebank/state/0000000000000abc",
	"chivebank/state/00000000000000a2",
	"chivebank/waiting",
	"chivebank/leader/odd",
	"chivebank/leader/last",
	"op/odd",
	"op/wave/",
	"op/wave/7",
	"status/wave/7",
};

/* Values that are no entry of any prefix. */
static GPtrArray *odd_values(void)
{
	static const char *const texts[] = {
		"",
		"not json",
		"{",
		"}",
		"[]",
		"{}",
		"null",
		"-",
		"\"",
		"\xff\xfe\x80",
		"\x91",
		"\x9f\x01\x02",
		"\xdd\xff\xff\xff\xff",
		"\xc1",
		"99999999999999999999",
		"1e999",
		"a b c d e f g h i",
		"odd 99999999999999999999 127.0.0.1 99999999999",
		"odd 1 127.0.0.1 -5",
		"127.0.0.1 99999 -1",
		"127.0.0.1 0 100",
		" ",
		"    ",
		"{\"wave\":1e300,\"machines\":[\"m\"],\"within_s\":1e300,"
		"\"cap\":1e300}",
		"{\"wave\":-1,\"machines\":[\"\",\"m\"],\"within_s\":-5,\"cap\":-2}",
		"{\"version\":1e300}",
		"{\"version\":99999999999999999999}",
	};
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_ptr_array_add(values, g_strdup(texts[i]));
	g_ptr_array_add(values, g_strnfill(NESTED_DEPTH, '['));
	g_ptr_array_add(values, g_strnfill(NESTED_DEPTH, '\x91'));
	g_ptr_array_add(values, g_strnfill(LONG_BYTES, 'x'));
	for (i = 0; i < G_N_ELEMENTS(worker_forms); i++)
		for (k = 0; k < G_N_ELEMENTS(odd_fields); k++) {
			char **parts = g_strsplit(worker_forms[i], "%s", 2);

			g_ptr_array_add(values,
					g_strconcat(parts[0], odd_fields[k],
						    parts[1], NULL));
			g_strfreev(parts);
		}
	return values;
}

static void put_all(const char *prefix, const GPtrArray *values)
{
	char key[200];
	guint i;

	for (i = 0; i < values->len; i++) {
		/* Under one key, or under one of its own for each value. */
		if (g_str_has_suffix(prefix, "/") ||
		    g_str_has_suffix(prefix, "-"))
			snprintf(key, sizeof(key), "%s%u", prefix, i);
		else
			g_strlcpy(key, prefix, sizeof(key));
		site_store_put(rig.store, key, g_ptr_array_index(values, i));
	}
}

static void run_job(const char *id)
{
	int tries, status = 0;

	for (tries = 0; status != 200 && tries < 5; tries++)
		status = rig_submit(&rig, tries % rig.nhosts, id, 6, "ms=100",
				    NULL);
	ck_assert_int_eq(status, 200);
	ck_assert_msg(rig_wait(&rig, 1, id, "done", 8000), "job %s is %s", id,
		      rig_state(&rig, 1, id));
}

START_TEST(odd_entries_stop_no_host)
{
	GPtrArray *values = odd_values();

	rig_start(&rig, 2, 2, 1);
	run_job("00000000000000a1");
	put_all(prefixes[_i], values);
	rig_run_ms(&rig, 200);
	run_job("00000000000000a2");
	/* The next leader reads all of them at once. */
	site_store_lapse(rig.store, "chivebank/leader");
	rig_run_ms(&rig, 300);
	ck_assert(rig_wait_leader(&rig, 5000));
	run_job("00000000000000a3");
	/* What is well-formed is still followed. */
	rig_configure(&rig, 9, "key-two");
	rig_run_ms(&rig, 300);
	ck_assert_int_eq(rig_call(&rig, 1, "GET", RIG_PREFIX "00000000000000a3",
				  RIG_KEY, NULL)
				 .status,
			 401);
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
	rig_stop(&rig);
	g_ptr_array_unref(values);
}
END_TEST

/*
 * Guards against hosts that elect no leader, so that all jobs stand still: a key
 * beside the leader's appears while there is no leader.
 */
START_TEST(odd_key_beside_the_leader_is_no_leader)
{
	rig_start(&rig, 2, 2, 1);
	site_store_lapse(rig.store, "chivebank/leader");
	site_store_put(rig.store, "chivebank/leader/odd", "{");
	site_store_put(rig.store, "chivebank/leader2", "odd 1 127.0.0.1 1");
	rig_run_ms(&rig, 300);
	ck_assert(rig_wait_leader(&rig, 5000));
	run_job("00000000000000a1");
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("odd_entries");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, odd_entries_stop_no_host, 0,
			    (int)G_N_ELEMENTS(prefixes));
	tcase_add_test(tc, odd_key_beside_the_leader_is_no_leader);
	return run_case("odd_entries", tc);
}
