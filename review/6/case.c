#include "review/scene.h"

#include <string.h>

#include "base/limits.h"

/*
 * Two machines of the spare pool are lent, and are to go back when they have
 * been idle for 15 s. The platform's machines interface gives no answer for
 * 5 s then. A job that comes later has to run on the machines, which are up in
 * its pool.
 */

#define LONG_JOB "00000000000000a1"
#define WIDE_JOB "00000000000000a2"
#define LATE_JOB "00000000000000a3"
/* Idle time after which machines go back, less a margin. */
#define OUTAGE_AFTER_MS 13500
#define OUTAGE_MS 5000
#define STILL_MS 3000

static int ready_idle(const struct scene *scene)
{
	int count = 0;
	guint i;

	for (i = 0; i < scene->cloud->machines->len; i++) {
		const struct cloud_machine *machine =
			g_ptr_array_index(scene->cloud->machines, i);

		count += strcmp(machine->pool, CLOUD_POOL) == 0 &&
			 machine->up_us == 0 && machine->worker->up &&
			 list_empty(&machine->worker->runs);
	}
	return count;
}

static bool has_run(const struct scene *scene)
{
	return g_hash_table_contains(scene->fleet->tasks, LATE_JOB ".0.0.0");
}

/* Whether for STILL_MS the job has nothing running with room for it twice. */
static bool stands_still(struct scene *scene)
{
	int64_t until_us = kn_now_us() + STILL_MS * USEC_PER_MSEC;

	while (kn_now_us() < until_us) {
		if (has_run(scene) || ready_idle(scene) < 2)
			return false;
		scene_run_ms(scene, 50);
	}
	return true;
}

static enum scene_result play(struct scene *scene)
{
	int host = scene_leader(scene);

	if (scene_submit(scene, host, LONG_JOB, 1, 8, 600000) != 200 ||
	    !scene_wait_state(scene, host, LONG_JOB, "running", 5000) ||
	    scene_submit(scene, host, WIDE_JOB, 2, 8, 1000) != 200 ||
	    !scene_wait_state(scene, host, WIDE_JOB, "done", 15000) ||
	    ready_idle(scene) != 2)
		return SCENE_NOT_RUN;
	scene_run_ms(scene, OUTAGE_AFTER_MS);
	scene_record("%s", scene->trouble ? "cloud: down" : "no trouble");
	scene->cloud->down = scene->trouble;
	scene_run_ms(scene, OUTAGE_MS);
	scene->cloud->down = false;
	scene_record("cloud: up, %d orders were lost, %d machines idle in the "
		     "pool",
		     scene->cloud->lost, ready_idle(scene));
	scene_run_ms(scene, 5000);
	if (scene_submit(scene, host, LATE_JOB, 1, 8, 1000) != 200)
		return SCENE_NOT_RUN;
	scene_run_ms(scene, SCENE_FINISH_MS);
	scene_record("client: %s is %s, %s; %d machines idle in the pool",
		     LATE_JOB, scene_state(scene, host, LATE_JOB),
		     has_run(scene) ? "has run" : "has not run",
		     ready_idle(scene));
	if (stands_still(scene))
		return SCENE_BROKEN;
	return scene_wait_state(scene, host, LATE_JOB, "done", 10000) ?
		       SCENE_HELD :
		       SCENE_NOT_RUN;
}

int main(int argc, char **argv)
{
	static struct scene scene;

	scene_init(&scene, argc, argv);
	scene_add_worker(&scene, CLOUD_POOL);
	scene_add_worker(&scene, CLOUD_SPARE);
	scene_add_worker(&scene, CLOUD_SPARE);
	scene_start(&scene, 3);
	return scene_end(&scene, play(&scene));
}
