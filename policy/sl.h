#ifndef POLICY_SL_H
#define POLICY_SL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/list.h"

#define SL_SERVER_BYTES (ADDR_MAX_BYTES + 8) /* addr:port */

/* One server in a report or a grant. A server not named counts as 0. */
struct sl_line {
	char server[SL_SERVER_BYTES];
	int held; /* report: credits in use or still usable */
	int want; /* report: credits asked for; grant: credits granted */
};

/* Identifies one report; the grant that answers it repeats it. */
struct sl_ask {
	uint64_t epoch; /* of the leader that the report is meant for */
	uint64_t incarnation; /* of the holder; grows with each start */
	uint64_t seq;
};

/* Floors. */

/* hosts: all entry hosts configured for the data centre. */
int sl_floor(const char *const *hosts, size_t n, const char *host,
	     const char *server);
int sl_pool(size_t hosts);
int sl_connections(size_t hosts);

/* Holder: every entry host. */

/* Slots of one server on this host; embedded in the caller's record. */
struct sl_slots {
	struct list_head node;
	char server[SL_SERVER_BYTES];
	int floor;
	int running;
	int want; /* credits, set by the caller before sl_ask() */
	int credits;
	int64_t credits_until_us;
};

struct sl_holder {
	struct list_head servers;
	struct sl_ask ask; /* the newest */
	int64_t asked_us;
	bool answered;
};

void sl_holder_init(struct sl_holder *holder, uint64_t incarnation);
void sl_slots_init(struct sl_slots *slots, struct sl_holder *holder,
		   const char *server, int floor);
void sl_slots_finish(struct sl_slots *slots);
int sl_free(const struct sl_slots *slots, int64_t now_us);
void sl_start(struct sl_slots *slots);
void sl_end(struct sl_slots *slots);
int sl_held(const struct sl_slots *slots, int64_t now_us);
bool sl_ask(struct sl_holder *holder, uint64_t epoch, GArray *lines,
	    int64_t now_us);
bool sl_granted(struct sl_holder *holder, const struct sl_ask *ask,
		int64_t term_us, const struct sl_line *lines, size_t n,
		int64_t now_us);

/* Grantor: the leader. */

struct sl_grantor {
	uint64_t epoch;
	int pool;
	size_t host_count;
	struct sl_ghost *hosts;
	GHashTable *servers; /* server -> struct sl_gserver */
};

void sl_grantor_init(struct sl_grantor *grantor, const char *const *hosts,
		     size_t n);
void sl_grantor_finish(struct sl_grantor *grantor);
void sl_lead(struct sl_grantor *grantor, uint64_t epoch, int64_t now_us);
bool sl_report(struct sl_grantor *grantor, const char *host,
	       const struct sl_ask *ask, const struct sl_line *lines, size_t n,
	       GArray *grants, int64_t now_us);
bool sl_holding_back(const struct sl_grantor *grantor, int64_t now_us);

#endif
