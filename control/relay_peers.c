#include "control/relay_int.h"

#include <string.h>

static gint by_distance(gconstpointer a, gconstpointer b)
{
	const struct relay_peer *left = *(struct relay_peer *const *)a;
	const struct relay_peer *right = *(struct relay_peer *const *)b;

	return left->distance - right->distance;
}

static struct relay_peer *find_peer(const struct relay *relay,
				    const struct set_addr *at)
{
	guint i;

	for (i = 0; i < relay->peers->len; i++) {
		struct relay_peer *peer = g_ptr_array_index(relay->peers, i);

		if (peer->rpc.port == at->port &&
		    strcmp(peer->rpc.addr, at->addr) == 0)
			return peer;
	}
	return NULL;
}

void relay_drop_peer(struct relay *relay, struct relay_peer *peer)
{
	g_ptr_array_remove(relay->peers, peer);
	peer->removed = true;
	if (peer->calls > 0)
		return;
	rpc_peer_finish(&peer->rpc);
	g_free(peer);
}

void relay_remove_peer(struct relay *relay, const char *host)
{
	guint i;

	for (i = 0; i < relay->peers->len; i++) {
		struct relay_peer *peer = g_ptr_array_index(relay->peers, i);

		if (strcmp(peer->host, host) != 0)
			continue;
		relay_drop_peer(relay, peer);
		return;
	}
}

void relay_add_peer(struct relay *relay, const char *host,
		    const struct set_addr *at, int distance)
{
	struct relay_peer *peer = find_peer(relay, at);

	if (at->port == relay->site->peers.port &&
	    strcmp(at->addr, relay->site->peers.addr) == 0)
		return;
	if (!peer) {
		if (*host)
			relay_remove_peer(relay, host);
		if (relay->peers->len >= RELAY_PEERS_MAX)
			return;
		peer = g_new0(struct relay_peer, 1);
		rpc_peer_init(&peer->rpc, relay->exchange.kn, at->addr,
			      at->port);
		g_ptr_array_add(relay->peers, peer);
	}
	if (*host) {
		g_strlcpy(peer->host, host, sizeof(peer->host));
		peer->distance = distance;
	}
	g_ptr_array_sort(relay->peers, by_distance);
}
