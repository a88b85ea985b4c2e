#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "policy/gang_start.h"
#include "tests/unit/run.h"

#define MS(ms) ((int64_t)(ms)*USEC_PER_MSEC)

/* Single gangs, with the answers of the workers given by the test. */

struct calls {
	struct gang_start gg;
	int sent[GANG_START_STOP + 1];
	int syncs;
	int running;
	int saved;
	int gone;
	enum gang_start_end end;
	int failed;
};

static void note_call(struct gang_start *gg, int member,
		      enum gang_start_verb verb)
{
	((struct calls *)gg)->sent[verb]++;
}

static void note_sync(struct gang_start *gg, int member)
{
	((struct calls *)gg)->syncs++;
}

static void note_running(struct gang_start *gg)
{
	((struct calls *)gg)->running++;
}

static void note_saved(struct gang_start *gg)
{
	((struct calls *)gg)->saved++;
}

static void note_gone(struct gang_start *gg, enum gang_start_end end,
		      int failed)
{
	struct calls *c = (struct calls *)gg;

	c->gone++;
	c->end = end;
	c->failed = failed;
}

static const struct gang_start_ops note_ops = { .call = note_call,
						.sync = note_sync,
						.running = note_running,
						.saved = note_saved,
						.gone = note_gone };

static void start(struct calls *c, int members)
{
	memset(c, 0, sizeof(*c));
	gang_start_init(&c->gg, &note_ops);
	gang_start_start(&c->gg, members, 0);
}

static void run_two(struct calls *c)
{
	int i;

	start(c, 2);
	for (i = 0; i < 2; i++)
		gang_start_answer(&c->gg, i, GANG_START_RESERVE, true, true,
				  MS(10));
	for (i = 0; i < 2; i++)
		gang_start_answer(&c->gg, i, GANG_START_COMMIT, true, true,
				  MS(20));
	for (i = 0; i < 2; i++)
		gang_start_report(&c->gg, i, true, GANG_START_RUNNING, false,
				  MS(30), MS(40));
	ck_assert_int_eq(c->running, 1);
}

/*
 * Guards against a member that is sent a commit before all have reserved, or
 * is released from the barrier before all have committed or after its term.
 */
START_TEST(phases_wait_for_all)
{
	struct calls c;

	start(&c, 2);
	gang_start_answer(&c.gg, 0, GANG_START_RESERVE, true, true, MS(10));
	ck_assert_int_eq(c.sent[GANG_START_COMMIT], 0);
	gang_start_answer(&c.gg, 1, GANG_START_RESERVE, true, true, MS(10));
	ck_assert_int_eq(c.sent[GANG_START_COMMIT], 2);
	gang_start_answer(&c.gg, 0, GANG_START_COMMIT, true, true, MS(20));
	ck_assert(!gang_start_may_pass(&c.gg, 0, MS(20)));
	gang_start_answer(&c.gg, 1, GANG_START_COMMIT, true, true, MS(20));
	ck_assert(gang_start_may_pass(&c.gg, 0, MS(30)));
	ck_assert(!gang_start_may_pass(&c.gg, 0, MS(20 + BARRIER_TERM_MS)));
	ck_assert(!gang_start_may_renew(&c.gg, 0, MS(30)));
	gang_start_finish(&c.gg);
}
END_TEST

/*
 * Guards against a gang that continues after a refused reserve, or that does
 * not release what its other members have reserved.
 */
START_TEST(refusal_drops_all)
{
	struct calls c;

	start(&c, 2);
	gang_start_answer(&c.gg, 0, GANG_START_RESERVE, true, true, MS(10));
	gang_start_answer(&c.gg, 1, GANG_START_RESERVE, true, false, MS(10));
	ck_assert_int_eq(c.sent[GANG_START_STOP], 1);
	gang_start_answer(&c.gg, 0, GANG_START_STOP, true, true, MS(20));
	gang_start_tick(&c.gg, MS(30));
	ck_assert_int_eq(c.gone, 1);
	ck_assert_int_eq(c.sent[GANG_START_COMMIT], 0);
	gang_start_finish(&c.gg);
	/* An unanswered reserve may still arrive after the abort. */
	start(&c, 1);
	gang_start_answer(&c.gg, 0, GANG_START_RESERVE, false, false, MS(1000));
	gang_start_stop(&c.gg, MS(1000));
	ck_assert_int_eq(c.sent[GANG_START_ABORT], 1);
	gang_start_finish(&c.gg);
}
END_TEST

/* Guards against a lease renewed while another member may be dead. */
START_TEST(silent_member_ends_renewal)
{
	struct calls c;

	run_two(&c);
	ck_assert(gang_start_may_renew(&c.gg, 0, MS(30 + GANG_FRESH_MS)));
	gang_start_report(&c.gg, 0, true, GANG_START_RUNNING, false, MS(9000),
			  MS(9000));
	ck_assert(!gang_start_may_renew(&c.gg, 0, MS(9000)));
	gang_start_finish(&c.gg);
}
END_TEST

/*
 * Guards against a failed task that is reported as a stop, so that the
 * failure is not counted against its worker.
 */
START_TEST(failure_names_member)
{
	struct calls c;

	run_two(&c);
	gang_start_report(&c.gg, 1, true, GANG_START_FAILED, false, MS(50),
			  MS(60));
	ck_assert_int_eq(c.sent[GANG_START_STOP], 1);
	gang_start_answer(&c.gg, 0, GANG_START_STOP, true, true, MS(70));
	gang_start_tick(&c.gg, MS(80));
	ck_assert_int_eq(c.gone, 1);
	ck_assert_int_eq(c.end, GANG_START_END_FAILED);
	ck_assert_int_eq(c.failed, 1);
	gang_start_finish(&c.gg);
}
END_TEST

/* Guards against a checkpoint reported before all members have saved theirs. */
START_TEST(checkpoint_of_all_members)
{
	struct calls c;

	run_two(&c);
	gang_start_checkpoint(&c.gg, MS(50));
	ck_assert_int_eq(c.sent[GANG_START_CHECKPOINT], 2);
	ck_assert(!gang_start_may_renew(&c.gg, 0, MS(50)));
	gang_start_answer(&c.gg, 0, GANG_START_CHECKPOINT, true, true, MS(60));
	gang_start_answer(&c.gg, 1, GANG_START_CHECKPOINT, true, true, MS(60));
	gang_start_report(&c.gg, 0, true, GANG_START_STOPPED, true, MS(70),
			  MS(70));
	gang_start_tick(&c.gg, MS(70));
	ck_assert_int_eq(c.saved, 0);
	gang_start_report(&c.gg, 1, true, GANG_START_STOPPED, true, MS(80),
			  MS(80));
	gang_start_tick(&c.gg, MS(80));
	ck_assert_int_eq(c.saved, 1);
	ck_assert_int_eq(c.gone, 1);
	gang_start_finish(&c.gg);
}
END_TEST

/*
 * Guards against a takeover that stops a complete gang, or that continues an
 * incomplete one.
 */
START_TEST(adoption)
{
	static const enum gang_start_state whole[] = { GANG_START_RUNNING,
						       GANG_START_DONE };
	static const enum gang_start_state part[] = { GANG_START_RUNNING,
						      GANG_START_BARRIER };
	struct calls c;

	memset(&c, 0, sizeof(c));
	gang_start_init(&c.gg, &note_ops);
	gang_start_adopt(&c.gg, whole, 2, true, 0);
	gang_start_tick(&c.gg, MS(10));
	ck_assert(gang_start_may_renew(&c.gg, 0, MS(10)));
	ck_assert_int_eq(c.sent[GANG_START_STOP], 0);
	gang_start_adopt(&c.gg, part, 2, true, 0);
	gang_start_tick(&c.gg, MS(10));
	ck_assert_int_eq(c.sent[GANG_START_STOP], 2);
	gang_start_adopt(&c.gg, whole, 1, false, 0);
	gang_start_tick(&c.gg, MS(10));
	ck_assert_int_eq(c.sent[GANG_START_STOP], 3);
	gang_start_finish(&c.gg);
}
END_TEST

/*
 * Model with two workers, two schedulers and at most two faults.
 *
 * Each run follows a plan of up to two faults, each of which affects one
 * message from a scheduler to a worker. The test runs every plan. The workers
 * behave as tests/standins/wk_agent.c, the schedulers as daemon/jobs/sched.c.
 */

#define WORKERS 2
#define SCHEDS 2
#define TOKENS 16
#define FLIGHT 32
#define LATENCY_US MS(5)
#define TASK_US MS(12000)
#define SAVE_US MS(300)
#define MESSAGE_DELAY_US MS(15000) /* delay of a delayed message */
#define LEADERSHIP_LEASE_US \
	MS(6000) /* a lease of leadership, in the model not renewed */
#define TAKEOVER_US MS(8000) /* after the crash or freeze */
#define LIMIT_US MS(240000)
#define SYNC_VERB 5

enum fault {
	LOSE_REQUEST,
	LOSE_ANSWER,
	DUPLICATE, /* a second copy arrives MESSAGE_DELAY_US later */
	DELAY,
	CRASH_BEFORE,
	CRASH_AFTER,
	FREEZE, /* of the scheduler, after it has decided to send */
	WORKER_RESTART, /* loses all state, including the epoch */
	WORKER_DEATH, /* permanent; a new worker replaces it after 20 s */
	FAULTS
};

struct plan {
	int at[2]; /* indexes of the affected messages, -1: none */
	enum fault fault[2];
	int request; /* at 4 s, by the owner: 0 none, 1 stop, 2 checkpoint */
};

struct task {
	int token; /* epoch * 100 + attempt, 0: free */
	enum gang_start_state state;
	bool aborted;
	bool forgotten;
	bool saved;
	int64_t until_us;
	int64_t go_us;
	int64_t save_us;
};

struct message {
	bool used;
	bool answer;
	int64_t at_us;
	int sched;
	int worker;
	int verb; /* enum gang_start_verb or SYNC_VERB */
	int token;
	bool renew;
	bool go;
	int forget; /* token */
	int id;
	bool lose_answer;
	/* Answers. */
	bool accepted;
	int epoch;
	struct task tasks[TOKENS];
};

struct model_worker {
	int epoch;
	int64_t dead_until_us;
	struct task tasks[TOKENS];
};

struct pending {
	int id; /* 0: none */
	int verb;
	int token;
	int64_t sent_us;
};

enum job_state { JOB_READING, JOB_QUEUED, JOB_ACTIVE, JOB_DONE };

struct model_scheduler {
	struct gang_start gg;
	bool up;
	int64_t frozen_until_us;
	int64_t valid_until_us;
	int epoch;
	int attempt;
	int token;
	enum job_state job;
	int64_t leading_since_us;
	int64_t retry_us;
	bool sync_requested[WORKERS];
	int64_t next_us[WORKERS];
	int64_t heard_us[WORKERS];
	bool answered[WORKERS];
	int forget[WORKERS];
	struct task seen[WORKERS][TOKENS];
	/* Calls of the gang, syncs, and stops of other attempts. */
	struct pending calls[WORKERS], syncs[WORKERS], stray_stops[WORKERS];
};

static struct model {
	int64_t now_us;
	struct plan plan;
	struct model_worker workers[WORKERS];
	struct model_scheduler scheds[SCHEDS];
	struct message flight[FLIGHT];
	int sent; /* messages of schedulers */
	int next_id;
	int64_t takeover_us;
	int64_t partial_since_us; /* since when a part runs alone, -1: no */
	int64_t extra_delay_us; /* by the faults; not 0 after a restart */
	bool requested; /* the plan's request was made */
	const char *violation;
} w;

static GHashTable *states;
static long runs, steps;

static void report_violation(const char *text)
{
	if (!w.violation)
		w.violation = text;
}

/* Workers. */

static struct task *find(struct model_worker *m, int token)
{
	int i;

	for (i = 0; i < TOKENS; i++)
		if (m->tasks[i].token == token)
			return &m->tasks[i];
	return NULL;
}

static bool holds_accelerators(const struct task *t)
{
	return t->token && t->state < GANG_START_STOPPED;
}

static void stop_task(struct task *t)
{
	if (t->state <= GANG_START_BARRIER)
		t->aborted = true;
	t->state = GANG_START_STOPPED;
}

static void advance_task(struct task *t)
{
	if (!holds_accelerators(t))
		return;
	if (t->state == GANG_START_CHECKPOINTING && w.now_us >= t->save_us) {
		t->saved = true;
		t->state = GANG_START_STOPPED;
	} else if (t->state == GANG_START_RUNNING &&
		   w.now_us - t->go_us >= TASK_US) {
		t->state = GANG_START_DONE;
	}
	if (holds_accelerators(t) && w.now_us >= t->until_us)
		stop_task(t);
}

static void pass_barrier(struct task *t)
{
	int i;

	t->state = GANG_START_RUNNING;
	t->go_us = w.now_us;
	t->until_us = w.now_us + MS(GANG_LEASE_MS);
	for (i = 0; i < WORKERS; i++) {
		struct task *other = find(&w.workers[i], t->token);

		/* A worker that was restarted since has lost its task. */
		if (!other ? w.extra_delay_us == 0 :
			     other->state < GANG_START_BARRIER)
			report_violation(
				"a member runs before all have committed");
	}
}

static bool handle_call(struct model_worker *m, const struct message *msg)
{
	struct task *t = find(m, msg->token);
	int i;

	if (!t && (msg->verb == GANG_START_RESERVE ||
		   msg->verb == GANG_START_ABORT)) {
		for (i = 0; i < TOKENS && msg->verb == GANG_START_RESERVE; i++)
			if (holds_accelerators(&m->tasks[i]))
				return false; /* no room beside another task */
		t = find(m, 0);
		ck_assert_ptr_nonnull(t);
		memset(t, 0, sizeof(*t));
		t->token = msg->token;
		t->state = GANG_START_RESERVED;
		t->until_us = w.now_us + MS(RESERVATION_TERM_MS);
		if (msg->verb == GANG_START_ABORT) {
			stop_task(t);
			t->forgotten = true;
		}
		return true;
	}
	if (!t)
		return false;
	switch (msg->verb) {
	case GANG_START_RESERVE:
		return holds_accelerators(t);
	case GANG_START_COMMIT:
		if (t->aborted)
			return false;
		if (t->state == GANG_START_RESERVED) {
			t->state = GANG_START_BARRIER;
			t->until_us = w.now_us + MS(BARRIER_TERM_MS);
		}
		return true;
	case GANG_START_ABORT:
		if (t->state <= GANG_START_BARRIER)
			stop_task(t);
		return t->aborted;
	case GANG_START_CHECKPOINT:
		if (t->state > GANG_START_CHECKPOINTING)
			return false;
		if (t->state < GANG_START_RUNNING) {
			stop_task(t);
		} else if (t->state == GANG_START_RUNNING) {
			t->state = GANG_START_CHECKPOINTING;
			t->save_us = w.now_us + SAVE_US;
		}
		return true;
	default:
		if (holds_accelerators(t))
			stop_task(t);
		return true;
	}
}

static void handle_sync(struct model_worker *m, const struct message *msg)
{
	struct task *t = find(m, msg->token);

	if (msg->token && t && !t->aborted) {
		if (msg->renew && t->state == GANG_START_RUNNING)
			t->until_us = w.now_us + MS(GANG_LEASE_MS);
		if (msg->go && t->state == GANG_START_BARRIER)
			pass_barrier(t);
	}
	t = msg->forget ? find(m, msg->forget) : NULL;
	if (t && !holds_accelerators(t))
		t->forgotten = true;
}

static struct message *unused_message(void)
{
	int i;

	for (i = 0; i < FLIGHT; i++)
		if (!w.flight[i].used)
			return &w.flight[i];
	ck_abort_msg("more than FLIGHT messages in transit");
	return NULL;
}

static void handle_request(struct message *msg)
{
	struct model_worker *m = &w.workers[msg->worker];
	struct task before[TOKENS];
	struct message *answer;
	int i;

	if (w.now_us < m->dead_until_us)
		return;
	for (i = 0; i < TOKENS; i++)
		advance_task(&m->tasks[i]);
	memcpy(before, m->tasks, sizeof(before));
	answer = unused_message();
	*answer = *msg;
	answer->answer = true;
	answer->at_us = w.now_us + LATENCY_US;
	answer->used = !msg->lose_answer;
	answer->accepted = false;
	if (msg->epoch >= m->epoch) {
		m->epoch = msg->epoch;
		answer->accepted = true;
		if (msg->verb == SYNC_VERB)
			handle_sync(m, msg);
		else
			answer->accepted = handle_call(m, msg);
	}
	if (msg->epoch < m->epoch &&
	    memcmp(before, m->tasks, sizeof(before)) != 0)
		report_violation("a worker obeys a request of an older epoch");
	answer->epoch = m->epoch;
	memcpy(answer->tasks, m->tasks, sizeof(answer->tasks));
}

/* Schedulers. */

static bool may_act(const struct model_scheduler *s)
{
	return s->up && w.now_us >= s->frozen_until_us &&
	       w.now_us < s->valid_until_us;
}

static int scheduler_index(const struct model_scheduler *s)
{
	return (int)(s - w.scheds);
}

static void stop_leading(struct model_scheduler *s, bool crash)
{
	if (w.takeover_us < 0)
		w.takeover_us = w.now_us + TAKEOVER_US;
	s->valid_until_us =
		MIN(s->valid_until_us, w.now_us + LEADERSHIP_LEASE_US);
	if (crash)
		s->up = false;
}

static void restart_worker(int i, int64_t down_us)
{
	memset(&w.workers[i], 0, sizeof(w.workers[i]));
	w.workers[i].dead_until_us = w.now_us + down_us;
	w.extra_delay_us += 1; /* marks that a worker has forgotten its tasks */
}

static bool stops_leader(enum fault fault)
{
	return fault == CRASH_BEFORE || fault == CRASH_AFTER || fault == FREEZE;
}

/* Applies the plan's faults to a message. Returns whether it is sent. */
static bool apply_faults(struct model_scheduler *s, struct message *msg)
{
	bool sent = true;
	int i;

	for (i = 0; i < 2; i++) {
		/* No third scheduler could take over from the second. */
		if (w.plan.at[i] != w.sent ||
		    (s == &w.scheds[1] && stops_leader(w.plan.fault[i])))
			continue;
		switch (w.plan.fault[i]) {
		case LOSE_REQUEST:
			sent = false;
			break;
		case LOSE_ANSWER:
			msg->lose_answer = true;
			break;
		case DUPLICATE: {
			struct message *copy = unused_message();

			*copy = *msg;
			copy->used = true;
			copy->at_us += MESSAGE_DELAY_US;
			w.extra_delay_us += MESSAGE_DELAY_US;
			break;
		}
		case DELAY:
			msg->at_us += MESSAGE_DELAY_US;
			w.extra_delay_us += MESSAGE_DELAY_US;
			break;
		case CRASH_BEFORE:
			sent = false;
			stop_leading(s, true);
			break;
		case CRASH_AFTER:
			stop_leading(s, true);
			break;
		case FREEZE:
			msg->at_us += MESSAGE_DELAY_US;
			w.extra_delay_us += MESSAGE_DELAY_US;
			s->frozen_until_us = w.now_us + MESSAGE_DELAY_US;
			stop_leading(s, false);
			break;
		case WORKER_RESTART:
			restart_worker(msg->worker, 0);
			break;
		default:
			restart_worker(msg->worker, MS(20000));
			break;
		}
	}
	w.sent++;
	return sent;
}

static void send_message(struct model_scheduler *s, struct pending *p,
			 int worker, int verb, int token, struct message msg)
{
	struct message *slot;

	p->id = ++w.next_id;
	p->verb = verb;
	p->token = token;
	p->sent_us = w.now_us;
	msg.used = true;
	msg.at_us = w.now_us + LATENCY_US;
	msg.sched = scheduler_index(s);
	msg.worker = worker;
	msg.verb = verb;
	msg.token = token;
	msg.epoch = s->epoch;
	msg.id = p->id;
	if (!apply_faults(s, &msg))
		return;
	slot = unused_message();
	*slot = msg;
}

static struct model_scheduler *scheduler_of(struct gang_start *gg)
{
	return (struct model_scheduler *)gg;
}

static void model_call(struct gang_start *gg, int member,
		       enum gang_start_verb verb)
{
	struct model_scheduler *s = scheduler_of(gg);

	if (!may_act(s))
		gg->members[member].call_pending = false;
	else
		send_message(s, &s->calls[member], member, verb, s->token,
			     (struct message){ 0 });
}

static void model_sync(struct gang_start *gg, int member)
{
	scheduler_of(gg)->sync_requested[member] = true;
}

static void model_running(struct gang_start *gg)
{
}

static void model_gone(struct gang_start *gg, enum gang_start_end end,
		       int failed)
{
	struct model_scheduler *s = scheduler_of(gg);

	s->job = end == GANG_START_END_DONE ? JOB_DONE : JOB_QUEUED;
	s->retry_us = w.now_us + MS(500);
	s->token = 0;
	memset(s->calls, 0, sizeof(s->calls));
}

static const struct gang_start_ops model_ops = { .call = model_call,
						 .sync = model_sync,
						 .running = model_running,
						 .saved = model_running,
						 .gone = model_gone };

static void start_leading(struct model_scheduler *s, int epoch)
{
	int i;

	s->up = true;
	s->epoch = epoch;
	s->valid_until_us = INT64_MAX;
	s->job = JOB_READING;
	s->leading_since_us = w.now_us;
	gang_start_init(&s->gg, &model_ops);
	for (i = 0; i < WORKERS; i++)
		s->heard_us[i] = w.now_us;
}

static void sync_worker(struct model_scheduler *s, int i)
{
	struct message msg = { .forget = s->forget[i] };
	bool busy = s->token && s->job == JOB_ACTIVE;

	s->sync_requested[i] = false;
	s->forget[i] = 0;
	s->next_us[i] = w.now_us + MS(WORKER_SYNC_MS);
	msg.renew = busy && gang_start_may_renew(&s->gg, i, w.now_us);
	msg.go = busy && gang_start_may_pass(&s->gg, i, w.now_us);
	send_message(s, &s->syncs[i], i, SYNC_VERB, s->token, msg);
}

/*
 * Decides after a takeover whether an attempt is adopted, as
 * daemon/jobs/sched_takeover.c does. Each worker holds a half of the gang.
 */
static void recover_job(struct model_scheduler *s)
{
	enum gang_start_state parts[WORKERS];
	int i, j, best = 0, found = 0;

	for (i = 0; i < WORKERS; i++)
		for (j = 0; j < TOKENS; j++)
			if (!s->seen[i][j].forgotten &&
			    s->seen[i][j].state != GANG_START_STOPPED)
				best = MAX(best, s->seen[i][j].token);
	for (i = 0; i < WORKERS && best; i++) {
		/* A worker that has not answered may still run its part. */
		parts[i] = s->answered[i] ? GANG_START_STOPPED :
					    GANG_START_BARRIER;
		for (j = 0; j < TOKENS; j++)
			if (s->seen[i][j].token == best) {
				parts[i] = s->seen[i][j].state;
				found++;
			}
	}
	s->job = best ? JOB_ACTIVE : JOB_QUEUED;
	s->token = best;
	if (best)
		gang_start_adopt(&s->gg, parts, WORKERS, found == WORKERS,
				 w.now_us);
}

static void report(struct model_scheduler *s, const struct message *msg,
		   int64_t sent_us)
{
	int i = msg->worker, j;
	bool found = false;

	s->heard_us[i] = w.now_us;
	s->answered[i] = true;
	memcpy(s->seen[i], msg->tasks, sizeof(s->seen[i]));
	if (s->job == JOB_READING)
		return;
	for (j = 0; j < TOKENS; j++) {
		const struct task *t = &msg->tasks[j];

		if (!t->token || t->forgotten)
			continue;
		if (t->token == s->token) {
			found = true;
			gang_start_report(&s->gg, i, true, t->state, t->saved,
					  sent_us, w.now_us);
		} else if (!holds_accelerators(t)) {
			s->forget[i] = t->token;
		} else if (!s->stray_stops[i].id && may_act(s)) {
			send_message(s, &s->stray_stops[i], i,
				     t->state >= GANG_START_RUNNING ?
					     GANG_START_STOP :
					     GANG_START_ABORT,
				     t->token, (struct message){ 0 });
		}
	}
	if (!found && s->token)
		gang_start_report(&s->gg, i, false, GANG_START_UNKNOWN, false,
				  sent_us, w.now_us);
}

static void take_answer(const struct message *msg)
{
	struct model_scheduler *s = &w.scheds[msg->sched];
	struct pending *p = msg->verb == SYNC_VERB ? &s->syncs[msg->worker] :
						     &s->calls[msg->worker];
	int64_t sent_us;

	if (!s->up || w.now_us < s->frozen_until_us)
		return; /* times out while the scheduler is frozen */
	if (s->stray_stops[msg->worker].id == msg->id)
		p = &s->stray_stops[msg->worker];
	if (p->id != msg->id)
		return;
	sent_us = p->sent_us;
	p->id = 0;
	if (msg->verb == SYNC_VERB) {
		if (msg->epoch <= s->epoch)
			report(s, msg, sent_us);
	} else if (p == &s->calls[msg->worker] && p->token == s->token) {
		gang_start_answer(&s->gg, msg->worker, msg->verb,
				  msg->epoch <= s->epoch, msg->accepted,
				  w.now_us);
	}
}

static void expire(struct model_scheduler *s, struct pending *p, int worker)
{
	if (!p->id || w.now_us - p->sent_us < MS(GANG_CALL_MS))
		return;
	p->id = 0;
	if (p == &s->calls[worker] && p->token == s->token)
		gang_start_answer(&s->gg, worker, p->verb, false, false,
				  w.now_us);
	else if (p == &s->syncs[worker])
		s->next_us[worker] =
			MIN(s->next_us[worker], w.now_us + MS(1000));
}

static void tick_workers(struct model_scheduler *s)
{
	int i;

	for (i = 0; i < WORKERS; i++) {
		expire(s, &s->calls[i], i);
		expire(s, &s->syncs[i], i);
		expire(s, &s->stray_stops[i], i);
		if (w.now_us - s->heard_us[i] > 2 * MS(WORKER_SYNC_MS) &&
		    s->job == JOB_ACTIVE)
			gang_start_stop(&s->gg, w.now_us);
		if (!may_act(s) || s->syncs[i].id)
			continue;
		if (w.now_us >= s->next_us[i] ||
		    (s->sync_requested[i] &&
		     w.now_us - s->syncs[i].sent_us >= MS(GANG_SYNC_MS)))
			sync_worker(s, i);
	}
}

static bool both_heard(const struct model_scheduler *s)
{
	return s->answered[0] && s->answered[1];
}

static void tick_sched(struct model_scheduler *s)
{
	tick_workers(s);
	if (!may_act(s))
		return;
	if (s->job == JOB_READING &&
	    (both_heard(s) ||
	     w.now_us - s->leading_since_us >= MS(SCHED_RECOVER_MS)))
		recover_job(s);
	if (s->job == JOB_QUEUED && w.now_us >= s->retry_us && both_heard(s) &&
	    s->attempt < 20) {
		s->token = s->epoch * 100 + ++s->attempt;
		s->job = JOB_ACTIVE;
		gang_start_start(&s->gg, WORKERS, w.now_us);
	}
	if (s->job == JOB_ACTIVE && w.plan.request && !w.requested &&
	    w.now_us >= MS(4000)) {
		w.requested = true;
		if (w.plan.request == 1)
			gang_start_stop(&s->gg, w.now_us);
		else
			gang_start_checkpoint(&s->gg, w.now_us);
	}
	if (s->job == JOB_ACTIVE)
		gang_start_tick(&s->gg, w.now_us);
}

/* Invariants. */

static bool is_running(const struct task *t)
{
	return t && (t->state == GANG_START_RUNNING ||
		     t->state == GANG_START_CHECKPOINTING);
}

/*
 * A member runs alone when the other one neither runs nor is done. It may do
 * so for TASK_LEASE_MS, plus the delays of the plan: a message that arrives
 * after its call has timed out can extend a lease once by the delay.
 */
static void check_invariants(void)
{
	int i, j, running = 0, partial = 0;

	for (i = 0; i < WORKERS; i++) {
		for (j = 0; j < TOKENS; j++) {
			struct task *t = &w.workers[i].tasks[j];
			struct task *other = find(&w.workers[!i], t->token);

			if (!t->token || !is_running(t))
				continue;
			running++;
			if (!other ||
			    (!is_running(other) &&
			     other->state != GANG_START_DONE && !other->saved))
				partial++;
		}
	}
	if (running > WORKERS)
		report_violation("two attempts run at the same time");
	if (!partial)
		w.partial_since_us = -1;
	else if (w.partial_since_us < 0)
		w.partial_since_us = w.now_us;
	else if (w.now_us - w.partial_since_us >
		 MS(TASK_LEASE_MS) + w.extra_delay_us)
		report_violation("a member runs alone beyond the bound");
}

static void note_state(void)
{
	int shape[WORKERS * TOKENS * 3 + SCHEDS * 16], n = 0, i, j;

	memset(shape, 0, sizeof(shape));
	for (i = 0; i < WORKERS; i++)
		for (j = 0; j < TOKENS; j++)
			if (w.workers[i].tasks[j].token) {
				const struct task *t = &w.workers[i].tasks[j];

				shape[n++] = t->token;
				shape[n++] = (int)t->state * 2 + t->aborted;
			}
	for (i = 0; i < SCHEDS; i++) {
		const struct model_scheduler *s = &w.scheds[i];

		shape[n++] = s->up * 100 + (int)s->job * 10 + may_act(s);
		shape[n++] = s->token;
		shape[n++] = (int)s->gg.phase;
		for (j = 0; j < s->gg.count; j++)
			shape[n++] = (int)s->gg.members[j].state * 2 +
				     s->gg.members[j].call_pending;
	}
	g_hash_table_add(states, GSIZE_TO_POINTER((gsize)XXH3_64bits(
					 shape, sizeof(*shape) * n)));
}

/* Runs of the model. */

static void step_messages(void)
{
	int i;

	for (i = 0; i < FLIGHT; i++) {
		struct message msg;

		if (!w.flight[i].used || w.flight[i].at_us > w.now_us)
			continue;
		msg = w.flight[i];
		w.flight[i].used = false;
		if (msg.answer)
			take_answer(&msg);
		else
			handle_request(&msg);
	}
}

/*
 * Schedulers tick as in daemon/jobs/sched.c, more often while a gang needs
 * ticks.
 */
static int64_t next_time(void)
{
	bool busy = gang_start_needs_tick(&w.scheds[0].gg) ||
		    gang_start_needs_tick(&w.scheds[1].gg);
	int64_t next_us = w.now_us + MS(busy ? 100 : 500);
	int i;

	for (i = 0; i < FLIGHT; i++)
		if (w.flight[i].used)
			next_us = MIN(next_us, w.flight[i].at_us);
	return MAX(next_us, w.now_us + 1);
}

static bool no_work_left(void)
{
	int i, j;

	for (i = 0; i < WORKERS; i++)
		for (j = 0; j < TOKENS; j++)
			if (holds_accelerators(&w.workers[i].tasks[j]))
				return false;
	for (i = 0; i < FLIGHT; i++)
		if (w.flight[i].used && !w.flight[i].answer &&
		    w.flight[i].verb != SYNC_VERB)
			return false;
	return true;
}

static bool finished(void)
{
	const struct model_scheduler *s = &w.scheds[w.scheds[1].up ? 1 : 0];

	return s->job == JOB_DONE && (w.takeover_us < 0 || w.scheds[1].up) &&
	       no_work_left();
}

static void step(void)
{
	int i, j;

	for (i = 0; i < WORKERS; i++)
		for (j = 0; j < TOKENS; j++)
			advance_task(&w.workers[i].tasks[j]);
	step_messages();
	if (w.takeover_us >= 0 && w.now_us >= w.takeover_us && !w.scheds[1].up)
		start_leading(&w.scheds[1], 2);
	for (i = 0; i < SCHEDS; i++)
		if (w.scheds[i].up && w.now_us >= w.scheds[i].frozen_until_us)
			tick_sched(&w.scheds[i]);
	check_invariants();
	note_state();
	steps++;
}

static const char *run_plan(const struct plan *plan, int *sent)
{
	int i;

	memset(&w, 0, sizeof(w));
	w.plan = *plan;
	w.takeover_us = -1;
	w.partial_since_us = -1;
	start_leading(&w.scheds[0], 1);
	while (!w.violation && w.now_us < LIMIT_US && !finished()) {
		step();
		w.now_us = next_time();
	}
	if (!w.violation && !finished())
		report_violation(
			"accelerators stay held, or the job never ends");
	for (i = 0; i < SCHEDS; i++)
		gang_start_finish(&w.scheds[i].gg);
	runs++;
	*sent = w.sent;
	return w.violation;
}

static void require(const struct plan *plan, int *sent)
{
	const char *violation = run_plan(plan, sent);

	ck_assert_msg(!violation,
		      "%s: message %d fault %d, %d fault %d, "
		      "request %d, at %lld ms",
		      violation, plan->at[0], (int)plan->fault[0], plan->at[1],
		      (int)plan->fault[1], plan->request,
		      (long long)(w.now_us / USEC_PER_MSEC));
}

static void all_second_faults(struct plan *plan, int messages)
{
	int sent, i, f;

	for (i = plan->at[0] + 1; i < messages; i++)
		for (f = 0; f < FAULTS; f++) {
			plan->at[1] = i;
			plan->fault[1] = (enum fault)f;
			require(plan, &sent);
		}
}

/*
 * Guards, under any two faults, against a gang that runs in part for longer
 * than the bound, two attempts that run at once, a worker that obeys an older
 * epoch, accelerators that are never released, and a job that never ends.
 */
START_TEST(model)
{
	int messages, after, i, f;

	states = g_hash_table_new(NULL, NULL);
	for (int request = 0; request < 3; request++) {
		struct plan plan = { .at = { -1, -1 }, .request = request };

		require(&plan, &messages);
		for (i = 0; i < messages; i++)
			for (f = 0; f < FAULTS; f++) {
				plan.at[0] = i;
				plan.fault[0] = (enum fault)f;
				plan.at[1] = -1;
				require(&plan, &after);
				all_second_faults(&plan, after);
			}
	}
	printf("model: %ld plans, %ld steps, %u states\n", runs, steps,
	       g_hash_table_size(states));
	g_hash_table_destroy(states);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("gang_start");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, phases_wait_for_all);
	tcase_add_test(tcase, refusal_drops_all);
	tcase_add_test(tcase, silent_member_ends_renewal);
	tcase_add_test(tcase, failure_names_member);
	tcase_add_test(tcase, checkpoint_of_all_members);
	tcase_add_test(tcase, adoption);
	tcase_add_test(tcase, model);
	return run_case("gang_start", tcase);
}
