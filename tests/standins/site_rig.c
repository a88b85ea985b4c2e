#include "tests/standins/site_rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/ev.h"
#include "platform/host.h"
#include "platform/settings.h"
#include "tests/standins/ports.h"

#define RACK_WORKERS 4
#define ZONES ",\"zones\":{\"d1\":\"r1\",\"d2\":\"r1\",\"d3\":\"r2\"}"

static void fail(const char *why)
{
	fprintf(stderr, "rig: %s\n", why);
	abort();
}

static void write_settings(struct rig *rig, int index, int store_port,
			   const int *peer_ports, int hosts)
{
	struct rig_host *host = &rig->hosts[index];
	GString *seeds = g_string_new(NULL);
	GError *err = NULL;
	char *text;
	int i;

	for (i = 0; i < hosts; i++)
		g_string_append_printf(seeds, "%s\"127.0.0.1:%d\"",
				       i ? "," : "", peer_ports[i]);
	text = g_strdup_printf(
		"{\"node\":\"h%d\",\"zone\":\"d1\",\"region\":\"r1\","
		"\"listen\":{\"front\":\"127.0.0.1:%d\","
		"\"ctl\":\"127.0.0.1:%d\"},\"seeds\":[%s],"
		"\"limits\":{\"cpu_share\":1,\"cores\":1,\"max_fds\":64},"
		"\"platform\":{\"addr\":\"127.0.0.1:%d\"},"
		"\"cloud\":{\"addr\":\"127.0.0.1:%d\"},"
		"\"advice\":\"127.0.0.1:%d\","
		"\"bounds\":{\"max_hold_ms\":2500,\"stop_ms\":100,"
		"\"gang_ms\":1000,\"config_ms\":1500,\"status_s\":60,"
		"\"lease_ms\":500,\"grace_s\":2,\"evac_ms\":%d}%s}",
		index, ports_reserve(), peer_ports[index], seeds->str,
		store_port, rig->machines->server.port,
		rig->advice->server.port, rig->dcs > 0 ? RIG_EVAC_MS : 0,
		rig->dcs > 0 ? ZONES : "");
	g_snprintf(host->path, sizeof(host->path), "/tmp/chivebank-rig-%d-%d",
		   (int)getpid(), index);
	if (!g_file_set_contents(host->path, text, -1, &err))
		fail(err->message);
	g_free(text);
	g_string_free(seeds, TRUE);
}

static void add_host(struct rig *rig, int index, const int *peer_ports,
		     int hosts)
{
	struct rig_host *host = &rig->hosts[index];
	GError *err = NULL;
	int port = site_store_open(rig->store, 0);

	host->door = rig->store->ndoors - 1;
	write_settings(rig, index, port, peer_ports, hosts);
	if (!platform_settings_load(&host->site, host->path, &err))
		fail(err->message);
	platform_host_add(&rig->kn, &host->site, host->path,
			  (uint64_t)kn_wall_us() + (uint64_t)index);
}

static void add_workers(struct rig *rig, int workers)
{
	char rack[16];
	int i;

	for (i = 0; i < workers; i++) {
		struct site_worker *worker;

		snprintf(rack, sizeof(rack), "rack-%d", i / RACK_WORKERS);
		worker = site_fleet_add(rig->fleet, rack, 8, 0);
		if (rig->dcs > 0)
			snprintf(worker->dc, sizeof(worker->dc), "d%d",
				 1 + i / RACK_WORKERS);
	}
}

static void start_all(struct rig *rig, int hosts, int workers, uint32_t seed)
{
	static const struct site_bounds bounds = {
		.max_hold_ms = 2500,
		.gang_ms = 1000,
		.stop_ms = 100,
		.beat_ms = 300,
		.late_ms = 900,
	};
	int peer_ports[RIG_HOSTS_MAX];
	GError *err = NULL;
	int i;

	if (!kn_init(&rig->kn, &err))
		fail(err->message);
	ev_init(seed);
	rig->store = site_store_new(&rig->kn, seed);
	rig->fleet = site_fleet_new(&rig->kn, rig->store, &bounds, seed);
	rig->fleet->evac_ms = RIG_EVAC_MS;
	add_workers(rig, workers);
	rig->machines = site_machines_new(&rig->kn, rig->fleet);
	rig->advice = site_advice_new(&rig->kn, rig->fleet);
	rig_configure(rig, 1, RIG_KEY);
	for (i = 0; i < hosts; i++)
		peer_ports[i] = ports_reserve();
	rig->nhosts = hosts;
	for (i = 0; i < hosts; i++)
		add_host(rig, i, peer_ports, hosts);
	if (!kn_start(&rig->kn, &err))
		fail(err->message);
	for (i = 0; i < hosts; i++)
		hc_pool_init(&rig->hosts[i].pool, &rig->kn, "127.0.0.1",
			     rig->hosts[i].site.callers.port, 16);
	if (!rig_wait_leader(rig, 5000))
		fail("no host leads after 5 s");
	rig_run_ms(rig, 100);
}

void rig_start(struct rig *rig, int hosts, int workers, uint32_t seed)
{
	memset(rig, 0, sizeof(*rig));
	start_all(rig, hosts, workers, seed);
}

void rig_start_dcs(struct rig *rig, int hosts, int dcs, uint32_t seed)
{
	memset(rig, 0, sizeof(*rig));
	rig->dcs = dcs;
	start_all(rig, hosts, dcs * RACK_WORKERS, seed);
}

void rig_stop(struct rig *rig)
{
	int i;

	for (i = 0; i < rig->nhosts; i++) {
		hc_pool_finish(&rig->hosts[i].pool);
		unlink(rig->hosts[i].path);
	}
	site_advice_free(rig->advice);
	site_machines_free(rig->machines);
	kn_finish(&rig->kn);
}

static void on_wake(struct kn_timer *timer)
{
}

static void run_until(struct rig *rig, int64_t until_us, const bool *done)
{
	struct kn_timer timer = { 0 };

	while (kn_now_us() < until_us && !(done && *done)) {
		kn_timer_set(&rig->kn, &timer, MAX(until_us - kn_now_us(), 0),
			     on_wake);
		kn_turn(&rig->kn);
		kn_timer_cancel(&timer);
	}
}

void rig_run_ms(struct rig *rig, int64_t ms)
{
	run_until(rig, kn_now_us() + ms * USEC_PER_MSEC, NULL);
}

void rig_configure(struct rig *rig, int version, const char *key)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"q%d\",\"host\":\"%s\","
		"\"prefix\":\"%s\",\"slo_ms\":1000,\"prio\":1,\"svc\":\"pool\","
		"\"attempts\":3,\"stretch\":3.0,\"public\":false},"
		"{\"name\":\"urgent\",\"host\":\"%s\",\"prefix\":\"/urgent/\","
		"\"slo_ms\":300,\"prio\":0,\"svc\":\"pool\",\"attempts\":3,"
		"\"stretch\":1.5,\"public\":false},"
		"{\"name\":\"advised\",\"host\":\"%s\",\"prefix\":\"%s\","
		"\"slo_ms\":1000,\"prio\":1,\"svc\":\"pool\",\"attempts\":3,"
		"\"stretch\":3.0,\"public\":false,\"advice\":{"
		"\"decide_ms\":20,\"each_ms\":2,\"valid_ms\":3000}}],"
		"\"svcs\":[{\"name\":\"pool\",\"health_path\":\"/healthz\"},"
		"{\"name\":\"spare\",\"spare\":true}],"
		"\"limits\":{},\"tenants\":[{\"name\":\"one\",\"api_keys\":"
		"[\"%s\"],\"guaranteed\":{\"gpu\":16}},{\"name\":\"two\","
		"\"api_keys\":[\"key-two\"]}]}",
		version, 1, RIG_HOST, RIG_PREFIX, RIG_HOST, RIG_HOST,
		RIG_ADVISED_PREFIX, key);

	site_store_put(rig->store, "op/config", text);
	g_free(text);
}

struct waiting {
	bool done;
	struct hc_call call;
	struct rig_reply reply;
};

static void on_reply(struct hc_call *call)
{
	struct waiting *waiting = container_of(call, struct waiting, call);
	const char *after = http_headers_get(&call->headers, "Retry-After");

	waiting->done = true;
	if (call->result == CB_OK)
		waiting->reply.status = call->status;
	/* The body is not terminated. */
	if (call->body)
		memcpy(waiting->reply.body, call->body,
		       MIN(call->body_len, sizeof(waiting->reply.body) - 1));
	if (after)
		waiting->reply.retry_after_s = atoi(after);
	waiting->reply.took_ms =
		(call->ended_us - call->started_us) / USEC_PER_MSEC;
	hc_call_finish(call);
}

struct rig_reply rig_call(struct rig *rig, int host, const char *method,
			  const char *path, const char *key, const char *body)
{
	return rig_call_within(rig, host, method, path, key, body, "3000");
}

struct rig_reply rig_call_within(struct rig *rig, int host, const char *method,
				 const char *path, const char *key,
				 const char *body, const char *deadline_ms)
{
	struct waiting waiting = { 0 };
	struct http_headers headers;

	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Deadline-Ms", deadline_ms);
	if (key)
		http_headers_add(&headers, "Chivebank-Key", key);
	if (!hc_call_start(&waiting.call, &rig->hosts[host].pool, method, path,
			   &headers, body, body ? strlen(body) : 0, 4000,
			   on_reply))
		fail("too many calls to one host");
	http_headers_finish(&headers);
	run_until(rig, kn_now_us() + 5 * USEC_PER_SEC, &waiting.done);
	return waiting.reply;
}

int rig_submit(struct rig *rig, int host, const char *id, int count,
	       const char *payload, const char *extra)
{
	char path[64];
	char *body = g_strdup_printf(
		"{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
		"\"mem_mb\":100,\"gpu\":1,\"est_ms\":200%s}]}",
		payload, count, extra ? extra : "");
	int status;

	g_snprintf(path, sizeof(path), "%s%s", RIG_PREFIX, id);
	status = rig_call(rig, host, "POST", path, RIG_KEY, body).status;
	g_free(body);
	return status;
}

const char *rig_state(struct rig *rig, int host, const char *id)
{
	static const char *const states[] = { "queued", "running", "done",
					      "failed", "cancelled" };
	struct rig_reply reply;
	char path[64];
	size_t i;

	g_snprintf(path, sizeof(path), "%s%s", RIG_PREFIX, id);
	reply = rig_call(rig, host, "GET", path, RIG_KEY, NULL);
	for (i = 0; reply.status == 200 && i < G_N_ELEMENTS(states); i++)
		if (strstr(reply.body, states[i]))
			return states[i];
	return "";
}

bool rig_wait(struct rig *rig, int host, const char *id, const char *state,
	      int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us) {
		if (strcmp(rig_state(rig, host, id), state) == 0)
			return true;
		rig_run_ms(rig, 50);
	}
	return false;
}

int rig_leader(struct rig *rig)
{
	const struct site_item *item =
		site_store_get(rig->store, "chivebank/leader");

	return item && item->value[0] == 'h' ? atoi(item->value + 1) : -1;
}

bool rig_wait_leader(struct rig *rig, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (rig_leader(rig) < 0 && kn_now_us() < until_us)
		rig_run_ms(rig, 20);
	return rig_leader(rig) >= 0;
}
