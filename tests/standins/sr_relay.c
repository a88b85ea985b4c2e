#include "tests/standins/sr_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/list.h"

#define BUFFER_BYTES 65536
#define WAKE_MS 5 /* how late a change of state or a new relay is seen */

/* One direction of a connection. */
struct flow {
	char data[BUFFER_BYTES];
	size_t at;
	size_t len;
	bool ended; /* the sender has closed its side */
	bool shut; /* and the receiver has been told */
	int64_t due_us; /* what was read is sent then */
};

struct pair {
	struct list_head node;
	int fd[2]; /* 0: accepted, 1: connected to the target */
	struct flow flow[2]; /* flow[i] is read from fd[i] */
	bool silent;
};

struct relay {
	int fd;
	int port;
	int target_port;
	enum sr_relay_state state;
	int64_t bytes;
	struct list_head pairs;
};

static struct relay relays[SR_RELAYS_MAX];
static int relay_count;
static GMutex lock;
static GCond round_ended;
static uint64_t rounds;
static GThread *thread;
static bool stopping;

/* Sockets. */

static struct sockaddr_in local(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

int sr_listen(int *port)
{
	struct sockaddr_in sa = local(*port);
	socklen_t len = sizeof(sa);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, len) < 0 || listen(fd, 128) < 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

static void pair_free(struct pair *pair)
{
	list_del(&pair->node);
	close(pair->fd[0]);
	close(pair->fd[1]);
	g_free(pair);
}

/* Resets both sides, so that neither can take the end for an orderly one. */
static void pair_reset(struct pair *pair)
{
	struct linger now = { .l_onoff = 1 };
	int i;

	for (i = 0; i < 2; i++)
		setsockopt(pair->fd[i], SOL_SOCKET, SO_LINGER, &now,
			   sizeof(now));
	pair_free(pair);
}

/* Returns false if no connection was waiting. */
static bool accept_one(struct relay *relay)
{
	struct sockaddr_in sa = local(relay->target_port);
	struct pair *pair;
	int one = 1, in, out, i;

	in = accept4(relay->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (in < 0)
		return false;
	out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	pair = g_new0(struct pair, 1);
	pair->fd[0] = in;
	pair->fd[1] = out;
	list_add_tail(&pair->node, &relay->pairs);
	for (i = 0; i < 2; i++)
		setsockopt(pair->fd[i], IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
	if (relay->state == SR_REFUSED ||
	    (connect(out, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	     errno != EINPROGRESS))
		pair_reset(pair);
	return true;
}

/* Carrying. */

/* Moves bytes from fd[i] to the other; false when the connection broke. */
static bool carry(struct relay *relay, struct pair *pair, int i)
{
	struct flow *flow = &pair->flow[i];
	int to = pair->fd[1 - i];
	ssize_t n;

	if (flow->len == 0 && !flow->ended) {
		n = recv(pair->fd[i], flow->data, BUFFER_BYTES, 0);
		if (n < 0 && errno != EAGAIN)
			return false;
		flow->ended = n == 0;
		flow->at = 0;
		flow->len = n > 0 ? (size_t)n : 0;
		flow->due_us =
			relay->state == SR_SLOW ?
				g_get_monotonic_time() + SR_SLOW_MS * 1000 :
				0;
	}
	if (pair->silent || (relay->state == SR_ONE_WAY && i == 1))
		flow->len = 0;
	if (flow->len > 0 && g_get_monotonic_time() < flow->due_us)
		return true;
	if (flow->len > 0) {
		n = send(to, flow->data + flow->at, flow->len, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == ENOTCONN;
		flow->at += (size_t)n;
		flow->len -= (size_t)n;
		relay->bytes += n;
	}
	if (flow->ended && flow->len == 0 && !flow->shut) {
		flow->shut = true;
		shutdown(to, SHUT_WR);
	}
	return true;
}

static void serve_pair(struct relay *relay, struct pair *pair,
		       const struct pollfd *pfd)
{
	if (pfd[0].revents & POLLNVAL)
		return;
	/* A reset shows as an error; a connect that failed does too. */
	if (pfd[0].revents & POLLERR || pfd[1].revents & POLLERR ||
	    !carry(relay, pair, 0) || !carry(relay, pair, 1))
		pair_reset(pair);
	else if (pair->flow[0].shut && pair->flow[1].shut)
		pair_free(pair);
}

static short wanted(const struct pair *pair, int i)
{
	const struct flow *in = &pair->flow[i], *out = &pair->flow[1 - i];

	return (short)((in->len == 0 && !in->ended ? POLLIN : 0) |
		       (out->len > 0 ? POLLOUT : 0));
}

static void fill(GArray *fds, struct relay *relay)
{
	struct pollfd pfd = { .fd = relay->fd, .events = POLLIN };
	struct pair *pair;
	int i;

	/* While cut, the kernel accepts connections and nobody serves them. */
	if (relay->state == SR_CUT)
		return;
	g_array_append_val(fds, pfd);
	list_for_each_entry(pair, &relay->pairs, node) {
		for (i = 0; i < 2; i++) {
			pfd.fd = pair->fd[i];
			pfd.events = wanted(pair, i);
			g_array_append_val(fds, pfd);
		}
	}
}

static void serve(const struct pollfd **pfd, struct relay *relay)
{
	const struct pollfd *own = *pfd;
	struct pair *pair, *tmp;

	if (relay->state == SR_CUT)
		return;
	*pfd += 1;
	list_for_each_entry_safe(pair, tmp, &relay->pairs, node) {
		const struct pollfd *both = *pfd;

		*pfd += 2;
		if (relay->state == SR_REFUSED)
			pair_reset(pair);
		else if (both[0].revents || both[1].revents ||
			 pair->flow[0].due_us || pair->flow[1].due_us)
			serve_pair(relay, pair, both);
	}
	if (own->revents & POLLIN)
		while (accept_one(relay) && relay->state == SR_REFUSED)
			;
}

/* The lock is released only while waiting, when the set may not change. */
static void *run(void *unused)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	const struct pollfd *pfd;
	int i, count;

	g_mutex_lock(&lock);
	while (!stopping) {
		enum sr_relay_state before[SR_RELAYS_MAX];

		g_array_set_size(fds, 0);
		count = relay_count;
		for (i = 0; i < count; i++) {
			before[i] = relays[i].state;
			fill(fds, &relays[i]);
		}
		g_mutex_unlock(&lock);
		poll((struct pollfd *)fds->data, fds->len, WAKE_MS);
		g_mutex_lock(&lock);
		pfd = (struct pollfd *)fds->data;
		for (i = 0; i < count; i++) {
			enum sr_relay_state now = relays[i].state;

			/* The descriptors were laid out for the state before. */
			relays[i].state = before[i];
			serve(&pfd, &relays[i]);
			relays[i].state = now;
		}
		rounds++;
		g_cond_broadcast(&round_ended);
	}
	g_mutex_unlock(&lock);
	g_array_unref(fds);
	return NULL;
}

/* Control. */

void sr_relay_start(void)
{
	thread = g_thread_new("relays", run, NULL);
}

void sr_relay_stop(void)
{
	struct pair *pair, *tmp;
	int i;

	g_mutex_lock(&lock);
	stopping = true;
	g_mutex_unlock(&lock);
	g_thread_join(thread);
	for (i = 0; i < relay_count; i++) {
		list_for_each_entry_safe(pair, tmp, &relays[i].pairs, node)
			pair_free(pair);
		close(relays[i].fd);
	}
}

int sr_relay_new(int port, int target_port)
{
	int fd = sr_listen(&port), id = -1;

	if (fd < 0)
		return -1;
	g_mutex_lock(&lock);
	if (relay_count < SR_RELAYS_MAX) {
		id = relay_count++;
		relays[id].fd = fd;
		relays[id].port = port;
		relays[id].target_port = target_port;
		relays[id].state = SR_OPEN;
		list_init(&relays[id].pairs);
	}
	g_mutex_unlock(&lock);
	if (id < 0)
		close(fd);
	return id;
}

int sr_relay_port(int id)
{
	return relays[id].port;
}

/* Returns when the new state is in force: the round in progress, which may
 * still serve the old one, and one more have ended. */
void sr_relay_set(int id, enum sr_relay_state state)
{
	uint64_t until;

	g_mutex_lock(&lock);
	relays[id].state = state;
	until = rounds + 2;
	while (rounds < until)
		g_cond_wait(&round_ended, &lock);
	g_mutex_unlock(&lock);
}

void sr_relay_silence(int id)
{
	struct pair *pair;

	g_mutex_lock(&lock);
	list_for_each_entry(pair, &relays[id].pairs, node)
		pair->silent = true;
	g_mutex_unlock(&lock);
}

int64_t sr_relay_bytes(int id)
{
	int64_t bytes;

	g_mutex_lock(&lock);
	bytes = relays[id].bytes;
	g_mutex_unlock(&lock);
	return bytes;
}
