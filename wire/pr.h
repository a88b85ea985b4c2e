#ifndef WIRE_PR_H
#define WIRE_PR_H

#include <msgpack.h>

#include "base/kn.h"
#include "base/set.h"

/* Types of the messages between processes; see docs/design.md. */
enum pr_type {
	PR_HELLO = 1,
	PR_HEARTBEAT,
	PR_FORWARD,
	PR_FORWARD_REPLY,
	PR_FORWARD_CANCEL,
	PR_SLOT_REPORT,
	PR_SLOT_GRANT,
	PR_LEAVING,
	PR_PROMISE,
	PR_PROMISE_ASK,
	PR_DOC_PULL,
	PR_DOC_PUSH,
	PR_JOB_NOTICE,
	PR_KEY_ADOPT,
	PR_API_FORWARD,
	PR_API_FORWARD_REPLY,
	PR_MEMBERS,
	PR_TYPES
};

/* Kernel messages that subscribers of the peer service receive. */
enum pr_msg_type {
	PR_MSG_UP = 1000, /* struct pr_status */
	PR_MSG_DOWN, /* struct pr_status */
	PR_MSG_IN, /* struct pr_in */
};

struct pr_status {
	struct kn_msg msg;
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	uint64_t incarnation;
	int64_t doc_revision;
	bool draining;
};

/* A message from a peer; body is the array after the type, unpacked. */
struct pr_in {
	struct kn_msg msg;
	char host[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	uint64_t incarnation;
	int type;
	msgpack_unpacked body;
};

struct pr_task; /* the peer service, "peers" */

struct kn_task *pr_new(struct kn *kn, const struct set *set,
		       uint64_t incarnation);
/*
 * The task receives PR_MSG_IN of that type; type 0: UP and DOWN. Between UP
 * and DOWN no message is lost or reordered; a replaced link is reported as
 * DOWN and UP. Subscribers of PR_HEARTBEAT follow a peer's document revision
 * (body element 2), leader epoch (3) and flags (4; bit 0: draining).
 */
void pr_subscribe(struct kn_task *peers, struct kn_task *to, int type);
/*
 * Sends a message to a host by name. body holds one msgpack array and is
 * copied. Sending to a host that is not connected drops the message.
 */
void pr_send(struct kn_task *peers, const char *host, int type,
	     const msgpack_sbuffer *body);
/* Sends to all connected hosts of a data centre, NULL for all. */
void pr_send_dc(struct kn_task *peers, const char *dc, int type,
		const msgpack_sbuffer *body);
bool pr_connected(struct kn_task *peers, const char *host);
/* What this host says of itself in heartbeats, besides its epoch. */
void pr_set_status(struct kn_task *peers, int64_t doc_revision, bool draining);
/* The epoch that this host leads its data centre with, 0 if it does not. */
void pr_set_epoch(struct kn_task *peers, uint64_t epoch);
/* Round-trip time of a link in microseconds, -1 if not connected. */
int64_t pr_rtt_us(struct kn_task *peers, const char *host);
/* Bytes sent to other regions so far. */
uint64_t pr_region_bytes(struct kn_task *peers);

#endif
