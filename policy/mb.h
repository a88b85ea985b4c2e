#ifndef POLICY_MB_H
#define POLICY_MB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

enum mb_state { MB_LIVE, MB_LEAVING, MB_EJECTED, MB_PROBATION };

/* One backend server; embedded in the caller's record. */
struct mb_server {
	struct list_head node;
	char service[NAME_MAX_BYTES];
	char addr[ADDR_MAX_BYTES];
	int port;
	enum mb_state state;
	bool configured; /* in the settings: always counts as listed */
	bool listed;
	bool list_leaving; /* what the list says of it */
	bool slow; /* ejected for latency, not for failures */
	int failures; /* consecutive */
	int allowed; /* requests in flight during probation */
	int successes; /* since allowed last grew */
	int ejections; /* in a row, for the delay */
	int64_t leaving_us; /* first sign of leaving */
	int64_t until_us; /* ejected: end of the delay */
	int64_t latency_us;
	int samples;
	int unjudged; /* answers since latency was last compared */
};

struct mb {
	struct list_head servers;
};

void mb_init(struct mb *mb);
void mb_add(struct mb *mb, struct mb_server *server, const char *service,
	    const char *addr, int port, bool configured);
void mb_remove(struct mb_server *server);
struct mb_server *mb_find(const struct mb *mb, const char *service,
			  const char *addr, int port);

/* Each returns true when the state has changed. */
bool mb_listed(struct mb_server *server, bool listed, bool leaving,
	       int64_t now_us);
bool mb_leaving(struct mb_server *server, int64_t now_us);
bool mb_success(struct mb *mb, struct mb_server *server, int64_t run_us,
		int64_t now_us);
bool mb_failure(struct mb *mb, struct mb_server *server, int64_t now_us);
bool mb_tick(struct mb_server *server, int64_t now_us);

int mb_allowed(const struct mb_server *server);
const char *mb_state_name(enum mb_state state);

#endif
