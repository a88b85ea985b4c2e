#ifndef POLICY_IDEM_TICKET_H
#define POLICY_IDEM_TICKET_H

#include "policy/idem.h"

/* Tickets issued by this incarnation, with a used bit each; used by idem.c. */

enum idem_ticket_state {
	IDEM_TICKET_NEVER_ISSUED,
	IDEM_TICKET_EXPIRED,
	IDEM_TICKET_FRESH,
	IDEM_TICKET_USED
};

void idem_ticket_init(struct idem *idem);
void idem_ticket_finish(struct idem *idem);
enum idem_ticket_state idem_ticket_state(const struct idem *idem, uint64_t seq);
void idem_ticket_mark(struct idem *idem, uint64_t seq, bool used);
void idem_ticket_expire(struct idem *idem, int64_t now_us);

#endif
