#ifndef FLEET_ADVICE_H
#define FLEET_ADVICE_H

#include "fleet/fleet.h"

/*
 * Permissions of the advice service: on some queues a step may run only at
 * workers that it grants. Granted workers come with a ticket for the step.
 */

/* In one question. The platform allows 100 and counts the time of a job with
 * one question about 30; each worker adds to the time of the answer. */
#define ADVICE_WORKERS_MAX 30

/* A ticket with less time left is not used: its start may be repeated. */
#define ADVICE_TICKET_MARGIN_MS 700

/*
 * The step whose question is most urgent, with the workers to ask about, as
 * borrowed pointers; NULL when there is nothing to ask.
 */
struct stage *advice_next_question(struct fleet *fleet, int64_t now_us,
				   GPtrArray *workers);
/* workers: those in the question, as advice_next_question gave them. */
void advice_asked(struct stage *stage, const GPtrArray *workers,
		  int64_t now_us);
/* sent_us: when the question was sent; the ticket's time counts from there. */
void advice_granted(struct stage *stage, const char *worker, const char *ticket,
		    int64_t sent_us, int64_t valid_ms);
/*
 * The question is over, after its grants. With an answer (known) the other
 * workers that were asked about are denied, else nothing is known of them.
 */
void advice_answered(struct stage *stage, bool known);
/* The ticket to start at a worker, NULL: none, or none that is valid. */
const char *advice_ticket(const struct stage *stage,
			  const struct worker *worker, int64_t now_us);
void advice_free(struct stage *stage);

#endif
