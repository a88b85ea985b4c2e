#ifndef CONTROL_CONFIGURATION_H
#define CONTROL_CONFIGURATION_H

#include "control/platform_adapter.h"
#include "control/mirror.h"

/*
 * The operators' configuration that is in force on this host. Within a process
 * its version never decreases.
 */
struct configuration {
	struct mirror mirror;
	const struct platform_adapter *adapter;
	struct config *current; /* NULL until the first one is read */
	int64_t in_force_us; /* when current came into force */
	struct kn_timer tick;
	int64_t ticked_us; /* when this process ran last, by the tick */
	int64_t paused_us; /* when it last ran again after a pause, 0: never */
	/* An operator's key other than the configuration was written. */
	void (*operator_key)(struct configuration *configuration,
			     const struct kv_item *item);
	void (*changed)(struct configuration *configuration);
	void *user; /* for the callbacks */
	struct ctr version;
};

void configuration_init(struct configuration *configuration,
			const struct platform_adapter *adapter,
			const struct site *site);
/*
 * Whether the configuration was confirmed by the store since this process was
 * last paused. Until then keys and routes may have been withdrawn meanwhile.
 */
bool configuration_confirmed(struct configuration *configuration);
void configuration_start(struct configuration *configuration);
void configuration_finish(struct configuration *configuration);

#endif
