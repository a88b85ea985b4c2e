#include "wire/kvetcd.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Writing. */

/* The gateway writes 64-bit integers as text. */
json_t *etcd_int_json(int64_t value)
{
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

static json_t *bytes_json(const void *data, size_t len)
{
	char *text = g_base64_encode(data, len);
	json_t *out = json_string(text);

	g_free(text);
	return out;
}

/*
 * Adds a key, and for a prefix the end of its range: the prefix with its
 * last byte raised by one. Keys of this program hold no byte 255.
 */
static void add_key(json_t *object, const char *key, bool prefix)
{
	size_t len = strlen(key);
	char *end;

	json_object_set_new(object, "key", bytes_json(key, len));
	if (!prefix || len == 0)
		return;
	end = g_strdup(key);
	end[len - 1]++;
	json_object_set_new(object, "range_end", bytes_json(end, len));
	g_free(end);
}

json_t *etcd_range_json(const char *key, bool prefix)
{
	json_t *out = json_object();

	add_key(out, key, prefix);
	return out;
}

static json_t *op_json(const struct kv_op *op)
{
	json_t *req = etcd_range_json(op->key, op->prefix);

	if (op->kind == KV_RANGE)
		return json_pack("{s:o}", "requestRange", req);
	if (op->kind == KV_DELETE)
		return json_pack("{s:o}", "requestDeleteRange", req);
	json_object_set_new(req, "value", bytes_json(op->value, op->len));
	if (op->lease != 0)
		json_object_set_new(req, "lease", etcd_int_json(op->lease));
	return json_pack("{s:o}", "requestPut", req);
}

static json_t *ops_json(const struct kv_op *ops, size_t n)
{
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(out, op_json(&ops[i]));
	return out;
}

json_t *etcd_txn_json(const struct kv_cmp *cmps, size_t ncmps,
		      const struct kv_op *then_ops, size_t nthen,
		      const struct kv_op *else_ops, size_t nelse)
{
	json_t *compare = json_array();
	size_t i;

	for (i = 0; i < ncmps; i++)
		json_array_append_new(
			compare,
			json_pack("{s:o,s:s,s:s,s:o}", "key",
				  bytes_json(cmps[i].key, strlen(cmps[i].key)),
				  "target", "MOD", "result", "EQUAL",
				  "modRevision",
				  etcd_int_json(cmps[i].mod_revision)));
	return json_pack("{s:o,s:o,s:o}", "compare", compare, "success",
			 ops_json(then_ops, nthen), "failure",
			 ops_json(else_ops, nelse));
}

/* Reading. */

/* Field of a reply; gateways write either spelling. */
json_t *etcd_get(const json_t *object, const char *snake, const char *camel)
{
	json_t *value = json_object_get(object, snake);

	return value ? value : json_object_get(object, camel);
}

int64_t etcd_int(const json_t *value)
{
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* Revision of the store in a reply's header. */
int64_t etcd_revision(const json_t *reply)
{
	return etcd_int(
		json_object_get(json_object_get(reply, "header"), "revision"));
}

static char *decode(const json_t *value, size_t *len)
{
	const char *text = json_string_value(value);
	unsigned char *raw;
	gsize n = 0;
	char *out;

	raw = g_base64_decode(text ? text : "", &n);
	out = g_malloc(n + 1);
	if (n > 0)
		memcpy(out, raw, n);
	out[n] = '\0';
	g_free(raw);
	*len = n;
	return out;
}

/* Fills an item from a key-value pair; an empty value may be left out. */
bool etcd_item(const json_t *kv, struct kv_item *item)
{
	size_t len;

	memset(item, 0, sizeof(*item));
	if (!json_is_string(json_object_get(kv, "key")))
		return false;
	item->key = decode(json_object_get(kv, "key"), &len);
	item->value = decode(json_object_get(kv, "value"), &item->len);
	item->mod_revision =
		etcd_int(etcd_get(kv, "mod_revision", "modRevision"));
	item->lease = etcd_int(json_object_get(kv, "lease"));
	return true;
}

void etcd_item_finish(struct kv_item *item)
{
	g_free(item->key);
	g_free(item->value);
}

/* Appends the pairs of a range to an array of struct kv_item. */
void etcd_items(const json_t *kvs, GArray *items)
{
	struct kv_item item;
	json_t *kv;
	size_t i;

	json_array_foreach(kvs, i, kv) {
		if (etcd_item(kv, &item))
			g_array_append_val(items, item);
	}
}

/* Appends the pairs of all ranges of a transaction, in order. */
void etcd_txn_items(const json_t *reply, GArray *items)
{
	const json_t *response;
	size_t i;

	json_array_foreach(json_object_get(reply, "responses"), i, response) {
		etcd_items(json_object_get(etcd_get(response, "response_range",
						    "responseRange"),
					   "kvs"),
			   items);
	}
}

void etcd_items_free(GArray *items)
{
	unsigned int i;

	for (i = 0; i < items->len; i++)
		etcd_item_finish(&g_array_index(items, struct kv_item, i));
	g_array_free(items, TRUE);
}
