#include "control/leader.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"

/* The store grants leases in whole seconds. A leader that has failed is
 * replaced only after this time. */
#define LEADER_LEASE_S 2
/* Four renewals fit into a lease, so three of them may be lost. */
#define RENEW_INTERVAL_MS 400
/* The leader regards its lease as expired this much earlier, to allow for the
 * store's clock and the delay of the answer. */
#define LEASE_MARGIN_MS 200
/* A campaign starts from the watch event, so it doesn't depend on this. */
#define KEY_WATCH_TIMEOUT_MS 2000
#define CAMPAIGN_RETRY_MS 150
/* Hosts with less than the full capacity of a leader campaign later, so that
 * stronger hosts win. More than a round trip to the store. */
#define WEAK_HOST_DELAY_MS 60
/* After a handover a host does not campaign until a stronger host has
 * certainly seen the removal of the key. */
#define HAND_OVER_PAUSE_MS 1000
#define FORGET_RETRY_MS 500

static void campaign(struct leader *leader);

/*
 * The store counts a lease from the arrival of the call. Counting from the
 * time when the call was sent never overestimates it.
 */
static int64_t lease_end_us(int64_t sent_us)
{
	return sent_us +
	       (LEADER_LEASE_S * 1000 - LEASE_MARGIN_MS) * USEC_PER_MSEC;
}

bool leader_valid(const struct leader *leader)
{
	return leader->leading && kn_now_us() < leader->valid_until_us;
}

static void on_campaign(struct kn_timer *timer)
{
	campaign(container_of(timer, struct leader, campaign_timer));
}

static void schedule_campaign(struct leader *leader, int64_t delay_ms)
{
	int64_t yield_ms = (leader->no_campaign_until_us - kn_now_us()) / 1000;

	delay_ms = MAX(delay_ms, yield_ms);
	if (!leader->stopping && !kn_timer_pending(&leader->campaign_timer))
		kn_timer_set(leader->kv->kn, &leader->campaign_timer,
			     delay_ms * USEC_PER_MSEC, on_campaign);
}

static void cancel_renewals(struct leader *leader)
{
	int i;

	for (i = 0; i < LEADER_RENEWALS; i++) {
		if (leader->renewals[i].busy)
			leader->kv->ops->cancel(leader->kv,
						&leader->renewals[i].call);
		leader->renewals[i].busy = false;
	}
}

/* The list of earlier leaders. */

static struct leader_identity own_identity(const struct leader *leader)
{
	struct leader_identity self = { .incarnation = leader->incarnation,
					.peers = leader->site->peers };

	g_strlcpy(self.host, leader->site->host, sizeof(self.host));
	return self;
}

static void on_forget_retry(struct kn_timer *timer)
{
	leader_forget_earlier(container_of(timer, struct leader, forget_timer));
}

static void on_forgotten(struct kv_call *call)
{
	struct leader *leader = call->user;

	leader->forget_pending = false;
	/* A failed comparison means that another host leads. */
	if (call->result != CB_OK && leader->leading)
		kn_timer_set(leader->kv->kn, &leader->forget_timer,
			     FORGET_RETRY_MS * USEC_PER_MSEC, on_forget_retry);
}

static void cancel_forget(struct leader *leader)
{
	kn_timer_cancel(&leader->forget_timer);
	if (leader->forget_pending)
		leader->kv->ops->cancel(leader->kv, &leader->forget_call);
	leader->forget_pending = false;
}

void leader_forget_earlier(struct leader *leader)
{
	struct kv_cmp cmp = { .key = KEY_LEADER,
			      .mod_revision = leader->fence };
	struct kv_op op = { .kind = KV_PUT, .key = KEY_LAST_LEADER };
	struct leader_list list = { .at = { own_identity(leader) },
				    .count = 1 };
	char *value;

	if (!leader->leading || leader->forget_pending)
		return;
	value = leader_list_format(&list);
	op.value = value;
	op.len = strlen(value);
	memset(&leader->forget_call, 0, sizeof(leader->forget_call));
	leader->forget_call.done = on_forgotten;
	leader->forget_call.user = leader;
	leader->forget_pending = true;
	leader->kv->ops->txn(leader->kv, &leader->forget_call, &cmp, 1, &op, 1,
			     NULL, 0);
	g_free(value);
}

static void step_down(struct leader *leader, bool lapsed, const char *why)
{
	if (!leader->leading)
		return;
	leader->leading = false;
	leader->lapsed = lapsed;
	cancel_renewals(leader);
	cancel_forget(leader);
	kn_timer_cancel(&leader->timer);
	log_warn("leader.deposed", "fence=%" G_GINT64_FORMAT " reason=\"%s\"",
		 leader->fence, why);
	leader->ops->deposed(leader);
	schedule_campaign(leader, CAMPAIGN_RETRY_MS);
}

/* Renewal. */

static void renew(struct leader *leader);

static void on_tick(struct kn_timer *timer)
{
	struct leader *leader = container_of(timer, struct leader, timer);

	if (!leader->leading)
		return;
	if (!leader_valid(leader)) {
		step_down(leader, true, "the lease was not renewed in time");
		return;
	}
	renew(leader);
}

static void on_renewal(struct kv_call *call)
{
	struct leader_renewal *renewal = call->user;
	struct leader *leader = renewal->leader;

	renewal->busy = false;
	if (!leader->leading)
		return;
	if (call->result != CB_OK) {
		log_info("leader.renewal_lost", "result=%d", call->result);
		return;
	}
	if (!call->succeeded) {
		step_down(leader, false,
			  "the store reports that the lease has expired");
		return;
	}
	leader->valid_until_us =
		MAX(leader->valid_until_us, lease_end_us(renewal->sent_us));
}

static void renew(struct leader *leader)
{
	struct kv *kv = leader->kv;
	int i;

	for (i = 0; i < LEADER_RENEWALS; i++) {
		struct leader_renewal *renewal = &leader->renewals[i];

		if (renewal->busy)
			continue;
		memset(&renewal->call, 0, sizeof(renewal->call));
		renewal->leader = leader;
		renewal->call.done = on_renewal;
		renewal->call.user = renewal;
		renewal->busy = true;
		renewal->sent_us = kn_now_us();
		kv->ops->keepalive(kv, &renewal->call, leader->lease);
		break;
	}
	kn_timer_set(kv->kn, &leader->timer, RENEW_INTERVAL_MS * USEC_PER_MSEC,
		     on_tick);
}

/* Campaign. */

static void start_leading(struct leader *leader, int64_t fence)
{
	leader->leading = true;
	leader->fence = fence;
	leader->valid_until_us = lease_end_us(leader->sent_us);
	ctr_add(&leader->elections, 1);
	log_info("leader.elected",
		 "fence=%" G_GINT64_FORMAT " lease=%" G_GINT64_FORMAT, fence,
		 leader->lease);
	leader->ops->elected(leader);
	renew(leader);
}

static void start_call(struct leader *leader, void (*done)(struct kv_call *))
{
	memset(&leader->call, 0, sizeof(leader->call));
	leader->call.done = done;
	leader->call.user = leader;
	leader->call_pending = true;
}

static void on_revoked(struct kv_call *call)
{
	struct leader *leader = call->user;

	leader->call_pending = false;
	if (call->result != CB_OK)
		log_info("leader.revoke_lost", "result=%d", call->result);
	schedule_campaign(leader, CAMPAIGN_RETRY_MS);
}

static void revoke_lease(struct leader *leader, int64_t lease)
{
	start_call(leader, on_revoked);
	leader->kv->ops->revoke(leader->kv, &leader->call, lease);
}

static void on_campaign_txn(struct kv_call *call)
{
	struct leader *leader = call->user;

	leader->call_pending = false;
	if (leader->stopping) {
		/* The key may have been created, and would block others. */
		if (call->result != CB_OK || call->succeeded)
			revoke_lease(leader, leader->lease);
		return;
	}
	if (call->result == CB_OK && call->succeeded) {
		start_leading(leader, call->revision);
		return;
	}
	/* Another host won, or the answer was lost. The watch on the key shows
	 * which of them. */
	log_info("leader.not_elected", "result=%d", call->result);
	schedule_campaign(leader, CAMPAIGN_RETRY_MS);
}

static void on_granted(struct kv_call *call)
{
	struct leader *leader = call->user;
	/* A leader in between would have changed the list of leaders. */
	struct kv_cmp cmps[2] = {
		{ .key = KEY_LEADER, .mod_revision = 0 },
		{ .key = KEY_LAST_LEADER,
		  .mod_revision = leader->recorded_revision },
	};
	struct kv_op ops[2] = {
		{ .kind = KV_PUT, .key = KEY_LEADER },
		{ .kind = KV_PUT, .key = KEY_LAST_LEADER },
	};
	struct leader_identity self = own_identity(leader);
	struct leader_list list = { .at = { self }, .count = 1 };
	char *values[2];

	leader->call_pending = false;
	if (call->result != CB_OK || !call->succeeded || leader->key_exists ||
	    leader->stopping) {
		schedule_campaign(leader, CAMPAIGN_RETRY_MS);
		return;
	}
	leader->lease = call->lease;
	leader->earlier = leader->recorded;
	leader_list_remove(&leader->earlier, &self);
	values[0] = leader_list_format(&list);
	list = leader->earlier;
	leader_list_prepend(&list, &self);
	values[1] = leader_list_format(&list);
	ops[0].value = values[0];
	ops[0].len = strlen(values[0]);
	ops[0].lease = leader->lease;
	ops[1].value = values[1];
	ops[1].len = strlen(values[1]);
	start_call(leader, on_campaign_txn);
	leader->kv->ops->txn(leader->kv, &leader->call, cmps, 2, ops, 2, NULL,
			     0);
	g_free(values[0]);
	g_free(values[1]);
}

static void campaign(struct leader *leader)
{
	if (leader->leading || leader->call_pending || leader->stopping ||
	    !leader->key.up)
		return;
	if (leader->key_exists) {
		/* This process created the key but does not lead, so it removes
		 * the key and campaigns for a new fence. */
		if (leader->key_is_own)
			revoke_lease(leader, leader->key_lease);
		return;
	}
	start_call(leader, on_granted);
	leader->sent_us = kn_now_us();
	leader->kv->ops->grant(leader->kv, &leader->call, LEADER_LEASE_S);
}

/* Watch on the leader key. */

static void read_list(const struct kv_item *item, struct leader_list *list)
{
	if (!leader_list_parse(list, item->value))
		log_err("leader.unreadable", "key=%s bytes=%zu result=%d",
			item->key, item->len, CB_E_INTERNAL);
}

bool leader_is_self(const struct leader *leader,
		    const struct leader_identity *mark)
{
	return strcmp(mark->host, leader->site->host) == 0 &&
	       mark->incarnation == leader->incarnation;
}

static void on_set(struct mirror *mirror, const struct kv_item *item)
{
	struct leader *leader = container_of(mirror, struct leader, key);
	struct leader_list list;

	if (strcmp(item->key, KEY_LAST_LEADER) == 0) {
		read_list(item, &leader->recorded);
		leader->recorded_revision = item->mod_revision;
		return;
	}
	if (strcmp(item->key, KEY_LEADER) != 0) {
		log_info("leader.key_ignored", "key=%s revision=%lld",
			 item->key, (long long)item->mod_revision);
		return;
	}
	read_list(item, &list);
	leader->key_exists = true;
	leader->key_created = item->mod_revision;
	leader->key_lease = item->lease;
	leader->key_is_own = leader_is_self(leader, &list.at[0]);
	g_strlcpy(leader->current, list.at[0].host, sizeof(leader->current));
	log_info("leader.seen", "leader=%s fence=%" G_GINT64_FORMAT,
		 leader->current, item->mod_revision);
	if (leader->leading && item->mod_revision > leader->fence)
		step_down(leader, false, "another host was elected");
	else if (leader->key_is_own && !leader->leading &&
		 !leader->call_pending)
		schedule_campaign(leader, CAMPAIGN_RETRY_MS);
}

static int64_t campaign_delay_ms(const struct leader *leader)
{
	return site_strength(leader->site) < 100 ? WEAK_HOST_DELAY_MS : 0;
}

static void on_removed(struct mirror *mirror, const char *key)
{
	struct leader *leader = container_of(mirror, struct leader, key);

	if (strcmp(key, KEY_LAST_LEADER) == 0) {
		leader_list_set_unknown(&leader->recorded);
		leader->recorded_revision = 0;
	}
	if (strcmp(key, KEY_LEADER) != 0)
		return;
	leader->key_exists = false;
	leader->key_is_own = false;
	leader->current[0] = '\0';
	if (leader->leading)
		step_down(leader, false,
			  "the leader key was removed from the store");
	schedule_campaign(leader, campaign_delay_ms(leader));
}

static void on_synced(struct mirror *mirror)
{
	struct leader *leader = container_of(mirror, struct leader, key);

	/* A key of this process that remains from an ended leadership is
	 * removed at once. */
	if (!leader->key_exists || (leader->key_is_own && !leader->leading))
		schedule_campaign(leader, campaign_delay_ms(leader));
}

static const struct mirror_ops key_ops = {
	.set = on_set,
	.removed = on_removed,
	.synced = on_synced,
};

int64_t leader_lapsed_us(const struct leader *leader)
{
	return leader->valid_until_us;
}

void leader_step_down(struct leader *leader, const char *why)
{
	step_down(leader, false, why);
}

void leader_init(struct leader *leader, struct kv *kv, const struct site *site,
		 uint64_t incarnation, const struct leader_ops *ops)
{
	memset(leader, 0, sizeof(*leader));
	leader->ops = ops;
	leader->kv = kv;
	leader->site = site;
	leader->incarnation = incarnation;
	mirror_init(&leader->key, kv, &key_ops, KEY_LEADER,
		    KEY_WATCH_TIMEOUT_MS);
	ctr_init(&leader->elections, &kv->kn->counters, CTR_COUNTER,
		 "chivebank_elections_total", NULL,
		 "Elections that this host has won");
}

void leader_start(struct leader *leader)
{
	mirror_start(&leader->key);
}

void leader_hand_over(struct leader *leader)
{
	if (!leader->leading || leader->call_pending)
		return;
	leader->no_campaign_until_us =
		kn_now_us() + HAND_OVER_PAUSE_MS * USEC_PER_MSEC;
	step_down(leader, false, "a host with more capacity is available");
	revoke_lease(leader, leader->lease);
}

static void on_resigned(struct kv_call *call)
{
	struct leader *leader = call->user;

	leader->call_pending = false;
}

void leader_resign(struct leader *leader)
{
	bool led = leader->leading;

	leader->stopping = true;
	kn_timer_cancel(&leader->campaign_timer);
	kn_timer_cancel(&leader->timer);
	cancel_renewals(leader);
	step_down(leader, false, "the host is stopping");
	if (!led || leader->call_pending)
		return;
	start_call(leader, on_resigned);
	leader->kv->ops->revoke(leader->kv, &leader->call, leader->lease);
}

void leader_finish(struct leader *leader)
{
	mirror_finish(&leader->key);
	if (leader->call_pending)
		leader->kv->ops->cancel(leader->kv, &leader->call);
	cancel_renewals(leader);
	cancel_forget(leader);
	kn_timer_cancel(&leader->timer);
	kn_timer_cancel(&leader->campaign_timer);
	ctr_finish(&leader->elections);
}
