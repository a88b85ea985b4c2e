#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/list.h"
#include "policy/leadership.h"
#include "tests/unit/run.h"

/*
 * A simulated data centre: hosts with clocks of different rates, a store with
 * leases, and messages that are lost, late and out of order.
 */

#define MAX_HOSTS 5
#define STEP_US 10000
#define SEC USEC_PER_SEC
#define RUNS 300

enum sim_kind { AT_STORE, AT_CALLER, ASK, PROMISE };

/* Something that happens at a time. */
struct sim_event {
	struct list_head node;
	enum sim_kind kind;
	int64_t at_us;
	int to;
	int from;
	uint64_t life; /* of the host concerned */
	struct leadership_call call;
	struct leadership_reply reply;
	uint64_t epoch;
	int64_t sent_us; /* the asker's clock */
	int64_t term_us;
};

struct sim_host {
	struct leadership ld;
	bool alive;
	int64_t frozen_until_us;
	uint64_t life;
	double rate;
	int64_t clock_offset_us;
	int64_t next_ask_us;
	bool acted;
	bool cut; /* from all other hosts */
};

/* How often faults come: out of 10,000 in each step, or in percent. */
struct profile {
	int dies;
	int restarts;
	int freezes;
	int store_flips;
	int cuts;
	int late_percent;
	int late_max_ms;
	int ask_lost_percent;
};

/* Promises matter most while the store flaps and all hosts are up. */
static const struct profile profiles[] = {
	{ 6, 20, 12, 6, 12, 5, 8000, 10 }, /* everything */
	{ 0, 0, 0, 30, 0, 30, 3000, 0 }, /* slow store that flaps */
	{ 0, 40, 0, 30, 0, 5, 1000, 0 }, /* restarts in outages */
	{ 0, 0, 20, 30, 10, 20, 2500, 20 }, /* freezes in outages */
};

struct sim {
	GRand *rand;
	int n;
	int64_t now_us;
	bool faults;
	const struct profile *profile;
	bool store_down;
	struct sim_host hosts[MAX_HOSTS];
	struct list_head events;
	/* Store. */
	int64_t next_lease;
	int64_t lease_ends_us[4096];
	int64_t leader_lease; /* 0: no key */
	int leader_host;
	uint64_t leader_life;
	uint64_t leader_attempt;
	uint64_t epoch;
	int64_t epoch_mod;
	/* Seen. */
	uint64_t max_acting_epoch;
	int acting;
};

static int64_t clock_of(const struct sim *sim, int i)
{
	const struct sim_host *host = &sim->hosts[i];

	return host->clock_offset_us +
	       (int64_t)((double)sim->now_us * host->rate);
}

static bool chance(struct sim *sim, int percent)
{
	return g_rand_int_range(sim->rand, 0, 100) < percent;
}

static int64_t delay(struct sim *sim)
{
	if (sim->faults && chance(sim, sim->profile->late_percent))
		return g_rand_int_range(sim->rand, 0,
					sim->profile->late_max_ms * 1000);
	return g_rand_int_range(sim->rand, 200, 30000);
}

static struct sim_event *post(struct sim *sim, enum sim_kind kind, int to,
			      int from)
{
	struct sim_event *ev = g_new0(struct sim_event, 1);

	ev->kind = kind;
	ev->at_us = sim->now_us + delay(sim);
	ev->to = to;
	ev->from = from;
	list_add_tail(&ev->node, &sim->events);
	return ev;
}

/* Index of host `other` in host i's list of peers. */
static size_t peer_index(int i, int other)
{
	return (size_t)(other < i ? other : other - 1);
}

static void start_host(struct sim *sim, int i)
{
	struct sim_host *host = &sim->hosts[i];

	host->alive = true;
	host->life++;
	host->frozen_until_us = 0;
	host->next_ask_us = 0;
	leadership_init(&host->ld, (size_t)sim->n - 1, sim->rand,
			clock_of(sim, i));
}

/* Store. */

static void expire_leader(struct sim *sim)
{
	if (sim->leader_lease &&
	    sim->lease_ends_us[sim->leader_lease] <= sim->now_us)
		sim->leader_lease = 0;
}

static void fill_read(struct sim *sim, const struct sim_event *ev,
		      struct leadership_reply *reply)
{
	reply->key_exists = sim->leader_lease != 0;
	reply->key_is_own =
		sim->leader_host == ev->from && sim->leader_life == ev->life;
	reply->attempt = reply->key_is_own ? sim->leader_attempt : 0;
	reply->epoch = sim->epoch;
	reply->epoch_mod = sim->epoch_mod;
}

static void take(struct sim *sim, const struct sim_event *ev,
		 struct leadership_reply *reply)
{
	if (sim->lease_ends_us[ev->call.lease] <= sim->now_us) {
		reply->outcome = LEADERSHIP_NO_EFFECT;
		return;
	}
	if (sim->leader_lease || ev->call.epoch_mod != sim->epoch_mod)
		return;
	ck_assert_uint_gt(ev->call.epoch, sim->epoch);
	sim->leader_lease = ev->call.lease;
	sim->leader_host = ev->from;
	sim->leader_life = ev->life;
	sim->leader_attempt = ev->call.attempt;
	sim->epoch = ev->call.epoch;
	sim->epoch_mod++;
	reply->succeeded = true;
}

static void at_store(struct sim *sim, const struct sim_event *ev,
		     struct leadership_reply *reply)
{
	int64_t *ends_us = &sim->lease_ends_us[ev->call.lease];

	expire_leader(sim);
	switch (ev->call.kind) {
	case LEADERSHIP_CALL_READ:
		fill_read(sim, ev, reply);
		break;
	case LEADERSHIP_CALL_GRANT:
		reply->lease = ++sim->next_lease;
		ck_assert_int_lt(reply->lease, 4096);
		sim->lease_ends_us[reply->lease] =
			sim->now_us + LEADER_LEASE_MS * USEC_PER_MSEC;
		reply->ttl_us = LEADER_LEASE_MS * USEC_PER_MSEC;
		break;
	case LEADERSHIP_CALL_ACQUIRE:
		take(sim, ev, reply);
		break;
	case LEADERSHIP_CALL_RENEW:
		if (*ends_us > sim->now_us) {
			*ends_us =
				sim->now_us + LEADER_LEASE_MS * USEC_PER_MSEC;
			reply->ttl_us = LEADER_LEASE_MS * USEC_PER_MSEC;
		}
		break;
	case LEADERSHIP_CALL_REVOKE:
		*ends_us = 0;
		expire_leader(sim);
		break;
	case LEADERSHIP_CALL_NONE:
		break;
	}
}

/* A call that times out may still take effect after its caller was told. */
static void run_at_store(struct sim *sim, struct sim_event *ev)
{
	struct leadership_reply reply = { 0 };
	bool timed_out = ev->reply.outcome == LEADERSHIP_UNKNOWN;
	struct sim_event *back;

	if (sim->store_down && chance(sim, 90)) {
		if (timed_out)
			return;
		reply.outcome = chance(sim, 50) ? LEADERSHIP_UNKNOWN :
						  LEADERSHIP_NO_EFFECT;
	} else {
		at_store(sim, ev, &reply);
		if (timed_out)
			return;
		if (sim->faults && chance(sim, 5))
			reply.outcome = LEADERSHIP_UNKNOWN;
	}
	back = post(sim, AT_CALLER, ev->from, ev->from);
	back->life = ev->life;
	back->reply = reply;
}

static void call_store(struct sim *sim, int i)
{
	struct sim_host *host = &sim->hosts[i];
	struct sim_event *ev, *lost;
	struct leadership_call call;

	leadership_next_call(&host->ld, clock_of(sim, i), &call);
	if (call.kind == LEADERSHIP_CALL_NONE)
		return;
	ev = post(sim, AT_STORE, -1, i);
	ev->life = host->life;
	ev->call = call;
	if (ev->at_us - sim->now_us > SEC) {
		/* The caller gives up before the store gets the call. */
		ev->reply.outcome = LEADERSHIP_UNKNOWN;
		lost = post(sim, AT_CALLER, i, i);
		lost->at_us = sim->now_us + SEC;
		lost->life = host->life;
		lost->reply.outcome = LEADERSHIP_UNKNOWN;
	}
}

/* Hosts. */

static void ask_all(struct sim *sim, int i)
{
	struct sim_host *host = &sim->hosts[i];
	struct sim_event *ev;
	int j;

	if (!host->ld.leading || clock_of(sim, i) < host->next_ask_us)
		return;
	host->next_ask_us = clock_of(sim, i) + LEADER_ASK_MS * USEC_PER_MSEC;
	for (j = 0; j < sim->n; j++) {
		if (j == i || host->cut ||
		    (sim->faults &&
		     chance(sim, sim->profile->ask_lost_percent)))
			continue;
		ev = post(sim, ASK, j, i);
		ev->life = host->life;
		ev->epoch = host->ld.epoch;
		ev->sent_us = clock_of(sim, i);
		ev->term_us = LEADER_PROMISE_MS * USEC_PER_MSEC;
	}
}

static void handle(struct sim *sim, struct sim_event *ev)
{
	struct sim_host *host = &sim->hosts[ev->to];
	int64_t now_us = clock_of(sim, ev->to);
	struct sim_event *back;

	leadership_tick(&host->ld, now_us);
	if (ev->kind == AT_CALLER) {
		if (ev->life == host->life)
			leadership_handle_reply(&host->ld, now_us, &ev->reply);
	} else if (host->cut || sim->hosts[ev->from].cut) {
		return;
	} else if (ev->kind == ASK) {
		if (!leadership_promise_requested(&host->ld, now_us,
						  peer_index(ev->to, ev->from),
						  ev->epoch, ev->term_us))
			return;
		back = post(sim, PROMISE, ev->from, ev->to);
		back->life = ev->life;
		back->sent_us = ev->sent_us;
		back->term_us = ev->term_us;
	} else if (ev->life == host->life) {
		leadership_promise_received(&host->ld, now_us,
					    peer_index(ev->to, ev->from),
					    ev->sent_us, ev->term_us);
	}
}

static bool running(const struct sim *sim, int i)
{
	return sim->hosts[i].alive &&
	       sim->hosts[i].frozen_until_us <= sim->now_us;
}

static void run_events(struct sim *sim)
{
	struct sim_event *ev, *tmp;

	list_for_each_entry_safe(ev, tmp, &sim->events, node) {
		if (ev->at_us > sim->now_us)
			continue;
		/* A frozen host finds its messages when it goes on. */
		if (ev->kind != AT_STORE && sim->hosts[ev->to].alive &&
		    !running(sim, ev->to))
			continue;
		list_del(&ev->node);
		if (ev->kind == AT_STORE)
			run_at_store(sim, ev);
		else if (sim->hosts[ev->to].alive)
			handle(sim, ev);
		g_free(ev);
	}
}

/* At most one host may act, frozen ones included; epochs only grow. */
static void check_acting(struct sim *sim)
{
	int i, acting = -1;

	for (i = 0; i < sim->n; i++) {
		struct sim_host *host = &sim->hosts[i];

		if (!host->alive ||
		    !leadership_may_act(&host->ld, clock_of(sim, i)))
			continue;
		ck_assert_msg(acting < 0, "hosts %d and %d act at %lld us",
			      acting, i, (long long)sim->now_us);
		acting = i;
		ck_assert_uint_ge(host->ld.epoch, sim->max_acting_epoch);
		sim->max_acting_epoch = host->ld.epoch;
	}
	sim->acting = acting;
}

static bool strikes(struct sim *sim, int per_10000)
{
	return g_rand_int_range(sim->rand, 0, 10000) < per_10000;
}

static void inject(struct sim *sim)
{
	const struct profile *profile = sim->profile;
	int i = g_rand_int_range(sim->rand, 0, sim->n);
	struct sim_host *host = &sim->hosts[i];

	if (strikes(sim, profile->dies))
		host->alive = false;
	if (strikes(sim, profile->freezes))
		host->frozen_until_us =
			sim->now_us + g_rand_int_range(sim->rand, 0, 10 * SEC);
	if (strikes(sim, profile->store_flips))
		sim->store_down = !sim->store_down;
	if (strikes(sim, profile->cuts))
		host->cut = !host->cut;
	/* A host that is replaced at once remembers nothing. */
	if (strikes(sim, profile->restarts))
		start_host(sim, i);
}

static void step(struct sim *sim)
{
	int i;

	sim->now_us += STEP_US;
	if (sim->faults)
		inject(sim);
	run_events(sim);
	for (i = 0; i < sim->n; i++) {
		if (!running(sim, i))
			continue;
		leadership_tick(&sim->hosts[i].ld, clock_of(sim, i));
		call_store(sim, i);
		ask_all(sim, i);
	}
	check_acting(sim);
}

static void run_for(struct sim *sim, int64_t us)
{
	int64_t until_us = sim->now_us + us;

	while (sim->now_us < until_us)
		step(sim);
}

static struct sim *sim_new(uint32_t seed, int n)
{
	struct sim *sim = g_new0(struct sim, 1);
	int i;

	sim->rand = g_rand_new_with_seed(seed);
	sim->n = n;
	sim->now_us = SEC;
	list_init(&sim->events);
	for (i = 0; i < n; i++) {
		/* Half a percent is far more than real clocks differ by. */
		sim->hosts[i].rate =
			g_rand_double_range(sim->rand, 0.995, 1.005);
		sim->hosts[i].clock_offset_us =
			g_rand_int_range(sim->rand, 0, 1000 * SEC);
		start_host(sim, i);
	}
	return sim;
}

static void sim_free(struct sim *sim)
{
	struct sim_event *ev, *tmp;

	list_for_each_entry_safe(ev, tmp, &sim->events, node)
		g_free(ev);
	g_rand_free(sim->rand);
	g_free(sim);
}

/* Tests. */

/* Guards against two leaders at one instant under any mix of faults, and
 * against a data centre that stays without one after the faults end. */
START_TEST(never_two_leaders)
{
	int64_t acted_us = 0, until_us;
	uint32_t seed;
	int i;

	for (seed = 1; seed <= RUNS; seed++) {
		struct sim *sim = sim_new(seed, 1 + (int)(seed % MAX_HOSTS));

		sim->profile = &profiles[seed / MAX_HOSTS % 4];
		sim->faults = true;
		until_us = sim->now_us + 120 * SEC;
		while (sim->now_us < until_us) {
			step(sim);
			acted_us += sim->acting >= 0 ? STEP_US : 0;
		}
		sim->faults = false;
		sim->store_down = false;
		for (i = 0; i < sim->n; i++) {
			sim->hosts[i].cut = false;
			if (!sim->hosts[i].alive)
				start_host(sim, i);
		}
		run_for(sim, 30 * SEC);
		ck_assert_msg(sim->acting >= 0, "seed %u: no leader", seed);
		sim_free(sim);
	}
	/* Without this the first check would hold for hosts that never act. */
	ck_assert_int_gt(acted_us, RUNS * 120 * SEC / 4);
}
END_TEST

/* Guards against a takeover that takes longer than stated. */
START_TEST(takeover_is_in_time)
{
	uint32_t seed;
	int old;

	for (seed = 1; seed <= 100; seed++) {
		struct sim *sim = sim_new(seed, 2 + (int)(seed % 4));
		int64_t died_us;

		run_for(sim, 8 * SEC + seed * STEP_US);
		ck_assert_int_ge(sim->acting, 0);
		old = sim->acting;
		sim->hosts[old].alive = false;
		died_us = sim->now_us;
		do
			step(sim);
		while (sim->acting < 0 && sim->now_us - died_us < 60 * SEC);
		ck_assert_int_le(sim->now_us - died_us,
				 TAKEOVER_BOUND_MS * USEC_PER_MSEC);
		sim_free(sim);
	}
}
END_TEST

/* Guards against a leader that stops in a store outage although all hosts
 * promise, goes on although one is silent, or acts after a freeze. */
START_TEST(outage_with_and_without_promises)
{
	struct sim *sim = sim_new(7, 4);
	int64_t since_us;
	int leader;

	run_for(sim, 8 * SEC);
	leader = sim->acting;
	ck_assert_int_ge(leader, 0);
	sim->store_down = true;
	since_us = sim->now_us;
	while (sim->now_us - since_us < 60 * SEC) {
		step(sim);
		ck_assert_int_eq(sim->acting, leader);
	}
	sim->hosts[(leader + 1) % 4].frozen_until_us = INT64_MAX;
	run_for(sim, 4 * SEC);
	ck_assert_int_eq(sim->acting, -1);
	sim->hosts[(leader + 1) % 4].frozen_until_us = 0;
	run_for(sim, 2 * SEC);
	ck_assert_int_eq(sim->acting, leader);
	sim->hosts[leader].frozen_until_us = sim->now_us + 2 * SEC;
	run_for(sim, 2 * SEC - STEP_US);
	leadership_tick(&sim->hosts[leader].ld,
			clock_of(sim, leader) + STEP_US);
	ck_assert(!leadership_may_act(&sim->hosts[leader].ld,
				      clock_of(sim, leader) + STEP_US));
	sim_free(sim);
}
END_TEST

/* Guards against a drained leader that makes the others wait for its lease,
 * and a single host that waits for promises of nobody. */
START_TEST(drain_and_alone)
{
	struct sim *sim = sim_new(3, 1);
	int64_t now_us;
	int i, leader;

	run_for(sim, SEC);
	ck_assert_int_eq(sim->acting, 0);
	sim_free(sim);
	sim = sim_new(3, 3);
	run_for(sim, 8 * SEC);
	leader = sim->acting;
	now_us = clock_of(sim, leader);
	leadership_drain(&sim->hosts[leader].ld, now_us);
	ck_assert(!leadership_may_act(&sim->hosts[leader].ld, now_us));
	for (i = 0; i < 3; i++)
		if (i != leader)
			leadership_promise_requested(
				&sim->hosts[i].ld, clock_of(sim, i),
				peer_index(i, leader), 1, 0);
	run_for(sim, 3 * SEC);
	ck_assert(leadership_drained(&sim->hosts[leader].ld));
	ck_assert_int_ge(sim->acting, 0);
	ck_assert_int_ne(sim->acting, leader);
	sim_free(sim);
}
END_TEST

/* Steps a host through a take-over up to the call `stop`. */
static void take_over(struct leadership *ld, int64_t now_us,
		      enum leadership_call_kind stop)
{
	struct leadership_reply reply = { .lease = 9, .ttl_us = 6 * SEC };
	struct leadership_call call;

	for (;;) {
		leadership_next_call(ld, now_us, &call);
		ck_assert_int_ne(call.kind, LEADERSHIP_CALL_NONE);
		if (call.kind == stop)
			return;
		reply.succeeded = call.kind == LEADERSHIP_CALL_ACQUIRE;
		leadership_handle_reply(ld, now_us, &reply);
	}
}

/* Guards against a promise that is counted from its arrival, or in full in
 * spite of clocks that differ, and against old promises after a freeze. */
START_TEST(promise_counts_from_the_ask)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct leadership_reply lapsed = { 0 };
	int64_t t = 100 * SEC;
	struct leadership_call call;
	struct leadership ld;

	leadership_init(&ld, 1, rand, t - 3 * SEC);
	leadership_tick(&ld, t - SEC);
	leadership_tick(&ld, t);
	take_over(&ld, t, LEADERSHIP_CALL_ACQUIRE);
	leadership_handle_reply(
		&ld, t, &(struct leadership_reply){ .succeeded = true });
	ck_assert_int_gt(leadership_valid_until(&ld, t), t + 5 * SEC);
	ck_assert_int_lt(leadership_valid_until(&ld, t), t + 6 * SEC);
	t += 2 * SEC;
	leadership_next_call(&ld, t, &call);
	ck_assert_int_eq(call.kind, LEADERSHIP_CALL_RENEW);
	leadership_handle_reply(&ld, t, &lapsed);
	ck_assert(!leadership_may_act(&ld, t));
	leadership_promise_received(&ld, t, 0, t - 900000, 3 * SEC);
	ck_assert_int_gt(leadership_valid_until(&ld, t), t + 2000000);
	ck_assert_int_lt(leadership_valid_until(&ld, t), t + 2100000);
	leadership_tick(&ld, t + 2 * SEC);
	ck_assert(!leadership_may_act(&ld, t + 2 * SEC));
	leadership_promise_received(&ld, t + 2 * SEC, 0, t, 3 * SEC);
	ck_assert(!leadership_may_act(&ld, t + 2 * SEC));
	g_rand_free(rand);
}
END_TEST

/* Guards against a host that acts, or takes the key, while it has promised
 * not to: a late success of the store must wait for the promise to end. */
START_TEST(promise_given_is_kept)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct leadership_reply lost = { .outcome = LEADERSHIP_UNKNOWN };
	struct leadership_reply own = { .key_exists = true,
					.key_is_own = true,
					.attempt = 1 };
	int64_t t = 100 * SEC;
	struct leadership_call call;
	struct leadership ld;

	leadership_init(&ld, 2, rand, t - 3 * SEC);
	leadership_tick(&ld, t - SEC);
	leadership_tick(&ld, t);
	take_over(&ld, t, LEADERSHIP_CALL_ACQUIRE);
	ck_assert(!leadership_promise_requested(&ld, t, 1, 0, 3 * SEC));
	leadership_handle_reply(&ld, t, &lost);
	t += SEC / 2;
	take_over(&ld, t, LEADERSHIP_CALL_READ);
	ck_assert(leadership_promise_requested(&ld, t, 1, 0, 3 * SEC));
	own.epoch = ld.takeover_epoch;
	leadership_handle_reply(&ld, t, &own);
	ck_assert(!leadership_may_act(&ld, t));
	ck_assert(!leadership_may_act(&ld, t + 3 * SEC - 1));
	ck_assert(leadership_may_act(&ld, t + 3 * SEC));
	ck_assert(!leadership_promise_requested(&ld, t, 1, ld.epoch - 1,
						3 * SEC));
	/* A higher epoch ends it, and no key is taken under a promise. */
	ck_assert(
		leadership_promise_requested(&ld, t, 1, ld.epoch + 1, 3 * SEC));
	leadership_next_call(&ld, t + 2 * SEC, &call);
	ck_assert_int_eq(call.kind, LEADERSHIP_CALL_NONE);
	leadership_next_call(&ld, t + 3 * SEC, &call);
	ck_assert_int_eq(call.kind, LEADERSHIP_CALL_READ);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("leadership");

	tcase_set_timeout(tc, 240);
	tcase_add_test(tc, never_two_leaders);
	tcase_add_test(tc, takeover_is_in_time);
	tcase_add_test(tc, outage_with_and_without_promises);
	tcase_add_test(tc, drain_and_alone);
	tcase_add_test(tc, promise_counts_from_the_ask);
	tcase_add_test(tc, promise_given_is_kept);
	return run_case("leadership", tc);
}
