#ifndef POLICY_DOCVIEW_H
#define POLICY_DOCVIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/limits.h"

/*
 * A parsed view of one revision of the document, immutable and reference
 * counted. Its arrays are allocated with malloc(), and those of customers,
 * services and pools are sorted by name.
 */

enum doc_unit { DOC_ACCELERATOR, DOC_WORKER, DOC_RACK };
enum doc_class { DOC_SHORT, DOC_LONG, DOC_CLASSES };

struct doc_guarantee {
	char dc[NAME_MAX_BYTES];
	enum doc_unit unit;
	int count;
};

struct doc_customer {
	char name[NAME_MAX_BYTES];
	int weight;
	int quota_accelerators; /* 0: no quota */
	bool stop_on_removal; /* "on_removal" is "stop", not "finish" */
	struct doc_guarantee *guarantees;
	size_t guarantee_count;
};

struct doc_service {
	char name[NAME_MAX_BYTES];
	enum doc_class class_;
	int deadline_ms;
	int short_limit_ms;
};

struct doc_worker {
	char name[NAME_MAX_BYTES];
	char addr[ADDR_MAX_BYTES];
	int port;
	int rack;
	int accelerators;
};

struct doc_pool {
	char dc[NAME_MAX_BYTES];
	struct doc_worker *workers;
	size_t worker_count;
};

struct doc_view {
	unsigned int extra_refs; /* references beyond the first */
	int64_t revision;
	struct doc_customer *customers;
	size_t customer_count;
	struct doc_service *services;
	size_t service_count;
	struct doc_pool *pools;
	size_t pool_count;
};

struct doc_view *doc_view_ref(struct doc_view *view);
void doc_view_unref(struct doc_view *view);
const struct doc_customer *doc_view_customer(const struct doc_view *view,
					     const char *name);
const struct doc_service *doc_view_service(const struct doc_view *view,
					   const char *name);
const struct doc_pool *doc_view_pool(const struct doc_view *view,
				     const char *dc);

#endif
