#include "control/configuration.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/* config_ms, within which a change has to be in force, is divided by this for
 * the watch's time-out. The loss of the store is then noticed, and the
 * configuration read again, within half of config_ms. */
#define WATCH_TIMEOUT_DIVISOR 3

/* evac_ms is divided by this for the same time-out. After a lost answer the keys
 * have then been read again before the copy is too old for starts. */
#define EVACUATION_WATCH_DIVISOR 4
/* A watch costs a call each time. */
#define WATCH_TIMEOUT_MIN_MS 100
/* Starts need a copy of the operators' keys that is no older than evac_ms
 * divided by this; the rest is left for the orders that have been sent. */
#define STARTS_AGE_DIVISOR 2

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

bool configuration_allows_starts(struct configuration *configuration)
{
	int64_t evac_ms = configuration->site->bounds.evac_ms;
	int64_t age_us;

	if (evac_ms == 0)
		return true;
	if (!configuration_confirmed(configuration))
		return false;
	age_us = kn_now_us() - configuration->mirror.synced_us;
	return age_us <= MAX(evac_ms / STARTS_AGE_DIVISOR,
			     2 * configuration->mirror.wait_ms) *
				 USEC_PER_MSEC;
}

/* Evacuations. */

/* Returns the data centre that the key of a request names, NULL for other keys.
 */
static const char *evacuated_dc(const struct configuration *configuration,
				const char *key)
{
	const char *prefix = configuration->adapter->evacuations_prefix;

	return prefix && g_str_has_prefix(key, prefix) ? key + strlen(prefix) :
							 NULL;
}

static void evacuation_changed(struct configuration *configuration,
			       const char *dc, bool evacuated)
{
	if (!configuration->evacuations_allowed)
		return;
	ctr_gauge(&configuration->evacuated,
		  evacuation_count(&configuration->evacuation));
	if (configuration->evacuation_changed)
		configuration->evacuation_changed(configuration, dc, evacuated);
}

static void log_unusable(const struct configuration *configuration,
			 const char *dc, const struct kv_item *item)
{
	char *text = g_strescape(dc, NULL);

	if (site_has_dc(configuration->site, dc))
		log_warn("evacuation.unreadable",
			 "dc=%s revision=%" G_GINT64_FORMAT " bytes=%zu", text,
			 item->mod_revision, item->len);
	else
		log_warn("evacuation.unknown_dc",
			 "dc=\"%.128s\" revision=%" G_GINT64_FORMAT, text,
			 item->mod_revision);
	g_free(text);
}

/* A request that can't be used changes nothing: an earlier one stays. */
static void request_evacuation(struct configuration *configuration,
			       const char *dc, const struct kv_item *item)
{
	if (!site_has_dc(configuration->site, dc) ||
	    !configuration->adapter->read_evacuation(item->value, item->len)) {
		if (configuration->evacuations_allowed)
			log_unusable(configuration, dc, item);
		return;
	}
	if (evacuation_begin(&configuration->evacuation, dc, kn_now_us()))
		evacuation_changed(configuration, dc, true);
}

void configuration_apply_site(struct configuration *configuration)
{
	const struct site *site = configuration->site;
	bool allowed = site->bounds.evac_ms > 0;
	int64_t wait_ms = site->config_ms / WATCH_TIMEOUT_DIVISOR;
	GHashTableIter iter;
	gpointer dc;

	if (allowed)
		wait_ms = CLAMP(site->bounds.evac_ms / EVACUATION_WATCH_DIVISOR,
				MIN(wait_ms, WATCH_TIMEOUT_MIN_MS), wait_ms);
	configuration->mirror.wait_ms = wait_ms;
	if (allowed == configuration->evacuations_allowed)
		return;
	/* Requests that were read before count from now on, or no more. */
	configuration->evacuations_allowed = true;
	g_hash_table_iter_init(&iter, configuration->evacuation.since);
	while (g_hash_table_iter_next(&iter, &dc, NULL))
		evacuation_changed(configuration, dc, allowed);
	configuration->evacuations_allowed = allowed;
	if (!allowed)
		ctr_gauge(&configuration->evacuated, 0);
}

/* Keys. */

static void on_set(struct mirror *mirror, const struct kv_item *item)
{
	struct configuration *configuration =
		container_of(mirror, struct configuration, mirror);
	const char *dc = evacuated_dc(configuration, item->key);
	struct config *config;

	if (dc)
		request_evacuation(configuration, dc, item);
	if (dc && configuration->evacuations_allowed)
		return;
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

/* Only an evacuation ends with its key. */
static void on_removed(struct mirror *mirror, const char *key)
{
	struct configuration *configuration =
		container_of(mirror, struct configuration, mirror);
	const char *dc = evacuated_dc(configuration, key);

	if (dc && evacuation_end(&configuration->evacuation, dc))
		evacuation_changed(configuration, dc, false);
	if (dc && configuration->evacuations_allowed)
		return;
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
	configuration->site = site;
	evacuation_init(&configuration->evacuation);
	mirror_init(&configuration->mirror, adapter->kv, &mirror_ops,
		    adapter->operator_prefix, 0);
	ctr_init(&configuration->version, &adapter->kv->kn->counters, CTR_GAUGE,
		 "chivebank_config_version", NULL,
		 "Version of the configuration in force");
	ctr_init(&configuration->evacuated, &adapter->kv->kn->counters,
		 CTR_GAUGE, "chivebank_evacuated_dcs", NULL,
		 "Evacuated data centres");
	configuration_apply_site(configuration);
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
	evacuation_finish(&configuration->evacuation);
	ctr_finish(&configuration->version);
	ctr_finish(&configuration->evacuated);
}
