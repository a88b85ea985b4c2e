#ifndef CONTROL_ADVISOR_H
#define CONTROL_ADVISOR_H

#include "control/advice_client.h"
#include "fleet/advice.h"

/* Asks the advice service for the leader, one step at a time. */
struct advisor {
	struct advice_client *client; /* NULL: there is no such service */
	struct fleet *fleet; /* NULL while this host does not lead */
	void (*changed)(void *user); /* tickets have come */
	void *user;
	struct advice_call call;
	bool calling;
	int64_t sent_us;
	struct task_ref step; /* asked about; index is of no meaning */
	struct ctr requests;
	struct ctr answer_ms;
};

void advisor_init(struct advisor *advisor, struct advice_client *client,
		  struct ctr_set *counters, void (*changed)(void *user),
		  void *user);
void advisor_finish(struct advisor *advisor);
void advisor_open(struct advisor *advisor, struct fleet *fleet);
void advisor_close(struct advisor *advisor);
/* Asks for the most urgent step if no question is under way. */
void advisor_run(struct advisor *advisor, int64_t now_us);

#endif
