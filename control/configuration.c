#include "control/configuration.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* A silent store is noticed, and the configuration read again, within half of
 * the time in which a change has to be in force. */
#define WATCH_TIMEOUT_DIVISOR 3

static void on_set(struct mirror *mirror, const struct kv_item *item)
{
	struct configuration *own =
		container_of(mirror, struct configuration, mirror);
	struct config *config;

	if (strcmp(item->key, own->adapter->config_key) != 0) {
		if (own->other)
			own->other(own, item);
		return;
	}
	config = own->adapter->read_config(item->value, item->len);
	if (!config) {
		log_err("config.unreadable",
			"revision=%" G_GINT64_FORMAT " bytes=%zu result=%d",
			item->mod_revision, item->len, CB_E_CHECK_FAILED);
		return;
	}
	if (own->current && config->version <= own->current->version) {
		log_warn("config.ignored",
			 "version=%" G_GINT64_FORMAT
			 " in_force=%" G_GINT64_FORMAT,
			 config->version, own->current->version);
		config_free(config);
		return;
	}
	log_info("config.in_force",
		 "version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
		 " queues=%u customers=%u",
		 config->version, item->mod_revision, config->queues->len,
		 config->customers->len);
	config_free(own->current);
	own->current = config;
	own->in_force_us = kn_now_us();
	ctr_gauge(&own->version, (uint64_t)config->version);
	if (own->changed)
		own->changed(own);
}

/* An operator's key that is gone changes nothing that is in force. */
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

void configuration_init(struct configuration *own,
			const struct platform_adapter *adapter,
			const struct site *site)
{
	memset(own, 0, sizeof(*own));
	own->adapter = adapter;
	mirror_init(&own->mirror, adapter->kv, &mirror_ops,
		    adapter->operator_prefix,
		    site->config_ms / WATCH_TIMEOUT_DIVISOR);
	ctr_init(&own->version, &adapter->kv->kn->counters, CTR_GAUGE,
		 "chivebank_config_version", NULL,
		 "Version of the configuration in force");
}

void configuration_start(struct configuration *own)
{
	mirror_start(&own->mirror);
}

void configuration_finish(struct configuration *own)
{
	mirror_finish(&own->mirror);
	config_free(own->current);
	ctr_finish(&own->version);
}
