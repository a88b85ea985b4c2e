#include "control/site.h"

#include <string.h>

/* Three times the peak CPU use of a leader of 350 workers, 0.13 cores in its
 * busiest second (docs/CAPACITY.md). */
#define LEADER_CORES 0.4
/* Sends a wave of 300 start orders of 2 KB each within 0.1 s, a third of the
 * time-out of an order. */
#define LEADER_LINK_MBPS 50.0

bool site_has_dc(const struct site *site, const char *dc)
{
	size_t i;

	for (i = 0; i < site->dc_count; i++)
		if (strcmp(site->dcs[i].name, dc) == 0)
			return true;
	return false;
}

int site_strength(const struct site *site)
{
	double share = site->cores / LEADER_CORES;

	if (site->link_mbps > 0)
		share = MIN(share, site->link_mbps / LEADER_LINK_MBPS);
	return (int)(CLAMP(share, 0.0, 1.0) * SITE_STRENGTH_MAX);
}
