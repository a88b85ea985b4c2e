#include "control/site.h"

/*
 * The busiest second of a leader of 350 workers takes about 0.15 cores and
 * 1 MB (docs/CAPACITY.md); the rest is for its own callers and for growth.
 */
#define LEADER_CORES 0.4
#define LEADER_LINK_MBPS 50.0

int site_strength(const struct site *site)
{
	double share = site->cores / LEADER_CORES;

	if (site->link_mbps > 0)
		share = MIN(share, site->link_mbps / LEADER_LINK_MBPS);
	return (int)(CLAMP(share, 0.0, 1.0) * 100.0);
}
