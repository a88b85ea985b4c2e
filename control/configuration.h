#ifndef CONTROL_CONFIGURATION_H
#define CONTROL_CONFIGURATION_H

#include "control/platform_adapter.h"
#include "control/mirror.h"
#include "fleet/evacuation.h"

/*
 * The operators' configuration that is in force on this host, and the data
 * centres that they have evacuated. Within a process the version of the
 * configuration never decreases.
 */
struct configuration {
	struct mirror mirror;
	const struct platform_adapter *adapter;
	const struct site *site;
	struct config *current; /* NULL until the first one is read */
	int64_t in_force_us; /* when current came into force */
	struct kn_timer tick;
	int64_t ticked_us; /* when this process ran last, by the tick */
	int64_t paused_us; /* when it last ran again after a pause, 0: never */
	/* Kept also while the settings allow no evacuations. */
	struct evacuation evacuation;
	bool evacuations_allowed;
	/* An operator's key of another kind was written. */
	void (*operator_key)(struct configuration *configuration,
			     const struct kv_item *item);
	void (*changed)(struct configuration *configuration);
	/* A data centre is evacuated from now on, or no more. */
	void (*evacuation_changed)(struct configuration *configuration,
				   const char *dc, bool evacuated);
	void *user; /* for the callbacks */
	struct ctr version;
	struct ctr evacuated;
};

void configuration_init(struct configuration *configuration,
			const struct platform_adapter *adapter,
			const struct site *site);
/*
 * Whether the configuration was confirmed by the store since this process was
 * last paused. Until then keys and routes may have been withdrawn meanwhile.
 */
bool configuration_confirmed(struct configuration *configuration);
/*
 * Whether tasks may be started: the set of evacuated data centres is complete
 * and recent. Always so where the settings allow no evacuations.
 */
bool configuration_allows_starts(struct configuration *configuration);
/* The settings in site have changed. */
void configuration_apply_site(struct configuration *configuration);
void configuration_start(struct configuration *configuration);
void configuration_finish(struct configuration *configuration);

#endif
