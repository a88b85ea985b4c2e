#include "review/scene/scene.h"

#include "base/limits.h"
#include "review/scene/path.h"

/*
 * The leader is cut off while its order for the upkeep of a machine is on its
 * way. Another host takes over and orders the machine. When the cut heals, the
 * order of the earlier leader arrives.
 */

#define CUT_MS 12000
#define WITHIN_S 60

static void each_path(struct scene *scene, int host, void (*fn)(int path))
{
	int i;

	/* It exchanges nothing with the minions and clients meanwhile. */
	fn(scene->hosts[host].store_path);
	fn(scene->hosts[host].cloud_path);
	for (i = 0; i < scene->nhosts; i++)
		fn(scene->hosts[i].peers_path);
}

static enum scene_result play(struct scene *scene)
{
	struct cloud_machine *wave[3] = { NULL };
	struct scene_host *leader;
	int host = scene_leader(scene);
	int i;

	leader = &scene->hosts[host];
	for (i = 0; i < 2; i++)
		wave[i] = g_ptr_array_index(scene->cloud->machines, (guint)i);
	if (scene->trouble)
		path_cut_on(leader->cloud_path, "POST /machine-upkeep");
	scene_put_wave(scene, 1, WITHIN_S, 1, wave);
	if (scene->trouble) {
		for (i = 0; i < 1000 && !path_is_cut(leader->cloud_path); i++)
			scene_run_ms(scene, 2);
		if (!path_is_cut(leader->cloud_path))
			return SCENE_NOT_RUN;
		scene_record("%s is cut off, its order is on its way",
			     leader->name);
		each_path(scene, host, path_cut);
		scene_run_ms(scene, CUT_MS);
		if (scene_leader(scene) == host)
			return SCENE_NOT_RUN;
		scene_record("the cut heals; h%d leads", scene_leader(scene));
		each_path(scene, host, path_heal);
	}
	if (!scene_wait_wave_done(scene, 1, 50000))
		return SCENE_NOT_RUN;
	scene_run_ms(scene, 2000);
	return scene->cloud->stale > 0 ? SCENE_BROKEN : SCENE_HELD;
}

int main(int argc, char **argv)
{
	static struct scene scene;

	scene_init(&scene, argc, argv);
	scene_add_worker(&scene, CLOUD_POOL);
	scene_add_worker(&scene, CLOUD_POOL);
	scene_add_worker(&scene, CLOUD_POOL);
	scene_start(&scene, 2);
	return scene_end(&scene, play(&scene));
}
