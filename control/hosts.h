#ifndef CONTROL_HOSTS_H
#define CONTROL_HOSTS_H

#include "control/relay.h"
#include "wire/kv.h"

/*
 * Entry hosts find each other by keys under leases, one prefix a data centre.
 * The keys are read now and then, one data centre at a time and the own one
 * most often: what a host reads does not grow with the changes elsewhere, and
 * a list that is some seconds old is enough for the relay.
 */
struct hosts {
	struct kv *kv;
	const struct site *site;
	struct relay *relay;
	/* This host. */
	char *key;
	int64_t lease;
	struct kv_call call;
	bool calling;
	bool registered;
	struct kn_timer timer;
	/* The others. */
	GHashTable
		*known; /* name -> struct known_host, of all that were read */
	struct kv_call list_call;
	bool listing;
	char *list_prefix; /* of the data centre that is being read */
	const struct site_dc *list_dc;
	unsigned int reads; /* of lists, answered or not */
	struct kn_timer list_timer;
};

void hosts_init(struct hosts *hosts, struct kv *kv, const struct site *site,
		struct relay *relay);
void hosts_start(struct hosts *hosts);
void hosts_finish(struct hosts *hosts);
/* Whether a host is known that would lead much better than this one. */
bool hosts_has_stronger_peer(const struct hosts *hosts);
/* The data centre whose hosts the nth list tells. */
const struct site_dc *hosts_nth_list_dc(const struct site *site,
					unsigned int n);

#endif
