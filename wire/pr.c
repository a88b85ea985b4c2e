#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "wire/hs_stop.h"
#include "wire/pr_int.h"

static struct pr_task *to_pr(struct kn_task *task)
{
	return (struct pr_task *)task;
}

/* Publishing. */

static void free_status(struct kn_msg *msg)
{
	g_free(container_of(msg, struct pr_status, msg));
}

static void send_status(struct pr_peer *peer, struct kn_task *to, int kind)
{
	struct pr_status *status = g_new0(struct pr_status, 1);

	status->msg.type = kind;
	status->msg.release = free_status;
	g_strlcpy(status->host, peer->set->host, sizeof(status->host));
	g_strlcpy(status->dc, peer->set->dc, sizeof(status->dc));
	status->incarnation = peer->incarnation;
	status->doc_revision = peer->doc_revision;
	status->draining = peer->draining;
	kn_send(to, &peer->task->task, &status->msg);
}

/* Tells the subscribers of type 0 that a peer is up or down. */
void pr_publish(struct pr_peer *peer, int kind)
{
	struct pr_task *pr = peer->task;
	struct pr_sub *sub;
	guint i;

	for (i = 0; i < pr->subs->len; i++) {
		sub = &g_array_index(pr->subs, struct pr_sub, i);
		if (sub->type == 0)
			send_status(peer, sub->to, kind);
	}
}

/* A message with the bytes that the unpacked strings point into. */
struct pr_in_box {
	struct pr_in in;
	unsigned char data[];
};

static void free_in(struct kn_msg *msg)
{
	struct pr_in_box *box = container_of(msg, struct pr_in_box, in.msg);

	msgpack_unpacked_destroy(&box->in.body);
	g_free(box);
}

static void send_in(struct pr_peer *peer, struct kn_task *to,
		    const struct fr_msg *msg)
{
	struct pr_in_box *box = g_malloc0(sizeof(*box) + msg->len);
	struct pr_in *in = &box->in;

	in->msg.type = PR_MSG_IN;
	in->msg.release = free_in;
	g_strlcpy(in->host, peer->set->host, sizeof(in->host));
	g_strlcpy(in->dc, peer->set->dc, sizeof(in->dc));
	in->incarnation = peer->incarnation;
	in->type = msg->type;
	memcpy(box->data, msg->body, msg->len);
	if (fr_unpack(&in->body, box->data, msg->len, NULL))
		kn_send(to, &peer->task->task, &in->msg);
	else
		free_in(&in->msg);
}

/* Hands a message to the subscribers of its type; others are dropped. */
void pr_deliver(struct pr_peer *peer, const struct fr_msg *msg)
{
	struct pr_task *pr = peer->task;
	struct pr_sub *sub;
	guint i;

	for (i = 0; i < pr->subs->len; i++) {
		sub = &g_array_index(pr->subs, struct pr_sub, i);
		if (sub->type == msg->type)
			send_in(peer, sub->to, msg);
	}
}

/* Type 0 also reports the peers that are up already. */
void pr_subscribe(struct kn_task *peers, struct kn_task *to, int type)
{
	struct pr_task *pr = to_pr(peers);
	struct pr_sub sub = { to, type };
	size_t i;

	g_array_append_val(pr->subs, sub);
	for (i = 0; type == 0 && i < pr->set->peer_count; i++)
		if (pr->peers[i].up)
			send_status(&pr->peers[i], to, PR_MSG_UP);
}

/* Sending. */

void pr_send(struct kn_task *peers, const char *host, int type,
	     const msgpack_sbuffer *body)
{
	struct pr_peer *peer = pr_peer_find(to_pr(peers), host);

	if (peer && peer->up)
		pr_link_send(peer->link, type, body);
}

void pr_send_dc(struct kn_task *peers, const char *dc, int type,
		const msgpack_sbuffer *body)
{
	struct pr_task *pr = to_pr(peers);
	struct pr_peer *peer;
	size_t i;

	for (i = 0; i < pr->set->peer_count; i++) {
		peer = &pr->peers[i];
		if (peer->up && (!dc || strcmp(peer->set->dc, dc) == 0))
			pr_link_send(peer->link, type, body);
	}
}

bool pr_connected(struct kn_task *peers, const char *host)
{
	struct pr_peer *peer = pr_peer_find(to_pr(peers), host);

	return peer && peer->up;
}

/* A change goes out at once, because peers act on each of the values. */
static void say(struct pr_task *pr, int64_t doc_revision, uint64_t epoch,
		bool draining)
{
	size_t i;

	if (pr->doc_revision == doc_revision && pr->epoch == epoch &&
	    pr->draining == draining)
		return;
	pr->doc_revision = doc_revision;
	pr->epoch = epoch;
	pr->draining = draining;
	for (i = 0; i < pr->set->peer_count; i++)
		pr_peer_beat_now(&pr->peers[i]);
}

void pr_set_status(struct kn_task *peers, int64_t doc_revision, bool draining)
{
	struct pr_task *pr = to_pr(peers);

	say(pr, doc_revision, pr->epoch, draining || pr->task.kn->draining);
}

void pr_set_epoch(struct kn_task *peers, uint64_t epoch)
{
	struct pr_task *pr = to_pr(peers);

	say(pr, pr->doc_revision, epoch, pr->draining);
}

int64_t pr_rtt_us(struct kn_task *peers, const char *host)
{
	struct pr_peer *peer = pr_peer_find(to_pr(peers), host);

	return peer && peer->up ? peer->rtt_us : -1;
}

uint64_t pr_region_bytes(struct kn_task *peers)
{
	return to_pr(peers)->region_bytes.value;
}

/* Life. */

static void init_counters(struct pr_task *pr)
{
	struct ctr_set *set = &pr->task.kn->counters;

	ctr_init(&pr->region_bytes, set, CTR_COUNTER,
		 "chivebank_peer_region_bytes_total", NULL,
		 "Bytes sent to peers in other regions");
	ctr_init(&pr->malformed, set, CTR_COUNTER,
		 "chivebank_peer_malformed_total", NULL,
		 "Malformed messages from peers");
	ctr_init(&pr->refused, set, CTR_COUNTER, "chivebank_peer_refused_total",
		 NULL, "Peer connections refused");
	ctr_init(&pr->cut_off, set, CTR_COUNTER, "chivebank_peer_cut_off_total",
		 NULL, "Links closed because the peer did not read");
	ctr_init(&pr->silent, set, CTR_COUNTER, "chivebank_peer_silent_total",
		 NULL, "Links closed because the peer was silent");
	ctr_init(&pr->connected, set, CTR_GAUGE, "chivebank_peers_connected",
		 NULL, "Peers with an open link");
	pr_ctr_init(pr);
}

static bool pr_start(struct kn_task *task, GError **err)
{
	struct pr_task *pr = to_pr(task);
	size_t i;

	if (pr->set->peer_listen.port == 0)
		return true;
	if (!pr_link_vhost(pr, err))
		return false;
	for (i = 0; i < pr->set->peer_count; i++)
		pr_peer_start(&pr->peers[i]);
	return true;
}

static void pr_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

/* Links stay open while other tasks drain; finish sends what is queued. */
static void pr_drain(struct kn_task *task)
{
	struct pr_task *pr = to_pr(task);

	say(pr, pr->doc_revision, pr->epoch, true);
	kn_drained(task);
}

/* A quarter of what a stop leaves of the grace for the end of the process; the
 * last requests are read before. */
static int64_t flush_ms(const struct pr_task *pr)
{
	int64_t grace_ms = pr->set->grace_ms;
	int64_t end_ms = grace_ms - hs_stop_times(0, grace_ms).limit_ms;

	return MIN(PEER_FLUSH_MS, end_ms / 4);
}

static void flush_all(struct pr_task *pr)
{
	int64_t until_us = kn_now_us() + flush_ms(pr) * USEC_PER_MSEC;
	struct pr_link *link;
	size_t i;

	for (i = 0; i < pr->set->peer_count; i++) {
		link = pr->peers[i].link;
		if (!link || link->state != PR_OPEN)
			continue;
		pr_link_flush(link, until_us);
		if (link->out->len > 0)
			log_warn("peer.unsent", "peer=%s bytes=%u",
				 pr->peers[i].set->host, link->out->len);
	}
}

static void pr_finish(struct kn_task *task)
{
	struct pr_task *pr = to_pr(task);
	struct pr_link *link, *tmp;
	size_t i;

	flush_all(pr);
	for (i = 0; i < pr->set->peer_count; i++)
		pr_peer_finish(&pr->peers[i]);
	list_for_each_entry_safe(link, tmp, &pr->pending, node)
		pr_link_close(link, "stopped");
	if (pr->listener) {
		/* The library closes the socket in a later round. */
		shutdown(lws_get_socket_fd(pr->listener), SHUT_RDWR);
		lws_set_timeout(pr->listener, PENDING_TIMEOUT_USER_OK,
				LWS_TO_KILL_SYNC);
	}
	ctr_finish(&pr->region_bytes);
	ctr_finish(&pr->malformed);
	ctr_finish(&pr->refused);
	ctr_finish(&pr->cut_off);
	ctr_finish(&pr->silent);
	ctr_finish(&pr->connected);
	pr_ctr_finish(pr);
	g_array_unref(pr->subs);
	g_rand_free(pr->rand);
	g_free(pr->peers);
	g_free(pr);
}

static const struct kn_task_ops pr_ops = {
	.start = pr_start,
	.receive = pr_receive,
	.drain = pr_drain,
	.finish = pr_finish,
};

/*
 * Makes the peer service and registers it as "peers". set must outlive it.
 * Without a listening port it runs with no links.
 */
struct kn_task *pr_new(struct kn *kn, const struct set *set,
		       uint64_t incarnation)
{
	struct pr_task *pr = g_new0(struct pr_task, 1);
	size_t i;

	pr->set = set;
	pr->incarnation = incarnation;
	/* The name keeps hosts with equal seeds from reconnecting in step. */
	pr->rand = set->seed ? g_rand_new_with_seed((guint32)set->seed ^
						    g_str_hash(set->host)) :
			       g_rand_new();
	pr->subs = g_array_new(FALSE, FALSE, sizeof(struct pr_sub));
	pr->peers = g_new0(struct pr_peer, set->peer_count);
	list_init(&pr->pending);
	kn_add(kn, &pr->task, "peers", &pr_ops);
	init_counters(pr);
	for (i = 0; i < set->peer_count; i++)
		pr_peer_init(pr, &pr->peers[i], &set->peers[i]);
	return &pr->task;
}
