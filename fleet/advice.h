#ifndef FLEET_ADVICE_H
#define FLEET_ADVICE_H

#include "fleet/fleet.h"

/*
 * Permissions from the advice service: in some queues a step may run only on
 * workers that the service grants. Each grant has a ticket for the step, which
 * is sent with the start order.
 */

/* Workers in one question. The platform allows 100, but it reckons with one
 * question about 30 in the time of a job, and each worker makes the answer
 * take longer. */
#define ADVICE_WORKERS_MAX 30

/* A ticket with less time left is not used, since its start order may have to
 * be repeated. */
#define ADVICE_TICKET_MARGIN_MS 700

/*
 * Returns the stage to ask about next and adds the workers to ask about as
 * borrowed pointers, or returns NULL.
 */
struct stage *advice_next_question(struct fleet *fleet, int64_t now_us,
				   GPtrArray *workers);
/* A question was sent, with the workers that advice_next_question returned. */
void advice_asked(struct stage *stage, const GPtrArray *workers,
		  int64_t now_us);
/*
 * The service granted a worker. sent_us is when the question was sent; valid_ms
 * counts from then on.
 */
void advice_granted(struct stage *stage, const char *worker, const char *ticket,
		    int64_t sent_us, int64_t valid_ms);
/*
 * The question is finished; to be called after its grants. If there was an
 * answer (known), the other workers in the question count as denied, else they
 * may be asked about again.
 */
void advice_answered(struct stage *stage, bool known);
/* Returns the valid ticket for a start on the worker, or NULL. */
const char *advice_ticket(const struct stage *stage,
			  const struct worker *worker, int64_t now_us);
void advice_free(struct stage *stage);

#endif
