#include "wire/rpc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/log.h"
#include "wire/sock.h"

/* Types of the frames. */
enum rpc_type { RPC_CALL = 64, RPC_REPLY = 65 };

/* Servers and clients share the code of a connection. */
struct rpc_conn {
	struct list_head node; /* of a server's connection */
	struct lws *wsi;
	struct fr_reader reader;
	GByteArray *out;
	bool connected;
	struct rpc_server *server; /* or */
	struct rpc_peer *peer;
	struct list_head requests; /* of a server's connection */
};

/* Connections. */

static void fail_calls(struct rpc_peer *peer, int result);

/* Detaches the connection from both ends and frees it. */
static void conn_free(struct rpc_conn *conn)
{
	struct rpc_request *request, *next;

	list_for_each_entry_safe(request, next, &conn->requests, node) {
		list_del(&request->node);
		request->conn = NULL;
	}
	list_del(&conn->node);
	if (conn->wsi)
		lws_set_opaque_user_data(conn->wsi, NULL);
	fr_reader_finish(&conn->reader);
	g_byte_array_unref(conn->out);
	g_free(conn);
}

/* Ends a connection from inside of its callback. */
static void conn_lost(struct rpc_conn *conn)
{
	struct rpc_peer *peer = conn->peer;

	conn_free(conn);
	if (!peer)
		return;
	peer->conn = NULL;
	fail_calls(peer, CB_E_PEER_LOST);
}

/* Ends a connection from outside of its callback. */
static void conn_kill(struct rpc_conn *conn)
{
	struct lws *wsi = conn->wsi;

	conn->peer = NULL;
	conn_free(conn);
	if (!wsi)
		return;
	shutdown(lws_get_socket_fd(wsi), SHUT_RDWR);
	lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/* Sends what the kernel takes; false when the connection is broken. */
static bool flush(struct rpc_conn *conn)
{
	while (conn->out->len > 0) {
		ssize_t n = send(lws_get_socket_fd(conn->wsi), conn->out->data,
				 conn->out->len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
			      errno == ENOTCONN)) {
			lws_callback_on_writable(conn->wsi);
			return true;
		}
		if (n < 0)
			return false;
		g_byte_array_remove_range(conn->out, 0, (guint)n);
	}
	return true;
}

static void send_frame(struct rpc_conn *conn, enum rpc_type type, uint64_t id,
		       const void *data, size_t len)
{
	msgpack_sbuffer body;
	msgpack_packer packer;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, id);
	msgpack_pack_bin(&packer, len);
	if (len > 0)
		msgpack_pack_bin_body(&packer, data, len);
	if (!fr_pack(conn->out, type, (unsigned char *)body.data, body.size))
		log_err("rpc.too_large", "bytes=%zu result=%d", body.size,
			CB_E_FRAME_TOO_LARGE);
	msgpack_sbuffer_destroy(&body);
	lws_callback_on_writable(conn->wsi);
}

/* Receiving. */

static void on_call_frame(struct rpc_conn *conn, uint64_t id, const void *data,
			  size_t len)
{
	struct rpc_request *request = g_new0(struct rpc_request, 1);

	request->conn = conn;
	request->id = id;
	request->data = data;
	request->len = len;
	list_add_tail(&request->node, &conn->requests);
	conn->server->ops->request(conn->server, request);
}

static void end_call(struct rpc_call *call, int result)
{
	list_del(&call->node);
	kn_timer_cancel(&call->timer);
	call->result = result;
	call->peer = NULL;
	call->done(call);
}

static void on_reply_frame(struct rpc_peer *peer, uint64_t id, const void *data,
			   size_t len)
{
	struct rpc_call *call;

	list_for_each_entry(call, &peer->calls, node) {
		if (call->id != id)
			continue;
		call->data = data;
		call->len = len;
		end_call(call, CB_OK);
		return;
	}
}

/* Returns false when the frame is malformed. */
static bool on_frame(struct rpc_conn *conn, unsigned char *frame, size_t len)
{
	msgpack_unpacked unpacked;
	const msgpack_object *fields;
	struct fr_msg msg;
	GError *err = NULL;
	bool ok = false;

	if (!fr_split(frame, len, &msg, &err) ||
	    !fr_unpack(&unpacked, msg.body, msg.len, &err)) {
		log_warn("rpc.malformed", "text=\"%s\"", err->message);
		g_error_free(err);
		return false;
	}
	fields = unpacked.data.via.array.ptr;
	if (unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size == 2 &&
	    fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    fields[1].type == MSGPACK_OBJECT_BIN) {
		const void *data = fields[1].via.bin.ptr;
		size_t size = fields[1].via.bin.size;

		ok = true;
		if (msg.type == RPC_CALL && conn->server)
			on_call_frame(conn, fields[0].via.u64, data, size);
		else if (msg.type == RPC_REPLY && conn->peer)
			on_reply_frame(conn->peer, fields[0].via.u64, data,
				       size);
		else
			ok = false;
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

/* Returns -1 to close; the connection is gone then. */
static int on_rx(struct rpc_conn *conn, const unsigned char *data, size_t len)
{
	struct lws *wsi = conn->wsi;

	while (len > 0) {
		GError *err = NULL;
		unsigned char *frame;
		size_t size;
		bool ok;

		if (!fr_feed(&conn->reader, &data, &len, &err)) {
			log_warn("rpc.malformed", "text=\"%s\"", err->message);
			g_error_free(err);
			conn_lost(conn);
			return -1;
		}
		frame = fr_take(&conn->reader, &size);
		if (!frame)
			continue;
		ok = on_frame(conn, frame, size);
		free(frame);
		/* A callback may have closed the connection. */
		if (lws_get_opaque_user_data(wsi) != conn)
			return -1;
		if (!ok) {
			conn_lost(conn);
			return -1;
		}
	}
	return 0;
}

static int on_writable(struct rpc_conn *conn)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (!conn->connected) {
		if (getsockopt(lws_get_socket_fd(conn->wsi), SOL_SOCKET,
			       SO_ERROR, &error, &len) < 0 ||
		    error != 0) {
			conn_lost(conn);
			return -1;
		}
		conn->connected = true;
	}
	if (flush(conn))
		return 0;
	conn_lost(conn);
	return -1;
}

static void rpc_accept(struct rpc_server *server);

static int rpc_callback(struct lws *wsi, enum lws_callback_reasons reason,
			void *user, void *in, size_t len)
{
	void *data = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
		kn_note_arrival(wsi);
		if (data)
			rpc_accept(data);
		return 0;
	case LWS_CALLBACK_RAW_RX:
		kn_note_arrival(wsi);
		return data ? on_rx(data, in, len) : -1;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return data ? on_writable(data) : -1;
	case LWS_CALLBACK_RAW_CLOSE:
		if (data)
			conn_lost(data);
		return 0;
	default:
		return 0;
	}
}

static const struct lws_protocols rpc_protocols[] = {
	{ "rpc", rpc_callback, 0, 0, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* Servers and clients of a process share one vhost. */
static struct lws_vhost *rpc_vhost(struct kn *kn)
{
	struct lws_vhost *vhost = lws_get_vhost_by_name(kn->lws, "rpc");
	struct lws_context_creation_info info;

	if (vhost)
		return vhost;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = "rpc";
	info.protocols = rpc_protocols;
	return lws_create_vhost(kn->lws, &info);
}

/* Adopts a socket; NULL when the library refuses it. */
static struct rpc_conn *conn_new(struct kn *kn, int fd)
{
	lws_sock_file_fd_type desc = { .sockfd = fd };
	struct rpc_conn *conn;
	struct lws *wsi;

	wsi = lws_adopt_descriptor_vhost(rpc_vhost(kn), LWS_ADOPT_SOCKET, desc,
					 "rpc", NULL);
	if (!wsi)
		return NULL;
	conn = g_new0(struct rpc_conn, 1);
	conn->wsi = wsi;
	conn->out = g_byte_array_new();
	fr_reader_init(&conn->reader);
	list_init(&conn->node);
	list_init(&conn->requests);
	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	lws_set_opaque_user_data(wsi, conn);
	return conn;
}

/* Server. */

static void rpc_accept(struct rpc_server *server)
{
	int fd = accept4(server->listen_fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct rpc_conn *conn;

	if (fd < 0)
		return;
	sock_tune(fd);
	conn = conn_new(server->kn, fd);
	if (!conn)
		return;
	conn->connected = true;
	conn->server = server;
	list_add_tail(&conn->node, &server->conns);
}

bool rpc_server_init(struct rpc_server *server, struct kn *kn,
		     const struct rpc_server_ops *ops, const char *addr,
		     int port, GError **err)
{
	lws_sock_file_fd_type fd;

	memset(server, 0, sizeof(*server));
	server->ops = ops;
	server->kn = kn;
	list_init(&server->conns);
	fd.filefd = sock_listen(addr, port);
	if (fd.filefd < 0) {
		g_set_error(err, CB_ERROR, CB_E_IO,
			    "cannot listen on %s:%d: %s", addr, port,
			    g_strerror(errno));
		return false;
	}
	server->listen_fd = fd.filefd;
	server->listen_wsi = lws_adopt_descriptor_vhost(
		rpc_vhost(kn), LWS_ADOPT_RAW_FILE_DESC, fd, "rpc", NULL);
	if (!server->listen_wsi) {
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot watch the listening socket");
		return false;
	}
	lws_set_opaque_user_data(server->listen_wsi, server);
	return true;
}

void rpc_server_finish(struct rpc_server *server)
{
	struct rpc_conn *conn, *next;

	shutdown(server->listen_fd, SHUT_RDWR);
	lws_set_opaque_user_data(server->listen_wsi, NULL);
	lws_set_timeout(server->listen_wsi, PENDING_TIMEOUT_USER_OK,
			LWS_TO_KILL_ASYNC);
	list_for_each_entry_safe(conn, next, &server->conns, node)
		conn_kill(conn);
}

void rpc_reply(struct rpc_request *request, const void *data, size_t len)
{
	if (request->conn)
		send_frame(request->conn, RPC_REPLY, request->id, data, len);
	list_del(&request->node);
	g_free(request);
}

/* Client. */

/* All calls of a lost connection; done() may start new ones. */
static void fail_calls(struct rpc_peer *peer, int result)
{
	struct list_head lost;

	list_init(&lost);
	while (!list_empty(&peer->calls)) {
		struct rpc_call *call =
			list_first_entry(&peer->calls, struct rpc_call, node);

		list_del(&call->node);
		list_add_tail(&call->node, &lost);
	}
	while (!list_empty(&lost))
		end_call(list_first_entry(&lost, struct rpc_call, node),
			 result);
}

void rpc_peer_init(struct rpc_peer *peer, struct kn *kn, const char *addr,
		   int port)
{
	memset(peer, 0, sizeof(*peer));
	peer->kn = kn;
	g_strlcpy(peer->addr, addr, sizeof(peer->addr));
	peer->port = port;
	list_init(&peer->calls);
}

void rpc_peer_finish(struct rpc_peer *peer)
{
	struct rpc_conn *conn = peer->conn;

	peer->conn = NULL;
	if (conn)
		conn_kill(conn);
	fail_calls(peer, CB_E_PEER_LOST);
}

/* A call without answer: the connection may be silent, so all of it goes. */
static void on_timeout(struct kn_timer *timer)
{
	struct rpc_call *call = container_of(timer, struct rpc_call, timer);
	struct rpc_peer *peer = call->peer;
	struct rpc_conn *conn = peer->conn;

	peer->conn = NULL;
	if (conn) {
		call->sent = call->sent && conn->connected;
		conn_kill(conn);
	}
	end_call(call, CB_E_TIMEOUT);
	fail_calls(peer, CB_E_PEER_LOST);
}

static void on_no_conn(struct kn_timer *timer)
{
	struct rpc_call *call = container_of(timer, struct rpc_call, timer);

	call->sent = false;
	end_call(call, CB_E_PEER_LOST);
}

static bool connect_peer(struct rpc_peer *peer)
{
	int fd;

	if (peer->conn)
		return true;
	fd = sock_connect(peer->addr, peer->port);
	if (fd < 0)
		return false;
	peer->conn = conn_new(peer->kn, fd);
	if (!peer->conn)
		return false;
	peer->conn->peer = peer;
	return true;
}

void rpc_call_start(struct rpc_call *call, struct rpc_peer *peer,
		    const void *data, size_t len, int64_t timeout_ms,
		    void (*done)(struct rpc_call *call))
{
	memset(call, 0, offsetof(struct rpc_call, done));
	call->peer = peer;
	call->done = done;
	call->id = ++peer->next_id;
	call->data = NULL;
	call->len = 0;
	memset(&call->timer, 0, sizeof(call->timer));
	list_add_tail(&call->node, &peer->calls);
	call->sent = connect_peer(peer);
	if (!call->sent) {
		kn_timer_set(peer->kn, &call->timer, 0, on_no_conn);
		return;
	}
	send_frame(peer->conn, RPC_CALL, call->id, data, len);
	kn_timer_set(peer->kn, &call->timer, timeout_ms * USEC_PER_MSEC,
		     on_timeout);
}

void rpc_call_cancel(struct rpc_call *call)
{
	if (!call->peer)
		return;
	call->peer = NULL;
	list_del(&call->node);
	kn_timer_cancel(&call->timer);
}
