#ifndef CONTROL_SITE_H
#define CONTROL_SITE_H

#include "base/limits.h"
#include "base/set.h"
#include "fleet/fleet.h"

#define SITE_SEEDS_MAX 8
#define SITE_DCS_MAX 64
#define SITE_STRENGTH_MAX 100

struct site_dc {
	char name[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
};

/* Platform settings of this host: its place, addresses and limits. */
struct site {
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
	struct site_dc
		dcs[SITE_DCS_MAX]; /* all data centres, this host's included */
	size_t dc_count;
	struct set_addr callers; /* port 0: this host serves none */
	struct set_addr ready; /* port 0: no readiness checks */
	struct set_addr peers; /* listens here for other hosts */
	struct set_addr metrics;
	struct set_addr seeds[SITE_SEEDS_MAX]; /* first peers to contact */
	size_t seed_count;
	struct set_addr store;
	struct set_addr machines; /* port 0: none */
	struct set_addr advice; /* port 0: none */
	double cores; /* CPU limit of this host */
	double link_mbps; /* 0: unknown */
	int64_t descriptors_max; /* of this process, 0: not known */
	int64_t grace_ms; /* from the stop signal to the kill */
	int64_t config_ms; /* time limit to apply a configuration change */
	/* Minimum time between orders of two hosts to the same machine. */
	int64_t machine_order_gap_ms;
	struct fleet_bounds bounds;
};

/* Whether the settings list the data centre. */
bool site_has_dc(const struct site *site, const char *dc);
/*
 * Capacity of a host as leader, in percent of the cores and bandwidth that a
 * leader needs; at most SITE_STRENGTH_MAX.
 */
int site_strength(const struct site *site);

#endif
