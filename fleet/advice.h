#ifndef FLEET_ADVICE_H
#define FLEET_ADVICE_H

#include "fleet/fleet.h"

/*
 * Permissions of the advice service: on some queues a step may run only at
 * workers that it grants. Granted workers come with a ticket for the step.
 */

#define ADVICE_WORKERS_MAX 100 /* in one question, by the platform's contract */

/* A ticket with less time left is not used: its start may be repeated. */
#define ADVICE_SPARE_MS 700

/*
 * The step whose question is most urgent, with the workers to ask about, as
 * borrowed pointers; NULL when there is nothing to ask.
 */
struct stage *advice_wanted(struct fleet *fleet, int64_t now_us,
			    GPtrArray *workers);
void advice_asked(struct stage *stage, int64_t now_us);
/* sent_us: when the question was sent; the ticket's time counts from there. */
void advice_granted(struct stage *stage, const char *worker, const char *ticket,
		    int64_t sent_us, int64_t valid_ms);
/* The ticket to start at a worker, NULL: none, or none that is valid. */
const char *advice_ticket(const struct stage *stage,
			  const struct worker *worker, int64_t now_us);
void advice_finish(struct stage *stage);

#endif
