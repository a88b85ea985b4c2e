#include "control/hosts.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"

/* Longer than an outage of the store usually is, so that hosts still know
 * each other during one. */
#define HOST_LEASE_S 30
#define HOST_RENEW_MS 8000
#define HOST_RETRY_MS 500
#define HOSTS_WAIT_MS 10000

static void on_tick(struct kn_timer *timer);

static void tick_after(struct hosts *hosts, int64_t ms)
{
	kn_timer_set(hosts->kv->kn, &hosts->timer, ms * USEC_PER_MSEC, on_tick);
}

static void start_call(struct hosts *hosts, void (*done)(struct kv_call *))
{
	memset(&hosts->call, 0, sizeof(hosts->call));
	hosts->call.done = done;
	hosts->call.user = hosts;
	hosts->calling = true;
}

/* This host. */

static void on_registered(struct kv_call *call)
{
	struct hosts *hosts = call->user;

	hosts->calling = false;
	hosts->registered = call->result == CB_OK && call->succeeded;
	if (hosts->registered)
		log_info("host.registered", "lease=%" G_GINT64_FORMAT,
			 hosts->lease);
	tick_after(hosts, hosts->registered ? HOST_RENEW_MS : HOST_RETRY_MS);
}

static void on_granted(struct kv_call *call)
{
	struct hosts *hosts = call->user;
	const struct site *site = hosts->site;
	struct kv_op op = { .kind = KV_PUT, .key = hosts->key };
	char *value;

	hosts->calling = false;
	if (call->result != CB_OK || !call->succeeded) {
		tick_after(hosts, HOST_RETRY_MS);
		return;
	}
	hosts->lease = call->lease;
	value = g_strdup_printf("%s %s %s %d", site->dc, site->region,
				site->peers.addr, site->peers.port);
	op.value = value;
	op.len = strlen(value);
	op.lease = hosts->lease;
	start_call(hosts, on_registered);
	hosts->kv->ops->txn(hosts->kv, &hosts->call, NULL, 0, &op, 1, NULL, 0);
	g_free(value);
}

static void on_kept(struct kv_call *call)
{
	struct hosts *hosts = call->user;

	hosts->calling = false;
	if (call->result == CB_OK && !call->succeeded) {
		log_info("host.lapsed", "lease=%" G_GINT64_FORMAT,
			 hosts->lease);
		hosts->registered = false;
		tick_after(hosts, 0);
		return;
	}
	tick_after(hosts,
		   call->result == CB_OK ? HOST_RENEW_MS : HOST_RETRY_MS);
}

static void on_tick(struct kn_timer *timer)
{
	struct hosts *hosts = container_of(timer, struct hosts, timer);

	if (hosts->calling)
		return;
	if (hosts->registered) {
		start_call(hosts, on_kept);
		hosts->kv->ops->keepalive(hosts->kv, &hosts->call,
					  hosts->lease);
		return;
	}
	start_call(hosts, on_granted);
	hosts->kv->ops->grant(hosts->kv, &hosts->call, HOST_LEASE_S);
}

/* The others. */

static int distance(const struct site *site, const char *dc, const char *region)
{
	if (strcmp(site->dc, dc) == 0)
		return 0;
	return strcmp(site->region, region) == 0 ? 1 : 2;
}

static void on_set(struct mirror *mirror, const struct kv_item *item)
{
	struct hosts *hosts = container_of(mirror, struct hosts, mirror);
	const char *host = item->key + strlen(KEY_HOSTS_PREFIX);
	char **words = g_strsplit(item->value, " ", 4);
	struct set_addr at = { 0 };

	if (g_strv_length(words) != 4 || strcmp(item->key, hosts->key) == 0) {
		g_strfreev(words);
		return;
	}
	g_strlcpy(at.addr, words[2], sizeof(at.addr));
	at.port = (int)g_ascii_strtoll(words[3], NULL, 10);
	relay_add_peer(hosts->relay, host, &at,
		       distance(hosts->site, words[0], words[1]));
	log_info("host.seen", "peer=%s dc=%s revision=%" G_GINT64_FORMAT, host,
		 words[0], item->mod_revision);
	g_strfreev(words);
}

static void on_removed(struct mirror *mirror, const char *key)
{
	struct hosts *hosts = container_of(mirror, struct hosts, mirror);
	const char *host = key + strlen(KEY_HOSTS_PREFIX);

	log_info("host.unlisted", "peer=%s", host);
	relay_remove_peer(hosts->relay, host);
	if (strcmp(key, hosts->key) == 0 && !hosts->calling) {
		hosts->registered = false;
		tick_after(hosts, 0);
	}
}

static void on_synced(struct mirror *mirror)
{
}

static const struct mirror_ops mirror_ops = {
	.set = on_set,
	.removed = on_removed,
	.synced = on_synced,
};

void hosts_init(struct hosts *hosts, struct kv *kv, const struct site *site,
		struct relay *relay)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->kv = kv;
	hosts->site = site;
	hosts->relay = relay;
	hosts->key = g_strconcat(KEY_HOSTS_PREFIX, site->host, NULL);
	mirror_init(&hosts->mirror, kv, &mirror_ops, KEY_HOSTS_PREFIX,
		    HOSTS_WAIT_MS);
}

void hosts_start(struct hosts *hosts)
{
	mirror_start(&hosts->mirror);
	tick_after(hosts, 0);
}

void hosts_finish(struct hosts *hosts)
{
	if (hosts->calling)
		hosts->kv->ops->cancel(hosts->kv, &hosts->call);
	kn_timer_cancel(&hosts->timer);
	mirror_finish(&hosts->mirror);
	g_free(hosts->key);
}
