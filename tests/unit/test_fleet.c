#include <string.h>

#include "fleet/evict.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* The leader's state of jobs and workers, driven by hold reports. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct fleet fleet;
static struct config *config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
}

static struct job *running_job(int count, bool gang)
{
	struct job *job = make_job(&fleet, "j", 1, count, 1, 1000, NOW);

	job->spec.steps[0].gang = gang;
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(confirm_planned_runs(&fleet, NOW), count);
	return job;
}

START_TEST(done_tasks_end_the_job)
{
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	job = running_job(3, false);
	ck_assert_int_eq(job->phase, JOB_RUNNING);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_DONE,
		       NOW + SEC);
	report_run_end(&fleet, first_occurrence_task(job, 0, 1), RUN_DONE,
		       NOW + SEC);
	ck_assert_int_eq(job->phase, JOB_RUNNING);
	report_run_end(&fleet, first_occurrence_task(job, 0, 2), RUN_DONE,
		       NOW + SEC);
	ck_assert_int_eq(job->phase, JOB_DONE);
	ck_assert(!fleet_job_holds_room(job));
}
END_TEST

/* A worker may drop an end only after the effect of the end is stored. */
START_TEST(ends_are_acknowledged_after_they_are_stored)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(2, false);

	mark_changes_stored(&fleet);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_DONE,
		       NOW + SEC);
	ck_assert_int_eq(fleet_ends_stored(&fleet, worker), 0);
	mark_changes_stored(&fleet);
	ck_assert_int_eq(fleet_ends_stored(&fleet, worker), 1);
}
END_TEST

/* The life reports that task 0 of the job has ended as its end number 4. */
static void report_fourth_end(struct worker *worker, int64_t sent_us)
{
	struct end_report end = { .number = 4,
				  .task = (char *)"j.0.0.0",
				  .run = 1 };
	struct hold_report report = { .ended = &end,
				      .nended = 1,
				      .born_ms = worker->reported.born_ms };

	fleet_handle_hold(&fleet, worker, &report, sent_us, NOW + SEC, 0);
	mark_changes_stored(&fleet);
}

/*
 * Guards against a task that runs twice: its worker has started again, unseen,
 * has taken a start and reported nothing yet. Its ends have the numbers of those
 * that the earlier life has reported, and it would drop them unread.
 */
START_TEST(ends_are_acknowledged_to_the_life_that_reported_them)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct task *late = first_occurrence_task(running_job(2, false), 0, 1);
	struct run_report run = { .task = (char *)"j.0.0.1", .run = 1 };
	struct hold_report report = { .running = &run,
				      .nrunning = 1,
				      .born_ms = worker->reported.born_ms };

	late->start_pending = true;
	report_fourth_end(worker, NOW + 2);
	ck_assert_int_eq(fleet_ends_stored(&fleet, worker), 4);
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 0);
	ck_assert(!fleet_life_needs_report(&fleet, worker));
	late->start_pending = false;
	late->answered_us = NOW + 3;
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 0);
	ck_assert(fleet_life_needs_report(&fleet, worker));
	fleet_handle_hold(&fleet, worker, &report, NOW + 3, NOW + SEC, 0);
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 4);
	ck_assert(!fleet_life_needs_report(&fleet, worker));
}
END_TEST

/*
 * Guards against ends that are never acknowledged: a run that has ended is in no
 * list, as the list of ends is full.
 */
START_TEST(answer_after_the_start_confirms_the_life)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct task *late = first_occurrence_task(running_job(2, false), 0, 1);
	struct hold_report full = { .truncated = true,
				    .born_ms = worker->reported.born_ms };

	late->answered_us = NOW + 3;
	report_fourth_end(worker, NOW + 2);
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 0);
	fleet_handle_hold(&fleet, worker, &full, NOW + 4, NOW + SEC, 0);
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 4);
}
END_TEST

/* A start that was not sent can't be at another life. */
START_TEST(planned_runs_delay_no_acknowledgement)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);

	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_DONE,
		       NOW + SEC);
	make_job(&fleet, "next", 1, 1, 1, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	mark_changes_stored(&fleet);
	ck_assert_int_eq(worker->task_count, 1);
	ck_assert_int_eq(fleet_ends_acknowledged(&fleet, worker), 1);
}
END_TEST

START_TEST(failures_use_up_the_attempts)
{
	struct job *job;
	int i;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	make_worker(&fleet, "w2", "r1", 8, NOW);
	job = running_job(1, false);
	for (i = 0; i < 3; i++) {
		ck_assert(!job_ended(job));
		report_run_end(&fleet, first_occurrence_task(job, 0, 0),
			       RUN_FAILED, NOW);
		plan_pass(&fleet, NOW);
		confirm_planned_runs(&fleet, NOW);
	}
	ck_assert_int_eq(job->phase, JOB_FAILED);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
}
END_TEST

/* Of two hosts, the one that accepts it has the configuration before. */
START_TEST(job_accepted_by_older_settings_has_the_attempts_in_force)
{
	struct queue *queue = g_new0(struct queue, 1);
	struct job_spec spec;
	struct job *job;

	queue->name = g_strdup("q");
	queue->host = g_strdup("h");
	queue->prefix = g_strdup("/q/");
	queue->pool = g_strdup(MAKE_POOL);
	queue->attempts = 3;
	queue->stretch = 2;
	g_ptr_array_add(config->queues, queue);
	fleet_set_config(&fleet, config);
	make_worker(&fleet, "w1", "r1", 8, NOW);
	job_spec_init(&spec, 1);
	spec.payload = g_strdup("payload");
	spec.steps[0].count = 1;
	spec.steps[0].need = (struct room){ 4000, 1000, 1 };
	job = job_new("job", &spec);
	job->queue = g_strdup("q");
	job->pool = g_strdup(MAKE_POOL);
	job->customer = g_strdup("one");
	job->attempts = 1;
	job->stretch = 1;
	fleet_add_job(&fleet, job);
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	ck_assert_int_eq(confirm_planned_runs(&fleet, NOW), 1);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_FAILED,
		       NOW + SEC);
	ck_assert_int_eq(job->phase, JOB_RUNNING);
}
END_TEST

/*
 * Guards against an end that is neither taken note of nor acknowledged, because
 * it is of a kind that is not known: its run would be in none of the lists.
 */
START_TEST(end_of_an_unknown_kind_is_an_end)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = first_occurrence_task(job, 0, 0);

	report_run_end(&fleet, task, RUN_OTHERWISE, NOW + SEC);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	ck_assert_int_eq(task->fails, 0);
	mark_changes_stored(&fleet);
	ck_assert_int_eq(fleet_ends_stored(&fleet, worker), 1);
}
END_TEST

START_TEST(lapsed_runs_do_not_count_as_attempts)
{
	struct job *job;
	int i;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	job = running_job(1, false);
	for (i = 0; i < 10; i++) {
		report_run_end(&fleet, first_occurrence_task(job, 0, 0),
			       RUN_LAPSED, NOW);
		plan_pass(&fleet, NOW);
		confirm_planned_runs(&fleet, NOW);
	}
	ck_assert_int_eq(job->phase, JOB_RUNNING);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->run, 11);
}
END_TEST

/* Failures of several members in the same run count once for the gang. */
START_TEST(gang_fails_once_a_run)
{
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	make_worker(&fleet, "w2", "r1", 8, NOW);
	job = running_job(10, true);
	report_run_end(&fleet, first_occurrence_task(job, 0, 3), RUN_FAILED,
		       NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 4), RUN_FAILED,
		       NOW);
	ck_assert_int_eq(job_stage(job, 0, 0)->fails, 1);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase,
			 TASK_STOPPING);
	/* The gang restarts only when no member holds resources any more. */
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	for (int i = 0; i < 10; i++)
		if (first_occurrence_task(job, 0, i)->worker)
			report_run_end(&fleet, first_occurrence_task(job, 0, i),
				       RUN_BROKEN, NOW);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 10);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->run, 2);
	ck_assert_int_eq(first_occurrence_task(job, 0, 9)->run, 2);
}
END_TEST

START_TEST(one_done_member_ends_the_gang)
{
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	make_worker(&fleet, "w2", "r1", 8, NOW);
	job = running_job(10, true);
	report_run_end(&fleet, first_occurrence_task(job, 0, 3), RUN_DONE, NOW);
	ck_assert_int_eq(job->phase, JOB_DONE);
	/* The others hold their resources until their ends are reported. */
	ck_assert(fleet_job_holds_room(job));
}
END_TEST

/* A report is asked for again so long after one that leaves a run out. */
static int64_t asked_again_us(void)
{
	return (fleet.bounds.stop_ms + MISSING_SLACK_MS) * 1000;
}

/*
 * So many reports leave out the same, each asked for as early as it counts.
 * Returns when the last one arrived.
 */
static int64_t report_times(int times, struct worker *worker,
			    const struct hold_report *report, int64_t now_us)
{
	int i;

	for (i = 0; i < times; i++) {
		now_us += i > 0 ? asked_again_us() : 0;
		fleet_handle_hold(&fleet, worker, report, now_us, now_us, 0);
	}
	return now_us;
}

/*
 * Guards against a short run that is released while it is done: it is in no list
 * just after its start, is listed, and is in no list just after its end.
 */
START_TEST(run_that_was_never_listed_needs_three_reports)
{
	const struct hold_report empty = { 0 };
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(3, false);
	struct run_report run = { .task = (char *)"j.0.0.0", .run = 1 };
	const struct hold_report report = { .running = &run, .nrunning = 1 };
	int64_t now_us;

	/* Asked for before the other starts were answered. */
	fleet_handle_hold(&fleet, worker, &report, NOW, NOW + 1, 0);
	fleet_stop(&fleet, first_occurrence_task(job, 0, 1), "test");
	fleet_stop_answered(&fleet, first_occurrence_task(job, 0, 1), NOW + 1);
	now_us = report_times(2, worker, &empty, NOW + SEC);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 1)->worker);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 2)->worker, worker);
	report_times(1, worker, &empty, now_us + asked_again_us());
	ck_assert_ptr_null(first_occurrence_task(job, 0, 2)->worker);
}
END_TEST

/*
 * Guards against two runs at once: a run that ends, is being stopped or has
 * just been accepted while its worker reads its lists is in neither of them.
 */
START_TEST(run_between_two_lists_is_not_started_again)
{
	const int64_t again_us = NOW + 2 + asked_again_us();
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(3, false);
	struct run_report run = { .task = (char *)"j.0.0.0", .run = 1 };
	struct end_report end = { .number = 1,
				  .task = (char *)"j.0.0.1",
				  .run = 1,
				  .how = RUN_DONE };
	struct hold_report report = { 0 };
	int i;

	fleet_stop(&fleet, first_occurrence_task(job, 0, 2), "test");
	fleet_stop_answered(&fleet, first_occurrence_task(job, 0, 2), NOW);
	fleet_handle_hold(&fleet, worker, &report, NOW + 1, NOW + 2, 0);
	/* Asked for before a stop must have ended. */
	fleet_handle_hold(&fleet, worker, &report, again_us - 1, again_us, 0);
	for (i = 0; i < 3; i++)
		ck_assert_ptr_eq(first_occurrence_task(job, 0, i)->worker,
				 worker);
	ck_assert_int_eq(plan_pass(&fleet, again_us), 0);
	report.running = &run;
	report.nrunning = 1;
	report.ended = &end;
	report.nended = 1;
	fleet_handle_hold(&fleet, worker, &report, again_us, again_us, 0);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_RUNNING);
	ck_assert_int_eq(first_occurrence_task(job, 0, 1)->phase, TASK_DONE);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 2)->worker);
	/* One that was listed again has to be left out twice from then on. */
	report = (struct hold_report){ 0 };
	fleet_handle_hold(&fleet, worker, &report, again_us + 1, again_us + 1,
			  0);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, worker);
}
END_TEST

/*
 * Guards against a run that is never released, as each repeated stop is answered
 * before the second report is asked for.
 */
START_TEST(repeated_stops_do_not_delay_the_release)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = first_occurrence_task(job, 0, 0);
	const struct hold_report empty = { 0 };
	int64_t step_us = asked_again_us() * 3 / 4, now_us = NOW;
	int i;

	fleet_stop(&fleet, task, "test");
	for (i = 0; i < 3; i++) {
		now_us += step_us;
		fleet_stop_answered(&fleet, task, now_us);
		fleet_handle_hold(&fleet, worker, &empty, now_us + 1,
				  now_us + 1, 0);
	}
	ck_assert_ptr_null(task->worker);
}
END_TEST

/*
 * A hold report may be older than the answer to the start order. That it does
 * not name the run must not end the run then.
 */
START_TEST(report_older_than_the_answer_is_ignored)
{
	struct hold_report empty = { 0 };
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	int64_t now_us;

	fleet_handle_hold(&fleet, worker, &empty, NOW - 1, NOW + 1, 0);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, worker);
	now_us = report_times(2, worker, &empty, NOW + 2);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, worker);
	report_times(1, worker, &empty, now_us + asked_again_us());
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
}
END_TEST

/*
 * Guards against runs that count as gone, and are started again, because their
 * ends do not fit into a report: only a whole report shows that a run is gone.
 */
START_TEST(truncated_report_ends_no_run)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(2, false);
	struct end_report end = { .number = 1,
				  .task = (char *)"j.0.0.0",
				  .run = 1,
				  .how = RUN_DONE };
	struct hold_report report = { .ended = &end,
				      .nended = 1,
				      .truncated = true };

	fleet_handle_hold(&fleet, worker, &report, NOW + 1, NOW + 2, 0);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_DONE);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 1)->worker, worker);
	fleet_handle_hold(&fleet, worker, &report, NOW + SEC, NOW + SEC, 0);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 1)->worker, worker);
	report.truncated = false;
	report_times(3, worker, &report, NOW + 2 * SEC);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 1)->worker);
}
END_TEST

START_TEST(lease_of_a_silent_worker)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	int64_t end_us;

	worker_extend_lease(worker, 6000, NOW);
	end_us = worker->lease_end_us;
	/* On a clock that is slow by 2 % the lease lasts longer. */
	ck_assert_int_ge(end_us, NOW + 6 * SEC + 6 * SEC / 50);
	worker->unanswered_calls = 3;
	worker->unanswered_since_us = NOW;
	fleet_expire(&fleet, end_us);
	ck_assert_ptr_nonnull(first_occurrence_task(job, 0, 0)->worker);
	fleet_expire(&fleet, end_us + LEASE_SLACK_MS * 1000 + 1);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_WAITING);
}
END_TEST

/* Ends the lease of the worker of a job, and returns the job's first task. */
static struct task *released_task(struct worker *worker, struct job *job)
{
	struct task *task = first_occurrence_task(job, 0, 0);

	worker_extend_lease(worker, 6000, NOW);
	worker->unanswered_calls = 3;
	worker->unanswered_since_us = NOW;
	fleet_expire(&fleet, NOW + 10 * SEC);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	worker->unanswered_calls = 0;
	return task;
}

static struct hold_report one_end(struct end_report *end, const char *task,
				  int64_t number)
{
	*end = (struct end_report){ .number = number,
				    .task = (char *)task,
				    .run = 1,
				    .how = RUN_DONE };
	return (struct hold_report){ .ended = end, .nended = 1 };
}

/*
 * Guards against a task that runs again after it was done: its worker was cut
 * off for longer than the lease and lists the end afterwards.
 */
START_TEST(late_end_of_a_released_run_counts)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(2, false);
	struct hold_report report;
	struct end_report end;

	released_task(worker, job);
	report = one_end(&end, "j.0.0.0", 1);
	fleet_handle_hold(&fleet, worker, &report, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_DONE);
	/* The other one is planned by now, and its start not sent. */
	ck_assert_int_eq(plan_pass(&fleet, NOW + 11 * SEC), 1);
	report = one_end(&end, "j.0.0.1", 2);
	fleet_handle_hold(&fleet, worker, &report, NOW + 12 * SEC,
			  NOW + 12 * SEC, 0);
	ck_assert_int_eq(job->phase, JOB_DONE);
	ck_assert(!fleet_job_holds_room(job));
}
END_TEST

/*
 * A run that was started again after the lease of the first one had expired goes
 * on.
 */
START_TEST(late_end_ends_no_later_run)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = released_task(worker, job);
	struct hold_report report;
	struct end_report end;

	make_worker(&fleet, "w2", "r1", 8, NOW + 10 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 10 * SEC), 1);
	ck_assert_int_eq(confirm_planned_runs(&fleet, NOW + 10 * SEC), 1);
	report = one_end(&end, "j.0.0.0", 1);
	fleet_handle_hold(&fleet, worker, &report, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	ck_assert_int_eq(task->run, 2);
	ck_assert_int_eq(job->phase, JOB_RUNNING);
}
END_TEST

/*
 * Guards against a task that works on after it was done: its first run was
 * released, the next one is starting, at work or being stopped.
 */
START_TEST(late_end_stops_a_later_run)
{
	static const enum task_phase phases[] = { TASK_STARTING, TASK_RUNNING,
						  TASK_STOPPING };
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = first_occurrence_task(job, 0, 0);
	struct hold_report report;
	struct end_report end;
	struct worker *other;

	report = (struct hold_report){ 0 };
	report_times(3, worker, &report, NOW + SEC);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	worker->reported.draining = true;
	other = make_worker(&fleet, "w2", "r1", 8, NOW + 10 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 10 * SEC), 1);
	ck_assert_int_eq(confirm_planned_runs(&fleet, NOW + 10 * SEC), 1);
	task->phase = phases[_i];
	report = one_end(&end, "j.0.0.0", 1);
	fleet_handle_hold(&fleet, worker, &report, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(task->phase, TASK_DONE);
	ck_assert_int_eq(job->phase, JOB_DONE);
	ck_assert(!fleet_job_holds_room(job));
	ck_assert_ptr_nonnull(orphan_find(other, "j.0.0.0", 2));
	ck_assert_int_eq(worker_free_room(other).gpus, 7);
}
END_TEST

/* Only an end "done" has an effect when it comes late. */
START_TEST(other_late_ends_have_no_effect)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = released_task(worker, job);
	struct hold_report report;
	struct end_report end;

	report = one_end(&end, "j.0.0.0", 1);
	end.how = (enum run_end)_i;
	fleet_handle_hold(&fleet, worker, &report, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(task->phase, TASK_WAITING);
	ck_assert_int_eq(task->fails, 0);
	ck_assert_int_eq(job->phase, JOB_RUNNING);
	mark_changes_stored(&fleet);
	ck_assert_int_eq(fleet_ends_stored(&fleet, worker), 1);
}
END_TEST

/*
 * Guards against a task that is stopped as stalled and started again for ever,
 * because its first percent takes longer than the time without progress after
 * which a run counts as stalled: it is declared as 60 s and takes 300 s.
 */
START_TEST(slow_task_is_not_stopped_for_ever)
{
	const int64_t percent_us = 3 * SEC;
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 60000, NOW);
	struct task *task;
	int64_t now_us, began_us = NOW;
	int stops = 0;

	fleet_open_due(&fleet, NOW, 0);
	task = first_occurrence_task(job, 0, 0);
	for (now_us = NOW; now_us < NOW + 60 * SEC; now_us += SEC / 10) {
		struct run_report run = { .task = (char *)"j.0.0.0" };
		struct hold_report report = { .running = &run, .nrunning = 1 };

		plan_pass(&fleet, now_us);
		if (confirm_planned_runs(&fleet, now_us) > 0)
			began_us = now_us;
		run.run = task->run;
		run.percent = (int)((now_us - began_us) / percent_us);
		fleet_handle_hold(&fleet, worker, &report, now_us, now_us, 0);
		if (evict_pass(&fleet, now_us) == 0)
			continue;
		stops++;
		report_run_end(&fleet, task, RUN_STOPPED, now_us);
	}
	ck_assert_int_le(stops, 2);
	ck_assert_int_gt(task->percent, 10);
}
END_TEST

static const struct run_report listed_run = { .task = (char *)"j.0.0.0",
					      .run = 1 };
static const struct hold_report listing = {
	.running = (struct run_report *)&listed_run,
	.nrunning = 1,
};

/*
 * Guards against a second run beside one that goes on: a run that was released
 * and is listed is taken back while the next one has not been started.
 */
START_TEST(listed_run_is_taken_back)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = released_task(worker, job);

	fleet_handle_hold(&fleet, worker, &listing, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	ck_assert_ptr_eq(task->worker, worker);
	ck_assert_int_eq(task->run, 1);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 11 * SEC), 0);
	/* Also when the next one is planned already. */
	task = released_task(worker, job);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 12 * SEC), 1);
	fleet_handle_hold(&fleet, worker, &listing, NOW + 12 * SEC,
			  NOW + 12 * SEC, 0);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	ck_assert_int_eq(task->run, 1);
	ck_assert_uint_eq(fleet.unheld, 2);
	ck_assert(list_empty(&worker->orphans));
}
END_TEST

/*
 * Guards against two runs that go on beside each other until they end: the one
 * that no task holds is stopped, and holds its room until it has ended.
 */
START_TEST(listed_run_beside_a_later_one_is_stopped)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	struct task *task = released_task(worker, job);
	struct hold_report report;
	struct end_report end;
	struct orphan *orphan;

	worker->reported.draining = true;
	make_worker(&fleet, "w2", "r1", 8, NOW);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 11 * SEC), 1);
	confirm_planned_runs(&fleet, NOW + 11 * SEC);
	fleet_handle_hold(&fleet, worker, &listing, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert_int_eq(task->run, 2);
	orphan = orphan_find(worker, "j.0.0.0", 1);
	ck_assert_ptr_nonnull(orphan);
	ck_assert_int_eq(worker_free_room(worker).gpus, 7);
	/* A stop that may still take effect, then one that has. */
	orphan->answered_us = NOW + 12 * SEC;
	report = (struct hold_report){ 0 };
	fleet_handle_hold(&fleet, worker, &report, NOW + 12 * SEC + 1,
			  NOW + 12 * SEC + 1, 0);
	ck_assert_ptr_nonnull(orphan_find(worker, "j.0.0.0", 1));
	report = one_end(&end, "j.0.0.0", 1);
	end.how = RUN_STOPPED;
	fleet_handle_hold(&fleet, worker, &report, NOW + 12 * SEC + 2,
			  NOW + 12 * SEC + 2, 0);
	ck_assert(list_empty(&worker->orphans));
	ck_assert_int_eq(worker_free_room(worker).gpus, 8);
	/* A report that was overtaken by the one with the end. */
	fleet_handle_hold(&fleet, worker, &listing, NOW + 12 * SEC + 1,
			  NOW + 12 * SEC + 3, 0);
	ck_assert(list_empty(&worker->orphans));
	ck_assert_int_eq(task->phase, TASK_RUNNING);
}
END_TEST

/* Guards against a worker that is called for ever after it has gone. */
START_TEST(run_of_an_earlier_leader_goes_with_its_worker)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	int64_t gone_us = NOW + 12 * SEC;

	fleet.extended_until_us = NOW + 11 * SEC;
	fleet_handle_hold(&fleet, worker, &listing, NOW + 11 * SEC,
			  NOW + 11 * SEC, 0);
	ck_assert(!list_empty(&worker->orphans));
	worker->unanswered_calls = 1;
	worker->unanswered_since_us = gone_us;
	fleet_unlist(&fleet, "w1", gone_us);
	fleet_expire(&fleet, gone_us + 3 * SEC);
	ck_assert(!list_empty(&fleet.workers));
	fleet_expire(&fleet, gone_us + 20 * SEC);
	ck_assert(list_empty(&fleet.workers));
}
END_TEST

static int lost_calls;

static void ignore_note(void *user, const char *event, const struct job *job,
			const struct task *task, const char *why)
{
}

static void count_lost(void *user, const struct worker *worker, int64_t now_us)
{
	lost_calls++;
}

/* The loss of a worker is logged once, when the time limit is exceeded. */
START_TEST(unreachable_worker_is_logged_once)
{
	static const struct fleet_ops ops = {
		.note = ignore_note,
		.lost = count_lost,
	};
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);

	lost_calls = 0;
	fleet.ops = &ops;
	fleet_expire(&fleet, NOW + 60 * SEC);
	ck_assert_int_eq(lost_calls, 0);
	worker->unanswered_calls = 2;
	worker->unanswered_since_us = NOW;
	fleet_expire(&fleet, NOW + UNREACHABLE_AFTER_MS * 1000 - 1);
	ck_assert_int_eq(lost_calls, 0);
	fleet_expire(&fleet, NOW + UNREACHABLE_AFTER_MS * 1000);
	fleet_expire(&fleet, NOW + 60 * SEC);
	ck_assert_int_eq(lost_calls, 1);
	fleet.ops = NULL;
}
END_TEST

START_TEST(worker_that_answers_keeps_its_tasks)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);

	worker_extend_lease(worker, 6000, NOW);
	fleet_expire(&fleet, NOW + 60 * SEC);
	ck_assert_ptr_nonnull(first_occurrence_task(job, 0, 0)->worker);
}
END_TEST

/*
 * Tasks of a restarted worker move to its new incarnation, which a repeated
 * start order may have reached. Its hold report shows which of them run.
 */
START_TEST(new_incarnation_keeps_tasks_until_it_reports)
{
	struct worker *old = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(2, false);
	struct hold_report report = { 0 };
	struct run_report run = { .task = (char *)"j.0.0.1", .run = 1 };
	struct run_report first = { .task = (char *)"j.0.0.0", .run = 1 };
	struct hold_report earlier = { .running = &first,
				       .nrunning = 1,
				       .born_ms = 1000 };
	struct worker_report later = {
		.id = g_strdup("w1"),
		.born_ms = 2000,
		.pool = g_strdup(MAKE_POOL),
		.port = 1,
		.room = { 128000, 262144, 8 },
	};
	struct worker *worker;

	fleet_handle_hold(&fleet, old, &earlier, NOW + 1, NOW + 1, 0);
	worker = fleet_update_worker(&fleet, &later, NOW + SEC);
	ck_assert_ptr_ne(worker, old);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, worker);
	report.running = &run;
	report.nrunning = 1;
	/* A report that may be of the earlier incarnation shows nothing. */
	fleet_handle_hold(&fleet, worker, &report, NOW + 2 * SEC, NOW + 2 * SEC,
			  0);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 0)->worker, worker);
	report.born_ms = 2000;
	fleet_handle_hold(&fleet, worker, &report, NOW + 2 * SEC, NOW + 2 * SEC,
			  0);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 1)->worker, worker);
}
END_TEST

/*
 * Guards against a start without an answer that is carried out after the worker
 * has restarted, beside the next run: the new incarnation does not know the run,
 * so it has to be told to refuse it.
 */
START_TEST(start_without_answer_is_stopped_at_the_next_life)
{
	struct hold_report report = { .born_ms = 2000 };
	struct worker *worker;
	struct task *task;
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	job = running_job(1, false);
	task = first_occurrence_task(job, 0, 0);
	/* The first start had no answer, the second one was accepted. */
	task->tries = 2;
	task->unconfirmed = true;
	fleet_worker_restarted(&fleet, task->worker, 2000, 7000, NOW + SEC);
	worker = task->worker;
	ck_assert_int_eq(task->phase, TASK_STOPPING);
	report_times(2, worker, &report, NOW + 2 * SEC);
	ck_assert_ptr_eq(task->worker, worker);
	fleet_stop_answered(&fleet, task, NOW + 3 * SEC);
	report_times(2, worker, &report, NOW + 4 * SEC);
	ck_assert_ptr_null(task->worker);
}
END_TEST

/*
 * Guards against tasks that stand still: without a sample of the new
 * incarnation's clock the end of its lease was counted from the start of this
 * host's clock, and was later by 2 % of the time since then.
 */
START_TEST(lease_counts_on_the_clock_of_the_next_life)
{
	const int64_t day_us = 24 * 3600 * SEC;
	struct worker *worker;

	make_worker(&fleet, "w1", "r1", 8, day_us);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w1");
	fleet_worker_restarted(&fleet, worker, 2000, 7000, day_us);
	worker = g_hash_table_lookup(fleet.workers_by_id, "w1");
	ck_assert_int_eq(worker_extend_lease(worker, 6000, day_us + SEC),
			 7000 + 1000 + 6000);
	ck_assert_int_le(worker->lease_end_us, day_us + 8 * SEC);
}
END_TEST

/* The worker's clock is slow by the drift; it registers each second or so. */
START_TEST(lease_of_an_idle_worker_ends_in_time)
{
	const int64_t week_us = 7 * 24 * 3600 * SEC;
	const int64_t idle_us = 10 * 3600 * SEC;
	struct worker_report report = {
		.id = g_strdup("w1"),
		.born_ms = 1000,
		.pool = g_strdup(MAKE_POOL),
		.port = 1,
		.dc = g_strdup("d1"),
		.room = { 128000, 262144, 8 },
		.clock_ms = 5000 + (idle_us - SEC) * 98 / 100 / 1000,
	};
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, week_us);

	worker->heard_us = week_us;
	worker_set_clock(worker, 5000, week_us);
	/* A registration tells less than an answer just before. */
	make_worker(&fleet, "w1", "r1", 8, week_us + SEC);
	ck_assert_int_eq(worker->clock_us, week_us);
	fleet_update_worker(&fleet, &report, week_us + idle_us);
	ck_assert_int_eq(worker->clock_us, week_us + idle_us);
	worker_extend_lease(worker, 6000, week_us + idle_us + SEC);
	ck_assert_int_le(worker->lease_end_us, week_us + idle_us + 8 * SEC);
}
END_TEST

/* The first answer of an adopted worker was a refusal, which has no clock. */
START_TEST(lease_of_a_worker_without_a_sample_counts_on_its_registration)
{
	const int64_t week_us = 7 * 24 * 3600 * SEC;
	struct worker *worker;

	worker = fleet_adopt_worker(&fleet, "w1", 1000, week_us);
	worker->heard_us = week_us;
	ck_assert_ptr_eq(make_worker(&fleet, "w1", "r1", 8, week_us + SEC),
			 worker);
	ck_assert_int_eq(worker_extend_lease(worker, 6000, week_us + 2 * SEC),
			 5000 + 1000 + 6000);
	ck_assert_int_le(worker->lease_end_us, week_us + 9 * SEC);
}
END_TEST

/*
 * Guards against a run that is released as not sent although a start of it may
 * have reached its worker.
 */
START_TEST(start_that_may_have_been_sent_is_not_released)
{
	struct task *task;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	task = first_occurrence_task(running_job(1, false), 0, 0);
	task->phase = TASK_STARTING;
	/* A repeated start is pending, and none before it was sent. */
	task->sent = false;
	task->start_pending = true;
	ck_assert(!fleet_release_unsent(&fleet, task));
	/* Its worker has restarted meanwhile, so the start may reach that life. */
	fleet_worker_restarted(&fleet, task->worker, 2000, 7000, NOW + SEC);
	ck_assert_int_eq(task->phase, TASK_STOPPING);
	ck_assert(!fleet_release_unsent(&fleet, task));
	/* The order had found no connection. */
	task->start_pending = false;
	ck_assert(fleet_release_unsent(&fleet, task));
	ck_assert_ptr_null(task->worker);
}
END_TEST

/*
 * Guards against a run that is released although the new incarnation has it: the
 * answer to its start came from that incarnation, before this host knew of it,
 * and its first report does not list the run yet.
 */
START_TEST(start_answered_by_the_next_life_is_kept)
{
	struct hold_report report = { .born_ms = 2000 };
	struct run_report run = { .task = (char *)"j.0.0.0", .run = 1 };
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct task *task = first_occurrence_task(running_job(1, false), 0, 0);

	fleet_worker_restarted(&fleet, worker, 2000, 7000, NOW + 1);
	fleet_handle_hold(&fleet, task->worker, &report, NOW + 2, NOW + 2, 0);
	ck_assert_ptr_nonnull(task->worker);
	report.running = &run;
	report.nrunning = 1;
	fleet_handle_hold(&fleet, task->worker, &report, NOW + SEC, NOW + SEC,
			  0);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	/* That incarnation has it, and ends. */
	report = (struct hold_report){ .born_ms = 3000 };
	fleet_worker_restarted(&fleet, task->worker, 3000, 7000, NOW + 2 * SEC);
	fleet_handle_hold(&fleet, task->worker, &report, NOW + 2 * SEC,
			  NOW + 2 * SEC, 0);
	ck_assert_ptr_null(task->worker);
}
END_TEST

START_TEST(earlier_incarnation_is_ignored)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct worker_report earlier = { .id = g_strdup("w1"),
					 .born_ms = 500,
					 .pool = g_strdup("other") };

	ck_assert_ptr_eq(fleet_update_worker(&fleet, &earlier, NOW), worker);
	ck_assert_str_eq(worker->reported.pool, MAKE_POOL);
}
END_TEST

/*
 * Guards against a worker that is never called again: it has started again at
 * another address, after its time of day was set back.
 */
START_TEST(silent_worker_may_return_with_a_lower_start_time)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct hold_report report = { .born_ms = 1000 };
	struct job *job = running_job(1, false);
	struct task *task = first_occurrence_task(job, 0, 0);
	struct worker_report later = { .id = g_strdup("w1"),
				       .born_ms = 500,
				       .pool = g_strdup(MAKE_POOL),
				       .port = 2 };

	worker->unanswered_calls = 1;
	worker = fleet_update_worker(&fleet, &later, NOW + SEC);
	ck_assert_int_eq(worker->reported.port, 2);
	ck_assert_ptr_eq(task->worker, worker);
	/* The entry was out of date: the same incarnation answers again. */
	fleet_worker_restarted(&fleet, worker, 1000, 7000, NOW + SEC);
	fleet_handle_hold(&fleet, task->worker, &report, NOW + 2 * SEC,
			  NOW + 2 * SEC, 0);
	ck_assert_ptr_nonnull(task->worker);
}
END_TEST

START_TEST(first_report_resolves_adopted_runs)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = make_job(&fleet, "j", 1, 2, 1, 1000, NOW);
	struct run_report run = { .task = (char *)"j.0.0.0", .run = 4 };
	struct hold_report report = { .running = &run, .nrunning = 1 };
	int64_t now_us;
	int i;

	fleet_open_due(&fleet, NOW, 0);
	for (i = 0; i < 2; i++) {
		first_occurrence_task(job, 0, i)->run = 4;
		fleet_adopt_run(&fleet, first_occurrence_task(job, 0, i),
				fleet_adopt_worker(&fleet, "w1", 1000, NOW));
	}
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	now_us = report_times(2, worker, &report, NOW + 1);
	ck_assert_ptr_eq(first_occurrence_task(job, 0, 1)->worker, worker);
	now_us += asked_again_us();
	report_times(1, worker, &report, now_us);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase, TASK_RUNNING);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 1)->worker);
	ck_assert_int_eq(plan_pass(&fleet, now_us), 1);
	ck_assert_int_eq(first_occurrence_task(job, 0, 1)->run, 5);
}
END_TEST

/*
 * Tasks on an adopted worker that does not answer are released when all leases
 * that the deposed leader may have extended have expired, and not before.
 */
START_TEST(unreachable_adopted_worker_expires)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1000, NOW);
	struct worker *worker;

	fleet.extended_until_us = NOW + 6 * SEC;
	fleet_open_due(&fleet, NOW, 0);
	worker = fleet_adopt_worker(&fleet, "gone", 7, NOW);
	first_occurrence_task(job, 0, 0)->run = 1;
	fleet_adopt_run(&fleet, first_occurrence_task(job, 0, 0), worker);
	make_worker(&fleet, "w1", "r1", 8, NOW);
	fleet_expire(&fleet, NOW + 12 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 12 * SEC), 0);
	fleet_expire(&fleet, NOW + 13 * SEC + SEC / 2);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 13 * SEC), 1);
}
END_TEST

/*
 * If the previous leader confirms that it extends no lease any more, half of
 * the waiting time is enough.
 */
START_TEST(stopped_old_leader_shortens_the_wait)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1000, NOW);

	fleet.extended_until_us = NOW + 6 * SEC;
	fleet_open_due(&fleet, NOW, 0);
	first_occurrence_task(job, 0, 0)->run = 1;
	fleet_adopt_run(&fleet, first_occurrence_task(job, 0, 0),
			fleet_adopt_worker(&fleet, "gone", 7, NOW));
	make_worker(&fleet, "w1", "r1", 8, NOW);
	fleet_earlier_leaders_stopped(&fleet, NOW);
	fleet_expire(&fleet, NOW + 6 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 6 * SEC), 0);
	fleet_expire(&fleet, NOW + 7 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 7 * SEC), 1);
}
END_TEST

/*
 * Guards against a release before the lease ends: until the earlier leaders
 * confirm, they may extend leases, so the time counts from there and not from
 * the takeover.
 */
START_TEST(wait_counts_from_the_release)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1000, NOW);

	fleet.extended_until_us = NOW + 6 * SEC;
	fleet_open_due(&fleet, NOW, 0);
	first_occurrence_task(job, 0, 0)->run = 1;
	fleet_adopt_run(&fleet, first_occurrence_task(job, 0, 0),
			fleet_adopt_worker(&fleet, "gone", 7, NOW));
	make_worker(&fleet, "w1", "r1", 8, NOW);
	fleet_earlier_leaders_stopped(&fleet, NOW + 3 * SEC);
	fleet_expire(&fleet, NOW + 9 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 9 * SEC), 0);
	fleet_expire(&fleet, NOW + 10 * SEC);
	ck_assert_int_eq(plan_pass(&fleet, NOW + 10 * SEC), 1);
}
END_TEST

/*
 * Guards against runs that are started elsewhere while they go on behind a
 * partition: a draining worker that is no longer registered and refuses
 * connections may still be at work until its lease has expired.
 */
START_TEST(draining_worker_keeps_its_runs_until_its_lease_expires)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(1, false);
	int64_t over_us;

	worker_extend_lease(worker, 6000, NOW);
	over_us = worker->lease_end_us + LEASE_SLACK_MS * 1000;
	worker->reported.draining = true;
	worker->refusals = 20;
	worker->unanswered_calls = 20;
	worker->unanswered_since_us = NOW;
	fleet_unlist(&fleet, "w1", NOW);
	fleet_expire(&fleet, over_us);
	ck_assert_ptr_nonnull(first_occurrence_task(job, 0, 0)->worker);
	fleet_expire(&fleet, over_us + 1);
	ck_assert_ptr_null(first_occurrence_task(job, 0, 0)->worker);
}
END_TEST

static void report_draining(int64_t remaining_ms, int64_t now_us)
{
	struct worker_report report = {
		.id = g_strdup("w1"),
		.born_ms = 1000,
		.pool = g_strdup(MAKE_POOL),
		.port = 1,
		.dc = g_strdup("d1"),
		.room = { 128000, 262144, 8 },
		.draining = true,
		.remaining_ms = remaining_ms,
		.clock_ms = 5000,
	};

	fleet_update_worker(&fleet, &report, now_us);
}

/* Each report says what is left when it is written. */
START_TEST(run_that_ends_before_its_worker_leaves_is_not_stopped)
{
	struct task *task;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	task = first_occurrence_task(running_job(1, false), 0, 0);
	task->stage->job->spec.steps[0].est_ms = 6000;
	report_draining(7500, NOW);
	report_draining(4500, NOW + 3 * SEC);
	task->percent = 50;
	task->progress_us = NOW + 3 * SEC;
	ck_assert_int_eq(evict_pass(&fleet, NOW + 3 * SEC), 0);
	ck_assert_int_eq(task->phase, TASK_RUNNING);
	/* The same figure again is of the same time. */
	report_draining(4500, NOW + 5 * SEC);
	ck_assert_int_eq(evict_pass(&fleet, NOW + 6 * SEC), 1);
}
END_TEST

static struct worker *known_worker(void)
{
	return g_hash_table_lookup(fleet.workers_by_id, "w1");
}

/* Its registration has the same time left as the one of the life before. */
START_TEST(later_life_of_a_draining_worker_drains_too)
{
	make_worker(&fleet, "w1", "r1", 8, NOW);
	report_draining(7500, NOW);
	fleet_worker_restarted(&fleet, known_worker(), 1000 + 1, 100, NOW);
	known_worker()->reported.born_ms = 1000;
	report_draining(7500, NOW + SEC);
	ck_assert_int_eq(known_worker()->draining_us, NOW + SEC);
}
END_TEST

START_TEST(cancelled_job_frees_resources_on_reported_ends)
{
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	job = running_job(2, false);
	fleet_cancel(&fleet, job, 1);
	ck_assert_int_eq(job->phase, JOB_CANCELLED);
	ck_assert_int_eq(first_occurrence_task(job, 0, 0)->phase,
			 TASK_STOPPING);
	ck_assert(fleet_job_holds_room(job));
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_STOPPED,
		       NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 1), RUN_DONE, NOW);
	ck_assert(!fleet_job_holds_room(job));
	ck_assert_int_eq(job->phase, JOB_CANCELLED);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
}
END_TEST

START_TEST(later_steps_wait_for_earlier_ones)
{
	struct job_spec spec;
	struct job *job;

	make_worker(&fleet, "w1", "r1", 8, NOW);
	job_spec_init(&spec, 2);
	spec.payload = g_strdup("p");
	spec.steps[0].count = 2;
	spec.steps[1].count = 1;
	spec.steps[1].after = 1;
	job = job_new("two", &spec);
	job->queue = g_strdup("q");
	job->pool = g_strdup(MAKE_POOL);
	job->customer = g_strdup("one");
	job->attempts = 2;
	fleet_add_job(&fleet, job);
	fleet_open_due(&fleet, NOW, 0);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 2);
	confirm_planned_runs(&fleet, NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_DONE, NOW);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	report_run_end(&fleet, first_occurrence_task(job, 0, 1), RUN_DONE, NOW);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
}
END_TEST

START_TEST(occurrences_start_when_they_are_due)
{
	struct job *job = make_job(&fleet, "t", 1, 1, 1, 100, NOW);

	make_worker(&fleet, "w1", "r1", 8, NOW);
	/* Turns the job into a recurring one. */
	job->spec.times = 2;
	job->spec.first_ms = 5000;
	job->spec.interval_ms = 1000;
	job->occurrences = 2;
	fleet_open_due(&fleet, NOW, 4999);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	fleet_open_due(&fleet, NOW, 5000);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
	confirm_planned_runs(&fleet, NOW);
	fleet_open_due(&fleet, NOW, 6000);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
	confirm_planned_runs(&fleet, NOW);
	report_run_end(&fleet, &job_stage(job, 0, 0)->tasks[0], RUN_DONE, NOW);
	ck_assert(!job_ended(job));
	report_run_end(&fleet, &job_stage(job, 1, 0)->tasks[0], RUN_DONE, NOW);
	ck_assert_int_eq(job->phase, JOB_DONE);
}
END_TEST

/* Failures of different jobs ban a worker, failures of one job do not. */
START_TEST(worker_that_fails_is_banned)
{
	struct worker *bad = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job, *other;

	/*
	 * Two more workers, without GPUs, keep the banned share of the pool
	 * (one of three) below the limit from which bans are ignored.
	 */
	make_worker(&fleet, "w2", "r1", 0, NOW);
	make_worker(&fleet, "w3", "r1", 0, NOW);
	job = running_job(2, false);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_FAILED,
		       NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 1), RUN_FAILED,
		       NOW);
	ck_assert_int_eq(bad->banned_until_us, 0);
	job->cancelled = true;
	fleet_cancel(&fleet, job, 1);
	other = make_job(&fleet, "k", 1, 1, 1, 1000, NOW);
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	report_run_end(&fleet, first_occurrence_task(other, 0, 0), RUN_FAILED,
		       NOW);
	ck_assert_int_gt(bad->banned_until_us, NOW);
	ck_assert_int_eq(plan_pass(&fleet, NOW), 0);
	ck_assert_int_eq(plan_pass(&fleet, bad->banned_until_us + 1), 1);
}
END_TEST

START_TEST(checkpoint_applies_to_the_whole_gang)
{
	struct worker *worker = make_worker(&fleet, "w1", "r1", 8, NOW);
	struct job *job = running_job(3, true);
	struct run_report runs[3] = {
		{ (char *)"j.0.0.0", 1, (char *)"saved", 40, 0 },
		{ (char *)"j.0.0.1", 1, NULL, 40, 0 },
		{ (char *)"j.0.0.2", 1, NULL, 40, 0 },
	};
	struct hold_report report = { .running = runs, .nrunning = 3 };

	job->spec.steps[0].checkpoint = true;
	fleet_handle_hold(&fleet, worker, &report, NOW + 1, NOW + 1, 0);
	ck_assert_str_eq(first_occurrence_task(job, 0, 2)->checkpoint, "saved");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fleet");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, done_tasks_end_the_job);
	tcase_add_test(tc, ends_are_acknowledged_after_they_are_stored);
	tcase_add_test(tc,
		       ends_are_acknowledged_to_the_life_that_reported_them);
	tcase_add_test(tc, answer_after_the_start_confirms_the_life);
	tcase_add_test(tc, planned_runs_delay_no_acknowledgement);
	tcase_add_test(tc, failures_use_up_the_attempts);
	tcase_add_test(
		tc, job_accepted_by_older_settings_has_the_attempts_in_force);
	tcase_add_test(tc, end_of_an_unknown_kind_is_an_end);
	tcase_add_test(tc, lapsed_runs_do_not_count_as_attempts);
	tcase_add_test(tc, gang_fails_once_a_run);
	tcase_add_test(tc, one_done_member_ends_the_gang);
	tcase_add_test(tc, run_that_was_never_listed_needs_three_reports);
	tcase_add_test(tc, run_between_two_lists_is_not_started_again);
	tcase_add_test(tc, repeated_stops_do_not_delay_the_release);
	tcase_add_test(tc, report_older_than_the_answer_is_ignored);
	tcase_add_test(tc, truncated_report_ends_no_run);
	tcase_add_test(tc, lease_of_a_silent_worker);
	tcase_add_test(tc, late_end_of_a_released_run_counts);
	tcase_add_test(tc, listed_run_is_taken_back);
	tcase_add_test(tc, listed_run_beside_a_later_one_is_stopped);
	tcase_add_test(tc, run_of_an_earlier_leader_goes_with_its_worker);
	tcase_add_test(tc, late_end_ends_no_later_run);
	tcase_add_loop_test(tc, late_end_stops_a_later_run, 0, 3);
	tcase_add_loop_test(tc, other_late_ends_have_no_effect, RUN_FAILED,
			    RUN_END_COUNT);
	tcase_add_test(tc, slow_task_is_not_stopped_for_ever);
	tcase_add_test(tc, unreachable_worker_is_logged_once);
	tcase_add_test(tc, worker_that_answers_keeps_its_tasks);
	tcase_add_test(tc, new_incarnation_keeps_tasks_until_it_reports);
	tcase_add_test(tc, start_without_answer_is_stopped_at_the_next_life);
	tcase_add_test(tc, lease_counts_on_the_clock_of_the_next_life);
	tcase_add_test(tc, lease_of_an_idle_worker_ends_in_time);
	tcase_add_test(
		tc,
		lease_of_a_worker_without_a_sample_counts_on_its_registration);
	tcase_add_test(tc, start_that_may_have_been_sent_is_not_released);
	tcase_add_test(tc, start_answered_by_the_next_life_is_kept);
	tcase_add_test(tc, earlier_incarnation_is_ignored);
	tcase_add_test(tc, silent_worker_may_return_with_a_lower_start_time);
	tcase_add_test(tc, first_report_resolves_adopted_runs);
	tcase_add_test(tc, unreachable_adopted_worker_expires);
	tcase_add_test(tc, stopped_old_leader_shortens_the_wait);
	tcase_add_test(tc, wait_counts_from_the_release);
	tcase_add_test(tc,
		       draining_worker_keeps_its_runs_until_its_lease_expires);
	tcase_add_test(tc,
		       run_that_ends_before_its_worker_leaves_is_not_stopped);
	tcase_add_test(tc, later_life_of_a_draining_worker_drains_too);
	tcase_add_test(tc, cancelled_job_frees_resources_on_reported_ends);
	tcase_add_test(tc, later_steps_wait_for_earlier_ones);
	tcase_add_test(tc, occurrences_start_when_they_are_due);
	tcase_add_test(tc, worker_that_fails_is_banned);
	tcase_add_test(tc, checkpoint_applies_to_the_whole_gang);
	return run_case("fleet", tc);
}
