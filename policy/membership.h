#ifndef POLICY_MEMBERSHIP_H
#define POLICY_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

enum membership_state {
	MEMBERSHIP_LIVE,
	MEMBERSHIP_LEAVING,
	MEMBERSHIP_EJECTED,
	MEMBERSHIP_PROBATION
};

/* One backend server; embedded in a struct of the caller. */
struct membership_server {
	struct list_head node;
	char service[NAME_MAX_BYTES];
	char addr[ADDR_MAX_BYTES];
	int port;
	enum membership_state state;
	bool configured; /* in the settings: always counts as listed */
	bool listed;
	bool listed_leaving; /* the platform's list says that it is leaving */
	bool ejected_slow; /* ejected for latency, not for failures */
	int failures; /* consecutive */
	int probation_limit; /* requests in flight during probation */
	int successes; /* since probation_limit last grew */
	int ejections; /* since last live; doubles the delay */
	int64_t leaving_us; /* when it was first known to be leaving */
	int64_t ejected_until_us;
	int64_t latency_us; /* moving average of run times */
	int samples; /* in latency_us, at most EJECT_SAMPLES */
	int answers_since_check; /* answers since latency was last compared */
};

struct membership {
	struct list_head servers;
};

void membership_init(struct membership *membership);
void membership_add(struct membership *membership,
		    struct membership_server *server, const char *service,
		    const char *addr, int port, bool configured);
void membership_remove(struct membership_server *server);
struct membership_server *membership_find(const struct membership *membership,
					  const char *service, const char *addr,
					  int port);

/* Each returns true when the state or the listing has changed. */
bool membership_update_listed(struct membership_server *server, bool listed,
			      bool leaving, int64_t now_us);
bool membership_mark_leaving(struct membership_server *server, int64_t now_us);
bool membership_success(struct membership *membership,
			struct membership_server *server, int64_t run_us,
			int64_t now_us);
bool membership_failure(struct membership *membership,
			struct membership_server *server, int64_t now_us);
bool membership_tick(struct membership_server *server, int64_t now_us);

int membership_max_in_flight(const struct membership_server *server);
const char *membership_state_name(enum membership_state state);

#endif
