#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* Calls of callers at an entry host, with a simulated store. */

#define JOB_A "00000000000000aa"
#define JOB_BODY                                                              \
	"{\"spec\":\"ms=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"gpu\":1," \
	"\"est_ms\":100}]}"

static struct rig rig;

/* The store carries out each write and answers none. */
START_TEST(stop_answers_a_submission_that_the_store_does_not_answer)
{
	int64_t begun_us;
	struct rig_reply reply;

	rig_start(&rig, 1, 1, 1);
	site_store_fault(rig.store, -1, SITE_LOST, 100, 0);
	kn_drain(&rig.kn);
	begun_us = kn_now_us();
	reply = rig_call_within(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY,
				JOB_BODY, "30000");
	ck_assert_int_eq(reply.status, 504);
	ck_assert_int_lt((kn_now_us() - begun_us) / USEC_PER_MSEC,
			 rig.hosts[0].site.grace_ms);
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("intake");

	tcase_set_timeout(tc, 30);
	tcase_add_test(
		tc, stop_answers_a_submission_that_the_store_does_not_answer);
	return run_case("intake", tc);
}
