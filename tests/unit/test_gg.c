#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "tests/standins/wm_rules.h"

/*
 * A small model check: one gang of two members on two workers, a leader and
 * its successor. Every order of deliveries is explored together with losses,
 * repeated deliveries, a worker's restart, a leader that freezes or dies at
 * any step and comes back, and an operator's stop, each within a budget.
 */

#define WORKERS 2
#define LEADERS 2
#define MSGS_MAX 8
#define TICK_US (WORKER_SYNC_MS * USEC_PER_MSEC)
#define TICKS_MAX 14
#define STATES_MAX 150000 /* for each budget */

enum kind { CALL, ANSWER, SYNC, REPORT };

struct msg {
	uint8_t kind, leader, worker, op, ok, seen, go, renew, ticks;
	int64_t asked_us;
};

struct world {
	struct gg gg[LEADERS];
	struct gg_member members[LEADERS][WORKERS];
	struct wm_rules workers[WORKERS];
	struct msg msgs[MSGS_MAX];
	int msg_count;
	int64_t now_us;
	int64_t partial_us; /* since when one member runs alone, or 0 */
	int ticks;
	uint8_t losses, copies, restarts, freezes, stops, delays; /* left */
	bool frozen; /* leader 0 */
	bool taken_over;
	bool ran; /* both members have run together */
};

/* The world that the callbacks of gg belong to. */
static struct world *current;

static void post(struct world *w, const struct msg *msg)
{
	if (w->msg_count < MSGS_MAX)
		w->msgs[w->msg_count++] = *msg;
}

static void on_send(struct gg *gg, int member, enum gg_op op)
{
	struct msg msg = { .kind = CALL,
			   .leader = gg - current->gg,
			   .worker = member,
			   .op = op };

	post(current, &msg);
}

static void on_event(struct gg *gg)
{
}

static const struct gg_ops ops = { .send = on_send,
				   .running = on_event,
				   .gone = on_event };

static void world_init(struct world *w)
{
	int i, j;

	memset(w, 0, sizeof(*w));
	w->now_us = 100 * USEC_PER_SEC;
	for (i = 0; i < WORKERS; i++)
		wm_rules_init(&w->workers[i], 8);
	for (i = 0; i < LEADERS; i++) {
		w->gg[i].ops = &ops;
		w->gg[i].token = (struct gg_token){ 1, 7, 1 };
		w->gg[i].count = WORKERS;
		for (j = 0; j < WORKERS; j++)
			w->members[i][j].worker = j;
	}
}

static void attach(struct world *w)
{
	int i;

	current = w;
	for (i = 0; i < LEADERS; i++)
		w->gg[i].members = w->members[i];
}

/* ---- steps ---- */

static void remove_msg(struct world *w, int i)
{
	memmove(&w->msgs[i], &w->msgs[i + 1],
		sizeof(w->msgs[0]) * (--w->msg_count - i));
	memset(&w->msgs[w->msg_count], 0, sizeof(w->msgs[0]));
}

static void at_worker(struct world *w, const struct msg *msg)
{
	struct wm_rules *rules = &w->workers[msg->worker];
	struct gg_token token = w->gg[0].token;
	struct msg reply = *msg;
	struct wm_task *task;
	uint64_t before = rules->epoch;
	bool stale = (uint64_t)msg->leader + 1 < before;

	if (msg->kind == CALL) {
		enum wm_result r = wm_call(rules, msg->op, msg->leader + 1,
					   &token, 8, w->now_us);

		ck_assert(!stale || r == WM_STALE);
		reply.kind = ANSWER;
		reply.ok = r == WM_OK;
	} else {
		if (!wm_epoch(rules, msg->leader + 1)) {
			ck_assert(stale);
			return;
		}
		wm_expire(rules, w->now_us);
		wm_sync(rules, &token, msg->go, msg->renew, w->now_us);
		task = wm_find(rules, &token);
		reply.kind = REPORT;
		reply.seen = task ? task->state : GG_ABSENT;
	}
	ck_assert_uint_ge(rules->epoch, before);
	reply.ticks = 0;
	post(w, &reply);
}

static void at_leader(struct world *w, const struct msg *msg)
{
	struct gg *gg = &w->gg[msg->leader];

	if (msg->leader == 0 && w->frozen)
		return;
	if (msg->kind == ANSWER)
		gg_answer(gg, msg->worker, msg->op, msg->ok, w->now_us);
	else
		gg_report(gg, msg->worker, msg->seen, msg->asked_us, w->now_us);
}

static void deliver(struct world *w, int i, bool keep)
{
	struct msg msg = w->msgs[i];

	if (!keep)
		remove_msg(w, i);
	if (msg.kind == CALL || msg.kind == SYNC)
		at_worker(w, &msg);
	else
		at_leader(w, &msg);
}

static void leader_tick(struct world *w, int leader)
{
	struct gg *gg = &w->gg[leader];
	int i;

	if (gg->state == GG_IDLE || gg->state == GG_GONE)
		return;
	gg_tick(gg, w->now_us);
	for (i = 0; i < WORKERS && gg->state >= GG_GOING; i++) {
		struct msg msg = { .kind = SYNC,
				   .leader = leader,
				   .worker = i,
				   .go = gg_go(gg),
				   .renew = gg_renews(gg, w->now_us),
				   .asked_us = w->now_us };

		gg_synced(gg, i, w->now_us);
		post(w, &msg);
	}
}

/*
 * Time passes. A message that is not delivered before is delayed, within the
 * budget, and must be delivered or lost before the next tick.
 */
static bool tick(struct world *w)
{
	int i;

	for (i = 0; i < w->msg_count; i++)
		if (w->msgs[i].ticks++ > 0 || !w->delays--)
			return false;
	w->now_us += TICK_US;
	w->ticks++;
	for (i = 0; i < WORKERS; i++)
		wm_expire(&w->workers[i], w->now_us);
	if (!w->frozen)
		leader_tick(w, 0);
	if (w->taken_over)
		leader_tick(w, 1);
	return w->ticks <= TICKS_MAX;
}

/* Returns whether the step was possible; the steps are numbered. */
static bool take_step(struct world *w, int step)
{
	int i = step / 3;

	if (step < 3 * MSGS_MAX) {
		if (i >= w->msg_count)
			return false;
		if (step % 3 == 1 && !w->losses--)
			return false;
		if (step % 3 == 2 && !w->copies--)
			return false;
		if (step % 3 == 1)
			remove_msg(w, i);
		else
			deliver(w, i, step % 3 == 2);
		return true;
	}
	switch (step - 3 * MSGS_MAX) {
	case 0:
		return tick(w);
	case 1:
	case 2:
		i = step - 3 * MSGS_MAX - 1;
		if (!w->restarts--)
			return false;
		wm_rules_init(&w->workers[i], 8);
		return true;
	case 3:
		if (!w->freezes--)
			return false;
		w->frozen = true;
		return true;
	case 4:
		if (!w->frozen || w->taken_over)
			return false;
		w->taken_over = true;
		w->gg[1].state = GG_IDLE;
		gg_adopt(&w->gg[1], w->now_us);
		return true;
	case 5:
		/* The old leader returns and goes on as if nothing was. */
		if (!w->frozen || !w->taken_over)
			return false;
		w->frozen = false;
		return true;
	case 6:
		if (w->frozen || !w->stops--)
			return false;
		gg_stop(&w->gg[0], "cancelled", w->now_us);
		return true;
	default:
		return false;
	}
}

#define STEPS (3 * MSGS_MAX + 7)

/* ---- checks ---- */

static bool runs(const struct world *w, int worker)
{
	int i;

	for (i = 0; i < WM_TASKS_MAX; i++)
		if (w->workers[worker].tasks[i].state == GG_RUNNING)
			return true;
	return false;
}

static void check_world(struct world *w)
{
	bool a = runs(w, 0), b = runs(w, 1);

	if (a && b)
		w->ran = true;
	if (a == b)
		w->partial_us = 0;
	else if (!w->partial_us)
		w->partial_us = w->now_us;
	if (w->partial_us)
		ck_assert_msg(w->now_us - w->partial_us <=
				      TASK_LEASE_MS * USEC_PER_MSEC,
			      "one member ran alone for %lld ms",
			      (long long)(w->now_us - w->partial_us) / 1000);
	/* A gang that its leader gave up for gone runs nowhere. */
	if (w->gg[0].state == GG_GONE && !w->taken_over)
		ck_assert(!a && !b);
}

/* ---- search ---- */

static uint64_t hash_world(const struct world *w)
{
	struct world copy = *w;
	int i;

	for (i = 0; i < LEADERS; i++)
		copy.gg[i].members = NULL;
	return XXH3_64bits(&copy, sizeof(copy));
}

struct search {
	GHashTable *seen;
	GArray *open; /* struct world */
	uint64_t states, full_runs;
};

static void visit(struct search *s, struct world *w)
{
	uint64_t key = hash_world(w);

	if (g_hash_table_contains(s->seen, &key))
		return;
	g_hash_table_add(s->seen, g_memdup2(&key, sizeof(key)));
	s->states++;
	s->full_runs += w->ran;
	g_array_append_vals(s->open, w, 1);
}

static uint64_t explore(struct world *first, uint64_t limit, uint64_t *ran)
{
	struct search s = { .open = g_array_new(FALSE, FALSE,
						sizeof(struct world)) };
	int step;

	s.seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				       NULL);
	visit(&s, first);
	while (s.open->len > 0 && s.states < limit) {
		struct world w =
			g_array_index(s.open, struct world, s.open->len - 1);

		g_array_set_size(s.open, s.open->len - 1);
		for (step = 0; step < STEPS; step++) {
			struct world next = w;

			attach(&next);
			if (!take_step(&next, step))
				continue;
			check_world(&next);
			visit(&s, &next);
		}
	}
	*ran += s.full_runs;
	printf("gg: losses %d copies %d restarts %d freezes %d stops %d "
	       "delays %d: %llu states%s\n",
	       first->losses, first->copies, first->restarts, first->freezes,
	       first->stops, first->delays, (unsigned long long)s.states,
	       s.open->len ? " (stopped at the limit)" : "");
	g_hash_table_destroy(s.seen);
	g_array_free(s.open, TRUE);
	return s.states;
}

/*
 * Guards against a gang of which a part runs on its own for longer than the
 * stated lease (I2), and against workers that obey an older leader.
 */
START_TEST(no_gang_runs_partially)
{
	static const uint8_t budgets[][6] = {
		{ 0, 0, 0, 0, 0, 0 }, { 1, 0, 0, 0, 0, 0 },
		{ 0, 1, 0, 0, 0, 0 }, { 0, 0, 1, 0, 0, 0 },
		{ 0, 0, 0, 1, 0, 0 }, { 0, 0, 0, 0, 1, 0 },
		{ 0, 0, 0, 0, 0, 1 }, { 1, 0, 0, 1, 0, 0 },
		{ 0, 0, 1, 1, 0, 0 }, { 0, 1, 0, 0, 1, 0 },
		{ 2, 0, 0, 0, 0, 0 }, { 0, 0, 1, 0, 0, 1 },
	};
	uint64_t states = 0, ran = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(budgets); i++) {
		struct world w;

		world_init(&w);
		w.losses = budgets[i][0];
		w.copies = budgets[i][1];
		w.restarts = budgets[i][2];
		w.freezes = budgets[i][3];
		w.stops = budgets[i][4];
		w.delays = budgets[i][5];
		attach(&w);
		gg_start(&w.gg[0], w.now_us);
		states += explore(&w, STATES_MAX, &ran);
	}
	printf("gg: %llu states in all, both members ran in %llu\n",
	       (unsigned long long)states, (unsigned long long)ran);
	ck_assert_uint_gt(ran, 0);
}
END_TEST

/* From when both members run, one worker restarts and then is cut off. */
static void cut_off(struct world *w, int worker, bool *cut)
{
	int i;

	if (!w->ran)
		return;
	if (!*cut)
		wm_rules_init(&w->workers[worker], 8);
	*cut = true;
	for (i = 0; i < w->msg_count; i++)
		if (w->msgs[i].worker == worker)
			remove_msg(w, i--);
	check_world(w);
}

/*
 * Guards against faults that need a longer history than the search reaches:
 * random walks with all budgets at once, half of them with a worker that is
 * cut off for good.
 */
START_TEST(random_walks_keep_the_rules)
{
	uint64_t steps = 0, ran = 0;
	int seed;

	for (seed = 1; seed <= 20000; seed++) {
		GRand *rnd = g_rand_new_with_seed(seed);
		struct world w, next;
		bool cut = false;

		world_init(&w);
		w.losses = 4;
		w.copies = 3;
		w.restarts = 1;
		w.freezes = 1;
		w.stops = seed % 3 == 0;
		w.delays = 10;
		attach(&w);
		gg_start(&w.gg[0], w.now_us);
		while (w.ticks < TICKS_MAX && steps < UINT32_MAX) {
			int step = g_rand_int_range(rnd, 0, STEPS + 200);

			next = w;
			attach(&next);
			/* Faults are rarer than deliveries. */
			if (step >= STEPS)
				step = w.msg_count ? 0 : 3 * MSGS_MAX;
			if (step == 3 * MSGS_MAX && w.msg_count > 0 &&
			    g_rand_int_range(rnd, 0, 4))
				continue;
			if (!take_step(&next, step) && step != 3 * MSGS_MAX)
				continue;
			w = next;
			attach(&w);
			check_world(&w);
			if (seed % 2)
				cut_off(&w, seed / 2 % 2, &cut);
			steps++;
		}
		ran += w.ran;
		g_rand_free(rnd);
	}
	printf("gg: %llu steps in random walks, %llu of 20000 ran\n",
	       (unsigned long long)steps, (unsigned long long)ran);
	ck_assert_uint_gt(ran, 1000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gg");
	TCase *tc = tcase_create("gg");
	SRunner *runner = srunner_create(suite);
	int failed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_set_timeout(tc, 240);
	tcase_add_test(tc, no_gang_runs_partially);
	tcase_add_test(tc, random_walks_keep_the_rules);
	suite_add_tcase(suite, tc);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
