#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <lauxlib.h>
#include <lualib.h>

#include "tests/standins/sr_http.h"
#include "tests/standins/sr_lua.h"
#include "tests/standins/sr_proc.h"
#include "tests/standins/sr_relay.h"

/*
 * scenario BUILD FILE SEED: runs one scenario file and prints one line with
 * its name, seed and verdict. Exit code: 0 passed, 1 failed, 2 usage. It is
 * started in the root of the repository.
 */

#define SCENARIO_DIR "tests/scenarios"

#define LIMIT_DEFAULT_SEC 120
#define LIMIT_HARD_SEC 600 /* also for code that never returns */

static void on_alarm(int number)
{
	static const char text[] = "scenario: stopped after the hard limit\n";
	ssize_t n = write(2, text, sizeof(text) - 1);

	(void)n;
	/* The children die with this process. */
	_exit(1);
}

static void on_count(lua_State *lua, lua_Debug *debug)
{
	struct sr_run *run = *(struct sr_run **)lua_getextraspace(lua);

	if (sr_now_ms() > run->deadline_ms)
		luaL_error(lua, "the scenario took too long");
}

static int add_traceback(lua_State *lua)
{
	luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
	return 1;
}

/* Runs the helper file and the scenario; false with the error's text. */
static bool run_files(struct sr_run *run, const char *file, char **error)
{
	const char *files[] = { SCENARIO_DIR "/lib/prelude.lua", file };
	lua_State *lua = luaL_newstate();
	bool ok = true;
	size_t i;

	*(struct sr_run **)lua_getextraspace(lua) = run;
	luaL_openlibs(lua);
	sr_lua_open(lua, run);
	lua_pushstring(lua, SCENARIO_DIR);
	lua_setglobal(lua, "SCENARIO_DIR");
	lua_pushstring(lua, run->build);
	lua_setglobal(lua, "BUILD");
	lua_sethook(lua, on_count, LUA_MASKCOUNT, 100000);
	for (i = 0; ok && i < G_N_ELEMENTS(files); i++) {
		lua_pushcfunction(lua, add_traceback);
		ok = luaL_loadfile(lua, files[i]) == LUA_OK &&
		     lua_pcall(lua, 0, 0, -2) == LUA_OK;
		if (!ok)
			*error = g_strdup(lua_tostring(lua, -1));
		lua_settop(lua, 0);
	}
	lua_sethook(lua, NULL, 0, 0);
	lua_close(lua);
	return ok;
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

static char *name_of(const char *file)
{
	char *name = g_path_get_basename(file);

	if (g_str_has_suffix(name, ".lua"))
		name[strlen(name) - 4] = '\0';
	return name;
}

int main(int argc, char **argv)
{
	struct sr_run run = { 0 };
	char *dir, *name, *error = NULL;
	int64_t started_ms = sr_now_ms();
	bool ok;

	if (argc != 4) {
		fprintf(stderr, "usage: scenario BUILD FILE SEED\n");
		return 2;
	}
	name = name_of(argv[2]);
	dir = g_strdup_printf("%s/scenarios/%s.%s.%d", argv[1], name, argv[3],
			      (int)getpid());
	run.build = argv[1];
	run.dir = dir;
	run.seed = (unsigned int)strtoul(argv[3], NULL, 10);
	run.deadline_ms = started_ms + LIMIT_DEFAULT_SEC * 1000;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(LIMIT_HARD_SEC);
	if (!sr_proc_init(dir)) {
		fprintf(stderr, "scenario: cannot make %s\n", dir);
		return 2;
	}
	sr_relay_start();
	ok = run_files(&run, argv[2], &error);
	sr_proc_kill_all();
	sr_relay_stop();
	printf("%-6s %s seed=%s checks=%d ms=%lld\n", ok ? "passed" : "FAILED",
	       name, argv[3], run.checks,
	       (long long)(sr_now_ms() - started_ms));
	if (ok)
		remove_dir(dir);
	else
		printf("  %s\n  logs: %s\n", error, dir);
	g_free(error);
	g_free(dir);
	g_free(name);
	return ok ? 0 : 1;
}
