#include "wire/kvetcd.h"

#include <string.h>

#include "base/err.h"

/* A line holds events with base64 values, so it is longer than a value. */
#define STREAM_LINE_MAX_BYTES (8 * STORE_VALUE_MAX_BYTES)

#define VHOST_NAME "etcd-stream"

/* Reply. */

/* Hands on all whole lines. Returns false on a malformed one. */
static bool take_lines(struct etcd_stream *stream)
{
	char *end;
	json_t *value;
	size_t len;

	while (stream->user &&
	       (end = memchr(stream->line->str, '\n', stream->line->len))) {
		len = (size_t)(end - stream->line->str);
		if (len > 0) {
			value = json_loadb(stream->line->str, len, 0, NULL);
			if (!value)
				return false;
			stream->value(stream->user, value);
			json_decref(value);
		}
		g_string_erase(stream->line, 0, (gssize)len + 1);
	}
	return true;
}

static enum hp_verdict on_header(void *user, const char *name,
				 const char *value)
{
	return HP_GO;
}

static enum hp_verdict on_head(void *user, const struct hp_head *head)
{
	return head->status == 200 ? HP_GO : HP_STOP;
}

static enum hp_verdict on_body(void *user, const void *data, size_t len)
{
	struct etcd_stream *stream = user;

	g_string_append_len(stream->line, data, (gssize)len);
	if (!take_lines(stream) || stream->line->len > STREAM_LINE_MAX_BYTES)
		return HP_STOP;
	return HP_GO;
}

static const struct hp_ops reply_ops = {
	.header = on_header,
	.head = on_head,
	.body = on_body,
};

/* Returns false at the end of the reply, which is the end of the stream. */
static bool take_bytes(struct etcd_stream *stream, const char *data, size_t len)
{
	enum hp_state state = HP_MORE;

	hp_feed(stream->parser, data, len, &state);
	return state == HP_MORE;
}

/* Socket. */

static void stream_free(struct etcd_stream *stream)
{
	list_del(&stream->node);
	hp_free(stream->parser);
	g_string_free(stream->request, TRUE);
	g_string_free(stream->line, TRUE);
	g_free(stream);
}

/* The connection is gone; the owner hears of it unless it closed. */
static void end(struct etcd_stream *stream)
{
	void *user = stream->user;
	void (*lost)(void *user) = stream->lost;

	stream_free(stream);
	if (user)
		lost(user);
}

static int write_request(struct etcd_stream *stream)
{
	GString *request = stream->request;
	GByteArray *buf;
	int n;

	if (request->len == 0)
		return 0;
	buf = g_byte_array_new();
	g_byte_array_set_size(buf, LWS_PRE);
	g_byte_array_append(buf, (unsigned char *)request->str,
			    (unsigned int)request->len);
	/* libwebsockets keeps and sends what the socket does not take. */
	n = lws_write(stream->wsi, buf->data + LWS_PRE, request->len,
		      LWS_WRITE_RAW);
	g_byte_array_free(buf, TRUE);
	g_string_truncate(request, 0);
	return n < 0 ? -1 : 0;
}

static int on_socket(struct lws *wsi, enum lws_callback_reasons reason,
		     void *session, void *in, size_t len)
{
	struct etcd_stream *stream = lws_get_opaque_user_data(wsi);

	if (!stream)
		return 0;
	switch (reason) {
	case LWS_CALLBACK_RAW_CONNECTED:
		lws_callback_on_writable(wsi);
		return 0;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return write_request(stream);
	case LWS_CALLBACK_RAW_RX:
		kn_note_arrival(wsi);
		if (!take_bytes(stream, in, len) || !stream->user)
			return -1;
		return 0;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
		lws_set_opaque_user_data(wsi, NULL);
		stream->wsi = NULL;
		if (stream->opening)
			stream->failed = true;
		else
			end(stream);
		return 0;
	default:
		return 0;
	}
}

static const struct lws_protocols protocols[] = {
	{ VHOST_NAME, on_socket, 0, 16384, 0, NULL, 0 },
	{ NULL, NULL, 0, 0, 0, NULL, 0 },
};

/* All streams of a process share one vhost. */
static struct lws_vhost *stream_vhost(struct kn *kn)
{
	struct lws_vhost *vhost = lws_get_vhost_by_name(kn->lws, VHOST_NAME);
	struct lws_context_creation_info info;

	if (vhost)
		return vhost;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.vhost_name = VHOST_NAME;
	info.protocols = protocols;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	return lws_create_vhost(kn->lws, &info);
}

static void connect_stream(struct etcd_stream *stream)
{
	struct etcd *etcd = stream->etcd;
	struct lws_client_connect_info info;

	memset(&info, 0, sizeof(info));
	info.context = etcd->kv.kn->lws;
	info.vhost = stream_vhost(etcd->kv.kn);
	info.address = etcd->addr;
	info.host = etcd->addr;
	info.port = etcd->port;
	info.method = "RAW";
	info.local_protocol_name = protocols[0].name;
	info.opaque_user_data = stream;
	info.pwsi = &stream->wsi;
	stream->opening = true;
	if (!lws_client_connect_via_info(&info))
		stream->failed = true;
	stream->opening = false;
}

static void on_failed(struct kn_timer *timer)
{
	end(container_of(timer, struct etcd_stream, timer));
}

/*
 * Opens a connection for one request with a streamed reply. value() receives
 * each JSON value; lost() is called once when the stream has ended by
 * itself, never from within this function. Takes over body.
 */
struct etcd_stream *
etcd_stream_open(struct etcd *etcd, const char *path, json_t *body,
		 void (*value)(void *user, const json_t *value),
		 void (*lost)(void *user), void *user)
{
	struct etcd_stream *stream = g_new0(struct etcd_stream, 1);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	stream->etcd = etcd;
	stream->value = value;
	stream->lost = lost;
	stream->user = user;
	stream->line = g_string_new(NULL);
	stream->request = g_string_new(NULL);
	g_string_printf(stream->request,
			"POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
			"application/json\r\nContent-Length: %zu\r\n\r\n%s",
			path, etcd->addr, etcd->port, strlen(text), text);
	free(text);
	stream->parser = hp_new(&reply_ops, false, stream);
	hp_begin(stream->parser);
	list_add_tail(&stream->node, &etcd->streams);
	etcd_count(etcd, path);
	connect_stream(stream);
	if (stream->failed)
		kn_timer_set(etcd->kv.kn, &stream->timer, 0, on_failed);
	return stream;
}

/* Ends a stream from the owner's side; lost() is not called. */
void etcd_stream_close(struct etcd_stream *stream)
{
	stream->user = NULL;
	if (stream->wsi)
		lws_set_timeout(stream->wsi, PENDING_TIMEOUT_USER_OK,
				LWS_TO_KILL_ASYNC);
}

/*
 * Frees all streams at the end of the store connection; their sockets close
 * in the next round or with the event loop.
 */
void etcd_streams_finish(struct etcd *etcd)
{
	struct etcd_stream *stream, *next;

	list_for_each_entry_safe(stream, next, &etcd->streams, node) {
		if (stream->wsi) {
			lws_set_opaque_user_data(stream->wsi, NULL);
			lws_set_timeout(stream->wsi, PENDING_TIMEOUT_USER_OK,
					LWS_TO_KILL_ASYNC);
		}
		kn_timer_cancel(&stream->timer);
		stream_free(stream);
	}
}
