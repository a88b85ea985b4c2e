#include "policy/membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *membership_state_name(enum membership_state state)
{
	static const char *const names[] = { "live", "leaving", "ejected",
					     "probation" };

	return names[state];
}

void membership_init(struct membership *membership)
{
	list_init(&membership->servers);
}

/* Initializes the caller's struct as a live server and adds it. */
void membership_add(struct membership *membership,
		    struct membership_server *server, const char *service,
		    const char *addr, int port, bool configured)
{
	memset(server, 0, sizeof(*server));
	snprintf(server->service, sizeof(server->service), "%s", service);
	snprintf(server->addr, sizeof(server->addr), "%s", addr);
	server->port = port;
	server->configured = configured;
	server->listed = true;
	server->state = MEMBERSHIP_LIVE;
	list_add_tail(&server->node, &membership->servers);
}

void membership_remove(struct membership_server *server)
{
	list_del(&server->node);
}

/* Finds a server by address; a NULL service matches any. */
struct membership_server *membership_find(const struct membership *membership,
					  const char *service, const char *addr,
					  int port)
{
	struct membership_server *server;

	list_for_each_entry(server, &membership->servers, node)
		if (server->port == port && strcmp(server->addr, addr) == 0 &&
		    (!service || strcmp(server->service, service) == 0))
			return server;
	return NULL;
}

/* State transitions. */

static void start_probation(struct membership_server *server)
{
	server->state = MEMBERSHIP_PROBATION;
	server->failures = 0;
	server->probation_limit = 1;
	server->successes = 0;
	server->samples = 0;
}

static void eject(struct membership_server *server, bool slow, int64_t now_us)
{
	int shift = server->ejections < 5 ? server->ejections : 5;

	server->state = MEMBERSHIP_EJECTED;
	server->ejected_slow = slow;
	server->ejected_until_us =
		now_us + ((EJECT_BASE_MS * USEC_PER_MSEC) << shift);
	server->ejections++;
	server->failures = 0;
}

/*
 * Updates a server from the platform's list. The list lags behind, so a
 * server that announced that it is leaving stays in that state for
 * LEAVING_HOLD_MS even when listed as live; then it starts probation.
 */
bool membership_update_listed(struct membership_server *server, bool listed,
			      bool leaving, int64_t now_us)
{
	bool changed = server->listed != (listed || server->configured);

	server->listed = listed || server->configured;
	server->listed_leaving = listed && leaving;
	if (listed && leaving)
		return membership_mark_leaving(server, now_us) || changed;
	if (server->state == MEMBERSHIP_LEAVING && server->listed &&
	    now_us - server->leaving_us >= LEAVING_HOLD_MS * USEC_PER_MSEC) {
		start_probation(server);
		changed = true;
	}
	return changed;
}

/* Marks a server that is leaving, as told by itself, the list or a peer. */
bool membership_mark_leaving(struct membership_server *server, int64_t now_us)
{
	if (server->state == MEMBERSHIP_LEAVING)
		return false;
	server->state = MEMBERSHIP_LEAVING;
	server->leaving_us = now_us;
	return true;
}

/*
 * Starts probation when the ejection of a server ends, and also for a
 * configured server LEAVING_HOLD_MS after it left, since no list announces
 * its return.
 */
bool membership_tick(struct membership_server *server, int64_t now_us)
{
	if (server->state == MEMBERSHIP_EJECTED &&
	    now_us >= server->ejected_until_us) {
		start_probation(server);
		return true;
	}
	if (server->state == MEMBERSHIP_LEAVING && server->configured &&
	    !server->listed_leaving &&
	    now_us - server->leaving_us >= LEAVING_HOLD_MS * USEC_PER_MSEC) {
		start_probation(server);
		return true;
	}
	return false;
}

/* Results of requests. */

static int cmp_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Median latency of the live servers of a service, or 0 when fewer than 3
 * of them have enough samples.
 */
static int64_t median_latency(const struct membership *membership,
			      const char *service)
{
	int64_t values[MEMBERS_SAMPLE];
	const struct membership_server *server;
	size_t n = 0;

	list_for_each_entry(server, &membership->servers, node)
		if (n < MEMBERS_SAMPLE && server->state == MEMBERSHIP_LIVE &&
		    server->samples >= EJECT_SAMPLES &&
		    strcmp(server->service, service) == 0)
			values[n++] = server->latency_us;
	if (n < 3)
		return 0;
	qsort(values, n, sizeof(values[0]), cmp_i64);
	return values[n / 2];
}

/* True when one more ejection would leave less than half of the servers. */
static bool ejection_limit_reached(const struct membership *membership,
				   const char *service)
{
	const struct membership_server *server;
	int total = 0, out = 0;

	list_for_each_entry(server, &membership->servers, node) {
		if (strcmp(server->service, service) != 0 || !server->listed)
			continue;
		total++;
		if (server->state != MEMBERSHIP_LIVE)
			out++;
	}
	return 2 * (out + 1) > total;
}

/* Records a complete answer that took run_us. */
bool membership_success(struct membership *membership,
			struct membership_server *server, int64_t run_us,
			int64_t now_us)
{
	int64_t median;

	server->failures = 0;
	server->latency_us += server->samples ?
				      (run_us - server->latency_us) / 16 :
				      run_us - server->latency_us;
	if (server->samples < EJECT_SAMPLES)
		server->samples++;
	if (server->state == MEMBERSHIP_PROBATION) {
		if (++server->successes < server->probation_limit)
			return false;
		server->successes = 0;
		server->probation_limit *= 2;
		if (server->probation_limit < BACKEND_SLOTS)
			return false;
		server->state = MEMBERSHIP_LIVE;
		server->ejections = 0;
		return true;
	}
	if (server->state != MEMBERSHIP_LIVE || server->samples < EJECT_SAMPLES)
		return false;
	/* The median needs a sort, so it is not computed for every answer. */
	if (++server->answers_since_check < EJECT_JUDGE_EVERY)
		return false;
	server->answers_since_check = 0;
	median = median_latency(membership, server->service);
	if (median == 0 || server->latency_us < EJECT_LATENCY_FACTOR * median ||
	    ejection_limit_reached(membership, server->service))
		return false;
	eject(server, true, now_us);
	return true;
}

/* Records a failed request: refused, lost, malformed or timed out. */
bool membership_failure(struct membership *membership,
			struct membership_server *server, int64_t now_us)
{
	(void)membership;
	server->failures++;
	if (server->state == MEMBERSHIP_PROBATION) {
		eject(server, false, now_us);
		return true;
	}
	if (server->state != MEMBERSHIP_LIVE ||
	    server->failures < EJECT_FAILURES)
		return false;
	eject(server, false, now_us);
	return true;
}

/* Requests in flight that the state permits; slot credits may permit fewer. */
int membership_max_in_flight(const struct membership_server *server)
{
	if (!server->listed)
		return 0;
	if (server->state == MEMBERSHIP_LIVE)
		return BACKEND_SLOTS;
	return server->state == MEMBERSHIP_PROBATION ? server->probation_limit :
						       0;
}
