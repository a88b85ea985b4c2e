#include "policy/doc.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define PORT_MAX 65535
#define NAME_ALLOWED "a name of 1 to 63 letters, digits, '-', '_', '.'"

/* A key of a JSON object and its allowed values. */
struct field {
	const char *key;
	bool required;
	bool (*check)(const json_t *value, const struct field *field);
	const char *allowed; /* description of the values, for messages */
	int64_t min; /* of an integer */
	int64_t max; /* of an integer, or of the length of an array */
	const char *const *choices; /* or NULL */
};

#define FIELD(key, required, check, allowed)              \
	{                                                 \
		key, required, check, allowed, 0, 0, NULL \
	}
#define INTEGER(key, required, min, max, allowed)                  \
	{                                                          \
		key, required, is_integer, allowed, min, max, NULL \
	}
#define ARRAY(key, required, max, allowed)                     \
	{                                                      \
		key, required, is_array, allowed, 0, max, NULL \
	}
#define CHOICE(key, required, choices, allowed)                  \
	{                                                        \
		key, required, is_choice, allowed, 0, 0, choices \
	}
#define END_OF_FIELDS FIELD(NULL, false, NULL, NULL)

/* The location of an object in a section, for messages. */
struct location {
	const char *section;
	char path[3 * NAME_MAX_BYTES];
};

/* Checks of single values. */

static bool fail(const struct location *location, const char *key,
		 const json_t *value, const char *allowed, GError **err)
{
	char *text = value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT) :
			     NULL;

	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "section \"%s\": key \"%s%s\": value %.64s is not "
		    "allowed; allowed: %s",
		    location->section, location->path, key,
		    text ? text : "(missing)", allowed);
	free(text);
	return false;
}

static bool valid_name(const char *text)
{
	const char *p;

	for (p = text; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("-_.", *p))
			return false;
	return p > text && p - text < NAME_MAX_BYTES;
}

static bool is_name(const json_t *value, const struct field *field)
{
	return json_is_string(value) && valid_name(json_string_value(value));
}

static bool is_integer(const json_t *value, const struct field *field)
{
	return json_is_integer(value) &&
	       json_integer_value(value) >= field->min &&
	       json_integer_value(value) <= field->max;
}

static bool is_choice(const json_t *value, const struct field *field)
{
	return json_is_string(value) &&
	       g_strv_contains(field->choices, json_string_value(value));
}

static bool is_array(const json_t *value, const struct field *field)
{
	return json_is_array(value) &&
	       json_array_size(value) <= (size_t)field->max;
}

static bool is_ip(const json_t *value, const struct field *field)
{
	const char *text = json_string_value(value);
	unsigned char buf[sizeof(struct in6_addr)];

	return text && (inet_pton(AF_INET, text, buf) == 1 ||
			inet_pton(AF_INET6, text, buf) == 1);
}

static bool is_sha256(const json_t *value, const struct field *field)
{
	const char *text = json_string_value(value);

	return text && strlen(text) == DOC_SHA256_BYTES - 1 &&
	       strspn(text, "0123456789abcdef") == DOC_SHA256_BYTES - 1;
}

static bool is_prefix(const json_t *value)
{
	const char *text = json_string_value(value);
	const char *slash = text ? strchr(text, '/') : NULL;

	return slash && strlen(text) < DOC_SECTION_NAME_MAX_BYTES &&
	       (g_str_has_prefix(text, "customer/") ||
		g_str_has_prefix(text, "service/") ||
		g_str_has_prefix(text, "pool/")) &&
	       (!slash[1] || valid_name(slash + 1));
}

/* Checks of objects by their fields. */

static const struct field *find_field(const struct field *fields,
				      const char *key)
{
	for (; fields->key; fields++)
		if (strcmp(fields->key, key) == 0)
			return fields;
	return NULL;
}

static bool fail_unknown(const struct location *location, const char *key,
			 const struct field *fields, GError **err)
{
	GString *known = g_string_new(NULL);

	for (; fields->key; fields++)
		g_string_append_printf(known, "%s%s", known->len ? ", " : "",
				       fields->key);
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "section \"%s\": key \"%s%.63s\" is unknown; allowed: %s",
		    location->section, location->path, key, known->str);
	g_string_free(known, TRUE);
	return false;
}

/*
 * Checks that an object has all required keys, no unknown ones, and only
 * allowed values.
 */
static bool check_object(const struct location *location, const json_t *object,
			 const struct field *fields, GError **err)
{
	const struct field *field;
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return fail(location, "", object, "a JSON object", err);
	json_object_foreach((json_t *)object, key, value) {
		if (!find_field(fields, key))
			return fail_unknown(location, key, fields, err);
	}
	for (field = fields; field->key; field++) {
		value = json_object_get(object, field->key);
		if (value ? !field->check(value, field) : field->required)
			return fail(location, field->key, value, field->allowed,
				    err);
	}
	return true;
}

static void set_element_path(struct location *location, const char *array,
			     size_t i)
{
	snprintf(location->path, sizeof(location->path), "%s[%zu].", array, i);
}

/* Sections. */

static const char *const units[] = { "accelerator", "worker", "rack", NULL };
static const char *const removal_actions[] = { "finish", "stop", NULL };
static const char *const classes[] = { "short", "long", NULL };

static const struct field team_fields[] = {
	FIELD("token_sha256", true, is_sha256,
	      "64 lower-case hexadecimal digits"),
	ARRAY("may", true, DOC_PREFIXES_MAX,
	      "an array of up to 64 section prefixes"),
	END_OF_FIELDS,
};

static const struct field customer_fields[] = {
	INTEGER("weight", true, 1, DOC_WEIGHT_MAX, "an integer from 1 to 1000"),
	ARRAY("guarantees", false, DOC_GUARANTEES_MAX,
	      "an array of up to 64 guarantees"),
	CHOICE("on_removal", false, removal_actions, "\"finish\" or \"stop\""),
	INTEGER("quota_accelerators", false, 0, DOC_COUNT_MAX,
		"an integer from 0 to 1000000; 0 means no quota"),
	END_OF_FIELDS,
};

static const struct field guarantee_fields[] = {
	FIELD("dc", true, is_name, NAME_ALLOWED),
	CHOICE("unit", true, units, "\"accelerator\", \"worker\" or \"rack\""),
	INTEGER("count", true, 1, DOC_COUNT_MAX,
		"an integer from 1 to 1000000"),
	END_OF_FIELDS,
};

static const struct field service_fields[] = {
	CHOICE("class", true, classes, "\"short\" or \"long\""),
	INTEGER("deadline_ms", false, 1, REQ_DEADLINE_MAX_MS,
		"an integer from 1 to 60000"),
	INTEGER("short_limit_ms", false, 1, REQ_DEADLINE_MAX_MS,
		"an integer from 1 to 60000"),
	END_OF_FIELDS,
};

static const struct field pool_fields[] = {
	ARRAY("workers", true, DOC_POOL_WORKERS_MAX,
	      "an array of up to 20000 workers"),
	END_OF_FIELDS,
};

static const struct field worker_fields[] = {
	FIELD("name", true, is_name, NAME_ALLOWED),
	FIELD("addr", true, is_ip, "an IP address"),
	INTEGER("port", true, 1, PORT_MAX, "an integer from 1 to 65535"),
	INTEGER("rack", true, 0, DOC_RACK_MAX, "an integer from 0 to 1000000"),
	INTEGER("accelerators", true, 1, DOC_WORKER_ACCELERATORS_MAX,
		"an integer from 1 to 64"),
	END_OF_FIELDS,
};

static bool check_team(struct location *location, const json_t *body,
		       GError **err)
{
	json_t *prefix;
	size_t i;

	if (!check_object(location, body, team_fields, err))
		return false;
	json_array_foreach(json_object_get(body, "may"), i, prefix) {
		if (is_prefix(prefix))
			continue;
		set_element_path(location, "may", i);
		location->path[strlen(location->path) - 1] = '\0';
		return fail(location, "", prefix,
			    "\"customer/\", \"service/\" or \"pool/\", "
			    "with or without the beginning of a name",
			    err);
	}
	return true;
}

static bool check_customer(struct location *location, const json_t *body,
			   GError **err)
{
	json_t *guarantees, *entry, *earlier;
	size_t i, k;

	if (!check_object(location, body, customer_fields, err))
		return false;
	guarantees = json_object_get(body, "guarantees");
	json_array_foreach(guarantees, i, entry) {
		set_element_path(location, "guarantees", i);
		if (!check_object(location, entry, guarantee_fields, err))
			return false;
		for (k = 0; k < i; k++) {
			earlier = json_array_get(guarantees, k);
			if (json_equal(json_object_get(earlier, "dc"),
				       json_object_get(entry, "dc")) &&
			    json_equal(json_object_get(earlier, "unit"),
				       json_object_get(entry, "unit")))
				return fail(location, "unit",
					    json_object_get(entry, "unit"),
					    "each unit once in a data centre",
					    err);
		}
	}
	return true;
}

static bool check_service(struct location *location, const json_t *body,
			  GError **err)
{
	return check_object(location, body, service_fields, err);
}

/* Adds a string to a set, which owns it. Returns false if it was present. */
static bool add_seen(GHashTable *seen, char *text)
{
	return g_hash_table_add(seen, text);
}

/*
 * Checks a worker against those before it in the pool: its name and its
 * address with port must be unique, and its rack must have room.
 */
static bool check_worker(struct location *location, const json_t *worker,
			 GHashTable *seen, GHashTable *racks, GError **err)
{
	const char *name = json_string_value(json_object_get(worker, "name"));
	const char *addr = json_string_value(json_object_get(worker, "addr"));
	json_t *port = json_object_get(worker, "port");
	json_t *rack = json_object_get(worker, "rack");
	int in_rack;

	if (!add_seen(seen, g_strdup(name)))
		return fail(location, "name", json_object_get(worker, "name"),
			    "a name that no other worker has", err);
	if (!add_seen(seen, g_strdup_printf("%s/%d", addr,
					    (int)json_integer_value(port))))
		return fail(location, "port", port,
			    "a port that no other worker has at this address",
			    err);
	in_rack = GPOINTER_TO_INT(g_hash_table_lookup(
		racks, GINT_TO_POINTER((int)json_integer_value(rack))));
	if (in_rack == WORKERS_PER_RACK)
		return fail(location, "rack", rack,
			    "a rack with fewer than 8 other workers", err);
	g_hash_table_replace(racks,
			     GINT_TO_POINTER((int)json_integer_value(rack)),
			     GINT_TO_POINTER(in_rack + 1));
	return true;
}

static bool check_pool(struct location *location, const json_t *body,
		       GError **err)
{
	GHashTable *seen, *racks;
	json_t *worker;
	bool ok = true;
	size_t i;

	if (!check_object(location, body, pool_fields, err))
		return false;
	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	racks = g_hash_table_new(g_direct_hash, g_direct_equal);
	json_array_foreach(json_object_get(body, "workers"), i, worker) {
		set_element_path(location, "workers", i);
		ok = check_object(location, worker, worker_fields, err) &&
		     check_worker(location, worker, seen, racks, err);
		if (!ok)
			break;
	}
	g_hash_table_destroy(seen);
	g_hash_table_destroy(racks);
	return ok;
}

/* Section types. */

static const struct section_type {
	const char *prefix;
	bool (*check)(struct location *location, const json_t *body,
		      GError **err);
} section_types[] = {
	{ "team/", check_team },
	{ "customer/", check_customer },
	{ "service/", check_service },
	{ "pool/", check_pool },
};

static const struct section_type *type_of(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(section_types); i++)
		if (g_str_has_prefix(name, section_types[i].prefix))
			return &section_types[i];
	return NULL;
}

/* Checks that a section is named TYPE/NAME with a known type. */
bool doc_check_name(const char *name, GError **err)
{
	const struct section_type *type = type_of(name);

	if (type && valid_name(name + strlen(type->prefix)) &&
	    strcmp(name, "team/" DOC_ADMIN) != 0)
		return true;
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "section \"%.*s\": the name is not allowed; allowed: "
		    "team/, customer/, service/ or pool/ and " NAME_ALLOWED
		    ", except team/" DOC_ADMIN,
		    DOC_SECTION_NAME_MAX_BYTES, name);
	return false;
}

/* Checks the name and the body of one section, without the other sections. */
bool doc_check_section(const char *name, const json_t *body, GError **err)
{
	struct location location = { .section = name };
	char *text;
	size_t len;

	if (!doc_check_name(name, err) ||
	    !type_of(name)->check(&location, body, err))
		return false;
	text = doc_body_text(body);
	len = strlen(text);
	free(text);
	if (len <= STORE_VALUE_MAX_BYTES)
		return true;
	g_set_error(err, CB_ERROR, CB_E_CHECK_FAILED,
		    "section \"%s\": the body has %zu bytes; allowed: at most "
		    "%d",
		    name, len, STORE_VALUE_MAX_BYTES);
	return false;
}
