#include "review/scene.h"

#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "tests/standins/site_fleet_int.h"

/*
 * A trial, not a case: two jobs that can never be done (TROUBLE=0: none) fail
 * on the only minion with room in its rack. Then the run of a task that lasts
 * fails there, as it may at any time, while that minion is idle and sound.
 */

#define MINIONS 12 /* two in the rack r0, the others in r1 */
#define FULL_JOB "00000000000000c1" /* fills the other minion of r0 */
#define LASTING_JOB "00000000000000c2"
#define LASTING_TASK LASTING_JOB ".0.0.0"
#define GOOD_JOBS 38 /* so that the share of poison is 0.05 */
#define POISON_JOBS 2
#define POISON_MS 3000
#define BACK_MS 9000 /* 6 s, and 3 s with nothing running */

static int submit(struct scene *scene, const char *id, const char *spec,
		  int gpus, const char *label, bool lasting)
{
	char path[64], body[400];
	int status;

	snprintf(path, sizeof(path), "/jobs/%s", id);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"%s gpus=%d\",\"steps\":[{\"count\":1,"
		 "\"cpu\":11000,\"mem_mb\":29000,\"gpu\":%d,\"est_ms\":200,"
		 "\"required_label\":\"%s\"%s}]}",
		 spec, gpus, gpus, label,
		 lasting ? ",\"long_running\":true" : "");
	status = scene_call(scene, scene_leader(scene), "POST", path, body)
			 .status;
	scene_record("client: POST %s (%s, %d GPUs, label %s%s) -> %d", path,
		     spec, gpus, label, lasting ? ", lasts" : "", status);
	return status;
}

static struct site_run *find_run(const struct scene *scene, const char *name)
{
	const struct site_worker *worker;
	struct site_run *run;

	list_for_each_entry(worker, &scene->fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node)
			if (strcmp(run->name, name) == 0)
				return run;
	return NULL;
}

/* Poison among other jobs, for POISON_MS. */
static bool send_jobs(struct scene *scene)
{
	char id[32];
	int i, status = 200;

	for (i = 0; i < GOOD_JOBS + POISON_JOBS && status == 200; i++) {
		bool poison =
			i % (GOOD_JOBS / POISON_JOBS) == 0 && i < GOOD_JOBS;

		snprintf(id, sizeof(id), "0000000000000%s%02d",
			 poison ? "d" : "e", i);
		status = submit(scene, id,
				poison ? "ms=200 fail=99 attempts=3" : "ms=200",
				1, poison ? "r0" : "r1", false);
		scene_run_ms(scene, POISON_MS / (GOOD_JOBS + POISON_JOBS));
	}
	return status == 200;
}

/* Until both jobs are known to have failed. */
static void wait_failed(struct scene *scene)
{
	char id[32];
	int i;

	for (i = 0; i < POISON_JOBS; i++) {
		snprintf(id, sizeof(id), "0000000000000d%02d",
			 i * (GOOD_JOBS / POISON_JOBS));
		scene_wait_state(scene, scene_leader(scene), id, "failed",
				 30000);
	}
}

static enum scene_result play(struct scene *scene)
{
	struct site_run *run;
	int64_t ended_us;

	if (submit(scene, FULL_JOB, "lasting=1", 8, "r0", true) != 200 ||
	    submit(scene, LASTING_JOB, "lasting=1", 4, "r0", true) != 200)
		return SCENE_NOT_RUN;
	scene_run_ms(scene, 3000);
	if (scene->trouble) {
		if (!send_jobs(scene))
			return SCENE_NOT_RUN;
		wait_failed(scene);
	}
	scene_run_ms(scene, 1000);
	run = find_run(scene, LASTING_TASK);
	if (!run)
		return SCENE_NOT_RUN;
	scene_record("minion %s: a run of %s fails", run->worker->id,
		     LASTING_TASK);
	site_run_stop(run, "failed");
	ended_us = kn_now_us();
	while (kn_now_us() - ended_us < 20 * USEC_PER_SEC &&
	       !find_run(scene, LASTING_TASK))
		scene_run_ms(scene, 10);
	run = find_run(scene, LASTING_TASK);
	scene_record("%s runs again after %lld ms%s%s", LASTING_TASK,
		     (long long)(kn_now_us() - ended_us) / 1000,
		     run ? " at " : ": not", run ? run->worker->id : "");
	return kn_now_us() - ended_us > BACK_MS * USEC_PER_MSEC ? SCENE_BROKEN :
								  SCENE_HELD;
}

int main(int argc, char **argv)
{
	static struct scene scene;
	int i;

	scene_init(&scene, argc, argv);
	for (i = 0; i < MINIONS; i++)
		scene_add_racked(&scene, i < 2 ? "r0" : "r1");
	scene_start(&scene, 3);
	return scene_end(&scene, play(&scene));
}
