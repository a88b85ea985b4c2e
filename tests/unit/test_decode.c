#include <string.h>

#include "base/err.h"
#include "control/hosts.h"
#include "platform/decode.h"
#include "platform/json.h"
#include "platform/settings.h"
#include "tests/unit/run.h"

/*
 * Values that other programs write on the platform, decoded into the product's
 * types. Guards against malformed ones being accepted, and fields misread.
 */

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
	"\"prefix\":\"/q/\",\"slo_ms\":300,\"prio\":0,\"svc\":\"s\","
	"\"attempts\":3,\"stretch\":1.5,\"public\":true,\"advice\":{"
	"\"decide_ms\":10,\"each_ms\":1,\"valid_ms\":3000}},{\"name\":\"r2\","
	"\"host\":\"a.example\",\"prefix\":\"/q/long/\",\"svc\":\"s\"},"
	"{\"name\":\"broken\"}],\"svcs\":[{\"name\":\"s\","
	"\"admission_check\":true}],\"tenants\":[{\"name\":\"t\","
	"\"api_keys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":8}}]}";

START_TEST(configuration)
{
	struct config *config =
		platform_config_read(config_text, strlen(config_text));
	const struct queue *queue;

	ck_assert_ptr_nonnull(config);
	ck_assert_int_eq(config->version, 7);
	ck_assert_uint_eq(config->queues->len, 2);
	queue = config_route(config, "A.example:80", "/q/00");
	ck_assert_str_eq(queue->name, "r");
	ck_assert(queue->open && queue->advised);
	/* The longest prefix wins. */
	queue = config_route(config, "a.example", "/q/long/00");
	ck_assert_str_eq(queue->name, "r2");
	ck_assert_ptr_null(config_route(config, "b.example", "/q/00"));
	ck_assert_ptr_null(config_route(config, "a.example", "/x/00"));
	ck_assert_int_eq(config_find_key_owner(config, "k2")->guaranteed_gpus,
			 8);
	ck_assert_ptr_null(config_find_key_owner(config, "k3"));
	config_free(config);
	ck_assert_ptr_null(platform_config_read("{}", 2));
	ck_assert_ptr_null(platform_config_read("[", 1));
}
END_TEST

static bool read_report(const char *text, struct worker_report *report)
{
	return platform_report_read("servers/i-1", text, strlen(text), report);
}

START_TEST(worker_reports)
{
	static const char good[] =
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"draining\",\"headroom\":{\"cpu\":1,\"mem_mb\":2,"
		"\"gpu\":3},\"labels\":[\"a\",\"r1\"],\"clock_ms\":5,"
		"\"born\":6,\"remaining_ms\":70}";
	static const char without[] =
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":2,"
		"\"gpu\":null},\"labels\":[],\"clock_ms\":5,\"born\":6,"
		"\"remaining_ms\":null}";
	static const char *const bad[] = {
		"",
		"{}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":2},"
		"\"clock_ms\":5,\"born\":6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"odd\",\"headroom\":{\"cpu\":1,\"mem_mb\":2},"
		"\"clock_ms\":5,\"born\":6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":\"1\"},"
		"\"clock_ms\":5,\"born\":6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":2},"
		"\"clock_ms\":5,\"born\":6.5}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":2},"
		"\"clock_ms\":9223372036854775807,\"born\":6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":1,\"mem_mb\":2,"
		"\"gpu\":1e300},\"clock_ms\":5,\"born\":-6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"headroom\":{\"cpu\":9223372036854775807,"
		"\"mem_mb\":2},\"clock_ms\":5,\"born\":6}",
		"{\"svc\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"state\":\"draining\",\"headroom\":{\"cpu\":1,\"mem_mb\":2},"
		"\"clock_ms\":5,\"born\":6,\"remaining_ms\":1e18}",
	};
	struct worker_report report;
	size_t i;

	ck_assert(read_report(good, &report));
	ck_assert_str_eq(report.id, "i-1");
	ck_assert_str_eq(report.addr, "10.0.0.9");
	ck_assert_int_eq(report.port, 80);
	ck_assert_str_eq(report.rack, "r1");
	ck_assert(report.draining);
	ck_assert_int_eq(report.room.gpus, 3);
	ck_assert_int_eq(report.remaining_ms, 70);
	worker_report_finish(&report);
	ck_assert(read_report(without, &report));
	ck_assert_int_eq(report.room.gpus, 0);
	ck_assert_int_eq(report.remaining_ms, 0);
	worker_report_finish(&report);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(!read_report(bad[i], &report), "entry %zu", i);
}
END_TEST

START_TEST(submissions)
{
	static const char good[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,"
		"\"affinity\":\"r1\"},{\"count\":1,\"after\":[0],"
		"\"gang\":true,\"same_rack\":true,\"required_label\":\"a\","
		"\"max_per_server\":3,\"checkpoint\":true}],\"times\":2,"
		"\"first_ms\":10,\"interval_ms\":20}";
	struct job_spec spec;
	GError *err = NULL;

	ck_assert(platform_spec_read(good, strlen(good), &spec, &err));
	ck_assert_int_eq(spec.nsteps, 2);
	ck_assert_str_eq(spec.steps[0].rack, "r1");
	ck_assert_uint_eq(spec.steps[1].after, 1);
	ck_assert(spec.steps[1].gang && spec.steps[1].same_rack);
	ck_assert_str_eq(spec.steps[1].label, "a");
	ck_assert_int_eq(spec.steps[1].max_per_worker, 3);
	ck_assert_int_eq(spec.times, 2);
	job_spec_finish(&spec);
	ck_assert(!platform_spec_read("{\"spec\":1}", 10, &spec, &err));
	ck_assert_int_eq(err->code, CB_E_BAD_JOB);
	g_clear_error(&err);
}
END_TEST

/* One step with the given fields. */
static bool read_step(const char *fields, const char *rest,
		      struct job_spec *spec)
{
	char *text =
		g_strdup_printf("{\"spec\":\"x\",\"steps\":[{\"count\":1,%s}"
				"]%s}",
				fields, rest);
	bool ok = platform_spec_read(text, strlen(text), spec, NULL);

	g_free(text);
	return ok;
}

/*
 * Guards against sums and products of figures of a job that leave the range of
 * their type: durations along 64 steps, accelerators in cores.
 */
START_TEST(absurd_figures_of_jobs_are_refused)
{
	static const char *const bad[] = {
		"\"cpu\":9223372036854775807",
		"\"mem_mb\":4294967297",
		"\"gpu\":4611686018427387904",
		"\"est_ms\":9223372036854775807",
		"\"target_ms\":9e18",
		"\"est_ms\":1e300",
		"\"cpu\":1.5",
		"\"gpu\":-1",
	};
	struct job_spec spec;
	struct job *job;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(!read_step(bad[i], "", &spec), "%s", bad[i]);
	ck_assert(!read_step("\"cpu\":1", ",\"times\":9223372036854775807",
			     &spec));
	ck_assert(!read_step("\"cpu\":1", ",\"interval_ms\":1e300", &spec));
	ck_assert(read_step("\"cpu\":4294967296,\"gpu\":4294967296,"
			    "\"est_ms\":1099511627776,\"target_ms\":"
			    "1099511627776",
			    "", &spec));
	ck_assert_int_eq(job_spec_chain_ms(&spec), SPEC_SPAN_MAX_MS);
	job = job_new("j", &spec);
	ck_assert_double_gt(job->work, 0);
	job_free(job);
}
END_TEST

/* Guards against conversions of figures that the type does not hold. */
START_TEST(absurd_figures_of_the_configuration_are_ignored)
{
	static const char text[] =
		"{\"version\":7,\"limits\":{\"max_body_bytes\":-1},\"routes\":[{"
		"\"name\":\"r\",\"host\":\"a\",\"prefix\":\"/q/\",\"svc\":\"s\","
		"\"slo_ms\":1e300,\"prio\":99999999999,\"attempts\":-1,"
		"\"stretch\":1e300}],\"tenants\":[{\"name\":\"t\",\"api_keys\":"
		"[\"k\"],\"guaranteed\":{\"gpu\":9223372036854775807}}]}";
	struct config *config = platform_config_read(text, strlen(text));
	const struct queue *queue;

	ck_assert_ptr_nonnull(config);
	queue = config_route(config, "a", "/q/00");
	ck_assert_int_eq(queue->slo_ms, 0);
	ck_assert_int_eq(queue->priority, 1);
	ck_assert_int_eq(queue->attempts, 1);
	ck_assert_double_eq(queue->stretch, 1.0);
	ck_assert_int_eq(config->body_max_bytes, 0);
	ck_assert_int_eq(config_find_key_owner(config, "k")->guaranteed_gpus,
			 0);
	config_free(config);
	/* A configuration whose version is not known is not taken. */
	ck_assert_ptr_null(platform_config_read("{\"version\":1e300}", 17));
}
END_TEST

START_TEST(absurd_figures_of_the_settings_are_ignored)
{
	static const char text[] =
		"{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"limits\":{"
		"\"cpu_share\":1e300,\"cores\":-1,\"link_mbps\":-5,\"max_fds\":"
		"1e300},\"bounds\":{\"grace_s\":1e300,\"status_s\":-1,"
		"\"max_hold_ms\":9223372036854775807,\"stop_ms\":-1,\"lease_ms\":"
		"1e18,\"config_ms\":\"1\"},\"platform\":{\"addr\":\"10.0.0.3:8\"}}";
	struct site site;

	ck_assert(platform_settings_parse(&site, text, strlen(text), NULL));
	ck_assert_int_eq(site.bounds.max_hold_ms, 6000);
	ck_assert_int_eq(site.bounds.stop_ms, 400);
	ck_assert_int_eq(site.bounds.status_ms, 120000);
	ck_assert_int_eq(site.machine_order_gap_ms, 3000);
	ck_assert_int_eq(site.config_ms, 2500);
	ck_assert_int_eq(site.grace_ms, 6000);
	ck_assert_double_eq(site.cores, 1.0);
	ck_assert_double_eq(site.link_mbps, 0.0);
	ck_assert_int_eq(site.descriptors_max, 0);
}
END_TEST

/* Guards against a number that is none, and against one that is cut. */
START_TEST(integers)
{
	static const char text[] =
		"{\"a\":1e300,\"b\":-1e300,\"c\":9007199254740993,\"d\":7.9,"
		"\"e\":\"5\",\"f\":9007199254740992,\"g\":9223372036854775807}";
	json_t *object = json_object_parse(text, strlen(text));

	ck_assert_int_eq(json_int(object, "a", 3), 3);
	ck_assert_int_eq(json_int(object, "b", 3), 3);
	ck_assert_int_eq(json_int(object, "c", 3), 3);
	ck_assert_int_eq(json_int(object, "d", 3), 7);
	ck_assert_int_eq(json_int(object, "e", 3), 3);
	ck_assert_int_eq(json_int(object, "f", 3), 9007199254740992);
	ck_assert_int_eq(json_int(object, "none", 3), 3);
	ck_assert_int_eq(json_int_within(object, "d", 3, 0, 7), 7);
	ck_assert_int_eq(json_int_within(object, "d", 3, 8, 9), 3);
	ck_assert_double_eq(json_float_within(object, "a", 2.5, 0, 1e9), 2.5);
	/* A number that is only compared and handed back is taken as it is. */
	ck_assert_int_eq(json_id(object, "g"), INT64_MAX);
	ck_assert_int_eq(json_id(object, "a"), 0);
	json_decref(object);
}
END_TEST

START_TEST(upkeep_waves)
{
	static const char text[] = "{\"wave\":3,\"machines\":[\"m1\",\"m2\"],"
				   "\"within_s\":20,\"cap\":2}";
	struct wave *wave =
		platform_wave_read("op/wave/3", text, strlen(text), 9);

	ck_assert_int_eq(wave->number, 3);
	ck_assert_uint_eq(wave->hosts->len, 2);
	ck_assert_int_eq(wave->within_ms, 20000);
	ck_assert_int_eq(wave->cap, 2);
	wave_free(wave);
	ck_assert_ptr_null(
		platform_wave_read("op/other", text, strlen(text), 9));
	ck_assert_ptr_null(platform_wave_read("op/wave/3", "{}", 2, 9));
	/* Its status would be written for another wave. */
	ck_assert_ptr_null(platform_wave_read(
		"op/wave/3",
		"{\"wave\":9223372036854775807,\"machines\":[\"m1\"]}", 46, 9));
	ck_assert(platform_wave_status_read("{\"state\":\"done\"}", 16));
	ck_assert(!platform_wave_status_read("{\"state\":\"running\"}", 19));
}
END_TEST

START_TEST(evacuations)
{
	static const char *const odd[] = { "", "{", "[]", "1", "null", "x" };
	size_t i;

	ck_assert(platform_evacuation_read("{}", 2));
	ck_assert(platform_evacuation_read("{\"why\":\"power\"}", 15));
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		ck_assert_msg(!platform_evacuation_read(odd[i], strlen(odd[i])),
			      "value %s", odd[i]);
}
END_TEST

/* Guards against absurd times, which would overflow or stop all work. */
START_TEST(bound_of_evacuations)
{
	static const struct {
		const char *field;
		int64_t evac_ms;
	} cases[] = {
		{ "", 0 },
		{ "\"evac_ms\":5000", 5000 },
		{ "\"evac_ms\":0", 0 },
		{ "\"evac_ms\":-5", 0 },
		{ "\"evac_ms\":1e300", 0 },
		{ "\"evac_ms\":9223372036854775807", 0 },
		{ "\"evac_ms\":\"soon\"", 0 },
	};
	struct site site;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(
			"{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\","
			"\"platform\":{\"addr\":\"10.0.0.3:8\"},"
			"\"zones\":{\"y\":\"r\"},\"bounds\":{%s}}",
			cases[i].field);

		ck_assert(platform_settings_parse(&site, text, strlen(text),
						  NULL));
		ck_assert_int_eq(site.bounds.evac_ms, cases[i].evac_ms);
		g_free(text);
	}
	ck_assert(site_has_dc(&site, "z") && site_has_dc(&site, "y"));
	ck_assert(!site_has_dc(&site, "") && !site_has_dc(&site, "x"));
}
END_TEST

START_TEST(settings)
{
	static const char good[] =
		"{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":"
		"\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:1\"},"
		"\"seeds\":[\"10.0.0.2:9\",\"bad\"],\"limits\":{\"cpu_share\":"
		"0.25,\"cores\":2,\"link_mbps\":20},\"bounds\":{\"grace_s\":6,\"max_hold_ms\":"
		"9000},\"platform\":{\"addr\":\"10.0.0.3:8\"},\"new\":1}";
	static const char *const bad[] = {
		"",
		"{}",
		"{\"node\":\"\",\"zone\":\"z\",\"region\":\"r\"}",
		"{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\"}",
		"{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\","
		"\"platform\":{\"addr\":\"nowhere\"}}",
	};
	struct site site;
	GError *err = NULL;
	size_t i;

	ck_assert(platform_settings_parse(&site, good, strlen(good), &err));
	ck_assert_str_eq(site.host, "n");
	ck_assert_uint_eq(site.seed_count, 1);
	ck_assert_double_eq_tol(site.cores, 0.5, 0.001);
	ck_assert_double_eq_tol(site.link_mbps, 20.0, 0.001);
	/* The slow link is the limit, not the processor. */
	ck_assert_int_eq(site_strength(&site), 40);
	ck_assert_int_eq(site.bounds.max_hold_ms, 9000);
	ck_assert_int_eq(site.grace_ms, 6000);
	ck_assert_int_eq(site.advice.port, 0);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		ck_assert_msg(!platform_settings_parse(&site, bad[i],
						       strlen(bad[i]), &err),
			      "settings %zu", i);
		ck_assert_int_eq(err->code, CB_E_SETTINGS);
		g_clear_error(&err);
	}
}
END_TEST

/* Every data centre's list is read in turn, the own one every other time. */
START_TEST(host_lists_rotate)
{
	static const char *const turns[] = { "b", "a", "b", "c",
					     "b", "a", "b", "c" };
	struct site site = { .dc = "b", .dc_count = 3 };
	struct site alone = { .dc = "b", .dc_count = 1 };
	unsigned int i;

	strcpy(site.dcs[0].name, "b");
	strcpy(site.dcs[1].name, "a");
	strcpy(site.dcs[2].name, "c");
	strcpy(alone.dcs[0].name, "b");
	for (i = 0; i < G_N_ELEMENTS(turns); i++) {
		ck_assert_str_eq(hosts_nth_list_dc(&site, i)->name, turns[i]);
		ck_assert_str_eq(hosts_nth_list_dc(&alone, i)->name, "b");
	}
}
END_TEST

/* Reads a hold reply and returns whether it is taken. */
static bool read_hold(const char *text, size_t *running, size_t *ended)
{
	json_t *reply = json_loads(text, 0, NULL);
	struct hold_report report;
	bool ok = platform_hold_read(reply, &report);

	*running = report.nrunning;
	*ended = report.nended;
	g_free(report.running);
	g_free(report.ended);
	json_decref(reply);
	return ok;
}

/*
 * Guards against a report that is taken although runs are missing in it: their
 * tasks would count as gone.
 */
START_TEST(hold_reports)
{
	static const char *const malformed[] = {
		"{}",
		"{\"running\":[]}",
		"{\"ended\":[]}",
		"{\"running\":{},\"ended\":[]}",
		"{\"running\":null,\"ended\":[]}",
		"{\"running\":[7],\"ended\":[]}",
		"{\"running\":[[]],\"ended\":[]}",
		"{\"running\":[[\"a.0.0.0\"]],\"ended\":[]}",
		"{\"running\":[[\"a.0.0.0\",\"1\",\"\",4]],\"ended\":[]}",
		"{\"running\":[],\"ended\":[[1,\"a.0.0.0\"]]}",
		"{\"running\":[[\"a.0.0.0\",9223372036854775807]],\"ended\":[]}",
		"{\"running\":[[\"a.0.0.0\",-1]],\"ended\":[]}",
		"{\"running\":[],\"ended\":[[9223372036854775807,\"a.0.0.0\",1,"
		"\"done\"]]}",
	};
	size_t i, running, ended;

	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		ck_assert_msg(!read_hold(malformed[i], &running, &ended), "%s",
			      malformed[i]);
		ck_assert_uint_eq(running + ended, 0);
	}
	ck_assert(!platform_hold_read(NULL, &(struct hold_report){ 0 }));
	ck_assert(read_hold("{\"running\":[],\"ended\":[]}", &running, &ended));
	ck_assert(read_hold("{\"running\":[[\"a.0.0.0\",2,\"x\",1e300]],"
			    "\"ended\":[[5,\"a.0.0.1\",1,\"done\",\"\"],"
			    "[6,\"a.0.0.2\",1,\"new\",\"\"]]}",
			    &running, &ended));
	ck_assert_uint_eq(running, 1);
	ck_assert_uint_eq(ended, 2);
}
END_TEST

/* A worker lists 500 ends at a time: an answer with as many may leave some
 * out. */
START_TEST(full_list_of_ends_is_truncated)
{
	GString *text = g_string_new("{\"running\":[],\"ended\":[");
	struct hold_report report;
	json_t *reply, *ended;
	int i;

	for (i = 1; i <= 500; i++)
		g_string_append_printf(text,
				       "%s[%d,\"a.0.0.%d\",1,\"done\",\"\"]",
				       i > 1 ? "," : "", i, i);
	g_string_append(text, "]}");
	reply = json_loads(text->str, 0, NULL);
	ended = json_object_get(reply, "ended");
	ck_assert(platform_hold_read(reply, &report));
	ck_assert(report.truncated);
	g_free(report.running);
	g_free(report.ended);
	json_array_remove(ended, 0);
	ck_assert(platform_hold_read(reply, &report));
	ck_assert(!report.truncated);
	g_free(report.running);
	g_free(report.ended);
	json_decref(reply);
	g_string_free(text, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("decode");

	tcase_add_test(tc, configuration);
	tcase_add_test(tc, hold_reports);
	tcase_add_test(tc, full_list_of_ends_is_truncated);
	tcase_add_test(tc, worker_reports);
	tcase_add_test(tc, submissions);
	tcase_add_test(tc, absurd_figures_of_jobs_are_refused);
	tcase_add_test(tc, absurd_figures_of_the_configuration_are_ignored);
	tcase_add_test(tc, absurd_figures_of_the_settings_are_ignored);
	tcase_add_test(tc, integers);
	tcase_add_test(tc, upkeep_waves);
	tcase_add_test(tc, evacuations);
	tcase_add_test(tc, bound_of_evacuations);
	tcase_add_test(tc, settings);
	tcase_add_test(tc, host_lists_rotate);
	return run_case("decode", tc);
}
