#include <inttypes.h>
#include <string.h>

#include "base/ev.h"
#include "base/log.h"
#include "wire/pr_int.h"

static struct kn *kn_of(struct pr_peer *peer)
{
	return peer->task->task.kn;
}

/* Finds a configured host by name, NULL for any other. */
struct pr_peer *pr_peer_find(struct pr_task *pr, const char *host)
{
	size_t i;

	for (i = 0; i < pr->set->peer_count; i++)
		if (strcmp(pr->peers[i].set->host, host) == 0)
			return &pr->peers[i];
	return NULL;
}

/* Connecting. */

static void dial(struct kn_timer *timer);

/* Exponential backoff with full jitter. */
static void dial_later(struct pr_peer *peer)
{
	int64_t limit_ms = PEER_RECONNECT_MIN_MS;
	unsigned int i;

	for (i = 0; i < peer->attempts && limit_ms < PEER_RECONNECT_MAX_MS; i++)
		limit_ms *= 2;
	limit_ms = MIN(limit_ms, PEER_RECONNECT_MAX_MS);
	peer->attempts++;
	kn_timer_set(kn_of(peer), &peer->redial,
		     g_rand_int_range(peer->task->rand, 0,
				      (gint32)(limit_ms * USEC_PER_MSEC)),
		     dial);
}

static void dial(struct kn_timer *timer)
{
	struct pr_peer *peer = container_of(timer, struct pr_peer, redial);

	peer->link = pr_link_connect(peer);
	if (!peer->link)
		dial_later(peer);
}

/* Heartbeats. */

static int64_t beat_us(const struct pr_peer *peer)
{
	return (peer->remote ? PEER_HEARTBEAT_REMOTE_MS : PEER_HEARTBEAT_MS) *
	       USEC_PER_MSEC;
}

static int64_t silent_us(const struct pr_peer *peer)
{
	return (peer->remote ? PEER_SILENT_REMOTE_MS : PEER_SILENT_MS) *
	       USEC_PER_MSEC;
}

static void send_beat(struct pr_peer *peer, int64_t now_us)
{
	struct pr_task *pr = peer->task;
	struct pr_heartbeat beat = {
		.incarnation = pr->incarnation,
		.wall_us = kn_wall_us(),
		.doc_revision = pr->doc_revision,
		.epoch = pr->epoch,
		.flags = pr->draining ? PR_FLAG_DRAINING : 0,
		.mono_us = now_us,
	};
	msgpack_sbuffer body;

	if (peer->their_mono_us) {
		beat.echo_us = peer->their_mono_us;
		beat.held_us = now_us - peer->their_heard_us;
	}
	msgpack_sbuffer_init(&body);
	pr_heartbeat_pack(&body, &beat);
	pr_link_send(peer->link, PR_HEARTBEAT, &body);
	msgpack_sbuffer_destroy(&body);
}

static void beat_due(struct kn_timer *timer)
{
	struct pr_peer *peer = container_of(timer, struct pr_peer, beat);
	int64_t now_us = kn_now_us();

	if (now_us - peer->heard_us >= silent_us(peer)) {
		ctr_add(&peer->task->silent, 1);
		pr_link_close(peer->link, "silent");
		return;
	}
	/* Armed first: sending may close the link and cancel the timer. */
	kn_timer_set(
		kn_of(peer), &peer->beat,
		MIN(beat_us(peer), peer->heard_us + silent_us(peer) - now_us),
		beat_due);
	send_beat(peer, now_us);
}

/* Sends a heartbeat now instead of at the next interval. */
void pr_peer_beat_now(struct pr_peer *peer)
{
	if (peer->up)
		kn_timer_set(kn_of(peer), &peer->beat, 0, beat_due);
}

static void emit_clock(struct pr_peer *peer, int64_t now_us)
{
	if (peer->clock_event_us &&
	    now_us - peer->clock_event_us < PEER_CLOCK_EVENT_MS * USEC_PER_MSEC)
		return;
	peer->clock_event_us = now_us;
	ev_emit("peer.clock", "peer=%s offset_us=%" PRId64 " rtt_us=%" PRId64,
		peer->set->host, peer->offset_us, peer->rtt_us);
}

/* The offset is how far the peer's wall clock is ahead of this host's. */
static void measure(struct pr_peer *peer, const struct pr_heartbeat *beat)
{
	int64_t now_us = kn_now_us();
	int64_t rtt_us;

	peer->their_mono_us = beat->mono_us;
	peer->their_heard_us = now_us;
	if (beat->echo_us <= 0 || beat->echo_us > now_us || beat->held_us < 0 ||
	    beat->held_us > now_us - beat->echo_us)
		return;
	rtt_us = now_us - beat->echo_us - beat->held_us;
	peer->rtt_us =
		peer->rtt_us < 0 ? rtt_us : (peer->rtt_us * 7 + rtt_us) / 8;
	peer->offset_us =
		(int64_t)((uint64_t)beat->wall_us + (uint64_t)(rtt_us / 2) -
			  (uint64_t)kn_wall_us());
	emit_clock(peer, now_us);
}

static bool take_beat(struct pr_peer *peer, const struct fr_msg *msg)
{
	struct pr_heartbeat beat;
	msgpack_unpacked body;
	bool ok;

	ok = fr_unpack(&body, msg->body, msg->len, NULL) &&
	     pr_heartbeat_unpack(&body.data, &beat) &&
	     beat.incarnation == peer->incarnation;
	msgpack_unpacked_destroy(&body);
	if (!ok)
		return false;
	peer->doc_revision = beat.doc_revision;
	peer->draining = beat.flags & PR_FLAG_DRAINING;
	measure(peer, &beat);
	return true;
}

/* Up and down. */

static void go_down(struct pr_peer *peer)
{
	if (!peer->up)
		return;
	peer->up = false;
	kn_timer_cancel(&peer->beat);
	peer->task->connected.value--;
	ev_emit("peer.down", "peer=%s peer_inc=%" PRIu64, peer->set->host,
		peer->incarnation);
	pr_publish(peer, PR_MSG_DOWN);
}

/* The peer's link is gone; the smaller name connects again. */
void pr_peer_link_closed(struct pr_peer *peer)
{
	go_down(peer);
	if (peer->dialer)
		dial_later(peer);
}

/*
 * The newest link of a host replaces an older one, which may be dead without
 * this host having noticed. Messages on the old one may be lost, so it is
 * reported as down also when the incarnation is the same.
 */
static void go_up(struct pr_peer *peer, struct pr_link *link,
		  const struct pr_hello *hello)
{
	struct pr_link *old = peer->link;

	if (old && old != link) {
		peer->link = NULL;
		pr_link_close(old, "replaced");
		go_down(peer);
	}
	if (!list_empty(&link->node)) {
		list_del(&link->node);
		link->task->pending_count--;
	}
	kn_timer_cancel(&link->timer);
	link->state = PR_OPEN;
	link->peer = peer;
	peer->link = link;
	peer->up = true;
	peer->attempts = 0;
	peer->incarnation = hello->incarnation;
	peer->doc_revision = hello->doc_revision;
	peer->draining = false;
	peer->heard_us = kn_now_us();
	peer->rtt_us = -1;
	peer->their_mono_us = 0;
	peer->clock_event_us = 0;
	peer->task->connected.value++;
	ev_emit("peer.up", "peer=%s peer_inc=%" PRIu64, peer->set->host,
		peer->incarnation);
	pr_publish(peer, PR_MSG_UP);
	kn_timer_set(kn_of(peer), &peer->beat, 0, beat_due);
}

/* Hello. */

/* Sends this host's hello on a link. */
void pr_peer_greet(struct pr_link *link)
{
	struct pr_task *pr = link->task;
	struct pr_hello hello = {
		.version = PR_VERSION,
		.incarnation = pr->incarnation,
		.wall_us = kn_wall_us(),
		.doc_revision = pr->doc_revision,
	};
	msgpack_sbuffer body;

	g_strlcpy(hello.host, pr->set->host, sizeof(hello.host));
	g_strlcpy(hello.dc, pr->set->dc, sizeof(hello.dc));
	msgpack_sbuffer_init(&body);
	pr_hello_pack(&body, &hello);
	pr_link_send(link, PR_HELLO, &body);
	msgpack_sbuffer_destroy(&body);
}

static struct pr_peer *admit(struct pr_link *link, const struct pr_hello *hello)
{
	struct pr_peer *peer = pr_peer_find(link->task, hello->host);

	if (hello->version != PR_VERSION || !peer ||
	    strcmp(peer->set->dc, hello->dc) != 0)
		return NULL;
	/* A dialed link has its peer; an accepted one comes from a dialer. */
	if (link->peer ? link->peer != peer : peer->dialer)
		return NULL;
	/* Incarnations grow: an older process that was frozen, say. */
	if (peer->up && hello->incarnation < peer->incarnation)
		return NULL;
	return peer;
}

static bool take_hello(struct pr_link *link, const struct fr_msg *msg)
{
	bool accepted = !link->peer;
	struct pr_hello hello;
	struct pr_peer *peer;
	msgpack_unpacked body;
	bool ok;

	ok = msg->type == PR_HELLO &&
	     fr_unpack(&body, msg->body, msg->len, NULL) &&
	     pr_hello_unpack(&body.data, &hello);
	if (msg->type == PR_HELLO)
		msgpack_unpacked_destroy(&body);
	if (!ok) {
		ctr_add(&link->task->malformed, 1);
		return false;
	}
	peer = admit(link, &hello);
	if (!peer) {
		log_warn("peer.refused", "host=%s dc=%s version=%" PRId64,
			 hello.host, hello.dc, hello.version);
		ctr_add(&link->task->refused, 1);
		return false;
	}
	if (accepted)
		pr_peer_greet(link);
	if (!link->closed)
		go_up(peer, link, &hello);
	return true;
}

bool pr_peer_receive(struct pr_link *link, const struct fr_msg *msg)
{
	if (link->state != PR_OPEN)
		return take_hello(link, msg);
	if (msg->type == PR_HELLO ||
	    (msg->type == PR_HEARTBEAT && !take_beat(link->peer, msg))) {
		ctr_add(&link->task->malformed, 1);
		return false;
	}
	pr_deliver(link->peer, msg);
	return true;
}

/* Life. */

/* Prepares the state of a configured host; nothing is connected yet. */
void pr_peer_init(struct pr_task *pr, struct pr_peer *peer,
		  const struct set_peer *set)
{
	memset(peer, 0, sizeof(*peer));
	peer->task = pr;
	peer->set = set;
	peer->remote = strcmp(set->region, pr->set->region) != 0;
	peer->dialer = strcmp(pr->set->host, set->host) < 0;
	peer->rtt_us = -1;
}

/* The host with the smaller name connects, the other one accepts. */
void pr_peer_start(struct pr_peer *peer)
{
	if (peer->dialer)
		kn_timer_set(kn_of(peer), &peer->redial, 0, dial);
}

/* Stops timers and closes the link without reporting it. */
void pr_peer_finish(struct pr_peer *peer)
{
	struct pr_link *link = peer->link;

	kn_timer_cancel(&peer->redial);
	kn_timer_cancel(&peer->beat);
	peer->link = NULL;
	peer->up = false;
	if (link)
		pr_link_close(link, "stopped");
}
