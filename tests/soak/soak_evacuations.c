#include "base/limits.h"
#include "tests/soak/soak.h"

/*
 * An operator who evacuates data centres and takes that back, at random, also
 * several at once, all of them, and the same one again at once. The stand-ins
 * of the workers check that nothing starts there after the bound; rule EVAC.
 */

#define CHANGES_PER_1000 8 /* steps of the clock */

static const char *const odd_keys[] = {
	"op/evacuate/",	  "op/evacuate/nowhere", "op/evacuate/d1/d2",
	"op/evacuate/D1", "op/evacuate/\n%s",
};

static void write_odd_request(struct soak *soak)
{
	const char *key =
		odd_keys[soak_below(soak, (int)G_N_ELEMENTS(odd_keys))];

	soak_say("odd_request", "store");
	if (soak_chance(soak, 50))
		site_store_put(soak->store, key,
			       soak_chance(soak, 50) ? "{}" : "[");
	else if (site_store_get(soak->store, key))
		site_store_remove(soak->store, key);
}

static bool is_evacuated(const struct soak *soak, const char *dc)
{
	return g_hash_table_contains(soak->fleet->evacuated, dc);
}

static void change(struct soak *soak, const char *dc)
{
	bool back = is_evacuated(soak, dc);

	soak->evacuations += !back;
	soak_say(back ? "return" : "evacuate", dc);
	if (back)
		site_fleet_return(soak->fleet, dc);
	else
		site_fleet_evacuate(soak->fleet, dc);
}

void soak_evacuations_step(struct soak *soak)
{
	bool all;
	char dc[16];
	int i, one;

	if (soak_below(soak, 1000) >= CHANGES_PER_1000)
		return;
	if (soak_chance(soak, 20)) {
		write_odd_request(soak);
		return;
	}
	all = soak_chance(soak, 10);
	one = soak_below(soak, SOAK_EVACUATED_DCS);
	for (i = 0; i < SOAK_EVACUATED_DCS; i++) {
		if (!all && i != one)
			continue;
		g_snprintf(dc, sizeof(dc), "d%d", i + 1);
		change(soak, dc);
		/* Requested again, or taken back at once. */
		if (soak_chance(soak, 15))
			change(soak, dc);
	}
}

void soak_evacuations_end(struct soak *soak)
{
	char dc[16];
	int i;

	for (i = 0; i < SOAK_EVACUATED_DCS; i++) {
		g_snprintf(dc, sizeof(dc), "d%d", i + 1);
		if (is_evacuated(soak, dc))
			change(soak, dc);
	}
}
