#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "cli/cli.h"
#include "tests/standins/site_rig.h"
#include "tests/unit/run.h"

/* The cause of a failed request, found from the log alone. */

static struct rig rig;
static char log_path[64];
static char text[1 << 18];

static void begin_log(void)
{
	int fd;

	snprintf(log_path, sizeof(log_path), "/tmp/chivebank-explain-%d",
		 (int)getpid());
	fd = open(log_path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	ck_assert_int_ge(fd, 0);
	log_init("h", "d", LOG_INFO_LEVEL);
	log_collect(fd);
}

static void start(int hosts, int workers)
{
	begin_log();
	rig_start(&rig, hosts, workers, 1);
}

static void stop(void)
{
	rig_stop(&rig);
	log_flush();
}

/* What chivebank explain prints for a job. */
static int explain(const char *id)
{
	char *args[] = { (char *)id, log_path };
	struct cli_opts opts = { 0 };
	struct cli cli = { 0 };
	int code;

	cli.out = fmemopen(text, sizeof(text), "w");
	cli.err = stderr;
	memcpy(opts.args, args, sizeof(args));
	opts.nargs = 2;
	code = cli_explain(&cli, &opts);
	fclose(cli.out);
	unlink(log_path);
	return code;
}

static void ck_contains(const char *wanted)
{
	ck_assert_msg(strstr(text, wanted), "no \"%s\" in:\n%s", wanted, text);
}

/* Refused while the store is away. */
START_TEST(refused_request)
{
	int tries;

	start(1, 2);
	site_store_fault(rig.store, -1, SITE_BUSY, 0, 0);
	for (tries = 0; tries < 3; tries++)
		rig_submit(&rig, 0, "00000000000000e1", 1, "ms=50", NULL);
	stop();
	ck_assert_int_eq(explain("00000000000000e1"), CB_OK);
	ck_contains("verb=submit job=00000000000000e1 queue=q1 result=205");
	ck_contains("event=store.lost way=direct reason=\"refused\"");
}
END_TEST

/* Accepted, and shown as failed. */
START_TEST(failed_job)
{
	start(1, 3);
	ck_assert_int_eq(rig_submit(&rig, 0, "00000000000000e2", 1,
				    "ms=50 fail=9 attempts=3", NULL),
			 200);
	ck_assert(rig_wait(&rig, 0, "00000000000000e2", "failed", 15000));
	stop();
	ck_assert_int_eq(explain("00000000000000e2"), CB_OK);
	ck_contains("event=job.known job=00000000000000e2");
	ck_contains("event=task.planned job=00000000000000e2");
	ck_contains("event=task.ended job=00000000000000e2 occurrence=0 step=0 "
		    "index=0 run=3");
	ck_contains("reason=\"failed\"");
	ck_contains("reason=\"attempts used up\"");
}
END_TEST

/* Late, as a worker fell silent under it. */
START_TEST(late_job)
{
	struct site_worker *worker;

	start(1, 2);
	ck_assert_int_eq(
		rig_submit(&rig, 0, "00000000000000e3", 1, "ms=3500", NULL),
		200);
	rig_run_ms(&rig, 300);
	list_for_each_entry(worker, &rig.fleet->workers, node)
		if (!list_empty(&worker->runs))
			worker->fault = SITE_WORKER_SILENT;
	ck_assert(rig_wait(&rig, 0, "00000000000000e3", "done", 12000));
	stop();
	ck_assert_int_eq(explain("00000000000000e3"), CB_OK);
	ck_contains("event=task.released job=00000000000000e3");
	ck_contains("proof=\"lease is over\"");
	ck_contains("phase=done");
}
END_TEST

/* Late, as its data centre was evacuated. */
START_TEST(job_that_waits_for_an_evacuation)
{
	begin_log();
	rig_start_dcs(&rig, 1, 1, 1);
	site_fleet_evacuate(rig.fleet, "d1");
	ck_assert_int_eq(
		rig_submit(&rig, 0, "00000000000000e5", 1, "ms=50", NULL), 200);
	rig_run_ms(&rig, 300);
	site_fleet_return(rig.fleet, "d1");
	ck_assert(rig_wait(&rig, 0, "00000000000000e5", "done", 3000));
	stop();
	ck_assert_int_eq(explain("00000000000000e5"), CB_OK);
	ck_contains("event=evacuation.begun dc=d1");
	ck_contains("event=evacuation.ended dc=d1");
}
END_TEST

/* The answer of the store was lost, so the outcome could not be told. */
START_TEST(unknown_outcome)
{
	struct rig_reply reply;

	start(1, 2);
	site_store_fault(rig.store, -1, SITE_SILENT, 0, 0);
	reply = rig_call(&rig, 0, "POST", RIG_PREFIX "00000000000000e4",
			 RIG_KEY,
			 "{\"spec\":\"ms=50\",\"steps\":[{\"count\":1}]}");
	ck_assert_int_eq(reply.status, 504);
	stop();
	ck_assert_int_eq(explain("00000000000000e4"), CB_OK);
	ck_contains("verb=submit job=00000000000000e4 queue=q1 result=607");
	ck_contains("event=store.lost way=direct");
}
END_TEST

START_TEST(job_that_no_line_names)
{
	start(1, 1);
	stop();
	ck_assert_int_eq(explain("00000000000000e5"), CB_E_NO_JOB);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("explain");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, refused_request);
	tcase_add_test(tc, failed_job);
	tcase_add_test(tc, late_job);
	tcase_add_test(tc, unknown_outcome);
	tcase_add_test(tc, job_that_waits_for_an_evacuation);
	tcase_add_test(tc, job_that_no_line_names);
	return run_case("explain", tc);
}
