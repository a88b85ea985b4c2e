#include "tests/standins/be_sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"

#define WAKE_US (2 * USEC_PER_MSEC)

/*
 * Set again each time: timers run before the event loop waits, so that one that
 * is due before kn_turn() begins would not end the wait.
 */
static void wake(struct kn_timer *timer)
{
	kn_timer_set(timer->kn, timer, WAKE_US, wake);
}

/* Connects and makes the socket non-blocking; fd is -1 on failure. */
void be_connect(struct be_sock *sock, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	memset(sock, 0, sizeof(*sock));
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sock->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(sock->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(sock->fd);
		sock->fd = -1;
		sock->closed = true;
		return;
	}
	fcntl(sock->fd, F_SETFL, O_NONBLOCK);
}

int be_listen(int *port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, len) < 0 || listen(fd, 64) < 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) < 0) {
		close(fd);
		return -1;
	}
	*port = ntohs(sin.sin_port);
	return fd;
}

void be_close(struct be_sock *sock)
{
	if (sock->fd >= 0)
		close(sock->fd);
	sock->fd = -1;
}

static void read_some(struct be_sock *sock)
{
	size_t room = sizeof(sock->in) - 1 - sock->len;
	ssize_t n;

	if (sock->closed || room == 0)
		return;
	n = read(sock->fd, sock->in + sock->len, room);
	if (n > 0)
		sock->len += (size_t)n;
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		sock->closed = true;
	sock->in[sock->len] = '\0';
}

static void turn(struct kn *kn)
{
	struct kn_timer timer = { 0 };

	kn_timer_set(kn, &timer, WAKE_US, wake);
	kn_turn(kn);
	kn_timer_cancel(&timer);
}

bool be_accept(struct kn *kn, int listener, struct be_sock *sock, int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	memset(sock, 0, sizeof(*sock));
	sock->fd = -1;
	while (sock->fd < 0 && kn_now_us() <= end_us) {
		turn(kn);
		sock->fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	return sock->fd >= 0;
}

/* Stops early when the other side has closed. */
void be_write(struct kn *kn, struct be_sock *sock, const void *data, size_t len)
{
	const char *at = data;
	ssize_t n;

	while (len > 0 && !sock->closed) {
		n = send(sock->fd, at, len, MSG_NOSIGNAL);
		if (n > 0) {
			at += n;
			len -= (size_t)n;
		} else if (n < 0 && errno != EAGAIN) {
			sock->closed = true;
		}
		turn(kn);
		read_some(sock);
	}
}

void be_puts(struct kn *kn, struct be_sock *sock, const char *text)
{
	be_write(kn, sock, text, strlen(text));
}

bool be_wait_text(struct kn *kn, struct be_sock *sock, const char *text,
		  int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	while (!memmem(sock->in, sock->len, text, strlen(text))) {
		if (sock->closed || kn_now_us() > end_us)
			return false;
		turn(kn);
		read_some(sock);
	}
	return true;
}

bool be_wait_closed(struct kn *kn, struct be_sock *sock, int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	while (!sock->closed && kn_now_us() <= end_us) {
		turn(kn);
		read_some(sock);
	}
	return sock->closed;
}

void be_turn(struct kn *kn, int wait_ms)
{
	int64_t end_us = kn_now_us() + wait_ms * USEC_PER_MSEC;

	while (kn_now_us() <= end_us)
		turn(kn);
}

/* Returns how often text occurs in what has been received. */
int be_count(const struct be_sock *sock, const char *text)
{
	const char *at = sock->in;
	int n = 0;

	while ((at = strstr(at, text)) != NULL) {
		at += strlen(text);
		n++;
	}
	return n;
}
