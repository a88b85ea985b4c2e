#include "review/path.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/list.h"
#include "tests/standins/ports.h"

#define BUFFER_BYTES 65536
#define WAKE_MS 2

/* One direction of a connection. */
struct flow {
	char data[BUFFER_BYTES];
	size_t at;
	size_t len;
	bool ended; /* the sender has closed its side */
	bool shut; /* and the receiver has been told */
};

struct pair {
	struct list_head node;
	int fd[2]; /* 0: accepted, 1: connected to the target */
	struct flow flow[2]; /* flow[i] is read from fd[i] */
	bool lost; /* opened while the path was cut */
	int pid; /* of the process that has connected, 0: not known */
};

struct path {
	int fd;
	int port;
	int target_port;
	bool cut;
	bool identifies; /* notes which process has connected */
	int blocked; /* process whose connections are cut, 0: none */
	struct list_head pairs;
};

#define KNOWN_MAX 16

static int known[KNOWN_MAX];
static int known_count;
static struct path paths[PATHS_MAX];
static int path_count;
static GMutex lock;
static GThread *thread;
static bool stopping;

static struct sockaddr_in local(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

static void pair_free(struct pair *pair)
{
	list_del(&pair->node);
	close(pair->fd[0]);
	if (pair->fd[1] >= 0)
		close(pair->fd[1]);
	g_free(pair);
}

static void pair_reset(struct pair *pair)
{
	struct linger now = { .l_onoff = 1 };
	int i;

	for (i = 0; i < 2; i++)
		if (pair->fd[i] >= 0)
			setsockopt(pair->fd[i], SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
	pair_free(pair);
}

/* The inode of the socket of this machine that has the two ports, 0: none. */
static unsigned long socket_inode(unsigned int from, unsigned int to)
{
	unsigned int local_port, remote_port;
	unsigned long inode, found = 0;
	FILE *file = fopen("/proc/net/tcp", "r");
	char line[300];

	while (file && found == 0 && fgets(line, sizeof(line), file))
		if (sscanf(line,
			   " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d "
			   "%*d %lu",
			   &local_port, &remote_port, &inode) == 3 &&
		    local_port == from && remote_port == to)
			found = inode;
	if (file)
		fclose(file);
	return found;
}

static bool process_has(int pid, unsigned long inode)
{
	char path[300], target[64], wanted[64];
	struct dirent *entry;
	bool found = false;
	DIR *dir;
	ssize_t n;

	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	dir = opendir(path);
	while (dir && !found && (entry = readdir(dir))) {
		snprintf(path, sizeof(path), "/proc/%d/fd/%.64s", pid,
			 entry->d_name);
		n = readlink(path, target, sizeof(target) - 1);
		target[MAX(n, 0)] = '\0';
		found = strcmp(target, wanted) == 0;
	}
	if (dir)
		closedir(dir);
	return found;
}

/* Which of the known processes has made the connection. */
static int connected_process(const struct path *path, int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	unsigned long inode;
	int i;

	getpeername(fd, (struct sockaddr *)&sa, &len);
	inode = socket_inode(ntohs(sa.sin_port), (unsigned int)path->port);
	for (i = 0; inode && i < known_count; i++)
		if (process_has(known[i], inode))
			return known[i];
	return 0;
}

static bool connect_target(const struct path *path, struct pair *pair)
{
	struct sockaddr_in sa = local(path->target_port);
	int one = 1;

	pair->fd[1] =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(pair->fd[1], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return connect(pair->fd[1], (struct sockaddr *)&sa, sizeof(sa)) == 0 ||
	       errno == EINPROGRESS;
}

static bool is_blocked(const struct path *path, const struct pair *pair)
{
	return path->blocked != 0 && pair->pid == path->blocked;
}

static void accept_all(struct path *path)
{
	struct pair *pair;
	int one = 1, fd;

	while ((fd = accept4(path->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pair = g_new0(struct pair, 1);
		pair->fd[0] = fd;
		pair->fd[1] = -1;
		pair->pid = path->identifies ? connected_process(path, fd) : 0;
		pair->lost = path->cut || is_blocked(path, pair);
		list_add_tail(&pair->node, &path->pairs);
		if (!pair->lost && !connect_target(path, pair))
			pair_reset(pair);
	}
}

/* Returns whether the connection goes on. */
static bool carry(struct pair *pair, int i)
{
	struct flow *flow = &pair->flow[i];
	ssize_t n;

	if (flow->len == 0 && !flow->ended) {
		n = recv(pair->fd[i], flow->data, BUFFER_BYTES, 0);
		if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
			return false;
		flow->ended = n == 0;
		flow->at = 0;
		flow->len = n > 0 ? (size_t)n : 0;
	}
	if (flow->len > 0) {
		n = send(pair->fd[1 - i], flow->data + flow->at, flow->len,
			 MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == ENOTCONN;
		flow->at += (size_t)n;
		flow->len -= (size_t)n;
	}
	if (flow->ended && flow->len == 0 && !flow->shut) {
		flow->shut = true;
		shutdown(pair->fd[1 - i], SHUT_WR);
	}
	return true;
}

static bool has_error(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	       error != 0;
}

static void serve(struct path *path)
{
	struct pair *pair, *next;

	if (path->fd < 0)
		return;
	accept_all(path);
	if (path->cut)
		return;
	list_for_each_entry_safe(pair, next, &path->pairs, node) {
		if (is_blocked(path, pair))
			continue;
		if (pair->lost || has_error(pair->fd[0]) ||
		    has_error(pair->fd[1]) || !carry(pair, 0) ||
		    !carry(pair, 1))
			pair_reset(pair);
		else if (pair->flow[0].shut && pair->flow[1].shut)
			pair_free(pair);
	}
}

static void wait_for_bytes(void)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	struct pair *pair;
	int i, p;

	g_mutex_lock(&lock);
	for (p = 0; p < path_count; p++) {
		struct pollfd pfd = { .fd = paths[p].fd, .events = POLLIN };

		if (paths[p].cut || paths[p].fd < 0)
			continue;
		g_array_append_val(fds, pfd);
		list_for_each_entry(pair, &paths[p].pairs, node)
			for (i = 0; i < 2 && !is_blocked(&paths[p], pair);
			     i++) {
				const struct flow *flow = &pair->flow[i];

				pfd.fd = pair->fd[i];
				pfd.events =
					flow->ended || flow->len ? 0 : POLLIN;
				if (pfd.fd >= 0 && pfd.events)
					g_array_append_val(fds, pfd);
			}
	}
	g_mutex_unlock(&lock);
	poll((struct pollfd *)(void *)fds->data, fds->len, WAKE_MS);
	g_array_unref(fds);
}

static void *run(void *unused)
{
	int p;

	while (!stopping) {
		wait_for_bytes();
		g_mutex_lock(&lock);
		for (p = 0; p < path_count; p++)
			serve(&paths[p]);
		g_mutex_unlock(&lock);
	}
	return NULL;
}

void path_start(void)
{
	thread = g_thread_new("paths", run, NULL);
}

void path_stop(void)
{
	struct pair *pair, *next;
	int p;

	stopping = true;
	g_thread_join(thread);
	for (p = 0; p < path_count; p++) {
		list_for_each_entry_safe(pair, next, &paths[p].pairs, node)
			pair_free(pair);
		if (paths[p].fd >= 0)
			close(paths[p].fd);
	}
}

static int listen_on(int port)
{
	struct sockaddr_in sa = local(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 128) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

int path_new(int target_port)
{
	struct path *path = &paths[path_count];
	int port = ports_reserve();
	int fd = path_count < PATHS_MAX ? listen_on(port) : -1;

	if (fd < 0)
		return -1;
	g_mutex_lock(&lock);
	path->fd = fd;
	path->port = port;
	path->target_port = target_port;
	list_init(&path->pairs);
	path_count++;
	g_mutex_unlock(&lock);
	return path_count - 1;
}

void path_identify(int id)
{
	g_mutex_lock(&lock);
	paths[id].identifies = true;
	g_mutex_unlock(&lock);
}

int path_port(int id)
{
	return paths[id].port;
}

void path_cut(int id)
{
	g_mutex_lock(&lock);
	paths[id].cut = true;
	g_mutex_unlock(&lock);
}

void path_heal(int id)
{
	g_mutex_lock(&lock);
	/* Those that wait to be accepted were opened during the cut. */
	accept_all(&paths[id]);
	paths[id].cut = false;
	g_mutex_unlock(&lock);
}

void path_block(int id, int pid)
{
	g_mutex_lock(&lock);
	/* Those that wait to be accepted were opened before the change. */
	accept_all(&paths[id]);
	paths[id].blocked = pid;
	g_mutex_unlock(&lock);
}

void path_know(int pid)
{
	g_mutex_lock(&lock);
	if (known_count < KNOWN_MAX)
		known[known_count++] = pid;
	g_mutex_unlock(&lock);
}

void path_end(int id)
{
	struct pair *pair, *next;

	g_mutex_lock(&lock);
	list_for_each_entry_safe(pair, next, &paths[id].pairs, node)
		pair_reset(pair);
	close(paths[id].fd);
	paths[id].fd = -1;
	g_mutex_unlock(&lock);
}

bool path_begin(int id)
{
	bool ok;

	g_mutex_lock(&lock);
	paths[id].fd = listen_on(paths[id].port);
	ok = paths[id].fd >= 0;
	g_mutex_unlock(&lock);
	return ok;
}
