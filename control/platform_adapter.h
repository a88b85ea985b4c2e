#ifndef CONTROL_PLATFORM_ADAPTER_H
#define CONTROL_PLATFORM_ADAPTER_H

#include "control/advice_client.h"
#include "control/machine_client.h"
#include "control/site.h"
#include "control/worker_client.h"
#include "fleet/config.h"
#include "wire/kv.h"

/* Clients, key names and formats that a platform provides to control/. */
struct platform_adapter {
	struct kv *kv; /* the store; owned by the creator of the adapter */
	struct worker_client *workers;
	struct advice_client *advice; /* NULL: no such service */
	struct machine_client *machines; /* NULL: no such service */
	const char *operator_prefix; /* of the keys that operators write */
	const char *config_key; /* the configuration; has operator_prefix */
	const char *reports_prefix; /* of the keys that workers write */
	struct config *(*read_config)(const char *value, size_t len);
	bool (*read_report)(const char *key, const char *value, size_t len,
			    struct worker_report *report);
	/*
	 * Reads a wave of upkeep from an operator's key. Returns NULL if the
	 * key holds no valid wave.
	 */
	struct wave *(*read_wave)(const char *key, const char *value,
				  size_t len, int64_t now_us);
	/* Of the requests to evacuate a data centre, followed by its name. */
	const char *evacuations_prefix;
	/* Whether the value is that of a valid request. */
	bool (*read_evacuation)(const char *value, size_t len);
	const char *wave_status_prefix; /* followed by the wave's number */
	char *(*write_wave_status)(bool done);
	/* Returns whether the status says that the wave is done. */
	bool (*read_wave_status)(const char *value, size_t len);
	bool (*read_spec)(const void *body, size_t len, struct job_spec *spec,
			  GError **err);
};

#endif
