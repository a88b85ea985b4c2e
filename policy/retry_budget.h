#ifndef POLICY_RETRY_BUDGET_H
#define POLICY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits retries to a share of recent requests plus a fixed rate. Amounts
 * are in thousandths of a retry.
 */
struct retry_budget {
	int64_t fixed_milli; /* what remains of the fixed rate */
	int64_t share_milli; /* what remains of the share of requests */
	int64_t refilled_us;
	int64_t decayed_us;
};

void retry_budget_init(struct retry_budget *budget, int64_t now_us);
void retry_budget_request(struct retry_budget *budget, int64_t now_us);
bool retry_budget_retry(struct retry_budget *budget, int64_t now_us);

#endif
