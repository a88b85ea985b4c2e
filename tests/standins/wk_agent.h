#ifndef STANDINS_WK_AGENT_H
#define STANDINS_WK_AGENT_H

#include <jansson.h>

#include "daemon/jobs/agent_client.h"
#include "wire/hs.h"

struct wk_options {
	const char *addr;
	int accelerators;
	int64_t task_ms; /* time that a task runs */
	int64_t checkpoint_ms; /* time that a checkpoint takes */
	bool fail; /* every task fails soon after its start */
};

/*
 * Stand-in for the agent of one worker. It keeps a ledger of all tasks it
 * was ever asked to hold, with the monotonic times of this machine, so that
 * the ledgers of several workers can be compared.
 */
struct wk_agent {
	struct hs_server server;
	struct wk_options options;
	struct list_head tasks;
	struct kn_timer timer;
	uint64_t epoch; /* the newest seen */
	uint64_t refused; /* calls with an older epoch */
	uint64_t calls[AGENT_VERBS];
	int drop_answers; /* carry out so many calls without an answer */
	int64_t delay_ms; /* before each answer */
	uint64_t next_reply;
	struct list_head delayed;
};

bool wk_agent_init(struct wk_agent *agent, struct kn *kn,
		   const struct wk_options *options, int port, GError **err);
void wk_agent_finish(struct wk_agent *agent);
/* The ledger as GET /ledger answers it. */
json_t *wk_agent_ledger(const struct wk_agent *agent);

#endif
