#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/list.h"
#include "policy/leadership.h"
#include "tests/unit/run.h"

/*
 * Runs the hosts of a data centre in a simulation. Their clocks have different
 * rates and offsets, and messages to each other and to the store may be lost,
 * delayed and reordered.
 */

#define MAX_HOSTS 5
#define STEP_US 10000
#define SEC USEC_PER_SEC
#define SEEDS 300

enum sim_event_kind { STORE_CALL, STORE_REPLY, PROMISE_REQUEST, PROMISE_GIVEN };

/* A message that arrives at at_us. */
struct sim_event {
	struct list_head node;
	enum sim_event_kind kind;
	int64_t at_us;
	int to;
	int from;
	uint64_t incarnation; /* of the host that made the call or request */
	struct leadership_call call;
	struct leadership_reply reply;
	uint64_t epoch;
	int64_t sent_us; /* on the clock of the host that requests a promise */
	int64_t term_us;
};

struct sim_host {
	struct leadership ld;
	bool alive;
	int64_t frozen_until_us;
	uint64_t incarnation;
	double rate;
	int64_t clock_offset_us;
	int64_t next_request_us;
	bool acted;
	bool partitioned; /* cut off from all other hosts */
};

/*
 * Fault rates. The first five are chances out of 10,000 in each step; late and
 * lost messages are in percent.
 */
struct profile {
	int crashes;
	int restarts;
	int freezes;
	int store_toggles;
	int partitions;
	int late_percent;
	int late_max_ms;
	int request_lost_percent;
};

/*
 * The promises decide most often while the store becomes unavailable again and
 * again and all hosts run, so three of the profiles are without crashes.
 */
static const struct profile profiles[] = {
	{ 6, 20, 12, 6, 12, 5, 8000, 10 }, /* everything */
	{ 0, 0, 0, 30, 0, 30, 3000, 0 }, /* slow and unstable store */
	{ 0, 40, 0, 30, 0, 5, 1000, 0 }, /* restarts during outages */
	{ 0, 0, 20, 30, 10, 20, 2500, 20 }, /* freezes during outages */
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
	uint64_t leader_incarnation;
	uint64_t leader_attempt;
	uint64_t epoch;
	int64_t epoch_mod;
	/* Observed. */
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

static struct sim_event *add_event(struct sim *sim, enum sim_event_kind kind,
				   int to, int from)
{
	struct sim_event *ev = g_new0(struct sim_event, 1);

	ev->kind = kind;
	ev->at_us = sim->now_us + delay(sim);
	ev->to = to;
	ev->from = from;
	list_add_tail(&ev->node, &sim->events);
	return ev;
}

/* Returns the index of host `other` in host i's list of peers. */
static size_t peer_index(int i, int other)
{
	return (size_t)(other < i ? other : other - 1);
}

static void start_host(struct sim *sim, int i)
{
	struct sim_host *host = &sim->hosts[i];

	host->alive = true;
	host->incarnation++;
	host->frozen_until_us = 0;
	host->next_request_us = 0;
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
	reply->key_is_own = sim->leader_host == ev->from &&
			    sim->leader_incarnation == ev->incarnation;
	reply->attempt = reply->key_is_own ? sim->leader_attempt : 0;
	reply->epoch = sim->epoch;
	reply->epoch_mod = sim->epoch_mod;
}

static void acquire(struct sim *sim, const struct sim_event *ev,
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
	sim->leader_incarnation = ev->incarnation;
	sim->leader_attempt = ev->call.attempt;
	sim->epoch = ev->call.epoch;
	sim->epoch_mod++;
	reply->succeeded = true;
}

static void execute_call(struct sim *sim, const struct sim_event *ev,
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
		acquire(sim, ev, reply);
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

/* A call may take effect after it has timed out for its caller. */
static void handle_store_call(struct sim *sim, struct sim_event *ev)
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
		execute_call(sim, ev, &reply);
		if (timed_out)
			return;
		if (sim->faults && chance(sim, 5))
			reply.outcome = LEADERSHIP_UNKNOWN;
	}
	back = add_event(sim, STORE_REPLY, ev->from, ev->from);
	back->incarnation = ev->incarnation;
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
	ev = add_event(sim, STORE_CALL, -1, i);
	ev->incarnation = host->incarnation;
	ev->call = call;
	if (ev->at_us - sim->now_us > SEC) {
		/* The call times out before it arrives at the store. */
		ev->reply.outcome = LEADERSHIP_UNKNOWN;
		lost = add_event(sim, STORE_REPLY, i, i);
		lost->at_us = sim->now_us + SEC;
		lost->incarnation = host->incarnation;
		lost->reply.outcome = LEADERSHIP_UNKNOWN;
	}
}

/* Hosts. */

static void request_promises(struct sim *sim, int i)
{
	struct sim_host *host = &sim->hosts[i];
	struct sim_event *ev;
	int j;

	if (!host->ld.leading || clock_of(sim, i) < host->next_request_us)
		return;
	host->next_request_us =
		clock_of(sim, i) + LEADER_ASK_MS * USEC_PER_MSEC;
	for (j = 0; j < sim->n; j++) {
		if (j == i || host->partitioned ||
		    (sim->faults &&
		     chance(sim, sim->profile->request_lost_percent)))
			continue;
		ev = add_event(sim, PROMISE_REQUEST, j, i);
		ev->incarnation = host->incarnation;
		ev->epoch = host->ld.epoch;
		ev->sent_us = clock_of(sim, i);
		ev->term_us = LEADER_PROMISE_MS * USEC_PER_MSEC;
	}
}

static void handle_event(struct sim *sim, struct sim_event *ev)
{
	struct sim_host *host = &sim->hosts[ev->to];
	int64_t now_us = clock_of(sim, ev->to);
	struct sim_event *back;

	leadership_tick(&host->ld, now_us);
	if (ev->kind == STORE_REPLY) {
		if (ev->incarnation == host->incarnation)
			leadership_handle_reply(&host->ld, now_us, &ev->reply);
	} else if (host->partitioned || sim->hosts[ev->from].partitioned) {
		return;
	} else if (ev->kind == PROMISE_REQUEST) {
		if (!leadership_promise_requested(&host->ld, now_us,
						  peer_index(ev->to, ev->from),
						  ev->epoch, ev->term_us))
			return;
		back = add_event(sim, PROMISE_GIVEN, ev->from, ev->to);
		back->incarnation = ev->incarnation;
		back->sent_us = ev->sent_us;
		back->term_us = ev->term_us;
	} else if (ev->incarnation == host->incarnation) {
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
		/* A frozen host gets its messages when it resumes. */
		if (ev->kind != STORE_CALL && sim->hosts[ev->to].alive &&
		    !running(sim, ev->to))
			continue;
		list_del(&ev->node);
		if (ev->kind == STORE_CALL)
			handle_store_call(sim, ev);
		else if (sim->hosts[ev->to].alive)
			handle_event(sim, ev);
		g_free(ev);
	}
}

/*
 * At most one host may act, counting frozen ones, and the epoch of the acting
 * host must never decrease.
 */
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

static bool occurs(struct sim *sim, int per_10000)
{
	return g_rand_int_range(sim->rand, 0, 10000) < per_10000;
}

static void inject_faults(struct sim *sim)
{
	const struct profile *profile = sim->profile;
	int i = g_rand_int_range(sim->rand, 0, sim->n);
	struct sim_host *host = &sim->hosts[i];

	if (occurs(sim, profile->crashes))
		host->alive = false;
	if (occurs(sim, profile->freezes))
		host->frozen_until_us =
			sim->now_us + g_rand_int_range(sim->rand, 0, 10 * SEC);
	if (occurs(sim, profile->store_toggles))
		sim->store_down = !sim->store_down;
	if (occurs(sim, profile->partitions))
		host->partitioned = !host->partitioned;
	/* The state of a restarted host is lost. */
	if (occurs(sim, profile->restarts))
		start_host(sim, i);
}

static void step(struct sim *sim)
{
	int i;

	sim->now_us += STEP_US;
	if (sim->faults)
		inject_faults(sim);
	run_events(sim);
	for (i = 0; i < sim->n; i++) {
		if (!running(sim, i))
			continue;
		leadership_tick(&sim->hosts[i].ld, clock_of(sim, i));
		call_store(sim, i);
		request_promises(sim, i);
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
		/* Real clock rates differ by far less than 0.5 percent. */
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

/*
 * Under any mix of faults two hosts must never act at the same time, and after
 * the faults end the data centre must get a leader.
 */
START_TEST(at_most_one_leader)
{
	int64_t acted_us = 0, until_us;
	uint32_t seed;
	int i;

	for (seed = 1; seed <= SEEDS; seed++) {
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
			sim->hosts[i].partitioned = false;
			if (!sim->hosts[i].alive)
				start_host(sim, i);
		}
		run_for(sim, 30 * SEC);
		ck_assert_msg(sim->acting >= 0, "seed %u: no leader", seed);
		sim_free(sim);
	}
	/* Otherwise the first check would pass with hosts that never act. */
	ck_assert_int_gt(acted_us, SEEDS * 120 * SEC / 4);
}
END_TEST

/* After the leader dies, another host must act within TAKEOVER_BOUND_MS. */
START_TEST(takeover_within_bound)
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

/*
 * In an outage of the store the leader must go on while all hosts promise,
 * must stop while one of them doesn't answer, and must not act right after a
 * freeze.
 */
START_TEST(leading_in_store_outage)
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

/*
 * A single host must not wait for promises, and after a leader has drained the
 * others must not have to wait for its lease to expire.
 */
START_TEST(drain_and_single_host)
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

/* Takes a host through a take-over up to the call `stop`. */
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

/*
 * The term of a promise must be counted from its request, not its arrival, and
 * less the margin for clock rates. After a freeze an earlier promise must not
 * count.
 */
START_TEST(promise_term_starts_at_request)
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

/*
 * A host that has promised not to act must not act or create the leader key,
 * even if it then learns that its take-over succeeded in the store.
 */
START_TEST(given_promise_is_kept)
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
	/* A higher epoch ends the leadership; the promise delays the next. */
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
	tcase_add_test(tc, at_most_one_leader);
	tcase_add_test(tc, takeover_within_bound);
	tcase_add_test(tc, leading_in_store_outage);
	tcase_add_test(tc, drain_and_single_host);
	tcase_add_test(tc, promise_term_starts_at_request);
	tcase_add_test(tc, given_promise_is_kept);
	return run_case("leadership", tc);
}
