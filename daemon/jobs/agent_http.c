#include "daemon/jobs/agent_client.h"

#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "wire/hc.h"

#define PATH_MAX_BYTES 32

/*
 * The HTTP/1.1 and JSON implementation of struct agent_client. Each agent has
 * a pool of WORKER_CONNECTIONS, which is two so that a stop does not wait
 * behind a slow sync.
 */

struct agent {
	struct hc_pool pool;
	char key[ADDR_MAX_BYTES + 8]; /* "ADDRESS:PORT", key in agents */
};

struct agent_http {
	struct agent_client client;
	GHashTable *agents; /* by key */
	struct list_head calls; /* in progress */
	struct list_head refused; /* could not be sent; the timer ends them */
	struct kn_timer timer;
};

/* A call in progress, owned by struct agent_http. */
struct agent_http_call {
	struct list_head node;
	struct hc_call http;
	struct agent_http *agent_http;
	struct agent_call *call;
	enum agent_verb verb;
};

const char *const agent_verb_names[AGENT_VERBS] = { "reserve", "commit",
						    "abort",   "checkpoint",
						    "stop",    "sync" };

const char *const agent_state_names[AGENT_STATES] = {
	"reserved", "barrier", "running", "checkpointing",
	"stopped",  "done",    "failed",
};

/* Returns the state with that name, or -1. */
int agent_state_parse(const char *name)
{
	int i;

	for (i = 0; name && i < AGENT_STATES; i++)
		if (strcmp(agent_state_names[i], name) == 0)
			return i;
	return -1;
}

/* Agents. */

static void agent_free(gpointer data)
{
	struct agent *agent = data;

	hc_pool_finish(&agent->pool);
	g_free(agent);
}

static struct agent *find_agent(struct agent_http *agent_http, const char *addr,
				int port)
{
	char key[ADDR_MAX_BYTES + 8];
	struct agent *agent;

	snprintf(key, sizeof(key), "%s:%d", addr, port);
	agent = g_hash_table_lookup(agent_http->agents, key);
	if (agent)
		return agent;
	agent = g_new0(struct agent, 1);
	strcpy(agent->key, key);
	hc_pool_init(&agent->pool, agent_http->client.kn, addr, port,
		     WORKER_CONNECTIONS);
	g_hash_table_insert(agent_http->agents, agent->key, agent);
	return agent;
}

/* Requests. */

static json_t *string_array(const char *const *items, size_t count)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(array, json_string(items[i]));
	return array;
}

static char *request_body(const struct agent_request *request)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "epoch",
			    json_integer((json_int_t)request->epoch));
	if (request->verb == AGENT_SYNC) {
		json_object_set_new(
			root, "renew",
			string_array(request->renew, request->renew_count));
		json_object_set_new(
			root, "go",
			string_array(request->go, request->go_count));
		json_object_set_new(
			root, "forget",
			string_array(request->forget, request->forget_count));
	} else {
		json_object_set_new(root, "token", json_string(request->token));
	}
	if (request->verb == AGENT_RESERVE) {
		json_object_set_new(root, "job", json_string(request->job));
		json_object_set_new(root, "accelerators",
				    json_integer(request->accelerators));
		if (request->task)
			json_object_set(root, "task", (json_t *)request->task);
	}
	if (request->term_ms > 0)
		json_object_set_new(root, "term_ms",
				    json_integer(request->term_ms));
	if (request->verb == AGENT_CHECKPOINT)
		json_object_set_new(root, "grace_ms",
				    json_integer(request->grace_ms));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Replies. */

static bool read_task(struct agent_task *task, const json_t *item)
{
	const char *token = json_string_value(json_object_get(item, "token"));
	const char *job = json_string_value(json_object_get(item, "job"));
	int state = agent_state_parse(
		json_string_value(json_object_get(item, "state")));

	if (!token || strlen(token) >= sizeof(task->token) || !job ||
	    strlen(job) >= sizeof(task->job) || state < 0)
		return false;
	strcpy(task->token, token);
	strcpy(task->job, job);
	task->state = (enum agent_state)state;
	task->accelerators =
		(int)json_integer_value(json_object_get(item, "accelerators"));
	task->ran_ms = json_integer_value(json_object_get(item, "ran_ms"));
	task->checkpointed =
		json_is_true(json_object_get(item, "checkpointed"));
	return task->accelerators > 0;
}

/* Rejects the whole report if one task in it is malformed. */
static bool read_tasks(struct agent_call *call, const json_t *root)
{
	const json_t *tasks = json_object_get(root, "tasks");
	json_t *item;
	size_t i;

	if (!json_is_array(tasks) || json_array_size(tasks) > WORKER_TASKS_MAX)
		return false;
	call->accelerators =
		(int)json_integer_value(json_object_get(root, "accelerators"));
	call->tasks = g_new0(struct agent_task, json_array_size(tasks) + 1);
	json_array_foreach(tasks, i, item) {
		if (!read_task(&call->tasks[i], item))
			return false;
	}
	call->count = json_array_size(tasks);
	return true;
}

static void read_reply(struct agent_http_call *c)
{
	struct agent_call *call = c->call;
	struct hc_call *http = &c->http;
	json_t *root = NULL;

	if (http->result != CB_OK) {
		call->result = http->sent ? http->result : CB_E_NO_SERVER;
		return;
	}
	if (http->body)
		root = json_loadb((const char *)http->body, http->body_len, 0,
				  NULL);
	call->epoch =
		(uint64_t)json_integer_value(json_object_get(root, "epoch"));
	if (http->status == 409)
		call->result = CB_E_CONFLICT;
	else if (http->status != 200 || !json_is_object(root))
		call->result = CB_E_UPSTREAM_PROTOCOL;
	else if (c->verb == AGENT_SYNC && !read_tasks(call, root))
		call->result = CB_E_UPSTREAM_PROTOCOL;
	else
		call->result = CB_OK;
	json_decref(root);
}

static void end_call(struct agent_http_call *c)
{
	struct agent_call *call = c->call;
	struct agent_task *tasks;

	list_del(&c->node);
	hc_call_finish(&c->http);
	g_free(c);
	call->impl = NULL;
	tasks = call->tasks;
	call->done(call); /* may free the call */
	g_free(tasks);
}

static void http_done(struct hc_call *http)
{
	struct agent_http_call *c =
		container_of(http, struct agent_http_call, http);

	read_reply(c);
	end_call(c);
}

/* Implementation of struct agent_client_ops. */

static void answer_refused(struct kn_timer *timer)
{
	struct agent_http *agent_http =
		container_of(timer, struct agent_http, timer);
	struct agent_http_call *c;

	while (!list_empty(&agent_http->refused)) {
		c = list_first_entry(&agent_http->refused,
				     struct agent_http_call, node);
		c->call->result = CB_E_NO_SERVER;
		end_call(c);
	}
}

static void agent_http_start(struct agent_client *client,
			     struct agent_call *call,
			     const struct agent_request *request,
			     void (*done)(struct agent_call *call))
{
	struct agent_http *agent_http =
		container_of(client, struct agent_http, client);
	struct agent *agent =
		find_agent(agent_http, request->addr, request->port);
	struct agent_http_call *c = g_new0(struct agent_http_call, 1);
	char path[PATH_MAX_BYTES];
	char *body = request_body(request);

	c->agent_http = agent_http;
	c->call = call;
	c->verb = request->verb;
	call->done = done;
	call->impl = c;
	call->epoch = 0;
	call->tasks = NULL;
	call->count = 0;
	snprintf(path, sizeof(path), "/v1/%s", agent_verb_names[request->verb]);
	if (hc_call_start(&c->http, &agent->pool, "POST", path, NULL, body,
			  strlen(body), request->timeout_ms, http_done)) {
		list_add_tail(&c->node, &agent_http->calls);
	} else {
		list_add_tail(&c->node, &agent_http->refused);
		kn_timer_set(client->kn, &agent_http->timer, 0, answer_refused);
	}
	free(body);
}

static void agent_http_cancel(struct agent_client *client,
			      struct agent_call *call)
{
	struct agent_http_call *c = call->impl;

	(void)client;
	if (!c)
		return;
	if (c->http.conn)
		hc_call_cancel(&c->http);
	list_del(&c->node);
	hc_call_finish(&c->http);
	g_free(c);
	call->impl = NULL;
}

static void agent_http_finish(struct agent_client *client)
{
	struct agent_http *agent_http =
		container_of(client, struct agent_http, client);
	struct agent_http_call *c, *tmp;

	kn_timer_cancel(&agent_http->timer);
	list_for_each_entry_safe(c, tmp, &agent_http->calls, node)
		agent_http_cancel(client, c->call);
	list_for_each_entry_safe(c, tmp, &agent_http->refused, node)
		agent_http_cancel(client, c->call);
	g_hash_table_destroy(agent_http->agents);
	g_free(agent_http);
}

static const struct agent_client_ops agent_http_ops = {
	.start = agent_http_start,
	.cancel = agent_http_cancel,
	.finish = agent_http_finish,
};

struct agent_client *agent_http_new(struct kn *kn)
{
	struct agent_http *agent_http = g_new0(struct agent_http, 1);

	agent_http->client.ops = &agent_http_ops;
	agent_http->client.kn = kn;
	list_init(&agent_http->calls);
	list_init(&agent_http->refused);
	agent_http->agents = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, agent_free);
	return &agent_http->client;
}
