#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/log.h"
#include "wire/pr_int.h"

#define SHRINK_BYTES 65536 /* larger send buffers are freed when empty */

/* Life. */

static void link_free(struct pr_link *link)
{
	fr_reader_finish(&link->reader);
	g_byte_array_unref(link->out);
	free(link);
}

/*
 * Detaches the link from its peer and closes the connection. The peer learns
 * of it at once; the memory is freed when no callback of the link runs.
 */
void pr_link_close(struct pr_link *link, const char *reason)
{
	struct pr_peer *peer = link->peer;

	if (link->closed)
		return;
	link->closed = true;
	kn_timer_cancel(&link->timer);
	if (!list_empty(&link->node)) {
		list_del(&link->node);
		link->task->pending_count--;
	}
	if (link->wsi) {
		lws_set_opaque_user_data(link->wsi, NULL);
		lws_set_timeout(link->wsi, PENDING_TIMEOUT_USER_OK,
				LWS_TO_KILL_ASYNC);
		link->wsi = NULL;
	}
	if (peer && peer->link == link) {
		log_info("peer.link.closed", "peer=%s reason=\"%s\"",
			 peer->set->host, reason);
		peer->link = NULL;
		pr_peer_link_closed(peer);
	}
	if (link->depth == 0)
		link_free(link);
}

static void enter(struct pr_link *link)
{
	link->depth++;
}

/* Returns -1, which makes libwebsockets close the connection, if closed. */
static int leave(struct pr_link *link)
{
	link->depth--;
	if (!link->closed)
		return 0;
	if (link->depth == 0)
		link_free(link);
	return -1;
}

static void hello_late(struct kn_timer *timer)
{
	struct pr_link *link = container_of(timer, struct pr_link, timer);

	pr_link_close(link, "no hello in time");
}

static struct pr_link *link_new(struct pr_task *pr, struct lws *wsi,
				int64_t timeout_ms)
{
	struct pr_link *link = g_new0(struct pr_link, 1);

	link->task = pr;
	link->wsi = wsi;
	list_init(&link->node);
	fr_reader_init(&link->reader);
	link->out = g_byte_array_new();
	lws_set_opaque_user_data(wsi, link);
	kn_timer_set(pr->task.kn, &link->timer, timeout_ms * USEC_PER_MSEC,
		     hello_late);
	return link;
}

/* Sending. */

static int link_fd(struct pr_link *link)
{
	return (int)lws_get_socket_fd(link->wsi);
}

static void sent(struct pr_link *link, size_t n)
{
	link->out_sent += n;
	pr_ctr_sent(link, n);
	if (link->peer && link->peer->remote)
		ctr_add(&link->task->region_bytes, n);
	if (link->out_sent < link->out->len) {
		/* Moving costs at most as much as was sent since. */
		if (link->out_sent >= link->out->len / 2) {
			g_byte_array_remove_range(link->out, 0,
						  (guint)link->out_sent);
			link->out_sent = 0;
		}
		return;
	}
	link->out_sent = 0;
	if (link->out->len > SHRINK_BYTES) {
		g_byte_array_unref(link->out);
		link->out = g_byte_array_new();
	} else {
		g_byte_array_set_size(link->out, 0);
	}
}

/* Sends what the socket takes. Returns false when the connection is lost. */
static bool send_some(struct pr_link *link)
{
	ssize_t n;

	while (link->out->len > 0) {
		n = send(link_fd(link), link->out->data + link->out_sent,
			 link->out->len - link->out_sent, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		sent(link, (size_t)n);
	}
	return true;
}

/*
 * Queues a message. A peer that does not read is cut off, because its queue
 * would otherwise take memory from everyone else.
 */
void pr_link_send(struct pr_link *link, int type, const msgpack_sbuffer *body)
{
	if (link->closed)
		return;
	if (!fr_pack(link->out, type, (const unsigned char *)body->data,
		     body->size)) {
		log_err("peer.send.refused", "type=%d bytes=%zu", type,
			body->size);
		return;
	}
	pr_ctr_frame(link->task->frames_sent, type);
	if (link->out->len - link->out_sent > PEER_QUEUE_MAX_BYTES) {
		ctr_add(&link->task->cut_off, 1);
		pr_link_close(link, "send queue full");
		return;
	}
	lws_callback_on_writable(link->wsi);
}

/* Sends what is queued, waiting for the socket until until_us at most. */
void pr_link_flush(struct pr_link *link, int64_t until_us)
{
	struct pollfd pfd;
	int64_t left_us;

	while (link->wsi && send_some(link) && link->out->len > 0) {
		left_us = until_us - kn_now_us();
		if (left_us <= 0)
			return;
		pfd.fd = link_fd(link);
		pfd.events = POLLOUT;
		poll(&pfd, 1, (int)(left_us / USEC_PER_MSEC) + 1);
	}
}

/* Receiving. */

static bool handle_frame(struct pr_link *link, unsigned char *frame, size_t len)
{
	struct fr_msg msg;
	GError *err = NULL;
	bool ok;

	ok = fr_split(frame, len, &msg, &err);
	if (ok) {
		pr_ctr_frame(link->task->frames_received, msg.type);
		return pr_peer_receive(link, &msg);
	}
	log_warn("peer.malformed", "peer=%s text=\"%s\"",
		 link->peer ? link->peer->set->host : "unknown", err->message);
	g_error_free(err);
	ctr_add(&link->task->malformed, 1);
	return false;
}

static void receive(struct pr_link *link, const unsigned char *data, size_t len)
{
	unsigned char *frame;
	GError *err = NULL;
	size_t size;
	bool ok;

	if (link->peer)
		link->peer->heard_us = kn_now_us();
	while (len > 0 && !link->closed) {
		if (!fr_feed(&link->reader, &data, &len, &err)) {
			log_warn("peer.malformed", "text=\"%s\"", err->message);
			g_error_free(err);
			ctr_add(&link->task->malformed, 1);
			pr_link_close(link, "malformed frame");
			return;
		}
		/* An unknown host must not make this one hold large frames. */
		if (link->state != PR_OPEN &&
		    link->reader.size > PEER_HELLO_MAX_BYTES) {
			ctr_add(&link->task->malformed, 1);
			pr_link_close(link, "hello too large");
			return;
		}
		frame = fr_take(&link->reader, &size);
		if (!frame)
			continue;
		ok = handle_frame(link, frame, size);
		free(frame);
		if (!ok)
			pr_link_close(link, "message refused");
	}
}

static void writable(struct pr_link *link)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (link->state == PR_CONNECTING) {
		getsockopt(link_fd(link), SOL_SOCKET, SO_ERROR, &error, &len);
		if (error) {
			pr_link_close(link, g_strerror(error));
			return;
		}
		link->state = PR_HELLO_WAIT;
		pr_peer_greet(link);
	}
	if (!send_some(link))
		pr_link_close(link, "send failed");
	else if (link->out->len > 0)
		lws_callback_on_writable(link->wsi);
}

/* Connections. */

static struct lws *adopt(struct pr_task *pr, int fd, lws_adoption_type type)
{
	lws_sock_file_fd_type desc;

	desc.sockfd = fd;
	return lws_adopt_descriptor_vhost(pr->vhost, type, desc, "peers", NULL);
}

static void accept_all(struct pr_task *pr, int listen_fd)
{
	struct pr_link *link;
	struct lws *wsi;
	int fd;

	while ((fd = accept4(listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		/* Bounds what unknown hosts can make this one hold. */
		if (pr->pending_count >= PEER_PENDING_MAX) {
			ctr_add(&pr->refused, 1);
			close(fd);
			continue;
		}
		wsi = adopt(pr, fd, LWS_ADOPT_SOCKET);
		if (!wsi)
			continue;
		link = link_new(pr, wsi, PEER_SILENT_REMOTE_MS);
		link->state = PR_HELLO_WAIT;
		list_add_tail(&link->node, &pr->pending);
		pr->pending_count++;
	}
}

static int callback(struct lws *wsi, enum lws_callback_reasons reason,
		    void *user, void *in, size_t len)
{
	struct pr_link *link;

	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
		kn_note_arrival(wsi);
		accept_all(lws_vhost_user(lws_get_vhost(wsi)),
			   (int)lws_get_socket_fd(wsi));
		return 0;
	case LWS_CALLBACK_RAW_RX:
	case LWS_CALLBACK_RAW_WRITEABLE:
		link = lws_get_opaque_user_data(wsi);
		if (!link)
			return -1;
		enter(link);
		if (reason == LWS_CALLBACK_RAW_RX) {
			kn_note_arrival(wsi);
			receive(link, in, len);
			/* The first bytes, a hello, tell whose link it is. */
			pr_ctr_received(link, len);
		} else {
			writable(link);
		}
		return leave(link);
	case LWS_CALLBACK_RAW_CLOSE:
		link = lws_get_opaque_user_data(wsi);
		if (!link)
			return 0;
		link->wsi = NULL;
		pr_link_close(link, "closed by peer");
		return 0;
	default:
		return 0;
	}
}

static const struct lws_protocols protocols[] = {
	{ .name = "peers", .callback = callback },
	{ 0 },
};

/* Makes the vhost of all links, and listens on set->peer_listen. */
bool pr_link_vhost(struct pr_task *pr, GError **err)
{
	struct lws_context_creation_info info;
	int fd;

	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = "peers";
	info.protocols = protocols;
	info.user = pr;
	pr->vhost = lws_create_vhost(pr->task.kn->lws, &info);
	if (!pr->vhost) {
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot create the vhost for peers");
		return false;
	}
	if (!pr_sock_listen(&pr->set->peer_listen, &fd, err))
		return false;
	pr->listener = adopt(pr, fd, LWS_ADOPT_RAW_FILE_DESC);
	if (!pr->listener) {
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot listen for peers on port %d",
			    pr->set->peer_listen.port);
		return false;
	}
	return true;
}

/* Begins a connection to a peer; NULL when that fails at once. */
struct pr_link *pr_link_connect(struct pr_peer *peer)
{
	struct pr_task *pr = peer->task;
	struct pr_link *link;
	struct lws *wsi;
	int fd;

	fd = pr_sock_connect(&peer->set->at);
	if (fd < 0)
		return NULL;
	wsi = adopt(pr, fd, LWS_ADOPT_SOCKET);
	if (!wsi)
		return NULL;
	link = link_new(pr, wsi,
			peer->remote ? PEER_SILENT_REMOTE_MS : PEER_SILENT_MS);
	link->peer = peer;
	link->state = PR_CONNECTING;
	lws_callback_on_writable(wsi);
	return link;
}
