#include "policy/docview.h"

#include <stdlib.h>
#include <string.h>

/* Adds a reference and returns the view. */
struct doc_view *doc_view_ref(struct doc_view *view)
{
	view->extra_refs++;
	return view;
}

/* Drops a reference; the last one frees the view. Accepts NULL. */
void doc_view_unref(struct doc_view *view)
{
	size_t i;

	if (!view)
		return;
	if (view->extra_refs > 0) {
		view->extra_refs--;
		return;
	}
	for (i = 0; i < view->customer_count; i++)
		free(view->customers[i].guarantees);
	for (i = 0; i < view->pool_count; i++)
		free(view->pools[i].workers);
	free(view->customers);
	free(view->services);
	free(view->pools);
	free(view);
}

/*
 * Returns the entry with that name, or NULL if there is none. An entry is a
 * struct of the given size whose first member is its name.
 */
static const void *find(const void *entries, size_t count, size_t size,
			const char *name)
{
	const char *entry = entries;
	size_t i;

	for (i = 0; i < count; i++, entry += size)
		if (strcmp(entry, name) == 0)
			return entry;
	return NULL;
}

const struct doc_customer *doc_view_customer(const struct doc_view *view,
					     const char *name)
{
	return find(view->customers, view->customer_count,
		    sizeof(*view->customers), name);
}

const struct doc_service *doc_view_service(const struct doc_view *view,
					   const char *name)
{
	return find(view->services, view->service_count,
		    sizeof(*view->services), name);
}

const struct doc_pool *doc_view_pool(const struct doc_view *view,
				     const char *dc)
{
	return find(view->pools, view->pool_count, sizeof(*view->pools), dc);
}
