#include "control/hosts.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"

/* Longer than a typical store outage, so that registrations outlive it. */
#define HOST_LEASE_S 30
#define HOST_RENEW_MS 8000
#define HOST_RETRY_MS 500
/* Delay of the first list; hosts that start together have registered by
 * then. */
#define LIST_FIRST_MS 400
/* List interval just after the start. */
#define LIST_EARLY_MS 700
/* List interval afterwards; bounds how long calls are still sent to a host
 * that is gone. */
#define LIST_MS 5000
/* Spreads the reads of the hosts over time. */
#define LIST_JITTER_PERCENT 20
/* Reads of each data centre before the interval changes to LIST_MS. */
#define LIST_EARLY_ROUNDS 2

static void on_registration_timer(struct kn_timer *timer);

static void schedule_registration(struct hosts *hosts, int64_t ms)
{
	kn_timer_set(hosts->kv->kn, &hosts->timer, ms * USEC_PER_MSEC,
		     on_registration_timer);
}

static void prepare_call(struct hosts *hosts, void (*done)(struct kv_call *))
{
	memset(&hosts->call, 0, sizeof(hosts->call));
	hosts->call.done = done;
	hosts->call.user = hosts;
	hosts->calling = true;
}

/* Registration of this host. */

static void on_registered(struct kv_call *call)
{
	struct hosts *hosts = call->user;

	hosts->calling = false;
	hosts->registered = call->result == CB_OK && call->succeeded;
	if (hosts->registered)
		log_info("host.registered", "lease=%" G_GINT64_FORMAT,
			 hosts->lease);
	schedule_registration(hosts, hosts->registered ? HOST_RENEW_MS :
							 HOST_RETRY_MS);
}

static void on_granted(struct kv_call *call)
{
	struct hosts *hosts = call->user;
	const struct site *site = hosts->site;
	struct kv_op op = { .kind = KV_PUT, .key = hosts->key };
	char *value;

	hosts->calling = false;
	if (call->result != CB_OK || !call->succeeded) {
		schedule_registration(hosts, HOST_RETRY_MS);
		return;
	}
	hosts->lease = call->lease;
	value = g_strdup_printf("%s %d %d", site->peers.addr, site->peers.port,
				site_strength(site));
	op.value = value;
	op.len = strlen(value);
	op.lease = hosts->lease;
	prepare_call(hosts, on_registered);
	hosts->kv->ops->txn(hosts->kv, &hosts->call, NULL, 0, &op, 1, NULL, 0);
	g_free(value);
}

static void on_lease_renewed(struct kv_call *call)
{
	struct hosts *hosts = call->user;

	hosts->calling = false;
	if (call->result == CB_OK && !call->succeeded) {
		log_info("host.lapsed", "lease=%" G_GINT64_FORMAT,
			 hosts->lease);
		hosts->registered = false;
		schedule_registration(hosts, 0);
		return;
	}
	schedule_registration(hosts, call->result == CB_OK ? HOST_RENEW_MS :
							     HOST_RETRY_MS);
}

static void on_registration_timer(struct kn_timer *timer)
{
	struct hosts *hosts = container_of(timer, struct hosts, timer);

	if (hosts->calling)
		return;
	if (hosts->registered) {
		prepare_call(hosts, on_lease_renewed);
		hosts->kv->ops->keepalive(hosts->kv, &hosts->call,
					  hosts->lease);
		return;
	}
	prepare_call(hosts, on_granted);
	hosts->kv->ops->grant(hosts->kv, &hosts->call, HOST_LEASE_S);
}

/* Discovery of other hosts. */

static int distance(const struct site *site, const struct site_dc *dc)
{
	if (strcmp(site->dc, dc->name) == 0)
		return 0;
	return strcmp(site->region, dc->region) == 0 ? 1 : 2;
}

static const struct site_dc *local_dc(const struct site *site)
{
	size_t i;

	for (i = 0; i < site->dc_count; i++)
		if (strcmp(site->dcs[i].name, site->dc) == 0)
			return &site->dcs[i];
	return &site->dcs[0];
}

/* Alternates between the local data centre and the others: local, b, local,
 * c, local, b ... */
const struct site_dc *hosts_nth_list_dc(const struct site *site, unsigned int n)
{
	const struct site_dc *local = local_dc(site);
	size_t others = site->dc_count - 1;
	size_t turn, i;

	if (others == 0 || n % 2 == 0)
		return local;
	turn = n / 2 % others;
	for (i = 0; i < site->dc_count; i++)
		if (&site->dcs[i] != local && turn-- == 0)
			break;
	return &site->dcs[i];
}

/* An entry host that a list contained. */
struct known_host {
	const struct site_dc *dc;
	int strength; /* see site_strength() */
};

static struct known_host *known_host_new(const struct site_dc *dc, int strength)
{
	struct known_host *peer = g_new0(struct known_host, 1);

	peer->dc = dc;
	peer->strength = strength;
	return peer;
}

/* A leader needs much more than a follower, so only a host that is at least
 * this many times as strong is worth a change of the leader. */
#define HANDOVER_STRENGTH_FACTOR 2

bool hosts_has_stronger_peer(const struct hosts *hosts)
{
	int own_strength = site_strength(hosts->site);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *peer = value;

		if (peer->strength > own_strength &&
		    peer->strength >= HANDOVER_STRENGTH_FACTOR * own_strength)
			return true;
	}
	return false;
}

static void add_listed_host(struct hosts *hosts, const struct kv_item *item)
{
	const char *host = item->key + strlen(hosts->list_prefix);
	char **words = g_strsplit(item->value ? item->value : "", " ", 3);
	struct set_addr at = { 0 };
	guint64 port, strength;

	if (g_strv_length(words) == 3 &&
	    g_ascii_string_to_unsigned(words[1], 10, 1, G_MAXUINT16, &port,
				       NULL) &&
	    g_ascii_string_to_unsigned(words[2], 10, 0, SITE_STRENGTH_MAX,
				       &strength, NULL)) {
		g_strlcpy(at.addr, words[0], sizeof(at.addr));
		at.port = (int)port;
		relay_add_peer(hosts->relay, host, &at,
			       distance(hosts->site, hosts->list_dc));
		if (!g_hash_table_contains(hosts->known, host)) {
			log_info("host.seen",
				 "peer=%s dc=%s strength=%d "
				 "revision=%" G_GINT64_FORMAT,
				 host, hosts->list_dc->name, (int)strength,
				 item->mod_revision);
			g_hash_table_insert(
				hosts->known, g_strdup(host),
				known_host_new(hosts->list_dc, (int)strength));
		}
	} else {
		log_warn("host.unreadable",
			 "peer=%s revision=%" G_GINT64_FORMAT " bytes=%zu",
			 host, item->mod_revision, item->len);
	}
	g_strfreev(words);
}

static bool is_listed(const struct hosts *hosts, const struct kv_call *call,
		      const char *host)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (strcmp(call->items[i].key + strlen(hosts->list_prefix),
			   host) == 0)
			return true;
	return false;
}

/* Removes the known hosts of list_dc that its new list does not contain. */
static void drop_unlisted(struct hosts *hosts, const struct kv_call *call)
{
	GHashTableIter iter;
	gpointer host, peer;

	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, &host, &peer)) {
		if (((const struct known_host *)peer)->dc != hosts->list_dc ||
		    is_listed(hosts, call, host))
			continue;
		log_info("host.unlisted", "peer=%s", (const char *)host);
		relay_remove_peer(hosts->relay, host);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_list_timer(struct kn_timer *timer);

static void list_after(struct hosts *hosts, int64_t ms)
{
	int64_t jitter = ms * LIST_JITTER_PERCENT / 100;
	uint32_t spread = g_str_hash(hosts->site->host) + hosts->reads * 97;

	ms += (int64_t)(spread % (2 * jitter + 1)) - jitter;
	kn_timer_set(hosts->kv->kn, &hosts->list_timer, ms * USEC_PER_MSEC,
		     on_list_timer);
}

static void on_list(struct kv_call *call)
{
	struct hosts *hosts = call->user;
	bool early = hosts->reads < 2 * LIST_EARLY_ROUNDS *
					    (unsigned int)hosts->site->dc_count;
	size_t i;

	hosts->listing = false;
	if (call->result == CB_OK) {
		drop_unlisted(hosts, call);
		for (i = 0; i < call->count; i++)
			if (strcmp(call->items[i].key, hosts->key) != 0)
				add_listed_host(hosts, &call->items[i]);
	} else {
		log_info("hosts.not_read", "dc=%s result=%d",
			 hosts->list_dc->name, call->result);
	}
	list_after(hosts, early ? LIST_EARLY_MS : LIST_MS);
}

static void on_list_timer(struct kn_timer *timer)
{
	struct hosts *hosts = container_of(timer, struct hosts, list_timer);

	hosts->list_dc = hosts_nth_list_dc(hosts->site, hosts->reads++);
	g_free(hosts->list_prefix);
	hosts->list_prefix =
		g_strconcat(KEY_HOSTS_PREFIX, hosts->list_dc->name, "/", NULL);
	memset(&hosts->list_call, 0, sizeof(hosts->list_call));
	hosts->list_call.done = on_list;
	hosts->list_call.user = hosts;
	hosts->listing = true;
	hosts->kv->ops->range(hosts->kv, &hosts->list_call, hosts->list_prefix,
			      true);
}

void hosts_init(struct hosts *hosts, struct kv *kv, const struct site *site,
		struct relay *relay)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->kv = kv;
	hosts->site = site;
	hosts->relay = relay;
	hosts->key =
		g_strconcat(KEY_HOSTS_PREFIX, site->dc, "/", site->host, NULL);
	hosts->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void hosts_start(struct hosts *hosts)
{
	schedule_registration(hosts, 0);
	list_after(hosts, LIST_FIRST_MS);
}

void hosts_finish(struct hosts *hosts)
{
	if (hosts->calling)
		hosts->kv->ops->cancel(hosts->kv, &hosts->call);
	if (hosts->listing)
		hosts->kv->ops->cancel(hosts->kv, &hosts->list_call);
	kn_timer_cancel(&hosts->timer);
	kn_timer_cancel(&hosts->list_timer);
	g_hash_table_unref(hosts->known);
	g_free(hosts->list_prefix);
	g_free(hosts->key);
}
