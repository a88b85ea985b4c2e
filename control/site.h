#ifndef CONTROL_SITE_H
#define CONTROL_SITE_H

#include "base/limits.h"
#include "base/set.h"
#include "fleet/fleet.h"

#define SITE_SEEDS_MAX 8
#define SITE_DCS_MAX 64

struct site_dc {
	char name[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
};

/* What a process knows from its settings when it runs on a platform. */
struct site {
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
	struct site_dc
		dcs[SITE_DCS_MAX]; /* all of them, the own one included */
	size_t dc_count;
	struct set_addr callers; /* port 0: not served here */
	struct set_addr ready; /* port 0: no readiness checks */
	struct set_addr peers; /* where other hosts reach this one */
	struct set_addr metrics;
	struct set_addr seeds[SITE_SEEDS_MAX]; /* some other hosts */
	size_t seed_count;
	struct set_addr store;
	struct set_addr machines; /* port 0: none */
	struct set_addr advice; /* port 0: none */
	double cores; /* that this host may use */
	double link_mbps; /* 0: not told */
	int64_t grace_ms; /* from the request to stop until the kill */
	int64_t config_ms; /* within it, a change is in force */
	/* Two hosts do not give orders for one machine within that time. */
	int64_t machine_order_gap_ms;
	struct fleet_bounds bounds;
};

/* How well a host can lead, in percent of what a leader needs; at most 100. */
int site_strength(const struct site *site);

#endif
