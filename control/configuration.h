#ifndef CONTROL_CONFIGURATION_H
#define CONTROL_CONFIGURATION_H

#include "control/platform_adapter.h"
#include "control/mirror.h"

/*
 * The operators' configuration as it is in force at this host. Its version
 * only grows while the process lives.
 */
struct configuration {
	struct mirror mirror;
	const struct platform_adapter *adapter;
	struct config *current; /* NULL before the first */
	int64_t in_force_us; /* since when */
	/* Another key of the operators was written. */
	void (*operator_key)(struct configuration *configuration,
			     const struct kv_item *item);
	void (*changed)(struct configuration *configuration);
	void *user; /* for changed */
	struct ctr version;
};

void configuration_init(struct configuration *configuration,
			const struct platform_adapter *adapter,
			const struct site *site);
void configuration_start(struct configuration *configuration);
void configuration_finish(struct configuration *configuration);

#endif
