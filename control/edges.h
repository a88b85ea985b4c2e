#ifndef CONTROL_EDGES_H
#define CONTROL_EDGES_H

#include "control/site.h"
#include "control/worker_edge.h"
#include "fleet/config.h"
#include "wire/kv.h"

/* What an adapter of a platform provides to the control services. */
struct edges {
	struct kv *kv; /* owned by whoever made it */
	struct worker_edge *workers;
	const char *operator_prefix; /* keys that operators write */
	const char *config_key; /* one of them: the configuration */
	const char *reports_prefix; /* keys that workers write */
	struct config *(*read_config)(const char *value, size_t len);
	bool (*read_report)(const char *key, const char *value, size_t len,
			    struct worker_report *report);
	bool (*read_spec)(const void *body, size_t len, struct job_spec *spec,
			  GError **err);
};

#endif
