#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/leadership/lead.h"
#include "daemon/svc.h"
#include "tests/standins/be_sock.h"
#include "wire/pr.h"
#include "tests/unit/run.h"

#define HOSTS 3

/* Store wrapper that injects failures. */

struct flaky {
	struct kv kv;
	struct kv *inner;
	bool down;
	bool silent; /* calls are not answered */
	bool lose_takeover; /* the write is carried out, the reply is lost */
	struct kn_timer timer;
	GPtrArray *failed; /* struct kv_call to fail */
	void (*done)(struct kv_call *call);
	int lost;
};

static struct flaky flaky;

static void fail_calls(struct kn_timer *timer)
{
	while (flaky.failed->len > 0) {
		struct kv_call *call = g_ptr_array_steal_index(flaky.failed, 0);

		call->result = CB_E_STORE_DOWN;
		call->done(call);
	}
}

static bool fail_if_down(struct kv_call *call)
{
	if (flaky.silent)
		return true;
	if (!flaky.down)
		return false;
	g_ptr_array_add(flaky.failed, call);
	kn_timer_set(flaky.kv.kn, &flaky.timer, 1000, fail_calls);
	return true;
}

static void lose_answer(struct kv_call *call)
{
	call->result = CB_E_TIMEOUT;
	call->succeeded = false;
	call->done = flaky.done;
	call->done(call);
}

static void flaky_txn(struct kv *kv, struct kv_call *call,
		      const struct kv_cmp *cmps, size_t ncmps,
		      const struct kv_op *then_ops, size_t nthen,
		      const struct kv_op *else_ops, size_t nelse)
{
	if (fail_if_down(call))
		return;
	if (flaky.lose_takeover && ncmps > 0) {
		flaky.done = call->done;
		call->done = lose_answer;
		flaky.lose_takeover = false;
		flaky.lost++;
	}
	flaky.inner->ops->txn(flaky.inner, call, cmps, ncmps, then_ops, nthen,
			      else_ops, nelse);
}

static void flaky_grant(struct kv *kv, struct kv_call *call, int64_t ttl_s)
{
	if (!fail_if_down(call))
		flaky.inner->ops->grant(flaky.inner, call, ttl_s);
}

static void flaky_keepalive(struct kv *kv, struct kv_call *call, int64_t lease)
{
	if (!fail_if_down(call))
		flaky.inner->ops->keepalive(flaky.inner, call, lease);
}

static void flaky_revoke(struct kv *kv, struct kv_call *call, int64_t lease)
{
	if (!fail_if_down(call))
		flaky.inner->ops->revoke(flaky.inner, call, lease);
}

static const struct kv_ops flaky_ops = { .txn = flaky_txn,
					 .grant = flaky_grant,
					 .keepalive = flaky_keepalive,
					 .revoke = flaky_revoke };

/* The hosts, all in one kernel. */

struct probe {
	struct kn_task task;
	struct svc_lead state;
	json_t *answer;
	int status;
};

static struct kn kn;
static struct set sets[HOSTS];
static int ports[HOSTS]; /* free ports, so that concurrent runs don't collide */
static struct kn_task *peers[HOSTS];
static struct kn_task *leads[HOSTS];
static struct probe probes[HOSTS];

static void probe_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct probe *probe = (struct probe *)task;

	if (msg->type == SVC_LEAD_CHANGED) {
		probe->state = *(struct svc_lead *)msg;
	} else if (msg->type == SVC_API_REPLY) {
		probe->answer = ((struct svc_api_call *)msg)->answer;
		probe->status = ((struct svc_api_call *)msg)->status;
	}
	kn_msg_release(msg);
}

static const struct kn_task_ops probe_ops = { .receive = probe_receive };

static void pick_ports(void)
{
	int fds[HOSTS], i;

	for (i = 0; i < HOSTS; i++)
		fds[i] = be_listen(&ports[i]);
	for (i = 0; i < HOSTS; i++)
		close(fds[i]);
}

static void fill_set(int i, int hosts)
{
	struct set *set = &sets[i];
	int j;

	memset(set, 0, sizeof(*set));
	snprintf(set->host, sizeof(set->host), "host%d", i);
	strcpy(set->dc, "dc1");
	set->seed = 5;
	set->grace_ms = 20000;
	if (hosts > 1)
		set->peer_listen.port = ports[i];
	strcpy(set->peer_listen.addr, "127.0.0.1");
	for (j = 0; j < hosts; j++) {
		struct set_peer *peer = &set->peers[set->peer_count];

		if (j == i)
			continue;
		snprintf(peer->host, sizeof(peer->host), "host%d", j);
		strcpy(peer->dc, "dc1");
		strcpy(peer->at.addr, "127.0.0.1");
		peer->at.port = ports[j];
		set->peer_count++;
	}
}

static void start(struct kn_task *task)
{
	ck_assert(task->ops->start(task, NULL));
	task->started = true;
}

static void start_host(int i, uint64_t incarnation)
{
	peers[i] = pr_new(&kn, &sets[i], incarnation);
	start(peers[i]);
	leads[i] = lead_new(&kn, &sets[i], &flaky.kv, incarnation);
	start(leads[i]);
	/* Renamed so that kn_find() returns the next host's peer service. */
	peers[i]->name = "started";
	memset(&probes[i], 0, sizeof(probes[i]));
	kn_add(&kn, &probes[i].task, "probe", &probe_ops);
	svc_subscribe(leads[i], &probes[i].task);
}

static void end_task(struct kn_task *task)
{
	struct kn_msg *msg, *tmp;

	list_del(&task->node);
	list_del(&task->ready);
	list_for_each_entry_safe(msg, tmp, &task->mailbox, node)
		kn_msg_release(msg);
	if (task->ops->finish)
		task->ops->finish(task);
}

/* Stops a host without draining it. It must have no store call in progress. */
static void stop_host_abruptly(int i)
{
	end_task(&probes[i].task);
	end_task(leads[i]);
	end_task(peers[i]);
	memset(&probes[i].state, 0, sizeof(probes[i].state));
	peers[i] = leads[i] = NULL;
}

static void setup(int hosts)
{
	int i;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	ev_init(1);
	ck_assert(kn_init(&kn, NULL));
	pick_ports();
	memset(&flaky, 0, sizeof(flaky));
	flaky.kv.ops = &flaky_ops;
	flaky.kv.kn = &kn;
	flaky.inner = kv_mem_new(&kn);
	flaky.failed = g_ptr_array_new();
	for (i = 0; i < hosts; i++)
		fill_set(i, hosts);
	for (i = 0; i < hosts; i++)
		start_host(i, 100 + (uint64_t)i);
}

static void teardown(void)
{
	kv_free(flaky.inner);
	kn_timer_cancel(&flaky.timer);
	g_ptr_array_unref(flaky.failed);
	kn_finish(&kn);
}

static int leader(void)
{
	int64_t now_us = kn_now_us();
	int i, found = -1;

	for (i = 0; i < HOSTS; i++) {
		if (!probes[i].state.leading ||
		    probes[i].state.valid_until_us <= now_us)
			continue;
		ck_assert_msg(found < 0, "%d and %d lead", found, i);
		found = i;
	}
	return found;
}

static void wake(struct kn_timer *timer)
{
}

/* Runs for ms milliseconds, with until_leader only until a host leads. */
static int run(int64_t ms, bool until_leader)
{
	int64_t until_us = kn_now_us() + ms * USEC_PER_MSEC;
	struct kn_timer timer = { 0 };

	while (kn_now_us() < until_us) {
		kn_timer_set(&kn, &timer, 20000, wake);
		kn_turn(&kn);
		if (leader() >= 0 && until_leader)
			break;
	}
	kn_timer_cancel(&timer);
	return leader();
}

/* Tests. */

/*
 * Guards against a host without peers that waits before it leads, and against
 * /v1/leaders not naming the leader.
 */
START_TEST(single_host_leads_immediately)
{
	struct svc_api_call call = { .method = (char *)"GET",
				     .path = (char *)"/v1/leaders" };
	json_t *first;

	setup(1);
	ck_assert_int_eq(run(500, true), 0);
	call.msg.type = SVC_API_CALL;
	kn_send(leads[0], &probes[0].task, &call.msg);
	run(50, false);
	ck_assert_int_eq(probes[0].status, 200);
	first = json_array_get(json_object_get(probes[0].answer, "leaders"), 0);
	ck_assert_str_eq(json_string_value(json_object_get(first, "leader")),
			 "host0");
	ck_assert_int_eq(json_integer_value(json_object_get(first, "epoch")),
			 1);
	json_decref(probes[0].answer);
	teardown();
}
END_TEST

/*
 * Guards against a takeover that is late or that the other hosts don't learn
 * of, and against a drained leader that keeps its lease.
 */
START_TEST(takeover_after_death_and_drain)
{
	int first, second, third, i;
	uint64_t epoch;

	setup(HOSTS);
	first = run(6000, true);
	ck_assert_int_ge(first, 0);
	epoch = probes[first].state.epoch;
	run(1000, false);
	for (i = 0; i < HOSTS; i++) {
		ck_assert_str_eq(probes[i].state.leader, sets[first].host);
		ck_assert_uint_eq(probes[i].state.epoch, epoch);
	}
	stop_host_abruptly(first);
	second = run(TAKEOVER_BOUND_MS, true);
	ck_assert_int_ge(second, 0);
	ck_assert_int_ne(second, first);
	ck_assert_uint_gt(probes[second].state.epoch, epoch);
	start_host(first, 200);
	run(3500, false);
	ck_assert_int_eq(leader(), second);
	leads[second]->ops->drain(leads[second]);
	third = run(3000, true);
	ck_assert(leads[second]->drained);
	ck_assert_int_ge(third, 0);
	ck_assert_int_ne(third, second);
	teardown();
}
END_TEST

/*
 * Guards against a data centre without a leader until the lease expires: the
 * takeover was written, but its reply was lost and the key is not read again.
 */
START_TEST(lost_takeover_reply_is_recovered)
{
	int64_t since_us = kn_now_us();

	setup(HOSTS);
	flaky.lose_takeover = true;
	ck_assert_int_ge(run(5000, true), 0);
	ck_assert_int_eq(flaky.lost, 1);
	ck_assert_int_lt(kn_now_us() - since_us, 5 * USEC_PER_SEC);
	ck_assert_uint_eq(probes[leader()].state.epoch, 1);
	teardown();
}
END_TEST

/*
 * Guards against a leader that steps down in a store outage although all other
 * hosts promise, and against one that continues without one of the promises.
 */
START_TEST(promises_keep_leader_in_outage)
{
	int64_t since_us;
	int first;

	setup(HOSTS);
	first = run(6000, true);
	run(1500, false);
	flaky.down = true;
	since_us = kn_now_us();
	while (kn_now_us() - since_us < 8 * USEC_PER_SEC)
		ck_assert_int_eq(run(100, false), first);
	stop_host_abruptly((first + 1) % HOSTS);
	run(LEADER_PROMISE_MS + 500, false);
	ck_assert_int_eq(leader(), -1);
	flaky.down = false;
	ck_assert_int_ge(run(TAKEOVER_BOUND_MS, true), 0);
	teardown();
}
END_TEST

/* The store does not answer before the supervisor's SIGKILL. */
START_TEST(drain_ends_before_a_short_grace)
{
	int64_t begun_us;

	setup(1);
	ck_assert_int_eq(run(6000, true), 0);
	sets[0].grace_ms = 1000;
	flaky.silent = true;
	begun_us = kn_now_us();
	leads[0]->ops->drain(leads[0]);
	while (!leads[0]->drained && kn_now_us() - begun_us < 4 * USEC_PER_SEC)
		run(10, false);
	ck_assert_int_lt((kn_now_us() - begun_us) / USEC_PER_MSEC,
			 sets[0].grace_ms);
	teardown();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("leadership");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, single_host_leads_immediately);
	tcase_add_test(tc, takeover_after_death_and_drain);
	tcase_add_test(tc, lost_takeover_reply_is_recovered);
	tcase_add_test(tc, promises_keep_leader_in_outage);
	tcase_add_test(tc, drain_ends_before_a_short_grace);
	return run_case("lead", tc);
}
