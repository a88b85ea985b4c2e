#ifndef CONTROL_PLATFORM_ADAPTER_H
#define CONTROL_PLATFORM_ADAPTER_H

#include "control/advice_client.h"
#include "control/machine_client.h"
#include "control/site.h"
#include "control/worker_client.h"
#include "fleet/config.h"
#include "wire/kv.h"

/* What an adapter of a platform provides to the control services. */
struct platform_adapter {
	struct kv *kv; /* owned by whoever made it */
	struct worker_client *workers;
	struct advice_client *advice; /* NULL: none */
	struct machine_client *machines; /* NULL: none */
	const char *operator_prefix; /* keys that operators write */
	const char *config_key; /* one of them: the configuration */
	const char *reports_prefix; /* keys that workers write */
	struct config *(*read_config)(const char *value, size_t len);
	bool (*read_report)(const char *key, const char *value, size_t len,
			    struct worker_report *report);
	/* A wave of upkeep under one of the operators' keys, NULL: it is none. */
	struct wave *(*read_wave)(const char *key, const char *value,
				  size_t len, int64_t now_us);
	const char *wave_status_prefix; /* then its number */
	char *(*write_wave_status)(bool done);
	bool (*read_wave_status)(const char *value, size_t len); /* done */
	bool (*read_spec)(const void *body, size_t len, struct job_spec *spec,
			  GError **err);
};

#endif
