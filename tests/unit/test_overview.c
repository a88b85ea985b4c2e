#include <math.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "control/overview.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/* Status of a host for operators, and its output by the command line. */

#define SEC 1000000LL
#define NOW (100 * SEC)

static struct director director;
static struct relay relay;
static struct configuration configuration;
static struct config *config;
static struct site site = { .host = "h1",
			    .dc = "d1",
			    .dcs = { { .name = "d1" } },
			    .dc_count = 1 };
static char text[4096];

static void set_up(void)
{
	memset(&director, 0, sizeof(director));
	memset(&relay, 0, sizeof(relay));
	memset(&configuration, 0, sizeof(configuration));
	make_fleet(&director.fleet, &config);
	relay.peers = g_ptr_array_new();
	relay.last_answer_us = NOW - SEC;
	configuration.in_force_us = NOW - 2 * SEC;
	director.site = &site;
	director.relay = &relay;
	director.configuration = &configuration;
	strcpy(director.leader.current, "h2");
}

static void tear_down(void)
{
	g_ptr_array_unref(relay.peers);
	free_fleet(&director.fleet, config);
}

static void print(json_t *status)
{
	struct cli cli = { 0 };

	cli.out = fmemopen(text, sizeof(text), "w");
	cli_print_status(&cli, status);
	fclose(cli.out);
	json_decref(status);
}

static void ck_contains(const char *wanted)
{
	ck_assert_msg(strstr(text, wanted), "no \"%s\" in:\n%s", wanted, text);
}

START_TEST(follower_reports_leader_and_store)
{
	print(overview(&director, NOW));
	ck_contains("host=\"h1\"");
	ck_contains("leader=\"h2\"");
	ck_contains("leads=false");
	ck_contains("store: direct=true answered_ms=1000");
	ck_contains("configuration=null");
	ck_assert_ptr_null(strstr(text, "WORKER"));
}
END_TEST

START_TEST(leader_reports_workers_and_jobs)
{
	struct worker *worker;

	configuration.current = config;
	director.fleet_active = true;
	director.leader.leading = true;
	director.orders.fence = 42;
	make_worker(&director.fleet, "w1", "r1", 8, NOW);
	worker = make_worker(&director.fleet, "w2", "r1", 8, NOW);
	worker->reported.draining = true;
	make_job(&director.fleet, "runs", 1, 3, 1, 1000, NOW);
	fleet_open_due(&director.fleet, NOW, 0);
	plan_pass(&director.fleet, NOW);
	confirm_planned_runs(&director.fleet, NOW);
	make_job(&director.fleet, "waits", 1, 1, 9, 1000, NOW - 5 * SEC);
	print(overview(&director, NOW));
	ck_contains("fence=42");
	ck_contains("jobs: queued=1 running=1");
	ck_contains("oldest_queued_ms=5000");
	ck_contains("in_force_ms=2000");
	ck_contains("draining");
	ck_contains("w1");
}
END_TEST

/* Runs are known to the leader only. */
START_TEST(evacuated_data_centres_are_listed)
{
	evacuation_init(&configuration.evacuation);
	evacuation_begin(&configuration.evacuation, "d1", NOW - 3 * SEC);
	print(overview(&director, NOW));
	ck_assert_ptr_null(strstr(text, "EVACUATED"));
	configuration.evacuations_allowed = true;
	print(overview(&director, NOW));
	ck_contains("EVACUATED DATA CENTRE  SINCE MS  RUNS\n"
		    "d1                     3000      -\n");
	director.fleet_active = true;
	make_worker(&director.fleet, "w1", "r1", 8, NOW);
	make_job(&director.fleet, "runs", 1, 3, 1, 1000, NOW);
	fleet_open_due(&director.fleet, NOW, 0);
	plan_pass(&director.fleet, NOW);
	confirm_planned_runs(&director.fleet, NOW);
	director.fleet.evacuation = &configuration.evacuation;
	print(overview(&director, NOW));
	ck_contains("d1                     3000      3\n");
	ck_contains("evacuated");
	evacuation_finish(&configuration.evacuation);
}
END_TEST

/* Guards against placements that operators can't explain. */
START_TEST(leader_reports_speeds)
{
	struct worker *worker;

	director.fleet_active = true;
	make_worker(&director.fleet, "w1", "r1", 8, NOW);
	worker = make_worker(&director.fleet, "w2", "r1", 8, NOW);
	worker->speed.log = log(0.41);
	worker->speed.weight = 40;
	director.fleet.speed.uneven = true;
	director.fleet.speed.spread = 2.35;
	director.fleet.speed.known = 1;
	print(overview(&director, NOW));
	ck_contains("speeds: uneven=true spread_percent=235 known=1");
	ck_contains("SPEED %");
	ck_contains(" 41 ");
	ck_contains(" 90");
	ck_contains(" 100 ");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("overview");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, follower_reports_leader_and_store);
	tcase_add_test(tc, leader_reports_workers_and_jobs);
	tcase_add_test(tc, evacuated_data_centres_are_listed);
	tcase_add_test(tc, leader_reports_speeds);
	return run_case("overview", tc);
}
