#include <check.h>
#include <stdlib.h>

#include "policy/doc.h"
#include "tests/unit/run.h"

static void put(struct doc **doc, const char *section, const char *text)
{
	struct doc_change c = { "id", section,	 json_loads(text, 0, NULL),
				0,    DOC_ADMIN, NULL };
	struct doc *next = doc_apply(*doc, &c, NULL);

	ck_assert_ptr_nonnull(next);
	json_decref(c.body);
	doc_free(*doc);
	*doc = next;
}

/* Guards against values and defaults that are wrong in the parsed view. */
START_TEST(view_holds_values_and_defaults)
{
	struct doc *doc = doc_new();
	struct doc_view *view;
	const struct doc_customer *customer;

	put(&doc, "pool/p",
	    "{\"workers\": [{\"name\": \"w\", \"addr\": \"10.0.0.1\", "
	    "\"port\": 9, \"rack\": 4, \"accelerators\": 8}]}");
	put(&doc, "customer/b", "{\"weight\": 3}");
	put(&doc, "customer/a",
	    "{\"weight\": 2, \"quota_accelerators\": 5, \"on_removal\": "
	    "\"stop\", \"guarantees\": [{\"dc\": \"p\", \"unit\": \"worker\", "
	    "\"count\": 1}]}");
	put(&doc, "service/s", "{\"class\": \"long\"}");
	view = doc_view_new(doc);
	doc_free(doc);
	ck_assert_int_eq(view->revision, 4);
	customer = doc_view_customer(view, "a");
	ck_assert_int_eq(customer->quota_accelerators, 5);
	ck_assert(customer->stop_on_removal);
	ck_assert_int_eq(customer->guarantees[0].unit, DOC_WORKER);
	ck_assert(!doc_view_customer(view, "b")->stop_on_removal);
	ck_assert_int_eq(doc_view_service(view, "s")->class_, DOC_LONG);
	ck_assert_int_eq(doc_view_service(view, "s")->deadline_ms,
			 REQ_DEADLINE_DEFAULT_MS);
	ck_assert_str_eq(doc_view_pool(view, "p")->workers[0].addr, "10.0.0.1");
	ck_assert_int_eq(doc_view_pool(view, "p")->workers[0].rack, 4);
	ck_assert_ptr_null(doc_view_pool(view, "q"));
	doc_view_unref(view);
}
END_TEST

/* Guards against a view that is freed while a reference to it is held. */
START_TEST(view_is_freed_with_last_reference)
{
	struct doc *doc = doc_new();
	struct doc_view *view;

	put(&doc, "customer/a", "{\"weight\": 1}");
	view = doc_view_new(doc);
	doc_free(doc);
	doc_view_unref(doc_view_ref(view));
	ck_assert_ptr_nonnull(doc_view_customer(view, "a"));
	doc_view_unref(view);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("view");

	tcase_add_test(tc, view_holds_values_and_defaults);
	tcase_add_test(tc, view_is_freed_with_last_reference);
	return run_case("docview", tc);
}
