#ifndef POLICY_SLOT_CREDITS_H
#define POLICY_SLOT_CREDITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/limits.h"
#include "base/list.h"

#define SLOT_CREDITS_SERVER_BYTES (ADDR_MAX_BYTES + 8) /* addr:port */

/*
 * The slots of a backend server are shared by the entry hosts of a data
 * centre. Some belong permanently to a host (its floor); the rest form a
 * pool that the leader (grantor) grants to the hosts (holders) as credits
 * for a limited term.
 */

/* One server in a report or a grant. A missing server counts as 0. */
struct slot_credits_entry {
	char server[SLOT_CREDITS_SERVER_BYTES];
	int held; /* report: credits in use or unexpired */
	int want; /* report: credits wanted; grant: credits granted */
};

/* Identifies a report; the grant that answers it has the same id. */
struct slot_credits_report_id {
	uint64_t epoch; /* of the leader that the report is sent to */
	uint64_t incarnation; /* of the holder; increases with each start */
	uint64_t seq;
};

/* Floors. */

/* hosts are all entry hosts configured for the data centre. */
int slot_credits_floor(const char *const *hosts, size_t n, const char *host,
		       const char *server);
int slot_credits_pool(size_t hosts);
int slot_credits_connections(size_t hosts);

/* Holder: every entry host. */

/* Slots of one server on this host; embedded in a struct of the caller. */
struct slot_credits_server {
	struct list_head node;
	char name[SLOT_CREDITS_SERVER_BYTES];
	int floor;
	int running;
	int want; /* credits to ask for in the next report; set by the caller */
	int credits;
	int64_t credits_until_us;
};

struct slot_credits_holder {
	struct list_head servers;
	struct slot_credits_report_id report_id; /* of the newest report */
	int64_t reported_us; /* when it was built */
	bool answered;
};

void slot_credits_holder_init(struct slot_credits_holder *holder,
			      uint64_t incarnation);
void slot_credits_server_init(struct slot_credits_server *server,
			      struct slot_credits_holder *holder,
			      const char *name, int floor);
void slot_credits_server_finish(struct slot_credits_server *server);
int slot_credits_available(const struct slot_credits_server *server,
			   int64_t now_us);
void slot_credits_start(struct slot_credits_server *server);
void slot_credits_end(struct slot_credits_server *server);
int slot_credits_held(const struct slot_credits_server *server, int64_t now_us);
bool slot_credits_build_report(struct slot_credits_holder *holder,
			       uint64_t epoch, GArray *entries, int64_t now_us);
bool slot_credits_apply_grant(struct slot_credits_holder *holder,
			      const struct slot_credits_report_id *id,
			      int64_t term_us,
			      const struct slot_credits_entry *entries,
			      size_t n, int64_t now_us);

/* Grantor: the leader. */

struct slot_credits_grantor {
	uint64_t epoch;
	int pool;
	size_t host_count;
	struct slot_credits_grantor_host *hosts;
	GHashTable *servers; /* server -> struct slot_credits_grantor_server */
};

void slot_credits_grantor_init(struct slot_credits_grantor *grantor,
			       const char *const *hosts, size_t n);
void slot_credits_grantor_finish(struct slot_credits_grantor *grantor);
void slot_credits_begin_epoch(struct slot_credits_grantor *grantor,
			      uint64_t epoch, int64_t now_us);
bool slot_credits_handle_report(struct slot_credits_grantor *grantor,
				const char *host,
				const struct slot_credits_report_id *id,
				const struct slot_credits_entry *entries,
				size_t n, GArray *grants, int64_t now_us);
bool slot_credits_withholding(const struct slot_credits_grantor *grantor,
			      int64_t now_us);

#endif
