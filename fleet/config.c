#include "fleet/config.h"

#include <string.h>
#include <strings.h>

void queue_free(struct queue *queue)
{
	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->pool);
	g_free(queue);
}

void customer_free(struct customer *customer)
{
	g_free(customer->name);
	g_strfreev(customer->keys);
	g_free(customer);
}

struct config *config_new(void)
{
	struct config *config = g_new0(struct config, 1);

	config->queues =
		g_ptr_array_new_with_free_func((GDestroyNotify)queue_free);
	config->customers =
		g_ptr_array_new_with_free_func((GDestroyNotify)customer_free);
	config->spare_pools = g_ptr_array_new_with_free_func(g_free);
	config->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	return config;
}

void config_free(struct config *config)
{
	if (!config)
		return;
	g_hash_table_unref(config->by_key);
	g_ptr_array_unref(config->queues);
	g_ptr_array_unref(config->customers);
	g_ptr_array_unref(config->spare_pools);
	g_free(config);
}

void config_index(struct config *config)
{
	guint i;

	for (i = 0; i < config->customers->len; i++) {
		struct customer *customer =
			g_ptr_array_index(config->customers, i);
		char **key;

		for (key = customer->keys; key && *key; key++)
			g_hash_table_insert(config->by_key, *key, customer);
	}
}

static bool host_matches(const char *wanted, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(wanted) == len && strncasecmp(wanted, host, len) == 0;
}

const struct queue *config_route(const struct config *config, const char *host,
				 const char *path)
{
	const struct queue *best = NULL;
	size_t longest = 0;
	guint i;

	for (i = 0; i < config->queues->len; i++) {
		const struct queue *queue =
			g_ptr_array_index(config->queues, i);
		size_t len = strlen(queue->prefix);

		if (!host_matches(queue->host, host) ||
		    strncmp(queue->prefix, path, len) != 0 ||
		    (best && len <= longest))
			continue;
		best = queue;
		longest = len;
	}
	return best;
}

const struct queue *config_queue(const struct config *config, const char *name)
{
	guint i;

	for (i = 0; i < config->queues->len; i++) {
		const struct queue *queue =
			g_ptr_array_index(config->queues, i);

		if (strcmp(queue->name, name) == 0)
			return queue;
	}
	return NULL;
}

const struct customer *config_customer(const struct config *config,
				       const char *name)
{
	guint i;

	for (i = 0; i < config->customers->len; i++) {
		const struct customer *customer =
			g_ptr_array_index(config->customers, i);

		if (strcmp(customer->name, name) == 0)
			return customer;
	}
	return NULL;
}

const struct customer *config_find_key_owner(const struct config *config,
					     const char *key)
{
	return g_hash_table_lookup(config->by_key, key);
}
