#ifndef STANDINS_SR_LUA_H
#define STANDINS_SR_LUA_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <lua.h>

/* One run of a scenario. */
struct sr_run {
	const char *build; /* folder of the programs under test */
	const char *dir; /* temporary files and logs */
	unsigned int seed;
	int64_t deadline_ms;
	int checks;
};

/* Adds the primitives to a Lua state; run must outlive it. */
void sr_lua_open(lua_State *lua, struct sr_run *run);

/* sr_tcp.c */
void sr_tcp_open(lua_State *lua);

/* sr_json.c */
void sr_json_push(lua_State *lua, const json_t *value);
json_t *sr_json_take(lua_State *lua, int index);

#endif
