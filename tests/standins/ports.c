#include "tests/standins/ports.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/sock.h"

#define PORT_LAST 65535
#define ROW_MAX 16
#define ROW_TRIES 200

/*
 * Binds a port, 0 for any, without listening. SO_REUSEADDR is set only
 * afterwards: the bind itself fails for a port that anybody has, and a server
 * can share the port from then on.
 */
static int reserve(int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	return fd;
}

int ports_reserve(void)
{
	int fd = reserve(0);

	return fd < 0 ? 0 : sock_port(fd);
}

/* Reserves the ports from first on; returns whether all could be had. */
static int reserve_from(int first, int count)
{
	int fds[ROW_MAX];
	int got;

	for (got = 0; got < count; got++) {
		fds[got] = reserve(first + got);
		if (fds[got] < 0)
			break;
	}
	if (got == count)
		return 1;
	while (got > 0)
		close(fds[--got]);
	return 0;
}

int ports_reserve_row(int count)
{
	int tries, first;

	if (count < 1 || count > ROW_MAX)
		return 0;
	for (tries = 0; tries < ROW_TRIES; tries++) {
		first = ports_reserve();
		if (count == 1)
			return first;
		if (first != 0 && first + count - 1 <= PORT_LAST &&
		    reserve_from(first + 1, count - 1))
			return first;
	}
	return 0;
}
