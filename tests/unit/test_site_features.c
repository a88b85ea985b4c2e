#include <stdio.h>
#include <string.h>

#include "tests/standins/site_rig.h"
#include "tests/standins/site_serving.h"
#include "tests/unit/run.h"

/*
 * Features of a platform besides jobs that run to completion: permissions for
 * each worker, waves of upkeep, long-running tasks beside best-effort tasks,
 * copies of slow tasks, and spare hosts.
 */

static struct rig rig;

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static void check_invariants(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
}

static void submit_step(const char *prefix, const char *id, const char *payload,
			const char *step)
{
	char path[64], body[512];

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	snprintf(body, sizeof(body), "{\"spec\":\"%s\",\"steps\":[{%s}]}",
		 payload, step);
	ck_assert_int_eq(rig_call(&rig, 0, "POST", path, RIG_KEY, body).status,
			 200);
}

static bool wait_done(const char *prefix, const char *id, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;
	struct rig_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	while (kn_now_us() < until_us) {
		reply = rig_call(&rig, 0, "GET", path, RIG_KEY, NULL);
		if (reply.status == 200 && strstr(reply.body, "\"done\""))
			return true;
		rig_run_ms(&rig, 50);
	}
	return false;
}

/* Permissions of the advice service. */

#define ADVISED_STEP "\"count\":4,\"cpu\":1000,\"gpu\":1,\"est_ms\":100"

/* Only the last of 70 workers is allowed. */
START_TEST(step_runs_where_it_is_allowed)
{
	struct site_worker *worker;

	rig_start(&rig, 2, 70, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->allowed = worker->node.next == &rig.fleet->workers;
	submit_step(RIG_ADVISED_PREFIX, JOB_A, "ms=100 advised=1",
		    ADVISED_STEP);
	ck_assert(wait_done(RIG_ADVISED_PREFIX, JOB_A, 5000));
	ck_assert_uint_eq(rig.fleet->starts, 4);
	ck_assert_uint_eq(rig.fleet->ticket_refusals, 0);
	ck_assert_uint_le(rig.advice->largest, 30);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * The jobs need more room than the allowed workers have, so tickets expire
 * while jobs wait in the queue.
 */
START_TEST(tickets_are_renewed_for_waiting_jobs)
{
	struct site_worker *worker;
	char id[32];
	int allowed = 0, i;

	rig_start(&rig, 2, 6, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->allowed = allowed++ < 2;
	for (i = 0; i < 9; i++) {
		snprintf(id, sizeof(id), "%016x", 0x100 + i);
		submit_step(RIG_ADVISED_PREFIX, id, "ms=1300 advised=1 gpus=4",
			    "\"count\":2,\"gpu\":4,\"est_ms\":1300");
	}
	rig_run_ms(&rig, 1000);
	site_store_lapse(rig.store, "chivebank/leader");
	for (i = 0; i < 9; i++) {
		snprintf(id, sizeof(id), "%016x", 0x100 + i);
		ck_assert(wait_done(RIG_ADVISED_PREFIX, id, 15000));
	}
	ck_assert_uint_eq(rig.fleet->ticket_refusals, 0);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* Waves of upkeep. */

/* A wave of all hosts from the first one on. */
static void order_wave_from(int number, guint first, int within_s, int cap)
{
	GString *text = g_string_new(NULL);
	char key[32];
	guint i;

	g_string_printf(text, "{\"wave\":%d,\"machines\":[", number);
	for (i = first; i < rig.machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(rig.machines->machines, i);

		g_string_append_printf(text, "%s\"%s\"", i > first ? "," : "",
				       machine->name);
	}
	g_string_append_printf(text, "],\"within_s\":%d,\"cap\":%d}", within_s,
			       cap);
	snprintf(key, sizeof(key), "op/wave/%d", number);
	site_store_put(rig.store, key, text->str);
	g_string_free(text, TRUE);
}

static void order_wave(int within_s, int cap)
{
	order_wave_from(1, 0, within_s, cap);
}

static const char *status_of_wave(int number)
{
	const struct site_item *item;
	char key[32];

	snprintf(key, sizeof(key), "status/wave/%d", number);
	item = site_store_get(rig.store, key);
	return item ? item->value : "";
}

static const char *wave_status(void)
{
	return status_of_wave(1);
}

static bool wait_wave_done(int number, int64_t timeout_ms)
{
	int64_t until_us = kn_now_us() + timeout_ms * USEC_PER_MSEC;

	while (kn_now_us() < until_us &&
	       !strstr(status_of_wave(number), "done"))
		rig_run_ms(&rig, 20);
	return strstr(status_of_wave(number), "done") != NULL;
}

static bool wait_wave(int64_t timeout_ms)
{
	return wait_wave_done(1, timeout_ms);
}

/* Each host was taken down exactly once, at most cap of them at a time. */
static void check_wave(int cap)
{
	guint i;

	for (i = 0; i < rig.machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(rig.machines->machines, i);

		ck_assert_int_eq(machine->begun, 1);
		ck_assert_int_eq(machine->up_us, 0);
	}
	ck_assert_int_le(rig.machines->most_down, cap);
}

START_TEST(wave_is_carried_out_under_load)
{
	char id[32];
	int i;

	rig_start(&rig, 2, 5, 1);
	for (i = 0; i < 4; i++) {
		snprintf(id, sizeof(id), "%016x", 0x200 + i);
		submit_step(RIG_PREFIX, id, "ms=500",
			    "\"count\":6,\"gpu\":1,\"est_ms\":500");
	}
	order_wave(20, 2);
	rig_run_ms(&rig, 1000);
	ck_assert_ptr_nonnull(strstr(wave_status(), "running"));
	ck_assert(wait_wave(20000));
	check_wave(2);
	for (i = 0; i < 4; i++) {
		snprintf(id, sizeof(id), "%016x", 0x200 + i);
		ck_assert(wait_done(RIG_PREFIX, id, 5000));
	}
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/*
 * Guards against a wave that is said to be running for good: a write that got no
 * answer is carried out after the one that says that the wave is done.
 */
START_TEST(late_write_of_a_status_overwrites_none)
{
	rig_start(&rig, 1, 1, 1);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_LATE, 100, 0);
	order_wave(20, 1);
	rig_run_ms(&rig, 300);
	site_store_fault(rig.store, rig.hosts[0].door, SITE_WELL, 0, 0);
	ck_assert(wait_wave(5000));
	/* Late writes come after 700 ms. */
	rig_run_ms(&rig, 1500);
	ck_assert_ptr_nonnull(strstr(wave_status(), "done"));
	rig_stop(&rig);
}
END_TEST

START_TEST(wave_continues_after_leader_changes)
{
	int i;

	rig_start(&rig, 3, 6, 1);
	order_wave(30, 1);
	for (i = 0; i < 3; i++) {
		rig_run_ms(&rig, 1100);
		site_store_lapse(rig.store, "chivebank/leader");
	}
	ck_assert(wait_wave(30000));
	check_wave(1);
	rig_stop(&rig);
}
END_TEST

START_TEST(wave_without_answers_to_its_orders)
{
	rig_start(&rig, 1, 3, 1);
	rig.machines->fault = SITE_MACHINES_MUTE;
	order_wave(30, 1);
	ck_assert(wait_wave(30000));
	check_wave(1);
	rig_stop(&rig);
}
END_TEST

/* Guards against a wave that is said to be done without a host that has joined
 * since the list of hosts was read, for an earlier wave. */
START_TEST(wave_includes_a_host_that_has_joined)
{
	struct site_machine *last;

	rig_start(&rig, 2, 3, 1);
	order_wave(20, 1);
	ck_assert(wait_wave(20000));
	site_machines_add(rig.machines,
			  site_fleet_add(rig.fleet, "rack-9", 8, 0));
	rig_run_ms(&rig, 1000);
	order_wave_from(2, 2, 20, 1);
	ck_assert(wait_wave_done(2, 20000));
	last = g_ptr_array_index(rig.machines->machines, 3);
	ck_assert_int_eq(last->begun, 1);
	ck_assert_int_eq(last->wave, 2);
	rig_stop(&rig);
}
END_TEST

/* Long-running tasks. */

#define SERVING_STEP                                                 \
	"\"count\":2,\"cpu\":60000,\"gpu\":1,\"long_running\":true," \
	"\"target_ms\":100,\"may_miss\":1,\"max_per_server\":1"

static struct site_run *find_run(bool lasting)
{
	struct site_worker *worker;
	struct site_run *run;

	list_for_each_entry(worker, &rig.fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node)
			if (run->lasting == lasting)
				return run;
	return NULL;
}

/*
 * Best-effort tasks are slowed down before the serving tasks exceed their
 * latency target, and still finish.
 */
START_TEST(best_effort_tasks_slow_down_for_serving_tasks)
{
	struct site_run *run;

	rig_start(&rig, 1, 2, 1);
	submit_step(RIG_PREFIX, JOB_A, "ms=200 lasting=1 target=100",
		    SERVING_STEP);
	rig_run_ms(&rig, 700);
	submit_step(RIG_PREFIX, JOB_B, "ms=1500 fills=1",
		    "\"count\":2,\"cpu\":90000,\"gpu\":1,\"est_ms\":1500,"
		    "\"fills\":true");
	rig_run_ms(&rig, 200);
	ck_assert_ptr_nonnull(find_run(true));
	ck_assert(wait_done(RIG_PREFIX, JOB_B, 20000));
	run = find_run(true);
	ck_assert_ptr_nonnull(run);
	ck_assert_int_le(site_serving_tail(run), 100);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* The platform's rules allow this time until a lost long-running task runs
 * again. */
#define RESTART_LIMIT_MS 6000

/* A long-running task is restarted elsewhere after its worker has crashed. */
START_TEST(long_running_task_moves_from_a_crashed_worker)
{
	int64_t until_us;

	rig_start(&rig, 2, 3, 1);
	submit_step(RIG_PREFIX, JOB_A, "ms=200 lasting=1 target=100",
		    SERVING_STEP);
	rig_run_ms(&rig, 700);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 2);
	site_worker_crash(find_run(true)->worker);
	until_us = kn_now_us() + RESTART_LIMIT_MS * USEC_PER_MSEC;
	while (kn_now_us() < until_us && site_fleet_running(rig.fleet) < 2)
		rig_run_ms(&rig, 20);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 2);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* Speculative copies. */

#define COPIED_STEP "\"count\":4,\"gpu\":1,\"est_ms\":400,\"speculative\":true"

/* Without copies the job would take 20 times as long. */
START_TEST(copies_finish_a_job_despite_a_slow_worker)
{
	struct site_worker *worker;

	rig_start(&rig, 2, 2, 1);
	worker =
		list_first_entry(&rig.fleet->workers, struct site_worker, node);
	worker->pace = 0.05;
	worker = list_entry(worker->node.next, struct site_worker, node);
	worker->pace = 0.05;
	submit_step(RIG_PREFIX, JOB_A, "ms=400 copies=1", COPIED_STEP);
	rig_run_ms(&rig, 200);
	/* All tasks run on one worker; the other one gets its full speed. */
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (list_empty(&worker->runs))
			worker->pace = 1.0;
	ck_assert(wait_done(RIG_PREFIX, JOB_A, 6000));
	rig_run_ms(&rig, 1500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 0);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* After a change of leader both runs of each task are still known. */
START_TEST(copies_survive_a_takeover)
{
	struct site_worker *worker;

	rig_start(&rig, 2, 2, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		worker->pace = 0.1;
	submit_step(RIG_PREFIX, JOB_A, "ms=400 copies=1", COPIED_STEP);
	/* After 2.5 s the slow runs have copies. */
	rig_run_ms(&rig, 2500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 8);
	site_store_lapse(rig.store, "chivebank/leader");
	ck_assert(wait_done(RIG_PREFIX, JOB_A, 8000));
	rig_run_ms(&rig, 1500);
	ck_assert_int_eq(site_fleet_running(rig.fleet), 0);
	ck_assert_uint_eq(rig.fleet->starts, 8);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

/* Spare hosts. */

static int hosts_lent(void)
{
	int lent = 0;
	guint i;

	for (i = 0; i < rig.machines->machines->len; i++) {
		const struct site_machine *machine =
			g_ptr_array_index(rig.machines->machines, i);

		lent += machine->moves;
	}
	return lent;
}

/* For several seconds there is three times more work than the pool has room. */
START_TEST(spare_hosts_are_lent_to_a_full_pool)
{
	struct site_worker *worker;
	char id[32];
	int count = 0, i;

	rig_start(&rig, 2, 4, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (count++ >= 1)
			site_machines_spare(rig.machines, worker);
	rig_run_ms(&rig, 1500);
	for (i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "%016x", 0x300 + i);
		submit_step(RIG_PREFIX, id, "ms=1500",
			    "\"count\":8,\"gpu\":1,\"est_ms\":1500");
	}
	for (i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "%016x", 0x300 + i);
		/* A single worker would take 9 s. */
		ck_assert(wait_done(RIG_PREFIX, id, i == 0 ? 6500 : 3000));
	}
	ck_assert_int_ge(hosts_lent(), 2);
	ck_assert_int_le(hosts_lent(), 3);
	check_invariants();
	rig_stop(&rig);
}
END_TEST

START_TEST(spare_hosts_are_not_lent_while_there_is_room)
{
	struct site_worker *worker;
	int count = 0;

	rig_start(&rig, 1, 2, 1);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (count++ >= 1)
			site_machines_spare(rig.machines, worker);
	rig_run_ms(&rig, 1500);
	submit_step(RIG_PREFIX, JOB_A, "ms=500",
		    "\"count\":8,\"gpu\":1,\"est_ms\":500");
	ck_assert(wait_done(RIG_PREFIX, JOB_A, 4000));
	ck_assert_int_eq(hosts_lent(), 0);
	ck_assert_uint_eq(rig.machines->lists, 0);
	rig_stop(&rig);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("site_features");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, step_runs_where_it_is_allowed);
	tcase_add_test(tc, tickets_are_renewed_for_waiting_jobs);
	tcase_add_test(tc, wave_is_carried_out_under_load);
	tcase_add_test(tc, late_write_of_a_status_overwrites_none);
	tcase_add_test(tc, wave_continues_after_leader_changes);
	tcase_add_test(tc, wave_without_answers_to_its_orders);
	tcase_add_test(tc, wave_includes_a_host_that_has_joined);
	tcase_add_test(tc, best_effort_tasks_slow_down_for_serving_tasks);
	tcase_add_test(tc, long_running_task_moves_from_a_crashed_worker);
	tcase_add_test(tc, copies_finish_a_job_despite_a_slow_worker);
	tcase_add_test(tc, copies_survive_a_takeover);
	tcase_add_test(tc, spare_hosts_are_lent_to_a_full_pool);
	tcase_add_test(tc, spare_hosts_are_not_lent_while_there_is_room);
	return run_case("site_features", tc);
}
