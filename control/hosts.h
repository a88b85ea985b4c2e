#ifndef CONTROL_HOSTS_H
#define CONTROL_HOSTS_H

#include "control/relay.h"
#include "wire/kv.h"

/*
 * Discovery of the entry hosts. Each host registers a key under a lease, with
 * one key prefix per data centre. The lists are polled one data centre at a
 * time, the local one in every second poll, rather than watched: the number
 * of reads does not grow with the registrations of other hosts, and the relay
 * can do with a list that is some seconds old.
 */
struct hosts {
	struct kv *kv;
	const struct site *site;
	struct relay *relay;
	/* Registration of this host. */
	char *key;
	int64_t lease;
	struct kv_call call;
	bool calling;
	bool registered;
	struct kn_timer timer;
	/* Discovery of other hosts. */
	GHashTable *known; /* name -> struct known_host */
	struct kv_call list_call;
	bool listing;
	char *list_prefix; /* key prefix of list_dc */
	const struct site_dc *list_dc; /* whose list is read now or was last */
	unsigned int reads; /* list requests, answered or not */
	struct kn_timer list_timer;
};

void hosts_init(struct hosts *hosts, struct kv *kv, const struct site *site,
		struct relay *relay);
void hosts_start(struct hosts *hosts);
void hosts_finish(struct hosts *hosts);
/* Whether a known host is strong enough to take over the leadership. */
bool hosts_has_stronger_peer(const struct hosts *hosts);
/* The data centre that the nth list request reads. */
const struct site_dc *hosts_nth_list_dc(const struct site *site,
					unsigned int n);

#endif
