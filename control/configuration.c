#include "control/configuration.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* config_ms, within which a change has to be in force, is divided by this for
 * the watch's time-out. The loss of the store is then noticed, and the
 * configuration read again, within half of config_ms. */
#define WATCH_TIMEOUT_DIVISOR 3

static void on_set(struct mirror *mirror, const struct kv_item *item)
{
	struct configuration *configuration =
		container_of(mirror, struct configuration, mirror);
	struct config *config;

	if (strcmp(item->key, configuration->adapter->config_key) != 0) {
		if (configuration->operator_key)
			configuration->operator_key(configuration, item);
		return;
	}
	config = configuration->adapter->read_config(item->value, item->len);
	if (!config) {
		log_err("config.unreadable",
			"revision=%" G_GINT64_FORMAT " bytes=%zu result=%d",
			item->mod_revision, item->len, CB_E_CHECK_FAILED);
		return;
	}
	if (configuration->current &&
	    config->version <= configuration->current->version) {
		log_warn("config.ignored",
			 "version=%" G_GINT64_FORMAT
			 " in_force=%" G_GINT64_FORMAT,
			 config->version, configuration->current->version);
		config_free(config);
		return;
	}
	log_info("config.in_force",
		 "version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
		 " queues=%u customers=%u",
		 config->version, item->mod_revision, config->queues->len,
		 config->customers->len);
	config_free(configuration->current);
	configuration->current = config;
	configuration->in_force_us = kn_now_us();
	ctr_gauge(&configuration->version, (uint64_t)config->version);
	if (configuration->changed)
		configuration->changed(configuration);
}

/* Removing an operator's key does not change what is in force. */
static void on_removed(struct mirror *mirror, const char *key)
{
	log_warn("config.removed", "key=%s", key);
}

static void on_synced(struct mirror *mirror)
{
}

static const struct mirror_ops mirror_ops = {
	.set = on_set,
	.removed = on_removed,
	.synced = on_synced,
};

void configuration_init(struct configuration *configuration,
			const struct platform_adapter *adapter,
			const struct site *site)
{
	memset(configuration, 0, sizeof(*configuration));
	configuration->adapter = adapter;
	mirror_init(&configuration->mirror, adapter->kv, &mirror_ops,
		    adapter->operator_prefix,
		    site->config_ms / WATCH_TIMEOUT_DIVISOR);
	ctr_init(&configuration->version, &adapter->kv->kn->counters, CTR_GAUGE,
		 "chivebank_config_version", NULL,
		 "Version of the configuration in force");
}

void configuration_start(struct configuration *configuration)
{
	mirror_start(&configuration->mirror);
}

void configuration_finish(struct configuration *configuration)
{
	mirror_finish(&configuration->mirror);
	config_free(configuration->current);
	ctr_finish(&configuration->version);
}
