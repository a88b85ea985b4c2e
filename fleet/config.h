#ifndef FLEET_CONFIG_H
#define FLEET_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * The operators' configuration: queues, customers and spare pools. Settings of
 * other pools are not kept, because placement is limited by the resources that
 * each worker reports.
 */

/* An entry point for jobs and the policy that applies to them. */
struct queue {
	char *name;
	char *host; /* Host header of the requests, without port */
	char *prefix; /* of the request path */
	char *pool; /* whose workers run the tasks */
	int priority; /* 0 is the highest */
	int attempts; /* failed runs of a task after which its job fails */
	/* Objective: stretch times the critical path of a job + slo_ms. */
	double stretch;
	int64_t slo_ms;
	bool open; /* requests need no API key */
	/* A task starts only on workers that the advice service permits. */
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
	/* char *; hosts of these pools are off until moved to another pool. */
	GPtrArray *spare_pools;
	GHashTable *by_key; /* API key -> struct customer, borrowed */
	int64_t body_max_bytes; /* of a request; 0: the built-in limit */
};

struct config *config_new(void);
void config_free(struct config *config);
void queue_free(struct queue *queue);
void customer_free(struct customer *customer);
/* Builds by_key; to be called once all customers have been added. */
void config_index(struct config *config);

/*
 * Returns the queue of the host (its port is ignored) with the longest prefix
 * that path begins with, or NULL.
 */
const struct queue *config_route(const struct config *config, const char *host,
				 const char *path);
const struct queue *config_queue(const struct config *config, const char *name);
const struct customer *config_customer(const struct config *config,
				       const char *name);
/* Returns the customer that an API key belongs to, or NULL. */
const struct customer *config_find_key_owner(const struct config *config,
					     const char *key);

#endif
