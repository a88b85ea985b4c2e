#ifndef WIRE_PR_INT_H
#define WIRE_PR_INT_H

#include "wire/fr.h"
#include "wire/pr.h"

/* Private to wire/pr.c and wire/pr_*.c. */

#define PR_VERSION 1
#define PR_FLAG_DRAINING 1

struct pr_peer;

enum pr_link_state { PR_CONNECTING, PR_HELLO_WAIT, PR_OPEN };

/* One TCP connection. */
struct pr_link {
	struct list_head node; /* in the task's list of pending links */
	struct pr_task *task;
	struct pr_peer *peer; /* NULL until an accepted link said hello */
	struct lws *wsi;
	enum pr_link_state state;
	struct fr_reader reader;
	GByteArray *out;
	size_t out_sent;
	struct kn_timer timer; /* limits connecting and hello */
	bool closed; /* freed when the outermost callback returns */
	int depth; /* callbacks in progress */
};

/* A configured host. */
struct pr_peer {
	struct pr_task *task;
	const struct set_peer *set;
	bool remote; /* in another region */
	bool dialer; /* this host connects */
	struct pr_link *link; /* open, connecting or waiting for hello */
	unsigned int attempts;
	struct kn_timer redial;
	struct kn_timer beat;
	/* Of the open link. */
	bool up;
	uint64_t incarnation;
	int64_t doc_revision;
	bool draining;
	int64_t heard_us;
	int64_t rtt_us;
	int64_t offset_us;
	int64_t their_mono_us; /* clock of the last heartbeat, 0 for none */
	int64_t their_heard_us; /* when that heartbeat arrived */
	int64_t clock_event_us;
};

/* Bytes to and from the peers of one data centre. */
struct pr_dc {
	const char *name;
	char *labels;
	struct ctr sent;
	struct ctr received;
};

struct pr_sub {
	struct kn_task *to;
	int type;
};

struct pr_task {
	struct kn_task task;
	const struct set *set;
	uint64_t incarnation;
	GRand *rand;
	struct lws_vhost *vhost;
	struct lws *listener;
	struct pr_peer *peers; /* set->peer_count of them */
	struct list_head pending;
	unsigned int pending_count;
	GArray *subs; /* struct pr_sub */
	int64_t doc_revision;
	uint64_t epoch;
	bool draining;
	struct ctr region_bytes;
	struct ctr malformed;
	struct ctr refused;
	struct ctr cut_off;
	struct ctr silent;
	struct ctr connected;
	struct pr_dc *dcs;
	size_t dc_count;
	struct ctr frames_sent[PR_TYPES];
	struct ctr frames_received[PR_TYPES];
};

/* What a hello says. */
struct pr_hello {
	int64_t version;
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	uint64_t incarnation;
	int64_t wall_us;
	int64_t doc_revision;
};

/*
 * What a heartbeat says. mono_us is the sender's monotonic clock; echo_us is
 * the receiver's mono_us last heard by the sender, and held_us the time
 * since then, which gives the receiver the round-trip time.
 */
struct pr_heartbeat {
	uint64_t incarnation;
	int64_t wall_us;
	int64_t doc_revision;
	uint64_t epoch;
	uint64_t flags;
	int64_t mono_us;
	int64_t echo_us;
	int64_t held_us;
};

/* Pr_msg.c. */

void pr_hello_pack(msgpack_sbuffer *out, const struct pr_hello *hello);
bool pr_hello_unpack(const msgpack_object *body, struct pr_hello *hello);
void pr_heartbeat_pack(msgpack_sbuffer *out, const struct pr_heartbeat *beat);
bool pr_heartbeat_unpack(const msgpack_object *body, struct pr_heartbeat *beat);

/* Pr_sock.c. */

bool pr_sock_listen(const struct set_addr *at, int *fd, GError **err);
int pr_sock_connect(const struct set_addr *at);

/* Pr_link.c. */

bool pr_link_vhost(struct pr_task *pr, GError **err);
struct pr_link *pr_link_connect(struct pr_peer *peer);
void pr_link_close(struct pr_link *link, const char *reason);
void pr_link_send(struct pr_link *link, int type, const msgpack_sbuffer *body);
void pr_link_flush(struct pr_link *link, int64_t until_us);

/* Pr_peer.c. */

struct pr_peer *pr_peer_find(struct pr_task *pr, const char *host);
void pr_peer_init(struct pr_task *pr, struct pr_peer *peer,
		  const struct set_peer *set);
void pr_peer_start(struct pr_peer *peer);
void pr_peer_finish(struct pr_peer *peer);
/* A link was made or has accepted a connection: say hello. */
void pr_peer_greet(struct pr_link *link);
/* Returns false if the message is malformed or the host is refused. */
bool pr_peer_receive(struct pr_link *link, const struct fr_msg *msg);
void pr_peer_link_closed(struct pr_peer *peer);
void pr_peer_beat_now(struct pr_peer *peer);

/* Pr_ctr.c. */

void pr_ctr_init(struct pr_task *pr);
void pr_ctr_finish(struct pr_task *pr);
void pr_ctr_sent(struct pr_link *link, size_t bytes);
void pr_ctr_received(struct pr_link *link, size_t bytes);
void pr_ctr_frame(struct ctr counters[PR_TYPES], int type);

/* Pr.c. */

void pr_publish(struct pr_peer *peer, int kind);
void pr_deliver(struct pr_peer *peer, const struct fr_msg *msg);

#endif
