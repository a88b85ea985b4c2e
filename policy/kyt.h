#ifndef POLICY_KYT_H
#define POLICY_KYT_H

#include "policy/ky.h"

/* Tickets of this incarnation, one bit each; used by ky.c. */

enum kyt_state { KYT_NEVER_MINTED, KYT_EXPIRED, KYT_FRESH, KYT_USED };

void kyt_init(struct ky *ky);
void kyt_finish(struct ky *ky);
enum kyt_state kyt_state(const struct ky *ky, uint64_t seq);
void kyt_mark(struct ky *ky, uint64_t seq, bool used);
void kyt_expire(struct ky *ky, int64_t now_us);

#endif
