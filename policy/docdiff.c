#include "policy/doc.h"

#include <string.h>

static void add_difference(json_t *out, const char *path, json_t *from,
			   json_t *to)
{
	json_t *entry = json_pack("{s:s}", "path", *path ? path : "/");

	if (from)
		json_object_set(entry, "from", from);
	if (to)
		json_object_set(entry, "to", to);
	json_array_append_new(out, entry);
}

/*
 * Returns the entries of an array as an object by their "name", or NULL if an
 * entry has none or two have the same.
 */
static json_t *index_by_name(const json_t *array)
{
	json_t *out = json_object(), *entry, *name;
	size_t i;

	json_array_foreach(array, i, entry) {
		name = json_object_get(entry, "name");
		if (!json_is_string(name) ||
		    json_object_get(out, json_string_value(name))) {
			json_decref(out);
			return NULL;
		}
		json_object_set(out, json_string_value(name), entry);
	}
	return out;
}

static void compare(json_t *out, const char *path, json_t *from, json_t *to);

static void compare_objects(json_t *out, const char *path, json_t *from,
			    json_t *to)
{
	json_t *value;
	const char *key;
	char *sub;

	json_object_foreach(from, key, value) {
		sub = g_strdup_printf("%s/%s", path, key);
		compare(out, sub, value, json_object_get(to, key));
		g_free(sub);
	}
	json_object_foreach(to, key, value) {
		if (json_object_get(from, key))
			continue;
		sub = g_strdup_printf("%s/%s", path, key);
		compare(out, sub, NULL, value);
		g_free(sub);
	}
}

static void compare_by_index(json_t *out, const char *path, json_t *from,
			     json_t *to)
{
	size_t i, count = MAX(json_array_size(from), json_array_size(to));
	char *sub;

	for (i = 0; i < count; i++) {
		sub = g_strdup_printf("%s/%zu", path, i);
		compare(out, sub, json_array_get(from, i),
			json_array_get(to, i));
		g_free(sub);
	}
}

static void compare_arrays(json_t *out, const char *path, json_t *from,
			   json_t *to)
{
	json_t *old = index_by_name(from), *new = index_by_name(to);

	if (old && new)
		compare_objects(out, path, old, new);
	else
		compare_by_index(out, path, from, to);
	json_decref(old);
	json_decref(new);
}

static void compare(json_t *out, const char *path, json_t *from, json_t *to)
{
	if (from && to && json_equal(from, to))
		return;
	if (json_is_object(from) && json_is_object(to))
		compare_objects(out, path, from, to);
	else if (json_is_array(from) && json_is_array(to))
		compare_arrays(out, path, from, to);
	else
		add_difference(out, path, from, to);
}

/*
 * Returns the differences between two bodies as an array of {"path", "from",
 * "to"}. An added value has no "from", a removed one no "to". Arrays whose
 * entries all have distinct names are compared by name, others by index.
 * Either body may be NULL for an absent section.
 */
json_t *doc_diff(const json_t *from, const json_t *to)
{
	json_t *out = json_array();

	if (from || to)
		compare(out, "", (json_t *)from, (json_t *)to);
	return out;
}
