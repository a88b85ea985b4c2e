#include "policy/retry_budget.h"

#include "base/limits.h"

#define ONE_RETRY_MILLI 1000

/* Refills the fixed part in whole thousandths, up to that of one second. */
static void refill(struct retry_budget *budget, int64_t now_us)
{
	const int64_t full = RETRY_BUDGET_MIN_PER_SEC * ONE_RETRY_MILLI;
	const int64_t step_us = USEC_PER_SEC / full;
	int64_t steps = (now_us - budget->refilled_us) / step_us;

	budget->fixed_milli += steps < full ? steps : full;
	if (budget->fixed_milli > full)
		budget->fixed_milli = full;
	budget->refilled_us += steps * step_us;
}

/*
 * Decays the share exponentially with a half-life of RETRY_WINDOW_MS, so
 * that the requests of a past load peak don't permit retries later. Each
 * step subtracts 1/64, and there are 45 steps (64 ln 2) in a half-life;
 * smaller steps would be lost to rounding.
 */
static void decay(struct retry_budget *budget, int64_t now_us)
{
	const int64_t step_us = RETRY_WINDOW_MS * USEC_PER_MSEC / 45;
	int64_t steps = (now_us - budget->decayed_us) / step_us;

	budget->decayed_us += steps * step_us;
	if (steps > 1024)
		budget->share_milli = 0;
	for (; steps > 0 && budget->share_milli > 0; steps--)
		budget->share_milli -= (budget->share_milli + 63) / 64;
}

static void update(struct retry_budget *budget, int64_t now_us)
{
	refill(budget, now_us);
	decay(budget, now_us);
}

/* Initializes the budget with the fixed part of one second. */
void retry_budget_init(struct retry_budget *budget, int64_t now_us)
{
	budget->fixed_milli = RETRY_BUDGET_MIN_PER_SEC * ONE_RETRY_MILLI;
	budget->share_milli = 0;
	budget->refilled_us = now_us;
	budget->decayed_us = now_us;
}

/* Adds the share of a request that is not a retry. */
void retry_budget_request(struct retry_budget *budget, int64_t now_us)
{
	update(budget, now_us);
	budget->share_milli += RETRY_BUDGET_PERCENT * ONE_RETRY_MILLI / 100;
}

/* Takes one retry from the budget; returns false when it is exhausted. */
bool retry_budget_retry(struct retry_budget *budget, int64_t now_us)
{
	update(budget, now_us);
	if (budget->share_milli >= ONE_RETRY_MILLI) {
		budget->share_milli -= ONE_RETRY_MILLI;
		return true;
	}
	if (budget->fixed_milli >= ONE_RETRY_MILLI) {
		budget->fixed_milli -= ONE_RETRY_MILLI;
		return true;
	}
	return false;
}
