#include <stdio.h>
#include <string.h>

#include "fleet/evacuation.h"
#include "fleet/evict.h"
#include "fleet/limits.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Decisions on evacuated data centres, with workers in d1 and d2. */

#define SEC 1000000LL
#define NOW (100 * SEC)
#define EVAC_MS 5000
#define QUARTER_US (EVAC_MS * 1000LL / 4)

static struct fleet fleet;
static struct config *config;
static struct evacuation evacuation;

static struct worker *add_worker(const char *id, const char *dc,
				 const char *rack)
{
	struct worker *worker = make_worker(&fleet, id, rack, 8, NOW);

	g_free(worker->reported.dc);
	worker->reported.dc = g_strdup(dc);
	return worker;
}

static void set_up(void)
{
	make_fleet(&fleet, &config);
	evacuation_init(&evacuation);
	fleet.bounds.evac_ms = EVAC_MS;
	fleet.evacuation = &evacuation;
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
	evacuation_finish(&evacuation);
}

static void evacuate(const char *dc, int64_t now_us)
{
	ck_assert(evacuation_begin(&evacuation, dc, now_us));
	evacuation_pass(&fleet, now_us);
}

static struct task *task_of(struct job *job, int index)
{
	return first_occurrence_task(job, 0, index);
}

static struct job *add_job(const char *id, int count, bool gang)
{
	struct job *job = make_job(&fleet, id, 1, count, 1, 1000, NOW);

	job->spec.steps[0].gang = gang;
	fleet_open_due(&fleet, NOW, 0);
	return job;
}

/* Counts the tasks of a job whose runs are at workers of the data centre. */
static int runs_in(struct job *job, const char *dc)
{
	int count = 0;
	int i;

	for (i = 0; i < job->spec.steps[0].count; i++) {
		const struct worker *worker = task_of(job, i)->worker;

		count += worker && strcmp(worker->reported.dc, dc) == 0;
	}
	return count;
}

/* A start was sent and got no answer. */
static void make_unanswered(struct task *task)
{
	mark_changes_stored(&fleet);
	task->phase = TASK_STARTING;
	task->sent = true;
	task->unconfirmed = true;
	task->tries = 1;
}

START_TEST(requests_are_counted_once)
{
	evacuate("d1", NOW);
	ck_assert(!evacuation_begin(&evacuation, "d1", NOW + SEC));
	ck_assert_uint_eq(evacuation_count(&evacuation), 1);
	ck_assert(evacuation_end(&evacuation, "d1"));
	ck_assert(!evacuation_end(&evacuation, "d1"));
	ck_assert(!evacuation_of_dc(&fleet, "d1"));
	ck_assert(!evacuation_of_dc(&fleet, NULL));
	ck_assert(!evacuation_in_force(&fleet));
}
END_TEST

/* Guards against tasks, gangs and second choices that are placed there. */
START_TEST(only_other_data_centres_get_tasks)
{
	struct job *single, *gang;

	add_worker("w1", "d1", "r1");
	add_worker("w2", "d2", "r2");
	evacuate("d1", NOW);
	single = add_job("single", 3, false);
	gang = add_job("gang", 3, true);
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(single, "d2"), 3);
	ck_assert_int_eq(runs_in(gang, "d2"), 3);
	/* The rest waits, and is not stopped for. */
	single = add_job("rest", 4, false);
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(single, "d2"), 2);
	ck_assert_int_eq(runs_in(single, "d1"), 0);
	ck_assert(evacuation_end(&evacuation, "d1"));
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(single, "d1"), 2);
}
END_TEST

/* Where the settings do not allow evacuations, nothing changes. */
START_TEST(no_effect_without_the_bound)
{
	struct job *job;

	fleet.evacuation = NULL;
	add_worker("w1", "d1", "r1");
	evacuate("d1", NOW);
	job = add_job("j", 2, false);
	plan_pass(&fleet, NOW);
	evacuation_pass(&fleet, NOW + 10 * SEC);
	ck_assert_int_eq(runs_in(job, "d1"), 2);
}
END_TEST

START_TEST(jobs_wait_while_all_are_evacuated)
{
	struct job *urgent, *job;

	add_worker("w1", "d1", "r1");
	add_worker("w2", "d2", "r2");
	evacuate("d1", NOW);
	evacuate("d2", NOW);
	urgent = make_job(&fleet, "urgent", 0, 2, 1, 1000, NOW);
	job = add_job("j", 2, true);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	ck_assert(!job_ended(job) && !job_ended(urgent));
	ck_assert(evacuation_end(&evacuation, "d2"));
	ck_assert_int_eq(plan_pass(&fleet, NOW), 4);
	ck_assert_int_eq(runs_in(job, "d2"), 2);
	ck_assert_int_eq(runs_in(urgent, "d2"), 2);
}
END_TEST

/* Runs that have begun go on; their next one is elsewhere. */
START_TEST(runs_in_progress_continue)
{
	struct job *job;
	int i;

	add_worker("w1", "d1", "r1");
	job = add_job("j", 3, false);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	evacuate("d1", NOW + SEC);
	add_worker("w2", "d2", "r2");
	ck_assert_int_eq(evacuation_runs(&fleet, "d1"), 3);
	ck_assert_int_eq(evacuation_all_runs(&fleet), 3);
	for (i = 0; i < 3; i++)
		ck_assert_int_eq(task_of(job, i)->phase, TASK_RUNNING);
	report_run_end(&fleet, task_of(job, 0), RUN_DONE, NOW + 2 * SEC);
	report_run_end(&fleet, task_of(job, 1), RUN_FAILED, NOW + 2 * SEC);
	fleet_stop(&fleet, task_of(job, 2), "test");
	report_run_end(&fleet, task_of(job, 2), RUN_STOPPED, NOW + 2 * SEC);
	plan_pass(&fleet, NOW + 2 * SEC);
	ck_assert_int_eq(runs_in(job, "d2"), 2);
	ck_assert_int_eq(evacuation_all_runs(&fleet), 0);
}
END_TEST

/* Guards against half a gang, and against a start after the request. */
START_TEST(planned_runs_are_dropped_with_their_gang)
{
	struct worker *first, *second;
	struct job *gang, *single;
	int i;

	first = add_worker("w1", "d1", "r1");
	second = add_worker("w2", "d2", "r2");
	gang = add_job("gang", 12, true);
	single = add_job("single", 2, false);
	plan_pass(&fleet, NOW);
	ck_assert_int_gt(runs_in(gang, "d1"), 0);
	ck_assert_int_gt(runs_in(gang, "d2"), 0);
	evacuate("d1", NOW);
	ck_assert_int_eq(first->task_count, 0);
	for (i = 0; i < 12; i++)
		ck_assert_int_eq(task_of(gang, i)->phase, TASK_WAITING);
	ck_assert_int_eq(runs_in(gang, "d2") + runs_in(single, "d1"), 0);
	ck_assert_int_eq(second->task_count, runs_in(single, "d2"));
	add_worker("w3", "d3", "r3");
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(gang, "d2") + runs_in(gang, "d3"), 12);
	/* A later run number makes workers refuse anything of the first. */
	ck_assert_int_eq(task_of(gang, 0)->run, 2);
}
END_TEST

/* One member has started elsewhere: its gang can never be whole. */
START_TEST(started_members_of_a_dropped_gang_are_stopped)
{
	struct job *gang;
	int i, stopping = 0;

	add_worker("w1", "d1", "r1");
	add_worker("w2", "d2", "r2");
	gang = add_job("gang", 16, true);
	plan_pass(&fleet, NOW);
	mark_changes_stored(&fleet);
	for (i = 0; i < 16; i++)
		if (strcmp(task_of(gang, i)->worker->reported.dc, "d2") == 0)
			make_unanswered(task_of(gang, i));
	evacuate("d1", NOW);
	for (i = 0; i < 16; i++)
		stopping += task_of(gang, i)->phase == TASK_STOPPING;
	ck_assert_int_eq(stopping, 8);
	ck_assert_int_eq(runs_in(gang, "d1"), 0);
}
END_TEST

/* The worker may have the run already; a stop makes it refuse a late start. */
START_TEST(unanswered_start_is_stopped_in_time)
{
	struct job *job;
	struct task *task;

	add_worker("w1", "d1", "r1");
	job = add_job("j", 1, false);
	task = task_of(job, 0);
	plan_pass(&fleet, NOW);
	make_unanswered(task);
	evacuate("d1", NOW);
	evacuation_pass(&fleet, NOW + QUARTER_US - 1);
	ck_assert_int_eq(task->phase, TASK_STARTING);
	/* The order in progress is not waited for, nor is it sent again. */
	task->calling = true;
	evacuation_pass(&fleet, NOW + QUARTER_US);
	ck_assert_int_eq(task->phase, TASK_STARTING);
	task->calling = false;
	evacuation_pass(&fleet, NOW + QUARTER_US);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
	ck_assert(!fleet_release_unsent(&fleet, task));
}
END_TEST

/* A start that was refused, or found no connection, is no run; a gang that has
 * started but for it can't become whole. */
START_TEST(start_that_failed_is_dropped_at_once)
{
	struct job *job;
	struct task *task;
	int i;

	add_worker("w1", "d1", "r1");
	add_worker("w2", "d2", "r2");
	job = add_job("j", 9, true);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	for (task = task_of(job, 0);
	     strcmp(task->worker->reported.dc, "d1") != 0; task++)
		;
	task->phase = TASK_STARTING;
	task->sent = false;
	task->tries = 1;
	task->retry_us = NOW + SEC;
	evacuate("d1", NOW);
	for (i = 0; i < 9; i++)
		ck_assert_int_eq(task_of(job, i)->phase, TASK_STOPPING);
	ck_assert(fleet_release_unsent(&fleet, task));
	ck_assert_int_eq(runs_in(job, "d1") + runs_in(job, "d2"), 8);
}
END_TEST

/* An earlier leader's run may be in progress: reports tell. */
START_TEST(adopted_run_is_neither_started_nor_stopped)
{
	struct worker *worker = add_worker("w1", "d1", "r1");
	struct hold_report nothing = { 0 };
	struct job *job = add_job("j", 1, false);
	struct task *task = task_of(job, 0);
	int64_t at_us = NOW + EVAC_MS * 1000;
	int i;

	add_worker("w2", "d2", "r2");
	task->run = 4;
	fleet_adopt_run(&fleet, task, worker);
	evacuate("d1", NOW);
	evacuation_pass(&fleet, at_us);
	ck_assert_int_eq(task->phase, TASK_STARTING);
	ck_assert_int_eq(evacuation_runs(&fleet, "d1"), 1);
	for (i = 0; i < 3; i++, at_us += SEC)
		fleet_handle_hold(&fleet, worker, &nothing, at_us, at_us,
				  at_us / 1000);
	ck_assert_ptr_null(task->worker);
	plan_pass(&fleet, at_us);
	ck_assert_int_eq(runs_in(job, "d2"), 1);
}
END_TEST

/* Taken back, planned there, and requested again. */
START_TEST(request_that_comes_again_counts_anew)
{
	struct job *job;
	struct task *task;

	add_worker("w1", "d1", "r1");
	job = add_job("j", 1, false);
	task = task_of(job, 0);
	evacuate("d1", NOW);
	ck_assert(evacuation_end(&evacuation, "d1"));
	plan_pass(&fleet, NOW + 10 * SEC);
	make_unanswered(task);
	evacuate("d1", NOW + 10 * SEC);
	ck_assert_int_eq(task->phase, TASK_STARTING);
	evacuation_pass(&fleet, NOW + 10 * SEC + QUARTER_US);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
}
END_TEST

START_TEST(latest_registration_counts)
{
	struct worker *worker = add_worker("w1", "d1", "r1");
	struct worker_report report = {
		.id = g_strdup("w1"),
		.born_ms = 2000,
		.pool = g_strdup(MAKE_POOL),
		.port = 1,
		.dc = g_strdup("d2"),
		.room = { 128000, 262144, 8 },
	};
	struct job *job = add_job("j", 1, false);

	evacuate("d1", NOW);
	ck_assert(evacuation_of_worker(&fleet, worker));
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(job, "d1"), 0);
	fleet_update_worker(&fleet, &report, NOW);
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(job, "d2"), 1);
	/* It is in the evacuated one again, before the start is sent. */
	task_of(job, 0)->worker->reported.dc[1] = '1';
	evacuation_pass(&fleet, NOW);
	ck_assert_int_eq(task_of(job, 0)->phase, TASK_WAITING);
}
END_TEST

/* Bans are ignored for a label that no other worker has, evacuations are not. */
START_TEST(only_worker_with_a_label_is_not_used)
{
	struct worker *worker = add_worker("w1", "d1", "r1");
	struct job *job;

	add_worker("w2", "d2", "r2");
	g_strfreev(worker->reported.labels);
	worker->reported.labels = g_strsplit("rare", ",", -1);
	worker->banned_until_us = NOW + 10 * SEC;
	evacuate("d1", NOW);
	job = add_job("j", 1, false);
	job->spec.steps[0].label = g_strdup("rare");
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(job, "d1"), 0);
	ck_assert(evacuation_end(&evacuation, "d1"));
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(job, "d1"), 1);
}
END_TEST

/* Guards against a wait for the rack of the data, and for a whole rack. */
START_TEST(evacuated_rack_is_not_waited_for)
{
	struct job *data, *gang;

	add_worker("w1", "d1", "r1");
	add_worker("w2", "d1", "r1");
	add_worker("w3", "d2", "r2");
	add_worker("w4", "d2", "r3");
	evacuate("d1", NOW);
	data = add_job("data", 1, false);
	data->spec.steps[0].rack = g_strdup("r1");
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(data, "d2"), 1);
	/* Only the evacuated rack is large enough for it. */
	gang = add_job("gang", 12, true);
	gang->spec.steps[0].same_rack = true;
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(runs_in(gang, "d2"), 12);
}
END_TEST

START_TEST(copies_go_to_other_data_centres)
{
	struct worker *worker = add_worker("w1", "d1", "r1");
	struct job *job;
	struct task *task;

	job = add_job("j", 1, false);
	job->spec.steps[0].speculative = true;
	job->speculative = true;
	task = task_of(job, 0);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	task->first_report_us = NOW;
	task->percent = 1;
	add_worker("w2", "d2", "r2");
	add_worker("w3", "d1", "r1");
	evacuate("d2", NOW + SEC);
	evacuate("d1", NOW + SEC);
	plan_pass(&fleet, NOW + SEC);
	ck_assert(!task_has_copy(task));
	ck_assert(evacuation_end(&evacuation, "d2"));
	plan_pass(&fleet, NOW + SEC);
	ck_assert(task_has_copy(task));
	ck_assert_str_eq(task->copy->worker->reported.dc, "d2");
	/* A copy that is dropped leaves the first run alone. */
	evacuate("d2", NOW + SEC);
	ck_assert(!task_has_copy(task));
	ck_assert_ptr_eq(task->worker, worker);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
}
END_TEST

/* The guaranteed job is owed its room within reclaim_ms. */
START_TEST(reservation_moves_to_another_data_centre)
{
	struct job *first, *second, *urgent;
	int64_t now_us = NOW + SEC;
	int i;

	add_worker("w1", "d1", "r1");
	first = add_job("first", 8, false);
	plan_pass(&fleet, NOW);
	add_worker("w2", "d2", "r2");
	second = add_job("second", 8, false);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	/* Less would be lost by stops in d1. */
	task_of(first, 0)->started_us = now_us;
	urgent = make_job(&fleet, "urgent", 0, 1, 1, 1000, now_us);
	fleet_open_due(&fleet, now_us, 0);
	plan_pass(&fleet, now_us);
	ck_assert_int_eq(task_of(first, 0)->phase, TASK_STOPPING);
	evacuate("d1", now_us);
	plan_pass(&fleet, now_us);
	ck_assert_ptr_nonnull(task_of(urgent, 0)->stage->reserved);
	ck_assert_str_eq(task_of(urgent, 0)->stage->reserved[0]->reported.dc,
			 "d2");
	report_run_end(&fleet, task_of(first, 0), RUN_STOPPED, now_us);
	plan_pass(&fleet, now_us);
	ck_assert_ptr_null(task_of(urgent, 0)->worker);
	for (i = 0; i < 8; i++)
		if (task_of(second, i)->phase == TASK_STOPPING)
			report_run_end(&fleet, task_of(second, i), RUN_STOPPED,
				       now_us);
	plan_pass(&fleet, now_us);
	ck_assert_int_eq(runs_in(urgent, "d2"), 1);
}
END_TEST

/* Its runs are moved as on any draining worker, but not within d1. */
START_TEST(worker_that_drains_there_is_left)
{
	struct worker *worker = add_worker("w1", "d1", "r1");
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 20000, NOW);

	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	add_worker("w2", "d1", "r1");
	add_worker("w3", "d2", "r2");
	evacuate("d1", NOW);
	worker->reported.draining = true;
	worker->reported.remaining_ms = 2000;
	worker->draining_us = NOW;
	ck_assert_int_eq(evict_pass(&fleet, NOW + SEC), 1);
	report_run_end(&fleet, task_of(job, 0), RUN_STOPPED, NOW + SEC);
	plan_pass(&fleet, NOW + SEC);
	ck_assert_int_eq(runs_in(job, "d2"), 1);
}
END_TEST

START_TEST(long_running_task_moves_when_its_run_ends)
{
	struct job *job;

	add_worker("w1", "d1", "r1");
	job = make_latency_job(&fleet, 1, 0, NOW);
	plan_and_start_all(&fleet, NOW);
	add_worker("w2", "d2", "r2");
	evacuate("d1", NOW + SEC);
	plan_pass(&fleet, NOW + 10 * SEC);
	ck_assert_int_eq(runs_in(job, "d1"), 1);
	report_run_end(&fleet, task_of(job, 0), RUN_DONE, NOW + 20 * SEC);
	plan_pass(&fleet, NOW + 20 * SEC);
	ck_assert_int_eq(runs_in(job, "d2"), 1);
}
END_TEST

START_TEST(occurrence_that_becomes_due_starts_elsewhere)
{
	struct job *job = make_job(&fleet, "t", 1, 1, 1, 100, NOW);

	add_worker("w1", "d1", "r1");
	/* Turns the job into a recurring one. */
	job->spec.times = 2;
	job->spec.first_ms = 5000;
	job->spec.interval_ms = 1000;
	job->occurrences = 2;
	fleet_open_due(&fleet, NOW, 5000);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
	confirm_planned_runs(&fleet, NOW);
	evacuate("d1", NOW);
	fleet_open_due(&fleet, NOW, 6000);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	add_worker("w2", "d2", "r2");
	ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
	ck_assert_str_eq(job_stage(job, 0, 0)->tasks[0].worker->reported.dc,
			 "d1");
	ck_assert_str_eq(job_stage(job, 1, 0)->tasks[0].worker->reported.dc,
			 "d2");
}
END_TEST

static char reported[256];

static void on_guarantee(void *user, const char *customer, int64_t guaranteed,
			 int64_t gpus, bool servable)
{
	size_t len = strlen(reported);

	snprintf(reported + len, sizeof(reported) - len, "%s%s %lld of %lld;",
		 servable ? "+" : "-", customer, (long long)guaranteed,
		 (long long)gpus);
}

static void on_note(void *user, const char *event, const struct job *job,
		    const struct task *task, const char *why)
{
}

static const struct fleet_ops ops = {
	.guarantee = on_guarantee,
	.note = on_note,
};

/* Checks what is reported now. */
static void check_reports(const char *expected)
{
	reported[0] = '\0';
	evacuation_check_guarantees(&fleet);
	ck_assert_str_eq(reported, expected);
}

/* Customer "one" has 16 accelerators, "two" has none unless a test says so. */
START_TEST(guarantees_are_compared_together)
{
	struct customer *two = g_ptr_array_index(config->customers, 1);

	fleet.ops = &ops;
	add_worker("w1", "d1", "r1");
	add_worker("w2", "d2", "r2");
	add_worker("w3", "d3", "r3")->reported.draining = true;
	check_reports("");
	evacuate("d1", NOW);
	check_reports("");
	two->guaranteed_gpus = 1;
	check_reports("-one 16 of 16;-two 1 of 16;");
	/* Once each. */
	evacuate("d2", NOW);
	check_reports("");
	ck_assert_uint_eq(g_hash_table_size(fleet.unservable), 2);
	ck_assert(evacuation_end(&evacuation, "d1"));
	two->guaranteed_gpus = 0;
	g_hash_table_remove_all(fleet.unservable);
	check_reports("");
	fleet_unlist(&fleet, "w3", NOW);
	check_reports("-one 16 of 8;");
	ck_assert(evacuation_end(&evacuation, "d2"));
	check_reports("+one 16 of 16;");
}
END_TEST

/* An operator may also take the guarantee back, or turn evacuations off. */
START_TEST(guarantee_that_is_withdrawn_is_servable)
{
	struct customer *one = g_ptr_array_index(config->customers, 0);
	struct customer *two = g_ptr_array_index(config->customers, 1);

	fleet.ops = &ops;
	add_worker("w1", "d1", "r1");
	two->guaranteed_gpus = G_MAXINT64;
	one->guaranteed_gpus = -3;
	check_reports("-two 1099511627776 of 8;");
	g_ptr_array_remove_index(config->customers, 1);
	check_reports("+two 0 of 8;");
	one->guaranteed_gpus = 9;
	check_reports("-one 9 of 8;");
	fleet.evacuation = NULL;
	check_reports("");
	ck_assert_uint_eq(g_hash_table_size(fleet.unservable), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, requests_are_counted_once);
	tcase_add_test(tc, only_other_data_centres_get_tasks);
	tcase_add_test(tc, no_effect_without_the_bound);
	tcase_add_test(tc, jobs_wait_while_all_are_evacuated);
	tcase_add_test(tc, runs_in_progress_continue);
	tcase_add_test(tc, planned_runs_are_dropped_with_their_gang);
	tcase_add_test(tc, started_members_of_a_dropped_gang_are_stopped);
	tcase_add_test(tc, unanswered_start_is_stopped_in_time);
	tcase_add_test(tc, start_that_failed_is_dropped_at_once);
	tcase_add_test(tc, adopted_run_is_neither_started_nor_stopped);
	tcase_add_test(tc, request_that_comes_again_counts_anew);
	tcase_add_test(tc, latest_registration_counts);
	tcase_add_test(tc, only_worker_with_a_label_is_not_used);
	tcase_add_test(tc, evacuated_rack_is_not_waited_for);
	tcase_add_test(tc, copies_go_to_other_data_centres);
	tcase_add_test(tc, reservation_moves_to_another_data_centre);
	tcase_add_test(tc, worker_that_drains_there_is_left);
	tcase_add_test(tc, long_running_task_moves_when_its_run_ends);
	tcase_add_test(tc, occurrence_that_becomes_due_starts_elsewhere);
	tcase_add_test(tc, guarantees_are_compared_together);
	tcase_add_test(tc, guarantee_that_is_withdrawn_is_servable);
	return run_case("evacuation", tc);
}
