#include "wire/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "base/limits.h"

/* Fills in an IPv4 or IPv6 address; returns its length, 0 if malformed. */
socklen_t sock_addr(struct sockaddr_storage *ss, const char *addr, int port)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	if (inet_pton(AF_INET, addr, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons((uint16_t)port);
		return sizeof(*in4);
	}
	if (inet_pton(AF_INET6, addr, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)port);
		return sizeof(*in6);
	}
	errno = EINVAL;
	return 0;
}

static int open_socket(const struct sockaddr_storage *ss)
{
	return socket(ss->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		      0);
}

static int fail(int fd)
{
	int saved = errno;

	close(fd);
	errno = saved;
	return -1;
}

int sock_listen(const char *addr, int port)
{
	struct sockaddr_storage ss;
	socklen_t len = sock_addr(&ss, addr, port);
	int one = 1, fd;

	if (len == 0)
		return -1;
	fd = open_socket(&ss);
	if (fd < 0)
		return -1;
	/* A restarted process takes over its port at once. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&ss, len) < 0 ||
	    listen(fd, HTTP_BACKLOG) < 0)
		return fail(fd);
	return fd;
}

/* Returns the port that a socket is bound to. */
int sock_port(int fd)
{
	struct sockaddr_storage ss = { 0 };
	socklen_t len = sizeof(ss);

	if (getsockname(fd, (struct sockaddr *)&ss, &len) < 0)
		return -1;
	if (ss.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&ss)->sin6_port);
	return ntohs(((struct sockaddr_in *)&ss)->sin_port);
}

int sock_connect(const char *addr, int port)
{
	struct sockaddr_storage ss;
	socklen_t len = sock_addr(&ss, addr, port);
	int fd;

	if (len == 0)
		return -1;
	fd = open_socket(&ss);
	if (fd < 0)
		return -1;
	sock_tune(fd);
	if (connect(fd, (struct sockaddr *)&ss, len) < 0 &&
	    errno != EINPROGRESS)
		return fail(fd);
	return fd;
}

static void set_tcp(int fd, int option, int value)
{
	setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

void sock_tune(int fd)
{
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	set_tcp(fd, TCP_KEEPIDLE, HTTP_KEEPALIVE_PROBE_SEC);
	set_tcp(fd, TCP_KEEPINTVL, HTTP_KEEPALIVE_PROBE_SEC);
	set_tcp(fd, TCP_KEEPCNT, HTTP_KEEPALIVE_PROBES);
	set_tcp(fd, TCP_NODELAY, 1);
}

void sock_reset_on_close(int fd)
{
	struct linger now = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void sock_ack_timeout(int fd, int timeout_ms)
{
	set_tcp(fd, TCP_USER_TIMEOUT, timeout_ms);
}
