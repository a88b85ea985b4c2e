#ifndef CONTROL_HOSTS_H
#define CONTROL_HOSTS_H

#include "control/mirror.h"
#include "control/relay.h"

/* Entry hosts find each other by keys under leases. */
struct hosts {
	struct kv *kv;
	const struct site *site;
	struct relay *relay;
	struct mirror mirror;
	char *key; /* of this host */
	int64_t lease;
	struct kv_call call;
	bool calling;
	bool registered;
	struct kn_timer timer;
};

void hosts_init(struct hosts *hosts, struct kv *kv, const struct site *site,
		struct relay *relay);
void hosts_start(struct hosts *hosts);
void hosts_finish(struct hosts *hosts);

#endif
