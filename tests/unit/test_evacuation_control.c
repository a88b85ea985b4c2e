#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "control/configuration.h"
#include "control/orders.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/*
 * The set of evacuated data centres, read from a store whose answers the test
 * gives, and the orders that a leader sends, to workers that never answer.
 */

#define EVAC_MS 2000
#define DC_KEY(dc) ("op/evacuate/" dc)

static struct kn kn;

/* The store: it keeps the call in progress for the test to answer. */

static struct kv_call *reading; /* of all keys */
static struct kv_call *polling;
static int64_t poll_wait_ms;

static void store_range(struct kv *kv, struct kv_call *call, const char *key,
			bool prefix)
{
	reading = call;
}

static void store_poll(struct kv *kv, struct kv_call *call, const char *prefix,
		       int64_t after_revision, int64_t wait_ms)
{
	polling = call;
	poll_wait_ms = wait_ms;
}

static void store_cancel(struct kv *kv, struct kv_call *call)
{
	reading = reading == call ? NULL : reading;
	polling = polling == call ? NULL : polling;
}

static const struct kv_ops store_ops = {
	.range = store_range,
	.poll = store_poll,
	.cancel = store_cancel,
};

static struct kv store = { .ops = &store_ops, .kn = &kn };
static int64_t revision;

/* Answers with the configuration, and with keys up to NULL. */
static void answer(struct kv_call **pending, const char *const *keys,
		   const char *value, int result)
{
	struct kv_item items[8] = {
		{ .key = "op/config",
		  .value = "1",
		  .len = 1,
		  .mod_revision = 1 },
	};
	struct kv_call *call = *pending;
	size_t n = 1;

	ck_assert_ptr_nonnull(call);
	for (; keys && *keys; keys++, n++)
		items[n] = (struct kv_item){ .key = (char *)*keys,
					     .value = (char *)value,
					     .len = value ? strlen(value) : 0,
					     .mod_revision = ++revision };
	*pending = NULL;
	call->result = result;
	call->items = items;
	call->count = result == CB_OK ? n : 0;
	call->revision = revision;
	call->done(call);
}

#define READ_ALL(...)                                                      \
	answer(&reading, (const char *const[]){ __VA_ARGS__, NULL }, "{}", \
	       CB_OK)
#define EVENT(value, ...)                                                   \
	answer(&polling, (const char *const[]){ __VA_ARGS__, NULL }, value, \
	       CB_OK)

/* The configuration. */

static struct config *read_config(const char *value, size_t len)
{
	struct config *config = config_new();

	config->version = 1;
	return config;
}

static bool read_evacuation(const char *value, size_t len)
{
	return len >= 2 && value[0] == '{';
}

static const struct platform_adapter adapter = {
	.kv = &store,
	.operator_prefix = "op/",
	.config_key = "op/config",
	.evacuations_prefix = "op/evacuate/",
	.read_config = read_config,
	.read_evacuation = read_evacuation,
};

static struct site site;
static struct configuration configuration;
static char changes[256];
static int ignored;

static void on_evacuation(struct configuration *self, const char *dc,
			  bool evacuated)
{
	size_t len = strlen(changes);

	snprintf(changes + len, sizeof(changes) - len, "%s%s;",
		 evacuated ? "+" : "-", dc);
}

static void on_operator_key(struct configuration *self,
			    const struct kv_item *item)
{
	ignored++;
}

/* Checks what has changed since the check before. */
static void ck_changes(const char *expected)
{
	ck_assert_str_eq(changes, expected);
	changes[0] = '\0';
}

static void start_configuration(int64_t evac_ms)
{
	site = (struct site){ .config_ms = 3000, .dc_count = 3 };
	strcpy(site.dcs[0].name, "d1");
	strcpy(site.dcs[1].name, "d2");
	strcpy(site.dcs[2].name, "d3");
	site.bounds.evac_ms = evac_ms;
	revision = 1;
	changes[0] = '\0';
	ignored = 0;
	ck_assert(kn_init(&kn, NULL));
	configuration_init(&configuration, &adapter, &site);
	configuration.evacuation_changed = on_evacuation;
	configuration.operator_key = on_operator_key;
	configuration_start(&configuration);
}

static void set_up(void)
{
	start_configuration(EVAC_MS);
}

static void tear_down(void)
{
	configuration_finish(&configuration);
	kn_finish(&kn);
}

static void on_wake(struct kn_timer *timer)
{
}

static void run_ms(int64_t ms)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;
	struct kn_timer timer = { 0 };

	while (kn_now_us() < until_us) {
		kn_timer_set(&kn, &timer, MAX(until_us - kn_now_us(), 0),
			     on_wake);
		kn_turn(&kn);
		kn_timer_cancel(&timer);
	}
}

START_TEST(requests_begin_and_end)
{
	ck_assert(!configuration_allows_starts(&configuration));
	READ_ALL(DC_KEY("d2"));
	ck_changes("+d2;");
	ck_assert(configuration_allows_starts(&configuration));
	EVENT("{}", DC_KEY("d1"), DC_KEY("d3"));
	ck_changes("+d1;+d3;");
	ck_assert_uint_eq(configuration.evacuated.value, 3);
	EVENT(NULL, DC_KEY("d1"));
	ck_changes("-d1;");
	/* Taken back and requested again, in one answer or seen as one write. */
	answer(&polling,
	       (const char *const[]){ DC_KEY("d2"), DC_KEY("d2"), NULL }, NULL,
	       CB_OK);
	EVENT("{}", DC_KEY("d2"));
	EVENT("{}", DC_KEY("d2"));
	ck_changes("-d2;+d2;");
	ck_assert_uint_eq(configuration.evacuated.value, 2);
	ck_assert_int_eq(ignored, 0);
}
END_TEST

/* The key was removed, and another written, while the watch was lost. */
START_TEST(lost_watch_is_made_up_for)
{
	READ_ALL(DC_KEY("d1"), DC_KEY("d2"));
	ck_changes("+d1;+d2;");
	answer(&polling, NULL, NULL, CB_E_TIMEOUT);
	run_ms(100);
	READ_ALL(DC_KEY("d2"), DC_KEY("d3"));
	ck_changes("-d1;+d3;");
	answer(&polling, NULL, NULL, CB_E_HISTORY_GONE);
	READ_ALL(DC_KEY("d1"));
	ck_assert_uint_eq(configuration.evacuated.value, 1);
	ck_assert(evacuation_end(&configuration.evacuation, "d1"));
}
END_TEST

static int count_lines(const char *path, const char *word)
{
	char *text = NULL, *at;
	int count = 0;

	log_flush();
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	for (at = text; (at = strstr(at, word)); at++)
		count++;
	g_free(text);
	return count;
}

/*
 * Guards against a crash, a request that ends through such a key, and more than
 * one line about each.
 */
START_TEST(odd_requests_are_ignored)
{
	static const char *const odd[] = {
		DC_KEY(""),	DC_KEY("d1/x"), DC_KEY("d"),
		DC_KEY("d1 "),	DC_KEY("D1"),	DC_KEY("\n\x01\xff%s%n"),
		DC_KEY("d1\n"),
	};
	char *text = g_strnfill(5000, 'x');
	char *key = g_strconcat(DC_KEY(""), text, NULL);
	char path[] = "/tmp/chivebank-odd-requests-XXXXXX";
	int fd = g_mkstemp(path);
	size_t i;

	log_collect(fd);

	READ_ALL(DC_KEY("d1"));
	ck_changes("+d1;");
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		EVENT("{}", odd[i]);
	EVENT("{}", key);
	EVENT(text, DC_KEY("d1"));
	EVENT("", DC_KEY("d2"));
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		EVENT(NULL, odd[i]);
	ck_changes("");
	ck_assert_int_eq(ignored, 0);
	ck_assert_int_eq(count_lines(path, "level=warning"),
			 G_N_ELEMENTS(odd) + 3);
	ck_assert_int_eq(count_lines(path, "evacuation.unknown_dc"),
			 G_N_ELEMENTS(odd) + 1);
	ck_assert_int_eq(count_lines(path, "\n"), G_N_ELEMENTS(odd) + 5);
	EVENT("{}", DC_KEY("d2"));
	EVENT(NULL, DC_KEY("d1"));
	ck_changes("+d2;-d1;");
	unlink(path);
	g_free(key);
	g_free(text);
}
END_TEST

/* The lease may be renewed while reads are not answered. */
START_TEST(old_copy_allows_no_starts)
{
	READ_ALL(DC_KEY("d1"));
	ck_assert_int_le(poll_wait_ms, EVAC_MS / 4);
	run_ms(EVAC_MS / 2 - 200);
	ck_assert(configuration_allows_starts(&configuration));
	run_ms(300);
	ck_assert(!configuration_allows_starts(&configuration));
	answer(&polling, NULL, NULL, CB_E_TIMEOUT);
	run_ms(100);
	ck_assert(!configuration_allows_starts(&configuration));
	READ_ALL(DC_KEY("d1"));
	ck_assert(configuration_allows_starts(&configuration));
}
END_TEST

/*
 * The answer on which it acts after the pause was made before it, so that the
 * keys have to be read again.
 */
START_TEST(paused_host_starts_nothing_until_keys_are_read)
{
	READ_ALL(DC_KEY("d1"));
	ck_assert(configuration_allows_starts(&configuration));
	g_usleep(1050 * 1000);
	EVENT("{}", DC_KEY("d3"));
	ck_assert(!configuration_allows_starts(&configuration));
	ck_assert_ptr_null(polling);
	READ_ALL(DC_KEY("d2"));
	ck_assert(configuration_allows_starts(&configuration));
	ck_changes("+d1;+d3;-d1;-d3;+d2;");
}
END_TEST

/* Requests that were read before the settings changed count then. */
START_TEST(bound_may_change)
{
	tear_down();
	start_configuration(0);
	ck_assert(configuration_allows_starts(&configuration));
	READ_ALL(DC_KEY("d1"), DC_KEY("x"));
	ck_assert_int_eq(poll_wait_ms, 1000);
	ck_assert_int_eq(ignored, 2);
	ck_changes("");
	site.bounds.evac_ms = EVAC_MS;
	configuration_apply_site(&configuration);
	configuration_apply_site(&configuration);
	ck_changes("+d1;");
	ck_assert_uint_eq(configuration.evacuated.value, 1);
	site.bounds.evac_ms = 0;
	configuration_apply_site(&configuration);
	ck_changes("-d1;");
	ck_assert_uint_eq(configuration.evacuated.value, 0);
	EVENT(NULL, DC_KEY("d1"));
	ck_changes("");
}
END_TEST

/* Orders. */

static int sent[4]; /* by enum order_kind */
static struct order_call *starting;
static bool may_start;

static void client_start(struct worker_client *client, struct order_call *call,
			 const struct order *order)
{
	sent[order->kind]++;
	if (order->kind == ORDER_START)
		starting = call;
}

static void client_cancel(struct worker_client *client, struct order_call *call)
{
}

static void client_finish(struct worker_client *client)
{
}

static const struct worker_client_ops client_ops = {
	.start = client_start,
	.cancel = client_cancel,
	.finish = client_finish,
};

static struct worker_client client = { .ops = &client_ops, .kn = &kn };

static void on_changed(struct orders *orders)
{
}

static bool on_may_send(struct orders *orders)
{
	return true;
}

static bool on_may_start(struct orders *orders)
{
	return may_start;
}

static const struct orders_ops orders_ops = {
	.changed = on_changed,
	.may_send = on_may_send,
	.may_start = on_may_start,
};

static struct orders orders;
static struct fleet fleet;
static struct config *config;
static struct task *task;

/* A task is planned at a worker in d1, and its record is stored. */
static void open_orders(void)
{
	struct job *job;

	ck_assert(kn_init(&kn, NULL));
	make_fleet(&fleet, &config);
	fleet.bounds.evac_ms = EVAC_MS;
	evacuation_init(&configuration.evacuation);
	fleet.evacuation = &configuration.evacuation;
	orders_init(&orders, &kn, &client, &orders_ops);
	orders_open(&orders, &fleet, 7);
	may_start = true;
	memset(sent, 0, sizeof(sent));
	make_worker(&fleet, "w1", "r1", 8, kn_now_us());
	job = make_job(&fleet, "j", 1, 1, 1, 1000, kn_now_us());
	fleet_open_due(&fleet, kn_now_us(), 0);
	task = first_occurrence_task(job, 0, 0);
	ck_assert_int_eq(plan_pass(&fleet, kn_now_us()), 1);
	mark_changes_stored(&fleet);
}

static void close_orders(void)
{
	orders_finish(&orders);
	free_fleet(&fleet, config);
	evacuation_finish(&configuration.evacuation);
	kn_finish(&kn);
}

static void request(void)
{
	evacuation_begin(&configuration.evacuation, "d1", kn_now_us());
}

static void answer_start(enum order_result result)
{
	ck_assert_ptr_nonnull(starting);
	starting->result = result;
	starting->done(starting);
	starting = NULL;
}

/* The request was read after the pass that planned the run. */
START_TEST(planned_run_is_not_sent)
{
	open_orders();
	request();
	orders_run(&orders, kn_now_us());
	ck_assert_int_eq(sent[ORDER_START], 0);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	close_orders();
}
END_TEST

/* Guards against a start on a copy of the keys that may be out of date. */
START_TEST(start_waits_for_the_configuration)
{
	open_orders();
	may_start = false;
	orders_run(&orders, kn_now_us());
	ck_assert_int_eq(sent[ORDER_START], 0);
	ck_assert_int_eq(task->phase, TASK_PLANNED);
	may_start = true;
	orders_run(&orders, kn_now_us());
	ck_assert_int_eq(sent[ORDER_START], 1);
	/* The same goes for its repetition. */
	answer_start(ORDER_UNKNOWN);
	may_start = false;
	orders_run(&orders, kn_now_us() + 1000000);
	ck_assert_int_eq(sent[ORDER_START], 1);
	may_start = true;
	orders_run(&orders, kn_now_us() + 1000000);
	ck_assert_int_eq(sent[ORDER_START], 2);
	close_orders();
}
END_TEST

/* Guards against a start that is repeated until after the bound. */
START_TEST(start_without_an_answer_becomes_a_stop)
{
	int64_t quarter_us = EVAC_MS * USEC_PER_MSEC / 4;
	int64_t now_us;

	open_orders();
	orders_run(&orders, kn_now_us());
	request();
	answer_start(ORDER_UNKNOWN);
	now_us = kn_now_us();
	/* Nothing but a report tells of it. */
	orders_run(&orders, now_us + quarter_us - 100000);
	ck_assert_int_eq(sent[ORDER_START], 1);
	ck_assert_int_ge(sent[ORDER_HOLD], 1);
	ck_assert_int_eq(sent[ORDER_STOP], 0);
	orders_run(&orders, now_us + quarter_us);
	orders_run(&orders, now_us + quarter_us);
	ck_assert_int_eq(sent[ORDER_START], 1);
	ck_assert_int_eq(sent[ORDER_STOP], 1);
	close_orders();
}
END_TEST

/* Taken back in time, the start goes on. */
START_TEST(start_is_repeated_when_the_request_is_gone)
{
	int64_t now_us;

	open_orders();
	orders_run(&orders, kn_now_us());
	request();
	answer_start(ORDER_UNKNOWN);
	now_us = kn_now_us() + 200000;
	orders_run(&orders, now_us);
	ck_assert_int_eq(sent[ORDER_START], 1);
	evacuation_end(&configuration.evacuation, "d1");
	orders_run(&orders, now_us);
	ck_assert_int_eq(sent[ORDER_START], 2);
	close_orders();
}
END_TEST

/* No connection was made: the run needs neither a stop nor a lease. */
START_TEST(start_that_was_not_sent_is_released)
{
	open_orders();
	orders_run(&orders, kn_now_us());
	request();
	answer_start(ORDER_NOT_SENT);
	orders_run(&orders, kn_now_us());
	orders_run(&orders, kn_now_us());
	ck_assert_int_eq(sent[ORDER_START], 1);
	ck_assert_int_eq(sent[ORDER_STOP], 0);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	close_orders();
}
END_TEST

/* A new leader has read the run from the store, and its worker is silent. */
START_TEST(adopted_run_is_not_started)
{
	struct worker *worker;
	int64_t now_us;

	open_orders();
	worker = task->worker;
	worker_unassign(task);
	fleet_adopt_run(&fleet, task, worker);
	request();
	now_us = kn_now_us();
	orders_run(&orders, now_us);
	orders_run(&orders, now_us + 2 * EVAC_MS * USEC_PER_MSEC);
	ck_assert_int_eq(sent[ORDER_START] + sent[ORDER_STOP], 0);
	ck_assert_int_ge(sent[ORDER_HOLD], 1);
	ck_assert_int_eq(task->phase, TASK_STARTING);
	close_orders();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("configuration");
	TCase *orders_tc = tcase_create("orders");
	Suite *suite = suite_create("evacuation_control");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, requests_begin_and_end);
	tcase_add_test(tc, lost_watch_is_made_up_for);
	tcase_add_test(tc, odd_requests_are_ignored);
	tcase_add_test(tc, old_copy_allows_no_starts);
	tcase_add_test(tc, paused_host_starts_nothing_until_keys_are_read);
	tcase_add_test(tc, bound_may_change);
	tcase_add_test(orders_tc, planned_run_is_not_sent);
	tcase_add_test(orders_tc, start_waits_for_the_configuration);
	tcase_add_test(orders_tc, start_without_an_answer_becomes_a_stop);
	tcase_add_test(orders_tc, start_is_repeated_when_the_request_is_gone);
	tcase_add_test(orders_tc, start_that_was_not_sent_is_released);
	tcase_add_test(orders_tc, adopted_run_is_not_started);
	suite_add_tcase(suite, tc);
	suite_add_tcase(suite, orders_tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
