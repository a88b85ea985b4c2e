#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "control/record.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Job records in the store, written by one leader and read by the next. */

#define NOW 100000000LL

static struct fleet fleet, next;
static struct config *config, *next_config;

static void set_up(void)
{
	make_fleet(&fleet, &config);
	make_fleet(&next, &next_config);
	make_worker(&fleet, "w1", "r", 8, NOW);
	make_worker(&next, "w1", "r", 8, NOW);
}

static void tear_down(void)
{
	free_fleet(&fleet, config);
	free_fleet(&next, next_config);
}

static struct job *copy_submission(const struct job *job)
{
	struct submission head = { .queue = job->queue,
				   .pool = job->pool,
				   .customer = job->customer,
				   .key_digest = job->key_digest,
				   .priority = job->priority,
				   .attempts = job->attempts,
				   .stretch = job->stretch,
				   .slo_ms = job->slo_ms,
				   .accepted_ms = 77 };
	msgpack_sbuffer record;
	struct job *copy;

	record_submission_write(&head, &job->spec, &record);
	copy = record_submission_read(job->id, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	return copy;
}

START_TEST(submission_round_trip)
{
	struct job *job = make_job(&fleet, "j", 1, 3, 2, 1500, NOW);
	struct job *copy;

	job->stretch = 1.5;
	job->spec.steps[0].gang = true;
	job->spec.steps[0].checkpoint = true;
	job->spec.steps[0].label = g_strdup("ssd");
	job->spec.steps[0].max_per_worker = 2;
	copy = copy_submission(job);
	ck_assert_ptr_nonnull(copy);
	ck_assert_str_eq(copy->queue, "q");
	ck_assert_str_eq(copy->spec.payload, "payload");
	ck_assert_int_eq(copy->accepted_ms, 77);
	ck_assert_double_eq_tol(copy->stretch, 1.5, 0.001);
	ck_assert(copy->spec.steps[0].gang && copy->spec.steps[0].checkpoint);
	ck_assert(!copy->spec.steps[0].same_rack);
	ck_assert_str_eq(copy->spec.steps[0].label, "ssd");
	ck_assert_int_eq(copy->spec.steps[0].max_per_worker, 2);
	ck_assert_int_eq(copy->spec.steps[0].need.gpus, 2);
	job_free(copy);
}
END_TEST

/* The next leader adopts exactly the runs that may be in progress. */
START_TEST(state_survives_a_takeover)
{
	struct job *job = make_job(&fleet, "j", 1, 4, 1, 1500, NOW);
	msgpack_sbuffer record;
	enum job_phase phase;
	struct job *copy;
	struct job_owner owner;

	job->key_digest = record_key_digest("key-one");
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 0), RUN_DONE, NOW);
	report_run_end(&fleet, first_occurrence_task(job, 0, 1), RUN_FAILED,
		       NOW);
	first_occurrence_task(job, 0, 2)->checkpoint = g_strdup("saved");
	record_state_write(job, &record);
	ck_assert(record_phase_read(record.data, record.size, &phase, &owner));
	ck_assert_int_eq(phase, JOB_RUNNING);
	ck_assert_str_eq(owner.customer, "one");
	ck_assert_str_eq(owner.queue, job->queue);
	ck_assert_str_eq(owner.key_digest, job->key_digest);
	job_owner_finish(&owner);

	copy = copy_submission(job);
	fleet_add_job(&next, copy);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	ck_assert(copy->started);
	ck_assert_int_eq(first_occurrence_task(copy, 0, 0)->phase, TASK_DONE);
	ck_assert_ptr_null(first_occurrence_task(copy, 0, 0)->worker);
	ck_assert_int_eq(first_occurrence_task(copy, 0, 1)->fails, 1);
	ck_assert_ptr_null(first_occurrence_task(copy, 0, 1)->worker);
	ck_assert_int_eq(first_occurrence_task(copy, 0, 2)->phase,
			 TASK_STARTING);
	ck_assert_str_eq(first_occurrence_task(copy, 0, 2)->worker->reported.id,
			 "w1");
	ck_assert_str_eq(first_occurrence_task(copy, 0, 2)->checkpoint,
			 "saved");
	ck_assert_int_eq(job_stage(copy, 0, 0)->left, 3);
}
END_TEST

/* The next leader adopts a running speculative copy, also if the task is done
 * already. */
START_TEST(copy_survives_a_takeover)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1500, NOW);
	struct task *task;
	msgpack_sbuffer record;
	struct job *adopted;
	int done;

	make_worker(&fleet, "w2", "r", 8, NOW);
	make_worker(&next, "w2", "r", 8, NOW);
	job->spec.steps[0].speculative = true;
	job->speculative = true;
	fleet_open_due(&fleet, NOW, 0);
	plan_pass(&fleet, NOW);
	confirm_planned_runs(&fleet, NOW);
	task = first_occurrence_task(job, 0, 0);
	task->first_report_us = NOW;
	ck_assert_int_eq(plan_pass(&fleet, NOW + 2000000), 1);
	confirm_planned_runs(&fleet, NOW + 2000000);
	for (done = 0; done < 2; done++) {
		if (done)
			report_run_end(&fleet, task, RUN_DONE, NOW + 3000000);
		record_state_write(job, &record);
		adopted = copy_submission(job);
		fleet_add_job(&next, adopted);
		ck_assert(record_state_read(&next, adopted, record.data,
					    record.size, NOW));
		msgpack_sbuffer_destroy(&record);
		ck_assert(task_has_copy(first_occurrence_task(adopted, 0, 0)));
		ck_assert_int_eq(
			first_occurrence_task(adopted, 0, 0)->copy->run, 2);
		ck_assert_int_eq(
			first_occurrence_task(adopted, 0, 0)->copy->phase,
			done ? TASK_STOPPING : TASK_STARTING);
		ck_assert_int_eq(plan_pass(&next, NOW), 0);
		fleet_finish(&next);
		config_free(next_config);
		make_fleet(&next, &next_config);
		make_worker(&next, "w1", "r", 8, NOW);
		make_worker(&next, "w2", "r", 8, NOW);
	}
}
END_TEST

START_TEST(ended_job_keeps_its_phase)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1500, NOW);
	msgpack_sbuffer record;
	struct job *copy;

	fleet_open_due(&fleet, NOW, 0);
	fleet_cancel(&fleet, job, 5);
	record_state_write(job, &record);
	copy = copy_submission(job);
	fleet_add_job(&next, copy);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	ck_assert_int_eq(copy->phase, JOB_CANCELLED);
	ck_assert_int_eq(copy->ended_ms, 5);
	ck_assert_int_eq(plan_pass(&next, NOW), 0);
}
END_TEST

/* Truncated records are refused; one changed byte must not crash the reader. */
/* By the platform's contract. */
#define VALUE_BYTES_MAX 1048576

static size_t record_size(const struct job *job)
{
	msgpack_sbuffer record;
	size_t size;

	record_state_write(job, &record);
	size = record.size;
	msgpack_sbuffer_destroy(&record);
	return size;
}

static struct job *make_schedule(int64_t times, int nsteps)
{
	struct job_spec spec;
	struct job *job;
	int i;

	job_spec_init(&spec, nsteps);
	spec.payload = g_strdup("p");
	spec.times = times;
	spec.first_ms = 1;
	spec.interval_ms = 1;
	for (i = 0; i < nsteps; i++) {
		spec.steps[i].count = 1;
		spec.steps[i].after = i ? 1ULL << (i - 1) : 0;
	}
	job = job_new("t", &spec);
	job->queue = g_strdup("q");
	job->pool = g_strdup(MAKE_POOL);
	job->customer = g_strdup("one");
	job->attempts = 3;
	fleet_add_job(&fleet, job);
	return job;
}

/*
 * Guards against a record that the store refuses for its size, so that the
 * leader stores nothing any more: a schedule that is overdue by all of its
 * occurrences, with 8 steps each.
 */
START_TEST(record_of_an_overdue_schedule_fits)
{
	struct job *job = make_schedule(20000, 8);

	fleet_open_due(&fleet, NOW, 30000);
	ck_assert_int_gt(job->due, 0);
	ck_assert_uint_le(record_size(job), VALUE_BYTES_MAX);
}
END_TEST

#define YEAR_OF_MINUTES (365 * 24 * 60)
#define MEMORY_MAX_KB (32 * 1024)
/* A reader that needs more fails the test and not the machine. */
#define MEMORY_LIMIT_BYTES (512UL * 1024 * 1024)

/* A value of this process in kB, by its name. */
static long memory_kb(const char *name)
{
	FILE *file = fopen("/proc/self/status", "r");
	char line[200];
	long kb = -1;

	while (file && fgets(line, sizeof(line), file))
		if (g_str_has_prefix(line, name))
			kb = strtol(line + strlen(name), NULL, 10);
	if (file)
		fclose(file);
	return kb;
}

/*
 * Guards against a leader that is killed as it reads the record of a schedule:
 * the memory grew with the occurrences that are over. All but the last of a year
 * are.
 */
START_TEST(record_of_a_long_schedule_takes_little_memory)
{
	struct job *job = make_schedule(YEAR_OF_MINUTES, 8), *copy;
	msgpack_sbuffer record;
	long before_kb;
	int i;

#ifndef __SANITIZE_ADDRESS__
	setrlimit(RLIMIT_DATA,
		  &(struct rlimit){ MEMORY_LIMIT_BYTES, MEMORY_LIMIT_BYTES });
#endif
	for (i = 0; i < 8; i++)
		job->spec.steps[i].count = 16;
	job->due = job->over = job->closed = YEAR_OF_MINUTES - 1;
	ck_assert(job_open_occurrence(job, NOW));
	job->phase = JOB_RUNNING;
	job->started = true;
	record_state_write(job, &record);
	ck_assert_uint_le(record.size, 200);
	before_kb = memory_kb("VmRSS:");
	copy = copy_submission(job);
	ck_assert_ptr_nonnull(copy);
	fleet_add_job(&next, copy);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	ck_assert_int_eq(copy->over, YEAR_OF_MINUTES - 1);
	ck_assert_int_eq(plan_pass(&next, NOW), 16);
	ck_assert_int_lt(memory_kb("VmHWM:") - before_kb, MEMORY_MAX_KB);
}
END_TEST

/* Reads a record of the schedule that lists the open occurrences only. */
static struct job *reread(const struct job *job)
{
	struct job *copy = copy_submission(job);
	msgpack_sbuffer record;

	fleet_add_job(&next, copy);
	record_state_write(job, &record);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	return copy;
}

/* An occurrence that lasts is open beside later ones, some of which are over. */
START_TEST(open_occurrences_between_others_are_read)
{
	struct job *job = make_schedule(100, 2), *copy;
	int i;

	for (i = 0; i < 50; i++)
		ck_assert(job_open_occurrence(job, NOW));
	for (i = 0; i < 50; i++)
		if (i != 20 && i != 21 && i != 49)
			job_free_occurrence(job, i);
	job->over = 47;
	job_stage(job, 21, 0)->tasks[0].phase = TASK_DONE;
	job_stage(job, 21, 0)->left = 0;
	job_stage(job, 21, 0)->state = STAGE_DONE;
	copy = reread(job);
	ck_assert_int_eq(copy->due, 50);
	ck_assert_int_eq(copy->over, 47);
	ck_assert_int_eq(copy->closed, 20);
	ck_assert_ptr_null(job_stage(copy, 19, 0));
	ck_assert_int_eq(job_stage(copy, 20, 0)->state, STAGE_OPEN);
	ck_assert_int_eq(job_stage(copy, 20, 1)->state, STAGE_BLOCKED);
	ck_assert_int_eq(job_stage(copy, 21, 0)->state, STAGE_DONE);
	ck_assert_int_eq(job_stage(copy, 21, 1)->state, STAGE_OPEN);
	ck_assert_ptr_null(job_stage(copy, 22, 0));
	ck_assert_int_eq(job_stage(copy, 49, 0)->occurrence, 49);
	ck_assert_ptr_null(job_stage(copy, 50, 0));
	job_free_occurrence(copy, 20);
	job_close_occurrences(copy);
	ck_assert_int_eq(copy->closed, 21);
	ck_assert_int_eq(job_stage(copy, 21, 1)->step, 1);
}
END_TEST

START_TEST(record_of_large_checkpoints_fits)
{
	struct job *job = make_job(&fleet, "big", 1, 600, 1, 100, NOW), *copy;
	char *checkpoint = g_strnfill(4000, 'c');
	msgpack_sbuffer record;
	int i;

	job->spec.steps[0].checkpoint = true;
	fleet_open_due(&fleet, NOW, 0);
	for (i = 0; i < 600; i++)
		first_occurrence_task(job, 0, i)->checkpoint =
			g_strdup(checkpoint);
	record_state_write(job, &record);
	ck_assert_uint_le(record.size, VALUE_BYTES_MAX);
	copy = copy_submission(job);
	fleet_add_job(&next, copy);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	g_free(checkpoint);
}
END_TEST

/*
 * Guards against a record that grows with the occurrences that are over, and
 * against occurrences that are left out: a new leader takes over in between.
 */
START_TEST(occurrences_that_are_over_leave_the_record)
{
	struct job *job = make_schedule(3000, 1), *copy;
	msgpack_sbuffer record;
	size_t largest = 0;
	int64_t i;

	for (i = 0; i < 1500; i++) {
		fleet_open_due(&fleet, NOW, i + 1);
		ck_assert_int_eq(plan_pass(&fleet, NOW), 1);
		confirm_planned_runs(&fleet, NOW);
		report_run_end(&fleet, &job_stage(job, i, 0)->tasks[0],
			       RUN_DONE, NOW);
		largest = MAX(largest, record_size(job));
	}
	ck_assert_uint_le(largest, 1000);
	copy = copy_submission(job);
	fleet_add_job(&next, copy);
	record_state_write(job, &record);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	ck_assert_int_eq(copy->over, 1500);
	for (; i < 3000; i++) {
		fleet_open_due(&next, NOW, i + 1);
		ck_assert_int_eq(plan_pass(&next, NOW), 1);
		confirm_planned_runs(&next, NOW);
		report_run_end(&next, &job_stage(copy, i, 0)->tasks[0],
			       RUN_DONE, NOW);
	}
	ck_assert_int_eq(copy->phase, JOB_DONE);
}
END_TEST

START_TEST(broken_records_are_refused)
{
	struct job *job = make_job(&fleet, "j", 1, 2, 1, 1500, NOW);
	struct submission head = { .queue = (char *)"q",
				   .pool = (char *)MAKE_POOL,
				   .customer = (char *)"one" };
	msgpack_sbuffer record;
	size_t i;

	record_submission_write(&head, &job->spec, &record);
	for (i = 0; i < record.size; i++) {
		struct job *copy = record_submission_read("j", record.data, i);

		ck_assert_ptr_null(copy);
		record.data[i] ^= 0x55;
		copy = record_submission_read("j", record.data, record.size);
		if (copy)
			job_free(copy);
		record.data[i] ^= 0x55;
	}
	msgpack_sbuffer_destroy(&record);
}
END_TEST

/*
 * Guards against numbers of a record that another program has written, and that
 * are added to: the next run, the age of a job.
 */
START_TEST(numbers_out_of_range_are_refused)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1500, NOW), *copy;
	struct submission head = { .queue = (char *)"q",
				   .pool = (char *)MAKE_POOL,
				   .customer = (char *)"one",
				   .accepted_ms = INT64_MIN };
	msgpack_sbuffer record;

	fleet_open_due(&fleet, NOW, 0);
	copy = copy_submission(job);
	fleet_add_job(&next, copy);
	first_occurrence_task(job, 0, 0)->run = INT64_MAX;
	record_state_write(job, &record);
	ck_assert(
		!record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
	record_submission_write(&head, &job->spec, &record);
	ck_assert_ptr_null(
		record_submission_read("k", record.data, record.size));
	msgpack_sbuffer_destroy(&record);
}
END_TEST

/* An earlier version has accepted a job whose durations are beyond the range. */
START_TEST(amounts_of_earlier_versions_are_cut)
{
	struct job *job = make_job(&fleet, "j", 1, 1, 1, 1500, NOW), *copy;

	job->spec.steps[0].est_ms = INT64_MAX;
	job->spec.steps[0].need.gpus = INT64_MAX;
	copy = copy_submission(job);
	ck_assert_ptr_nonnull(copy);
	ck_assert_int_eq(copy->spec.steps[0].est_ms, SPEC_SPAN_MAX_MS);
	ck_assert_int_eq(copy->spec.steps[0].need.gpus, SPEC_AMOUNT_MAX);
	job_free(copy);
}
END_TEST

/* Without the fields that were added at the end. */
START_TEST(records_without_queue_and_key_are_read)
{
	struct job *job = make_job(&fleet, "j", 1, 2, 1, 1500, NOW);
	struct submission head = { .queue = (char *)"q",
				   .pool = (char *)MAKE_POOL,
				   .customer = (char *)"one" };
	struct job_owner owner;
	msgpack_sbuffer record;
	enum job_phase phase;
	struct job *copy;

	record_submission_write(&head, &job->spec, &record);
	ck_assert_int_eq((unsigned char)record.data[0], 0x9f);
	record.data[0] = (char)0x9e;
	copy = record_submission_read("j", record.data, record.size - 1);
	ck_assert_ptr_nonnull(copy);
	ck_assert_str_eq(copy->customer, "one");
	ck_assert_ptr_null(copy->key_digest);
	msgpack_sbuffer_destroy(&record);

	record_state_write(job, &record);
	ck_assert_int_eq((unsigned char)record.data[0], 0x99);
	record.data[0] = (char)0x97;
	record.size -= 1 + 1 + strlen(job->queue);
	ck_assert(record_phase_read(record.data, record.size, &phase, &owner));
	ck_assert_str_eq(owner.customer, "one");
	ck_assert_ptr_null(owner.queue);
	job_owner_finish(&owner);
	fleet_add_job(&next, copy);
	ck_assert(
		record_state_read(&next, copy, record.data, record.size, NOW));
	msgpack_sbuffer_destroy(&record);
}
END_TEST

START_TEST(counts_of_waiting_jobs)
{
	msgpack_sbuffer record;

	make_job(&fleet, "a", 1, 1, 1, 100, NOW);
	make_job(&fleet, "b", 1, 1, 1, 100, NOW)->started = true;
	record_waiting_write(&fleet, &record);
	ck_assert_int_eq(record_waiting_read(record.data, record.size, "q"), 1);
	ck_assert_int_eq(record_waiting_read(record.data, record.size, "x"),
			 -1);
	msgpack_sbuffer_destroy(&record);
	ck_assert_int_eq(record_waiting_read("", 0, "q"), -1);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("record");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, submission_round_trip);
	tcase_add_test(tc, state_survives_a_takeover);
	tcase_add_test(tc, copy_survives_a_takeover);
	tcase_add_test(tc, ended_job_keeps_its_phase);
	tcase_add_test(tc, record_of_an_overdue_schedule_fits);
	tcase_add_test(tc, record_of_a_long_schedule_takes_little_memory);
	tcase_add_test(tc, open_occurrences_between_others_are_read);
	tcase_add_test(tc, record_of_large_checkpoints_fits);
	tcase_add_test(tc, occurrences_that_are_over_leave_the_record);
	tcase_add_test(tc, broken_records_are_refused);
	tcase_add_test(tc, numbers_out_of_range_are_refused);
	tcase_add_test(tc, amounts_of_earlier_versions_are_cut);
	tcase_add_test(tc, records_without_queue_and_key_are_read);
	tcase_add_test(tc, counts_of_waiting_jobs);
	return run_case("record", tc);
}
