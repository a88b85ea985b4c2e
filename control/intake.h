#ifndef CONTROL_INTAKE_H
#define CONTROL_INTAKE_H

#include "control/callers.h"
#include "control/configuration.h"

/*
 * Serves callers at any entry host directly from the store. A submission is
 * accepted once its record is stored, and a job is unknown only if the store
 * has no record of it. A submission is reported as not accepted only if no
 * write of it can still be applied.
 */
struct intake {
	struct caller_service service;
	const struct platform_adapter *adapter;
	struct configuration *configuration;
	struct list_head calls; /* struct intake_request */
	/* Cached counts of waiting jobs. */
	char *waiting;
	size_t waiting_len;
	int64_t waiting_us; /* time of the last read, 0: never */
	struct ctr outcomes[4]; /* by verb */
	struct ctr refused;
	struct ctr unknown;
	struct ctr call_ms; /* from receipt to answer */
};

void intake_init(struct intake *intake, const struct platform_adapter *adapter,
		 struct configuration *configuration);
void intake_finish(struct intake *intake);

#endif
