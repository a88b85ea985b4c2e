#include "base/set.h"

#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"

#define PORT_MAX 65535
#define DRAIN_DELAY_MAX_MS 600000
#define DRAIN_DELAY_DEFAULT_MS 2000
#define GRACE_MAX_MS 3600000
#define GRACE_DEFAULT_MS 10000
#define REGION_BYTES_DEFAULT_PER_SEC (1024 * 1024)
#define SHA256_HEX_CHARS 64

/* A reader of one value. path is the full key, for error messages. */
struct reader {
	const char *key;
	bool required;
	bool (*read)(struct set *set, const json_t *value, const char *path,
		     GError **err);
};

/* Values. */

static bool fail(GError **err, const char *path, const json_t *value,
		 const char *allowed)
{
	char *text = value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT) :
			     NULL;

	g_set_error(err, CB_ERROR, CB_E_SETTINGS,
		    "settings key \"%s\": value %.64s is not allowed; "
		    "allowed: %s",
		    path, text ? text : "(missing)", allowed);
	free(text);
	return false;
}

static bool name_char(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
}

static bool read_name(char *out, const json_t *value, const char *path,
		      GError **err)
{
	const char *text = json_string_value(value);
	const char *p;

	for (p = text; p && *p; p++)
		if (!name_char(*p))
			break;
	if (!text || !*text || *p || strlen(text) >= NAME_MAX_BYTES)
		return fail(err, path, value,
			    "a name of 1 to 63 letters, digits, '-', '_', '.'");
	strcpy(out, text);
	return true;
}

static bool read_integer(int64_t *out, const json_t *value, int64_t min,
			 int64_t max, const char *path, GError **err)
{
	char allowed[96];

	*out = json_integer_value(value);
	if (json_is_integer(value) && *out >= min && *out <= max)
		return true;
	snprintf(allowed, sizeof(allowed),
		 "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		 min, max);
	return fail(err, path, value, allowed);
}

static bool valid_ip(const char *text)
{
	unsigned char buf[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buf) == 1 ||
	       inet_pton(AF_INET6, text, buf) == 1;
}

/* Objects. */

/* Refuses the first key of object that is not in the list. */
static bool check_keys(const json_t *object, const char *const *known,
		       const char *path, GError **err)
{
	const char *key;
	json_t *value;
	char full[3 * NAME_MAX_BYTES];
	char *allowed;

	json_object_foreach((json_t *)object, key, value) {
		if (g_strv_contains(known, key))
			continue;
		snprintf(full, sizeof(full), "%s%s%.63s", path,
			 *path ? "." : "", key);
		allowed = g_strjoinv(", ", (char **)known);
		g_set_error(err, CB_ERROR, CB_E_SETTINGS,
			    "settings key \"%s\" is unknown; allowed: %s", full,
			    allowed);
		g_free(allowed);
		return false;
	}
	return true;
}

static bool read_at(struct set_addr *out, const json_t *object,
		    const char *path, int min_port, GError **err)
{
	const char *addr = json_string_value(json_object_get(object, "addr"));
	char full[3 * NAME_MAX_BYTES];
	int64_t port;

	snprintf(full, sizeof(full), "%s.addr", path);
	if (!addr || !valid_ip(addr))
		return fail(err, full, json_object_get(object, "addr"),
			    "an IP address");
	snprintf(out->addr, sizeof(out->addr), "%s", addr);
	snprintf(full, sizeof(full), "%s.port", path);
	if (!read_integer(&port, json_object_get(object, "port"), min_port,
			  PORT_MAX, full, err))
		return false;
	out->port = (int)port;
	return true;
}

static bool read_address(struct set_addr *out, const json_t *value,
			 const char *path, int min_port, GError **err)
{
	static const char *const keys[] = { "addr", "port", NULL };

	if (!json_is_object(value))
		return fail(err, path, value, "an object with addr and port");
	return check_keys(value, keys, path, err) &&
	       read_at(out, value, path, min_port, err);
}

static bool read_member_name(char *out, const json_t *object, const char *key,
			     const char *path, GError **err)
{
	char full[3 * NAME_MAX_BYTES];

	snprintf(full, sizeof(full), "%s.%s", path, key);
	return read_name(out, json_object_get(object, key), full, err);
}

/* Keys. */

static bool read_host(struct set *set, const json_t *value, const char *path,
		      GError **err)
{
	return read_name(set->host, value, path, err);
}

static bool read_dc(struct set *set, const json_t *value, const char *path,
		    GError **err)
{
	return read_name(set->dc, value, path, err);
}

static bool read_region(struct set *set, const json_t *value, const char *path,
			GError **err)
{
	return read_name(set->region, value, path, err);
}

static bool read_callers(struct set *set, const json_t *value, const char *path,
			 GError **err)
{
	return read_address(&set->callers, value, path, 0, err);
}

static bool read_admin(struct set *set, const json_t *value, const char *path,
		       GError **err)
{
	return read_address(&set->admin, value, path, 0, err);
}

static bool read_peer_listen(struct set *set, const json_t *value,
			     const char *path, GError **err)
{
	return read_address(&set->peer_listen, value, path, 1, err);
}

static bool read_host_list(struct set *set, const json_t *value,
			   const char *path, GError **err)
{
	return read_address(&set->host_list, value, path, 1, err);
}

static bool read_peer(struct set_peer *peer, const json_t *value,
		      const char *path, GError **err)
{
	static const char *const keys[] = { "host", "dc",   "region",
					    "addr", "port", NULL };

	if (!json_is_object(value))
		return fail(err, path, value,
			    "an object with host, dc, region, addr and port");
	return check_keys(value, keys, path, err) &&
	       read_member_name(peer->host, value, "host", path, err) &&
	       read_member_name(peer->dc, value, "dc", path, err) &&
	       read_member_name(peer->region, value, "region", path, err) &&
	       read_at(&peer->at, value, path, 1, err);
}

static bool read_peers(struct set *set, const json_t *value, const char *path,
		       GError **err)
{
	char full[2 * NAME_MAX_BYTES];
	json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) > PEERS_MAX)
		return fail(err, path, NULL, "an array of at most 128 peers");
	json_array_foreach(value, i, item) {
		snprintf(full, sizeof(full), "peers[%zu]", i);
		if (!read_peer(&set->peers[i], item, full, err))
			return false;
	}
	set->peer_count = json_array_size(value);
	return true;
}

static bool read_store(struct set *set, const json_t *value, const char *path,
		       GError **err)
{
	static const char *const keys[] = { "kind", "addr", "port", NULL };
	const char *kind = json_string_value(json_object_get(value, "kind"));

	if (!json_is_object(value))
		return fail(err, path, value, "an object with kind");
	if (!check_keys(value, keys, path, err))
		return false;
	if (kind && strcmp(kind, "memory") == 0) {
		set->store_memory = true;
		return true;
	}
	if (!kind || strcmp(kind, "etcd") != 0)
		return fail(err, "store.kind", json_object_get(value, "kind"),
			    "\"memory\" or \"etcd\"");
	return read_at(&set->store, value, path, 1, err);
}

static bool read_backend(struct set_backend *backend, const json_t *value,
			 const char *path, GError **err)
{
	static const char *const keys[] = { "service", "addr", "port", NULL };

	if (!json_is_object(value))
		return fail(err, path, value,
			    "an object with service, addr and port");
	return check_keys(value, keys, path, err) &&
	       read_member_name(backend->service, value, "service", path,
				err) &&
	       read_at(&backend->at, value, path, 1, err);
}

static bool read_backends(struct set *set, const json_t *value,
			  const char *path, GError **err)
{
	char full[2 * NAME_MAX_BYTES];
	json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) > SET_BACKENDS_MAX)
		return fail(err, path, NULL,
			    "an array of at most 512 backend servers");
	json_array_foreach(value, i, item) {
		snprintf(full, sizeof(full), "backends[%zu]", i);
		if (!read_backend(&set->backends[i], item, full, err))
			return false;
	}
	set->backend_count = json_array_size(value);
	return true;
}

static bool read_token(struct set *set, const json_t *value, const char *path,
		       GError **err)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != SHA256_HEX_CHARS ||
	    strspn(text, "0123456789abcdef") != SHA256_HEX_CHARS)
		return fail(err, path, NULL,
			    "64 lower-case hexadecimal digits");
	strcpy(set->admin_token_sha256, text);
	return true;
}

static bool read_forward_headers(struct set *set, const json_t *value,
				 const char *path, GError **err)
{
	json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) > SET_HEADERS_MAX)
		return fail(err, path, NULL, "an array of at most 32 names");
	json_array_foreach(value, i, item) {
		if (!read_name(set->forward_headers[i], item, path, err))
			return false;
	}
	set->forward_header_count = json_array_size(value);
	return true;
}

static bool read_drain_delay(struct set *set, const json_t *value,
			     const char *path, GError **err)
{
	int64_t ms;

	if (!read_integer(&ms, value, 0, DRAIN_DELAY_MAX_MS, path, err))
		return false;
	set->drain_delay_ms = (int)ms;
	return true;
}

static bool read_grace(struct set *set, const json_t *value, const char *path,
		       GError **err)
{
	int64_t ms;

	if (!read_integer(&ms, value, 1, GRACE_MAX_MS, path, err))
		return false;
	set->grace_ms = (int)ms;
	return true;
}

static bool read_region_bytes(struct set *set, const json_t *value,
			      const char *path, GError **err)
{
	return read_integer(&set->region_bytes_per_sec, value, 0, INT64_MAX,
			    path, err);
}

static bool read_seed(struct set *set, const json_t *value, const char *path,
		      GError **err)
{
	int64_t seed;

	if (!read_integer(&seed, value, 0, INT64_MAX, path, err))
		return false;
	set->seed = (uint64_t)seed;
	return true;
}

static bool read_log_level(struct set *set, const json_t *value,
			   const char *path, GError **err)
{
	const char *text = json_string_value(value);
	int level = text ? log_level_parse(text) : -1;

	if (level < 0)
		return fail(err, path, value,
			    "\"err\", \"warning\", \"info\" or \"debug\"");
	set->log_level = (enum log_level)level;
	return true;
}

static const struct reader readers[] = {
	{ "host", true, read_host },
	{ "dc", true, read_dc },
	{ "region", true, read_region },
	{ "callers", true, read_callers },
	{ "admin", true, read_admin },
	{ "peer_listen", false, read_peer_listen },
	{ "peers", false, read_peers },
	{ "store", true, read_store },
	{ "host_list", false, read_host_list },
	{ "backends", false, read_backends },
	{ "admin_token_sha256", true, read_token },
	{ "forward_headers", false, read_forward_headers },
	{ "drain_delay_ms", false, read_drain_delay },
	{ "grace_ms", false, read_grace },
	{ "region_bytes_per_sec", false, read_region_bytes },
	{ "seed", false, read_seed },
	{ "log_level", false, read_log_level },
};

/* The whole. */

static bool check_grace(const struct set *set, GError **err)
{
	json_t *value = json_integer(set->grace_ms);
	bool ok = set->grace_ms > set->drain_delay_ms ||
		  fail(err, "grace_ms", value, "more than drain_delay_ms");

	json_decref(value);
	return ok;
}

static bool check_whole(const struct set *set, GError **err)
{
	size_t i, j;

	if (!check_grace(set, err))
		return false;

	if (set->peer_count > 0 && set->peer_listen.port == 0)
		return fail(err, "peer_listen", NULL,
			    "an address, since peers are configured");
	if (set->store_memory && set->peer_count > 0)
		return fail(err, "store.kind", NULL,
			    "\"etcd\", since peers are configured");
	for (i = 0; i < set->peer_count; i++) {
		if (strcmp(set->peers[i].host, set->host) == 0)
			return fail(err, "peers", NULL,
				    "hosts other than this one");
		for (j = 0; j < i; j++)
			if (!strcmp(set->peers[i].host, set->peers[j].host))
				return fail(err, "peers", NULL,
					    "each host once");
	}
	return true;
}

static bool read_all(struct set *set, const json_t *root, GError **err)
{
	const char *known[G_N_ELEMENTS(readers) + 1] = { NULL };
	const json_t *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(readers); i++)
		known[i] = readers[i].key;
	if (!check_keys(root, known, "", err))
		return false;
	for (i = 0; i < G_N_ELEMENTS(readers); i++) {
		value = json_object_get(root, readers[i].key);
		if (!value && readers[i].required)
			return fail(err, readers[i].key, NULL,
				    "a value, since the key is required");
		if (value && !readers[i].read(set, value, readers[i].key, err))
			return false;
	}
	return check_whole(set, err);
}

/*
 * Reads settings from JSON text of len bytes. On failure err names the key,
 * the value and what is allowed, and set must not be used.
 */
bool set_parse(struct set *set, const char *text, size_t len, GError **err)
{
	json_error_t where;
	json_t *root;
	bool ok;

	memset(set, 0, sizeof(*set));
	set->drain_delay_ms = DRAIN_DELAY_DEFAULT_MS;
	set->grace_ms = GRACE_DEFAULT_MS;
	set->region_bytes_per_sec = REGION_BYTES_DEFAULT_PER_SEC;
	set->log_level = LOG_INFO_LEVEL;
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
	if (!json_is_object(root)) {
		if (root)
			snprintf(where.text, sizeof(where.text), "%s",
				 "the top level must be an object");
		g_set_error(err, CB_ERROR, CB_E_SETTINGS,
			    "settings: line %d column %d: %s", where.line,
			    where.column, where.text);
		json_decref(root);
		return false;
	}
	ok = read_all(set, root, err);
	json_decref(root);
	return ok;
}

/* Reads settings from a file; see set_parse(). */
bool set_load(struct set *set, const char *path, GError **err)
{
	GError *io = NULL;
	char *text;
	size_t len;
	bool ok;

	if (!g_file_get_contents(path, &text, &len, &io)) {
		g_set_error(err, CB_ERROR, CB_E_SETTINGS, "settings: %s",
			    io->message);
		g_error_free(io);
		return false;
	}
	ok = set_parse(set, text, len, err);
	g_free(text);
	return ok;
}

/* Returns the region of a configured host, NULL when it is not known. */
const char *set_peer_region(const struct set *set, const char *host)
{
	size_t i;

	if (strcmp(set->host, host) == 0)
		return set->region;
	for (i = 0; i < set->peer_count; i++)
		if (strcmp(set->peers[i].host, host) == 0)
			return set->peers[i].region;
	return NULL;
}
