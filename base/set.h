#ifndef BASE_SET_H
#define BASE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/log.h"

#define SET_BACKENDS_MAX 512
#define SET_HEADERS_MAX 32

struct set_addr {
	char addr[ADDR_MAX_BYTES];
	int port;
};

/* Another entry host. */
struct set_peer {
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
	struct set_addr at;
};

/* A backend server that is configured and not taken from the host list. */
struct set_backend {
	char service[NAME_MAX_BYTES];
	struct set_addr at;
};

/* The settings of one chivebankd, checked as a whole by set_load(). */
struct set {
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char region[NAME_MAX_BYTES];
	struct set_addr callers;
	struct set_addr admin;
	struct set_addr peer_listen; /* port 0: no peers */
	struct set_peer peers[PEERS_MAX];
	size_t peer_count;
	bool store_memory;
	struct set_addr store;
	struct set_addr host_list; /* port 0: none */
	struct set_backend backends[SET_BACKENDS_MAX];
	size_t backend_count;
	char admin_token_sha256[65];
	char forward_headers[SET_HEADERS_MAX][NAME_MAX_BYTES];
	size_t forward_header_count;
	int drain_delay_ms;
	int grace_ms; /* from SIGTERM until the supervisor kills */
	int64_t region_bytes_per_sec;
	uint64_t seed; /* 0: from the system's random source */
	enum log_level log_level;
};

bool set_load(struct set *set, const char *path, GError **err);
bool set_parse(struct set *set, const char *text, size_t len, GError **err);
const char *set_peer_region(const struct set *set, const char *host);

#endif
