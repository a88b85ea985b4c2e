#ifndef CONTROL_LEADER_H
#define CONTROL_LEADER_H

#include "control/mirror.h"
#include "control/site.h"

/*
 * Election of the one leader of a deployment, by a key under a lease of the
 * store. The revision at which the key was created is the leader's fence. A
 * leader acts while its lease is surely alive by its own clock.
 */

struct leader;

/* Renewals under way at a time: a slow store answers after the next is due. */
#define LEADER_RENEWALS 4

/* A process that leads or led. */
struct leader_identity {
	char host[NAME_MAX_BYTES]; /* "": none */
	uint64_t incarnation;
	struct set_addr peers;
};

struct leader_renewal {
	struct leader *leader;
	struct kv_call call;
	bool busy;
	int64_t sent_us;
};

struct leader_ops {
	void (*elected)(struct leader *leader);
	/* No order may be sent after that. */
	void (*deposed)(struct leader *leader);
};

struct leader {
	const struct leader_ops *ops;
	struct kv *kv;
	const struct site *site;
	uint64_t incarnation;
	bool leading;
	/* Deposed for want of a renewal only: perhaps nobody else leads. */
	bool lapsed;
	int64_t fence;
	char current[NAME_MAX_BYTES]; /* who leads, "" when unknown */
	struct leader_identity last; /* who led last, perhaps this process */
	struct leader_identity previous; /* who led before this process did */
	/* private */
	struct mirror key;
	int64_t lease;
	int64_t valid_until_us;
	int64_t key_lease; /* of the key that was seen last */
	int64_t key_created;
	bool key_is_own;
	bool key_exists;
	bool calling; /* grant, create or revoke is under way */
	struct kv_call call;
	struct leader_renewal renewals[LEADER_RENEWALS];
	int64_t sent_us; /* of the grant */
	struct kn_timer timer;
	struct kn_timer campaign_timer;
	int64_t no_campaign_until_us; /* no campaign before that */
	bool stopping;
	struct ctr elections;
};

void leader_init(struct leader *leader, struct kv *kv, const struct site *site,
		 uint64_t incarnation, const struct leader_ops *ops);
void leader_start(struct leader *leader);
/* Gives the leadership up; another host takes over at once. */
void leader_resign(struct leader *leader);
/* Gives the leadership up for a host that is better at it. */
void leader_hand_over(struct leader *leader);
/* Stops leading; this host may be elected again. */
void leader_step_down(struct leader *leader, const char *why);
void leader_finish(struct leader *leader);
bool leader_is_self(const struct leader *leader,
		    const struct leader_identity *mark);
/* Whether orders may be sent now. */
bool leader_valid(const struct leader *leader);

#endif
