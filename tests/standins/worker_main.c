#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "tests/standins/wk_agent.h"

#define AGENTS_MAX 4096

/* Stand-in for the agents of many workers, on consecutive ports. */

struct worker_task {
	struct kn_task task;
	struct wk_options options;
	int port;
	int count;
	struct wk_agent *agents;
};

static const struct argp_option options[] = {
	{ "addr", 'a', "ADDR", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "port of the first agent (0: any)", 0 },
	{ "count", 'n', "N", 0, "number of agents (1)", 0 },
	{ "accelerators", 'g', "N", 0, "accelerators of each (8)", 0 },
	{ "task-ms", 't', "MS", 0, "time that a task runs (1000)", 0 },
	{ "checkpoint-ms", 'k', "MS", 0, "time of a checkpoint (100)", 0 },
	{ "fail", 'f', "all|none", 0, "whether tasks fail (none)", 0 },
	{ 0 }
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct worker_task *worker = state->input;

	switch (key) {
	case 'a':
		worker->options.addr = arg;
		break;
	case 'p':
		worker->port = atoi(arg);
		break;
	case 'n':
		worker->count = atoi(arg);
		if (worker->count < 1 || worker->count > AGENTS_MAX)
			argp_error(state, "--count: 1 to %d", AGENTS_MAX);
		break;
	case 'g':
		worker->options.accelerators = atoi(arg);
		break;
	case 't':
		worker->options.task_ms = atoll(arg);
		break;
	case 'k':
		worker->options.checkpoint_ms = atoll(arg);
		break;
	case 'f':
		worker->options.fail = strcmp(arg, "all") == 0;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	options, parse, NULL, "Stand-in for worker agents.", NULL, NULL, NULL
};

static bool start(struct kn_task *task, GError **err)
{
	struct worker_task *worker = (struct worker_task *)task;
	int i, port;

	worker->agents = g_new0(struct wk_agent, worker->count);
	for (i = 0; i < worker->count; i++) {
		port = worker->port ? worker->port + i : 0;
		if (!wk_agent_init(&worker->agents[i], task->kn,
				   &worker->options, port, err))
			return false;
		printf("port=%d\n", worker->agents[i].server.port);
	}
	fflush(stdout);
	return true;
}

static void finish(struct kn_task *task)
{
	struct worker_task *worker = (struct worker_task *)task;
	int i;

	for (i = 0; i < worker->count; i++)
		wk_agent_finish(&worker->agents[i]);
	g_free(worker->agents);
}

static const struct kn_task_ops ops = { .start = start, .finish = finish };

int main(int argc, char **argv)
{
	struct worker_task worker = {
		.options = { .addr = "127.0.0.1",
			     .accelerators = 8,
			     .task_ms = 1000,
			     .checkpoint_ms = 100 },
		.count = 1,
	};
	GError *err = NULL;
	struct kn kn;
	int code = 1;

	argp_parse(&argp, argc, argv, 0, NULL, &worker);
	log_init("worker", "-", LOG_WARN_LEVEL);
	if (!kn_init(&kn, &err)) {
		log_err("start.failed", "text=\"%s\"", err->message);
		g_error_free(err);
		return 1;
	}
	kn_handle_signals(&kn);
	kn_add(&kn, &worker.task, "workers", &ops);
	if (kn_start(&kn, &err)) {
		code = kn_run(&kn);
	} else {
		log_err("start.failed", "text=\"%s\"", err->message);
		g_error_free(err);
	}
	kn_finish(&kn);
	return code;
}
