#include "policy/retry_budget.h"

#include "base/limits.h"

#define ONE_RETRY_MILLI 1000

/* Refills the fixed part in whole thousandths. */
static void refill(struct retry_budget *ry, int64_t now_us)
{
	const int64_t full = RETRY_BUDGET_MIN_PER_SEC * ONE_RETRY_MILLI;
	const int64_t step_us = USEC_PER_SEC / full;
	int64_t steps = (now_us - ry->refilled_us) / step_us;

	ry->fixed_milli += steps < full ? steps : full;
	if (ry->fixed_milli > full)
		ry->fixed_milli = full;
	ry->refilled_us += steps * step_us;
}

/*
 * Shrinks the share so that requests of a past crest do not pay for
 * retries later. A step takes off 1/64 and comes 45 times (64 ln 2) in
 * RETRY_WINDOW_MS; smaller steps would be lost to rounding.
 */
static void decay(struct retry_budget *ry, int64_t now_us)
{
	const int64_t step_us = RETRY_WINDOW_MS * USEC_PER_MSEC / 45;
	int64_t steps = (now_us - ry->decayed_us) / step_us;

	ry->decayed_us += steps * step_us;
	if (steps > 1024)
		ry->share_milli = 0;
	for (; steps > 0 && ry->share_milli > 0; steps--)
		ry->share_milli -= (ry->share_milli + 63) / 64;
}

static void update(struct retry_budget *ry, int64_t now_us)
{
	refill(ry, now_us);
	decay(ry, now_us);
}

/* Starts with the fixed part of one second. */
void retry_budget_init(struct retry_budget *ry, int64_t now_us)
{
	ry->fixed_milli = RETRY_BUDGET_MIN_PER_SEC * ONE_RETRY_MILLI;
	ry->share_milli = 0;
	ry->refilled_us = now_us;
	ry->decayed_us = now_us;
}

/* Counts a request that is not itself a retry. */
void retry_budget_request(struct retry_budget *ry, int64_t now_us)
{
	update(ry, now_us);
	ry->share_milli += RETRY_BUDGET_PERCENT * ONE_RETRY_MILLI / 100;
}

/* Takes one retry out of the budget; false when it is exhausted. */
bool retry_budget_retry(struct retry_budget *ry, int64_t now_us)
{
	update(ry, now_us);
	if (ry->share_milli >= ONE_RETRY_MILLI) {
		ry->share_milli -= ONE_RETRY_MILLI;
		return true;
	}
	if (ry->fixed_milli >= ONE_RETRY_MILLI) {
		ry->fixed_milli -= ONE_RETRY_MILLI;
		return true;
	}
	return false;
}
