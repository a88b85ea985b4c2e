#include "review/scene.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "control/record.h"
#include "fleet/fleet.h"
#include "tests/standins/sr_proc.h"

/*
 * A trial, not a case: hosts start on a store that holds a job which has run
 * each minute for two weeks (TROUBLE=0: for an hour), and the memory of the
 * leader at its peak is compared with mem_limit_mb. The records are made with
 * the product's own functions, as a test can't wait for two weeks.
 */

#define JOB_ID "00000000000000aa"
#define EVERY_MS 60000
#define OCCURRENCES (14 * 24 * 60)
#define OCCURRENCES_WITHOUT 60
#define TIMES 40000
#define STEPS 8
#define TASKS 16 /* of each step */
#define LIMIT_KB (260 * 1024)

static void fill_spec(struct job_spec *spec, int64_t occurrences)
{
	int i;

	job_spec_init(spec, STEPS);
	spec->payload = g_strdup("ms=100 gpus=0");
	spec->times = TIMES;
	spec->interval_ms = EVERY_MS;
	spec->first_ms = kn_wall_us() / USEC_PER_MSEC - occurrences * EVERY_MS;
	for (i = 0; i < STEPS; i++) {
		spec->steps[i].count = TASKS;
		spec->steps[i].need.cpu_milli = 100;
		spec->steps[i].est_ms = 100;
		spec->steps[i].after = i > 0 ? 1ULL << (i - 1) : 0;
	}
}

/* All occurrences but the last are over. */
static void put_records(struct scene *scene, int64_t occurrences)
{
	struct submission submission = { .queue = "q",
					 .pool = CLOUD_POOL,
					 .customer = "one",
					 .priority = 1,
					 .attempts = 3,
					 .stretch = 3.0,
					 .slo_ms = 1200 };
	msgpack_sbuffer spec_record, state_record;
	struct job_spec spec;
	struct job *job;
	int64_t i;

	fill_spec(&spec, occurrences);
	submission.accepted_ms = spec.first_ms;
	record_submission_write(&submission, &spec, &spec_record);
	job_spec_finish(&spec);
	job = record_submission_read(JOB_ID, spec_record.data,
				     spec_record.size);
	if (!job)
		scene_give_up("the submission can't be read");
	for (i = 0; i < occurrences; i++) {
		job_open_occurrence(job, kn_now_us());
		if (i < occurrences - 1)
			job_free_occurrence(job, i);
	}
	job->phase = JOB_RUNNING;
	job->started = true;
	record_state_write(job, &state_record);
	scene_record("%lld occurrences, record of %zu bytes",
		     (long long)occurrences, state_record.size);
	site_store_put_bytes(scene->store, "chivebank/intake/" JOB_ID "/spec",
			     spec_record.data, spec_record.size);
	site_store_put_bytes(scene->store, "chivebank/state/" JOB_ID,
			     state_record.data, state_record.size);
	msgpack_sbuffer_destroy(&spec_record);
	msgpack_sbuffer_destroy(&state_record);
	job_free(job);
}

static long peak_kb(const struct scene_host *host)
{
	char path[64], line[200];
	long kb = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status",
		 (int)sr_proc_pid(host->proc));
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		sscanf(line, "VmHWM: %ld kB", &kb);
	if (file)
		fclose(file);
	return kb;
}

int main(int argc, char **argv)
{
	static struct scene scene;
	long most = -1;
	int i;

	scene_init(&scene, argc, argv);
	for (i = 0; i < 3; i++)
		scene_add_worker(&scene, CLOUD_POOL);
	put_records(&scene, scene.trouble ? OCCURRENCES : OCCURRENCES_WITHOUT);
	scene_start(&scene, 3);
	for (i = 0; i < scene.nhosts; i++) {
		long kb = peak_kb(&scene.hosts[i]);

		scene_record("h%d: %ld kB at its peak", i, kb);
		most = MAX(most, kb);
	}
	if (most < 0)
		return scene_end(&scene, SCENE_NOT_RUN);
	return scene_end(&scene, most > LIMIT_KB ? SCENE_BROKEN : SCENE_HELD);
}
