#include <stdio.h>
#include <string.h>

#include "fleet/plan.h"
#include "fleet/upkeep.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Unit tests of upkeep waves, with the platform's host list as input. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;
static GPtrArray *machines;

static void set_up(void)
{
	make_fleet(&fleet, &config);
	machines = g_ptr_array_new_with_free_func(machine_free);
}

static void tear_down(void)
{
	g_ptr_array_unref(machines);
	free_fleet(&fleet, config);
}

static struct worker *find_worker(const char *id)
{
	return g_hash_table_lookup(fleet.workers_by_id, id);
}

static struct machine *add_machine(const char *name, const char *worker)
{
	struct machine *machine = g_new0(struct machine, 1);

	machine->name = g_strdup(name);
	machine->pool = g_strdup(MAKE_POOL);
	machine->worker = g_strdup(worker);
	machine->up = true;
	g_ptr_array_add(machines, machine);
	return machine;
}

static struct wave *make_wave(const char *names, int64_t within_ms, int cap)
{
	char **hosts = g_strsplit(names, ",", -1);
	struct wave *wave = wave_new(1, hosts, within_ms, cap, NOW);

	g_strfreev(hosts);
	return wave;
}

/* Idle hosts are taken down at once, up to cap; busy ones get no new tasks. */
START_TEST(idle_hosts_are_taken_down_first)
{
	struct worker *busy = make_worker(&fleet, "w1", "r", 1, NOW);
	struct upkeep_host *host;
	struct wave *wave;

	make_job(&fleet, "j", 1, 1, 1, 60000, NOW);
	plan_and_start_all(&fleet, NOW);
	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m1", "w1");
	add_machine("m2", "w2");
	wave = make_wave("m1,m2", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	ck_assert_int_eq(busy->upkeep, WORKER_DRAINS);
	host = upkeep_next(&fleet, wave, machines, NOW);
	ck_assert_str_eq(host->name, "m2");
	upkeep_ordered(host, 1000, NOW);
	/* It counts towards the cap until it has been seen up again. */
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW));
	wave_free(wave);
}
END_TEST

START_TEST(busy_hosts_are_drained_in_time)
{
	struct upkeep_host *host;
	struct machine *machine;
	struct wave *wave;
	struct job *job;

	make_worker(&fleet, "w1", "r", 1, NOW);
	job = make_job(&fleet, "j", 1, 1, 1, 60000, NOW);
	plan_and_start_all(&fleet, NOW);
	machine = add_machine("m1", "w1");
	wave = make_wave("m1", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + SEC));
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_RUNNING);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 16 * SEC));
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase,
			 TASK_STOPPING);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_STOPPED,
		       NOW + 16 * SEC);
	host = upkeep_next(&fleet, wave, machines, NOW + 16 * SEC);
	ck_assert_ptr_nonnull(host);
	upkeep_ordered(host, 1000, NOW + 16 * SEC);
	machine->up = false;
	machine->in_upkeep = true;
	upkeep_update(&fleet, wave, machines, NOW + 17 * SEC);
	ck_assert(!wave->done);
	machine->up = true;
	machine->in_upkeep = false;
	upkeep_update(&fleet, wave, machines, NOW + 18 * SEC);
	ck_assert(wave->done);
	wave_free(wave);
}
END_TEST

/* No host is taken down while it runs a task that must not be interrupted. */
START_TEST(wave_waits_for_tasks_within_may_miss)
{
	struct wave *wave;

	make_worker(&fleet, "w1", "r", 1, NOW);
	make_latency_job(&fleet, 1, 0, NOW);
	plan_and_start_all(&fleet, NOW);
	add_machine("m1", "w1");
	wave = make_wave("m1", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 19 * SEC));
	wave_free(wave);
}
END_TEST

/*
 * An earlier leader may have sent orders that this one does not know of: hosts
 * that the list shows as down count towards the cap.
 */
START_TEST(hosts_down_by_an_earlier_leader_count)
{
	struct upkeep_host *host;
	struct machine *down;
	struct wave *wave;

	make_worker(&fleet, "w1", "r", 1, NOW);
	down = add_machine("m1", NULL);
	add_machine("m2", "w1");
	down->up = false;
	wave = make_wave("m1,m2", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW));
	down->up = true;
	upkeep_update(&fleet, wave, machines, NOW + SEC);
	/* It may not have been down for this wave, so it is ordered again. */
	host = upkeep_next(&fleet, wave, machines, NOW + SEC);
	ck_assert_str_eq(host->name, "m1");
	wave_free(wave);
}
END_TEST

/* An unanswered order may still be carried out, so it counts towards cap. */
START_TEST(unanswered_order_counts_towards_the_cap)
{
	struct upkeep_host *host;
	struct wave *wave;
	struct job *job;

	make_worker(&fleet, "w1", "r", 1, NOW);
	job = make_job(&fleet, "j", 1, 1, 1, 5000, NOW);
	plan_and_start_all(&fleet, NOW);
	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m1", "w1");
	add_machine("m2", "w2");
	wave = make_wave("m1,m2", 60000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	host = upkeep_next(&fleet, wave, machines, NOW);
	ck_assert_str_eq(host->name, "m2");
	upkeep_ordered(host, 1000, NOW);
	/* m1 is idle by now, but the order for m2 still counts. */
	finish_job_tasks(&fleet, job, NOW + 5 * SEC);
	upkeep_update(&fleet, wave, machines, NOW + 9 * SEC);
	ck_assert_ptr_eq(upkeep_next(&fleet, wave, machines, NOW + 9 * SEC),
			 host);
	upkeep_ordered(host, 1000, NOW + 9 * SEC);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 9 * SEC));
	wave_free(wave);
}
END_TEST

/* A refused order must not be repeated with every pass. */
START_TEST(refused_order_is_retried_later)
{
	struct upkeep_host *host;
	struct wave *wave;

	make_worker(&fleet, "w1", "r", 1, NOW);
	add_machine("m1", "w1");
	wave = make_wave("m1", 60000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	host = upkeep_next(&fleet, wave, machines, NOW);
	upkeep_ordered(host, 1000, NOW);
	upkeep_refused(host, NOW);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 1000));
	ck_assert_ptr_eq(upkeep_next(&fleet, wave, machines, NOW + SEC), host);
	wave_free(wave);
}
END_TEST

/* Updates the wave and plans, as the leader's passes do. */
static void pass(struct wave *wave, int64_t now_us)
{
	fleet_open_due(&fleet, now_us, 0);
	plan_pass(&fleet, now_us);
	confirm_planned_runs(&fleet, now_us);
	upkeep_clear(&fleet);
	upkeep_update(&fleet, wave, machines, now_us);
}

/* Starts a task of one accelerator on each of the workers w0, w1, ... */
static struct job *make_occupied_hosts(int count, bool long_running,
				       int may_miss)
{
	char worker[16], host[16];
	struct job *job;
	int i;

	for (i = 0; i < count; i++) {
		snprintf(worker, sizeof(worker), "w%d", i);
		snprintf(host, sizeof(host), "m%d", i);
		make_worker(&fleet, worker, "r", 8, NOW);
		add_machine(host, worker);
	}
	job = make_job(&fleet, "on", 1, count, 1, 600000, NOW);
	job->spec.steps[0].max_per_worker = 1;
	job->spec.steps[0].long_running = long_running;
	job->spec.steps[0].may_miss = may_miss;
	plan_and_start_all(&fleet, NOW);
	return job;
}

/*
 * Guards against hosts that get no work for good: they wait for tasks that last
 * and may not be stopped. The other hosts of the wave go first.
 */
START_TEST(host_with_a_task_that_may_not_stop_keeps_its_work)
{
	struct job *job = make_occupied_hosts(2, true, 0), *late;
	struct upkeep_host *host;
	struct wave *wave;

	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m2", "w2");
	wave = make_wave("m0,m1,m2", 20000, 1);
	pass(wave, NOW);
	host = upkeep_next(&fleet, wave, machines, NOW);
	ck_assert_ptr_nonnull(host);
	ck_assert_str_eq(host->name, "m2");
	late = make_job(&fleet, "late", 1, 2, 6, 1000, NOW + 30 * SEC);
	pass(wave, NOW + 30 * SEC);
	ck_assert_ptr_nonnull(first_occurrence_task(late, 0, 1)->worker);
	/* Once the tasks are gone, it is the turn of their hosts. */
	finish_job_tasks(&fleet, late, NOW + 31 * SEC);
	fleet_cancel(&fleet, job, 0);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_STOPPED,
		       NOW + 31 * SEC);
	upkeep_ordered(host, 1000, NOW + 30 * SEC);
	host->begun = true;
	host->down = true;
	pass(wave, NOW + 31 * SEC);
	host = upkeep_next(&fleet, wave, machines, NOW + 31 * SEC);
	ck_assert_ptr_nonnull(host);
	ck_assert_str_eq(
		host->name,
		strcmp(first_occurrence_task(job, 0, 1)->worker->reported.id,
		       "w1") == 0 ?
			"m0" :
			"m1");
	wave_free(wave);
}
END_TEST

/*
 * Guards against a job that stands still while a wave waits for the end of long
 * tasks: the draining hosts have room, and most of the pool is free. The
 * platform allows 3 s.
 */
START_TEST(draining_hosts_take_a_job_that_would_be_lost)
{
	struct wave *wave;
	struct job *late;

	make_occupied_hosts(2, false, 0);
	make_worker(&fleet, "w2", "r", 8, NOW);
	make_job(&fleet, "full", 1, 1, 8, 600000, NOW);
	plan_and_start_all(&fleet, NOW);
	wave = make_wave("m0,m1", 60000, 1);
	pass(wave, NOW);
	late = make_job(&fleet, "late", 1, 1, 6, 1000, NOW + SEC);
	pass(wave, NOW + SEC);
	pass(wave, NOW + 29 * SEC / 10);
	ck_assert_ptr_null(first_occurrence_task(late, 0, 0)->worker);
	pass(wave, NOW + 39 * SEC / 10);
	ck_assert_ptr_nonnull(first_occurrence_task(late, 0, 0)->worker);
	wave_free(wave);
}
END_TEST

static enum worker_upkeep upkeep_of(const char *id)
{
	const struct worker *worker =
		g_hash_table_lookup(fleet.workers_by_id, id);

	return worker->upkeep;
}

/*
 * A host gets nothing while it is emptied and after the order, and no more of
 * them are emptied than may be down. Guards against one that stays empty when
 * it can't be ordered after all, as another host is down.
 */
START_TEST(hosts_about_to_go_down_get_no_work)
{
	struct job *job = make_occupied_hosts(3, false, 0);
	struct wave *wave = make_wave("m0,m1,m2", 60000, 1);
	struct machine *other = g_ptr_array_index(machines, 2);
	struct upkeep_host *host;
	int i;

	pass(wave, NOW);
	ck_assert_int_eq(upkeep_of("w0"), WORKER_DRAINS);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 55 * SEC));
	pass(wave, NOW + 55 * SEC);
	ck_assert_int_eq(upkeep_of("w0"), WORKER_CLOSED);
	ck_assert_int_eq(upkeep_of("w1"), WORKER_DRAINS);
	ck_assert_int_eq(upkeep_of("w2"), WORKER_STAYS);
	for (i = 0; i < 3; i++)
		if (first_occurrence_task(job, 0, i)->phase == TASK_STOPPING)
			report_run_end(&fleet, first_occurrence_task(job, 0, i),
				       RUN_STOPPED, NOW + 56 * SEC);
	if (_i == 0) {
		other->up = false;
		ck_assert_ptr_null(
			upkeep_next(&fleet, wave, machines, NOW + 56 * SEC));
		pass(wave, NOW + 61 * SEC);
		ck_assert_int_eq(upkeep_of("w0"), WORKER_DRAINS);
	} else {
		host = upkeep_next(&fleet, wave, machines, NOW + 56 * SEC);
		ck_assert_str_eq(host->name, "m0");
		upkeep_ordered(host, 1000, NOW + 56 * SEC);
		pass(wave, NOW + 62 * SEC);
		ck_assert_int_eq(upkeep_of("w0"), WORKER_CLOSED);
	}
	wave_free(wave);
}
END_TEST

/*
 * Guards against a wave that stands still behind hosts whose tasks may not be
 * stopped now: their step is short of another task, which never gets ready.
 */
START_TEST(host_that_can_not_be_emptied_lets_others_go_first)
{
	struct job *job = make_occupied_hosts(3, true, 1);
	struct wave *wave = make_wave("m0,m1,m3", 20000, 1);
	struct upkeep_host *host = NULL;
	int64_t now_us;
	int i;

	make_worker(&fleet, "w3", "r", 8, NOW);
	add_machine("m3", "w3");
	make_job(&fleet, "plain", 1, 1, 8, 600000, NOW);
	plan_and_start_all(&fleet, NOW);
	for (i = 0; i < 3; i++)
		if (strcmp(first_occurrence_task(job, 0, i)
				   ->worker->reported.id,
			   "w2") == 0)
			first_occurrence_task(job, 0, i)->percent = 50;
	for (now_us = NOW; !host && now_us < NOW + 40 * SEC; now_us += SEC) {
		pass(wave, now_us);
		host = upkeep_next(&fleet, wave, machines, now_us);
	}
	ck_assert_ptr_nonnull(host);
	ck_assert_str_eq(host->name, "m3");
	wave_free(wave);
}
END_TEST

/* Guards against a worker that gets no work as its host has left the list. */
START_TEST(worker_of_a_host_that_has_left_the_wave_is_free)
{
	struct wave *wave;

	make_occupied_hosts(1, false, 0);
	add_machine("m1", NULL);
	wave = make_wave("m0", 20000, 1);
	pass(wave, NOW);
	ck_assert_int_eq(upkeep_of("w0"), WORKER_DRAINS);
	g_ptr_array_remove_index(machines, 0);
	pass(wave, NOW + 10 * SEC);
	ck_assert_int_eq(upkeep_of("w0"), WORKER_STAYS);
	wave_free(wave);
}
END_TEST

/* Guards against a wave that leaves a host out for good as one list, of several
 * pages, misses it. */
START_TEST(host_that_one_list_misses_stays_in_the_wave)
{
	struct upkeep_host *host;
	struct wave *wave;
	guint i;

	make_worker(&fleet, "w1", "r", 1, NOW);
	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m1", "w1");
	add_machine("m2", "w2");
	wave = make_wave("m1,m2", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	g_ptr_array_remove_index(machines, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	ck_assert(!wave->done);
	add_machine("m2", "w2");
	for (i = 0; i < machines->len; i++) {
		struct machine *machine;

		upkeep_update(&fleet, wave, machines, NOW + i * SEC);
		host = upkeep_next(&fleet, wave, machines, NOW + i * SEC);
		ck_assert_ptr_nonnull(host);
		machine = g_ptr_array_index(machines, i);
		ck_assert_str_eq(host->name, machine->name);
		upkeep_ordered(host, 1000, NOW + i * SEC);
		host->begun = true;
		machine->up = false;
		upkeep_update(&fleet, wave, machines, NOW + i * SEC);
		machine->up = true;
	}
	upkeep_update(&fleet, wave, machines, NOW + 2 * SEC);
	ck_assert(wave->done);
	wave_free(wave);
}
END_TEST

/* A wave of m1 and m2, of which m1 has been ordered. */
static struct wave *order_first(bool accepted)
{
	struct wave *wave;
	struct upkeep_host *host;

	make_worker(&fleet, "w1", "r", 1, NOW);
	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m1", "w1");
	add_machine("m2", "w2");
	wave = make_wave("m1,m2", 60000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	host = upkeep_next(&fleet, wave, machines, NOW);
	ck_assert_str_eq(host->name, "m1");
	upkeep_ordered(host, find_worker("w1")->reported.born_ms, NOW);
	host->begun = accepted;
	return wave;
}

static void restart(const char *id, int64_t now_us)
{
	struct worker *worker = find_worker(id);

	fleet_worker_restarted(&fleet, worker, worker->reported.born_ms + 1, 0,
			       now_us);
}

/* Guards against a wave that is said to be done without the upkeep of a host:
 * the order got no answer and was not carried out, and its worker crashed and
 * started again. */
START_TEST(restart_of_a_worker_is_no_upkeep)
{
	struct wave *wave = order_first(false);
	struct machine *machine = g_ptr_array_index(machines, 0);
	struct upkeep_host *host;

	/* The list shows the crash on the second time. */
	machine->up = _i == 0;
	upkeep_update(&fleet, wave, machines, NOW + SEC);
	machine->up = true;
	restart("w1", NOW + 2 * SEC);
	upkeep_update(&fleet, wave, machines, NOW + 3 * SEC);
	ck_assert_int_eq(find_worker("w1")->upkeep, WORKER_CLOSED);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + 3 * SEC));
	upkeep_update(&fleet, wave, machines, NOW + 9 * SEC);
	host = upkeep_next(&fleet, wave, machines, NOW + 9 * SEC);
	ck_assert_ptr_nonnull(host);
	ck_assert_str_eq(host->name, "m1");
	wave_free(wave);
}
END_TEST

/* Guards against more hosts down than a wave allows: the restart of a worker
 * just before its host was ordered is noticed after that. */
START_TEST(restart_before_an_order_frees_no_place)
{
	struct wave *wave = order_first(true);
	struct machine *machine = g_ptr_array_index(machines, 0);

	/* The list is as old as the order. */
	restart("w1", NOW);
	upkeep_update(&fleet, wave, machines, NOW + SEC / 2);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + SEC / 2));
	machine->up = false;
	machine->in_upkeep = true;
	upkeep_update(&fleet, wave, machines, NOW + SEC);
	ck_assert_ptr_null(upkeep_next(&fleet, wave, machines, NOW + SEC));
	machine->up = true;
	machine->in_upkeep = false;
	upkeep_update(&fleet, wave, machines, NOW + 3 * SEC);
	ck_assert_str_eq(
		upkeep_next(&fleet, wave, machines, NOW + 3 * SEC)->name, "m2");
	wave_free(wave);
}
END_TEST

/* The answer of an order that was carried out is lost, and the list shows it. */
START_TEST(unanswered_upkeep_shows_in_the_list)
{
	struct wave *wave = order_first(false);
	struct machine *machine = g_ptr_array_index(machines, 0);

	machine->up = false;
	machine->in_upkeep = true;
	upkeep_update(&fleet, wave, machines, NOW + SEC);
	machine->up = true;
	machine->in_upkeep = false;
	upkeep_update(&fleet, wave, machines, NOW + 3 * SEC);
	ck_assert_str_eq(
		upkeep_next(&fleet, wave, machines, NOW + 3 * SEC)->name, "m2");
	wave_free(wave);
}
END_TEST

/* A host that was removed keeps neither the wave nor a place of it. */
START_TEST(removed_hosts_do_not_hold_a_wave_up)
{
	struct upkeep_host *host;
	struct wave *wave;

	make_worker(&fleet, "w1", "r", 1, NOW);
	make_worker(&fleet, "w2", "r", 1, NOW);
	add_machine("m1", "w1");
	add_machine("m2", "w2");
	wave = make_wave("m1,m2", 20000, 1);
	upkeep_update(&fleet, wave, machines, NOW);
	upkeep_ordered(upkeep_next(&fleet, wave, machines, NOW), 1000, NOW);
	g_ptr_array_remove_index(machines, 0);
	upkeep_update(&fleet, wave, machines, NOW + SEC);
	host = upkeep_next(&fleet, wave, machines, NOW + SEC);
	ck_assert_ptr_nonnull(host);
	ck_assert_str_eq(host->name, "m2");
	add_machine("m3", NULL);
	g_ptr_array_remove_index(machines, 0);
	/* One list may have missed it. */
	upkeep_update(&fleet, wave, machines, NOW + 2 * SEC);
	ck_assert(!wave->done);
	upkeep_update(&fleet, wave, machines, NOW + 6 * SEC);
	ck_assert(wave->done);
	wave_free(wave);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("upkeep");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, idle_hosts_are_taken_down_first);
	tcase_add_test(tc, busy_hosts_are_drained_in_time);
	tcase_add_test(tc, wave_waits_for_tasks_within_may_miss);
	tcase_add_test(tc, hosts_down_by_an_earlier_leader_count);
	tcase_add_test(tc, unanswered_order_counts_towards_the_cap);
	tcase_add_test(tc, refused_order_is_retried_later);
	tcase_add_test(tc, host_with_a_task_that_may_not_stop_keeps_its_work);
	tcase_add_test(tc, draining_hosts_take_a_job_that_would_be_lost);
	tcase_add_loop_test(tc, hosts_about_to_go_down_get_no_work, 0, 2);
	tcase_add_test(tc, host_that_can_not_be_emptied_lets_others_go_first);
	tcase_add_test(tc, worker_of_a_host_that_has_left_the_wave_is_free);
	tcase_add_test(tc, host_that_one_list_misses_stays_in_the_wave);
	tcase_add_test(tc, removed_hosts_do_not_hold_a_wave_up);
	tcase_add_loop_test(tc, restart_of_a_worker_is_no_upkeep, 0, 2);
	tcase_add_test(tc, restart_before_an_order_frees_no_place);
	tcase_add_test(tc, unanswered_upkeep_shows_in_the_list);
	return run_case("upkeep", tc);
}
