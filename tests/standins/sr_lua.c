#include "tests/standins/sr_lua.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <lauxlib.h>
#include <lualib.h>

#include "tests/standins/ports.h"
#include "tests/standins/sr_http.h"
#include "tests/standins/sr_proc.h"
#include "tests/standins/sr_relay.h"

#define ARGS_MAX 32
#define CALL_TYPE "call"

static struct sr_run *run_of(lua_State *lua)
{
	return lua_touserdata(lua, lua_upvalueindex(1));
}

/* Time. */

static void check_deadline(lua_State *lua)
{
	if (sr_now_ms() > run_of(lua)->deadline_ms)
		luaL_error(lua, "the scenario took too long");
}

/* Requests in progress are served meanwhile. */
static int do_sleep(lua_State *lua)
{
	int64_t until_ms = sr_now_ms() + luaL_checkinteger(lua, 1);
	int64_t left_ms;

	while ((left_ms = until_ms - sr_now_ms()) > 0) {
		check_deadline(lua);
		sr_http_step(MIN(left_ms, 50));
	}
	return 0;
}

static int do_now_ms(lua_State *lua)
{
	lua_pushinteger(lua, sr_now_ms());
	return 1;
}

static int do_time_limit(lua_State *lua)
{
	run_of(lua)->deadline_ms =
		sr_now_ms() + luaL_checkinteger(lua, 1) * 1000;
	return 0;
}

/* Processes. */

/* spawn(name, {program, arguments...}); program is relative to BUILD. */
static int do_spawn(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	char *argv[ARGS_MAX + 1] = { 0 };
	lua_Integer i, n = luaL_len(lua, 2);
	int id;

	luaL_argcheck(lua, n > 0 && n <= ARGS_MAX, 2, "bad argument count");
	for (i = 0; i < n; i++) {
		lua_rawgeti(lua, 2, i + 1);
		argv[i] = g_strdup(luaL_tolstring(lua, -1, NULL));
		lua_pop(lua, 2);
	}
	if (argv[0][0] != '/') {
		char *path =
			g_build_filename(run_of(lua)->build, argv[0], NULL);

		g_free(argv[0]);
		argv[0] = path;
	}
	id = sr_proc_spawn(name, argv);
	for (i = 0; i < n; i++)
		g_free(argv[i]);
	if (id < 0)
		return luaL_error(lua, "cannot start %s", name);
	lua_pushinteger(lua, id);
	return 1;
}

static int send_signal(lua_State *lua, int number)
{
	lua_pushboolean(lua,
			sr_proc_signal((int)luaL_checkinteger(lua, 1), number));
	return 1;
}

static int do_kill(lua_State *lua)
{
	return send_signal(lua, (int)luaL_optinteger(lua, 2, SIGKILL));
}

static int do_stop(lua_State *lua)
{
	return send_signal(lua, SIGSTOP);
}

static int do_cont(lua_State *lua)
{
	return send_signal(lua, SIGCONT);
}

static int do_pid(lua_State *lua)
{
	lua_pushinteger(lua, sr_proc_pid((int)luaL_checkinteger(lua, 1)));
	return 1;
}

/* Exit code, minus the signal number, or nil when it still runs. */
static int do_exit_code(lua_State *lua)
{
	int code;

	if (sr_proc_ended((int)luaL_checkinteger(lua, 1), &code))
		lua_pushinteger(lua, code);
	else
		lua_pushnil(lua);
	return 1;
}

/* Links. */

/* relay(target_port) returns an id and the relay's port. */
static int do_relay(lua_State *lua)
{
	int id = sr_relay_new(0, (int)luaL_checkinteger(lua, 1));

	if (id < 0)
		return luaL_error(lua, "cannot make a relay");
	lua_pushinteger(lua, id);
	lua_pushinteger(lua, sr_relay_port(id));
	return 2;
}

static int do_cut(lua_State *lua)
{
	sr_relay_set((int)luaL_checkinteger(lua, 1),
		     lua_toboolean(lua, 2) ? SR_REFUSED : SR_CUT);
	return 0;
}

static int do_heal(lua_State *lua)
{
	sr_relay_set((int)luaL_checkinteger(lua, 1), SR_OPEN);
	return 0;
}

static int do_relay_bytes(lua_State *lua)
{
	lua_pushinteger(lua, sr_relay_bytes((int)luaL_checkinteger(lua, 1)));
	return 1;
}

/* Each port is given out once. */
static int do_free_port(lua_State *lua)
{
	int port = ports_reserve();

	if (port == 0)
		return luaL_error(lua, "no port is free");
	lua_pushinteger(lua, port);
	return 1;
}

/* HTTP. */

static json_t *headers_field(lua_State *lua, int index)
{
	json_t *headers = NULL;

	if (lua_getfield(lua, index, "headers") == LUA_TTABLE)
		headers = sr_json_take(lua, -1);
	lua_pop(lua, 1);
	return headers;
}

/*
 * http_start{port=, method=, path=, headers=, body=, timeout=ms} returns a
 * call for http_done and http_reply.
 */
static int do_http_start(lua_State *lua)
{
	const char *method, *path, *body;
	struct sr_call **call;
	json_t *headers;
	int port, timeout_ms;
	size_t len;

	luaL_checktype(lua, 1, LUA_TTABLE);
	lua_settop(lua, 1);
	lua_getfield(lua, 1, "port");
	port = (int)luaL_checkinteger(lua, -1);
	lua_getfield(lua, 1, "method");
	method = luaL_optstring(lua, -1, "GET");
	lua_getfield(lua, 1, "path");
	path = luaL_checkstring(lua, -1);
	lua_getfield(lua, 1, "timeout");
	timeout_ms = (int)luaL_optinteger(lua, -1, 10000);
	lua_getfield(lua, 1, "body");
	body = luaL_optlstring(lua, -1, "", &len);
	headers = headers_field(lua, 1);
	call = lua_newuserdatauv(lua, sizeof(struct sr_call *), 0);
	*call = sr_http_start(port, method, path, headers, body, len,
			      timeout_ms);
	json_decref(headers);
	luaL_setmetatable(lua, CALL_TYPE);
	return 1;
}

static int call_gc(lua_State *lua)
{
	sr_http_free(*(struct sr_call **)luaL_checkudata(lua, 1, CALL_TYPE));
	return 0;
}

static int do_http_done(lua_State *lua)
{
	struct sr_call *call =
		*(struct sr_call **)luaL_checkudata(lua, 1, CALL_TYPE);

	sr_http_step(0);
	lua_pushboolean(lua, call->done);
	return 1;
}

/* Waits for the reply: {status, headers, body, ms, started, error}. */
static int do_http_reply(lua_State *lua)
{
	struct sr_call *call =
		*(struct sr_call **)luaL_checkudata(lua, 1, CALL_TYPE);

	while (!call->done) {
		check_deadline(lua);
		sr_http_step(50);
	}
	lua_newtable(lua);
	lua_pushinteger(lua, call->error ? 0 : call->status);
	lua_setfield(lua, -2, "status");
	sr_json_push(lua, call->headers);
	lua_setfield(lua, -2, "headers");
	lua_pushlstring(lua, call->body->str, call->body->len);
	lua_setfield(lua, -2, "body");
	lua_pushinteger(lua, call->ended_ms - call->started_ms);
	lua_setfield(lua, -2, "ms");
	lua_pushinteger(lua, call->started_ms);
	lua_setfield(lua, -2, "started");
	lua_pushstring(lua, call->error);
	lua_setfield(lua, -2, "error");
	return 1;
}

/* Values and files. */

static int do_json_decode(lua_State *lua)
{
	size_t len;
	const char *text = luaL_checklstring(lua, 1, &len);
	json_t *value = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	if (!value) {
		lua_pushnil(lua);
		return 1;
	}
	sr_json_push(lua, value);
	json_decref(value);
	return 1;
}

static int do_json_encode(lua_State *lua)
{
	json_t *value = sr_json_take(lua, 1);
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_SORT_KEYS);

	json_decref(value);
	if (!text)
		return luaL_error(lua, "value cannot be written as JSON");
	lua_pushstring(lua, text);
	free(text);
	return 1;
}

/* Marks a table as a list, also when it is empty. */
static int do_json_array(lua_State *lua)
{
	lua_settop(lua, 1);
	if (!lua_istable(lua, 1)) {
		lua_newtable(lua);
		lua_replace(lua, 1);
	}
	lua_newtable(lua);
	lua_pushboolean(lua, 1);
	lua_setfield(lua, -2, "json_array");
	lua_setmetatable(lua, 1);
	return 1;
}

static int do_sha256(lua_State *lua)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						  luaL_checkstring(lua, 1), -1);

	lua_pushstring(lua, hex);
	g_free(hex);
	return 1;
}

/* Writes a file of the run's folder and returns its path. */
static int do_write_file(lua_State *lua)
{
	size_t len;
	const char *name = luaL_checkstring(lua, 1);
	const char *text = luaL_checklstring(lua, 2, &len);
	char *path = g_build_filename(run_of(lua)->dir, name, NULL);
	bool ok = g_file_set_contents(path, text, (gssize)len, NULL);

	lua_pushstring(lua, path);
	g_free(path);
	return ok ? 1 : luaL_error(lua, "cannot write %s", name);
}

/* The text of a file of the run's folder, or nil. */
static int do_read_file(lua_State *lua)
{
	char *path = g_build_filename(run_of(lua)->dir,
				      luaL_checkstring(lua, 1), NULL);
	char *text = NULL;
	gsize len;

	if (g_file_get_contents(path, &text, &len, NULL))
		lua_pushlstring(lua, text, len);
	else
		lua_pushnil(lua);
	g_free(text);
	g_free(path);
	return 1;
}

/* check(condition, text) ends the scenario when the condition is false. */
static int do_check(lua_State *lua)
{
	run_of(lua)->checks++;
	if (lua_toboolean(lua, 1))
		return 0;
	return luaL_error(lua, "check failed: %s", luaL_checkstring(lua, 2));
}

static const luaL_Reg functions[] = {
	{ "sleep", do_sleep },
	{ "now_ms", do_now_ms },
	{ "time_limit", do_time_limit },
	{ "spawn", do_spawn },
	{ "kill", do_kill },
	{ "stop", do_stop },
	{ "cont", do_cont },
	{ "pid", do_pid },
	{ "exit_code", do_exit_code },
	{ "relay", do_relay },
	{ "cut", do_cut },
	{ "heal", do_heal },
	{ "relay_bytes", do_relay_bytes },
	{ "free_port", do_free_port },
	{ "http_start", do_http_start },
	{ "http_done", do_http_done },
	{ "http_reply", do_http_reply },
	{ "json_decode", do_json_decode },
	{ "json_encode", do_json_encode },
	{ "json_array", do_json_array },
	{ "sha256", do_sha256 },
	{ "write_file", do_write_file },
	{ "read_file", do_read_file },
	{ "check", do_check },
	{ NULL, NULL },
};

void sr_lua_open(lua_State *lua, struct sr_run *run)
{
	luaL_newmetatable(lua, CALL_TYPE);
	lua_pushcfunction(lua, call_gc);
	lua_setfield(lua, -2, "__gc");
	lua_pop(lua, 1);
	lua_pushglobaltable(lua);
	lua_pushlightuserdata(lua, run);
	luaL_setfuncs(lua, functions, 1);
	lua_pop(lua, 1);
	sr_tcp_open(lua);
	lua_pushinteger(lua, run->seed);
	lua_setglobal(lua, "SEED");
}
