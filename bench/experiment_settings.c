#include <string.h>

#include "base/err.h"
#include "bench/experiment.h"

/* A number that may be left out; fallback then. */
static double number(const json_t *object, const char *name, double fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_number(value) ? json_number_value(value) : fallback;
}

static struct room room(const json_t *object)
{
	return (struct room){
		.cpu_milli = (int64_t)(number(object, "cores", 1) * 1000),
		.mem_mb = (int64_t)number(object, "mem_mb", 1000),
		.gpus = (int64_t)number(object, "gpus", 0),
	};
}

static bool read_kind(const json_t *entry, struct exp_kind *kind)
{
	const char *name = json_string_value(json_object_get(entry, "name"));

	if (!name)
		return false;
	g_strlcpy(kind->name, name, sizeof(kind->name));
	kind->per_s = number(entry, "per_s", 1);
	kind->tasks = number(entry, "tasks", 1);
	kind->most_tasks = (int)number(entry, "most_tasks", 32);
	kind->need = room(entry);
	kind->work_ms = number(entry, "work_ms", 1000);
	kind->spread = number(entry, "spread", 0.3);
	kind->tail = number(entry, "tail", 0);
	kind->tail_x = number(entry, "tail_x", 7);
	kind->declared_off = number(entry, "declared_off", 0);
	kind->gang = json_is_true(json_object_get(entry, "gang"));
	kind->same_rack = number(entry, "same_rack", 0);
	kind->checkpoint = json_is_true(json_object_get(entry, "checkpoint"));
	kind->speculative = json_is_true(json_object_get(entry, "speculative"));
	kind->priority = (int)number(entry, "priority", 1);
	kind->stretch = number(entry, "stretch", 3);
	kind->slo_ms = (int64_t)number(entry, "slo_ms", 1000);
	kind->worth = number(entry, "worth", 1);
	kind->late = number(entry, "late", 0.5);
	return kind->per_s > 0 && kind->tasks >= 1 && kind->work_ms > 0;
}

static bool fill(struct exp_settings *settings, const json_t *root,
		 GError **err)
{
	const json_t *entry;
	size_t i;

	memset(settings, 0, sizeof(*settings));
	settings->seconds = (int)number(root, "seconds", 40);
	settings->workers = (int)number(root, "workers", 48);
	settings->rack = (int)number(root, "rack", 8);
	settings->room = room(json_object_get(root, "worker"));
	settings->guaranteed = (int64_t)number(root, "guaranteed", 0);
	settings->crest = number(root, "crest", 1);
	settings->slow = number(root, "slow", 0);
	settings->slow_x = number(root, "slow_x", 4);
	settings->failing = number(root, "failing", 0);
	settings->leaving = number(root, "leaving", 0);
	json_array_foreach(json_object_get(root, "kinds"), i, entry) {
		if (settings->nkinds < EXP_KINDS_MAX &&
		    read_kind(entry, &settings->kinds[settings->nkinds])) {
			settings->nkinds++;
			continue;
		}
		g_set_error(err, CB_ERROR, CB_E_SETTINGS,
			    "kinds[%zu]: expected a name, per_s and work_ms "
			    "above 0, tasks of 1 or more; at most %d kinds",
			    i, EXP_KINDS_MAX);
		return false;
	}
	if (settings->nkinds > 0 && settings->workers > 0 &&
	    settings->rack > 0 && settings->seconds > 0)
		return true;
	g_set_error(err, CB_ERROR, CB_E_SETTINGS,
		    "expected kinds, and seconds, workers and rack above 0");
	return false;
}

bool exp_settings_load(struct exp_settings *settings, const char *path,
		       GError **err)
{
	json_error_t where;
	json_t *root = json_load_file(path, 0, &where);
	bool ok;

	if (!root) {
		g_set_error(err, CB_ERROR, CB_E_SETTINGS, "%s:%d: %s", path,
			    where.line, where.text);
		return false;
	}
	ok = fill(settings, root, err);
	json_decref(root);
	return ok;
}
