#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/ev.h"
#include "tests/unit/run.h"

/* Guards against a metrics page that scrapers can't read. */
START_TEST(metrics_print_in_text_format)
{
	struct ctr_set set;
	struct ctr ok, failed, wait;
	GString *out = g_string_new(NULL);

	ctr_set_init(&set);
	ctr_init(&ok, &set, CTR_COUNTER, "calls_total", "result=\"ok\"", "h");
	ctr_init(&failed, &set, CTR_COUNTER, "calls_total", "result=\"bad\"",
		 "h");
	ctr_init(&wait, &set, CTR_HISTOGRAM, "wait_us", NULL, "w");
	ctr_add(&ok, 3);
	ctr_observe(&wait, 0);
	ctr_observe(&wait, 5);
	ctr_print(&set, out);
	ck_assert_str_eq(out->str, "# HELP calls_total h\n"
				   "# TYPE calls_total counter\n"
				   "calls_total{result=\"ok\"} 3\n"
				   "calls_total{result=\"bad\"} 0\n"
				   "# HELP wait_us w\n"
				   "# TYPE wait_us histogram\n"
				   "wait_us_bucket{le=\"0\"} 1\n"
				   "wait_us_bucket{le=\"7\"} 2\n"
				   "wait_us_bucket{le=\"+Inf\"} 2\n"
				   "wait_us_sum{} 5\n"
				   "wait_us_count{} 2\n");
	ck_assert_uint_eq(ctr_quantile(&wait, 0.9), 7);
	g_string_free(out, TRUE);
}
END_TEST

/* Guards against a reader that misses or repeats events when the ring wraps. */
START_TEST(ring_keeps_the_newest_events)
{
	static struct ev_entry out[EV_RING_EVENTS + 8];
	size_t n, i;

	ev_init(1);
	for (i = 0; i < EV_RING_EVENTS + 100; i++)
		ev_emit("test", "i=%zu", i);
	n = ev_copy(0, out, G_N_ELEMENTS(out));
	ck_assert_uint_eq(n, EV_RING_EVENTS);
	for (i = 1; i < n; i++)
		ck_assert_uint_eq(out[i].seq, out[i - 1].seq + 1);
	ck_assert_uint_eq(out[n - 1].seq, EV_RING_EVENTS + 100);
	ck_assert_uint_eq(ev_copy(out[n - 1].seq, out, 8), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("counters");

	tcase_add_test(tc, metrics_print_in_text_format);
	tcase_add_test(tc, ring_keeps_the_newest_events);
	return run_case("ctr", tc);
}
