#ifndef POLICY_KYT_H
#define POLICY_KYT_H

#include "policy/idem.h"

/* Tickets of this incarnation, one bit each; used by idem.c. */

enum kyt_state { KYT_NEVER_MINTED, KYT_EXPIRED, KYT_FRESH, KYT_USED };

void kyt_init(struct idem *ky);
void kyt_finish(struct idem *ky);
enum kyt_state kyt_state(const struct idem *ky, uint64_t seq);
void kyt_mark(struct idem *ky, uint64_t seq, bool used);
void kyt_expire(struct idem *ky, int64_t now_us);

#endif
