#ifndef CONTROL_INTAKE_H
#define CONTROL_INTAKE_H

#include "control/callers.h"
#include "control/configuration.h"

/*
 * Answers callers at any entry host, straight from the store: a submission
 * is accepted when its record is stored, and a job is unknown only when the
 * store says so. A caller is told that its job was not accepted only while
 * no write can still land.
 */
struct intake {
	struct caller_service service;
	const struct platform_adapter *adapter;
	const struct configuration *configuration;
	struct list_head calls; /* struct intake_request */
	/* The counts of waiting jobs as last read. */
	char *waiting;
	size_t waiting_len;
	int64_t waiting_us; /* when they were read, 0: never */
	struct ctr outcomes[4]; /* by verb */
	struct ctr refused;
	struct ctr unknown;
	struct ctr call_ms; /* from the receipt to the answer */
};

void intake_init(struct intake *intake, const struct platform_adapter *adapter,
		 const struct configuration *configuration);
void intake_finish(struct intake *intake);

#endif
