#include "review/scene.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ev.h"
#include "base/limits.h"
#include "review/path.h"
#include "tests/standins/ports.h"
#include "tests/standins/sr_proc.h"

#define BINARY "target/chivebankd"
#define STEP_MS 10

static FILE *record;
static int64_t begun_us;

void scene_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8.3f ", (double)(kn_now_us() - begun_us) / 1e6);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

void scene_give_up(const char *why)
{
	scene_record("not run: %s", why);
	fprintf(stderr, "not run: %s\n", why);
	sr_proc_kill_all();
	exit(SCENE_NOT_RUN);
}

static int number_after(const char *key, const char *prefix)
{
	return g_str_has_prefix(key, prefix) ? atoi(key + strlen(prefix)) : -1;
}

static void on_changed(void *user, const char *key, const char *value,
		       size_t len)
{
	struct scene *scene = user;
	int number = number_after(key, "status/wave/");

	if (number < 0 || number >= (int)G_N_ELEMENTS(scene->wave_state) ||
	    !value)
		return;
	g_strlcpy(scene->wave_state[number],
		  strstr(value, "done") ? "done" : "running",
		  sizeof(scene->wave_state[number]));
	scene_record("store: %s = %.*s", key, (int)len, value);
}

/* Hosts find each other through the paths between them. */
static char *translate(void *user, const char *key, const char *value)
{
	struct scene *scene = user;
	char **words, *text;
	int i, w;

	if (!g_str_has_prefix(key, "chivebank/hosts/") &&
	    !g_str_has_prefix(key, "chivebank/leader"))
		return NULL;
	words = g_strsplit(value, " ", -1);
	for (w = 0; words[w]; w++)
		for (i = 0; i < scene->nhosts; i++) {
			const struct scene_host *host = &scene->hosts[i];

			if (atoi(words[w]) != host->peers_port)
				continue;
			g_free(words[w]);
			words[w] = g_strdup_printf("%d",
						   path_port(host->peers_path));
			break;
		}
	text = g_strjoinv(" ", words);
	g_strfreev(words);
	return text;
}

void scene_init(struct scene *scene, int argc, char **argv)
{
	const struct site_bounds bounds = {
		.max_hold_ms = 6000,
		.gang_ms = SCENE_GANG_MS,
		.stop_ms = 400,
		.beat_ms = 1500,
		.late_ms = 2000,
	};
	const char *trouble = getenv("TROUBLE");

	if (argc != 3) {
		fprintf(stderr, "usage: %s FOLDER RECORD\n", argv[0]);
		exit(SCENE_NOT_RUN);
	}
	memset(scene, 0, sizeof(*scene));
	begun_us = kn_now_us();
	record = fopen(argv[2], "w");
	if (!record || !sr_proc_init(argv[1]) || !kn_init(&scene->kn, NULL)) {
		fprintf(stderr, "%s: cannot begin\n", argv[0]);
		exit(SCENE_NOT_RUN);
	}
	scene->dir = argv[1];
	scene->trouble = !trouble || strcmp(trouble, "0") != 0;
	scene_record("trouble=%d", scene->trouble);
	ev_init(1);
	path_start();
	scene->store = site_store_new(&scene->kn, 1);
	scene->store->changed = on_changed;
	scene->store->translate = translate;
	scene->store->user = scene;
	scene->fleet = site_fleet_new(&scene->kn, scene->store, &bounds, 1);
	scene->cloud = cloud_new(&scene->kn, scene->fleet);
	site_store_put(
		scene->store, "op/config",
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
		"\"127.0.0.1\",\"prefix\":\"/jobs/\",\"slo_ms\":1200,"
		"\"prio\":1,\"svc\":\"" CLOUD_POOL "\",\"attempts\":3,"
		"\"stretch\":3.0}],\"svcs\":[{\"name\":\"" CLOUD_POOL "\"},"
		"{\"name\":\"" CLOUD_SPARE "\",\"spare\":true}],\"limits\":"
		"{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"one\","
		"\"api_keys\":[\"" SCENE_KEY "\"]}]}");
}

static struct site_worker *add_worker(struct scene *scene, const char *rack,
				      const char *pool)
{
	struct site_worker *worker =
		site_fleet_add(scene->fleet, rack, 8, ports_reserve());

	cloud_add(scene->cloud, worker, pool);
	scene_record("machine m-%s in %s, rack %s", worker->id, pool, rack);
	return worker;
}

struct site_worker *scene_add_worker(struct scene *scene, const char *pool)
{
	return add_worker(scene, "r1", pool);
}

struct site_worker *scene_add_racked(struct scene *scene, const char *rack)
{
	return add_worker(scene, rack, CLOUD_POOL);
}

/* Entry hosts. */

static void write_settings(struct scene *scene, struct scene_host *host)
{
	GString *seeds = g_string_new(NULL);
	char *text;
	int i;

	for (i = 0; i < scene->nhosts; i++)
		g_string_append_printf(seeds, "%s\"127.0.0.1:%d\"",
				       i ? "," : "",
				       path_port(scene->hosts[i].peers_path));
	text = g_strdup_printf(
		"{\"node\":\"%s\",\"role\":\"entry\",\"class\":\"front\","
		"\"serves\":[\"front\",\"ctl\"],\"zone\":\"d1\","
		"\"region\":\"r1\",\"zones\":{\"d1\":\"r1\"},"
		"\"listen\":{\"front\":\"127.0.0.1:%d\","
		"\"ready\":\"127.0.0.1:%d\",\"ctl\":\"127.0.0.1:%d\"},"
		"\"seeds\":[%s],\"bootstrap\":true,\"limits\":{"
		"\"cpu_share\":0.25,\"cores\":1,\"mem_limit_mb\":260,"
		"\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
		"\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
		"\"beat_ms\":1500,\"bounds\":{\"contact_ms\":3000,"
		"\"ack_ms\":4000,\"drain_ms\":2500,\"grace_s\":6,"
		"\"config_ms\":2500,\"max_hold_ms\":6000,\"stop_ms\":400,"
		"\"gang_ms\":%d,\"cancel_ms\":3000,\"visible_ms\":3000,"
		"\"finish_s\":%d,\"status_s\":120,\"save_s\":2,"
		"\"restore_ms\":600,\"move_s\":1.5,\"upkeep_s\":2,"
		"\"fencing\":false,\"lease_ms\":3000,\"reclaim_ms\":2900},"
		"\"orders\":\"call\",\"platform\":{\"addr\":\"127.0.0.1:%d\","
		"\"form\":\"kv\",\"writes_per_s\":400,\"reads_per_s\":2000,"
		"\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000},"
		"\"cloud\":{\"addr\":\"127.0.0.1:%d\",\"rate_per_s\":60.0,"
		"\"duties\":[],\"duty_per_s\":60.0}}",
		host->name, host->callers_port, ports_reserve(),
		host->peers_port, seeds->str, SCENE_GANG_MS,
		SCENE_FINISH_MS / 1000, path_port(host->store_path),
		path_port(host->cloud_path));
	snprintf(host->settings, sizeof(host->settings), "%s/%s.json",
		 scene->dir, host->name);
	if (!g_file_set_contents(host->settings, text, -1, NULL))
		scene_give_up("settings can't be written");
	g_free(text);
	g_string_free(seeds, TRUE);
}

static void start_host(struct scene_host *host)
{
	char variable[340];
	char *argv[] = { (char *)"/usr/bin/env", variable, (char *)BINARY,
			 (char *)"--platform", NULL };

	snprintf(variable, sizeof(variable), "CHIVEBANK_CONFIG=%s",
		 host->settings);
	host->proc = sr_proc_spawn(host->name, argv);
	if (host->proc < 0)
		scene_give_up("an entry host does not start");
	path_know((int)sr_proc_pid(host->proc));
}

void scene_start(struct scene *scene, int hosts)
{
	int64_t until_us;
	int i;

	if (!kn_start(&scene->kn, NULL))
		scene_give_up("the stand-ins do not start");
	scene->nhosts = hosts;
	for (i = 0; i < hosts; i++) {
		struct scene_host *host = &scene->hosts[i];

		snprintf(host->name, sizeof(host->name), "h%d", i);
		host->callers_port = ports_reserve();
		host->peers_port = ports_reserve();
		host->store_path = path_new(site_store_open(scene->store, 0));
		host->cloud_path = path_new(scene->cloud->server.port);
		host->peers_path = path_new(host->peers_port);
		path_identify(host->peers_path);
		hc_pool_init(&host->pool, &scene->kn, "127.0.0.1",
			     host->callers_port, 16);
	}
	for (i = 0; i < hosts; i++)
		write_settings(scene, &scene->hosts[i]);
	for (i = 0; i < hosts; i++)
		start_host(&scene->hosts[i]);
	until_us = kn_now_us() + 10 * USEC_PER_SEC;
	while (scene_leader(scene) < 0 && kn_now_us() < until_us)
		scene_run_ms(scene, STEP_MS);
	if (scene_leader(scene) < 0)
		scene_give_up("no host leads after 10 s");
	scene_record("h%d leads", scene_leader(scene));
	/* Traffic starts 10 s after the machines do. */
	scene_run_ms(scene, 4000);
}

int scene_end(struct scene *scene, enum scene_result result)
{
	static const char *const names[] = { "held", "BROKEN", "not run" };
	int code, i;

	for (i = 0; i < scene->nhosts; i++)
		if (sr_proc_ended(scene->hosts[i].proc, &code))
			scene_record("h%d ended by itself with %d", i, code);
	for (i = 0; i < (int)scene->fleet->violations->len; i++)
		scene_record("minions: %s",
			     (char *)g_ptr_array_index(scene->fleet->violations,
						       (guint)i));
	scene_record("rule %s", names[result]);
	printf("rule %s\n", names[result]);
	sr_proc_kill_all();
	for (i = 0; i < scene->nhosts; i++)
		hc_pool_finish(&scene->hosts[i].pool);
	cloud_free(scene->cloud);
	kn_finish(&scene->kn);
	path_stop();
	fclose(record);
	return result;
}

/* Time. */

static void on_wake(struct kn_timer *timer)
{
}

static void run_until(struct scene *scene, int64_t until_us, const bool *done)
{
	struct kn_timer timer = { 0 };

	while (kn_now_us() < until_us && !(done && *done)) {
		kn_timer_set(&scene->kn, &timer, MAX(until_us - kn_now_us(), 0),
			     on_wake);
		kn_turn(&scene->kn);
		kn_timer_cancel(&timer);
	}
}

void scene_run_ms(struct scene *scene, int64_t ms)
{
	run_until(scene, kn_now_us() + ms * USEC_PER_MSEC, NULL);
}

int scene_pid(const struct scene *scene, int host)
{
	return (int)sr_proc_pid(scene->hosts[host].proc);
}

int scene_leader(struct scene *scene)
{
	const struct site_item *item =
		site_store_get(scene->store, "chivebank/leader");

	return item && item->value[0] == 'h' ? atoi(item->value + 1) : -1;
}

/* Calls. */

struct waiting {
	bool done;
	struct hc_call call;
	struct scene_reply reply;
};

static void on_reply(struct hc_call *call)
{
	struct waiting *waiting = container_of(call, struct waiting, call);

	waiting->done = true;
	if (call->result == 0)
		waiting->reply.status = call->status;
	/* The body is not terminated. */
	if (call->body)
		memcpy(waiting->reply.body, call->body,
		       MIN(call->body_len, sizeof(waiting->reply.body) - 1));
	hc_call_finish(call);
}

struct scene_reply scene_call(struct scene *scene, int host, const char *method,
			      const char *path, const char *body)
{
	struct waiting waiting = { 0 };
	struct http_headers headers;

	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Deadline-Ms", "3000");
	http_headers_add(&headers, "Chivebank-Key", SCENE_KEY);
	http_headers_add(&headers, "Content-Type", "application/json");
	if (!hc_call_start(&waiting.call, &scene->hosts[host].pool, method,
			   path, &headers, body, body ? strlen(body) : 0, 4000,
			   on_reply))
		scene_give_up("too many calls to one host");
	http_headers_finish(&headers);
	run_until(scene, kn_now_us() + 5 * USEC_PER_SEC, &waiting.done);
	return waiting.reply;
}

int scene_submit_for(struct scene *scene, int host, const char *id, int count,
		     int gpus, int64_t work_ms, const char *label)
{
	char path[64], body[400], extra[64] = "";
	struct scene_reply reply;

	if (label)
		snprintf(extra, sizeof(extra), ",\"required_label\":\"%s\"",
			 label);
	snprintf(path, sizeof(path), "/jobs/%s", id);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"ms=%lld gpus=%d\",\"steps\":[{\"count\":%d,"
		 "\"cpu\":15000,\"mem_mb\":29000,\"gpu\":%d,\"est_ms\":%lld"
		 "%s}]}",
		 (long long)work_ms, gpus, count, gpus, (long long)work_ms,
		 extra);
	reply = scene_call(scene, host, "POST", path, body);
	scene_record("client: POST %s to h%d (%d tasks of %d GPUs, %lld ms) "
		     "-> %d",
		     path, host, count, gpus, (long long)work_ms, reply.status);
	return reply.status;
}

int scene_submit(struct scene *scene, int host, const char *id, int count,
		 int gpus, int64_t work_ms)
{
	return scene_submit_for(scene, host, id, count, gpus, work_ms, NULL);
}

const char *scene_state(struct scene *scene, int host, const char *id)
{
	static const char *const states[] = { "queued", "running", "done",
					      "failed", "cancelled" };
	struct scene_reply reply;
	char path[64];
	size_t i;

	snprintf(path, sizeof(path), "/jobs/%s", id);
	reply = scene_call(scene, host, "GET", path, NULL);
	for (i = 0; reply.status == 200 && i < G_N_ELEMENTS(states); i++)
		if (strstr(reply.body, states[i]))
			return states[i];
	return "";
}

bool scene_wait_state(struct scene *scene, int host, const char *id,
		      const char *state, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us) {
		if (strcmp(scene_state(scene, host, id), state) == 0) {
			scene_record("client: %s is %s", id, state);
			return true;
		}
		scene_run_ms(scene, 100);
	}
	scene_record("client: %s is not %s after %lld ms, but %s", id, state,
		     (long long)timeout_ms, scene_state(scene, host, id));
	return false;
}

/* Waves. */

void scene_put_wave(struct scene *scene, int number, int within_s, int cap,
		    struct cloud_machine *const *machines)
{
	GString *text = g_string_new(NULL);
	char key[32];
	int i;

	g_string_printf(text,
			"{\"wave\":%d,\"within_s\":%d,\"cap\":%d,"
			"\"machines\":[",
			number, within_s, cap);
	for (i = 0; machines[i]; i++)
		g_string_append_printf(text, "%s\"%s\"", i ? "," : "",
				       machines[i]->name);
	g_string_append(text, "]}");
	snprintf(key, sizeof(key), "op/wave/%d", number);
	scene_record("operator: %s = %s", key, text->str);
	site_store_put(scene->store, key, text->str);
	g_string_free(text, TRUE);
}

bool scene_wait_wave_done(struct scene *scene, int number, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us) {
		if (strcmp(scene->wave_state[number], "done") == 0)
			return true;
		scene_run_ms(scene, STEP_MS);
	}
	return false;
}
