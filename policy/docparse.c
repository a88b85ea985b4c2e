#include "policy/doc.h"

#include <string.h>

/* Parsing sections, which have passed doc_check_section(). */

/* Returns fallback if the key is absent. */
static int64_t get_integer(const json_t *body, const char *key,
			   int64_t fallback)
{
	const json_t *value = json_object_get(body, key);

	return value ? json_integer_value(value) : fallback;
}

static void copy_text(char *out, size_t size, const json_t *body,
		      const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));

	g_strlcpy(out, text ? text : "", size);
}

static bool text_equals(const json_t *body, const char *key, const char *text)
{
	return g_strcmp0(json_string_value(json_object_get(body, key)), text) ==
	       0;
}

static void parse_guarantee(struct doc_guarantee *out, const json_t *entry)
{
	copy_text(out->dc, sizeof(out->dc), entry, "dc");
	out->count = (int)get_integer(entry, "count", 0);
	out->unit = DOC_ACCELERATOR;
	if (text_equals(entry, "unit", "worker"))
		out->unit = DOC_WORKER;
	else if (text_equals(entry, "unit", "rack"))
		out->unit = DOC_RACK;
}

static void parse_customer(struct doc_view *view, const char *name,
			   const json_t *body)
{
	struct doc_customer *out = &view->customers[view->customer_count++];
	json_t *entries = json_object_get(body, "guarantees");
	json_t *entry;
	size_t i;

	g_strlcpy(out->name, name, sizeof(out->name));
	out->weight = (int)get_integer(body, "weight", 1);
	out->quota_accelerators =
		(int)get_integer(body, "quota_accelerators", 0);
	out->stop_on_removal = text_equals(body, "on_removal", "stop");
	out->guarantee_count = json_array_size(entries);
	out->guarantees = g_new0(struct doc_guarantee, out->guarantee_count);
	json_array_foreach(entries, i, entry) {
		parse_guarantee(&out->guarantees[i], entry);
	}
}

static void parse_service(struct doc_view *view, const char *name,
			  const json_t *body)
{
	struct doc_service *out = &view->services[view->service_count++];

	g_strlcpy(out->name, name, sizeof(out->name));
	out->class_ = text_equals(body, "class", "long") ? DOC_LONG : DOC_SHORT;
	out->deadline_ms =
		(int)get_integer(body, "deadline_ms", REQ_DEADLINE_DEFAULT_MS);
	out->short_limit_ms = (int)get_integer(body, "short_limit_ms",
					       DOC_SHORT_LIMIT_DEFAULT_MS);
}

static void parse_pool(struct doc_view *view, const char *dc,
		       const json_t *body)
{
	struct doc_pool *out = &view->pools[view->pool_count++];
	json_t *workers = json_object_get(body, "workers");
	struct doc_worker *worker;
	json_t *entry;
	size_t i;

	g_strlcpy(out->dc, dc, sizeof(out->dc));
	out->worker_count = json_array_size(workers);
	out->workers = g_new0(struct doc_worker, out->worker_count);
	json_array_foreach(workers, i, entry) {
		worker = &out->workers[i];
		copy_text(worker->name, sizeof(worker->name), entry, "name");
		copy_text(worker->addr, sizeof(worker->addr), entry, "addr");
		worker->port = (int)get_integer(entry, "port", 0);
		worker->rack = (int)get_integer(entry, "rack", 0);
		worker->accelerators =
			(int)get_integer(entry, "accelerators", 0);
	}
}

/* The parsed view of a document. */

static gboolean parse_section(void *key, void *value, void *data)
{
	const struct doc_section *section = value;
	const char *name = strchr(section->name, '/') + 1;

	if (g_str_has_prefix(section->name, "customer/"))
		parse_customer(data, name, section->body);
	else if (g_str_has_prefix(section->name, "service/"))
		parse_service(data, name, section->body);
	else if (g_str_has_prefix(section->name, "pool/"))
		parse_pool(data, name, section->body);
	return FALSE;
}

/*
 * Returns the parsed view of a document with all bodies present. The caller
 * owns the only reference.
 */
struct doc_view *doc_view_new(const struct doc *doc)
{
	size_t count = (size_t)g_tree_nnodes(doc->sections);
	struct doc_view *view = g_new0(struct doc_view, 1);

	view->revision = doc->revision;
	view->customers = g_new0(struct doc_customer, count);
	view->services = g_new0(struct doc_service, count);
	view->pools = g_new0(struct doc_pool, count);
	g_tree_foreach(doc->sections, parse_section, view);
	return view;
}
