#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"
#include "wire/hs_conn.h"
#include "wire/sock.h"

/*
 * The listening socket is our own and not that of a libwebsockets vhost:
 * in 4.1.6 a destroyed vhost goes on accepting while the context lives.
 */

/* Accepted at most in one round, so that open connections are served too. */
#define ACCEPT_BATCH 64

/* Read of a request that is refused unread, so that closing resets nothing. */
#define REFUSE_READ_BYTES 65536

/* Closes a connection that can't be kept until its caller has read. */
static void refuse_at_once(int fd)
{
	char data[4096];
	size_t total = 0;
	ssize_t n;

	hs_send_busy(fd);
	shutdown(fd, SHUT_WR);
	while (total < REFUSE_READ_BYTES &&
	       (n = recv(fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
		total += (size_t)n;
	close(fd);
}

/*
 * With no descriptor left the queue of connections can't be emptied and the
 * loop would spin on it; giving up the spare one allows to refuse them.
 */
static int accept_with_spare(struct hs_server *server)
{
	int fd;

	close(server->spare_fd);
	fd = accept4(server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	if (fd >= 0)
		refuse_at_once(fd);
	server->spare_fd = open("/dev/null", O_RDONLY | O_CLOEXEC);
	log_warn("http.accept", "error=no_descriptor connections=%zu",
		 server->conn_count);
	return fd;
}

/* Returns false when there is nothing left to accept. */
static bool accept_one(struct hs_server *server)
{
	lws_sock_file_fd_type fd;
	struct hs_conn *conn;
	struct lws *wsi;
	bool full;

	fd.sockfd = accept4(server->listen_fd, NULL, NULL,
			    SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd.sockfd < 0 && (errno == EMFILE || errno == ENFILE))
		return accept_with_spare(server) >= 0;
	if (fd.sockfd < 0)
		return errno == EINTR || errno == ECONNABORTED;
	server->accepted++;
	full = server->conn_count - server->refused_count >= server->conns_max;
	if (full && server->refused_count >= HTTP_REFUSED_MAX) {
		refuse_at_once(fd.sockfd);
		return true;
	}
	sock_tune(fd.sockfd);
	wsi = lws_adopt_descriptor_vhost(server->vhost, LWS_ADOPT_SOCKET, fd,
					 "hs", NULL);
	if (!wsi)
		return true;
	conn = hs_conn_new(server, wsi);
	if (!full)
		return true;
	/* What the caller sends is discarded until it has read the refusal. */
	conn->refused = true;
	server->refused_count++;
	hs_refuse(conn, CB_E_OVERLOADED);
	return true;
}

void hs_accept(struct hs_server *server)
{
	int i;

	for (i = 0; i < ACCEPT_BATCH; i++)
		if (!accept_one(server))
			return;
}

bool hs_listen(struct hs_server *server, const char *addr, int port,
	       GError **err)
{
	lws_sock_file_fd_type fd;

	fd.filefd = sock_listen(addr, port);
	if (fd.filefd < 0) {
		g_set_error(err, CB_ERROR, CB_E_IO,
			    "cannot listen on %s:%d: %s", addr, port,
			    g_strerror(errno));
		return false;
	}
	server->listen_fd = fd.filefd;
	server->port = sock_port(fd.filefd);
	server->listen_wsi = lws_adopt_descriptor_vhost(
		server->vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "hs", NULL);
	if (!server->listen_wsi) {
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot watch the listening socket");
		return false;
	}
	lws_set_opaque_user_data(server->listen_wsi, server);
	server->spare_fd = open("/dev/null", O_RDONLY | O_CLOEXEC);
	return true;
}

/* Connections are refused from now on; libwebsockets closes the socket. */
void hs_unlisten(struct hs_server *server)
{
	shutdown(server->listen_fd, SHUT_RDWR);
	lws_set_opaque_user_data(server->listen_wsi, NULL);
	lws_set_timeout(server->listen_wsi, PENDING_TIMEOUT_USER_OK,
			LWS_TO_KILL_ASYNC);
	close(server->spare_fd);
}
