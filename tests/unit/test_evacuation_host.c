#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/*
 * Evacuations at entry hosts, with stand-ins of the store and of workers in the
 * data centres d1 and d2, 32 accelerators in each. The stand-ins check that no
 * task starts later than RIG_EVAC_MS after the request.
 */

static struct rig rig;

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define DC_TASKS 32

static uint64_t starts_in(const char *dc)
{
	const struct site_worker *worker;
	uint64_t starts = 0;

	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (strcmp(worker->dc, dc) == 0)
			starts += worker->starts;
	return starts;
}

static void set_workers(const char *dc, enum site_worker_fault fault)
{
	struct site_worker *worker;

	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (strcmp(worker->dc, dc) == 0)
			worker->fault = fault;
}

/* A host that does not lead, so that its route to the store is another. */
static int follower(void)
{
	return rig_leader(&rig) == 0 ? 1 : 0;
}

static void submit(int host, const char *id, int count, const char *payload,
		   const char *extra)
{
	int tries, status = 0;

	for (tries = 0; status != 200 && tries < 5; tries++)
		status = rig_submit(&rig, host, id, count, payload, extra);
	ck_assert_int_eq(status, 200);
}

static void ck_done(const char *id)
{
	ck_assert_msg(rig_wait(&rig, 0, id, "done", 12000), "job %s is %s", id,
		      rig_state(&rig, 0, id));
}

static char log_path[64];

static void begin_log(void)
{
	int fd;

	snprintf(log_path, sizeof(log_path), "/tmp/chivebank-evacuation-%d",
		 (int)getpid());
	fd = open(log_path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	ck_assert_int_ge(fd, 0);
	log_init("h", "d", LOG_INFO_LEVEL);
	log_collect(fd);
}

/* Counts the lines of an event so far. */
static int count_logged(const char *event)
{
	char *word = g_strdup_printf("event=%s ", event);
	char *text = NULL, *at;
	int count = 0;

	log_flush();
	ck_assert(g_file_get_contents(log_path, &text, NULL, NULL));
	for (at = text; (at = strstr(at, word)); at++)
		count++;
	g_free(word);
	g_free(text);
	return count;
}

static void finish(void)
{
	ck_assert_msg(!site_fleet_violation(rig.fleet), "%s",
		      site_fleet_violation(rig.fleet));
	rig_stop(&rig);
}

/* d1 is evacuated, d2 is full, and 8 tasks wait. */
static void fill_d2(void)
{
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 100);
	submit(0, JOB_A, DC_TASKS, "ms=7000", NULL);
	rig_run_ms(&rig, 100);
	submit(0, JOB_B, 8, "ms=100", NULL);
	rig_run_ms(&rig, 300);
	ck_assert_uint_eq(starts_in("d2"), DC_TASKS);
	ck_assert_uint_eq(starts_in("d1"), 0);
}

/* The workers of d1 are used within the time, before those of d2 are free. */
static void ck_d1_is_used(int64_t within_ms)
{
	rig_run_ms(&rig, within_ms);
	ck_assert_uint_eq(starts_in("d1"), 8);
	ck_assert_uint_eq(starts_in("d2"), DC_TASKS);
}

START_TEST(workers_are_used_again_at_once)
{
	rig_start_dcs(&rig, 2, 2, 1);
	fill_d2();
	site_fleet_return(rig.fleet, "d1");
	ck_d1_is_used(200);
	finish();
}
END_TEST

START_TEST(jobs_wait_while_all_are_evacuated)
{
	begin_log();
	rig_start_dcs(&rig, 2, 2, 1);
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 100);
	/* 16 accelerators are guaranteed. */
	ck_assert_int_eq(count_logged("guarantee.unservable"), 0);
	site_fleet_evacuate(rig.fleet, "d2");
	rig_run_ms(&rig, 100);
	ck_assert_int_eq(count_logged("guarantee.unservable"), 1);
	submit(1, JOB_A, 3, "ms=100 gang=3", ",\"gang\":true");
	rig_run_ms(&rig, 2000);
	ck_assert_str_eq(rig_state(&rig, 0, JOB_A), "queued");
	ck_assert_uint_eq(rig.fleet->starts, 0);
	site_fleet_return(rig.fleet, "d2");
	ck_done(JOB_A);
	ck_assert_uint_eq(starts_in("d1"), 0);
	ck_assert_int_eq(count_logged("guarantee.servable"), 1);
	/* On both hosts. */
	ck_assert_int_eq(count_logged("evacuation.begun"), 4);
	ck_assert_int_eq(count_logged("evacuation.ended"), 2);
	unlink(log_path);
	finish();
}
END_TEST

/* The next leader has read the request while another one led. */
START_TEST(next_leader_starts_nothing_there)
{
	int before;

	rig_start_dcs(&rig, 2, 2, 1);
	fill_d2();
	before = rig_leader(&rig);
	if (_i == 0)
		site_store_lapse(rig.store, "chivebank/leader");
	else
		rig.hosts[before].site.cores = 0.1; /* it hands over */
	rig_run_ms(&rig, _i == 0 ? 2000 : 4500);
	ck_assert_int_ge(rig_leader(&rig), 0);
	if (_i == 1)
		ck_assert_int_ne(rig_leader(&rig), before);
	ck_assert_uint_eq(starts_in("d1"), 0);
	site_fleet_return(rig.fleet, "d1");
	ck_d1_is_used(300);
	finish();
}
END_TEST

/*
 * The store answers nobody, or no reads, from before the request on, while a
 * start without an answer is being repeated. Its worker is reached again when
 * the copy of the operators' keys is too old, and before the leader's lease has
 * expired, which is renewed in the second case.
 */
START_TEST(leader_without_the_store_starts_nothing)
{
	rig_start_dcs(&rig, 2, 1, 1);
	set_workers("d1", SITE_WORKER_SILENT);
	submit(0, JOB_A, 1, "ms=100", NULL);
	rig_run_ms(&rig, 100);
	site_store_fault(rig.store, -1, _i == 0 ? SITE_SILENT : SITE_UNREAD, 0,
			 0);
	site_store_silence_polls(rig.store);
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, RIG_EVAC_MS / 2 + 50);
	set_workers("d1", SITE_WORKER_WELL);
	rig_run_ms(&rig, 2000);
	ck_assert_uint_eq(rig.fleet->starts, 0);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	site_fleet_return(rig.fleet, "d1");
	ck_done(JOB_A);
	finish();
}
END_TEST

/* The key is removed while no watch works, or its history is gone. */
START_TEST(removal_is_noticed_when_the_keys_are_read_again)
{
	rig_start_dcs(&rig, 1, 2, 1);
	fill_d2();
	site_store_silence_polls(rig.store);
	site_fleet_return(rig.fleet, "d1");
	if (_i == 1)
		site_store_compact(rig.store);
	ck_d1_is_used(2500);
	finish();
}
END_TEST

/*
 * An occurrence becomes due while the host is paused. It is not planned before
 * the operators' keys have been read, which takes 300 ms here.
 */
START_TEST(paused_leader_plans_nothing_until_keys_are_read)
{
	char *body = g_strdup_printf(
		"{\"spec\":\"ms=100\",\"steps\":[{\"count\":1,\"cpu\":1000,"
		"\"gpu\":1,\"est_ms\":100}],\"times\":1,\"first_ms\":%lld}",
		(long long)(kn_wall_us() / USEC_PER_MSEC + 1500));

	begin_log();
	rig_start_dcs(&rig, 1, 1, 1);
	ck_assert_int_eq(
		rig_call(&rig, 0, "POST", RIG_PREFIX JOB_A, RIG_KEY, body)
			.status,
		200);
	rig_run_ms(&rig, 200);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 300);
	ck_assert_int_eq(count_logged("task.planned"), 0);
	g_usleep(1400 * 1000);
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 250);
	ck_assert_int_eq(count_logged("config.unconfirmed"), 1);
	ck_assert_int_eq(count_logged("task.planned"), 0);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	rig_run_ms(&rig, 1000);
	ck_assert_int_eq(count_logged("evacuation.begun"), 1);
	ck_assert_int_eq(count_logged("task.planned"), 0);
	site_fleet_return(rig.fleet, "d1");
	ck_done(JOB_A);
	unlink(log_path);
	g_free(body);
	finish();
}
END_TEST

/*
 * The starts have no answer. They are not repeated, so that the workers, which
 * are reached again before the bound is over, take nothing.
 */
START_TEST(start_without_an_answer_is_given_up)
{
	rig_start_dcs(&rig, 2, 2, 1);
	site_fleet_evacuate(rig.fleet, "d2");
	set_workers("d1", SITE_WORKER_SILENT);
	rig_run_ms(&rig, 100);
	submit(0, JOB_A, 2, "ms=100", NULL);
	submit(0, JOB_B, 10, "ms=100 gang=10", ",\"gang\":true");
	rig_run_ms(&rig, 100);
	site_fleet_return(rig.fleet, "d2");
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, RIG_EVAC_MS / 4 + 100);
	set_workers("d1", SITE_WORKER_WELL);
	ck_done(JOB_A);
	ck_done(JOB_B);
	ck_assert_uint_eq(starts_in("d1"), 0);
	finish();
}
END_TEST

/* The workers have the runs, and only the answers were lost: they go on. */
START_TEST(run_whose_answer_was_lost_goes_on)
{
	rig_start_dcs(&rig, 2, 2, 1);
	site_fleet_evacuate(rig.fleet, "d2");
	rig_run_ms(&rig, 100);
	set_workers("d1", SITE_WORKER_MUTE);
	submit(0, JOB_A, 2, "ms=2000", NULL);
	rig_run_ms(&rig, 100);
	site_fleet_return(rig.fleet, "d2");
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 200);
	set_workers("d1", SITE_WORKER_WELL);
	ck_done(JOB_A);
	ck_assert_uint_eq(starts_in("d1"), 2);
	ck_assert_uint_eq(starts_in("d2"), 0);
	finish();
}
END_TEST

/*
 * A gang and a task are planned for d1, and the store carries the write out
 * without answering it, so that nothing has been started. The leader, or the
 * next one, which reads the runs from the store, starts them in d2.
 */
START_TEST(runs_that_were_planned_start_elsewhere)
{
	int leader;

	rig_start_dcs(&rig, 2, 2, 1);
	site_fleet_evacuate(rig.fleet, "d2");
	rig_run_ms(&rig, 100);
	leader = rig_leader(&rig);
	site_store_fault(rig.store, rig.hosts[leader].door, SITE_LOST, 100, 0);
	submit(follower(), JOB_A, 2, "ms=100", NULL);
	submit(follower(), JOB_B, 10, "ms=100 gang=10", ",\"gang\":true");
	rig_run_ms(&rig, 60);
	ck_assert_uint_eq(rig.fleet->starts, 0);
	site_fleet_return(rig.fleet, "d2");
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 50);
	if (_i == 1)
		site_store_lapse(rig.store, "chivebank/leader");
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	ck_done(JOB_A);
	ck_done(JOB_B);
	ck_assert_uint_eq(starts_in("d1"), 0);
	finish();
}
END_TEST

/*
 * The same for a gang that is planned for d1 and d2: its members in d2, some of
 * which come first in the leader's list, are not started either.
 */
START_TEST(gang_that_was_planned_is_dropped_as_a_whole)
{
	int leader;

	rig_start_dcs(&rig, 2, 3, (uint32_t)_i + 1);
	site_fleet_evacuate(rig.fleet, "d3");
	rig_run_ms(&rig, 100);
	leader = rig_leader(&rig);
	site_store_fault(rig.store, rig.hosts[leader].door, SITE_LOST, 100, 0);
	submit(follower(), JOB_A, 60, "ms=100 gang=60", ",\"gang\":true");
	rig_run_ms(&rig, 60);
	site_fleet_return(rig.fleet, "d3");
	site_fleet_evacuate(rig.fleet, "d1");
	rig_run_ms(&rig, 50);
	site_store_fault(rig.store, -1, SITE_WELL, 0, 0);
	ck_done(JOB_A);
	ck_assert_uint_eq(rig.fleet->starts, 60);
	ck_assert_uint_eq(starts_in("d1"), 0);
	finish();
}
END_TEST

/* Taken back and requested again at short intervals, under load. */
START_TEST(request_that_changes_often)
{
	char id[32];
	int i;

	rig_start_dcs(&rig, 2, 2, 1);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "%016x", 0x100 + i);
		submit(i % 2, id, 6, "ms=300", NULL);
		if (i % 2 == 0)
			site_fleet_evacuate(rig.fleet, "d1");
		else
			site_fleet_return(rig.fleet, "d1");
		rig_run_ms(&rig, 10 * (i % 7));
	}
	ck_assert_uint_gt(starts_in("d1"), 0);
	site_fleet_evacuate(rig.fleet, "d1");
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "%016x", 0x200 + i);
		submit(i % 2, id, 6, "ms=300", NULL);
		rig_run_ms(&rig, 80);
	}
	ck_done(id);
	ck_assert_uint_gt(starts_in("d2"), 120);
	finish();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation_host");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, workers_are_used_again_at_once);
	tcase_add_test(tc, jobs_wait_while_all_are_evacuated);
	tcase_add_loop_test(tc, next_leader_starts_nothing_there, 0, 2);
	tcase_add_loop_test(tc, leader_without_the_store_starts_nothing, 0, 2);
	tcase_add_loop_test(tc, removal_is_noticed_when_the_keys_are_read_again,
			    0, 2);
	tcase_add_test(tc, paused_leader_plans_nothing_until_keys_are_read);
	tcase_add_test(tc, start_without_an_answer_is_given_up);
	tcase_add_test(tc, run_whose_answer_was_lost_goes_on);
	tcase_add_loop_test(tc, runs_that_were_planned_start_elsewhere, 0, 2);
	tcase_add_loop_test(tc, gang_that_was_planned_is_dropped_as_a_whole, 0,
			    3);
	tcase_add_test(tc, request_that_changes_often);
	return run_case("evacuation_host", tc);
}
