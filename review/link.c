#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stage.h"
#include "tests/standins/ports.h"

#define LINKS_MAX 128
#define PAIRS_MAX 4096
#define BUFFER_BYTES 65536

struct relay {
	int port, target, fd;
	enum link_state state;
};

/* A connection and the one to the target; bytes go in both directions. */
struct pair {
	int fds[2];
	int link;
	bool cut; /* carries nothing any more */
	char held[2][BUFFER_BYTES]; /* read and not yet written */
	size_t count[2];
};

static struct relay links[LINKS_MAX];
static int nlinks;
static struct pair *pairs[PAIRS_MAX];
static int npairs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static struct sockaddr_in address(int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return at;
}

static int open_listener(int port)
{
	struct sockaddr_in at = address(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 256) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void reset(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void pair_close(int i, bool hard)
{
	struct pair *pair = pairs[i];

	if (hard)
		reset(pair->fds[0]);
	else
		close(pair->fds[0]);
	if (hard)
		reset(pair->fds[1]);
	else
		close(pair->fds[1]);
	g_free(pair);
	pairs[i] = pairs[--npairs];
}

static void accept_pair(int link)
{
	struct sockaddr_in at = address(links[link].target);
	int fd = accept4(links[link].fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *pair;
	int other;

	if (fd < 0)
		return;
	other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (npairs >= PAIRS_MAX ||
	    connect(other, (struct sockaddr *)&at, sizeof(at)) != 0) {
		close(other);
		reset(fd);
		return;
	}
	fcntl(other, F_SETFL, O_NONBLOCK);
	pair = g_new0(struct pair, 1);
	pair->fds[0] = fd;
	pair->fds[1] = other;
	pair->link = link;
	pair->cut = links[link].state == LINK_CUT;
	pairs[npairs++] = pair;
}

/* Returns false when the connection is over. */
static bool carry(struct pair *pair, int from)
{
	char *held = pair->held[from];
	ssize_t n;

	if (pair->count[from] < BUFFER_BYTES) {
		n = read(pair->fds[from], held + pair->count[from],
			 BUFFER_BYTES - pair->count[from]);
		if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
			return false;
		if (n > 0)
			pair->count[from] += (size_t)n;
	}
	if (links[pair->link].state == LINK_NO_STORE &&
	    memmem(held, pair->count[from], "/kv-", 4))
		pair->cut = true;
	if (pair->cut || pair->count[from] == 0)
		return true;
	n = write(pair->fds[1 - from], held, pair->count[from]);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	memmove(held, held + n, pair->count[from] - (size_t)n);
	pair->count[from] -= (size_t)n;
	return true;
}

static void step_pair(int i, short revents0, short revents1)
{
	struct pair *pair = pairs[i];
	bool alive = true;

	if (pair->cut) {
		/* Its ends are not told to the other side. */
		if (revents0 & (POLLHUP | POLLERR))
			pair_close(i, true);
		return;
	}
	if (revents0 || pair->count[0])
		alive &= carry(pair, 0);
	if (alive && (revents1 || pair->count[1]))
		alive &= carry(pair, 1);
	if (!alive)
		pair_close(i, false);
}

static void *serve(void *unused)
{
	static struct pollfd fds[LINKS_MAX + 2 * PAIRS_MAX];

	for (;;) {
		int i, n = 0, first;

		pthread_mutex_lock(&lock);
		for (i = 0; i < nlinks; i++)
			fds[n++] = (struct pollfd){ .fd = links[i].fd,
						    .events = POLLIN };
		first = n;
		for (i = 0; i < npairs; i++) {
			const struct pair *pair = pairs[i];
			int s;

			for (s = 0; s < 2; s++)
				fds[n++] = (struct pollfd){
					.fd = pair->fds[s],
					.events =
						pair->cut ?
							0 :
							(pair->count[s] <
									 BUFFER_BYTES ?
								 POLLIN :
								 0) |
								(pair->count[1 -
									     s] ?
									 POLLOUT :
									 0)
				};
		}
		pthread_mutex_unlock(&lock);
		poll(fds, (nfds_t)n, 5);
		pthread_mutex_lock(&lock);
		/* Only this thread adds and removes pairs, but link_set() may
		 * have removed some: then look again. */
		if (n == first + 2 * npairs) {
			for (i = npairs - 1; i >= 0; i--)
				step_pair(i, fds[first + 2 * i].revents,
					  fds[first + 2 * i + 1].revents);
			for (i = 0; i < first; i++)
				if (fds[i].revents && links[i].fd >= 0)
					accept_pair(i);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

void link_start_all(void)
{
	pthread_t thread;

	pthread_create(&thread, NULL, serve, NULL);
	pthread_detach(thread);
}

int link_new(int target_port)
{
	struct relay *link;

	pthread_mutex_lock(&lock);
	link = &links[nlinks];
	link->port = ports_reserve();
	link->target = target_port;
	link->fd = open_listener(link->port);
	link->state = LINK_OPEN;
	nlinks++;
	pthread_mutex_unlock(&lock);
	return link->fd < 0 ? -1 : nlinks - 1;
}

int link_port(int link)
{
	return links[link].port;
}

void link_set(int link, enum link_state state)
{
	int i;

	pthread_mutex_lock(&lock);
	links[link].state = state;
	for (i = npairs - 1; i >= 0; i--) {
		if (pairs[i]->link != link)
			continue;
		if (state == LINK_CUT)
			pairs[i]->cut = true;
		else if (state == LINK_REFUSED)
			pair_close(i, true);
	}
	if (state == LINK_REFUSED && links[link].fd >= 0) {
		close(links[link].fd);
		links[link].fd = -1;
	} else if (state != LINK_REFUSED && links[link].fd < 0) {
		links[link].fd = open_listener(links[link].port);
	}
	pthread_mutex_unlock(&lock);
}
