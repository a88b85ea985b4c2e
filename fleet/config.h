#ifndef FLEET_CONFIG_H
#define FLEET_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* The operators' configuration: queues, customers and spare pools. What it
 * says of other pools is not needed: no worker is given more than it has room
 * for. */

/* Where jobs are handed in, and how they are treated. */
struct queue {
	char *name;
	char *host; /* of the request */
	char *prefix; /* of the path */
	char *pool; /* whose workers run the tasks */
	int priority; /* 0 comes first */
	int attempts; /* failed runs of a task after which its job fails */
	double stretch; /* objective: stretch times the chain of work */
	int64_t slo_ms; /* and this much more */
	bool open; /* needs no key */
	/* Placement needs the permission of the advice service. */
	bool advised;
};

struct customer {
	char *name;
	char **keys; /* NULL-terminated */
	int64_t guaranteed_gpus;
};

struct config {
	int64_t version;
	GPtrArray *queues; /* struct queue */
	GPtrArray *customers; /* struct customer */
	GPtrArray *spare_pools; /* char *; their hosts are off until moved */
	GHashTable *by_key; /* key -> struct customer, borrowed */
	int64_t body_max_bytes; /* of a request; 0: the product's own limit */
};

struct config *config_new(void);
void config_free(struct config *config);
void queue_free(struct queue *queue);
void customer_free(struct customer *customer);
/* To be called once all customers have been added. */
void config_index(struct config *config);

/*
 * The queue whose host matches (without its port) and whose prefix is the
 * longest that path begins with; NULL when there is none.
 */
const struct queue *config_route(const struct config *config, const char *host,
				 const char *path);
const struct queue *config_queue(const struct config *config, const char *name);
const struct customer *config_customer(const struct config *config,
				       const char *name);
const struct customer *config_find_key_owner(const struct config *config,
					     const char *key);

#endif
