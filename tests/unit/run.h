#ifndef UNIT_RUN_H
#define UNIT_RUN_H

#include <check.h>
#include <stdlib.h>

/* Runs a suite of one test case; returns the exit status of the program. */
static inline int run_case(const char *suite_name, TCase *tc)
{
	Suite *suite = suite_create(suite_name);
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
