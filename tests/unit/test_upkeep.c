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
	ck_assert(busy->cordoned);
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
	upkeep_update(&fleet, wave, machines, NOW + 17 * SEC);
	ck_assert(!wave->done);
	machine->up = true;
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
	return run_case("upkeep", tc);
}
