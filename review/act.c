#include "review/act.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "tests/standins/ports.h"

#define TURN_MS 5
#define CALL_TIMEOUT_MS 4000
#define READY_MS 15000

bool act_trouble(void)
{
	return g_strcmp0(getenv("TROUBLE"), "0") != 0;
}

int64_t act_ms(const struct act *act)
{
	return (kn_now_us() - act->started_us) / USEC_PER_MSEC;
}

void act_note(struct act *act, const char *format, ...)
{
	va_list args;

	fprintf(act->record, "%7.3f ", (double)act_ms(act) / 1000.0);
	va_start(args, format);
	vfprintf(act->record, format, args);
	va_end(args);
	fputc('\n', act->record);
}

void act_break(struct act *act, const char *rule, const char *what)
{
	act->broken = true;
	act_note(act, "BROKEN %s: %s", rule, what);
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_remove(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

static void clean_up(struct act *act)
{
	sr_proc_kill_all();
	fflush(act->record);
	if (!getenv("ACT_KEEP"))
		remove_dir(act->dir);
}

void act_give_up(struct act *act, const char *why)
{
	act_note(act, "not run: %s", why);
	clean_up(act);
	exit(ACT_NOT_RUN);
}

int act_end(struct act *act)
{
	int verdict = act->broken ? ACT_BROKEN : ACT_HELD;
	int i, code;

	for (i = 0; i < act->nhosts; i++)
		if (sr_proc_ended(act->hosts[i].proc, &code))
			act_note(act, "%s has ended by itself: %d",
				 act->hosts[i].name, code);
	act_note(act, "verdict=%d", verdict);
	clean_up(act);
	return verdict;
}

/* What runs. */

static void note_runs(struct act *act)
{
	struct site_worker *worker;
	struct site_run *run;
	GHashTable *now = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
	GHashTableIter iter;
	gpointer name;

	list_for_each_entry(worker, &act->fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node) {
			char *text = g_strdup_printf("%s run=%lld worker=%s",
						     run->name,
						     (long long)run->run,
						     worker->id);

			if (!g_hash_table_contains(act->known, text))
				act_note(act, "start %s", text);
			g_hash_table_add(now, text);
		}
	g_hash_table_iter_init(&iter, act->known);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (!g_hash_table_contains(now, name))
			act_note(act, "end   %s", (char *)name);
	g_hash_table_unref(act->known);
	act->known = now;
}

static void on_wake(struct kn_timer *timer)
{
}

static void turn(struct act *act)
{
	struct kn_timer timer = { 0 };

	kn_timer_set(&act->kn, &timer, TURN_MS * USEC_PER_MSEC, on_wake);
	kn_turn(&act->kn);
	kn_timer_cancel(&timer);
	if (!act->quiet)
		note_runs(act);
}

void act_run_ms(struct act *act, int64_t ms)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us)
		turn(act);
}

/* Clients. */

static void on_answer(struct hc_call *hc)
{
	struct act_call *call = hc->user;

	if (hc->result == CB_OK) {
		call->status = hc->status;
		g_strlcpy(call->body, hc->body ? (char *)hc->body : "",
			  MIN(sizeof(call->body), hc->body_len + 1));
	}
	call->ended = true;
	if (!call->act->quiet || call->status != 200)
		act_note(call->act, "%s -> %d %s", call->line, call->status,
			 call->body);
	hc_call_finish(hc);
}

void act_begin(struct act *act, struct act_call *call, int host,
	       const char *method, const char *path, const char *body)
{
	struct http_headers headers;

	memset(call, 0, sizeof(*call));
	call->act = act;
	snprintf(call->line, sizeof(call->line), "%s %s %s",
		 act->hosts[host].name, method, path);
	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Key", ACT_KEY);
	http_headers_add(&headers, "Chivebank-Deadline-Ms", "3000");
	if (body)
		http_headers_add(&headers, "Content-Type", "application/json");
	if (!hc_call_start(&call->hc, &act->hosts[host].pool, method, path,
			   &headers, body, body ? strlen(body) : 0,
			   CALL_TIMEOUT_MS, on_answer))
		call->ended = true;
	call->hc.user = call;
	http_headers_finish(&headers);
}

struct act_call act_call(struct act *act, int host, const char *method,
			 const char *path, const char *body)
{
	struct act_call call;

	act_begin(act, &call, host, method, path, body);
	while (!call.ended)
		turn(act);
	return call;
}

/* Start. */

static void write_settings(struct act *act, int i, const int *ctl, int store)
{
	struct act_host *host = &act->hosts[i];
	GString *seeds = g_string_new(NULL);
	char *path = g_strdup_printf("%s/%s.json", act->dir, host->name);
	char *text;
	int n;

	for (n = 0; n < act->nhosts && n < 3; n++)
		g_string_append_printf(seeds, "%s\"127.0.0.1:%d\"",
				       n ? "," : "", ctl[n]);
	text = g_strdup_printf(
		"{\"node\":\"%s\",\"role\":\"entry\",\"class\":\"front\","
		"\"serves\":[\"front\",\"ctl\"],\"zone\":\"z1\","
		"\"region\":\"r1\",\"zones\":{\"z1\":\"r1\"},"
		"\"listen\":{\"front\":\"127.0.0.1:%d\","
		"\"ready\":\"127.0.0.1:%d\",\"ctl\":\"127.0.0.1:%d\"},"
		"\"seeds\":[%s],\"bootstrap\":true,"
		"\"limits\":{\"cpu_share\":1.0,\"cores\":1,"
		"\"mem_limit_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0},"
		"\"beat_ms\":1500,\"bounds\":{\"contact_ms\":3000,"
		"\"ack_ms\":4000,\"drain_ms\":2500,\"grace_s\":6,"
		"\"config_ms\":2500,\"max_hold_ms\":6000,\"stop_ms\":400,"
		"\"gang_ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,"
		"\"early_ms\":250,\"status_s\":120,\"save_s\":2,"
		"\"restore_ms\":600,\"notice_ms\":4500,\"lease_ms\":3000,"
		"\"reclaim_ms\":2900},\"orders\":\"call\","
		"\"platform\":{\"addr\":\"127.0.0.1:%d\",\"form\":\"kv\","
		"\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
		"\"value_bytes\":1048576,\"min_ttl_ms\":1000}}",
		host->name, host->callers_port, ports_reserve(), ctl[i],
		seeds->str, store);
	if (!g_file_set_contents(path, text, -1, NULL))
		act_give_up(act, "no settings");
	g_free(text);
	g_free(path);
	g_string_free(seeds, TRUE);
}

static void spawn(struct act *act, int i, const char *binary)
{
	char variable[200];
	char *argv[] = { (char *)"/usr/bin/env", variable, (char *)binary,
			 (char *)"--platform", NULL };

	snprintf(variable, sizeof(variable), "CHIVEBANK_CONFIG=%s/%s.json",
		 act->dir, act->hosts[i].name);
	act->hosts[i].proc = sr_proc_spawn(act->hosts[i].name, argv);
	if (act->hosts[i].proc < 0)
		act_give_up(act, "no process");
	act_note(act, "process %s started", act->hosts[i].name);
}

void act_start(struct act *act, char **argv, int hosts, int workers,
	       int64_t gpus, int delay_ms, const char *config)
{
	static const struct site_bounds bounds = {
		.max_hold_ms = 6000,
		.gang_ms = 3000,
		.stop_ms = 400,
		.beat_ms = 1500,
		.late_ms = 5000,
	};
	int ctl[ACT_HOSTS_MAX], i;

	memset(act, 0, sizeof(*act));
	act->record = fopen(argv[2], "w");
	act->started_us = kn_now_us();
	act->nhosts = hosts;
	act->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   NULL);
	snprintf(act->dir, sizeof(act->dir), "%s/act-XXXXXX", g_get_tmp_dir());
	if (!act->record || !g_mkdtemp(act->dir) || !sr_proc_init(act->dir) ||
	    !kn_init(&act->kn, NULL))
		exit(ACT_NOT_RUN);
	act_note(act, "trouble=%d", act_trouble());
	ev_init(1);
	act->store = site_store_new(&act->kn, 1);
	act->fleet = site_fleet_new(&act->kn, act->store, &bounds, 1);
	for (i = 0; i < workers; i++)
		site_fleet_add(act->fleet, "r1-1", gpus, 0);
	site_store_put(act->store, "op/config", config);
	if (!kn_start(&act->kn, NULL))
		act_give_up(act, "no stand-ins");
	for (i = 0; i < hosts; i++) {
		struct act_host *host = &act->hosts[i];

		snprintf(host->name, sizeof(host->name), "host-%d", i);
		host->callers_port = ports_reserve();
		ctl[i] = ports_reserve();
		hc_pool_init(&host->pool, &act->kn, "127.0.0.1",
			     host->callers_port, 64);
	}
	for (i = 0; i < hosts; i++)
		write_settings(act, i, ctl, site_store_open(act->store, 0));
	site_store_fault(act->store, -1, SITE_WELL, 0, delay_ms);
	for (i = 0; i < hosts; i++)
		spawn(act, i, argv[1]);
	act_wait_ready(act);
}

void act_wait_ready(struct act *act)
{
	int64_t until_us = kn_now_us() + READY_MS * USEC_PER_MSEC;
	struct act_call call = { 0 };

	act_run_ms(act, 500);
	while (kn_now_us() < until_us) {
		if (site_store_get(act->store, "chivebank/leader"))
			call = act_call(act, 0, "GET", "/jobs/", NULL);
		if (call.status == 200) {
			act_run_ms(act, 2000);
			return;
		}
		act_run_ms(act, 200);
	}
	act_give_up(act, "no host leads and serves");
}

struct site_worker *act_worker(struct act *act, int n)
{
	struct site_worker *worker;

	list_for_each_entry(worker, &act->fleet->workers, node)
		if (n-- == 0)
			return worker;
	return NULL;
}

struct site_run *act_run_of(struct act *act, const char *task)
{
	struct site_worker *worker;
	struct site_run *run;

	list_for_each_entry(worker, &act->fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node)
			if (strcmp(run->name, task) == 0)
				return run;
	return NULL;
}
