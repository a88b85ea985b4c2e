#include "control/configuration.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* config_ms, within which a change has to be in force, is divided by this for
 * the watch's time-out. The loss of the store is then noticed, and the
 * configuration read again, within half of config_ms. */
#define WATCH_TIMEOUT_DIVISOR 3

#define TICK_MS 200
/* A process that did not run for longer counts as paused. */
#define PAUSE_MIN_MS 1000

/*
 * A paused process reads its sockets before its timers, so that the pause is
 * looked for here too, not only by the tick.
 */
static void detect_pause(struct configuration *configuration)
{
	int64_t now_us = kn_now_us();
	int64_t passed_us = now_us - configuration->ticked_us;

	configuration->ticked_us = now_us;
	if (passed_us < PAUSE_MIN_MS * USEC_PER_MSEC)
		return;
	configuration->paused_us = now_us;
	log_warn("config.unconfirmed", "paused_ms=%" G_GINT64_FORMAT,
		 passed_us / 1000);
	mirror_reread(&configuration->mirror);
}

static void on_tick(struct kn_timer *timer)
{
	struct configuration *configuration =
		container_of(timer, struct configuration, tick);

	detect_pause(configuration);
	kn_timer_set(timer->kn, timer, TICK_MS * USEC_PER_MSEC, on_tick);
}

bool configuration_confirmed(struct configuration *configuration)
{
	detect_pause(configuration);
	return configuration->current &&
	       configuration->mirror.synced_us > configuration->paused_us;
}

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
	configuration->ticked_us = kn_now_us();
	kn_timer_set(configuration->adapter->kv->kn, &configuration->tick,
		     TICK_MS * USEC_PER_MSEC, on_tick);
	mirror_start(&configuration->mirror);
}

void configuration_finish(struct configuration *configuration)
{
	kn_timer_cancel(&configuration->tick);
	mirror_finish(&configuration->mirror);
	config_free(configuration->current);
	ctr_finish(&configuration->version);
}
