#ifndef DAEMON_REQUESTS_SLOTS_H
#define DAEMON_REQUESTS_SLOTS_H

#include "base/set.h"
#include "daemon/svc.h"
#include "policy/slot_credits.h"
#include "wire/pr.h"

/* Slots of this host, and the credits it grants while it is the leader. */
struct slots {
	struct slot_credits_holder holder;
	struct slot_credits_grantor grantor;
	const struct set *set;
	struct kn_task *peers; /* or NULL */
	const char **hosts; /* of the data centre; this host is the first */
	size_t host_count;
	char leader[NAME_MAX_BYTES];
	uint64_t epoch; /* of the leader */
	bool leading;
	bool epoch_begun; /* slot_credits_begin_epoch() has been called */
	int64_t valid_until_us;
	int64_t reported_us;
	bool must_report; /* last report not empty, or leader new */
};

void slots_init(struct slots *slots, const struct set *set,
		struct kn_task *peers, uint64_t incarnation);
void slots_finish(struct slots *slots);
int slots_floor(const struct slots *slots, const char *server);
int slots_pool(const struct slots *slots);
unsigned int slots_connections(const struct slots *slots);
void slots_set_leadership(struct slots *slots, const struct svc_lead *lead);
/*
 * Reports to the leader every SLOT_REPORT_MS, or SLOT_PRESS_MS after the last
 * report if requests wait for credits.
 */
void slots_report_if_due(struct slots *slots, bool requests_wait,
			 int64_t now_us);
void slots_handle_report(struct slots *slots, const struct pr_in *in);
/* Applies a grant of the leader. Returns false if it was not applied. */
bool slots_handle_grant(struct slots *slots, const struct pr_in *in);

#endif
