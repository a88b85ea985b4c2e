#include <lauxlib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/standins/sr_lua.h"

/* Plain TCP for scenarios, for callers that keep a connection. */

/* tcp_connect(port) returns a connection, or nil when it is refused. */
static int do_tcp_connect(lua_State *lua)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_port = htons((uint16_t)luaL_checkinteger(lua, 1));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		lua_pushnil(lua);
	} else {
		lua_pushinteger(lua, fd);
	}
	return 1;
}

/* tcp_send(connection, text) returns whether the kernel has taken all of it. */
static int do_tcp_send(lua_State *lua)
{
	size_t len;
	const char *text = luaL_checklstring(lua, 2, &len);
	ssize_t n =
		send((int)luaL_checkinteger(lua, 1), text, len, MSG_NOSIGNAL);

	lua_pushboolean(lua, n == (ssize_t)len);
	return 1;
}

/*
 * tcp_receive(connection, ms) waits at most so long for bytes. It returns the
 * text, empty for none, and whether the connection has ended.
 */
static int do_tcp_receive(lua_State *lua)
{
	struct pollfd pfd = { .fd = (int)luaL_checkinteger(lua, 1),
			      .events = POLLIN };
	char data[16384];
	ssize_t n = -1;
	int ready = poll(&pfd, 1, (int)luaL_checkinteger(lua, 2));

	if (ready > 0)
		n = recv(pfd.fd, data, sizeof(data), 0);
	lua_pushlstring(lua, data, n > 0 ? (size_t)n : 0);
	lua_pushboolean(lua, ready > 0 && n <= 0);
	return 2;
}

static int do_tcp_close(lua_State *lua)
{
	close((int)luaL_checkinteger(lua, 1));
	return 0;
}

void sr_tcp_open(lua_State *lua)
{
	lua_register(lua, "tcp_connect", do_tcp_connect);
	lua_register(lua, "tcp_send", do_tcp_send);
	lua_register(lua, "tcp_receive", do_tcp_receive);
	lua_register(lua, "tcp_close", do_tcp_close);
}
