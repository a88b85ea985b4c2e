#include <lauxlib.h>
#include <lua.h>

#include "tests/standins/sr_lua.h"

#define DEPTH_MAX 64

/* Pushes a JSON value; null becomes nil. */
void sr_json_push(lua_State *lua, const json_t *value)
{
	const char *key;
	json_t *member;
	size_t i;

	luaL_checkstack(lua, 4, "JSON too deep");
	switch (json_typeof(value)) {
	case JSON_OBJECT:
		lua_newtable(lua);
		json_object_foreach((json_t *)value, key, member) {
			sr_json_push(lua, member);
			lua_setfield(lua, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_createtable(lua, (int)json_array_size(value), 0);
		json_array_foreach(value, i, member) {
			sr_json_push(lua, member);
			lua_rawseti(lua, -2, (lua_Integer)i + 1);
		}
		break;
	case JSON_STRING:
		lua_pushlstring(lua, json_string_value(value),
				json_string_length(value));
		break;
	case JSON_INTEGER:
		lua_pushinteger(lua, json_integer_value(value));
		break;
	case JSON_REAL:
		lua_pushnumber(lua, json_real_value(value));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		lua_pushboolean(lua, json_is_true(value));
		break;
	case JSON_NULL:
		lua_pushnil(lua);
		break;
	}
}

static json_t *take_depth(lua_State *lua, int index, int depth);

static json_t *take_array(lua_State *lua, int index, int depth)
{
	lua_Integer i, n = luaL_len(lua, index);
	json_t *array = json_array();

	for (i = 1; i <= n; i++) {
		lua_rawgeti(lua, index, i);
		json_array_append_new(array,
				      take_depth(lua, lua_gettop(lua), depth));
		lua_pop(lua, 1);
	}
	return array;
}

static json_t *take_object(lua_State *lua, int index, int depth)
{
	json_t *object = json_object();

	lua_pushnil(lua);
	while (lua_next(lua, index)) {
		json_t *member = take_depth(lua, lua_gettop(lua), depth);

		lua_pop(lua, 1);
		lua_pushvalue(lua, -1);
		json_object_set_new(object, lua_tostring(lua, -1), member);
		lua_pop(lua, 1);
	}
	return object;
}

static json_t *take_depth(lua_State *lua, int index, int depth)
{
	bool list;

	luaL_checkstack(lua, 6, "table too deep");
	if (depth > DEPTH_MAX)
		luaL_error(lua, "table too deep for JSON");
	switch (lua_type(lua, index)) {
	case LUA_TTABLE:
		/* An empty table is an object; use json_array for a list. */
		list = luaL_len(lua, index) > 0;
		if (!list && luaL_getmetafield(lua, index, "json_array")) {
			lua_pop(lua, 1);
			list = true;
		}
		return list ? take_array(lua, index, depth + 1) :
			      take_object(lua, index, depth + 1);
	case LUA_TSTRING:
		return json_string(lua_tostring(lua, index));
	case LUA_TNUMBER:
		if (lua_isinteger(lua, index))
			return json_integer(lua_tointeger(lua, index));
		return json_real(lua_tonumber(lua, index));
	case LUA_TBOOLEAN:
		return json_boolean(lua_toboolean(lua, index));
	default:
		return json_null();
	}
}

/* Converts the Lua value at an index; the caller owns the result. */
json_t *sr_json_take(lua_State *lua, int index)
{
	int top = lua_gettop(lua);
	json_t *value = take_depth(lua, lua_absindex(lua, index), 0);

	lua_settop(lua, top);
	return value;
}
