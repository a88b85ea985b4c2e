#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "wire/pr_int.h"

#define LISTEN_BACKLOG 64

/* Fills a socket address from an IPv4 or IPv6 address in text. */
static socklen_t to_sockaddr(const struct set_addr *at,
			     struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, at->addr, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons((uint16_t)at->port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, at->addr, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)at->port);
		return sizeof(*v6);
	}
	return 0;
}

static int open_socket(const struct sockaddr_storage *sa)
{
	int one = 1;
	int fd;

	fd = socket(sa->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* Opens a listening socket into *fd. */
bool pr_sock_listen(const struct set_addr *at, int *fd, GError **err)
{
	struct sockaddr_storage sa;
	socklen_t len = to_sockaddr(at, &sa);
	int one = 1;

	if (len == 0) {
		g_set_error(err, CB_ERROR, CB_E_SETTINGS,
			    "peer_listen address %s is not an IP address",
			    at->addr);
		return false;
	}
	*fd = open_socket(&sa);
	if (*fd >= 0)
		setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (*fd < 0 || bind(*fd, (struct sockaddr *)&sa, len) < 0 ||
	    listen(*fd, LISTEN_BACKLOG) < 0) {
		g_set_error(err, CB_ERROR, CB_E_IO,
			    "cannot listen for peers on %s port %d: %s",
			    at->addr, at->port, g_strerror(errno));
		if (*fd >= 0)
			close(*fd);
		return false;
	}
	return true;
}

/* Begins a connection; returns the socket or -1. */
int pr_sock_connect(const struct set_addr *at)
{
	struct sockaddr_storage sa;
	socklen_t len = to_sockaddr(at, &sa);
	int fd;

	if (len == 0)
		return -1;
	fd = open_socket(&sa);
	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&sa, len) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}
