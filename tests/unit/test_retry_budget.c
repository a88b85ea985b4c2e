#include <check.h>
#include <stdlib.h>

#include "base/limits.h"
#include "policy/retry_budget.h"
#include "tests/unit/run.h"

static int spend(struct retry_budget *budget, int64_t now_us)
{
	int n = 0;

	while (retry_budget_retry(budget, now_us))
		n++;
	return n;
}

/* Guards against retry storms: more than 10 % of requests plus 10/s. */
START_TEST(budget_bounds_retries)
{
	int64_t now = 0;
	struct retry_budget budget;
	int i, retries = 0;

	retry_budget_init(&budget, now);
	ck_assert_int_eq(spend(&budget, now), RETRY_BUDGET_MIN_PER_SEC);
	for (i = 0; i < 100000; i++) {
		now += 1000;
		retry_budget_request(&budget, now);
		retries += retry_budget_retry(&budget, now);
	}
	ck_assert_int_le(retries, 10000 + 100 * RETRY_BUDGET_MIN_PER_SEC + 1);
	ck_assert_int_ge(retries, 10000);
}
END_TEST

/* Guards against retries that a load peak of minutes ago still permits. */
START_TEST(old_requests_stop_counting)
{
	struct retry_budget budget;
	int i;

	retry_budget_init(&budget, 0);
	for (i = 0; i < 10000; i++)
		retry_budget_request(&budget, 0);
	ck_assert_int_le(spend(&budget, 60 * USEC_PER_SEC), 15);
	ck_assert_int_eq(spend(&budget, 61 * USEC_PER_SEC),
			 RETRY_BUDGET_MIN_PER_SEC);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("budget");

	tcase_add_test(tc, budget_bounds_retries);
	tcase_add_test(tc, old_requests_stop_counting);
	return run_case("retry_budget", tc);
}
