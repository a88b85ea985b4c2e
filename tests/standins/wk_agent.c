#include "tests/standins/wk_agent.h"

#include <string.h>

#include "base/err.h"

#define TICK_US (10 * USEC_PER_MSEC)
#define FAIL_AFTER_MS 20

/* One attempt to run a part of a gang; kept for the ledger after its end. */
struct entry {
	struct list_head node;
	struct agent_task task;
	uint64_t epoch; /* of the agent at the reserve */
	uint64_t go_epoch; /* of the agent at the go */
	bool aborted; /* a later reserve with this token is refused */
	bool forgotten; /* not reported any more */
	int64_t reserved_us;
	int64_t barrier_us;
	int64_t go_us;
	int64_t end_us;
	int64_t checkpoint_us; /* when the checkpoint is whole */
	int64_t until_us; /* of the reservation, the barrier or the lease */
	int64_t term_us; /* of the lease */
};

/* An answer that is held back. */
struct delayed {
	struct list_head node;
	struct hs_request *req;
	int64_t at_us;
	int status;
	char *text;
};

/* Tasks. */

static bool holds(const struct entry *entry)
{
	return !entry->aborted && entry->task.state < AGENT_STOPPED;
}

static struct entry *find(struct wk_agent *agent, const char *token)
{
	struct entry *entry;

	list_for_each_entry(entry, &agent->tasks, node)
		if (strcmp(entry->task.token, token) == 0)
			return entry;
	return NULL;
}

static int free_accelerators(const struct wk_agent *agent)
{
	int n = agent->options.accelerators;
	struct entry *entry;

	list_for_each_entry(entry, &agent->tasks, node)
		if (holds(entry))
			n -= entry->task.accelerators;
	return n;
}

static void end(struct entry *entry, enum agent_state state, int64_t now_us)
{
	entry->task.state = state;
	entry->end_us = now_us;
	if (entry->go_us)
		entry->task.ran_ms = (now_us - entry->go_us) / USEC_PER_MSEC;
}

static void abort_entry(struct entry *entry, int64_t now_us)
{
	end(entry, AGENT_STOPPED, now_us);
	entry->aborted = true;
}

/* Ends what has finished and what was not renewed in time. */
static void advance(struct wk_agent *agent, struct entry *entry, int64_t now_us)
{
	int64_t ran_us = now_us - entry->go_us;

	if (!holds(entry))
		return;
	if (entry->task.state <= AGENT_BARRIER) {
		if (now_us >= entry->until_us)
			abort_entry(entry, now_us);
		return;
	}
	if (entry->task.state == AGENT_CHECKPOINTING) {
		if (now_us >= entry->checkpoint_us) {
			entry->task.checkpointed = true;
			end(entry, AGENT_STOPPED, now_us);
		}
	} else if (agent->options.fail &&
		   ran_us >= FAIL_AFTER_MS * USEC_PER_MSEC) {
		end(entry, AGENT_FAILED, now_us);
	} else if (ran_us >= agent->options.task_ms * USEC_PER_MSEC) {
		end(entry, AGENT_DONE, now_us);
	}
	if (holds(entry) && now_us >= entry->until_us)
		end(entry, AGENT_STOPPED, now_us);
}

/* Verbs. */

static int reserve(struct wk_agent *agent, const json_t *body,
		   const char *token, int64_t now_us)
{
	const char *job = json_string_value(json_object_get(body, "job"));
	int n = (int)json_integer_value(json_object_get(body, "accelerators"));
	int64_t term_ms = json_integer_value(json_object_get(body, "term_ms"));
	struct entry *entry = find(agent, token);

	if (entry)
		return holds(entry) ? 200 : 409;
	if (!job || strlen(job) >= NAME_MAX_BYTES || n <= 0 || term_ms <= 0)
		return 400;
	if (n > free_accelerators(agent))
		return 409;
	entry = g_new0(struct entry, 1);
	snprintf(entry->task.token, sizeof(entry->task.token), "%s", token);
	strcpy(entry->task.job, job);
	entry->task.state = AGENT_RESERVED;
	entry->task.accelerators = n;
	entry->epoch = agent->epoch;
	entry->reserved_us = now_us;
	entry->until_us = now_us + term_ms * USEC_PER_MSEC;
	list_add_tail(&entry->node, &agent->tasks);
	return 200;
}

static int commit(struct entry *entry, const json_t *body, int64_t now_us)
{
	int64_t term_ms = json_integer_value(json_object_get(body, "term_ms"));

	if (!entry || entry->aborted)
		return 409;
	if (entry->task.state != AGENT_RESERVED)
		return 200;
	if (term_ms <= 0)
		return 400;
	entry->task.state = AGENT_BARRIER;
	entry->barrier_us = now_us;
	entry->term_us = term_ms * USEC_PER_MSEC;
	entry->until_us = now_us + BARRIER_TERM_MS * USEC_PER_MSEC;
	return 200;
}

/* An abort that overtakes its reserve must win against it. */
static int abort_token(struct wk_agent *agent, const char *token,
		       int64_t now_us)
{
	struct entry *entry = find(agent, token);

	if (!entry) {
		entry = g_new0(struct entry, 1);
		snprintf(entry->task.token, sizeof(entry->task.token), "%s",
			 token);
		entry->epoch = agent->epoch;
		entry->forgotten = true;
		abort_entry(entry, now_us);
		list_add_tail(&entry->node, &agent->tasks);
		return 200;
	}
	if (entry->task.state <= AGENT_BARRIER)
		abort_entry(entry, now_us);
	return entry->aborted ? 200 : 409;
}

static int checkpoint(struct wk_agent *agent, struct entry *entry,
		      const json_t *body, int64_t now_us)
{
	int64_t grace_ms =
		json_integer_value(json_object_get(body, "grace_ms"));

	if (!entry || entry->task.state > AGENT_CHECKPOINTING)
		return 409;
	if (entry->task.state == AGENT_CHECKPOINTING)
		return 200;
	if (entry->task.state != AGENT_RUNNING) {
		abort_entry(entry, now_us);
		return 200;
	}
	entry->task.state = AGENT_CHECKPOINTING;
	entry->checkpoint_us =
		now_us + agent->options.checkpoint_ms * USEC_PER_MSEC;
	entry->until_us =
		MIN(entry->until_us, now_us + grace_ms * USEC_PER_MSEC);
	return 200;
}

static int stop(struct entry *entry, int64_t now_us)
{
	if (!entry)
		return 409;
	if (entry->task.state <= AGENT_BARRIER)
		abort_entry(entry, now_us);
	else if (holds(entry))
		end(entry, AGENT_STOPPED, now_us);
	return 200;
}

static void go(struct entry *entry, uint64_t epoch, int64_t now_us)
{
	if (entry->task.state != AGENT_BARRIER)
		return;
	entry->task.state = AGENT_RUNNING;
	entry->go_us = now_us;
	entry->go_epoch = epoch;
	entry->until_us = now_us + entry->term_us;
}

static void for_tokens(struct wk_agent *agent, const json_t *body,
		       const char *list, int64_t now_us)
{
	struct entry *entry;
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(body, list), i, item) {
		entry = find(agent, json_string_value(item) ?: "");
		if (!entry || entry->aborted)
			continue;
		if (strcmp(list, "go") == 0)
			go(entry, agent->epoch, now_us);
		else if (strcmp(list, "forget") == 0)
			entry->forgotten = !holds(entry);
		else if (entry->task.state == AGENT_RUNNING)
			entry->until_us = now_us + entry->term_us;
	}
}

static json_t *report(struct wk_agent *agent, int64_t now_us)
{
	json_t *tasks = json_array();
	struct entry *e;

	list_for_each_entry(e, &agent->tasks, node) {
		if (e->forgotten)
			continue;
		if (e->task.state == AGENT_RUNNING)
			e->task.ran_ms = (now_us - e->go_us) / USEC_PER_MSEC;
		json_array_append_new(
			tasks,
			json_pack("{ss ss ss si sI sb}", "token", e->task.token,
				  "job", e->task.job, "state",
				  agent_state_names[e->task.state],
				  "accelerators", e->task.accelerators,
				  "ran_ms", (json_int_t)e->task.ran_ms,
				  "checkpointed", e->task.checkpointed));
	}
	return tasks;
}

static int run_verb(struct wk_agent *agent, enum agent_verb verb,
		    const json_t *body, json_t *answer, int64_t now_us)
{
	const char *token = json_string_value(json_object_get(body, "token"));
	struct entry *entry;

	if (verb == AGENT_SYNC) {
		for_tokens(agent, body, "renew", now_us);
		for_tokens(agent, body, "go", now_us);
		for_tokens(agent, body, "forget", now_us);
		json_object_set_new(answer, "tasks", report(agent, now_us));
		json_object_set_new(answer, "accelerators",
				    json_integer(agent->options.accelerators));
		return 200;
	}
	if (!token || !*token || strlen(token) >= AGENT_TOKEN_BYTES)
		return 400;
	entry = find(agent, token);
	if (verb == AGENT_RESERVE)
		return reserve(agent, body, token, now_us);
	if (verb == AGENT_COMMIT)
		return commit(entry, body, now_us);
	if (verb == AGENT_ABORT)
		return abort_token(agent, token, now_us);
	if (verb == AGENT_CHECKPOINT)
		return checkpoint(agent, entry, body, now_us);
	return stop(entry, now_us);
}

static void advance_all(struct wk_agent *agent, int64_t now_us)
{
	struct entry *entry;

	list_for_each_entry(entry, &agent->tasks, node)
		advance(agent, entry, now_us);
}

static int fenced(struct wk_agent *agent, enum agent_verb verb,
		  const json_t *body, json_t *answer, int64_t now_us)
{
	uint64_t epoch =
		(uint64_t)json_integer_value(json_object_get(body, "epoch"));
	int status;

	agent->calls[verb]++;
	if (epoch < agent->epoch) {
		agent->refused++;
		status = 409;
	} else {
		agent->epoch = epoch;
		status = run_verb(agent, verb, body, answer, now_us);
	}
	json_object_set_new(answer, "epoch",
			    json_integer((json_int_t)agent->epoch));
	return status;
}

/* Ledger and control. */

json_t *wk_agent_ledger(const struct wk_agent *agent)
{
	json_t *entries = json_array();
	struct entry *e;

	list_for_each_entry(e, &agent->tasks, node)
		json_array_append_new(
			entries,
			json_pack("{ss ss ss si sI sI sI sI sI sI sb sb}",
				  "token", e->task.token, "job", e->task.job,
				  "state", agent_state_names[e->task.state],
				  "accelerators", e->task.accelerators, "epoch",
				  (json_int_t)e->epoch, "go_epoch",
				  (json_int_t)e->go_epoch, "reserved_us",
				  (json_int_t)e->reserved_us, "barrier_us",
				  (json_int_t)e->barrier_us, "go_us",
				  (json_int_t)e->go_us, "end_us",
				  (json_int_t)e->end_us, "aborted", e->aborted,
				  "checkpointed", e->task.checkpointed));
	return json_pack("{sI sI si si so}", "epoch", (json_int_t)agent->epoch,
			 "refused_epochs", (json_int_t)agent->refused,
			 "accelerators", agent->options.accelerators, "free",
			 free_accelerators(agent), "tasks", entries);
}

static int control(struct wk_agent *agent, const json_t *body)
{
	const json_t *value;

	value = json_object_get(body, "fail");
	if (json_is_boolean(value))
		agent->options.fail = json_is_true(value);
	value = json_object_get(body, "drop_answers");
	if (json_is_integer(value))
		agent->drop_answers = (int)json_integer_value(value);
	value = json_object_get(body, "delay_ms");
	if (json_is_integer(value))
		agent->delay_ms = json_integer_value(value);
	value = json_object_get(body, "task_ms");
	if (json_is_integer(value))
		agent->options.task_ms = json_integer_value(value);
	value = json_object_get(body, "checkpoint_ms");
	if (json_is_integer(value))
		agent->options.checkpoint_ms = json_integer_value(value);
	return 200;
}

/* HTTP. */

static void send_delayed(struct wk_agent *agent, int64_t now_us)
{
	struct delayed *d, *tmp;

	list_for_each_entry_safe(d, tmp, &agent->delayed, node) {
		if (now_us < d->at_us)
			continue;
		list_del(&d->node);
		hs_reply(d->req, d->status, NULL, d->text, strlen(d->text));
		free(d->text);
		g_free(d);
	}
}

static void reply(struct wk_agent *agent, struct hs_request *req, int status,
		  json_t *answer, bool verb)
{
	struct delayed *d;
	char *text = json_dumps(answer, JSON_COMPACT);

	json_decref(answer);
	if (verb && agent->drop_answers > 0) {
		/* Never answered; the caller runs into its timeout. */
		agent->drop_answers--;
		free(text);
		return;
	}
	if (!verb || agent->delay_ms == 0) {
		hs_reply(req, status, NULL, text, strlen(text));
		free(text);
		return;
	}
	d = g_new0(struct delayed, 1);
	d->req = req;
	d->status = status;
	d->text = text;
	d->at_us = kn_now_us() + agent->delay_ms * USEC_PER_MSEC;
	list_add_tail(&d->node, &agent->delayed);
}

static int verb_of(const char *target)
{
	int verb;

	for (verb = 0; verb < AGENT_VERBS; verb++)
		if (g_str_has_prefix(target, "/v1/") &&
		    strcmp(target + 4, agent_verb_names[verb]) == 0)
			return verb;
	return -1;
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct wk_agent *agent = container_of(server, struct wk_agent, server);
	int64_t now_us = kn_now_us();
	int verb = verb_of(req->target);
	json_t *answer = json_object();
	json_t *body = NULL;
	int status = 404;

	if (req->body)
		body = json_loadb((const char *)req->body, req->body_len, 0,
				  NULL);
	advance_all(agent, now_us);
	if (strcmp(req->target, "/ledger") == 0) {
		json_decref(answer);
		answer = wk_agent_ledger(agent);
		status = 200;
	} else if (strcmp(req->target, "/control") == 0) {
		status = control(agent, body);
	} else if (verb >= 0) {
		status = fenced(agent, (enum agent_verb)verb, body, answer,
				now_us);
	}
	json_decref(body);
	reply(agent, req, status, answer, verb >= 0);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct wk_agent *agent = container_of(server, struct wk_agent, server);
	struct delayed *d, *tmp;

	list_for_each_entry_safe(d, tmp, &agent->delayed, node) {
		if (d->req != req)
			continue;
		list_del(&d->node);
		free(d->text);
		g_free(d);
	}
}

static const struct hs_ops server_ops = { .request = on_request,
					  .gone = on_gone };

static void on_tick(struct kn_timer *timer)
{
	struct wk_agent *agent = container_of(timer, struct wk_agent, timer);
	int64_t now_us = kn_now_us();

	advance_all(agent, now_us);
	send_delayed(agent, now_us);
	kn_timer_set(agent->server.kn, timer, TICK_US, on_tick);
}

/* Listens on the port; 0 takes any, agent->server.port tells which. */
bool wk_agent_init(struct wk_agent *agent, struct kn *kn,
		   const struct wk_options *options, int port, GError **err)
{
	memset(agent, 0, sizeof(*agent));
	agent->options = *options;
	list_init(&agent->tasks);
	list_init(&agent->delayed);
	if (!hs_init(&agent->server, kn, &server_ops, options->addr, port, err))
		return false;
	kn_timer_set(kn, &agent->timer, TICK_US, on_tick);
	return true;
}

void wk_agent_finish(struct wk_agent *agent)
{
	struct entry *entry, *tmp;

	kn_timer_cancel(&agent->timer);
	hs_finish(&agent->server);
	list_for_each_entry_safe(entry, tmp, &agent->tasks, node)
		g_free(entry);
}
