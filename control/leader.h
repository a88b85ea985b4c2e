#ifndef CONTROL_LEADER_H
#define CONTROL_LEADER_H

#include "control/leader_list.h"
#include "control/mirror.h"
#include "control/site.h"

/*
 * Election of the single leader of a deployment through a key that is bound to
 * a lease of the store. The revision at which the key was created is the
 * leader's fencing token. A leader acts only while its lease can't have
 * expired by its own clock.
 */

struct leader;

/* Renewals that may be pending at a time. A slow store may answer one after
 * the next is due. */
#define LEADER_RENEWALS 4

struct leader_renewal {
	struct leader *leader;
	struct kv_call call;
	bool busy;
	int64_t sent_us;
};

struct leader_ops {
	void (*elected)(struct leader *leader);
	/* No order may be sent from here on. */
	void (*deposed)(struct leader *leader);
};

struct leader {
	const struct leader_ops *ops;
	struct kv *kv;
	const struct site *site;
	uint64_t incarnation;
	bool leading;
	/*
	 * The leadership ended because no renewal succeeded in time; there may
	 * be no other leader.
	 */
	bool lapsed;
	int64_t fence; /* fencing token of the latest leadership */
	char current[NAME_MAX_BYTES]; /* host that leads, "": unknown */
	/* Leaders before this one that may still extend leases, other hosts'
	 * only. */
	struct leader_list earlier;
	/* private */
	struct mirror key;
	struct leader_list recorded; /* KEY_LAST_LEADER as last seen */
	int64_t recorded_revision; /* 0: there is none */
	int64_t lease;
	int64_t valid_until_us;
	int64_t key_lease; /* lease of the key as last seen */
	int64_t key_created;
	bool key_is_own;
	bool key_exists;
	bool call_pending; /* a grant, create or revoke call */
	struct kv_call call;
	struct leader_renewal renewals[LEADER_RENEWALS];
	int64_t sent_us; /* when the grant was sent */
	struct kn_timer timer;
	struct kn_timer campaign_timer;
	int64_t no_campaign_until_us; /* after a handover */
	bool stopping;
	struct kv_call forget_call; /* removes earlier from the store */
	bool forget_pending;
	struct kn_timer forget_timer;
	struct ctr elections;
};

void leader_init(struct leader *leader, struct kv *kv, const struct site *site,
		 uint64_t incarnation, const struct leader_ops *ops);
void leader_start(struct leader *leader);
/* Gives the leadership up for good; revokes the lease if this host led. */
void leader_resign(struct leader *leader);
/* Gives the leadership up in favour of a host with more capacity. */
void leader_hand_over(struct leader *leader);
/* Stops leading without revoking the lease; may be elected again. */
void leader_step_down(struct leader *leader, const char *why);
/*
 * No earlier leader extends leases any more: later leaders need not ask them.
 * Stores that while this host leads.
 */
void leader_forget_earlier(struct leader *leader);
/* When the leadership that has lapsed ended by this host's clock. */
int64_t leader_lapsed_us(const struct leader *leader);
void leader_finish(struct leader *leader);
bool leader_is_self(const struct leader *leader,
		    const struct leader_identity *mark);
/* Whether this host leads and its lease has not expired by its clock. */
bool leader_valid(const struct leader *leader);

#endif
