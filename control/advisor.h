#ifndef CONTROL_ADVISOR_H
#define CONTROL_ADVISOR_H

#include "control/advice_client.h"
#include "fleet/advice.h"

/*
 * Requests grants of workers from the advice service while this host leads, for
 * one step at a time.
 */
struct advisor {
	struct advice_client *client; /* NULL: no such service */
	struct fleet *fleet; /* NULL while this host does not lead */
	void (*changed)(void *user); /* tickets have been granted */
	void *user;
	struct advice_call call;
	bool call_pending;
	int64_t sent_us;
	struct task_ref step; /* of the pending request; index is unused */
	struct ctr requests;
	struct ctr answer_ms;
};

void advisor_init(struct advisor *advisor, struct advice_client *client,
		  struct ctr_set *counters, void (*changed)(void *user),
		  void *user);
void advisor_finish(struct advisor *advisor);
void advisor_open(struct advisor *advisor, struct fleet *fleet);
void advisor_close(struct advisor *advisor);
/* Sends a request for the most urgent step unless one is pending. */
void advisor_run(struct advisor *advisor, int64_t now_us);

#endif
