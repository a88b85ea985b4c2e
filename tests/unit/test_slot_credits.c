#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/slot_credits.h"
#include "tests/unit/run.h"

/* Simulation of one data centre. */

#define HOSTS_MAX 6
#define SERVERS 2
#define PACKETS 256
#define RUNS_MAX 512
#define STEP_US (10 * USEC_PER_MSEC)
#define SIM_SEC 400

struct run {
	bool used;
	int host;
	int server;
	int64_t end_us;
	bool ended; /* at the server; its host doesn't know yet */
};

struct host {
	struct slot_credits_holder holder;
	struct slot_credits_server slots[SERVERS];
	struct slot_credits_grantor grantor;
	int64_t offset_us; /* of its monotonic clock */
	int64_t paused_until_us;
	int64_t partitioned_until_us; /* from all other hosts */
	int64_t report_at_us;
	int leader; /* known to this host, or -1 */
	uint64_t epoch;
	int64_t learn_leader_at_us;
};

struct packet {
	bool used;
	bool grant;
	int from;
	int to;
	int64_t at_us;
	struct slot_credits_report_id report_id;
	struct slot_credits_entry entries[SERVERS];
	size_t n;
};

struct sim {
	GRand *rand;
	int64_t now_us;
	int n;
	struct host hosts[HOSTS_MAX];
	const char *names[HOSTS_MAX];
	struct packet packets[PACKETS];
	struct run runs[RUNS_MAX];
	int leader;
	uint64_t epoch;
	int64_t lease_until_us;
	bool renewing;
	uint64_t incarnations;
	int max_in_progress; /* on one server, so far */
	int64_t started;
	bool exceeded;
};

static const char *const server_names[SERVERS] = { "10.0.0.1:80",
						   "10.0.0.2:80" };
static char host_names[HOSTS_MAX][16];

static int one_in(struct sim *sim, int of)
{
	return g_rand_int_range(sim->rand, 0, of) == 0;
}

static int64_t random_below(struct sim *sim, int64_t limit_us)
{
	return g_rand_int_range(sim->rand, 0, (gint32)limit_us);
}

static bool is_paused(const struct sim *sim, int host)
{
	return sim->now_us < sim->hosts[host].paused_until_us;
}

static int64_t host_clock_us(const struct sim *sim, int host)
{
	return sim->now_us + sim->hosts[host].offset_us;
}

/* (Re)starts a host; its requests end, since their connections close. */
static void start_host(struct sim *sim, int i)
{
	struct host *host = &sim->hosts[i];
	int k;

	for (k = 0; k < RUNS_MAX; k++)
		if (sim->runs[k].used && sim->runs[k].host == i)
			sim->runs[k].used = false;
	host->offset_us = random_below(sim, 1000 * USEC_PER_SEC);
	slot_credits_holder_init(&host->holder, ++sim->incarnations);
	for (k = 0; k < SERVERS; k++)
		slot_credits_server_init(
			&host->slots[k], &host->holder, server_names[k],
			slot_credits_floor(sim->names, sim->n, sim->names[i],
					   server_names[k]));
	if (host->grantor.hosts)
		slot_credits_grantor_finish(&host->grantor);
	slot_credits_grantor_init(&host->grantor, sim->names, sim->n);
	host->leader = -1;
	host->epoch = 0;
	host->learn_leader_at_us =
		sim->now_us + random_below(sim, USEC_PER_SEC);
	host->report_at_us = sim->now_us;
}

static void send_packet(struct sim *sim, const struct packet *packet)
{
	int copies = one_in(sim, 20) ? 2 : 1, i;

	while (copies-- > 0) {
		if (one_in(sim, 10) ||
		    sim->now_us <
			    sim->hosts[packet->from].partitioned_until_us ||
		    sim->now_us < sim->hosts[packet->to].partitioned_until_us)
			continue;
		for (i = 0; sim->packets[i].used; i++)
			ck_assert_int_lt(i, PACKETS - 1);
		sim->packets[i] = *packet;
		sim->packets[i].used = true;
		sim->packets[i].at_us =
			sim->now_us +
			random_below(sim, one_in(sim, 8) ? 5 * USEC_PER_SEC :
							   2 * STEP_US);
	}
}

static void set_entries(struct packet *packet, const GArray *entries)
{
	packet->n = entries->len;
	ck_assert_int_le(entries->len, SERVERS);
	if (entries->len > 0)
		memcpy(packet->entries, entries->data,
		       entries->len * sizeof(packet->entries[0]));
}

static void send_report(struct sim *sim, int i)
{
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(struct slot_credits_entry));
	struct host *host = &sim->hosts[i];
	struct packet packet = { .from = i, .to = host->leader };

	if (slot_credits_build_report(&host->holder, host->epoch, entries,
				      host_clock_us(sim, i))) {
		packet.report_id = host->holder.report_id;
		set_entries(&packet, entries);
		send_packet(sim, &packet);
	}
	g_array_free(entries, TRUE);
}

static void deliver(struct sim *sim, const struct packet *in)
{
	GArray *grants =
		g_array_new(FALSE, FALSE, sizeof(struct slot_credits_entry));
	struct host *host = &sim->hosts[in->to];
	struct packet out = { .grant = true, .from = in->to, .to = in->from };

	if (in->grant) {
		slot_credits_apply_grant(&host->holder, &in->report_id,
					 SLOT_TERM_MS * USEC_PER_MSEC,
					 in->entries, in->n,
					 host_clock_us(sim, in->to));
	} else if (sim->leader == in->to && sim->now_us < sim->lease_until_us &&
		   slot_credits_handle_report(
			   &host->grantor, sim->names[in->from], &in->report_id,
			   in->entries, in->n, grants,
			   host_clock_us(sim, in->to))) {
		out.report_id = in->report_id;
		set_entries(&out, grants);
		send_packet(sim, &out);
	}
	g_array_free(grants, TRUE);
}

/* Elects a leader with an exclusive lease; it may be partitioned from hosts. */
static void elect_leader(struct sim *sim, bool faults)
{
	int i, candidate;

	if (sim->now_us >= sim->lease_until_us) {
		candidate = (int)random_below(sim, sim->n);
		if (is_paused(sim, candidate))
			return;
		sim->leader = candidate;
		sim->epoch++;
		sim->lease_until_us = sim->now_us + 6 * USEC_PER_SEC;
		slot_credits_begin_epoch(&sim->hosts[candidate].grantor,
					 sim->epoch,
					 host_clock_us(sim, candidate));
		for (i = 0; i < sim->n; i++)
			sim->hosts[i].learn_leader_at_us =
				sim->now_us +
				random_below(sim, 3 * USEC_PER_SEC);
		sim->renewing = true;
	}
	/* A leader that loses the store can't renew its lease. */
	if (faults && one_in(sim, 8000))
		sim->renewing = false;
	if (sim->renewing && !is_paused(sim, sim->leader))
		sim->lease_until_us = sim->now_us + 6 * USEC_PER_SEC;
}

static void start_runs(struct sim *sim, int i)
{
	struct host *host = &sim->hosts[i];
	int64_t now = host_clock_us(sim, i);
	int s, k;

	for (s = 0; s < SERVERS; s++)
		while (slot_credits_available(&host->slots[s], now) > 0 &&
		       !one_in(sim, 4)) {
			for (k = 0; sim->runs[k].used; k++)
				ck_assert_int_lt(k, RUNS_MAX - 1);
			sim->runs[k] = (struct run){
				.used = true,
				.host = i,
				.server = s,
				.end_us =
					sim->now_us +
					random_below(sim,
						     one_in(sim, 50) ?
							     60 * USEC_PER_SEC :
							     USEC_PER_SEC)
			};
			slot_credits_start(&host->slots[s]);
			sim->started++;
		}
}

/* Ends runs at their servers; a paused host learns of it when it resumes. */
static void end_runs(struct sim *sim)
{
	int counts[SERVERS] = { 0 }, k, s;
	struct run *run;

	for (k = 0; k < RUNS_MAX; k++) {
		run = &sim->runs[k];
		if (!run->used)
			continue;
		run->ended = run->ended || sim->now_us >= run->end_us;
		if (!run->ended) {
			counts[run->server]++;
		} else if (!is_paused(sim, run->host)) {
			slot_credits_end(
				&sim->hosts[run->host].slots[run->server]);
			run->used = false;
		}
	}
	for (s = 0; s < SERVERS; s++) {
		if (counts[s] > sim->max_in_progress)
			sim->max_in_progress = counts[s];
		if (counts[s] > BACKEND_SLOTS)
			sim->exceeded = true;
	}
}

static void host_step(struct sim *sim, int i, bool faults)
{
	struct host *host = &sim->hosts[i];
	int s;

	if (faults && one_in(sim, 6000))
		host->paused_until_us =
			sim->now_us +
			random_below(sim,
				     (one_in(sim, 4) ? 100 : 5) * USEC_PER_SEC);
	if (faults && one_in(sim, 8000))
		host->partitioned_until_us =
			sim->now_us + random_below(sim, 20 * USEC_PER_SEC);
	if (faults && one_in(sim, 12000))
		start_host(sim, i);
	if (is_paused(sim, i))
		return;
	if (host->epoch < sim->epoch &&
	    sim->now_us >= host->learn_leader_at_us) {
		host->epoch = sim->epoch;
		host->leader = sim->leader;
	}
	for (s = 0; s < SERVERS; s++)
		if (one_in(sim, 100))
			host->slots[s].want = (int)random_below(sim, 8);
	if (host->leader >= 0 && sim->now_us >= host->report_at_us) {
		send_report(sim, i);
		host->report_at_us =
			sim->now_us + random_below(sim, USEC_PER_SEC);
	}
	start_runs(sim, i);
}

static void sim_step(struct sim *sim, bool faults)
{
	struct packet packet;
	int i;

	sim->now_us += STEP_US;
	end_runs(sim);
	elect_leader(sim, faults);
	for (i = 0; i < PACKETS; i++) {
		packet = sim->packets[i];
		if (!packet.used || sim->now_us < packet.at_us ||
		    is_paused(sim, packet.to))
			continue;
		sim->packets[i].used = false;
		deliver(sim, &packet);
	}
	for (i = 0; i < sim->n; i++)
		host_step(sim, i, faults);
}

static void sim_init(struct sim *sim, int hosts, guint32 seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->n = hosts;
	for (i = 0; i < hosts; i++) {
		snprintf(host_names[i], sizeof(host_names[i]), "h%d", i);
		sim->names[i] = host_names[i];
	}
	for (i = 0; i < hosts; i++)
		start_host(sim, i);
}

static void sim_finish(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		slot_credits_grantor_finish(&sim->hosts[i].grantor);
	g_rand_free(sim->rand);
}

static struct sim sim;

/*
 * Guards against more than 8 requests on a server while messages are lost,
 * delayed or duplicated, hosts pause and restart, and leaders change.
 */
START_TEST(requests_never_exceed_slots)
{
	int64_t steps = SIM_SEC * USEC_PER_SEC / STEP_US, k;

	sim_init(&sim, 2 + _i % 5, 1000 + (guint32)_i);
	for (k = 0; k < steps && !sim.exceeded; k++)
		sim_step(&sim, true);
	ck_assert_msg(!sim.exceeded,
		      "seed %d: %d in progress at %" PRId64 " us", 1000 + _i,
		      sim.max_in_progress, sim.now_us);
	/* More requests than the floors permit: credits were in use. */
	ck_assert_int_gt(sim.max_in_progress,
			 BACKEND_SLOTS - slot_credits_pool(sim.n));
	sim_finish(&sim);
}
END_TEST

/* Guards against slots that are not granted while no host fails. */
START_TEST(all_slots_are_granted)
{
	int64_t now, sum = 0, samples = 0;
	int i, s;

	sim_init(&sim, 3, 1);
	for (now = 0; now < 20 * USEC_PER_SEC; now += STEP_US) {
		for (i = 0; i < 3; i++)
			for (s = 0; s < SERVERS; s++)
				sim.hosts[i].slots[s].want = 5;
		sim_step(&sim, false);
		if (now < 10 * USEC_PER_SEC)
			continue;
		samples += SERVERS;
		for (i = 0; i < 3; i++)
			for (s = 0; s < SERVERS; s++)
				sum += slot_credits_held(
					       &sim.hosts[i].slots[s],
					       host_clock_us(&sim, i)) +
				       1;
	}
	/* One message in ten is lost, so some credits expire. */
	ck_assert_int_ge(sum * 10, samples * BACKEND_SLOTS * 8);
	sim_finish(&sim);
}
END_TEST

/*
 * Guards against a holder that starts the term when the grant arrives, and
 * against a grantor that accepts a report of an earlier process.
 */
START_TEST(credits_expire_first_at_holder)
{
	const char *names[] = { "a", "b" };
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(struct slot_credits_entry));
	const int64_t term = SLOT_TERM_MS * USEC_PER_MSEC;
	struct slot_credits_entry grant = { .server = "s", .want = 3 };
	struct slot_credits_grantor grantor;
	struct slot_credits_holder holder;
	struct slot_credits_server slots;
	struct slot_credits_report_id old;

	slot_credits_holder_init(&holder, 7);
	slot_credits_server_init(&slots, &holder, "s", 1);
	slots.want = 3;
	ck_assert(slot_credits_build_report(&holder, 1, entries, 0));
	ck_assert(slot_credits_apply_grant(&holder, &holder.report_id, term,
					   &grant, 1, term - 10));
	ck_assert_int_eq(slot_credits_available(&slots, term - 1), 4);
	ck_assert_int_eq(slot_credits_available(&slots, term), 1);
	ck_assert(slot_credits_build_report(&holder, 1, entries, term));
	ck_assert(!slot_credits_apply_grant(&holder, &holder.report_id, term,
					    &grant, 1, 2 * term));
	ck_assert_int_eq(slot_credits_available(&slots, 2 * term), 1);
	/* No report is sent to the leader of an older epoch. */
	ck_assert(slot_credits_build_report(&holder, 2, entries, term));
	ck_assert(!slot_credits_build_report(&holder, 1, entries, term));

	slot_credits_grantor_init(&grantor, names, 2);
	slot_credits_begin_epoch(&grantor, 2, 0);
	ck_assert(slot_credits_withholding(&grantor, 0));
	ck_assert(slot_credits_handle_report(&grantor, "a", &holder.report_id,
					     NULL, 0, entries, 0));
	old = holder.report_id;
	old.incarnation--;
	old.seq += 10;
	ck_assert(!slot_credits_handle_report(&grantor, "a", &old, NULL, 0,
					      entries, 1));
	ck_assert(!slot_credits_handle_report(&grantor, "x", &holder.report_id,
					      NULL, 0, entries, 1));
	ck_assert(!slot_credits_withholding(
		&grantor, term + REQ_DEADLINE_MAX_MS * USEC_PER_MSEC));
	slot_credits_grantor_finish(&grantor);
	g_array_free(entries, TRUE);
}
END_TEST

/*
 * Guards against floors and credits that don't add up to the slots of a
 * server, and against a host that gets far fewer floors than others.
 */
START_TEST(floors_and_pool_equal_slots)
{
	char server[32];
	const char *names[9] = { "a", "b", "c", "d", "e", "f", "g", "h", "i" };
	int n, i, k, sum, total[9] = { 0 };

	for (n = 1; n <= 9; n++)
		for (k = 0; k < 50; k++) {
			snprintf(server, sizeof(server), "10.0.0.%d:80", k);
			for (i = 0, sum = 0; i < n; i++) {
				int f = slot_credits_floor(names, n, names[i],
							   server);

				sum += f;
				total[i] += n == 9 ? f : 0;
			}
			ck_assert_int_eq(sum + slot_credits_pool(n),
					 BACKEND_SLOTS);
			ck_assert_int_le(n * slot_credits_connections(n),
					 BACKEND_CONNECTIONS);
		}
	/* 200 floors over 9 hosts, about 22 each. */
	for (i = 0; i < 9; i++)
		ck_assert_int_ge(total[i], 8);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("slots");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, requests_never_exceed_slots, 0, 20);
	tcase_add_test(tc, all_slots_are_granted);
	tcase_add_test(tc, credits_expire_first_at_holder);
	tcase_add_test(tc, floors_and_pool_equal_slots);
	return run_case("slot_credits", tc);
}
