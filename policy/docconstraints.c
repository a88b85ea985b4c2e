#include "policy/doc.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* Guarantees must fit into the pool of their data centre. */

/* The sum of all customers' guarantees in one data centre. */
struct demand {
	int64_t units[DOC_RACK + 1]; /* by enum doc_unit */
	GString *sections; /* names of the customers' sections, for messages */
};

struct rack {
	int number;
	int workers;
	int64_t accelerators;
	bool reserved;
};

static void add_demand(struct demand *demand, const struct doc_view *view,
		       const char *dc)
{
	const struct doc_customer *customer;
	size_t i, k;
	bool named;

	for (i = 0; i < view->customer_count; i++) {
		customer = &view->customers[i];
		named = false;
		for (k = 0; k < customer->guarantee_count; k++) {
			if (strcmp(customer->guarantees[k].dc, dc) != 0)
				continue;
			demand->units[customer->guarantees[k].unit] +=
				customer->guarantees[k].count;
			if (named)
				continue;
			named = true;
			g_string_append_printf(
				demand->sections, "%s\"customer/%s\"",
				demand->sections->len ? ", " : "",
				customer->name);
		}
	}
}

static int compare_worker_racks(const void *a, const void *b)
{
	const struct doc_worker *x = a, *y = b;

	if (x->rack != y->rack)
		return x->rack < y->rack ? -1 : 1;
	return x->accelerators - y->accelerators;
}

static int compare_rack_sizes(const void *a, const void *b)
{
	const struct rack *x = a, *y = b;

	/* Only full racks can be guaranteed as racks. */
	if ((x->workers == WORKERS_PER_RACK) !=
	    (y->workers == WORKERS_PER_RACK))
		return x->workers == WORKERS_PER_RACK ? -1 : 1;
	return (x->accelerators > y->accelerators) -
	       (x->accelerators < y->accelerators);
}

static int compare_rack_numbers(const void *a, const void *b)
{
	const struct rack *x = a, *y = b;

	return (x->number > y->number) - (x->number < y->number);
}

static int compare_worker_accelerators(const void *a, const void *b)
{
	const struct doc_worker *x = a, *y = b;

	return x->accelerators - y->accelerators;
}

/* Returns the racks of workers that are sorted by rack. */
static GArray *group_racks(const struct doc_worker *workers, size_t count)
{
	GArray *racks = g_array_new(FALSE, TRUE, sizeof(struct rack));
	struct rack *last = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!last || last->number != workers[i].rack) {
			struct rack rack = { .number = workers[i].rack };

			g_array_append_val(racks, rack);
			last = &g_array_index(racks, struct rack,
					      racks->len - 1);
		}
		last->workers++;
		last->accelerators += workers[i].accelerators;
	}
	return racks;
}

/*
 * Reserves the wanted number of full racks, those with the fewest accelerators
 * first, so that the most accelerators are left. Returns the number reserved,
 * which is lower if there are too few full racks.
 */
static int64_t reserve_racks(GArray *racks, int64_t wanted)
{
	int64_t reserved = 0;
	unsigned int i;

	g_array_sort(racks, compare_rack_sizes);
	for (i = 0; i < racks->len && reserved < wanted; i++) {
		struct rack *rack = &g_array_index(racks, struct rack, i);

		if (rack->workers != WORKERS_PER_RACK)
			break;
		rack->reserved = true;
		reserved++;
	}
	g_array_sort(racks, compare_rack_numbers);
	return reserved;
}

/* Removes the workers of reserved racks; both arrays are sorted by rack. */
static size_t remove_reserved_racks(struct doc_worker *workers, size_t count,
				    GArray *racks)
{
	size_t i, kept = 0;
	unsigned int k = 0;

	for (i = 0; i < count; i++) {
		while (g_array_index(racks, struct rack, k).number !=
		       workers[i].rack)
			k++;
		if (!g_array_index(racks, struct rack, k).reserved)
			workers[kept++] = workers[i];
	}
	return kept;
}

static bool fail_demand(const char *dc, const struct demand *demand,
			const char *unit, int64_t wanted, int64_t available,
			GError **err)
{
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "sections %s guarantee a total of %" G_GINT64_FORMAT
		    " of unit \"%s\"; section \"pool/%s\" has room for "
		    "%" G_GINT64_FORMAT " besides the larger units",
		    demand->sections->str, wanted, unit, dc, available);
	return false;
}

/*
 * Assigns racks first, then workers, then accelerators, each time using the
 * racks or workers with the fewest accelerators. A demand is therefore refused
 * only if no assignment of the pool can satisfy it.
 */
static bool check_guarantees_fit(const struct doc_pool *pool,
				 const struct demand *demand, GError **err)
{
	const int64_t *units = demand->units;
	struct doc_worker *workers =
		g_memdup2(pool->workers, pool->worker_count * sizeof(*workers));
	size_t count = pool->worker_count, i;
	int64_t remaining = 0, racks_found;
	GArray *racks;
	bool ok = true;

	if (count > 0)
		qsort(workers, count, sizeof(*workers), compare_worker_racks);
	racks = group_racks(workers, count);
	racks_found = reserve_racks(racks, units[DOC_RACK]);
	if (racks_found < units[DOC_RACK])
		ok = fail_demand(pool->dc, demand, "rack", units[DOC_RACK],
				 racks_found, err);
	count = remove_reserved_racks(workers, count, racks);
	if (count > 0)
		qsort(workers, count, sizeof(*workers),
		      compare_worker_accelerators);
	if (ok && (int64_t)count < units[DOC_WORKER])
		ok = fail_demand(pool->dc, demand, "worker", units[DOC_WORKER],
				 (int64_t)count, err);
	for (i = (size_t)units[DOC_WORKER]; ok && i < count; i++)
		remaining += workers[i].accelerators;
	if (ok && remaining < units[DOC_ACCELERATOR])
		ok = fail_demand(pool->dc, demand, "accelerator",
				 units[DOC_ACCELERATOR], remaining, err);
	g_array_free(racks, TRUE);
	g_free(workers);
	return ok;
}

static bool check_pool_fits(const struct doc_view *view,
			    const struct doc_pool *pool, GError **err)
{
	struct demand demand = { .sections = g_string_new(NULL) };
	bool ok;

	add_demand(&demand, view, pool->dc);
	ok = check_guarantees_fit(pool, &demand, err);
	g_string_free(demand.sections, TRUE);
	return ok;
}

/* Checks that each guarantee names a data centre with a pool. */
static bool check_pools_exist(const struct doc_view *view, GError **err)
{
	const struct doc_customer *customer;
	const char *dc;
	size_t i, k;

	for (i = 0; i < view->customer_count; i++) {
		customer = &view->customers[i];
		for (k = 0; k < customer->guarantee_count; k++) {
			dc = customer->guarantees[k].dc;
			if (doc_view_pool(view, dc))
				continue;
			g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
				    "section \"customer/%s\": key "
				    "\"guarantees[%zu].dc\" is \"%s\", but "
				    "section \"pool/%s\" does not exist",
				    customer->name, k, dc, dc);
			return false;
		}
	}
	return true;
}

/* Teams must have different tokens. */

struct token_check {
	GHashTable *seen; /* hash -> section name */
	GError **err;
	bool ok;
};

static gboolean check_token(void *key, void *value, void *data)
{
	const struct doc_section *section = value;
	struct token_check *check = data;
	const char *hash, *other;

	if (!g_str_has_prefix(section->name, "team/"))
		return FALSE;
	hash = json_string_value(
		json_object_get(section->body, "token_sha256"));
	other = g_hash_table_lookup(check->seen, hash);
	if (!other) {
		g_hash_table_insert(check->seen, (void *)hash,
				    (void *)section->name);
		return FALSE;
	}
	g_set_error(check->err, CB_ERROR, CB_E_CHECK_FAILED,
		    "sections \"%s\" and \"%s\" have the same value of key "
		    "\"token_sha256\"; each team needs its own token",
		    other, section->name);
	check->ok = false;
	return TRUE;
}

static bool check_tokens(const struct doc *doc, GError **err)
{
	struct token_check check = {
		.seen = g_hash_table_new(g_str_hash, g_str_equal),
		.err = err,
		.ok = true,
	};

	g_tree_foreach(doc->sections, check_token, &check);
	g_hash_table_destroy(check.seen);
	return check.ok;
}

/* All constraints. */

/*
 * Checks the constraints that involve several sections: unique tokens, and
 * guarantees that fit into the pools. All bodies must be present and have
 * passed doc_check_section(). The error message names the sections involved.
 */
bool doc_check_constraints(const struct doc *doc, GError **err)
{
	struct doc_view *view = doc_view_new(doc);
	bool ok = check_tokens(doc, err) && check_pools_exist(view, err);
	size_t i;

	for (i = 0; ok && i < view->pool_count; i++)
		ok = check_pool_fits(view, &view->pools[i], err);
	doc_view_unref(view);
	return ok;
}
